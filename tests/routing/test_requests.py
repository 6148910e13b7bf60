"""Messages read by a route table: which pool, which class, what is refused before any pool sees it."""

import pytest

from dykefold.balancer.settings import Effect, RequestClass, Scope, Settings, Tenant
from dykefold.net.downstream.request_parser import Message, RequestError
from dykefold.net.upstream.classify import HttpProfile
from dykefold.routing.plan import Mapping, usual_classes
from dykefold.routing.requests import Routed, Target
from dykefold.routing.table import Rule, Table

SECOND = 1_000_000_000


class Pool:
    def __init__(self, classes=None):
        self.settings = Settings(classes=classes or usual_classes(SECOND, 10 * SECOND), zones=["here"])


CATALOGUE, STOCK, PARTS = Pool(), Pool(), None


def make():
    keyed = RequestClass("hold", SECOND, 2 * SECOND, 1.0, 0.0, Effect.KEYED, Scope.ALL, SECOND)
    order = RequestClass("order", SECOND, 4 * SECOND, 1.0, 0.0, Effect.UNSAFE)
    parts = Pool([keyed, order])
    rules = [
        Rule("cat", "catalogue", host="shop.example", prefix="/catalogue"),
        Rule("cat-post", "stock", host="shop.example", prefix="/catalogue", methods=("POST",)),
        Rule("stock", "stock", host="*.stock.example"),
        Rule("parts", "parts", host="parts.example"),
        Rule("dialect", "parts", host="dialect.example"),
        Rule("beta", "stock", host="shop.example", prefix="/catalogue", header=("x-beta", "1")),
    ]
    mappings = {
        "cat": Mapping(idempotent=True),
        "cat-post": Mapping(),
        "stock": Mapping(deadline_ns=3 * SECOND, make_ids=False),
        "parts": Mapping(classes={"PUT": "hold", "POST": "order"}, key_header="x-hold"),
        "dialect": Mapping(platform=True),
        "beta": Mapping(),
    }
    pools = {"catalogue": CATALOGUE, "stock": STOCK, "parts": parts}
    table = Table(1, rules, pools)
    targets = {
        rule.name: Target(rule.pool, pools[rule.pool], mappings[rule.name], lambda: "made") for rule in rules
    }
    return Routed(table, targets), pools


def read(method, target, host="shop.example", body=b"", **headers):
    routed, pools = make()
    known = {name.replace("_", "-").encode(): value.encode() for name, value in headers.items()}
    if host is not None:
        known[b"host"] = host.encode()
    call = routed.read(Message(100, method.encode(), target.encode(), known, [], body, True))
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
def test_what_two_readers_could_take_for_two_things_reaches_no_pool(target, host, code):
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
def test_methods_have_the_effect_that_the_standard_gives_them(method, effect):
    call, _ = read(method, "/catalogue/bolts")
    assert CATALOGUE.settings.classes[call.cls].effect is effect
    assert (call.profile is HttpProfile.HEAD) == (method == "HEAD")


def test_idempotent_methods_may_be_repeated_only_where_the_route_says_so():
    call, _ = read("PUT", "/x", "a.stock.example", x_request_id="1")
    assert STOCK.settings.classes[call.cls].effect is Effect.UNSAFE


def test_a_missing_id_is_made_told_and_passed_on():
    call, _ = read("GET", "/catalogue")
    assert call.ident == b"catalogue/made"
    assert call.told == b"X-Request-Id: made\r\n"
    assert call.headers == [call.told]
    call, _ = read("GET", "/catalogue", x_request_id="mine")
    assert call.ident == b"catalogue/mine"
    assert not call.told
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


def test_a_keyed_class_wants_its_key():
    with pytest.raises(RequestError, match="x-hold is missing"):
        read("PUT", "/hold", "parts.example")
    call, _ = read("PUT", "/hold", "parts.example", x_hold="k")
    assert call.cls == 0
    with pytest.raises(RequestError) as caught:
        read("GET", "/hold", "parts.example")  # no class of this pool is for it
    assert caught.value.code == 405


def test_a_route_may_say_which_header_names_the_tenant():
    pool = Pool()
    pool.settings.tenants = [Tenant("north", 0.5, 10.0), Tenant("south", 0.5, 10.0)]
    target = Target("a", pool, Mapping(tenant_header="x-yard"), lambda: "made")
    assert target.read(Message(0, b"GET", b"/", {b"x-yard": b"south"}, [], b"", True)).tenant == 1
    for headers in ({}, {b"x-yard": b"west"}):
        with pytest.raises(RequestError, match="names no tenant"):
            target.read(Message(0, b"GET", b"/", headers, [], b"", True))


def test_the_platform_s_dialect_is_a_route_s_to_choose():
    call, _ = read("POST", "/order/part", "dialect.example", x_request_id="7")
    assert call.cls == 1
    assert call.ident == b"parts/7"
    assert call.profile is HttpProfile.PLATFORM
    with pytest.raises(RequestError) as caught:
        read("GET", "/order/part", "dialect.example", x_request_id="7")
    assert caught.value.code == 405
