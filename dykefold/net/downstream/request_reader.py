"""Requests of a client's connection: input in slices, limits, the parser's callbacks, message assembly."""

from __future__ import annotations

import httptools

from ..read_scheduler import SLICE_BYTES, cut
from ..streaming import BUFFER_BYTES, MAX_FRAMING_FACTOR, Upload
from ..upstream.http_fields import BLANKS, HOP_BY_HOP, gather
from .connection_state import CLOSED, ENDED, MAX_HEADERS_BYTES, ReadinessCheck
from .request_parser import MAX_BUFFERED_BODY_BYTES, Message, ParsedRequest, RequestError
from .response_writer import ResponseWriter

MAX_HEADER_LINES = 256  # Each line costs some hundred bytes of memory in addition to its text.
MAX_MESSAGE_BYTES = 8 * MAX_BUFFERED_BODY_BYTES  # The framing of small chunks is larger than the body.
MAX_WAITING_REQUESTS = 16  # Reading pauses while this number of pipelined requests waits.
READY_TARGET = b"/-/ready"
# A request that repeats one of these is rejected: an endpoint could use another value than the sidecar.
SINGLE_VALUE_HEADERS = frozenset(
    (b"x-request-id", b"idempotency-key", b"x-deadline", b"x-key", b"x-tenant", b"transfer-encoding")
)
NOT_FORWARDED = HOP_BY_HOP | {b"expect", b"x-deadline"}


