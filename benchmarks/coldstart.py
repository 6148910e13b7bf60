"""Calls of a fleet that starts at once, by the decision alone: `python -m benchmarks.coldstart [SIZE ...]`.

A row for each size: each by itself, spread, and spread with words to each other; in front of a service of
160 calls a second with 32 in wait, and of one that grows with the fleet (0.8 a sidecar, as 160 for 200).
"""

from __future__ import annotations

import sys

from dykefold.fleet.rate_limits import SECOND
from dykefold.sim.callers import Callers

SEEDS = 5


def main(sizes: list[int]) -> None:
    print(
        "| sidecars | service | way | worst second, of its rate | turned away | half, all listed s (least) |"
    )
    print("| --- | --- | --- | --- | --- | --- |")
    for size in sizes:
        for rate in sorted({160.0, 0.8 * size}):
            if size / rate > 5.0:
                continue  # it could not answer all within the time to ask, whatever they do
            for way, (spread, told) in {
                "each by itself": (False, False),
                "spread": (True, False),
                "spread, told": (True, True),
            }.items():
                worst, away, calls, half, last = 0.0, 0, 0, 0.0, 0.0
                for seed in range(SEEDS):
                    callers = Callers(size, rate, max(int(rate / 5), 1), spread, seed, told)
                    seen = callers.run(40 * SECOND)
                    listed = sorted(seen.listed_ns.values())
                    assert len(listed) == size
                    worst = max(worst, max(seen.calls.values()) / rate)
                    away += seen.turned_away
                    calls += seen.calls.total()
                    half += listed[size // 2] / SECOND / SEEDS
                    last = max(last, listed[-1] / SECOND)
                least = f"{size / 2 / rate:.2f}, {size / rate:.2f}"
                print(
                    f"| {size} | {rate:.0f} a second | {way} | {worst:.2f} | {away / calls:.3f} "
                    f"| {half:.2f}, {last:.2f} ({least}) |",
                    flush=True,
                )


if __name__ == "__main__":
    main([int(word) for word in sys.argv[1:]] or [30, 100, 300, 1000, 3000])
