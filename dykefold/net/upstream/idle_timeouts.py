"""How long a connection to an endpoint may be idle and still be used. No I/O: ages and times are arguments.

An endpoint may close idle connections sooner than it announces, and the close may arrive after the next
request was written. That request ends as a reset, which is a failure if it may not be retried. Therefore the
ages at which reused connections turned out dead are counted, by endpoint, by kind and for all together. No
connection is used beyond the first age at which clearly more of them are dead than of the youngest.
"""

from __future__ import annotations

import math
from bisect import bisect_right

AGE_CLASS_EDGES_S = (0.0, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 25.6)
# Where endpoints reset at random, each class has the fraction of dead connections that the youngest have.
YOUNG_CLASSES = 2
# A dead connection costs an unsafe request, which is far more than a new connection.
MIN_EXCESS_DEAD_FRACTION = 0.04
# A single dead connection, of those to all endpoints, is chance.
MIN_DEAD_COUNT = 1.5
# Weight of the statistics of all endpoints for one that has few uses of its own.
PRIOR_USES = 4.0
# Counts fade, since an endpoint may change its limit, and nothing else would show that.
HALF_LIFE_S = 20.0
FADE_INTERVAL_S = 1.0

# Three rejections reduce a limit of a minute to the minimum.
SCARCITY_CUT_FACTOR = 0.25
# With a lower limit nearly every request of a typical sidecar would need a new connection.
SCARCITY_MIN_S = 1.0
# The effect of one cut must show before the next one.
SCARCITY_CUT_INTERVAL_S = 1.0
# The limit doubles in this time, far more slowly than it is cut.
SCARCITY_DOUBLING_S = 10.0

QUARANTINE_MIN_S = 0.005
# Factor on the latest surplus that was seen after a response.
QUARANTINE_FACTOR = 2.0
# Bytes that come later are no second response: they announce that the connection closes.
QUARANTINE_MAX_S = 0.05
# Time after the latest surplus until connections may be reused at once.
QUARANTINE_LIFETIME_S = 60.0


class Quarantine:
    """How long a connection rests after a response before it carries the next request.

    An endpoint that answers twice, the second time some milliseconds late, answers the next request on that
    connection with the response to the one before, and nothing in HTTP/1.1 shows that. Where endpoints were
    seen to do so, a connection rests until surplus bytes of its last response would have come.

    Attributes:
        limit_s: Seconds for which a connection rests; with 0 it may be used at once.
        seen_at_s: Time in seconds at which surplus bytes were seen most recently.
    """

    def __init__(self) -> None:
        self.limit_s = 0.0
        self.seen_at_s = -math.inf

    def record_surplus(self, after_s: float, now_s: float) -> None:
        """Record that bytes came beyond a response.

        Args:
            after_s: Seconds between the end of the response and these bytes.
            now_s: Time, in seconds.
        """
        if after_s <= QUARANTINE_MAX_S:
            self.limit_s = max(self.limit(now_s), QUARANTINE_MIN_S, QUARANTINE_FACTOR * after_s)
            self.seen_at_s = now_s

    def limit(self, now_s: float) -> float:
        """Return for how many seconds a connection rests."""
        if self.limit_s and now_s - self.seen_at_s > QUARANTINE_LIFETIME_S:
            self.limit_s = 0.0
        return self.limit_s


class ScarcityLimit:
    """How long a connection may be idle while other sidecars may lack one.

    All sidecars share the connections that an endpoint accepts. A connection that one sidecar keeps for a
    later request can't be opened by another one for a request that has come. A new connection that is
    rejected at once shows that connections are scarce. All sidecars see that, and each closes the
    connections that it used least recently: the limit is cut with each such rejection, and doubles in a
    time far longer than a cut takes.

    Args:
        max_s: Maximum of the limit, in seconds, with which it begins.

    Attributes:
        limit_s: Seconds for which a connection may be idle, as computed most recently.
        grown_at_s: Time in seconds at which the limit was computed most recently.
        cut_at_s: Time in seconds at which the limit was cut most recently.
    """

    def __init__(self, max_s: float) -> None:
        self.max_s = max_s
        self.limit_s = max_s
        self.grown_at_s = 0.0
        self.cut_at_s = -math.inf

    def record_rejection(self, now_s: float) -> None:
        """Record that an endpoint rejected a new connection with its first request."""
        if now_s - self.cut_at_s >= SCARCITY_CUT_INTERVAL_S:
            self.limit_s = max(self.limit(now_s) * SCARCITY_CUT_FACTOR, min(SCARCITY_MIN_S, self.max_s))
            self.cut_at_s = now_s

    def limit(self, now_s: float) -> float:
        """Return the age, in seconds, from which on an idle connection is closed."""
        doubled = max(now_s - self.grown_at_s, 0.0) / SCARCITY_DOUBLING_S
        grown = self.limit_s * 2.0 ** min(doubled, 60.0)  # Bounded: a leap of the clock must not overflow.
        self.limit_s = min(grown, self.max_s)
        self.grown_at_s = now_s
        return self.limit_s


