"""Closed-loop clients for benchmarks and tests, each with a connection and a loopback address of its own."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
from dataclasses import dataclass, field

IDS = itertools.count()
LOOKUP = b"GET /lookup/part HTTP/1.1\r\nHost: a\r\nX-Request-Id: b%d\r\nX-Deadline: 3000m\r\n\r\n"
ORDER = (
    b"POST /order/part HTTP/1.1\r\nHost: a\r\nX-Request-Id: b%d\r\nX-Deadline: 3000m\r\n"
    b"Content-Length: 4\r\n\r\nhull"
)


@dataclass(slots=True)
class Tally:
    """Results of all clients.

    Attributes:
        served: Number of requests answered with 200.
        refused: Number of requests with another answer.
        lost: Number of connections that ended without an answer.
        latencies_s: Latencies of served requests in seconds.
    """

    served: int = 0
    refused: int = 0
    lost: int = 0
    latencies_s: list[float] = field(default_factory=list)

    def quantile_ms(self, part: float) -> float:
        """Return a quantile of the latencies in milliseconds; NaN without any."""
        ordered = sorted(self.latencies_s)
        return ordered[min(int(len(ordered) * part), len(ordered) - 1)] * 1000 if ordered else float("nan")


async def run_client(
    port: int,
    tally: Tally,
    until: float,
    address: str = "127.0.0.1",
    pause_s: float = 0.0,
    orders: float = 0.0,
) -> None:
    """Send one request after the other, on a new connection whenever the old one ends.

    Args:
        port: Port of the sidecar on loopback.
        tally: Counts of the results.
        until: Monotonic time in seconds at which the client stops.
        address: Address of the client.
        pause_s: Seconds between an answer and the next request.
        orders: Fraction of the requests that are orders.
    """
    while time.monotonic() < until:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port, local_addr=(address, 0))
            try:
                while time.monotonic() < until:
                    began = time.monotonic()
                    ident = next(IDS)
                    # Orders are spread evenly, not at random.
                    order = orders and int(ident * orders) > int((ident - 1) * orders)
                    writer.write((ORDER if order else LOOKUP) % ident)
                    head = await reader.readuntil(b"\r\n\r\n")
                    length = head.lower().partition(b"content-length: ")[2].partition(b"\r")[0]
                    await reader.readexactly(int(length))
                    if head.startswith(b"HTTP/1.1 200"):
                        tally.served += 1
                        tally.latencies_s.append(time.monotonic() - began)
                    else:
                        tally.refused += 1
                    if pause_s:
                        await asyncio.sleep(pause_s)
                    if b"connection: close" in head.lower():
                        break
            except asyncio.IncompleteReadError:
                tally.lost += 1
            finally:
                writer.close()


async def run_clients(
    port: int, count: int, seconds: float, pause_s: float = 0.0, orders: float = 0.0
) -> Tally:
    """Run `count` clients at once for some seconds; their addresses are in 127.1.0.0/16."""
    tally = Tally()
    until = time.monotonic() + seconds
    names = (f"127.1.{number // 250}.{number % 250 + 1}" for number in range(count))
    await asyncio.gather(*(run_client(port, tally, until, name, pause_s, orders) for name in names))
    return tally
