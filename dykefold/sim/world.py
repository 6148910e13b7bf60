"""Builds the simulated world of a scenario: network, servers, discovery, sidecars, clients and rules."""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

from ..balancer.settings import Effect, RequestClass, Scope, Settings
from ..routing.plan import ServicesPlan
from .clients import Clients
from .fault_world import DISCOVERY_HOST
from .kernel import EPOCH_NS, NS_PER_MS, NS_PER_S, Kernel, stream
from .membership_rules import MembershipRules
from .network import Network
from .nodes import PORT as NODE_PORT
from .nodes import Node
from .notified_lists import ListUpdate, NotifiedLists, PollRules
from .observer import WireObserver
from .process import PORT, Sidecar
from .process_checks import ProcessChecks
from .registry import Entry, Registry
from .requests import POOLS
from .rule_records import Violation
from .rules import Rules
from .scenario_player import ScenarioPlayer
from .schedule import CLOCK_STEPS_NS, Arrival, Fault, Scenario
from .server_faults import GRACE_NS
from .service_plans import make_plan
from .sockets import Address
from .state_directory import StateDirectoryContents

WRONG_CLOCK_SHARE = 0.5  # Fraction of the machines with a wrong clock, in a world with wrong clocks.


def settings_of(scenario: Scenario) -> Settings:
    """Return the settings that a platform would give the sidecars of a scenario."""
    spec = scenario.spec
    lookup_ns, hold_ns, order_ns = (deadline_ms * NS_PER_MS for deadline_ms in spec.deadlines_ms)
    scope = Scope.ALL if scenario.world == "services" else Scope.CELL
    return Settings(
        classes=[
            RequestClass("lookup", lookup_ns // 3, lookup_ns, 1.0, 0.25, Effect.SAFE),
            RequestClass("hold", hold_ns // 3, hold_ns, 3.0, 0.25, Effect.KEYED, scope, 700 * NS_PER_MS),
            RequestClass("order", order_ns // 3, order_ns, 10.0, 0.25, Effect.UNSAFE),
        ],
        zones=list(spec.zones),
        fleet_size=scenario.sidecars,
        poll_required=True,
        drain_grace_ns=GRACE_NS,
        start_capacity=spec.start_capacity,
        warm_within_ns=spec.warm_ns,
        overload_factor=3.0,
        overload_for_ns=2 * NS_PER_S,
        max_attempts=3,
        can_cancel=True,
        can_message_peers=True,
        retry_after=True,
        max_retry_after_ns=2 * NS_PER_S,
        connect_timeout_ns=250 * NS_PER_MS,
        report_columns=("qps", "util"),
    )


class SimulatedWorld:
    """The simulated world in which a scenario is played, once.

    Attributes:
        node_at: Current server at each address.
        nodes: Current servers by number.
        sidecars: First process of each sidecar.
        added_processes: Further processes of the sidecars, started by hot restarts.
        true_start_of: True start in Unix milliseconds, by server and by the start that discovery states.
        state_directories: State directory of each sidecar.
        plan: Services of a world with several; None for a world with one.
    """

    def __init__(self, scenario: Scenario) -> None:
        """Build the world and start its processes."""
        self.scenario = scenario
        self.kernel = Kernel(scenario.seed)
        self.network = Network(self.kernel)
        self.settings = settings_of(scenario)
        self.rules = Rules(
            self.settings.classes,
            self.settings.drain_grace_ns,
            self.settings.overload_factor,
            self.settings.overload_for_ns,
        )
        self.checks = ProcessChecks(self.rules, self.network)
        self.lists = NotifiedLists(self.rules)
        self.poll_rules = PollRules(self.rules, self.settings.max_poll_interval_ns)
        self.observer = WireObserver(self.kernel, self.rules, self._place_of)
        self.network.observer = self.observer
        self._build_servers()
        self._build_sidecars()
        self.clients = [
            Clients(self, number, [arrival for arrival in scenario.arrivals if arrival.sidecar == number])
            for number in range(scenario.sidecars)
        ]
        self.membership_rules: MembershipRules | None = None
        if scenario.spec.membership:
            self.membership_rules = MembershipRules(scenario.sidecars, self.rules)
        self.player = ScenarioPlayer(self)

    def _build_servers(self) -> None:
        """Create and start the servers and discovery."""
        scenario = self.scenario
        self.node_at: dict[str, Node] = {}
        self.replacements = 0
        self.true_start_of: dict[tuple[str, int], int] = {}
        self.nodes = [self._make_node(number) for number in range(scenario.servers)]
        self.clock_steps = stream(scenario.seed, "clocks")
        if scenario.spec.wrong_clocks:
            self._set_clocks()
        self.plan: ServicesPlan | None = None
        self.plan_number = 0
        if scenario.world == "services":
            self._make_plan()
        for node in self.nodes:
            node.start(cold=False)
        entries = {node.name: self.entry(node, "SERVING") for node in self.nodes}
        self.registry = Registry(self, 0, entries)

    def _build_sidecars(self) -> None:
        """Start the sidecars with discovery's current list."""
        numbers = range(self.scenario.sidecars)
        self.state_directories = [StateDirectoryContents() for _ in numbers]
        self.added_processes: list[Sidecar] = []
        self.sidecars = [Sidecar(self, number) for number in numbers]
        for sidecar in self.sidecars:
            self.lists.begin(sidecar.name, (0, self.registry.version), self.registry.entries)
            sidecar.start()

    def play(self, max_steps: int | None = None) -> list[Violation]:
        """Run to the end of the quiet period, and return the violations."""
        return self.player.play(max_steps)

    # Sidecars

    def processes(self) -> list[Sidecar]:
        """Return all processes of sidecars, in the order in which they were made."""
        return [*self.sidecars, *self.added_processes]

    def living(self, number: int) -> list[Sidecar]:
        """Return the living processes of a sidecar, the oldest first."""
        living = [process for process in self.processes() if process.number == number and process.alive]
        return sorted(living, key=lambda process: process.began_ns)

    def add_process(self, number: int) -> Sidecar:
        """Start a further process of a sidecar."""
        process = Sidecar(self, number, len(self.added_processes) + 1)
        self.added_processes.append(process)
        process.start()
        return process

    def settings_at(self, number: int) -> Settings:
        """Return the settings of a sidecar."""
        spec = self.scenario.spec
        zone = number % len(spec.zones) if spec.spread_zones else 0
        return dataclasses.replace(self.settings, zone=zone, index=number)

    def front_address(self, number: int) -> Address:
        """Return the address at which a sidecar accepts clients."""
        return self.sidecars[number].address, PORT

    def close_means_left(self, number: int) -> bool:
        """Return whether this sidecar takes the close of a connection as the client's departure."""
        server = self.sidecars[number].server
        return server is not None and not server.half_close

    def check_process(self, process: Sidecar) -> None:
        """Check the bounds of a process, and that it has had no unhandled error."""
        self.checks.check_process(self.kernel.now_ns, process)

    def membership_disturbed(self) -> None:
        """Restart the time within which the memberships must settle."""
        assert self.membership_rules is not None
        self.membership_rules.disturbed(self.kernel.now_ns)

    # Servers

    def _make_node(self, number: int) -> Node:
        name = f"n{number}" if not self.replacements else f"n{number}v{self.replacements}"
        address = f"10.1.0.{number + 1}"
        pool = POOLS[number % len(POOLS)] if self.scenario.world == "services" else ""
        node = self.node_at[address] = Node(self, name, address, 0 if pool else number % 2, pool)
        return node

    def replace_node(self, number: int) -> Node:
        """Replace a server by a new one, which has to warm up."""
        self.replacements += 1
        node = self.nodes[number] = self._make_node(number)
        node.start(cold=True)
        return node

    def _place_of(self, address: str) -> tuple[str, int] | None:
        node = self.node_at.get(address)
        return (node.name, node.group) if node is not None else None

    def zone_of(self, node: Node) -> str:
        """Return the zone of a server."""
        zones = self.scenario.spec.zones
        return zones[_last_byte(node) % len(zones)]

    def entry(self, node: Node, status: str) -> Entry:
        """Return the entry of a server in discovery's list."""
        return {
            "name": node.name,
            "address": f"{node.address}:{NODE_PORT}",
            "zone": self.zone_of(node),
            "type": "std",
            "group": node.group,
            "status": status,
            "weight": 1.0,
            "since_ms": node.since_ms,
        }

    # Clocks

    def stamp_ms(self, node: Node) -> int:
        """Return the start of a server that starts now, as the endpoint list will state it.

        It is read from the server's own clock, or from discovery's for every other server: operators decide
        which of them writes `since_ms`, and either clock may be wrong.
        """
        host = node.name if _last_byte(node) % 2 else DISCOVERY_HOST
        start_ms = self.network.wall_ns(host) // NS_PER_MS
        self.true_start_of[node.name, start_ms] = (EPOCH_NS + self.kernel.now_ns) // NS_PER_MS
        return start_ms

    def true_start_ms(self, entry: Entry) -> int:
        """Return the true time of the start that an entry states, by a correct clock."""
        return self.true_start_of.get((entry["name"], entry["since_ms"]), entry["since_ms"])

    def _set_clocks(self) -> None:
        """Set a wrong clock at half of the machines."""
        sidecars = [f"sidecar{number}" for number in range(self.scenario.sidecars)]
        for host in [*sidecars, *(node.name for node in self.nodes), DISCOVERY_HOST]:
            if self.clock_steps.random() < WRONG_CLOCK_SHARE:
                self.step_clock(host, self.draw_clock_step_ns())

    def draw_clock_step_ns(self) -> int:
        """Draw the nanoseconds by which a clock steps."""
        return self.clock_steps.choice(CLOCK_STEPS_NS)

    def step_clock(self, host: str, step_ns: int) -> None:
        """Step the wall clock of a host."""
        steps_ns = self.network.clock_steps_ns
        steps_ns[host] = steps_ns.get(host, 0) + step_ns
        self.kernel.note(f"the clock of {host} steps by {step_ns // NS_PER_S} s")

    # Discovery

    def discovery_called(self, sidecar: str, failed: bool = False) -> None:
        """Record that a sidecar has called discovery, or watched it until now."""
        self.poll_rules.called(self.kernel.now_ns, sidecar, failed)

    def discovery_changed(self) -> None:
        """Record that discovery has gone down, moved or recovered, which restarts the poll intervals."""
        self.poll_rules.changed_ns = self.kernel.now_ns

    def move_discovery(self) -> Registry:
        """Start discovery at another address and return the former service."""
        entries = {node.name: self.entry(node, "SERVING") for node in self.nodes if node.alive}
        former = self.registry
        self.registry = Registry(self, former.number + 1, entries)
        self.discovery_changed()
        return former

    def list_arrived(
        self, sidecar: str, registry: Registry, version: int, complete: bool, entries: Sequence[Entry]
    ) -> None:
        """Record that a list or a change has arrived at a sidecar."""
        current = registry is self.registry
        at_ns, list_version = self.kernel.now_ns, (registry.number, version)
        self.lists.update(ListUpdate(at_ns, sidecar, list_version, current, complete, entries))

    def known_list(self, sidecar: str) -> dict[str, int | bool | list[Entry]]:
        """Return the endpoint list with which a sidecar starts: its latest one."""
        return self.lists.encoded(sidecar)

    # Several services

    def _make_plan(self) -> None:
        self.plan = make_plan(self.plan_number, self.settings.classes, self.nodes)

    def change_plan(self) -> None:
        """Switch to the next services plan."""
        self.plan_number += 1
        self._make_plan()

    def plan_applied(self, sidecar: str) -> None:
        """Record that a sidecar has applied the current plan: other servers may get no new requests."""
        assert self.plan is not None
        addresses = {address[0] for pool in self.plan.pools.values() for address in pool.servers}
        for node in self.nodes:
            named = node.address in addresses
            self.rules.endpoint_notified(self.kernel.now_ns, sidecar, node.name, named, 0)


def _last_byte(node: Node) -> int:
    """Return the last byte of a server's address, which selects its zone and the clock of its start."""
    return int(node.address.rpartition(".")[2])


def without(scenario: Scenario, faults: tuple[Fault, ...], arrivals: tuple[Arrival, ...]) -> Scenario:
    """Return a copy of the scenario with these faults and requests."""
    return dataclasses.replace(scenario, faults=faults, arrivals=arrivals)
