"""Overdue attempts: they count as failures or as congestion, and may be retried or hedged."""

from __future__ import annotations

from .attempt_results import AttemptLearners
from .congestion import WANTED_WAIT_OBJECTIVES
from .context import BalancerContext
from .outlier_detection import MAX_EJECTED_ON_SILENCE_FRACTION, OVERDUE_SCORE
from .requests import IN_FLIGHT, PendingRequest
from .stuck_attempts import StuckAttempts
from .timers import OVERDUE, TimerQueue

# This bit of the attempt number in a timer marks an attempt that has already been overdue.
RECHECK_FLAG = 1 << 16


class Hedging:
    """Decides how to react to an attempt whose response is late.

    Args:
        context: State that all parts share.
        timers: Timers that schedule the next check of an overdue attempt.
        learners: Parts that are updated by overdue attempts.
        stuck_attempts: Retries of attempts at ejected endpoints.
    """

    def __init__(
        self,
        context: BalancerContext,
        timers: TimerQueue,
        learners: AttemptLearners,
        stuck_attempts: StuckAttempts,
    ) -> None:
        self.context = context
        self.timers = timers
        self.congestion = learners.congestion
        self.outliers = learners.outliers
        self.lost_attempts = learners.lost_attempts
        self.stuck_attempts = stuck_attempts

    def on_overdue(self, request: PendingRequest, attempt_number: int) -> None:
        """Count an overdue attempt as a failure or as congestion, and retry it if its endpoint is ejected.

        Guards against retry storms. If the endpoint is not ejected, either the work takes long, which a retry
        would not shorten, or all endpoints are slow, which a retry would make worse. To a sidecar with sparse
        traffic nearly every endpoint is silent, so silence alone is no reason to retry.

        Args:
            request: Pending request.
            attempt_number: Number of the attempt, plus `RECHECK_FLAG` if it has already been overdue.
        """
        first, attempt_number = attempt_number < RECHECK_FLAG, attempt_number % RECHECK_FLAG
        attempt = request.attempts[attempt_number]
        if attempt.state is not IN_FLIGHT:
            return
        sent_ns, endpoint = attempt.sent_ns, attempt.endpoint
        silent = endpoint.last_alive_ns <= sent_ns
        if first and silent:  # The score is too low for an ejection, because the work may just take long.
            self.outliers.record_failure(endpoint, OVERDUE_SCORE, MAX_EJECTED_ON_SILENCE_FRACTION)
        elif first:
            self._count_late(request, attempt_number)
        elif not silent:
            self.lost_attempts.mark_lost(endpoint, (request.id, attempt_number))
        if endpoint.ejected:
            self.stuck_attempts.retry(request, attempt_number)
        next_check_ns = 2 * self.context.now_ns - sent_ns
        if next_check_ns < request.deadline_ns:
            self.timers.add(next_check_ns, OVERDUE, request.id, attempt_number + RECHECK_FLAG)

    def _count_late(self, request: PendingRequest, attempt_number: int) -> None:
        """Count a late attempt at a live endpoint as congestion before it ends, so that the limit reacts."""
        attempt = request.attempts[attempt_number]
        endpoint, key = attempt.endpoint, (request.id, attempt_number)
        if key not in endpoint.lost:
            waited_ns = self.context.now_ns - attempt.sent_ns
            self.congestion.add_latency(
                endpoint, request.stats, attempt.sent_ns, waited_ns, WANTED_WAIT_OBJECTIVES
            )
            endpoint.counted_late.add(key)
