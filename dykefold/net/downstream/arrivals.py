"""Arrival times of bytes that arrive while reading is paused and are parsed later. No I/O.

A client's deadline counts from the last byte of its request. While reading is paused, arriving bytes stay in
the kernel, where they are counted from time to time. A byte that a count does not include arrived after it.
"""

from __future__ import annotations

from collections import deque

MAX_MARKS = 64  # Beyond this number, a new mark replaces the latest one.


class Arrivals:
    """Byte counts of one connection, with their times on the clock of deadlines.

    Attributes:
        parsed_bytes: Number of bytes parsed so far.
        marks: Counts in order of time: time in nanoseconds, and total number of bytes arrived by then.
    """

    __slots__ = ("marks", "parsed_bytes")

    def __init__(self) -> None:
        self.parsed_bytes = 0
        self.marks: deque[tuple[int, int]] = deque()

    def record_count(self, now_ns: int, unread: int) -> None:
        """Record a count of the bytes that have arrived.

        Args:
            now_ns: Time of the count in nanoseconds.
            unread: Number of bytes that had arrived by then and were not yet parsed.
        """
        arrived_bytes = self.parsed_bytes + unread
        marks = self.marks
        if len(marks) > 1 and (marks[-1][1] == arrived_bytes or len(marks) >= MAX_MARKS):
            marks.pop()
        marks.append((now_ns, arrived_bytes))

    def arrival_ns(self, reading: bool) -> int:
        """Return the earliest time at which the next byte to be parsed can have arrived.

        Args:
            reading: Whether reading is active, so that a byte that no count includes has just arrived.

        Returns:
            Time of a count in nanoseconds; 0 if the byte has just arrived.
        """
        marks = self.marks
        while len(marks) > 1 and marks[1][1] <= self.parsed_bytes:
            marks.popleft()
        if reading and marks and marks[-1][1] <= self.parsed_bytes:
            marks.clear()
        return marks[0][0] if marks else 0
