"""Faults of discovery: it is down, stale, overbooked, or moves."""

from __future__ import annotations

from .fault_world import FaultGroup, FaultHandler
from .kernel import NS_PER_MS
from .schedule import Fault, Kind

CLOSE_FORMER_NS = 1_500 * NS_PER_MS  # After a move, until the former address closes its connections.


class DiscoveryFaults(FaultGroup):
    """Faults of discovery; in a world of several services a move is a reload with another plan."""

    def handlers(self) -> dict[str, FaultHandler]:
        """Return what begins each kind of fault of discovery."""
        return {
            Kind.DISCOVERY: self._go_down,
            Kind.STALE: self._go_stale,
            Kind.OVERBOOK: self._overbook,
            Kind.MOVE: self._move,
        }

    def _go_down(self, fault: Fault) -> None:
        registry = self.world.registry
        registry.set_down(True)
        self.at_end(fault, registry.set_down, False)

    def _go_stale(self, fault: Fault) -> None:
        registry = self.world.registry
        registry.stale += 1
        self.at_end(fault, registry.end_stale)

    def _overbook(self, fault: Fault) -> None:
        registry = self.world.registry
        registry.overbooked += 1
        self.at_end(fault, registry.end_overbooked)

    def _move(self, fault: Fault) -> None:
        if self.world.plan is not None:
            self.world.change_plan()
        else:
            former = self.world.move_discovery()
            former.close()
            self.kernel.after(CLOSE_FORMER_NS, former.close_connections)
        for process in self.world.processes():
            process.reload()
