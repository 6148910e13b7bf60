"""How late the event loop runs: a periodic timer that compares when it was due, and the longest callback.

A callback that blocks the loop for 50 ms delays every client and every time limit, and nothing else shows
it. The probe is always on: fifty wake-ups a second, and two readings of the clock for each callback that
reads a socket.
"""

from __future__ import annotations

import asyncio
import logging

from ..system import SYSTEM, System

log = logging.getLogger("dykefold")

PROBE_INTERVAL_S = 0.02
MIN_LOGGED_S = 0.05  # lateness that is logged: attempts end 15 ms before the client's deadline
WINDOW_S = 10.0  # over which the worst lateness is kept, and between two log lines


class LoopLagMonitor:
    """The worst lateness of the loop in the last `WINDOW_S` to twice that."""

    def __init__(self, loop: asyncio.AbstractEventLoop, system: System = SYSTEM) -> None:
        """Begin probing; `close` ends it."""
        self.loop = loop
        self.monotonic = system.monotonic
        self.worst_now_s = self.worst_before_s = 0.0
        self.window_at_s = self.monotonic()
        self.logged_at_s = -WINDOW_S
        self.longest_s = 0.0  # of the callbacks since the last probe
        self.longest_name = ""
        self.due_s = self.monotonic() + PROBE_INTERVAL_S
        self.timer = loop.call_later(PROBE_INTERVAL_S, self._probe)

    @property
    def worst_s(self) -> float:
        """The worst lateness, in seconds."""
        return max(self.worst_now_s, self.worst_before_s)

    def took(self, began_s: float, what: str) -> None:
        """Record the time that a callback took.

        Args:
            began_s: when it began, in seconds of the monotonic clock.
            what: names the callback in the log.
        """
        took_s = self.monotonic() - began_s
        if took_s > self.longest_s:
            self.longest_s, self.longest_name = took_s, what

    def _probe(self) -> None:
        now_s = self.monotonic()
        late_s = now_s - self.due_s
        if now_s - self.window_at_s >= WINDOW_S:
            self.worst_before_s, self.worst_now_s, self.window_at_s = self.worst_now_s, 0.0, now_s
        self.worst_now_s = max(self.worst_now_s, late_s)
        if late_s >= MIN_LOGGED_S and now_s - self.logged_at_s >= WINDOW_S:
            self.logged_at_s = now_s
            # A callback that explains less than half of it did not cause it.
            longest = f"{self.longest_name}, {self.longest_s * 1000:.0f} ms"
            if self.longest_s < late_s / 2:
                longest = "nothing here; the process was stopped or its core was taken"
            log.warning("event loop was late by %.0f ms; longest callback: %s", late_s * 1000, longest)
        self.longest_s = 0.0
        self.due_s = now_s + PROBE_INTERVAL_S
        self.timer = self.loop.call_later(PROBE_INTERVAL_S, self._probe)

    def close(self) -> None:
        """Stop probing."""
        self.timer.cancel()
