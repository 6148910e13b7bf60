"""The clock of deadlines: monotonic time on the scale of Unix time."""

from __future__ import annotations

from ..system import SYSTEM, System

MS = 1_000_000
SECOND = 1_000_000_000


class Clock:
    """Monotonic time on the scale of Unix time, on which the starts of endpoints are given."""

    def __init__(self, system: System = SYSTEM) -> None:
        """Fix the offset between both clocks: later steps of the wall clock change nothing."""
        self.monotonic_ns = system.monotonic_ns
        self.offset = system.time_ns() - system.monotonic_ns()

    def now(self) -> int:
        """Return the time in nanoseconds."""
        return self.offset + self.monotonic_ns()

    def at(self, now_s: float) -> int:
        """Return what `now` would give at a time of the monotonic clock, to some hundred nanoseconds.

        Args:
            now_s: seconds of the monotonic clock.
        """
        return self.offset + int(now_s * SECOND)
