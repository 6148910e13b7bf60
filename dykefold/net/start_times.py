"""From when each endpoint's slow start counts, whatever the clocks of other machines say."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from ..balancer.events import Endpoint, ListKind

log = logging.getLogger("dykefold.clock")

NS_PER_S = 1_000_000_000
DISTRUST_LOG_INTERVAL_NS = 60 * NS_PER_S  # between two log lines on starts that are not believed
LIST_LAG_NS = NS_PER_S  # from a start until a live watch brings it; one that comes later counts as new
MAX_STARTS = 8192  # starts remembered, or as many as are listed: an endpoint may come back with its own


class StartTimes:
    """From when each endpoint's slow start counts, on the monotonic clock's scale (`Clock`).

    A list gives a start in Unix time of another machine, and either wall clock may be wrong by an hour. So a
    start's age runs from the moment at which it was first notified here, and the Unix time only adds to that
    what can be true:

    - On a live watch, by a change or by a whole list that follows an earlier one, a new start is at most
      `LIST_LAG_NS` old, or else the last answer would have had it. After a break of the watch, in the answer
      to a call that has only just gone out (there may be a pause between two), in a list of another process,
      and in a request to the admin API, the bound is the time since the last answer, and that lag.
      An age that is negative or above the bound shows that the clocks disagree: then nothing is believed, and
      the start counts as of now. So with any clocks a new start is at most the bound younger than it counts,
      and at most the bound older: it is neither overloaded nor kept in slow start for longer than one of
      these takes.
    - In a first list, which no answer came before (a cached list, the first answer behind it, the first
      whole list of another discovery), no such bound exists: most of its endpoints did start long ago, and
      with all of them in slow start a restarted sidecar would have no capacity. Their ages are believed, but
      for a start in this machine's future, which counts as of now; and where most of the list lies there, it
      is this clock that is behind, and ages are counted from the newest start. A clock that was too far ahead
      before the process began hides a start that is younger than a slow start and stands in a first list:
      nothing here tells it from an old one. A start that is notified later is not touched by that.

    A start that was notified before keeps its moment, also for an endpoint that left the list in between.

    Attributes:
        max_starts: how many starts are remembered at least, where the list is no longer.
        known: by name: the start as it was given, and on this scale, in nanoseconds.
        heard_ns: when the source in use last answered; None: no answer yet.
        source: which one that is.
        live: the watch has not failed since.
    """

    def __init__(self, max_starts: int = MAX_STARTS) -> None:
        """Begin with no start known."""
        self.max_starts = max_starts
        self.known: dict[str, tuple[int, int]] = {}
        self.heard_ns: int | None = None
        self.source = ""
        self.live = False
        self.distrust_logged_ns: int | None = None  # when a start was last logged as not believed

    def place(
        self,
        now_ns: int,
        kind: ListKind,
        source: str,
        entries: Iterable[tuple[str, Endpoint]],
        called_ns: int = 0,
    ) -> None:
        """Set `ramp_from_ns` of the endpoints of a list or of a change of it.

        Args:
            now_ns: the time on the scale of `Clock`, in nanoseconds.
            kind: how the list was obtained.
            source: names the discovery that the list is of.
            entries: endpoints with their names, which are the same in every list.
            called_ns: when the latest call of the watch was made, on the same scale; 0: long ago.
        """
        answered = kind in (ListKind.DELTA, ListKind.FULL)
        entries = list(entries)
        bound_ns = self._oldest(now_ns, answered, source, called_ns)
        behind_ns = _behind(now_ns, entries) if bound_ns is None else 0
        if behind_ns > LIST_LAG_NS:
            log.warning(
                "first endpoint list starts up to %.3f s in the future: ages count from its newest start",
                behind_ns / NS_PER_S,
            )
        for name, endpoint in entries:
            if endpoint.started_ns:
                endpoint.ramp_from_ns = self._moment(now_ns, behind_ns, name, endpoint.started_ns, bound_ns)
        while len(self.known) > max(self.max_starts, len(entries)):
            del self.known[next(iter(self.known))]  # notified longest ago
        if answered:
            self.heard_ns, self.source, self.live = now_ns, source, True

    def broke(self) -> None:
        """Record that the watch failed: the next start that is notified may be as old as the last answer."""
        self.live = False

    def _oldest(self, now_ns: int, answered: bool, source: str, called_ns: int) -> int | None:
        """Return how old a start may be, in ns, that was not notified before; None: of any age."""
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
                self._log_distrust(now_ns, name, age_ns, bound_ns)
        self.known[name] = known
        return known[1]

    def _log_distrust(self, now_ns: int, name: str, age_ns: int, bound_ns: int | None) -> None:
        """Log a start that is not believed: with a wrong clock none is, so one line has to do."""
        if -LIST_LAG_NS < age_ns < 0:
            return  # clocks that are kept alike differ by some of it
        if (
            self.distrust_logged_ns is not None
            and now_ns - self.distrust_logged_ns < DISTRUST_LOG_INTERVAL_NS
        ):
            return
        self.distrust_logged_ns = now_ns
        max_age = "any age" if bound_ns is None else f"{bound_ns / NS_PER_S:.1f} s"
        log.warning(
            "since_ms of %s makes it %.3f s old, expected 0 to %s: the clocks disagree, or the list is late; "
            "its slow start counts from now",
            name,
            age_ns / NS_PER_S,
            max_age,
        )


def _behind(now_ns: int, entries: list[tuple[str, Endpoint]]) -> int:
    """Return how far this clock must be behind, where most of a first list lies in its future; else 0.

    A sidecar may be restarted on a machine whose clock is an hour back, before endpoints that have all been
    replaced within that hour: with all of them in slow start it would have no capacity.
    """
    ahead = [endpoint.started_ns - now_ns for _, endpoint in entries if endpoint.started_ns > now_ns]
    return max(ahead) if 2 * len(ahead) > len(entries) else 0
