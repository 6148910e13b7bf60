"""Responses on a client's connection: whole ones, streamed ones, and flow control towards the client."""

from __future__ import annotations

from http import HTTPStatus

from ..streaming import Upload
from ..upstream.classify import HttpProfile
from .connection_state import ConnectionState
from .protocols import FlowControlled
from .request_parser import ParsedRequest

MAX_STALL_S = 5.0  # A client that reads no byte of a response in this time is disconnected.
REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
BODILESS_STATUSES = frozenset((204, 304))  # These responses need no Content-Length (RFC 9110, 8.6).


class ResponseWriter(ConnectionState):
    """The writing layer of a client's connection."""

    __slots__ = ()

    def respond(self, request: ParsedRequest, code: int, headers: bytes, body: bytes) -> None:
        """Write the final answer to the request that is being served.

        Args:
            request: The request; nothing is written if it is no longer being served.
            code: HTTP status of the response.
            headers: Complete header lines, without those of the framing.
            body: Complete body of the response.
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
        self, request: ParsedRequest, code: int, headers: bytes, length: int | None, source: FlowControlled
    ) -> bool:
        """Begin the final answer to the request that is being served; its body follows in pieces.

        Args:
            request: The request.
            code: HTTP status of the response.
            headers: Complete header lines, without those of the framing.
            length: Bytes of the body; None if the last chunk, or the close of the connection, marks its end.
            source: Source of the body, which pauses while the client does not read.

        Returns:
            False if the client no longer awaits the response.
        """
        if self.current is not request:
            return False
        if request.upload is not None:
            self._stop_upload(request.upload, request)
        self.response_source = source
        self.keep_alive = request.keep_alive and self._keeps_open()
        self.final_chunk = None
        if length is not None:
            framing = b"Content-Length: %d\r\n" % length
        elif request.is_http_1_0:  # HTTP/1.0 has no chunks: the close marks the end.
            framing, self.keep_alive = b"", False
        else:
            framing, self.final_chunk = b"Transfer-Encoding: chunked\r\n", b"0\r\n\r\n"
        self._write(_response_head(code, headers + request.extra_response_headers + framing, self.keep_alive))
        return True

    def send_response_piece(self, request: ParsedRequest, data: bytes) -> None:
        """Write the next bytes of the streamed response."""
        if self.current is request and data:
            self._write(data if self.final_chunk is None else b"%x\r\n%s\r\n" % (len(data), data))

    def end_response(self, request: ParsedRequest, whole: bool) -> None:
        """End the streamed response.

        Args:
            request: The request.
            whole: Whether the body is complete. If it is not, the connection is reset, which shows that to
                the client in any framing.
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
        """Discard the rest of a streamed body, since its request is answered already.

        The start of the next message is unknown then, so that the connection can't be used again.
        """
        if not upload.ended:
            request.keep_alive = False
            self.discarding_input = True
            self.upload = None

    def _keeps_open(self) -> bool:
        """Return whether the connection stays open after the next response.

        While another request is waiting or unfinished it stays open in a graceful shutdown too: each request
        gets its own answer.
        """
        if self.waiting or self.unfed is not None or self.message_begun:
            return True
        if self.half_closed:
            return False
        return (self.handler.accepting_requests and not self.handler.handing_over) or self.has_unread_input()

    def _respond(self, code: int, headers: bytes, body: bytes, keep_alive: bool, head: bool = False) -> None:
        """Write a whole response.

        Args:
            code: HTTP status of the response.
            headers: Complete header lines, without those of the framing.
            body: Complete body of the response.
            keep_alive: Whether the request permits that the connection stays open.
            head: Whether the body is left out, as responses to HEAD requests require.
        """
        keep_alive = keep_alive and self._keeps_open()
        if code in BODILESS_STATUSES or (head and b"Content-Length: " in headers):
            length = b""
        else:
            length = b"Content-Length: %d\r\n" % len(body)
        self._write(_response_head(code, headers + length, keep_alive) + (b"" if head else body))
        if not keep_alive:
            self._shut_down()

    def _write(self, data: bytes) -> None:
        """Write data, unless the sending side of the connection is closed."""
        if self.transport is not None and not self.linger_s and not self.transport.is_closing():
            self.transport.write(data)

    # Flow control

    def pause_writing(self) -> None:
        """Stop dispatching requests: a client that sends and does not read would fill the memory."""
        self.unread = True
        if self.response_source is not None:
            self.response_source.block(True)
        if self.stall_timer is None:
            self._watch_stall()

    def resume_writing(self) -> None:
        """Resume dispatching requests: all written data has been sent."""
        self.unread = False
        if self.stall_timer is not None:
            self.stall_timer.cancel()
            self.stall_timer = None
        if self.linger_s:  # The time to linger begins when the last byte has been sent.
            self.stall_timer = self.handler.loop.call_later(self.linger_s, self.close)
        if self.response_source is not None:
            self.response_source.block(False)
        self._dispatch_waiting()
        self.handler.clients.update(self)
        if self.idle and (self.half_closed or not self.handler.accepting_requests):
            self.close_when_idle()

    def _watch_stall(self) -> None:
        """Schedule a check whether the client has read anything within `MAX_STALL_S`."""
        assert self.transport is not None
        unsent_bytes = self.transport.get_write_buffer_size()
        self.stall_timer = self.handler.loop.call_later(MAX_STALL_S, self._check_stall, unsent_bytes)

    def _check_stall(self, previous_unsent_bytes: int) -> None:
        """Close the connection if the client has read nothing since the check was scheduled."""
        if self.transport is None or self.transport.get_write_buffer_size() == previous_unsent_bytes:
            self.close()
        else:
            self._watch_stall()


def _response_head(code: int, lines: bytes, keep_alive: bool) -> bytes:
    """Return status line and header lines, including the empty line after them."""
    close = b"" if keep_alive else b"Connection: close\r\n"
    return b"HTTP/1.1 %d %s\r\n%s%s\r\n" % (code, REASONS.get(code, b"Unknown"), lines, close)
