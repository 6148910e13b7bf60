"""Observes the simulated network: turns transferred bytes into the events that the rules check."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ..net.downstream.request_parser import MAX_BUFFERED_BODY_BYTES
from .kernel import NS_PER_MS, Kernel
from .rule_records import Attempt, AttemptStart
from .rules import Rules
from .sockets import SimSocket

HEAD_END = b"\r\n\r\n"
HEALTH_CHECK = "get /-/"  # Beginning of a health check, in lower case.
US = 1_000

PlaceOf = Callable[[str], tuple[str, int] | None]
Notify = Callable[[], None]


@dataclass(slots=True)
class UpstreamConnection:
    """A connection from a sidecar to a server.

    Attributes:
        group: Group of servers that share idempotency keys, to which it belongs.
        head: Bytes sent so far of a request head that is incomplete.
        streamed: Whether its body is too long to be buffered.
        body_left: Bytes of its body that are not sent yet.
        attempt: Latest attempt on the connection; None for a health check or an unknown request.
    """

    server: str
    group: int
    head: bytes = b""
    streamed: bool = False
    body_left: int = 0
    attempt: Attempt | None = None


@dataclass(slots=True)
class ByteCallbacks:
    """Callbacks registered for byte counts of a socket, in ascending order."""

    due: deque[tuple[int, Notify]] = field(default_factory=deque)

    def reach(self, count: int) -> None:
        """Call the callbacks registered for counts up to this one."""
        while self.due and self.due[0][0] <= count:
            self.due.popleft()[1]()


class WireObserver:
    """Observes the requests that sidecars send to servers, and the answers: a `SocketObserver`.

    Args:
        kernel: Clock and trace.
        rules: Rules that are notified of the traffic.
        place_of: Function from an address to the server and its group; None if there is no server.
    """

    def __init__(self, kernel: Kernel, rules: Rules, place_of: PlaceOf) -> None:
        self.kernel = kernel
        self.rules = rules
        self.place_of = place_of
        self.connections: dict[SimSocket, UpstreamConnection] = {}
        self.arrival_marks: dict[SimSocket, ByteCallbacks] = {}
        self.read_marks: dict[SimSocket, ByteCallbacks] = {}
        self.end_marks: dict[SimSocket, Notify] = {}

    # Sent bytes

    def sent(self, sock: SimSocket, data: bytes) -> None:
        """Parse the requests that a sidecar sends to a server."""
        if not sock.loop.host.startswith("sidecar"):
            return
        connection = self.connections.get(sock)
        if connection is None:
            place = self.place_of(sock.remote[0])
            if place is None:
                return
            connection = self.connections[sock] = UpstreamConnection(*place)
        while data:
            if connection.body_left:
                data = self._follow_body(connection, data)
            else:
                data = self._follow_head(sock, connection, data)

    def _follow_body(self, connection: UpstreamConnection, data: bytes) -> bytes:
        """Consume the bytes of the current request's body; return the rest of the data."""
        part, rest = data[: connection.body_left], data[connection.body_left :]
        connection.body_left -= len(part)
        if connection.attempt is not None and connection.streamed:
            connection.attempt.body_begun = True
        if not connection.body_left:
            _complete(connection)
        return rest

    def _follow_head(self, sock: SimSocket, connection: UpstreamConnection, data: bytes) -> bytes:
        """Consume the bytes of the next request's head; return the rest of the data."""
        head, found, rest = (connection.head + data).partition(HEAD_END)
        if not found:
            connection.head = head
            return b""
        connection.head = b""
        first, *lines = head.decode("latin-1").lower().split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines if line)
        connection.attempt = None
        if not first.startswith(HEALTH_CHECK):
            connection.attempt = self._start_attempt(sock, connection, headers)
        connection.body_left = int(headers.get("content-length", 0))
        connection.streamed = connection.body_left > MAX_BUFFERED_BODY_BYTES
        if connection.attempt is not None:
            connection.attempt.streamed = connection.streamed
        if not connection.body_left:
            _complete(connection)
        return rest

    def _start_attempt(
        self, sock: SimSocket, connection: UpstreamConnection, headers: dict[str, str]
    ) -> Attempt | None:
        ident = headers.get("x-request-id", "")
        start = AttemptStart(
            at_ns=self.kernel.now_ns,
            sidecar=sock.loop.host,
            ident=ident,
            server=connection.server,
            group=connection.group,
            announced_ns=announced_ns(headers.get("x-deadline", "")),
        )
        attempt = self.rules.attempt_started(start)
        self.kernel.note(f"{sock.loop.name} sends {ident} to {connection.server}")
        return attempt

    # Arrived bytes

    def mark_answer(self, sock: SimSocket, end_bytes: int, proves_not_run: bool) -> None:
        """Register the end of the current attempt, at the arrival of the last byte of its answer.

        Args:
            sock: Server's side of the connection.
            end_bytes: Number of bytes on the connection up to the end of the answer.
            proves_not_run: Whether the answer states that the request never ran.
        """
        peer = sock.peer
        connection = self.connections.get(peer) if peer is not None else None
        if peer is None or connection is None or connection.attempt is None:
            return
        attempt = connection.attempt

        def arrived() -> None:
            attempt.in_flight, attempt.proved_not_run = False, proves_not_run

        self.mark_arrival(peer, end_bytes, arrived)

    def mark_arrival(self, sock: SimSocket, end_bytes: int, notify: Notify) -> None:
        """Register a callback for the arrival of this number of bytes at a socket."""
        self.arrival_marks.setdefault(sock, ByteCallbacks()).due.append((end_bytes, notify))

    def mark_read(self, sock: SimSocket, end_bytes: int, notify: Notify) -> None:
        """Register a callback for when a process has read this number of bytes from a socket."""
        self.read_marks.setdefault(sock, ByteCallbacks()).due.append((end_bytes, notify))

    def mark_end(self, sock: SimSocket, notify: Notify) -> None:
        """Register a callback for when a process closes its side of a connection."""
        self.end_marks[sock] = notify

    def read(self, sock: SimSocket) -> None:
        """Call the callbacks that are due after a read."""
        marks = self.read_marks.get(sock)
        if marks is not None:
            marks.reach(sock.read_bytes)

    def arrived(self, sock: SimSocket) -> None:
        """Call the callbacks that are due after an arrival."""
        marks = self.arrival_marks.get(sock)
        if marks is not None:
            marks.reach(sock.arrived_bytes)

    def ended(self, sock: SimSocket) -> None:
        """Remove a connection whose side was closed; its attempt is over."""
        connection = self.connections.pop(sock, None)
        self.arrival_marks.pop(sock, None)
        self.read_marks.pop(sock, None)
        if (notify := self.end_marks.pop(sock, None)) is not None:
            notify()
        if connection is not None and connection.attempt is not None:
            connection.attempt.in_flight = False

    def peer_closed(self, sock: SimSocket) -> None:
        """End the attempt on a connection that its server has closed or reset."""
        connection = self.connections.get(sock)
        if connection is not None and connection.attempt is not None:
            connection.attempt.server_ended |= connection.attempt.in_flight
            connection.attempt.in_flight = False


def _complete(connection: UpstreamConnection) -> None:
    if connection.attempt is not None:
        connection.attempt.written = True


def announced_ns(value: str) -> int:
    """Return the time in an `X-Deadline` header (unit `m`: ms, `u`: us) in nanoseconds; 0 if empty."""
    if not value:
        return 0
    return int(float(value[:-1]) * (NS_PER_MS if value[-1] == "m" else US))
