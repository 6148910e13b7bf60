"""The membership protocol (SWIM with Lifeguard): takes times and datagrams, returns datagrams. No I/O."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from .anti_entropy import AntiEntropy
from .datagrams import Datagram, Kind, decode
from .gossip import Gossiper
from .member_state import State, is_trusted
from .membership import Address, LocalMember, Membership
from .outbox import Outbox, OutgoingDatagram
from .probing import Prober
from .rate_limits import (
    GOSSIP_PERIODS,
    RECEIVE_LIMIT_PER_MEMBER_PER_S,
    RECEIVE_LIMIT_PER_S,
    RateLimits,
    TokenBucket,
)
from .record_transfer import RecordTransfer
from .traffic_counters import TrafficCounter

MAX_LEAVE_NOTICES = 6  # Members that are notified at once when this member leaves.
MIN_TICKS_PER_GOSSIP_ROUND = 4  # The minimum time between ticks is one gossip round divided by this.
ANY_FLEET = frozenset((Kind.PING, Kind.ACK, Kind.NACK))  # Accepted whatever the sender's address list.

Handler = Callable[[int, int, Datagram], None]  # arguments: current time, sender and datagram


class MembershipProtocol:
    """The membership protocol of one member.

    The driver calls `tick` at the time that the last call returned, passes datagrams to `receive`, and sends
    the result of `take_datagrams`.

    Args:
        local: Number, zone and address list of this member.
        incarnation: Incarnation of this process in milliseconds since 1970; raised when others know a greater
            one.
        limits: Intervals of the protocol, which depend on the size of the fleet.
        rng: Random generator of all choices.
        now_ns: Current monotonic time in nanoseconds.

    Attributes:
        membership: Members as this member knows them.
        outbox: Datagrams to be sent.
        prober: Failure detector.
        anti_entropy: Comparison of states with other members.
        gossiper: Sender of changes to other members.
        record_transfer: Transfer of records to joining members.
    """

    def __init__(
        self, local: LocalMember, incarnation: int, limits: RateLimits, rng: random.Random, now_ns: int
    ) -> None:
        membership = self.membership = Membership(local, incarnation, limits, rng, now_ns)
        outbox = self.outbox = Outbox(membership, now_ns)
        self.prober = Prober(membership, outbox, now_ns)
        self.anti_entropy = AntiEntropy(membership, outbox, now_ns)
        self.gossiper = Gossiper(membership, outbox, now_ns)
        self.record_transfer = RecordTransfer(membership, outbox)
        self._receive_limit = TokenBucket(RECEIVE_LIMIT_PER_S, RECEIVE_LIMIT_PER_S, now_ns)
        self._member_limits: dict[int, TokenBucket] = {}
        self._handlers: dict[Kind, Handler] = {
            Kind.PING: self.prober.on_ping,
            Kind.ACK: self.prober.on_ack,
            Kind.PROBE_REQUEST: self.prober.on_probe_request,
            Kind.NACK: self.prober.on_nack,
            Kind.DIGESTS: self.anti_entropy.on_digests,
            Kind.STATES: self.anti_entropy.on_states,
            Kind.RECORDS_REQUEST: self.record_transfer.on_request,
            Kind.RECORDS_REPLY: self.record_transfer.on_reply,
        }

    def renumber(self, now_ns: int, addresses: Sequence[Address], own_number: int) -> None:
        """Apply a changed address list."""
        membership = self.membership
        if list(addresses) == membership.addresses and own_number == membership.own_number:
            return
        membership.renumber(now_ns, addresses, own_number)
        self.prober.reset()
        self.anti_entropy.reset(now_ns)
        self.gossiper.reset(now_ns)
        self.record_transfer.reset()
        self._member_limits.clear()

    def tick(self, now_ns: int) -> int:
        """Run all due actions; return the monotonic time in nanoseconds of the next call."""
        membership = self.membership
        self._handle_delay(now_ns)
        if membership.own_status is not State.LEFT:
            self.prober.check_timeouts(now_ns)
            membership.conclude_overdue_shutdowns(now_ns)
            self.prober.run_round(now_ns)
            self.anti_entropy.compare(now_ns)
            self.gossiper.run_round(now_ns)
        due_ns = min(self.prober.next_ns(), self.anti_entropy.next_comparison_ns)
        if self.gossiper.has_pending():
            due_ns = min(due_ns, self.gossiper.next_round_ns)
        min_wait_ns = membership.limits.ns(GOSSIP_PERIODS) // MIN_TICKS_PER_GOSSIP_ROUND
        membership.next_tick_ns = max(due_ns, now_ns + min_wait_ns)
        return membership.next_tick_ns

    def _handle_delay(self, now_ns: int) -> None:
        """Degrade the local health after the process was paused or its event loop ran late.

        Its probes may have been answered meanwhile, and the answers may not have been read yet.
        """
        late_ns = self.membership.delay_ns(now_ns)
        if late_ns:
            self.membership.handle_delay(now_ns, late_ns)
            self.prober.forget_probes()

    def receive(self, now_ns: int, sender: int, data: bytes) -> None:
        """Handle a datagram of this protocol from the member with this number."""
        membership = self.membership
        is_other = 0 <= sender < len(membership.addresses) and sender != membership.own_number
        if not is_other or membership.own_status is State.LEFT:
            return
        datagram = self._decode_within_limits(now_ns, sender, data)
        if datagram is None:
            return
        self._handle_delay(now_ns)
        membership.counts[TrafficCounter.RECEIVED] += 1
        membership.on_received(now_ns, sender, datagram.sender_state)
        is_same_fleet = datagram.fleet == membership.fleet
        if is_same_fleet:
            self._merge(now_ns, sender, datagram)
            self.record_transfer.request_from(now_ns, sender)
        handler = self._handlers.get(datagram.kind)
        if handler is not None and (is_same_fleet or datagram.kind in ANY_FLEET):
            handler(now_ns, sender, datagram)

    def _decode_within_limits(self, now_ns: int, sender: int, data: bytes) -> Datagram | None:
        """Decode a datagram within the receive limits: first that of its sender, then that of all members."""
        counts = self.membership.counts
        limit = self._member_limits.get(sender)
        if limit is None:
            rate = RECEIVE_LIMIT_PER_MEMBER_PER_S
            limit = self._member_limits[sender] = TokenBucket(rate, 2 * rate, now_ns)
        if not limit.take(now_ns) or not self._receive_limit.take(now_ns):
            counts[TrafficCounter.OVER_RECEIVE_LIMIT] += 1
            return None
        datagram = decode(data)
        if datagram is None:
            counts[TrafficCounter.NOT_DECODED] += 1
        return datagram

    def _merge(self, now_ns: int, sender: int, datagram: Datagram) -> None:
        """Merge claims of a trusted sender about others, and refute any sender's claims about this member."""
        membership = self.membership
        trusted = is_trusted(membership.table.state(sender))
        for number, encoded in datagram.entries:
            if number == membership.own_number:
                membership.refute(now_ns, encoded)
            elif trusted and number < len(membership.addresses):
                membership.update(now_ns, number, encoded, f"told by {sender}")
        if trusted:
            for record in datagram.records:
                membership.merge_record(now_ns, record)

    def leave(self, now_ns: int, last: bool) -> None:
        """Announce this member's graceful shutdown, or, with `last`, its end."""
        membership = self.membership
        membership.set_own_status(now_ns, State.LEFT if last else State.LEAVING)
        for peer in membership.random_live_members(MAX_LEAVE_NOTICES):
            self.outbox.send(now_ns, peer, Kind.GOSSIP)

    def take_datagrams(self) -> list[OutgoingDatagram]:
        """Return the datagrams to send since the last call."""
        return self.outbox.take()
