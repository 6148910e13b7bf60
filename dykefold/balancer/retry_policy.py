"""Retries: full-jitter backoff in proportion to the time left, and one bounded budget."""

from __future__ import annotations

from .attempt_rules import AttemptRules
from .attempts import AttemptSender
from .context import BalancerContext
from .final_answers import FinalAnswers
from .picker import Picker
from .requests import PendingRequest
from .throughput import Throughput
from .timers import RETRY, TimerQueue

# The delay before retry n is uniform(MIN, min(MAX, BASE * 2^min(n, 6))), as a fraction of the remaining time.
# The minimum is a few ticks of a common deadline, so that a retry leaves the tick of the failure.
MIN_BACKOFF_FRACTION = 0.004
# The first retry costs little of the objective, which is about a third of the deadline.
BACKOFF_BASE_FRACTION = 0.02
# Later retries still have time to run.
MAX_BACKOFF_FRACTION = 0.25
MAX_BACKOFF_EXPONENT = 6
# With less time left after the delay, an answer in time is unlikely.
MIN_REMAINING_CLASS_MEANS = 0.25
# Limits the amplification of load when all attempts fail.
BUDGET_PER_REQUEST = 0.1
# The budget holds at most the retries of this many seconds of traffic, for a sudden loss of endpoints.
BUDGET_RESERVE_S = 10.0


class RetryPolicy:
    """Plans retries and carries them out.

    Attributes:
        budget: retries that may be planned.
    """

    def __init__(
        self,
        context: BalancerContext,
        timers: TimerQueue,
        throughput: Throughput,
        rules: AttemptRules,
        picker: Picker,
        sender: AttemptSender,
        answers: FinalAnswers,
    ) -> None:
        """Begin with the reserve of one request a second."""
        self.context = context
        self.timers = timers
        self.throughput = throughput
        self.rules = rules
        self.picker = picker
        self.sender = sender
        self.answers = answers
        self.budget = BUDGET_PER_REQUEST * BUDGET_RESERVE_S

    def count_request(self) -> None:
        """Let the budget grow with a request."""
        reserve = BUDGET_PER_REQUEST * BUDGET_RESERVE_S * max(self.throughput.answers_per_s, 1.0)
        self.budget = min(self.budget + BUDGET_PER_REQUEST, reserve)

    def plan(self, request: PendingRequest, not_attempted: bool = False) -> None:
        """Wait a jittered part of the time left, then retry; or end the request.

        Args:
            request: the request, whose latest attempt has ended or which had none.
            not_attempted: this machine could not send that attempt. One more at the latest time for sending
                costs nobody.
        """
        now = self.context.now_ns
        left = request.deadline_ns - now - self.context.settings.tick_ns
        ceiling = min(
            MAX_BACKOFF_FRACTION, BACKOFF_BASE_FRACTION * 2 ** min(request.retries, MAX_BACKOFF_EXPONENT)
        )
        delay = int(self.context.random.uniform(MIN_BACKOFF_FRACTION, ceiling) * left)
        if not_attempted and not request.written and now < request.send_by_ns:
            delay = min(delay, request.send_by_ns - now)
        request.retries += 1
        if not self._useful(request, left, delay):
            if not request.any_in_flight():  # one in flight may yet be answered
                self.answers.end(request)
            return
        if request.attempts and not request.retry_paid:
            # When planned, or a lost endpoint's attempts would all spend the last one.
            self.budget -= 1.0
            request.retry_paid = True
        request.retry_planned = True
        self.timers.add(now + max(delay, 1), RETRY, request.id)

    def _useful(self, request: PendingRequest, left: int, delay: int) -> bool:
        """Tell whether a retry after this delay is in time, paid for and allowed."""
        at = self.context.now_ns + delay
        if left <= 0 or (not request.written and at > request.send_by_ns):
            return False
        if delay + MIN_REMAINING_CLASS_MEANS * request.stats.mean_latency_ns > left:
            return False
        # Without an attempt yet it was held for want of any endpoint, which is no retry.
        if request.attempts and self.budget < 1.0 and not request.retry_paid:
            return False
        return self.rules.may_retry(request, at)

    def retry(self, request: PendingRequest) -> None:
        """Send the next attempt now, or plan again if there is no endpoint for it."""
        endpoint = self.picker.pick(request)
        if endpoint is not None:
            self.sender.send(request, endpoint)
        elif not request.any_in_flight():
            self.plan(request)
