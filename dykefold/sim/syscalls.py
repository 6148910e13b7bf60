"""System calls that fail for a while, drawn by seed: what Linux documents of each. No I/O.

While no such fault of the world (`schedule.py`) holds on a host nothing is
drawn, so that a world without them plays as before.
"""

from __future__ import annotations

import errno
from enum import StrEnum

from .kernel import stream

FAILING_SHARES = (
    0.1,
    0.5,
    1.0,
)  # of the calls fail while a fault lasts, one of these for each fault
BREAKING_SHARES = (0.01, 0.03, 0.1)  # Of calls whose failure ends a connection.


class SystemCall(StrEnum):
    """Calls of a process that may fail; named after the fault that has them fail."""

    ACCEPT = "accepts"
    SOCKET = "sockets"
    CONNECT = "connects"  # before anything has left the machine
    ROUTE = "routes"  # by what the other side or the way to it has answered
    SEND = "sends"
    RECEIVE = "receives"
    SHORT = "shorts"
    DATAGRAM = "datagrams"
    OPTION = "options"


ERRORS: dict[SystemCall, tuple[int, ...]] = {
    SystemCall.ACCEPT: (
        errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPROTO,
    ),
    SystemCall.SOCKET: (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM),
    SystemCall.CONNECT: (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.EINTR),
    SystemCall.ROUTE: (errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ETIMEDOUT),
    SystemCall.SEND: (errno.ECONNRESET, errno.EPIPE, errno.ETIMEDOUT, errno.EHOSTUNREACH),
    SystemCall.RECEIVE: (errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH),
    SystemCall.SHORT: (errno.EAGAIN,),  # no error: less than was asked for
    SystemCall.DATAGRAM: (errno.ENOBUFS, errno.EPERM, errno.ECONNREFUSED),
    SystemCall.OPTION: (errno.EINVAL, errno.ENOTCONN, errno.ENOBUFS),
}  # fmt: skip
TAKES_ONE = frozenset(
    (errno.ECONNABORTED, errno.EPROTO)
)  # an accept that fails so has used up its connection
BREAKS = frozenset((SystemCall.SEND, SystemCall.RECEIVE, SystemCall.OPTION))


class FailingCalls:
    """Which calls fail, of which hosts.

    Attributes:
        shares: Fractions of the calls that fail, one for each present fault, by host and call.
        count: Number of calls that have failed.
    """

    def __init__(self, seed: int) -> None:
        self.random = stream(seed, "syscalls")
        self.shares: dict[tuple[str, SystemCall], list[float]] = {}
        self.count = 0

    def begin(self, host: str, call: SystemCall) -> float:
        """Have a call of a host fail from now on; returns the share of the calls, which `end` asks for."""
        share = self.random.choice(BREAKING_SHARES if call in BREAKS else FAILING_SHARES)
        self.shares.setdefault((host, call), []).append(share)
        return share

    def end(self, host: str, call: SystemCall, share: float) -> None:
        """End a fault that `begin` has begun."""
        self.shares[host, call].remove(share)

    def error(self, host: str, call: SystemCall) -> int:
        """Return the errno with which a call fails; 0 if it does not."""
        shares = self.shares.get((host, call))
        if not shares or self.random.random() >= max(shares):
            return 0
        self.count += 1
        return self.random.choice(ERRORS[call])
