"""Requests parsed by a route table: their pool and class, and what is rejected before it reaches a pool."""

import pytest

from dykefold.balancer.settings import Effect, RequestClass, Scope, Settings, Tenant
from dykefold.net.downstream.request_parser import Message, RequestError
from dykefold.net.upstream.classify import HttpProfile
from dykefold.routing.plan import RouteOptions, default_classes
from dykefold.routing.requests import RouteRequestReader, RoutingRequestReader
from dykefold.routing.route import HeaderCondition, Route
from dykefold.routing.table import RouteTable

NS_PER_S = 1_000_000_000


class FakePool:
    def __init__(self, classes=None):
        self.settings = Settings(classes=classes or default_classes(NS_PER_S, 10 * NS_PER_S), zones=["here"])


CATALOGUE, STOCK, PARTS = FakePool(), FakePool(), None


def make_reader():
    keyed = RequestClass("hold", NS_PER_S, 2 * NS_PER_S, 1.0, 0.0, Effect.KEYED, Scope.ALL, NS_PER_S)
    order = RequestClass("order", NS_PER_S, 4 * NS_PER_S, 1.0, 0.0, Effect.UNSAFE)
    parts = FakePool([keyed, order])
    routes = [
        Route("cat", "catalogue", host="shop.example", prefix="/catalogue"),
        Route("cat-post", "stock", host="shop.example", prefix="/catalogue", methods=("POST",)),
        Route("stock", "stock", host="*.stock.example"),
        Route("parts", "parts", host="parts.example"),
        Route("dialect", "parts", host="dialect.example"),
        Route(
            "beta", "stock", host="shop.example", prefix="/catalogue", header=HeaderCondition("x-beta", "1")
        ),
    ]
    options = {
        "cat": RouteOptions(idempotent=True),
        "cat-post": RouteOptions(),
        "stock": RouteOptions(deadline_ns=3 * NS_PER_S, make_ids=False),
        "parts": RouteOptions(classes={"PUT": "hold", "POST": "order"}, key_header="x-hold"),
        "dialect": RouteOptions(platform=True),
        "beta": RouteOptions(),
    }
    pools = {"catalogue": CATALOGUE, "stock": STOCK, "parts": parts}
    table = RouteTable(1, routes, pools)
    readers = {
        route.name: RouteRequestReader(route.pool, pools[route.pool], options[route.name], lambda: "made")
        for route in routes
    }
    return RoutingRequestReader(table, readers), pools


def read(method, target, host="shop.example", body=b"", **headers):
    reader, pools = make_reader()
    header_values = {name.replace("_", "-").encode(): value.encode() for name, value in headers.items()}
    if host is not None:
        header_values[b"host"] = host.encode()
    request = reader.parse(Message(100, method.encode(), target.encode(), header_values, [], body, True))
    return request, next(name for name, pool in pools.items() if pool is request.pool)


def test_request_is_routed_by_host_path_method_and_header():
    assert read("GET", "/catalogue/bolts?size=8")[1] == "catalogue"
    assert read("POST", "/catalogue/bolts")[1] == "stock"
    assert read("GET", "/catalogue/bolts", x_beta="1")[1] == "stock"
    assert read("GET", "/any", "a.b.stock.example", x_request_id="1")[1] == "stock"
    assert read("GET", "http://shop.example/catalogue")[1] == "catalogue"


@pytest.mark.parametrize("host", ["SHOP.example", "shop.example.", "shop.example:8080"])
def test_equivalent_host_forms_match_same_route(host):
    assert read("GET", "/catalogue", host)[1] == "catalogue"


@pytest.mark.parametrize(
    ("target", "host", "code"),
    [
        ("/catalogue", None, 400),
        ("/catalogue", "shop.example, shop.example", 400),  # Two Host lines, joined by the message parser.
        ("/catalogue", "", 400),
        ("/catalogue//bolts", "shop.example", 400),
        ("/catalogue/../orders", "shop.example", 400),
        ("/catalogue/%2e%2e/orders", "shop.example", 400),
        ("/catalogue%2Fbolts", "shop.example", 400),
        ("http://other.example/catalogue", "shop.example", 400),
        ("/orders", "shop.example", 404),
        ("/catalogue", "nobody.example", 404),
    ],
)
def test_ambiguous_or_unrouted_target_reaches_no_pool(target, host, code):
    with pytest.raises(RequestError) as caught:
        read("GET", target, host)
    assert caught.value.code == code


