"""An in-memory network with what TCP really does (RFC 9293), seen through the calls of a socket.

Bytes arrive in arbitrary pieces and late, never out of order. A write may be taken in part. A connect is
refused, or never comes up. An end (FIN) stands behind the bytes before it; a reset drops what is still on its
way. A process that dies leaves what the other side's kernel has got. A cut between two hosts is silent:
what is sent waits, and goes on, or is reset, when the cut is over. Descriptors are counted by process.
"""

from __future__ import annotations

import ctypes
import errno
import random
import socket
import struct
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from ..control.reuseport_filter import SO_ATTACH_REUSEPORT_CBPF, SO_DETACH_REUSEPORT_BPF
from .kernel import EPOCH_NS, MS, Kernel, stream
from .syscalls import TAKES_ONE, FailingCalls, SystemCall

if TYPE_CHECKING:
    from .loop import SimLoop

Address = tuple[str, int]

WINDOW_BYTES = 96 * 1024  # sent and not yet read: both sides' kernel buffers
BACKLOG = 128  # connections that a listener holds until they are accepted
SYN_AGAIN_NS = 1_000 * MS  # a connect that finds the backlog full asks again after that (RFC 6298)
DATAGRAM_MOST = 1500
ROUTE_MS = 400.0  # until a connect that no server answers has failed, at most


def network_of(sidecar: int) -> str:
    """The first three parts of the addresses of a sidecar and of its clients."""
    return f"10.{2 * (sidecar // 250)}.{sidecar % 250}"


class Tap(Protocol):
    """Who sees what passes: the truth that the rules are judged by."""

    def sent(self, sock: SimSocket, data: bytes) -> None:
        """A process has handed bytes to its kernel."""
        ...

    def read(self, sock: SimSocket) -> None:
        """A process has taken bytes from its kernel; `sock.read_bytes` tells how many so far."""
        ...

    def arrived(self, sock: SimSocket) -> None:
        """Bytes have arrived at the kernel of a process; `sock.arrived_bytes` tells how many so far."""
        ...

    def ended(self, sock: SimSocket) -> None:
        """A process has ended its side of a connection: nothing more can be sent on it."""
        ...

    def broken(self, sock: SimSocket) -> None:
        """The other side's end or reset has arrived at the kernel of a process."""
        ...


class NoTap:
    def sent(self, sock: SimSocket, data: bytes) -> None: ...

    def read(self, sock: SimSocket) -> None: ...

    def arrived(self, sock: SimSocket) -> None: ...

    def ended(self, sock: SimSocket) -> None: ...

    def broken(self, sock: SimSocket) -> None: ...


