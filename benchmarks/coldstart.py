"""Simulated list calls of a fleet that starts at once: `python -m benchmarks.coldstart [SIZE ...]`.

Rows for each fleet size: uncoordinated calls, calls spread over time, and spread calls with reports between
the sidecars. The list service answers 160 calls per second with 32 waiting, or a rate that grows with the
fleet (0.8 calls per second for each sidecar, as 160 for 200).
"""

from __future__ import annotations

import sys
from dataclasses import dataclass

from dykefold.fleet.rate_limits import NS_PER_S
from dykefold.sim.callers import PollingFleet

SIZES = (30, 100, 300, 1000, 3000)
SEEDS = 5
SPAN_NS = 40 * NS_PER_S
FIXED_RATE = 160.0  # calls per second
RATE_PER_SIDECAR = 0.8  # calls per second of the service that grows with the fleet
RATE_PER_WAITING = 5  # calls per second of the service for each call that it queues
MAX_SERVICE_TIME_S = (
    5.0  # fleets that need longer at the service's rate can't be served in time and are skipped
)


@dataclass(frozen=True, slots=True)
class CallStrategy:
    """How the sidecars of a fleet make their first calls.

    Attributes:
        spread: Whether the calls are spread over time.
        reported: Whether the sidecars report to each other what they observed.
    """

    spread: bool
    reported: bool


STRATEGIES = {
    "each by itself": CallStrategy(spread=False, reported=False),
    "spread": CallStrategy(spread=True, reported=False),
    "spread, told": CallStrategy(spread=True, reported=True),
}


@dataclass(slots=True)
class Results:
    """Results over all seeds.

    Attributes:
        worst_second: Largest number of calls in a second, relative to the service's rate.
        rejected: Number of rejected calls.
        calls: Number of calls.
        half_s: Seconds until half of the sidecars had their list, mean over the seeds.
        all_s: Seconds until all sidecars had it, in the worst seed.
    """

    worst_second: float = 0.0
    rejected: int = 0
    calls: int = 0
    half_s: float = 0.0
    all_s: float = 0.0


def measure(size: int, rate: float, strategy: CallStrategy) -> Results:
    """Start a fleet of this size with a list service of this rate (calls per second), once for each seed."""
    results = Results()
    max_waiting = max(int(rate / RATE_PER_WAITING), 1)
    for seed in range(SEEDS):
        simulated = PollingFleet(size, rate, max_waiting, strategy.spread, seed, strategy.reported).run(
            SPAN_NS
        )
        first_answers_ns = sorted(simulated.first_answer_ns.values())
        assert len(first_answers_ns) == size
        results.worst_second = max(results.worst_second, max(simulated.calls.values()) / rate)
        results.rejected += simulated.rejected
        results.calls += simulated.calls.total()
        results.half_s += first_answers_ns[size // 2] / NS_PER_S / SEEDS
        results.all_s = max(results.all_s, first_answers_ns[-1] / NS_PER_S)
    return results


def table_row(size: int, rate: float, name: str, results: Results) -> str:
    """Format a row of the table, with the minimum times that the service's rate allows."""
    min_times_s = f"{size / 2 / rate:.2f}, {size / rate:.2f}"
    return (
        f"| {size} | {rate:.0f} a second | {name} | {results.worst_second:.2f} "
        f"| {results.rejected / results.calls:.3f} "
        f"| {results.half_s:.2f}, {results.all_s:.2f} ({min_times_s}) |"
    )


def main(sizes: list[int]) -> None:
    """Measure and print a row for each size, service rate and strategy."""
    print(
        "| sidecars | service | way | worst second, of its rate | turned away | half, all listed s (least) |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    for size in sizes:
        for rate in sorted({FIXED_RATE, RATE_PER_SIDECAR * size}):
            if size / rate > MAX_SERVICE_TIME_S:
                continue
            for name, strategy in STRATEGIES.items():
                print(table_row(size, rate, name, measure(size, rate, strategy)), flush=True)


if __name__ == "__main__":
    main([int(argument) for argument in sys.argv[1:]] or list(SIZES))
