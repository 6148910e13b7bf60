"""Interfaces that a client connection needs: server, message parser, source of a streamed response."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol, TypeVar

from ...admission.clients import ClientConnections
from ...system import System
from ..loop_lag import LoopLagMonitor
from ..memory_budget import MemoryBudget
from ..read_scheduler import ReadScheduler
from .request_parser import Message, ParsedRequest

_ConnectionT = TypeVar("_ConnectionT", contravariant=True)


class MessageParser(Protocol):
    """Turns a complete message into a request, as `RequestParser` does.

    Attributes:
        supports_streaming: Whether larger bodies may be streamed, each up to the `max_body_bytes` of its
            request.
    """

    supports_streaming: bool

    def parse(self, message: Message) -> ParsedRequest:
        """Parse a message.

        Raises:
            RequestError: The message is answered by the sidecar itself, not by an endpoint.
        """
        ...


class FlowControlled(Protocol):
    """The source of a streamed response body."""

    def set_paused(self, on: bool) -> None:
        """Pause or resume the source.

        Args:
            on: Whether to pause the source; otherwise it resumes.
        """
        ...


class ServerContext(Protocol):
    """The server as its connections see it: shared resources and the state of its shutdown.

    Attributes:
        loop: Event loop of the process.
        clients: Open connections of all clients.
        memory: Memory budget shared by all messages.
        read_scheduler: Queue of the connections whose input waits to be parsed.
        lag_monitor: Event loop monitor that is notified of the duration of parsing.
        parser: Parser of messages by the current settings.
        draining: Whether the graceful shutdown has begun.
        handing_over: Whether a newer process takes over in a hot restart, so that clients are to reconnect
            after their next response.
        accepting_requests: Whether new requests are still accepted.
        half_close: Whether a client that has closed its sending side may still await responses.
    """

    loop: asyncio.AbstractEventLoop
    clients: ClientConnections
    memory: MemoryBudget
    read_scheduler: ReadScheduler
    lag_monitor: LoopLagMonitor
    parser: MessageParser
    draining: bool
    handing_over: bool
    accepting_requests: bool
    half_close: bool

    @property
    def monotonic(self) -> Callable[[], float]:
        """The monotonic clock, in seconds."""
        ...

    @property
    def system(self) -> System:
        """Clocks and sockets of the operating system."""
        ...

    @property
    def now(self) -> Callable[[], int]:
        """The clock of deadlines, in nanoseconds."""
        ...

    def log_exception(self, text: str) -> None:
        """Log the exception that is being handled, with a rate limit."""
        ...


class RequestHandler(ServerContext, Protocol[_ConnectionT]):
    """Accepts and answers the requests of connections of type `_ConnectionT`."""

    def admit(self, connection: _ConnectionT, request: ParsedRequest) -> tuple[int, bytes, bytes] | None:
        """Admit a request and reserve the resources that it needs.

        Returns:
            None if it is admitted; otherwise status code, header lines and text of its rejection.
        """
        ...

    def accept(self, connection: _ConnectionT, request: ParsedRequest) -> None:
        """Accept an admitted request; the connection's `respond` or `begin_response` is then called once."""
        ...

    def disconnected(self, connection: _ConnectionT, request: ParsedRequest | None) -> None:
        """Record that a client connection is lost.

        Args:
            connection: The connection.
            request: Request that was being served on it; None if there was none.
        """
        ...


class ItemReceiver(Protocol):
    """The connection as its input side sees it: receiver of the assembled items."""

    @property
    def idle(self) -> bool:
        """Whether no request is pending and no input is being discarded."""
        ...

    def dispatch(self) -> None:
        """Serve the waiting items, and notify admission of the new state."""
        ...

    def send_continue(self) -> None:
        """Send 100 Continue, after which the client sends the body of its request (RFC 9110, 15.2.1)."""
        ...


class InputControl(Protocol):
    """The reader as the assembler sees it: it pauses while too much is queued.

    Attributes:
        paused: Whether reading is paused.
    """

    paused: bool

    def pause(self) -> None:
        """Stop reading from the socket."""
        ...

    def resume(self) -> None:
        """Resume reading, unless too much is still queued."""
        ...

    def observe_arrival(self) -> None:
        """Record how many bytes have arrived and are not parsed yet."""
        ...
