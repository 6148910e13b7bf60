"""How late the event loop runs: a periodic timer that compares when it was due, and the longest callback.

A callback that blocks the loop for 50 ms delays every client and every time limit, and nothing else shows
that. The probe always runs: it costs fifty wake-ups a second, and two readings of the clock for each callback
that reads a socket.
"""

from __future__ import annotations

import asyncio
import logging

from ..system import SYSTEM, System

log = logging.getLogger("dykefold")

PROBE_INTERVAL_S = 0.02
# Lateness of this size is logged: attempts end 15 ms before the client's deadline.
MIN_LOGGED_S = 0.05
# The worst lateness is reported for this time at least, and a log line follows another one after it.
WINDOW_S = 10.0


class LoopLagMonitor:
    """Measures the worst lateness of the loop in the last `WINDOW_S` to twice that, until `close`.

    Args:
        loop: Event loop that is measured.
        system: The clock.

    Attributes:
        worst_now_s: Worst lateness in the current window, in seconds.
        worst_before_s: Worst lateness in the window before, in seconds.
        window_at_s: Time in seconds at which the current window began.
        logged_at_s: Time in seconds of the latest log line.
        longest_s: Duration in seconds of the longest callback since the last probe.
        longest_name: Name of that callback in the log.
        due_s: Time in seconds at which the next probe is due.
        timer: Timer of the next probe.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, system: System = SYSTEM) -> None:
        self.loop = loop
        self.monotonic = system.monotonic
        self.worst_now_s = self.worst_before_s = 0.0
        self.window_at_s = self.monotonic()
        self.logged_at_s = -WINDOW_S
        self.longest_s = 0.0
        self.longest_name = ""
        self.due_s = self.monotonic() + PROBE_INTERVAL_S
        self.timer = loop.call_later(PROBE_INTERVAL_S, self._probe)

    @property
    def worst_s(self) -> float:
        """Worst lateness, in seconds."""
        return max(self.worst_now_s, self.worst_before_s)

    def record_duration(self, began_s: float, what: str) -> None:
        """Record the time that a callback took.

        Args:
            began_s: Time at which the callback began, in seconds of the monotonic clock.
            what: Name of the callback in the log.
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
            # A callback that explains less than half of the lateness did not cause it.
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
