"""What a look-up in the route table costs: `python -m benchmarks.routes`.

Tables of 10, 1,000 and 10,000 routes, a tenth of them for a host of their own and the rest under one host
by path, a third of these for POST only; look-ups of routes that exist and of paths that none names, in
alternating rounds. The peer is a scan in the order of specificity, over the smallest and the middle table.
"""

from __future__ import annotations

import random
import statistics
import time
from typing import NamedTuple

from dykefold.routing.request_target import path_segments, split_target
from dykefold.routing.route import Route
from dykefold.routing.table import RouteTable

SIZES = (10, 1_000, 10_000)
LOOKUPS = 20_000
SCANS = 200
ROUNDS = 7
KNOWN_PART = 0.8  # of the paths asked for; no route names the rest


class Target(NamedTuple):
    """Where a request goes."""

    host: str
    path: str


def routes(count: int) -> list[Route]:
    """A table of so many routes."""
    made = [Route("rest", "p", host="parts.net", prefix="/")]
    for number in range(count - 1):
        if number % 10 == 0:
            made.append(Route(f"h{number}", "p", host=f"yard{number}.parts.net", prefix="/"))
        else:
            methods = ("POST",) if number % 3 == 0 else ()
            prefix = f"/yards/{number}/parts"
            made.append(Route(f"r{number}", "p", host="parts.net", prefix=prefix, methods=methods))
    return made


def requests(table: list[Route], count: int) -> list[Target]:
    """Draw targets of routes of this table, and of paths that none names; the same ones in each call."""
    generator = random.Random(1)
    drawn = []
    for _ in range(count):
        route = generator.choice(table)
        tail = "/" if route.prefix == "/" else f"{route.prefix}/{generator.randrange(1000)}"
        path = tail if generator.random() < KNOWN_PART else "/none/such"
        drawn.append(Target(route.host or "parts.net", path))
    return drawn


def look_up(table: RouteTable, targets: list[Target]) -> float:
    """Microseconds for each, with host and path brought into their form."""
    began_s = time.perf_counter()
    for host, path in targets:
        name, parts = split_target(path, [host])
        table.find(name, parts, "GET")
    return (time.perf_counter() - began_s) / len(targets) * 1e6


def scan(table: list[Route], targets: list[Target]) -> float:
    """Microseconds for each, by a scan of all routes in the order of specificity."""
    ranked = sorted(table, key=lambda route: -len(route.prefix or ""))
    split = [(route, path_segments(route.prefix or "/")) for route in ranked]
    began_s = time.perf_counter()
    for host, path in targets:
        name, parts = split_target(path, [host])
        for route, prefix in split:
            if route.host == name and parts[: len(prefix)] == prefix and not route.methods:
                break
    return (time.perf_counter() - began_s) / len(targets) * 1e6


def main() -> None:
    """Print a line for each size of the table."""
    tables = {size: RouteTable(1, routes(size), ["p"]) for size in SIZES}
    costs: dict[int, list[float]] = {size: [] for size in SIZES}
    for _ in range(ROUNDS):
        for size, table in tables.items():
            costs[size].append(look_up(table, requests(list(table.routes), LOOKUPS)))
    first = statistics.median(costs[SIZES[0]])
    for size in SIZES:
        cost = statistics.median(costs[size])
        scan_cost = scan(routes(size), requests(routes(size), SCANS))
        text = f"{size:6} routes  {cost:6.2f} us a look-up  {cost / first:.2f} of {SIZES[0]} routes"
        print(text + f"  scan {scan_cost:9.1f} us")


if __name__ == "__main__":
    main()
