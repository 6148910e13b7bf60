"""The servers' side: attempts and probes as exchanges over pooled connections.

An exchange is written once and ends once. It is never written again by itself: what may have run, and
whether to try again, is the module's to judge, so the end of each one says exactly what is known.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import inspect
import os
import socket
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum

import httptools

from ...admission.budget import Allowance
from ...balancer.events import State, Status
from ...system import SYSTEM, System, is_own
from ..memory_budget import MemoryBudget
from ..read_scheduler import SLICE_BYTES, ReadScheduler, cut
from ..streaming import Upload
from ..timer_wheel import Timed, TimerWheel
from .abort import abort_connection
from .idle_timeouts import QUARANTINE_LEAST_S, Ages, Quarantine, Spare

HEADERS_MOST = 32 * 1024
STALL_MOST = 0.5  # seconds without a byte of an answer that has begun: servers write it when it is ready
RECEIVE_BYTES = 128 * 1024  # of the kernel's buffer: one read brings no more, and a slow client holds one
READ_WITHIN = 0.004  # seconds more for an answer that is there and was not read: sockets come after timers
LATE_S = 0.02  # by which the loop may heed a time before it doubts itself
DEAD_WITHIN = 0.05  # seconds after a request was written: what resets it so soon never read it
IDLE_PART = 0.7  # of the time after which a server may close an idle connection
BLANKS = b" \t"  # round a value they are no part of it (RFC 9112, 5); the parser leaves those behind it
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    )
)


@dataclass(slots=True)
class Response:
    """A whole answer."""

    code: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    not_run: bool
    load: bytes


class HttpProfile(IntEnum):
    """How what a server answers is understood."""

    PLATFORM = 0  # 200 is served, 503 or 504 with X-Not-Run never ran, all else has failed
    USUAL = 1  # whatever is under 500 is served as it is
    HEAD = 2  # likewise, and no body follows (RFC 9110, 9.3.2)


Done = Callable[["Exchange", Status, Response | None], None]


class Exchange(Timed):
    """One request on its way to one server, until its one end."""

    __slots__ = (
        "answer_most",
        "connection",
        "deadlines",
        "done",
        "manner",
        "opening",
        "payload",
        "stream_most",
        "upload",
    )
    read_within = READ_WITHIN

    def __init__(self, payload: bytes, done: Done, answer_most: int) -> None:
        self.tick = 0
        self.payload = payload
        self.done: Done | None = done
        self.answer_most = answer_most  # bytes of an answer that is held until it is whole
        self.stream_most = 0  # ... and of one that may be passed on as it comes
        self.upload: Upload | None = None  # what follows the payload
        self.manner = HttpProfile.PLATFORM
        self.connection: UpstreamConnection | None = None  # once the first byte has gone out
        self.opening: asyncio.Task[None] | None = None  # while a connection is being made
        self.deadlines: TimerWheel | None = None  # where its time limit runs

    @property
    def ended(self) -> bool:
        return self.done is None

    def end(self, status: Status, answer: Response | None = None) -> None:
        # Guards the memory as well: who waits refers to this, and would else be left to the collector.
        done, self.done = self.done, None
        if done is None:
            return
        if self.tick and self.deadlines is not None:
            self.deadlines.stop(self)
        if self.upload is not None:
            self.upload.detach()
        done(self, status, answer)

    def expire(self) -> None:
        """Its time is up, unless its answer is there and only this loop is late."""
        if not self.read_first():
            self.give_up(Status.TIMEOUT)

    def read_first(self) -> bool:
        """Give an answer that waits in its socket the time to be read; whether there is one.

        Guards what has been served against being told as failed: in a late loop timers fire first. It is
        done once, as what has been read of an answer ends it.
        """
        connection = self.connection
        if connection is None or connection.size or self.deadlines is None or not connection.came.poll(0):
            return False
        self.deadlines.stop(self)
        self.deadlines.start(self, self.read_within, connection.monotonic())
        return True

    def wanted(self) -> bool:
        """Whether it may still be written, now that a connection is there."""
        return True

    def compose(self) -> bytes:
        """What is written, now that a connection is there."""
        return self.payload

    def upload_begins(self) -> None:
        """Its body has begun to flow: it can't be sent again."""

    def begin_answer(
        self, code: int, headers: list[tuple[bytes, bytes]], length: int | None, load: bytes
    ) -> bool:
        """An answer begins that is too long to be held; whether its pieces are wanted as they come."""
        return False

    def answer_piece(self, data: bytes) -> None:
        """The next bytes of such an answer."""

    def call_off(self) -> None:
        """Stop the connect for it, if there is one.

        A task that is cancelled before its first step never runs, and nobody would close its socket: such
        a connect finds by itself that it is not wanted.
        """
        task = self.opening
        if task is not None and inspect.getcoroutinestate(task.get_coro()) != inspect.CORO_CREATED:  # type: ignore[arg-type]
            task.cancel()

    def give_up(self, status: Status) -> None:
        """Stop waiting. Its connection is closed first, so that no later attempt overlaps with it."""
        if self.ended:
            return
        self.call_off()
        connection = self.connection
        if connection is None or connection.incomplete:
            status = Status.CONNECT_FAILED  # its last byte was never written: it cannot have run
        if connection is not None:
            connection.exchange = None
            connection.close(discard=True)
        self.end(status)


