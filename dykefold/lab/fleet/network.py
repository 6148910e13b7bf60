"""What lies between the processes of a rig, and breaks: datagrams by relay, connections at the far end.

Every member is known to the others under an address of the rig's (PROTOCOL allows that each sees the others
under addresses of its own). A datagram comes to the rig's socket for its receiver, whose source tells the
sender; it goes on, or not, from the rig's socket for that sender. One socket a member, however many links.

A connection is cut where it ends, in the rig's own servers: what has come is not looked at, what is to go
waits, and a new connection never comes up, since the listener's queue is kept full by the rig itself (Linux
drops the SYN then; `tcp_abort_on_overflow` is 0 unless an administrator set it).
"""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

import numpy as np

from .process import Address

BACKLOG = 512
FILLERS = 2  # connections that fill a queue of length 0: Linux holds one more than it is told
PORT = 7946
BLOCKS = range(16, 240)  # second octets of 127.0.0.0/8 that a rig may take as its own
MAX_DATAGRAM_BYTES = 65_536


def free_block() -> tuple[int, socket.socket]:
    """A part 127.N.0.0/16 that no other rig of this machine uses, and the socket that keeps it so.

    Raises:
        OSError: all are taken.
    """
    for block in BLOCKS:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.bind((f"127.{block}.255.254", PORT))
        except OSError:
            sock.close()
            continue
        return block, sock
    raise OSError("every part of 127.0.0.0/8 is in use by a rig")


@dataclass(slots=True)
class Way:
    """From one member to another, as it is just now.

    Attributes:
        cuts: faults that let nothing pass.
        loss: shares that are lost, one for each fault.
        late_s: added delay, one for each fault.
        doubled: shares that come twice.
        spoilt: shares that come with a changed byte.
    """

    cuts: int = 0
    loss: list[float] = field(default_factory=list)
    late_s: list[float] = field(default_factory=list)
    doubled: list[float] = field(default_factory=list)
    spoilt: list[float] = field(default_factory=list)


class Datagrams:
    """The relay between members."""

    def __init__(self, chance: np.random.Generator) -> None:
        self.loop = asyncio.get_running_loop()
        self.chance = chance
        self.ways: dict[tuple[int, int], Way] = {}
        self.fronts: list[socket.socket] = []  # of each member, as the others know it
        self.behind: list[Address] = []  # where each member really listens
        self.numbers: dict[Address, int] = {}
        self.everyone = self._socket("127.0.0.1")
        self.sent: Counter[int] = Counter()  # by sender
        self.latest: dict[int, bytes] = {}  # by sender
        self.delivered = 0
        self.bytes = 0
        self.loop.add_reader(self.everyone.fileno(), self._came, self.everyone, None)

    @staticmethod
    def _socket(host: str) -> socket.socket:
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind((host, 0))
        return sock

    def add(self, behind: Address) -> None:
        """One more member, which listens there."""
        number = len(self.fronts)
        front = self._socket("127.0.0.1")
        self.fronts.append(front)
        self.behind.append(behind)
        self.numbers[behind] = number
        self.loop.add_reader(front.fileno(), self._came, front, number)

    def addresses(self) -> list[str]:
        """Of all members, as they are told them."""
        return [self._text(front) for front in self.fronts]

    @property
    def all_address(self) -> str:
        return self._text(self.everyone)

    @staticmethod
    def _text(sock: socket.socket) -> str:
        host, port = sock.getsockname()
        return f"{host}:{port}"

    def way(self, sender: int, receiver: int) -> Way:
        return self.ways.setdefault((sender, receiver), Way())

    def _came(self, sock: socket.socket, receiver: int | None) -> None:
        while True:
            try:
                data, source = sock.recvfrom(MAX_DATAGRAM_BYTES)
            except (BlockingIOError, ConnectionError):
                return
            sender = self.numbers.get(source)
            if sender is None:
                continue
            self.sent[sender] += 1
            self.latest[sender] = data
            receivers = range(len(self.fronts)) if receiver is None else (receiver,)
            for one in receivers:
                if one != sender:
                    self._pass(sender, one, data)

    def _pass(self, sender: int, receiver: int, data: bytes) -> None:
        way = self.ways.get((sender, receiver))
        copies = 1
        late_s = 0.0
        if way is not None:
            if way.cuts or any(self.chance.random() < share for share in way.loss):
                return
            copies += any(self.chance.random() < share for share in way.doubled)
            if data and any(self.chance.random() < share for share in way.spoilt):
                place = int(self.chance.integers(len(data)))
                data = data[:place] + bytes([data[place] ^ 0x55]) + data[place + 1 :]
            # Each its own delay, so that one overtakes another.
            late_s = sum(late * float(self.chance.random()) * 2 for late in way.late_s)
        for _ in range(copies):
            if late_s > 0:
                self.loop.call_later(late_s, self._deliver, sender, receiver, data)
            else:
                self._deliver(sender, receiver, data)

    async def flood(self, sender: int, receivers: list[int], rate: float) -> None:
        """Send noise, and datagrams that came from a member already, under its address until cancelled."""
        turn_s, owed = 0.005, 0.0
        while True:
            await asyncio.sleep(turn_s)
            owed += rate * turn_s
            while owed >= 1.0:
                owed -= 1.0
                data = self.latest.get(sender, b"")
                if self.chance.random() < 0.5 or not data:
                    data = self.chance.bytes(int(self.chance.integers(1, 257)))
                for receiver in receivers:
                    self._deliver(sender, receiver, data)

    def _deliver(self, sender: int, receiver: int, data: bytes) -> None:
        with contextlib.suppress(OSError):  # nobody listens there now, or its queue is full
            self.fronts[sender].sendto(data, self.behind[receiver])
            self.delivered += 1
            self.bytes += len(data)

    def close(self) -> None:
        for sock in (self.everyone, *self.fronts):
            self.loop.remove_reader(sock.fileno())
            sock.close()


