"""What a client's connection needs of others: server, parser of messages, source of a streamed response."""

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


class MessageReader(Protocol):
    """Turns a whole message into a request, as `RequestParser` does.

    Attributes:
        streams: Whether larger bodies may be streamed, each up to the `max_body_bytes` of its request.
    """

    streams: bool

    def read(self, message: Message) -> ParsedRequest:
        """Parse a message.

        Raises:
            RequestError: The sidecar itself answers the message; no endpoint gets it.
        """
        ...


class FlowControlled(Protocol):
    """The source of a response body that is passed on piece by piece."""

    def block(self, on: bool) -> None:
        """Pause or resume the source.

        Args:
            on: Whether the source pauses.
        """
        ...


class ServerContext(Protocol):
    """The server as its connections see it: what they share, and how far its shutdown has come.

    Attributes:
        loop: Event loop of the process.
        clients: Open connections of all clients.
        memory: Memory budget of all messages.
        read_scheduler: Queue of the connections whose input waits to be parsed.
        lag_monitor: Monitor that is notified of the time that parsing takes.
        parser: Parser of messages by the present settings.
        draining: Whether the graceful shutdown has begun.
        handing_over: Whether a newer process takes over in a hot restart; clients reconnect to it after
            their next response.
        accepting_requests: Whether requests are still accepted.
        half_close: Whether a client that has closed its sending side may still await responses.
    """

    loop: asyncio.AbstractEventLoop
    clients: ClientConnections
    memory: MemoryBudget
    read_scheduler: ReadScheduler
    lag_monitor: LoopLagMonitor
    parser: MessageReader
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
        """The machine's clocks and sockets."""
        ...

    @property
    def now(self) -> Callable[[], int]:
        """The clock of deadlines, in nanoseconds."""
        ...

    def log_exception(self, text: str) -> None:
        """Log the exception that is being handled, at a limited rate."""
        ...


class RequestHandler(ServerContext, Protocol[_ConnectionT]):
    """Accepts the requests of connections, which are of type `_ConnectionT`, and answers them."""

    def admit(self, connection: _ConnectionT, request: ParsedRequest) -> tuple[int, bytes, bytes] | None:
        """Reserve what a request will need.

        Returns:
            None if it is admitted, else status code, header lines and text of its rejection.
        """
        ...

    def accept(self, connection: _ConnectionT, request: ParsedRequest) -> None:
        """Accept an admitted request; `respond` or `begin_response` of the connection is called once."""
        ...

    def disconnected(self, connection: _ConnectionT, request: ParsedRequest | None) -> None:
        """Record that a client's connection is lost.

        Args:
            connection: The connection.
            request: Its request that was being served; None if there was none.
        """
        ...


class ItemReceiver(Protocol):
    """The connection as its input sees it: takes the items that were read."""

    @property
    def idle(self) -> bool:
        """Whether nothing is pending, and no input is discarded."""
        ...

    def dispatch(self) -> None:
        """Serve the waiting items, and notify admission of the new state."""
        ...

    def send_continue(self) -> None:
        """Tell the client that it may send the body of its request (RFC 9110, 15.2.1)."""
        ...


class InputControl(Protocol):
    """The reader as the assembler sees it: it pauses while too much waits."""

    def pause(self) -> None:
        """Stop reading from the socket."""
        ...

    def resume(self) -> None:
        """Resume reading, unless too much waits."""
        ...
