"""The final answer of a request, and the cancellation of its attempts."""

from __future__ import annotations

from .actions import Cancel, Fail, Reject
from .attempt_rules import AttemptRules
from .context import BalancerContext
from .requests import IN_FLIGHT, PendingRequest

# Fraction of the time to the objective or the deadline that a rejected client should wait.
RETRY_AFTER_FRACTION = 0.5
# Jitter reduces the advised time down to this fraction, so that rejected clients do not retry together.
MIN_RETRY_AFTER_JITTER_FRACTION = 0.5
NO_ATTEMPT = -1


class FinalAnswers:
    """Gives the final answers of requests.

    Args:
        context: State that all parts share.
        rules: Rules that each rejection must satisfy.

    Attributes:
        pending: Requests without a final answer, by number.
    """

    def __init__(self, context: BalancerContext, rules: AttemptRules) -> None:
        self.context = context
        self.rules = rules
        self.pending: dict[int, PendingRequest] = {}

    def finish(self, request: PendingRequest) -> None:
        """Give the final answer: a rejection if that is safe, else a failure."""
        if self.rules.may_reject(request):
            self.context.actions.append(Reject(request.id, self._retry_after(request)))
        else:
            self.context.actions.append(Fail(request.id))
        self.forget(request)

    def _retry_after(self, request: PendingRequest) -> int:
        """Return the time in nanoseconds that a rejected client should wait; 0 for no advice."""
        context = self.context
        if not context.settings.retry_after:
            return 0
        remaining_ns = float(max(request.deadline_ns - context.now_ns, 0))
        until_objective_ns = request.spec.objective_ns - request.age_ns - request.stats.typical_latency_ns
        if until_objective_ns > 0.0:
            remaining_ns = min(remaining_ns, until_objective_ns)  # A retry can still meet the objective.
        wait_ns = min(context.settings.max_retry_after_ns, int(remaining_ns * RETRY_AFTER_FRACTION))
        return int(wait_ns * context.random.uniform(MIN_RETRY_AFTER_JITTER_FRACTION, 1.0))

    def forget(self, request: PendingRequest) -> None:
        """Remove a request that has ended, and cancel its attempts in flight."""
        del self.pending[request.id]
        self.cancel_others(request, NO_ATTEMPT)

    def cancel_others(self, request: PendingRequest, attempt_number: int) -> None:
        """Cancel the attempts in flight except one, if the settings allow cancellation."""
        if not self.context.settings.can_cancel:
            return
        for number, attempt in enumerate(request.attempts):
            if attempt.state is IN_FLIGHT and number != attempt_number:
                self.context.actions.append(Cancel(request.id, number))
