"""Desks that ask one lookup after another on connections of their own, each from an address of its own."""

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
    served: int = 0
    refused: int = 0
    lost: int = 0  # connections that ended with no answer
    latencies_s: list[float] = field(default_factory=list)

    def quantile_ms(self, part: float) -> float:
        ordered = sorted(self.latencies_s)
        return ordered[min(int(len(ordered) * part), len(ordered) - 1)] * 1000 if ordered else float("nan")


async def desk(
    port: int,
    tally: Tally,
    until: float,
    address: str = "127.0.0.1",
    pause_s: float = 0.0,
    orders: float = 0.0,
) -> None:
    """Ask until the time on the monotonic clock has come, on a new connection whenever the old one ends."""
    while time.monotonic() < until:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection("127.0.0.1", port, local_addr=(address, 0))
            try:
                while time.monotonic() < until:
                    began = time.monotonic()
                    ident = next(IDS)
                    # Every nth is an order; which one does not hang on chance.
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


async def desks(port: int, count: int, seconds: float, pause_s: float = 0.0, orders: float = 0.0) -> Tally:
    """So many desks at once; 127.1.0.0/16 gives their addresses."""
    tally = Tally()
    until = time.monotonic() + seconds
    names = (f"127.1.{number // 250}.{number % 250 + 1}" for number in range(count))
    await asyncio.gather(*(desk(port, tally, until, name, pause_s, orders) for name in names))
    return tally
