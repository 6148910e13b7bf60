"""The final answer of a request, and what follows from it for its attempts."""

from __future__ import annotations

from .actions import Cancel, Fail, Refuse
from .attempt_rules import AttemptRules
from .context import BalancerContext
from .requests import IN_FLIGHT, PendingRequest

# Fraction of the remaining time, until the objective or the deadline, that a rejected client should wait.
RETRY_AFTER_FRACTION = 0.5
# The advice is reduced at random down to this fraction, so that rejected clients do not return together.
MIN_RETRY_AFTER_JITTER_FRACTION = 0.5
NO_ATTEMPT = -1


class FinalAnswers:
    """Ends requests.

    Attributes:
        pending: requests without a final answer, by number.
    """

    def __init__(self, context: BalancerContext, rules: AttemptRules) -> None:
        self.context = context
        self.rules = rules
        self.pending: dict[int, PendingRequest] = {}

    def end(self, request: PendingRequest) -> None:
        """Give the final answer: a rejection if that does no harm, else a failure."""
        if self.rules.may_reject(request):
            self.context.actions.append(Refuse(request.id, self._retry_after(request)))
        else:
            self.context.actions.append(Fail(request.id))
        self.forget(request)

    def _retry_after(self, request: PendingRequest) -> int:
        """How long a rejected client should wait, nanoseconds; 0: no advice."""
        context = self.context
        if not context.settings.retry_after:
            return 0
        left = float(max(request.deadline_ns - context.now_ns, 0))
        spare = request.spec.objective_ns - request.age_ns - request.stats.typical_latency_ns
        if spare > 0.0:
            left = min(left, spare)  # a retry may still be in time; a later one hardly earns
        wait = min(context.settings.max_retry_after_ns, int(left * RETRY_AFTER_FRACTION))
        return int(wait * context.random.uniform(MIN_RETRY_AFTER_JITTER_FRACTION, 1.0))

    def forget(self, request: PendingRequest) -> None:
        """The request has ended: cancel what is in flight of it."""
        del self.pending[request.id]
        self.cancel_others(request, NO_ATTEMPT)

    def cancel_others(self, request: PendingRequest, keep: int) -> None:
        """Cancel the attempts in flight but for one, where the site allows it."""
        if not self.context.settings.can_cancel:
            return
        for number, attempt in enumerate(request.attempts):
            if attempt.state is IN_FLIGHT and number != keep:
                self.context.actions.append(Cancel(request.id, number))
