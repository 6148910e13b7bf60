"""The tap on the virtual network: turns bytes that pass into what the rules are told."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

from ..net.downstream.request_parser import BODY_MOST
from .kernel import MS, Kernel
from .rules import Rules, Try
from .sockets import SimSocket


@dataclass(slots=True)
class Line:
    """A connection from a sidecar to a server."""

    server: str
    group: int
    held: bytes = b""  # of the request that is being sent
    streamed: bool = False  # its body is too long to be held
    left: int = 0  # bytes of its body that are still to come
    first_ns: int = -1  # when its first byte went
    current: Try | None = None


@dataclass(slots=True)
class Marks:
    """What is to be told when so many bytes have arrived at a socket."""

    due: deque[tuple[int, Callable[[], None]]] = field(default_factory=deque)


class Wire:
    """Watches what sidecars send to servers and what arrives at them."""

    def __init__(
        self, kernel: Kernel, rules: Rules, place_of: Callable[[str], tuple[str, int] | None]
    ) -> None:
        """Watch.

        Args:
            place_of: the server and its group at an address; None where there is no server.
        """
        self.kernel = kernel
        self.rules = rules
        self.place_of = place_of
        self.lines: dict[SimSocket, Line] = {}
        self.marks: dict[SimSocket, Marks] = {}
        self.reads: dict[SimSocket, Marks] = {}
        self.ends: dict[SimSocket, Callable[[], None]] = {}

    def sent(self, sock: SimSocket, data: bytes) -> None:
        if not sock.loop.host.startswith("sidecar"):
            return
        line = self.lines.get(sock)
        if line is None:
            place = self.place_of(sock.remote[0])
            if place is None:
                return
            line = self.lines[sock] = Line(*place)
        while data:
            data = self._take(sock, line, data)

    def _take(self, sock: SimSocket, line: Line, data: bytes) -> bytes:
        """The part of the request that is being sent; returns what is behind it."""
        if line.left:
            part, data = data[: line.left], data[line.left :]
            line.left -= len(part)
            if line.current is not None and line.streamed:
                line.current.flowed = True
            if not line.left:
                self._whole(line)
            return data
        if line.first_ns < 0:
            line.first_ns = self.kernel.now_ns
        line.held += data
        end = line.held.find(b"\r\n\r\n")
        if end < 0:
            return b""
        head, rest = line.held[: end + 4], line.held[end + 4 :]
        lines = head.decode("latin-1").lower().split("\r\n")
        headers = dict(text.split(": ", 1) for text in lines[1:] if text)
        line.held = b""
        line.current = None
        if not lines[0].startswith("get /-/"):
            ident = headers.get("x-request-id", "")
            now = self.kernel.now_ns
            line.current = self.rules.began(
                now, sock.loop.host, ident, line.server, line.group, told_ns(headers.get("x-deadline", ""))
            )
            self.kernel.note(f"{sock.loop.name} sends {ident} to {line.server}")
        line.left = int(headers.get("content-length", 0))
        line.streamed = line.left > BODY_MOST
        if line.current is not None:
            line.current.streamed = line.streamed
        if not line.left:
            self._whole(line)
        return rest

    def _whole(self, line: Line) -> None:
        line.first_ns = -1
        if line.current is not None:
            line.current.whole = True

    def answer(self, sock: SimSocket, end_bytes: int, proof: bool) -> None:
        """A server has written an answer that is whole with this byte of its connection."""
        peer = sock.peer
        line = self.lines.get(peer) if peer is not None else None
        if peer is None or line is None or line.current is None:
            return
        attempt = line.current

        def arrived() -> None:
            attempt.out, attempt.proof = False, proof

        self.mark(peer, end_bytes, arrived)

    def mark(self, sock: SimSocket, end_bytes: int, tell: Callable[[], None]) -> None:
        """Have something told when so many bytes have arrived at a socket."""
        self.marks.setdefault(sock, Marks()).due.append((end_bytes, tell))

    def mark_read(self, sock: SimSocket, end_bytes: int, tell: Callable[[], None]) -> None:
        """Have something told when a process has taken so many bytes from a socket."""
        self.reads.setdefault(sock, Marks()).due.append((end_bytes, tell))

    def mark_end(self, sock: SimSocket, tell: Callable[[], None]) -> None:
        """Have something told when a process ends its side of a connection."""
        self.ends[sock] = tell

    def read(self, sock: SimSocket) -> None:
        _tell(self.reads.get(sock), sock.read_bytes)

    def arrived(self, sock: SimSocket) -> None:
        _tell(self.marks.get(sock), sock.arrived_bytes)

    def ended(self, sock: SimSocket) -> None:
        line = self.lines.pop(sock, None)
        self.marks.pop(sock, None)
        self.reads.pop(sock, None)
        if (tell := self.ends.pop(sock, None)) is not None:
            tell()
        if line is not None and line.current is not None:
            line.current.out = False

    def broken(self, sock: SimSocket) -> None:
        line = self.lines.get(sock)
        if line is not None and line.current is not None:
            line.current.server_ended |= line.current.out
            line.current.out = False


def _tell(marks: Marks | None, count: int) -> None:
    while marks is not None and marks.due and marks.due[0][0] <= count:
        marks.due.popleft()[1]()


def told_ns(value: str) -> int:
    """The time in an `X-Deadline` header (milliseconds `m` or microseconds `u`); 0 where it tells none."""
    if not value:
        return 0
    return int(float(value[:-1]) * (MS if value[-1] == "m" else 1000))