class SimSocket:
    """One end of a connection, or a listener, with the calls that the program makes on a socket."""

    def __init__(self, network: Network, loop: SimLoop, number: int) -> None:
        self.network = network
        self.loop = loop
        self.number = number
        self.local: Address = ("0.0.0.0", 0)
        self.remote: Address = ("0.0.0.0", 0)
        self.peer: SimSocket | None = None
        self.listening = self.accepted = False
        self.accepted_ns = 0
        self.queue: deque[SimSocket] = deque()  # connections that wait to be accepted
        self.received: deque[bytes] = deque()
        self.held_bytes = 0  # of these
        self.arrived_bytes = 0
        self.read_bytes = 0
        self.sent_bytes = 0
        self.on_way_bytes = 0  # sent and not yet arrived
        self.got_end = False
        self.error = 0  # an errno that ends the connection
        self.shut = False  # nothing more can be sent
        self.deaf = False  # nothing more is read
        self.closed = False
        self.linger = True  # else a close resets
        self.clear_ns = 0  # before which nothing that is sent now may arrive
        self.connecting: Callable[[OSError | None], None] | None = None
        self.on_readable: Callable[[], None] | None = None
        self.on_writable: Callable[[], None] | None = None
        self.starved = False  # a write found no room since the last that did
        self.cut_off = False  # the world has ended it, by an error of the other side's system call

    # As a socket

    def fileno(self) -> int:
        return -1 if self.closed else self.number

    def setblocking(self, flag: bool) -> None:
        """It never blocks."""

    def getsockname(self) -> Address:
        return self.local

    def getpeername(self) -> Address:
        self._ask()
        if self.connecting is not None:
            raise OSError(errno.ENOTCONN, "not connected")
        return self.remote

    def setsockopt(self, level: int, option: int, value: Any) -> None:
        self._check()
        self._ask()
        if option == socket.SO_LINGER and level == socket.SOL_SOCKET:
            self.linger = value != struct.pack("ii", 1, 0)
        elif option == SO_ATTACH_REUSEPORT_CBPF:
            _, program = struct.unpack("@HP", value)
            self.network.filters[self.local] = struct.unpack("=HBBI", ctypes.string_at(program, 8))[3]
        elif option == SO_DETACH_REUSEPORT_BPF:
            self.network.filters.pop(self.local, None)

    def getsockopt(self, level: int, option: int) -> int:
        return self.error if option == socket.SO_ERROR else 0

    def __enter__(self) -> SimSocket:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def _check(self) -> None:
        if self.closed:
            raise OSError(errno.EBADF, "Bad file descriptor")

    def _fails(self, call: SystemCall) -> int:
        return self.network.failing.error(self.loop.host, call)

    def _ask(self) -> None:
        """A question about a connection that was reset right before."""
        if self.peer is None or self.connecting is not None:
            return
        code = self._fails(SystemCall.OPTION)
        if code:
            self.break_off(errno.ECONNRESET)
            raise OSError(code, "reset meanwhile")

    def break_off(self, code: int) -> None:
        """An error ends the connection on this side; what was sent may arrive, then a reset."""
        if self.error or self.peer is None:
            return
        self.error = code
        self.received.clear()
        self.held_bytes = 0
        self.peer.cut_off = True
        self.network.tap.broken(self)
        self.network.reset(self)
        self.ready()

    def connect(self, address: Address, done: Callable[[OSError | None], None]) -> None:
        """Begin to connect; `done` is told the end of it."""
        self._check()
        code = self._fails(SystemCall.CONNECT)
        if code:
            raise OSError(code, "connect")
        self.remote, self.connecting = address, done
        self.local = (self.network.hosts[self.loop.host], self.network.next_port())
        self.network.connect(self)

    def accept(self) -> tuple[SimSocket, Address]:
        self._check()
        if not self.queue:
            raise BlockingIOError(errno.EAGAIN, "nobody waits")
        self.network.check_descriptors(self.loop)
        code = self._fails(SystemCall.ACCEPT)
        if code:
            if code in TAKES_ONE:
                self.queue.popleft().abandon()
            raise OSError(code, "accept")
        sock = self.queue.popleft()
        if sock.error:
            sock.close()
            raise ConnectionAbortedError(errno.ECONNABORTED, "it has gone")
        sock.number, sock.accepted = self.network.register(sock), True
        sock.accepted_ns = self.network.kernel.now_ns
        return sock, sock.remote

    def send(self, data: bytes | memoryview) -> int:
        self._check()
        if self.error:
            raise OSError(self.error, "connection")
        if self.shut or self.peer is None:
            raise BrokenPipeError(errno.EPIPE, "it has ended")
        code = self._fails(SystemCall.SEND)
        if code:
            self.break_off(code)
            raise OSError(code, "send")
        room = WINDOW_BYTES - self.on_way_bytes - self.peer.held_bytes
        if room <= 0:
            self.starved = True
            raise BlockingIOError(errno.EAGAIN, "no room")
        part = bytes(data[:room])
        # Linux takes the first small write of an accepted connection whole.
        first = self.accepted and not self.sent_bytes
        if len(part) > 1 and not first and self.network.random.random() < self.network.part_writes:
            part = part[: self.network.random.randrange(1, len(part))]
        if len(part) > 1 and self._fails(SystemCall.SHORT):
            part = part[: self.network.failing.random.randrange(1, len(part))]
        if len(part) < len(data):
            self.starved = True
            self.network.kernel.after(self.network.latency_ns(self), self.writable_again)
        self.sent_bytes += len(part)
        self.network.tap.sent(self, part)
        self.network.transmit(self, part)
        return len(part)

    def recv(self, most: int, flags: int = 0) -> bytes:
        self._check()
        if self.peer is not None and not self.error:
            code = self._fails(SystemCall.RECEIVE)
            if code:
                self.break_off(code)
        if self.held_bytes > 1 and self._fails(SystemCall.SHORT):
            most = min(most, self.network.failing.random.randrange(1, self.held_bytes))
        if not self.received:
            if self.error:
                raise OSError(self.error, "connection")
            if self.got_end or self.deaf:
                return b""
            raise BlockingIOError(errno.EAGAIN, "nothing has come")
        data = self.received.popleft()
        if self.received:
            data += b"".join(self.received)
            self.received.clear()
        if len(data) > most:
            self.received.appendleft(data[most:])
            data = data[:most]
        self.held_bytes -= len(data)
        if not self.shut:  # what is read behind the own end can't be answered, and is not taken
            self.read_bytes += len(data)
            self.network.tap.read(self)
        if self.peer is not None and self.peer.starved:
            self.network.kernel.after(self.network.latency_ns(self), self.peer.writable_again)
        return data

    def shutdown(self, how: int) -> None:
        self._check()
        if self.connecting is not None:
            self.network.call_off(self)
            return
        if self.peer is None or self.error:
            raise OSError(errno.ENOTCONN, "not connected")
        if how in (socket.SHUT_RD, socket.SHUT_RDWR):
            self.deaf = True
        if how in (socket.SHUT_WR, socket.SHUT_RDWR) and not self.shut:
            self.shut = True
            self.network.tap.ended(self)
            self.network.finish(self)

    def close(self) -> None:
        if self.closed:
            return
        self.closed = True
        self.network.release(self)
        self.on_readable = self.on_writable = None
        if self.listening:
            self.network.listens_no_more(self)
            for waiting in self.queue:
                waiting.abandon()
            return
        if self.connecting is not None:
            self.network.call_off(self)
            return
        if self.peer is None or self.error:
            return
        self.network.tap.ended(self)
        if self.held_bytes or not self.linger:
            self.network.reset(self)  # as Linux does where unread bytes are thrown away
        elif not self.shut:
            self.shut = True
            self.network.finish(self)

    def abandon(self) -> None:
        """Reset the connection, as the kernel does for a process that is no more."""
        if not self.closed and self.number:
            self.network.release(self)
        self.closed = True
        self.on_readable = self.on_writable = None
        if self.listening:
            self.network.listens_no_more(self)
            for waiting in self.queue:
                waiting.abandon()
        elif self.connecting is not None:
            self.network.call_off(self)
        elif self.peer is not None and not self.error:
            self.network.tap.ended(self)
            self.network.reset(self)

    # What the loop asks

    def readable(self) -> bool:
        return bool(self.queue if self.listening else (self.received or self.got_end or self.error))

    def poll(self, timeout: float) -> list[int]:
        """Whether bytes or an end wait, as `select.poll` tells of one descriptor."""
        return [self.number] if self.readable() and not self.closed else []

    def writable_again(self) -> None:
        if self.starved and self.on_writable is not None:
            self.starved = False
            self.on_writable()

    def ready(self) -> None:
        if self.on_readable is not None:
            self.on_readable()


