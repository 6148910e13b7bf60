"""What admission costs and keeps: `python -m benchmarks.admission [--before TREE]`.

Four measurements, each against its peer in the same run:
- start: 32 connections that begin at once on a fresh sidecar; refusals in the first second, of this tree
  and, with --before, of an older one;
- refusal: processor time of the sidecar for a connection that is turned away, for one that asks what
  can't be read, and for a request that is served;
- flood: service of steady clients with a flood from one address and without, in alternating runs;
- memory: of an idle connection.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
import statistics
import tempfile
import time
from pathlib import Path

import uvloop

from standins.load import Tally, run_clients
from standins.sidecar import RunningSidecar, parts_servers, sidecar

from . import arguments, trees

CAPS = """[admission]
connections_per_address = 16
new_connections_per_s = 50
new_connections_burst = 50
known = ["127.1.0.0/16"]
reserve = 100
"""
TURNED_AWAY = """[admission]
new_connections_per_s = 0.001
new_connections_burst = 1
known = ["127.1.0.0/16"]
"""
FLOOD_ADDRESS = "127.2.0.1"
GARBAGE_ADDRESS = "127.1.200.1"  # known addresses, this one and the next
BAD_REQUEST_ADDRESS = "127.1.200.2"
GARBAGE = b"\x16\x03\x01 this is no http\r\n\r\n"
BAD_REQUEST = b"GET /nothing HTTP/1.1\r\nHost: a\r\nX-Request-Id: x\r\n\r\n"  # no such class
NODES = 4
WARM_S = 1.0
WARM_CLIENTS = 8
START_RUNS = 5
START_CONNECTIONS = 32
REFUSAL_S = 4.0  # of each kind of refusal
AHEAD = 100  # requests sent before the first answer is read
FLOOD_RUNS = 10  # in turns without and with the flood
FLOOD_RUN_S = 3.0
FLOOD_SOCKETS = 512
FLOODERS = 4
FLOODER_PAUSE_S = 0.01
FLOODER_KEEPS = 1000  # connections
STEADY_CLIENTS = 40
REQUEST_GAP_S = 0.05
IDLE_CONNECTIONS = 450
SETTLE_S = 0.5


def start(played: dict[str, Path]) -> None:
    """Print the refusals of the first two seconds of a fresh sidecar, by run and checkout."""
    print("start: 32 connections at once, four idle servers, refusals in the first second, then in the next")
    for name, tree in played.items():
        rows = []
        for _ in range(START_RUNS):
            with parts_servers(NODES) as ports, sidecar(ports, tree=tree) as running:
                first = uvloop.run(run_clients(running.port, START_CONNECTIONS, 1.0))
                second = uvloop.run(run_clients(running.port, START_CONNECTIONS, 1.0))
                rows.append((first.rejected, second.rejected))
        print(f"  {name:8} {rows}")


def refusal(service: Path) -> None:
    """Print what refusals cost the sidecar that has the settings of this file."""
    with parts_servers(NODES) as ports, sidecar(ports, service=service) as running:
        uvloop.run(run_clients(running.port, WARM_CLIENTS, WARM_S))
        served_us = served_cost_us(running)
        admitted = socket.create_connection(("127.0.0.1", running.port), source_address=(FLOOD_ADDRESS, 0))
        admitted.close()  # the burst of this address is used up
        costs_us = {
            "a connection turned away": connections(running, b"", FLOOD_ADDRESS),
            "a connection with garbage": connections(running, GARBAGE, GARBAGE_ADDRESS),
            "a bad request, at once": requests(running, 1),
            "... a hundred sent ahead": requests(running, AHEAD),
        }
    print("refusal: processor time in the sidecar, microseconds")
    print(f"  {'a request served':25} {served_us:7.1f}")
    for name, cost_us in costs_us.items():
        print(f"  {name:25} {cost_us:7.1f}  ({cost_us / served_us:.2f} of it)")


def served_cost_us(running: RunningSidecar) -> float:
    """The sidecar's processor time for a served request, in microseconds."""
    before_s = running.cpu_s()
    served = uvloop.run(run_clients(running.port, WARM_CLIENTS, REFUSAL_S)).served
    return (running.cpu_s() - before_s) / served * 1e6


def connections(running: RunningSidecar, data: bytes, address: str) -> float:
    """Connect, send this and read to the end, again and again; the sidecar's microseconds for each."""
    before_s, count, until_s = running.cpu_s(), 0, time.monotonic() + REFUSAL_S
    while time.monotonic() < until_s:
        with contextlib.suppress(OSError), socket.socket() as sock:
            sock.bind((address, 0))
            sock.settimeout(1.0)
            sock.connect(("127.0.0.1", running.port))
            count += 1
            if data:
                sock.send(data)
            while sock.recv(4096):
                pass
    return (running.cpu_s() - before_s) / count * 1e6


