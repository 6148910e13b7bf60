"""Simulated membership protocol by fleet size and datagram loss, compared with all-to-all heartbeats.

`python -m benchmarks.view [SIZES [LOSSES]]` (10,200,2000,10000 and 0,0.1,0.3) prints a line of JSON
for each pair; `--plot DIR LINES` plots these lines. Thousands of members take minutes, ten thousand some GB.
"""

from __future__ import annotations

import json
import random
import sys
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import pairwise
from math import log10
from pathlib import Path
from typing import Any, NamedTuple

from dykefold.fleet.member_state import LIVE, State
from dykefold.fleet.rate_limits import NS_PER_S, RateLimits
from dykefold.sim.views import SimulatedFleet

SIZES, LOSSES = "10,200,2000,10000", "0,0.1,0.3"
WARM_UP_NS = 3 * NS_PER_S  # by then the first probes have been answered
IDLE_S_BY_SIZE = {10: 120, 200: 30, 2000: 8, 10000: 3}  # observation without faults, by fleet size
DEFAULT_IDLE_S = 30
DEATHS = 5
MIN_MEMBERS_PER_DEATH = 3
OBSERVERS = 40  # members whose changes are recorded
MAX_DETECTION_NS = 60 * NS_PER_S
SECONDS_PER_HOUR = 3600
HEARTBEAT_NS = RateLimits().period_ns  # silence for the duration of a suspicion counts as a death
HEARTBEAT_BYTES = 21
HEARTBEAT_DRAWS = 400
DELAY_NS = (1_000_000, 40_000_000)  # minimum and maximum of a datagram

# A line of the output, by column; names of columns end in their units.
Row = dict[str, Any]


def percentile(values: list[float], fraction: float) -> float:
    """Return the value below which this fraction of the values lies, rounded to two places."""
    return round(sorted(values)[min(int(fraction * len(values)), len(values) - 1)], 2)


@dataclass(frozen=True, slots=True)
class IdleActivity:
    """Activity of a fleet without faults.

    Attributes:
        span_s: Duration of the observation in seconds.
        datagrams: Datagrams sent by a member per second.
        sent_bytes: Bytes sent by a member per second.
        suspected: Number of suspicions of live members.
        gone: Number of live members that were declared dead.
    """

    span_s: int
    datagrams: float
    sent_bytes: float
    suspected: int
    gone: int


def measure_idle(world: SimulatedFleet) -> IdleActivity:
    """Run a settled fleet without faults, and return its activity."""
    span_s = IDLE_S_BY_SIZE.get(world.size, DEFAULT_IDLE_S)
    world.changes.clear()
    sent, sent_bytes = world.sent, world.sent_bytes
    world.run(span_s * NS_PER_S)
    changes = [change for _, change in world.changes]
    suspected = {(change.member, change.incarnation) for change in changes if change.after is State.SUSPECT}
    gone = {change.member for change in changes if change.after is State.GONE}
    return IdleActivity(
        span_s=span_s,
        datagrams=(world.sent - sent) / world.size / span_s,
        sent_bytes=(world.sent_bytes - sent_bytes) / world.size / span_s,
        suspected=len(suspected),
        gone=len(gone),
    )


@dataclass(frozen=True, slots=True)
class DeathDetection:
    """Detection of the deaths of some members.

    Attributes:
        is_complete: Whether all observers had declared all dead members dead at the end.
        detected_s: Seconds from the deaths until an observer no longer considered a dead member alive, for
            each pair.
        settled_s: Seconds from the deaths until all observers had declared all dead members dead.
        datagrams: Datagrams sent by a live member per second until then.
    """

    is_complete: bool
    detected_s: list[float]
    settled_s: float
    datagrams: float


