"""A connection to an endpoint, with at most one exchange on it.

States of a connection:

==========  ==================================================  ============================================
state       attributes                                          next state
==========  ==================================================  ============================================
connecting  `transport` is None                                 sending, idle or closed
idle        `exchange` is None, listed in `upstream.idle`       sending; or closed: idle for too long, closed
                                                                by its endpoint, or got unexpected bytes
sending     `exchange` is set, `incomplete` is true             receiving, or closed
receiving   `exchange` is set, `incomplete` is false            idle after a complete response that permits
                                                                reuse, otherwise closed
closed      `closed` is true                                    none
==========  ==================================================  ============================================

A response may arrive before the request is completely written: it ends the exchange, and the connection is
closed.

`incomplete` is the line between "never ran" and "may have run", which the module `exchange` describes. The
transport may have written its buffer before it reports that (uvloop reports it one loop iteration later), so
the last byte of a request is withheld until all bytes before it have been written, and is written separately.
For a body that is streamed from the client, `Upload` withholds the last byte in the same way.
"""

from __future__ import annotations

import asyncio
import socket

from ...balancer.events import Status
from ...system import ReadPoller, is_local_error
from ..read_scheduler import SLICE_BYTES, split_slice
from .abort import abort_connection
from .classify import classify, classify_break, is_premature
from .endpoint_connections import Upstream
from .exchange import Exchange
from .resources import ConnectionResources
from .response_reader import ResponseReader

# A reused connection that breaks within this time after its request was written counts as dead before.
DEAD_RESET_WINDOW_S = 0.05
# Maximum time without a byte of a successful response of unknown length, which may turn out to be long.
MAX_FLOW_STALL_S = 2.0
# Value of `idle_since_s` before the first idle time; not None because each request reads that attribute.
NEVER_IDLE_S = 0.0


