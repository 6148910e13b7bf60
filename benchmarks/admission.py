"""Cost and effect of admission control: `python -m benchmarks.admission [--before TREE]`.

Four measurements, each with its baseline in the same run:
- start: 32 connections that start at once on a fresh sidecar; rejections in the first second, of this tree
  and, with --before, of another one;
- refusal: CPU time of the sidecar for a rejected connection, for one with an unreadable request, and for a
  served request;
- flood: service of steady clients with and without a flood from one address, in alternating runs;
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

from . import argument_parser, checkouts

LIMITS_SETTINGS = """[admission]
connections_per_address = 16
new_connections_per_s = 50
new_connections_burst = 50
known = ["127.1.0.0/16"]
reserve = 100
"""
REJECT_ALL_SETTINGS = """[admission]
new_connections_per_s = 0.001
new_connections_burst = 1
known = ["127.1.0.0/16"]
"""
FLOOD_ADDRESS = "127.2.0.1"
GARBAGE_ADDRESS = "127.1.200.1"  # this and the next are known addresses
BAD_REQUEST_ADDRESS = "127.1.200.2"
GARBAGE = b"\x16\x03\x01 this is no http\r\n\r\n"
BAD_REQUEST = b"GET /nothing HTTP/1.1\r\nHost: a\r\nX-Request-Id: x\r\n\r\n"  # no such class
NODES = 4
WARM_S = 1.0
WARM_CLIENTS = 8
START_RUNS = 5
START_CONNECTIONS = 32
REJECTION_S = 4.0  # measurement of each kind of rejection
PIPELINED_REQUESTS = 100  # sent before the first answer is read
FLOOD_RUNS = 10  # alternately without and with the flood
FLOOD_RUN_S = 3.0
FLOOD_SOCKETS = 512
FLOODERS = 4
FLOODER_PAUSE_S = 0.01
MAX_FLOODER_CONNECTIONS = 1000
STEADY_CLIENTS = 40
REQUEST_PAUSE_S = 0.05
IDLE_CONNECTIONS = 450
SETTLE_S = 0.5


def measure_start(measured_checkouts: dict[str, Path]) -> None:
    """Measure and print the rejections in the first two seconds of a fresh sidecar, by checkout and run."""
    print("start: 32 connections at once, four idle servers, refusals in the first second, then in the next")
    for name, tree in measured_checkouts.items():
        rows = []
        for _ in range(START_RUNS):
            with parts_servers(NODES) as ports, sidecar(ports, tree=tree) as running:
                first = uvloop.run(run_clients(running.port, START_CONNECTIONS, 1.0))
                second = uvloop.run(run_clients(running.port, START_CONNECTIONS, 1.0))
                rows.append((first.rejected, second.rejected))
        print(f"  {name:8} {rows}")


def measure_rejections(service: Path) -> None:
    """Measure and print the CPU time of rejections in a sidecar with this service file."""
    with parts_servers(NODES) as ports, sidecar(ports, service=service) as running:
        uvloop.run(run_clients(running.port, WARM_CLIENTS, WARM_S))
        served_us = served_cost_us(running)
        admitted = socket.create_connection(("127.0.0.1", running.port), source_address=(FLOOD_ADDRESS, 0))
        admitted.close()  # uses up the burst of this address
        costs_us = {
            "a connection turned away": connection_cost_us(running, b"", FLOOD_ADDRESS),
            "a connection with garbage": connection_cost_us(running, GARBAGE, GARBAGE_ADDRESS),
            "a bad request, at once": bad_request_cost_us(running, 1),
            "... a hundred sent ahead": bad_request_cost_us(running, PIPELINED_REQUESTS),
        }
    print("refusal: processor time in the sidecar, microseconds")
    print(f"  {'a request served':25} {served_us:7.1f}")
    for name, cost_us in costs_us.items():
        print(f"  {name:25} {cost_us:7.1f}  ({cost_us / served_us:.2f} of it)")


def served_cost_us(running: RunningSidecar) -> float:
    """Return the sidecar's CPU time for a served request, in microseconds."""
    before_s = running.cpu_s()
    served = uvloop.run(run_clients(running.port, WARM_CLIENTS, REJECTION_S)).served
    return (running.cpu_s() - before_s) / served * 1e6


