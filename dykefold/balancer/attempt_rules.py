"""The rules that no attempt and no rejection may break: no effect twice, nothing to a draining endpoint."""

from __future__ import annotations

from .context import BalancerContext
from .endpoints import EndpointState
from .requests import IN_FLIGHT, NEVER_RAN, PendingRequest
from .settings import Effect, Scope
from .slow_start import SlowStart


class AttemptRules:
    """Every attempt passes `may_send`, every rejection `may_reject`."""

    def __init__(self, context: BalancerContext, slow_start: SlowStart) -> None:
        """Go by the settings of the context, and by slow start."""
        self.context = context
        self.slow_start = slow_start

    def may_send(self, request: PendingRequest, endpoint: EndpointState) -> bool:
        """Tell whether this request may be sent to this endpoint now, by the rules and by slow start."""
        if not endpoint.ready or not endpoint.listed or request.streaming:
            return False
        if request.attempts and not self._may_repeat(request, endpoint):
            return False
        return not endpoint.started_ns or self.slow_start.allows(endpoint, request.stats)

    def _may_repeat(self, request: PendingRequest, endpoint: EndpointState) -> bool:
        """Tell whether a further attempt may go to this endpoint beside the earlier ones."""
        if not self.may_retry(request, self.context.now_ns):
            return False
        spec = request.spec
        for attempt in request.attempts:
            if attempt.state is NEVER_RAN:
                continue
            if attempt.state is IN_FLIGHT and not self.context.settings.can_hedge:
                return False
            if spec.effect is Effect.KEYED:
                if spec.scope is Scope.CELL and attempt.endpoint.cell != endpoint.cell:
                    return False
                if spec.scope is Scope.ZONE and attempt.endpoint.zone != endpoint.zone:
                    return False
        return True

    def may_retry(self, request: PendingRequest, at_ns: int) -> bool:
        """Tell whether the rules allow any further attempt at that time, wherever it went."""
        spec = request.spec
        if len(request.attempts) >= request.max_attempts:
            return False
        if spec.effect is Effect.SAFE:
            return True
        # For so long an effect's key is known; an effect without a key is never repeated.
        window = spec.window_ns - self.context.settings.tick_ns if spec.effect is Effect.KEYED else 0
        return all(
            attempt.state is NEVER_RAN or at_ns < attempt.sent_ns + window for attempt in request.attempts
        )

    def may_reject(self, request: PendingRequest) -> bool:
        """Tell whether a rejection, which invites the client to try again, does no harm."""
        spec = request.spec
        harmless = spec.effect is Effect.SAFE or (spec.effect is Effect.KEYED and spec.scope is Scope.ALL)
        return harmless or request.never_ran()
