"""A client's connection: the transport's callbacks, the lifecycle, and the dispatch of requests in order.

`connection_state` describes the states; `request_reader` reads the requests, and `response_writer` writes the
responses.
"""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
from typing import Protocol

from ...admission.client import Client
from ...system import Watch
from ..upstream.abort import NO_LINGER
from ..upstream.classify import HttpProfile
from .connection_state import CLOSED, CLOSING, LINGERING, OPEN
from .protocols import ServerContext
from .request_parser import ParsedRequest, RequestError
from .request_reader import RequestReader

REJECTED_LINGER_S = 2.0  # A client whose input is discarded has this time to read the reason.
ANSWERED_LINGER_S = 0.3
FULL_CLOSE_EVENTS = select.POLLHUP | select.POLLERR
HALF_CLOSE_EVENTS = select.POLLRDHUP | FULL_CLOSE_EVENTS  # The client may still read responses.


class RequestHandler(ServerContext, Protocol):
    """Accepts the requests of connections and answers them."""

    def admit(self, connection: ClientConnection, request: ParsedRequest) -> tuple[int, bytes, bytes] | None:
        """Reserve what a request will need.

        Returns:
            None if it is admitted, else status code, header lines and text of its rejection.
        """
        ...

    def accept(self, connection: ClientConnection, request: ParsedRequest) -> None:
        """Accept an admitted request; `respond` or `begin_response` of the connection is called once."""
        ...

    def disconnected(self, connection: ClientConnection, request: ParsedRequest | None) -> None:
        """Record that a client's connection is lost.

        Args:
            connection: The connection.
            request: Its request that was being served; None if there was none.
        """
        ...


