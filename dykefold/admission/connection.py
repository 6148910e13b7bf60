"""A client's connection, as admission needs it."""

from __future__ import annotations

import socket
from collections.abc import Sequence
from typing import Any, Protocol

from .client import Client


class ManagedConnection(Protocol):
    """A client's connection that admission may close.

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
        """Whether a message has begun and not ended."""
        ...

    @property
    def busy(self) -> bool:
        """Whether a request is pending, or the client leaves bytes of a response unread."""
        ...

    @property
    def idle(self) -> bool:
        """Whether it can be closed without harm."""
        ...

    def accepted(self, sock: socket.socket) -> None:
        """Note the accepted socket; its transport is still to be made."""
        ...

    def pending_requests(self) -> Sequence[Any]:
        """Return its pending requests, in order."""
        ...

    def close(self) -> None:
        """Close at once."""
        ...

    def evict(self) -> None:
        """Close for the sake of other clients, with a rejection where a message has begun."""
        ...

    def reject_unfinished(self, text: str) -> None:
        """Reject the message that has begun, behind the responses to those before it."""
        ...

    def has_unread_input(self) -> bool:
        """Return whether bytes of the client, or its end, were not read yet."""
        ...

    def close_when_idle(self) -> None:
        """Close so that nothing on its way is lost, unless the client has sent more."""
        ...

    def expire(self) -> None:
        """Reject the message that has not come to an end in time."""
        ...
