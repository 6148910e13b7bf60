"""What processes of sidecars promise of themselves: bounds, no unhandled errors, nothing left. No I/O."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from ..net.sidecar import SidecarServer
from .network import Network
from .process import MAX_DESCRIPTORS, Sidecar
from .rules import Rules
from .sidecar_faults import TAKE_OVER_NS
from .sockets import SimSocket


def bounds_broken(server: SidecarServer, open_sockets: Mapping[int, SimSocket]) -> list[str]:
    """Return which of the bounds that a sidecar states do not hold."""
    found = []
    memory, budget = server.memory, server.budget
    if not 0 <= memory.reserved_bytes <= memory.capacity_bytes:
        found.append(f"message memory {memory.reserved_bytes} of {memory.capacity_bytes}")
    if not 0 <= budget.reservations <= budget.upstreams.limit:
        found.append(f"claims {budget.reservations} of {budget.upstreams.limit}")
    connections = sum(len(pool.connection_pool.connections) for pool in server.pools)
    if budget.upstreams.in_use != connections:
        found.append(f"connections to servers counted as {budget.upstreams.in_use}, there are {connections}")
    if len(open_sockets) > MAX_DESCRIPTORS:
        found.append(f"{len(open_sockets)} descriptors of {MAX_DESCRIPTORS}")
    for pool in server.pools:
        blocked = sum(connection.blocked for connection in pool.connection_pool.idle)
        if blocked:
            found.append(f"{blocked} connections to servers wait for use and are not read")
        out = sum(request.attempts_in_flight for request in pool.pending.values())
        if out > len(pool.attempts):
            found.append(f"{out} attempts out of requests, {len(pool.attempts)} known")
    return found


def left_over(server: SidecarServer) -> list[str]:
    """Return what a sidecar still has that has nobody to ask and nobody to wait for."""
    found = {
        "clients": len(server.clients.open_connections),
        "message memory": server.memory.reserved_bytes,
        "claims": server.budget.reservations,
        "time limits": sum(len(bucket or ()) for bucket in server.timer_wheel.buckets.values()),
        "input that waits": len(server.read_scheduler.queue),
    }
    for number, pool in enumerate(server.pools):
        found[f"requests of pool {number}"] = len(pool.pending)
        found[f"attempts of pool {number}"] = len(pool.attempts)
        found[f"requests of module {number}"] = len(pool.balancer.pending)
        found[f"in flight of module {number}"] = pool.balancer.in_flight
    return [f"{name}: {count}" for name, count in found.items() if count]


class ProcessChecks:
    """Reports to the rules what a process, or the processes of a sidecar, do not keep to."""

    def __init__(self, rules: Rules, network: Network) -> None:
        """Check processes on a network."""
        self.rules = rules
        self.network = network

    def check_process(self, now_ns: int, process: Sidecar) -> None:
        """Check the bounds that a process states, and what it failed to catch."""
        for failure in process.loop.failures:
            self.rules.report(now_ns, "no unhandled error", f"{process.name}: {failure}")
        process.loop.failures.clear()
        if process.server is not None and process.alive:
            for text in bounds_broken(process.server, self.network.open[process.process]):
                self.rules.report(now_ns, "bounds", f"{process.name}: {text}")

    def check_left_over(self, now_ns: int, process: Sidecar) -> None:
        """Check that a process at rest has nothing left."""
        if process.alive and not process.ending and process.server is not None:
            for text in left_over(process.server):
                self.rules.report(now_ns, "nothing left", f"{process.name}: {text}")

    def check_together(self, now_ns: int, living: Iterable[Sidecar]) -> None:
        """Check what the processes of a sidecar hold together, and that one of them takes clients."""
        processes = [process for process in living if process.server is not None]
        if len(processes) <= 1:
            return
        name = processes[0].name
        descriptors = sum(len(self.network.open[process.process]) for process in processes)
        if descriptors > MAX_DESCRIPTORS:
            self.rules.report(
                now_ns, "bounds", f"{name}: {descriptors} descriptors of {MAX_DESCRIPTORS} in all"
            )
        servers = [process.server for process in processes if process.server is not None]
        serving = [server for server in servers if server.listener is not None]
        claimed = sum(server.max_descriptors for server in serving)
        if claimed > MAX_DESCRIPTORS:
            self.rules.report(now_ns, "bounds", f"{name}: {claimed} descriptors of {MAX_DESCRIPTORS} claimed")
        staying = [process for process in processes if not process.ending]
        late = all(now_ns - process.began_ns > TAKE_OVER_NS for process in staying)
        if staying and not serving and late:
            self.rules.report(now_ns, "upgrades", f"nobody takes the clients of {name}")

    def check_traffic_plans(self, now_ns: int, processes: Iterable[Sidecar]) -> None:
        """Check that at rest all sidecars of a zone hold one traffic plan."""
        levels_of: dict[int, set[int]] = {}
        for process in processes:
            if process.alive and process.failover is not None and not process.ending:
                plan = process.failover.plan
                levels_of.setdefault(plan.origin, set()).add(plan.level)
        for zone, levels in levels_of.items():
            if len(levels) > 1:
                text = f"sidecars of zone {zone} hold levels {sorted(levels)}"
                self.rules.report(now_ns, "plans", text)
