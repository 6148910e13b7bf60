"""The virtual machine of one process: its clocks, its sockets and their poll results."""

from __future__ import annotations

import select
import socket
from typing import cast

from ..system import ReadPoller, System
from .kernel import NS_PER_S
from .loop import SimLoop
from .sockets import SimSocket


def as_socket(sock: SimSocket) -> socket.socket:
    """Return a virtual socket, typed as the program requires it."""
    return cast("socket.socket", sock)


def as_sim_socket(sock: socket.socket) -> SimSocket:
    """Return the virtual socket behind a socket of the program."""
    return cast("SimSocket", sock)


class SimReadPoller:
    """A `poll` object that reports whether a virtual socket is readable."""

    def __init__(self, sock: SimSocket) -> None:
        self.sock = sock

    def poll(self, timeout: float, /) -> list[tuple[int, int]]:
        """Return the present events; the timeout is ignored."""
        is_ready = self.sock.readable() and not self.sock.closed
        return [(self.sock.number, select.POLLIN)] if is_ready else []


class SimReadOrClosePoller:
    """A `poll` object that reports readability, the peer's end of file and errors of a virtual socket."""

    def __init__(self, sock: SimSocket) -> None:
        self.sock = sock

    def poll(self, timeout: float, /) -> list[tuple[int, int]]:
        """Return the present events; the timeout is ignored."""
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
        """Create the machine of a process."""
        self.loop = loop
        self.boot_ns = boot_ns

    def monotonic_ns(self) -> int:
        """Return the monotonic clock, in nanoseconds."""
        return self.boot_ns + self.loop.kernel.now_ns + self.loop.turn_elapsed_ns

    def monotonic(self) -> float:
        """Return the monotonic clock, in seconds."""
        return self.monotonic_ns() / NS_PER_S

    def time_ns(self) -> int:
        """Return the Unix time of the machine's wall clock in nanoseconds, which a fault may have stepped."""
        return self.loop.network.wall_ns(self.loop.host) + self.loop.turn_elapsed_ns

    def tcp_socket(self) -> socket.socket:
        """Open a socket; OSError if the process is out of descriptors."""
        return as_socket(self.loop.network.socket(self.loop))

    def read_poller(self, sock: socket.socket) -> ReadPoller:
        """Return a poll object for readability."""
        return SimReadPoller(as_sim_socket(sock))

    def read_or_close_poller(self, sock: socket.socket) -> ReadPoller:
        """Return a poll object for readability and for the peer's close."""
        return SimReadOrClosePoller(as_sim_socket(sock))

    def unread_byte_count(self, sock: socket.socket) -> int:
        """Return the number of received bytes that were not read yet."""
        return as_sim_socket(sock).unread_bytes

    def open_reserve(self) -> int:
        """Open a reserve descriptor; OSError if the process is out of descriptors."""
        return self.loop.network.socket(self.loop).number

    def close_reserve(self, descriptor: int) -> None:
        """Close a reserve descriptor."""
        self.loop.network.socket_by_descriptor(self.loop, descriptor).close()
