"""The poll schedule of a sidecar: the polls of a fleet are spread over the service's capacity. No I/O.

What each sidecar does is harmless, the sum is not: a change of the endpoint list, a restart, or an outage
ends the wait of all at one moment. So whenever all may want to poll at once, each has a slot of its own in a
spread as long as the fleet's polls take. The spread grows where polls fail (multiplicative decrease of the
rate, as in RFC 5681) and shrinks slowly. An outage is no overload: while no member is answered the spread
grows no further.

The rules of the protocol hold by the own polls alone. What others report is only ever a reason to poll, or to
poll less often, and never beyond `MAX_SPREAD_FRACTION`.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from .hashing import hash_pair
from .rate_limits import NS_PER_S

MAX_SPREAD_FRACTION = 0.4  # Of the maximum poll interval, so that a failed poll leaves time for another.
MAX_MOVED_SPREAD_NS = 2 * NS_PER_S  # After a new configuration, whose list is binding 4 s later (STANDING).
MAX_FAILED_SPREAD_NS = (
    2 * NS_PER_S
)  # after a failure: a change counts as notified 6 s later, a poll takes 3.5 s
WATCH_PAUSE_NS = 150_000_000  # A watch continues if the next poll follows an answer within 200 ms (PROTOCOL).
BACKOFF_FACTOR = 2.0  # Of the spread after a failure, if the fleet had an answer since the last one.
MAX_BACKOFF = 64.0
BACKOFF_HALF_LIFE_NS = 5 * NS_PER_S  # Without a failure.
QUEUED_ANSWER_NS = 100_000_000  # A first answer of a watch that takes longer was queued at discovery.
MAX_QUEUED_ANSWER_NS = 2 * NS_PER_S  # Beyond this discovery rather waited for a change.
SILENT_POLL_NS = 2 * NS_PER_S  # A poll is silent if others have had a newer list for this time (rules: 6 s).
MAX_WRONG_REPORTS = 2  # Number of members whose wrong reports have no effect.


@dataclass(slots=True)
class PollSettings:
    """Settings of a poll schedule.

    Attributes:
        max_poll_interval_ns: Nanoseconds within which the rules require a poll.
        calls_per_s: Assumed number of polls per second that discovery can answer, until its rate is observed.
        position: Position of this sidecar among those that poll, from 0.
        fleet_size: Number of sidecars that poll.
    """

    max_poll_interval_ns: int
    calls_per_s: float
    position: int
    fleet_size: int


class CoordinatedPollSchedule:
    """The poll schedule of one sidecar.

    Args:
        rng: Random generator of the position within a slot.
        now_ns: Current monotonic time in nanoseconds.

    Attributes:
        settings: Settings, which the driver changes as the fleet changes.
        failed_ns: Monotonic time in nanoseconds of the latest failed poll; None while polls are answered.
    """

    def __init__(self, settings: PollSettings, rng: random.Random, now_ns: int) -> None:
        """Start as at the start of a process."""
        self.settings, self.rng = settings, rng
        self.failed_ns: int | None = None
        self._backoff = 1.0
        self._backoff_ns = now_ns  # when the backoff was up to date
        self._peer_spread_ns = 0
        self._answered_since_failure = True  # this member or another one
        self._opens_watch = False  # the latest poll did
        self._slots_from_ns = now_ns  # the start, the latest failure or move
        self._polled_ns: int | None = None
        self._moved = False
        self._refuted_version = -1  # one that others reported, and the service did not have

    # What happened

    def set_fleet(self, position: int, fleet_size: int) -> None:
        """Apply a changed address list."""
        self.settings.position, self.settings.fleet_size = position, fleet_size

    def set_peer_spreads(self, spreads_ns: Sequence[int]) -> None:
        """Apply reported spreads in nanoseconds: the third longest is used, as two may be wrong."""
        enough = len(spreads_ns) > MAX_WRONG_REPORTS
        self._peer_spread_ns = sorted(spreads_ns, reverse=True)[MAX_WRONG_REPORTS] if enough else 0

    def on_poll(self, now_ns: int, opens_watch: bool) -> None:
        """Record that a poll begins.

        Args:
            now_ns: Current monotonic time in nanoseconds.
            opens_watch: Whether the poll opens a watch; otherwise it continues one.
        """
        self._polled_ns, self._opens_watch = now_ns, opens_watch

    def on_answer(self, now_ns: int) -> bool:
        """Record an answered poll; return whether other members should be informed."""
        is_newer, self.failed_ns = self.failed_ns is not None, None
        self._answered_since_failure, self._moved = True, False
        if self._opens_watch and self._was_queued(now_ns):
            self._increase_backoff(now_ns)
            is_newer = True
        self._opens_watch = False
        return is_newer

    def _was_queued(self, now_ns: int) -> bool:
        return (
            self._polled_ns is not None and QUEUED_ANSWER_NS < now_ns - self._polled_ns < MAX_QUEUED_ANSWER_NS
        )

    def on_failure(self, now_ns: int) -> bool:
        """Record a failed poll; return whether the spread has become longer."""
        self._decay_backoff(now_ns)
        self._slots_from_ns = self.failed_ns = now_ns
        if not self._answered_since_failure:
            return False
        self._answered_since_failure = False
        self._increase_backoff(now_ns)
        return True

    def on_move(self, now_ns: int) -> None:
        """Record that discovery has moved; nothing is known of the new service."""
        self._backoff, self._peer_spread_ns, self._refuted_version = 1.0, 0, -1
        self._slots_from_ns, self.failed_ns = now_ns, None
        self._answered_since_failure = self._moved = True

    def refute_version(self, version: int) -> None:
        """Record that the service does not have this version, so that it no longer causes a poll."""
        self._refuted_version = max(self._refuted_version, version)

    # What follows

    def spread_ns(self, now_ns: int) -> int:
        """Return the nanoseconds over which the polls of all members are spread now."""
        self._decay_backoff(now_ns)
        max_ns = int(self.settings.max_poll_interval_ns * MAX_SPREAD_FRACTION)
        if self._moved:
            max_ns = min(max_ns, MAX_MOVED_SPREAD_NS)
        if self.failed_ns is not None:
            max_ns = min(max_ns, MAX_FAILED_SPREAD_NS)
        fleet_s = max(self.settings.fleet_size, 1) / self.settings.calls_per_s
        return min(max(int(fleet_s * self._backoff * NS_PER_S), self._peer_spread_ns), max_ns)

    def _decay_backoff(self, now_ns: int) -> None:
        if self._backoff > 1.0 and self.failed_ns is None:
            half_lives = (now_ns - self._backoff_ns) / BACKOFF_HALF_LIFE_NS
            self._backoff = max(self._backoff * 0.5**half_lives, 1.0)
        self._backoff_ns = now_ns

    def _increase_backoff(self, now_ns: int) -> None:
        self._decay_backoff(now_ns)
        self._backoff = min(self._backoff * BACKOFF_FACTOR, MAX_BACKOFF)

    def _slot(self, version: int) -> float:
        """Return this sidecar's place in a spread, from 0 to below 1; it changes with the list version."""
        size = max(self.settings.fleet_size, 1)
        position = (self.settings.position + hash_pair(0, version + 1) % size) % size
        return (position + self.rng.random()) / size

    def open_watch_ns(self, now_ns: int, version: int) -> int:
        """Return the earliest time at which a watch may be opened.

        Args:
            now_ns: Current monotonic time in nanoseconds.
            version: Version of this sidecar's endpoint list; 0 without one.
        """
        # Members that were rejected together draw anew, or the same ones would meet again.
        place = self.rng.random() if self.failed_ns is not None else self._slot(version)
        return max(now_ns, self._slots_from_ns + int(self.spread_ns(now_ns) * place))

    def continue_watch_ns(self, now_ns: int, version: int) -> int:
        """Return when the next poll of a watch is due after an answer.

        Where a spread is longer than a watch may pause, the watch is given up, and the list polled once in a
        spread at most: many changes in a row cost no more polls than one, and a member that has just been
        notified goes behind those that have not.
        """
        spread_ns = self.spread_ns(now_ns)
        if spread_ns <= WATCH_PAUSE_NS:
            return now_ns
        slot_ns = now_ns + int(spread_ns * self._slot(version))
        if self._polled_ns is None:
            return slot_ns
        return max(slot_ns, min(self._polled_ns + spread_ns, now_ns + spread_ns))

    def recovery_ns(self, now_ns: int, version: int) -> int | None:
        """Return when to poll after an outage, as others are answered again; None without an outage."""
        if self.failed_ns is None:
            return None
        self._answered_since_failure = True
        self._slots_from_ns = now_ns
        return now_ns + int(self.spread_ns(now_ns) * self._slot(version))

    def reopen_watch_ns(self, now_ns: int, version: int, newest: int) -> int | None:
        """Return when to replace an open poll that brings no list although other members have a newer one.

        A watch that has fallen silent shows in no other way before its wait is over. A version that others
        report and that the service does not have is no reason twice.

        Args:
            now_ns: Current monotonic time in nanoseconds.
            version: Version of this sidecar's endpoint list.
            newest: Newest version that others report.

        Returns:
            None where there is no reason to.
        """
        if newest <= max(version, self._refuted_version) or self.failed_ns is not None:
            return None
        return now_ns + SILENT_POLL_NS + int(self.spread_ns(now_ns) * self._slot(newest))