class IdleAgeStats:
    """Counts of reused connections, and of dead ones among them, by class of age.

    Args:
        max_s: Limit in seconds where no counts speak against it.
        parent: Statistics of the endpoints of the kind, or of all kinds; None at the top.

    Attributes:
        uses: Recent uses by class of age.
        dead: Recent uses that found the connection dead, by class of age.
        faded_at_s: Time in seconds at which the counts faded most recently; minus infinity before.
        limit_s: Age in seconds up to which connections are used, as computed most recently.
    """

    def __init__(self, max_s: float, parent: IdleAgeStats | None = None) -> None:
        self.max_s = max_s
        self.parent = parent
        self.uses = [0.0] * len(AGE_CLASS_EDGES_S)
        self.dead = [0.0] * len(AGE_CLASS_EDGES_S)
        self.faded_at_s = -math.inf
        self.limit_s = max_s

    def record_use(self, age_s: float, dead: bool, now_s: float) -> None:
        """Count a use of a connection.

        Args:
            age_s: Seconds for which the connection had been idle.
            dead: True if the connection was found dead.
            now_s: Time, in seconds.
        """
        self._count(
            bisect_right(AGE_CLASS_EDGES_S, age_s) - 1 if age_s >= AGE_CLASS_EDGES_S[1] else 0, dead, now_s
        )

    def record_close(self, age_s: float, now_s: float) -> None:
        """Count that an endpoint closed an idle connection.

        The close shows that a request at that age would have failed, before one has to fail. A connection
        that has hardly been idle says nothing of an idle limit: its endpoint shuts down.

        Args:
            age_s: Seconds for which the connection had been idle.
            now_s: Time, in seconds.
        """
        if age_s >= AGE_CLASS_EDGES_S[YOUNG_CLASSES]:
            self.record_use(age_s, True, now_s)

    def _count(self, age_class: int, dead: bool, now_s: float) -> None:
        if self.parent is not None:
            self.parent._count(age_class, dead, now_s)
        self.uses[age_class] += 1.0
        if dead:
            self.dead[age_class] += 1.0
        if dead or now_s - self.faded_at_s >= FADE_INTERVAL_S:
            self.limit(now_s)

    def limit(self, now_s: float) -> float:
        """Compute the age, in seconds, up to which connections are used, and store it in `limit_s`."""
        # Nothing fades in the first call: the first count would be lost.
        passed_s = now_s - self.faded_at_s if self.faded_at_s > -math.inf else 0.0
        fade = 0.5 ** (max(passed_s, 0.0) / HALF_LIFE_S)
        self.faded_at_s = now_s
        self.uses = [count * fade for count in self.uses]
        self.dead = [count * fade for count in self.dead]
        young = self._dead_fraction(range(YOUNG_CLASSES))
        self.limit_s = self.max_s
        for age_class in range(YOUNG_CLASSES, len(AGE_CLASS_EDGES_S)):
            if (
                self._enough_dead(age_class)
                and self._dead_fraction((age_class,)) - young > MIN_EXCESS_DEAD_FRACTION
            ):
                self.limit_s = min(AGE_CLASS_EDGES_S[age_class], self.max_s)
                break
        return self.limit_s

    def _enough_dead(self, age_class: int) -> bool:
        return (self.parent or self).dead[age_class] >= MIN_DEAD_COUNT

    def _dead_fraction(self, age_classes: range | tuple[int, ...]) -> float:
        """Return the fraction of dead connections in some classes of age."""
        uses = sum(self.uses[age_class] for age_class in age_classes)
        dead = sum(self.dead[age_class] for age_class in age_classes)
        if self.parent is None:
            return dead / uses if uses else 0.0
        return (dead + PRIOR_USES * self.parent._dead_fraction(age_classes)) / (uses + PRIOR_USES)
