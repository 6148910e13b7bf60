"""Rules for every attempt and rejection: no duplicate effects, no requests to draining endpoints."""

from __future__ import annotations

from .context import BalancerContext
from .endpoints import EndpointState
from .requests import IN_FLIGHT, NEVER_RAN, PendingRequest
from .settings import Effect, Scope
from .slow_start import SlowStart


class AttemptRules:
    """Checks each attempt with `may_send` and each rejection with `may_reject`.

    Args:
        context: State that all parts share.
        slow_start: Token buckets of endpoints that are warming up.
    """

    def __init__(self, context: BalancerContext, slow_start: SlowStart) -> None:
        self.context = context
        self.slow_start = slow_start

    def may_send(self, request: PendingRequest, endpoint: EndpointState) -> bool:
        """Return whether the rules and slow start allow this request to be sent to this endpoint now."""
        if not endpoint.ready or not endpoint.listed or request.streaming:
            return False
        if request.attempts and not self._may_retry_at(request, endpoint):
            return False
        return not endpoint.started_ns or self.slow_start.allows(endpoint, request.stats)

    def _may_retry_at(self, request: PendingRequest, endpoint: EndpointState) -> bool:
        """Return whether another attempt may be sent to this endpoint, given the earlier attempts."""
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
        """Return whether the rules allow another attempt at that time, to any endpoint."""
        spec = request.spec
        if len(request.attempts) >= request.max_attempts:
            return False
        if spec.effect is Effect.SAFE:
            return True
        # Endpoints remember an idempotency key for this time; a request without a key is never retried.
        window_ns = spec.window_ns - self.context.settings.tick_ns if spec.effect is Effect.KEYED else 0
        return all(
            attempt.state is NEVER_RAN or at_ns < attempt.sent_ns + window_ns for attempt in request.attempts
        )

    def may_reject(self, request: PendingRequest) -> bool:
        """Return whether a rejection is safe, given that the client may then retry the request."""
        spec = request.spec
        harmless = spec.effect is Effect.SAFE or (spec.effect is Effect.KEYED and spec.scope is Scope.ALL)
        return harmless or request.never_ran()
