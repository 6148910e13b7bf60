"""The clock of deadlines: monotonic time on the scale of Unix time."""

from __future__ import annotations

from ..system import SYSTEM, System

NS_PER_MS = 1_000_000
NS_PER_S = 1_000_000_000


class Clock:
    """Monotonic time on the scale of Unix time, in which endpoint lists state the starts of endpoints.

    The offset between both clocks is read once, so that later steps of the wall clock have no effect.

    Args:
        system: Source of the clocks.

    Attributes:
        monotonic_ns: Returns the monotonic time in nanoseconds.
        offset_ns: Nanoseconds between the monotonic time and this clock.
    """

    def __init__(self, system: System = SYSTEM) -> None:
        self.monotonic_ns = system.monotonic_ns
        self.offset_ns = system.time_ns() - system.monotonic_ns()

    def now(self) -> int:
        """Return the current time in nanoseconds."""
        return self.offset_ns + self.monotonic_ns()

    def from_monotonic(self, monotonic_s: float) -> int:
        """Convert a time of the monotonic clock, with an error of some hundred nanoseconds.

        Args:
            monotonic_s: Time of the monotonic clock, in seconds.

        Returns:
            Time of this clock, in nanoseconds.
        """
        return self.offset_ns + int(monotonic_s * NS_PER_S)
