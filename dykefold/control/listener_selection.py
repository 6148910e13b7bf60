"""Directs new connections to the newest of the processes that share the clients' address."""

from __future__ import annotations

import logging
import socket
from collections.abc import Callable, Iterable

from .hot_restart_state import ProcessHeartbeat
from .reuseport_group import ReuseportGroup

log = logging.getLogger("dykefold.control")


class ListenerSelection:
    """The listener of this process in its reuseport group.

    Args:
        has_listener: Whether this process listens for clients at the time of the call.
    """

    def __init__(self, has_listener: Callable[[], bool]) -> None:
        self.has_listener = has_listener
        self.sock: socket.socket | None = None  # listening socket for clients
        self.group = ReuseportGroup()
        self.filter_accepted = True  # a refusal is logged only after an acceptance

    @property
    def listener_index(self) -> int | None:
        """Index of this process's listener in the group; None without a listener or with an unknown index."""
        return self.group.index if self.has_listener() else None

    def join(self, sock: socket.socket, others: Iterable[ProcessHeartbeat]) -> None:
        """Add a socket that has just begun to listen, after the listeners of the other processes."""
        self.sock = sock
        self.group.join(_indexes(others))

    def update(self, leads: bool, others: Iterable[ProcessHeartbeat]) -> None:
        """Direct new connections to this process while others listen at the same address.

        Each observation calls this, since a process that led meanwhile has directed connections to itself.

        Args:
            leads: Whether new clients should come to this process.
            others: Heartbeats of the other live processes.
        """
        indexes = _indexes(others)
        index = self.group.update(indexes)
        if self.sock is None or not self.has_listener() or not leads or not indexes:
            return
        # Imported here, since a process without others does not need ctypes.
        from .reuseport_filter import select_by_hash, select_listener

        try:
            if index is None:
                select_by_hash(self.sock)
            else:
                select_listener(self.sock, index)
        except OSError as error:
            if self.filter_accepted:
                log.warning("kernel refused reuseport filter: %s", error.strerror)
            self.filter_accepted = False
        else:
            self.filter_accepted = True


def _indexes(others: Iterable[ProcessHeartbeat]) -> dict[str, int]:
    """Return the indexes of other processes' listeners, by process name."""
    return {other.name: other.listener_index for other in others if other.listener_index is not None}
