"""Watches the virtual network: turns bytes that pass into the events that the rules judge."""

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
        group: Group of the server, whose members share idempotency keys.
        head: Bytes of the request's head sent so far.
        streamed: Whether its body is too long to be buffered.
        body_left: bytes of its body that are still to come.
        attempt: Latest attempt on the connection; None for a health check or an unknown request.
    """

    server: str
    group: int
    head: bytes = b""
    streamed: bool = False
    body_left: int = 0
    attempt: Attempt | None = None


@dataclass(slots=True)
class ByteMarks:
    """What is to be called when a count of bytes is reached, in order."""

    due: deque[tuple[int, Notify]] = field(default_factory=deque)

    def reach(self, count: int) -> None:
        """Call what is due at this count."""
        while self.due and self.due[0][0] <= count:
            self.due.popleft()[1]()


class WireObserver:
    """Watches what sidecars send to servers and what arrives at them: a `SocketObserver`.

    Args:
        kernel: Clock and trace.
        rules: Judge that is notified of the traffic.
        place_of: Returns the server at an address and its group; None if there is no server.
    """

    def __init__(self, kernel: Kernel, rules: Rules, place_of: PlaceOf) -> None:
        self.kernel = kernel
        self.rules = rules
        self.place_of = place_of
        self.connections: dict[SimSocket, UpstreamConnection] = {}
        self.arrival_marks: dict[SimSocket, ByteMarks] = {}
        self.read_marks: dict[SimSocket, ByteMarks] = {}
        self.end_marks: dict[SimSocket, Notify] = {}

    # What is sent

    def sent(self, sock: SimSocket, data: bytes) -> None:
        """Follow the requests that a sidecar sends to a server."""
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
        """Take the part of the data that is of the present request's body; return what is behind it."""
        part, rest = data[: connection.body_left], data[connection.body_left :]
        connection.body_left -= len(part)
        if connection.attempt is not None and connection.streamed:
            connection.attempt.body_begun = True
        if not connection.body_left:
            _complete(connection)
        return rest

    def _follow_head(self, sock: SimSocket, connection: UpstreamConnection, data: bytes) -> bytes:
        """Take the part of the data that is of the next request's head; return what is behind it."""
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

    # What arrives

    def mark_answer(self, sock: SimSocket, end_bytes: int, proves_not_run: bool) -> None:
        """Have the present attempt end when so many bytes of a server's answers have arrived.

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
        """Have something called when so many bytes have arrived at a socket."""
        self.arrival_marks.setdefault(sock, ByteMarks()).due.append((end_bytes, notify))

    def mark_read(self, sock: SimSocket, end_bytes: int, notify: Notify) -> None:
        """Have something called when a process has taken so many bytes from a socket."""
        self.read_marks.setdefault(sock, ByteMarks()).due.append((end_bytes, notify))

    def mark_end(self, sock: SimSocket, notify: Notify) -> None:
        """Have something called when a process ends its side of a connection."""
        self.end_marks[sock] = notify

    def read(self, sock: SimSocket) -> None:
        """Call what is due at the bytes that were read."""
        marks = self.read_marks.get(sock)
        if marks is not None:
            marks.reach(sock.read_bytes)

    def arrived(self, sock: SimSocket) -> None:
        """Call what is due at the bytes that have arrived."""
        marks = self.arrival_marks.get(sock)
        if marks is not None:
            marks.reach(sock.arrived_bytes)

    def ended(self, sock: SimSocket) -> None:
        """Forget a connection whose side was ended; its attempt is over."""
        connection = self.connections.pop(sock, None)
        self.arrival_marks.pop(sock, None)
        self.read_marks.pop(sock, None)
        if (notify := self.end_marks.pop(sock, None)) is not None:
            notify()
        if connection is not None and connection.attempt is not None:
            connection.attempt.in_flight = False

    def broken(self, sock: SimSocket) -> None:
        """End the attempt on a connection that its server has ended."""
        connection = self.connections.get(sock)
        if connection is not None and connection.attempt is not None:
            connection.attempt.server_ended |= connection.attempt.in_flight
            connection.attempt.in_flight = False


def _complete(connection: UpstreamConnection) -> None:
    if connection.attempt is not None:
        connection.attempt.written = True


def announced_ns(value: str) -> int:
    """Return the time in an `X-Deadline` header (milliseconds `m` or microseconds `u`); 0 for none."""
    if not value:
        return 0
    return int(float(value[:-1]) * (NS_PER_MS if value[-1] == "m" else US))
