"""Faults of servers: wrong behaviour, crash, drain, partition, replacement, loss of a zone."""

from __future__ import annotations

from .fault_world import FaultGroup, FaultHandler
from .kernel import NS_PER_MS
from .nodes import Node
from .schedule import Fault, Kind

GRACE_NS = 500 * NS_PER_MS  # After the notification of a drain; until then new requests are allowed.
REPLACED_OF_TEN = 6


class ServerFaults(FaultGroup):
    """Faults of one server or several."""

    def handlers(self) -> dict[str, FaultHandler]:
        """Return the handlers that begin the faults of servers, by kind."""
        return {
            Kind.CRASH: self._crash,
            Kind.DRAIN: self._drain_one,
            Kind.VANISH: self._vanish,
            Kind.ZONE: self._lose_zone,
            Kind.REPLACE: self._replace_many,
        }

    def begin_behaviour(self, fault: Fault) -> None:
        """Set a fault at a server, which acts on it as long as it lasts (`Node.has_fault`)."""
        node = self.world.nodes[fault.server]
        node.faults[fault.kind] = node.faults.get(fault.kind, 0) + 1
        self.schedule_end(fault, self._end_behaviour, node, fault.kind)

    @staticmethod
    def _end_behaviour(node: Node, kind: Kind) -> None:
        node.faults[kind] -= 1

    # Crashes

    def _crash(self, fault: Fault) -> None:
        node = self.world.nodes[fault.server]
        if node.alive:
            self._kill(node)
            self.schedule_end(fault, self._restart, fault.server, node)

    def _kill(self, node: Node) -> None:
        node.kill()
        self.world.registry.announce(self.world.entry(node, "DELETED"))

    def _restart(self, number: int, node: Node) -> None:
        node.start(cold=True)
        if self.world.nodes[number] is node:
            self.world.registry.announce(self.world.entry(node, "SERVING"))

    def _lose_zone(self, fault: Fault) -> None:
        zone = self.world.zone_of(self.world.nodes[fault.server])
        for number, node in enumerate(self.world.nodes):
            if self.world.zone_of(node) == zone and node.alive:
                self._kill(node)
                self.schedule_end(fault, self._restart, number, node)

    # Drains

    def _drain_one(self, fault: Fault) -> None:
        node = self.world.nodes[fault.server]
        if self.world.plan is None and node.alive:
            self.world.registry.announce(self.world.entry(node, "DRAINING"))
            self.schedule_end(fault, self._replace, fault.server, node)

    def _replace_many(self, fault: Fault) -> None:
        """Drain and replace six in ten servers, one after another."""
        nodes = self.world.nodes
        drained = [
            number
            for number, node in enumerate(nodes)
            if (number + fault.server) % 10 < REPLACED_OF_TEN and node.alive
        ]
        for position, number in enumerate(drained):
            delay_ns = fault.span_ns * position // len(drained)
            self.kernel.after(delay_ns, self._drain_and_replace, number, nodes[number])

    def _drain_and_replace(self, number: int, node: Node) -> None:
        self.world.registry.announce(self.world.entry(node, "DRAINING"))
        self.kernel.after(2 * GRACE_NS, self._replace, number, node)

    def _replace(self, number: int, node: Node) -> None:
        if self.world.nodes[number] is not node or not node.alive:
            return
        self._kill(node)
        replacement = self.world.replace_node(number)
        self.world.registry.announce(self.world.entry(replacement, "SERVING"))

    # Partition from all sidecars

    def _vanish(self, fault: Fault) -> None:
        node = self.world.nodes[fault.server]
        for sidecar in self.world.sidecars:
            self.network.cut_link(sidecar.name, node.name)
        self.schedule_end(fault, self._end_vanish, node)

    def _end_vanish(self, node: Node) -> None:
        """End the partition: open connections are reset, and bytes sent meanwhile are lost."""
        for sock in list(self.network.open[node.name].values()):
            if not sock.listening:
                sock.reset_by_kernel()
        for sidecar in self.world.sidecars:
            hosts = frozenset((sidecar.name, node.name))
            self.network.delayed_deliveries.pop(hosts, None)
            self.network.cut_links.discard(hosts)
            self._reset_connections(sidecar.name, node.name)

    def _reset_connections(self, sidecar: str, server: str) -> None:
        """Reset the connections of all processes of a sidecar to a server."""
        processes = [process for process in self.world.processes() if process.name == sidecar]
        for sock in [sock for process in processes for sock in self.network.open[process.process].values()]:
            if self.network.host_by_address.get(sock.remote[0]) == server and sock.peer is not None:
                self.network.reset_arrives(sock)
