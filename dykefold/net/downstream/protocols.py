"""What a client's connection needs of others: handler of requests, parser, source of a streamed answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

from ...admission.clients import ClientConnections
from ...system import System
from ..loop_lag import LoopLagMonitor
from ..memory_budget import MemoryBudget
from ..read_scheduler import ReadScheduler
from .request_parser import Message, ParsedRequest

if TYPE_CHECKING:
    from .connection import ClientConnection


class MessageReader(Protocol):
    """Turns a whole message into a request, as `RequestParser` does."""

    streams: bool  # whether larger bodies may be taken, each up to its request's `body_most`

    def read(self, message: Message) -> ParsedRequest:
        """Parse a message.

        Raises:
            RequestError: The message is answered here and never reaches an endpoint.
        """
        ...


class FlowControlled(Protocol):
    """The source of an answer that is passed on piece by piece."""

    def block(self, on: bool) -> None:
        """Pause the source, or let it go on.

        Args:
            on: Whether it pauses.
        """
        ...


class RequestHandler(Protocol):
    """Accepts requests and answers them; the sidecar, as a client's connection sees it."""

    loop: asyncio.AbstractEventLoop
    clients: ClientConnections
    memory: MemoryBudget
    read_scheduler: ReadScheduler
    lag: LoopLagMonitor
    parser: MessageReader
    draining: bool
    handing_over: bool  # clients have a newer process to go to, and do so behind their next answer
    accepting_requests: bool
    half_close: bool  # a client that has ended its side may still wait for answers

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
        """The clock that deadlines are stated in, in nanoseconds."""
        ...

    def admit(self, connection: ClientConnection, request: ParsedRequest) -> tuple[int, bytes, bytes] | None:
        """Reserve what a request will need.

        Returns:
            None if it is admitted, else status code, header lines and text of its rejection.
        """
        ...

    def accept(self, connection: ClientConnection, request: ParsedRequest) -> None:
        """Accept an admitted request: `ClientConnection.respond` or `begin_response` is called once."""
        ...

    def disconnected(self, connection: ClientConnection, request: ParsedRequest | None) -> None:
        """Note that the client's connection is lost.

        Args:
            connection: The connection.
            request: Its request that was being served, if any.
        """
        ...

    def log_exception(self, text: str) -> None:
        """Log the exception that is being handled, at a limited rate."""
        ...
