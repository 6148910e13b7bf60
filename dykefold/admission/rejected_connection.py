"""A connection rejected at the listener: its response is sent in full before it is closed.

Closing a socket with unread bytes resets the connection, and the response in transit is lost (RFC 9112, 9.6).
So the write side is shut down first, and input is discarded until the client closes, for a bounded time.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

LINGER_S = 0.3  # From the rejection; time for the client to read the response and close.
POLL_INTERVAL_S = 0.01  # Between two polls of the socket.
READ_BYTES = 16 * 1024
MAX_DISCARDED_BYTES = 256 * 1024  # Read from one rejected client.


class RejectedConnection:
    """A rejected connection.

    Args:
        loop: Event loop of the timer.
        sock: Accepted socket; it is always closed in the end.
        response: Response to send, in bytes.
        on_closed: Called once when the descriptor is closed, possibly before the constructor returns.

    Attributes:
        closed: Whether the descriptor is closed.
    """

    __slots__ = (
        "_discarded_bytes",
        "_loop",
        "_on_closed",
        "_response",
        "_shutdown_sent",
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
        self._shutdown_sent = self.closed = False
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
        except OSError:  # the client has disconnected
            done = True
        if done or self._loop.time() >= self._until_s:
            self.close()
        else:
            self._timer = self._loop.call_later(POLL_INTERVAL_S, self._poll)

    def _send_and_discard(self) -> bool:
        """Send and read without blocking; return True at the client's end of stream or too much input."""
        self._sock.setblocking(False)
        while self._response:
            self._response = self._response[self._sock.send(self._response) :]
        if not self._shutdown_sent:
            self._sock.shutdown(socket.SHUT_WR)
            self._shutdown_sent = True
        while data := self._sock.recv(READ_BYTES):
            self._discarded_bytes += len(data)
            if self._discarded_bytes > MAX_DISCARDED_BYTES:
                break
        return True

    def close(self) -> None:
        """Close the socket; do nothing if it is closed."""
        if self.closed:
            return
        self.closed = True
        if self._timer is not None:
            self._timer.cancel()
        self._sock.close()
        self._on_closed(self)
