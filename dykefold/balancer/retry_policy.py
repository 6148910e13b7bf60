"""Planning of retries: full-jitter backoff in proportion to the remaining time, and a bounded budget."""

from __future__ import annotations

from .attempt_rules import AttemptRules
from .backoff import exponential
from .context import BalancerContext
from .final_answers import FinalAnswers
from .requests import PendingRequest
from .throughput import Throughput
from .timers import RETRY, TimerQueue

# The delay before retry n is uniform(MIN, min(MAX, BASE * 2^min(n, 6))), as a fraction of the remaining time.
# The minimum is a few ticks at a common deadline, so that a retry is not in the same tick as the failure.
MIN_BACKOFF_FRACTION = 0.004
# The first retry costs little of the objective, which is about a third of the deadline.
BACKOFF_BASE_FRACTION = 0.02
# Later retries still have time to run.
MAX_BACKOFF_FRACTION = 0.25
# With less time remaining after the delay, an answer in time is unlikely.
MIN_REMAINING_CLASS_MEANS = 0.25
# Limits the load amplification when all attempts fail.
BUDGET_PER_REQUEST = 0.1
# Maximum of the budget, in seconds of traffic; it is a reserve for a sudden loss of endpoints.
BUDGET_RESERVE_S = 10.0


class RetryPolicy:
    """Plans retries, within a budget.

    Args:
        context: State that all parts share.
        timers: Timers that trigger planned retries.
        throughput: Rate of answers, which limits the budget.
        rules: Rules that each attempt must satisfy.
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
        """Add the contribution of a new request to the budget."""
        reserve = BUDGET_PER_REQUEST * BUDGET_RESERVE_S * max(self.throughput.answers_per_s, 1.0)
        self.budget = min(self.budget + BUDGET_PER_REQUEST, reserve)

    def plan(self, request: PendingRequest, not_attempted: bool = False) -> None:
        """Plan a retry after a random fraction of the remaining time, or end the request.

        Args:
            request: Pending request whose latest attempt has ended, or that has had none.
            not_attempted: True if this host could not send that attempt. Another attempt at the latest
                time for sending then has no cost.
        """
        now = self.context.now_ns
        remaining_ns = request.deadline_ns - now - self.context.settings.tick_ns
        ceiling = exponential(BACKOFF_BASE_FRACTION, request.retries, MAX_BACKOFF_FRACTION)
        delay_ns = int(self.context.random.uniform(MIN_BACKOFF_FRACTION, ceiling) * remaining_ns)
        if not_attempted and not request.reached_endpoint and now < request.send_by_ns:
            delay_ns = min(delay_ns, request.send_by_ns - now)
        request.retries += 1
        if not self._is_useful(request, remaining_ns, delay_ns):
            if not request.any_in_flight():
                self.answers.finish(request)
            return
        if request.attempts and not request.retry_paid:
            # It is charged when planned; otherwise all attempts at a lost endpoint would use the same token.
            self.budget -= 1.0
            request.retry_paid = True
        request.retry_planned = True
        self.timers.add(now + max(delay_ns, 1), RETRY, request.id)

    def _is_useful(self, request: PendingRequest, remaining_ns: int, delay_ns: int) -> bool:
        """Return whether a retry after this delay is in time, within the budget and allowed."""
        retry_at_ns = self.context.now_ns + delay_ns
        if remaining_ns <= 0 or (not request.reached_endpoint and retry_at_ns > request.send_by_ns):
            return False
        if delay_ns + MIN_REMAINING_CLASS_MEANS * request.stats.mean_latency_ns > remaining_ns:
            return False
        # The first attempt of a request for which there was no endpoint is no retry.
        if request.attempts and self.budget < 1.0 and not request.retry_paid:
            return False
        return self.rules.may_retry(request, retry_at_ns)
