"""Rejection of accepted sockets: the responses, and a bound on rejected connections still open."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from .decision import RejectionReason
from .rejected_connection import RejectedConnection

RETRY_AFTER_S = 1
MAX_LINGERING = 8  # Rejected connections still open; each uses one of `ACCEPTED_DESCRIPTORS`.


def _response(status: str, text: str) -> bytes:
    body = f"refused: {text}\n"
    head = f"HTTP/1.1 {status}\r\nRetry-After: {RETRY_AFTER_S}\r\nConnection: close\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n{body}".encode()


RESPONSES = {
    RejectionReason.CONNECTIONS_OF_ADDRESS: _response(
        "429 Too Many Requests", "too many connections from this address"
    ),
    RejectionReason.NEW_CONNECTIONS_OF_ADDRESS: _response(
        "429 Too Many Requests", "too many new connections from this address"
    ),
    RejectionReason.ALL_CONNECTIONS: _response("503 Service Unavailable", "too many connections"),
}


class Rejections:
    """Rejected connections that are still open, oldest first; at most `MAX_LINGERING`.

    Args:
        loop: Event loop of the connections.
        on_closed: Called when the descriptor of a rejected connection is closed.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, on_closed: Callable[[], None]) -> None:
        self._loop = loop
        self._on_closed = on_closed
        self._open: dict[RejectedConnection, None] = {}

    def __len__(self) -> int:
        """Return the number of open rejected connections."""
        return len(self._open)

    def add(self, sock: socket.socket, reason: RejectionReason) -> None:
        """Reject an accepted socket; close the oldest rejected connection if there are too many.

        Args:
            sock: Accepted socket; it is always closed in the end.
            reason: Limit on connections that was exceeded.
        """
        if len(self._open) >= MAX_LINGERING:
            next(iter(self._open)).close()
        rejected = RejectedConnection(self._loop, sock, RESPONSES[reason], self._on_connection_closed)
        if not rejected.closed:
            self._open[rejected] = None

    def close_all(self) -> None:
        """Close all rejected connections, to free their descriptors."""
        for rejected in list(self._open):
            rejected.close()

    def _on_connection_closed(self, rejected: RejectedConnection) -> None:
        self._open.pop(rejected, None)
        self._on_closed()
