"""A server of the emulated platform: the platform's HTTP/1.1 in front of a `QueueingModel`.

It records each attempt of each request id, when its work began and ended, and how it was answered. Work that
has begun continues even if the client has gone (PROTOCOL, time-outs).
"""

from __future__ import annotations

import asyncio
import os
import socket
import struct
from dataclasses import dataclass, field

import httptools
import numpy as np

from ..arrivals import service_times
from ..queueing import QueueingModel
from ..random_streams import generator
from ..scenario import FaultTable, Scenario

DRAWS = 4096  # Service times drawn at once; drawing each by itself would take a microsecond.
NO_LINGER = struct.pack("ii", 1, 0)
TCP_INFO_BYTES = 60  # Of Linux `struct tcp_info`, as far as it is read here.
LAST_DATA_RECEIVED_OFFSET = 52  # Of `tcpi_last_data_recv`, milliseconds.


@dataclass(slots=True)
class Arrival:
    """What became of one attempt.

    Attributes:
        ident: The request's id, as its client chose it.
        cls: Name of the request's class.
        came_s: When its last byte arrived, in seconds on the process's monotonic clock.
        began_s: When its work began, on the same clock; None if it never ran.
        ended_s: When its work ended; None if it did not.
        answer: How it was answered: served, full, garbage, reset or lost; empty if nothing was sent.
        overlaps: Whether an earlier attempt of its request was still on an open connection.
    """

    ident: str
    cls: str
    came_s: float
    began_s: float | None = None
    ended_s: float | None = None
    answer: str = ""
    overlaps: bool = False

    def shift(self, start_s: float) -> None:
        """Count all times from `start_s`; what was earlier becomes negative."""
        self.came_s -= start_s
        if self.began_s is not None:
            self.began_s -= start_s
        if self.ended_s is not None:
            self.ended_s -= start_s


@dataclass(slots=True)
class Truth:
    """Record of every attempt that reached any server.

    Attributes:
        arrivals: Attempts by name of the server.
        pending: Connections with an unanswered attempt, by request id.
    """

    arrivals: dict[str, list[Arrival]] = field(default_factory=dict)
    pending: dict[str, list[Connection]] = field(default_factory=dict)

    def on_arrival(self, ident: str, connection: Connection) -> bool:
        """Record an attempt; return whether an earlier one of its request is on an open connection."""
        open_connections = [other for other in self.pending.get(ident, ()) if other.is_open()]
        self.pending[ident] = [*open_connections, connection]
        return any(not connection.ended_before(other) for other in open_connections)

    def on_end(self, ident: str, connection: Connection) -> None:
        """Record that an attempt was answered, or that its connection was lost."""
        others = [other for other in self.pending.pop(ident, ()) if other is not connection]
        if others:
            self.pending[ident] = others

    def effects(self) -> dict[str, list[tuple[float, str]]]:
        """Return by request id the time and server of each beginning of its work."""
        found: dict[str, list[tuple[float, str]]] = {}
        for server, arrivals in self.arrivals.items():
            for arrival in arrivals:
                if arrival.began_s is not None:
                    found.setdefault(arrival.ident, []).append((arrival.began_s, server))
        return found


