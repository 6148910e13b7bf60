"""Plays a scenario: its faults, the periodic checks, and the quiet period at the end."""

from __future__ import annotations

from typing import Protocol

from .discovery_faults import DiscoveryFaults
from .fault_world import FaultHandler, FaultWorld
from .kernel import NS_PER_MS, NS_PER_S
from .membership_rules import MembershipRules
from .network_faults import NetworkFaults
from .notified_lists import PollRules
from .process import Sidecar
from .process_checks import ProcessChecks
from .rule_records import Violation
from .schedule import Fault
from .server_faults import ServerFaults
from .sidecar_faults import SidecarFaults

QUIET_PERIOD_NS = 9 * NS_PER_S  # After the last request, for all faults, deadlines and idle timeouts to end.
QUIET_BEFORE_CLOSE_NS = QUIET_PERIOD_NS - 3 * NS_PER_S  # Until clients close their connections.
CHECK_INTERVAL_NS = 250 * NS_PER_MS  # Time between two checks.


class PlayedWorld(FaultWorld, Protocol):
    """The part of a simulated world (`world.SimulatedWorld`) that the player uses.

    Attributes:
        membership_rules: Rules of the memberships; None if sidecars keep none.
        poll_rules: Rule of the calls to discovery, checked if sidecars coordinate their polls.
        checks: Checks of the bounds that processes state.
    """

    membership_rules: MembershipRules | None
    poll_rules: PollRules
    checks: ProcessChecks


class ScenarioPlayer:
    """Plays the scenario of a world once."""

    def __init__(self, world: PlayedWorld) -> None:
        """Schedule the faults and the first check."""
        self.world = world
        self.kernel = world.kernel
        self.servers = ServerFaults(world)
        self.handlers: dict[str, FaultHandler] = {
            **self.servers.handlers(),
            **NetworkFaults(world).handlers(),
            **DiscoveryFaults(world).handlers(),
            **SidecarFaults(world).handlers(),
        }
        for fault in world.scenario.faults:
            self.kernel.at(fault.at_ns, self._begin, fault)
        self.kernel.at(CHECK_INTERVAL_NS, self._check)

    def _begin(self, fault: Fault) -> None:
        self.kernel.note(f"fault {fault.kind} server {fault.server} sidecar {fault.sidecar}")
        self.handlers.get(fault.kind, self.servers.begin_behaviour)(fault)

    # Checks

    def _check(self) -> None:
        world, now_ns = self.world, self.kernel.now_ns
        for process in world.processes():
            world.checks.check_process(now_ns, process)
        if world.scenario.spec.coordinated_polls:
            for sidecar in world.sidecars:
                self._check_polls(sidecar)
        for number in range(len(world.sidecars)):
            world.checks.check_sidecar_processes(now_ns, world.living(number))
        if world.membership_rules is not None:
            fleets = {sidecar.number: sidecar.fleet for sidecar in world.sidecars}
            memberships = {number: fleet.membership for number, fleet in fleets.items() if fleet is not None}
            world.membership_rules.check(now_ns, memberships)
        self.kernel.after(CHECK_INTERVAL_NS, self._check)

    def _check_polls(self, sidecar: Sidecar) -> None:
        registry = self.world.registry
        has_watch = any(connection.sidecar == sidecar.name for connection in registry.watchers)
        if sidecar.alive and not (sidecar.ending or has_watch or registry.down):
            self.world.poll_rules.check(self.kernel.now_ns, sidecar.name, sidecar.began_ns)

    # The run

    def play(self, max_steps: int | None = None) -> list[Violation]:
        """Run to the end of the quiet period, and return the violations.

        Args:
            max_steps: Number of steps after which the run stops; None for no limit.
        """
        world, kernel = self.world, self.kernel
        until_ns = world.scenario.span_ns
        kernel.run(until_ns, max_steps)
        if max_steps is not None and kernel.steps >= max_steps:
            return world.rules.violations
        kernel.run(until_ns + QUIET_BEFORE_CLOSE_NS)
        if world.membership_rules is not None:
            until_ns = world.membership_rules.settled_by(kernel.now_ns)
            kernel.run(until_ns)
            world.membership_rules.check_settled(until_ns)
            world.checks.check_traffic_plans(kernel.now_ns, world.sidecars)
        for clients in world.clients:
            clients.loop.wake(clients.close)
        kernel.run(until_ns + QUIET_PERIOD_NS)
        for process in world.processes():
            world.checks.check_process(kernel.now_ns, process)
            world.checks.check_remaining_state(kernel.now_ns, process)
        world.rules.counts["errors"] = world.network.failing_calls.count
        return world.rules.violations
