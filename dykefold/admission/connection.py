"""Interface of a client connection that admission depends on."""

from __future__ import annotations

import socket
from collections.abc import Sequence
from typing import Any, Protocol

from .client import Client


class ManagedConnection(Protocol):
    """A client connection that admission may close.

    Attributes:
        client: Record of the client.
    """

    client: Client

    @property
    def paused(self) -> bool:
        """Whether reading is paused."""
        ...

    @property
    def discarding_input(self) -> bool:
        """Whether input is read and discarded."""
        ...

    @property
    def messages(self) -> int:
        """Number of complete messages received."""
        ...

    @property
    def message_unfinished(self) -> bool:
        """Whether a message is incomplete."""
        ...

    @property
    def busy(self) -> bool:
        """Whether a request is pending, or bytes of a response are still unread by the client."""
        ...

    @property
    def idle(self) -> bool:
        """Whether the connection can be closed without losing a request or a response."""
        ...

    def attach_socket(self, sock: socket.socket) -> None:
        """Store the accepted socket; its transport does not exist yet."""
        ...

    def pending_requests(self) -> Sequence[Any]:
        """Return the pending requests, in order."""
        ...

    def close(self) -> None:
        """Close at once."""
        ...

    def evict(self) -> None:
        """Close to make room for other clients; an incomplete message is rejected."""
        ...

    def reject_unfinished(self, text: str) -> None:
        """Reject the incomplete message, after the responses to the requests before it."""
        ...

    def has_unread_input(self) -> bool:
        """Return whether bytes from the client, or its end of stream, were not read yet."""
        ...

    def close_when_idle(self) -> None:
        """Close without losing data in transit, unless the client has sent more."""
        ...

    def expire(self) -> None:
        """Reject the message that was not completed in time."""
        ...
