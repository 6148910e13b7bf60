"""How long a connection to an endpoint may be idle and still be used. No I/O: ages and times come in.

An endpoint may close idle connections sooner than it says, and that end may arrive later than the next
request, which then ends as a reset: a failure for what may not be retried. So the ages at which reused
connections turned out dead are counted, by endpoint, by kind and for all together. No connection is used that
has been idle for longer than the first age from which on clearly more of them die than of the youngest.
"""

from __future__ import annotations

import math
from bisect import bisect_right

EDGES_S = (0.0, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 25.6)  # of the classes of age
YOUNG = 2  # classes whose fraction of dead ones is there at any age, as where endpoints reset at random
EXCESS = 0.04  # over the young ones: an unsafe request that fails costs far more than a new connection
MIN_DEAD = 1.5  # of all endpoints, lately: one is chance
PRIOR = 4.0  # uses that what is known of all endpoints counts for, where one has few of its own
HALF_LIFE_S = 20.0  # of what is counted: an endpoint may change its limit, and nothing else would show it
FADE_EVERY_S = 1.0

SCARCITY_CUT = 0.25  # of the age is left after a rejection: three take the usual minute to the minimum
SCARCITY_MIN_S = 1.0  # some gaps of a usual sidecar: less would cost a handshake for nearly every request
SCARCITY_INTERVAL_S = 1.0  # between cuts: the first has to show before the next
SCARCITY_DOUBLE_S = 10.0  # in which the age doubles, some rejections later than it was cut

QUARANTINE_MIN_S = 0.005  # after a response, once endpoints were seen to send more than one ...
QUARANTINE_FACTOR = 2.0  # ... or this many times the latest that more came
QUARANTINE_MAX_S = 0.05  # bytes that come later are no second response, but say that the connection ends
QUARANTINE_FOR_S = 60.0  # after the last of these


class Quarantine:
    """How long a connection rests after a response before it carries the next request.

    An endpoint that answers twice, the second time some milliseconds late, answers the next request on that
    connection with what was made for the one before, and nothing in HTTP/1.1 shows it. Where endpoints were
    seen to do so, what still comes of a response is given its time to show.
    """

    def __init__(self) -> None:
        self.limit_s = 0.0  # 0: a connection may be used at once
        self.seen_at_s = -math.inf

    def seen(self, after_s: float, now_s: float) -> None:
        """Learn that more came than a response.

        Args:
            after_s: seconds between the end of the response and these bytes.
            now_s: the time, seconds.
        """
        if after_s <= QUARANTINE_MAX_S:
            self.limit_s = max(self.limit(now_s), QUARANTINE_MIN_S, QUARANTINE_FACTOR * after_s)
            self.seen_at_s = now_s

    def limit(self, now_s: float) -> float:
        """Return for how many seconds a connection rests."""
        if self.limit_s and now_s - self.seen_at_s > QUARANTINE_FOR_S:
            self.limit_s = 0.0
        return self.limit_s


class ScarcityLimit:
    """How long a connection may be idle while others may lack it.

    All sidecars share the connections that an endpoint accepts: each one kept for a request that may come
    is one that another sidecar cannot open for a request that has come. A new connection that is rejected
    at once shows that they have run short. Everyone meets that, and everyone gives back what it used least:
    the age is cut with each such time, and doubles over a time far longer than a cut takes.
    """

    def __init__(self, max_s: float) -> None:
        """Begin at the maximum, in seconds."""
        self.max_s = max_s
        self.limit_s = max_s
        self.grown_at_s = 0.0
        self.cut_at_s = -math.inf

    def rejected(self, now_s: float) -> None:
        """Learn that an endpoint rejected a new connection, unused."""
        if now_s - self.cut_at_s >= SCARCITY_INTERVAL_S:
            self.limit_s = max(self.limit(now_s) * SCARCITY_CUT, min(SCARCITY_MIN_S, self.max_s))
            self.cut_at_s = now_s

    def limit(self, now_s: float) -> float:
        """Return the age, in seconds, from which on an idle connection is given back."""
        doubled = max(now_s - self.grown_at_s, 0.0) / SCARCITY_DOUBLE_S
        grown = self.limit_s * 2.0 ** min(doubled, 60.0)  # no overflow after a clock's leap
        self.limit_s = min(grown, self.max_s)
        self.grown_at_s = now_s
        return self.limit_s


class IdleAgeStats:
    """What was seen of reused connections at each age.

    Attributes:
        max_s: the limit where nothing speaks against it, seconds.
        parent: the statistics of all endpoints of the kind, and of all kinds above these; None at the top.
        uses: recent uses by class of age.
        dead: those of them that found the connection dead.
        limit_s: the age up to which connections are used, seconds, as last worked out.
    """

    def __init__(self, max_s: float, parent: IdleAgeStats | None = None) -> None:
        """Begin at the maximum, with nothing seen."""
        self.max_s = max_s
        self.parent = parent
        self.uses = [0.0] * len(EDGES_S)
        self.dead = [0.0] * len(EDGES_S)
        self.faded_at_s = -math.inf  # not yet
        self.limit_s = max_s

    def note(self, age_s: float, dead: bool, now_s: float) -> None:
        """Count a use of a connection.

        Args:
            age_s: seconds that it had been idle.
            dead: whether it was found dead.
            now_s: the time, seconds.
        """
        self._count(bisect_right(EDGES_S, age_s) - 1 if age_s >= EDGES_S[1] else 0, dead, now_s)

    def closed(self, age_s: float, now_s: float) -> None:
        """Count that an endpoint closed an idle connection.

        It shows what a request at that age would have met, before any request has to meet it. A connection
        that has hardly been idle says nothing of an idle limit: its endpoint is going.

        Args:
            age_s: seconds that it had been idle.
            now_s: the time, seconds.
        """
        if age_s >= EDGES_S[YOUNG]:
            self.note(age_s, True, now_s)

    def _count(self, age_class: int, dead: bool, now_s: float) -> None:
        if self.parent is not None:
            self.parent._count(age_class, dead, now_s)
        self.uses[age_class] += 1.0
        if dead:
            self.dead[age_class] += 1.0
        if dead or now_s - self.faded_at_s >= FADE_EVERY_S:
            self.limit(now_s)

    def limit(self, now_s: float) -> float:
        """Work out the age, in seconds, up to which connections are used; kept in `limit_s`."""
        # The first time there is nothing to fade, or what was just counted would be lost.
        passed_s = now_s - self.faded_at_s if self.faded_at_s > -math.inf else 0.0
        fade = 0.5 ** (max(passed_s, 0.0) / HALF_LIFE_S)
        self.faded_at_s = now_s
        self.uses = [count * fade for count in self.uses]
        self.dead = [count * fade for count in self.dead]
        young = self._dead_fraction(range(YOUNG))
        self.limit_s = self.max_s
        for age_class in range(YOUNG, len(EDGES_S)):
            if self._enough_dead(age_class) and self._dead_fraction((age_class,)) - young > EXCESS:
                self.limit_s = min(EDGES_S[age_class], self.max_s)
                break
        return self.limit_s

    def _enough_dead(self, age_class: int) -> bool:
        return (self.parent or self).dead[age_class] >= MIN_DEAD

    def _dead_fraction(self, age_classes: range | tuple[int, ...]) -> float:
        """Return the fraction of dead ones in some classes of age."""
        uses = sum(self.uses[age_class] for age_class in age_classes)
        dead = sum(self.dead[age_class] for age_class in age_classes)
        if self.parent is None:
            return dead / uses if uses else 0.0
        return (dead + PRIOR * self.parent._dead_fraction(age_classes)) / (uses + PRIOR)
