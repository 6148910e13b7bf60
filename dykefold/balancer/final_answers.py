"""The final answer of a request, and what follows from it for its attempts."""

from __future__ import annotations

from .actions import Cancel, Fail, Refuse
from .attempt_rules import AttemptRules
from .context import BalancerContext
from .requests import IN_FLIGHT, PendingRequest

RETRY_AFTER = 0.5  # of the time left or to the objective, as advice with a rejection: a retry has the rest
MIN_RETRY_AFTER = 0.5  # of it after jitter, lest rejected clients come back together
NONE = -1  # no attempt


class FinalAnswers:
    """Ends requests.

    Attributes:
        pending: requests without a final answer, by number.
    """

    def __init__(self, context: BalancerContext, rules: AttemptRules) -> None:
        self.context = context
        self.rules = rules
        self.pending: dict[int, PendingRequest] = {}

    def end(self, req: PendingRequest) -> None:
        """Give the final answer: a rejection if that does no harm, else a failure."""
        if self.rules.may_reject(req):
            self.context.actions.append(Refuse(req.id, self._retry_after(req)))
        else:
            self.context.actions.append(Fail(req.id))
        self.forget(req)

    def _retry_after(self, req: PendingRequest) -> int:
        """How long a rejected client should wait, nanoseconds; 0: no advice."""
        context = self.context
        if not context.settings.retry_after:
            return 0
        left = float(max(req.deadline_ns - context.now_ns, 0))
        spare = req.spec.objective_ns - req.age_ns - req.stats.typical_latency_ns
        if spare > 0.0:
            left = min(left, spare)  # a retry may still be in time; a later one hardly earns
        wait = min(context.settings.max_retry_after_ns, int(left * RETRY_AFTER))
        return int(wait * context.random.uniform(MIN_RETRY_AFTER, 1.0))

    def forget(self, req: PendingRequest) -> None:
        """The request has ended: cancel what is in flight of it."""
        del self.pending[req.id]
        self.cancel_others(req, NONE)

    def cancel_others(self, req: PendingRequest, keep: int) -> None:
        """Cancel the attempts in flight but for one, where the site allows it."""
        if not self.context.settings.can_cancel:
            return
        for number, attempt in enumerate(req.attempts):
            if attempt.state is IN_FLIGHT and number != keep:
                self.context.actions.append(Cancel(req.id, number))
