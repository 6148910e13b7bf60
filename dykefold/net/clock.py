"""The clock that deadlines and the starts of servers are told in."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from ..balancer.events import Endpoint, ListKind
from ..system import SYSTEM, System

log = logging.getLogger("dykefold.clock")

MS = 1_000_000
SECOND = 1_000_000_000
DOUBTED_EVERY_NS = 60 * SECOND  # between two lines of the log on starts that are not believed
LIST_LAG_NS = SECOND  # from a server's start until a live watch tells it; a start told later counts as new
STARTS_MOST = 8192  # starts remembered, or as many as are listed: a server may come back with its own


class Clock:
    """Monotonic time on the scale of Unix time, which the starts of servers are told in."""

    def __init__(self, system: System = SYSTEM) -> None:
        self.monotonic_ns = system.monotonic_ns
        self.offset = system.time_ns() - system.monotonic_ns()

    def now(self) -> int:
        return self.offset + self.monotonic_ns()

    def at(self, now_s: float) -> int:
        """What `now` would give at a time of the monotonic clock, to some hundred nanoseconds."""
        return self.offset + int(now_s * SECOND)


class StartTimes:
    """From when each server's slow start counts, on the monotonic clock's scale (`Clock`).

    A list tells a start in Unix time of another machine, and either wall clock may be wrong by an hour. So a
    start's age runs from the moment at which it was first notified here, and the Unix time only adds to that
    what can be true:

    - On a live watch, by a change or by a whole list that follows an earlier one, a new start is at most
      `LIST_LAG_NS` old, or else the last answer would have told it. After a break of the watch, in the answer
      to a call that has only just gone out (there may be a pause between two), in a list of another process,
      and in a call of operators, the bound is the time since the last answer, and that lag.
      An age that is negative or above the bound shows that the clocks disagree: then nothing is believed, and
      the start counts as of now. So with any clocks a new start is at most the bound younger than it counts,
      and at most the bound older: it is neither pushed over nor left cold for longer than one slow start.
    - In a first list, which no answer came before (a cached list, the first answer behind it, the first
      whole list of another discovery), no such bound exists: most of its servers did start long ago, and to
      take them all for cold would leave a restarted sidecar without servers. Their ages are believed, but for
      a start in this machine's future, which counts as of now; and where most of the list lies there, it is
      this clock that is behind, and ages are counted from the newest start. A clock that was too far ahead
      before the process began hides a start that is younger than a slow start and stands in a first list:
      nothing here tells it from an old one. A start that is notified later is not touched by that.

    A start that was told before keeps its moment, also for a server that left the list in between.
    """

    def __init__(self, most: int = STARTS_MOST) -> None:
        self.most = most
        self.known: dict[str, tuple[int, int]] = {}  # by name: as told, and on this scale
        self.heard_ns: int | None = None  # the last answer of the discovery in use; None: no answer yet
        self.source = ""  # which one that is
        self.live = False  # the watch has not failed since
        self.doubted_ns: int | None = None  # when a start was last logged as not believed

    def place(
        self,
        now_ns: int,
        kind: ListKind,
        source: str,
        entries: Iterable[tuple[str, Endpoint]],
        called_ns: int = 0,
    ) -> None:
        """Take a list or a change of it, and set `ramp_from_ns` of its endpoints.

        Args:
            now_ns: on the scale of `Clock`.
            source: names the discovery that the list is of.
            entries: with the names of the servers, which are the same in every list.
            called_ns: when the latest call of the watch went out; 0: long ago.
        """
        answered = kind in (ListKind.DELTA, ListKind.FULL)
        entries = list(entries)
        bound_ns = self._oldest(now_ns, answered, source, called_ns)
        behind_ns = _behind(now_ns, entries) if bound_ns is None else 0
        if behind_ns > LIST_LAG_NS:
            log.warning(
                "most of the first list is in the future, up to %.3f s: ages count from its newest start",
                behind_ns / SECOND,
            )
        for name, endpoint in entries:
            if endpoint.started_ns:
                endpoint.ramp_from_ns = self._moment(now_ns, behind_ns, name, endpoint.started_ns, bound_ns)
        while len(self.known) > max(self.most, len(entries)):
            del self.known[next(iter(self.known))]  # told longest ago
        if answered:
            self.heard_ns, self.source, self.live = now_ns, source, True

    def broke(self) -> None:
        """The watch has failed: a start that is told next may be as old as the last answer."""
        self.live = False

    def _oldest(self, now_ns: int, answered: bool, source: str, called_ns: int) -> int | None:
        """How old a start may be that was not told before; None: of any age."""
        if self.heard_ns is None or (answered and source != self.source):
            return None
        if answered and self.live and now_ns - called_ns >= LIST_LAG_NS:
            return LIST_LAG_NS
        return now_ns - self.heard_ns + LIST_LAG_NS

    def _moment(self, now_ns: int, behind_ns: int, name: str, started_ns: int, bound_ns: int | None) -> int:
        known = self.known.pop(name, None)
        if known is None or known[0] != started_ns:
            age_ns = now_ns + behind_ns - started_ns
            plausible = age_ns >= 0 and (bound_ns is None or age_ns <= bound_ns)
            known = (started_ns, now_ns - age_ns if plausible else now_ns)
            if not plausible:
                self._doubt(now_ns, name, age_ns, bound_ns)
        self.known[name] = known
        return known[1]

    def _doubt(self, now_ns: int, name: str, age_ns: int, bound_ns: int | None) -> None:
        """Log a start that is not believed: with a wrong clock none is, so one line has to do."""
        if -LIST_LAG_NS < age_ns < 0:
            return  # clocks that are kept alike differ by some of it
        if self.doubted_ns is not None and now_ns - self.doubted_ns < DOUBTED_EVERY_NS:
            return
        self.doubted_ns = now_ns
        most = "any age" if bound_ns is None else f"{bound_ns / SECOND:.1f} s"
        log.warning(
            "since_ms of %s makes it %.3f s old, expected 0 to %s: the clocks disagree, or the list is late; "
            "its slow start counts from now",
            name,
            age_ns / SECOND,
            most,
        )


def _behind(now_ns: int, entries: list[tuple[str, Endpoint]]) -> int:
    """How far this clock must be behind, where most of a first list lies in its future; else 0.

    Guards a sidecar that is restarted on a machine whose clock is an hour back, behind servers that have all
    been replaced within that hour: all of them cold, it would have none to send to.
    """
    ahead = [endpoint.started_ns - now_ns for _, endpoint in entries if endpoint.started_ns > now_ns]
    return max(ahead) if 2 * len(ahead) > len(entries) else 0
