"""Answers on a client's connection: whole ones, streamed ones, and flow control towards the client."""

from __future__ import annotations

from http import HTTPStatus

from ..streaming import Upload
from ..upstream.classify import HttpProfile
from .connection_state import ConnectionState
from .protocols import FlowControlled
from .request_parser import ParsedRequest

MAX_STALL_S = 5.0  # seconds in which a client may read nothing of an answer
REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
BODILESS = frozenset((204, 304))  # answers that have no body and need no length (RFC 9110, 8.6)


class ResponseWriter(ConnectionState):
    """The writing half of a client's connection."""

    __slots__ = ()

    def respond(self, request: ParsedRequest, code: int, headers: bytes, body: bytes) -> None:
        """Write the final answer to the request that is being served.

        Args:
            request: The request; nothing is written if it is served no more.
            code: The HTTP status.
            headers: Whole header lines, without those of the framing.
            body: The whole body.
        """
        if self.current is not request:
            return
        self.current = None
        self._release(request.size)
        if request.extra_response_headers:
            headers += request.extra_response_headers
        if request.upload is not None:
            self._stop_upload(request.upload, request)
        self._respond(code, headers, body, request.keep_alive, request.profile is HttpProfile.HEAD)
        self._dispatch_waiting()
        self.handler.clients.update(self)

    def begin_response(
        self, request: ParsedRequest, code: int, headers: bytes, length: int | None, paced: FlowControlled
    ) -> bool:
        """Begin the final answer to the request that is being served; its body follows in pieces.

        Args:
            request: The request.
            code: The HTTP status.
            headers: Whole header lines, without those of the framing.
            length: Of the body in bytes; None where chunks or the connection's end mark its end.
            paced: The body's source, which pauses while the client does not read.

        Returns:
            False if the client does not wait for the answer any more.
        """
        if self.current is not request:
            return False
        if request.upload is not None:
            self._stop_upload(request.upload, request)
        self.response_source = paced
        self.keep_alive = request.keep_alive and self._keeps_open()
        self.final_chunk = None
        if length is not None:
            framing = b"Content-Length: %d\r\n" % length
        elif request.is_http_1_0:  # HTTP/1.0 has no chunks: the end of the connection ends its answer
            framing, self.keep_alive = b"", False
        else:
            framing, self.final_chunk = b"Transfer-Encoding: chunked\r\n", b"0\r\n\r\n"
        self._write(_response_head(code, headers + request.extra_response_headers + framing, self.keep_alive))
        return True

    def send_response_piece(self, request: ParsedRequest, data: bytes) -> None:
        """Write the next bytes of the answer that has begun."""
        if self.current is request and data:
            self._write(data if self.final_chunk is None else b"%x\r\n%s\r\n" % (len(data), data))

    def end_response(self, request: ParsedRequest, whole: bool) -> None:
        """End the answer that has begun.

        Args:
            request: The request.
            whole: Whether the body is complete; if not, the connection is reset, so that the client
                sees it in any framing.
        """
        if self.current is not request:
            return
        self.current = self.response_source = None
        self._release(request.size)
        if not whole:
            self.close(reset=True)
            return
        if self.final_chunk is not None:
            self._write(self.final_chunk)
        if not self.keep_alive:
            self._shut_down()
        self._dispatch_waiting()
        self.handler.clients.update(self)

    def _stop_upload(self, upload: Upload, request: ParsedRequest) -> None:
        """Discard the rest of a body whose request is answered: where the next message begins is unknown."""
        if not upload.ended:
            request.keep_alive = False
            self.discarding_input = True
            self.upload = None

    def _keeps_open(self) -> bool:
        """Whether the connection stays open after the next answer.

        With another request sent or begun it does in a graceful shutdown too: each gets its own answer.
        """
        if self.waiting or self.unfed is not None or self.message_begun:
            return True
        if self.half_closed:
            return False
        return (self.handler.accepting_requests and not self.handler.handing_over) or self.has_unread_input()

    def _respond(self, code: int, headers: bytes, body: bytes, keep_alive: bool, head: bool = False) -> None:
        """Write a whole answer; `head` leaves out its body, as HEAD requests need it."""
        keep_alive = keep_alive and self._keeps_open()
        if code in BODILESS or (head and b"Content-Length: " in headers):
            length = b""
        else:
            length = b"Content-Length: %d\r\n" % len(body)
        self._write(_response_head(code, headers + length, keep_alive) + (b"" if head else body))
        if not keep_alive:
            self._shut_down()

    def _write(self, data: bytes) -> None:
        """Write, unless the own side of the connection has ended."""
        if self.transport is not None and not self.linger_s and not self.transport.is_closing():
            self.transport.write(data)

    # Flow control

    def pause_writing(self) -> None:
        """Serve no further request: a client that sends and does not read would fill the memory."""
        self.unread = True
        if self.response_source is not None:
            self.response_source.block(True)
        if self.stall_timer is None:
            self._watch_stall()

    def resume_writing(self) -> None:
        """Serve on: the client has read all that was written."""
        self.unread = False
        if self.stall_timer is not None:
            self.stall_timer.cancel()
            self.stall_timer = None
        if self.linger_s:  # which begins when the last byte has gone
            self.stall_timer = self.handler.loop.call_later(self.linger_s, self.close)
        if self.response_source is not None:
            self.response_source.block(False)
        self._dispatch_waiting()
        self.handler.clients.update(self)
        if self.idle and (self.half_closed or not self.handler.accepting_requests):
            self.close_when_idle()

    def _watch_stall(self) -> None:
        """Check in `MAX_STALL_S` whether the client has read anything meanwhile."""
        assert self.transport is not None
        left = self.transport.get_write_buffer_size()
        self.stall_timer = self.handler.loop.call_later(MAX_STALL_S, self._check_stall, left)

    def _check_stall(self, before: int) -> None:
        """Close the connection of a client that left all of `before` bytes unread."""
        if self.transport is None or self.transport.get_write_buffer_size() == before:
            self.close()
        else:
            self._watch_stall()


def _response_head(code: int, lines: bytes, keep_alive: bool) -> bytes:
    """Return status line and header lines, with the empty line that ends them."""
    close = b"" if keep_alive else b"Connection: close\r\n"
    return b"HTTP/1.1 %d %s\r\n%s%s\r\n" % (code, REASONS.get(code, b"Unknown"), lines, close)
