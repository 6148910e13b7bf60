"""Simulates many memberships on a virtual clock, with a faulty network between them; no processes, no I/O.

For measurements of fleets too large for processes, tests of single decisions, searches of event orders.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable

from ..fleet.member_state import LIVE, State
from ..fleet.membership import LocalMember, MembershipChange
from ..fleet.protocol import MembershipProtocol
from ..fleet.rate_limits import NS_PER_S, RateLimits

NS_PER_MS = 1_000_000
EPOCH_MS = 1_700_000_000_000  # Wall clock at the start of a world.


class SimulatedFleet:
    """A simulated fleet of members 0 to `size` - 1; the running ones are in `living`.

    Args:
        size: Number of members of the fleet.
        seed: Seed of the random generator.
        loss: Fraction of the datagrams that are lost.
        delay_ns: Minimum and maximum delay of a datagram in nanoseconds.
        pace: Rate limits of the protocol; None for the default ones.
        zones: Number of zones, to which members are assigned in turn.
    """

    def __init__(
        self,
        size: int,
        seed: int,
        loss: float = 0.0,
        delay_ns: tuple[int, int] = (NS_PER_MS, 40 * NS_PER_MS),
        pace: RateLimits | None = None,
        zones: int = 3,
    ) -> None:
        """Create the fleet, in which no member runs yet."""
        self.size, self.loss, self.delay_ns, self.zones = size, loss, delay_ns, zones
        self.pace = pace or RateLimits()
        self.random = random.Random(seed)
        self.now_ns = NS_PER_S  # Monotonic clock, the same for all members.
        self.roster = [(f"10.3.{number >> 8}.{number & 255}", 7946) for number in range(size)]
        self.living: dict[int, MembershipProtocol] = {}
        self.paused_until_ns: dict[int, int] = {}
        self.clock_off_ms: dict[int, int] = {}
        self.is_cut: Callable[[int, int], bool] = lambda _from, _to: False
        self.duplicate_fraction = 0.0  # Fraction of the datagrams that arrive twice.
        self.corrupted_fraction = 0.0  # Fraction of the datagrams that arrive with a flipped bit.
        self.queue: list[tuple[int, int, int, MembershipProtocol, int, bytes]] = []
        self.last_sequence = 0
        self.sent = self.sent_bytes = 0
        self.changes: list[tuple[int, MembershipChange]] = []  # Member that made it, and the change.
        self.watch: set[int] | None = None  # Members whose changes are recorded; None for all.

    # Members

    def start(self, number: int) -> MembershipProtocol:
        """Start or restart a member."""
        wall_ms = EPOCH_MS + self.now_ns // NS_PER_MS + self.clock_off_ms.get(number, 0)
        generator = random.Random(self.random.getrandbits(64))
        local = LocalMember(self.roster, number, number % self.zones)
        protocol = MembershipProtocol(local, wall_ms, self.pace, generator, self.now_ns)
        self.living[number] = protocol
        self._schedule_tick(protocol, number, self.now_ns)
        return protocol

    def start_settled(self) -> None:
        """Start all members with settled memberships, as if they had run for long."""
        for number in range(self.size):
            self.start(number)
        members = {number: protocol.membership for number, protocol in self.living.items()}
        first = members[0].table
        for number, member in members.items():
            first.merge(number, member.own_state)
        for member in members.values():
            table = member.table
            table.states, table.block_digests = first.states[:], first.block_digests[:]
            table.counts = list(first.counts)
            member.gossip.clear()
            member.synchronized = True
            member.last_received_ns = self.now_ns
        self.sent = self.sent_bytes = 0

    def kill(self, number: int) -> None:
        """Kill a member."""
        del self.living[number]

    def begin_shutdown(self, number: int) -> None:
        """Begin a graceful shutdown, which `kill` completes."""
        self.living[number].leave(self.now_ns, last=False)
        self._flush(self.living[number], number)

    def stop(self, number: int, for_ns: int) -> None:
        """Pause a member for `for_ns`: its datagrams and ticks are delayed until then."""
        self.paused_until_ns[number] = self.now_ns + for_ns

    # The run

    def run(
        self, for_ns: int, until: Callable[[], bool] | None = None, look_ns: int = 50 * NS_PER_MS
    ) -> bool:
        """Run for `for_ns`, or until `until` holds, checked every `look_ns`; return whether it holds."""
        end_ns, check_at_ns = self.now_ns + for_ns, self.now_ns
        queue = self.queue
        while queue and queue[0][0] <= end_ns:
            due_ns, _, number, protocol, sender, data = heapq.heappop(queue)
            while until is not None and check_at_ns <= due_ns:
                self.now_ns = max(check_at_ns, self.now_ns)
                if until():
                    heapq.heappush(queue, (due_ns, self._next_sequence(), number, protocol, sender, data))
                    return True
                check_at_ns += look_ns
            self.now_ns = due_ns
            if self.living.get(number) is not protocol:
                continue  # It has ended or restarted since.
            resume_ns = self.paused_until_ns.get(number, 0)
            if resume_ns > due_ns:
                heapq.heappush(queue, (resume_ns, self._next_sequence(), number, protocol, sender, data))
            elif sender < 0:
                self._schedule_tick(protocol, number, protocol.tick(due_ns))
                self._flush(protocol, number)
            else:
                protocol.receive(due_ns, sender, data)
                self._flush(protocol, number)
        self.now_ns = end_ns
        return until is not None and until()

    def _next_sequence(self) -> int:
        self.last_sequence += 1
        return self.last_sequence

    def _schedule_tick(self, protocol: MembershipProtocol, number: int, due_ns: int) -> None:
        heapq.heappush(self.queue, (due_ns, self._next_sequence(), number, protocol, -1, b""))

    def _flush(self, protocol: MembershipProtocol, number: int) -> None:
        changes = protocol.membership.take_changes()
        if self.watch is None or number in self.watch:
            self.changes += [(number, change) for change in changes]
        for peer, data in protocol.take_datagrams():
            self.send(number, peer, data)

    def send(self, sender: int, peer: int, data: bytes) -> None:
        """Send a datagram on the simulated network."""
        generator = self.random
        self.sent += 1
        self.sent_bytes += len(data)
        if self.is_cut(sender, peer):
            return
        for _ in range(2 if self.duplicate_fraction and generator.random() < self.duplicate_fraction else 1):
            target = self.living.get(peer)
            if target is None or (self.loss and generator.random() < self.loss):
                continue
            if self.corrupted_fraction and generator.random() < self.corrupted_fraction:
                corrupted = bytearray(data)
                corrupted[generator.randrange(len(data))] ^= 1 << generator.randrange(8)
                data = bytes(corrupted)
            due_ns = self.now_ns + generator.randint(*self.delay_ns)
            heapq.heappush(self.queue, (due_ns, self._next_sequence(), peer, target, sender, data))

    # Results

    def state(self, of: int, by: int) -> State:
        """Return the state of member `of` in the membership of member `by`."""
        return self.living[by].membership.table.state(of)

    def has_converged(self) -> bool:
        """Return whether each running member counts exactly the running members as live."""
        true = sorted(self.living)
        wrong = self.size - len(true)
        for protocol in self.living.values():
            table = protocol.membership.table
            if table.live() != len(true) or table.counts[State.UNKNOWN] > wrong:
                return False
        return all(
            protocol.membership.table.state(number) in LIVE
            for protocol in self.living.values()
            for number in true
        )

    def states_equal(self) -> bool:
        """Return whether all running members hold the same states."""
        tables = [protocol.membership.table for protocol in self.living.values()]
        return all(table.block_digests == tables[0].block_digests for table in tables)
