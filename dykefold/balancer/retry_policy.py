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

# The delay before retry n is uniform(MIN_BACKOFF, min(MAX_BACKOFF, BACKOFF_BASE * 2^min(n, 6))), as a part of
# the time left.
MIN_BACKOFF = 0.004  # a few ticks of a usual deadline: enough to leave the tick of the failure
BACKOFF_BASE = 0.02  # the first retry costs little of the objective, which is a third of the deadline
MAX_BACKOFF = 0.25  # a quarter of what is left, so that later retries still have time to run
MAX_BACKOFF_EXPONENT = 6
MIN_USEFUL = 0.25  # class means that must be left after the delay: less is hardly ever enough
BUDGET_PER_REQUEST = 0.1  # retries per first attempt in the long run: bounds amplification when all fails
BUDGET_RESERVE_S = 10.0  # and saved up for this many seconds of traffic, for a sudden loss of endpoints


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

    def plan(self, req: PendingRequest, not_attempted: bool = False) -> None:
        """Wait a jittered part of the time left, then retry; or end the request.

        Args:
            req: the request, whose latest attempt has ended or which had none.
            not_attempted: this machine could not send that attempt. One more at the latest time for sending
                costs nobody.
        """
        now = self.context.now_ns
        left = req.deadline_ns - now - self.context.settings.tick_ns
        ceiling = min(MAX_BACKOFF, BACKOFF_BASE * 2 ** min(req.retries, MAX_BACKOFF_EXPONENT))
        delay = int(self.context.random.uniform(MIN_BACKOFF, ceiling) * left)
        if not_attempted and not req.written and now < req.send_by_ns:
            delay = min(delay, req.send_by_ns - now)
        req.retries += 1
        if not self._useful(req, left, delay):
            if not req.any_in_flight():  # one in flight may yet be answered
                self.answers.end(req)
            return
        if req.attempts and not req.retry_paid:
            # When planned, or a lost endpoint's attempts would all spend the last one.
            self.budget -= 1.0
            req.retry_paid = True
        req.retry_planned = True
        self.timers.add(now + max(delay, 1), RETRY, req.id)

    def _useful(self, req: PendingRequest, left: int, delay: int) -> bool:
        """Tell whether a retry after this delay is in time, paid for and allowed."""
        at = self.context.now_ns + delay
        if left <= 0 or (not req.written and at > req.send_by_ns):
            return False
        if delay + MIN_USEFUL * req.stats.mean_latency_ns > left:
            return False
        # Without an attempt yet it was held for want of any endpoint, which is no retry.
        if req.attempts and self.budget < 1.0 and not req.retry_paid:
            return False
        return self.rules.may_retry(req, at)

    def retry(self, req: PendingRequest) -> None:
        """Send the next attempt now, or plan again if there is no endpoint for it."""
        endpoint = self.picker.pick(req)
        if endpoint is not None:
            self.sender.send(req, endpoint)
        elif not req.any_in_flight():
            self.plan(req)
