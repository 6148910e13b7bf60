"""Input in slices, so that no single read blocks the loop for all other connections.

A transport delivers up to 256 KiB at once. Most of that is cheap to parse, but one-byte chunks, header lines
of four bytes or requests of twenty cost some microseconds each, and a read full of them would take hundreds
of milliseconds. Therefore input longer than a slice waits here, and its connection is not read meanwhile.
Each turn of the loop parses a few slices, one connection after the other.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol

from ..system import SYSTEM, System
from .loop_lag import LoopLagMonitor

# A typical message is shorter than a slice, and a slice full of the shortest requests takes 2 to 3 ms.
SLICE_BYTES = 2048
# This limit covers all connections together.
MAX_SLICES_PER_TURN = 2


class Reader(Protocol):
    """A connection whose input may have to wait.

    Attributes:
        unparsed: Input that waits, in order; None if nothing waits.
    """

    unparsed: memoryview | None

    def feed_slice(self) -> bool:
        """Parse at most a slice of the input; return whether more can be parsed in the next turn."""
        ...


class ReadScheduler:
    """The connections whose input waits, each at most once.

    Args:
        loop: Event loop of the turns.
        lag_monitor: Monitor that is notified of how long each turn took; None if that is not measured.
        system: The clock.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        lag_monitor: LoopLagMonitor | None = None,
        system: System = SYSTEM,
    ) -> None:
        self.loop = loop
        self.monotonic = system.monotonic
        self.lag_monitor = lag_monitor
        self.queue: deque[Reader] = deque()

    def add(self, reader: Reader) -> None:
        """Add a connection whose input waits; it must not be in the queue already."""
        self.queue.append(reader)
        if len(self.queue) == 1:
            self.loop.call_soon(self._turn)

    def _turn(self) -> None:
        began_s = self.monotonic()
        for _ in range(min(MAX_SLICES_PER_TURN, len(self.queue))):
            reader = self.queue.popleft()
            if reader.feed_slice():
                self.queue.append(reader)
        if self.queue:
            self.loop.call_soon(self._turn)
        if self.lag_monitor is not None:
            self.lag_monitor.record_duration(began_s, "slices of long input")


def split_slice(data: memoryview) -> tuple[bytes, memoryview | None]:
    """Split input into its next slice and the rest, which is None if nothing is left."""
    rest = data[SLICE_BYTES:]
    return bytes(data[:SLICE_BYTES]), rest if len(rest) else None
