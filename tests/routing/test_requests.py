"""Messages read by a route table: which pool, which class, what is refused before any pool sees it."""

import pytest

from dykefold.balancer.settings import Effect, RequestClass, Scope, Settings, Tenant
from dykefold.net.downstream.request_parser import Message, RequestError
from dykefold.net.upstream.classify import HttpProfile
from dykefold.routing.plan import RouteOptions, default_classes
from dykefold.routing.requests import RouteRequestReader, RoutingRequestReader
from dykefold.routing.route import HeaderCondition, Route
from dykefold.routing.table import RouteTable

SECOND = 1_000_000_000


class Pool:
    def __init__(self, classes=None):
        self.settings = Settings(classes=classes or default_classes(SECOND, 10 * SECOND), zones=["here"])


CATALOGUE, STOCK, PARTS = Pool(), Pool(), None


def make():
    keyed = RequestClass("hold", SECOND, 2 * SECOND, 1.0, 0.0, Effect.KEYED, Scope.ALL, SECOND)
    order = RequestClass("order", SECOND, 4 * SECOND, 1.0, 0.0, Effect.UNSAFE)
    parts = Pool([keyed, order])
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
        "stock": RouteOptions(deadline_ns=3 * SECOND, make_ids=False),
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
    reader, pools = make()
    known = {name.replace("_", "-").encode(): value.encode() for name, value in headers.items()}
    if host is not None:
        known[b"host"] = host.encode()
    call = reader.parse(Message(100, method.encode(), target.encode(), known, [], body, True))
    return call, next(name for name, pool in pools.items() if pool is call.pool)


def test_requests_go_by_host_path_method_and_header():
    assert read("GET", "/catalogue/bolts?size=8")[1] == "catalogue"
    assert read("POST", "/catalogue/bolts")[1] == "stock"
    assert read("GET", "/catalogue/bolts", x_beta="1")[1] == "stock"
    assert read("GET", "/any", "a.b.stock.example", x_request_id="1")[1] == "stock"
    assert read("GET", "http://shop.example/catalogue")[1] == "catalogue"


@pytest.mark.parametrize("host", ["SHOP.example", "shop.example.", "shop.example:8080"])
def test_a_host_in_another_form_is_the_same_host(host):
    assert read("GET", "/catalogue", host)[1] == "catalogue"


@pytest.mark.parametrize(
    ("target", "host", "code"),
    [
        ("/catalogue", None, 400),
        ("/catalogue", "shop.example, shop.example", 400),  # as a doubled line is handed on
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
def test_an_ambiguous_target_reaches_no_pool(target, host, code):
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
def test_methods_have_the_effect_of_rfc_9110(method, effect):
    call, _ = read(method, "/catalogue/bolts")
    assert CATALOGUE.settings.classes[call.class_number].effect is effect
    assert (call.profile is HttpProfile.HEAD) == (method == "HEAD")


def test_idempotent_methods_may_be_retried_only_where_the_route_allows_it():
    call, _ = read("PUT", "/x", "a.stock.example", x_request_id="1")
    assert STOCK.settings.classes[call.class_number].effect is Effect.UNSAFE


def test_a_missing_id_is_made_returned_and_forwarded():
    call, _ = read("GET", "/catalogue")
    assert call.x_request_id == b"catalogue/made"
    assert call.extra_response_headers == b"X-Request-Id: made\r\n"
    assert call.headers == [call.extra_response_headers]
    call, _ = read("GET", "/catalogue", x_request_id="mine")
    assert call.x_request_id == b"catalogue/mine"
    assert not call.extra_response_headers
    assert not call.headers
    with pytest.raises(RequestError, match="X-Request-Id is missing"):
        read("GET", "/x", "a.stock.example")
    with pytest.raises(RequestError, match="longer"):
        read("GET", "/catalogue", x_request_id="1" * 129)


def test_deadlines_come_from_the_request_then_the_route_then_the_class():
    assert read("GET", "/catalogue")[0].deadline_ns == 100 + 10 * SECOND
    assert read("GET", "/catalogue", x_deadline="250m")[0].deadline_ns == 100 + SECOND // 4
    assert read("GET", "/catalogue", x_deadline="999000m")[0].deadline_ns == 100 + 10 * SECOND
    assert read("GET", "/", "a.stock.example", x_request_id="1")[0].deadline_ns == 100 + 3 * SECOND


def test_a_keyed_class_needs_its_key():
    with pytest.raises(RequestError, match="x-hold is missing"):
        read("PUT", "/hold", "parts.example")
    call, _ = read("PUT", "/hold", "parts.example", x_hold="k")
    assert call.class_number == 0
    with pytest.raises(RequestError) as caught:
        read("GET", "/hold", "parts.example")  # no class of this pool is for it
    assert caught.value.code == 405


def test_route_configures_the_tenant_header():
    pool = Pool()
    pool.settings.tenants = [Tenant("north", 0.5, 10.0), Tenant("south", 0.5, 10.0)]
    reader = RouteRequestReader("a", pool, RouteOptions(tenant_header="x-yard"), lambda: "made")
    assert reader.parse(Message(0, b"GET", b"/", {b"x-yard": b"south"}, [], b"", True)).tenant == 1
    for headers in ({}, {b"x-yard": b"west"}):
        with pytest.raises(RequestError, match="names no tenant"):
            reader.parse(Message(0, b"GET", b"/", headers, [], b"", True))


def test_a_route_may_choose_the_platform_s_dialect():
    call, _ = read("POST", "/order/part", "dialect.example", x_request_id="7")
    assert call.class_number == 1
    assert call.x_request_id == b"parts/7"
    assert call.profile is HttpProfile.PLATFORM
    with pytest.raises(RequestError) as caught:
        read("GET", "/order/part", "dialect.example", x_request_id="7")
    assert caught.value.code == 405
