"""The beginning of each endpoint's slow start, protected against wrong clocks of other machines."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from ..balancer.events import Endpoint, ListKind

log = logging.getLogger("dykefold.clock")

NS_PER_S = 1_000_000_000
MIN_REJECTION_LOG_INTERVAL_NS = 60 * NS_PER_S
LIST_LAG_NS = NS_PER_S  # A live watch delivers a start within this time.
MAX_STARTS = 8192  # A longer list raises this limit.


class StartTimes:
    """The time at which each endpoint's slow start begins, on the scale of `Clock`.

    A list states a start in the Unix time of another machine, and either wall clock may be wrong by an hour.
    Therefore the age of a start is measured from the first notification of it here. The stated Unix time adds
    an age before that only within a limit:

    - On a live watch, a new start in a change, or in a whole list that follows an earlier list, is at most
      `LIST_LAG_NS` old; an older one would have been in the last answer. In four cases the limit is the time
      since the last answer plus `LIST_LAG_NS`: after a failure of the watch, in the answer to a call that was
      just made (the watch may pause between two calls), in a list of another process, and in a request to the
      admin API. An age that is negative or above the limit shows that the clocks differ; the stated time
      is ignored, and the start counts as of now. With any clocks, the age that counts differs from the true
      age by at most the limit, so that an endpoint is neither overloaded nor kept in slow start for much
      longer than usual.
    - A first list follows no answer: a cached list, the first answer after it, or the first whole list of
      another discovery. It has no limit, since most of its endpoints started long ago: with all of them in
      slow start a restarted sidecar would have no capacity. The stated ages are accepted, except that a start
      in this machine's future counts as of now. If most starts of the list are in the future, this machine's
      clock is behind, and ages are counted from the newest start. If the clock was too far ahead before the
      process began, a recent start in a first list looks like an old one, and can't be recognized here.
      Starts that are notified later are not affected.

    A start that was notified before keeps its time, also if the endpoint left the list meanwhile.

    Args:
        max_starts: Number of starts that are remembered; a longer list raises it.

    Attributes:
        known: Starts by endpoint name: as stated, and on the scale of `Clock`, both in nanoseconds.
        last_answer_ns: Time of the last answer of the present source in nanoseconds; None before the first.
        source: Name of the present source.
        live: Whether the watch has not failed since the last answer.
        rejection_logged_ns: Time in nanoseconds at which an ignored start was last logged; None before that.
    """

    def __init__(self, max_starts: int = MAX_STARTS) -> None:
        self.max_starts = max_starts
        self.known: dict[str, tuple[int, int]] = {}
        self.last_answer_ns: int | None = None
        self.source = ""
        self.live = False
        self.rejection_logged_ns: int | None = None

    def place(
        self,
        now_ns: int,
        kind: ListKind,
        source: str,
        entries: Iterable[tuple[str, Endpoint]],
        called_ns: int = 0,
    ) -> None:
        """Set `slow_start_began_ns` of the endpoints of a list or of a change of it.

        Args:
            now_ns: Present time on the scale of `Clock`, in nanoseconds.
            kind: Way in which the list was obtained.
            source: Name of the discovery that sent the list.
            entries: Endpoints with their names, which are the same in every list.
            called_ns: Time of the latest call of the watch in nanoseconds, on the same scale; 0 if there was
                none.
        """
        answered = kind in (ListKind.DELTA, ListKind.FULL)
        entries = list(entries)
        max_age_ns = self._max_age_ns(now_ns, answered, source, called_ns)
        behind_ns = _clock_behind_ns(now_ns, entries) if max_age_ns is None else 0
        if behind_ns > LIST_LAG_NS:
            log.warning(
                "first endpoint list starts up to %.3f s in the future: ages count from its newest start",
                behind_ns / NS_PER_S,
            )
        for name, endpoint in entries:
            if endpoint.started_ns:
                endpoint.slow_start_began_ns = self._slow_start_ns(
                    now_ns, behind_ns, name, endpoint.started_ns, max_age_ns
                )
        while len(self.known) > max(self.max_starts, len(entries)):
            del self.known[next(iter(self.known))]  # The least recently notified one.
        if answered:
            self.last_answer_ns, self.source, self.live = now_ns, source, True

    def watch_failed(self) -> None:
        """Record that the watch failed: the next notified start may be as old as the last answer."""
        self.live = False

    def _max_age_ns(self, now_ns: int, answered: bool, source: str, called_ns: int) -> int | None:
        """Return the greatest plausible age of a new start in nanoseconds; None if every age is plausible."""
        if self.last_answer_ns is None or (answered and source != self.source):
            return None
        if answered and self.live and now_ns - called_ns >= LIST_LAG_NS:
            return LIST_LAG_NS
        return now_ns - self.last_answer_ns + LIST_LAG_NS

    def _slow_start_ns(
        self, now_ns: int, behind_ns: int, name: str, started_ns: int, max_age_ns: int | None
    ) -> int:
        """Return the time at which the slow start of an endpoint begins, and remember it.

        Args:
            now_ns: Present time on the scale of `Clock`, in nanoseconds.
            behind_ns: Nanoseconds by which this machine's clock is behind.
            name: Name of the endpoint.
            started_ns: Start as the list states it, in nanoseconds.
            max_age_ns: Greatest plausible age of a new start in nanoseconds; None if every age is plausible.
        """
        known = self.known.pop(name, None)
        if known is None or known[0] != started_ns:
            age_ns = now_ns + behind_ns - started_ns
            plausible = age_ns >= 0 and (max_age_ns is None or age_ns <= max_age_ns)
            known = (started_ns, now_ns - age_ns if plausible else now_ns)
            if not plausible:
                self._log_rejection(now_ns, name, age_ns, max_age_ns)
        self.known[name] = known
        return known[1]

    def _log_rejection(self, now_ns: int, name: str, age_ns: int, max_age_ns: int | None) -> None:
        """Log an ignored start, at a limited rate: with a wrong clock every start is ignored."""
        if -LIST_LAG_NS < age_ns < 0:
            return  # Synchronized clocks may differ by this time.
        if (
            self.rejection_logged_ns is not None
            and now_ns - self.rejection_logged_ns < MIN_REJECTION_LOG_INTERVAL_NS
        ):
            return
        self.rejection_logged_ns = now_ns
        max_age_text = "any age" if max_age_ns is None else f"{max_age_ns / NS_PER_S:.1f} s"
        log.warning(
            "since_ms of %s makes it %.3f s old, expected 0 to %s: the clocks disagree, or the list is late; "
            "its slow start counts from now",
            name,
            age_ns / NS_PER_S,
            max_age_text,
        )


def _clock_behind_ns(now_ns: int, entries: list[tuple[str, Endpoint]]) -> int:
    """Return the nanoseconds by which this machine's clock is behind, judged by a first list.

    The clock counts as behind if most starts of the list are in its future; otherwise the result is 0. For
    example, a sidecar is restarted on a machine whose clock is an hour behind, and all endpoints started
    within that hour: with all of them in slow start it would have no capacity.
    """
    ahead = [endpoint.started_ns - now_ns for _, endpoint in entries if endpoint.started_ns > now_ns]
    return max(ahead) if 2 * len(ahead) > len(entries) else 0
