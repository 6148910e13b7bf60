"""Start of each endpoint's slow start, robust against wrong clocks of this and other machines."""

from __future__ import annotations

import logging
from collections.abc import Iterable

from ..balancer.events import Endpoint, ListKind

log = logging.getLogger("dykefold.clock")

NS_PER_S = 1_000_000_000
MIN_IMPLAUSIBLE_LOG_INTERVAL_NS = 60 * NS_PER_S
LIST_LAG_NS = NS_PER_S  # A working watch delivers the start of an endpoint within this time.
MAX_STARTS = 8192  # A longer endpoint list raises this limit.


class StartTimes:
    """Times at which the endpoints' slow starts begin, on the scale of `Clock`.

    An endpoint list reports when an endpoint started, in the Unix time of another machine, and either wall
    clock may be wrong by an hour. Therefore the age of a start is measured from the time at which this
    process first received it. The age that it had by then is computed from the reported Unix time, and is
    used only if it is plausible:

    - On a working watch, a new start in an update, or in a complete list that follows an earlier list, is at
      most `LIST_LAG_NS` old; an older one would have been in the last response. In four cases the maximum age
      is the time since the last response plus `LIST_LAG_NS`: after a failure of the watch, in the response to
      a call that was just made (the watch may pause between two calls), in a list from another process, and
      in a request to the admin API. An age that is negative or above the maximum shows that the clocks
      differ: the reported time is ignored, and the slow start begins now. Whatever the clocks show, the age
      that is used differs from the true age by at most the maximum age, so that an endpoint is neither
      overloaded nor kept in slow start for much longer than usual.
    - A first list follows no response: a cached list, the first response after it, or the first complete list
      of another discovery. Any age is plausible there, since most of its endpoints started long ago, and with
      all of them in slow start a restarted sidecar would have no capacity. Only for a start in this machine's
      future the slow start begins now. If most starts of the list are in the future, this machine's clock is
      behind, and ages are measured from the newest start. If the clock was too far ahead before the process
      began, a recent start in a first list looks like an old one, and can't be recognized here. Starts that
      are received later are not affected.

    A start that was received before keeps its time, even if the endpoint left the list meanwhile.

    Args:
        max_starts: Number of starts that are remembered; a longer list raises it.

    Attributes:
        known: Starts by endpoint name, each as reported and on the scale of `Clock`, in nanoseconds.
        last_response_ns: Time of the last response in nanoseconds; None before the first.
        source: Name of the discovery that sent the last response.
        live: Whether the watch has not failed since the last response.
        implausible_logged_ns: Time in nanoseconds at which an implausible start was last logged; None before.
    """

    def __init__(self, max_starts: int = MAX_STARTS) -> None:
        self.max_starts = max_starts
        self.known: dict[str, tuple[int, int]] = {}
        self.last_response_ns: int | None = None
        self.source = ""
        self.live = False
        self.implausible_logged_ns: int | None = None

    def set_slow_start_times(
        self,
        now_ns: int,
        kind: ListKind,
        source: str,
        entries: Iterable[tuple[str, Endpoint]],
        called_ns: int = 0,
    ) -> None:
        """Set `slow_start_began_ns` of the endpoints of a list or an update.

        Args:
            now_ns: Current time on the scale of `Clock`, in nanoseconds.
            kind: Kind of the list.
            source: Name of the discovery that sent the list.
            entries: Endpoints with their names, which are the same in every list.
            called_ns: Time of the watch's latest call on the scale of `Clock`, in nanoseconds; 0 without one.
        """
        is_response = kind in (ListKind.DELTA, ListKind.FULL)
        entries = list(entries)
        max_age_ns = self._max_age_ns(now_ns, is_response, source, called_ns)
        behind_ns = _estimate_clock_lag_ns(now_ns, entries) if max_age_ns is None else 0
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
            del self.known[next(iter(self.known))]  # The least recently received one.
        if is_response:
            self.last_response_ns, self.source, self.live = now_ns, source, True

    def watch_failed(self) -> None:
        """Record that the watch failed: the next received start may be as old as the last response."""
        self.live = False

    def _max_age_ns(self, now_ns: int, is_response: bool, source: str, called_ns: int) -> int | None:
        """Return the maximum plausible age of a new start in nanoseconds; None if every age is plausible."""
        if self.last_response_ns is None or (is_response and source != self.source):
            return None
        if is_response and self.live and now_ns - called_ns >= LIST_LAG_NS:
            return LIST_LAG_NS
        return now_ns - self.last_response_ns + LIST_LAG_NS

    def _slow_start_ns(
        self, now_ns: int, behind_ns: int, name: str, started_ns: int, max_age_ns: int | None
    ) -> int:
        """Return the time at which the slow start of an endpoint begins, and store it.

        Args:
            now_ns: Current time on the scale of `Clock`, in nanoseconds.
            behind_ns: Time by which this machine's clock is behind, in nanoseconds.
            name: Name of the endpoint.
            started_ns: Start as the list reports it, in nanoseconds of Unix time.
            max_age_ns: Maximum plausible age of a new start in nanoseconds; None if every age is plausible.
        """
        known = self.known.pop(name, None)
        if known is None or known[0] != started_ns:
            age_ns = now_ns + behind_ns - started_ns
            plausible = age_ns >= 0 and (max_age_ns is None or age_ns <= max_age_ns)
            known = (started_ns, now_ns - age_ns if plausible else now_ns)
            if not plausible:
                self._log_implausible(now_ns, name, age_ns, max_age_ns)
        self.known[name] = known
        return known[1]

    def _log_implausible(self, now_ns: int, name: str, age_ns: int, max_age_ns: int | None) -> None:
        """Log an implausible start, at a limited rate: with a wrong clock every start is implausible."""
        if -LIST_LAG_NS < age_ns < 0:
            return  # Synchronized clocks may differ by this much.
        if (
            self.implausible_logged_ns is not None
            and now_ns - self.implausible_logged_ns < MIN_IMPLAUSIBLE_LOG_INTERVAL_NS
        ):
            return
        self.implausible_logged_ns = now_ns
        max_age_text = "any age" if max_age_ns is None else f"{max_age_ns / NS_PER_S:.1f} s"
        log.warning(
            "since_ms of %s makes it %.3f s old, expected 0 to %s: the clocks disagree, or the list is late; "
            "its slow start counts from now",
            name,
            age_ns / NS_PER_S,
            max_age_text,
        )


def _estimate_clock_lag_ns(now_ns: int, entries: list[tuple[str, Endpoint]]) -> int:
    """Return the time by which this machine's clock is behind, in nanoseconds, estimated from a first list.

    The clock counts as behind if most starts of the list are in its future; otherwise the result is 0. For
    example, a sidecar is restarted on a machine whose clock is an hour behind, and all endpoints started
    within that hour: without the correction all would be in slow start, and the sidecar without capacity.
    """
    ahead = [endpoint.started_ns - now_ns for _, endpoint in entries if endpoint.started_ns > now_ns]
    return max(ahead) if 2 * len(ahead) > len(entries) else 0