class Upstream:
    """A server as an address with its connections."""

    def __init__(self, address: tuple[str, int], since_ms: int, ages: Ages) -> None:
        self.address = address
        self.ages = ages  # at which its idle connections are still good
        self.since_ms = since_ms
        self.generation = 0  # grows with each restart or move: connections of an earlier one are not kept
        self.takes_new = True
        self.idle: OrderedDict[UpstreamConnection, None] = OrderedDict()  # the most recently used last
        self.opening: dict[
            Exchange, UpstreamConnection
        ] = {}  # those that wait for one that is made, in order


class UpstreamConnection(asyncio.Protocol):
    """A connection to a server, with at most one exchange on it."""

    # More than 30 attributes would not share their keys, and each look-up would cost a hash (CPython 3.11).
    __slots__ = (
        "__weakref__",
        "blocked",
        "body",
        "came",
        "closed",
        "closes",
        "encoding",
        "exchange",
        "generation",
        "headers",
        "held",
        "idle_since",
        "in_body",
        "keep_alive",
        "last",
        "length",
        "load",
        "monotonic",
        "not_run",
        "parser",
        "queued",
        "sent_at",
        "size",
        "sock",
        "spoilt",
        "stalled",
        "stood",
        "stray",
        "streamed",
        "target",
        "transport",
        "unfed",
        "unwritten",
        "upstreams",
        "whole",
    )

    def __init__(self, upstreams: ConnectionPool, target: Upstream, sock: socket.socket) -> None:
        self.upstreams = upstreams
        self.target = target
        self.generation = target.generation
        self.sock = sock
        self.came = upstreams.system.watch(sock)  # whether bytes or an end wait on it
        self.monotonic = upstreams.monotonic
        self.transport: asyncio.Transport | None = None
        self.exchange: Exchange | None = None
        self.unwritten = False  # bytes wait for its socket
        self.last = b""  # of the exchange, kept back until all before it has gone
        self.closed = False
        self.idle_since = 0.0
        self.stood = -1.0  # seconds idle before the exchange that is on it; negative for its first
        self.sent_at = 0.0
        self.parser = httptools.HttpResponseParser(self)
        self.unfed: memoryview | None = None  # of what came, until its turn
        self.held = 0  # bytes of an answer's body, until it is whole
        self.queued = False  # for that turn
        self.blocked = False  # nothing is read: the client takes no more of a streamed answer
        self.stalled: asyncio.TimerHandle | None = None
        self._reset()

    def _reset(self) -> None:
        self.size = 0  # of all that came for this exchange
        self.spoilt = False
        self.streamed = -1  # bytes of the answer that were passed on as they came; negative: it is held
        self._begin()

    def _begin(self) -> None:
        self.headers: list[tuple[bytes, bytes]] = []
        self.body: bytes | bytearray = b""
        self.in_body = False
        self.length = b""
        self.encoding = b""
        self.closes = False
        self.not_run = False
        self.keep_alive = False
        self.load = b""
        self.whole: Response | None = None
        self.stray = False

    # The transport's calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        transport.set_write_buffer_limits(high=0)  # type: ignore[attr-defined]

    def pause_writing(self) -> None:
        self.unwritten = True

    def resume_writing(self) -> None:
        self.unwritten = False
        if self.last:
            self._write_last()
        elif self.exchange is not None and self.exchange.upload is not None:
            self.exchange.upload.flow()

    def _write_last(self) -> None:
        """Let go of the byte that was kept back: from here on the exchange may have run."""
        if self.may_end():
            last, self.last = self.last, b""
            self.write_on(last)

    def may_end(self) -> bool:
        """Whether the last byte of the exchange on it may still go; where it may not, it is called off here.

        Guards servers against beginning what was wanted when its first byte went, and is wanted no more.
        """
        exchange = self.exchange
        assert exchange is not None
        if exchange.wanted():
            return True
        self.exchange = None
        self.close(discard=True)
        exchange.end(Status.NOT_ATTEMPTED)
        return False

    @property
    def incomplete(self) -> bool:
        """Whether some of its exchange was never let go of: the line between never ran and may have run.

        What the transport buffers may have gone before it says so (uvloop tells a turn of the loop later),
        so the last byte is kept back here until all before it has gone.
        """
        upload = self.exchange.upload if self.exchange is not None else None
        return bool(self.last) or (upload is not None and not upload.sent)

    def write_on(self, data: bytes) -> None:
        """Write more of the exchange that is on it."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)

    def moved(self) -> int:
        """Bytes of this exchange that have come, or that the kernel has taken of its body."""
        exchange = self.exchange
        if exchange is None or exchange.upload is None or self.transport is None:
            return self.size
        return self.size + exchange.upload.passed - self.transport.get_write_buffer_size()

    def _plain(self, size: int) -> bool:
        """Whether the next bytes are all of one body: these cost no more for being many."""
        if not self.in_body or self.encoding or not self.length:
            return False
        return int(self.length) - max(self.held, self.streamed) >= size

    def data_received(self, data: bytes) -> None:
        if len(data) <= SLICE_BYTES or self._plain(len(data)):
            began_s = self.monotonic()
            self._feed(data, False)
            if self.upstreams.lag is not None:
                self.upstreams.lag.took(began_s, "a server's answer")
            return
        assert self.transport is not None
        self.transport.pause_reading()
        self.unfed = memoryview(data)
        self._queue()

    def _queue(self) -> None:
        if not self.queued:
            self.queued = True
            self.upstreams.backlog.add(self)

    def feed_slice(self) -> bool:
        if self.closed or self.unfed is None or self.blocked:
            self.queued = False
            return False
        if self._plain(len(self.unfed)):
            data, self.unfed = bytes(self.unfed), None
        else:
            data, self.unfed = cut(self.unfed)
        more = self.unfed is not None
        self._feed(data, more)
        if not more and not self.closed and not self.blocked and self.transport is not None:
            self.transport.resume_reading()
        self.queued = more and not self.closed and not self.blocked
        return self.queued

    def block(self, on: bool) -> None:
        """Stop or go on reading: a streamed answer comes no faster than its client takes it."""
        if self.closed or self.transport is None or on == self.blocked:
            return
        self.blocked = on
        if on:
            self.transport.pause_reading()
        elif self.unfed is not None:
            self._queue()
        else:
            self.transport.resume_reading()

    def _feed(self, data: bytes, more: bool) -> None:
        if self.exchange is None:
            if self.idle_since:
                now = self.monotonic()
                self.upstreams.quarantine.seen(now - self.idle_since, now)
            self.close()  # bytes that nobody asked for: what follows could be taken for another's answer
            return
        self.size += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self.whole is None:
                self._break()
                return
            self.stray = True
        if self.closed:
            return
        if self.whole is not None:
            self.stray |= more
            self._finish()
        elif self.spoilt or (self.streamed < 0 and self.size > self._size_most()):
            self._break()  # guards against an endless answer filling the memory
        elif self.streamed >= 0:
            return  # its end is awaited until the request's own
        elif self.stalled is None:
            self._await_more(self.size)

    def _await_more(self, before: int) -> None:
        """Guards against an answer that says more than comes: it would be waited for to the deadline."""
        self.stalled = self.upstreams.loop.call_later(STALL_MOST, self._look_for_more, before)

    def _look_for_more(self, before: int) -> None:
        # What waits in the socket, or for its turn, has come: only this loop is late.
        if self.size == before and self.unfed is None and not self.came.poll(0):
            self._break()
        else:
            self._await_more(self.size)

    def _size_most(self) -> int:
        """Bytes that an answer which is held may take, framing included."""
        assert self.exchange is not None
        return HEADERS_MOST + (self.exchange.answer_most if self.in_body else 0)

    def eof_received(self) -> None:
        open_ended = self.in_body and not (self.encoding or self.length or self.spoilt or self.unfed)
        if open_ended and self.exchange is not None and self.whole is None:
            code = self.parser.get_status_code()
            self.whole = Response(code, self.headers, bytes(self.body), self.not_run, self.load)
            self._finish()
            return
        if self.exchange is None and not self.closed and self.idle_since:
            now = self.monotonic()
            self.target.ages.closed(now - self.idle_since, now)
        self._break()

    def connection_lost(self, exc: Exception | None) -> None:
        self._break(exc)
        # Guards the memory: the two refer to each other.
        del self.parser

    # The parser's calls

    def on_message_begin(self) -> None:
        if self.whole is not None:
            self.stray = True

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.whole is not None or self.in_body:  # of a second answer, or a trailer
            return
        low, raw = name.lower(), value
        value = value.strip(BLANKS)
        if low == b"x-not-run":
            self.not_run = value.strip() == b"1"
        elif low == b"x-load":
            self.load = value
        elif low == b"content-length":
            self.length = value
        elif low == b"connection":
            self.closes = b"close" in value.lower()
        elif low == b"transfer-encoding":
            # The parser does not know it with a tab behind it, and would take the framing for the body.
            self.encoding = raw.strip(b" ")
        elif low not in HOP_BY_HOP:
            self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        if self.whole is not None or self.parser.get_status_code() < 200:
            return
        self.in_body = True
        assert self.exchange is not None
        if self.exchange.manner:
            code = self.parser.get_status_code()
            if self.exchange.manner is HttpProfile.HEAD:
                # The parser waits for a body that does not come: the connection is of no further use.
                headers = [*self.headers, (b"Content-Length", self.length)] if self.length else self.headers
                self.whole = Response(code, headers, b"", self.not_run, self.load)
                return
            if code in (204, 304):
                return
        # What can't fit, or has no end but the connection's, is known to be of no use before it comes.
        if self.encoding:
            self.spoilt = self.encoding.lower() != b"chunked"
        elif not self.length:
            # Up to the end of the connection (RFC 9112, 6.3), if its server means to end it: where it does
            # not say so it has left the length out, and when it dies that would look like the end.
            self.spoilt = not (self.closes or self.parser.get_http_version() == "1.0")
        elif int(self.length) > self.exchange.answer_most:
            self.spoilt = not self._stream(int(self.length))

    def _stream(self, length: int | None) -> bool:
        """Pass the answer on as it comes from here on; whether that is possible."""
        exchange, code = self.exchange, self.parser.get_status_code()
        assert exchange is not None
        # A failure is the module's to judge, and a request that never ran may go elsewhere.
        if code >= 500 or (length or 0) > exchange.stream_most:
            return False
        if not exchange.begin_answer(code, self.headers, length, self.load):
            return False
        if self.stalled is not None:
            self.stalled.cancel()
            self.stalled = None
        self.streamed = 0
        return True

    def _pass_on(self, data: bytes | bytearray) -> None:
        assert self.exchange is not None
        self.streamed += len(data)
        self.spoilt = self.streamed > self.exchange.stream_most
        if not self.spoilt:
            self.exchange.answer_piece(bytes(data))

    def on_body(self, data: bytes) -> None:
        if self.whole is not None or self.spoilt or self.exchange is None:
            return
        if self.streamed >= 0:
            self._pass_on(data)
            return
        if self.exchange.stream_most and self.held + len(data) > self.exchange.answer_most:
            if self._stream(None):
                self._pass_on(self.body)
                self._pass_on(data)
                self.upstreams.memory.release(self.held)
                self.held, self.body = 0, b""
            else:
                self.spoilt = True
            return
        if not self.upstreams.memory.reserve(len(data)):
            self.spoilt = True
            return
        self.held += len(data)
        self.body = gather(self.body, data)

    def on_message_complete(self) -> None:
        if self.whole is not None:
            return
        code = self.parser.get_status_code()
        if code < 200:  # an interim answer, the real one follows; what came counts on, or it had no bound
            self._begin()
            return
        if self.spoilt:
            return
        # Asked here, since the parser answers for the next message as soon as this call is over: asked
        # later it is always no, and every request pays for a connection of its own.
        self.keep_alive = self.parser.should_keep_alive()
        self.whole = Response(code, self.headers, bytes(self.body), self.not_run, self.load)

    # Ends

    def send(self, exchange: Exchange, now: float) -> bool:
        """Write an exchange; False if the connection was found dead with nothing of it sent."""
        assert not exchange.ended, "what is over is never written"
        # Guards against the race with a server that closes an idle connection: its end may have come
        # while the loop was busy, and a request written after it would count as one that may have run.
        if self.came.poll(0):
            return False
        payload = exchange.compose()
        try:
            sent = self.sock.send(payload)
        except OSError as error:
            if not is_own(error):
                return False
            sent = 0  # the connection stands: its transport writes when it can, or tells that it can't
        self._reset()
        self.sent_at = now
        self.stood = self.sent_at - self.idle_since if self.idle_since else -1.0
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
            rest, self.last = rest[:-1], payload[-1:]
        if rest:
            self.transport.write(rest)
        if not self.transport.is_closing() and not self.transport.get_write_buffer_size():
            self.resume_writing()

    def _finish(self) -> None:
        exchange, answer = self.exchange, self.whole
        assert exchange is not None and answer is not None
        self.exchange = None
        now = self.monotonic()
        if self.stood >= 0.0:
            self.target.ages.note(self.stood, False, now)
        elif answer.not_run and not self.keep_alive:
            self.upstreams.spare.refused(now)
        self._let_go()
        if self.blocked:  # by its last piece: who would let it go on is answered, and it serves others now
            self.block(False)
        written = not self.unwritten and (exchange.upload is None or exchange.upload.sent)
        if self.stray:
            self.upstreams.quarantine.seen(0.0, now)
        if self.keep_alive and written and not self.stray:
            self.upstreams.keep(self, now)
        else:
            self.close()
        exchange.end(classify(answer, exchange.manner), answer)

    def _let_go(self) -> None:
        """Of what an answer took while it came."""
        if self.stalled is not None:
            self.stalled.cancel()
            self.stalled = None
        self.upstreams.memory.release(self.held)
        self.held = 0
        self.body, self.headers, self.whole, self.unfed = b"", [], None, None

    def _break(self, error: Exception | None = None) -> None:
        """The connection is of no more use; what was on it has no whole answer."""
        never, own = self.incomplete, is_own(error)
        exchange, self.exchange = self.exchange, None
        now = self.monotonic()
        died = self.stood >= 0.0 and not self.size and now - self.sent_at < DEAD_WITHIN
        if exchange is not None and died and not own:
            self.target.ages.note(self.stood, True, now)
        self.close()
        if exchange is None:
            return
        if not never:
            exchange.end(Status.RESET)
        elif own and exchange.upload is None:
            exchange.end(Status.NOT_ATTEMPTED)
        else:
            exchange.end(Status.CONNECT_FAILED)

    def close(self, discard: bool = False) -> None:
        """The one end of each connection; whoever reports an attempt as over calls this first."""
        if self.closed:
            return
        self.closed = True
        self.upstreams.dropped(self)
        self._let_go()
        abort_connection(self.sock, self.transport, discard)


def _stands(sock: socket.socket) -> bool:
    """Whether a connection that was begun has come up."""
    try:
        sock.getpeername()
    except OSError:
        return False
    return True


def _check_begun(sock: socket.socket) -> None:
    """Raise EAGAIN if the connect was never begun.

    The loop takes that error for one that is under way (connect(2)), and a socket that does nothing at all
    then looks as if it had come up. It has no local port.
    """
    try:
        port = sock.getsockname()[1]
    except OSError:
        return  # whether it stands is seen when it is written to
    if not port:
        raise OSError(errno.EAGAIN, os.strerror(errno.EAGAIN))


def _connect_end(sock: socket.socket, error: BaseException, late: bool) -> Status | None:
    """What a connect that has failed tells; None if it stands, and only the loop was late to hear of it."""
    # ETIMEDOUT is the same exception, and is the system's word, not the loop's.
    if late and isinstance(error, TimeoutError) and error.errno is None:
        if _stands(sock):
            return None
        try:
            number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        except OSError:
            number = 0
        if not number:  # the system may have been asked for it only just now
            return Status.NOT_ATTEMPTED
        error = OSError(number, os.strerror(number))
    return Status.NOT_ATTEMPTED if is_own(error) else Status.CONNECT_FAILED


def _tune(sock: socket.socket) -> None:
    """Set the options of a connection; one that can't be set (setsockopt(2)) costs time, not the request."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)


