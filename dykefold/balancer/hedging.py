"""Overdue attempts: when one is taken for stuck, and retried or hedged."""

from __future__ import annotations

from .actions import Cancel
from .attempt_rules import AttemptRules
from .congestion import WANTED_WAIT_OBJECTIVES, CongestionSignal
from .context import BalancerContext
from .endpoints import EndpointState
from .final_answers import FinalAnswers
from .lost_attempts import LostAttempts
from .outlier_detection import MAX_EJECTED_ON_SILENCE_FRACTION, OVERDUE_SCORE, OutlierDetector
from .requests import IN_FLIGHT, PendingRequest
from .retry_policy import RetryPolicy
from .settings import Effect
from .timers import OVERDUE, TimerQueue

# This bit of the attempt number in a timer marks an attempt that has been overdue before.
RECHECK_FLAG = 1 << 16


class Hedging:
    """Judges attempts whose response is late."""

    def __init__(
        self,
        context: BalancerContext,
        timers: TimerQueue,
        congestion: CongestionSignal,
        rules: AttemptRules,
        answers: FinalAnswers,
        outliers: OutlierDetector,
        retries: RetryPolicy,
        lost: LostAttempts,
    ) -> None:
        self.context = context
        self.timers = timers
        self.congestion = congestion
        self.rules = rules
        self.answers = answers
        self.outliers = outliers
        self.retries = retries
        self.lost = lost

    def on_overdue(self, request: PendingRequest, number: int) -> None:
        """An attempt is late: evidence against a silent endpoint, and a retry if that one is ejected.

        Guards against retry storms: at an endpoint not known to be bad either the work is long, which a
        retry would not shorten, or all is slow, which a retry would make worse. A sidecar with little
        traffic finds nearly every endpoint silent, so silence alone is no reason to retry.
        """
        first, number = number < RECHECK_FLAG, number % RECHECK_FLAG
        attempt = request.attempts[number]
        if attempt.state is not IN_FLIGHT:
            return
        now, sent, endpoint = self.context.now_ns, attempt.sent_ns, attempt.endpoint
        silent = endpoint.last_alive_ns <= sent
        if first and silent:  # one long piece of work must not condemn an endpoint by itself
            self.outliers.record_failure(endpoint, OVERDUE_SCORE, MAX_EJECTED_ON_SILENCE_FRACTION)
        elif first:
            self._count_late(request, number)
        elif not silent:
            self.lost.write_off(endpoint, (request.id, number))
        if endpoint.ejected:
            self.retry_stuck(request, number)
        again = 2 * now - sent
        if again < request.deadline_ns:
            self.timers.add(again, OVERDUE, request.id, number + RECHECK_FLAG)

    def _count_late(self, request: PendingRequest, number: int) -> None:
        """Count an attempt at an endpoint that lives as congestion while it waits: late news is no use."""
        attempt = request.attempts[number]
        endpoint, key = attempt.endpoint, (request.id, number)
        if key not in endpoint.lost:
            waited = self.context.now_ns - attempt.sent_ns
            self.congestion.add_latency(
                endpoint, request.stats, attempt.sent_ns, waited, WANTED_WAIT_OBJECTIVES
            )
            endpoint.counted_late.add(key)

    def retry_stuck(self, request: PendingRequest, number: int) -> None:
        """Retry an attempt that its endpoint seems to have lost, where the class and the site allow it.

        With hedged requests allowed the attempt may still be answered; else it is cancelled first.
        """
        if request.retry_planned or request.streaming or request.spec.effect is Effect.UNSAFE:
            return
        if self.retries.budget < 1.0 or not self.rules.may_retry(request, self.context.now_ns):
            return
        settings = self.context.settings
        if settings.can_hedge:
            self.retries.plan(request)
        elif settings.can_cancel:
            self.context.actions.append(Cancel(request.id, number))  # its end plans the retry

    def retry_stuck_at(self, endpoint: EndpointState) -> None:
        """An endpoint has been ejected: what waits there is likely lost, so do not wait it out."""
        for ident, number in list(endpoint.in_flight):
            request = self.answers.pending.get(ident)
            if request is not None:
                self.retry_stuck(request, number)
