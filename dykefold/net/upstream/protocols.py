"""Interfaces between the classes of this package."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol, TypeVar

from ...system import ReadPoller
from .classify import HttpProfile

ConnectionT_contra = TypeVar("ConnectionT_contra", contravariant=True)


class ExchangeConnection(Protocol):
    """The connection that carries an exchange, as used by the exchange and its owner.

    Attributes:
        blocked: Whether reading is paused because the client reads a streamed response too slowly.
        unwritten: Whether bytes are buffered in the transport.
        readiness: Poller of the socket; tells whether data or the end of the stream can be read.
        monotonic: Clock, in seconds.
    """

    blocked: bool
    unwritten: bool
    readiness: ReadPoller
    monotonic: Callable[[], float]

    @property
    def size(self) -> int:
        """Number of bytes that have been read for the exchange."""
        ...

    @property
    def incomplete(self) -> bool:
        """Whether the last byte of the exchange is not written yet, so that the request cannot have run."""
        ...

    @property
    def response_flows(self) -> bool:
        """Whether a successful response of unknown length has begun and is being buffered."""
        ...

    def stream_response(self) -> bool:
        """Stream the response that flows; return whether it is streamed from now on."""
        ...

    def set_paused(self, on: bool) -> None:
        """Pause (`on`) or resume reading."""
        ...

    def transferred_bytes(self) -> int:
        """Return the number of bytes read for the exchange, plus those of its body accepted by the kernel."""
        ...

    def withdraw(self) -> None:
        """End the incomplete exchange as not attempted."""
        ...

    def detach_exchange(self) -> None:
        """Remove the exchange from the connection without reporting its end."""
        ...

    def close(self, discard: bool = False) -> None:
        """Close the connection immediately; `discard` drops bytes that the kernel has not sent yet."""
        ...


class ResponseConsumer(Protocol):
    """The exchange, as used by the reader of its response.

    Attributes:
        profile: Rules by which the response is classified.
        max_response_bytes: Maximum size of a buffered response body, in bytes.
        max_streamed_bytes: Maximum size of a streamed response body, in bytes; 0 disables streaming.
    """

    profile: HttpProfile
    max_response_bytes: int
    max_streamed_bytes: int

    def begin_response(
        self, code: int, headers: list[tuple[bytes, bytes]], length: int | None, load: bytes
    ) -> bool:
        """Handle the head of a response too long to be buffered; return whether its body is accepted."""
        ...

    def send_response_chunk(self, data: bytes) -> None:
        """Handle the next bytes of a streamed response body."""
        ...


class ConnectionOwner(Protocol[ConnectionT_contra]):
    """The pool, as used by one of its connections."""

    def keep_idle(self, connection: ConnectionT_contra, now_s: float) -> None:
        """Reuse an available connection for a waiting exchange, keep it idle, or close it."""
        ...

    def on_closed(self, connection: ConnectionT_contra) -> None:
        """Remove a closing connection from all counts."""
        ...


class ConnectingOwner(Protocol[ConnectionT_contra]):
    """The pool, as used while a new connection is being established.

    Attributes:
        loop: Event loop that connects the socket.
        monotonic: Clock, in seconds.
        connect_timeout_s: Connect timeout, in seconds.
    """

    loop: asyncio.AbstractEventLoop
    monotonic: Callable[[], float]
    connect_timeout_s: float

    def keep_idle(self, connection: ConnectionT_contra, now_s: float) -> None:
        """Reuse an available connection for a waiting exchange, keep it idle, or close it."""
        ...

    def is_unneeded(self, connection: ConnectionT_contra) -> bool:
        """Return whether a connection is being opened for an exchange that no longer needs it."""
        ...

    def on_connect_ended(self, connection: ConnectionT_contra) -> None:
        """Remove a connection whose connect has ended from those whose connect may be cancelled."""
        ...
