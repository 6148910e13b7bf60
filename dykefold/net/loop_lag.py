"""Monitor of the event loop's lag: how late a periodic timer runs, and which callback took longest.

A callback that blocks the loop for 50 ms delays every client and every time limit, and no other measurement
shows that. The probe always runs: it costs 50 wake-ups a second, and two readings of the clock for each
callback that reads a socket.
"""

from __future__ import annotations

import asyncio
import logging

from ..system import SYSTEM, System

log = logging.getLogger("dykefold")

PROBE_INTERVAL_S = 0.02
# Lag from this time on is logged: attempts end 15 ms before the client's deadline.
MIN_LOGGED_LAG_S = 0.05
# The maximum lag is reported for at least this time, which is also the minimum interval between log lines.
WINDOW_S = 10.0


class LoopLagMonitor:
    """Measures the maximum lag of the loop over the last one to two `WINDOW_S`, until `close`.

    Args:
        loop: Event loop that is measured.
        system: The clock.

    Attributes:
        current_max_s: Maximum lag in the current window, in seconds.
        previous_max_s: Maximum lag in the previous window, in seconds.
        window_began_s: Time in seconds at which the current window began.
        logged_at_s: Time in seconds of the latest log line.
        longest_s: Duration in seconds of the longest callback since the last probe.
        longest_name: Name of that callback in the log.
        due_s: Time in seconds at which the next probe is due.
        timer: Timer of the next probe.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, system: System = SYSTEM) -> None:
        self.loop = loop
        self.monotonic = system.monotonic
        self.current_max_s = self.previous_max_s = 0.0
        self.window_began_s = self.monotonic()
        self.logged_at_s = -WINDOW_S
        self.longest_s = 0.0
        self.longest_name = ""
        self.due_s = self.monotonic() + PROBE_INTERVAL_S
        self.timer = loop.call_later(PROBE_INTERVAL_S, self._probe)

    @property
    def max_lag_s(self) -> float:
        """Maximum lag in the current and the previous window, in seconds."""
        return max(self.current_max_s, self.previous_max_s)

    def record_duration(self, began_s: float, name: str) -> None:
        """Record the duration of a callback.

        Args:
            began_s: Time at which the callback began, in seconds of the monotonic clock.
            name: Name of the callback in the log.
        """
        duration_s = self.monotonic() - began_s
        if duration_s > self.longest_s:
            self.longest_s, self.longest_name = duration_s, name

    def _probe(self) -> None:
        now_s = self.monotonic()
        lag_s = now_s - self.due_s
        if now_s - self.window_began_s >= WINDOW_S:
            self.previous_max_s, self.current_max_s, self.window_began_s = self.current_max_s, 0.0, now_s
        self.current_max_s = max(self.current_max_s, lag_s)
        if lag_s >= MIN_LOGGED_LAG_S and now_s - self.logged_at_s >= WINDOW_S:
            self.logged_at_s = now_s
            # A callback shorter than half of the lag did not cause it.
            longest = f"{self.longest_name}, {self.longest_s * 1000:.0f} ms"
            if self.longest_s < lag_s / 2:
                longest = "nothing here; the process was stopped or its core was taken"
            log.warning("event loop was late by %.0f ms; longest callback: %s", lag_s * 1000, longest)
        self.longest_s = 0.0
        self.due_s = now_s + PROBE_INTERVAL_S
        self.timer = self.loop.call_later(PROBE_INTERVAL_S, self._probe)

    def close(self) -> None:
        """Stop probing."""
        self.timer.cancel()
