"""What the request path costs: `python -m benchmarks.relay [--before TREE] [--rounds N] [--cores A,B,C]`.

The sidecar against a bare relay on the same loop, 32 connections that ask one lookup after another with
answers of 64 bytes; parts nodes, proxy and load have a process and a core each. Each round plays every
proxy in turn, so that a change of the machine's speed meets all of them; figures are medians over the
rounds, and ratios are medians of the ratios within a round. With --before another checkout is played too.
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

from . import arguments, trees

CONNECTIONS = 32
WARM_S = 0.5
MEASURED_S = 2.0
NODES = 4
LOOKUP = b"GET /lookup/part HTTP/1.1\r\nHost: a\r\nX-Request-Id: %x\r\nX-Deadline: 3000m\r\n\r\n"
BODY = b"p" * 64  # as standins.parts answers


@dataclass(slots=True)
class Tally:
    """Answers to all connections so far."""

    served: int = 0
    refused: int = 0


class Client(asyncio.Protocol):
    """Asks again as soon as it is answered."""

    def __init__(self, tally: Tally, number: int) -> None:
        """Begin with the requests of this client, a number that no other one has."""
        self.tally = tally
        self.request_id = number << 40
        self.received = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask for the first time."""
        self.transport = cast("asyncio.Transport", transport)
        self._ask()

    def _ask(self) -> None:
        self.request_id += 1
        self.transport.write(LOOKUP % self.request_id)

    def data_received(self, data: bytes) -> None:
        """Count a whole answer and ask again."""
        self.received = self.received + data if self.received else data
        if self.received.endswith(BODY) and self.received.startswith(b"HTTP/1.1 200"):
            self.tally.served += 1
        elif self.received.endswith(b"\n"):
            self.tally.refused += 1
        else:
            return
        self.received = b""
        self._ask()


async def ask(port: int) -> tuple[float, int]:
    """Requests served in a second, and how many were refused."""
    loop = asyncio.get_running_loop()
    tally = Tally()
    transports = []
    for number in range(1, CONNECTIONS + 1):
        transport, _ = await loop.create_connection(partial(Client, tally, number), "127.0.0.1", port)
        transports.append(transport)
    await asyncio.sleep(WARM_S)
    before, began_s = replace(tally), time.monotonic()
    await asyncio.sleep(MEASURED_S)
    rate = (tally.served - before.served) / (time.monotonic() - began_s)
    for transport in transports:
        transport.abort()
    return rate, tally.refused - before.refused


def load(port: int, core: int) -> tuple[float, int]:
    """`ask` in a process of its own on one core."""
    command = [sys.executable, "-m", "benchmarks.relay", "--load", str(port)]
    done = subprocess.run(command, cwd=ROOT, stdout=subprocess.PIPE, check=True, preexec_fn=pin_to_core(core))
    rate, refused = done.stdout.split()
    return float(rate), int(refused)


@contextlib.contextmanager
def bare_relay(ports: list[int], core: int) -> Iterator[int]:
    """A bare relay in front of the first of these ports; its port."""
    command = [sys.executable, "-m", "standins.relay", str(ports[0])]
    with subprocess.Popen(
        command, cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, preexec_fn=pin_to_core(core)
    ) as process:
        assert process.stdout is not None
        assert process.stdin is not None
        yield int(process.stdout.readline())
        process.stdin.close()


@contextlib.contextmanager
def sidecar_of(tree: Path, ports: list[int], core: int) -> Iterator[int]:
    """The sidecar of a checkout in front of these ports; its port."""
    with sidecar(ports, tree=tree, core=core) as running:
        yield running.port


@dataclass(frozen=True, slots=True)
class Cores:
    """The core of each process."""

    nodes: int
    proxy: int
    load: int


def measure(played: dict[str, Path], rounds: int, cores: Cores) -> dict[str, list[float]]:
    """Requests per second by proxy, one figure for each round."""
    proxies: dict[str, Callable[[list[int], int], contextlib.AbstractContextManager[int]]] = {
        "relay": bare_relay,
        **{name: partial(sidecar_of, tree) for name, tree in played.items()},
    }
    rates: dict[str, list[float]] = {name: [] for name in proxies}
    with parts_servers(NODES, cores.nodes) as ports:
        for number in range(rounds):
            order = list(proxies) if number % 2 else list(reversed(proxies))
            for name in order:
                with proxies[name](ports, cores.proxy) as port:
                    rate, refused = load(port, cores.load)
                rates[name].append(rate)
                if refused:
                    print(f"  {name}: {refused} refused in round {number + 1}")
    return rates


def ratio_of(values: list[float], others: list[float]) -> float:
    """The median of the ratios within each round."""
    return statistics.median(mine / other for mine, other in zip(values, others, strict=True))


def main() -> None:
    """Read the command line and print a line for each proxy."""
    parser = arguments(__doc__)
    parser.add_argument("--rounds", type=int, default=8)
    parser.add_argument("--cores", default="0,1,2", help="for parts nodes, proxy and load")
    parser.add_argument("--load", type=int, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.load:
        print(*uvloop.run(ask(options.load)))
        return
    played = trees(options.before)
    rates = measure(played, options.rounds, Cores(*map(int, options.cores.split(","))))
    print(f"{CONNECTIONS} connections, medians of {options.rounds} rounds of {MEASURED_S:.0f} s")
    for name, values in rates.items():
        ratio = ratio_of(values, rates["relay"])
        print(f"  {name:7} {statistics.median(values):8.0f} requests/s  {ratio:.3f} of the relay")
    if "before" in rates:
        print(f"  now / before {ratio_of(rates['now'], rates['before']):.3f}")


if __name__ == "__main__":
    main()
