"""The services plans that reloads cycle through in a world with several services."""

from __future__ import annotations

import tomllib
from collections.abc import Iterable, Iterator

from ..balancer.settings import Effect, RequestClass
from ..routing.config import read_plan
from ..routing.plan import ServicesPlan
from .kernel import NS_PER_MS
from .nodes import PORT, Node
from .requests import CLASSES, LOOKUP, POOLS

PLAN_COUNT = 4  # Number of different plans.
REDUCED_PLAN = 1  # Plan without the first server of each service.
LONG_DEADLINES_PLAN = 2  # Plan with longer deadlines.
LONGER_BY_MS = 100
MIN_OPEN_CONNECTIONS = 10
EFFECT_NAMES = {Effect.SAFE: "safe", Effect.KEYED: "keyed", Effect.UNSAFE: "unsafe"}


def make_plan(number: int, classes: Iterable[RequestClass], nodes: Iterable[Node]) -> ServicesPlan:
    """Return one of the plans.

    Args:
        number: Number of the plan; plans repeat after `PLAN_COUNT`.
        classes: Request classes, one for each service.
        nodes: All servers, each of one service.
    """
    nodes = list(nodes)
    lines = ["[node]", 'listen = "127.0.0.1:7070"']
    for position, spec in enumerate(classes):
        members = [node for node in nodes if node.pool == POOLS[position]]
        if number % PLAN_COUNT == REDUCED_PLAN:
            members = members[1:]
        lines += _service_lines(number, position, spec, members)
    plan, problems = read_plan(tomllib.loads("\n".join(lines)))
    assert plan is not None, problems
    return plan


def _service_lines(number: int, position: int, spec: RequestClass, nodes: list[Node]) -> Iterator[str]:
    """Yield the lines of one service in the operators' configuration file."""
    pool, name = POOLS[position], CLASSES[position]
    longer_by_ms = LONGER_BY_MS if number % PLAN_COUNT == LONG_DEADLINES_PLAN else 0
    method = "GET" if position == LOOKUP else "POST"
    yield from (
        f"[pools.{pool}]",
        f"servers = {[f'{node.address}:{PORT}' for node in nodes]}",
        f"open_least = {MIN_OPEN_CONNECTIONS + number % 2}",
        f"[pools.{pool}.classes.{name}]",
        f'effect = "{EFFECT_NAMES[spec.effect]}"',
        f"aim_ms = {spec.objective_ns // NS_PER_MS}",
        f"deadline_ms = {spec.deadline_ns // NS_PER_MS + longer_by_ms}",
        'scope = "all"',
        f"window_ms = {spec.window_ns // NS_PER_MS}",
        "[[routes]]",
        f'name = "{pool}"',
        f'pool = "{pool}"',
        f'prefix = "/{name}"',
        f'classes = {{ {method} = "{name}" }}',
    )
