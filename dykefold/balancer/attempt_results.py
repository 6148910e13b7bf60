"""The end of an attempt: out of what is in flight, and into the estimates."""

from __future__ import annotations

from .concurrency_limit import ConcurrencyLimit
from .congestion import REJECTION_VALUE, WANTED_LATENCY_OBJECTIVES, WANTED_WAIT_OBJECTIVES, CongestionSignal
from .context import BalancerContext
from .endpoints import EndpointState
from .events import BodySent, Outcome, Status, StreamStarted
from .in_flight import InFlightAttempt
from .latency import LatencyEstimator
from .load_reports import LoadReports
from .lost_attempts import LostAttempts
from .outlier_detection import (
    EJECTION_SCORE,
    MAX_CONSECUTIVE_REJECTIONS,
    MAX_EJECTED_FRACTION,
    MAX_EJECTED_ON_SILENCE_FRACTION,
    OutlierDetector,
)
from .requests import PendingRequest
from .slow_start import SlowStart
from .subsetting import EndpointSet

# A fast error does not make an endpoint look fast.
MIN_FAILURE_RELATIVE_LATENCY = 4.0
# A full endpoint is alive, but it should get fewer requests for a while.
MIN_REJECTION_RELATIVE_LATENCY = 3.0


class AttemptResults:
    """Learns from how attempts end."""

    def __init__(
        self,
        context: BalancerContext,
        endpoints: EndpointSet,
        latency: LatencyEstimator,
        congestion: CongestionSignal,
        limit: ConcurrencyLimit,
        slow_start: SlowStart,
        reports: LoadReports,
        outliers: OutlierDetector,
        lost: LostAttempts,
    ) -> None:
        """Learn into the state of these parts."""
        self.context = context
        self.endpoints = endpoints
        self.latency = latency
        self.congestion = congestion
        self.limit = limit
        self.slow_start = slow_start
        self.reports = reports
        self.outliers = outliers
        self.lost = lost

    def on_body_sent(self, event: BodySent, request: PendingRequest) -> None:
        """A request's body has reached its endpoint: from now on the endpoint works on it."""
        endpoint = self.endpoints.all.get(event.endpoint_number)
        if endpoint is not None:
            now = self.context.now_ns
            endpoint.in_flight[event.id, event.attempt] = InFlightAttempt(now, request.stats)
            self.limit.in_flight += not endpoint.ejected

    def on_end(self, event: Outcome | StreamStarted) -> None:
        """Take an attempt out of what is in flight, and its end into the estimates."""
        endpoint = self.endpoints.all.get(event.endpoint_number)
        if endpoint is None:
            return
        key = (event.id, event.attempt)
        attempt = endpoint.in_flight.pop(key, None)
        if attempt is None:
            return  # of a stream that began long ago
        lost, counted_late = key in endpoint.lost, key in endpoint.counted_late
        endpoint.lost.discard(key)
        endpoint.counted_late.discard(key)
        if not lost and not endpoint.ejected:
            self.limit.in_flight -= 1
        self.learn(endpoint, attempt, event, lost or counted_late)

    def learn(
        self,
        endpoint: EndpointState,
        attempt: InFlightAttempt,
        event: Outcome | StreamStarted,
        counted: bool,
    ) -> None:
        """Take an attempt's end into the estimates of its endpoint and class.

        Args:
            endpoint: where it ran.
            attempt: what is known of it.
            event: how it ended.
            counted: whether it counted as late or lost before.
        """
        status, took = event.status, event.duration_ns
        if endpoint.ejected:
            endpoint.probation_pending = False
        if status is Status.OK:
            self._learn_success(endpoint, attempt, event)
        elif status is Status.NOT_ATTEMPTED:
            return
        elif status is Status.FULL:
            self._learn_rejection(endpoint, attempt)
        elif status is Status.CANCELLED:
            relative = took / attempt.stats.mean_latency_ns
            if relative > endpoint.relative_latency:
                self.latency.add_sample(endpoint, relative)
        else:
            self._learn_failure(endpoint, attempt, event, counted)

    def _learn_success(
        self, endpoint: EndpointState, attempt: InFlightAttempt, event: Outcome | StreamStarted
    ) -> None:
        stats, took = attempt.stats, event.duration_ns
        relative = took / stats.mean_latency_ns
        self.latency.learn_typical(stats, took, self.limit.congested())
        if endpoint.slow_start_ns:
            self.slow_start.credit(endpoint, stats)
        self.limit.on_answer(stats)
        self.congestion.add_latency(endpoint, stats, attempt.sent_ns, took, WANTED_LATENCY_OBJECTIVES)
        self.latency.add_answer(stats, took)
        local = endpoint.zone == self.context.settings.zone
        self.latency.throughput.count_answer(self.endpoints.ready_count, local=local)
        self.outliers.record_success(endpoint)
        self.latency.add_sample(endpoint, relative)
        if event.report:
            self.reports.record(endpoint, event.report, relative)
        if endpoint.in_flight:
            self.lost.on_answer(endpoint, attempt.sent_ns)

    def _learn_rejection(self, endpoint: EndpointState, attempt: InFlightAttempt) -> None:
        self.latency.add_sample(endpoint, max(MIN_REJECTION_RELATIVE_LATENCY, endpoint.relative_latency))
        endpoint.last_alive_ns = self.context.now_ns  # busy, but alive
        endpoint.consecutive_rejections += 1
        if endpoint.consecutive_rejections < MAX_CONSECUTIVE_REJECTIONS:
            self.congestion.add(REJECTION_VALUE, attempt.sent_ns)
        else:  # a full queue lets some in: this one is closing, and that is no load of the fleet's
            self.outliers.record_failure(endpoint, EJECTION_SCORE, MAX_EJECTED_ON_SILENCE_FRACTION)

    def _learn_failure(
        self,
        endpoint: EndpointState,
        attempt: InFlightAttempt,
        event: Outcome | StreamStarted,
        counted: bool,
    ) -> None:
        stats, took, sent = attempt.stats, event.duration_ns, attempt.sent_ns
        relative = took / stats.mean_latency_ns
        self.latency.add_sample(
            endpoint, max(relative, MIN_FAILURE_RELATIVE_LATENCY, endpoint.relative_latency)
        )
        if event.status is not Status.TIMEOUT:
            self.outliers.record_failure(endpoint, 1.0, MAX_EJECTED_FRACTION)
        elif endpoint.last_alive_ns <= sent:
            self.outliers.record_failure(endpoint, 1.0, MAX_EJECTED_ON_SILENCE_FRACTION)
        else:
            # The endpoint lives, so all may be slow.
            if not counted:
                self.congestion.add_latency(endpoint, stats, sent, took, WANTED_WAIT_OBJECTIVES)
            self.latency.add_timeout(stats, took)
