"""Arrival times of bytes that are parsed later than they arrive, since reading is paused. No I/O.

A client's deadline counts from the last byte of its request. While reading is paused behind requests that
wait, arriving bytes stay in the kernel. They are counted there now and then: a byte that was not there at one
count arrived after it, at the earliest.
"""

from __future__ import annotations

from collections import deque

MAX_MARKS = 64  # further ones replace the latest


class Arrivals:
    """Counts of one connection's bytes, with times in nanoseconds on the clock of deadlines.

    Attributes:
        read: Bytes that were parsed so far.
        marks: Time of each count, and how many bytes had arrived by then in all.
    """

    __slots__ = ("marks", "read")

    def __init__(self) -> None:
        """Begin with nothing read or counted."""
        self.read = 0
        self.marks: deque[tuple[int, int]] = deque()

    def mark(self, now_ns: int, unread: int) -> None:
        """Record a count.

        Args:
            now_ns: When it was made.
            unread: Bytes that had arrived by then and were not parsed.
        """
        came = self.read + unread
        marks = self.marks
        if len(marks) > 1 and (marks[-1][1] == came or len(marks) >= MAX_MARKS):
            marks.pop()
        marks.append((now_ns, came))

    def came_ns(self, live: bool) -> int:
        """Return the earliest time at which the next byte to be parsed can have arrived.

        Args:
            live: Reading is not paused: what was in no count has just arrived.

        Returns:
            The time of a count in nanoseconds; 0 if the byte arrives just now.
        """
        marks = self.marks
        while len(marks) > 1 and marks[1][1] <= self.read:
            marks.popleft()
        if live and marks and marks[-1][1] <= self.read:
            marks.clear()
        return marks[0][0] if marks else 0
