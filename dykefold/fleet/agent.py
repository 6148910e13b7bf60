"""Runs the membership protocol in an event loop: timers, datagrams and log lines."""

from __future__ import annotations

import asyncio
import logging
import random
from collections import deque
from collections.abc import Sequence
from typing import Protocol

from ..net.peers import Address, PeerChannel
from ..system import SYSTEM, System
from .balancer_link import BalancerLink, Pool
from .datagrams import is_membership_datagram
from .endpoint_list_sync import EndpointListSync
from .member_state import State
from .membership import LocalMember, MembershipChange
from .protocol import MembershipProtocol
from .rate_limits import NS_PER_S, RateLimits, TokenBucket

log = logging.getLogger("dykefold.fleet")

MAX_LOG_LINES_PER_S = 5.0  # For membership changes; the burst is the same.
MAX_LATEST_CHANGES = 64  # Kept for the admin API.


class Node(Protocol):
    """The process that is a member.

    Attributes:
        draining: Whether the graceful shutdown has begun.
        handing_over: Whether a newer process accepts clients in its place.
    """

    draining: bool
    handing_over: bool


class FleetAgent:
    """Membership agent of one process, until the process stops or hands over to a newer one.

    Args:
        loop: Event loop of the timers.
        node: Process that is the member.
        peers: Open datagram channel; its datagrams are passed to this agent from the constructor on.
        system: Source of the clock.

    Attributes:
        protocol: Membership protocol, free of I/O.
        membership: Members as this member knows them.
        link: Exchange of observations with the balancer; None before `serve`.
        polls: Coordination of polls of discovery with the fleet; None if that is off.
        latest_changes: Latest changes of the membership, for operators.
        closed: Whether the agent has stopped, or a newer process is the member in its place.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        node: Node,
        peers: PeerChannel,
        protocol: MembershipProtocol,
        system: System = SYSTEM,
    ) -> None:
        self.loop, self.node, self.peers, self.system = loop, node, peers, system
        self.protocol = protocol
        self.membership = protocol.membership
        self.link: BalancerLink | None = None
        self.polls: EndpointListSync | None = None
        self.latest_changes: deque[MembershipChange] = deque(maxlen=MAX_LATEST_CHANGES)
        self.closed = False
        self._log_limit = TokenBucket(MAX_LOG_LINES_PER_S, MAX_LOG_LINES_PER_S, system.monotonic_ns())
        self._unlogged_changes = 0
        self._handle_balancer_message = peers.on_datagram
        peers.on_datagram = self.on_datagram
        self._timer = loop.call_later(0.0, self._tick)

    def serve(self, pool: Pool) -> None:
        """Start the exchange of observations between a pool's balancer and the fleet."""
        self.link = BalancerLink(self.loop, self.membership, pool, self.membership.rng, self.system)
        self.link.polls = self.polls

    def coordinate_polls(self, polls: EndpointListSync) -> None:
        """Start to coordinate polls of discovery by the membership."""
        self.polls = polls
        polls.join(self.membership)
        if self.link is not None:
            self.link.polls = polls

    def on_datagram(self, sender: int, data: bytes) -> None:
        """Handle a datagram of the protocol, or pass a balancer's message to the pool."""
        now_ns = self.system.monotonic_ns()
        if is_membership_datagram(data):
            self.protocol.receive(now_ns, sender, data)
            self._flush()
        else:
            self.membership.on_legacy_message(now_ns, sender)
            self._handle_balancer_message(sender, data)

    def _tick(self) -> None:
        if self.closed:
            return
        if self.node.handing_over:
            self._hand_over()
            return
        now_ns = self.system.monotonic_ns()
        if self.node.draining and self.membership.own_status is State.ALIVE:
            self.protocol.leave(now_ns, last=False)
        if self.link is not None:
            self.link.tick(now_ns)
        due_ns = self.protocol.tick(now_ns)
        self._flush()
        self._timer = self.loop.call_later((due_ns - now_ns) / NS_PER_S, self._tick)

    def _hand_over(self) -> None:
        """Stop, as two processes at one address would each receive only part of the member's datagrams."""
        log.info("membership is kept by a newer process from now on")
        self.closed = True
        if self.link is not None:
            self.link.finish()
        if self.peers.transport is not None:
            self.peers.transport.close()

    def renumber(self, addresses: Sequence[Address], own_number: int) -> None:
        """Apply a changed address list; a list without this member changes nothing."""
        if not 0 <= own_number < len(addresses):
            log.warning(
                "membership keeps its addresses: member %d is not among %d peers", own_number, len(addresses)
            )
            return
        self.protocol.renumber(self.system.monotonic_ns(), addresses, own_number)
        if self.link is not None:
            self.link.renumber()
        self._flush()

    def close(self) -> None:
        """Stop, and announce to other members that this member has left."""
        self._timer.cancel()
        if self.link is not None:
            self.link.close()
        if not self.closed:
            self.protocol.leave(self.system.monotonic_ns(), last=True)
            self.closed = True
            self._flush()

    def _flush(self) -> None:
        for peer, data in self.protocol.take_datagrams():
            self.peers.send(data, peer)
        changes = self.membership.take_changes()
        for change in changes:
            self._record_change(change)
        has_new_records = self.membership.take_new_records()
        if has_new_records and self.polls is not None:
            self.polls.on_new_records()
        if (changes or has_new_records) and self.link is not None:
            self.link.schedule_report()

    def _record_change(self, change: MembershipChange) -> None:
        self.latest_changes.append(change)
        if not self._log_limit.take(change.at_ns):
            self._unlogged_changes += 1
            return
        skipped = (
            f" ({self._unlogged_changes} changes before it not logged)" if self._unlogged_changes else ""
        )
        self._unlogged_changes = 0
        log.info("%s%s", describe(change), skipped)


def start_protocol(
    local: LocalMember, datagram_price: float, seed: int, system: System = SYSTEM
) -> MembershipProtocol:
    """Create the protocol of a member, with an incarnation from the wall clock.

    Args:
        local: Number, zone and address list of this member.
        datagram_price: Price of a datagram, as in the settings.
        seed: Seed of the random generator.
        system: Source of the clock.
    """
    wall_ms = system.time_ns() // 1_000_000
    limits = RateLimits.by_price(datagram_price)
    return MembershipProtocol(local, wall_ms, limits, random.Random(seed), system.monotonic_ns())


def describe(change: MembershipChange) -> str:
    """Return a log line that describes a change."""
    return (
        f"member {change.member} is {change.after.name.lower()}, was {change.before.name.lower()}: "
        f"{change.cause} (incarnation {change.incarnation})"
    )