class Inner(Protocol):
    """What is behind a link; `came_s` tells it when what it reads now had come, if that was under a cut."""

    came_s: float | None

    def connection_made(self, transport: asyncio.BaseTransport) -> None: ...

    def data_received(self, data: bytes) -> None: ...

    def connection_lost(self, exc: Exception | None) -> None: ...


class Line(asyncio.Protocol):
    """A connection to one of the rig's servers, that can be cut on either way."""

    def __init__(self, link: Link, inner: Inner) -> None:
        self.link = link
        self.inner = inner
        self.came: list[tuple[float, bytes]] = []  # while nothing passes, with its time
        self.ended: list[Exception | None] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.link.lines[self] = None
        self.inner.connection_made(Held(self, transport))  # type: ignore[arg-type]

    def data_received(self, data: bytes) -> None:
        if self.link.inward:
            self.came.append((self.link.loop.time(), data))
        else:
            self.inner.data_received(data)

    def connection_lost(self, exc: Exception | None) -> None:
        # Under a cut neither side hears of the other's end.
        if self.link.inward:
            self.ended.append(exc)
        else:
            self._over(exc)

    def _over(self, exc: Exception | None) -> None:
        self.link.lines.pop(self, None)
        self.inner.connection_lost(exc)

    def pass_on(self) -> None:
        """The cut is over: what came meanwhile arrives, in its order."""
        came, self.came = self.came, []
        for self.inner.came_s, data in came:
            self.inner.data_received(data)
        self.inner.came_s = None
        if self.ended:
            self._over(self.ended.pop())


class Held:
    """The transport as the server sees it: what it writes waits while nothing passes outward."""

    def __init__(self, line: Line, transport: asyncio.BaseTransport) -> None:
        self.line = line
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]
        self.waiting: list[Callable[[], None]] = []
        line.link.held[self] = None

    def _do(self, act: Callable[[], None]) -> None:
        if self.line.link.outward:
            self.waiting.append(act)
        else:
            act()

    def write(self, data: bytes) -> None:
        self._do(lambda: self.transport.write(data))

    def close(self) -> None:
        self._do(self.transport.close)

    def abort(self) -> None:
        self._do(self.transport.abort)

    def is_closing(self) -> bool:
        return self.transport.is_closing()

    def get_extra_info(self, name: str) -> object:
        return self.transport.get_extra_info(name)

    def release(self) -> None:
        waiting, self.waiting = self.waiting, []
        for act in waiting:
            if not self.transport.is_closing():
                act()


class Link:
    """A listener for those of one group, before one server."""

    def __init__(self, host: str, make: Callable[[], Inner]) -> None:
        """Listen at once, on a port that the system picks."""
        self.loop = asyncio.get_running_loop()
        self.make = make
        self.host, self.port = host, 0
        self.inward = self.outward = 0  # cuts that hold now
        self.lines: dict[Line, None] = {}
        self.held: dict[Held, None] = {}
        self.fillers: list[socket.socket] = []
        self.accepted: Counter[int] = Counter()  # connections by second of the loop's time
        self.sock: socket.socket | None = None
        self.starting: set[asyncio.Task[None]] = set()
        self.open()

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    def open(self) -> None:
        """Listen, at the same port as before."""
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
            await self.loop.connect_accepted_socket(lambda: Line(self, self.make()), sock)
        except OSError:
            sock.close()

    def _fill(self) -> None:
        assert self.sock is not None
        self.sock.listen(0)
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((self.host, self.port))
            self.fillers.append(filler)

    def cut(self, inward: bool, outward: bool) -> None:
        """Let nothing pass, on one way or both, until as many `heal`s have come."""
        if inward and not self.inward and self.sock is not None:
            self.loop.remove_reader(self.sock.fileno())
            self._fill()
        self.inward += inward
        self.outward += outward

    def heal(self, inward: bool, outward: bool) -> None:
        """End a cut: what waited goes on, in order."""
        self.inward -= inward
        self.outward -= outward
        if inward and not self.inward:
            for filler in self.fillers:
                filler.close()
            self.fillers.clear()
            if self.sock is not None:
                self.sock.listen(BACKLOG)
                self.loop.add_reader(self.sock.fileno(), self._accept)
            for line in list(self.lines):
                line.pass_on()
        if outward and not self.outward:
            for held in list(self.held):
                held.release()
                if held.transport.is_closing():
                    del self.held[held]

    def shut(self) -> None:
        """Listen no more: new connections are refused."""
        if self.sock is not None:
            self.loop.remove_reader(self.sock.fileno())
            self.sock.close()
            self.sock = None
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()

    def close(self) -> None:
        """Listen no more, and end what is open."""
        self.shut()
        for line in list(self.lines):
            line.transport.abort()  # type: ignore[attr-defined]
