"""The fraction of its priority weight that the answer to a request is still expected to have."""

from __future__ import annotations

from .class_stats import ClassStats
from .context import BalancerContext
from .events import Request
from .requests import PendingRequest

# Minimum lead in votes of the timeout of first attempts before ages are derived from it.
MIN_DECIDING_VOTES = 5
# Maximum lead, so that a changed timeout is learned after this many requests.
MAX_VOTES = 20
# With this many typical latencies left, an answer in time is certain.
CERTAIN_TYPICAL_LATENCIES = 1.5
# With this many typical latencies left or fewer, no answer in time is expected.
HOPELESS_TYPICAL_LATENCIES = 0.5
# Fraction of the limit that requests may use that are expected to be late; spare capacity serves them.
MIN_VALUE_FRACTION = 0.2


def _success_probability(remaining_ns: float, typical_ns: float) -> float:
    """Return the probability that the remaining time is enough, from 0 to 1."""
    above_hopeless = remaining_ns / typical_ns - HOPELESS_TYPICAL_LATENCIES
    probability = above_hopeless / (CERTAIN_TYPICAL_LATENCIES - HOPELESS_TYPICAL_LATENCIES)
    return min(max(probability, 0.0), 1.0)


class RequestValue:
    """Estimates the value of requests by their age, which is derived from the timeouts of clients.

    Args:
        context: State that all parts share.
    """

    def __init__(self, context: BalancerContext) -> None:
        self.context = context

    def estimate(self, event: Request, request: PendingRequest) -> float:
        """Return the fraction of its priority weight that a request is expected to yield, and set its age.

        Objective and deadline of a class are counted from the client's first attempt, and the timeout of a
        client's retry ends at that deadline, so a short timeout reveals the age. Guards against overload in
        which most of the admitted requests are answered too late.
        """
        spec, stats = request.spec, request.stats
        remaining_ns = event.deadline_ns - self.context.now_ns
        typical = stats.typical_latency_ns
        if not event.is_retry:
            self._vote(stats, remaining_ns)
        first = stats.first_timeout_ns
        tolerance = 2 * self.context.settings.tick_ns
        if remaining_ns < first - tolerance and stats.first_timeout_votes >= MIN_DECIDING_VOTES:
            request.age_ns = spec.deadline_ns - remaining_ns
            in_time = _success_probability(spec.objective_ns - request.age_ns, typical)
        elif event.is_retry and spec.deadline_ns > first:
            # Its timeout is not shorter, so its age is unknown, up to the difference.
            in_time = min(max(spec.objective_ns - typical, 0.0) / (spec.deadline_ns - first), 1.0)
        else:
            in_time = 1.0
        weight_fraction = in_time + (1.0 - in_time) * spec.late_weight_fraction
        return max(weight_fraction * _success_probability(remaining_ns, typical), MIN_VALUE_FRACTION)

    def _vote(self, stats: ClassStats, remaining_ns: int) -> None:
        """Learn the timeout of first attempts by majority vote (Boyer and Moore, 1981).

        Guards against clients that do not mark their retries and give them longer timeouts. If the longest
        timeout were learned, all first attempts would seem old and would be rejected.
        """
        if abs(remaining_ns - stats.first_timeout_ns) <= 2 * self.context.settings.tick_ns:
            stats.first_timeout_votes = min(stats.first_timeout_votes + 1, MAX_VOTES)
        elif stats.first_timeout_votes:
            stats.first_timeout_votes -= 1
        else:
            stats.first_timeout_ns = remaining_ns
