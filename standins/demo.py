"""Three services behind the real sidecar, of which one is killed halfway: `python -m standins.demo`.

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
# Fractions of the time between which stock is down.
DOWN_FROM = 0.4
DOWN_TO = 0.7
CLIENTS_PER_SERVICE = 8
PAUSE_S = 0.02
MIN_SERVED_FRACTION = 0.99  # Of the requests to the other services, in every phase.
MAX_P99_INCREASE_MS = 100.0  # Of the other services while stock is down.
MIN_RECOVERED_FRACTION = 0.5  # Of the requests to stock after its return.
HTTP_OK = 200
REJECTION_CODES = frozenset((429, 503))
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
    """Results of the clients of one service, by phase."""

    method: str
    asked: dict[str, int] = field(default_factory=lambda: dict.fromkeys(PHASES, 0))
    served: dict[str, int] = field(default_factory=lambda: dict.fromkeys(PHASES, 0))
    refused: int = 0
    failed: int = 0
    latencies_s: dict[str, list[float]] = field(default_factory=lambda: {phase: [] for phase in PHASES})

    def quantile_ms(self, part: float, phases: tuple[str, ...] = PHASES) -> float:
        """Return a quantile of the latencies in milliseconds; 0 without any."""
        ordered = sorted(latency for phase in phases for latency in self.latencies_s[phase])
        return ordered[min(int(len(ordered) * part), len(ordered) - 1)] * 1000 if ordered else 0.0

    def share(self, phase: str) -> float:
        """Return the fraction of the requests of a phase that were served."""
        return self.served[phase] / max(self.asked[phase], 1)


class Shop:
    """The servers of one service, as a process of `standins.shop`.

    Args:
        name: Name of the service.
        options: Options of `standins.shop`.
    """

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
        """Send a line to the process."""
        assert self.process.stdin is not None
        self.process.stdin.write(line + "\n")
        self.process.stdin.flush()

    def report(self) -> dict:
        """Return the counts of the servers."""
        self.tell("report")
        assert self.process.stdout is not None
        return json.loads(self.process.stdout.readline())

    def close(self) -> None:
        """End the process."""
        assert self.process.stdin is not None
        self.process.stdin.close()
        self.process.wait()


async def run_client(
    port: int, name: str, tally: Tally, phase: list[str], until: float, ids: Iterator[int]
) -> None:
    """Send one request after the other; a closed connection is replaced."""
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
                if code == HTTP_OK:
                    tally.served[at] += 1
                    tally.latencies_s[at].append(time.monotonic() - began)
                elif code in REJECTION_CODES:
                    tally.refused += 1
                else:
                    tally.failed += 1
                await asyncio.sleep(PAUSE_S)
            writer.close()


def table_of(tallies: dict[str, Tally], shops: dict[str, Shop], phase: str) -> Table:
    """Return a table of the results so far."""
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
    """Run the clients, kill stock halfway and start it again."""
    tallies = {"catalogue": Tally("GET"), "stock": Tally("PUT"), "orders": Tally("POST")}
    phase = [PHASES[0]]
    began = time.monotonic()
    ids = itertools.count(1)
    clients = [
        asyncio.create_task(run_client(port, name, tally, phase, began + seconds, ids))
        for name, tally in tallies.items()
        for _ in range(CLIENTS_PER_SERVICE)
    ]
    with Live(console=console, refresh_per_second=4, transient=not console.is_terminal) as live:
        while (passed := (time.monotonic() - began) / seconds) < 1.0:
            due = PHASES[(passed >= DOWN_FROM) + (passed >= DOWN_TO)]
            if due != phase[0]:
                phase[0] = due
                shops["stock"].tell("down" if due == "down" else "up")
            live.update(table_of(tallies, shops, f"stock {'is down' if due == 'down' else 'is up'}"))
            await asyncio.sleep(0.25)
        await asyncio.gather(*clients)
    console.print(table_of(tallies, shops, "the end"))
    return tallies


def verdict(tallies: dict[str, Tally], reports: dict[str, dict]) -> list[tuple[bool, str]]:
    """Return what the servers' counts prove: whether each promise was kept, and a text."""
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
        found.append(
            (lost < 1 - MIN_SERVED_FRACTION, f"{name} served while stock was down as before: {text}")
        )
        p99 = {phase: tallies[name].quantile_ms(0.99, (phase,)) for phase in PHASES}
        text = ", ".join(f"{phase} {value:.0f} ms" for phase, value in p99.items())
        slower = p99["down"] - p99["before"]
        found.append((slower < MAX_P99_INCREASE_MS, f"{name} was as fast while stock was down, p99: {text}"))
    stock = tallies["stock"]
    found.append(
        (
            stock.share("after") > MIN_RECOVERED_FRACTION,
            f"stock served again after its return: {stock.share('after'):.1%}",
        )
    )
    return found


def main(seconds: float = SECONDS) -> int:
    """Run the demonstration; return the exit code."""
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
