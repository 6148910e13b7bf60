"""Sockets of the virtual network, with the calls that the program makes on a real one.

A socket keeps what its kernel would keep: bytes that have arrived and were not read, the errors and ends
that end a connection, and the queue of a listener. What passes between two sockets is the network's part
(`network.py`), which a socket knows by the protocol `SocketNetwork`.
"""

from __future__ import annotations

import ctypes
import errno
import random
import socket
import struct
from collections import deque
from collections.abc import Callable
from typing import Protocol

from ..control.reuseport_filter import SO_ATTACH_REUSEPORT_CBPF, SO_DETACH_REUSEPORT_BPF
from .kernel import Kernel
from .syscalls import TAKES_ONE, FailingCalls, SystemCall

Address = tuple[str, int]
ConnectDone = Callable[[OSError | None], None]

WINDOW_BYTES = 96 * 1024  # Bytes sent and not yet read: the kernel buffers of both sides.
UNBOUND: Address = ("0.0.0.0", 0)
BPF_INSTRUCTION = "=HBBI"  # struct sock_filter of Linux: code, two jump offsets, constant.


class ProcessLoop(Protocol):
    """What sockets and the network need of the event loop of a process (`loop.SimLoop`)."""

    name: str
    host: str
    alive: bool

    @property
    def paused_ns(self) -> int:
        """Nanoseconds for which the process has stood still until now."""
        ...

    def wake(self, act: Callable[..., None], *arguments: object) -> None:
        """Have something called in a later turn of the process."""
        ...

    def die(self) -> None:
        """End the process."""
        ...


class SocketObserver(Protocol):
    """Who sees what passes: the truth that the rules are judged by."""

    def sent(self, sock: SimSocket, data: bytes) -> None:
        """A process has handed bytes to its kernel."""
        ...

    def read(self, sock: SimSocket) -> None:
        """A process has taken bytes from its kernel; `sock.read_bytes` is how many so far."""
        ...

    def arrived(self, sock: SimSocket) -> None:
        """Bytes have arrived at the kernel of a process; `sock.arrived_bytes` is how many so far."""
        ...

    def ended(self, sock: SimSocket) -> None:
        """A process has ended its side of a connection: nothing more can be sent on it."""
        ...

    def broken(self, sock: SimSocket) -> None:
        """The other side's end or reset has arrived at the kernel of a process."""
        ...


class NullObserver:
    """An observer of a network that nobody watches."""

    def sent(self, sock: SimSocket, data: bytes) -> None:
        """Ignore it."""

    def read(self, sock: SimSocket) -> None:
        """Ignore it."""

    def arrived(self, sock: SimSocket) -> None:
        """Ignore it."""

    def ended(self, sock: SimSocket) -> None:
        """Ignore it."""

    def broken(self, sock: SimSocket) -> None:
        """Ignore it."""


class SocketNetwork(Protocol):
    """What sockets need of the network (`network.Network`, which documents the members)."""

    kernel: Kernel
    random: random.Random
    partial_write_share: float
    observer: SocketObserver
    hosts: dict[str, str]
    filters: dict[Address, int]
    failing: FailingCalls

    def next_port(self) -> int:
        """Return a port that no connection has used."""
        ...

    def check_descriptors(self, loop: ProcessLoop) -> None:
        """Raise OSError if a process may hold no more descriptors."""
        ...

    def register(self, sock: SimSocket) -> int:
        """Give a socket a descriptor."""
        ...

    def release(self, sock: SimSocket) -> None:
        """Take a socket's descriptor back."""
        ...

    def remove_listener(self, sock: SimSocket) -> None:
        """Let no more connections come to a listener."""
        ...

    def latency_ns(self, sock: SimSocket) -> int:
        """Draw how long a packet takes to the other side."""
        ...

    def connect(self, sock: SimSocket) -> None:
        """Send a connection request."""
        ...

    def cancel_connect(self, sock: SimSocket) -> None:
        """End a connect that has not come up."""
        ...

    def transmit(self, sock: SimSocket, data: bytes) -> None:
        """Carry bytes to the other side."""
        ...

    def finish(self, sock: SimSocket) -> None:
        """Carry the end of a side to the other one, behind all bytes."""
        ...

    def reset(self, sock: SimSocket) -> None:
        """Reset a connection from this side."""
        ...

    def send_datagram(self, sender: SimDatagrams, data: bytes, address: Address) -> None:
        """Carry a datagram, unless it gets lost."""
        ...

    def close_datagrams(self, endpoint: SimDatagrams) -> None:
        """Let no more datagrams come to an endpoint."""
        ...


