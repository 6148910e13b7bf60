"""The end of an attempt: it is no longer in flight, and its result updates the estimates."""

from __future__ import annotations

from dataclasses import dataclass

from .concurrency_limit import ConcurrencyLimit
from .congestion import (
    REJECTION_VALUE,
    WANTED_LATENCY_OBJECTIVES,
    WANTED_WAIT_OBJECTIVES,
    CongestionSignal,
)
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

# Otherwise, fast errors would make an endpoint look fast.
MIN_FAILURE_RELATIVE_LATENCY = 4.0
# A full endpoint is alive, but should receive fewer requests for a while.
MIN_REJECTION_RELATIVE_LATENCY = 3.0


@dataclass(frozen=True, slots=True)
class AttemptLearners:
    """Parts of a balancer that are updated by the results of attempts.

    Attributes:
        latency: Latency estimates of endpoints and classes.
        congestion: Congestion signal of the concurrency limit.
        slow_start: Token buckets of endpoints that are warming up.
        load_reports: Loads that endpoints report.
        outliers: Failure scores and ejections.
        lost_attempts: Detection of attempts whose response is no longer expected.
    """

    latency: LatencyEstimator
    congestion: CongestionSignal
    slow_start: SlowStart
    load_reports: LoadReports
    outliers: OutlierDetector
    lost_attempts: LostAttempts


class AttemptResults:
    """Removes attempts that ended from those in flight, and updates the estimates with their results.

    Args:
        context: State that all parts share.
        endpoints: Known endpoints.
        limit: Concurrency limit, which counts the attempts in flight.
        learners: Parts that are updated by the results.
    """

    def __init__(
        self,
        context: BalancerContext,
        endpoints: EndpointSet,
        limit: ConcurrencyLimit,
        learners: AttemptLearners,
    ) -> None:
        self.context = context
        self.endpoints = endpoints
        self.limit = limit
        self.latency = learners.latency
        self.congestion = learners.congestion
        self.slow_start = learners.slow_start
        self.load_reports = learners.load_reports
        self.outliers = learners.outliers
        self.lost_attempts = learners.lost_attempts

    def on_body_sent(self, event: BodySent, request: PendingRequest) -> None:
        """Count an attempt as in flight once its endpoint has received the complete request body."""
        endpoint = self.endpoints.all.get(event.endpoint_number)
        if endpoint is not None:
            now = self.context.now_ns
            endpoint.in_flight[event.id, event.attempt] = InFlightAttempt(now, request.stats)
            self.limit.in_flight += not endpoint.ejected

    def on_end(self, event: Outcome | StreamStarted) -> None:
        """Remove an attempt from those in flight, and update the estimates with its result."""
        endpoint = self.endpoints.all.get(event.endpoint_number)
        if endpoint is None:
            return
        key = (event.id, event.attempt)
        attempt = endpoint.in_flight.pop(key, None)
        if attempt is None:
            return  # The attempt was removed when the transfer of its body began.
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
        """Update the estimates of the endpoint and the class with the result of an attempt.

        Args:
            endpoint: Endpoint that it was sent to.
            attempt: Record of the attempt in `EndpointState.in_flight`.
            event: Event that ended the attempt.
            counted: True if the attempt has already been counted as late or lost.
        """
        status = event.status
        if endpoint.ejected:
            endpoint.probation_pending = False
        if status is Status.OK:
            self._learn_success(endpoint, attempt, event)
        elif status is Status.NOT_ATTEMPTED:
            return
        elif status is Status.FULL:
            self._learn_rejection(endpoint, attempt)
        elif status is Status.CANCELLED:
            relative_latency = event.duration_ns / attempt.stats.mean_latency_ns
            if relative_latency > endpoint.relative_latency:
                self.latency.add_sample(endpoint, relative_latency)
        else:
            self._learn_failure(endpoint, attempt, event, counted)

    def _learn_success(
        self, endpoint: EndpointState, attempt: InFlightAttempt, event: Outcome | StreamStarted
    ) -> None:
        stats, duration_ns = attempt.stats, event.duration_ns
        relative_latency = duration_ns / stats.mean_latency_ns
        self.latency.learn_typical(stats, duration_ns, self.limit.congested())
        if endpoint.slow_start_refilled_ns:
            self.slow_start.credit(endpoint, stats)
        self.limit.on_answer(stats)
        self.congestion.add_latency(endpoint, stats, attempt.sent_ns, duration_ns, WANTED_LATENCY_OBJECTIVES)
        self.latency.add_answer(stats, duration_ns)
        local = endpoint.zone == self.context.settings.zone
        self.latency.throughput.count_answer(self.endpoints.ready_count, local=local)
        self.outliers.record_success(endpoint)
        self.latency.add_sample(endpoint, relative_latency)
        if event.report:
            self.load_reports.record(endpoint, event.report, relative_latency)
        if endpoint.in_flight:
            self.lost_attempts.on_answer(endpoint, attempt.sent_ns)

    def _learn_rejection(self, endpoint: EndpointState, attempt: InFlightAttempt) -> None:
        self.latency.add_sample(endpoint, max(MIN_REJECTION_RELATIVE_LATENCY, endpoint.relative_latency))
        endpoint.last_alive_ns = self.context.now_ns
        endpoint.consecutive_rejections += 1
        if endpoint.consecutive_rejections < MAX_CONSECUTIVE_REJECTIONS:
            self.congestion.add(REJECTION_VALUE, attempt.sent_ns)
        else:  # A full queue still accepts some requests; this endpoint is draining and not congested.
            self.outliers.record_failure(endpoint, EJECTION_SCORE, MAX_EJECTED_ON_SILENCE_FRACTION)

    def _learn_failure(
        self,
        endpoint: EndpointState,
        attempt: InFlightAttempt,
        event: Outcome | StreamStarted,
        counted: bool,
    ) -> None:
        stats, duration_ns, sent_ns = attempt.stats, event.duration_ns, attempt.sent_ns
        relative_latency = duration_ns / stats.mean_latency_ns
        sample = max(relative_latency, MIN_FAILURE_RELATIVE_LATENCY, endpoint.relative_latency)
        self.latency.add_sample(endpoint, sample)
        if event.status is not Status.TIMEOUT:
            self.outliers.record_failure(endpoint, 1.0, MAX_EJECTED_FRACTION)
        elif endpoint.last_alive_ns <= sent_ns:
            self.outliers.record_failure(endpoint, 1.0, MAX_EJECTED_ON_SILENCE_FRACTION)
        else:  # The endpoint has answered other attempts since, so all endpoints may be slow.
            if not counted:
                self.congestion.add_latency(endpoint, stats, sent_ns, duration_ns, WANTED_WAIT_OBJECTIVES)
            self.latency.add_timeout(stats, duration_ns)