class Connection(asyncio.Protocol):
    """A connection of a sidecar or client, with one request at a time (PROTOCOL).

    Args:
        server: The server.

    Attributes:
        ident: Id of the unanswered request; empty if there is none.
        came_s: Time of arrival of the bytes being read, if they waited for the end of a cut; else None.
    """

    def __init__(self, server: Server) -> None:
        self.server = server
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.headers: dict[bytes, bytes] = {}
        self.ident = ""
        self.came_s: float | None = None
        self.transport: asyncio.Transport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self.transport = transport  # type: ignore[assignment]
        self.server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self.server.connections.discard(self)
        self.server.truth.on_end(self.ident, self)
        del self.parser

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; abort the connection if they are malformed."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_url(self, url: bytes) -> None:
        """Collect the target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header."""
        self.headers[name.lower()] = value

    def on_message_complete(self) -> None:
        """Pass a complete request to the server."""
        target, headers = self.target, self.headers
        self.target, self.headers = b"", {}
        self.server.on_request(self, target, headers)

    def is_open(self) -> bool:
        """Return whether the peer has not closed it, as the kernel knows; the event loop may not know yet."""
        sock = self.transport.get_extra_info("socket")
        if sock is None or self.transport.is_closing():
            return False
        with socket.socket(fileno=os.dup(sock.fileno())) as same:
            try:
                return bool(same.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
            except BlockingIOError:
                return True
            except OSError:
                return False

    def ended_before(self, other: Connection) -> bool:
        """Return whether the peer closed this connection before it sent its request to `other`.

        After a pause of the event loop, requests are read in any order: the earlier one may be read last.
        """
        return not self.is_open() and self.idle_ms() > other.idle_ms()

    def idle_ms(self) -> int:
        """Return the milliseconds since the kernel received the latest bytes of the peer."""
        sock = self.transport.get_extra_info("socket")
        information = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        (idle_ms,) = struct.unpack_from("=I", information, LAST_DATA_RECEIVED_OFFSET)
        return int(idle_ms)

    def answer(self, code: int, body: bytes, lines: bytes = b"") -> None:
        """Answer the open request, unless the connection is closing."""
        self.server.truth.on_end(self.ident, self)
        if not self.transport.is_closing():
            head = b"HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n" % (code, lines, len(body))
            self.transport.write(head + body)

    def reset(self) -> None:
        """Reset the connection."""
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self.transport.abort()


class Server:
    """An emulated server. It keeps its port while it is down.

    Args:
        scenario: The scenario.
        name: Name of the server, NAME-NUMBER of its kind.
        truth: Record of all attempts.

    Attributes:
        queue: Queueing model of the server.
        faults: Faults that hold now.
        arrivals: Attempts that reached this server.
        connections: Open connections.
        started_s: Event loop time of the latest start, in seconds; far in the past for a warm server.
        incarnation: Number of crashes; work of an earlier incarnation is lost.
        port: Port on loopback; 0 before the first `listen`.
    """

    def __init__(self, scenario: Scenario, name: str, truth: Truth) -> None:
        self.loop = asyncio.get_running_loop()
        self.name = name
        self.table = scenario.table_of(name)
        self.classes = scenario.classes
        self.queue: QueueingModel[tuple[Connection, Arrival, float]] = QueueingModel(
            self.table.cores, self.table.queue_most, self.table.discipline == "lifo"
        )
        self.rng = generator(scenario.seed, "server", name)
        self.draws: dict[str, list[float]] = {}
        self.faults: list[FaultTable] = []
        self.truth = truth
        self.arrivals = truth.arrivals.setdefault(name, [])
        self.connections: set[Connection] = set()
        self.started_s = -1e9
        self.incarnation = 0
        self.listening: asyncio.Server | None = None
        self.port = 0

    async def listen(self) -> None:
        """Listen, at the same port as before if there was one."""
        self.listening = await self.loop.create_server(lambda: Connection(self), "127.0.0.1", self.port)
        self.port = self.listening.sockets[0].getsockname()[1]

    # Work

    def on_request(self, connection: Connection, target: bytes, headers: dict[bytes, bytes]) -> None:
        """Serve, queue or reject a complete request."""
        if target.startswith(b"/-/"):
            connection.answer(200, b"ready")
            return
        cls = target[1:].split(b"/", 1)[0].split(b"?", 1)[0].decode("latin-1")
        ident = headers.get(b"x-request-id", b"").decode("latin-1")
        if cls not in self.classes or not ident:
            connection.answer(404, b"no such class, or no id")
            return
        arrival = Arrival(ident, cls, self.loop.time() if connection.came_s is None else connection.came_s)
        connection.ident = ident
        arrival.overlaps = self.truth.on_arrival(ident, connection)
        self.arrivals.append(arrival)
        if self._holds("silence"):
            return
        job = (connection, arrival, self._service_s(cls))
        begins = None if self._holds("full") else self.queue.arrive(job)
        if begins is None:
            arrival.answer = "full"
            connection.answer(503, b"full", b"X-Not-Run: 1\r\n")
        elif begins:
            self._begin(job)

    def _service_s(self, cls: str) -> float:
        draws = self.draws.get(cls)
        if not draws:
            drawn: np.ndarray = service_times(self.classes[cls].service, DRAWS, self.rng)
            draws = self.draws[cls] = drawn.tolist()
        return draws.pop() / self.table.speed

    def _begin(self, job: tuple[Connection, Arrival, float]) -> None:
        now = job[1].began_s = self.loop.time()
        took = job[2] / self._part(now)
        slow = self._holds("slow")
        if slow is not None:
            took *= slow.factor
        self.loop.call_later(took, self._finish, job, self.incarnation)

    def _part(self, now: float) -> float:
        """Return the fraction of its speed that the server has now."""
        if self.table.warm_s <= 0:
            return 1.0
        warm = min((now - self.started_s) / self.table.warm_s, 1.0)
        return self.table.cold_share + (1.0 - self.table.cold_share) * warm

    def _finish(self, job: tuple[Connection, Arrival, float], life: int) -> None:
        if life != self.incarnation:
            return  # The work was lost in a crash.
        connection, arrival, _ = job
        arrival.ended_s = self.loop.time()
        following = self.queue.finish()
        if following is not None:
            self._begin(following)
        for kind in ("lost", "reset", "garbage"):
            fault = self._holds(kind)
            if fault is not None and self.rng.random() < fault.share:
                arrival.answer = kind
                break
        else:
            arrival.answer = "served"
        if arrival.answer == "served":
            connection.answer(200, arrival.ident.encode())
        elif arrival.answer == "reset" and not connection.transport.is_closing():
            connection.reset()
        elif arrival.answer == "garbage" and not connection.transport.is_closing():
            connection.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n")

    # Faults

    def _holds(self, kind: str) -> FaultTable | None:
        return next((fault for fault in self.faults if fault.kind == kind), None)

    def fault(self, fault: FaultTable) -> None:
        """Begin a fault, which ends by itself after its duration."""
        self.faults.append(fault)
        self.loop.call_later(fault.for_s, self._end, fault)
        if fault.kind == "crash":
            self.crash()

    def _end(self, fault: FaultTable) -> None:
        self.faults.remove(fault)
        if fault.kind == "crash" and not self._holds("crash"):
            self.started_s = self.loop.time()
            self.starting = self.loop.create_task(self.listen())

    def crash(self) -> None:
        """Crash: close the listener, reset all connections and lose all work."""
        self.incarnation += 1
        self.queue.clear()
        if self.listening is not None:
            self.listening.close()
            self.listening = None
        for connection in list(self.connections):
            connection.reset()
