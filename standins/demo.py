"""Three services behind the real sidecar, one of them killed halfway: `python -m standins.demo`.

Catalogue (slow), stock (dies and comes back) and orders (a few of its answers are lost) run as processes of
their own. Lookups, holds and orders are driven for some 20 s while a table shows what becomes of them; the
verdict at the end is computed from what the servers counted, not from what the sidecar says.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

from rich.console import Console
from rich.live import Live
from rich.table import Table

from .sidecar import ROOT, services

SECONDS = 20.0
DOWN_FROM, DOWN_TO = 0.4, 0.7  # of that time, stock is down
DESKS = 8  # for each service
PAUSE_S = 0.02
UNHARMED = 0.99  # of the requests that the other services must answer in every phase
NOISE_MS = 100.0  # by which their 99th percentile may be higher meanwhile: some hundred answers a phase
PHASES = ("before", "down", "after")
FILE = """\
[node]
name = "demo"
listen = "127.0.0.1:0"

[pools.catalogue]
servers = {catalogue}
deadline_ms = 2000
open_least = 32

[pools.stock]
servers = {stock}
deadline_ms = 1000
open_least = 32

[pools.orders]
servers = {orders}
deadline_ms = 2000
open_least = 32

[[routes]]
name = "lookups"
pool = "catalogue"
prefix = "/catalogue"
methods = ["GET"]

[[routes]]
name = "holds"
pool = "stock"
prefix = "/stock"
idempotent = true

[[routes]]
name = "orders"
pool = "orders"
prefix = "/orders"
methods = ["POST"]
"""


@dataclass
class Tally:
    """What one service's desks were answered, by phase."""

    method: str
    asked: dict[str, int] = field(default_factory=lambda: dict.fromkeys(PHASES, 0))
    served: dict[str, int] = field(default_factory=lambda: dict.fromkeys(PHASES, 0))
    refused: int = 0
    failed: int = 0
    latencies_s: dict[str, list[float]] = field(default_factory=lambda: {phase: [] for phase in PHASES})

    def quantile_ms(self, part: float, phases: tuple[str, ...] = PHASES) -> float:
        ordered = sorted(latency for phase in phases for latency in self.latencies_s[phase])
        return ordered[min(int(len(ordered) * part), len(ordered) - 1)] * 1000 if ordered else 0.0

    def share(self, phase: str) -> float:
        return self.served[phase] / max(self.asked[phase], 1)


