"""Server of the emulated platform: the platform's HTTP/1.1 in front of a `QueueingModel`.

It records each attempt of each request id, when its work began and ended, and how it was answered. Work that
has begun continues even if the client closes its connection (PROTOCOL, time-outs).
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

SERVICE_TIME_BATCH = 4096  # Service times per draw; drawing each one separately would take a microsecond.
NO_LINGER = struct.pack("ii", 1, 0)
TCP_INFO_BYTES = 60  # Leading bytes of Linux `struct tcp_info` that are read here.
LAST_DATA_RECEIVED_OFFSET = 52  # Of `tcpi_last_data_recv`, which is in milliseconds.


@dataclass(slots=True)
class Arrival:
    """Record of one attempt.

    Attributes:
        ident: Id of the request, chosen by its client.
        cls: Name of the request's class.
        came_s: Arrival time of its last byte, in seconds on the process's monotonic clock.
        began_s: Time at which its work began, on the same clock; None if it never ran.
        ended_s: Time at which its work ended, on the same clock; None if it did not.
        answer: Kind of its answer: served, full, garbage, reset or lost; empty if there was none.
        overlaps: Whether an earlier attempt of its request was still pending on an open connection.
    """

    ident: str
    cls: str
    came_s: float
    began_s: float | None = None
    ended_s: float | None = None
    answer: str = ""
    overlaps: bool = False

    def shift(self, start_s: float) -> None:
        """Make all times relative to `start_s`; earlier times become negative."""
        self.came_s -= start_s
        if self.began_s is not None:
            self.began_s -= start_s
        if self.ended_s is not None:
            self.ended_s -= start_s


@dataclass(slots=True)
class AttemptLog:
    """Record of every attempt that reached any server.

    Attributes:
        arrivals: Attempts by server name.
        pending: Connections with an unanswered attempt, by request id.
    """

    arrivals: dict[str, list[Arrival]] = field(default_factory=dict)
    pending: dict[str, list[Connection]] = field(default_factory=dict)

    def on_arrival(self, ident: str, connection: Connection) -> bool:
        """Record an attempt; return whether an earlier one of its request is on an open connection."""
        open_connections = [other for other in self.pending.get(ident, ()) if other.is_open()]
        self.pending[ident] = [*open_connections, connection]
        return any(not connection.closed_before(other) for other in open_connections)

    def on_end(self, ident: str, connection: Connection) -> None:
        """Remove an attempt that was answered or whose connection was lost."""
        others = [other for other in self.pending.pop(ident, ()) if other is not connection]
        if others:
            self.pending[ident] = others

    def effects(self) -> dict[str, list[tuple[float, str]]]:
        """Return the start time and server of each execution, by request id."""
        executions: dict[str, list[tuple[float, str]]] = {}
        for server, arrivals in self.arrivals.items():
            for arrival in arrivals:
                if arrival.began_s is not None:
                    executions.setdefault(arrival.ident, []).append((arrival.began_s, server))
        return executions


class Connection(asyncio.Protocol):
    """Connection of a sidecar or client, with one request at a time (PROTOCOL).

    Args:
        server: Server that accepted the connection.

    Attributes:
        ident: Id of the unanswered request; empty if there is none.
        came_s: Arrival time of the bytes being read if a network cut delayed them, in seconds; else None.
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
        """Remove the connection and its pending attempt."""
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
        """Append a piece of the request target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header under its lowercase name."""
        self.headers[name.lower()] = value

    def on_message_complete(self) -> None:
        """Pass a complete request to the server."""
        target, headers = self.target, self.headers
        self.target, self.headers = b"", {}
        self.server.on_request(self, target, headers)

    def is_open(self) -> bool:
        """Return whether the peer has not closed it according to the kernel; the event loop may be behind."""
        sock = self.transport.get_extra_info("socket")
        if sock is None or self.transport.is_closing():
            return False
        with socket.socket(fileno=os.dup(sock.fileno())) as duplicate:
            try:
                return bool(duplicate.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
            except BlockingIOError:
                return True
            except OSError:
                return False

    def closed_before(self, other: Connection) -> bool:
        """Return whether the peer closed this connection before it sent its request to `other`.

        After a pause of the event loop, requests are read in any order: the earlier one may be read last.
        """
        return not self.is_open() and self.idle_ms() > other.idle_ms()

    def idle_ms(self) -> int:
        """Return the time since the kernel received the latest bytes from the peer, in milliseconds."""
        sock = self.transport.get_extra_info("socket")
        tcp_info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        (idle_ms,) = struct.unpack_from("=I", tcp_info, LAST_DATA_RECEIVED_OFFSET)
        return int(idle_ms)

    def answer(self, code: int, body: bytes, lines: bytes = b"") -> None:
        """Answer the pending request, unless the connection is closing."""
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
    """An emulated server. A restart after a crash listens on the same port.

    Args:
        scenario: Scenario to which the server belongs.
        name: Name of the server, as NAME-NUMBER.
        truth: Record of all attempts.

    Attributes:
        queue: Queueing model of the server.
        faults: Faults that are active now.
        arrivals: Attempts that reached this server.
        connections: Open connections.
        started_s: Event loop time of the latest start, in seconds; far in the past for a warmed-up server.
        incarnation: Number of crashes; work of earlier incarnations is lost.
        port: Port on loopback; 0 before the first `listen`.
    """

    def __init__(self, scenario: Scenario, name: str, truth: AttemptLog) -> None:
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
        """Start to listen, on the previous port if there was one."""
        self.listening = await self.loop.create_server(lambda: Connection(self), "127.0.0.1", self.port)
        self.port = self.listening.sockets[0].getsockname()[1]

    # Work

    def on_request(self, connection: Connection, target: bytes, headers: dict[bytes, bytes]) -> None:
        """Start, queue or reject a complete request."""
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
        if self._active_fault("silence"):
            return
        job = (connection, arrival, self._service_s(cls))
        starts_now = None if self._active_fault("full") else self.queue.arrive(job)
        if starts_now is None:
            arrival.answer = "full"
            connection.answer(503, b"full", b"X-Not-Run: 1\r\n")
        elif starts_now:
            self._start_work(job)

    def _service_s(self, cls: str) -> float:
        draws = self.draws.get(cls)
        if not draws:
            drawn: np.ndarray = service_times(self.classes[cls].service, SERVICE_TIME_BATCH, self.rng)
            draws = self.draws[cls] = drawn.tolist()
        return draws.pop() / self.table.speed

    def _start_work(self, job: tuple[Connection, Arrival, float]) -> None:
        now = job[1].began_s = self.loop.time()
        duration_s = job[2] / self._speed_fraction(now)
        slow = self._active_fault("slow")
        if slow is not None:
            duration_s *= slow.factor
        self.loop.call_later(duration_s, self._finish, job, self.incarnation)

    def _speed_fraction(self, now: float) -> float:
        """Return the fraction of its full speed that the server has at `now`."""
        if self.table.warm_s <= 0:
            return 1.0
        progress = min((now - self.started_s) / self.table.warm_s, 1.0)
        return self.table.cold_share + (1.0 - self.table.cold_share) * progress

    def _finish(self, job: tuple[Connection, Arrival, float], incarnation: int) -> None:
        if incarnation != self.incarnation:
            return  # The work was lost in a crash.
        connection, arrival, _ = job
        arrival.ended_s = self.loop.time()
        next_job = self.queue.finish()
        if next_job is not None:
            self._start_work(next_job)
        for kind in ("lost", "reset", "garbage"):
            fault = self._active_fault(kind)
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

    def _active_fault(self, kind: str) -> FaultTable | None:
        return next((fault for fault in self.faults if fault.kind == kind), None)

    def fault(self, fault: FaultTable) -> None:
        """Begin a fault, and schedule its end."""
        self.faults.append(fault)
        self.loop.call_later(fault.for_s, self._end_fault, fault)
        if fault.kind == "crash":
            self.crash()

    def _end_fault(self, fault: FaultTable) -> None:
        self.faults.remove(fault)
        if fault.kind == "crash" and not self._active_fault("crash"):
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
