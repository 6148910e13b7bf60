"""The state of a client's connection, and the hooks by which its layers call each other.

A connection is one object in layers, each with one job: `ConnectionState` (this module) has the fields,
`ResponseWriter` writes responses, `RequestReader` reads requests, and `ClientConnection` owns the lifecycle.
The layers are classes in one line of inheritance rather than objects of their own: the transport and the
parser call bound methods of one object, and no request pays for delegation.

Three aspects of the state are independent of each other. The lifecycle is an explicit state, since it changes
a few times per connection. Input and output change with each message; their states follow from fields that
are needed for other reasons, so that no request pays for a second record of them.

Lifecycle: `Lifecycle` names the states, and `TRANSITIONS` lists the permitted transitions. Independently of
it, `half_closed` is set while the client has closed its sending side and awaits responses.

Input:

| state | fields | next |
| --- | --- | --- |
| between messages | none of the fields below | in a message |
| in a message | `message_begun` (then also `in_body`) | between messages; in an upload; discarded |
| in an upload: the body is streamed to an endpoint | `upload` | between messages; discarded |
| discarded: the start of the next message is unknown | `discarding_input` | |

Reading may be paused in each state (`paused`). Bytes that were read and not parsed are in `unfed`, and
`scheduled` is set while the connection is in the queue of the read scheduler.

Output:

| state | fields | next |
| --- | --- | --- |
| idle | `current` is None, `waiting` is empty | serving |
| serving: one request is served, others are in `waiting` | `current` | idle; streaming |
| streaming: the response body follows in pieces | `current`, `response_source` | idle |

In each state the client may leave bytes unread (`unread`); no further request is dispatched then.
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
from .protocols import FlowControlled, ServerContext
from .request_parser import ParsedRequest, RequestError

MAX_HEADERS_BYTES = 32 * 1024


class Lifecycle(Enum):
    """Stages of a connection, from accept to close."""

    ACCEPTED = "the socket was accepted, the transport does not exist yet"
    OPEN = "the transport exists"
    LINGERING = "the sending side is closed; input is discarded until the client closes"
    CLOSING = "the transport is aborted, or closes once buffered data has been sent"
    CLOSED = "the connection is lost"


ACCEPTED, OPEN, LINGERING, CLOSING, CLOSED = Lifecycle
TRANSITIONS: dict[Lifecycle, frozenset[Lifecycle]] = {
    ACCEPTED: frozenset((OPEN, CLOSING, CLOSED)),  # It may be closed before its transport exists.
    OPEN: frozenset((LINGERING, CLOSING, CLOSED)),
    LINGERING: frozenset((CLOSING, CLOSED)),
    CLOSING: frozenset((CLOSED,)),
    CLOSED: frozenset(),
}
ENDED = (CLOSING, CLOSED)


@dataclass(slots=True)
class ReadinessCheck:
    """A client's readiness check of this sidecar.

    Attributes:
        keep_alive: Whether the client wants the connection to stay open.
    """

    keep_alive: bool


class ConnectionState:
    """The fields of one client's connection.

    Args:
        handler: Server of the connection.
        client: Record of the client, as admission created it.

    Attributes:
        client: Record of the client, as admission created it.
        lifecycle: Stage of the connection; only `_enter` sets it.
        parser: HTTP parser, which calls the `on_...` methods.
        transport: Transport of the connection; None before it exists.
        sock: Accepted socket until the transport owns it; None after that.
        close_watch: Watch on the client's close; None until it is needed.
        waiting: Requests, readiness checks and errors that wait for their turn, in order of arrival.
        current: Request that is being served; None if there is none.
        dispatching: Whether `_dispatch_waiting` runs.
        messages: Number of complete messages received.
        paused: Whether reading is paused.
        discarding_input: Whether input is discarded, since the start of the next message is unknown.
        unread: Whether the client leaves bytes of responses unread.
        half_closed: Whether the client has closed its sending side and awaits responses.
        stall_timer: Timer that closes a connection whose client reads nothing, or does not close; None if
            it is not needed.
        linger_s: Seconds between the own close and the abort if the client does not close; 0 before
            the own close.
        reserved_bytes: Bytes reserved of the memory budget, for all pending messages.
        unfed: Bytes that were read and not parsed; None if there are none.
        scheduled: Whether the connection is in the queue of the read scheduler.
        arrivals: Arrival times of bytes that are not parsed yet.
        arrived_ns: Time on the clock of deadlines, in nanoseconds, at which the bytes that are being parsed
            arrived; 0 if they have just arrived.
        upload: Body of the present message if it is streamed; None otherwise.
        max_upload_bytes: Largest permitted size of that body.
        response_source: Source of the response that is being streamed; None if there is none.
        final_chunk: Bytes that end the streamed response; None if it is not chunked.
        keep_alive: Whether the connection stays open after the streamed response.
        message_begun: Whether a message has begun and not ended, other than an upload.
        in_body: Whether the headers of the present message are complete.
        duplicate_header: Whether the present message repeats a header of `SINGLE_VALUE_HEADERS`.
        target: Request target of the present message.
        headers: Headers of the present message by lower-case name.
        header_lines: Header lines of the present message that are forwarded.
        body: Buffered body of the present message.
        body_bytes: Number of body bytes received of the present message.
        message_bytes: Number of bytes received of the present message, including its framing.
        max_message_bytes: Number of bytes at which the present message is rejected.
        message_reserved_bytes: Bytes reserved of the memory budget for the present message.
    """

    # With more than 30 attributes instances would not share the keys of their dicts (CPython 3.11), and each
    # look-up would be slower.
    __slots__ = (
        "__weakref__",
        "arrivals",
        "arrived_ns",
        "body",
        "body_bytes",
        "client",
        "close_watch",
        "current",
        "discarding_input",
        "dispatching",
        "duplicate_header",
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

    def __init__(self, handler: ServerContext, client: Client) -> None:
        self.handler = handler
        self.client = client
        self.lifecycle = ACCEPTED
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.sock: socket.socket | None = None
        self.waiting: deque[ParsedRequest | ReadinessCheck | RequestError] = deque()
        self.current: ParsedRequest | None = None
        self.dispatching = False
        self.discarding_input = False
        self.paused = False
        self.unread = False
        self.stall_timer: asyncio.TimerHandle | None = None
        self.half_closed = False
        self.messages = 0
        self.reserved_bytes = 0
        self.unfed: memoryview | None = None
        self.scheduled = False
        self.upload: Upload | None = None
        self.max_upload_bytes = 0
        self.response_source: FlowControlled | None = None
        self.final_chunk: bytes | None = None
        self.keep_alive = True
        self.arrivals = Arrivals()
        self.arrived_ns = 0
        self.close_watch: Watch | None = None
        self.linger_s = 0.0
        self._reset_message()

    def _reset_message(self) -> None:
        self.message_begun = False
        self.duplicate_header = False
        self.target = b""
        self.headers: dict[bytes, bytes] = {}
        self.header_lines: list[bytes] = []
        self.body: bytes | bytearray = b""
        self.body_bytes = 0
        self.message_bytes = 0
        self.max_message_bytes = MAX_HEADERS_BYTES
        self.message_reserved_bytes = 0
        self.in_body = False

    def _enter(self, state: Lifecycle) -> None:
        """Change the state of the lifecycle; the present state is permitted too, and changes nothing."""
        if state is not self.lifecycle:
            assert state in TRANSITIONS[self.lifecycle], f"{self.lifecycle.name} to {state.name}"
            self.lifecycle = state

    @property
    def message_unfinished(self) -> bool:
        """Whether a message has begun and not ended."""
        return self.message_begun or self.upload is not None

    @property
    def idle(self) -> bool:
        """Whether the connection can be closed without loss: nothing is pending or being discarded."""
        return not self.busy and not self.discarding_input

    @property
    def busy(self) -> bool:
        """Whether a request is pending, or the client leaves bytes of a response unread."""
        return self.current is not None or bool(self.waiting) or self.unread

    def pending_requests(self) -> list[ParsedRequest]:
        """Return the pending requests of this connection, in order of arrival."""
        waiting = [item for item in self.waiting if isinstance(item, ParsedRequest)]
        return waiting if self.current is None else [self.current, *waiting]

    def _end_unfinished(self) -> None:
        """Remove the present message from the client's count of unfinished bytes."""
        self.handler.clients.release_unfinished(self.client, self.message_reserved_bytes)

    def _release(self, size: int) -> None:
        """Release bytes of the memory budget."""
        self.handler.memory.release(size)
        self.reserved_bytes -= size

    # Hooks: methods that an earlier layer calls and a later one defines.

    def accepted(self, sock: socket.socket) -> None:
        """Record the accepted socket; the transport does not exist yet."""
        raise NotImplementedError

    def has_unread_input(self) -> bool:
        """Return whether bytes of the client, or its close, have arrived and were not read yet."""
        raise NotImplementedError

    def close(self, reset: bool = False, flush: bool = False) -> None:
        """Close the connection; see `ClientConnection.close`."""
        raise NotImplementedError

    def close_when_idle(self) -> None:
        """Close the connection, which is idle, unless the client has sent input that was not read yet."""
        raise NotImplementedError

    def evict(self) -> None:
        """Close to make room for other clients."""
        raise NotImplementedError

    def reject_unfinished(self, text: str) -> None:
        """Reject the unfinished message; its response follows those to the earlier messages."""
        raise NotImplementedError

    def expire(self) -> None:
        """Reject the message that was not complete in time."""
        raise NotImplementedError

    def _dispatch_waiting(self) -> None:
        """Serve the waiting items, one at a time."""
        raise NotImplementedError

    def _shut_down(self) -> None:
        """Close the sending side after the last response."""
        raise NotImplementedError