def gather(held: bytes | bytearray, data: bytes) -> bytes | bytearray:
    """Add a piece of a body. The first is kept as it came; more go into one buffer, in linear time."""
    if not held:
        return data
    if type(held) is bytes:
        held = bytearray(held)
    held += data
    return held


def classify(answer: Response, manner: HttpProfile = HttpProfile.PLATFORM) -> Status:
    """What an answer proves. Only the header proves that a request never ran, not the code alone."""
    if answer.code == 200 or (manner and answer.code < 500):
        return Status.OK
    if answer.code in (503, 504) and answer.not_run:
        return Status.FULL
    return Status.ERROR


class ConnectionPool:
    """All connections to servers."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        allowance: Allowance,
        memory: MemoryBudget,
        connect_timeout: float,
        idle_most: float,
        backlog: ReadScheduler | None = None,
        deadlines: TimerWheel | None = None,
        elsewhere: Callable[[], bool] | None = None,
        system: System = SYSTEM,
    ) -> None:
        self.loop = loop
        self.system = system
        self.monotonic = system.monotonic
        self.elsewhere = elsewhere  # closes a connection that another pool does not need
        self.deadlines = deadlines or TimerWheel(loop, system)
        self.backlog = backlog or ReadScheduler(loop, system=system)
        self.lag = self.backlog.lag
        self.allowance = allowance
        self.memory = memory
        self.connect_timeout = connect_timeout
        self.idle_most = idle_most * IDLE_PART
        self.spare = Spare(self.idle_most)
        self.quarantine = Quarantine()
        self.ages = Ages(self.idle_most)  # of all servers
        self.kinds: dict[int, Ages] = {}  # ... and of those of one kind
        self.targets: dict[int, Upstream] = {}
        self.connections: dict[UpstreamConnection, None] = {}
        self.idle: OrderedDict[UpstreamConnection, None] = (
            OrderedDict()
        )  # of all targets, the longest idle first
        self.unneeded: dict[UpstreamConnection, Exchange] = {}  # being made for one that has taken another

    def retune(self, connect_timeout: float, idle_most: float) -> None:
        """Take other times, in seconds; what was learned of idle connections stays, under the new most."""
        self.connect_timeout = connect_timeout
        if idle_most * IDLE_PART == self.idle_most:
            return
        self.idle_most = idle_most * IDLE_PART
        ages = [self.ages, *self.kinds.values(), *(target.ages for target in self.targets.values())]
        every: list[Spare | Ages] = [self.spare, *ages]
        for limited in every:
            limited.most_s = self.idle_most
            limited.limit_s = min(limited.limit_s, self.idle_most)

    # The list

    def update(
        self, server: int, address: tuple[str, int], since_ms: int, state: State, kind: int = 0
    ) -> None:
        """Take news of a server. Idle connections to what it was before are of no use."""
        target = self.targets.get(server)
        if target is None:
            # Kinds are numbered by discovery's names, of which there is a bounded number.
            alike = self.kinds.setdefault(kind, Ages(self.idle_most, self.ages))
            target = self.targets[server] = Upstream(address, since_ms, Ages(self.idle_most, alike))
        elif target.since_ms != since_ms or target.address != address:
            self.close_idle(server)
            if target.address != address:  # what comes up there is this server's no more
                self._give_up_opening(target)
            target.since_ms, target.address = since_ms, address
            target.generation += 1
        target.takes_new = state is State.READY
        if not target.takes_new:
            self.close_idle(server)
            # Guards a drain against requests that still wait for a connection: their first byte would
            # go out after the server was told to be left alone.
            self._give_up_opening(target)

    @staticmethod
    def _give_up_opening(target: Upstream) -> None:
        for exchange in list(target.opening):
            exchange.give_up(Status.CONNECT_FAILED)

    def forget(self, server: int) -> None:
        """Drop a server that is gone; what is out there keeps its connection."""
        target = self.targets.pop(server, None)
        if target is not None:
            target.takes_new = False

    # Exchanges

    def start(self, server: int, exchange: Exchange, timeout: float) -> None:
        """Send an exchange; its end is told later, never from within this call."""
        target = self.targets.get(server)
        if target is None or not target.takes_new:
            self.loop.call_soon(exchange.end, Status.CONNECT_FAILED)
            return
        now = self.monotonic()
        exchange.deadlines = self.deadlines
        self.deadlines.start(exchange, timeout, now)
        while target.idle and (connection := self._take_idle(target, now)) is not None:
            if now - connection.idle_since > target.ages.limit_s:
                connection.close()  # and so have all others of this server stood for too long
                continue
            if connection.send(exchange, now):
                return
            connection.close()  # found dead before anything was written: no attempt was made
        self._open(target, exchange)

    def _open(self, target: Upstream, exchange: Exchange) -> None:
        # Requests have their descriptor set aside, so one of those that are not in use can always go.
        if self.allowance.full and not self._make_room():
            # The own lack says nothing of the server, which must not be held to have failed.
            self.loop.call_soon(exchange.end, Status.NOT_ATTEMPTED)
            return
        try:
            sock = self.system.tcp_socket()
        except OSError:  # out of descriptors in spite of the count: one request less, not the process
            self._make_room()
            self.loop.call_soon(exchange.end, Status.NOT_ATTEMPTED)
            return
        _tune(sock)
        connection = UpstreamConnection(self, target, sock)
        self.connections[connection] = None
        self.allowance.held += 1
        target.opening[exchange] = connection
        exchange.opening = self.loop.create_task(self._connect(target, exchange, connection))

    async def _connect(self, target: Upstream, exchange: Exchange, connection: UpstreamConnection) -> None:
        sock, began_s = connection.sock, self.monotonic()
        try:
            if connection.closed or (exchange.ended and connection not in self.unneeded):
                raise asyncio.CancelledError  # given up before this began
            async with asyncio.timeout(self.connect_timeout):
                await self.loop.sock_connect(sock, target.address)
            _check_begun(sock)
        except (OSError, asyncio.CancelledError) as error:
            # In a late loop the time is up before it is heard that the connection stands, or before the
            # system was asked for it: that says nothing of the server.
            late = self.monotonic() - began_s > self.connect_timeout + LATE_S
            if (status := _connect_end(sock, error, late)) is not None:
                target.opening.pop(exchange, None)
                self.unneeded.pop(connection, None)
                connection.close()
                sock.close()
                if exchange.connection is None:  # else it took one that came free meanwhile
                    exchange.end(status)
                return
        # No cancelling from here on: the loop is taking the descriptor over, and it would be closed twice.
        exchange.opening = None
        self.unneeded.pop(connection, None)
        failed = Status.CONNECT_FAILED
        try:
            await self.loop.create_connection(lambda: connection, sock=sock)
        except OSError as error:
            connection.close()
            if connection.transport is None:
                sock.close()
            if is_own(error):
                failed = Status.NOT_ATTEMPTED
        finally:
            target.opening.pop(exchange, None)
        if exchange.connection is None and not (exchange.ended or exchange.wanted()):
            exchange.end(Status.NOT_ATTEMPTED)
        if exchange.ended or exchange.connection is not None:  # it is over, or took one that came free
            self.keep(connection, self.monotonic())
        elif connection.closed or not connection.send(exchange, self.monotonic()):
            connection.close()
            exchange.end(failed)

    # The pool

    def keep(self, connection: UpstreamConnection, now: float) -> None:
        target = connection.target
        if connection.closed or not target.takes_new or connection.generation != target.generation:
            connection.close()
            return
        # One that waits for a connection of its own need not: the one that is being made is kept instead.
        # Guards against one that was given up while the loop took its connection over: it is in `opening`
        # until that is done, has been reported as never run, and may be out again elsewhere.
        while target.opening:
            exchange = next(iter(target.opening))
            if not exchange.ended and exchange.wanted():
                break
            self._let_be(target, exchange)
            self.loop.call_soon(exchange.end, Status.NOT_ATTEMPTED)
        # One that has just answered may have to rest; one that was made and carried nothing need not.
        if target.opening and (not connection.sent_at or not self.quarantine.limit(now)):
            exchange = next(iter(target.opening))
            if connection.send(exchange, now):
                made = target.opening.pop(exchange)
                if exchange.opening is not None:
                    self.unneeded[made] = exchange
            else:
                connection.close()
            return
        connection.idle_since = now
        target.idle[connection] = None
        self.idle[connection] = None

    def abandon(self, server: int, exchange: Exchange) -> None:
        """Nobody waits for an exchange any more: one that was not written yet never is.

        The connection that is being made for it is kept for others, and says nothing of its server.
        """
        target = self.targets.get(server)
        if exchange.connection is None and not exchange.ended:
            if target is not None and exchange in target.opening:
                self._let_be(target, exchange)
            exchange.end(Status.NOT_ATTEMPTED)

    def _let_be(self, target: Upstream, exchange: Exchange) -> None:
        """Take an exchange that is not to be written from those that wait for a connection."""
        made = target.opening.pop(exchange)
        if exchange.opening is not None:
            self.unneeded[made] = exchange

    def dropped(self, connection: UpstreamConnection) -> None:
        """A connection closes: from here on it is neither counted nor used."""
        self.connections.pop(connection, None)
        self.allowance.held -= 1
        connection.target.idle.pop(connection, None)
        self.idle.pop(connection, None)

    def close_idle(self, server: int) -> None:
        target = self.targets.get(server)
        if target is not None:
            for connection in list(target.idle):
                connection.close()

    def _take_idle(self, target: Upstream, now: float) -> UpstreamConnection | None:
        """The most recently used that has rested: it is the least likely to have been closed meanwhile.

        Where no server was seen to answer twice, one that has not rested is still better than a new one.
        """
        rest_s = self.quarantine.limit(now)
        before = now - (rest_s or QUARANTINE_LEAST_S)
        connection = next(reversed(target.idle))
        if connection.idle_since > before:
            rested = (one for one in reversed(target.idle) if one.idle_since <= before)
            if (found := next(rested, None)) is not None:
                connection = found
            elif rest_s:
                return None
        del target.idle[connection]
        del self.idle[connection]
        return connection

    def _make_room(self) -> bool:
        return self.let_one_go() or (self.elsewhere is not None and self.elsewhere())

    def let_one_go(self) -> bool:
        """Close a connection that nobody needs: the one idle for longest, or one still being made."""
        if self.idle:
            next(iter(self.idle)).close()
            return True
        if self.unneeded:
            connection, exchange = self.unneeded.popitem()
            exchange.call_off()
            connection.close()
            return True
        return False

    def shrink(self) -> None:
        """Close what is not in use until a smaller allowance is kept."""
        while self.allowance.held > self.allowance.most and self._make_room():
            pass

    def sweep(self) -> None:
        """Close what has stood idle well before the server does, or a request would meet its end.

        Looks at servers with idle connections alone: thousands may be listed.
        """
        now = self.monotonic()
        spare_s = self.spare.limit(now)
        for target in dict.fromkeys(connection.target for connection in self.idle):
            before = now - min(target.ages.limit(now), spare_s)
            while target.idle and (first := next(iter(target.idle))).idle_since < before:
                first.close()

    def close(self) -> None:
        for target in self.targets.values():
            self._give_up_opening(target)
        for connection in list(self.connections):
            connection.close()
