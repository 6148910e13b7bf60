"""Responses on a client connection: their HTTP framing, and flow control towards the client.

The writer does not know about requests: the connection decides which response is next, and whether the
connection stays open after it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from http import HTTPStatus

from ..memory_budget import MemoryBudget
from .protocols import FlowControlled

MAX_STALL_S = 5.0  # A client that reads no byte of a response for this long is disconnected.
REASON_PHRASES = {status.value: status.phrase.encode() for status in HTTPStatus}
BODILESS_STATUSES = frozenset((204, 304))  # These responses need no Content-Length (RFC 9110, 8.6).


class ResponseWriter:
    """Writes responses to the transport of one connection, in the order of the calls.

    Args:
        loop: Event loop that runs the timers.
        memory: Budget of the bytes that the client has not read and the kernel has not accepted.
        close: Callback without arguments for a client that has read nothing, or has not closed, in time.

    Attributes:
        transport: Transport of the connection; None until it exists.
        unread: Whether written response bytes are still unsent, since the client does not read them.
        source: Source of the response that is being streamed; None if there is none.
        keep_alive: Whether the connection stays open after the streamed response.
        linger_s: Seconds from the close of the sending side to the abort if the client does not close; 0
            while the sending side is open.
    """

    __slots__ = (
        "_close",
        "_final_chunk",
        "_loop",
        "_memory",
        "_timer",
        "_unsent_bytes",
        "keep_alive",
        "linger_s",
        "source",
        "transport",
        "unread",
    )

    def __init__(
        self, loop: asyncio.AbstractEventLoop, memory: MemoryBudget, close: Callable[[], None]
    ) -> None:
        self._loop = loop
        self._memory = memory
        self._unsent_bytes = 0  # charged to the budget
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
            if self.unread:
                self._account_unsent()

    def _account_unsent(self) -> None:
        """Charge the bytes in the transport's buffer to the budget."""
        unsent_bytes = 0
        if self.unread and self.transport is not None:
            unsent_bytes = self.transport.get_write_buffer_size()
        self._memory.charge(unsent_bytes - self._unsent_bytes)
        self._unsent_bytes = unsent_bytes

    def respond(
        self, code: int, headers: bytes, body: bytes, keep_alive: bool, is_head: bool = False
    ) -> None:
        """Write a complete response.

        Args:
            code: HTTP status of the response.
            headers: Complete header lines, without framing headers.
            body: Complete response body.
            keep_alive: Whether the connection stays open after the response.
            is_head: Whether the request is a HEAD request, whose response has no body.
        """
        if code in BODILESS_STATUSES or (is_head and b"Content-Length: " in headers):
            length = b""
        else:
            length = b"Content-Length: %d\r\n" % len(body)
        self.write(_response_head(code, headers + length, keep_alive) + (b"" if is_head else body))

    def begin(
        self, code: int, headers: bytes, length: int | None, keep_alive: bool, supports_chunked: bool
    ) -> None:
        """Begin a streamed response; its body follows in pieces, and the caller sets `source`.

        Args:
            code: HTTP status of the response.
            headers: Complete header lines, without framing headers.
            length: Bytes of the body; None if its end is marked by the last chunk or by the close of the
                connection.
            keep_alive: Whether the connection may stay open after the response.
            supports_chunked: Whether the client supports chunked transfer coding.
        """
        self.keep_alive = keep_alive
        self._final_chunk = None
        if length is not None:
            framing = b"Content-Length: %d\r\n" % length
        elif supports_chunked:
            framing, self._final_chunk = b"Transfer-Encoding: chunked\r\n", b"0\r\n\r\n"
        else:  # The close of the connection marks the end.
            framing, self.keep_alive = b"", False
        self.write(_response_head(code, headers + framing, self.keep_alive))

    def send_piece(self, data: bytes) -> None:
        """Write the next bytes of the streamed response; `data` must not be empty."""
        self.write(data if self._final_chunk is None else b"%x\r\n%s\r\n" % (len(data), data))

    def end(self) -> None:
        """End the streamed response after its complete body."""
        if self._final_chunk is not None:
            self.write(self._final_chunk)

    # Flow control

    def pause(self) -> None:
        """Pause the source, since the transport could not send all written data."""
        self.unread = True
        self._account_unsent()
        if self.source is not None:
            self.source.set_paused(True)
        if self._timer is None:
            self._watch_stall()

    def resume(self) -> None:
        """Resume the source, since all written data has been sent."""
        self.unread = False
        self._account_unsent()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self.linger_s:  # The linger time starts when the last byte has been sent.
            self._timer = self._loop.call_later(self.linger_s, self._close)
        if self.source is not None:
            self.source.set_paused(False)

    def _watch_stall(self) -> None:
        """Schedule a check after `MAX_STALL_S` that the client has read anything."""
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
        """Close the sending side after all written data, and abort if the client does not close in time.

        Args:
            linger_s: Seconds from the last byte sent to the abort.

        Returns:
            False if the client has reset the connection.
        """
        assert self.transport is not None
        self.linger_s = linger_s
        try:
            self.transport.write_eof()  # The transport sends the FIN after all buffered data.
        except OSError:
            return False
        if self._timer is None:
            self._timer = self._loop.call_later(linger_s, self._close)
        return True

    def detach(self) -> None:
        """Cancel the timer, and clear all references that lead back to the connection."""
        if self._timer is not None:
            self._timer.cancel()
        self.unread = False
        self._account_unsent()
        self.source = None
        del self._close


def _response_head(code: int, lines: bytes, keep_alive: bool) -> bytes:
    """Return the status line and header lines, with the empty line after them."""
    close = b"" if keep_alive else b"Connection: close\r\n"
    return b"HTTP/1.1 %d %s\r\n%s%s\r\n" % (code, REASON_PHRASES.get(code, b"Unknown"), lines, close)
