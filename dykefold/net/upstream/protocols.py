"""What the parts of this folder need of those that own or carry them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol, TypeVar

from ...system import Watch
from .classify import HttpProfile

ConnectionT_contra = TypeVar("ConnectionT_contra", contravariant=True)


class ExchangeConnection(Protocol):
    """The connection that carries an exchange, as the exchange and its owner see it.

    Attributes:
        blocked: Whether reading is stopped because the client takes no more of a streamed response.
        unwritten: Whether bytes wait in the transport.
        readiness: Watch on the socket: whether bytes or its end wait to be read.
        monotonic: Clock, in seconds.
    """

    blocked: bool
    unwritten: bool
    readiness: Watch
    monotonic: Callable[[], float]

    @property
    def size(self) -> int:
        """Bytes that have been read for the exchange."""
        ...

    @property
    def incomplete(self) -> bool:
        """Whether the last byte of the exchange is not written: the request cannot have run."""
        ...

    def block(self, on: bool) -> None:
        """Stop or resume reading."""
        ...

    def transferred_bytes(self) -> int:
        """Return the bytes of the exchange that were read, or that the kernel has accepted of its body."""
        ...

    def withdraw(self) -> None:
        """End the exchange, which is incomplete, as not attempted."""
        ...

    def detach_exchange(self) -> None:
        """Carry the exchange no more, without reporting its end."""
        ...

    def close(self, discard: bool = False) -> None:
        """Close the connection at once."""
        ...


class ResponseConsumer(Protocol):
    """The exchange, as the reader of its response sees it.

    Attributes:
        profile: Rules by which the response is classified.
        max_response_bytes: Maximum of a buffered response body, in bytes.
        max_streamed_bytes: Maximum of a response body that is streamed, in bytes; with 0 none is.
    """

    profile: HttpProfile
    max_response_bytes: int
    max_streamed_bytes: int

    def begin_response(
        self, code: int, headers: list[tuple[bytes, bytes]], length: int | None, load: bytes
    ) -> bool:
        """Handle the head of a response too long to be buffered; return whether its body is wanted."""
        ...

    def send_response_piece(self, data: bytes) -> None:
        """Handle the next bytes of a streamed response body."""
        ...


class ConnectionOwner(Protocol[ConnectionT_contra]):
    """The pool, as one of its connections sees it."""

    def keep_idle(self, connection: ConnectionT_contra, now_s: float) -> None:
        """Reuse a connection that has become free, keep it idle, or close it."""
        ...

    def on_closed(self, connection: ConnectionT_contra) -> None:
        """Remove a connection that closes from all counts."""
        ...


class ConnectingOwner(Protocol[ConnectionT_contra]):
    """The pool, as the connect of a new connection sees it.

    Attributes:
        loop: Event loop that connects the socket.
        monotonic: Clock, in seconds.
        connect_timeout_s: Seconds until a connect is given up.
    """

    loop: asyncio.AbstractEventLoop
    monotonic: Callable[[], float]
    connect_timeout_s: float

    def keep_idle(self, connection: ConnectionT_contra, now_s: float) -> None:
        """Reuse a connection that has become free, keep it idle, or close it."""
        ...

    def is_unneeded(self, connection: ConnectionT_contra) -> bool:
        """Return whether a connection is made for an exchange that does not need it any more."""
        ...

    def on_connect_ended(self, connection: ConnectionT_contra) -> None:
        """Remove a connection whose connect has ended from those that may still be cancelled."""
        ...
