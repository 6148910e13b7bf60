"""Scheduler that parses long input in slices, so that no single read blocks the event loop.

A transport delivers up to 256 KiB at once. Most of that is cheap to parse, but one-byte chunks, header lines
of four bytes or requests of twenty cost some microseconds each, and parsing a read full of them takes
hundreds of milliseconds. Therefore input longer than a slice is queued here, and reading from its connection
pauses. Each iteration of the loop parses a few slices, round-robin over the connections.
"""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Protocol

from ..system import SYSTEM, System
from .loop_lag import LoopLagMonitor

# A typical message is shorter than a slice, and a slice full of the shortest requests takes 2 to 3 ms.
SLICE_BYTES = 2048
# Slice of a body with a length, which is cheap to parse.
BODY_SLICE_BYTES = 16 * 1024
# Limit for all connections together.
MAX_SLICES_PER_ITERATION = 2


class Reader(Protocol):
    """A connection whose input may be queued.

    Attributes:
        unparsed: Input that waits to be parsed, in order; None if there is none.
    """

    unparsed: memoryview | None

    def feed_slice(self) -> bool:
        """Parse at most a slice of the input; return whether the next iteration can parse more."""
        ...


class ReadScheduler:
    """Queue of the connections whose input waits to be parsed, each at most once.

    Args:
        loop: Event loop that runs the parsing.
        lag_monitor: Monitor that records the duration of each run; None if it is not measured.
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
        """Queue a connection whose input waits; it must not be queued already."""
        self.queue.append(reader)
        if len(self.queue) == 1:
            self.loop.call_soon(self._parse_slices)

    def _parse_slices(self) -> None:
        began_s = self.monotonic()
        for _ in range(min(MAX_SLICES_PER_ITERATION, len(self.queue))):
            reader = self.queue.popleft()
            if reader.feed_slice():
                self.queue.append(reader)
        if self.queue:
            self.loop.call_soon(self._parse_slices)
        if self.lag_monitor is not None:
            self.lag_monitor.record_duration(began_s, "slices of long input")


def split_slice(data: memoryview, size: int = SLICE_BYTES) -> tuple[bytes, memoryview | None]:
    """Split input into its next slice and the rest, which is None if nothing is left."""
    rest = data[size:]
    return bytes(data[:size]), rest if len(rest) else None
