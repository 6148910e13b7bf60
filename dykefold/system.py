"""What the program takes from its machine directly, beside the event loop: time, sockets, descriptors.

The one interface between the production code and its machine. Code that has a `System` reads no other clock
and opens no other socket, so that the same code runs on a virtual machine (`dykefold.sim`). On a real one
each of these is the system's own function: the interface costs an attribute look-up.
"""

from __future__ import annotations

import errno
import fcntl
import os
import select
import socket
import sys
import termios
import time
from typing import Protocol

# What socket(2), connect(2) and send(2) fail with when this machine lacks something, or forbids it.
OWN_ERRORS = frozenset(
    (
        errno.EACCES,
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,  # no local port is left
        errno.EAGAIN,
        errno.EINTR,
        errno.EMFILE,
        errno.ENETDOWN,
        errno.ENETUNREACH,  # no route from here
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EPERM,  # a filter on this machine
    )
)


def is_own(error: BaseException | None) -> bool:
    """Return whether a system call failed for a reason of this machine, which says nothing of the other side.

    A refusal, a reset, ETIMEDOUT and EHOSTUNREACH are the other side's or the path's.
    """
    return isinstance(error, OSError) and error.errno in OWN_ERRORS


class Watch(Protocol):
    """Shows without waiting whether bytes or an end of stream wait on one socket."""

    def poll(self, timeout: float, /) -> list[tuple[int, int]]:
        """Return a non-empty list if something waits; as select.poll, with a timeout in milliseconds."""
        ...


class System:
    """The machine that this process runs on."""

    monotonic = staticmethod(time.monotonic)  # seconds
    monotonic_ns = staticmethod(time.monotonic_ns)
    time_ns = staticmethod(time.time_ns)  # Unix time

    def tcp_socket(self) -> socket.socket:
        """Open a TCP socket over IPv4 that never blocks.

        Raises:
            OSError: there is no descriptor left.
        """
        return socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)

    def watch(self, sock: socket.socket) -> Watch:
        """Return a watch on a socket; polling it costs less than a read that fails."""
        watch = select.poll()
        watch.register(sock, select.POLLIN)
        return watch

    def watch_end(self, sock: socket.socket) -> Watch:
        """Return a watch on whether bytes wait, or the other side has closed its stream behind them."""
        watch = select.poll()
        watch.register(sock, select.POLLIN | select.POLLRDHUP)
        return watch

    def unread(self, sock: socket.socket) -> int:
        """Return how many bytes wait unread on a socket (tcp(7), SIOCINQ); 0 where that is not known."""
        try:
            found = fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(4))
        except (OSError, ValueError):  # it has ended meanwhile
            return 0
        return int.from_bytes(found, sys.byteorder)

    def open_reserve(self) -> int:
        """Open a reserve descriptor, kept only to be closed when another is needed.

        Raises:
            OSError: there is no descriptor left.
        """
        return os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)

    def close_reserve(self, number: int) -> None:
        """Close such a descriptor."""
        os.close(number)


SYSTEM = System()
