"""Closed-loop clients for benchmarks and tests, each with its own connection and loopback address."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import time
from dataclasses import dataclass, field

REQUEST_IDS = itertools.count()
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
        rejected: Number of requests answered with another status code.
        lost: Number of connections that ended without an answer.
        latencies_s: Latencies of served requests in seconds.
    """

    served: int = 0
    rejected: int = 0
    lost: int = 0
    latencies_s: list[float] = field(default_factory=list)

    def quantile_ms(self, fraction: float) -> float:
        """Return a quantile of the latencies in milliseconds; NaN if there are none."""
        ordered = sorted(self.latencies_s)
        return (
            ordered[min(int(len(ordered) * fraction), len(ordered) - 1)] * 1000 if ordered else float("nan")
        )


async def run_client(
    port: int,
    tally: Tally,
    until_s: float,
    address: str = "127.0.0.1",
    pause_s: float = 0.0,
    order_fraction: float = 0.0,
) -> None:
    """Send one request after the other, on a new connection whenever the previous one is closed.

    Args:
        port: Port of the sidecar on loopback.
        tally: Results, which are updated.
        until_s: Monotonic time in seconds at which the client stops.
        address: Loopback address of the client.
        pause_s: Seconds between an answer and the next request.
        order_fraction: Fraction of the requests that are orders.
    """
    while time.monotonic() < until_s:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port, local_addr=(address, 0))
            try:
                while time.monotonic() < until_s:
                    sent_s = time.monotonic()
                    request_id = next(REQUEST_IDS)
                    # Orders are spread evenly, not at random.
                    is_order = order_fraction and int(request_id * order_fraction) > int(
                        (request_id - 1) * order_fraction
                    )
                    writer.write((ORDER if is_order else LOOKUP) % request_id)
                    head = await reader.readuntil(b"\r\n\r\n")
                    length = head.lower().partition(b"content-length: ")[2].partition(b"\r")[0]
                    await reader.readexactly(int(length))
                    if head.startswith(b"HTTP/1.1 200"):
                        tally.served += 1
                        tally.latencies_s.append(time.monotonic() - sent_s)
                    else:
                        tally.rejected += 1
                    if pause_s:
                        await asyncio.sleep(pause_s)
                    if b"connection: close" in head.lower():
                        break
            except asyncio.IncompleteReadError:
                tally.lost += 1
            finally:
                writer.close()


async def run_clients(
    port: int, count: int, seconds: float, pause_s: float = 0.0, order_fraction: float = 0.0
) -> Tally:
    """Run `count` concurrent clients for some seconds; their addresses are in 127.1.0.0/16."""
    tally = Tally()
    until_s = time.monotonic() + seconds
    addresses = (f"127.1.{number // 250}.{number % 250 + 1}" for number in range(count))
    await asyncio.gather(
        *(run_client(port, tally, until_s, address, pause_s, order_fraction) for address in addresses)
    )
    return tally
