"""Poll schedule of a sidecar: spreads the fleet's polls at the rate that discovery can answer. No I/O.

A change of the endpoint list, a restart or an outage makes all sidecars poll at the same moment (thundering
herd). After each such event every sidecar therefore polls in its own slot of a spread, which is as long as
discovery needs for the polls of the fleet. The spread grows when polls fail (multiplicative decrease of the
rate, as in RFC 5681) and shrinks slowly. An outage is not an overload: while no member is answered, the
spread does not grow further.

The member's own polls alone satisfy the rules of the protocol. Records of other members can only cause polls,
or make them less frequent, within `MAX_SPREAD_FRACTION`.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass

from .hashing import hash_pair
from .rate_limits import NS_PER_S

MAX_SPREAD_FRACTION = 0.4  # Of the maximum poll interval; leaves time to retry a failed poll.
MAX_ADDRESS_CHANGE_SPREAD_NS = (
    2 * NS_PER_S
)  # After a new configuration, whose list applies 4 s later (STANDING).
MAX_FAILED_SPREAD_NS = (
    2 * NS_PER_S
)  # after a failure: a change counts as notified after 6 s, and a poll takes 3.5 s
WATCH_PAUSE_NS = 150_000_000  # The next poll of a watch must follow an answer within 200 ms (PROTOCOL).
BACKOFF_FACTOR = 2.0  # Per failure, if any member was answered since the previous one.
MAX_BACKOFF = 64.0
BACKOFF_HALF_LIFE_NS = 5 * NS_PER_S  # While polls do not fail.
QUEUED_ANSWER_NS = 100_000_000  # A slower first answer of a watch was queued at discovery.
MAX_QUEUED_ANSWER_NS = 2 * NS_PER_S  # A slower answer more likely waited for a change of the list.
STALLED_POLL_NS = (
    2 * NS_PER_S
)  # A poll is stalled if others have had a newer list for this time (rules: 6 s).
MAX_TOLERATED_WRONG_REPORTS = 2  # Number of members with wrong reports that are tolerated.


@dataclass(slots=True)
class PollSettings:
    """Settings of a poll schedule.

    Attributes:
        max_poll_interval_ns: Maximum nanoseconds between polls by the rules.
        calls_per_s: Assumed capacity of discovery in polls per second, until overload is observed.
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
        rng: Random generator of the offset within a slot.
        now_ns: Current monotonic time in nanoseconds.

    Attributes:
        settings: Settings, which the driver changes as the fleet changes.
        failed_ns: Monotonic time in nanoseconds of the latest failed poll; None while polls are answered.
    """

    def __init__(self, settings: PollSettings, rng: random.Random, now_ns: int) -> None:
        """Start without any poll, as at the start of a process."""
        self.settings, self.rng = settings, rng
        self.failed_ns: int | None = None
        self._backoff = 1.0
        self._backoff_ns = now_ns  # time of the latest update of the backoff
        self._reported_spread_ns = 0
        self._answered_since_failure = True  # by any member
        self._opens_watch = False  # whether the latest poll opened a watch
        self._spread_start_ns = now_ns  # start of the process, latest failure or change of address
        self._polled_ns: int | None = None
        self._address_changed = False
        self._refuted_version = -1  # greatest version reported by others that discovery does not have

    # Events

    def set_fleet(self, position: int, fleet_size: int) -> None:
        """Apply a changed address list."""
        self.settings.position, self.settings.fleet_size = position, fleet_size

    def set_peer_spreads(self, spreads_ns: Sequence[int]) -> None:
        """Apply the spreads of other members in nanoseconds: the third longest, as two may be wrong."""
        enough = len(spreads_ns) > MAX_TOLERATED_WRONG_REPORTS
        self._reported_spread_ns = (
            sorted(spreads_ns, reverse=True)[MAX_TOLERATED_WRONG_REPORTS] if enough else 0
        )

    def on_poll(self, now_ns: int, opens_watch: bool) -> None:
        """Record the start of a poll.

        Args:
            now_ns: Current monotonic time in nanoseconds.
            opens_watch: Whether the poll opens a watch; otherwise it continues one.
        """
        self._polled_ns, self._opens_watch = now_ns, opens_watch

    def on_answer(self, now_ns: int) -> bool:
        """Record an answered poll; return whether other members should be informed."""
        should_announce, self.failed_ns = self.failed_ns is not None, None
        self._answered_since_failure, self._address_changed = True, False
        if self._opens_watch and self._was_queued(now_ns):
            self._increase_backoff(now_ns)
            should_announce = True
        self._opens_watch = False
        return should_announce

    def _was_queued(self, now_ns: int) -> bool:
        return (
            self._polled_ns is not None and QUEUED_ANSWER_NS < now_ns - self._polled_ns < MAX_QUEUED_ANSWER_NS
        )

    def on_failure(self, now_ns: int) -> bool:
        """Record a failed poll; return whether the spread has become longer."""
        self._decay_backoff(now_ns)
        self._spread_start_ns = self.failed_ns = now_ns
        if not self._answered_since_failure:
            return False
        self._answered_since_failure = False
        self._increase_backoff(now_ns)
        return True

    def on_address_change(self, now_ns: int) -> None:
        """Record a new address of discovery, and reset what is known of the service."""
        self._backoff, self._reported_spread_ns, self._refuted_version = 1.0, 0, -1
        self._spread_start_ns, self.failed_ns = now_ns, None
        self._answered_since_failure = self._address_changed = True

    def refute_version(self, version: int) -> None:
        """Record that discovery does not have this version, so that it causes no further poll."""
        self._refuted_version = max(self._refuted_version, version)

    # Due times

    def spread_ns(self, now_ns: int) -> int:
        """Return the current length of the spread in nanoseconds."""
        self._decay_backoff(now_ns)
        max_ns = int(self.settings.max_poll_interval_ns * MAX_SPREAD_FRACTION)
        if self._address_changed:
            max_ns = min(max_ns, MAX_ADDRESS_CHANGE_SPREAD_NS)
        if self.failed_ns is not None:
            max_ns = min(max_ns, MAX_FAILED_SPREAD_NS)
        fleet_s = max(self.settings.fleet_size, 1) / self.settings.calls_per_s
        return min(max(int(fleet_s * self._backoff * NS_PER_S), self._reported_spread_ns), max_ns)

    def _decay_backoff(self, now_ns: int) -> None:
        if self._backoff > 1.0 and self.failed_ns is None:
            half_lives = (now_ns - self._backoff_ns) / BACKOFF_HALF_LIFE_NS
            self._backoff = max(self._backoff * 0.5**half_lives, 1.0)
        self._backoff_ns = now_ns

    def _increase_backoff(self, now_ns: int) -> None:
        self._decay_backoff(now_ns)
        self._backoff = min(self._backoff * BACKOFF_FACTOR, MAX_BACKOFF)

    def _slot_offset(self, version: int) -> float:
        """Return this sidecar's offset in a spread, from 0 to below 1; it changes with the list version."""
        size = max(self.settings.fleet_size, 1)
        position = (self.settings.position + hash_pair(0, version + 1) % size) % size
        return (position + self.rng.random()) / size

    def open_watch_ns(self, now_ns: int, version: int) -> int:
        """Return the earliest time at which a watch may be opened.

        Args:
            now_ns: Current monotonic time in nanoseconds.
            version: Version of this sidecar's endpoint list; 0 if there is none.
        """
        # Random after a failure: with their slots the same members would be rejected together again.
        slot_offset = self.rng.random() if self.failed_ns is not None else self._slot_offset(version)
        return max(now_ns, self._spread_start_ns + int(self.spread_ns(now_ns) * slot_offset))

    def continue_watch_ns(self, now_ns: int, version: int) -> int:
        """Return the time of the next poll of a watch after an answer.

        If the spread is longer than the allowed pause of a watch, the watch is abandoned, and the list is
        polled at most once per spread: a series of changes costs no more polls than one change, and a member
        that has just been notified polls after those that have not.
        """
        spread_ns = self.spread_ns(now_ns)
        if spread_ns <= WATCH_PAUSE_NS:
            return now_ns
        slot_ns = now_ns + int(spread_ns * self._slot_offset(version))
        if self._polled_ns is None:
            return slot_ns
        return max(slot_ns, min(self._polled_ns + spread_ns, now_ns + spread_ns))

    def recovery_ns(self, now_ns: int, version: int) -> int | None:
        """Return when to poll as others are answered again after an outage; None without a failed poll."""
        if self.failed_ns is None:
            return None
        self._answered_since_failure = True
        self._spread_start_ns = now_ns
        return now_ns + int(self.spread_ns(now_ns) * self._slot_offset(version))

    def reopen_watch_ns(self, now_ns: int, version: int, newest: int) -> int | None:
        """Return when to replace a pending poll that is unanswered although other members have a newer list.

        Before the timeout of its wait, a stalled watch can't be detected in any other way. A reported version
        that discovery does not have causes only one poll.

        Args:
            now_ns: Current monotonic time in nanoseconds.
            version: Version of this sidecar's endpoint list.
            newest: Newest version that others report.

        Returns:
            None if the poll need not be replaced.
        """
        if newest <= max(version, self._refuted_version) or self.failed_ns is not None:
            return None
        return now_ns + STALLED_POLL_NS + int(self.spread_ns(now_ns) * self._slot_offset(newest))
