"""Lost attempts: no response is expected, whether or not the endpoint executed them."""

from __future__ import annotations

from .concurrency_limit import ConcurrencyLimit
from .context import BalancerContext
from .endpoints import EndpointState
from .in_flight import AttemptKey

# As in TCP, where three duplicate acknowledgements indicate a lost segment (RFC 5681, 3.2).
MIN_OVERTAKING_ANSWERS = 3
# An endpoint with two cores answers short requests before longer earlier ones, although nothing is lost.
MIN_WAIT_CLASS_MEANS = 2.0


class LostAttempts:
    """Removes attempts whose response is most likely lost from those in flight.

    Guards against a network that drops answers. Little's law applies to attempts that are answered; lost ones
    would use up a falling limit until their deadlines, and all requests would be rejected.

    Args:
        context: State that all parts share.
        limit: Concurrency limit, which counts the attempts in flight.
    """

    def __init__(self, context: BalancerContext, limit: ConcurrencyLimit) -> None:
        self.context = context
        self.limit = limit

    def on_answer(self, endpoint: EndpointState, sent_ns: int) -> None:
        """Count an answer as overtaking the attempts sent earlier; after a few of them, an attempt is lost.

        Guards against a network or endpoints that drop some answers and send the others in time. Lost answers
        must not count as late answers, which would cut the limit. Being lost is no reason for a retry.
        """
        now = self.context.now_ns
        overtaken: list[AttemptKey] = []
        for key, attempt in endpoint.in_flight.items():
            if attempt.sent_ns >= sent_ns:
                break
            attempt.overtaken += 1
            expected = attempt.stats.mean_latency_ns * max(endpoint.relative_latency, 1.0)
            late = now - attempt.sent_ns >= MIN_WAIT_CLASS_MEANS * expected
            if late and attempt.overtaken >= MIN_OVERTAKING_ANSWERS and key not in endpoint.lost:
                overtaken.append(key)
        for key in overtaken:
            self.mark_lost(endpoint, key)

    def mark_lost(self, endpoint: EndpointState, attempt: AttemptKey) -> None:
        """Mark an attempt as lost, so that its response is no longer expected."""
        if attempt not in endpoint.lost:
            endpoint.lost.add(attempt)
            if not endpoint.ejected:
                self.limit.in_flight -= 1