def measure_deaths(world: SimulatedFleet, rng: random.Random) -> DeathDetection:
    """Kill some members at once, and run until all observers have declared them dead."""
    dead = rng.sample(range(world.size), min(DEATHS, world.size // MIN_MEMBERS_PER_DEATH))
    alive = [number for number in range(world.size) if number not in dead]
    world.watch = set(rng.sample(alive, min(OBSERVERS, len(alive))))
    world.changes.clear()
    for number in dead:
        world.kill(number)
    died_ns, sent = world.now_ns, world.sent
    tables = [world.living[number].membership.table for number in world.watch]

    def all_known() -> bool:
        return all(table.state(number) is State.GONE for table in tables for number in dead)

    is_complete = world.run(MAX_DETECTION_NS, all_known)
    detected_ns: dict[tuple[int, int], int] = {}
    for observer, change in world.changes:
        if change.member in dead and change.after not in LIVE:
            detected_ns.setdefault((observer, change.member), change.at_ns)
    settled_s = (world.now_ns - died_ns) / NS_PER_S
    return DeathDetection(
        is_complete=is_complete,
        detected_s=[(at_ns - died_ns) / NS_PER_S for at_ns in detected_ns.values()],
        settled_s=settled_s,
        datagrams=(world.sent - sent) / len(alive) / max(settled_s, 1.0),
    )


def simulate(size: int, loss: float, seed: int = 1) -> Row:
    """Simulate a fleet of this size with this fraction of its datagrams lost; return its line of output."""
    began_s = time.monotonic()
    world = SimulatedFleet(size, seed, loss)
    world.start_settled()
    world.run(WARM_UP_NS)
    idle = measure_idle(world)
    deaths = measure_deaths(world, random.Random(seed))
    suspected_per_hour = idle.suspected / size / idle.span_s * SECONDS_PER_HOUR
    return {
        "members": size,
        "loss": loss,
        "whole": deaths.is_complete,
        "gone_p50_s": percentile(deaths.detected_s, 0.5),
        "gone_p99_s": percentile(deaths.detected_s, 0.99),
        "settled_s": round(deaths.settled_s, 2),
        "bound_s": round(world.pace.settled_ns(size) / NS_PER_S, 1),
        "suspected_per_member_hour": round(suspected_per_hour, 1),
        "falsely_gone": idle.gone,
        "datagrams_per_member_s": round(idle.datagrams, 1),
        "bytes_per_member_s": round(idle.sent_bytes),
        "datagrams_after_deaths": round(deaths.datagrams, 1),
        **heartbeat_columns(size, loss, random.Random(seed)),
        "took_s": round(time.monotonic() - began_s, 1),
    }


def heartbeat_columns(size: int, loss: float, rng: random.Random) -> Row:
    """Return the columns of all-to-all heartbeats, one per period: detection time, traffic, false deaths."""
    suspicion_ns = RateLimits().suspicion_ns(size)
    detected_s = []
    for _ in range(HEARTBEAT_DRAWS):
        last_ns = -rng.random() * HEARTBEAT_NS  # the heartbeat before the death
        while rng.random() < loss:
            last_ns -= HEARTBEAT_NS
        detected_s.append((last_ns + rng.randint(*DELAY_NS) + suspicion_ns) / NS_PER_S)
    lost_in_a_row = int(suspicion_ns // HEARTBEAT_NS)
    pairs = size * (size - 1)
    heartbeats_per_hour = pairs * SECONDS_PER_HOUR * NS_PER_S / HEARTBEAT_NS
    datagrams = (size - 1) * NS_PER_S / HEARTBEAT_NS
    return {
        "beats_gone_p50_s": percentile(detected_s, 0.5),
        "beats_gone_p99_s": percentile(detected_s, 0.99),
        "beats_datagrams_per_member_s": round(datagrams),
        "beats_bytes_per_member_s": round(datagrams * HEARTBEAT_BYTES),
        "beats_falsely_gone_per_hour": round(heartbeats_per_hour * loss**lost_in_a_row, 1),
    }


COLOURS = ("#1b6ca8", "#c0392b", "#2e8b57")  # by loss
WIDTH, HEIGHT, MARGIN = 420, 240, 50  # of the plot area, pixels
TOP, RIGHT, BOTTOM = 30, 30, 44  # pixels for the title, the last labels and the legend
MIN_PLOTTED = 0.1  # smaller values are drawn as this on a logarithmic axis


class Point(NamedTuple):
    """A position in the plot, in pixels from its upper left corner."""

    x: float
    y: float


def text(x: float, y: float, content: object, colour: str = "") -> str:
    """Return an SVG text that begins at this position."""
    fill = f' fill="{colour}"' if colour else ""
    return f'<text x="{x:.0f}" y="{y:.0f}"{fill}>{content}</text>'


def line(start: Point, end: Point, colour: str, dashed: bool) -> str:
    """Return an SVG line."""
    dashes = ' stroke-dasharray="5 4"' if dashed else ""
    ends = f'x1="{start.x:.0f}" y1="{start.y:.0f}" x2="{end.x:.0f}" y2="{end.y:.0f}"'
    return f'<line {ends} stroke="{colour}"{dashes}/>'


def axes(rows: list[Row], names: Iterable[str], log: bool) -> Callable[[int, float], Point]:
    """Return a function from size and value to a position; all values of these rows fit into the plot."""

    def scaled(value: float) -> float:
        return log10(max(value, MIN_PLOTTED)) if log else value

    sizes = [row["members"] for row in rows]
    values = [max(float(row[name]), MIN_PLOTTED) for row in rows for name in names]
    low, high = (scaled(min(values)) if log else 0.0), scaled(max(values))
    step = WIDTH / max(log10(max(sizes) / min(sizes)), 0.1)

    def point(size: int, value: float) -> Point:
        height = (scaled(value) - low) / (high - low or 1) * (HEIGHT - TOP)
        return Point(MARGIN + log10(size / min(sizes)) * step, HEIGHT - height)

    return point


def svg_plot(rows: list[Row], names: dict[str, str], title: str, log: bool) -> str:
    """Return an SVG plot of columns over fleet size, a line for each loss; dashed for the second column."""
    point = axes(rows, names, log)
    parts = [text(MARGIN, 14, title)]
    for colour, loss in zip(COLOURS, sorted({row["loss"] for row in rows}), strict=False):
        series = sorted((row for row in rows if row["loss"] == loss), key=lambda row: int(row["members"]))
        for index, name in enumerate(names):
            points = [point(row["members"], float(row[name])) for row in series]
            parts += [line(start, end, colour, dashed=index > 0) for start, end in pairwise(points)]
            parts += [
                text(at.x + 3, at.y - 3, row[name], colour) for at, row in zip(points, series, strict=True)
            ]
    parts += [text(point(size, 1).x, HEIGHT + 16, size) for size in sorted({row["members"] for row in rows})]
    legend = "; ".join([*names.values(), "blue, red, green: 0, 0.1, 0.3 lost"])
    parts.append(text(MARGIN, HEIGHT + 34, legend))
    style = "<style>text{font:10px sans-serif}</style>"
    extent = f'width="{WIDTH + 2 * MARGIN + RIGHT}" height="{HEIGHT + BOTTOM}"'
    return f'<svg xmlns="http://www.w3.org/2000/svg" {extent}>{style}{"".join(parts)}</svg>\n'


def plot(folder: Path, lines: Path) -> None:
    """Write the two plots of the lines that a run printed."""
    rows = [json.loads(row) for row in lines.read_text().splitlines()]
    detection_columns = {
        "gone_p99_s": "until a death is known, p99",
        "beats_gone_p99_s": "heartbeats (broken)",
    }
    (folder / "view-detection.svg").write_text(
        svg_plot(rows, detection_columns, "seconds by members", log=False)
    )
    traffic_columns = {"bytes_per_member_s": "idle", "beats_bytes_per_member_s": "heartbeats (broken)"}
    (folder / "view-bytes.svg").write_text(
        svg_plot(rows, traffic_columns, "bytes a member and second", log=True)
    )


def main(arguments: list[str]) -> None:
    """Write the plots, or print a line of JSON for each size and loss."""
    if arguments[:1] == ["--plot"]:
        plot(Path(arguments[1]), Path(arguments[2]))
        return
    sizes, losses, *_ = [*arguments, *(SIZES, LOSSES)[len(arguments) :]]
    for size in map(int, sizes.split(",")):
        for loss in map(float, losses.split(",")):
            print(json.dumps(simulate(size, loss)), flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
