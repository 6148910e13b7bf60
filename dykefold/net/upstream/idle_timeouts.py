"""Limits on how long a connection to an endpoint may be idle before reuse. No I/O: times are arguments.

An endpoint may close idle connections sooner than it announces, and the close may arrive after the next
request was written. That request ends as a reset, which is a failure if it must not be retried. Therefore
dead connections are counted by idle time (their age), per endpoint, per kind of endpoint and in total. No
connection is reused from the first age on at which clearly more are dead than of the youngest ones.
"""

from __future__ import annotations

import math
from bisect import bisect_right

AGE_BUCKET_EDGES_S = (0.0, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 25.6)
# Number of buckets taken as the baseline. If endpoints reset connections at random, the fraction of dead
# ones is the same in all buckets.
YOUNG_BUCKETS = 2
# A dead connection fails a request that must not be retried, which costs far more than a new connection.
MIN_EXCESS_DEAD_FRACTION = 0.04
# A single dead connection, counted over all endpoints of the parent, may be chance.
MIN_DEAD_COUNT = 1.5
# Weight of the parent's statistics, in uses, for an endpoint that has few uses of its own.
PRIOR_USES = 4.0
# Counts decay because an endpoint may change its idle timeout, which nothing else would reveal.
HALF_LIFE_S = 20.0
DECAY_INTERVAL_S = 1.0

# Three rejections reduce a limit of one minute to the minimum.
SCARCITY_CUT_FACTOR = 0.25
# With a lower limit, nearly every request of a typical sidecar would need a new connection.
SCARCITY_MIN_S = 1.0
# The effect of a cut must be visible before the next one.
SCARCITY_CUT_INTERVAL_S = 1.0
# Time in which the limit doubles; recovery is far slower than a cut.
SCARCITY_DOUBLING_S = 10.0


class ScarcityLimit:
    """Idle timeout that is reduced while endpoints reject new connections.

    All sidecars share the connections that an endpoint accepts. A connection that one sidecar keeps idle
    can't be opened by another one that has a pending request. A new connection that is rejected with its
    first request shows that connections are scarce. All sidecars notice that, and each closes its least
    recently used connections: each such rejection cuts the limit, which recovers far more slowly.

    Args:
        max_s: Maximum and initial value of the limit, in seconds.

    Attributes:
        limit_s: Idle timeout as of `updated_at_s`, in seconds.
        updated_at_s: Time at which the limit was last computed, in seconds.
        cut_at_s: Time at which the limit was last cut, in seconds; minus infinity before.
    """

    def __init__(self, max_s: float) -> None:
        self.max_s = max_s
        self.limit_s = max_s
        self.updated_at_s = 0.0
        self.cut_at_s = -math.inf

    def record_rejection(self, now_s: float) -> None:
        """Record that an endpoint rejected a new connection with its first request."""
        if now_s - self.cut_at_s >= SCARCITY_CUT_INTERVAL_S:
            self.limit_s = max(self.limit(now_s) * SCARCITY_CUT_FACTOR, min(SCARCITY_MIN_S, self.max_s))
            self.cut_at_s = now_s

    def limit(self, now_s: float) -> float:
        """Return the current idle timeout, in seconds."""
        doublings = max(now_s - self.updated_at_s, 0.0) / SCARCITY_DOUBLING_S
        # The exponent is bounded: after a jump of the clock it could reach 1024, and the power would raise
        # OverflowError.
        grown_limit_s = self.limit_s * 2.0 ** min(doublings, 60.0)
        self.limit_s = min(grown_limit_s, self.max_s)
        self.updated_at_s = now_s
        return self.limit_s


class IdleAgeStats:
    """Counts of reused connections, and of dead ones among them, by age (the idle time before reuse).

    Args:
        max_s: Maximum of the idle timeout, in seconds, which applies unless the counts call for a lower one.
        parent: Statistics of all endpoints of the kind, or of all kinds; None for the topmost.

    Attributes:
        uses: Decayed number of uses, by age bucket.
        dead: Decayed number of uses that found the connection dead, by age bucket.
        decayed_at_s: Time at which the counts last decayed, in seconds; minus infinity before.
        limit_s: Idle timeout as of `decayed_at_s`, in seconds.
    """

    def __init__(self, max_s: float, parent: IdleAgeStats | None = None) -> None:
        self.max_s = max_s
        self.parent = parent
        self.uses = [0.0] * len(AGE_BUCKET_EDGES_S)
        self.dead = [0.0] * len(AGE_BUCKET_EDGES_S)
        self.decayed_at_s = -math.inf
        self.limit_s = max_s

    def record_use(self, age_s: float, dead: bool, now_s: float) -> None:
        """Count a reuse of a connection.

        Args:
            age_s: Idle time of the connection before the reuse, in seconds.
            dead: Whether the connection was found dead.
            now_s: Current time, in seconds.
        """
        self._count(
            bisect_right(AGE_BUCKET_EDGES_S, age_s) - 1 if age_s >= AGE_BUCKET_EDGES_S[1] else 0, dead, now_s
        )

    def record_close(self, age_s: float, now_s: float) -> None:
        """Count that an endpoint closed an idle connection.

        The close shows, before a request fails, that a reuse at that age would have failed. The close of a
        connection that has hardly been idle is not due to an idle timeout: its endpoint is shutting down.

        Args:
            age_s: Idle time of the connection, in seconds.
            now_s: Current time, in seconds.
        """
        if age_s >= AGE_BUCKET_EDGES_S[YOUNG_BUCKETS]:
            self.record_use(age_s, True, now_s)

    def _count(self, age_bucket: int, dead: bool, now_s: float) -> None:
        if self.parent is not None:
            self.parent._count(age_bucket, dead, now_s)
        self.uses[age_bucket] += 1.0
        if dead:
            self.dead[age_bucket] += 1.0
        if dead or now_s - self.decayed_at_s >= DECAY_INTERVAL_S:
            self.limit(now_s)

    def limit(self, now_s: float) -> float:
        """Compute the idle timeout, in seconds, and store it in `limit_s`."""
        # The first call does not decay the counts: the first count would be lost.
        elapsed_s = now_s - self.decayed_at_s if self.decayed_at_s > -math.inf else 0.0
        decay = 0.5 ** (max(elapsed_s, 0.0) / HALF_LIFE_S)
        self.decayed_at_s = now_s
        self.uses = [count * decay for count in self.uses]
        self.dead = [count * decay for count in self.dead]
        young_dead_fraction = self._dead_fraction(range(YOUNG_BUCKETS))
        self.limit_s = self.max_s
        for age_bucket in range(YOUNG_BUCKETS, len(AGE_BUCKET_EDGES_S)):
            if (
                self._has_enough_dead(age_bucket)
                and self._dead_fraction((age_bucket,)) - young_dead_fraction > MIN_EXCESS_DEAD_FRACTION
            ):
                self.limit_s = min(AGE_BUCKET_EDGES_S[age_bucket], self.max_s)
                break
        return self.limit_s

    def _has_enough_dead(self, age_bucket: int) -> bool:
        return (self.parent or self).dead[age_bucket] >= MIN_DEAD_COUNT

    def _dead_fraction(self, age_buckets: range | tuple[int, ...]) -> float:
        """Return the fraction of dead connections in some age buckets."""
        uses = sum(self.uses[age_bucket] for age_bucket in age_buckets)
        dead = sum(self.dead[age_bucket] for age_bucket in age_buckets)
        if self.parent is None:
            return dead / uses if uses else 0.0
        return (dead + PRIOR_USES * self.parent._dead_fraction(age_buckets)) / (uses + PRIOR_USES)
