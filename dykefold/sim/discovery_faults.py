"""Faults of discovery: outage, stale lists, overload, change of its address."""

from __future__ import annotations

from .fault_world import FaultGroup, FaultHandler
from .kernel import NS_PER_MS
from .schedule import Fault, Kind

CLOSE_FORMER_NS = 1_500 * NS_PER_MS  # From a move until the former service closes its connections.


class DiscoveryFaults(FaultGroup):
    """Faults of discovery; in a world with several services a move reloads another plan instead."""

    def handlers(self) -> dict[str, FaultHandler]:
        """Return the handlers that begin the faults of discovery, by kind."""
        return {
            Kind.DISCOVERY: self._begin_outage,
            Kind.STALE: self._begin_stale,
            Kind.OVERBOOK: self._overbook,
            Kind.MOVE: self._move,
        }

    def _begin_outage(self, fault: Fault) -> None:
        registry = self.world.registry
        registry.set_down(True)
        self.schedule_end(fault, registry.set_down, False)

    def _begin_stale(self, fault: Fault) -> None:
        registry = self.world.registry
        registry.stale += 1
        self.schedule_end(fault, registry.end_stale)

    def _overbook(self, fault: Fault) -> None:
        registry = self.world.registry
        registry.overbooked += 1
        self.schedule_end(fault, registry.end_overbooked)

    def _move(self, fault: Fault) -> None:
        if self.world.plan is not None:
            self.world.change_plan()
        else:
            former = self.world.move_discovery()
            former.close()
            self.kernel.after(CLOSE_FORMER_NS, former.close_connections)
        for process in self.world.processes():
            process.reload()
