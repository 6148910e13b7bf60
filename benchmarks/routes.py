"""Cost of a lookup in the route table: `python -m benchmarks.routes`.

Tables of 10, 1,000 and 10,000 routes: a tenth of the routes have their own host, the rest share one host and
differ by path, a third of these for POST only. Lookups of existing routes and of unmatched paths run in
alternating rounds over the tables. The baseline is a linear scan of each table in the order of specificity.
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
MATCHING_FRACTION = 0.8  # of the requested paths; no route matches the rest


class Target(NamedTuple):
    """Host and path of a request."""

    host: str
    path: str


def routes(count: int) -> list[Route]:
    """Return `count` routes."""
    result = [Route("rest", "p", host="parts.net", prefix="/")]
    for number in range(count - 1):
        if number % 10 == 0:
            result.append(Route(f"h{number}", "p", host=f"yard{number}.parts.net", prefix="/"))
        else:
            methods = ("POST",) if number % 3 == 0 else ()
            prefix = f"/yards/{number}/parts"
            result.append(Route(f"r{number}", "p", host="parts.net", prefix=prefix, methods=methods))
    return result


def requests(table: list[Route], count: int) -> list[Target]:
    """Draw targets that match routes and targets that match none; the same ones in each call."""
    rng = random.Random(1)
    drawn = []
    for _ in range(count):
        route = rng.choice(table)
        matching_path = "/" if route.prefix == "/" else f"{route.prefix}/{rng.randrange(1000)}"
        path = matching_path if rng.random() < MATCHING_FRACTION else "/none/such"
        drawn.append(Target(route.host or "parts.net", path))
    return drawn


def lookup_us(table: RouteTable, targets: list[Target]) -> float:
    """Return the microseconds per lookup in the route table, host and path normalization included."""
    began_s = time.perf_counter()
    for host, path in targets:
        name, parts = split_target(path, [host])
        table.find(name, parts, "GET")
    return (time.perf_counter() - began_s) / len(targets) * 1e6


def scan_us(table: list[Route], targets: list[Target]) -> float:
    """Return the microseconds per lookup by a scan of all routes in the order of specificity."""
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
    """Measure and print a line for each table size."""
    tables = {size: RouteTable(1, routes(size), ["p"]) for size in SIZES}
    costs_us: dict[int, list[float]] = {size: [] for size in SIZES}
    for _ in range(ROUNDS):
        for size, table in tables.items():
            costs_us[size].append(lookup_us(table, requests(list(table.routes), LOOKUPS)))
    base_us = statistics.median(costs_us[SIZES[0]])
    for size in SIZES:
        cost_us = statistics.median(costs_us[size])
        scan_cost_us = scan_us(routes(size), requests(routes(size), SCANS))
        text = f"{size:6} routes  {cost_us:6.2f} us a look-up  {cost_us / base_us:.2f} of {SIZES[0]} routes"
        print(text + f"  scan {scan_cost_us:9.1f} us")


if __name__ == "__main__":
    main()
