"""The state of a client's connection, and the hooks by which its two halves call each other.

A connection is one object in layers, each with one job: `ConnectionState` (this module) holds the fields,
`ResponseWriter` writes answers, `RequestReader` reads requests, and `ClientConnection` owns the lifecycle.
The layers are classes in one line of inheritance rather than objects of their own: the transport and the
parser call bound methods of one object, and a small request pays for no delegation.

Three aspects are independent of each other. Lifecycle is a state of its own, as it changes a few times in the
life of a connection. Input and output change with each message and are read off the fields that are needed
anyway, so that a request pays for no second account of them.

Lifecycle: `Lifecycle` names the states, `TRANSITIONS` says which may follow which. Beside it, `half_closed`
says that the client has ended its side and waits for answers.

Input:

| state | fields | next |
| --- | --- | --- |
| between messages | none of those below | in a message |
| in a message | `message_begun` (`in_body` behind its headers) | between messages; in an upload; discarded |
| in an upload: a body passed on as it comes | `upload` | between messages; discarded |
| discarded: the start of a next message is unknown | `discarding_input` | |

Reading may be paused in each of these (`paused`); bytes that were read but not parsed are in `unfed`, and
`scheduled` says that the read scheduler has the connection.

Output:

| state | fields | next |
| --- | --- | --- |
| idle | `current` None, `waiting` empty | serving |
| serving: one request, others wait in `waiting` | `current` | idle; streaming |
| streaming: the answer's body follows in pieces | `current`, `response_source` | idle |

In each of these the client may leave bytes unread (`unread`); no further request is then dispatched.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from dataclasses import dataclass
from enum import Enum

import httptools

from ...admission.client import Client
from ...system import Watch
from ..streaming import Upload
from .arrivals import Arrivals
from .protocols import FlowControlled, RequestHandler
from .request_parser import ParsedRequest, RequestError

MAX_HEADERS_BYTES = 32 * 1024


class Lifecycle(Enum):
    """How far a connection has come, from accept to close."""

    ACCEPTED = "its socket was accepted, its transport is still to be made"
    OPEN = "it has a transport"
    LINGERING = "the own side has ended; input is discarded until the client closes"
    CLOSING = "it is aborted, or closed behind what was written"
    CLOSED = "the connection is lost"


ACCEPTED, OPEN, LINGERING, CLOSING, CLOSED = Lifecycle
TRANSITIONS: dict[Lifecycle, frozenset[Lifecycle]] = {
    ACCEPTED: frozenset((OPEN, CLOSING, CLOSED)),  # CLOSING: closed before its transport was made
    OPEN: frozenset((LINGERING, CLOSING, CLOSED)),
    LINGERING: frozenset((CLOSING, CLOSED)),
    CLOSING: frozenset((CLOSED,)),
    CLOSED: frozenset(),
}
ENDED = (CLOSING, CLOSED)


@dataclass(slots=True)
class ReadinessCheck:
    """A client's question whether this sidecar accepts requests.

    Attributes:
        keep_alive: Whether the client wants the connection to stay open.
    """

    keep_alive: bool


class ConnectionState:
    """The fields of one client's connection.

    Args:
        handler: Accepts the requests.

    Attributes:
        client: The client's entry in the table of open connections.
        lifecycle: How far it has come; only `_enter` sets it.
        current: The request that is being served.
        waiting: What was read and waits for its turn, in order.
        messages: Whole messages so far.
        paused: Nothing is read until some of what waits is answered.
        discarding_input: Input is discarded, since where a next message begins is unknown.
        unread: The client leaves answers unread.
        half_closed: The client has ended its side, and waits for answers.
        linger_s: Seconds to wait for the client's close after the own one; 0 before that.
    """

    # More than 30 attributes would not share their keys, and each look-up would cost a hash (CPython 3.11).
    __slots__ = (
        "__weakref__",
        "arrivals",
        "arrived_ns",
        "body",
        "body_bytes",
        "client",
        "current",
        "discarding_input",
        "dispatching",
        "duplicate_header",
        "end",
        "final_chunk",
        "half_closed",
        "handler",
        "header_lines",
        "headers",
        "in_body",
        "keep_alive",
        "lifecycle",
        "linger_s",
        "max_message_bytes",
        "max_upload_bytes",
        "message_begun",
        "message_bytes",
        "message_reserved_bytes",
        "messages",
        "parser",
        "paused",
        "reserved_bytes",
        "response_source",
        "scheduled",
        "sock",
        "stall_timer",
        "target",
        "transport",
        "unfed",
        "unread",
        "upload",
        "waiting",
    )

    def __init__(self, handler: RequestHandler, client: Client) -> None:
        """Prepare a connection that was accepted."""
        self.handler = handler
        self.client = client
        self.lifecycle = ACCEPTED
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.sock: socket.socket | None = None  # as it was accepted, until the transport has it
        self.waiting: deque[ParsedRequest | ReadinessCheck | RequestError] = deque()
        self.current: ParsedRequest | None = None
        self.dispatching = False
        self.discarding_input = False
        self.paused = False
        self.unread = False
        self.stall_timer: asyncio.TimerHandle | None = None
        self.half_closed = False
        self.messages = 0
        self.reserved_bytes = 0  # of the memory budget, for all pending messages
        self.unfed: memoryview | None = None  # bytes that were read and wait to be parsed
        self.scheduled = False  # in the read scheduler, to parse them
        self.upload: Upload | None = None  # the body of the message that is being read, if it is passed on
        self.max_upload_bytes = 0
        self.response_source: FlowControlled | None = None  # of the answer that is being streamed
        self.final_chunk: bytes | None = None  # that ends this answer; None: it has a length
        self.keep_alive = True  # the connection stays open after it
        self.arrivals = Arrivals()
        self.arrived_ns = 0  # when the bytes being parsed arrived; 0: just now
        self.end: Watch | None = None  # watches for the client's close, once needed
        self.linger_s = 0.0
        self._reset_message()

    def _reset_message(self) -> None:
        self.message_begun = False  # and not ended
        self.duplicate_header = False
        self.target = b""
        self.headers: dict[bytes, bytes] = {}
        self.header_lines: list[bytes] = []
        self.body: bytes | bytearray = b""
        self.body_bytes = 0
        self.message_bytes = 0  # received, framing included
        self.max_message_bytes = MAX_HEADERS_BYTES
        self.message_reserved_bytes = 0  # of the memory budget, for this message
        self.in_body = False

    def _enter(self, state: Lifecycle) -> None:
        """Go on to a state of the lifecycle; to stay in one is no transition."""
        if state is not self.lifecycle:
            assert state in TRANSITIONS[self.lifecycle], f"{self.lifecycle.name} to {state.name}"
            self.lifecycle = state

    @property
    def message_unfinished(self) -> bool:
        """Whether a message has begun and not ended."""
        return self.message_begun or self.upload is not None

    @property
    def idle(self) -> bool:
        """Whether it can be closed without harm: nothing is pending, and input is not discarded."""
        return not self.busy and not self.discarding_input

    @property
    def busy(self) -> bool:
        """Whether a request is served or waits, or the client leaves bytes of an answer unread."""
        return self.current is not None or bool(self.waiting) or self.unread

    def pending_requests(self) -> list[ParsedRequest]:
        """Return its pending requests, in order."""
        waiting = [item for item in self.waiting if isinstance(item, ParsedRequest)]
        return waiting if self.current is None else [self.current, *waiting]

    def _end_unfinished(self) -> None:
        """Count the message no longer as unfinished by its client."""
        self.handler.clients.release_unfinished(self.client, self.message_reserved_bytes)

    def _release(self, size: int) -> None:
        """Return bytes to the memory budget."""
        self.handler.memory.release(size)
        self.reserved_bytes -= size

    # Hooks: what one layer calls and a later one defines.

    def accepted(self, sock: socket.socket) -> None:
        """Note the accepted socket; its transport is still to be made."""
        raise NotImplementedError

    def has_unread_input(self) -> bool:
        """Whether bytes of the client, or its end, are there that were not read yet."""
        raise NotImplementedError

    def close(self, reset: bool = False, flush: bool = False) -> None:
        """Close the connection; see `ClientConnection.close`."""
        raise NotImplementedError

    def close_when_idle(self) -> None:
        """Close while nothing of this client is open, unless something of it waits to be read."""
        raise NotImplementedError

    def evict(self) -> None:
        """Close for the sake of other clients."""
        raise NotImplementedError

    def reject_unfinished(self, text: str) -> None:
        """Reject the message that has begun, behind the answers to those before it."""
        raise NotImplementedError

    def expire(self) -> None:
        """Reject the message that has not come to an end in time."""
        raise NotImplementedError

    def _dispatch_waiting(self) -> None:
        """Serve what waits, one item at a time."""
        raise NotImplementedError

    def _shut_down(self) -> None:
        """End the connection behind the last answer."""
        raise NotImplementedError
