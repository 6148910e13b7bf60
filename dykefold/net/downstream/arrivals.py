"""When bytes had come that are read later than they come, since their reader waits. No I/O.

A client's time counts from the last byte of its request. While reading is paused behind requests that wait,
what comes stays in the kernel; so it is counted there now and then, and what was not there at one count
came after it, at the earliest.
"""

from __future__ import annotations

from collections import deque

MARKS_MOST = 64  # counts that are remembered; beyond these the latest replaces the one before it


class Arrivals:
    """Counts of one connection's bytes, nanoseconds on the clock that deadlines are told in."""

    __slots__ = ("marks", "read")

    def __init__(self) -> None:
        self.read = 0  # bytes that were read and understood so far
        self.marks: deque[tuple[int, int]] = deque()  # when, and how many bytes had come by then

    def mark(self, now_ns: int, unread: int) -> None:
        """So many bytes have come by now beside those that were read."""
        came = self.read + unread
        marks = self.marks
        if len(marks) > 1 and (marks[-1][1] == came or len(marks) >= MARKS_MOST):
            marks.pop()
        marks.append((now_ns, came))

    def came_ns(self, live: bool) -> int:
        """The earliest moment at which the byte behind those that were read can have come.

        Args:
            live: reading goes on: what was in no count has just come.

        Returns:
            The time of a count; 0 if it comes just now.
        """
        marks = self.marks
        while len(marks) > 1 and marks[1][1] <= self.read:
            marks.popleft()
        if live and marks and marks[-1][1] <= self.read:
            marks.clear()
        return marks[0][0] if marks else 0
