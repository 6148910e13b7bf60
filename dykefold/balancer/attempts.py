"""Sending attempts."""

from __future__ import annotations

from .actions import Send
from .concurrency_limit import ConcurrencyLimit
from .context import BalancerContext
from .endpoints import EndpointState
from .in_flight import InFlightAttempt
from .latency import LatencyEstimator
from .requests import Attempt, PendingRequest
from .slow_start import SlowStart
from .timers import OVERDUE, TimerQueue


class AttemptSender:
    """Sends attempts and accounts for them."""

    def __init__(
        self,
        context: BalancerContext,
        timers: TimerQueue,
        latency: LatencyEstimator,
        limit: ConcurrencyLimit,
        slow_start: SlowStart,
    ) -> None:
        """Account in these parts for what is sent."""
        self.context = context
        self.timers = timers
        self.latency = latency
        self.limit = limit
        self.slow_start = slow_start

    def send(self, request: PendingRequest, endpoint: EndpointState) -> None:
        """Send the next attempt of a request."""
        now = self.context.now_ns
        stats = request.stats
        number = len(request.attempts)
        request.attempts.append(Attempt(endpoint, now))
        request.retry_paid = False
        overdue = self.latency.overdue_after(endpoint, stats, request.deadline_ns - now)
        endpoint.in_flight[request.id, number] = InFlightAttempt(now, stats)
        if endpoint.ejected:
            endpoint.probation_pending = True
        else:
            self.limit.in_flight += 1
        if endpoint.started_ns:
            self.slow_start.charge(endpoint, stats)
        # No time-out of its own: an overdue attempt is judged by what its endpoint did meanwhile.
        self.context.actions.append(Send(request.id, endpoint.id))
        self.timers.add(now + overdue, OVERDUE, request.id, number)
