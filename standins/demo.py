"""Three services behind the real sidecar, one of which fails and recovers: `python -m standins.demo`.

Catalogue (slow), stock (goes down and recovers) and orders (a few of its answers are lost) run as separate
processes. Clients send lookups, holds and orders for some 20 s while a table shows the results; the verdict
at the end is computed from the counts of the servers, not from reports of the sidecar.
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

from .sidecar import ROOT, sidecar_of_service_file

DURATION_S = 20.0
# Stock is down between these fractions of the run.
DOWN_FROM = 0.4
DOWN_TO = 0.7
CLIENTS_PER_SERVICE = 8
PAUSE_S = 0.02
MIN_SERVED_FRACTION = 0.99  # Of the requests to each other service, relative to before stock was down.
MAX_P99_INCREASE_MS = 100.0  # Of each other service while stock is down.
MIN_RECOVERED_FRACTION = 0.5  # Of the requests to stock after its recovery.
HTTP_OK = 200
REJECTION_CODES = frozenset((429, 503))
PHASES = ("before", "down", "after")
SETTINGS_TEMPLATE = """\
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
    requests: dict[str, int] = field(default_factory=lambda: dict.fromkeys(PHASES, 0))
    served: dict[str, int] = field(default_factory=lambda: dict.fromkeys(PHASES, 0))
    rejected: int = 0
    failed: int = 0
    latencies_s: dict[str, list[float]] = field(default_factory=lambda: {phase: [] for phase in PHASES})

    def quantile_ms(self, fraction: float, phases: tuple[str, ...] = PHASES) -> float:
        """Return a quantile of the latencies in milliseconds; 0 if there are none."""
        ordered = sorted(latency for phase in phases for latency in self.latencies_s[phase])
        return ordered[min(int(len(ordered) * fraction), len(ordered) - 1)] * 1000 if ordered else 0.0

    def served_fraction(self, phase: str) -> float:
        """Return the fraction of the requests of a phase that were served."""
        return self.served[phase] / max(self.requests[phase], 1)