class RequestReader(ResponseWriter):
    """The reading layer of a client's connection."""

    __slots__ = ()

    def data_received(self, data: bytes) -> None:
        """Parse the first slice immediately; the rest of longer input waits for the read scheduler."""
        if self.discarding_input or self.lifecycle is CLOSED:
            return
        if len(data) <= SLICE_BYTES:
            began_s = self.handler.monotonic()
            self._parse(data)
            self.handler.lag.took(began_s, "a client's message")
            return
        # The first slice may cause the rest to be discarded; then no memory is needed for it.
        self._parse(data[:SLICE_BYTES])
        if self.discarding_input or self.lifecycle is CLOSED:
            return
        rest = memoryview(data)[SLICE_BYTES:]
        if not self.handler.memory.reserve(len(rest)):
            self._reject(503, "too much is held")
            self._dispatch_waiting()
            self.handler.clients.update(self)
            return
        self.unfed = rest
        self._pause()
        self._resume()

    def feed_slice(self) -> bool:
        """Parse the next slice; return whether another one can be parsed in the loop's next iteration."""
        if self.lifecycle in ENDED:  # A request can no longer be answered, so none may be accepted.
            self._drop_unfed()
        if self.unfed is not None:
            data, self.unfed = cut(self.unfed)
            self.handler.memory.release(len(data))
            self._parse(data)
        if self.discarding_input:
            self._drop_unfed()
        self.scheduled = self.unfed is not None and not self._is_full()
        if not self.scheduled:
            self._resume()
        return self.scheduled

    def _drop_unfed(self) -> None:
        """Discard input that was read and not parsed."""
        if self.unfed is not None:
            self.handler.memory.release(len(self.unfed))
            self.unfed = None

    def _parse(self, data: bytes) -> None:
        """Parse a slice, for which the parser calls the `on_...` methods."""
        self.message_bytes += len(data)
        if self.arrivals.marks:
            self.arrived_ns = self.arrivals.arrival_ns(not self.paused)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400, "upgrades are not known here")
        except httptools.HttpParserCallbackError:
            self.handler.log_exception("a request could not be read")
            self._reject(400, "unreadable request")
        except httptools.HttpParserError:
            self._reject(400, "malformed request")
        # The parser itself has no limit on the length of a header line.
        if self.message_bytes > self.max_message_bytes:
            self._reject(431, "headers are too long")
        self.arrivals.read += len(data)
        if self.in_body:
            self.handler.clients.record_body(self.client, len(data))
        self._dispatch_waiting()
        self.handler.clients.update(self)

    def expire(self) -> None:
        """Reject the message that was not complete in time, after the responses to earlier messages."""
        if self.message_unfinished:
            self._reject(408, "the request took too long to come")
            self._dispatch_waiting()
            self.handler.clients.update(self)
        elif self.idle:
            self.close_when_idle()

    # Flow control

    def _pause(self) -> None:
        """Stop reading from the socket."""
        if not self.paused and self.transport is not None:
            self.paused = True
            self.transport.pause_reading()
            self._count_unread()
            if self.upload is not None:
                self.upload.stopped_ns = self.handler.now()

    def _resume(self) -> None:
        """Resume reading, first from `unfed`, unless too many requests await their responses."""
        if not self.paused:
            return
        self._count_unread()
        if self._is_full() and not self.discarding_input:
            return
        if self.unfed is not None:
            if not self.scheduled:
                self.scheduled = True
                self.handler.read_scheduler.add(self)
        elif self.transport is not None and not self.transport.is_closing():
            self.paused = False
            self.transport.resume_reading()
            if self.upload is not None:
                self.upload.resumed_ns = self.handler.now()

    def _count_unread(self) -> None:
        """Record how many unparsed bytes have arrived: the deadlines of requests in them count from now."""
        if self.transport is not None and not self.transport.is_closing():
            sock = self.transport.get_extra_info("socket")
            in_kernel_bytes = self.handler.system.unread(sock) if sock is not None else 0
            unfed_bytes = len(self.unfed) if self.unfed is not None else 0
            self.arrivals.mark(self.handler.now(), unfed_bytes + in_kernel_bytes)

    def _is_full(self) -> bool:
        """Return whether reading must pause."""
        return len(self.waiting) >= MAX_WAITING_REQUESTS or (self.upload is not None and self.upload.full)

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Record that a message has begun."""
        self.message_begun = True

    def on_url(self, url: bytes) -> None:
        """Append to the request target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header, both by its name and as the line that is forwarded."""
        if self.in_body:  # Trailers are dropped.
            return
        lower_name = name.lower()
        # The parser does not accept `chunked` followed by a tab, so the tab must stay visible here.
        value = value.strip(b" " if lower_name == b"transfer-encoding" else BLANKS)
        headers = self.headers
        if lower_name in headers:
            if lower_name in SINGLE_VALUE_HEADERS:
                self.duplicate_header = True
            elif lower_name == b"host":
                value = headers[lower_name] + b", " + value  # The result is no host, and matches no route.
        headers[lower_name] = value
        if lower_name not in NOT_FORWARDED:
            self.header_lines.append(b"%b: %b\r\n" % (name, value))

    def on_headers_complete(self) -> None:
        """Check the limits of headers, and begin an upload if the announced body is too large to buffer."""
        self.in_body = True
        self.max_message_bytes = MAX_MESSAGE_BYTES
        headers = self.headers
        size = sum(map(len, self.header_lines)) + len(self.target)
        if size > MAX_HEADERS_BYTES or len(self.header_lines) > MAX_HEADER_LINES:
            self._reject(431, "headers are too long")
        elif b"transfer-encoding" in headers and headers[b"transfer-encoding"].lower() != b"chunked":
            self._reject(501, "Transfer-Encoding must be chunked")
        elif self._reserve(size):
            expects = b"expect" in headers and headers[b"expect"].lower() == b"100-continue" and self.idle
            if b"content-length" in headers and _exceeds_max_body(headers[b"content-length"]):
                self._begin_upload(int(headers[b"content-length"]))
            if expects and not self.discarding_input:
                self._write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Buffer a piece of a body, or pass it on if the body is an upload."""
        if self.discarding_input:
            return
        self.body_bytes += len(data)
        if self.upload is not None:
            self._feed_upload(self.upload, data)
        elif self.body_bytes > MAX_BUFFERED_BODY_BYTES:
            self._begin_upload(None)
            if self.upload is not None:
                self._feed_upload(self.upload, data)
        elif self._reserve(len(data)):
            self.body = gather(self.body, data)

    def on_message_complete(self) -> None:
        """Queue the message as a request, a readiness check or an error."""
        if self.discarding_input:
            return
        if self.parser.should_upgrade():
            self._reject(400, "upgrades are not known here")
            return
        if self.upload is not None:
            upload, self.upload = self.upload, None
            self._reset_message()
            upload.finish(self.handler.now())
            return
        self.messages += 1
        keep_alive = self.parser.should_keep_alive()
        if self.target == READY_TARGET:
            self.waiting.append(ReadinessCheck(keep_alive))
            self._release(self.message_reserved_bytes)
        else:
            try:
                request = self._build_request(bytes(self.body))
                request.size = self.message_reserved_bytes
                self.waiting.append(request)
            except RequestError as problem:
                problem.keep_alive = keep_alive
                problem.head = self.parser.get_method() == b"HEAD"
                self.waiting.append(problem)
                self._release(self.message_reserved_bytes)
        self._end_unfinished()
        self._reset_message()
        if len(self.waiting) >= MAX_WAITING_REQUESTS:
            self._pause()

    # Messages

    def _build_request(self, body: bytes) -> ParsedRequest:
        """Return the message as a request.

        Raises:
            RequestError: The sidecar itself answers the message; no endpoint gets it.
        """
        if self.duplicate_header:
            raise RequestError(400, "a header came twice")
        return self.handler.parser.read(
            Message(
                self.arrived_ns or self.handler.now(),
                self.parser.get_method(),
                self.target,
                self.headers,
                self.header_lines,
                body,
                self.parser.should_keep_alive(),
                self.handler.parser.streams and self.parser.get_http_version() == "1.0",
            )
        )

    def _reserve(self, size: int) -> bool:
        """Reserve memory for more of a message; reject the message if there is no capacity."""
        if not self.handler.memory.reserve(size):
            self._reject(503, "too much is held")
            return False
        if not self.handler.clients.reserve_unfinished(self.client, size):
            self.handler.memory.release(size)
            self._reject(429, "too much is unfinished from this address")
            return False
        self.reserved_bytes += size
        self.message_reserved_bytes += size
        return True

    def _reject(self, code: int, text: str, head: bool = False) -> None:
        """Queue an error as the last response, and discard input: the next message's start is unknown."""
        if self.upload is not None and not self.discarding_input:
            # The request of the upload is accepted or waiting; this error is its one answer.
            self._fail_upload(self.upload, code, text)
        if not self.discarding_input:
            self.discarding_input = True
            self.message_begun = False
            self._end_unfinished()
            self._release(self.message_reserved_bytes)
            self.message_reserved_bytes = 0
            self.body = b""
            problem = RequestError(code, text)
            problem.head = head
            self.waiting.append(problem)

    # Streamed bodies

    def _begin_upload(self, length: int | None) -> None:
        """Queue a request whose body is too large to buffer; its bytes are streamed as they arrive.

        Args:
            length: Bytes of the body; None if it is chunked.
        """
        if not self.handler.parser.streams:
            self._reject(413, "the body is too large")
            return
        try:
            request = self._build_request(b"")
        except RequestError as problem:
            self._reject(problem.code, str(problem), self.parser.get_method() == b"HEAD")
            return
        if (length or self.body_bytes) > request.max_body_bytes:
            self._reject(413, "the body is too large")
        elif self._reserve(max(BUFFER_BYTES - self.message_reserved_bytes, 0)):
            self.upload = request.upload = Upload(length, bytes(self.body), self._resume)
            self.body = b""
            self.max_message_bytes = MAX_HEADERS_BYTES + MAX_FRAMING_FACTOR * request.max_body_bytes
            self._end_unfinished()
            self.message_begun = False
            self.messages += 1
            request.size, self.message_reserved_bytes = self.message_reserved_bytes, 0
            self.max_upload_bytes = request.max_body_bytes
            self.waiting.append(request)

    def _feed_upload(self, upload: Upload, data: bytes) -> None:
        """Pass on a piece of a body."""
        if self.body_bytes > self.max_upload_bytes:
            self._fail_upload(upload, 413, "the body is too large")
            return
        upload.feed(data)
        if upload.full:
            self._pause()

    def _fail_upload(self, upload: Upload, code: int, text: str) -> None:
        """Discard the rest of a body; its request, which is accepted or waiting, gets this answer."""
        self.discarding_input = True
        self.upload = None
        upload.spoil(code, text)


def _exceeds_max_body(length: bytes) -> bool:
    # The first digits suffice, since the parser limits their number.
    return length.isdigit() and int(length[:12]) > MAX_BUFFERED_BODY_BYTES
