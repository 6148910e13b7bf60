"""A client connection: its parts, its lifecycle, and the dispatch of requests in order.

`RequestReader` turns bytes into items, and `ResponseWriter` turns responses into bytes; they do not depend on
each other. `ConnectionLifecycle` keeps the state of the connection. The connection serves one item after
another, passes the responses to the writer, and closes.

| output state | fields | next |
| --- | --- | --- |
| idle | `current` is None, `assembler.waiting` is empty | serving |
| serving: one request is being served, others wait | `current` | idle; streaming |
| streaming: the response body is sent in pieces | `current`, `writer.source` | idle |

In each state the client may leave response bytes unread (`writer.unread`); meanwhile no request is
dispatched.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from typing import cast

from ...admission.client import Client
from ..upstream.abort import NO_LINGER
from ..upstream.classify import HttpProfile
from .close_detector import CloseDetector
from .lifecycle import CLOSED, CLOSING, LINGERING, OPEN, ConnectionLifecycle
from .protocols import FlowControlled, RequestHandler
from .request_parser import ParsedRequest, RequestError
from .request_reader import RequestReader
from .response_writer import ResponseWriter

REJECTED_LINGER_S = 2.0  # Time for a client whose input is discarded to read the reason.
ANSWERED_LINGER_S = 0.3


class ClientConnection(asyncio.Protocol):
    """A client connection: requests are served one after another, and answered in order.

    Args:
        handler: Server that accepts and answers the requests.
        client: Record of the client that admission created.

    Attributes:
        reader: Reader of the input.
        assembler: Assembler of the requests in the input.
        writer: Writer of the responses.
        lifecycle: State machine of the connection.
        transport: Transport of the connection; None until it exists.
        close_detector: Detector of the client's close.
        current: Request that is being served; None if there is none.
        dispatching: Whether `dispatch` is running.
        half_closed: Whether the client has closed its sending side and awaits responses.
    """

    __slots__ = (
        "__weakref__",
        "assembler",
        "client",
        "close_detector",
        "current",
        "dispatching",
        "half_closed",
        "handler",
        "lifecycle",
        "reader",
        "transport",
        "writer",
    )

    def __init__(self, handler: RequestHandler[ClientConnection], client: Client) -> None:
        self.handler = handler
        self.client = client
        self.lifecycle = ConnectionLifecycle()
        self.reader = RequestReader(handler, client, self.lifecycle, self)
        self.assembler = self.reader.assembler
        self.writer = ResponseWriter(handler.loop, handler.memory, self.close)
        self.transport: asyncio.Transport | None = None
        self.close_detector = CloseDetector(handler.system)
        self.current: ParsedRequest | None = None
        self.dispatching = False
        self.half_closed = False

    # Callbacks of the listener and the transport

    def attach_socket(self, sock: socket.socket) -> None:
        """Record the accepted socket; the transport does not exist yet."""
        self.close_detector.sock = sock

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start reading, unless the connection was closed or a graceful shutdown began in the meantime."""
        self.transport = self.reader.transport = self.writer.transport = cast(asyncio.Transport, transport)
        self.close_detector.sock = transport.get_extra_info("socket")
        self.transport.set_write_buffer_limits(high=0)
        if self.lifecycle.state is CLOSING:
            self.close()
            return
        self.lifecycle.enter(OPEN)
        if not self.handler.accepting_requests:
            # The connection was accepted just before the shutdown: requests already sent are still answered.
            self.close_when_idle()

    def data_received(self, data: bytes) -> None:
        """Read input from the client."""
        self.reader.data_received(data)

    def eof_received(self) -> bool:
        """Close unless the client still awaits responses; return whether the transport stays open."""
        between_messages = not self.assembler.message_unfinished and self.reader.unparsed is None
        self.half_closed = self.handler.half_close and self.busy and between_messages
        if not self.half_closed:
            self.close()
        return self.half_closed

    def pause_writing(self) -> None:
        """Stop dispatching requests, since a client that sends and does not read would exhaust the memory."""
        self.writer.pause()

    def resume_writing(self) -> None:
        """Resume dispatching requests, since all written data has been sent."""
        self.writer.resume()
        self.dispatch()
        if self.idle and (self.half_closed or not self.handler.accepting_requests):
            self.close_when_idle()

    def connection_lost(self, exc: Exception | None) -> None:
        """Release all reservations, and report the request that was being served."""
        self.lifecycle.enter(CLOSED)
        request, self.current = self.current, None
        # Without reference cycles the connection is freed immediately; otherwise it stays in memory until
        # the garbage collector runs.
        self.writer.detach()
        self.reader.detach()
        self.handler.disconnected(self, request)

    # State for admission and graceful shutdown

    @property
    def paused(self) -> bool:
        """Whether reading is paused."""
        return self.reader.paused

    @property
    def discarding_input(self) -> bool:
        """Whether input is discarded because the start of the next message is unknown."""
        return self.assembler.discarding_input

    @property
    def messages(self) -> int:
        """Number of complete messages received."""
        return self.assembler.messages

    @property
    def message_unfinished(self) -> bool:
        """Whether a message has begun and is not complete."""
        return self.assembler.message_begun or self.assembler.upload is not None

    @property
    def idle(self) -> bool:
        """Whether the connection can be closed without loss: nothing is pending and no input is discarded."""
        return not self.busy and not self.assembler.discarding_input

    @property
    def busy(self) -> bool:
        """Whether a request is pending, or the client has not read all bytes of a response."""
        return self.current is not None or bool(self.assembler.waiting) or self.writer.unread

    def pending_requests(self) -> list[ParsedRequest]:
        """Return the pending requests of the connection, in order of arrival."""
        waiting = [item for item in self.assembler.waiting if isinstance(item, ParsedRequest)]
        return waiting if self.current is None else [self.current, *waiting]

    # Requests

    def dispatch(self) -> None:
        """Serve the waiting items one at a time, and notify admission of the new state."""
        if not self.dispatching:
            self.dispatching = True
            waiting, writer, machine = self.assembler.waiting, self.writer, self.lifecycle
            try:
                while waiting and self.current is None and not writer.unread and machine.state is not CLOSED:
                    item = waiting.popleft()
                    if isinstance(item, ParsedRequest):
                        rejection: tuple[int, bytes, bytes] | None
                        if item.upload is not None and (problem := item.upload.rejection) is not None:
                            rejection = (problem[0], b"", problem[1])
                        else:
                            rejection = self.handler.admit(self, item)
                        if rejection is None:
                            self.current = item
                            self.handler.accept(self, item)
                        else:
                            self._answer_rejected(item, *rejection)
                    elif isinstance(item, RequestError):
                        keep_alive = item.keep_alive and not self.assembler.discarding_input
                        self._respond(item.code, b"", f"{item}\n".encode(), keep_alive, item.is_head)
                    else:
                        code, text = (503, b"draining\n") if self.handler.draining else (200, b"ready\n")
                        self._respond(code, b"", text, item.keep_alive)
            finally:
                self.dispatching = False
            self.reader.resume()
        self.handler.clients.update(self)

    def _answer_rejected(self, request: ParsedRequest, code: int, headers: bytes, text: bytes) -> None:
        """Answer a request that was not admitted."""
        self.assembler.release(request.reserved_bytes)
        self._stop_upload(request)
        self._respond(code, headers, text, request.keep_alive, request.profile is HttpProfile.HEAD)

    def _stop_upload(self, request: ParsedRequest) -> None:
        """Discard the rest of a streamed body, since its request is already answered."""
        if request.upload is not None and not request.upload.ended:
            request.keep_alive = False
            self.assembler.stop_upload()

    def send_continue(self) -> None:
        """Send 100 Continue, after which the client sends the body of its request (RFC 9110, 15.2.1)."""
        self.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    # Responses

    def respond(self, request: ParsedRequest, code: int, headers: bytes, body: bytes) -> None:
        """Write the final response to the request that is being served.

        Args:
            request: Request; nothing is written if it is no longer being served.
            code: HTTP status of the response.
            headers: Complete header lines, without framing headers.
            body: Complete response body.
        """
        if self.current is not request:
            return
        self.current = None
        self.assembler.release(request.reserved_bytes)
        if request.extra_response_headers:
            headers += request.extra_response_headers
        if request.upload is not None:
            self._stop_upload(request)
        self._respond(code, headers, body, request.keep_alive, request.profile is HttpProfile.HEAD)
        self.dispatch()

    def begin_response(
        self, request: ParsedRequest, code: int, headers: bytes, length: int | None, source: FlowControlled
    ) -> bool:
        """Begin the final response to the request that is being served; its body follows in pieces.

        Args:
            request: The request.
            code: HTTP status of the response.
            headers: Complete header lines, without framing headers.
            length: Bytes of the body; None if its end is marked by the last chunk or by the close of the
                connection.
            source: Source of the body, which is paused while the client does not read.

        Returns:
            False if the client no longer awaits the response.
        """
        if self.current is not request:
            return False
        if request.upload is not None:
            self._stop_upload(request)
        keep_alive = request.keep_alive and self._should_keep_alive()
        self.writer.source = source
        headers += request.extra_response_headers
        self.writer.begin(code, headers, length, keep_alive, not request.is_http_1_0)
        return True

    def send_response_chunk(self, request: ParsedRequest, data: bytes) -> None:
        """Write the next bytes of the streamed response."""
        if self.current is request and data:
            self.writer.send_piece(data)

    def end_response(self, request: ParsedRequest, complete: bool) -> None:
        """End the streamed response.

        Args:
            request: The request.
            complete: Whether the body is complete; otherwise the connection is reset, which shows that to the
                client in any framing.
        """
        if self.current is not request:
            return
        self.current = self.writer.source = None
        self.assembler.release(request.reserved_bytes)
        if not complete:
            self.close(reset=True)
            return
        self.writer.end()
        if not self.writer.keep_alive:
            self._close_gracefully()
        self.dispatch()

    def _should_keep_alive(self) -> bool:
        """Return whether the connection stays open after the next response.

        While another request is waiting or incomplete, it stays open during a graceful shutdown too.
        """
        assembler = self.assembler
        if assembler.waiting or self.reader.unparsed is not None or assembler.message_begun:
            return True
        if self.half_closed:
            return False
        return (self.handler.accepting_requests and not self.handler.handing_over) or self.has_unread_input()

    def _respond(
        self, code: int, headers: bytes, body: bytes, keep_alive: bool, is_head: bool = False
    ) -> None:
        """Write a complete response, and close after it unless the connection stays open."""
        keep_alive = keep_alive and self._should_keep_alive()
        self.writer.respond(code, headers, body, keep_alive, is_head)
        if not keep_alive:
            self._close_gracefully()

    # Lifecycle

    def close_when_idle(self) -> None:
        """Close the idle connection, unless the client has sent input that was not read yet."""
        if self.transport is not None and not self.has_unread_input():
            self._close_gracefully()
            self.handler.clients.update(self)

    def evict(self) -> None:
        """Close the connection to make room for other clients; an incomplete message is rejected first."""
        unfinished = self.transport is not None and self.assembler.message_unfinished
        if unfinished:
            self.reject_unfinished("its place was needed")
        self.close(flush=unfinished)

    def reject_unfinished(self, text: str, code: int = 503) -> None:
        """Reject the incomplete message; its response follows those to earlier messages.

        Args:
            text: Reason that the client reads.
            code: HTTP status of the response.
        """
        if self.assembler.message_unfinished:
            self.assembler.reject(code, text)
            self.dispatch()

    def expire(self) -> None:
        """Reject a message that was not complete in time, or close the connection if it is idle."""
        if self.assembler.message_unfinished:
            self.reject_unfinished("the request took too long to come", 408)
        elif self.idle:
            self.close_when_idle()

    def _close_gracefully(self) -> None:
        """Close the sending side after the last response, and the connection once the client has closed too.

        After an immediate close, arriving bytes would cause a reset, which can destroy responses that are
        still in transit (RFC 9112, 9.6). Input is discarded from now on.
        """
        if self.transport is None or self.transport.is_closing():
            return
        self.lifecycle.enter(LINGERING)
        was_discarding = self.assembler.discarding_input
        self.assembler.discard_input()
        if self.writer.close_sending_side(REJECTED_LINGER_S if was_discarding else ANSWERED_LINGER_S):
            self.reader.resume_for_close()
        else:
            self.close()

    def close(self, reset: bool = False, flush: bool = False) -> None:
        """Close the connection; every other method that closes it calls this one.

        Args:
            reset: Whether to close with a TCP reset, which shows the client in any framing that a response is
                incomplete.
            flush: Whether buffered data is sent before the close; otherwise it is discarded.
        """
        if self.lifecycle.state is CLOSED:
            return
        self.lifecycle.enter(CLOSING)
        if self.transport is None:
            return
        if reset and (sock := self.transport.get_extra_info("socket")) is not None:
            with contextlib.suppress(OSError):  # The connection is already closed.
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        if flush:
            self.transport.close()
        else:
            self.transport.abort()

    # Detection of the client's close

    def has_unread_input(self) -> bool:
        """Return whether bytes from the client, or its close, have arrived and were not read yet."""
        if self.lifecycle.state is CLOSED:
            return False
        return self.reader.unparsed is not None or (not self.half_closed and self.close_detector.poll() != 0)

    def client_has_closed(self) -> bool:
        """Return whether the client has closed, even if input before the close was not read yet."""
        if self.lifecycle.state is CLOSED or self.transport is None:
            return self.lifecycle.state is CLOSED
        if not self.close_detector.has_closed(self.handler.half_close):
            return False
        self.handler.loop.call_soon(self.close)
        return True
