"""Sending of first attempts and of planned retries."""

from __future__ import annotations

from .actions import Send
from .concurrency_limit import ConcurrencyLimit
from .context import BalancerContext
from .endpoints import EndpointState
from .in_flight import InFlightAttempt
from .latency import LatencyEstimator
from .picker import Picker
from .requests import Attempt, PendingRequest
from .retry_policy import RetryPolicy
from .slow_start import SlowStart
from .timers import OVERDUE, TimerQueue


class AttemptSender:
    """Sends attempts, and counts them as in flight.

    Args:
        context: State that all parts share.
        timers: Timers that detect overdue attempts.
        latency: Latency estimates, which determine when an attempt is overdue.
        limit: Concurrency limit, which counts the attempts in flight.
        slow_start: Token buckets of endpoints that are warming up.
    """

    def __init__(
        self,
        context: BalancerContext,
        timers: TimerQueue,
        latency: LatencyEstimator,
        limit: ConcurrencyLimit,
        slow_start: SlowStart,
    ) -> None:
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
        overdue_ns = self.latency.overdue_after(endpoint, stats, request.deadline_ns - now)
        endpoint.in_flight[request.id, number] = InFlightAttempt(now, stats)
        if endpoint.ejected:
            endpoint.probation_pending = True
        else:
            self.limit.in_flight += 1
        if endpoint.started_ns:
            self.slow_start.charge(endpoint, stats)
        # The attempt has no timeout: once overdue, the endpoint's other answers decide what happens to it.
        self.context.actions.append(Send(request.id, endpoint.id))
        self.timers.add(now + overdue_ns, OVERDUE, request.id, number)


class RetrySender:
    """Sends planned retries.

    Args:
        picker: Picker of the endpoint.
        sender: Sender of the attempt.
        retries: Policy that plans another retry if no endpoint is available.
    """

    def __init__(self, picker: Picker, sender: AttemptSender, retries: RetryPolicy) -> None:
        self.picker = picker
        self.sender = sender
        self.retries = retries

    def send(self, request: PendingRequest) -> None:
        """Send the next attempt now, or plan a retry if no endpoint is available."""
        endpoint = self.picker.pick(request)
        if endpoint is not None:
            self.sender.send(request, endpoint)
        elif not request.any_in_flight():
            self.retries.plan(request)
