"""Checks of sidecar processes: bounds, no unhandled errors, no state left at rest. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from ..net.sidecar import SidecarServer
from .network import Network
from .process import MAX_DESCRIPTORS, Sidecar
from .rules import Rules
from .sidecar_faults import TAKE_OVER_NS
from .sockets import SimSocket


def violated_bounds(server: SidecarServer, open_sockets: Mapping[int, SimSocket]) -> list[str]:
    """Return a description of each bound of a sidecar that is violated."""
    found = []
    memory, budget = server.memory, server.budget
    if not 0 <= memory.reserved_bytes <= memory.capacity_bytes:
        found.append(f"message memory: {memory.reserved_bytes} bytes of {memory.capacity_bytes}")
    if not 0 <= budget.reservations <= budget.upstreams.limit:
        found.append(f"connection reservations: {budget.reservations}, limit {budget.upstreams.limit}")
    connections = sum(len(pool.connection_pool.connections) for pool in server.pools)
    if budget.upstreams.in_use != connections:
        found.append(f"connections to servers: counted {budget.upstreams.in_use}, open {connections}")
    if len(open_sockets) > MAX_DESCRIPTORS:
        found.append(f"{len(open_sockets)} descriptors open, limit {MAX_DESCRIPTORS}")
    for pool in server.pools:
        blocked = sum(connection.blocked for connection in pool.connection_pool.idle)
        if blocked:
            found.append(f"{blocked} idle connections to servers are not read")
        in_flight = sum(request.attempts_in_flight for request in pool.pending.values())
        if in_flight > len(pool.attempts):
            found.append(f"{in_flight} attempts in flight of requests, pool has {len(pool.attempts)}")
    return found


def remaining_state(server: SidecarServer) -> list[str]:
    """Return the name and count of everything that a sidecar at rest still holds."""
    found = {
        "clients": len(server.clients.open_connections),
        "message memory": server.memory.reserved_bytes,
        "claims": server.budget.reservations,
        "timers": sum(len(bucket or ()) for bucket in server.timer_wheel.buckets.values()),
        "queued reads": len(server.read_scheduler.queue),
    }
    for number, pool in enumerate(server.pools):
        found[f"pending requests of pool {number}"] = len(pool.pending)
        found[f"attempts of pool {number}"] = len(pool.attempts)
        found[f"pending requests of balancer {number}"] = len(pool.balancer.pending)
        found[f"attempts in flight of balancer {number}"] = pool.balancer.in_flight
    return [f"{name}: {count}" for name, count in found.items() if count]


class ProcessChecks:
    """Checks processes of sidecars and reports violations to the rules."""

    def __init__(self, rules: Rules, network: Network) -> None:
        """Check the processes on a network."""
        self.rules = rules
        self.network = network

    def check_process(self, now_ns: int, process: Sidecar) -> None:
        """Check the bounds of a process, and that it has had no unhandled error."""
        for failure in process.loop.failures:
            self.rules.report(now_ns, "no unhandled error", f"{process.name}: {failure}")
        process.loop.failures.clear()
        if process.server is not None and process.alive:
            for text in violated_bounds(process.server, self.network.open[process.process]):
                self.rules.report(now_ns, "bounds", f"{process.name}: {text}")

    def check_remaining_state(self, now_ns: int, process: Sidecar) -> None:
        """Check that a process at rest holds no state of requests or clients."""
        if process.alive and not process.ending and process.server is not None:
            for text in remaining_state(process.server):
                self.rules.report(now_ns, "nothing left", f"{process.name}: {text}")

    def check_sidecar_processes(self, now_ns: int, living: Iterable[Sidecar]) -> None:
        """Check the descriptors of all processes of a sidecar, and that one of them accepts clients."""
        processes = [process for process in living if process.server is not None]
        if len(processes) <= 1:
            return
        name = processes[0].name
        descriptors = sum(len(self.network.open[process.process]) for process in processes)
        if descriptors > MAX_DESCRIPTORS:
            self.rules.report(
                now_ns,
                "bounds",
                f"{name}: {descriptors} descriptors open in all, limit {MAX_DESCRIPTORS}",
            )
        servers = [process.server for process in processes if process.server is not None]
        serving = [server for server in servers if server.listener is not None]
        claimed = sum(server.max_descriptors for server in serving)
        if claimed > MAX_DESCRIPTORS:
            self.rules.report(
                now_ns, "bounds", f"{name}: {claimed} descriptors claimed, limit {MAX_DESCRIPTORS}"
            )
        staying = [process for process in processes if not process.ending]
        overdue = all(now_ns - process.began_ns > TAKE_OVER_NS for process in staying)
        if staying and not serving and overdue:
            self.rules.report(now_ns, "upgrades", f"no process accepts the clients of {name}")

    def check_traffic_plans(self, now_ns: int, processes: Iterable[Sidecar]) -> None:
        """Check that at rest all sidecars of a zone hold the same traffic plan."""
        levels_of: dict[int, set[int]] = {}
        for process in processes:
            if process.alive and process.failover is not None and not process.ending:
                plan = process.failover.plan
                levels_of.setdefault(plan.origin, set()).add(plan.level)
        for zone, levels in levels_of.items():
            if len(levels) > 1:
                text = f"sidecars of zone {zone} hold different plan levels {sorted(levels)}, expected one"
                self.rules.report(now_ns, "plans", text)
