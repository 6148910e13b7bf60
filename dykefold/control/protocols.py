"""Interfaces of a sidecar's server, and of the state directory, that this package uses."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    import socket

    from ..admission.listener import Listener
    from ..net.clock import Clock
    from ..net.request_ids import RequestIds
    from ..net.service.pool import Pool
    from .append_log import Logs


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


class StateDirectory(Protocol):
    """Records by name, which every process of the sidecar can read.

    Attributes:
        logs: Append-only logs by name.
    """

    logs: Logs

    def changed(self) -> bool:
        """Whether anything may have been written since the last `read_all`."""
        ...

    def write(self, name: str, record: Mapping[str, Any], /, durable: bool = False) -> bool:
        """Write a record, replacing an earlier record of that name.

        Args:
            name: Name of the record.
            record: Contents of the record, which are stored as JSON.
            durable: Whether the record must survive a crash of the machine before this returns.

        Returns:
            Whether the record was written.
        """
        ...

    def read(self, name: str) -> dict[str, Any] | None:
        """Return the record of a name; None if it is missing or can't be read."""
        ...

    def read_all(self, *prefixes: str) -> dict[str, dict[str, Any]]:
        """Return all readable records whose names begin with one of the prefixes, by name."""
        ...

    def remove(self, name: str) -> None:
        """Remove a record and its lock; a missing record is no error."""
        ...

    def lock(self, name: str) -> bool:
        """Lock a name until this process ends, to show that the process is alive.

        Repeated calls are harmless. A call after the lock file was removed locks a new file.

        Returns:
            Whether the name is locked.
        """
        ...

    def is_alive(self, name: str) -> bool | None:
        """Whether the process that locked a name is alive; None if that can't be determined."""
        ...

    def boot_id(self) -> str:
        """Return the identifier of this boot of the machine; empty if the system has none."""
        ...
