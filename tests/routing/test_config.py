"""Pools and routes in the settings file: all problems at once, each with its key and what was expected."""

import tomllib

import pytest

from dykefold.balancer.settings import Effect
from dykefold.routing.config import read_plan

VALID_CONFIG = """
[node]
listen = "127.0.0.1:0"

[pools.catalogue]
servers = ["127.0.0.1:9001", "127.0.0.1:9002"]
open_least = 10

[pools.orders]
discovery = "127.0.0.1:8500"
[pools.orders.classes.order]
effect = "unsafe"
aim_ms = 1200
deadline_ms = 4000

[[routes]]
name = "catalogue"
pool = "catalogue"
prefix = "/catalogue"

[[routes]]
name = "orders"
pool = "orders"
prefix = "/orders"
methods = ["POST"]
classes = { POST = "order" }
"""


def parse(config):
    return read_plan(tomllib.loads(config))


def test_valid_file_yields_plan():
    plan, problems = parse(VALID_CONFIG)
    assert not problems
    assert plan is not None
    assert plan.pools["catalogue"].servers == (("127.0.0.1", 9001), ("127.0.0.1", 9002))
    assert [spec.effect for spec in plan.pools["catalogue"].settings.classes] == [
        Effect.SAFE,
        Effect.KEYED,
        Effect.UNSAFE,
    ]
    assert plan.pools["orders"].settings.classes[0].deadline_ns == 4_000_000_000
    assert plan.table(1).find("a", ("orders", "7"), "POST").pool == "orders"


def test_all_problems_of_the_tables_are_reported_at_once():
    plan, problems = parse(
        """
        [node]
        listen = 8080
        [pools.a]
        servers = ["127.0.0.1:9001", "127.0.0.1:9001", "nowhere"]
        open_least = 5
        open_most = 2
        [pools.b]
        servers = []
        deadline_s = 3
        [pools.b.classes.x]
        effect = "fast"
        deadline_ms = 0
        [pools.b.tenants.north]
        requests_per_s = 0
        [[routes]]
        name = "r"
        """
    )
    assert plan is None
    text = "\n".join(problems)
    for expected in (
        "node.listen = 8080: expected `str`",
        "pools.a.servers: 'nowhere': expected ADDRESS:PORT",
        "pools.a.servers: an address comes twice",
        "pools.a.open_least = 5: expected open_most = 2 at most",
        "pools.b.deadline_s: unknown",
        "pools.b.classes.x.effect = 'fast': invalid enum value",
        "pools.b.classes.x.deadline_ms = 0: expected `int` >= 1",
        "pools.b.classes.x.aim_ms: missing",
        "pools.b.tenants.north.requests_per_s = 0: expected `float` > 0",
        "routes[0].pool: missing",
    ):
        assert expected in text, (expected, text)


@pytest.mark.parametrize(
    ("old", "new", "problem"),
    [
        ('pool = "orders"', 'pool = "order"', "routes.orders.pool = 'order': no such pool"),
        ('prefix = "/orders"', 'prefix = "/a//b"', "routes.orders.prefix = '/a//b'"),
        ('{ POST = "order" }', '{ POST = "sale" }', "routes.orders.classes.POST = 'sale': expected a class"),
        ('classes = { POST = "order" }', "", "routes.orders.classes: missing"),
        ('name = "orders"', 'name = "catalogue"', "another route has this name"),
        ('discovery = "127.0.0.1:8500"', "", "pools.orders: expected servers or discovery"),
        ("[node]", "[nodes]", ""),
        (
            'name = "orders"',
            'name = "orders"\ntenant_header = "X-Yard"',
            "routes.orders.tenant_header: orders has no tenants",
        ),
    ],
)
def test_contradictory_values_are_reported(old, new, problem):
    plan, problems = parse(VALID_CONFIG.replace(old, new))
    if problem:
        assert plan is None
        assert any(problem in line for line in problems), problems
    else:
        assert plan is not None  # Unknown tables are reported by `read_service`.


@pytest.mark.parametrize(
    "config", ["pools = 3", "routes = 3", "[pools.a]\nclasses = 3\n", "pools = {a = 3}", ""]
)
def test_file_with_wrong_table_types_is_reported_as_problem(config):
    plan, problems = parse(config)
    assert plan is None
    assert problems
