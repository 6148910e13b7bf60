"""Streaming of request bodies that are too large to be buffered.

A buffered body can be sent again with a retry; a streamed one can't. Therefore a request gets no second
attempt once a part of its body has been forwarded, whatever its class allows. Flow control bounds the
buffered bytes: reading from one side pauses while the other side can't be written to.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

# Reading of an upload pauses while at least this many bytes are held for its endpoint.
UPLOAD_HIGH_WATER_BYTES = 64 * 1024
# The bytes that the kernel buffered during a pause are read within this time after reading resumes.
SOCKET_READ_NS = 50_000_000
# While the body is read as it arrives, an observation shows within this time that the client is sending.
MAX_OBSERVATION_AGE_NS = 250_000_000
# With fewer unread bytes the receive buffer has room, and nothing waits in the kernel of the client.
MIN_FULL_RECEIVE_BUFFER_BYTES = 16 * 1024
# Maximum bytes that a client may have written and that wait in its kernel (tcp(7), tcp_wmem).
MAX_CLIENT_SEND_BUFFER_BYTES = 4 * 1024 * 1024
# Maximum bytes on the wire for each byte of a chunked body, buffered or streamed.
MAX_FRAMING_FACTOR = 8


class Sink(Protocol):
    """The connection to an endpoint that an upload is written to.

    Attributes:
        unwritten: Whether bytes wait to be written to the socket.
    """

    unwritten: bool

    def unsent_bytes(self) -> int:
        """Return the number of bytes that wait to be written to the socket."""
        ...

    def write(self, data: bytes) -> None:
        """Write the next bytes of the body."""
        ...

    def may_send_last_byte(self) -> bool:
        """Return whether the last byte may still be sent; if not, the attempt has ended."""
        ...


class Upload:
    """The body of one request, streamed from the client's connection to the endpoint's.

    Args:
        length: Length of the body in bytes, by its Content-Length; None for a chunked body.
        prefix: First bytes of the body, which have been read already.
        on_drain: Callback for when fewer than `UPLOAD_HIGH_WATER_BYTES` bytes are held again.
        began_ns: Time at which the head of the request arrived, nanoseconds of `Clock`.
        observe: Callback that calls `observe_arrival` with the present counts; None if there is none.

    Attributes:
        buffered: Part of the body that waits for the endpoint.
        started: Whether forwarding to an endpoint has begun, so that the body can't be sent again.
        sent: Whether the last byte has been written to the endpoint's connection.
        forwarded_bytes: Number of bytes of the body that have been written to the endpoint's connection.
        completed_ns: Time at which the client sent the last byte, nanoseconds of `Clock`; 0 before.
        unfinished_ns: Latest time at which the client had not sent all yet, nanoseconds of `Clock`.
        paused: Whether reading is paused.
        resumed_ns: Time at which reading was last resumed, nanoseconds of `Clock`; 0 if it never was.
        on_complete: Callback for when the last byte has been read from the client.
        rejection: Code and text of the response if the rest of the body can't be read.
        sink: Connection that the body is forwarded to; None while there is none.
        stop: Callback that cancels the attempt that the body is forwarded to.
    """

    __slots__ = (
        "_drain_awaited",
        "buffered",
        "completed_ns",
        "forwarded_bytes",
        "length",
        "observe",
        "on_complete",
        "on_drain",
        "paused",
        "rejection",
        "resumed_ns",
        "sent",
        "sink",
        "started",
        "stop",
        "unfinished_ns",
    )

    def __init__(
        self,
        length: int | None,
        prefix: bytes,
        on_drain: Callable[[], None],
        began_ns: int = 0,
        observe: Callable[[], None] | None = None,
    ) -> None:
        self.length = length
        self.buffered = bytearray(prefix)  # In one piece: objects of small chunks would take far more memory.
        self.on_drain = on_drain
        self.on_complete: Callable[[], None] | None = None
        self.started = self.sent = False
        self.forwarded_bytes = 0
        self.completed_ns = self.resumed_ns = 0
        self.unfinished_ns = began_ns
        self.observe = observe
        self.paused = False
        self._drain_awaited = False
        self.rejection: tuple[int, bytes] | None = None
        self.sink: Sink | None = None
        self.stop: Callable[[], None] | None = None

    @property
    def full(self) -> bool:
        """Whether reading from the client must pause."""
        held_bytes = len(self.buffered)
        if self.sink is not None and self.sink.unwritten:
            held_bytes += self.sink.unsent_bytes()
        return held_bytes >= UPLOAD_HIGH_WATER_BYTES

    def must_pause(self) -> bool:
        """Return whether reading must pause; `on_drain` is called once it may go on."""
        self._drain_awaited = self.full
        return self._drain_awaited

    def feed(self, data: bytes) -> None:
        """Accept the next bytes of the body, and forward as much as the endpoint accepts."""
        self.buffered += data
        self.flow()

    @property
    def ended(self) -> bool:
        """Whether the last byte has been read from the client."""
        return self.completed_ns > 0

    def observe_arrival(
        self, now_ns: int, unparsed_bytes: int, unread_bytes: int, just_read_bytes: int = 0
    ) -> None:
        """Record how much of the body has arrived; called from time to time while it arrives.

        The client's deadline counts from the moment at which its kernel accepted the last byte, which can't
        be observed: while the receive buffer is full, any part of the rest may wait in the client's kernel.

        Args:
            now_ns: Current time, nanoseconds of `Clock`.
            unparsed_bytes: Number of bytes that were read and not parsed yet.
            unread_bytes: Number of bytes that wait in the kernel's receive buffer.
            just_read_bytes: Size of a read that took place just now, after which the buffer may not be filled
                again yet.
        """
        may_be_full = max(unread_bytes, just_read_bytes) >= MIN_FULL_RECEIVE_BUFFER_BYTES
        if self.length is None:  # The end may be anywhere in the bytes that are not parsed.
            unfinished = not unparsed_bytes and not unread_bytes and not may_be_full
        else:
            missing_bytes = self.missing_bytes() - unparsed_bytes - unread_bytes
            unfinished = missing_bytes > (MAX_CLIENT_SEND_BUFFER_BYTES if may_be_full else 0)
        if unfinished:
            self.unfinished_ns = now_ns

    def missing_bytes(self) -> int:
        """Return the number of bytes of a body with a length that are not parsed yet."""
        return (self.length or 0) - self.forwarded_bytes - len(self.buffered)

    def set_paused(self, on: bool, now_ns: int) -> None:
        """Record that reading from the client pauses (`on`) or resumes."""
        self.paused = on
        if not on:
            self.resumed_ns = now_ns

    def finish(self, now_ns: int) -> None:
        """Record that the body is complete, and forward its last byte if possible.

        The client's deadline counts from its last byte. Bytes that are read during a pause or soon after it
        may have been sent long before; then the deadline counts from `unfinished_ns`.

        Args:
            now_ns: Current time, nanoseconds of `Clock`.
        """
        read_late = (
            self.paused
            or now_ns - self.resumed_ns < SOCKET_READ_NS
            or now_ns - self.unfinished_ns > MAX_OBSERVATION_AGE_NS
        )
        self.completed_ns = min(self.unfinished_ns, now_ns) if read_late and self.unfinished_ns else now_ns
        if self.on_complete is not None:  # sets the deadline, checked before the last byte is written
            self.on_complete()
        self.flow()

    def fail(self, code: int, text: str) -> None:
        """Record that the rest of the body can't be read, and cancel the attempt.

        Args:
            code: HTTP status code of the response to the request.
            text: Text of the response, without a line end.
        """
        self.rejection = (code, f"{text}\n".encode())
        if self.stop is not None:
            self.stop()

    def attach(self, sink: Sink, stop: Callable[[], None]) -> bool:
        """Forward the body to a connection on which the request's head has been written.

        Args:
            sink: Connection to the endpoint.
            stop: Callback that cancels the attempt.

        Returns:
            True if the body is being forwarded; False if the rest of the body can't be read from the client,
            in which case the attempt has been cancelled.
        """
        self.sink, self.stop = sink, stop
        if self.rejection is not None:
            stop()
            return False
        self.started = True
        self.flow()
        return True

    def detach(self) -> None:
        """Stop forwarding to an attempt that has ended."""
        self.sink = self.stop = None

    def flow(self) -> None:
        """Forward the waiting bytes as the endpoint reads them; the last byte only after all others.

        An endpoint starts a request when its last byte has arrived (PROTOCOL, sidecars to servers). Therefore
        that byte is not written until the body is complete, the kernel has accepted the rest, and
        `Sink.may_send_last_byte` has confirmed the deadline.
        """
        sink = self.sink
        if sink is None or sink.unwritten or self.sent:
            return
        self._forward(sink)
        if self.ended and not sink.unwritten and sink.may_send_last_byte():
            self.sent = True
            last, self.buffered = bytes(self.buffered), bytearray()
            self.forwarded_bytes += len(last)
            sink.write(last if self.length is not None else b"0\r\n\r\n")
        if self._drain_awaited and not self.full:
            self._drain_awaited = False
            self.on_drain()

    def _forward(self, sink: Sink) -> None:
        """Write the waiting bytes, except the last byte of a body whose length is known."""
        data, last = bytes(self.buffered), b""
        if self.length is not None and self.forwarded_bytes + len(data) >= self.length:
            data, last = data[:-1], data[-1:]
        self.buffered = bytearray(last)
        if data:
            self.forwarded_bytes += len(data)
            sink.write(data if self.length is not None else b"%x\r\n%s\r\n" % (len(data), data))
