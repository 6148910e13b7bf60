"""Injected system call failures, random by seed, with the errors that Linux documents for each call. No I/O.

While no such fault (`schedule.py`) is active on a host, no random number is drawn, so that the runs of
worlds without these faults stay the same.
"""

from __future__ import annotations

import errno
from enum import StrEnum

from .kernel import stream

FAILING_SHARES = (0.1, 0.5, 1.0)  # Fractions of calls that fail; each fault picks one of them.
CONNECTION_ENDING_SHARES = (0.01, 0.03, 0.1)  # The same for calls whose failure ends a connection.


class SystemCall(StrEnum):
    """System calls that may fail; each value is the name of the fault that injects the failures."""

    ACCEPT = "accepts"
    SOCKET = "sockets"
    CONNECT = "connects"  # Fails locally, before any packet is sent.
    ROUTE = "routes"  # A connect that fails by the answer of the peer or of the network.
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
    SystemCall.SHORT: (errno.EAGAIN,),  # No error: fewer bytes than requested.
    SystemCall.DATAGRAM: (errno.ENOBUFS, errno.EPERM, errno.ECONNREFUSED),
    SystemCall.OPTION: (errno.EINVAL, errno.ENOTCONN, errno.ENOBUFS),
}  # fmt: skip
# An accept that fails with one of these loses the pending connection.
ACCEPT_ERRORS_LOSING_CONNECTION = frozenset((errno.ECONNABORTED, errno.EPROTO))
CALLS_ENDING_CONNECTION = frozenset((SystemCall.SEND, SystemCall.RECEIVE, SystemCall.OPTION))


class FailingCalls:
    """The injected system call failures of all hosts.

    Attributes:
        shares: Fractions of the calls that fail, one for each active fault, by host and call.
        count: Number of calls that have failed.
    """

    def __init__(self, seed: int) -> None:
        self.random = stream(seed, "syscalls")
        self.shares: dict[tuple[str, SystemCall], list[float]] = {}
        self.count = 0

    def begin(self, host: str, call: SystemCall) -> float:
        """Start failing a call of a host; returns the fraction of failing calls, an argument of `end`."""
        share = self.random.choice(
            CONNECTION_ENDING_SHARES if call in CALLS_ENDING_CONNECTION else FAILING_SHARES
        )
        self.shares.setdefault((host, call), []).append(share)
        return share

    def end(self, host: str, call: SystemCall, share: float) -> None:
        """End a fault that `begin` has started."""
        self.shares[host, call].remove(share)

    def error(self, host: str, call: SystemCall) -> int:
        """Return the errno with which a call fails; 0 if it does not."""
        shares = self.shares.get((host, call))
        if not shares or self.random.random() >= max(shares):
            return 0
        self.count += 1
        return self.random.choice(ERRORS[call])
