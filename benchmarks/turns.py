"""How long hostile clients keep others waiting: `python -m benchmarks.turns [--before TREE]`.

One client asks a lookup every 5 ms on a connection of its own while other connections send messages made
to cost more than they weigh. Its longest wait stands for the longest turns of the sidecar's loop.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import dataclass

import uvloop

from standins.sidecar import parts_servers, sidecar

from . import arguments, trees

LOOKUP_EVERY_S = 0.005
SPAN_S = 4.0
NODES, NODES_CORE, SIDECAR_CORE = 4, 0, 1
ANSWER_WITHIN_S = 15.0  # to a hostile message, before its connection is given up
FIRST_LOOKUP_ID = 1 << 60  # far from those of the hostile messages
LOOKUP = b"GET /lookup/p HTTP/1.1\r\nHost: a\r\nX-Request-Id: %x\r\n\r\n"
HEAD = b"POST /order/part HTTP/1.1\r\nHost: a\r\nX-Request-Id: %x\r\nX-Deadline: 3000m\r\n"
CHUNKS = HEAD + b"Transfer-Encoding: chunked\r\n\r\n" + b"1\r\nx\r\n" * 65536 + b"0\r\n\r\n"
LINES = HEAD + b"a:\r\n" * 8000 + b"\r\n"
AT_ONCE = 1 << 20


@dataclass(frozen=True, slots=True)
class Hostile:
    """What hostile connections send.

    Attributes:
        message: Message that is sent repeatedly, with a number in place of %x.
        piece_bytes: Bytes written at once: 1, or the complete message.
        connections: Number of connections that send it.
    """

    message: bytes
    piece_bytes: int
    connections: int


KINDS: dict[str, Hostile] = {
    "nothing else": Hostile(b"", 1, 0),
    "64 KiB in one-byte chunks": Hostile(CHUNKS, AT_ONCE, 1),
    "... on twenty connections": Hostile(CHUNKS, AT_ONCE, 20),
    "header lines of four bytes": Hostile(LINES, AT_ONCE, 4),
    "requests of eighteen bytes": Hostile(b"GET / HTTP/1.1\r\n\r\n" * 10_000 + b"%x", AT_ONCE, 4),
    "a head of 32 KiB byte by byte": Hostile(b"GET /%x" + b"x" * 32_000, 1, 4),
}


async def write_message(writer: asyncio.StreamWriter, message: bytes, piece_bytes: int) -> None:
    """Write a message whole, or byte by byte with a turn of the loop after each."""
    if piece_bytes > 1:
        writer.write(message)
        return
    for position in range(len(message)):
        writer.write(message[position : position + 1])
        await asyncio.sleep(0)


async def send_hostile(port: int, kind: Hostile, until_s: float, number: int) -> None:
    """Send a message on a connection of its own, wait for the answer's first byte, and begin again.

    Args:
        port: Port of the sidecar.
        kind: Kind of messages to send.
        until_s: Monotonic time in seconds at which to stop.
        number: Number of this connection, below 256; it makes its messages distinct from those of the others.
    """
    while time.monotonic() < until_s:
        number += 1 << 8
        with contextlib.suppress(OSError, asyncio.TimeoutError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port, local_addr=("127.2.0.1", 0))
            try:
                await write_message(writer, kind.message % number, kind.piece_bytes)
                await asyncio.wait_for(reader.read(1), ANSWER_WITHIN_S)
            finally:
                writer.transport.abort()


async def look_up(port: int, until_s: float) -> list[float]:
    """Ask a lookup every 5 ms until this time on the monotonic clock: the waits in seconds, sorted."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    waits_s = []
    request_id = FIRST_LOOKUP_ID
    while time.monotonic() < until_s:
        request_id += 1
        began_s = time.monotonic()
        writer.write(LOOKUP % request_id)
        head = await reader.readuntil(b"\r\n\r\n")
        await reader.readexactly(int(head.lower().partition(b"content-length: ")[2].partition(b"\r")[0]))
        waits_s.append(time.monotonic() - began_s)
        await asyncio.sleep(LOOKUP_EVERY_S)
    writer.close()
    return sorted(waits_s)


async def play(port: int, kind: Hostile) -> list[float]:
    """The sorted waits of the lookups, in seconds, while others send hostile messages."""
    until_s = time.monotonic() + SPAN_S
    others = [
        asyncio.create_task(send_hostile(port, kind, until_s, number))
        for number in range(1, kind.connections + 1)
    ]
    waits_s = await look_up(port, until_s)
    for task in others:
        task.cancel()
    await asyncio.gather(*others, return_exceptions=True)
    return waits_s


def main() -> None:
    """Read the command line and print a line for each kind of message and checkout."""
    parser = arguments(__doc__)
    options = parser.parse_args()
    played = trees(options.before)
    print("the desk's longest wait and its 99th percentile, ms")
    for title, kind in KINDS.items():
        for name, tree in played.items():
            with (
                parts_servers(NODES, NODES_CORE) as ports,
                sidecar(ports, tree=tree, core=SIDECAR_CORE) as running,
            ):
                waits_s = uvloop.run(play(running.port, kind))
            p99_s = waits_s[int(len(waits_s) * 0.99)]
            print(f"  {title:32} {name:7} {waits_s[-1] * 1000:9.1f} {p99_s * 1000:8.1f}", flush=True)


if __name__ == "__main__":
    main()
