"""Delay that hostile clients cause to other clients: `python -m benchmarks.turns [--before TREE]`.

One client sends a lookup every 5 ms on its own connection while other connections send messages whose
processing is expensive for their size. Its largest latency shows the longest iterations of the event loop.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import dataclass

import uvloop

from standins.sidecar import parts_servers, sidecar

from . import argument_parser, checkouts

LOOKUP_INTERVAL_S = 0.005
SPAN_S = 4.0
SERVERS, SERVERS_CORE, SIDECAR_CORE = 4, 0, 1
ANSWER_TIMEOUT_S = 15.0  # for the answer to a hostile message; its connection is then aborted
FIRST_LOOKUP_ID = 1 << 60  # distinct from the ids of the hostile messages
LOOKUP = b"GET /lookup/p HTTP/1.1\r\nHost: a\r\nX-Request-Id: %x\r\n\r\n"
HEAD = b"POST /order/part HTTP/1.1\r\nHost: a\r\nX-Request-Id: %x\r\nX-Deadline: 3000m\r\n"
ONE_BYTE_CHUNKS = HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 65536 + b"0\r\n\r\n"
SHORT_HEADER_LINES = HEAD + b"a:\r\n" * 8000 + b"\r\n"
COMPLETE_MESSAGE_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class HostileTraffic:
    """Message that hostile connections send.

    Attributes:
        message: Message that is sent repeatedly, with a number in place of `%x`.
        piece_bytes: Bytes per write: 1; any larger value writes the complete message at once.
        connections: Number of connections that send the message.
    """

    message: bytes
    piece_bytes: int
    connections: int


KINDS: dict[str, HostileTraffic] = {
    "nothing else": HostileTraffic(b"", 1, 0),
    "64 KiB in one-byte chunks": HostileTraffic(ONE_BYTE_CHUNKS, COMPLETE_MESSAGE_BYTES, 1),
    "... on twenty connections": HostileTraffic(ONE_BYTE_CHUNKS, COMPLETE_MESSAGE_BYTES, 20),
    "header lines of four bytes": HostileTraffic(SHORT_HEADER_LINES, COMPLETE_MESSAGE_BYTES, 4),
    "requests of eighteen bytes": HostileTraffic(
        b"GET / HTTP/1.1\r\n\r\n" * 10_000 + b"%x", COMPLETE_MESSAGE_BYTES, 4
    ),
    "a head of 32 KiB byte by byte": HostileTraffic(b"GET /%x" + b"x" * 32_000, 1, 4),
}


async def write_message(writer: asyncio.StreamWriter, message: bytes, piece_bytes: int) -> None:
    """Write a complete message, or byte by byte with an iteration of the event loop after each."""
    if piece_bytes > 1:
        writer.write(message)
        return
    for position in range(len(message)):
        writer.write(message[position : position + 1])
        await asyncio.sleep(0)


async def send_hostile(port: int, kind: HostileTraffic, end_s: float, number: int) -> None:
    """Send a message on a new connection, wait for the first byte of the answer, and repeat.

    Args:
        port: Port of the sidecar.
        kind: Kind of messages to send.
        end_s: Monotonic time in seconds at which to stop.
        number: Number of this connection, below 256; it makes its messages distinct from those of the others.
    """
    while time.monotonic() < end_s:
        number += 1 << 8
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port, local_addr=("127.2.0.1", 0))
            try:
                await write_message(writer, kind.message % number, kind.piece_bytes)
                await asyncio.wait_for(reader.read(1), ANSWER_TIMEOUT_S)
            finally:
                writer.transport.abort()


async def measure_lookups(port: int, end_s: float) -> list[float]:
    """Send a lookup every 5 ms until this monotonic time; return the sorted latencies in seconds."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    latencies_s = []
    request_id = FIRST_LOOKUP_ID
    while time.monotonic() < end_s:
        request_id += 1
        began_s = time.monotonic()
        writer.write(LOOKUP % request_id)
        head = await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(int(head.lower().partition(b"content-length: ")[2].partition(b"\r")[0]))
        latencies_s.append(time.monotonic() - began_s)
        await asyncio.sleep(LOOKUP_INTERVAL_S)
    writer.close()
    return sorted(latencies_s)


async def play(port: int, kind: HostileTraffic) -> list[float]:
    """Return the sorted latencies of lookups in seconds while other connections send hostile messages."""
    end_s = time.monotonic() + SPAN_S
    hostile_tasks = [
        asyncio.create_task(send_hostile(port, kind, end_s, number))
        for number in range(1, kind.connections + 1)
    ]
    latencies_s = await measure_lookups(port, end_s)
    for task in hostile_tasks:
        task.cancel()
    await asyncio.gather(*hostile_tasks, return_exceptions=True)
    return latencies_s


def main() -> None:
    """Parse the command line and print a line for each kind of message and checkout."""
    parser = argument_parser(__doc__)
    options = parser.parse_args()
    measured_checkouts = checkouts(options.before)
    print("the desk's longest wait and its 99th percentile, ms")
    for title, kind in KINDS.items():
        for name, tree in measured_checkouts.items():
            with (
                parts_servers(SERVERS, SERVERS_CORE) as ports,
                sidecar(ports, tree=tree, core=SIDECAR_CORE) as running,
            ):
                latencies_s = uvloop.run(play(running.port, kind))
            p99_s = latencies_s[int(len(latencies_s) * 0.99)]
            print(f"  {title:32} {name:7} {latencies_s[-1] * 1000:9.1f} {p99_s * 1000:8.1f}", flush=True)


if __name__ == "__main__":
    main()
