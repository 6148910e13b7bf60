"""Sockets of the virtual network, with the methods of a real socket that the program calls.

A socket has the state that a real kernel keeps for it: received bytes that were not read yet, the error or
end of file of the connection, and the accept queue of a listener. The network (`network.py`) transfers data
between two sockets; a socket uses it through the protocol `SocketNetwork`.
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
from .syscalls import ACCEPT_ERRORS_LOSING_CONNECTION, FailingCalls, SystemCall

Address = tuple[str, int]
ConnectCallback = Callable[[OSError | None], None]

WINDOW_BYTES = 96 * 1024  # Maximum number of bytes sent and not yet read: the kernel buffers of both sides.
UNBOUND: Address = ("0.0.0.0", 0)
BPF_INSTRUCTION = "=HBBI"  # struct sock_filter of Linux: code, two jump offsets, constant.


class ProcessLoop(Protocol):
    """The interface of a process's event loop that sockets and the network use (`loop.SimLoop`)."""

    name: str
    host: str
    alive: bool

    @property
    def paused_ns(self) -> int:
        """Total time for which the process has not run until now, in nanoseconds."""
        ...

    def wake(self, callback: Callable[..., None], *arguments: object) -> None:
        """Schedule a callback for the next turn of the process."""
        ...

    def die(self) -> None:
        """End the process."""
        ...


class SocketObserver(Protocol):
    """Observer of all traffic: the ground truth against which the rules are checked."""

    def sent(self, sock: SimSocket, data: bytes) -> None:
        """Called when a process has written bytes to its kernel."""
        ...

    def read(self, sock: SimSocket) -> None:
        """Called when a process has read bytes; `sock.read_bytes` is the total so far."""
        ...

    def arrived(self, sock: SimSocket) -> None:
        """Called when a kernel has received bytes; `sock.arrived_bytes` is the total so far."""
        ...

    def ended(self, sock: SimSocket) -> None:
        """Called when a process has closed its sending side: nothing more can be sent on it."""
        ...

    def peer_closed(self, sock: SimSocket) -> None:
        """Called when the kernel of a process has received the peer's end of file or reset."""
        ...


class NullObserver:
    """An observer that ignores all traffic, for a network that is not observed."""

    def sent(self, sock: SimSocket, data: bytes) -> None:
        """Ignore sent bytes."""

    def read(self, sock: SimSocket) -> None:
        """Ignore read bytes."""

    def arrived(self, sock: SimSocket) -> None:
        """Ignore received bytes."""

    def ended(self, sock: SimSocket) -> None:
        """Ignore the end of a sending side."""

    def peer_closed(self, sock: SimSocket) -> None:
        """Ignore an end of file or reset."""


class SocketNetwork(Protocol):
    """The interface of the network that sockets use (`network.Network`, which documents the members)."""

    kernel: Kernel
    random: random.Random
    partial_write_share: float
    observer: SocketObserver
    hosts: dict[str, str]
    filters: dict[Address, int]
    failing_calls: FailingCalls

    def next_port(self) -> int:
        """Return a port that no connection has used before."""
        ...

    def check_descriptors(self, loop: ProcessLoop) -> None:
        """Raise OSError if a process has reached its descriptor limit."""
        ...

    def register(self, sock: SimSocket) -> int:
        """Allocate the descriptor of a socket and return it."""
        ...

    def release(self, sock: SimSocket) -> None:
        """Free the descriptor of a socket."""
        ...

    def remove_listener(self, sock: SimSocket) -> None:
        """Remove a listener: later connections do not reach it."""
        ...

    def latency_ns(self, sock: SimSocket) -> int:
        """Draw the latency of a packet to the peer, in nanoseconds."""
        ...

    def connect(self, sock: SimSocket) -> None:
        """Send a connection request."""
        ...

    def cancel_connect(self, sock: SimSocket) -> None:
        """Abort a connect in progress."""
        ...

    def transmit(self, sock: SimSocket, data: bytes) -> None:
        """Send bytes to the peer."""
        ...

    def finish(self, sock: SimSocket) -> None:
        """Send an end of file to the peer, after all bytes."""
        ...

    def reset(self, sock: SimSocket) -> None:
        """Reset a connection from this side."""
        ...

    def send_datagram(self, sender: SimDatagrams, data: bytes, address: Address) -> None:
        """Send a datagram, which may get lost."""
        ...

    def close_datagrams(self, endpoint: SimDatagrams) -> None:
        """Close an endpoint: later datagrams to it are dropped."""
        ...