class Shop:
    """One service's servers as a process."""

    def __init__(self, name: str, *options: str) -> None:
        self.process = subprocess.Popen(
            [sys.executable, "-m", "standins.shop", name, *options],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        assert self.process.stdout is not None
        self.ports = [int(port) for port in self.process.stdout.readline().split()]

    def tell(self, line: str) -> None:
        assert self.process.stdin is not None
        self.process.stdin.write(line + "\n")
        self.process.stdin.flush()

    def report(self) -> dict:
        self.tell("report")
        assert self.process.stdout is not None
        return json.loads(self.process.stdout.readline())

    def close(self) -> None:
        assert self.process.stdin is not None
        self.process.stdin.close()
        self.process.wait()


async def desk(
    port: int, name: str, tally: Tally, phase: list[str], until: float, ids: Iterator[int]
) -> None:
    """Ask one request after another; a connection that ended is replaced."""
    while time.monotonic() < until:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            while time.monotonic() < until:
                at, began = phase[0], time.monotonic()
                writer.write(
                    f"{tally.method} /{name}/{next(ids)} HTTP/1.1\r\nHost: parts.example\r\n"
                    "Content-Length: 0\r\n\r\n".encode()
                )
                tally.asked[at] += 1
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                length = head.partition(b"content-length: ")[2].partition(b"\r")[0]
                await reader.readexactly(int(length))
                code = int(head.split()[1])
                if code == 200:
                    tally.served[at] += 1
                    tally.latencies_s[at].append(time.monotonic() - began)
                elif code in (429, 503):
                    tally.refused += 1
                else:
                    tally.failed += 1
                await asyncio.sleep(PAUSE_S)
            writer.close()


def table_of(tallies: dict[str, Tally], shops: dict[str, Shop], phase: str) -> Table:
    table = Table(title=f"three services, one sidecar: {phase}")
    for column in ("service", "asked", "served", "refused", "failed", "retries", "p50 ms", "p99 ms"):
        table.add_column(column, justify="left" if column == "service" else "right")
    for name, tally in tallies.items():
        asked = sum(tally.asked.values())
        retries = max(shops[name].report()["attempts"] - asked, 0)
        numbers = [asked, sum(tally.served.values()), tally.refused, tally.failed, retries]
        quantiles = [f"{tally.quantile_ms(part):.1f}" for part in (0.5, 0.99)]
        table.add_row(name, *map(str, numbers), *quantiles)
    return table


async def play(port: int, shops: dict[str, Shop], console: Console, seconds: float) -> dict[str, Tally]:
    """Drive the load, kill stock halfway and bring it back."""
    tallies = {"catalogue": Tally("GET"), "stock": Tally("PUT"), "orders": Tally("POST")}
    phase = [PHASES[0]]
    began = time.monotonic()
    ids = itertools.count(1)
    desks = [
        asyncio.create_task(desk(port, name, tally, phase, began + seconds, ids))
        for name, tally in tallies.items()
        for _ in range(DESKS)
    ]
    with Live(console=console, refresh_per_second=4, transient=not console.is_terminal) as live:
        while (passed := (time.monotonic() - began) / seconds) < 1.0:
            due = PHASES[(passed >= DOWN_FROM) + (passed >= DOWN_TO)]
            if due != phase[0]:
                phase[0] = due
                shops["stock"].tell("down" if due == "down" else "up")
            live.update(table_of(tallies, shops, f"stock {'is down' if due == 'down' else 'is up'}"))
            await asyncio.sleep(0.25)
        await asyncio.gather(*desks)
    console.print(table_of(tallies, shops, "the end"))
    return tallies


def verdict(tallies: dict[str, Tally], reports: dict[str, dict]) -> list[tuple[bool, str]]:
    """What the servers' own counts prove."""
    twice = sum(report["orders_twice"] for report in reports.values())
    strays = sum(report["strays"] for report in reports.values())
    orders = reports["orders"]["orders"]
    found = [
        (orders > 0 and not twice, f"{orders} orders reached a server, {twice} of them twice"),
        (not strays, f"{strays} requests reached a service that their route does not name"),
    ]
    for name in ("catalogue", "orders"):
        shares = {phase: tallies[name].share(phase) for phase in PHASES}
        text = ", ".join(f"{phase} {share:.1%}" for phase, share in shares.items())
        lost = shares["before"] - shares["down"]
        found.append((lost < 1 - UNHARMED, f"{name} served while stock was down as before: {text}"))
        p99 = {phase: tallies[name].quantile_ms(0.99, (phase,)) for phase in PHASES}
        text = ", ".join(f"{phase} {value:.0f} ms" for phase, value in p99.items())
        slower = p99["down"] - p99["before"]
        found.append((slower < NOISE_MS, f"{name} was as fast while stock was down, p99: {text}"))
    stock = tallies["stock"]
    found.append(
        (stock.share("after") > 0.5, f"stock served again after its return: {stock.share('after'):.1%}")
    )
    return found


def main(seconds: float = SECONDS) -> int:
    console = Console()
    shops = {
        "catalogue": Shop("catalogue", "--work-ms", "40"),
        "stock": Shop("stock", "--work-ms", "5"),
        "orders": Shop("orders", "--work-ms", "10", "--reset", "0.02"),
    }
    try:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "service.toml"
            path.write_text(
                FILE.format(
                    **{
                        name: json.dumps([f"127.0.0.1:{port}" for port in shop.ports])
                        for name, shop in shops.items()
                    }
                )
            )
            with services(path) as running:
                tallies = asyncio.run(play(running.port, shops, console, seconds))
        found = verdict(tallies, {name: shop.report() for name, shop in shops.items()})
    finally:
        for shop in shops.values():
            shop.close()
    for good, text in found:
        console.print(f"{'[green]yes[/]' if good else '[red]NO [/]'} {text}", highlight=False)
    good = all(good for good, _ in found)
    console.print("every promise was kept" if good else "A PROMISE WAS BROKEN")
    return 0 if good else 1


if __name__ == "__main__":
    raise SystemExit(main())
