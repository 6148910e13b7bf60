"""A connection to an endpoint, with at most one exchange on it.

States of a connection:

==========  ==================================================  ============================================
state       in the attributes                                   goes on to
==========  ==================================================  ============================================
connecting  `transport` is None                                 sending, idle or closed
idle        `exchange` is None, it stands in `upstream.idle`    sending, or closed: too old, ended by its
                                                                endpoint, or bytes that nobody asked for
sending     `exchange` is set, `incomplete` is true             receiving, or closed
receiving   `exchange` is set, `incomplete` is false            idle after a whole response that permits it,
                                                                else closed
closed      `closed` is true                                    nothing
==========  ==================================================  ============================================

A response may come before the request is written whole: it ends the exchange, and its connection is closed.

`incomplete` is the line between "never ran" and "may have run". What the transport buffers may have gone
before it says so (uvloop reports it a turn of the loop later), so the last byte of a request is kept back
until all before it has gone, and is written by itself. An endpoint without that byte cannot run the request.
Where a body follows as its client sends it, `Upload` keeps the last byte back likewise.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import httptools

from ...balancer.events import Status
from ...system import is_own
from ..read_scheduler import SLICE_BYTES, cut
from .abort import abort_connection
from .classify import Response, classify, classify_break
from .response_reader import ResponseReader

if TYPE_CHECKING:
    import socket

    from .connection_pool import ConnectionPool
    from .endpoint_connections import Upstream
    from .exchange import Exchange

MAX_STALL_S = 0.5  # without a byte of a response that has begun: endpoints write it when it is ready
DEAD_WITHIN_S = 0.05  # after a request was written: what resets it so soon never read it


class UpstreamConnection(ResponseReader):
    """A connection to an endpoint: what is written on it, what comes, and its one end.

    Args:
        pool: that counts and keeps it.

    Attributes:
        upstream: the endpoint.
        generation: that of the endpoint when the connection was begun.
        sock: its own socket.
        readiness: whether bytes or an end wait on the socket (`poll(0)`).
        monotonic: the clock, seconds.
        transport: what the loop has made of the socket, once it is up.
        unwritten: bytes wait in the transport.
        last_byte: of the request, kept back until all before it has gone.
        closed: it is neither counted nor used any more.
        idle_since: when its last exchange ended, or it came up without one; 0: it has not been idle.
        idle_before_s: seconds idle before the exchange that is on it; negative for its first.
        sent_at: when the exchange on it was written; 0: it has carried none.
        unfed: the rest of what came, until its turn.
        scheduled: for that turn.
        blocked: nothing is read, as the client takes no more of a response that is passed on.
        size: bytes of all that came for the exchange on it.
    """

    # A dictionary of more than 30 attributes shares no keys: each look-up would cost a hash (CPython 3.11).
    __slots__ = (
        "__weakref__",
        "blocked",
        "closed",
        "generation",
        "idle_before_s",
        "idle_since",
        "last_byte",
        "monotonic",
        "readiness",
        "scheduled",
        "sent_at",
        "size",
        "sock",
        "transport",
        "unfed",
        "unwritten",
        "upstream",
    )

    def __init__(self, pool: ConnectionPool, upstream: Upstream, sock: socket.socket) -> None:
        """Begin a connection; its socket is connected by `connector.establish`."""
        super().__init__(pool)
        self.upstream = upstream
        self.generation = upstream.generation
        self.sock = sock
        self.readiness = pool.system.watch(sock)
        self.monotonic = pool.monotonic
        self.transport: asyncio.Transport | None = None
        self.unwritten = False
        self.last_byte = b""
        self.closed = False
        self.idle_since = 0.0
        self.idle_before_s = -1.0
        self.sent_at = 0.0
        self.unfed: memoryview | None = None
        self.scheduled = False
        self.blocked = False
        self._reset()

    def _reset(self) -> None:
        self.size = 0
        self.unusable = False
        self.streamed = -1
        self._begin_response()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport; it reports when anything waits to be written."""
        self.transport = transport  # type: ignore[assignment]
        transport.set_write_buffer_limits(high=0)  # type: ignore[attr-defined]

    def pause_writing(self) -> None:
        """See that bytes wait in the transport."""
        self.unwritten = True

    def resume_writing(self) -> None:
        """Go on, as all that was written has gone: with the last byte, or with the body that flows."""
        self.unwritten = False
        if self.last_byte:
            self._write_last()
        elif self.exchange is not None and self.exchange.upload is not None:
            self.exchange.upload.flow()

    def _write_last(self) -> None:
        """Let go of the byte that was kept back: from here on the exchange may have run."""
        if self.may_end():
            last, self.last_byte = self.last_byte, b""
            self.write_on(last)

    def may_end(self) -> bool:
        """Return whether the last byte of the exchange on it may still go.

        What was wanted when its first byte went may be wanted no more, and its endpoint should not begin it.
        Such an exchange is ended here, as not attempted.
        """
        exchange = self.exchange
        assert exchange is not None
        if exchange.wanted():
            return True
        self.withdraw()
        return False

    def withdraw(self) -> None:
        """End the exchange on it, whose last byte was kept back, as not attempted.

        Its endpoint did nothing wrong: nobody waits for the response any more, or it would come too late.
        """
        exchange, self.exchange = self.exchange, None
        assert exchange is not None
        self.close(discard=True)
        exchange.end(Status.NOT_ATTEMPTED)

    @property
    def incomplete(self) -> bool:
        """Whether some of its exchange was never let go of: it cannot have run."""
        upload = self.exchange.upload if self.exchange is not None else None
        return bool(self.last_byte) or (upload is not None and not upload.sent)

    def write_on(self, data: bytes) -> None:
        """Write more of the exchange that is on it."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def moved(self) -> int:
        """Return the bytes of this exchange that have come, or that the kernel has taken of its body."""
        exchange = self.exchange
        if exchange is None or exchange.upload is None or self.transport is None:
            return self.size
        return self.size + exchange.upload.passed - self.transport.get_write_buffer_size()

    def data_received(self, data: bytes) -> None:
        """Parse what came: at once, or in slices when that would hold up the loop."""
        if len(data) <= SLICE_BYTES or self._all_body(len(data)):
            began_s = self.monotonic()
            self._feed(data, False)
            if self.pool.lag is not None:
                self.pool.lag.took(began_s, "a response of an endpoint")
            return
        assert self.transport is not None
        self.transport.pause_reading()
        self.unfed = memoryview(data)
        self._schedule()

    def _schedule(self) -> None:
        if not self.scheduled:
            self.scheduled = True
            self.pool.read_scheduler.add(self)

    def feed_slice(self) -> bool:
        """Parse the next slice; return whether more remain."""
        if self.closed or self.unfed is None or self.blocked:
            self.scheduled = False
            return False
        if self._all_body(len(self.unfed)):
            data, self.unfed = bytes(self.unfed), None
        else:
            data, self.unfed = cut(self.unfed)
        more = self.unfed is not None
        self._feed(data, more)
        if not more and not self.closed and not self.blocked and self.transport is not None:
            self.transport.resume_reading()
        self.scheduled = more and not self.closed and not self.blocked
        return self.scheduled

    def block(self, on: bool) -> None:
        """Stop or go on reading: a response that is passed on comes no faster than its client takes it.

        Args:
            on: whether to stop.
        """
        if self.closed or self.transport is None or on == self.blocked:
            return
        self.blocked = on
        if on:
            self.transport.pause_reading()
        elif self.unfed is not None:
            self._schedule()
        else:
            self.transport.resume_reading()

    def _feed(self, data: bytes, more: bool) -> None:
        if self.exchange is None:
            if self.idle_since:
                now = self.monotonic()
                self.pool.quarantine.seen(now - self.idle_since, now)
            self.close()  # bytes that nobody asked for: what follows could be taken for another's response
            return
        self.size += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self.response is None:
                self._fail()
                return
            self.surplus = True
        if self.closed:
            return
        if self.response is not None:
            self.surplus |= more
            self._complete()
        elif self.unusable or (self.streamed < 0 and self.size > self._max_size()):
            self._fail()  # a response without an end would fill the memory
        elif self.streamed >= 0:
            return  # its end is awaited up to the time limit of the request
        elif self.stalled is None:
            self._start_stall_timer(self.size)

    def _start_stall_timer(self, before: int) -> None:
        """Look again later: a response that announces more than comes would be awaited to the deadline."""
        self.stalled = self.pool.loop.call_later(MAX_STALL_S, self._check_stall, before)

    def _check_stall(self, before: int) -> None:
        # What waits in the socket, or for its turn, has come: only this loop is late.
        if self.size == before and self.unfed is None and not self.readiness.poll(0):
            self._fail()
        else:
            self._start_stall_timer(self.size)

    def eof_received(self) -> None:
        """See the endpoint end the connection: the end of a response without a length, else a failure."""
        open_ended = self.in_body and not (self.encoding or self.length or self.unusable or self.unfed)
        if open_ended and self.exchange is not None and self.response is None:
            code = self.parser.get_status_code()
            self.response = Response(code, self.headers, bytes(self.body), self.not_run, self.load)
            self._complete()
            return
        if self.exchange is None and not self.closed and self.idle_since:
            now = self.monotonic()
            self.upstream.ages.closed(now - self.idle_since, now)
        self._fail()

    def connection_lost(self, exc: Exception | None) -> None:
        """See that the transport has closed."""
        self._fail(exc)
        # The two refer to each other, and would be left to the collector.
        del self.parser

    def send(self, exchange: Exchange, now: float) -> bool:
        """Write an exchange.

        Args:
            exchange: that has not ended.
            now: the time, in seconds of `monotonic`.

        Returns:
            False if the connection was found dead with nothing of the exchange sent.
        """
        assert not exchange.ended, "what is over is never written"
        # The endpoint may have closed an idle connection while the loop was busy: a request written after
        # that end would count as one that may have run.
        if self.readiness.poll(0):
            return False
        payload = exchange.compose()
        try:
            sent = self.sock.send(payload)
        except OSError as error:
            if not is_own(error):
                return False
            sent = 0  # the connection stands: its transport writes when it can, or reports that it can't
        self._reset()
        self.sent_at = now
        self.idle_before_s = self.sent_at - self.idle_since if self.idle_since else -1.0
        self.exchange = exchange
        exchange.connection = self
        self.blocked = False
        if sent < len(payload):
            self._write_rest(exchange, payload, sent)
        if exchange.upload is not None and exchange.upload.attach(
            self, lambda: exchange.give_up(Status.RESET)
        ):
            exchange.upload_begins()
        return True

    def _write_rest(self, exchange: Exchange, payload: bytes, sent: int) -> None:
        assert self.transport is not None
        self.unwritten = True
        rest = memoryview(payload)[sent:]
        if exchange.upload is None:  # else its last byte is the last of the body
            rest, self.last_byte = rest[:-1], payload[-1:]
        if rest:
            self.transport.write(rest)
        if not self.transport.is_closing() and not self.transport.get_write_buffer_size():
            self.resume_writing()

    def _complete(self) -> None:
        """End the exchange with its whole response, and keep the connection if that is safe."""
        exchange, response = self.exchange, self.response
        assert exchange is not None
        assert response is not None
        self.exchange = None
        now = self.monotonic()
        if self.idle_before_s >= 0.0:
            self.upstream.ages.note(self.idle_before_s, False, now)
        elif response.not_run and not self.keep_alive:
            self.pool.scarcity.rejected(now)
        self._release()
        if self.blocked:  # by its last piece: who would let it go on has ended, and it serves others now
            self.block(False)
        written = not self.unwritten and (exchange.upload is None or exchange.upload.sent)
        if self.surplus:
            self.pool.quarantine.seen(0.0, now)
        if self.keep_alive and written and not self.surplus:
            self.pool.keep_idle(self, now)
        else:
            self.close()
        exchange.end(classify(response, exchange.profile), response)

    def _release(self) -> None:
        """Give back what a response used while it came."""
        if self.stalled is not None:
            self.stalled.cancel()
            self.stalled = None
        self.pool.memory.release(self.body_size)
        self.body_size = 0
        self.body, self.headers, self.response, self.unfed = b"", [], None, None

    def _fail(self, error: Exception | None = None) -> None:
        """Close the connection, as it is of no more use; what was on it has no whole response."""
        never, own = self.incomplete, is_own(error)
        exchange, self.exchange = self.exchange, None
        now = self.monotonic()
        died = self.idle_before_s >= 0.0 and not self.size and now - self.sent_at < DEAD_WITHIN_S
        if exchange is not None and died and not own:
            self.upstream.ages.note(self.idle_before_s, True, now)
        self.close()
        if exchange is not None:
            exchange.end(classify_break(never, own and exchange.upload is None))

    def close(self, discard: bool = False) -> None:
        """End the connection: the one end of each, called before its exchange is reported as over.

        Args:
            discard: drop what the kernel has not sent yet, rather than send it when a partition ends.
        """
        if self.closed:
            return
        self.closed = True
        self.pool.on_closed(self)
        self._release()
        abort_connection(self.sock, self.transport, discard)
