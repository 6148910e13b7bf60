"""Request bodies too large to be buffered: they are forwarded piece by piece as they come, and never twice.

A buffered body can be sent with a retry; one that streams through can't, so a request whose body has begun
to flow gets no second attempt, whatever its class allows. Both directions follow the slower side (flow
control): who can't write on stops the one who reads, and the bytes between the two are bounded.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

BUFFER_BYTES = 64 * 1024  # of an upload that wait for its server; a buffered body may be as long
SOCKET_READ_NS = 50_000_000  # in which the kernel's part of a body is read, once reading resumes
MAX_FRAMING_FACTOR = 8  # times the body's own bytes that chunks may take, as for buffered bodies


class Sink(Protocol):
    """Where an upload's bytes go: a connection to a server.

    Attributes:
        unwritten: bytes wait for its socket.
    """

    unwritten: bool

    def write_on(self, data: bytes) -> None:
        """Write the next bytes."""
        ...

    def may_end(self) -> bool:
        """Return whether the last byte may still be sent; if not, this call has ended the attempt."""
        ...


class Upload:
    """The body of one request between its client's connection and the one to its server.

    Args:
        prefix: what has come of the body already.
        on_drain: called when less than `BUFFER_BYTES` waits again.

    Attributes:
        length: bytes that were announced; None where the body comes in chunks.
        begun: bytes of it have gone to a server, so it can't be sent again.
        sent: its last byte has gone to the server's connection.
        passed: bytes that went to a server's connection so far.
        whole_ns: when its last byte had come, in nanoseconds of `Clock`; 0 before.
        stopped_ns, resumed_ns: when reading it was last stopped and resumed; 0 if it never was.
        on_whole: called once, when its last byte has come.
        problem: code and text with which the request is to be answered, if the body can't be read on.
    """

    __slots__ = (
        "begun",
        "buffered",
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
        self.length = length
        self.buffered: list[bytes] = [prefix] if prefix else []
        self.size = len(prefix)
        self.on_drain = on_drain
        self.on_whole: Callable[[], None] | None = None
        self.begun = self.sent = False
        self.passed = 0
        self.whole_ns = self.stopped_ns = self.resumed_ns = 0
        self.problem: tuple[int, bytes] | None = None
        self.sink: Sink | None = None
        self.stop: Callable[[], None] | None = None  # cancels the attempt that it flows to

    @property
    def full(self) -> bool:
        """Whether the client must wait."""
        return self.size >= BUFFER_BYTES

    def feed(self, data: bytes) -> None:
        """Take the next bytes of the body."""
        self.buffered.append(data)
        self.size += len(data)
        self.flow()

    @property
    def ended(self) -> bool:
        """Whether the last byte has come from the client."""
        return self.whole_ns > 0

    def finish(self, now_ns: int) -> None:
        """Record that the body is complete, and send its last byte when it may go.

        The client's deadline counts from its last byte. What was read right after a stop had come before the
        stop began, since less than `BUFFER_BYTES` of it fit any socket; so the time of the stop counts then.

        Args:
            now_ns: the time in nanoseconds of `Clock`.
        """
        stopped = self.resumed_ns < self.stopped_ns
        came_before = self.stopped_ns and (stopped or now_ns - self.resumed_ns < SOCKET_READ_NS)
        self.whole_ns = self.stopped_ns if came_before else now_ns
        if self.on_whole is not None:  # before the last byte goes, as its deadline is checked then
            self.on_whole()
        self.flow()

    def spoil(self, code: int, text: str) -> None:
        """Record that the body can't be read on: end its attempt.

        Args:
            code: of the response to its request.
            text: of that response.
        """
        self.problem = (code, f"{text}\n".encode())
        if self.stop is not None:
            self.stop()

    def attach(self, sink: Sink, stop: Callable[[], None]) -> bool:
        """Flow to a connection on which the request's head has been written.

        Args:
            sink: the connection.
            stop: cancels the attempt.

        Returns:
            False if the body can't be read on; the attempt has been cancelled then.
        """
        self.sink, self.stop = sink, stop
        if self.problem is not None:
            stop()
            return False
        self.begun = True
        self.flow()
        return True

    def detach(self) -> None:
        """Flow no more to the attempt, which is over."""
        self.sink = self.stop = None

    def flow(self) -> None:
        """Forward what waits, as far as the server reads it; the last byte only after all others.

        A server begins with a request when its last byte has come. So that byte is kept back until the body
        is complete and the kernel has accepted the rest, and `Sink.may_end` has confirmed the deadline.
        """
        sink = self.sink
        if sink is None or sink.unwritten or self.sent:
            return
        was_full = self.full
        self._forward(sink)
        if self.ended and not sink.unwritten and sink.may_end():
            self.sent = True
            last, self.buffered, self.size = b"".join(self.buffered), [], 0
            self.passed += len(last)
            sink.write_on(last if self.length is not None else b"0\r\n\r\n")
        if was_full and not self.full:
            self.on_drain()

    def _forward(self, sink: Sink) -> None:
        """Write what has come, without the last byte of a body whose length is known."""
        data, last = b"".join(self.buffered), b""
        if self.length is not None and self.passed + len(data) >= self.length:
            data, last = data[:-1], data[-1:]
        self.buffered, self.size = [last] if last else [], len(last)
        if data:
            self.passed += len(data)
            sink.write_on(data if self.length is not None else b"%x\r\n%s\r\n" % (len(data), data))