def connection_cost_us(running: RunningSidecar, data: bytes, address: str) -> float:
    """Repeatedly connect, send data and read to the end; return the sidecar's CPU microseconds for each."""
    before_s, count, end_s = running.cpu_s(), 0, time.monotonic() + REJECTION_S
    while time.monotonic() < end_s:
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


def bad_request_cost_us(running: RunningSidecar, batch_requests: int) -> float:
    """Send batches of bad requests in sequence; return the sidecar's CPU microseconds for each request.

    Args:
        running: The running sidecar.
        batch_requests: Number of requests in a batch.
    """
    batch = BAD_REQUEST * batch_requests
    target = ("127.0.0.1", running.port)
    with socket.create_connection(target, source_address=(BAD_REQUEST_ADDRESS, 0)) as sock:
        before_s, count, end_s = running.cpu_s(), 0, time.monotonic() + REJECTION_S
        while time.monotonic() < end_s:
            sock.sendall(batch)
            answered = 0
            while answered < batch_requests:
                answered += sock.recv(65536).count(b"HTTP/1.1 404")
            count += batch_requests
        return (running.cpu_s() - before_s) / count * 1e6


async def run_steady_clients(port: int, seconds: float, flooded: bool) -> Tally:
    """Return the results of steady clients, with or without a flood from one other address."""
    flooder_tasks = [
        asyncio.create_task(run_flooder(port, seconds)) for _ in range(FLOODERS if flooded else 0)
    ]
    tally = await run_clients(port, STEADY_CLIENTS, seconds, pause_s=REQUEST_PAUSE_S)
    for task in flooder_tasks:
        task.cancel()
    await asyncio.gather(*flooder_tasks, return_exceptions=True)
    return tally


async def run_flooder(port: int, seconds: float) -> None:
    """Open some hundred connections per second from one address, and keep up to a maximum of them."""
    writers: list[asyncio.StreamWriter] = []
    end_s = time.monotonic() + seconds
    try:
        while time.monotonic() < end_s:
            with contextlib.suppress(OSError):
                _, writer = await asyncio.open_connection("127.0.0.1", port, local_addr=(FLOOD_ADDRESS, 0))
                writers.append(writer)
            if len(writers) > MAX_FLOODER_CONNECTIONS:
                writers.pop(0).close()
            await asyncio.sleep(FLOODER_PAUSE_S)
    finally:
        for writer in writers:
            writer.close()


def measure_flood(service: Path) -> None:
    """Measure and print the service of steady clients without and with a flood, with this service file."""
    unflooded: list[Tally] = []
    flooded: list[Tally] = []
    with parts_servers(NODES) as ports, sidecar(ports, sockets=FLOOD_SOCKETS, service=service) as running:
        uvloop.run(run_steady_clients(running.port, WARM_S, flooded=False))
        for _ in range(FLOOD_RUNS // 2):
            unflooded.append(uvloop.run(run_steady_clients(running.port, FLOOD_RUN_S, flooded=False)))
            flooded.append(uvloop.run(run_steady_clients(running.port, FLOOD_RUN_S, flooded=True)))
    print(
        "flood: 40 desks, about 400 connections a second from one other address, medians of five runs of 3 s"
    )
    print(flood_row("alone", unflooded))
    print(flood_row("flooded", flooded))


def flood_row(name: str, tallies: list[Tally]) -> str:
    """Format a line of the flood measurement."""
    served = [tally.served for tally in tallies]
    p50_ms = statistics.median(tally.quantile_ms(0.5) for tally in tallies)
    p99_ms = statistics.median(tally.quantile_ms(0.99) for tally in tallies)
    return (
        f"  {name:8} served {statistics.median(served):6.0f} (from {min(served)} to {max(served)})"
        f"  refused {sum(tally.rejected for tally in tallies)}  lost {sum(tally.lost for tally in tallies)}"
        f"  p50 {p50_ms:.2f} ms  p99 {p99_ms:.2f} ms"
    )


def measure_memory() -> None:
    """Measure and print the sidecar's resident memory for an idle connection."""
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
    """Parse the command line and run the four measurements."""
    parser = argument_parser(__doc__)
    options = parser.parse_args()
    measure_start(checkouts(options.before))
    with tempfile.TemporaryDirectory() as folder:
        service = Path(folder) / "service.toml"
        service.write_text(REJECT_ALL_SETTINGS)
        measure_rejections(service)
        service.write_text(LIMITS_SETTINGS)
        measure_flood(service)
    measure_memory()


if __name__ == "__main__":
    main()
