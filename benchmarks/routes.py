"""What a look-up in the route table costs: `python -m benchmarks.routes`.

Tables of 10, 1,000 and 10,000 routes, a tenth of them for a host of their own and the rest under one host
by path, a third of these for POST only; look-ups of routes that exist and of paths that none names, in
alternating rounds. The peer is a scan in the order of specificity, over the smallest and the middle table.
"""

from __future__ import annotations

import random
import statistics
import time

from dykefold.routing.request_target import path_segments, split_target
from dykefold.routing.route import Route
from dykefold.routing.table import RouteTable

SIZES = (10, 1_000, 10_000)
LOOKUPS = 20_000
SCANS = 200
ROUNDS = 7


def routes(count: int) -> list[Route]:
    made = [Route("rest", "p", host="parts.net", prefix="/")]
    for number in range(count - 1):
        if number % 10 == 0:
            made.append(Route(f"h{number}", "p", host=f"yard{number}.parts.net", prefix="/"))
        else:
            methods = ("POST",) if number % 3 == 0 else ()
            prefix = f"/yards/{number}/parts"
            made.append(Route(f"r{number}", "p", host="parts.net", prefix=prefix, methods=methods))
    return made


def asked(made: list[Route], count: int) -> list[tuple[str, str]]:
    draw = random.Random(1)
    found = []
    for _ in range(count):
        route = draw.choice(made)
        tail = "/" if route.prefix == "/" else f"{route.prefix}/{draw.randrange(1000)}"
        found.append((route.host or "parts.net", tail if draw.random() < 0.8 else "/none/such"))
    return found


def look_up(table: RouteTable, requests: list[tuple[str, str]]) -> float:
    """Microseconds for each, with host and path brought into their form."""
    began = time.perf_counter()
    for host, path in requests:
        name, parts = split_target(path, [host])
        table.find(name, parts, "GET")
    return (time.perf_counter() - began) / len(requests) * 1e6


def scan(made: list[Route], requests: list[tuple[str, str]]) -> float:
    ranked = sorted(made, key=lambda route: -len(route.prefix or ""))
    split = [(route, path_segments(route.prefix or "/")) for route in ranked]
    began = time.perf_counter()
    for host, path in requests:
        name, parts = split_target(path, [host])
        for route, prefix in split:
            if route.host == name and parts[: len(prefix)] == prefix and not route.methods:
                break
    return (time.perf_counter() - began) / len(requests) * 1e6


def main() -> None:
    tables = {size: RouteTable(1, routes(size), ["p"]) for size in SIZES}
    costs: dict[int, list[float]] = {size: [] for size in SIZES}
    for _ in range(ROUNDS):
        for size, table in tables.items():
            costs[size].append(look_up(table, asked(list(table.routes), LOOKUPS)))
    first = statistics.median(costs[SIZES[0]])
    for size in SIZES:
        cost = statistics.median(costs[size])
        text = f"{size:6} routes  {cost:6.2f} us a look-up  {cost / first:.2f} of {SIZES[0]} routes"
        print(text + f"  scan {scan(routes(size), asked(routes(size), SCANS)):9.1f} us")


if __name__ == "__main__":
    main()
