"""The application's side: reads requests, hands them to the engine, writes one answer to each."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Protocol

import httptools

from ...admission.clients import Clients
from ...admission.rules import Client
from ...system import System, Watch
from ..loop_lag import LoopLagMonitor
from ..memory_budget import MemoryBudget
from ..read_scheduler import SLICE_BYTES, ReadScheduler, cut
from ..streaming import BUFFER_BYTES, FRAMING_MOST, Upload
from ..upstream.abort import NO_LINGER
from ..upstream.connection_pool import BLANKS, HOP_BY_HOP, HttpProfile, gather
from .arrivals import Arrivals
from .request_parser import BODY_MOST, Message, ParsedRequest, RequestError

HEADERS_MOST = 32 * 1024
HEADER_LINES_MOST = 256  # each costs some hundred bytes beside its own; the usual limit is 100
MESSAGE_MOST = 8 * BODY_MOST  # with the framing of many small chunks
WAITING_MOST = 16  # requests that a client may send ahead of their answers before it is read no further
SLOW_READER = 5.0  # seconds in which a client may read nothing of an answer
LINGER = 2.0  # seconds in which a rejected client may still send, unheard, and read why
LINGER_ANSWERED = 0.3  # ... in which another one may see that its connection has ended, and close it
END = select.POLLRDHUP | select.POLLHUP | select.POLLERR  # the client has ended its side, or all
END_BOTH = select.POLLHUP | select.POLLERR
REASONS = {status.value: status.phrase.encode() for status in HTTPStatus}
BODILESS = frozenset((204, 304))  # answers that have no body and need no length (RFC 9110, 8.6)
READY_TARGET = b"/-/ready"
# Twice or in two forms, each reader may believe another one.
SINGLE = frozenset(
    (b"x-request-id", b"idempotency-key", b"x-deadline", b"x-key", b"x-tenant", b"transfer-encoding")
)
NOT_PASSED_ON = HOP_BY_HOP | {b"expect", b"x-deadline"}


@dataclass(slots=True)
class ReadinessCheck:
    """A question whether this sidecar takes requests."""

    keep_alive: bool


def _too_long(length: bytes) -> bool:
    # The first digits tell: the parser itself bounds how many there may be.
    return length.isdigit() and int(length[:12]) > BODY_MOST


class MessageReader(Protocol):
    """What makes a request of a message, as `Grammar` does."""

    streams: bool  # whether larger bodies may be taken, each up to its request's `body_most`

    def read(self, message: Message) -> ParsedRequest:
        """The request that a message is; RequestError where it is answered here."""
        ...


class FlowControlled(Protocol):
    """Where an answer comes from that is passed on piece by piece."""

    def block(self, on: bool) -> None:
        """Let it wait, or go on."""
        ...


class RequestHandler(Protocol):
    """Who takes requests, as a client's connection needs it."""

    loop: asyncio.AbstractEventLoop
    clients: Clients
    memory: MemoryBudget
    backlog: ReadScheduler
    lag: LoopLagMonitor
    grammar: MessageReader
    draining: bool
    handing: bool  # clients have a newer process to go to, and do so behind their next answer
    taking: bool
    half_close: bool  # a client that has ended its side may still wait for answers

    @property
    def monotonic(self) -> Callable[[], float]:
        """Seconds that pass evenly."""
        ...

    @property
    def system(self) -> System:
        """The machine's clocks and sockets."""
        ...

    @property
    def now(self) -> Callable[[], int]:
        """Nanoseconds on the clock that deadlines are told in."""
        ...

    def admit(self, front: ClientConnection, call: ParsedRequest) -> tuple[int, bytes, bytes] | None:
        """Set aside what a request will need; or the code, headers and text with which it is turned away."""
        ...

    def take(self, front: ClientConnection, call: ParsedRequest) -> None:
        """Take an admitted request: `Front.answer` is called for it once."""
        ...

    def disconnected(self, front: ClientConnection, call: ParsedRequest | None) -> None:
        """The client has gone, with this request open."""
        ...

    def fault(self, text: str) -> None:
        """Log the exception that is being handled, now and then."""
        ...


