"""Links between members and the rig's own servers, which can be cut.

A connection is cut at its end in the rig's own servers: received bytes are not processed, and written bytes
wait. A new connection is never established, since the rig keeps the listener's queue full (Linux drops the
SYN then, unless an administrator has set `tcp_abort_on_overflow`).
"""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Callable
from typing import Protocol

BACKLOG = 512
QUEUE_FILLERS = 2  # Connections that fill a queue of length 0; Linux accepts one more than its length.
PORT = 7946
BLOCKS = range(16, 240)  # Second octets of 127.0.0.0/8 that a rig may use.


class NoFreeBlockError(OSError):
    """Every block of addresses is in use by a rig of this machine."""

    def __init__(self) -> None:
        super().__init__("every part of 127.0.0.0/8 is in use by a rig")


def free_block() -> tuple[int, socket.socket]:
    """Return the second octet of an unused block 127.N.0.0/16, and the socket that reserves it.

    Raises:
        NoFreeBlockError: Every block is in use by a rig of this machine.
    """
    for block in BLOCKS:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.bind((f"127.{block}.255.254", PORT))
        except OSError:
            sock.close()
            continue
        return block, sock
    raise NoFreeBlockError


class ServerConnection(Protocol):
    """The server's protocol behind a link.

    Attributes:
        came_s: Time of arrival of the bytes that are passed on now, if they waited for the end of a cut.
    """

    came_s: float | None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""

    def data_received(self, data: bytes) -> None:
        """Take received bytes."""

    def connection_lost(self, exc: Exception | None) -> None:
        """Take the end of the connection."""


class CuttableConnection(asyncio.Protocol):
    """A connection to one of the rig's servers that can be cut in either direction.

    Args:
        link: Link on which it was accepted; its cuts apply.
        inner: The server's protocol.
    """

    def __init__(self, link: Link, inner: ServerConnection) -> None:
        self.link = link
        self.inner = inner
        self.received: list[tuple[float, bytes]] = []  # During a cut, with the times of arrival.
        self.lost: list[Exception | None] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, and pass a transport on that can be cut."""
        self.transport = transport
        self.link.connections[self] = None
        self.inner.connection_made(CuttableTransport(self, transport))  # type: ignore[arg-type]

    def data_received(self, data: bytes) -> None:
        """Pass received bytes on, or store them during a cut."""
        if self.link.inward:
            self.received.append((self.link.loop.time(), data))
        else:
            self.inner.data_received(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass the end of the connection on; during a cut neither side notices the other's end."""
        if self.link.inward:
            self.lost.append(exc)
        else:
            self._lose(exc)

    def _lose(self, exc: Exception | None) -> None:
        self.link.connections.pop(self, None)
        self.inner.connection_lost(exc)

    def deliver(self) -> None:
        """Pass on what was received during a cut, in order."""
        received, self.received = self.received, []
        for self.inner.came_s, data in received:
            self.inner.data_received(data)
        self.inner.came_s = None
        if self.lost:
            self._lose(self.lost.pop())


class CuttableTransport:
    """The server's transport of a connection; during an outward cut its calls wait.

    Args:
        connection: The connection.
        transport: The real transport.
    """

    def __init__(self, connection: CuttableConnection, transport: asyncio.BaseTransport) -> None:
        self.connection = connection
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]
        self.waiting: list[Callable[[], None]] = []
        connection.link.transports[self] = None

    def _do(self, action: Callable[[], None]) -> None:
        if self.connection.link.outward:
            self.waiting.append(action)
        else:
            action()

    def write(self, data: bytes) -> None:
        """Write bytes."""
        self._do(lambda: self.transport.write(data))

    def close(self) -> None:
        """Close after what was written."""
        self._do(self.transport.close)

    def abort(self) -> None:
        """Close at once."""
        self._do(self.transport.abort)

    def is_closing(self) -> bool:
        """Return whether the real transport is closing."""
        return self.transport.is_closing()

    def get_extra_info(self, name: str) -> object:
        """Return information on the real transport."""
        return self.transport.get_extra_info(name)

    def release(self) -> None:
        """Carry out the calls that waited during a cut."""
        waiting, self.waiting = self.waiting, []
        for action in waiting:
            if not self.transport.is_closing():
                action()


class Link:
    """A listener in front of one server, for one group of callers. It listens at once.

    Args:
        host: Address; the system picks the port.
        make: Returns the server's protocol of a new connection.

    Attributes:
        inward: Number of cuts that hold now on what callers send.
        outward: Number of cuts that hold now on what the server sends.
        connections: Open connections, in order.
        transports: Transports that may have waiting calls.
        accepted: Number of accepted connections by second of the event loop's time.
        sock: Listening socket; None while the link is shut.
    """

    def __init__(self, host: str, make: Callable[[], ServerConnection]) -> None:
        self.loop = asyncio.get_running_loop()
        self.make = make
        self.host, self.port = host, 0
        self.inward = self.outward = 0
        self.connections: dict[CuttableConnection, None] = {}
        self.transports: dict[CuttableTransport, None] = {}
        self.fillers: list[socket.socket] = []
        self.accepted: Counter[int] = Counter()
        self.sock: socket.socket | None = None
        self.starting: set[asyncio.Task[None]] = set()
        self.open()

    @property
    def address(self) -> str:
        """Address and port as text."""
        return f"{self.host}:{self.port}"

    def open(self) -> None:
        """Listen, at the same port as before if there was one."""
        self.sock = socket.create_server((self.host, self.port), backlog=BACKLOG)
        self.port = self.sock.getsockname()[1]
        self.sock.setblocking(False)
        if self.inward:
            self._fill()
        else:
            self.loop.add_reader(self.sock.fileno(), self._accept)

    def _accept(self) -> None:
        while self.sock is not None:
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, ConnectionAbortedError):
                return
            sock.setblocking(False)
            self.accepted[int(self.loop.time())] += 1
            task = self.loop.create_task(self._begin(sock))
            self.starting.add(task)
            task.add_done_callback(self.starting.discard)

    async def _begin(self, sock: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: CuttableConnection(self, self.make()), sock)
        except OSError:
            sock.close()

    def _fill(self) -> None:
        assert self.sock is not None
        self.sock.listen(0)
        for _ in range(QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.host, self.port))
            self.fillers.append(filler)

    def cut(self, inward: bool, outward: bool) -> None:
        """Cut one or both directions, until as many calls of `heal`."""
        if inward and not self.inward and self.sock is not None:
            self.loop.remove_reader(self.sock.fileno())
            self._fill()
        self.inward += inward
        self.outward += outward

    def heal(self, inward: bool, outward: bool) -> None:
        """End a cut; what waited is passed on in order."""
        self.inward -= inward
        self.outward -= outward
        if inward and not self.inward:
            for filler in self.fillers:
                filler.close()
            self.fillers.clear()
            if self.sock is not None:
                self.sock.listen(BACKLOG)
                self.loop.add_reader(self.sock.fileno(), self._accept)
            for connection in list(self.connections):
                connection.deliver()
        if outward and not self.outward:
            for transport in list(self.transports):
                transport.release()
                if transport.transport.is_closing():
                    del self.transports[transport]

    def shut(self) -> None:
        """Stop listening; new connections are refused."""
        if self.sock is not None:
            self.loop.remove_reader(self.sock.fileno())
            self.sock.close()
            self.sock = None
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()

    def close(self) -> None:
        """Stop listening, and abort all connections."""
        self.shut()
        for connection in list(self.connections):
            connection.transport.abort()  # type: ignore[attr-defined]
