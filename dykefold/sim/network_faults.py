"""Faults of the network and of machines: partitions, latency, clocks, descriptors, system calls."""

from __future__ import annotations

from collections.abc import Callable

from .fault_world import DISCOVERY_HOST, FaultGroup, FaultHandler
from .kernel import NS_PER_MS
from .schedule import SYSTEM_CALL_FAULTS, Fault, Kind
from .syscalls import SystemCall

EXTRA_LATENCY_NS = 30 * NS_PER_MS
SILENT_CONNECTIONS = 80
DESCRIPTOR_SHORTFALL = 4  # A squeeze sets the descriptor limit this far below the number open at its start.
MIN_DESCRIPTORS = 24  # Minimum descriptor limit of a squeeze.


class NetworkFaults(FaultGroup):
    """Faults of the links between hosts and of the resources of a machine."""

    def handlers(self) -> dict[str, FaultHandler]:
        """Return the handler that starts each kind of fault of the network and of machines."""
        return {
            Kind.CUT: self._partition_hosts,
            Kind.LAG: self._add_latency,
            Kind.PART: self._partition_datagrams,
            Kind.SQUEEZE: self._limit_descriptors,
            Kind.FLOOD: self._open_silent_connections,
            Kind.CLOCK_HERE: self._step_sidecar_clock,
            Kind.CLOCK_THERE: self._step_server_clock,
            Kind.CLOCK_LIST: self._step_discovery_clock,
            **dict.fromkeys(SYSTEM_CALL_FAULTS, self._fail_calls),
        }

    # Links

    def _partition_hosts(self, fault: Fault) -> None:
        sidecar, server = self.world.sidecars[fault.sidecar].name, self.world.nodes[fault.server].name
        self.network.cut_link(sidecar, server)
        self.schedule_end(fault, self.network.restore_link, sidecar, server)

    def _add_latency(self, fault: Fault) -> None:
        links = [
            frozenset((sidecar.name, node.name))
            for sidecar in self.world.sidecars
            for node in self.world.nodes
        ]
        extra_ns = self.network.extra_latency_ns
        for link in links:
            extra_ns[link] = extra_ns.get(link, 0) + EXTRA_LATENCY_NS
        self.schedule_end(fault, self._remove_latency, links)

    def _remove_latency(self, links: list[frozenset[str]]) -> None:
        for link in links:
            self.network.extra_latency_ns[link] -= EXTRA_LATENCY_NS

    def _partition_datagrams(self, fault: Fault) -> None:
        """Partition the sidecars into halves or thirds, in both directions or in one direction only."""
        group_count, one_way = 2 + fault.server % 2, fault.server % 5 == 0
        group_of = {
            sidecar.name: (sidecar.number + fault.sidecar) % group_count for sidecar in self.world.sidecars
        }

        def passes(sender: str, receiver: str) -> bool:
            sender_group, receiver_group = group_of.get(sender, 0), group_of.get(receiver, 0)
            return sender_group == receiver_group or (one_way and sender_group < receiver_group)

        self.network.datagram_passes = passes
        self.schedule_end(fault, self._end_datagram_partition, passes)

    def _end_datagram_partition(self, passes: Callable[[str, str], bool]) -> None:
        if self.network.datagram_passes is passes:  # Otherwise a later fault of this kind has replaced it.
            self.network.datagram_passes = lambda _from, _to: True
            self.world.membership_disturbed()

    # Descriptors and system calls

    def _limit_descriptors(self, fault: Fault) -> None:
        name = self.world.sidecars[fault.sidecar].name
        limit = max(len(self.network.open[name]) - DESCRIPTOR_SHORTFALL, MIN_DESCRIPTORS)
        self.network.descriptors[name] = limit
        self.schedule_end(fault, self.network.descriptors.pop, name, None)

    def _open_silent_connections(self, fault: Fault) -> None:
        clients = self.world.clients[fault.sidecar]
        clients.loop.wake(clients.open_silent, SILENT_CONNECTIONS)
        self.schedule_end(fault, clients.loop.wake, clients.close_silent)

    def _fail_calls(self, fault: Fault) -> None:
        host, call = f"sidecar{fault.sidecar}", SystemCall(fault.kind)
        share = self.network.failing_calls.begin(host, call)
        self.schedule_end(fault, self.network.failing_calls.end, host, call, share)

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
        self.schedule_end(fault, self.world.step_clock, host, -step_ns)
