"""The listening socket: accepts what the rules let in, refuses the rest, and outlives a lack of descriptors.

asyncio's own servers either spin or drop the listener's reader for a second when `accept` meets EMFILE,
and build a transport before anybody can say no. Here the address is known with the accepted socket, so a
refusal costs three system calls.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import logging
import socket
from collections.abc import Callable

from ..system import SYSTEM, System
from .budget import ACCEPTING
from .clients import Clients, Guest
from .rules import Client, Reason

log = logging.getLogger("dykefold.admission")

STARVED = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
PAUSE_S = 0.05  # without accepting when the system has no descriptor; a released one ends it sooner
NOTES_APART_S = 10.0
REST_MOST = 64  # turns in which a listener that is to close accepts what waits: twice what the kernel holds
RETRY_AFTER_S = 1
SEND_BYTES = 128 * 1024  # of the kernel's buffer to a client: a slow one is seen to read every few of them
UNREAD_MOST = 4096  # bytes that a refused client may have sent already: unread they would reset the refusal


def _refusal(code: int, reason: str, text: str) -> bytes:
    body = f"refused: {text}\n"
    head = f"HTTP/1.1 {code} {reason}\r\nRetry-After: {RETRY_AFTER_S}\r\nConnection: close\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n{body}".encode()


REFUSALS = {
    Reason.CONNECTIONS: _refusal(429, "Too Many Requests", "too many connections from this address"),
    Reason.NEW_CONNECTIONS: _refusal(429, "Too Many Requests", "too many new connections from this address"),
    Reason.FULL: _refusal(503, "Service Unavailable", "too many connections"),
}


class Listener:
    """Accepts on one non-blocking listening socket; `make` builds a connection's protocol for a client."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        clients: Clients,
        make: Callable[[Client], Guest],
        system: System = SYSTEM,
    ) -> None:
        self.loop = loop
        self.system = system
        self.sock = sock
        self.clients = clients
        self.make = make
        self.spare: int | None = None
        self.resume: asyncio.TimerHandle | None = None
        self.starting: set[asyncio.Task[None]] = set()
        self.noted_at_s = -NOTES_APART_S
        self.closed = False
        self._take_spare()
        sock.setblocking(False)
        # Accepted sockets have the listener's.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BYTES)
        loop.add_reader(sock.fileno(), self._ready)

    @property
    def address(self) -> tuple[str, int]:
        return self.sock.getsockname()[:2]

    def _ready(self) -> bool:
        """Accept a number of connections; whether more may wait."""
        for _ in range(ACCEPTING):
            try:
                sock, peer = self.sock.accept()
            except (BlockingIOError, InterruptedError):
                return False
            except ConnectionAbortedError:  # it was reset while it waited
                continue
            except OSError as error:
                self._failed(error)
                return False
            client, reason = self.clients.admit(peer[0])
            if client is None:
                _refuse(sock, Reason.FULL if reason is None else reason)
                continue
            sock.setblocking(False)
            guest = self.make(client)
            self.clients.add(guest)
            task = self.loop.create_task(self._start(sock, guest))
            self.starting.add(task)
            task.add_done_callback(self.starting.discard)
        return True

    async def _start(self, sock: socket.socket, guest: Guest) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: guest, sock)  # type: ignore[type-var, arg-type, return-value]
        except (OSError, asyncio.CancelledError):
            sock.close()
            self.clients.remove(guest.client)

    # Without descriptors

    def _failed(self, error: OSError) -> None:
        """Guards the loop against spinning on a listener that stays readable while nothing can be accepted.

        Somebody who may leave makes room for the next turn. If nobody may, the spare descriptor turns
        away who waits, so that they hear it rather than hang in the backlog. Other errors are of the
        network or a packet filter (accept(2)): they need a rest as well, and nobody's place.
        """
        if self.system.monotonic() - self.noted_at_s >= NOTES_APART_S:
            self.noted_at_s = self.system.monotonic()
            if error.errno in STARVED:
                log.warning("limit met: descriptors of the process or system (%s)", error.strerror)
            else:
                log.warning("accept failed: %s", error.strerror)
        if error.errno in STARVED and not self.clients.release():
            self._turn_away()
        self.pause()

    def _turn_away(self) -> None:
        for _ in range(ACCEPTING):
            if self.spare is None:
                return
            self.system.close_spare(self.spare)
            self.spare = None
            try:
                sock, _ = self.sock.accept()
            except OSError:
                self._take_spare()
                return
            _refuse(sock, Reason.FULL)
            self._take_spare()

    def _take_spare(self) -> None:
        if self.spare is None:
            with contextlib.suppress(OSError):  # somebody else was faster: it is tried again
                self.spare = self.system.open_spare()

    def pause(self) -> None:
        if self.resume is None and not self.closed:
            self.loop.remove_reader(self.sock.fileno())
            self.resume = self.loop.call_later(PAUSE_S, self.released)

    def released(self) -> None:
        """A descriptor has come free, or the pause is over: accept again."""
        if self.resume is None:
            return
        self.resume.cancel()
        self.resume = None
        self._take_spare()
        self.loop.add_reader(self.sock.fileno(), self._ready)

    def take_rest(self) -> None:
        """Accept what waits: closing the socket would reset it."""
        self.released()  # a rest after a lack of descriptors would be its end
        for _ in range(REST_MOST):
            if self.closed or self.resume is not None or not self._ready():
                return

    def close(self) -> None:
        if self.closed:
            return
        self.closed = True
        if self.resume is not None:
            self.resume.cancel()
            self.resume = None
        else:
            self.loop.remove_reader(self.sock.fileno())
        self.sock.close()
        if self.spare is not None:
            self.system.close_spare(self.spare)
            self.spare = None


def _refuse(sock: socket.socket, reason: Reason) -> None:
    with sock, contextlib.suppress(OSError):
        sock.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            sock.recv(UNREAD_MOST)
        sock.send(REFUSALS[reason])
        sock.shutdown(socket.SHUT_WR)
