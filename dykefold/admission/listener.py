"""Listening socket: accepts connections, rejects those not admitted, and handles descriptor exhaustion.

asyncio's servers either spin or stop reading the listening socket for a second when `accept` fails with
EMFILE, and create a transport before a connection can be rejected. Here the client's address is available
with the accepted socket, so a rejection costs three system calls.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from enum import Enum, auto
from typing import cast

from ..system import SYSTEM, System
from .accept_errors import EXHAUSTED, TRANSIENT
from .budget import ACCEPTED_DESCRIPTORS
from .client import Client
from .clients import ClientConnections
from .connection import ManagedConnection
from .decision import RejectionReason
from .rejections import Rejections
from .reserve_descriptor import ReserveDescriptor

log = logging.getLogger("dykefold.admission")

PAUSE_S = 0.05  # Pause after a failed accept; a released descriptor ends it early.
LOG_INTERVAL_S = 10.0  # Between two log lines about failures.
MAX_BACKLOG_TURNS = 64  # Accept rounds of a closing listener: these cover twice the kernel queue.
SEND_BUFFER_BYTES = 128 * 1024  # Of each client socket; small enough to detect that a slow client reads.
RECEIVE_BUFFER_BYTES = 32 * 1024  # Of each client socket; bounds the bytes that one read returns.


class AcceptResult(Enum):
    """Result of one round of accepting."""

    MORE = auto()  # more clients may be waiting
    EMPTY = auto()  # no client is waiting
    FAILED = auto()  # retried after a pause


class Listener:
    """Accepts on one non-blocking listening socket.

    Args:
        loop: Event loop on which the listener runs.
        sock: Listening socket, non-blocking.
        clients: Open connections; admits each new one.
        make_connection: Creates the connection protocol of an admitted client.
        system: Source of the clock and of the reserve descriptor.

    Attributes:
        closed: Whether the socket is closed.
        reserve: Descriptor that is closed to free one for accepting.
        rejections: Rejected connections that are still open.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        clients: ClientConnections,
        make_connection: Callable[[Client], ManagedConnection],
        system: System = SYSTEM,
    ) -> None:
        self._loop = loop
        self._system = system
        self._sock = sock
        self._clients = clients
        self._make_connection = make_connection
        self._pause_timer: asyncio.TimerHandle | None = None
        self._start_tasks: set[asyncio.Task[None]] = set()
        self._failure_logged_at_s = -LOG_INTERVAL_S
        self._on_closed: Callable[[], None] | None = None
        self._close_deadline_s = 0.0
        self.closed = False
        self.reserve = ReserveDescriptor(system)
        self.rejections = Rejections(loop, self._on_rejection_closed)
        self.reserve.open()
        sock.setblocking(False)
        # Accepted sockets inherit these options.
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        loop.add_reader(sock.fileno(), self._on_readable)

    @property
    def address(self) -> tuple[str, int]:
        """Address and port of the listening socket."""
        host, port = self._sock.getsockname()[:2]
        return host, port

    @property
    def closing(self) -> bool:
        """Whether shutdown has begun."""
        return self._on_closed is not None

    # Accepting

    def _on_readable(self) -> None:
        self._accept()

    def _accept(self) -> AcceptResult:
        """Accept a bounded number of connections."""
        error = None
        for _ in range(ACCEPTED_DESCRIPTORS - len(self.rejections)):
            try:
                sock, peer = self._sock.accept()
            except BlockingIOError:
                return AcceptResult.EMPTY
            except OSError as failure:
                error = failure
                if failure.errno not in TRANSIENT:
                    break
            else:
                error = None
                self._admit(sock, peer[0])
        if error is None:
            return AcceptResult.MORE
        self._on_accept_failed(error)
        return AcceptResult.FAILED

    def _admit(self, sock: socket.socket, host: str) -> None:
        try:
            sock.setblocking(False)
        except OSError:  # the client has disconnected
            sock.close()
            return
        client, reason, _ = self._clients.admit(host)
        if client is None:
            self.rejections.add(sock, RejectionReason.ALL_CONNECTIONS if reason is None else reason)
            return
        connection = self._make_connection(client)
        connection.attach_socket(sock)
        self._clients.add(connection)
        task = self._loop.create_task(self._start(sock, connection))
        self._start_tasks.add(task)
        task.add_done_callback(self._start_tasks.discard)

    async def _start(self, sock: socket.socket, connection: ManagedConnection) -> None:
        """Create the transport of an admitted connection."""
        protocol = cast(asyncio.Protocol, connection)
        try:
            await self._loop.connect_accepted_socket(lambda: protocol, sock)
        except OSError:
            # Reset by the client, or out of resources: a client that is still connected is rejected.
            self.rejections.add(sock, RejectionReason.ALL_CONNECTIONS)
            self._clients.remove(connection.client)
        except asyncio.CancelledError:
            sock.close()
            self._clients.remove(connection.client)

    # Failures

    def _on_accept_failed(self, error: OSError) -> None:
        """Free a descriptor if none is left, and pause: the loop would spin, as the socket stays readable.

        Evicting a connection makes room for the next round. If none may be evicted, the reserve descriptor
        is used to reject clients, so that they get a response rather than wait in the backlog. Other errors
        come from the network or a packet filter (accept(2)): they need a pause as well, but no eviction.
        """
        if self._system.monotonic() - self._failure_logged_at_s >= LOG_INTERVAL_S:
            self._failure_logged_at_s = self._system.monotonic()
            if error.errno in EXHAUSTED:
                log.warning("listener ran out of descriptors or memory: error=%s", error.strerror)
            else:
                log.warning("listener failed to accept: error=%s", error.strerror)
        if error.errno in EXHAUSTED and not self._clients.evict():
            self._reject_waiting()
        self.pause()

    def _reject_waiting(self) -> None:
        """Reject clients waiting in the backlog, using the reserve descriptor."""
        for _ in range(ACCEPTED_DESCRIPTORS):
            if not self.reserve.is_open:  # a rejected connection uses it, and another client is waiting
                self.rejections.close_all()
                self.reserve.open()
            if not self.reserve.is_open:
                return
            self.reserve.close()
            try:
                sock, _ = self._sock.accept()
            except OSError:
                self.reserve.open()
                return
            self.rejections.add(sock, RejectionReason.ALL_CONNECTIONS)
            self.reserve.open()
            if not self._is_client_waiting():
                return

    def _is_client_waiting(self) -> bool:
        try:
            return bool(self._system.read_poller(self._sock).poll(0))
        except OSError:
            return True

    def _on_rejection_closed(self) -> None:
        if not self.closed:
            self.reserve.open()

    def pause(self) -> None:
        """Stop accepting for `PAUSE_S`, or until a descriptor is released."""
        if self._pause_timer is None and not self.closed:
            self._loop.remove_reader(self._sock.fileno())
            self._pause_timer = self._loop.call_later(PAUSE_S, self.on_descriptor_released)

    def on_descriptor_released(self) -> None:
        """End a pause: a descriptor has been released, or the pause has expired."""
        if self._pause_timer is None:
            return
        self._resume()
        if self._on_closed is not None:
            self._try_shut_down()

    def _resume(self) -> None:
        if self._pause_timer is None:
            return
        self._pause_timer.cancel()
        self._pause_timer = None
        self.reserve.open()
        self._loop.add_reader(self._sock.fileno(), self._on_readable)

    # Shutdown

    def accept_backlog(self) -> bool:
        """Accept all waiting clients, since closing the socket would reset them.

        Returns:
            False if accepting fails at present.
        """
        self._resume()  # otherwise the socket could be closed during a pause
        for _ in range(MAX_BACKLOG_TURNS):
            result = AcceptResult.EMPTY if self.closed else self._accept()
            if result is not AcceptResult.MORE:
                return result is AcceptResult.EMPTY
        return True

    def shut_down(self, timeout_s: float, on_closed: Callable[[], None]) -> None:
        """Accept all waiting clients, and close.

        Args:
            timeout_s: Seconds for which a failing accept is retried; after that, waiting clients are
                rejected.
            on_closed: Called once when the listener is closed, during this call if nothing fails.
        """
        self._on_closed = on_closed
        self._close_deadline_s = self._system.monotonic() + timeout_s
        self._try_shut_down()

    def _try_shut_down(self) -> None:
        if self.closed:
            return
        if not self.accept_backlog():
            if self._system.monotonic() < self._close_deadline_s:
                return  # called again at the end of the pause
            self._reject_waiting()
        self.close()
        if self._on_closed is not None:
            self._on_closed()

    def close(self) -> None:
        """Close the socket and the reserve descriptor; do nothing if they are closed."""
        if self.closed:
            return
        self.closed = True
        if self._pause_timer is not None:
            self._pause_timer.cancel()
            self._pause_timer = None
        else:
            self._loop.remove_reader(self._sock.fileno())
        self._sock.close()
        self.reserve.close()
