"""Interfaces of a sidecar's server that this package uses."""

from __future__ import annotations

from collections.abc import Collection
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import socket

    from ..admission.listener import Listener
    from ..net.clock import Clock
    from ..net.request_ids import RequestIds
    from ..net.service.pool import Pool


class AdminTarget(Protocol):
    """A server on which operators' requests are carried out."""

    @property
    def pools(self) -> Collection[Pool]:
        """All pools of the server; the collection changes with them."""
        ...

    @property
    def accepts_clients(self) -> bool:
        """Whether new clients are admitted."""
        ...


class RestartHost(Protocol):
    """A server that shares its clients, descriptors and memory with other processes of the sidecar.

    Attributes:
        handing_over: Whether clients should move to a newer process.
    """

    handing_over: bool

    @property
    def clock(self) -> Clock:
        """The clock of the server's deadlines."""
        ...

    @property
    def pools(self) -> Collection[Pool]:
        """All pools of the server; the collection changes with them."""
        ...

    @property
    def request_ids(self) -> RequestIds:
        """Ids of the requests that are open or have finished recently in this process."""
        ...

    @property
    def listener(self) -> Listener | None:
        """The listener for clients; None before the first one."""
        ...

    @property
    def draining(self) -> bool:
        """Whether the graceful shutdown has begun."""
        ...

    @property
    def total_descriptors(self) -> int:
        """Number of descriptors that all processes of the sidecar may use together."""
        ...

    def needed_descriptors(self) -> int:
        """Return the number of descriptors that this process can't release now."""
        ...

    def share_capacity(self, process_count: int, max_descriptors: int, /) -> None:
        """Limit this process to its quota of memory and descriptors.

        Args:
            process_count: Number of live processes, which share the memory of messages equally.
            max_descriptors: Number of descriptors that this process may use.
        """
        ...


class ManagedServer(RestartHost, AdminTarget, Protocol):
    """A server whose listener and shutdown are controlled from outside."""

    @property
    def pools(self) -> Collection[Pool]:
        """All pools of the server; the collection changes with them."""
        ...

    def listen(self, sock: socket.socket, /) -> Listener:
        """Begin to accept clients' connections on a listening socket."""
        ...

    def drain(self) -> None:
        """Start the graceful shutdown."""
        ...