class Shop:
    """A process of `standins.shop` with the servers of one service.

    Args:
        name: Name of the service.
        options: Command line options of `standins.shop`.
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

    def send_command(self, command: str) -> None:
        """Send a command to the process."""
        assert self.process.stdin is not None
        self.process.stdin.write(command + "\n")
        self.process.stdin.flush()

    def report(self) -> dict:
        """Return the counts of the servers."""
        self.send_command("report")
        assert self.process.stdout is not None
        return json.loads(self.process.stdout.readline())

    def close(self) -> None:
        """Close the standard input of the process, and wait for its end."""
        assert self.process.stdin is not None
        self.process.stdin.close()
        self.process.wait()


async def run_client(
    port: int, name: str, tally: Tally, phase: list[str], until_s: float, ids: Iterator[int]
) -> None:
    """Send one request after the other, and open a new connection when one fails."""
    while time.monotonic() < until_s:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            while time.monotonic() < until_s:
                sent_phase, sent_s = phase[0], time.monotonic()
                writer.write(
                    f"{tally.method} /{name}/{next(ids)} HTTP/1.1\r\nHost: parts.example\r\n"
                    "Content-Length: 0\r\n\r\n".encode()
                )
                tally.requests[sent_phase] += 1
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                length = head.partition(b"content-length: ")[2].partition(b"\r")[0]
                await reader.readexactly(int(length))
                code = int(head.split()[1])
                if code == HTTP_OK:
                    tally.served[sent_phase] += 1
                    tally.latencies_s[sent_phase].append(time.monotonic() - sent_s)
                elif code in REJECTION_CODES:
                    tally.rejected += 1
                else:
                    tally.failed += 1
                await asyncio.sleep(PAUSE_S)
            writer.close()


def results_table(tallies: dict[str, Tally], shops: dict[str, Shop], phase: str) -> Table:
    """Build the table of the results so far."""
    table = Table(title=f"three services, one sidecar: {phase}")
    for column in ("service", "asked", "served", "refused", "failed", "retries", "p50 ms", "p99 ms"):
        table.add_column(column, justify="left" if column == "service" else "right")
    for name, tally in tallies.items():
        requests = sum(tally.requests.values())
        retries = max(shops[name].report()["attempts"] - requests, 0)
        numbers = [requests, sum(tally.served.values()), tally.rejected, tally.failed, retries]
        quantiles = [f"{tally.quantile_ms(fraction):.1f}" for fraction in (0.5, 0.99)]
        table.add_row(name, *map(str, numbers), *quantiles)
    return table


async def play(port: int, shops: dict[str, Shop], console: Console, duration_s: float) -> dict[str, Tally]:
    """Run the clients, and take stock down for a part of the run."""
    tallies = {"catalogue": Tally("GET"), "stock": Tally("PUT"), "orders": Tally("POST")}
    phase = [PHASES[0]]
    began_s = time.monotonic()
    ids = itertools.count(1)
    clients = [
        asyncio.create_task(run_client(port, name, tally, phase, began_s + duration_s, ids))
        for name, tally in tallies.items()
        for _ in range(CLIENTS_PER_SERVICE)
    ]
    with Live(console=console, refresh_per_second=4, transient=not console.is_terminal) as live:
        while (elapsed := (time.monotonic() - began_s) / duration_s) < 1.0:
            current = PHASES[(elapsed >= DOWN_FROM) + (elapsed >= DOWN_TO)]
            if current != phase[0]:
                phase[0] = current
                shops["stock"].send_command("down" if current == "down" else "up")
            live.update(results_table(tallies, shops, f"stock {'is down' if current == 'down' else 'is up'}"))
            await asyncio.sleep(0.25)
        await asyncio.gather(*clients)
    console.print(results_table(tallies, shops, "the end"))
    return tallies


def verdict(tallies: dict[str, Tally], reports: dict[str, dict]) -> list[tuple[bool, str]]:
    """Check each promise against the servers' counts; return whether it was kept, with a text."""
    duplicates = sum(report["orders_twice"] for report in reports.values())
    strays = sum(report["strays"] for report in reports.values())
    orders = reports["orders"]["orders"]
    checks = [
        (orders > 0 and not duplicates, f"{orders} orders reached a server, {duplicates} of them twice"),
        (not strays, f"{strays} requests reached a service that their route does not name"),
    ]
    for name in ("catalogue", "orders"):
        fractions = {phase: tallies[name].served_fraction(phase) for phase in PHASES}
        text = ", ".join(f"{phase} {fraction:.1%}" for phase, fraction in fractions.items())
        decrease = fractions["before"] - fractions["down"]
        checks.append(
            (decrease < 1 - MIN_SERVED_FRACTION, f"{name} served while stock was down as before: {text}")
        )
        p99_ms = {phase: tallies[name].quantile_ms(0.99, (phase,)) for phase in PHASES}
        text = ", ".join(f"{phase} {value:.0f} ms" for phase, value in p99_ms.items())
        p99_increase_ms = p99_ms["down"] - p99_ms["before"]
        checks.append(
            (p99_increase_ms < MAX_P99_INCREASE_MS, f"{name} was as fast while stock was down, p99: {text}")
        )
    stock = tallies["stock"]
    checks.append(
        (
            stock.served_fraction("after") > MIN_RECOVERED_FRACTION,
            f"stock served again after its return: {stock.served_fraction('after'):.1%}",
        )
    )
    return checks


def main(duration_s: float = DURATION_S) -> int:
    """Run the demo; return the exit code."""
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
                SETTINGS_TEMPLATE.format(
                    **{
                        name: json.dumps([f"127.0.0.1:{port}" for port in shop.ports])
                        for name, shop in shops.items()
                    }
                )
            )
            with sidecar_of_service_file(path) as running:
                tallies = asyncio.run(play(running.port, shops, console, duration_s))
        checks = verdict(tallies, {name: shop.report() for name, shop in shops.items()})
    finally:
        for shop in shops.values():
            shop.close()
    for kept, text in checks:
        console.print(f"{'[green]yes[/]' if kept else '[red]NO [/]'} {text}", highlight=False)
    kept = all(kept for kept, _ in checks)
    console.print("every promise was kept" if kept else "A PROMISE WAS BROKEN")
    return 0 if kept else 1


if __name__ == "__main__":
    raise SystemExit(main())
