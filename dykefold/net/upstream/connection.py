"""A connection to an endpoint, with at most one exchange on it.

States of a connection:

==========  ==================================================  ============================================
state       in the attributes                                   goes on to
==========  ==================================================  ============================================
connecting  `transport` is None                                 sending, idle or closed
idle        `exchange` is None, it stands in `upstream.idle`    sending, or closed: too old, closed by its
                                                                endpoint, or bytes that belong to no request
sending     `exchange` is set, `incomplete` is true             receiving, or closed
receiving   `exchange` is set, `incomplete` is false            idle after a whole response that permits it,
                                                                else closed
closed      `closed` is true                                    nothing
==========  ==================================================  ============================================

A response may come before the request is written whole: it ends the exchange, and its connection is closed.

`incomplete` is the line between "never ran" and "may have run", which the module `exchange` describes. The
transport may have written its buffer before it reports that (uvloop reports it a turn of the loop later), so
the last byte of a request is withheld until all bytes before it have been written, and is written by itself.
Where the body follows as its client sends it, `Upload` withholds the last byte likewise.
"""

from __future__ import annotations

import asyncio
import socket

from ...balancer.events import Status
from ...system import Watch, is_local_error
from ..read_scheduler import SLICE_BYTES, cut
from .abort import abort_connection
from .classify import classify, classify_break
from .endpoint_connections import Upstream
from .exchange import Exchange
from .resources import ConnectionResources
from .response_reader import ResponseReader

# Seconds without a byte of a response that has begun; endpoints write a response when it is ready.
MAX_STALL_S = 0.5
# A connection that is reset sooner after the request was written was dead before: nothing read the request.
DEAD_WITHIN_S = 0.05
# Value of `idle_since_s` before a connection is idle for the first time; each request reads that attribute.
NEVER_IDLE_S = 0.0


