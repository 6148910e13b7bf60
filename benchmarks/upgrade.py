"""Upgrades of one sidecar under load, without faults and with each fault between its two processes.

`python -m benchmarks.upgrade [N]`: N upgrades with each fault (20), a row for each fault. `--orders` instead
searches all orders of the events of hot restarts between three processes, which takes some minutes. `--with
TREE`: the processes alternate between this checkout and TREE, so that each version takes over from the other.
"""

from __future__ import annotations

import argparse
import tempfile
import time
from pathlib import Path

import uvloop

from dykefold.lab.fleet.process import OWN_TREE
from dykefold.lab.fleet.upgrades import FAULTS, HotRestartResult, measure_hot_restarts
from dykefold.sim.explore import explore
from dykefold.sim.upgrades import Model

COUNTED_RESULTS = ("served", "refused", "failed", "late", "crossed", "unsent")


def print_upgrades(count: int, trees: tuple[Path, ...]) -> None:
    """Print a row of `count` upgrades for each fault; without checkouts, all processes run this one."""
    headings = ("requests", *COUNTED_RESULTS, "lost", "excused", "rules", "gap s", "MB", "descriptors")
    print(f"| {count} upgrades | " + " | ".join(headings) + " |")
    for fault in FAULTS:
        with tempfile.TemporaryDirectory() as folder:
            measured = uvloop.run(measure_hot_restarts(Path(folder), fault, count, trees=trees))
        print(table_row(fault, measured), flush=True)


def table_row(fault: str, measured: HotRestartResult) -> str:
    """Format the row of one fault: counts of requests, seconds, MB, descriptors."""
    verdict = measured.verdict
    counts = verdict.counts
    cells = [sum(counts.values()), *(counts.get(result, 0) for result in COUNTED_RESULTS)]
    cells += [len(verdict.lost), verdict.excused, len(verdict.violations)]
    numbers = " | ".join(map(str, cells))
    return (
        f"| {fault} | {numbers} | {verdict.gap_s:.2f} | {measured.memory_mb:.0f} | {measured.descriptors} |"
    )


def print_order_search() -> None:
    """Search all event orders of three processes, with and without locks and stops, and print the result."""
    for model in (Model(3, 1, 60), Model(3, 1, 10, locks=False, stops=False)):
        began_s = time.monotonic()
        found = explore(model.initial_state(), model.transitions, model.violation)
        took_s = time.monotonic() - began_s
        print(
            f"{found.states} states, {found.transitions} moves, wrong: {found.violation}, {took_s:.0f} s",
            flush=True,
        )


def main() -> None:
    """Parse the command line and run the measurement or the search."""
    parser = argparse.ArgumentParser()
    parser.add_argument("count", type=int, nargs="?", default=20, help="upgrades with each fault")
    parser.add_argument(
        "--orders", action="store_true", help="search event orders of three processes instead"
    )
    parser.add_argument("--with", dest="tree", type=Path, help="checkout of another version")
    options = parser.parse_args()
    if options.orders:
        print_order_search()
    else:
        print_upgrades(options.count, (OWN_TREE, options.tree.resolve()) if options.tree is not None else ())


if __name__ == "__main__":
    main()
