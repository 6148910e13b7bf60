"""How late the loop runs: one timer that looks when it is called, and who took the longest.

A sidecar that holds its loop for 50 ms makes every desk wait for it and rings its time limits late, and
nothing else tells. The probe is always on: fifty wake-ups a second, and two looks at the clock for each
callback that reads a socket.
"""

from __future__ import annotations

import asyncio
import logging

from ..system import SYSTEM, System

log = logging.getLogger("dykefold")

EVERY_S = 0.02
LATE_S = 0.05  # ... is logged: attempts are given up 15 ms before the client's deadline
SPAN_S = 10.0  # over which the worst is kept, and between two lines


class LoopLagMonitor:
    """The worst lateness of the loop in the last `SPAN_S` to twice that, seconds."""

    def __init__(self, loop: asyncio.AbstractEventLoop, system: System = SYSTEM) -> None:
        self.loop = loop
        self.monotonic = system.monotonic
        self.worst_now_s = self.worst_before_s = 0.0
        self.span_at_s = self.monotonic()
        self.noted_at_s = -SPAN_S
        self.longest_s = 0.0  # of the callbacks since the last look
        self.what = ""
        self.due_s = self.monotonic() + EVERY_S
        self.timer = loop.call_later(EVERY_S, self._look)

    @property
    def worst_s(self) -> float:
        return max(self.worst_now_s, self.worst_before_s)

    def took(self, began_s: float, what: str) -> None:
        """A callback that began at this time is over."""
        took_s = self.monotonic() - began_s
        if took_s > self.longest_s:
            self.longest_s, self.what = took_s, what

    def _look(self) -> None:
        now_s = self.monotonic()
        late_s = now_s - self.due_s
        if now_s - self.span_at_s >= SPAN_S:
            self.worst_before_s, self.worst_now_s, self.span_at_s = self.worst_now_s, 0.0, now_s
        self.worst_now_s = max(self.worst_now_s, late_s)
        if late_s >= LATE_S and now_s - self.noted_at_s >= SPAN_S:
            self.noted_at_s = now_s
            # A callback that explains less than half of it did not cause it.
            ran = f"{self.what}, {self.longest_s * 1000:.0f} ms"
            if self.longest_s < late_s / 2:
                ran = "nothing here; the process was stopped or its core was taken"
            log.warning("the loop was late by %.0f ms; what ran: %s", late_s * 1000, ran)
        self.longest_s = 0.0
        self.due_s = now_s + EVERY_S
        self.timer = self.loop.call_later(EVERY_S, self._look)

    def close(self) -> None:
        self.timer.cancel()
