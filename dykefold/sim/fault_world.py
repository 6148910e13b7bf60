"""What faults need of the world in which they happen."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from ..routing.plan import ServicesPlan
from .clients import Clients
from .kernel import Kernel
from .network import Network
from .nodes import Node
from .process import Sidecar
from .registry import Entry, Registry
from .rules import Rules
from .schedule import Fault, Scenario
from .state_directory import SharedFolder

DISCOVERY_HOST = "discovery"  # Host whose clock discovery uses, whatever its address.

FaultHandler = Callable[[Fault], None]


class FaultWorld(Protocol):
    """A world in which faults happen (`world.Running`).

    Attributes:
        nodes: Servers by number; each may be replaced.
        sidecars: First process of each sidecar.
        clients: Clients of each sidecar.
        folders: State directory of each sidecar.
        plan: Services of a world with several; None for a world with one.
    """

    scenario: Scenario
    kernel: Kernel
    network: Network
    rules: Rules
    nodes: list[Node]
    sidecars: list[Sidecar]
    clients: list[Clients]
    folders: list[SharedFolder]
    registry: Registry
    plan: ServicesPlan | None

    def processes(self) -> list[Sidecar]:
        """Return all processes of sidecars, in the order in which they were made."""
        ...

    def living(self, number: int) -> list[Sidecar]:
        """Return the living processes of a sidecar, the oldest first."""
        ...

    def add_process(self, number: int) -> Sidecar:
        """Start a further process of a sidecar."""
        ...

    def zone_of(self, node: Node) -> str:
        """Return the zone in which a server stands."""
        ...

    def entry(self, node: Node, status: str) -> Entry:
        """Return what discovery tells of a server."""
        ...

    def replace_node(self, number: int) -> Node:
        """Start another server, cold, in the place of one."""
        ...

    def change_plan(self) -> None:
        """Go on to the next plan of the services."""
        ...

    def move_discovery(self) -> Registry:
        """Start discovery at another address; returns the former one."""
        ...

    def draw_clock_step_ns(self) -> int:
        """Draw by how much a clock steps."""
        ...

    def step_clock(self, host: str, step_ns: int) -> None:
        """Have the wall clock of a host step."""
        ...

    def membership_disturbed(self) -> None:
        """Give memberships their time anew."""
        ...


class FaultGroup:
    """Faults of one kind of thing: a handler for each kind begins it and has it end."""

    def __init__(self, world: FaultWorld) -> None:
        """Prepare for the faults of a world."""
        self.world = world
        self.kernel = world.kernel
        self.network = world.network

    def at_end(self, fault: Fault, act: Callable[..., object], *arguments: object) -> None:
        """Have something done at the end of a fault."""
        self.kernel.after(fault.span_ns, act, *arguments)

    def handlers(self) -> dict[str, FaultHandler]:
        """Return what begins each kind of fault of the group, by the kind."""
        raise NotImplementedError
