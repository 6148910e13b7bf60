"""What the program takes from its machine directly, beside the event loop: time, sockets, descriptors.

The one seam between the production code and its machine. Whoever holds a `System` reads no other clock and
opens no other socket, so that the same code runs on a virtual machine (`dykefold.sim`). On a real one
each of these is the system's own function: the seam costs an attribute look-up.
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
    """Whether a system call failed for this machine's sake, which says nothing of the other side.

    A refusal, a reset, ETIMEDOUT and EHOSTUNREACH are the other side's or the path's.
    """
    return isinstance(error, OSError) and error.errno in OWN_ERRORS


class Watch(Protocol):
    """Tells without waiting whether bytes or an end wait on one socket."""

    def poll(self, timeout: float, /) -> list: ...


class System:
    """The machine that this process runs on."""

    monotonic = staticmethod(time.monotonic)  # seconds
    monotonic_ns = staticmethod(time.monotonic_ns)
    time_ns = staticmethod(time.time_ns)  # Unix time

    def tcp_socket(self) -> socket.socket:
        """A TCP socket over IPv4 that never blocks. Raises OSError if there is no descriptor left."""
        return socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)

    def watch(self, sock: socket.socket) -> Watch:
        """A watch on a socket; asking it costs less than a read that fails."""
        watch = select.poll()
        watch.register(sock, select.POLLIN)
        return watch

    def watch_end(self, sock: socket.socket) -> Watch:
        """A watch on whether bytes wait on a socket, or its other side has ended behind them (poll(2))."""
        watch = select.poll()
        watch.register(sock, select.POLLIN | select.POLLRDHUP)
        return watch

    def unread(self, sock: socket.socket) -> int:
        """Bytes that have come on a socket and wait unread (tcp(7), SIOCINQ); 0 where that is not told."""
        try:
            found = fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(4))
        except (OSError, ValueError):  # it has ended meanwhile
            return 0
        return int.from_bytes(found, sys.byteorder)

    def open_spare(self) -> int:
        """A descriptor that is kept only to be closed. Raises OSError if there is none left."""
        return os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)

    def close_spare(self, number: int) -> None:
        os.close(number)


SYSTEM = System()
