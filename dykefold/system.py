"""The interface of the program to its machine, beside the event loop: time, sockets, descriptors.

Code with a `System` reads no other clock and opens no other socket, so the same code runs on a simulated
machine (`dykefold.sim`). On a real machine the methods are functions of the operating system, and the
interface costs one attribute look-up per call.
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

# Errors of socket(2), connect(2) and send(2) for a lack of resources, or for a rule, of this machine.
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


def is_local_error(error: BaseException | None) -> bool:
    """Return whether the cause of a failed system call is this machine, and not the peer or the network.

    Refusals, resets, ETIMEDOUT and EHOSTUNREACH come from the peer or the network.
    """
    return isinstance(error, OSError) and error.errno in OWN_ERRORS


class Watch(Protocol):
    """Detects unread bytes or the end of the stream on one socket."""

    def poll(self, timeout: float, /) -> list[tuple[int, int]]:
        """Return a non-empty list for an event, as `select.poll` does; the timeout is in milliseconds."""
        ...


class System:
    """The machine of this process."""

    monotonic = staticmethod(time.monotonic)  # seconds
    monotonic_ns = staticmethod(time.monotonic_ns)
    time_ns = staticmethod(time.time_ns)  # Unix time

    def tcp_socket(self) -> socket.socket:
        """Open a non-blocking TCP socket over IPv4.

        Raises:
            OSError: No descriptor is left.
        """
        return socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)

    def watch(self, sock: socket.socket) -> Watch:
        """Return a watch for unread bytes on a socket; to poll it costs less than a failing read."""
        watch = select.poll()
        watch.register(sock, select.POLLIN)
        return watch

    def watch_close(self, sock: socket.socket) -> Watch:
        """Return a watch for unread bytes on a socket, or the end of the peer's stream behind them."""
        watch = select.poll()
        watch.register(sock, select.POLLIN | select.POLLRDHUP)
        return watch

    def unread_byte_count(self, sock: socket.socket) -> int:
        """Return the number of unread bytes on a socket (tcp(7), SIOCINQ); 0 if it is unknown."""
        try:
            count = fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(4))
        # ValueError: the socket has been closed.
        except (OSError, ValueError):
            return 0
        return int.from_bytes(count, sys.byteorder)

    def open_reserve(self) -> int:
        """Open a reserve descriptor, whose only use is to be closed when another one is needed.

        Raises:
            OSError: No descriptor is left.
        """
        return os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)

    def close_reserve(self, descriptor: int) -> None:
        """Close a reserve descriptor."""
        os.close(descriptor)


SYSTEM = System()
