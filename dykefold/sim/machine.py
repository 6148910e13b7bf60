"""The virtual machine of one process: its clocks, its sockets, and what it can ask of them."""

from __future__ import annotations

import select
import socket
from typing import cast

from ..system import System, Watch
from .kernel import NS_PER_S
from .loop import SimLoop
from .sockets import SimSocket


def as_socket(sock: SimSocket) -> socket.socket:
    """Return a virtual socket as the type that the program asks for."""
    return cast("socket.socket", sock)


def as_sim_socket(sock: socket.socket) -> SimSocket:
    """Return a socket of the program as the virtual one that it is."""
    return cast("SimSocket", sock)


class ReadWatch:
    """What `poll` reports of a virtual socket that is watched for reading."""

    def __init__(self, sock: SimSocket) -> None:
        self.sock = sock

    def poll(self, timeout: float, /) -> list[tuple[int, int]]:
        """Return the events that hold now; the timeout does not matter."""
        waits = self.sock.readable() and not self.sock.closed
        return [(self.sock.number, select.POLLIN)] if waits else []


class EndWatch:
    """What `poll` reports of a virtual socket, its other side's end included."""

    def __init__(self, sock: SimSocket) -> None:
        self.sock = sock

    def poll(self, timeout: float, /) -> list[tuple[int, int]]:
        """Return the events that hold now; the timeout does not matter."""
        sock = self.sock
        events = select.POLLIN if sock.readable() else 0
        if sock.eof_received:
            events |= select.POLLRDHUP
        if sock.error:
            events |= select.POLLERR | select.POLLHUP
        return [(sock.number, events)] if events else []


class SimSystem(System):
    """The machine of one virtual process, as the program sees it.

    Args:
        loop: Event loop of the process.
        boot_ns: Value of the monotonic clock at the start of the world, in nanoseconds.
    """

    def __init__(self, loop: SimLoop, boot_ns: int) -> None:
        """Make the machine of a process."""
        self.loop = loop
        self.boot_ns = boot_ns

    def monotonic_ns(self) -> int:
        """Return the monotonic clock, in nanoseconds."""
        return self.boot_ns + self.loop.kernel.now_ns + self.loop.local_ns

    def monotonic(self) -> float:
        """Return the monotonic clock, in seconds."""
        return self.monotonic_ns() / NS_PER_S

    def time_ns(self) -> int:
        """Return Unix time by the machine's wall clock, which may be wrong."""
        return self.loop.network.wall_ns(self.loop.host) + self.loop.local_ns

    def tcp_socket(self) -> socket.socket:
        """Open a socket; OSError if the process may hold no more."""
        return as_socket(self.loop.network.socket(self.loop))

    def watch(self, sock: socket.socket) -> Watch:
        """Return a watch on whether something can be read."""
        return ReadWatch(as_sim_socket(sock))

    def watch_close(self, sock: socket.socket) -> Watch:
        """Return a watch on whether bytes wait, or the other side has ended."""
        return EndWatch(as_sim_socket(sock))

    def unread_byte_count(self, sock: socket.socket) -> int:
        """Return how many bytes wait unread."""
        return as_sim_socket(sock).unread_bytes

    def open_reserve(self) -> int:
        """Open a reserve descriptor; OSError if the process may hold no more."""
        return self.loop.network.socket(self.loop).number

    def close_reserve(self, descriptor: int) -> None:
        """Close such a descriptor."""
        self.loop.network.by_number(self.loop, descriptor).close()