class SimSocket:
    """One end of a connection, or a listener.

    Attributes:
        number: Descriptor; 0 while a connection waits to be accepted.
        backlog: Connections that wait to be accepted.
        unread_bytes: Number of bytes that have arrived and wait in `received`.
        in_flight_bytes: Number of bytes sent that have not arrived.
        eof_received: Whether the peer's end of file has arrived.
        error: Errno of the failure of the connection; 0 for none.
        write_closed: Whether sending has been shut down.
        read_closed: Whether reading has been shut down.
        graceful_close: Whether a close sends an end of file; otherwise it resets the connection.
        earliest_arrival_ns: Earliest time in nanoseconds at which bytes sent now may arrive.
        on_connected: Callback for the end of a connect; None if no connect is in progress.
        write_blocked: Whether the latest write found the send window full.
        failed_by_peer: Whether the connection ended by a failed system call of the peer.
    """

    def __init__(self, network: SocketNetwork, loop: ProcessLoop, number: int) -> None:
        """Create a socket of a process, neither connected nor listening."""
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
        self.on_connected: ConnectCallback | None = None
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
        """Return the local address."""
        return self.local

    def getpeername(self) -> Address:
        """Return the peer's address; OSError while the socket is not connected."""
        self._inject_query_failure()
        if self.on_connected is not None:
            raise OSError(errno.ENOTCONN, "not connected")
        return self.remote

    def setsockopt(self, level: int, option: int, value: int | bytes) -> None:
        """Set SO_LINGER or the filter of a reuseport group; other options are ignored."""
        self._check_open()
        self._inject_query_failure()
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
        """Return the socket, which the end of the block closes."""
        return self

    def __exit__(self, *_: object) -> None:
        """Close the socket."""
        self.close()

    def _check_open(self) -> None:
        if self.closed:
            raise OSError(errno.EBADF, "Bad file descriptor")

    def _draw_failure(self, call: SystemCall) -> int:
        """Return the errno with which a call fails; 0 if it does not."""
        return self.network.failing_calls.error(self.loop.host, call)

    def _inject_query_failure(self) -> None:
        """Reset the connection and raise OSError if a fault fails the present query of it."""
        if self.peer is None or self.on_connected is not None:
            return
        code = self._draw_failure(SystemCall.OPTION)
        if code:
            self.fail(errno.ECONNRESET)
            raise OSError(code, "reset meanwhile")

    def fail(self, code: int) -> None:
        """Fail the connection on this side; the peer may receive sent bytes, then a reset."""
        if self.error or self.peer is None:
            return
        self.error = code
        self.received.clear()
        self.unread_bytes = 0
        self.peer.failed_by_peer = True
        self.network.observer.peer_closed(self)
        self.network.reset(self)
        self.notify_readable()

    # Connecting

    def connect(self, address: Address, on_done: ConnectCallback) -> None:
        """Start a connect; `on_done` is called at its end, with the error if it failed."""
        self._check_open()
        code = self._draw_failure(SystemCall.CONNECT)
        if code:
            raise OSError(code, "connect")
        self.remote, self.on_connected = address, on_done
        self.local = (self.network.hosts[self.loop.host], self.network.next_port())
        self.network.connect(self)

    def accept(self) -> tuple[SimSocket, Address]:
        """Accept the oldest pending connection and return it with its address; OSError if that fails."""
        self._check_open()
        if not self.backlog:
            raise BlockingIOError(errno.EAGAIN, "no pending connection")
        self.network.check_descriptors(self.loop)
        code = self._draw_failure(SystemCall.ACCEPT)
        if code:
            if code in ACCEPT_ERRORS_LOSING_CONNECTION:
                self.backlog.popleft().reset_by_kernel()
            raise OSError(code, "accept")
        sock = self.backlog.popleft()
        if sock.error:
            sock.close()
            raise ConnectionAbortedError(errno.ECONNABORTED, "reset before accept")
        sock.number, sock.accepted = self.network.register(sock), True
        sock.accepted_ns = self.network.kernel.now_ns
        return sock, sock.remote

    # Bytes

    def send(self, data: bytes | memoryview) -> int:
        """Write bytes and return the number accepted; OSError if the kernel accepts none."""
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
            raise BrokenPipeError(errno.EPIPE, "sending was shut down")
        code = self._draw_failure(SystemCall.SEND)
        if code:
            self.fail(code)
            raise OSError(code, "send")

    def _accepted_part(self, data: bytes | memoryview) -> bytes:
        """Return the part of the data that the kernel accepts; BlockingIOError if the window is full."""
        assert self.peer is not None
        room = WINDOW_BYTES - self.in_flight_bytes - self.peer.unread_bytes
        if room <= 0:
            self.write_blocked = True
            raise BlockingIOError(errno.EAGAIN, "send window full")
        part = bytes(data[:room])
        network = self.network
        # Linux never splits the first small write of an accepted connection.
        is_first_write = self.accepted and not self.sent_bytes
        if len(part) > 1 and not is_first_write and network.random.random() < network.partial_write_share:
            part = part[: network.random.randrange(1, len(part))]
        if len(part) > 1 and self._draw_failure(SystemCall.SHORT):
            part = part[: network.failing_calls.random.randrange(1, len(part))]
        return part

    def recv(self, max_bytes: int, flags: int = 0) -> bytes:
        """Read received bytes; empty at end of file. OSError if nothing was received."""
        self._check_open()
        max_bytes = self._inject_receive_failure(max_bytes)
        if not self.received:
            if self.error:
                raise OSError(self.error, "connection")
            if self.eof_received or self.read_closed:
                return b""
            raise BlockingIOError(errno.EAGAIN, "no data received")
        data = self._take_received(max_bytes)
        # Bytes that are read after the local end of file can't be answered and do not count.
        if not self.write_closed:
            self.read_bytes += len(data)
            self.network.observer.read(self)
        if self.peer is not None and self.peer.write_blocked:
            self.network.kernel.after(self.network.latency_ns(self), self.peer.notify_writable)
        return data

    def _inject_receive_failure(self, max_bytes: int) -> int:
        """Inject a failed or short read, if a fault requires it; returns the maximum bytes to read."""
        if self.peer is not None and not self.error:
            code = self._draw_failure(SystemCall.RECEIVE)
            if code:
                self.fail(code)
        if self.unread_bytes > 1 and self._draw_failure(SystemCall.SHORT):
            return min(max_bytes, self.network.failing_calls.random.randrange(1, self.unread_bytes))
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

    # Closing

    def shutdown(self, how: int) -> None:
        """Shut down one direction or both; OSError if there is no connection."""
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
        """Close the socket: sends an end of file, or a reset if received bytes were not read."""
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
            waiting.reset_by_kernel()

    def _close_connection(self) -> None:
        self.network.observer.ended(self)
        if self.unread_bytes or not self.graceful_close:
            self.network.reset(self)  # As Linux does when it discards unread bytes.
        elif not self.write_closed:
            self.write_closed = True
            self.network.finish(self)

    def reset_by_kernel(self) -> None:
        """Reset the connection, as the kernel does when the process dies."""
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
        """Return whether a read or an accept would not block."""
        if self.listening:
            return bool(self.backlog)
        return bool(self.received or self.eof_received or self.error)

    def notify_readable(self) -> None:
        """Notify the process that the socket may be readable."""
        if self.on_readable is not None:
            self.on_readable()

    def notify_writable(self) -> None:
        """Notify the process that the send window has room, if a write found it full."""
        if self.write_blocked and self.on_writable is not None:
            self.write_blocked = False
            self.on_writable()