class ClientConnection(asyncio.Protocol):
    """A client's connection: one request after another, one answer to each in their order."""

    # More than 30 attributes would not share their keys, and each look-up would cost a hash (CPython 3.11).
    __slots__ = (
        "__weakref__",
        "arrivals",
        "begun",
        "body",
        "body_size",
        "came_ns",
        "client",
        "closed",
        "current",
        "deaf",
        "doubled",
        "end",
        "ends_with",
        "engine",
        "headers",
        "held_size",
        "in_body",
        "leaving",
        "lines",
        "linger_s",
        "message_size",
        "messages",
        "over",
        "parser",
        "paused",
        "pumping",
        "queued",
        "size",
        "size_most",
        "slow",
        "sock",
        "source",
        "stays",
        "target",
        "transport",
        "unfed",
        "unread",
        "upload",
        "upload_most",
        "waiting",
    )

    def __init__(self, engine: RequestHandler, client: Client) -> None:
        self.engine = engine
        self.client = client
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.sock: socket.socket | None = None  # as it was accepted, until the transport has it
        self.waiting: deque[ParsedRequest | ReadinessCheck | RequestError] = deque()
        self.current: ParsedRequest | None = None
        self.pumping = False
        self.deaf = False  # nothing more is read: what follows an error cannot be told apart
        self.closed = False
        self.paused = False  # no more is read until some of what waits is answered
        self.unread = False  # the client leaves answers unread
        self.slow: asyncio.TimerHandle | None = None
        self.leaving = False  # it is to be closed as soon as it has a transport
        self.over = False  # the client has ended its side, and waits for answers
        self.messages = 0  # whole ones so far
        self.held_size = 0
        self.unfed: memoryview | None = None  # of what came, until its turn
        self.queued = False  # for that turn
        self.upload: Upload | None = None  # the body of the message that is being read, if it is passed on
        self.upload_most = 0  # bytes of it
        self.source: FlowControlled | None = None  # of the answer that is being passed on
        self.ends_with: bytes | None = None  # what its last byte is followed by; None: it has a length
        self.stays = True  # open after it
        self.arrivals = Arrivals()  # of what was read later than it came
        self.came_ns = 0  # when what is being read had come; 0: just now
        self.end: Watch | None = None  # on the client's end, once it was asked for
        self.linger_s = 0.0  # for which the other side is waited for, once this one has ended; 0 before
        self._begin()

    def _begin(self) -> None:
        self.begun = False  # a message has begun and not ended
        self.doubled = False
        self.target = b""
        self.headers: dict[bytes, bytes] = {}
        self.lines: list[bytes] = []
        self.body: bytes | bytearray = b""
        self.body_size = 0
        self.size = 0  # of all that came of this message
        self.size_most = HEADERS_MOST
        self.message_size = 0  # of what is held of it
        self.in_body = False

    @property
    def owes(self) -> bool:
        """Whether a message has begun and not ended."""
        return self.begun or self.upload is not None

    @property
    def idle(self) -> bool:
        """Whether it can be closed without harm: no request waits, no answer is still on its way out."""
        return not self.busy and not self.deaf

    @property
    def busy(self) -> bool:
        """Whether a request of it is open or waits, or an answer is still on its way out."""
        return self.current is not None or bool(self.waiting) or self.unread

    def calls(self) -> list[ParsedRequest]:
        """The requests of it that are not over."""
        waiting = [item for item in self.waiting if isinstance(item, ParsedRequest)]
        return waiting if self.current is None else [self.current, *waiting]

    def accepted(self, sock: socket.socket) -> None:
        """It was let in; its transport is still to be made."""
        self.sock = sock

    # The transport's calls

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        self.sock = None
        transport.set_write_buffer_limits(high=0)  # type: ignore[attr-defined]
        if self.leaving:
            transport.abort()  # type: ignore[attr-defined]
        elif not self.engine.taking:  # it was let in just before the end: what it asked already is answered
            self.leave()

    def data_received(self, data: bytes) -> None:
        if self.deaf or self.closed:
            return
        if len(data) <= SLICE_BYTES:
            began_s = self.engine.monotonic()
            self._feed(data)
            self.engine.lag.took(began_s, "a client's message")
            return
        # What can be told from the first slice, such as that nothing of it is of use, need not be held.
        self._feed(data[:SLICE_BYTES])
        if self.deaf or self.closed:
            return
        rest = memoryview(data)[SLICE_BYTES:]
        if not self.engine.memory.reserve(len(rest)):
            self._reject(503, "too much is held")
            self._pump()
            self.engine.clients.place(self)
            return
        self.unfed = rest
        self._pause()
        self._resume()

    def feed_slice(self) -> bool:
        if self.leaving:  # nobody is left to answer: nothing more may be taken
            self._drop_unfed()
        if self.unfed is not None:
            data, self.unfed = cut(self.unfed)
            self.engine.memory.release(len(data))
            self._feed(data)
        if self.deaf:
            self._drop_unfed()
        self.queued = self.unfed is not None and not self._must_wait()
        if not self.queued:
            self._resume()
        return self.queued

    def _drop_unfed(self) -> None:
        if self.unfed is not None:
            self.engine.memory.release(len(self.unfed))
            self.unfed = None

    def _feed(self, data: bytes) -> None:
        self.size += len(data)
        if self.arrivals.marks:
            self.came_ns = self.arrivals.came_ns(not self.paused)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400, "upgrades are not known here")
        except httptools.HttpParserCallbackError:
            self.engine.fault("a request could not be read")
            self._reject(400, "unreadable request")
        except httptools.HttpParserError:
            self._reject(400, "malformed request")
        # Guards the memory: the parser itself holds a header line of any length.
        if self.size > self.size_most:
            self._reject(431, "headers are too long")
        self.arrivals.read += len(data)
        if self.in_body:
            self.engine.clients.progress(self.client, len(data))
        self._pump()
        self.engine.clients.place(self)

    def expire(self) -> None:
        """Its message has not come to an end in time; what it was taken for before is answered first."""
        if self.owes:
            self._reject(408, "the request took too long to come")
            self._pump()
            self.engine.clients.place(self)
        elif self.idle:
            self.leave()

    def eof_received(self) -> bool:
        between = not self.owes and self.unfed is None
        if self.engine.half_close and self.busy and between:
            self.over = True
            return True
        self.close()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        if self.slow is not None:
            self.slow.cancel()
        self._end_message()
        self._release(self.held_size)
        self._drop_unfed()
        call, self.current = self.current, None
        self.waiting.clear()
        # Guards the memory as below: both lead back here by what they wait for.
        self.upload = self.source = None
        # Guards the memory: the two refer to each other, and a day of ever new connections would leave
        # them all to the collector, which comes seldom.
        del self.parser
        self.engine.disconnected(self, call)

    def pause_writing(self) -> None:
        # Guards the memory against clients that ask and do not read.
        self.unread = True
        if self.source is not None:
            self.source.block(True)
        if self.slow is None:
            self._await_reader()

    def _await_reader(self) -> None:
        assert self.transport is not None
        left = self.transport.get_write_buffer_size()
        self.slow = self.engine.loop.call_later(SLOW_READER, self._look_for_reader, left)

    def _look_for_reader(self, before: int) -> None:
        if self.transport is None or self.transport.get_write_buffer_size() == before:
            self.close()
        else:
            self._await_reader()

    def resume_writing(self) -> None:
        self.unread = False
        if self.slow is not None:
            self.slow.cancel()
            self.slow = None
        if self.linger_s:  # the time begins when the last of it has gone
            self.slow = self.engine.loop.call_later(self.linger_s, self.close)
        if self.source is not None:
            self.source.block(False)
        self._pump()
        self.engine.clients.place(self)
        if self.idle and (self.over or not self.engine.taking):
            self.leave()

    # The parser's calls

    def on_message_begin(self) -> None:
        self.begun = True

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        if self.in_body:  # a trailer
            return
        low = name.lower()
        # The parser does not know `chunked` with a tab behind it.
        value = value.strip(b" " if low == b"transfer-encoding" else BLANKS)
        headers = self.headers
        if low in headers:
            if low in SINGLE:
                self.doubled = True
            elif low == b"host":
                value = headers[low] + b", " + value  # no host: routes must not choose one of two
        headers[low] = value
        if low not in NOT_PASSED_ON:
            self.lines.append(b"%b: %b\r\n" % (name, value))

    def on_headers_complete(self) -> None:
        self.in_body = True
        self.size_most = MESSAGE_MOST
        headers = self.headers
        size = sum(map(len, self.lines)) + len(self.target)
        if size > HEADERS_MOST or len(self.lines) > HEADER_LINES_MOST:
            self._reject(431, "headers are too long")
        elif b"transfer-encoding" in headers and headers[b"transfer-encoding"].lower() != b"chunked":
            self._reject(501, "Transfer-Encoding must be chunked")
        elif self._hold(size):
            asked = b"expect" in headers and headers[b"expect"].lower() == b"100-continue" and self.idle
            if b"content-length" in headers and _too_long(headers[b"content-length"]):
                self._begin_upload(int(headers[b"content-length"]))
            if asked and not self.deaf:
                self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _begin_upload(self, length: int | None) -> None:
        """Take a request whose body is too large to be held: its bytes follow as they come."""
        if not self.engine.grammar.streams:
            self._reject(413, "the body is too large")
            return
        try:
            if self.doubled:
                raise RequestError(400, "a header came twice")
            call = self._read(b"")
        except RequestError as problem:
            self._reject(problem.code, str(problem), self.parser.get_method() == b"HEAD")
            return
        if (length or self.body_size) > call.body_most:
            self._reject(413, "the body is too large")
        elif self._hold(max(BUFFER_BYTES - self.message_size, 0)):
            self.upload = call.upload = Upload(length, bytes(self.body), self._resume)
            self.body = b""
            self.size_most = HEADERS_MOST + FRAMING_MOST * call.body_most
            self._end_message()
            self.begun = False
            self.messages += 1
            call.size, self.message_size = self.message_size, 0
            self.upload_most = call.body_most
            self.waiting.append(call)

    def _feed_upload(self, upload: Upload, data: bytes) -> None:
        if self.body_size > self.upload_most:
            self._spoil(upload, 413, "the body is too large")
            return
        upload.feed(data)
        if upload.full:
            self._pause()

    def _spoil(self, upload: Upload, code: int, text: str) -> None:
        """The rest of a body can't be passed on: its request, which is taken or waits, is answered so."""
        self.deaf = True
        self.upload = None
        upload.spoil(code, text)

    def _read(self, body: bytes) -> ParsedRequest:
        """The message as a request; RequestError where it is answered here."""
        return self.engine.grammar.read(
            Message(
                self.came_ns or self.engine.now(),
                self.parser.get_method(),
                self.target,
                self.headers,
                self.lines,
                body,
                self.parser.should_keep_alive(),
                self.engine.grammar.streams and self.parser.get_http_version() == "1.0",
            )
        )

    def on_body(self, data: bytes) -> None:
        if self.deaf:
            return
        self.body_size += len(data)
        if self.upload is not None:
            self._feed_upload(self.upload, data)
        elif self.body_size > BODY_MOST:
            self._begin_upload(None)
            if self.upload is not None:
                self._feed_upload(self.upload, data)
        elif self._hold(len(data)):
            self.body = gather(self.body, data)

    def _hold(self, size: int) -> bool:
        """Account for more of a message; one that there is no room for is refused here."""
        if not self.engine.memory.reserve(size):
            self._reject(503, "too much is held")
            return False
        if not self.engine.clients.hold(self.client, size):
            self.engine.memory.release(size)
            self._reject(429, "too much is unfinished from this address")
            return False
        self.held_size += size
        self.message_size += size
        return True

    def _end_message(self) -> None:
        """The message is unfinished no more, whatever becomes of it."""
        self.engine.clients.free(self.client, self.message_size)

    def on_message_complete(self) -> None:
        if self.deaf:
            return
        if self.parser.should_upgrade():
            self._reject(400, "upgrades are not known here")
            return
        if self.upload is not None:
            upload, self.upload = self.upload, None
            self._begin()
            upload.finish(self.engine.now())
            return
        self.messages += 1
        keep_alive = self.parser.should_keep_alive()
        if self.target == READY_TARGET:
            self.waiting.append(ReadinessCheck(keep_alive))
            self._release(self.message_size)
        else:
            try:
                if self.doubled:
                    raise RequestError(400, "a header came twice")
                call = self._read(bytes(self.body))
                call.size = self.message_size
                self.waiting.append(call)
            except RequestError as problem:
                problem.keep_alive = keep_alive
                problem.head = self.parser.get_method() == b"HEAD"
                self.waiting.append(problem)
                self._release(self.message_size)
        self._end_message()
        self._begin()
        if len(self.waiting) >= WAITING_MOST:
            self._pause()

    def _pause(self) -> None:
        if not self.paused and self.transport is not None:
            self.paused = True
            self.transport.pause_reading()
            self._count_unread()
            if self.upload is not None:
                self.upload.stopped_ns = self.engine.now()

    def _resume(self) -> None:
        """Read on, what came already first, unless too much of it still has to be answered."""
        if not self.paused:
            return
        self._count_unread()
        if self._must_wait() and not self.deaf:
            return
        if self.unfed is not None:
            if not self.queued:
                self.queued = True
                self.engine.backlog.add(self)
        elif self.transport is not None and not self.transport.is_closing():
            self.paused = False
            self.transport.resume_reading()
            if self.upload is not None:
                self.upload.resumed_ns = self.engine.now()

    def _count_unread(self) -> None:
        """Note how much has come by now that waits for its turn; its client's time runs."""
        if self.transport is not None and not self.transport.is_closing():
            sock = self.transport.get_extra_info("socket")
            there = self.engine.system.unread(sock) if sock is not None else 0
            held = len(self.unfed) if self.unfed is not None else 0
            self.arrivals.mark(self.engine.now(), held + there)

    def _must_wait(self) -> bool:
        """Whether no more may be read for now."""
        return len(self.waiting) >= WAITING_MOST or (self.upload is not None and self.upload.full)

    def _release(self, size: int) -> None:
        self.engine.memory.release(size)
        self.held_size -= size

    # Answers

    def _reject(self, code: int, text: str, head: bool = False) -> None:
        """Answer what was sent before it, then this, and close: where a next request begins is not known."""
        if self.upload is not None and not self.deaf:
            self._spoil(self.upload, code, text)  # the request is taken: it gets this for its one answer
        if not self.deaf:
            self.deaf = True
            self.begun = False
            self._end_message()
            self._release(self.message_size)
            self.message_size = 0
            self.body = b""
            problem = RequestError(code, text)
            problem.head = head
            self.waiting.append(problem)

    def _pump(self) -> None:
        """Take up what waits, one at a time."""
        if self.pumping:
            return
        self.pumping = True
        try:
            while self.waiting and self.current is None and not self.unread and not self.closed:
                item = self.waiting.popleft()
                if isinstance(item, ParsedRequest):
                    problem = item.upload.problem if item.upload is not None else None
                    refusal: tuple[int, bytes, bytes] | None
                    if problem is not None:
                        refusal = (problem[0], b"", problem[1])
                    else:
                        refusal = self.engine.admit(self, item)
                    if refusal is None:
                        self.current = item
                        self.engine.take(self, item)
                    else:
                        self._release(item.size)
                        if item.upload is not None:
                            self._stop_upload(item.upload, item)
                        self._respond(*refusal, item.keep_alive, item.manner is HttpProfile.HEAD)
                elif isinstance(item, ReadinessCheck):
                    ok = not self.engine.draining
                    text = b"ready\n" if ok else b"draining\n"
                    self._respond(200 if ok else 503, b"", text, item.keep_alive)
                else:
                    text = f"{item}\n".encode()
                    self._respond(item.code, b"", text, item.keep_alive and not self.deaf, item.head)
        finally:
            self.pumping = False
        self._resume()

    def answer(self, call: ParsedRequest, code: int, headers: bytes, body: bytes) -> None:
        """The final answer to the request that is being served."""
        if self.current is not call:
            return
        self.current = None
        self._release(call.size)
        if call.told:
            headers += call.told
        if call.upload is not None:
            self._stop_upload(call.upload, call)
        self._respond(code, headers, body, call.keep_alive, call.manner is HttpProfile.HEAD)
        self._pump()
        self.engine.clients.place(self)

    def _stop_upload(self, upload: Upload, call: ParsedRequest) -> None:
        """Its request is answered before its body has come: where the next one begins will not be known."""
        if not upload.ended:
            call.keep_alive = False
            self.deaf = True
            self.upload = None

    def begin_answer(
        self, call: ParsedRequest, code: int, headers: bytes, length: int | None, paced: FlowControlled
    ) -> bool:
        """Begin the final answer to the request that is being served; its body follows in pieces.

        Args:
            length: of the body in bytes; None where its end is told by its chunks.
            paced: waits while the client does not read.

        Returns:
            False if this client waits for it no more.
        """
        if self.current is not call:
            return False
        if call.upload is not None:
            self._stop_upload(call.upload, call)
        self.source = paced
        self.stays = call.keep_alive and self._stays()
        self.ends_with = None
        if length is not None:
            framing = b"Content-Length: %d\r\n" % length
        elif call.old:  # it knows no chunks: the end of the connection ends its answer
            framing, self.stays = b"", False
        else:
            framing, self.ends_with = b"Transfer-Encoding: chunked\r\n", b"0\r\n\r\n"
        self._write(_head(code, headers + call.told + framing, self.stays))
        return True

    def answer_piece(self, call: ParsedRequest, data: bytes) -> None:
        """The next bytes of the answer that has begun."""
        if self.current is call and data:
            self._write(data if self.ends_with is None else b"%x\r\n%s\r\n" % (len(data), data))

    def end_answer(self, call: ParsedRequest, whole: bool) -> None:
        """The answer that has begun is over; one that is not whole ends its connection, so that it shows."""
        if self.current is not call:
            return
        self.current = self.source = None
        self._release(call.size)
        if not whole:
            self.close(reset=True)
            return
        if self.ends_with is not None:
            self._write(self.ends_with)
        if not self.stays:
            self._leave()
        self._pump()
        self.engine.clients.place(self)

    def _stays(self) -> bool:
        """Whether the connection is of use after the next answer.

        One that has asked again, or begun to, is at a planned end too: all that it asks has its own answer.
        """
        if self.waiting or self.unfed is not None or self.begun:
            return True
        if self.over:
            return False
        return (self.engine.taking and not self.engine.handing) or self.asks()

    def _respond(self, code: int, headers: bytes, body: bytes, keep_alive: bool, head: bool = False) -> None:
        keep_alive = keep_alive and self._stays()
        if code in BODILESS or (head and b"Content-Length: " in headers):
            length = b""
        else:
            length = b"Content-Length: %d\r\n" % len(body)
        self._write(_head(code, headers + length, keep_alive) + (b"" if head else body))
        if not keep_alive:
            self._leave()

    def leave(self) -> None:
        """Close while nothing of this client is open, unless something of it waits to be read."""
        if self.transport is not None and not self.asks():
            self._leave()
            self.engine.clients.place(self)

    def give_way(self) -> None:
        """Close for the sake of others, who need its place: what it has begun to ask is refused first."""
        if self.transport is None or not self.owes:
            self.close()
            return
        self.refuse_rest("its place was needed")
        self.leaving = True
        self.transport.close()  # at once, unless the refusal has to wait to go

    def refuse_rest(self, text: str) -> None:
        """Turn away what it has begun to ask, behind the answers to what it has asked."""
        if self.owes:
            self._reject(503, text)
            self._pump()
            self.engine.clients.place(self)

    def asks(self) -> bool:
        """Whether bytes of the client, or its end, are there that were not read yet."""
        if self.closed or (self.transport is None and self.sock is None):
            return False
        return self.unfed is not None or (not self.over and bool(self._poll()))

    def _poll(self) -> list[tuple[int, int]]:
        try:
            return self._watch_end().poll(0)
        except (OSError, ValueError):  # no memory to look; or its descriptor is closed
            return []

    def gone(self) -> bool:
        """Whether the client has closed, also where that stands behind what was not read yet.

        Guards servers against work that nobody waits for: the end of a client that is read no further, or
        that came while this loop stood still, is not heard before timers have fired.
        """
        if self.closed or self.transport is None:
            return self.closed
        found = self._poll()
        if not found or not found[0][1] & (END_BOTH if self.engine.half_close else END):
            return False
        self.engine.loop.call_soon(self.close)
        return True

    def _watch_end(self) -> Watch:
        if self.end is None:
            sock = self.sock if self.transport is None else self.transport.get_extra_info("socket")
            assert sock is not None
            self.end = self.engine.system.watch_end(sock)
        return self.end

    def _leave(self) -> None:
        """End the connection behind the last answer: its own side first, the rest once that was seen.

        Guards answers that are still on their way against a reset, which is what a close makes of bytes
        that come meanwhile (RFC 9112, 9.6). What is read from here on is not taken.
        """
        if self.transport is None or self.transport.is_closing():
            return
        self.waiting.clear()
        self.linger_s = LINGER if self.deaf else LINGER_ANSWERED
        self.deaf = True
        try:
            self.transport.write_eof()  # once what was written has gone
        except OSError:  # it was reset meanwhile
            self.transport.abort()
            return
        if self.slow is None:
            self.slow = self.engine.loop.call_later(self.linger_s, self.close)
        if self.paused:  # or the client's end would not be seen
            self.paused = False
            self.transport.resume_reading()

    def _write(self, data: bytes) -> None:
        if self.transport is not None and not self.linger_s and not self.transport.is_closing():
            self.transport.write(data)

    def close(self, reset: bool = False) -> None:
        """Close at once; with a reset, what the client has got so far shows as not whole in any framing."""
        self.leaving = True
        if self.transport is None:
            return
        if reset and (sock := self.transport.get_extra_info("socket")) is not None:
            with contextlib.suppress(OSError):  # it has gone already
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
        self.transport.abort()


def _head(code: int, lines: bytes, keep_alive: bool) -> bytes:
    close = b"" if keep_alive else b"Connection: close\r\n"
    return b"HTTP/1.1 %d %s\r\n%s%s\r\n" % (code, REASONS.get(code, b"Unknown"), lines, close)
