"""Lost attempts: the endpoint did the work, or not, but no response will come."""

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
    """Takes attempts whose response is most likely lost out of what is in flight.

    Guards against a network that drops answers: Little's law holds for what comes back. Attempts that never
    do filled a shrinking limit until their deadlines, and all requests were rejected.
    """

    def __init__(self, context: BalancerContext, limit: ConcurrencyLimit) -> None:
        """Take lost attempts out of what this limit counts."""
        self.context = context
        self.limit = limit

    def on_answer(self, endpoint: EndpointState, sent_ns: int) -> None:
        """An answer has overtaken the attempts sent before its own; after a few, theirs count as lost.

        Guards against a network or endpoints that drop some answers and give the others in time: taken for
        late ones, a tenth of lost answers halved the limit. It is no reason to cancel one and retry it.
        """
        now = self.context.now_ns
        gone: list[AttemptKey] = []
        for key, attempt in endpoint.in_flight.items():
            if attempt.sent_ns >= sent_ns:
                break
            attempt.overtaken += 1
            expected = attempt.stats.mean_latency_ns * max(endpoint.relative_latency, 1.0)
            late = now - attempt.sent_ns >= MIN_WAIT_CLASS_MEANS * expected
            if late and attempt.overtaken >= MIN_OVERTAKING_ANSWERS and key not in endpoint.lost:
                gone.append(key)
        for key in gone:
            self.write_off(endpoint, key)

    def write_off(self, endpoint: EndpointState, attempt: AttemptKey) -> None:
        """Expect no response to an attempt any more."""
        if attempt not in endpoint.lost:
            endpoint.lost.add(attempt)
            if not endpoint.ejected:
                self.limit.in_flight -= 1
