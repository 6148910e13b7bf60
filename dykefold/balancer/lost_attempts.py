"""Lost attempts: whether or not the endpoint did the work, no response is expected."""

from __future__ import annotations

from .concurrency_limit import ConcurrencyLimit
from .context import BalancerContext
from .endpoints import EndpointState
from .in_flight import AttemptKey

# As three duplicate acknowledgements show TCP a lost segment (RFC 5681, 3.2).
MIN_OVERTAKING_ANSWERS = 3
# An endpoint with two cores answers short work before long work, although nothing is lost.
MIN_WAIT_CLASS_MEANS = 2.0


class LostAttempts:
    """Takes attempts whose response is most likely lost out of those in flight.

    Guards against a network that drops answers. Little's law holds for attempts that are answered; lost ones
    would fill a falling limit until their deadlines, and all requests would be rejected.

    Args:
        context: State that all parts share.
        limit: Concurrency limit, which counts the attempts in flight.
    """

    def __init__(self, context: BalancerContext, limit: ConcurrencyLimit) -> None:
        self.context = context
        self.limit = limit

    def on_answer(self, endpoint: EndpointState, sent_ns: int) -> None:
        """Count an answer against the attempts that were sent earlier; after a few answers they are lost.

        Guards against a network or endpoints that drop some answers and send the others in time. Lost answers
        must not count as late ones, which would cut the limit. The attempts are not retried for this reason.
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
            self.write_off(endpoint, key)

    def write_off(self, endpoint: EndpointState, attempt: AttemptKey) -> None:
        """Count an attempt as lost, so that no response is expected any more."""
        if attempt not in endpoint.lost:
            endpoint.lost.add(attempt)
            if not endpoint.ejected:
                self.limit.in_flight -= 1