class ClientConnection(RequestReader, asyncio.Protocol):
    """A client's connection: requests are served one after another, and answered in their order.

    Args:
        handler: Server that accepts and answers the requests.
        client: Record of the client, as admission created it.
    """

    __slots__ = ()

    handler: RequestHandler

    def __init__(self, handler: RequestHandler, client: Client) -> None:
        super().__init__(handler, client)

    def accepted(self, sock: socket.socket) -> None:
        """Record the accepted socket; the transport does not exist yet."""
        self.sock = sock

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Start reading, unless the connection was closed or the graceful shutdown began meanwhile."""
        self.transport = transport  # type: ignore[assignment]
        self.sock = None
        transport.set_write_buffer_limits(high=0)  # type: ignore[attr-defined]
        if self.lifecycle is CLOSING:
            self.close()
            return
        self._enter(OPEN)
        if not self.handler.accepting_requests:
            # The connection was accepted just before the shutdown: requests already sent are still answered.
            self.close_when_idle()

    def eof_received(self) -> bool:
        """Close, unless the client still awaits responses; return whether the transport stays open."""
        between_messages = not self.message_unfinished and self.unfed is None
        if self.handler.half_close and self.busy and between_messages:
            self.half_closed = True
            return True
        self.close()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Release all reservations, and report the request that was being served."""
        self._enter(CLOSED)
        if self.stall_timer is not None:
            self.stall_timer.cancel()
        self._end_unfinished()
        self._release(self.reserved_bytes)
        self._drop_unfed()
        request, self.current = self.current, None
        self.waiting.clear()
        # The parser, the upload and the source refer back to this object. Without these reference cycles it
        # is freed at once; otherwise each connection stays in memory until the garbage collector runs.
        self.upload = self.response_source = None
        del self.parser
        self.handler.disconnected(self, request)

    def _dispatch_waiting(self) -> None:
        """Serve the waiting items, one at a time."""
        if self.dispatching:
            return
        self.dispatching = True
        try:
            while self.waiting and self.current is None and not self.unread and self.lifecycle is not CLOSED:
                item = self.waiting.popleft()
                if isinstance(item, ParsedRequest):
                    rejection: tuple[int, bytes, bytes] | None
                    if item.upload is not None and (problem := item.upload.problem) is not None:
                        rejection = (problem[0], b"", problem[1])
                    else:
                        rejection = self.handler.admit(self, item)
                    if rejection is None:
                        self.current = item
                        self.handler.accept(self, item)
                    else:
                        self._answer_rejected(item, *rejection)
                elif isinstance(item, RequestError):
                    text = f"{item}\n".encode()
                    self._respond(
                        item.code, b"", text, item.keep_alive and not self.discarding_input, item.head
                    )
                else:
                    code, text = (503, b"draining\n") if self.handler.draining else (200, b"ready\n")
                    self._respond(code, b"", text, item.keep_alive)
        finally:
            self.dispatching = False
        self._resume()

    def _answer_rejected(self, request: ParsedRequest, code: int, headers: bytes, text: bytes) -> None:
        """Answer a request that was not admitted."""
        self._release(request.size)
        if request.upload is not None:
            self._stop_upload(request.upload, request)
        self._respond(code, headers, text, request.keep_alive, request.profile is HttpProfile.HEAD)

    # Lifecycle

    def close_when_idle(self) -> None:
        """Close the connection, which is idle, unless the client has sent input that was not read yet."""
        if self.transport is not None and not self.has_unread_input():
            self._shut_down()
            self.handler.clients.update(self)

    def evict(self) -> None:
        """Close to make room for other clients; an unfinished message is rejected first."""
        if self.transport is None or not self.message_unfinished:
            self.close()
            return
        self.reject_unfinished("its place was needed")
        self.close(flush=True)

    def reject_unfinished(self, text: str) -> None:
        """Reject the unfinished message; its response follows those to the earlier messages.

        Args:
            text: Reason that the client reads.
        """
        if self.message_unfinished:
            self._reject(503, text)
            self._dispatch_waiting()
            self.handler.clients.update(self)

    def _shut_down(self) -> None:
        """Close the sending side after the last response, and the connection when the client has closed too.

        An immediate close would answer arriving bytes with a reset, which can destroy responses that are
        still on their way (RFC 9112, 9.6). Input from here on is discarded.
        """
        if self.transport is None or self.transport.is_closing():
            return
        self._enter(LINGERING)
        self.waiting.clear()
        self.linger_s = REJECTED_LINGER_S if self.discarding_input else ANSWERED_LINGER_S
        self.discarding_input = True
        try:
            self.transport.write_eof()  # The transport sends it after all buffered data.
        except OSError:  # The client has reset the connection.
            self.close()
            return
        if self.stall_timer is None:
            self.stall_timer = self.handler.loop.call_later(self.linger_s, self.close)
        if self.paused:  # A paused transport does not report the client's close.
            self.paused = False
            self.transport.resume_reading()

    def close(self, reset: bool = False, flush: bool = False) -> None:
        """Close the connection; all other methods that close it call this one.

        Args:
            reset: Whether to close with a TCP reset; it shows the client in any framing that a response is
                incomplete.
            flush: Whether buffered data is sent before the close; otherwise it is dropped.
        """
        if self.lifecycle is CLOSED:
            return
        self._enter(CLOSING)
        if self.transport is None:
            return
        if reset and (sock := self.transport.get_extra_info("socket")) is not None:
            with contextlib.suppress(OSError):  # The connection is closed already.
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        if flush:
            self.transport.close()
        else:
            self.transport.abort()

    # Detection of the client's close

    def has_unread_input(self) -> bool:
        """Return whether bytes of the client, or its close, have arrived and were not read yet."""
        if self.lifecycle is CLOSED or (self.transport is None and self.sock is None):
            return False
        return self.unfed is not None or (not self.half_closed and bool(self._poll_close_events()))

    def client_has_closed(self) -> bool:
        """Return whether the client has closed, also behind input that was not read yet.

        The transport reports a close late if reading is paused or the event loop was blocked. Polling the
        socket spares endpoints the work for requests whose client has gone.
        """
        if self.lifecycle is CLOSED or self.transport is None:
            return self.lifecycle is CLOSED
        found = self._poll_close_events()
        events = FULL_CLOSE_EVENTS if self.handler.half_close else HALF_CLOSE_EVENTS
        if not found or not found[0][1] & events:
            return False
        self.handler.loop.call_soon(self.close)
        return True

    def _poll_close_events(self) -> list[tuple[int, int]]:
        """Return the socket's pending events in the form of `select.poll`; none if the poll fails."""
        try:
            return self._get_close_watch().poll(0)
        except (OSError, ValueError):  # The kernel lacks memory, or the descriptor is closed.
            return []

    def _get_close_watch(self) -> Watch:
        """Return the watch on the client's close; the first call creates it."""
        if self.close_watch is None:
            sock = self.sock if self.transport is None else self.transport.get_extra_info("socket")
            assert sock is not None
            self.close_watch = self.handler.system.watch_end(sock)
        return self.close_watch
