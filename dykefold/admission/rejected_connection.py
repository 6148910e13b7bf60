"""A connection that is rejected at the listener: its response is sent whole, and its end is awaited.

A close while bytes were not read is a reset, and what is on its way to the client is lost with it (RFC 9112,
9.6). So the own side is shut down first, and what still comes is discarded for a bounded time.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

LINGER_S = 0.3  # From the rejection on; the client may read the response and close.
POLL_INTERVAL_S = 0.01  # Between two checks of the socket.
READ_BYTES = 16 * 1024
MAX_DISCARDED_BYTES = 256 * 1024  # Read from one rejected client.


class RejectedConnection:
    """One such connection.

    Args:
        loop: Event loop of the timer.
        sock: Accepted socket; it is closed in the end, whatever fails.
        response: Bytes that the client is sent.
        on_closed: Called once when the descriptor is closed, during this call if nothing is awaited.

    Attributes:
        closed: Whether the descriptor is closed.
    """

    __slots__ = (
        "_discarded_bytes",
        "_loop",
        "_on_closed",
        "_response",
        "_shut_down",
        "_sock",
        "_timer",
        "_until_s",
        "closed",
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        response: bytes,
        on_closed: Callable[[RejectedConnection], None],
    ) -> None:
        self._loop = loop
        self._sock = sock
        self._response = response
        self._on_closed = on_closed
        self._shut_down = self.closed = False
        self._discarded_bytes = 0
        self._until_s = loop.time() + LINGER_S
        self._timer: asyncio.TimerHandle | None = None
        self._poll()

    def _poll(self) -> None:
        self._timer = None
        try:
            done = self._send_and_discard()
        except (BlockingIOError, InterruptedError):
            done = False
        except OSError:  # the client has gone
            done = True
        if done or self._loop.time() >= self._until_s:
            self.close()
        else:
            self._timer = self._loop.call_later(POLL_INTERVAL_S, self._poll)

    def _send_and_discard(self) -> bool:
        """Send and read what can be; return whether the client's end was read, or too much before it."""
        self._sock.setblocking(False)
        while self._response:
            self._response = self._response[self._sock.send(self._response) :]
        if not self._shut_down:
            self._sock.shutdown(socket.SHUT_WR)
            self._shut_down = True
        while data := self._sock.recv(READ_BYTES):
            self._discarded_bytes += len(data)
            if self._discarded_bytes > MAX_DISCARDED_BYTES:
                break
        return True

    def close(self) -> None:
        """Close the socket; once it is closed, do nothing."""
        if self.closed:
            return
        self.closed = True
        if self._timer is not None:
            self._timer.cancel()
        self._sock.close()
        self._on_closed(self)
