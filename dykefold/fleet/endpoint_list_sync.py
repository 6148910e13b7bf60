"""Coordination of polls of discovery with the fleet: connects discovery client, schedule and membership."""

from __future__ import annotations

import asyncio
import logging
import random

from ..net.discovery.client import DiscoveryClient
from ..system import SYSTEM, System
from . import peer_observations
from .membership import Membership
from .poll_schedule import CoordinatedPollSchedule, PollSettings
from .rate_limits import NS_PER_S

log = logging.getLogger("dykefold.fleet")


class EndpointListSync:
    """Poll schedule of one discovery client, in use from the start of the process.

    Args:
        discovery: Discovery client.
        settings: Settings of the polls. The sidecar's position is used until the membership is known.
        seed: Seed of the random offset within a slot.
        system: Source of the clock.
    """

    def __init__(
        self, discovery: DiscoveryClient, settings: PollSettings, seed: int, system: System = SYSTEM
    ) -> None:
        """Start to schedule the client's polls."""
        self.discovery, self.system = discovery, system
        self.schedule = CoordinatedPollSchedule(settings, random.Random(seed), system.monotonic_ns())
        self.membership: Membership | None = None
        self._extra_poll: asyncio.TimerHandle | None = None  # poll caused by records of other members
        self._polling = False
        self._opens_watch = True  # whether the next poll opens a watch
        discovery.schedule = self

    @property
    def version(self) -> int:
        """Version of this sidecar's endpoint list, as in records; 0 before the first list."""
        return (self.discovery.version or 0) % peer_observations.VERSION_MODULUS

    # Interface `PollSchedule` of the discovery client

    def watch_delay_s(self) -> float:
        """Return the seconds until a watch may be opened."""
        now_ns = self.system.monotonic_ns()
        self._opens_watch = True
        return (self.schedule.open_watch_ns(now_ns, self.version) - now_ns) / NS_PER_S

    def next_call_delay_s(self) -> float:
        """Return the seconds from an answer to the next poll of the watch."""
        now_ns = self.system.monotonic_ns()
        due_ns = self.schedule.continue_watch_ns(now_ns, self.version)
        self._opens_watch = due_ns > now_ns
        return (due_ns - now_ns) / NS_PER_S

    def on_poll(self) -> None:
        """Record the start of a poll."""
        self.schedule.on_poll(self.system.monotonic_ns(), self._opens_watch)
        self._polling = True
        self._cancel_extra_poll()

    def on_answer(self) -> None:
        """Record that a poll was answered."""
        self._polling = False
        if self.schedule.on_answer(self.system.monotonic_ns()):
            self._announce()

    def on_failure(self) -> None:
        """Record that a poll failed."""
        self._polling = False
        if self.schedule.on_failure(self.system.monotonic_ns()):
            self._announce()

    def on_address_change(self) -> None:
        """Record that discovery has a new address."""
        now_ns = self.system.monotonic_ns()
        self._cancel_extra_poll()
        self._polling = False
        self.schedule.on_address_change(now_ns)
        newest = self._newest_version(now_ns)
        if newest is not None:
            self.schedule.refute_version(newest)  # a version of the former discovery service

    # Updates of the membership

    def join(self, membership: Membership) -> None:
        """Start to use a membership."""
        self.membership = membership

    def update_fleet(self) -> None:
        """Apply a changed address list."""
        if self.membership is not None:
            pollers = self.membership.potential_pollers(self.system.monotonic_ns())
            self.schedule.set_fleet(pollers.index(self.membership.own_number), len(pollers))

    def change_settings(self, max_poll_interval_ns: int) -> None:
        """Change the maximum time between polls, in nanoseconds."""
        self.schedule.settings.max_poll_interval_ns = max_poll_interval_ns

    def on_new_records(self) -> None:
        """Schedule a poll if discovery answers other members again, or one has a newer endpoint list."""
        membership, now_ns = self.membership, self.system.monotonic_ns()
        if membership is None or self.discovery.closed:
            return
        reports = peer_observations.poll_reports(membership, now_ns)
        self.schedule.set_peer_spreads(reports.spreads_ns)
        if self._extra_poll is not None:
            return
        due_ns = self._extra_poll_ns(now_ns, reports.last_answered_ns)
        if due_ns is not None:
            wait_s = (due_ns - now_ns) / NS_PER_S
            self._extra_poll = asyncio.get_running_loop().call_later(wait_s, self._poll_extra)

    def _extra_poll_ns(self, now_ns: int, last_answered_ns: int | None) -> int | None:
        failed_ns = self.schedule.failed_ns
        if failed_ns is not None and last_answered_ns is not None and last_answered_ns > failed_ns:
            return self.schedule.recovery_ns(now_ns, self.version)
        newest = self._newest_version(now_ns)
        if not self._polling or newest is None:
            return None
        return self.schedule.reopen_watch_ns(now_ns, self.version, newest)

    def _poll_extra(self) -> None:
        self._extra_poll = None
        newest = self._newest_version(self.system.monotonic_ns())
        if self.schedule.failed_ns is None:
            if newest is None or newest <= self.version:
                return  # a poll has brought the list meanwhile
            log.info(
                "endpoint list is behind the fleet's, polling again: version %d, newest %d",
                self.version,
                newest,
            )
        if newest is not None:
            self.schedule.refute_version(newest)
        self._opens_watch = True
        self.discovery.poll_now()

    def _cancel_extra_poll(self) -> None:
        if self._extra_poll is not None:
            self._extra_poll.cancel()
            self._extra_poll = None

    def _newest_version(self, now_ns: int) -> int | None:
        if self.membership is None:
            return None
        return peer_observations.newest_list_version(self.membership, now_ns)

    def _announce(self) -> None:
        if self.membership is not None:
            now_ns = self.system.monotonic_ns()
            spread_ns = self.schedule.spread_ns(now_ns)
            answered = self.schedule.failed_ns is None
            peer_observations.announce_poll_spread(self.membership, now_ns, spread_ns, answered)

    def close(self) -> None:
        """Cancel the poll that records of other members caused."""
        self._cancel_extra_poll()
