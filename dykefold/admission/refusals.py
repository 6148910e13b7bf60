"""A connection that is refused at the listener: its answer goes whole, and its end is waited for.

A close over bytes that were not read is a reset, and what is on its way to the client goes with it (RFC 9112,
9.6). So the own side is ended first, and what still comes is read, unheard, for a bounded time.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

LINGER_S = 0.3  # from the refusal on, in which the client may read why and end its side
LOOK_EVERY_S = 0.01  # at whether more can be sent or has come: refusals are few, and no reader is needed
READ_BYTES = 16 * 1024
UNREAD_MOST = 256 * 1024  # bytes of such a client that are read at most


class Refused:
    """One such connection."""

    __slots__ = ("answer", "closed", "ended", "loop", "over", "sock", "timer", "unheard", "until_s")

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        answer: bytes,
        over: Callable[[Refused], None],
    ) -> None:
        """Begin to refuse.

        Args:
            sock: the accepted socket; it is closed in the end, whatever fails.
            answer: what the client is told.
            over: called once, when the descriptor is free; from here already if nothing is to be waited for.
        """
        self.loop = loop
        self.sock = sock
        self.answer = answer
        self.over = over
        self.ended = self.closed = False
        self.unheard = 0  # bytes that came
        self.until_s = loop.time() + LINGER_S
        self.timer: asyncio.TimerHandle | None = None
        self._look()

    def _look(self) -> None:
        self.timer = None
        try:
            over = self._step()
        except (BlockingIOError, InterruptedError):
            over = False
        except OSError:  # it has gone: nobody is left to be told
            over = True
        if over or self.loop.time() >= self.until_s:
            self.close()
        else:
            self.timer = self.loop.call_later(LOOK_EVERY_S, self._look)

    def _step(self) -> bool:
        """Send and read what can be; whether the client's end was seen, or too much came before it."""
        self.sock.setblocking(False)
        while self.answer:
            self.answer = self.answer[self.sock.send(self.answer) :]
        if not self.ended:
            self.sock.shutdown(socket.SHUT_WR)
            self.ended = True
        while data := self.sock.recv(READ_BYTES):
            self.unheard += len(data)
            if self.unheard > UNREAD_MOST:
                break
        return True

    def close(self) -> None:
        """Give the descriptor back."""
        if self.closed:
            return
        self.closed = True
        if self.timer is not None:
            self.timer.cancel()
        self.sock.close()
        self.over(self)
