"""Faults of the network and of machines: cuts, delays, clocks, descriptors, system calls."""

from __future__ import annotations

from collections.abc import Callable

from .fault_world import DISCOVERY_HOST, FaultGroup, FaultHandler
from .kernel import NS_PER_MS
from .schedule import SYSTEM_CALL_FAULTS, Fault, Kind
from .syscalls import SystemCall

EXTRA_LATENCY_NS = 30 * NS_PER_MS
SILENT_CONNECTIONS = 80
SPARED_DESCRIPTORS = 4  # A process may hold this number fewer than it has open while descriptors are scarce.
MIN_DESCRIPTORS = 24  # A process may always hold this number.


class NetworkFaults(FaultGroup):
    """Faults of ways between hosts and of what a machine gives its processes."""

    def handlers(self) -> dict[str, FaultHandler]:
        """Return what begins each kind of fault of the network and of machines."""
        return {
            Kind.CUT: self._cut,
            Kind.LAG: self._slow_down,
            Kind.PART: self._part_datagrams,
            Kind.SQUEEZE: self._limit_descriptors,
            Kind.FLOOD: self._flood,
            Kind.CLOCK_HERE: self._step_sidecar_clock,
            Kind.CLOCK_THERE: self._step_server_clock,
            Kind.CLOCK_LIST: self._step_discovery_clock,
            **dict.fromkeys(SYSTEM_CALL_FAULTS, self._fail_calls),
        }

    # Ways

    def _cut(self, fault: Fault) -> None:
        sidecar, server = self.world.sidecars[fault.sidecar].name, self.world.nodes[fault.server].name
        self.network.part(sidecar, server)
        self.at_end(fault, self.network.heal, sidecar, server)

    def _slow_down(self, fault: Fault) -> None:
        ways = [
            frozenset((sidecar.name, node.name))
            for sidecar in self.world.sidecars
            for node in self.world.nodes
        ]
        extra_ns = self.network.extra_latency_ns
        for way in ways:
            extra_ns[way] = extra_ns.get(way, 0) + EXTRA_LATENCY_NS
        self.at_end(fault, self._speed_up, ways)

    def _speed_up(self, ways: list[frozenset[str]]) -> None:
        for way in ways:
            self.network.extra_latency_ns[way] -= EXTRA_LATENCY_NS

    def _part_datagrams(self, fault: Fault) -> None:
        """Part sidecars in halves, in thirds, or so that only one half is heard by the other."""
        parts, one_way = 2 + fault.server % 2, fault.server % 5 == 0
        part_of = {sidecar.name: (sidecar.number + fault.sidecar) % parts for sidecar in self.world.sidecars}

        def passes(sender: str, receiver: str) -> bool:
            from_part, to_part = part_of.get(sender, 0), part_of.get(receiver, 0)
            return from_part == to_part or (one_way and from_part < to_part)

        self.network.passes = passes
        self.at_end(fault, self._join_datagrams, passes)

    def _join_datagrams(self, passes: Callable[[str, str], bool]) -> None:
        if self.network.passes is passes:  # else another fault of the kind has begun
            self.network.passes = lambda _from, _to: True
            self.world.membership_disturbed()

    # Descriptors and system calls

    def _limit_descriptors(self, fault: Fault) -> None:
        name = self.world.sidecars[fault.sidecar].name
        limit = max(len(self.network.open[name]) - SPARED_DESCRIPTORS, MIN_DESCRIPTORS)
        self.network.descriptors[name] = limit
        self.at_end(fault, self.network.descriptors.pop, name, None)

    def _flood(self, fault: Fault) -> None:
        clients = self.world.clients[fault.sidecar]
        clients.loop.wake(clients.open_silent, SILENT_CONNECTIONS)
        self.at_end(fault, clients.loop.wake, clients.close_silent)

    def _fail_calls(self, fault: Fault) -> None:
        host, call = f"sidecar{fault.sidecar}", SystemCall(fault.kind)
        share = self.network.failing.begin(host, call)
        self.at_end(fault, self.network.failing.end, host, call, share)

    # Clocks

    def _step_sidecar_clock(self, fault: Fault) -> None:
        self._step_clock(fault, f"sidecar{fault.sidecar}")

    def _step_server_clock(self, fault: Fault) -> None:
        self._step_clock(fault, self.world.nodes[fault.server].name)

    def _step_discovery_clock(self, fault: Fault) -> None:
        self._step_clock(fault, DISCOVERY_HOST)

    def _step_clock(self, fault: Fault, host: str) -> None:
        step_ns = self.world.draw_clock_step_ns()
        self.world.step_clock(host, step_ns)
        self.at_end(fault, self.world.step_clock, host, -step_ns)
