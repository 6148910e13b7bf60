"""The plans that reloads go through in a world of several services."""

from __future__ import annotations

import tomllib
from collections.abc import Iterable, Iterator

from ..balancer.settings import Effect, RequestClass
from ..routing.config import read_plan
from ..routing.plan import ServicesPlan
from .kernel import NS_PER_MS
from .nodes import PORT, Node
from .requests import CLASSES, LOOKUP, POOLS

CYCLE = 4  # Number of different plans.
SHORT_PLAN = 1  # Plan that leaves a server out of each service.
SLOW_PLAN = 2  # Plan with longer deadlines.
MORE_TIME_MS = 100
MIN_OPEN = 10
EFFECT_NAMES = {Effect.SAFE: "safe", Effect.KEYED: "keyed", Effect.UNSAFE: "unsafe"}


def make_plan(number: int, classes: Iterable[RequestClass], nodes: Iterable[Node]) -> ServicesPlan:
    """Return one of the plans.

    Args:
        number: Number of the plan; the plans repeat after `CYCLE`.
        classes: Request classes, one for each service.
        nodes: All servers; each belongs to one service.
    """
    nodes = list(nodes)
    lines = ["[node]", 'listen = "127.0.0.1:7070"']
    for position, spec in enumerate(classes):
        members = [node for node in nodes if node.pool == POOLS[position]]
        if number % CYCLE == SHORT_PLAN:
            members = members[1:]
        lines += _service_lines(number, position, spec, members)
    plan, problems = read_plan(tomllib.loads("\n".join(lines)))
    assert plan is not None, problems
    return plan


def _service_lines(number: int, position: int, spec: RequestClass, nodes: list[Node]) -> Iterator[str]:
    """Return the lines of one service in the operators' file."""
    pool, name = POOLS[position], CLASSES[position]
    more_ms = MORE_TIME_MS if number % CYCLE == SLOW_PLAN else 0
    method = "GET" if position == LOOKUP else "POST"
    yield from (
        f"[pools.{pool}]",
        f"servers = {[f'{node.address}:{PORT}' for node in nodes]}",
        f"open_least = {MIN_OPEN + number % 2}",
        f"[pools.{pool}.classes.{name}]",
        f'effect = "{EFFECT_NAMES[spec.effect]}"',
        f"aim_ms = {spec.objective_ns // NS_PER_MS}",
        f"deadline_ms = {spec.deadline_ns // NS_PER_MS + more_ms}",
        'scope = "all"',
        f"window_ms = {spec.window_ns // NS_PER_MS}",
        "[[routes]]",
        f'name = "{pool}"',
        f'pool = "{pool}"',
        f'prefix = "/{name}"',
        f'classes = {{ {method} = "{name}" }}',
    )
