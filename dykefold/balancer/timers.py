"""The timers of a balancer: one heap, of which only the earliest is armed with the caller."""

from __future__ import annotations

import heapq

from .actions import SetTimer
from .context import BalancerContext

OVERDUE, RETRY, POLL = range(3)  # kinds; for equal times the order in which they ring
TOKEN_MASK = 0xFFFFFFFF


class TimerQueue:
    """What is due when.

    Attributes:
        heap: time, kind, request and attempt of each timer.
    """

    def __init__(self, context: BalancerContext) -> None:
        self.context = context
        self.heap: list[tuple[int, int, int, int]] = []
        self.armed_ns = 0  # 0: none
        self.token = 0

    def add(self, due_ns: int, kind: int, request: int = 0, attempt: int = 0) -> None:
        """Have a timer ring at that time."""
        heapq.heappush(self.heap, (due_ns, kind, request, attempt))

    def rang(self, token: int) -> None:
        """Note that the caller's timer rang; an earlier token is of one that was replaced."""
        if token == self.token:
            self.armed_ns = 0

    def next_due(self) -> tuple[int, int, int, int] | None:
        """Take the earliest timer that is due; None if there is none."""
        if self.heap and self.heap[0][0] <= self.context.now_ns:
            return heapq.heappop(self.heap)
        return None

    def arm(self) -> None:
        """Ask the caller for a timer if the earliest one is not armed."""
        heap = self.heap
        if heap and (not self.armed_ns or heap[0][0] < self.armed_ns):
            context = self.context
            self.armed_ns = heap[0][0]
            self.token = (self.token + 1) & TOKEN_MASK
            context.actions.append(SetTimer(max(self.armed_ns - context.now_ns, 1), self.token))
