"""How long a connection to a server may stand idle and still be used. No I/O: ages and times come in.

A server may close idle connections sooner than it says, and the news of it may come later than the next
request, which then ends as a reset: a failure for what may not be repeated. So the ages at which reused
connections turned out dead are counted, by server, by kind and for all together, and no connection is
used that has stood for longer than the first age from which on clearly more of them die than of the youngest.
"""

from __future__ import annotations

import math
from bisect import bisect_right

EDGES_S = (0.0, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 12.8, 25.6)  # of the classes of age
YOUNG = 2  # classes whose part of dead ones is there at any age, as where servers reset at random
EXCESS = 0.04  # more than the young ones: an order that fails costs far more than a new connection
DEAD_LEAST = 1.5  # of all servers, lately: one is chance
PRIOR = 4.0  # uses that what is known of all servers counts for, where one has few of its own
HALF_LIFE_S = 20.0  # of what is counted: a server may change its mind, and nothing else would tell
FADE_EVERY_S = 1.0

SPARE_CUT = 0.25  # of the age is left after a refusal: three reach the least from the usual limit of a minute
SPARE_LEAST_S = 1.0  # some gaps of a usual sidecar: less would pay a handshake for nearly every request
SPARE_APART_S = 1.0  # between cuts: the first has to show before the next
SPARE_DOUBLE_S = 10.0  # in which the age doubles again, some refusals later than it was cut

QUARANTINE_LEAST_S = 0.005  # after an answer, once servers were seen to send more than one ...
QUARANTINE_TIMES = 2.0  # ... or times the latest that more came
QUARANTINE_MOST_S = (
    0.05  # bytes that come later are no second answer, but the server's word on an idle connection
)
QUARANTINE_FOR_S = 60.0  # after the last of these


class Quarantine:
    """How long a connection rests after an answer before it carries the next request.

    A server that answers twice, the second time some milliseconds late, answers the next request on that
    connection with what was made for the one before, and nothing in HTTP/1.1 tells. Where servers were seen
    to do so, what still comes of an answer is given its time to show.
    """

    def __init__(self) -> None:
        self.limit_s = 0.0  # 0: it may be used at once
        self.seen_at_s = -math.inf

    def seen(self, after_s: float, now_s: float) -> None:
        """More came than an answer, so long after its end."""
        if after_s <= QUARANTINE_MOST_S:
            self.limit_s = max(self.limit(now_s), QUARANTINE_LEAST_S, QUARANTINE_TIMES * after_s)
            self.seen_at_s = now_s

    def limit(self, now_s: float) -> float:
        """The time for which a connection rests, seconds."""
        if self.limit_s and now_s - self.seen_at_s > QUARANTINE_FOR_S:
            self.limit_s = 0.0
        return self.limit_s


class Spare:
    """How long a connection may stand idle while others may lack it.

    Connections at a server are a thing that all sidecars share: each that is held for a request that may
    come is one that another cannot open for a request that has. A new connection that is turned away at
    once tells that they have run short, and as everyone meets that, everyone gives back what it used
    least: the age is cut with each such time, and doubles again over a time far longer than a cut takes.
    """

    def __init__(self, most_s: float) -> None:
        self.most_s = most_s
        self.limit_s = most_s
        self.grown_at_s = 0.0
        self.cut_at_s = -math.inf

    def refused(self, now_s: float) -> None:
        """A server turned away a new connection, unused."""
        if now_s - self.cut_at_s >= SPARE_APART_S:
            self.limit_s = max(self.limit(now_s) * SPARE_CUT, min(SPARE_LEAST_S, self.most_s))
            self.cut_at_s = now_s

    def limit(self, now_s: float) -> float:
        """The age, in seconds, from which on an idle connection is given back."""
        doubled = max(now_s - self.grown_at_s, 0.0) / SPARE_DOUBLE_S
        grown = self.limit_s * 2.0 ** min(doubled, 60.0)  # no overflow after a clock's leap
        self.limit_s = min(grown, self.most_s)
        self.grown_at_s = now_s
        return self.limit_s


class Ages:
    """What was seen at each age: of one server, of the servers of its kind, of all (with no `every`)."""

    def __init__(self, most_s: float, every: Ages | None = None) -> None:
        self.most_s = most_s
        self.every = every
        self.uses = [0.0] * len(EDGES_S)
        self.dead = [0.0] * len(EDGES_S)
        self.faded_at_s = -math.inf  # not yet
        self.limit_s = most_s

    def note(self, age_s: float, dead: bool, now_s: float) -> None:
        """Count a use of a connection that had stood idle for so long, and whether it was dead."""
        self._count(bisect_right(EDGES_S, age_s) - 1 if age_s >= EDGES_S[1] else 0, dead, now_s)

    def closed(self, age_s: float, now_s: float) -> None:
        """Count that the server closed a connection that had stood idle for so long.

        It tells what a request at that age would have met, before any request has to meet it. One that
        has hardly stood idle says nothing of an idle limit: its server is going.
        """
        if age_s >= EDGES_S[YOUNG]:
            self.note(age_s, True, now_s)

    def _count(self, place: int, dead: bool, now_s: float) -> None:
        if self.every is not None:
            self.every._count(place, dead, now_s)
        self.uses[place] += 1.0
        if dead:
            self.dead[place] += 1.0
        if dead or now_s - self.faded_at_s >= FADE_EVERY_S:
            self.limit(now_s)

    def limit(self, now_s: float) -> float:
        """The age up to which connections are used, seconds; kept in `limit_s`."""
        # The first time there is nothing to fade, or what was just counted would be lost.
        passed_s = now_s - self.faded_at_s if self.faded_at_s > -math.inf else 0.0
        fade = 0.5 ** (max(passed_s, 0.0) / HALF_LIFE_S)
        self.faded_at_s = now_s
        self.uses = [count * fade for count in self.uses]
        self.dead = [count * fade for count in self.dead]
        usual = self._part(range(YOUNG))
        self.limit_s = self.most_s
        for place in range(YOUNG, len(EDGES_S)):
            if self._enough(place) and self._part((place,)) - usual > EXCESS:
                self.limit_s = min(EDGES_S[place], self.most_s)
                break
        return self.limit_s

    def _enough(self, place: int) -> bool:
        return (self.every or self).dead[place] >= DEAD_LEAST

    def _part(self, places: range | tuple[int, ...]) -> float:
        """The part of dead ones in some classes of age."""
        uses = sum(self.uses[place] for place in places)
        dead = sum(self.dead[place] for place in places)
        if self.every is None:
            return dead / uses if uses else 0.0
        return (dead + PRIOR * self.every._part(places)) / (uses + PRIOR)
