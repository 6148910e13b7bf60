"""The interface of the world that faults use, and the base of the groups of faults."""

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
from .state_directory import StateDirectoryContents

DISCOVERY_HOST = "discovery"  # Host of discovery's clock, which a change of its address keeps.

FaultHandler = Callable[[Fault], None]


class FaultWorld(Protocol):
    """The part of a simulated world (`world.SimulatedWorld`) that faults use.

    Attributes:
        nodes: Current server of each number; a server may be replaced.
        sidecars: First process of each sidecar.
        clients: Clients of each sidecar.
        state_directories: State directory of each sidecar.
        plan: Services of a world with several; None for a world with one.
    """

    scenario: Scenario
    kernel: Kernel
    network: Network
    rules: Rules
    nodes: list[Node]
    sidecars: list[Sidecar]
    clients: list[Clients]
    state_directories: list[StateDirectoryContents]
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
        """Return the zone of a server."""
        ...

    def entry(self, node: Node, status: str) -> Entry:
        """Return the entry of a server in discovery's list."""
        ...

    def replace_node(self, number: int) -> Node:
        """Replace a server by a new one, which has to warm up."""
        ...

    def change_plan(self) -> None:
        """Switch to the next services plan."""
        ...

    def move_discovery(self) -> Registry:
        """Start discovery at another address and return the former service."""
        ...

    def draw_clock_step_ns(self) -> int:
        """Draw the nanoseconds by which a clock steps."""
        ...

    def step_clock(self, host: str, step_ns: int) -> None:
        """Step the wall clock of a host."""
        ...

    def membership_disturbed(self) -> None:
        """Restart the time within which the memberships must settle."""
        ...


class FaultGroup:
    """Base of the faults of one subject: a handler for each kind begins the fault and schedules its end."""

    def __init__(self, world: FaultWorld) -> None:
        """Create the group of a world."""
        self.world = world
        self.kernel = world.kernel
        self.network = world.network

    def schedule_end(self, fault: Fault, callback: Callable[..., object], *arguments: object) -> None:
        """Register a callback that is called with these arguments at the end of a fault."""
        self.kernel.after(fault.span_ns, callback, *arguments)

    def handlers(self) -> dict[str, FaultHandler]:
        """Return the handlers that begin the faults of the group, by kind."""
        raise NotImplementedError
