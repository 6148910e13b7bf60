"""Cost of the request path: `python -m benchmarks.relay [--before TREE] [--rounds N] [--cores A,B,C]`.

Compares the sidecar with a plain TCP relay on the same event loop: 32 connections send one lookup after
another and get answers of 64 bytes; servers, proxy and load have a process and a core each. Each round
measures every proxy in turn, so that a change of the machine's speed affects all of them; rates are medians
over the rounds, and ratios are medians of the ratios within a round. With --before another checkout is
measured too.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import statistics
import subprocess
import sys
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from functools import partial
from pathlib import Path
from typing import cast

import uvloop

from standins.sidecar import ROOT, parts_servers, pin_to_core, sidecar

from . import argument_parser, checkouts

CONNECTIONS = 32
WARM_UP_S = 0.5
MEASURED_S = 2.0
SERVERS = 4
LOOKUP = b"GET /lookup/part HTTP/1.1\r\nHost: a\r\nX-Request-Id: %x\r\nX-Deadline: 3000m\r\n\r\n"
BODY = b"p" * 64  # body of the answers of standins.parts


@dataclass(slots=True)
class Tally:
    """Counts of the answers on all connections."""

    served: int = 0
    rejected: int = 0


class Client(asyncio.Protocol):
    """Closed-loop client: sends the next request when the answer is complete."""

    def __init__(self, tally: Tally, number: int) -> None:
        """Initialize the client; request ids are derived from `number`, which is unique among clients."""
        self.tally = tally
        self.request_id = number << 40
        self.received = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first request."""
        self.transport = cast("asyncio.Transport", transport)
        self._send_request()

    def _send_request(self) -> None:
        self.request_id += 1
        self.transport.write(LOOKUP % self.request_id)

    def data_received(self, data: bytes) -> None:
        """Count a complete answer and send the next request."""
        self.received = self.received + data if self.received else data
        if self.received.endswith(BODY) and self.received.startswith(b"HTTP/1.1 200"):
            self.tally.served += 1
        elif self.received.endswith(b"\n"):
            self.tally.rejected += 1
        else:
            return
        self.received = b""
        self._send_request()


async def measure_load(port: int) -> tuple[float, int]:
    """Return the requests served per second, and the number of rejected requests."""
    loop = asyncio.get_running_loop()
    tally = Tally()
    transports = []
    for number in range(1, CONNECTIONS + 1):
        transport, _ = await loop.create_connection(partial(Client, tally, number), "127.0.0.1", port)
        transports.append(transport)
    await asyncio.sleep(WARM_UP_S)
    before, began_s = replace(tally), time.monotonic()
    await asyncio.sleep(MEASURED_S)
    rate = (tally.served - before.served) / (time.monotonic() - began_s)
    for transport in transports:
        transport.abort()
    return rate, tally.rejected - before.rejected


def run_load(port: int, core: int) -> tuple[float, int]:
    """Run `measure_load` in a separate process on one core."""
    command = [sys.executable, "-m", "benchmarks.relay", "--load", str(port)]
    completed = subprocess.run(
        command, cwd=ROOT, stdout=subprocess.PIPE, check=True, preexec_fn=pin_to_core(core)
    )
    rate, rejected = completed.stdout.split()
    return float(rate), int(rejected)


@contextlib.contextmanager
def plain_relay(ports: list[int], core: int) -> Iterator[int]:
    """Start a plain TCP relay in front of the first of these ports, and yield its port."""
    command = [sys.executable, "-m", "standins.relay", str(ports[0])]
    with subprocess.Popen(
        command, cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, preexec_fn=pin_to_core(core)
    ) as process:
        assert process.stdout is not None
        assert process.stdin is not None
        yield int(process.stdout.readline())
        process.stdin.close()


@contextlib.contextmanager
def running_sidecar(tree: Path, ports: list[int], core: int) -> Iterator[int]:
    """Start the sidecar of a checkout with endpoints at these ports, and yield its port."""
    with sidecar(ports, tree=tree, core=core) as running:
        yield running.port


@dataclass(frozen=True, slots=True)
class Cores:
    """Core number of each process."""

    servers: int
    proxy: int
    load: int


def measure(trees: dict[str, Path], rounds: int, cores: Cores) -> dict[str, list[float]]:
    """Return the requests per second by proxy, one value per round."""
    proxies: dict[str, Callable[[list[int], int], contextlib.AbstractContextManager[int]]] = {
        "relay": plain_relay,
        **{name: partial(running_sidecar, tree) for name, tree in trees.items()},
    }
    rates: dict[str, list[float]] = {name: [] for name in proxies}
    with parts_servers(SERVERS, cores.servers) as ports:
        for number in range(rounds):
            order = list(proxies) if number % 2 else list(reversed(proxies))
            for name in order:
                with proxies[name](ports, cores.proxy) as port:
                    rate, rejected = run_load(port, cores.load)
                rates[name].append(rate)
                if rejected:
                    print(f"  {name}: {rejected} refused in round {number + 1}")
    return rates


def median_ratio(values: list[float], baselines: list[float]) -> float:
    """Return the median of the ratios within each round."""
    return statistics.median(value / baseline for value, baseline in zip(values, baselines, strict=True))


def main() -> None:
    """Parse the command line, measure and print a line for each proxy."""
    parser = argument_parser(__doc__)
    parser.add_argument("--rounds", type=int, default=8)
    parser.add_argument("--cores", default="0,1,2", help="core numbers for servers, proxy and load")
    parser.add_argument("--load", type=int, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.load:
        print(*uvloop.run(measure_load(options.load)))
        return
    measured_checkouts = checkouts(options.before)
    rates = measure(measured_checkouts, options.rounds, Cores(*map(int, options.cores.split(","))))
    print(f"{CONNECTIONS} connections, medians of {options.rounds} rounds of {MEASURED_S:.0f} s")
    for name, values in rates.items():
        ratio = median_ratio(values, rates["relay"])
        print(f"  {name:7} {statistics.median(values):8.0f} requests/s  {ratio:.3f} of the relay")
    if "before" in rates:
        print(f"  now / before {median_ratio(rates['now'], rates['before']):.3f}")


if __name__ == "__main__":
    main()
