"""Attempts that are probably stuck at their endpoint: they are retried or cancelled."""

from __future__ import annotations

from .actions import Cancel
from .attempt_rules import AttemptRules
from .context import BalancerContext
from .endpoints import EndpointState
from .final_answers import FinalAnswers
from .requests import PendingRequest
from .retry_policy import RetryPolicy
from .settings import Effect


class StuckAttempts:
    """Retries stuck attempts where the request class and the settings allow it.

    Args:
        context: State that all parts share.
        rules: Rules that each attempt must satisfy.
        answers: Final answers, with the pending requests.
        retries: Policy that plans retries, with their budget.
    """

    def __init__(
        self, context: BalancerContext, rules: AttemptRules, answers: FinalAnswers, retries: RetryPolicy
    ) -> None:
        self.context = context
        self.rules = rules
        self.answers = answers
        self.retries = retries

    def retry(self, request: PendingRequest, attempt_number: int) -> None:
        """Plan a hedged request if the settings allow it, else cancel the stuck attempt."""
        if request.retry_planned or request.streaming or request.spec.effect is Effect.UNSAFE:
            return
        if self.retries.budget < 1.0 or not self.rules.may_retry(request, self.context.now_ns):
            return
        settings = self.context.settings
        if settings.can_hedge:
            self.retries.plan(request)
        elif settings.can_cancel:
            # The retry is planned when the cancelled attempt ends.
            self.context.actions.append(Cancel(request.id, attempt_number))

    def retry_all_at(self, endpoint: EndpointState) -> None:
        """Retry all attempts in flight at an ejected endpoint, since their responses are probably lost."""
        for request_id, attempt_number in list(endpoint.in_flight):
            request = self.answers.pending.get(request_id)
            if request is not None:
                self.retry(request, attempt_number)
