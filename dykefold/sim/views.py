"""Many memberships on a virtual clock, with a network between them that breaks: the decision code alone.

For figures at sizes that no machine has processes for, for tests of single decisions, for searches of orders.
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


class Views:
    """Members 0 to `size` - 1 of a fleet; those that run are in `living`.

    Args:
        size: Number of members of the fleet.
        seed: Seed of the random generator.
        loss: Fraction of the datagrams that are lost.
        delay_ns: Minimum and maximum delay of a datagram in nanoseconds.
        pace: Rate limits of datagrams; None for the default ones.
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
        """Make the world; nobody runs yet."""
        self.size, self.loss, self.delay_ns, self.zones = size, loss, delay_ns, zones
        self.pace = pace or RateLimits()
        self.random = random.Random(seed)
        self.now_ns = NS_PER_S  # of a clock that runs alike for all
        self.roster = [(f"10.3.{number >> 8}.{number & 255}", 7946) for number in range(size)]
        self.living: dict[int, MembershipProtocol] = {}
        self.stopped_until: dict[int, int] = {}
        self.clock_off_ms: dict[int, int] = {}
        self.cut: Callable[[int, int], bool] = lambda _from, _to: False
        self.doubled = 0.0  # share of the datagrams that come twice
        self.spoilt = 0.0  # ... and that come with a bit turned
        self.queue: list[tuple[int, int, int, MembershipProtocol, int, bytes]] = []
        self.last_order = 0
        self.sent = self.sent_bytes = 0
        self.changes: list[tuple[int, MembershipChange]] = []  # by whom, what
        self.watch: set[int] | None = None  # whose changes are kept; None for all

    # What happens to members

    def start(self, number: int) -> MembershipProtocol:
        """Start a member, again if it has run before."""
        wall_ms = EPOCH_MS + self.now_ns // NS_PER_MS + self.clock_off_ms.get(number, 0)
        generator = random.Random(self.random.getrandbits(64))
        local = LocalMember(self.roster, number, number % self.zones)
        protocol = MembershipProtocol(local, wall_ms, self.pace, generator, self.now_ns)
        self.living[number] = protocol
        self._wake(protocol, number, self.now_ns)
        return protocol

    def start_settled(self) -> None:
        """Start all members, each with a membership as if all had been there for long."""
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
        """End a member at once."""
        del self.living[number]

    def end(self, number: int) -> None:
        """Begin a graceful shutdown; `kill` is the last of it."""
        self.living[number].leave(self.now_ns, last=False)
        self._flush(self.living[number], number)

    def stop(self, number: int, for_ns: int) -> None:
        """Have a process stand still: what comes for it waits."""
        self.stopped_until[number] = self.now_ns + for_ns

    # The run

    def run(
        self, for_ns: int, until: Callable[[], bool] | None = None, look_ns: int = 50 * NS_PER_MS
    ) -> bool:
        """Go on for so long, or until this holds, looked at so often; whether it came to hold."""
        end_ns, look = self.now_ns + for_ns, self.now_ns
        queue = self.queue
        while queue and queue[0][0] <= end_ns:
            due, _, number, protocol, sender, data = heapq.heappop(queue)
            while until is not None and look <= due:
                self.now_ns = max(look, self.now_ns)
                if until():
                    heapq.heappush(queue, (due, self._next(), number, protocol, sender, data))
                    return True
                look += look_ns
            self.now_ns = due
            if self.living.get(number) is not protocol:
                continue  # it has ended since
            back = self.stopped_until.get(number, 0)
            if back > due:
                heapq.heappush(queue, (back, self._next(), number, protocol, sender, data))
            elif sender < 0:
                self._wake(protocol, number, protocol.tick(due))
                self._flush(protocol, number)
            else:
                protocol.receive(due, sender, data)
                self._flush(protocol, number)
        self.now_ns = end_ns
        return until is not None and until()

    def _next(self) -> int:
        self.last_order += 1
        return self.last_order

    def _wake(self, protocol: MembershipProtocol, number: int, due_ns: int) -> None:
        heapq.heappush(self.queue, (due_ns, self._next(), number, protocol, -1, b""))

    def _flush(self, protocol: MembershipProtocol, number: int) -> None:
        changes = protocol.membership.take_changes()
        if self.watch is None or number in self.watch:
            self.changes += [(number, change) for change in changes]
        for peer, data in protocol.take_datagrams():
            self.send(number, peer, data)

    def send(self, sender: int, peer: int, data: bytes) -> None:
        """Give a datagram to the network."""
        generator = self.random
        self.sent += 1
        self.sent_bytes += len(data)
        if self.cut(sender, peer):
            return
        for _ in range(2 if self.doubled and generator.random() < self.doubled else 1):
            target = self.living.get(peer)
            if target is None or (self.loss and generator.random() < self.loss):
                continue
            if self.spoilt and generator.random() < self.spoilt:
                spoilt = bytearray(data)
                spoilt[generator.randrange(len(data))] ^= 1 << generator.randrange(8)
                data = bytes(spoilt)
            due = self.now_ns + generator.randint(*self.delay_ns)
            heapq.heappush(self.queue, (due, self._next(), peer, target, sender, data))

    # What is seen

    def state(self, of: int, by: int) -> State:
        """Return the state of a member as another one has it."""
        return self.living[by].membership.table.state(of)

    def has_converged(self) -> bool:
        """Return whether each member that runs counts exactly those as live that do."""
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
        """Return whether all members that run hold the same states."""
        tables = [protocol.membership.table for protocol in self.living.values()]
        return all(table.block_digests == tables[0].block_digests for table in tables)
