"""A client's connection: the transport's callbacks, its lifecycle, and one request after another.

Its states are described in `connection_state`; `request_reader` reads its requests, `response_writer` writes
its answers.
"""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket

from ...system import Watch
from ..upstream.abort import NO_LINGER
from ..upstream.classify import HttpProfile
from .connection_state import CLOSED, CLOSING, LINGERING, OPEN
from .request_parser import ParsedRequest, RequestError
from .request_reader import RequestReader

LINGER = 2.0  # seconds in which a rejected client may still send, unheard, and read why
LINGER_ANSWERED = 0.3  # ... in which another one may see that its connection has ended, and close it
END = select.POLLRDHUP | select.POLLHUP | select.POLLERR  # the client has ended its side, or all
END_BOTH = select.POLLHUP | select.POLLERR


class ClientConnection(RequestReader, asyncio.Protocol):
    """A client's connection: one request after another, one answer to each in their order."""

    __slots__ = ()

    def accepted(self, sock: socket.socket) -> None:
        """Note the accepted socket; its transport is still to be made."""
        self.sock = sock

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to read, unless the connection was closed or the shutdown began meanwhile."""
        self.transport = transport  # type: ignore[assignment]
        self.sock = None
        transport.set_write_buffer_limits(high=0)  # type: ignore[attr-defined]
        if self.lifecycle is CLOSING:
            self.close()
            return
        self._enter(OPEN)
        if not self.handler.accepting_requests:
            # It was accepted just before the shutdown: what it has sent is still answered.
            self.close_when_idle()

    def eof_received(self) -> bool:
        """Close, unless the client may still wait for answers; return whether the transport stays open."""
        between = not self.message_unfinished and self.unfed is None
        if self.handler.half_close and self.busy and between:
            self.half_closed = True
            return True
        self.close()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Return all that was reserved, and report the request that was being served."""
        self._enter(CLOSED)
        if self.stall_timer is not None:
            self.stall_timer.cancel()
        self._end_unfinished()
        self._release(self.reserved_bytes)
        self._drop_unfed()
        request, self.current = self.current, None
        self.waiting.clear()
        # The parser, the upload and the source refer back to this object. Without these cycles it is freed
        # at once; else each connection of a long day would stay until the rare run of the collector.
        self.upload = self.response_source = None
        del self.parser
        self.handler.disconnected(self, request)

    def _dispatch_waiting(self) -> None:
        """Serve what waits, one item at a time."""
        if self.dispatching:
            return
        self.dispatching = True
        try:
            while self.waiting and self.current is None and not self.unread and self.lifecycle is not CLOSED:
                item = self.waiting.popleft()
                if isinstance(item, ParsedRequest):
                    refusal: tuple[int, bytes, bytes] | None
                    if item.upload is not None and (problem := item.upload.problem) is not None:
                        refusal = (problem[0], b"", problem[1])
                    else:
                        refusal = self.handler.admit(self, item)
                    if refusal is None:
                        self.current = item
                        self.handler.accept(self, item)
                    else:
                        self._refuse(item, *refusal)
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

    def _refuse(self, request: ParsedRequest, code: int, headers: bytes, text: bytes) -> None:
        """Answer a request that was not admitted."""
        self._release(request.size)
        if request.upload is not None:
            self._stop_upload(request.upload, request)
        self._respond(code, headers, text, request.keep_alive, request.profile is HttpProfile.HEAD)

    # Lifecycle

    def close_when_idle(self) -> None:
        """Close while nothing of this client is open, unless something of it waits to be read."""
        if self.transport is not None and not self.has_unread_input():
            self._shut_down()
            self.handler.clients.update(self)

    def evict(self) -> None:
        """Close for the sake of other clients; a message that has begun is rejected first."""
        if self.transport is None or not self.message_unfinished:
            self.close()
            return
        self.reject_unfinished("its place was needed")
        self.close(flush=True)

    def reject_unfinished(self, text: str) -> None:
        """Reject the message that has begun, behind the answers to those before it.

        Args:
            text: The reason, for the client.
        """
        if self.message_unfinished:
            self._reject(503, text)
            self._dispatch_waiting()
            self.handler.clients.update(self)

    def _shut_down(self) -> None:
        """End the connection behind the last answer: the own side first, the rest once the client saw it.

        A close at once would answer bytes that arrive meanwhile with a reset, which can destroy answers that
        are still on their way (RFC 9112, 9.6). What is read from here on is discarded.
        """
        if self.transport is None or self.transport.is_closing():
            return
        self._enter(LINGERING)
        self.waiting.clear()
        self.linger_s = LINGER if self.discarding_input else LINGER_ANSWERED
        self.discarding_input = True
        try:
            self.transport.write_eof()  # once what was written has gone
        except OSError:  # it was reset meanwhile
            self.close()
            return
        if self.stall_timer is None:
            self.stall_timer = self.handler.loop.call_later(self.linger_s, self.close)
        if self.paused:  # or the client's end would not be seen
            self.paused = False
            self.transport.resume_reading()

    def close(self, reset: bool = False, flush: bool = False) -> None:
        """Close the connection; every way to its end leads through here.

        Args:
            reset: With a TCP reset, so that the client sees an incomplete answer as such in any framing.
            flush: Only after what was written has been sent; else at once.
        """
        if self.lifecycle is CLOSED:
            return
        self._enter(CLOSING)
        if self.transport is None:
            return
        if reset and (sock := self.transport.get_extra_info("socket")) is not None:
            with contextlib.suppress(OSError):  # it has gone already
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        if flush:
            self.transport.close()
        else:
            self.transport.abort()

    # The client's end

    def has_unread_input(self) -> bool:
        """Whether bytes of the client, or its end, are there that were not read yet."""
        if self.lifecycle is CLOSED or (self.transport is None and self.sock is None):
            return False
        return self.unfed is not None or (not self.half_closed and bool(self._poll_end()))

    def client_has_closed(self) -> bool:
        """Whether the client has closed, also where that stands behind what was not read yet.

        The transport reports the end of a client late if reading is paused or the loop stood still; asking
        the socket spares endpoints work that nobody waits for.
        """
        if self.lifecycle is CLOSED or self.transport is None:
            return self.lifecycle is CLOSED
        found = self._poll_end()
        if not found or not found[0][1] & (END_BOTH if self.handler.half_close else END):
            return False
        self.handler.loop.call_soon(self.close)
        return True

    def _poll_end(self) -> list[tuple[int, int]]:
        """Return the socket's events now, as `select.poll` does; none if it can't be asked."""
        try:
            return self._watch_end().poll(0)
        except (OSError, ValueError):  # no memory to look; or its descriptor is closed
            return []

    def _watch_end(self) -> Watch:
        """Return the watch on the client's end, made once."""
        if self.end is None:
            sock = self.sock if self.transport is None else self.transport.get_extra_info("socket")
            assert sock is not None
            self.end = self.handler.system.watch_end(sock)
        return self.end
