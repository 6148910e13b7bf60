"""The membership as one member knows it: state and queries. No I/O.

`protocol.py` drives it with times and datagrams; see docs/design/view.md.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Collection, Sequence
from dataclasses import dataclass

from .datagrams import MemberEntry, Record, fleet_checksum
from .failure_detector import LocalHealth, Suspicions
from .gossip_queue import GossipQueue
from .member_state import (
    CONCLUSIONS,
    LIVE,
    MAX_INCARNATION,
    MemberTable,
    State,
    conclude,
    encode_state,
    incarnation_of,
    refutation,
    state_of,
    zone_of,
)
from .rate_limits import (
    ISOLATED_PERIODS,
    LEAVING_NS,
    LEGACY_LIVE_NS,
    MAX_DELAY_PERIODS,
    MAX_JOINING_PERIODS,
    NO_LIVE_PEERS_PERIODS,
    REFUTATION_PERIODS,
    RESTART_NS,
    RateLimits,
)
from .record_store import RecordKey, RecordStore, Topic
from .traffic_counters import TrafficCounter

MAX_PENDING_CHANGES = 4096
RANDOM_DRAWS_PER_MEMBER = 6  # Random draws per live member that is wanted.
UNRELIABLE_HEALTH_SCORE = 2  # From this health score on, suspicions last twice as long.

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """A change of a member's status or incarnation.

    Attributes:
        at_ns: Monotonic time in nanoseconds at which this member applied the change.
        member: Number of the member.
        before: Former status of the member.
        after: Current status of the member.
        incarnation: Current incarnation of the member.
        cause: Reason, for operators.
    """

    at_ns: int
    member: int
    before: State
    after: State
    incarnation: int
    cause: str


@dataclass(frozen=True, slots=True)
class LocalMember:
    """The number, zone and address list of a process.

    Attributes:
        addresses: Addresses of all members, by number.
        number: Number of this member.
        zone: Number of this member's zone; None if it has none.
    """

    addresses: Sequence[Address]
    number: int
    zone: int | None


class Membership:
    """The fleet as one of its members knows it.

    Args:
        local: Number, zone and address list of this member.
        limits: Intervals of the protocol, which depend on the size of the fleet.
        rng: Random generator that chooses members.
        now_ns: Current monotonic time in nanoseconds.

    Attributes:
        own_number: Number of this member.
        zone: Zone of this member.
        own_status: ALIVE, then LEAVING, then LEFT.
        incarnation: Incarnation of this process; raised when others know a greater one.
        addresses: Addresses of all members, by number.
        fleet: Checksum of the addresses.
        table: State of each member.
        gossip: Members whose changed state is still to be gossiped.
        records: Records that members publish beside their states.
        suspicions: Suspected members.
        health: Local health, as in Lifeguard.
        received_ns: Monotonic time in nanoseconds of the latest datagram of each member.
        last_received_ns: Monotonic time in nanoseconds of the latest datagram of any member.
        outdated_members: Members to be notified: their own state is lower than the one known of them.
        changes: Changes that the driver has not fetched yet.
        has_new_records: Whether a new record was received; the driver resets it.
        synchronized: Whether a comparison has found equal digests, with all members known.
        counts: Traffic counters, by `TrafficCounter` and `SENT_BY_KIND`.
        next_tick_ns: Monotonic time in nanoseconds at which the driver must call `tick`.
    """

    def __init__(
        self, local: LocalMember, incarnation: int, limits: RateLimits, rng: random.Random, now_ns: int
    ) -> None:
        """Start with this member as the only known one."""
        self.limits, self.rng, self.zone = limits, rng, local.zone
        self.own_status = State.ALIVE
        self.incarnation = min(max(incarnation, 1), MAX_INCARNATION)
        self.health = LocalHealth()
        self.changes: list[MembershipChange] = []
        self.has_new_records = False
        self.counts: Counter[str] = Counter()
        self.started_ns = self.last_received_ns = self.next_tick_ns = now_ns
        self.refuted_ns = now_ns - limits.period_ns
        self._reset(local.addresses, local.number, now_ns)

    def _reset(self, addresses: Sequence[Address], own_number: int, now_ns: int) -> None:
        self.addresses = list(addresses)
        self.own_number = own_number
        self.fleet = fleet_checksum(addresses)
        self.table = MemberTable(len(addresses))
        self.table.merge(own_number, self.own_state)
        self.gossip: GossipQueue[int] = GossipQueue()
        self.gossip.add(own_number)
        self.records = RecordStore(own_number)
        self.suspicions = Suspicions()
        self.received_ns: dict[int, int] = {}
        self.legacy_received_ns: dict[int, int] = {}
        self.departed_ns: dict[int, int] = {}
        self.outdated_members: dict[int, None] = {}  # an insertion-ordered set
        self.joined_ns = now_ns
        self.synchronized = self.has_no_peers

    def renumber(self, now_ns: int, addresses: Sequence[Address], own_number: int) -> None:
        """Apply a changed address list: the state of an address continues under its new number."""
        known = {address: self.table.states[number] for number, address in enumerate(self.addresses)}
        self._reset(addresses, own_number, now_ns)
        for number, address in enumerate(addresses):
            if number != own_number and known.get(address):
                self.update(now_ns, number, known[address], "known under another number")

    # Queries

    @property
    def own_state(self) -> int:
        """The encoded state of this member."""
        return encode_state(self.incarnation, self.own_status, self.zone)

    @property
    def has_no_peers(self) -> bool:
        """Whether this member is the only one of the fleet."""
        return len(self.addresses) <= 1

    @property
    def isolated(self) -> bool:
        """Whether nothing was received for `ISOLATED_PERIODS`; no conclusions are drawn then."""
        return self.next_tick_ns - self.last_received_ns > self.limits.ns(ISOLATED_PERIODS)

    def is_settled(self, now_ns: int) -> bool:
        """Return whether this member has joined: synchronized its table, or had the time for it."""
        return self.synchronized or now_ns - self.joined_ns >= self.limits.ns(MAX_JOINING_PERIODS)

    def live_members(self, now_ns: int) -> list[int]:
        """Return the sorted numbers of members that count as carrying traffic, including this one."""
        if now_ns - self.last_received_ns > self.limits.ns(NO_LIVE_PEERS_PERIODS):
            return [self.own_number]
        states = LIVE if self.is_settled(now_ns) else {*LIVE, State.UNKNOWN}
        legacy = {number for number, ns in self.legacy_received_ns.items() if now_ns - ns < LEGACY_LIVE_NS}
        return [
            number
            for number, encoded in enumerate(self.table.states)
            if state_of(encoded) in states or number in legacy or number == self.own_number
        ]

    def expected_members(self, now_ns: int) -> list[int]:
        """Return live members, and members that departed so recently that they may restart."""
        recent = {number for number, ns in self.departed_ns.items() if now_ns - ns < RESTART_NS}
        return sorted(recent.union(self.live_members(now_ns)))

    def potential_pollers(self, now_ns: int) -> list[int]:
        """Return members that may poll discovery: the expected ones, and those of unknown state."""
        unknown = set(self.table.members_in((State.UNKNOWN,)))
        return sorted(unknown.union(self.expected_members(now_ns)))

    def zone_of(self, number: int) -> int | None:
        """Return the zone of a member; None if it is unknown."""
        return zone_of(self.table.states[number])

    def random_live_members(self, max_count: int, excluded: Collection[int] = ()) -> list[int]:
        """Return up to `max_count` random other live members."""
        found: list[int] = []
        for _ in range(RANDOM_DRAWS_PER_MEMBER * max_count):
            number = self.rng.randrange(len(self.addresses))
            is_new = number != self.own_number and number not in excluded and number not in found
            if is_new and self.table.state(number) in LIVE:
                found.append(number)
                if len(found) == max_count:
                    break
        return found

    def entry(self, number: int) -> MemberEntry:
        """Return the known state of a member, as it is sent to others."""
        return MemberEntry(number, self.table.states[number])

    def suspicion_ns(self, own: bool) -> int:
        """Return the duration of a suspicion at this member in nanoseconds; `own` as for `RateLimits`."""
        factor = 2 if self.health.score >= UNRELIABLE_HEALTH_SCORE else 1
        return self.limits.suspicion_ns(len(self.addresses), own) * factor

    # Changes

    def publish(self, now_ns: int, topic: Topic, subject: int, value: int) -> None:
        """Publish a record to the fleet."""
        key = RecordKey(topic, self.own_number, subject)
        self.records.publish(now_ns, self.incarnation, key, value)

    def merge_record(self, now_ns: int, record: Record) -> None:
        """Merge a record of another member."""
        if record.origin != self.own_number and record.origin < len(self.addresses):
            self.has_new_records |= self.records.merge(now_ns, record)

    def update(self, now_ns: int, number: int, encoded: int, cause: str) -> None:
        """Merge a state of a member, if it overrides the known one.

        Args:
            now_ns: Current monotonic time in nanoseconds.
            number: Number of the member.
            encoded: Encoded state of the member.
            cause: Reason, for operators.
        """
        before = self.table.state(number)
        if not self.table.merge(number, encoded):
            return
        after = state_of(encoded)
        self.gossip.add(number)
        if after in LIVE:
            self.departed_ns.pop(number, None)
        elif before in LIVE or before is State.UNKNOWN:  # UNKNOWN: received while joining
            self.departed_ns[number] = now_ns
        self.suspicions.on_state(number, after, now_ns + self.suspicion_ns(own=False))
        if len(self.changes) < MAX_PENDING_CHANGES:
            change = MembershipChange(now_ns, number, before, after, incarnation_of(encoded), cause)
            self.changes.append(change)

    def conclude(self, now_ns: int, number: int, after: State) -> None:
        """Apply a conclusion of this member about another.

        Raises:
            InvalidConclusionError: `CONCLUSIONS` does not allow it.
        """
        encoded = conclude(self.table.states[number], after)
        self.update(now_ns, number, encoded, CONCLUSIONS[self.table.state(number), after])

    def conclude_overdue_shutdowns(self, now_ns: int) -> None:
        """Mark members as LEFT whose graceful shutdown takes too long."""
        if not self.table.counts[State.LEAVING]:
            return
        for number in list(self.table.members_in((State.LEAVING,))):
            received_ns = self.received_ns.get(number, self.started_ns)
            if number != self.own_number and now_ns - received_ns > LEAVING_NS:
                self.conclude(now_ns, number, State.LEFT)

    def set_own_status(self, now_ns: int, status: State) -> None:
        """Set this member's status to LEAVING or LEFT."""
        self.own_status = status
        self.update(now_ns, self.own_number, self.own_state, "it ends")

    def refute(self, now_ns: int, claim: int) -> None:
        """Refute a claim about this member that overrides its own state."""
        refuting = refutation(self.own_state, claim)
        if refuting is None or now_ns - self.refuted_ns < self.limits.ns(REFUTATION_PERIODS):
            return
        self.refuted_ns = now_ns
        if incarnation_of(claim) == self.incarnation:
            self.health.degrade()
        self.incarnation = incarnation_of(refuting)
        cause = f"{state_of(claim).name.lower()} was told of it"
        self.update(now_ns, self.own_number, self.own_state, cause)

    def on_received(self, now_ns: int, sender: int, sender_state: int) -> None:
        """Record a datagram of a member, with the state that it claims for itself.

        If a greater state of the sender is known, the sender is queued for notification, to refute it.
        """
        self.last_received_ns = self.received_ns[sender] = now_ns
        known = self.table.states[sender]
        if sender_state > known:
            self.update(now_ns, sender, sender_state, "it says so")
        elif sender_state < known:
            self.outdated_members[sender] = None

    def on_legacy_message(self, now_ns: int, sender: int) -> None:
        """Record a balancer's message: its sender is live, even if it runs without membership."""
        if 0 <= sender < len(self.addresses):
            self.legacy_received_ns[sender] = now_ns

    def delay_ns(self, now_ns: int) -> int:
        """Return the delay of the driver's call in nanoseconds; 0 within `MAX_DELAY_PERIODS`."""
        late_ns = now_ns - self.next_tick_ns
        return late_ns if late_ns > self.limits.ns(MAX_DELAY_PERIODS) else 0

    def handle_delay(self, now_ns: int, late_ns: int) -> None:
        """Degrade the local health and extend the suspicions after a delay of this process."""
        self.counts[TrafficCounter.DELAYED] += 1
        self.health.degrade(1 + late_ns // self.limits.period_ns)
        self.suspicions.extend(late_ns + self.limits.period_ns)
        self.last_received_ns += late_ns
        self.next_tick_ns = now_ns

    def take_changes(self) -> list[MembershipChange]:
        """Return the changes since the last call."""
        changes, self.changes = self.changes, []
        return changes

    def take_new_records(self) -> bool:
        """Return whether new records were received since the last call."""
        has_new, self.has_new_records = self.has_new_records, False
        return has_new
