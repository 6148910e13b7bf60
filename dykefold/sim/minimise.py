"""Makes a failing scenario smaller while it still fails. No I/O: whether it fails is asked of the caller.

Zeller and Hildebrandt, "Simplifying and isolating failure-inducing input" (IEEE TSE 2002): parts are left
out, the parts grow smaller whenever none can go. First the faults, since each drags others along; then
the requests.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TypeVar

from .kernel import NS_PER_S
from .schedule import Scenario
from .world import without

Item = TypeVar("Item")

MAX_PLAYS = 400  # Each takes some tenths of a second.


@dataclass(slots=True)
class DescriptorBudget:
    """How many plays are left."""

    left: int


def minimise(scenario: Scenario, fails: Callable[[Scenario], bool], max_plays: int = MAX_PLAYS) -> Scenario:
    """Return the smallest scenario found that still fails.

    Args:
        scenario: A scenario that fails.
        fails: Plays a scenario and returns whether it fails in the same way.
        max_plays: Maximum number of plays.
    """
    budget = DescriptorBudget(max_plays)
    last_ns = max((arrival.at_ns for arrival in scenario.arrivals), default=0)
    for end_ns in (last_ns // 4, last_ns // 2):
        shorter = _until(scenario, end_ns)
        budget.left -= 1
        if fails(shorter):
            scenario = shorter
            break
    faults = _reduce(scenario.faults, lambda some: fails(without(scenario, some, scenario.arrivals)), budget)
    scenario = without(scenario, faults, scenario.arrivals)
    arrivals = _reduce(scenario.arrivals, lambda some: fails(without(scenario, faults, some)), budget)
    return without(scenario, faults, arrivals)


def _until(scenario: Scenario, end_ns: int) -> Scenario:
    arrivals = tuple(arrival for arrival in scenario.arrivals if arrival.at_ns <= end_ns)
    faults = tuple(fault for fault in scenario.faults if fault.at_ns <= end_ns + NS_PER_S)
    return without(scenario, faults, arrivals)


def _reduce(
    items: Sequence[Item], fails: Callable[[tuple[Item, ...]], bool], budget: DescriptorBudget
) -> tuple[Item, ...]:
    """Return the items without those that are not needed for the failure, as far as the budget goes."""
    remaining = tuple(items)
    parts = 2
    while remaining and budget.left > 0:
        size = -(-len(remaining) // parts)
        for begin in range(0, len(remaining), size):
            rest = remaining[:begin] + remaining[begin + size :]
            budget.left -= 1
            if fails(rest):
                remaining, parts = rest, max(parts - 1, 2)
                break
            if budget.left <= 0:
                return remaining
        else:
            if size == 1:
                return remaining
            parts = min(parts * 2, len(remaining))
    return remaining