class UpstreamConnection(asyncio.Protocol):
    """A connection to an endpoint: writes requests, has responses read, and closes once.

    Args:
        resources: Collaborators that all connections of the pool share.
        upstream: The endpoint.
        sock: Socket of the connection, which `connector.establish` connects.
        readiness: Watch on the socket: whether bytes or its end wait to be read (`poll(0)`).

    Attributes:
        generation: Generation of the endpoint when the connection was begun.
        lag_monitor: Monitor that is notified of how long the parsing took; None if that is not measured.
        reader: Reader of the responses.
        exchange: Exchange on the connection; None between exchanges.
        transport: Transport that the loop has made of the socket; None while it connects.
        unwritten: Whether bytes wait in the transport.
        last_byte: Last byte of the request, withheld until all bytes before it have been written.
        closed: Whether the connection is neither counted nor used any more.
        idle_since_s: Time in seconds at which the connection last became idle; `NEVER_IDLE_S` before.
        idle_before_s: Seconds for which the connection was idle before its exchange; None for the first one.
        sent_at_s: Time in seconds at which the latest exchange was written; None before the first one.
        unparsed: Bytes that wait to be parsed in slices.
        scheduled: Whether the read scheduler will parse the next slice.
        blocked: Whether reading is stopped because the client takes no more of a streamed response.
        stalled: Timer that runs while more of a buffered response is awaited.
    """

    # A dictionary of more than 30 attributes shares no keys (CPython 3.11), and its look-ups cost a hash.
    __slots__ = (
        "__weakref__",
        "blocked",
        "closed",
        "exchange",
        "generation",
        "idle_before_s",
        "idle_since_s",
        "lag_monitor",
        "last_byte",
        "monotonic",
        "owner",
        "reader",
        "readiness",
        "resources",
        "scheduled",
        "sent_at_s",
        "sock",
        "stalled",
        "transport",
        "unparsed",
        "unwritten",
        "upstream",
    )

    def __init__(
        self,
        resources: ConnectionResources[UpstreamConnection],
        upstream: Upstream[UpstreamConnection],
        sock: socket.socket,
        readiness: Watch,
    ) -> None:
        self.resources = resources
        self.owner = resources.owner
        self.monotonic = resources.monotonic
        self.lag_monitor = resources.read_scheduler.lag_monitor
        self.reader = ResponseReader(resources.memory)
        self.upstream = upstream
        self.generation = upstream.generation
        self.sock = sock
        self.readiness = readiness
        self.exchange: Exchange | None = None
        self.transport: asyncio.Transport | None = None
        self.last_byte = b""
        self.idle_since_s = NEVER_IDLE_S
        self.idle_before_s: float | None = None
        self.sent_at_s: float | None = None
        self.unparsed: memoryview | None = None
        self.unwritten = self.closed = self.scheduled = self.blocked = False
        self.stalled: asyncio.TimerHandle | None = None

    @property
    def size(self) -> int:
        """Bytes that have been read for the exchange."""
        return self.reader.size

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, and have it report whenever bytes wait to be written."""
        self.transport = transport  # type: ignore[assignment]
        transport.set_write_buffer_limits(high=0)  # type: ignore[attr-defined]

    def pause_writing(self) -> None:
        """Record that bytes wait in the transport."""
        self.unwritten = True

    def resume_writing(self) -> None:
        """Write the last byte or more of the body, as the transport has written all that it had."""
        self.unwritten = False
        if self.last_byte:
            if self.may_send_last_byte():  # From here on the exchange may have run.
                last, self.last_byte = self.last_byte, b""
                self.write(last)
        elif self.exchange is not None and self.exchange.upload is not None:
            self.exchange.upload.flow()

    def may_send_last_byte(self) -> bool:
        """Return whether the last byte of the exchange may still be written.

        An exchange that was wanted when its first byte was written may not be wanted any more, and its
        endpoint should not begin it. Such an exchange is ended here, as not attempted.
        """
        assert self.exchange is not None
        if self.exchange.wanted():
            return True
        self.withdraw()
        return False

    def withdraw(self) -> None:
        """End the exchange, whose last byte was withheld, as not attempted.

        Its endpoint did nothing wrong: nobody waits for the response any more, or it would come too late.
        """
        exchange = self.exchange
        assert exchange is not None
        self.detach_exchange()
        self.close(discard=True)
        exchange.end(Status.NOT_ATTEMPTED)

    def detach_exchange(self) -> None:
        """Carry the exchange no more, without reporting its end."""
        self.exchange = self.reader.consumer = None

    @property
    def incomplete(self) -> bool:
        """Whether the last byte of the exchange is not written: the request cannot have run."""
        upload = self.exchange.upload if self.exchange is not None else None
        return bool(self.last_byte) or (upload is not None and not upload.sent)

    def write(self, data: bytes) -> None:
        """Write the next bytes of the exchange."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def transferred_bytes(self) -> int:
        """Return the bytes of the exchange that were read, or that the kernel has accepted of its body."""
        exchange = self.exchange
        if exchange is None or exchange.upload is None or self.transport is None:
            return self.reader.size
        return self.reader.size + exchange.upload.passed - self.transport.get_write_buffer_size()

    def data_received(self, data: bytes) -> None:
        """Parse what was read: at once, or in slices where that would block the loop."""
        if len(data) <= SLICE_BYTES or self.reader.expects_only_body(len(data)):
            began_s = self.monotonic()
            self._feed(data, False)
            if self.lag_monitor is not None:
                self.lag_monitor.record_duration(began_s, "a response of an endpoint")
            return
        assert self.transport is not None
        self.transport.pause_reading()
        self.unparsed = memoryview(data)
        self._schedule()

    def _schedule(self) -> None:
        if not self.scheduled:
            self.scheduled = True
            self.resources.read_scheduler.add(self)

    def feed_slice(self) -> bool:
        """Parse the next slice; return whether more remain."""
        if self.closed or self.unparsed is None or self.blocked:
            self.scheduled = False
            return False
        if self.reader.expects_only_body(len(self.unparsed)):
            data, self.unparsed = bytes(self.unparsed), None
        else:
            data, self.unparsed = cut(self.unparsed)
        more = self.unparsed is not None
        self._feed(data, more)
        if not more and not self.closed and not self.blocked and self.transport is not None:
            self.transport.resume_reading()
        self.scheduled = more and not self.closed and not self.blocked
        return self.scheduled

    def block(self, on: bool) -> None:
        """Stop reading (`on`) or resume it: a response is streamed no faster than its client takes it."""
        if self.closed or self.transport is None or on == self.blocked:
            return
        self.blocked = on
        if on:
            self.transport.pause_reading()
        elif self.unparsed is not None:
            self._schedule()
        else:
            self.transport.resume_reading()

    def _feed(self, data: bytes, more: bool) -> None:
        """Parse the next bytes and act on the result; with `more`, further bytes have been read already."""
        if self.exchange is None:
            if self.idle_since_s:
                now_s = self.monotonic()
                self.resources.quarantine.record_surplus(now_s - self.idle_since_s, now_s)
            self.close()  # These bytes belong to no request, and could be taken for the next response.
            return
        reader = self.reader
        completable = reader.feed(data)
        if self.closed:
            return
        if reader.response is not None:
            reader.surplus |= more
            self._complete()
        elif not completable:
            self._fail()
        elif reader.streamed is None:
            if self.stalled is None:
                self._start_stall_timer()
        elif self.stalled is not None:  # The rest of a streamed response is awaited up to the deadline.
            self.stalled.cancel()
            self.stalled = None

    def _start_stall_timer(self) -> None:
        """Check again later: a response that is never completed would be awaited up to the deadline."""
        self.stalled = self.resources.loop.call_later(MAX_STALL_S, self._check_stall, self.reader.size)

    def _check_stall(self, before: int) -> None:
        """Fail if no byte has been read since `before` bytes had been."""
        # Bytes that wait in the socket, or to be parsed, have come in time: only this loop is late.
        if self.reader.size == before and self.unparsed is None and not self.readiness.poll(0):
            self._fail()
        else:
            self._start_stall_timer()

    def eof_received(self) -> None:
        """Complete a response without a length, as the endpoint closes the connection; else fail."""
        if self.exchange is not None and self.unparsed is None and self.reader.finish():
            self._complete()
            return
        if self.exchange is None and not self.closed and self.idle_since_s:
            now_s = self.monotonic()
            self.upstream.ages.record_close(now_s - self.idle_since_s, now_s)
        self._fail()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange, as the transport has closed."""
        self._fail(exc)
        # The reader and its parser refer to each other: the cycle would be left to the garbage collector.
        del self.reader.parser

    def send(self, exchange: Exchange, now_s: float) -> bool:
        """Write an exchange.

        Args:
            exchange: Exchange that has not ended.
            now_s: Time, in seconds of `monotonic`.

        Returns:
            False if the connection was found dead with nothing of the exchange sent.
        """
        assert not exchange.ended, "an exchange that has ended is never written"
        # The endpoint may have closed an idle connection while the loop was busy: a request written after
        # that end would count as one that may have run.
        if self.readiness.poll(0):
            return False
        payload = exchange.compose()
        try:
            sent = self.sock.send(payload)
        except OSError as error:
            if not is_local_error(error):
                return False
            sent = 0  # The connection is up: its transport writes when it can, or reports that it can't.
        self.reader.begin(exchange)
        self.sent_at_s = now_s
        self.idle_before_s = now_s - self.idle_since_s if self.idle_since_s else None
        self.exchange = exchange
        exchange.connection = self
        self.blocked = False
        if sent < len(payload):
            self._write_rest(exchange, payload, sent)
        upload = exchange.upload
        if upload is not None and upload.attach(self, lambda: exchange.give_up(Status.RESET)):
            exchange.upload_begins()
        return True

    def _write_rest(self, exchange: Exchange, payload: bytes, sent: int) -> None:
        assert self.transport is not None
        self.unwritten = True
        rest = memoryview(payload)[sent:]
        if exchange.upload is None:  # Else the last byte is that of the body, which the upload withholds.
            rest, self.last_byte = rest[:-1], payload[-1:]
        if rest:
            self.transport.write(rest)
        if not self.transport.is_closing() and not self.transport.get_write_buffer_size():
            self.resume_writing()

    def _complete(self) -> None:
        """End the exchange with its whole response, and keep the connection if that is safe."""
        reader, exchange, response = self.reader, self.exchange, self.reader.response
        assert exchange is not None
        assert response is not None
        self.exchange = reader.consumer = None
        now_s = self.monotonic()
        if self.idle_before_s is not None:
            self.upstream.ages.record_use(self.idle_before_s, False, now_s)
        elif response.not_run and not reader.keep_alive:
            self.resources.scarcity.record_rejection(now_s)
        self._release()
        if self.blocked:  # By its last piece: nobody would resume reading, and the connection is reused.
            self.block(False)
        written = not self.unwritten and (exchange.upload is None or exchange.upload.sent)
        if reader.surplus:
            self.resources.quarantine.record_surplus(0.0, now_s)
        if reader.keep_alive and written and not reader.surplus:
            self.owner.keep_idle(self, now_s)
        else:
            self.close()
        exchange.end(classify(response, exchange.profile), response)

    def _release(self) -> None:
        """Release what the response used while it was read."""
        if self.stalled is not None:
            self.stalled.cancel()
            self.stalled = None
        self.reader.release()
        self.unparsed = None

    def _fail(self, error: Exception | None = None) -> None:
        """Close the connection, which `error` may have broken; its exchange ends without a response."""
        never, own = self.incomplete, is_local_error(error)
        exchange = self.exchange
        self.detach_exchange()
        if exchange is not None and not own:
            self._note_dead(self.monotonic())
        self.close()
        if exchange is not None:
            exchange.end(classify_break(never, own and exchange.upload is None))

    def _note_dead(self, now_s: float) -> None:
        """Count a reused connection that was dead before its exchange was written."""
        if self.idle_before_s is None or self.sent_at_s is None or self.reader.size:
            return
        if now_s - self.sent_at_s < DEAD_WITHIN_S:
            self.upstream.ages.record_use(self.idle_before_s, True, now_s)

    def close(self, discard: bool = False) -> None:
        """Close the connection at once; every close is made here, before the exchange's end is reported.

        Args:
            discard: Whether bytes that the kernel has not sent yet are dropped, not sent after a partition.
        """
        if self.closed:
            return
        self.closed = True
        self.owner.on_closed(self)
        self._release()
        abort_connection(self.sock, self.transport, discard)
