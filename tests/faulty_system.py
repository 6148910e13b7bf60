"""A `System` that injects scripted or random faults into the calls of real sockets: errors, short transfers.

Faults affect calls that go through Python: connect, accept, socket options, `Connection.send`, and all calls
of asyncio's own loop. They do not affect calls that uvloop makes on a descriptor itself, so tests of
established connections run on `asyncio.new_event_loop` (`run_on_asyncio_loop`).
"""

import asyncio
import contextlib
import errno
import os
import random
import socket
import time
from collections import Counter

from dykefold.system import System

SOCKET_CALLS = (
    "socket",
    "accept",
    "connect",
    "send",
    "sendto",
    "recv",
    "setsockopt",
    "getsockopt",
    "getsockname",
)
SOCKET_CALLS += ("getpeername", "shutdown")
TIMEOUT_S = 20.0


def os_error(error_number):
    """Create the OSError, or the subclass of it, that Python raises for an errno."""
    return OSError(error_number, os.strerror(error_number))


class FaultRule:
    """A fault of one call.

    Attributes:
        error_number: Errno that the call fails with; None for no error.
        max_bytes: Maximum number of bytes that a read or write transfers.
        skipped_calls: Number of calls that still succeed before the first fault.
        fault_count: Number of faults that are left; None for no limit.
        until_s: Monotonic time in seconds at which the faults end; None for no end.
        probability: Probability that the rule applies to a call.
    """

    def __init__(
        self,
        error_number=None,
        max_bytes=None,
        skipped_calls=0,
        fault_count=None,
        until_s=None,
        probability=1.0,
    ):
        self.error_number = error_number
        self.max_bytes = max_bytes
        self.skipped_calls = skipped_calls
        self.fault_count = fault_count
        self.until_s = until_s
        self.probability = probability

    def applies(self, random_generator):
        if self.fault_count == 0 or (self.until_s is not None and time.monotonic() >= self.until_s):
            return False
        if self.skipped_calls:
            self.skipped_calls -= 1
            return False
        if self.probability < 1.0 and random_generator.random() >= self.probability:
            return False
        if self.fault_count is not None:
            self.fault_count -= 1
        return True


class Faults:
    """Fault rules by call; the first rule that applies to a call takes effect.

    Attributes:
        random: Random generator that decides on rules with a probability.
        rules: Rules by name of the call.
        counts: Number of injected faults by call and name of the errno or "short".
    """

    def __init__(self, seed=1):
        self.random = random.Random(seed)
        self.rules = {call: [] for call in SOCKET_CALLS}
        self.counts = Counter()

    def add(self, call, error_number=None, *, duration_s=None, **rule):
        """Add a rule for a call, which applies for a duration in seconds (None for no end)."""
        until_s = None if duration_s is None else time.monotonic() + duration_s
        self.rules[call].append(FaultRule(error_number, until_s=until_s, **rule))
        return self

    def add_random(self, probability, **error_numbers):
        """Add random errors to calls.

        Args:
            probability: Probability that a call fails, divided equally among its errnos.
            **error_numbers: Errnos by call, such as `connect=(errno.ENOBUFS, ...)`.
        """
        for call, call_errors in error_numbers.items():
            for error_number in call_errors:
                self.add(call, error_number, probability=probability / len(call_errors))
        return self

    def clear(self):
        for rules in self.rules.values():
            rules.clear()

    def inject(self, call):
        """Inject the fault of the first rule that applies to a call.

        Returns:
            Maximum number of bytes that a read or write may transfer; None for no limit.

        Raises:
            OSError: The rule has an errno.
        """
        for rule in self.rules[call]:
            if not rule.applies(self.random):
                continue
            if rule.error_number is None:
                self.counts[call, "short"] += 1
                return rule.max_bytes
            self.counts[call, errno.errorcode[rule.error_number]] += 1
            raise os_error(rule.error_number)
        return None


class FaultySocket(socket.socket):
    """A real socket with faults in its calls."""

    faults: Faults

    @classmethod
    def wrap(cls, sock, faults):
        """Create a faulty socket with the descriptor and the timeout of a plain one, which is detached."""
        timeout = sock.gettimeout()
        wrapped = cls(fileno=sock.detach())
        wrapped.settimeout(timeout)
        wrapped.faults = faults
        return wrapped

    def accept(self):
        self.faults.inject("accept")
        sock, address = super().accept()
        sock.setblocking(self.getblocking())
        return FaultySocket.wrap(sock, self.faults), address

    def connect(self, address):
        try:
            self.faults.inject("connect")
        except InterruptedError:  # an interrupted connect continues asynchronously (connect(2))
            with contextlib.suppress(BlockingIOError):
                super().connect(address)
            raise
        return super().connect(address)

    def send(self, data, flags=0):
        max_bytes = self.faults.inject("send")
        return super().send(data if max_bytes is None else memoryview(data)[:max_bytes], flags)

    def sendmsg(self, buffers, *arguments):
        max_bytes = self.faults.inject("send")
        return super().sendmsg(buffers if max_bytes is None else [b"".join(buffers)[:max_bytes]], *arguments)

    def sendto(self, *arguments):
        self.faults.inject("sendto")
        return super().sendto(*arguments)

    def recv(self, size, flags=0):
        max_bytes = self.faults.inject("recv")
        return super().recv(size if max_bytes is None else min(size, max_bytes), flags)

    def recv_into(self, buffer, size=0, flags=0):
        max_bytes = self.faults.inject("recv")
        return super().recv_into(buffer, size if max_bytes is None else max_bytes, flags)

    def setsockopt(self, *arguments):
        self.faults.inject("setsockopt")
        return super().setsockopt(*arguments)

    def getsockopt(self, *arguments):
        self.faults.inject("getsockopt")
        return super().getsockopt(*arguments)

    def getsockname(self):
        self.faults.inject("getsockname")
        return super().getsockname()

    def getpeername(self):
        self.faults.inject("getpeername")
        return super().getpeername()

    def shutdown(self, how):
        self.faults.inject("shutdown")
        return super().shutdown(how)


class FaultySystem(System):
    """The real machine with faults in its socket calls.

    Attributes:
        faults: Faults of all its sockets.
        sockets: All TCP sockets that it has created.
    """

    def __init__(self, faults=None):
        self.faults = faults or Faults()
        self.sockets = []

    def tcp_socket(self):
        self.faults.inject("socket")
        sock = FaultySocket.wrap(super().tcp_socket(), self.faults)
        self.sockets.append(sock)
        return sock

    def wrap(self, sock):
        """Replace a plain socket, such as a listening one, by a faulty one."""
        return FaultySocket.wrap(sock, self.faults)

    def open_sockets(self):
        """Return the created sockets that still have a descriptor."""
        return [sock for sock in self.sockets if sock.fileno() >= 0]


def run_on_asyncio_loop(coroutine):
    """Run a test on asyncio's own loop, whose reads and writes go through the faulty sockets."""

    async def run_with_timeout():
        async with asyncio.timeout(3 * TIMEOUT_S):
            return await coroutine

    with asyncio.Runner(loop_factory=asyncio.new_event_loop) as runner:
        return runner.run(run_with_timeout())
