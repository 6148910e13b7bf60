"""Planning retries: full-jitter backoff in proportion to the remaining time, and one bounded budget."""

from __future__ import annotations

from .attempt_rules import AttemptRules
from .context import BalancerContext
from .final_answers import FinalAnswers
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
    """Plans retries, within a budget.

    Args:
        context: State that all parts share.
        timers: Timers, by which planned retries are sent.
        throughput: Rate of the own answers, which limits the budget.
        rules: Rules that each attempt follows.
        answers: Final answers of requests that are not retried.

    Attributes:
        budget: Number of retries that may be planned.
    """

    def __init__(
        self,
        context: BalancerContext,
        timers: TimerQueue,
        throughput: Throughput,
        rules: AttemptRules,
        answers: FinalAnswers,
    ) -> None:
        self.context = context
        self.timers = timers
        self.throughput = throughput
        self.rules = rules
        self.answers = answers
        self.budget = BUDGET_PER_REQUEST * BUDGET_RESERVE_S  # The maximum at one request per second.

    def count_request(self) -> None:
        """Add the part of a new request to the budget."""
        reserve = BUDGET_PER_REQUEST * BUDGET_RESERVE_S * max(self.throughput.answers_per_s, 1.0)
        self.budget = min(self.budget + BUDGET_PER_REQUEST, reserve)

    def plan(self, request: PendingRequest, not_attempted: bool = False) -> None:
        """Plan a retry after a random part of the remaining time, or end the request.

        Args:
            request: Pending request whose latest attempt has ended, or that has had none.
            not_attempted: True if this machine could not send that attempt. One more attempt at the latest
                time for sending then costs nobody anything.
        """
        now = self.context.now_ns
        remaining_ns = request.deadline_ns - now - self.context.settings.tick_ns
        exponent = min(request.retries, MAX_BACKOFF_EXPONENT)
        ceiling = min(MAX_BACKOFF_FRACTION, BACKOFF_BASE_FRACTION * 2**exponent)
        delay_ns = int(self.context.random.uniform(MIN_BACKOFF_FRACTION, ceiling) * remaining_ns)
        if not_attempted and not request.written and now < request.send_by_ns:
            delay_ns = min(delay_ns, request.send_by_ns - now)
        request.retries += 1
        if not self._is_useful(request, remaining_ns, delay_ns):
            if not request.any_in_flight():
                self.answers.end(request)
            return
        if request.attempts and not request.retry_paid:
            # It is paid when planned; otherwise the attempts of a lost endpoint would all use the same token.
            self.budget -= 1.0
            request.retry_paid = True
        request.retry_planned = True
        self.timers.add(now + max(delay_ns, 1), RETRY, request.id)

    def _is_useful(self, request: PendingRequest, remaining_ns: int, delay_ns: int) -> bool:
        """Return whether a retry after this delay is in time, within the budget and allowed."""
        retry_at_ns = self.context.now_ns + delay_ns
        if remaining_ns <= 0 or (not request.written and retry_at_ns > request.send_by_ns):
            return False
        if delay_ns + MIN_REMAINING_CLASS_MEANS * request.stats.mean_latency_ns > remaining_ns:
            return False
        # The first attempt of a request for which there was no endpoint is no retry.
        if request.attempts and self.budget < 1.0 and not request.retry_paid:
            return False
        return self.rules.may_retry(request, retry_at_ns)
