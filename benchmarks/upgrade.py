"""Upgrades of one sidecar under load, alone and under each fault between its two processes.

`python -m benchmarks.upgrade [N]`: N upgrades of each kind (20), a line each. `--orders`: the search of the
orders of a hot restart's events with three processes instead, some minutes. `--with TREE`: each process runs
the program of this checkout and of TREE in turn, so that each version takes over from the other.
"""

from __future__ import annotations

import argparse
import tempfile
import time
from pathlib import Path

import uvloop

from dykefold.lab.fleet.process import OWN_TREE
from dykefold.lab.fleet.upgrades import FAULTS, Row, measure
from dykefold.sim.explore import explore
from dykefold.sim.upgrades import Model

COUNTED = ("served", "refused", "failed", "late", "crossed", "unsent")


def print_upgrades(count: int, trees: tuple[Path, ...]) -> None:
    """Print a row for each fault, of `count` upgrades between these checkouts; none: of this one alone."""
    heads = ("requests", *COUNTED, "lost", "excused", "rules", "gap s", "MB", "descriptors")
    print(f"| {count} upgrades | " + " | ".join(heads) + " |")
    for fault in FAULTS:
        with tempfile.TemporaryDirectory() as folder:
            measured = uvloop.run(measure(Path(folder), fault, count, trees=trees))
        print(table_row(fault, measured), flush=True)


def table_row(fault: str, measured: Row) -> str:
    """The counts of one fault as a row of the table: requests, seconds, MB, descriptors."""
    verdict = measured.verdict
    counts = verdict.counts
    cells = [sum(counts.values()), *(counts.get(end, 0) for end in COUNTED)]
    cells += [len(verdict.lost), verdict.excused, len(verdict.violations)]
    numbers = " | ".join(map(str, cells))
    return (
        f"| {fault} | {numbers} | {verdict.gap_s:.2f} | {measured.memory_mb:.0f} | {measured.descriptors} |"
    )


def print_orders() -> None:
    """Search all orders of three processes, with locks and stops and without, and print what was found."""
    for model in (Model(3, 1, 60), Model(3, 1, 10, locks=False, stops=False)):
        began_s = time.monotonic()
        found = explore(model.initial_state(), model.transitions, model.violation)
        took_s = time.monotonic() - began_s
        print(
            f"{found.states} states, {found.transitions} moves, wrong: {found.violation}, {took_s:.0f} s",
            flush=True,
        )


def main() -> None:
    """Read the command line."""
    parser = argparse.ArgumentParser()
    parser.add_argument("count", type=int, nargs="?", default=20, help="upgrades of each kind")
    parser.add_argument("--orders", action="store_true", help="search the orders of three processes instead")
    parser.add_argument("--with", dest="tree", type=Path, help="a checkout of another version")
    options = parser.parse_args()
    if options.orders:
        print_orders()
    else:
        print_upgrades(options.count, (OWN_TREE, options.tree.resolve()) if options.tree is not None else ())


if __name__ == "__main__":
    main()
