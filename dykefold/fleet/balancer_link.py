"""Reports from the membership to the balancer, and from the balancer to the fleet."""

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

MAX_ANNOUNCE_DELAY_S = 4.0  # Of a new list's version. The announcement is dropped if others come first.
LATENCY_REPORT_INTERVAL_NS = 10 * NS_PER_S
EVENT_DELAY_S = 0.5  # Changes of the fleet within this time become one event of the balancer.


class Pool(Protocol):
    """The pool whose balancer is informed of the fleet.

    Attributes:
        names: Numbers of endpoints by name.
        version: Version of the endpoint list.
        discovery: None where the list is fixed.
        on_health_hint: Called with an endpoint's number and whether it answers.
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
        """Return typical latencies in nanoseconds by class, for classes with enough answers."""
        ...


class EndpointListFollower(Protocol):
    """Coordinates polls of discovery with the fleet (`EndpointListSync`)."""

    def update_fleet(self) -> None:
        """Apply a changed address list."""
        ...


class BalancerLink:
    """Exchanges observations between a pool's balancer and the fleet.

    Args:
        loop: Event loop of the timers.
        membership: Membership as this member knows it.
        rng: Random generator that spreads announcements over time.
        system: Source of the clock.

    Attributes:
        pool: Pool of the balancer.
        polls: Coordinates polls of discovery with the fleet; None if that is off.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        membership: Membership,
        pool: Pool,
        rng: random.Random,
        system: System,
    ) -> None:
        """Begin to publish the balancer's hints on endpoints."""
        self.loop, self.membership, self.pool = loop, membership, pool
        self.rng, self.system = rng, system
        self.polls: EndpointListFollower | None = None
        self._ranking = EndpointRanking(membership.own_number)
        self._next_latencies_ns = system.monotonic_ns()
        self._known = (0, 0)  # endpoint numbers given out, and version of the list
        self._report: asyncio.TimerHandle | None = None
        self._announcement: asyncio.TimerHandle | None = None
        self._recount: asyncio.TimerHandle | None = None
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
        known = (self.pool.names.next_endpoint, self.pool.version)
        if known == self._known:
            return
        self._known = known
        self.report_soon()
        if self._announcement is None:
            # Most members wait longer than some other one, and then need not announce it themselves.
            wait_s = self.rng.uniform(0, MAX_ANNOUNCE_DELAY_S)
            self._announcement = self.loop.call_later(wait_s, self._announce_list)

    def report_soon(self) -> None:
        """Schedule an event for the balancer that gathers the changes of `EVENT_DELAY_S`."""
        if self._report is None and not self.closed:
            self._report = self.loop.call_later(EVENT_DELAY_S, self._post_event)

    def _post_event(self) -> None:
        self._report = None
        now_ns = self.system.monotonic_ns()
        if not self.membership.is_settled(now_ns):
            self.report_soon()  # what is known of the fleet just now would be taken for all of it
            return
        if self.polls is not None:
            self.polls.update_fleet()
        endpoints, classes = self.pool.endpoint_numbers(), self.pool.class_numbers()
        self.pool.post(
            peer_observations.membership_event(self.membership, now_ns, endpoints, classes, self._ranking)
        )
        if self.membership.departed_ns and self._recount is None:
            self._recount = self.loop.call_later(RESTART_NS / NS_PER_S, self._recount_members)

    def _recount_members(self) -> None:
        """Inform the balancer again when departed members have had time to restart."""
        self._recount = None
        self.report_soon()

    def _announce_list(self) -> None:
        self._announcement = None
        if self.pool.discovery is not None and not self.closed:
            now_ns = self.system.monotonic_ns()
            peer_observations.announce_list_version(self.membership, now_ns, self.pool.version)

    def _on_health_hint(self, endpoint: int, answers: bool) -> None:
        for name, number in self.pool.names.endpoints.items():
            if number == endpoint:
                now_ns = self.system.monotonic_ns()
                peer_observations.report_endpoint(self.membership, now_ns, name, answers)

    def finish(self) -> None:
        """Schedule no further reports; one that is scheduled is still made."""
        self.closed = True

    def close(self) -> None:
        """Stop all reports."""
        self.finish()
        for timer in (self._report, self._announcement, self._recount):
            if timer is not None:
                timer.cancel()