@pytest.mark.parametrize(
    ("method", "effect"),
    [
        ("GET", Effect.SAFE),
        ("HEAD", Effect.SAFE),
        ("OPTIONS", Effect.SAFE),
        ("PUT", Effect.KEYED),
        ("DELETE", Effect.KEYED),
        ("PATCH", Effect.UNSAFE),
    ],
)
def test_default_class_of_method_follows_rfc_9110(method, effect):
    request, _ = read(method, "/catalogue/bolts")
    assert CATALOGUE.settings.classes[request.class_number].effect is effect
    assert (request.profile is HttpProfile.HEAD) == (method == "HEAD")


def test_put_is_unsafe_unless_route_allows_idempotent_retries():
    request, _ = read("PUT", "/x", "a.stock.example", x_request_id="1")
    assert STOCK.settings.classes[request.class_number].effect is Effect.UNSAFE


def test_missing_request_id_is_generated_returned_and_forwarded():
    request, _ = read("GET", "/catalogue")
    assert request.x_request_id == b"catalogue/made"
    assert request.extra_response_headers == b"X-Request-Id: made\r\n"
    assert request.headers == [request.extra_response_headers]
    request, _ = read("GET", "/catalogue", x_request_id="mine")
    assert request.x_request_id == b"catalogue/mine"
    assert not request.extra_response_headers
    assert not request.headers
    with pytest.raises(RequestError, match="X-Request-Id is missing"):
        read("GET", "/x", "a.stock.example")
    with pytest.raises(RequestError, match="longer"):
        read("GET", "/catalogue", x_request_id="1" * 129)


def test_deadline_is_that_of_request_then_route_then_class():
    assert read("GET", "/catalogue")[0].deadline_ns == 100 + 10 * NS_PER_S
    assert read("GET", "/catalogue", x_deadline="250m")[0].deadline_ns == 100 + NS_PER_S // 4
    assert read("GET", "/catalogue", x_deadline="999000m")[0].deadline_ns == 100 + 10 * NS_PER_S
    assert read("GET", "/", "a.stock.example", x_request_id="1")[0].deadline_ns == 100 + 3 * NS_PER_S


def test_keyed_class_requires_idempotency_key():
    with pytest.raises(RequestError, match="x-hold is missing"):
        read("PUT", "/hold", "parts.example")
    request, _ = read("PUT", "/hold", "parts.example", x_hold="k")
    assert request.class_number == 0
    with pytest.raises(RequestError) as caught:
        read("GET", "/hold", "parts.example")  # No class of this pool is configured for GET.
    assert caught.value.code == 405


def test_route_configures_the_tenant_header():
    pool = FakePool()
    pool.settings.tenants = [Tenant("north", 0.5, 10.0), Tenant("south", 0.5, 10.0)]
    reader = RouteRequestReader("a", pool, RouteOptions(tenant_header="x-yard"), lambda: "made")
    assert reader.parse(Message(0, b"GET", b"/", {b"x-yard": b"south"}, [], b"", True)).tenant == 1
    for headers in ({}, {b"x-yard": b"west"}):
        with pytest.raises(RequestError, match="names no tenant"):
            reader.parse(Message(0, b"GET", b"/", headers, [], b"", True))


def test_route_can_select_platform_dialect():
    request, _ = read("POST", "/order/part", "dialect.example", x_request_id="7")
    assert request.class_number == 1
    assert request.x_request_id == b"parts/7"
    assert request.profile is HttpProfile.PLATFORM
    with pytest.raises(RequestError) as caught:
        read("GET", "/order/part", "dialect.example", x_request_id="7")
    assert caught.value.code == 405
