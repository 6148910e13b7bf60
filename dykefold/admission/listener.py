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
from enum import Enum, auto

from ..system import SYSTEM, System
from .budget import ACCEPTING
from .clients import Clients, Guest
from .refusals import Refused
from .rules import Client, Reason

log = logging.getLogger("dykefold.admission")

STARVED = frozenset((errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
# Of the connection that was to be accepted, or of the call: the next one is asked for at once (accept(2)).
PASSING = frozenset(
    (
        errno.ECONNABORTED,
        errno.EINTR,
        errno.EPROTO,
        errno.ENETDOWN,
        errno.ENOPROTOOPT,
        errno.EHOSTDOWN,
        errno.ENONET,
        errno.EHOSTUNREACH,
        errno.EOPNOTSUPP,
        errno.ENETUNREACH,
    )
)
PAUSE_S = 0.05  # without accepting when the system has no descriptor; a released one ends it sooner
NOTES_APART_S = 10.0
REST_MOST = 64  # turns in which a listener that is to close accepts what waits: twice what the kernel holds
RETRY_AFTER_S = 1
SEND_BYTES = 128 * 1024  # of the kernel's buffer to a client: a slow one is seen to read every few of them
REFUSED_MOST = 8  # refused clients whose end is waited for; they take places of those accepted in a turn


def _refusal(code: int, reason: str, text: str) -> bytes:
    body = f"refused: {text}\n"
    head = f"HTTP/1.1 {code} {reason}\r\nRetry-After: {RETRY_AFTER_S}\r\nConnection: close\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n{body}".encode()


REFUSALS = {
    Reason.CONNECTIONS: _refusal(429, "Too Many Requests", "too many connections from this address"),
    Reason.NEW_CONNECTIONS: _refusal(429, "Too Many Requests", "too many new connections from this address"),
    Reason.FULL: _refusal(503, "Service Unavailable", "too many connections"),
}


class Turn(Enum):
    """What a turn of accepting ended with."""

    MORE = auto()  # others may wait
    EMPTY = auto()
    FAILED = auto()  # it is tried again after a pause


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
        self.refused: dict[Refused, None] = {}  # the oldest first
        self.ended: Callable[[], None] | None = None  # told once it is closed, if it is to end
        self.end_by_s = 0.0
        self._take_spare()
        sock.setblocking(False)
        # Accepted sockets have the listener's.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BYTES)
        loop.add_reader(sock.fileno(), self._ready)

    @property
    def address(self) -> tuple[str, int]:
        return self.sock.getsockname()[:2]

    def _ready(self) -> None:
        self._accept()

    def _accept(self) -> Turn:
        """Accept a number of connections."""
        error = None
        for _ in range(ACCEPTING - len(self.refused)):
            try:
                sock, peer = self.sock.accept()
            except BlockingIOError:
                return Turn.EMPTY
            except OSError as failure:
                error = failure
                if failure.errno not in PASSING:
                    break
            else:
                error = None
                self._let_in(sock, peer[0])
        if error is None:
            return Turn.MORE
        self._failed(error)
        return Turn.FAILED

    def _let_in(self, sock: socket.socket, host: str) -> None:
        try:
            sock.setblocking(False)
        except OSError:  # it has gone
            sock.close()
            return
        client, reason = self.clients.admit(host)
        if client is None:
            self._refuse(sock, Reason.FULL if reason is None else reason)
            return
        guest = self.make(client)
        guest.accepted(sock)
        self.clients.add(guest)
        task = self.loop.create_task(self._start(sock, guest))
        self.starting.add(task)
        task.add_done_callback(self.starting.discard)

    async def _start(self, sock: socket.socket, guest: Guest) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: guest, sock)  # type: ignore[type-var, arg-type, return-value]
        except OSError:  # it was reset, or the system lacks something: whoever is still there hears it
            self._refuse(sock, Reason.FULL)
            self.clients.remove(guest.client)
        except asyncio.CancelledError:
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
            if self.spare is None:  # a client that was refused has it, and somebody else waits
                self._forget_refused()
                self._take_spare()
            if self.spare is None:
                return
            self.system.close_reserve(self.spare)
            self.spare = None
            try:
                sock, _ = self.sock.accept()
            except OSError:
                self._take_spare()
                return
            self._refuse(sock, Reason.FULL)
            self._take_spare()
            if not self._waits():
                return

    def _waits(self) -> bool:
        """Whether somebody waits to be accepted."""
        try:
            return bool(self.system.watch(self.sock).poll(0))
        except OSError:
            return True

    def _refuse(self, sock: socket.socket, reason: Reason) -> None:
        if len(self.refused) >= REFUSED_MOST:
            next(iter(self.refused)).close()
        refused = Refused(self.loop, sock, REFUSALS[reason], self._forget)
        if not refused.closed:
            self.refused[refused] = None

    def _forget(self, refused: Refused) -> None:
        self.refused.pop(refused, None)
        if not self.closed:
            self._take_spare()

    def _forget_refused(self) -> None:
        """Take back the descriptors of those who were refused."""
        for refused in list(self.refused):
            refused.close()

    def _take_spare(self) -> None:
        if self.spare is None:
            with contextlib.suppress(OSError):  # somebody else was faster: it is tried again
                self.spare = self.system.open_reserve()

    def pause(self) -> None:
        if self.resume is None and not self.closed:
            self.loop.remove_reader(self.sock.fileno())
            self.resume = self.loop.call_later(PAUSE_S, self.released)

    def released(self) -> None:
        """A descriptor has come free, or the pause is over: accept again."""
        if self.resume is None:
            return
        self._go_on()
        if self.ended is not None:
            self._end()

    def _go_on(self) -> None:
        if self.resume is None:
            return
        self.resume.cancel()
        self.resume = None
        self._take_spare()
        self.loop.add_reader(self.sock.fileno(), self._ready)

    def take_rest(self) -> bool:
        """Accept what waits: closing the socket would reset it. False if accepting fails for now."""
        self._go_on()  # a rest after a lack of descriptors would be its end
        for _ in range(REST_MOST):
            turn = Turn.EMPTY if self.closed else self._accept()
            if turn is not Turn.MORE:
                return turn is Turn.EMPTY
        return True

    def end(self, within_s: float, ended: Callable[[], None]) -> None:
        """Accept what waits, and close.

        Args:
            within_s: for which accepting is tried again while it fails; who then still waits is refused.
            ended: called once it is closed: in this call if nothing fails.
        """
        self.ended = ended
        self.end_by_s = self.system.monotonic() + within_s
        self._end()

    def _end(self) -> None:
        if self.closed:
            return
        if not self.take_rest():
            if self.system.monotonic() < self.end_by_s:
                return  # the pause ends here again
            self._turn_away()
        self.close()
        if self.ended is not None:
            self.ended()

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
            self.system.close_reserve(self.spare)
            self.spare = None
