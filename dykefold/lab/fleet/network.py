"""Links between members and the rig's own servers that can be cut.

A cut connection stays open in the rig: received bytes are not passed to the server, and written bytes are
delayed. New connections are not established during a cut, since the rig keeps the listener's queue full
(Linux drops the SYN then, unless an administrator has set `tcp_abort_on_overflow`).
"""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Callable
from typing import Protocol

BACKLOG = 512
QUEUE_FILLERS = 2  # Connections that fill a queue of length 0; Linux queues one more than the length.
PORT = 7946
BLOCKS = range(16, 240)  # Second octets of 127.0.0.0/8 that a rig may use.


class NoFreeBlockError(OSError):
    """Every address block is in use by a rig of this machine."""

    def __init__(self) -> None:
        super().__init__("no free address block 127.N.0.0/16: every one is in use by a rig")


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
    """Protocol of a server behind a link.

    Attributes:
        came_s: Arrival time of the bytes that are being passed on, if a cut delayed them.
    """

    came_s: float | None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Handle a new connection."""

    def data_received(self, data: bytes) -> None:
        """Handle received bytes."""

    def connection_lost(self, exc: Exception | None) -> None:
        """Handle the end of the connection."""


class CuttableConnection(asyncio.Protocol):
    """A connection to a server of the rig that can be cut in either direction.

    Args:
        link: Link that accepted it, and whose cuts apply.
        server_protocol: Protocol of the server.
    """

    def __init__(self, link: Link, server_protocol: ServerConnection) -> None:
        self.link = link
        self.server_protocol = server_protocol
        self.delayed_data: list[tuple[float, bytes]] = []  # During a cut, with the arrival times.
        self.delayed_ends: list[Exception | None] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, and give the server a transport that can be cut."""
        self.transport = transport
        self.link.connections[self] = None
        self.server_protocol.connection_made(CuttableTransport(self, transport))  # type: ignore[arg-type]

    def data_received(self, data: bytes) -> None:
        """Pass received bytes on, or delay them during a cut."""
        if self.link.inbound_cuts:
            self.delayed_data.append((self.link.loop.time(), data))
        else:
            self.server_protocol.data_received(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Pass the end of the connection on, or delay it during a cut."""
        if self.link.inbound_cuts:
            self.delayed_ends.append(exc)
        else:
            self._pass_end_on(exc)

    def _pass_end_on(self, exc: Exception | None) -> None:
        self.link.connections.pop(self, None)
        self.server_protocol.connection_lost(exc)

    def deliver_delayed(self) -> None:
        """Pass on the data received during a cut, in order."""
        delayed_data, self.delayed_data = self.delayed_data, []
        for self.server_protocol.came_s, data in delayed_data:
            self.server_protocol.data_received(data)
        self.server_protocol.came_s = None
        if self.delayed_ends:
            self._pass_end_on(self.delayed_ends.pop())


class CuttableTransport:
    """Transport of a connection for the server; an outbound cut delays its calls.

    Args:
        connection: Connection of the transport.
        transport: Transport of the socket.
    """

    def __init__(self, connection: CuttableConnection, transport: asyncio.BaseTransport) -> None:
        self.connection = connection
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]
        self.delayed_calls: list[Callable[[], None]] = []
        connection.link.transports[self] = None

    def _run_or_delay(self, action: Callable[[], None]) -> None:
        if self.connection.link.outbound_cuts:
            self.delayed_calls.append(action)
        else:
            action()

    def write(self, data: bytes) -> None:
        """Write bytes."""
        self._run_or_delay(lambda: self.transport.write(data))

    def close(self) -> None:
        """Close after the written bytes are sent."""
        self._run_or_delay(self.transport.close)

    def abort(self) -> None:
        """Close without sending the rest."""
        self._run_or_delay(self.transport.abort)

    def is_closing(self) -> bool:
        """Return whether the transport of the socket is closing."""
        return self.transport.is_closing()

    def get_extra_info(self, name: str) -> object:
        """Return information on the transport of the socket."""
        return self.transport.get_extra_info(name)

    def run_delayed_calls(self) -> None:
        """Execute the calls that a cut delayed."""
        delayed_calls, self.delayed_calls = self.delayed_calls, []
        for action in delayed_calls:
            if not self.transport.is_closing():
                action()


class Link:
    """A listener in front of one server, for one group of callers. It listens from its construction on.

    Args:
        host: Address; the operating system chooses the port.
        make_protocol: Function that returns the server's protocol for a new connection.

    Attributes:
        inbound_cuts: Number of current cuts of the direction to the server.
        outbound_cuts: Number of current cuts of the direction to the callers.
        connections: Open connections, in order.
        transports: Transports that may have delayed calls.
        accepted: Number of accepted connections by second of the event loop's clock.
        sock: Listening socket; None while the link does not listen.
    """

    def __init__(self, host: str, make_protocol: Callable[[], ServerConnection]) -> None:
        self.loop = asyncio.get_running_loop()
        self.make_protocol = make_protocol
        self.host, self.port = host, 0
        self.inbound_cuts = self.outbound_cuts = 0
        self.connections: dict[CuttableConnection, None] = {}
        self.transports: dict[CuttableTransport, None] = {}
        self.fillers: list[socket.socket] = []
        self.accepted: Counter[int] = Counter()
        self.sock: socket.socket | None = None
        self.accept_tasks: set[asyncio.Task[None]] = set()
        self.open()

    @property
    def address(self) -> str:
        """Address as HOST:PORT."""
        return f"{self.host}:{self.port}"

    def open(self) -> None:
        """Listen, on the same port as before if the link has listened already."""
        self.sock = socket.create_server((self.host, self.port), backlog=BACKLOG)
        self.port = self.sock.getsockname()[1]
        self.sock.setblocking(False)
        if self.inbound_cuts:
            self._fill_queue()
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
            task = self.loop.create_task(self._set_up(sock))
            self.accept_tasks.add(task)
            task.add_done_callback(self.accept_tasks.discard)

    async def _set_up(self, sock: socket.socket) -> None:
        try:
            await self.loop.connect_accepted_socket(
                lambda: CuttableConnection(self, self.make_protocol()), sock
            )
        except OSError:
            sock.close()

    def _fill_queue(self) -> None:
        assert self.sock is not None
        self.sock.listen(0)
        for _ in range(QUEUE_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.host, self.port))
            self.fillers.append(filler)

    def cut(self, inbound: bool, outbound: bool) -> None:
        """Cut one or both directions; each cut lasts until a matching call of `heal`."""
        if inbound and not self.inbound_cuts and self.sock is not None:
            self.loop.remove_reader(self.sock.fileno())
            self._fill_queue()
        self.inbound_cuts += inbound
        self.outbound_cuts += outbound

    def heal(self, inbound: bool, outbound: bool) -> None:
        """End a cut; delayed data is passed on in order."""
        self.inbound_cuts -= inbound
        self.outbound_cuts -= outbound
        if inbound and not self.inbound_cuts:
            for filler in self.fillers:
                filler.close()
            self.fillers.clear()
            if self.sock is not None:
                self.sock.listen(BACKLOG)
                self.loop.add_reader(self.sock.fileno(), self._accept)
            for connection in list(self.connections):
                connection.deliver_delayed()
        if outbound and not self.outbound_cuts:
            for transport in list(self.transports):
                transport.run_delayed_calls()
                if transport.transport.is_closing():
                    del self.transports[transport]

    def stop_listening(self) -> None:
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
        self.stop_listening()
        for connection in list(self.connections):
            connection.transport.abort()  # type: ignore[attr-defined]
