"""Exchange of observations between a pool's balancer and the membership."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from typing import Protocol

from ..balancer.events import Event
from ..net.discovery.client import DiscoveryClient
from ..net.discovery.codec import NameTable
from ..system import System
from . import peer_observations
from .membership import Membership
from .rate_limits import NS_PER_S, RESTART_NS
from .subsetting import EndpointRanking

MAX_ANNOUNCE_DELAY_S = 4.0  # For a new list version; not announced if another member reports it first.
LATENCY_REPORT_INTERVAL_NS = 10 * NS_PER_S
EVENT_DELAY_S = 0.5  # Membership changes within this time are merged into one event for the balancer.


class Pool(Protocol):
    """The pool whose balancer receives membership events.

    Attributes:
        names: Table of endpoint numbers by name.
        version: Version of the endpoint list.
        discovery: Discovery client; None for a static endpoint list.
        on_health_hint: Callback with an endpoint's number and whether the endpoint answers.
    """

    names: NameTable
    version: int
    discovery: DiscoveryClient | None
    on_health_hint: Callable[[int, bool], None]

    def post(self, event: Event) -> None:
        """Pass an event to the balancer."""
        ...

    def endpoint_numbers(self) -> dict[str, int]:
        """Return the numbers of the balancer's endpoints, by name."""
        ...

    def class_numbers(self) -> dict[str, int]:
        """Return the numbers of the balancer's request classes, by name."""
        ...

    def typical_latencies(self) -> dict[str, float]:
        """Return typical latencies in nanoseconds by class, for classes with enough samples."""
        ...


class EndpointListFollower(Protocol):
    """Coordinates polls of discovery with the fleet (`EndpointListSync`)."""

    def update_fleet(self) -> None:
        """Apply a changed address list."""
        ...


class BalancerLink:
    """Publisher of the balancer's observations, and source of its membership events.

    Args:
        loop: Event loop of the timers.
        membership: Membership as this member knows it.
        rng: Random generator that spreads announcements over time.
        system: Source of the clock.

    Attributes:
        pool: Pool of the balancer.
        polls: Coordination of polls of discovery with the fleet; None if that is off.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        membership: Membership,
        pool: Pool,
        rng: random.Random,
        system: System,
    ) -> None:
        """Start to publish the balancer's health hints on endpoints."""
        self.loop, self.membership, self.pool = loop, membership, pool
        self.rng, self.system = rng, system
        self.polls: EndpointListFollower | None = None
        self._ranking = EndpointRanking(membership.own_number)
        self._next_latencies_ns = system.monotonic_ns()
        self._seen_list = (0, 0)  # next endpoint number, and version of the list
        self._report_timer: asyncio.TimerHandle | None = None
        self._announcement_timer: asyncio.TimerHandle | None = None
        self._recount_timer: asyncio.TimerHandle | None = None
        self.closed = False
        pool.on_health_hint = self._on_health_hint

    def renumber(self) -> None:
        """Apply a changed address list."""
        self._ranking = EndpointRanking(self.membership.own_number)

    def tick(self, now_ns: int) -> None:
        """Publish typical latencies and a changed endpoint list."""
        if now_ns >= self._next_latencies_ns:
            self._next_latencies_ns = now_ns + LATENCY_REPORT_INTERVAL_NS
            latencies = self.pool.typical_latencies()
            peer_observations.publish_typical_latencies(self.membership, now_ns, latencies)
        current_list = (self.pool.names.next_endpoint, self.pool.version)
        if current_list == self._seen_list:
            return
        self._seen_list = current_list
        self.schedule_report()
        if self._announcement_timer is None:
            # With random delays the first member announces the version, and most others need not.
            wait_s = self.rng.uniform(0, MAX_ANNOUNCE_DELAY_S)
            self._announcement_timer = self.loop.call_later(wait_s, self._announce_list)

    def schedule_report(self) -> None:
        """Schedule one event for the balancer for all changes within `EVENT_DELAY_S`."""
        if self._report_timer is None and not self.closed:
            self._report_timer = self.loop.call_later(EVENT_DELAY_S, self._post_event)

    def _post_event(self) -> None:
        self._report_timer = None
        now_ns = self.system.monotonic_ns()
        if not self.membership.is_settled(now_ns):
            self.schedule_report()  # the balancer would take the incomplete membership for the entire fleet
            return
        if self.polls is not None:
            self.polls.update_fleet()
        endpoints, classes = self.pool.endpoint_numbers(), self.pool.class_numbers()
        self.pool.post(
            peer_observations.membership_event(self.membership, now_ns, endpoints, classes, self._ranking)
        )
        if self.membership.departed_ns and self._recount_timer is None:
            self._recount_timer = self.loop.call_later(RESTART_NS / NS_PER_S, self._recount_members)

    def _recount_members(self) -> None:
        """Update the balancer's member count after departed members have had time to restart."""
        self._recount_timer = None
        self.schedule_report()

    def _announce_list(self) -> None:
        self._announcement_timer = None
        if self.pool.discovery is not None and not self.closed:
            now_ns = self.system.monotonic_ns()
            peer_observations.announce_list_version(self.membership, now_ns, self.pool.version)

    def _on_health_hint(self, endpoint: int, answers: bool) -> None:
        for name, number in self.pool.names.endpoints.items():
            if number == endpoint:
                now_ns = self.system.monotonic_ns()
                peer_observations.report_endpoint(self.membership, now_ns, name, answers)

    def finish(self) -> None:
        """Schedule no further reports; a scheduled one is still sent."""
        self.closed = True

    def close(self) -> None:
        """Cancel all reports."""
        self.finish()
        for timer in (self._report_timer, self._announcement_timer, self._recount_timer):
            if timer is not None:
                timer.cancel()
