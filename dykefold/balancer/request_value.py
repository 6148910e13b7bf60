"""What part of its worth a request can still be expected to earn."""

from __future__ import annotations

from .class_stats import ClassStats
from .context import BalancerContext
from .events import Request
from .requests import PendingRequest

# Votes by which the timeout of first attempts must lead before ages are derived from it.
MIN_DECIDING_VOTES = 5
# Limits the votes, so that a changed timeout is learnt after as many requests.
MAX_VOTES = 20
# With this many typical latencies left, an answer in time is certain.
CERTAIN_TYPICAL_LATENCIES = 1.5
# With this many typical latencies left or fewer, no answer in time is expected.
HOPELESS_TYPICAL_LATENCIES = 0.5
# Fraction of the limit that stays open to work that comes too late; it is done where there is capacity.
MIN_VALUE_FRACTION = 0.2


def _chance(time_ns: float, typical_ns: float) -> float:
    """How likely so much time is enough, from 0 to 1."""
    return min(
        max(
            (time_ns / typical_ns - HOPELESS_TYPICAL_LATENCIES)
            / (CERTAIN_TYPICAL_LATENCIES - HOPELESS_TYPICAL_LATENCIES),
            0.0,
        ),
        1.0,
    )


class RequestValue:
    """Judges requests by their age, which a client does not state but its timeout tells."""

    def __init__(self, context: BalancerContext) -> None:
        """Go by the settings of the context."""
        self.context = context

    def of(self, event: Request, request: PendingRequest) -> float:
        """The part of its worth that a request can still be expected to earn; sets its age.

        Objective and deadline of a class run from the client's first attempt, and a retry of the client's is
        cut short at that deadline: so a short timeout tells its age. Guards against overload in which the
        work that is admitted is mostly such that it comes too late anyway.
        """
        spec, stats = request.spec, request.stats
        left = event.deadline_ns - self.context.now_ns
        typical = stats.typical_latency_ns
        if not event.is_retry:
            self._vote(stats, left)
        first = stats.first_timeout_ns
        tolerance = 2 * self.context.settings.tick_ns
        if left < first - tolerance and stats.first_timeout_votes >= MIN_DECIDING_VOTES:
            request.age_ns = spec.deadline_ns - left
            in_time = _chance(spec.objective_ns - request.age_ns, typical)
        elif event.is_retry and spec.deadline_ns > first:
            # Not cut short: it may be of any age up to this.
            in_time = min(max(spec.objective_ns - typical, 0.0) / (spec.deadline_ns - first), 1.0)
        else:
            in_time = 1.0
        return max(
            (in_time + (1.0 - in_time) * spec.late_weight_fraction) * _chance(left, typical),
            MIN_VALUE_FRACTION,
        )

    def _vote(self, stats: ClassStats, left_ns: int) -> None:
        """Learn the timeout that first attempts state as the one of a majority (Boyer and Moore, 1981).

        Guards against clients that don't mark retries and may wait longer for these: by the longest
        timeout all their first attempts looked old, were rejected, and came again with that longest one.
        """
        if abs(left_ns - stats.first_timeout_ns) <= 2 * self.context.settings.tick_ns:
            stats.first_timeout_votes = min(stats.first_timeout_votes + 1, MAX_VOTES)
        elif stats.first_timeout_votes:
            stats.first_timeout_votes -= 1
        else:
            stats.first_timeout_ns = left_ns
