"""Calls of a fleet that starts at once, by the decision alone: `python -m benchmarks.coldstart [SIZE ...]`.

A row for each size: each by itself, spread, and spread with words to each other; in front of a service of
160 calls a second with 32 in wait, and of one that grows with the fleet (0.8 a sidecar, as 160 for 200).
"""

from __future__ import annotations

import sys
from dataclasses import dataclass

from dykefold.fleet.rate_limits import NS_PER_S
from dykefold.sim.callers import Callers

SIZES = (30, 100, 300, 1000, 3000)
SEEDS = 5
SPAN_NS = 40 * NS_PER_S
FIXED_RATE = 160.0  # calls a second
RATE_EACH = 0.8  # calls a second, of the service that grows with the fleet
RATE_PER_WAITING = 5  # calls a second of the service for each call that it lets wait
ANSWERED_WITHIN_S = 5.0  # what a service needs longer for it can't answer within the time to ask


@dataclass(frozen=True, slots=True)
class Way:
    """How a fleet begins to ask.

    Attributes:
        spread: Whether the calls are spread over time.
        reported: Whether the sidecars report to each other what they observed.
    """

    spread: bool
    reported: bool


WAYS = {
    "each by itself": Way(spread=False, reported=False),
    "spread": Way(spread=True, reported=False),
    "spread, told": Way(spread=True, reported=True),
}


@dataclass(slots=True)
class Figures:
    """What all seeds showed together.

    Attributes:
        worst_second: Largest number of calls in a second, relative to the service's rate.
        turned_away: Number of rejected calls.
        calls: Number of calls.
        half_s: Seconds until half of the sidecars had their list, mean over the seeds.
        all_s: Seconds until all sidecars had it, in the worst seed.
    """

    worst_second: float = 0.0
    turned_away: int = 0
    calls: int = 0
    half_s: float = 0.0
    all_s: float = 0.0


def measure(size: int, rate: float, way: Way) -> Figures:
    """Start a fleet of this size before a service of so many calls a second, once for each seed."""
    figures = Figures()
    waiting_most = max(int(rate / RATE_PER_WAITING), 1)
    for seed in range(SEEDS):
        seen = Callers(size, rate, waiting_most, way.spread, seed, way.reported).run(SPAN_NS)
        listed_ns = sorted(seen.listed_ns.values())
        assert len(listed_ns) == size
        figures.worst_second = max(figures.worst_second, max(seen.calls.values()) / rate)
        figures.turned_away += seen.turned_away
        figures.calls += seen.calls.total()
        figures.half_s += listed_ns[size // 2] / NS_PER_S / SEEDS
        figures.all_s = max(figures.all_s, listed_ns[-1] / NS_PER_S)
    return figures


def table_row(size: int, rate: float, name: str, figures: Figures) -> str:
    """A row of the table, with the least times that the service's rate allows."""
    least = f"{size / 2 / rate:.2f}, {size / rate:.2f}"
    return (
        f"| {size} | {rate:.0f} a second | {name} | {figures.worst_second:.2f} "
        f"| {figures.turned_away / figures.calls:.3f} "
        f"| {figures.half_s:.2f}, {figures.all_s:.2f} ({least}) |"
    )


def main(sizes: list[int]) -> None:
    """Print a row for each size, service and way."""
    print(
        "| sidecars | service | way | worst second, of its rate | turned away | half, all listed s (least) |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    for size in sizes:
        for rate in sorted({FIXED_RATE, RATE_EACH * size}):
            if size / rate > ANSWERED_WITHIN_S:
                continue
            for name, way in WAYS.items():
                print(table_row(size, rate, name, measure(size, rate, way)), flush=True)


if __name__ == "__main__":
    main([int(word) for word in sys.argv[1:]] or list(SIZES))
