"""What a client's connection needs of others: server, parser of messages, source of a streamed response."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from ...admission.clients import ClientConnections
from ...system import System
from ..loop_lag import LoopLagMonitor
from ..memory_budget import MemoryBudget
from ..read_scheduler import ReadScheduler
from .request_parser import Message, ParsedRequest


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
        lag: Monitor that is notified of the time that parsing takes.
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
    lag: LoopLagMonitor
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
