"""Minimizes a failing scenario by delta debugging. No I/O: the caller plays it and says whether it fails.

Zeller and Hildebrandt, "Simplifying and isolating failure-inducing input" (IEEE TSE 2002): parts
are removed, and the parts become smaller when none can be removed. Faults are removed first, since one
fault can lead to others; then the requests.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import TypeVar

from .kernel import NS_PER_S
from .schedule import Scenario
from .world import without

Item = TypeVar("Item")

MAX_PLAYS = 400  # A play takes some tenths of a second.


@dataclass(slots=True)
class PlayBudget:
    """The number of plays that remain."""

    remaining_plays: int


def minimise(scenario: Scenario, fails: Callable[[Scenario], bool], max_plays: int = MAX_PLAYS) -> Scenario:
    """Return the smallest failing scenario that was found.

    Args:
        scenario: A scenario that fails.
        fails: Plays a scenario and returns whether it fails in the same way.
        max_plays: Maximum number of plays.
    """
    budget = PlayBudget(max_plays)
    last_ns = max((arrival.at_ns for arrival in scenario.arrivals), default=0)
    for end_ns in (last_ns // 4, last_ns // 2):
        shorter = _truncate(scenario, end_ns)
        budget.remaining_plays -= 1
        if fails(shorter):
            scenario = shorter
            break
    faults = _reduce(scenario.faults, lambda kept: fails(without(scenario, kept, scenario.arrivals)), budget)
    scenario = without(scenario, faults, scenario.arrivals)
    arrivals = _reduce(scenario.arrivals, lambda kept: fails(without(scenario, faults, kept)), budget)
    return without(scenario, faults, arrivals)


def _truncate(scenario: Scenario, end_ns: int) -> Scenario:
    arrivals = tuple(arrival for arrival in scenario.arrivals if arrival.at_ns <= end_ns)
    faults = tuple(fault for fault in scenario.faults if fault.at_ns <= end_ns + NS_PER_S)
    return without(scenario, faults, arrivals)


def _reduce(
    items: Sequence[Item], fails: Callable[[tuple[Item, ...]], bool], budget: PlayBudget
) -> tuple[Item, ...]:
    """Remove items that the failure does not need, until none can be removed or the budget is used up."""
    remaining = tuple(items)
    part_count = 2
    while remaining and budget.remaining_plays > 0:
        size = -(-len(remaining) // part_count)
        for start in range(0, len(remaining), size):
            rest = remaining[:start] + remaining[start + size :]
            budget.remaining_plays -= 1
            if fails(rest):
                remaining, part_count = rest, max(part_count - 1, 2)
                break
            if budget.remaining_plays <= 0:
                return remaining
        else:
            if size == 1:
                return remaining
            part_count = min(part_count * 2, len(remaining))
    return remaining
