"""Has the kernel give new connections to the newest process that shares the clients' address."""

from __future__ import annotations

import logging
import socket
from collections.abc import Iterable

from ..net.sidecar import SidecarServer
from .hot_restart_state import ProcessHeartbeat
from .reuseport_group import ReuseportGroup

log = logging.getLogger("dykefold.control")


class ListenerSelection:
    """The listener of this process in its reuseport group."""

    def __init__(self, sidecar: SidecarServer) -> None:
        """Prepare for a process that does not listen yet."""
        self.sidecar = sidecar
        self.sock: socket.socket | None = None  # that clients connect to
        self.group = ReuseportGroup()
        self.accepted = True  # the kernel took the last filter; else its refusal has been logged

    @property
    def listener_index(self) -> int | None:
        """The index of the own listener in the group; None while it has none, or it is not known."""
        return self.group.index if self.sidecar.listener is not None else None

    def join(self, sock: socket.socket, others: Iterable[ProcessHeartbeat]) -> None:
        """Take a socket that has just begun to listen, after those of all these processes."""
        self.sock = sock
        self.group.join(_indexes(others))

    def update(self, leads: bool, others: Iterable[ProcessHeartbeat]) -> None:
        """Have new connections come to this process, while they could come to another one as well.

        It is done at each look: a process that led meanwhile has turned them to itself.

        Args:
            leads: whether new clients should come to this process.
            others: the other processes that live.
        """
        indexes = _indexes(others)
        index = self.group.update(indexes)
        if self.sock is None or self.sidecar.listener is None or not leads or not indexes:
            return
        # Imported here, since a process that takes over from nobody does not need ctypes.
        from .reuseport_filter import select_by_hash, select_listener

        try:
            if index is None:
                select_by_hash(self.sock)
            else:
                select_listener(self.sock, index)
        except OSError as error:
            if self.accepted:
                log.warning("kernel refused reuseport filter: %s", error.strerror)
            self.accepted = False
        else:
            self.accepted = True


def _indexes(others: Iterable[ProcessHeartbeat]) -> dict[str, int]:
    """Return the indexes of other processes' listeners, by process name."""
    return {other.name: other.listener_index for other in others if other.listener_index is not None}
