"""A `System` whose sockets fail, shorten and interrupt, by script or by seed.

The sockets are real ones. What goes through Python (connect, accept, socket options, `Connection.send`, and
all of what asyncio's own loop does) can fail; what uvloop does with a descriptor of its own can't, so
tests of established connections run on `asyncio.new_event_loop` (`run_plain`).
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

CALLS = ("socket", "accept", "connect", "send", "sendto", "recv", "setsockopt", "getsockopt", "getsockname")
CALLS += ("getpeername", "shutdown")
WAIT = 20.0  # seconds until a test gives up


def error_of(number):
    """The OSError as Python raises it for an errno (a subclass of it for some)."""
    return OSError(number, os.strerror(number))


class Rule:
    """One way in which a call goes wrong, until it is used up or over."""

    def __init__(self, number=None, short=None, after=0, times=None, until_s=None, part=1.0):
        self.number = number  # errno; None: none
        self.short = short  # bytes that a read or write takes at most
        self.after = after  # calls that go well first
        self.times = times  # calls that fail; None: all
        self.until_s = until_s  # monotonic; None: for ever
        self.part = part  # of calls, by seed

    def wants(self, chance):
        if self.times == 0 or (self.until_s is not None and time.monotonic() >= self.until_s):
            return False
        if self.after:
            self.after -= 1
            return False
        if self.part < 1.0 and chance.random() >= self.part:
            return False
        if self.times is not None:
            self.times -= 1
        return True


class Faults:
    """What goes wrong, by call; the first rule that applies counts."""

    def __init__(self, seed=1):
        self.chance = random.Random(seed)
        self.rules = {call: [] for call in CALLS}
        self.made = Counter()  # (call, errno's name or "short"): times

    def on(self, call, number=None, *, for_s=None, **rule):
        """Have a call fail with an errno, or be short; `for_s`: seconds from now."""
        until_s = None if for_s is None else time.monotonic() + for_s
        self.rules[call].append(Rule(number, until_s=until_s, **rule))
        return self

    def by_seed(self, part, **numbers):
        """Have a part of all calls fail, each with one of its errnos: connect=(errno.ENOBUFS, ...)."""
        for call, every in numbers.items():
            for number in every:
                self.on(call, number, part=part / len(every))
        return self

    def clear(self):
        for rules in self.rules.values():
            rules.clear()

    def meet(self, call):
        """Raise what a rule says; else the bytes that a read or write may take (None: all)."""
        for rule in self.rules[call]:
            if not rule.wants(self.chance):
                continue
            if rule.number is None:
                self.made[call, "short"] += 1
                return rule.short
            self.made[call, errno.errorcode[rule.number]] += 1
            raise error_of(rule.number)
        return None


class FaultySocket(socket.socket):
    """A real socket, some of whose calls fail."""

    faults: Faults

    @classmethod
    def over(cls, sock, faults):
        """Take a socket over: its descriptor and its mode."""
        timeout = sock.gettimeout()
        taken = cls(fileno=sock.detach())
        taken.settimeout(timeout)
        taken.faults = faults
        return taken

    def accept(self):
        self.faults.meet("accept")
        sock, address = super().accept()
        sock.setblocking(self.getblocking())
        return FaultySocket.over(sock, self.faults), address

    def connect(self, address):
        try:
            self.faults.meet("connect")
        except InterruptedError:  # a connect that is interrupted goes on by itself (connect(2))
            with contextlib.suppress(BlockingIOError):
                super().connect(address)
            raise
        return super().connect(address)

    def send(self, data, flags=0):
        most = self.faults.meet("send")
        return super().send(data if most is None else memoryview(data)[:most], flags)

    def sendmsg(self, buffers, *more):
        most = self.faults.meet("send")
        return super().sendmsg(buffers if most is None else [b"".join(buffers)[:most]], *more)

    def sendto(self, *arguments):
        self.faults.meet("sendto")
        return super().sendto(*arguments)

    def recv(self, size, flags=0):
        most = self.faults.meet("recv")
        return super().recv(size if most is None else min(size, most), flags)

    def recv_into(self, buffer, size=0, flags=0):
        most = self.faults.meet("recv")
        return super().recv_into(buffer, size if most is None else most, flags)

    def setsockopt(self, *arguments):
        self.faults.meet("setsockopt")
        return super().setsockopt(*arguments)

    def getsockopt(self, *arguments):
        self.faults.meet("getsockopt")
        return super().getsockopt(*arguments)

    def getsockname(self):
        self.faults.meet("getsockname")
        return super().getsockname()

    def getpeername(self):
        self.faults.meet("getpeername")
        return super().getpeername()

    def shutdown(self, how):
        self.faults.meet("shutdown")
        return super().shutdown(how)


class FaultySystem(System):
    """The machine, with faults; `made` keeps the sockets that it gave out."""

    def __init__(self, faults=None):
        self.faults = faults or Faults()
        self.made = []

    def tcp_socket(self):
        self.faults.meet("socket")
        sock = FaultySocket.over(super().tcp_socket(), self.faults)
        self.made.append(sock)
        return sock

    def take(self, sock):
        """A faulty socket in the place of a plain one (a listening one, say)."""
        return FaultySocket.over(sock, self.faults)

    def open_ones(self):
        """Those of its sockets that still have a descriptor."""
        return [sock for sock in self.made if sock.fileno() >= 0]


def run_plain(coroutine):
    """Run a test on asyncio's own loop, whose reads and writes go through the faulty sockets."""

    async def bounded():
        async with asyncio.timeout(3 * WAIT):
            return await coroutine

    with asyncio.Runner(loop_factory=asyncio.new_event_loop) as runner:
        return runner.run(bounded())
