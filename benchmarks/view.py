"""The view's decisions alone, by size of the fleet and loss, against heartbeats of each to all.

`python -m benchmarks.view [SIZES [LOSSES]]` (10,200,2000,10000 and 0,0.1,0.3), a line of JSON each;
`--plot DIR LINES` draws these. Thousands take minutes, ten thousand some GB.
"""

from __future__ import annotations

import json
import random
import sys
import time
from itertools import pairwise
from pathlib import Path

from dykefold.fleet.member_state import LIVE, State
from dykefold.fleet.rate_limits import SECOND, RateLimits
from dykefold.sim.views import Views

QUIET_S = {10: 120, 200: 30, 2000: 8, 10000: 3}  # in which nothing happens, by size
DEATHS = 5
OBSERVERS = 40  # whose words are noted
BEAT_NS = RateLimits().period_ns  # of the heartbeats; silence for as long as a suspicion stands is a death


def percentile(values: list[float], part: float) -> float:
    return round(sorted(values)[min(int(part * len(values)), len(values) - 1)], 2)


def measured(size: int, loss: float, seed: int = 1) -> dict[str, object]:
    """What a fleet of this size shows."""
    began = time.monotonic()
    world = Views(size, seed, loss)
    world.start_settled()
    world.run(3 * SECOND)  # until the first questions are answered
    world.changes.clear()
    sent, sent_bytes = world.sent, world.sent_bytes
    quiet_s = QUIET_S.get(size, 30)
    world.run(quiet_s * SECOND)
    idle = (world.sent - sent) / size / quiet_s, (world.sent_bytes - sent_bytes) / size / quiet_s
    suspected = {
        (change.member, change.incarnation) for _, change in world.changes if change.after is State.SUSPECT
    }
    gone = {change.member for _, change in world.changes if change.after is State.GONE}
    chance = random.Random(seed)
    dead = chance.sample(range(size), min(DEATHS, size // 3))
    alive = [number for number in range(size) if number not in dead]
    world.watch = set(chance.sample(alive, min(OBSERVERS, len(alive))))
    world.changes.clear()
    for number in dead:
        world.kill(number)
    died_ns, sent = world.now_ns, world.sent
    observers = [world.living[number] for number in world.watch]
    whole = world.run(
        60 * SECOND,
        lambda: all(
            view.membership.table.state(number) is State.GONE for view in observers for number in dead
        ),
    )
    noticed: dict[tuple[int, int], int] = {}
    for by, change in world.changes:
        if change.member in dead and change.after not in LIVE:
            noticed.setdefault((by, change.member), change.at_ns)
    times = [(at_ns - died_ns) / SECOND for at_ns in noticed.values()]
    spread_s = (world.now_ns - died_ns) / SECOND
    beats = heartbeats(size, loss, random.Random(seed))
    return {
        "members": size,
        "loss": loss,
        "whole": whole,
        "gone_p50_s": percentile(times, 0.5),
        "gone_p99_s": percentile(times, 0.99),
        "settled_s": round(spread_s, 2),
        "bound_s": round(world.pace.settled_ns(size) / SECOND, 1),
        "suspected_per_member_hour": round(len(suspected) / size / quiet_s * 3600, 1),
        "falsely_gone": len(gone),
        "datagrams_per_member_s": round(idle[0], 1),
        "bytes_per_member_s": round(idle[1]),
        "datagrams_after_deaths": round((world.sent - sent) / len(alive) / max(spread_s, 1.0), 1),
        **beats,
        "took_s": round(time.monotonic() - began, 1),
    }


def heartbeats(size: int, loss: float, chance: random.Random) -> dict[str, object]:
    """Each tells all others that it lives, once in a period: what an observer sees of one that dies."""
    pace = RateLimits()
    stands_ns = pace.suspicion_ns(size)
    times = []
    for _ in range(400):
        last_ns = -chance.random() * BEAT_NS  # the beat before the death
        while chance.random() < loss:
            last_ns -= BEAT_NS
        times.append((last_ns + chance.randint(1_000_000, 40_000_000) + stands_ns) / SECOND)
    lost_in_a_row = int(stands_ns // BEAT_NS)
    pairs = size * (size - 1)
    return {
        "beats_gone_p50_s": percentile(times, 0.5),
        "beats_gone_p99_s": percentile(times, 0.99),
        "beats_datagrams_per_member_s": round((size - 1) * SECOND / BEAT_NS),
        "beats_bytes_per_member_s": round((size - 1) * SECOND / BEAT_NS * 21),
        "beats_falsely_gone_per_hour": round(pairs * 3600 * SECOND / BEAT_NS * loss**lost_in_a_row, 1),
    }


SERIES = ("#1b6ca8", "#c0392b", "#2e8b57")
WIDTH, HEIGHT, MARGIN = 420, 240, 50


def plotted(rows: list[dict], names: dict[str, str], title: str, log: bool) -> str:
    """Figures over the size of the fleet, a line for each loss; broken lines for names after the first."""
    from math import log10

    sizes = sorted({row["members"] for row in rows})
    values = [max(float(row[name]), 0.1) for row in rows for name in names]
    low, high = (0.0, max(values)) if not log else (log10(min(values)), log10(max(values)))
    step = WIDTH / max(log10(sizes[-1] / sizes[0]), 0.1)

    def point(size: int, value: float) -> tuple[float, float]:
        at = log10(max(value, 0.1)) if log else value
        return MARGIN + log10(size / sizes[0]) * step, HEIGHT - (at - low) / (high - low or 1) * (HEIGHT - 30)

    parts = [f'<text x="{MARGIN}" y="14">{title}</text>']
    for colour, loss in zip(SERIES, sorted({row["loss"] for row in rows}), strict=False):
        of = sorted((row for row in rows if row["loss"] == loss), key=lambda row: row["members"])
        for turn, name in enumerate(names):
            points = [point(row["members"], float(row[name])) for row in of]
            dashes = ' stroke-dasharray="5 4"' if turn else ""
            for (x, y), (x2, y2) in pairwise(points):
                parts.append(
                    f'<line x1="{x:.0f}" y1="{y:.0f}" x2="{x2:.0f}" y2="{y2:.0f}" stroke="{colour}"{dashes}/>'
                )
            for (x, y), row in zip(points, of, strict=True):
                parts.append(f'<text x="{x + 3:.0f}" y="{y - 3:.0f}" fill="{colour}">{row[name]}</text>')
    for size in sizes:
        parts.append(f'<text x="{point(size, 1)[0]:.0f}" y="{HEIGHT + 16}">{size}</text>')
    legend = "; ".join([*names.values(), "blue, red, green: 0, 0.1, 0.3 lost"])
    parts.append(f'<text x="{MARGIN}" y="{HEIGHT + 34}">{legend}</text>')
    style = "<style>text{font:10px sans-serif}</style>"
    size_text = f'width="{WIDTH + 2 * MARGIN + 30}" height="{HEIGHT + 44}"'
    return f'<svg xmlns="http://www.w3.org/2000/svg" {size_text}>{style}{"".join(parts)}</svg>\n'


def main(arguments: list[str]) -> None:
    if arguments[:1] == ["--plot"]:
        rows = [json.loads(line) for line in Path(arguments[2]).read_text().splitlines()]
        folder = Path(arguments[1])
        seen = {"gone_p99_s": "until a death is known, p99", "beats_gone_p99_s": "heartbeats (broken)"}
        (folder / "view-detection.svg").write_text(plotted(rows, seen, "seconds by members", log=False))
        cost = {"bytes_per_member_s": "idle", "beats_bytes_per_member_s": "heartbeats (broken)"}
        (folder / "view-bytes.svg").write_text(plotted(rows, cost, "bytes a member and second", log=True))
        return
    sizes = [int(one) for one in (arguments[0] if arguments else "10,200,2000,10000").split(",")]
    losses = [float(one) for one in (arguments[1] if len(arguments) > 1 else "0,0.1,0.3").split(",")]
    for size in sizes:
        for loss in losses:
            print(json.dumps(measured(size, loss)), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
