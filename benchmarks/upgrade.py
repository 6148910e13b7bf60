"""Upgrades of one sidecar under load, alone and under each fault between its two processes.

`python -m benchmarks.upgrade [N]`: N upgrades of each kind (20), a line each. `--orders`: the search of the
hand-over's orders with three processes instead, some minutes.
"""

from __future__ import annotations

import sys
import tempfile
import time
from pathlib import Path

import uvloop

from dykefold.lab.fleet.upgrades import FAULTS, measure
from dykefold.sim.explore import explore
from dykefold.sim.upgrades import Model

COUNTED = ("served", "refused", "failed", "late", "crossed", "unsent")


def upgrades(count: int) -> None:
    heads = ("requests", *COUNTED, "lost", "excused", "rules", "gap s", "MB", "descriptors")
    print(f"| {count} upgrades | " + " | ".join(heads) + " |")
    for fault in FAULTS:
        with tempfile.TemporaryDirectory() as folder:
            row = uvloop.run(measure(Path(folder), fault, count))
        counts, verdict = row.verdict.counts, row.verdict
        cells = [sum(counts.values()), *(counts.get(end, 0) for end in COUNTED)]
        cells += [len(verdict.lost), verdict.excused, len(verdict.violations)]
        told = " | ".join(map(str, cells))
        print(
            f"| {fault} | {told} | {verdict.gap_s:.2f} | {row.memory_mb:.0f} | {row.descriptors} |",
            flush=True,
        )


def orders() -> None:
    for model in (Model(3, 1, 60), Model(3, 1, 10, locks=False, stops=False)):
        began = time.monotonic()
        found = explore(model.first(), model.moves, model.wrong)
        took_s = time.monotonic() - began
        print(f"{found.states} states, {found.moves} moves, wrong: {found.wrong}, {took_s:.0f} s", flush=True)


if __name__ == "__main__":
    if "--orders" in sys.argv:
        orders()
    else:
        upgrades(int(sys.argv[1]) if len(sys.argv) > 1 else 20)
