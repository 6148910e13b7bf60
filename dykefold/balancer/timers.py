"""The timers of a balancer in one heap; the caller sets one timer, for the earliest of them."""

from __future__ import annotations

import heapq

from .actions import SetTimer
from .context import BalancerContext

# Kinds of timers; among timers that are due at the same time, the lower kind is first.
OVERDUE, RETRY, POLL = range(3)
TOKEN_MASK = 0xFFFFFFFF


class TimerQueue:
    """Timers of all requests and polls.

    Args:
        context: State that all parts share.

    Attributes:
        heap: Time, kind, number of the request and number of the attempt of each timer.
        armed_ns: Time for which the caller's timer is set; 0 for none.
        token: Token of the latest `SetTimer` action.
    """

    def __init__(self, context: BalancerContext) -> None:
        self.context = context
        self.heap: list[tuple[int, int, int, int]] = []
        self.armed_ns = 0
        self.token = 0

    def add(self, due_ns: int, kind: int, request: int = 0, attempt: int = 0) -> None:
        """Add a timer that is due at the given time."""
        heapq.heappush(self.heap, (due_ns, kind, request, attempt))

    def on_due(self, token: int) -> None:
        """Record that the caller's timer has expired; any other token belongs to a replaced timer."""
        if token == self.token:
            self.armed_ns = 0

    def next_due(self) -> tuple[int, int, int, int] | None:
        """Remove and return the earliest timer that is due; None if there is none."""
        if self.heap and self.heap[0][0] <= self.context.now_ns:
            return heapq.heappop(self.heap)
        return None

    def arm(self) -> None:
        """Set the caller's timer if it is not set for the earliest timer."""
        heap = self.heap
        if heap and (not self.armed_ns or heap[0][0] < self.armed_ns):
            context = self.context
            self.armed_ns = heap[0][0]
            self.token = (self.token + 1) & TOKEN_MASK
            context.actions.append(SetTimer(max(self.armed_ns - context.now_ns, 1), self.token))
