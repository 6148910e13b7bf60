"""Bodies too large to be held: they go on piece by piece as they come, and never twice.

A body that is held can be sent again; one that passes through can't, so a request whose body has begun to
flow gets no second attempt, whatever its class allows. Both directions are paced by the slower side: who
can't write on stops the one who reads, and what waits between the two is bounded.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

BUFFER_BYTES = 64 * 1024  # of an upload that wait for its server; a whole body that is held may be as long
REST_NS = 50_000_000  # in which what the kernel holds of a body is read, once it is read on
FRAMING_MOST = 8  # times the body's own bytes that chunks may take, as for bodies that are held


class Sink(Protocol):
    """Where an upload's bytes go: a connection to a server."""

    unwritten: bool  # bytes wait for its socket

    def write_on(self, data: bytes) -> None: ...

    def may_end(self) -> bool:
        """Whether the last byte may still go; where it may not, the attempt is over behind this call."""
        ...


class Upload:
    """The body of one request between its client's connection and the one to its server.

    Attributes:
        length: bytes that were announced; None where the body comes in chunks.
        begun: bytes of it have gone to a server, so it can't be sent again.
        sent: its last byte has gone to the server's connection.
        passed: bytes that went to a server's connection so far.
        whole_ns: when its last byte had come, on the clock; 0 before.
        stopped_ns, resumed_ns: when reading it was last stopped and begun again; 0 if it never was.
        on_whole: called then, once.
        problem: code and text with which the request is to be answered, if the body can't be read on.
    """

    __slots__ = (
        "begun",
        "held",
        "length",
        "on_drain",
        "on_whole",
        "passed",
        "problem",
        "resumed_ns",
        "sent",
        "sink",
        "size",
        "stop",
        "stopped_ns",
        "whole_ns",
    )

    def __init__(self, length: int | None, prefix: bytes, on_drain: Callable[[], None]) -> None:
        """Make an upload.

        Args:
            prefix: what has come of the body already.
            on_drain: called when less waits than `BUFFER_BYTES` again.
        """
        self.length = length
        self.held: list[bytes] = [prefix] if prefix else []
        self.size = len(prefix)
        self.on_drain = on_drain
        self.on_whole: Callable[[], None] | None = None
        self.begun = self.sent = False
        self.passed = 0
        self.whole_ns = self.stopped_ns = self.resumed_ns = 0
        self.problem: tuple[int, bytes] | None = None
        self.sink: Sink | None = None
        self.stop: Callable[[], None] | None = None  # gives up the attempt that it flows to

    @property
    def full(self) -> bool:
        """Whether the client must wait."""
        return self.size >= BUFFER_BYTES

    def feed(self, data: bytes) -> None:
        """Take the next bytes of the body."""
        self.held.append(data)
        self.size += len(data)
        self.flow()

    @property
    def ended(self) -> bool:
        """Whether its last byte has come from the client."""
        return self.whole_ns > 0

    def finish(self, now_ns: int) -> None:
        """The body is whole.

        Guards the answer against coming too late: what was read right after a stop had come by its beginning,
        since less than `BUFFER_BYTES` of it fit any socket, and the client's time counts from its last byte.
        """
        still = self.resumed_ns < self.stopped_ns
        rest = self.stopped_ns and (still or now_ns - self.resumed_ns < REST_NS)
        self.whole_ns = self.stopped_ns if rest else now_ns
        if self.on_whole is not None:  # before its last byte goes, which is asked for its deadline
            self.on_whole()
        self.flow()

    def spoil(self, code: int, text: str) -> None:
        """The body can't be read on: its attempt ends, and its request is answered with this."""
        self.problem = (code, f"{text}\n".encode())
        if self.stop is not None:
            self.stop()

    def attach(self, sink: Sink, stop: Callable[[], None]) -> bool:
        """Flow to a connection on which the request's head has been written; False if it is spoilt."""
        self.sink, self.stop = sink, stop
        if self.problem is not None:
            stop()
            return False
        self.begun = True
        self.flow()
        return True

    def detach(self) -> None:
        """The attempt that it flowed to is over."""
        self.sink = self.stop = None

    def flow(self) -> None:
        """Pass on what waits, as far as the server takes it; the last byte only behind all others.

        A server begins with a request when its last byte has come, so that is kept back until the body is
        whole and the kernel has taken the rest, and asked for once more.
        """
        sink = self.sink
        if sink is None or sink.unwritten or self.sent:
            return
        was_full = self.full
        self._pass_on(sink)
        if self.ended and not sink.unwritten and sink.may_end():
            self.sent = True
            last, self.held, self.size = b"".join(self.held), [], 0
            self.passed += len(last)
            sink.write_on(last if self.length is not None else b"0\r\n\r\n")
        if was_full and not self.full:
            self.on_drain()

    def _pass_on(self, sink: Sink) -> None:
        """Write what has come, without the last byte of a body whose length is known."""
        data, last = b"".join(self.held), b""
        if self.length is not None and self.passed + len(data) >= self.length:
            data, last = data[:-1], data[-1:]
        self.held, self.size = [last] if last else [], len(last)
        if data:
            self.passed += len(data)
            sink.write_on(data if self.length is not None else b"%x\r\n%s\r\n" % (len(data), data))