class SimSocket:
    """One end of a connection, or a listener.

    Attributes:
        number: Descriptor; 0 while a connection waits to be accepted.
        backlog: Connections that wait to be accepted.
        unread_bytes: Number of bytes that have arrived and wait in `received`.
        in_flight_bytes: Number of bytes sent that have not arrived.
        eof_received: Whether the peer's end of file has arrived.
        error: Errno that has ended the connection; 0 for none.
        write_closed: Whether sending has been shut down.
        read_closed: Whether reading has been shut down.
        graceful_close: Whether a close sends an end of file; otherwise it resets the connection.
        earliest_arrival_ns: Earliest time in nanoseconds at which bytes sent now may arrive.
        on_connected: Called at the end of a connect; None if no connect is in progress.
        write_blocked: Whether the latest write found no room.
        failed_by_peer: Whether a failed system call of the peer has ended the connection.
    """

    def __init__(self, network: SocketNetwork, loop: ProcessLoop, number: int) -> None:
        """Make a socket of a process, neither connected nor listening."""
        self.network = network
        self.loop = loop
        self.number = number
        self.local = UNBOUND
        self.remote = UNBOUND
        self.peer: SimSocket | None = None
        self.listening = self.accepted = False
        self.accepted_ns = 0
        self.backlog: deque[SimSocket] = deque()
        self.received: deque[bytes] = deque()
        self.unread_bytes = 0
        self.arrived_bytes = 0
        self.read_bytes = 0
        self.sent_bytes = 0
        self.in_flight_bytes = 0
        self.eof_received = False
        self.error = 0
        self.write_closed = False
        self.read_closed = False
        self.closed = False
        self.graceful_close = True
        self.earliest_arrival_ns = 0
        self.on_connected: ConnectDone | None = None
        self.on_readable: Callable[[], None] | None = None
        self.on_writable: Callable[[], None] | None = None
        self.write_blocked = False
        self.failed_by_peer = False

    # Descriptors and options

    def fileno(self) -> int:
        """Return the descriptor, -1 once it is closed."""
        return -1 if self.closed else self.number

    def setblocking(self, flag: bool) -> None:
        """Do nothing: no call ever blocks."""

    def getsockname(self) -> Address:
        """Return the own address."""
        return self.local

    def getpeername(self) -> Address:
        """Return the other side's address; OSError while there is none."""
        self._fail_query()
        if self.on_connected is not None:
            raise OSError(errno.ENOTCONN, "not connected")
        return self.remote

    def setsockopt(self, level: int, option: int, value: int | bytes) -> None:
        """Set what the program sets: SO_LINGER and the filter of a reuseport group."""
        self._check_open()
        self._fail_query()
        if option == socket.SO_LINGER and level == socket.SOL_SOCKET:
            self.graceful_close = value != struct.pack("ii", 1, 0)
        elif option == SO_ATTACH_REUSEPORT_CBPF and isinstance(value, bytes):
            _, program = struct.unpack("@HP", value)
            instruction = ctypes.string_at(program, struct.calcsize(BPF_INSTRUCTION))
            self.network.filters[self.local] = struct.unpack(BPF_INSTRUCTION, instruction)[3]
        elif option == SO_DETACH_REUSEPORT_BPF:
            self.network.filters.pop(self.local, None)

    def getsockopt(self, level: int, option: int) -> int:
        """Return the pending error for SO_ERROR, 0 for every other option."""
        return self.error if option == socket.SO_ERROR else 0

    def __enter__(self) -> SimSocket:
        """Return the socket, to be closed at the end of the block."""
        return self

    def __exit__(self, *_: object) -> None:
        """Close the socket."""
        self.close()

    def _check_open(self) -> None:
        if self.closed:
            raise OSError(errno.EBADF, "Bad file descriptor")

    def _failure(self, call: SystemCall) -> int:
        """Return the errno with which a call fails; 0 if it does not."""
        return self.network.failing.error(self.loop.host, call)

    def _fail_query(self) -> None:
        """Fail a question about a connection that is reset right before it, if one is."""
        if self.peer is None or self.on_connected is not None:
            return
        code = self._failure(SystemCall.OPTION)
        if code:
            self.fail(errno.ECONNRESET)
            raise OSError(code, "reset meanwhile")

    def fail(self, code: int) -> None:
        """End the connection on this side by an error; what was sent may arrive, then a reset."""
        if self.error or self.peer is None:
            return
        self.error = code
        self.received.clear()
        self.unread_bytes = 0
        self.peer.failed_by_peer = True
        self.network.observer.broken(self)
        self.network.reset(self)
        self.notify_readable()

    # Connecting

    def connect(self, address: Address, done: ConnectDone) -> None:
        """Begin to connect; `done` is called at the end of it, with the error if it failed."""
        self._check_open()
        code = self._failure(SystemCall.CONNECT)
        if code:
            raise OSError(code, "connect")
        self.remote, self.on_connected = address, done
        self.local = (self.network.hosts[self.loop.host], self.network.next_port())
        self.network.connect(self)

    def accept(self) -> tuple[SimSocket, Address]:
        """Return the connection that has waited longest, and its address; OSError if it fails."""
        self._check_open()
        if not self.backlog:
            raise BlockingIOError(errno.EAGAIN, "nobody waits")
        self.network.check_descriptors(self.loop)
        code = self._failure(SystemCall.ACCEPT)
        if code:
            if code in TAKES_ONE:
                self.backlog.popleft().abandon()
            raise OSError(code, "accept")
        sock = self.backlog.popleft()
        if sock.error:
            sock.close()
            raise ConnectionAbortedError(errno.ECONNABORTED, "it has gone")
        sock.number, sock.accepted = self.network.register(sock), True
        sock.accepted_ns = self.network.kernel.now_ns
        return sock, sock.remote

    # Bytes

    def send(self, data: bytes | memoryview) -> int:
        """Hand bytes to the kernel; returns how many it took. OSError if none can be taken."""
        self._check_open()
        self._check_sendable()
        part = self._accepted_part(data)
        if len(part) < len(data):
            self.write_blocked = True
            self.network.kernel.after(self.network.latency_ns(self), self.notify_writable)
        self.sent_bytes += len(part)
        self.network.observer.sent(self, part)
        self.network.transmit(self, part)
        return len(part)

    def _check_sendable(self) -> None:
        if self.error:
            raise OSError(self.error, "connection")
        if self.write_closed or self.peer is None:
            raise BrokenPipeError(errno.EPIPE, "it has ended")
        code = self._failure(SystemCall.SEND)
        if code:
            self.fail(code)
            raise OSError(code, "send")

    def _accepted_part(self, data: bytes | memoryview) -> bytes:
        """Return as much of the data as the kernel takes at once; BlockingIOError if the window is full."""
        assert self.peer is not None
        room = WINDOW_BYTES - self.in_flight_bytes - self.peer.unread_bytes
        if room <= 0:
            self.write_blocked = True
            raise BlockingIOError(errno.EAGAIN, "no room")
        part = bytes(data[:room])
        network = self.network
        # Linux takes the first small write of an accepted connection whole.
        first = self.accepted and not self.sent_bytes
        if len(part) > 1 and not first and network.random.random() < network.partial_write_share:
            part = part[: network.random.randrange(1, len(part))]
        if len(part) > 1 and self._failure(SystemCall.SHORT):
            part = part[: network.failing.random.randrange(1, len(part))]
        return part

    def recv(self, max_bytes: int, flags: int = 0) -> bytes:
        """Take bytes that have arrived; none at the other side's end. OSError if there is nothing."""
        self._check_open()
        max_bytes = self._fail_receive(max_bytes)
        if not self.received:
            if self.error:
                raise OSError(self.error, "connection")
            if self.eof_received or self.read_closed:
                return b""
            raise BlockingIOError(errno.EAGAIN, "nothing has come")
        data = self._take_received(max_bytes)
        if not self.write_closed:  # what is read behind the own end can't be answered, and does not count
            self.read_bytes += len(data)
            self.network.observer.read(self)
        if self.peer is not None and self.peer.write_blocked:
            self.network.kernel.after(self.network.latency_ns(self), self.peer.notify_writable)
        return data

    def _fail_receive(self, max_bytes: int) -> int:
        """Let a read fail or be short, if one does; returns how many bytes it may take."""
        if self.peer is not None and not self.error:
            code = self._failure(SystemCall.RECEIVE)
            if code:
                self.fail(code)
        if self.unread_bytes > 1 and self._failure(SystemCall.SHORT):
            return min(max_bytes, self.network.failing.random.randrange(1, self.unread_bytes))
        return max_bytes

    def _take_received(self, max_bytes: int) -> bytes:
        data = self.received.popleft()
        if self.received:
            data += b"".join(self.received)
            self.received.clear()
        if len(data) > max_bytes:
            self.received.appendleft(data[max_bytes:])
            data = data[:max_bytes]
        self.unread_bytes -= len(data)
        return data

    # Ends

    def shutdown(self, how: int) -> None:
        """End one side or both; OSError if there is no connection."""
        self._check_open()
        if self.on_connected is not None:
            self.network.cancel_connect(self)
            return
        if self.peer is None or self.error:
            raise OSError(errno.ENOTCONN, "not connected")
        if how in (socket.SHUT_RD, socket.SHUT_RDWR):
            self.read_closed = True
        if how in (socket.SHUT_WR, socket.SHUT_RDWR) and not self.write_closed:
            self.write_closed = True
            self.network.observer.ended(self)
            self.network.finish(self)

    def close(self) -> None:
        """Close the descriptor: the connection ends, or is reset where bytes were not read."""
        if self.closed:
            return
        self.closed = True
        self.network.release(self)
        self.on_readable = self.on_writable = None
        if self.listening:
            self._close_listener()
        elif self.on_connected is not None:
            self.network.cancel_connect(self)
        elif self.peer is not None and not self.error:
            self._close_connection()

    def _close_listener(self) -> None:
        self.network.remove_listener(self)
        for waiting in self.backlog:
            waiting.abandon()

    def _close_connection(self) -> None:
        self.network.observer.ended(self)
        if self.unread_bytes or not self.graceful_close:
            self.network.reset(self)  # as Linux does where unread bytes are thrown away
        elif not self.write_closed:
            self.write_closed = True
            self.network.finish(self)

    def abandon(self) -> None:
        """Reset the connection, as the kernel does for a process that is no more."""
        if not self.closed and self.number:
            self.network.release(self)
        self.closed = True
        self.on_readable = self.on_writable = None
        if self.listening:
            self._close_listener()
        elif self.on_connected is not None:
            self.network.cancel_connect(self)
        elif self.peer is not None and not self.error:
            self.network.observer.ended(self)
            self.network.reset(self)

    # Readiness

    def readable(self) -> bool:
        """Return whether a read or an accept has something to report."""
        if self.listening:
            return bool(self.backlog)
        return bool(self.received or self.eof_received or self.error)

    def notify_readable(self) -> None:
        """Tell the process that the socket may be readable."""
        if self.on_readable is not None:
            self.on_readable()

    def notify_writable(self) -> None:
        """Tell the process that there is room again, if a write found none."""
        if self.write_blocked and self.on_writable is not None:
            self.write_blocked = False
            self.on_writable()


class DatagramReceiver(Protocol):
    """The protocol object of a datagram endpoint, as asyncio calls it."""

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Take a datagram."""
        ...

    def error_received(self, exc: Exception) -> None:
        """Take an error of a datagram that was sent."""
        ...


class SimDatagrams:
    """A datagram endpoint as its protocol sees it: an `asyncio.DatagramTransport`."""

    def __init__(
        self, network: SocketNetwork, loop: ProcessLoop, local: Address, protocol: DatagramReceiver
    ) -> None:
        """Make the endpoint of a process at an address."""
        self.network = network
        self.loop = loop
        self.local = local
        self.protocol = protocol
        self.closing = False

    def sendto(self, data: bytes, address: Address) -> None:
        """Send a datagram, which may get lost."""
        if self.closing:
            return
        code = self.network.failing.error(self.loop.host, SystemCall.DATAGRAM)
        if code:  # uvloop reports it so
            self.protocol.error_received(OSError(code, "sendto"))
        else:
            self.network.send_datagram(self, data, address)

    def is_closing(self) -> bool:
        """Return whether the endpoint was closed."""
        return self.closing

    def close(self) -> None:
        """Close the endpoint: nothing is sent or received any more."""
        self.closing = True
        self.network.close_datagrams(self)
