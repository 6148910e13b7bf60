"""Open requests of simulated clients, and the interface of the world that clients use."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from .kernel import NS_PER_MS, Kernel
from .network import Network
from .observer import WireObserver
from .rules import Rules
from .schedule import Arrival
from .sockets import Address, ProcessLoop


class ClientWorld(Protocol):
    """The part of a simulated world (`world.SimulatedWorld`) that clients use."""

    kernel: Kernel
    network: Network
    rules: Rules
    observer: WireObserver

    def front_address(self, number: int) -> Address:
        """Return the address at which a sidecar accepts clients."""
        ...

    def close_means_left(self, number: int) -> bool:
        """Return whether this sidecar takes the close of a connection as the client's departure."""
        ...


@dataclass(slots=True)
class OpenRequest:
    """A request that waits for its answer.

    Attributes:
        due_ns: Time in nanoseconds by which the answer is due.
        paused_ns: Nanoseconds for which the sidecar's process had been paused when the request was sent.
        end_bytes: Number of bytes on the connection up to the end of the request.
        process: Name of the sidecar's process that it was sent to.
    """

    ident: str
    arrival: Arrival
    due_ns: int
    sent_ns: int
    paused_ns: int
    end_bytes: int
    process: ProcessLoop

    def restart_deadline(self, now_ns: int) -> None:
        """Restart the deadline now, if that makes it later."""
        self.due_ns = max(self.due_ns, now_ns + self.arrival.deadline_ms * NS_PER_MS)
