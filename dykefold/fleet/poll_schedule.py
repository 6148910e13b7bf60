"""When a sidecar calls the list service: the calls of a fleet spread over what the service can do. No I/O.

What each sidecar does is harmless, the sum is not: a change of the list, a restart, an outage end the wait of
all at one moment. So whenever all may want to call at once, each has a slot of its own in a span as long as
the fleet's calls take. The span grows where calls fail (multiplicative decrease of the rate, as in RFC 5681)
and shrinks slowly. An outage is no overload: what nobody is answered for makes the span no longer.

The rules hold by the own calls alone. What others tell is only ever a reason to call, or to call less often
than that, and never beyond `SPREAD_MOST`.
"""

from __future__ import annotations

import random

from .member_state import mix
from .rate_limits import SECOND

SPREAD_MOST = 0.4  # of the time within which the rules want a call: one that fails leaves time for another
MOVED_MOST_NS = 2 * SECOND  # ... after a new configuration: what the new one has to tell counts 4 s after it
FAILED_MOST_NS = 2 * SECOND  # ... after a failure: a change counts as told 6 s later, and a call takes 3.5 s
GO_ON_NS = 150_000_000  # a watch goes on if the next call comes within 200 ms of an answer (PROTOCOL)
SLOWER = 2.0  # times the span after a failure, if any call of the fleet was answered since the last such
LONG_NS = 100_000_000  # an answer to a call that begins a watch takes so long where many stand in front ...
LONG_MOST_NS = 2 * SECOND  # ... or there was nothing to tell yet
SLOWER_MOST = 64.0
FASTER_NS = 5 * SECOND  # without a failure, in which what the span was stretched by comes down to half
SILENT_NS = 2 * SECOND  # a call that others have news before for so long is taken for silent: rules say 6 s


class CoordinatedPollSchedule:
    """The times of one sidecar's calls."""

    def __init__(
        self, must_ask_ns: int, calls_per_s: float, place: int, fleet: int, chance: random.Random, now_ns: int
    ) -> None:
        """Begin, as a process does.

        Args:
            must_ask_ns: the time within which the rules want a call.
            calls_per_s: that the service is taken to work through, until it shows.
            place: among those who call, from 0; `fleet` of them.
        """
        self.must_ask_ns, self.calls_per_s, self.chance = must_ask_ns, calls_per_s, chance
        self.place, self.fleet = place, max(fleet, 1)
        self.slower = 1.0
        self.slower_ns = now_ns  # when that was right
        self.told_ns = 0  # the span that others found
        self.answered = True  # since the latest failure, this one or another
        self.opened = False  # the latest call began a watch
        self.from_ns = now_ns  # what its slot counts from: its start, the latest failure or move
        self.called_ns: int | None = None
        self.failed_ns: int | None = None  # None while it is answered
        self.moved = False
        self.refuted = -1  # a version that others told, and the service did not have

    # What happened

    def take_fleet(self, place: int, fleet: int) -> None:
        """There are so many now, and this is the own place among them."""
        self.place, self.fleet = place, max(fleet, 1)

    def take_spread(self, told: list[int]) -> None:
        """Spans that others found of late: the third longest counts, as one or two may be wrong."""
        self.told_ns = sorted(told, reverse=True)[2] if len(told) > 2 else 0

    def called(self, now_ns: int, opens: bool) -> None:
        """A call goes out; whether it begins a watch, and does not only go on with one."""
        self.called_ns, self.opened = now_ns, opens

    def was_answered(self, now_ns: int) -> bool:
        """A call was answered; whether that is news to others: they may call, or had better wait longer."""
        news, self.failed_ns = self.failed_ns is not None, None
        self.answered, self.moved = True, False
        if self.opened and self.called_ns is not None and LONG_NS < now_ns - self.called_ns < LONG_MOST_NS:
            self._settle(now_ns)
            self.slower = min(self.slower * SLOWER, SLOWER_MOST)  # others waited in front of it
            news = True
        self.opened = False
        return news

    def failed(self, now_ns: int) -> bool:
        """A call failed; whether the span is longer for it."""
        self._settle(now_ns)
        self.from_ns = self.failed_ns = now_ns
        if not self.answered:
            return False
        self.answered = False
        self.slower = min(self.slower * SLOWER, SLOWER_MOST)
        return True

    def moves(self, now_ns: int) -> None:
        """The list is to be had of another service, which has shown nothing yet."""
        self.slower, self.told_ns, self.refuted = 1.0, 0, -1
        self.from_ns, self.failed_ns, self.answered, self.moved = now_ns, None, True, True

    # What follows

    def spread_ns(self, now_ns: int) -> int:
        """Over which time the calls of all are spread just now."""
        self._settle(now_ns)
        most = int(self.must_ask_ns * SPREAD_MOST)
        if self.moved:
            most = min(most, MOVED_MOST_NS)
        if self.failed_ns is not None:
            most = min(most, FAILED_MOST_NS)
        return min(max(int(self.fleet / self.calls_per_s * self.slower * SECOND), self.told_ns), most)

    def _settle(self, now_ns: int) -> None:
        if self.slower > 1.0 and self.failed_ns is None:
            self.slower = max(self.slower * 0.5 ** ((now_ns - self.slower_ns) / FASTER_NS), 1.0)
        self.slower_ns = now_ns

    def _slot(self, version: int) -> float:
        """The own place in a span, from 0, below 1; by the version, lest the same one be always last."""
        place = (self.place + mix(0, version + 1) % self.fleet) % self.fleet
        return (place + self.chance.random()) / self.fleet

    def opens_ns(self, now_ns: int, version: int) -> int:
        """When a watch may be opened that is not open; not before now. `version` is of the own list, or 0."""
        # Of those who were turned away together each draws anew, or the same ones would meet again.
        part = self.chance.random() if self.failed_ns is not None else self._slot(version)
        return max(now_ns, self.from_ns + int(self.spread_ns(now_ns) * part))

    def goes_on_ns(self, now_ns: int, version: int) -> int:
        """When the next call of a watch is due after an answer.

        Where a span is longer than a watch may pause, the watch is let go, and the list asked for once in a
        span at the most: many changes in a row cost no more calls than one, and who has just been told goes
        behind those who have not.
        """
        spread = self.spread_ns(now_ns)
        if spread <= GO_ON_NS:
            return now_ns
        slot = now_ns + int(spread * self._slot(version))
        return slot if self.called_ns is None else max(slot, min(self.called_ns + spread, now_ns + spread))

    def hurries_ns(self, now_ns: int, version: int) -> int | None:
        """Others are answered again, after the own latest failure: when to call; None if it is no news."""
        if self.failed_ns is None:
            return None
        self.answered = True
        self.from_ns = now_ns
        return now_ns + int(self.spread_ns(now_ns) * self._slot(version))

    def doubts_ns(self, now_ns: int, version: int, newest: int) -> int | None:
        """Others tell of a newer list while a call of one's own is open: when to make it anew, if none comes.

        Guards against a watch that has fallen silent, which nothing else tells before its wait is over. A
        version that was told and that the service does not have is no reason twice.
        """
        if newest <= max(version, self.refuted) or self.failed_ns is not None:
            return None
        return now_ns + SILENT_NS + int(self.spread_ns(now_ns) * self._slot(newest))

    def refute(self, newest: int) -> None:
        """It is asked for because of this version, which counts as told of from now on."""
        self.refuted = max(self.refuted, newest)