class Network:
    """All hosts and what lies between them.

    Attributes:
        part_writes: how often a write is taken in part.
        cut: pairs of hosts between which nothing passes; what is sent waits in `stuck`.
        lag_ns: added to the way from one host to another.
        descriptors: that each process may hold, by its name.
    """

    def __init__(self, kernel: Kernel, part_writes: float = 0.02) -> None:
        self.kernel = kernel
        self.random: random.Random = stream(kernel.seed, "network")
        self.part_writes = part_writes
        self.tap: Tap = NoTap()
        self.hosts: dict[str, str] = {}  # process -> its address
        self.owners: dict[str, str] = {}  # address -> process
        self.listeners: dict[Address, list[SimSocket]] = {}  # in the order that the kernel has them in
        self.filters: dict[Address, int] = {}  # the place that is picked among these
        self.datagrams: dict[Address, SimDatagrams] = {}
        self.open: dict[str, dict[int, SimSocket]] = {}
        self.descriptors: dict[str, int] = {}
        self.cut: set[frozenset[str]] = set()
        self.stuck: dict[frozenset[str], list[tuple[Callable[..., None], tuple[Any, ...]]]] = {}
        self.lag_ns: dict[frozenset[str], int] = {}
        self.lose = 0.05  # of the datagrams
        self.passes: Callable[[str, str], bool] = lambda _from, _to: True  # whether a datagram gets there
        self.failing = FailingCalls(kernel.seed)
        self.clock_steps_ns: dict[str, int] = {}  # by which the wall clock of a machine is wrong
        self.numbers = 0
        self.ports = 20_000

    def add_host(self, name: str, address: str) -> None:
        self.hosts[name] = address
        self.owners[address] = name
        self.open.setdefault(name, {})

    def wall_ns(self, host: str) -> int:
        """Unix time as a machine's clock shows it, steps included."""
        return EPOCH_NS + self.kernel.now_ns + self.clock_steps_ns.get(host, 0)

    def next_port(self) -> int:
        self.ports += 1
        return self.ports

    # Descriptors

    def check_descriptors(self, loop: SimLoop) -> None:
        most = self.descriptors.get(loop.name)
        if most is not None and len(self.open[loop.name]) >= most:
            raise OSError(errno.EMFILE, "Too many open files")

    def register(self, sock: SimSocket) -> int:
        self.numbers += 1
        self.open[sock.loop.name][self.numbers] = sock
        return self.numbers

    def release(self, sock: SimSocket) -> None:
        self.open[sock.loop.name].pop(sock.number, None)

    def by_number(self, loop: SimLoop, number: int) -> SimSocket:
        return self.open[loop.name][number]

    def socket(self, loop: SimLoop) -> SimSocket:
        """A new socket of a process; OSError if it may hold no more."""
        code = self.failing.error(loop.host, SystemCall.SOCKET)
        if code:
            raise OSError(code, "socket")
        return self._made(loop)

    def _made(self, loop: SimLoop) -> SimSocket:
        self.check_descriptors(loop)
        sock = SimSocket(self, loop, 0)
        sock.number = self.register(sock)
        return sock

    def listen(self, loop: SimLoop, port: int) -> SimSocket:
        """The listening socket of a process that starts: no stretch of errors reaches it."""
        sock = self._made(loop)
        sock.local, sock.listening = (self.hosts[loop.host], port), True
        self.listeners.setdefault(sock.local, []).append(sock)
        return sock

    def listens_no_more(self, sock: SimSocket) -> None:
        """The last one of a group takes the place of one that ends (`control/reuseport_group.py`)."""
        group = self.listeners[sock.local]
        place = group.index(sock)
        group[place] = group[-1]
        group.pop()
        if not group:
            del self.listeners[sock.local]
            self.filters.pop(sock.local, None)

    def _listener(self, address: Address) -> SimSocket | None:
        """Who a new connection comes to."""
        group = self.listeners.get(address)
        if group is None:
            return None
        place = self.filters.get(address, len(group))
        if place >= len(group):
            place = self.random.randrange(len(group)) if len(group) > 1 else 0
        return group[place]

    def kill(self, loop: SimLoop) -> None:
        """End a process: its connections are reset."""
        loop.die()
        for sock in list(self.open[loop.name].values()):
            sock.abandon()
        self.open[loop.name].clear()
        for address in [address for address, end in self.datagrams.items() if end.loop is loop]:
            del self.datagrams[address]

    # Ways

    def _way(self, sock: SimSocket) -> frozenset[str]:
        return frozenset((sock.loop.host, self.owners.get(sock.remote[0], sock.remote[0])))

    def latency_ns(self, sock: SimSocket) -> int:
        way = self._way(sock)
        base = 20_000 if len(way) == 1 else 150_000
        return int(base * (1.0 + self.random.random())) + self.lag_ns.get(way, 0)

    def _pass(self, sock: SimSocket, at_ns: int, act: Callable[..., None], *arguments: Any) -> None:
        """Do something at the other end, when what was sent before it has arrived there."""
        sock.clear_ns = max(sock.clear_ns + 1, at_ns)
        self.kernel.at(sock.clear_ns, self._over, self._way(sock), act, arguments)

    def _over(self, way: frozenset[str], act: Callable[..., None], arguments: tuple[Any, ...]) -> None:
        if way in self.cut or way in self.stuck:
            self.stuck.setdefault(way, []).append((act, arguments))
        else:
            act(*arguments)

    def part(self, one: str, other: str) -> None:
        """Cut the way between two hosts, in silence."""
        self.cut.add(frozenset((one, other)))

    def heal(self, one: str, other: str) -> None:
        """End a cut: what was sent meanwhile arrives now, in order."""
        way = frozenset((one, other))
        self.cut.discard(way)
        waiting = self.stuck.pop(way, [])
        for act, arguments in waiting:
            act(*arguments)

    # Connections

    def connect(self, sock: SimSocket) -> None:
        self._pass(sock, self.kernel.now_ns + self.latency_ns(sock), self._knock, sock)

    def _knock(self, sock: SimSocket) -> None:
        if sock.connecting is None:
            return
        code = self.failing.error(sock.loop.host, SystemCall.ROUTE)
        if code:
            late_ns = int(self.failing.random.random() * ROUTE_MS * MS)
            self._pass(sock, self.kernel.now_ns + late_ns, self._answered, sock, code)
            return
        listener = self._listener(sock.remote)
        if listener is None:
            at_ns = self.kernel.now_ns + self.latency_ns(sock)
            self._pass(sock, at_ns, self._answered, sock, errno.ECONNREFUSED)
            return
        if len(listener.queue) >= BACKLOG:
            self.kernel.after(SYN_AGAIN_NS, self._knock, sock)
            return
        other = SimSocket(self, listener.loop, 0)
        other.local, other.remote = sock.remote, sock.local
        sock.peer, other.peer = other, sock
        listener.queue.append(other)
        listener.ready()
        self._pass(sock, self.kernel.now_ns + self.latency_ns(sock), self._answered, sock, 0)

    def _answered(self, sock: SimSocket, code: int) -> None:
        done, sock.connecting = sock.connecting, None
        if done is None:
            return
        if code:
            sock.error = code
            done(OSError(code, "refused"))
        else:
            done(None)

    def call_off(self, sock: SimSocket) -> None:
        """End a connect that has not come up."""
        done, sock.connecting = sock.connecting, None
        sock.error = errno.ECONNRESET
        if sock.peer is not None:
            self.reset(sock)
        if done is not None:
            done(OSError(errno.ECONNABORTED, "called off"))

    def transmit(self, sock: SimSocket, data: bytes) -> None:
        sock.on_way_bytes += len(data)
        at_ns = self.kernel.now_ns + self.latency_ns(sock)
        if len(data) > 1 and self.random.random() < 0.1:
            middle = self.random.randrange(1, len(data))
            self._pass(sock, at_ns, self._arrive, sock, data[:middle])
            self._pass(sock, at_ns + int(self.random.random() * MS), self._arrive, sock, data[middle:])
        else:
            self._pass(sock, at_ns, self._arrive, sock, data)

    def _arrive(self, sock: SimSocket, data: bytes) -> None:
        sock.on_way_bytes -= len(data)
        peer = sock.peer
        assert peer is not None
        if peer.error:
            return
        if peer.closed or (peer.deaf and peer.shut):
            if not sock.error:
                self._pass(peer, self.kernel.now_ns + self.latency_ns(peer), self.reset_arrives, sock)
            return
        if peer.deaf:
            return
        peer.received.append(data)
        peer.held_bytes += len(data)
        peer.arrived_bytes += len(data)
        self.tap.arrived(peer)
        peer.ready()

    def finish(self, sock: SimSocket) -> None:
        self._pass(sock, self.kernel.now_ns + self.latency_ns(sock), self._end_arrives, sock)

    def _end_arrives(self, sock: SimSocket) -> None:
        peer = sock.peer
        if peer is not None and not peer.error:
            peer.got_end = True
            self.tap.broken(peer)
            peer.ready()

    def reset(self, sock: SimSocket) -> None:
        """Reset a connection: what is on its way is lost, the other end hears of it."""
        sock.error = sock.error or errno.ECONNRESET
        if sock.peer is not None:
            self._pass(sock, self.kernel.now_ns + self.latency_ns(sock), self.reset_arrives, sock.peer)

    def reset_arrives(self, sock: SimSocket) -> None:
        if sock.error or sock.closed:
            return
        sock.error = errno.ECONNRESET
        self.tap.broken(sock)
        sock.ready()
        if sock.starved:
            sock.writable_again()

    # Datagrams

    def bind_datagrams(self, loop: SimLoop, local: Address, protocol: Any) -> SimDatagrams:
        end = self.datagrams[local] = SimDatagrams(self, loop, local, protocol)
        return end

    def send_datagram(self, sender: SimDatagrams, data: bytes, address: Address) -> None:
        if len(data) > DATAGRAM_MOST or self.random.random() < self.lose:
            return
        way = frozenset((sender.loop.host, self.owners.get(address[0], address[0])))
        delay_ns = int(MS * (1 + 20 * self.random.random()))  # so that one may overtake another
        if way not in self.cut and self.passes(sender.loop.host, self.owners.get(address[0], "")):
            self.kernel.after(delay_ns, self._datagram_arrives, data, sender.local, address)

    def _datagram_arrives(self, data: bytes, source: Address, address: Address) -> None:
        end = self.datagrams.get(address)
        if end is not None:
            end.loop.wake(end.protocol.datagram_received, data, source)


class SimDatagrams:
    """A datagram endpoint as its protocol sees it."""

    def __init__(self, network: Network, loop: SimLoop, local: Address, protocol: Any) -> None:
        self.network = network
        self.loop = loop
        self.local = local
        self.protocol = protocol
        self.closing = False

    def sendto(self, data: bytes, address: Address) -> None:
        if self.closing:
            return
        code = self.network.failing.error(self.loop.host, SystemCall.DATAGRAM)
        if code:  # as uvloop tells it
            self.protocol.error_received(OSError(code, "sendto"))
        else:
            self.network.send_datagram(self, data, address)

    def is_closing(self) -> bool:
        return self.closing

    def close(self) -> None:
        self.closing = True
        self.network.datagrams.pop(self.local, None)