def requests(running: RunningSidecar, ahead: int) -> float:
    """Send bad requests, each batch as soon as the last is answered; the sidecar's microseconds for each.

    Args:
        running: The running sidecar.
        ahead: Number of requests in a batch.
    """
    batch = BAD_REQUEST * ahead
    target = ("127.0.0.1", running.port)
    with socket.create_connection(target, source_address=(BAD_REQUEST_ADDRESS, 0)) as sock:
        before_s, count, until_s = running.cpu_s(), 0, time.monotonic() + REFUSAL_S
        while time.monotonic() < until_s:
            sock.sendall(batch)
            answered = 0
            while answered < ahead:
                answered += sock.recv(65536).count(b"HTTP/1.1 404")
            count += ahead
        return (running.cpu_s() - before_s) / count * 1e6


async def serve_steadily(port: int, seconds: float, flooded: bool) -> Tally:
    """What steady clients get, with a flood from one other address or without."""
    flooders = [asyncio.create_task(flooder(port, seconds)) for _ in range(FLOODERS if flooded else 0)]
    tally = await run_clients(port, STEADY_CLIENTS, seconds, pause_s=REQUEST_GAP_S)
    for task in flooders:
        task.cancel()
    await asyncio.gather(*flooders, return_exceptions=True)
    return tally


async def flooder(port: int, seconds: float) -> None:
    """Open connections from one address, some hundred a second, and keep those that stay open."""
    kept: list[asyncio.StreamWriter] = []
    until_s = time.monotonic() + seconds
    try:
        while time.monotonic() < until_s:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection("127.0.0.1", port, local_addr=(FLOOD_ADDRESS, 0))
                kept.append(writer)
            if len(kept) > FLOODER_KEEPS:
                kept.pop(0).close()
            await asyncio.sleep(FLOODER_PAUSE_S)
    finally:
        for writer in kept:
            writer.close()


def flood(service: Path) -> None:
    """Print the service of steady clients without and with a flood, under the settings of this file."""
    alone: list[Tally] = []
    flooded: list[Tally] = []
    with parts_servers(NODES) as ports, sidecar(ports, sockets=FLOOD_SOCKETS, service=service) as running:
        uvloop.run(serve_steadily(running.port, WARM_S, flooded=False))
        for _ in range(FLOOD_RUNS // 2):
            alone.append(uvloop.run(serve_steadily(running.port, FLOOD_RUN_S, flooded=False)))
            flooded.append(uvloop.run(serve_steadily(running.port, FLOOD_RUN_S, flooded=True)))
    print(
        "flood: 40 desks, about 400 connections a second from one other address, medians of five runs of 3 s"
    )
    print(flood_row("alone", alone))
    print(flood_row("flooded", flooded))


def flood_row(name: str, tallies: list[Tally]) -> str:
    """A line of the flood's table."""
    served = [tally.served for tally in tallies]
    p50_ms = statistics.median(tally.quantile_ms(0.5) for tally in tallies)
    p99_ms = statistics.median(tally.quantile_ms(0.99) for tally in tallies)
    return (
        f"  {name:8} served {statistics.median(served):6.0f} (from {min(served)} to {max(served)})"
        f"  refused {sum(tally.rejected for tally in tallies)}  lost {sum(tally.lost for tally in tallies)}"
        f"  p50 {p50_ms:.2f} ms  p99 {p99_ms:.2f} ms"
    )


def memory() -> None:
    """Print the sidecar's resident memory for an idle connection."""
    with parts_servers(1) as ports, sidecar(ports) as running:
        uvloop.run(run_clients(running.port, WARM_CLIENTS, SETTLE_S))
        before_bytes = running.rss_bytes()
        idle = [socket.create_connection(("127.0.0.1", running.port)) for _ in range(IDLE_CONNECTIONS)]
        time.sleep(SETTLE_S)
        used_bytes = (running.rss_bytes() - before_bytes) / len(idle)
        for sock in idle:
            sock.close()
    print(f"memory: {used_bytes / 1024:.1f} KiB of the sidecar for an idle connection")


def main() -> None:
    """Read the command line and print the four measurements."""
    parser = arguments(__doc__)
    options = parser.parse_args()
    start(trees(options.before))
    with tempfile.TemporaryDirectory() as folder:
        service = Path(folder) / "service.toml"
        service.write_text(TURNED_AWAY)
        refusal(service)
        service.write_text(CAPS)
        flood(service)
    memory()


if __name__ == "__main__":
    main()