class UpstreamConnection(asyncio.Protocol):
    """A connection to an endpoint: writes requests, feeds the response reader, and closes once.

    Args:
        resources: Collaborators shared by all connections of the pool.
        upstream: Endpoint of the connection.
        sock: Socket of the connection, which `connector.establish` connects.
        readiness: Poller of the socket; `poll(0)` tells whether data or the end of the stream can be read.

    Attributes:
        generation: Generation of the endpoint when the connection was opened.
        lag_monitor: Monitor that is notified of parsing times; None if they are not measured.
        reader: Reader of the responses.
        exchange: Exchange on the connection; None between exchanges.
        transport: Transport of the socket; None while it connects.
        unwritten: Whether bytes are buffered in the transport.
        last_byte: Last byte of the request, withheld until all bytes before it have been written; otherwise
            empty.
        closed: Whether the connection is closed, and no longer counted.
        idle_since_s: Time at which the connection last became idle, in seconds; `NEVER_IDLE_S` before.
        idle_before_s: Idle time before the latest exchange, in seconds; None for the first exchange.
        sent_at_s: Time at which the latest exchange was written, in seconds; None before the first one.
        unparsed: Bytes that are waiting to be parsed in slices; None if there are none.
        scheduled: Whether the read scheduler will parse the next slice.
        blocked: Whether reading is paused because the client reads a streamed response too slowly.
        stall_timer: Timer that runs while more of a buffered response is awaited; None otherwise.
    """

    # In CPython 3.11, instance dictionaries of more than 30 attributes share no keys, so that each attribute
    # access needs a hash lookup.
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
        "stall_timer",
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
        readiness: ReadPoller,
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
        self.stall_timer: asyncio.TimerHandle | None = None

    @property
    def size(self) -> int:
        """Number of bytes that have been read for the exchange."""
        return self.reader.size

    @property
    def response_flows(self) -> bool:
        """Whether a successful response of unknown length has begun and is being buffered."""
        return self.exchange is not None and self.reader.flows

    def stream_response(self) -> bool:
        """Stream the response that flows; return whether it is streamed from now on."""
        if self.exchange is None or not self.reader.stream_now():
            return False
        self._stop_stall_timer()
        return True

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport, and have it report whenever its write buffer is not empty."""
        self.transport = transport  # type: ignore[assignment]
        transport.set_write_buffer_limits(high=0)  # type: ignore[attr-defined]

    def pause_writing(self) -> None:
        """Record that bytes are buffered in the transport."""
        self.unwritten = True

    def resume_writing(self) -> None:
        """Write the last byte, or more of the body, now that the transport has written its buffer."""
        self.unwritten = False
        if self.last_byte:
            if self.may_send_last_byte():  # From here on the exchange may have run.
                last_byte, self.last_byte = self.last_byte, b""
                self.write(last_byte)
        elif self.exchange is not None and self.exchange.upload is not None:
            self.exchange.upload.flow()

    def may_send_last_byte(self) -> bool:
        """Return whether the last byte of the exchange is still to be written.

        An exchange that was needed when its first byte was written may not be needed any more, and its
        endpoint should not start it. Such an exchange is ended here, as not attempted.
        """
        assert self.exchange is not None
        if self.exchange.should_send():
            return True
        self.withdraw()
        return False

    def withdraw(self) -> None:
        """End the exchange, whose last byte was withheld, as not attempted.

        The endpoint is not at fault: the response is not needed any more, or would arrive too late.
        """
        exchange = self.exchange
        assert exchange is not None
        self.detach_exchange()
        self.close(discard=True)
        exchange.end(Status.NOT_ATTEMPTED)

    def detach_exchange(self) -> None:
        """Remove the exchange from the connection without reporting its end."""
        self.exchange = self.reader.consumer = None

    @property
    def incomplete(self) -> bool:
        """Whether the last byte of the exchange is not written yet, so that the request cannot have run."""
        upload = self.exchange.upload if self.exchange is not None else None
        return bool(self.last_byte) or (upload is not None and not upload.sent)

    def write(self, data: bytes) -> None:
        """Write the next bytes of the exchange."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def unsent_bytes(self) -> int:
        """Return the number of bytes of the exchange that the kernel has not accepted yet."""
        return self.transport.get_write_buffer_size() if self.transport is not None else 0

    def transferred_bytes(self) -> int:
        """Return the number of bytes read for the exchange, plus those of its body accepted by the kernel."""
        exchange = self.exchange
        if exchange is None or exchange.upload is None or self.transport is None:
            return self.reader.size
        return self.reader.size + exchange.upload.forwarded_bytes - self.unsent_bytes()

    def data_received(self, data: bytes) -> None:
        """Parse the received bytes: immediately, or in slices if that would block the event loop."""
        if len(data) <= SLICE_BYTES or self.reader.expects_only_body(len(data)):
            began_s = self.monotonic()
            self._feed(data, False)
            if self.lag_monitor is not None:
                self.lag_monitor.record_duration(began_s, "a response of an endpoint")
            return
        assert self.transport is not None
        self.transport.pause_reading()
        self._set_unparsed(memoryview(data))
        self._schedule()

    def _set_unparsed(self, unparsed: memoryview | None) -> None:
        """Replace the bytes that wait to be parsed, and charge the difference to the memory budget."""
        before = len(self.unparsed) if self.unparsed is not None else 0
        after = len(unparsed) if unparsed is not None else 0
        self.resources.memory.charge(after - before)
        self.unparsed = unparsed

    def _schedule(self) -> None:
        if not self.scheduled:
            self.scheduled = True
            self.resources.read_scheduler.add(self)

    def feed_slice(self) -> bool:
        """Parse the next slice; return whether there are more."""
        if self.closed or self.unparsed is None or self.blocked:
            self.scheduled = False
            return False
        if self.reader.expects_only_body(len(self.unparsed)):
            data, rest = bytes(self.unparsed), None
        else:
            data, rest = split_slice(self.unparsed)
        self._set_unparsed(rest)
        more = self.unparsed is not None
        self._feed(data, more)
        if not more and not self.closed and not self.blocked and self.transport is not None:
            self.transport.resume_reading()
        self.scheduled = more and not self.closed and not self.blocked
        return self.scheduled

    def set_paused(self, on: bool) -> None:
        """Pause (`on`) or resume reading: a response is streamed no faster than the client reads it."""
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
        """Parse the next bytes and handle the result; `more` tells if further bytes wait to be parsed."""
        if self.exchange is None:
            self.close()  # Bytes that belong to no request could be taken for the next response.
            return
        reader = self.reader
        can_complete = reader.feed(data)
        if self.closed:
            return
        if reader.response is not None:
            reader.surplus |= more
            self._complete()
        elif not can_complete:
            self._fail()
        elif reader.streamed is None:
            if self.stall_timer is None:
                self._start_stall_timer()
        else:  # The timer of the exchange checks the progress of a streamed response.
            self._stop_stall_timer()

    def _start_stall_timer(self) -> None:
        """Schedule the stall check: an incomplete response would otherwise be awaited until the deadline."""
        assert self.exchange is not None
        max_stall_s = MAX_FLOW_STALL_S if self.reader.flows else self.exchange.max_stall_s
        self.stall_timer = self.resources.loop.call_later(max_stall_s, self._check_stall, self.reader.size)

    def _stop_stall_timer(self) -> None:
        if self.stall_timer is not None:
            self.stall_timer.cancel()
            self.stall_timer = None

    def _check_stall(self, before: int) -> None:
        """Fail the exchange if no byte was read beyond the first `before` bytes."""
        # Bytes that are waiting in the socket or to be parsed have arrived in time: the event loop is late.
        if self.reader.size == before and self.unparsed is None and not self.readiness.poll(0):
            self._fail()
        else:
            self._start_stall_timer()

    def eof_received(self) -> None:
        """Complete a response that ends with the connection; fail the exchange otherwise."""
        if self.exchange is not None and self.unparsed is None and self.reader.finish():
            self._complete()
            return
        if self.exchange is None and not self.closed and self.idle_since_s:
            now_s = self.monotonic()
            self.upstream.idle_stats.record_close(now_s - self.idle_since_s, now_s)
        self._fail()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the exchange, now that the transport is closed."""
        self._fail(exc)
        # The reader and its parser refer to each other: the cycle would be left to the garbage collector.
        del self.reader.parser

    def send(self, exchange: Exchange, now_s: float) -> bool:
        """Write an exchange.

        Args:
            exchange: Exchange that has not ended.
            now_s: Current time, in seconds of `monotonic`.

        Returns:
            False if the connection was found dead before any byte of the exchange was sent.
        """
        assert not exchange.ended, "an exchange that has ended is never written"
        # The endpoint may have closed an idle connection while the event loop was busy: a request written
        # after the close would count as one that may have run.
        if self.readiness.poll(0):
            return False
        payload = exchange.compose()
        try:
            sent = self.sock.send(payload)
        except OSError as error:
            if not is_local_error(error):
                return False
            sent = 0  # The connection is established: the transport will write, or report a failure.
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
            exchange.on_upload_begin()
        return True

    def _write_rest(self, exchange: Exchange, payload: bytes, sent: int) -> None:
        assert self.transport is not None
        self.unwritten = True
        rest = memoryview(payload)[sent:]
        if exchange.upload is None:  # Otherwise the upload withholds the last byte.
            rest, self.last_byte = rest[:-1], payload[-1:]
        if rest:
            self.transport.write(rest)
        if not self.transport.is_closing() and not self.transport.get_write_buffer_size():
            self.resume_writing()

    def _complete(self) -> None:
        """End the exchange with its complete response, and keep the connection if it is safe to reuse."""
        reader, exchange, response = self.reader, self.exchange, self.reader.response
        assert exchange is not None
        assert response is not None
        if self.incomplete and is_premature(response.code, exchange.profile):
            self._fail()
            return
        self.exchange = reader.consumer = None
        now_s = self.monotonic()
        assert self.sent_at_s is not None
        self.upstream.record_response_time(now_s - self.sent_at_s)
        if self.idle_before_s is not None:
            self.upstream.idle_stats.record_use(self.idle_before_s, False, now_s)
        elif response.not_run and not reader.keep_alive:
            self.resources.scarcity.record_rejection(now_s)
        self._release()
        if self.blocked:  # By the last piece: nothing else would resume reading on the reused connection.
            self.set_paused(False)
        written = not self.unwritten and (exchange.upload is None or exchange.upload.sent)
        if reader.keep_alive and written and not reader.surplus:
            self.owner.keep_idle(self, now_s)
        else:
            self.close()
        exchange.end(classify(response, exchange.profile), response)

    def _release(self) -> None:
        """Release the stall timer and the buffers of the response."""
        self._stop_stall_timer()
        self.reader.release()
        self._set_unparsed(None)

    def _fail(self, error: Exception | None = None) -> None:
        """Close the connection, and end its exchange without a response; `error` is the cause, if known."""
        never_ran, is_local = self.incomplete, is_local_error(error)
        exchange = self.exchange
        self.detach_exchange()
        if exchange is not None and not is_local:
            self._record_dead(self.monotonic())
        self.close()
        if exchange is not None:
            exchange.end(classify_break(never_ran, is_local and exchange.upload is None))

    def _record_dead(self, now_s: float) -> None:
        """Count a reused connection that was dead before its exchange was written."""
        if self.idle_before_s is None or self.sent_at_s is None or self.reader.size:
            return
        if now_s - self.sent_at_s < DEAD_RESET_WINDOW_S:
            self.upstream.idle_stats.record_use(self.idle_before_s, True, now_s)

    def close(self, discard: bool = False) -> None:
        """Close the connection immediately. Every close is done here, before the exchange's end is reported.

        Args:
            discard: Whether bytes that the kernel has not sent yet are dropped; otherwise they may be sent
                after a network partition has ended.
        """
        if self.closed:
            return
        self.closed = True
        self.owner.on_closed(self)
        self._release()
        abort_connection(self.sock, self.transport, discard)
