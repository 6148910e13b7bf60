"""Responses on a client's connection: their HTTP framing, and flow control towards the client.

The writer knows no requests: the connection decides which response comes next, and whether the connection
stays open after it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus

from .protocols import FlowControlled

MAX_STALL_S = 5.0  # A client that reads no byte of a response in this time is disconnected.
REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
BODILESS_STATUSES = frozenset((204, 304))  # These responses need no Content-Length (RFC 9110, 8.6).


class ResponseWriter:
    """Writes responses to the transport of one connection, in the order in which it gets them.

    Args:
        loop: Event loop that runs the timer.
        close: Called without arguments when the client has read nothing, or has not closed, in time.

    Attributes:
        transport: Transport of the connection; None before it exists.
        unread: Whether the client leaves bytes of responses unread.
        source: Source of the response that is being streamed; None if there is none.
        keep_alive: Whether the connection stays open after the streamed response.
        linger_s: Seconds between the own close and the abort if the client does not close; 0 before
            the own close.
    """

    __slots__ = (
        "_close",
        "_final_chunk",
        "_loop",
        "_timer",
        "keep_alive",
        "linger_s",
        "source",
        "transport",
        "unread",
    )

    def __init__(self, loop: asyncio.AbstractEventLoop, close: Callable[[], None]) -> None:
        self._loop = loop
        self._close = close
        self._final_chunk: bytes | None = None  # Ends the streamed response; None if it is not chunked.
        self._timer: asyncio.TimerHandle | None = None
        self.transport: asyncio.Transport | None = None
        self.unread = False
        self.source: FlowControlled | None = None
        self.keep_alive = True
        self.linger_s = 0.0

    def write(self, data: bytes) -> None:
        """Write data, unless the sending side of the connection is closed."""
        if self.transport is not None and not self.linger_s and not self.transport.is_closing():
            self.transport.write(data)

    def respond(self, code: int, headers: bytes, body: bytes, keep_alive: bool, head: bool = False) -> None:
        """Write a whole response.

        Args:
            code: HTTP status of the response.
            headers: Complete header lines, without those of the framing.
            body: Complete body of the response.
            keep_alive: Whether the connection stays open after the response.
            head: Whether the body is left out, as responses to HEAD requests require.
        """
        if code in BODILESS_STATUSES or (head and b"Content-Length: " in headers):
            length = b""
        else:
            length = b"Content-Length: %d\r\n" % len(body)
        self.write(_response_head(code, headers + length, keep_alive) + (b"" if head else body))

    def begin(
        self, code: int, headers: bytes, length: int | None, keep_alive: bool, has_chunks: bool
    ) -> None:
        """Begin a streamed response; its body follows in pieces, and `source` is set by the caller.

        Args:
            code: HTTP status of the response.
            headers: Complete header lines, without those of the framing.
            length: Bytes of the body; None if the last chunk, or the close of the connection, marks its end.
            keep_alive: Whether the connection may stay open after the response.
            has_chunks: Whether the client understands chunks.
        """
        self.keep_alive = keep_alive
        self._final_chunk = None
        if length is not None:
            framing = b"Content-Length: %d\r\n" % length
        elif has_chunks:
            framing, self._final_chunk = b"Transfer-Encoding: chunked\r\n", b"0\r\n\r\n"
        else:  # The close of the connection marks the end.
            framing, self.keep_alive = b"", False
        self.write(_response_head(code, headers + framing, self.keep_alive))

    def send_piece(self, data: bytes) -> None:
        """Write the next bytes of the streamed response; there must be at least one."""
        self.write(data if self._final_chunk is None else b"%x\r\n%s\r\n" % (len(data), data))

    def end(self) -> None:
        """End the streamed response, whose body is complete."""
        if self._final_chunk is not None:
            self.write(self._final_chunk)

    # Flow control

    def pause(self) -> None:
        """Pause the source: the transport could not send all written data."""
        self.unread = True
        if self.source is not None:
            self.source.block(True)
        if self._timer is None:
            self._watch_stall()

    def resume(self) -> None:
        """Resume the source: all written data has been sent."""
        self.unread = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.linger_s:  # The time to linger begins when the last byte has been sent.
            self._timer = self._loop.call_later(self.linger_s, self._close)
        if self.source is not None:
            self.source.block(False)

    def _watch_stall(self) -> None:
        """Schedule a check whether the client has read anything within `MAX_STALL_S`."""
        assert self.transport is not None
        unsent_bytes = self.transport.get_write_buffer_size()
        self._timer = self._loop.call_later(MAX_STALL_S, self._check_stall, unsent_bytes)

    def _check_stall(self, previous_unsent_bytes: int) -> None:
        """Close the connection if the client has read nothing since the check was scheduled."""
        if self.transport is None or self.transport.get_write_buffer_size() == previous_unsent_bytes:
            self._close()
        else:
            self._watch_stall()

    # Close

    def close_sending_side(self, linger_s: float) -> bool:
        """Close the sending side after all written data, and abort later if the client does not close.

        Args:
            linger_s: Seconds from the last sent byte to the abort.

        Returns:
            False if the client has reset the connection.
        """
        assert self.transport is not None
        self.linger_s = linger_s
        try:
            self.transport.write_eof()  # The transport sends it after all buffered data.
        except OSError:
            return False
        if self._timer is None:
            self._timer = self._loop.call_later(linger_s, self._close)
        return True

    def detach(self) -> None:
        """Stop the timer, and drop all references that lead back to the connection."""
        if self._timer is not None:
            self._timer.cancel()
        self.source = None
        del self._close


def _response_head(code: int, lines: bytes, keep_alive: bool) -> bytes:
    """Return status line and header lines, including the empty line after them."""
    close = b"" if keep_alive else b"Connection: close\r\n"
    return b"HTTP/1.1 %d %s\r\n%s%s\r\n" % (code, REASONS.get(code, b"Unknown"), lines, close)
