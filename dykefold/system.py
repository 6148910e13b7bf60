"""Interface to the operating system beside the event loop: time, sockets, descriptors.

Code that receives a `System` uses no other clock and opens no other sockets, so the same code runs on a
simulated machine (`dykefold.sim`). On a real machine the methods are functions of the operating system, and
the interface costs one attribute look-up per call.
"""

from __future__ import annotations

import errno
import fcntl
import os
import resource
import select
import socket
import sys
import termios
import time
from typing import Protocol

# Errors of socket(2), connect(2) and send(2) that are due to missing resources or a policy of this machine.
LOCAL_ERRORS = frozenset(
    (
        errno.EACCES,
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,  # no free local port
        errno.EAGAIN,
        errno.EINTR,
        errno.EMFILE,
        errno.ENETDOWN,
        errno.ENETUNREACH,  # no route from this machine
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EPERM,  # packet filter on this machine
    )
)


def is_local_error(error: BaseException | None) -> bool:
    """Return whether a system call failed because of this machine, not because of the peer or the network.

    Refusals, resets, ETIMEDOUT and EHOSTUNREACH come from the peer or the network.
    """
    return isinstance(error, OSError) and error.errno in LOCAL_ERRORS


class ReadPoller(Protocol):
    """Detects unread bytes or the end of the stream on one socket."""

    def poll(self, timeout: float, /) -> list[tuple[int, int]]:
        """Return a non-empty list for an event, as `select.poll` does; the timeout is in milliseconds."""
        ...


class System:
    """Operating system of this process."""

    monotonic = staticmethod(time.monotonic)  # seconds
    monotonic_ns = staticmethod(time.monotonic_ns)
    time_ns = staticmethod(time.time_ns)  # Unix time

    def tcp_socket(self) -> socket.socket:
        """Open a non-blocking TCP socket over IPv4.

        Raises:
            OSError: The limit on descriptors is reached.
        """
        return socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK)

    def read_poller(self, sock: socket.socket) -> ReadPoller:
        """Return a poller for unread bytes on a socket; polling it is cheaper than a failing read."""
        poller = select.poll()
        poller.register(sock, select.POLLIN)
        return poller

    def read_or_close_poller(self, sock: socket.socket) -> ReadPoller:
        """Return a poller for unread bytes on a socket, or the end of the peer's stream after them."""
        poller = select.poll()
        poller.register(sock, select.POLLIN | select.POLLRDHUP)
        return poller

    def unread_byte_count(self, sock: socket.socket) -> int:
        """Return the number of unread bytes on a socket (tcp(7), SIOCINQ); 0 if it is unknown."""
        try:
            count = fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(4))
        # ValueError: the socket has been closed.
        except (OSError, ValueError):
            return 0
        return int.from_bytes(count, sys.byteorder)

    def resident_bytes(self) -> int:
        """Return the resident memory of this process in bytes (proc(5), statm); 0 if it is unknown."""
        try:
            with open("/proc/self/statm", "rb") as file:
                return int(file.read().split()[1]) * resource.getpagesize()
        except (OSError, ValueError, IndexError):
            return 0

    def open_reserve(self) -> int:
        """Open a reserve descriptor, to be closed when a descriptor is needed.

        Raises:
            OSError: The limit on descriptors is reached.
        """
        return os.open(os.devnull, os.O_RDONLY | os.O_CLOEXEC)

    def close_reserve(self, descriptor: int) -> None:
        """Close a reserve descriptor."""
        os.close(descriptor)


SYSTEM = System()
