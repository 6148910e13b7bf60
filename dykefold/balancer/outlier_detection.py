"""Outlier detection: failing endpoints are ejected temporarily, and probed before they are readmitted."""

from __future__ import annotations

from collections.abc import Callable

from .actions import ReportEndpointHealth
from .attempt_rules import AttemptRules
from .backoff import exponential
from .concurrency_limit import ConcurrencyLimit
from .context import BalancerContext
from .endpoints import EndpointState
from .requests import PendingRequest
from .settings import Effect
from .subsetting import EndpointSet

# Consecutive failures, without an answer in between.
EJECTION_SCORE = 2.0
# An overdue attempt counts as half a failure.
OVERDUE_SCORE = 0.5
# An endpoint that rejects this many consecutive attempts is draining; the endpoint list shows it later.
MAX_CONSECUTIVE_REJECTIONS = 2
EJECTION_DEADLINES = 1.0
MAX_EJECTION_DEADLINES = 8.0
# Jitter of the ejection time in both directions, so that sidecars do not probe an endpoint together.
EJECTION_JITTER_FRACTION = 0.3
# Fraction of the ready endpoints. If more of them reset connections, the likely cause is the local network.
MAX_EJECTED_FRACTION = 0.7
# The same if only answers are missing: if a third of the endpoints is silent, the cause is load.
MAX_EJECTED_ON_SILENCE_FRACTION = 0.34
MAX_READMITTED_RELATIVE_LATENCY = 3.0


class OutlierDetector:
    """Scores failures in `EndpointState`, and ejects and readmits endpoints.

    Args:
        context: State that all parts share.
        endpoints: Known endpoints, with their failure scores.
        limit: Concurrency limit, which excludes attempts at ejected endpoints.
        rules: Rules that a probation probe must satisfy.
        on_ejected: Callback for each ejected endpoint, after the lists of endpoints have been rebuilt.
    """

    def __init__(
        self,
        context: BalancerContext,
        endpoints: EndpointSet,
        limit: ConcurrencyLimit,
        rules: AttemptRules,
        on_ejected: Callable[[EndpointState], None],
    ) -> None:
        self.context = context
        self.endpoints = endpoints
        self.limit = limit
        self.rules = rules
        self.on_ejected = on_ejected

    def record_failure(self, endpoint: EndpointState, score: float, max_ejected: float) -> None:
        """Record a failure or an overdue attempt, and eject the endpoint if its score is high enough.

        Args:
            endpoint: Endpoint of the attempt.
            score: Weight of the failure.
            max_ejected: Fraction of the ready endpoints that may be ejected, this one included.
        """
        endpoint.failure_score += score
        if endpoint.ejected:
            self._schedule_probation(endpoint)
            return
        count = len(self.endpoints.ejected) + 1
        if endpoint.failure_score >= EJECTION_SCORE and count <= max_ejected * self.endpoints.ready_count:
            self.eject(endpoint)

    def record_success(self, endpoint: EndpointState) -> None:
        """Record an answer, which readmits an ejected endpoint."""
        endpoint.failure_score = 0.0
        endpoint.consecutive_rejections = 0
        endpoint.last_alive_ns = self.context.now_ns
        if endpoint.ejected:
            self._readmit(endpoint)

    def suspect(self, endpoint: EndpointState) -> None:
        """Raise the failure score of an endpoint that other sidecars ejected.

        This sidecar still has to observe one failure before it ejects the endpoint.
        """
        if not endpoint.ejected:
            endpoint.failure_score = max(endpoint.failure_score, EJECTION_SCORE - 1.0)

    def eject(self, endpoint: EndpointState) -> None:
        """Eject an endpoint temporarily, and retry its attempts in flight where that is allowed."""
        endpoint.ejected = True
        self.limit.in_flight -= endpoint.expected_responses()
        endpoint.ejections = 0
        self._schedule_probation(endpoint)
        self.endpoints.rebuild()
        self.context.log(f"ejected {endpoint.id} after {endpoint.failure_score:.1f} strikes in a row")
        self.on_ejected(endpoint)

    def _schedule_probation(self, endpoint: EndpointState) -> None:
        """Set the time of the next probation probe, and report the ejection to other sidecars."""
        context = self.context
        if context.fleet:
            context.actions.append(ReportEndpointHealth(endpoint.id, False))
        wait_ns = context.shortest_ns * exponential(
            EJECTION_DEADLINES, endpoint.ejections, MAX_EJECTION_DEADLINES
        )
        endpoint.ejections += 1
        jitter = context.random.uniform(1.0 - EJECTION_JITTER_FRACTION, 1.0 + EJECTION_JITTER_FRACTION)
        endpoint.probation_ns = context.now_ns + int(wait_ns * jitter)

    def probation_endpoint(self, request: PendingRequest) -> EndpointState | None:
        """Return an ejected endpoint that is due for a probation probe by this request, or None.

        If there are safe classes, only their requests serve as probes. Otherwise requests of any class do,
        because a recovered endpoint would never be readmitted without probes.
        """
        if request.attempts or (self.context.has_safe_class and request.spec.effect is not Effect.SAFE):
            return None
        now = self.context.now_ns
        for endpoint in self.endpoints.ejected:
            due = endpoint.probation_ns <= now and not endpoint.probation_pending
            if due and self.rules.may_send(request, endpoint):
                return endpoint
        return None

    def _readmit(self, endpoint: EndpointState) -> None:
        if self.context.fleet:
            self.context.actions.append(ReportEndpointHealth(endpoint.id, True))
        endpoint.ejected = False
        self.limit.in_flight += endpoint.expected_responses()
        endpoint.relative_latency = min(endpoint.relative_latency, MAX_READMITTED_RELATIVE_LATENCY)
        self.endpoints.rebuild()
