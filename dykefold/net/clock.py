"""The clock that deadlines and the starts of servers are told in."""

from __future__ import annotations

from time import monotonic_ns, time_ns

MS = 1_000_000
SECOND = 1_000_000_000


class Clock:
    """Monotonic time on the scale of Unix time, which the starts of servers are told in."""

    def __init__(self) -> None:
        self.offset = time_ns() - monotonic_ns()

    def now(self) -> int:
        return self.offset + monotonic_ns()

    def at(self, now_s: float) -> int:
        """What `now` would give at a time of the monotonic clock, to some hundred nanoseconds."""
        return self.offset + int(now_s * SECOND)
