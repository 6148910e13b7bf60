"""Requests of virtual clients, and what clients need of their world."""

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
    """What clients need of their world (`world.Running`)."""

    kernel: Kernel
    network: Network
    rules: Rules
    observer: WireObserver

    def front_address(self, number: int) -> Address:
        """Return the address at which a sidecar takes clients."""
        ...

    def close_means_left(self, number: int) -> bool:
        """Return whether for this sidecar a client whose connection ends has left."""
        ...


@dataclass(slots=True)
class OpenRequest:
    """A request that waits for its answer.

    Attributes:
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

    def wait_from(self, now_ns: int) -> None:
        """Have its whole time from now on, if that is later."""
        self.due_ns = max(self.due_ns, now_ns + self.arrival.deadline_ms * NS_PER_MS)