class DatagramReceiver(Protocol):
    """The protocol object of a datagram endpoint: an `asyncio.DatagramProtocol`."""

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Handle a received datagram."""
        ...

    def error_received(self, exc: Exception) -> None:
        """Handle an error of a sent datagram."""
        ...


class SimDatagrams:
    """The transport of a datagram endpoint: an `asyncio.DatagramTransport`."""

    def __init__(
        self, network: SocketNetwork, loop: ProcessLoop, local: Address, protocol: DatagramReceiver
    ) -> None:
        """Create the endpoint of a process at an address."""
        self.network = network
        self.loop = loop
        self.local = local
        self.protocol = protocol
        self.closing = False

    def sendto(self, data: bytes, address: Address) -> None:
        """Send a datagram, which may get lost."""
        if self.closing:
            return
        code = self.network.failing_calls.error(self.loop.host, SystemCall.DATAGRAM)
        if code:  # uvloop reports the error to the protocol.
            self.protocol.error_received(OSError(code, "sendto"))
        else:
            self.network.send_datagram(self, data, address)

    def is_closing(self) -> bool:
        """Return whether the endpoint was closed."""
        return self.closing

    def close(self) -> None:
        """Close the endpoint: nothing is sent or received afterwards."""
        self.closing = True
        self.network.close_datagrams(self)
