"""Assembly of the messages on a client connection from parser callbacks, within size limits.

| state | fields | next |
| --- | --- | --- |
| between messages | none of the fields below | in a message |
| in a message | `message_begun` (then also `in_body`) | between messages; in an upload; discarded |
| in an upload: the body is being streamed to an endpoint | `upload` | between messages; discarded |
| discarded: the start of the next message is unknown | `discarding_input` | |
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

import httptools

from ...admission.client import Client
from ...admission.decision import RejectionReason
from ..head_memory import (
    MAX_HEADER_LINES,
    SMALL_HEAD_BYTES,
    SMALL_HEAD_LINES,
    TrailerLimit,
    head_memory_bytes,
)
from ..streaming import MAX_FRAMING_FACTOR, UPLOAD_HIGH_WATER_BYTES, Upload
from ..upstream.http_fields import BLANKS, HOP_BY_HOP, gather
from .protocols import InputControl, ItemReceiver, ServerContext
from .request_parser import MAX_BUFFERED_BODY_BYTES, Message, ParsedRequest, RequestError

MAX_HEADERS_BYTES = 32 * 1024
MAX_MESSAGE_BYTES = 8 * MAX_BUFFERED_BODY_BYTES  # The framing of small chunks is larger than their data.
LARGE_BODY_BYTES = 8 * 1024
MAX_WAITING_REQUESTS = 16  # Reading pauses while this many pipelined requests wait.
READY_TARGET = b"/-/ready"
# A request that repeats one of these is rejected: an endpoint could use a different value than the sidecar.
SINGLE_VALUE_HEADERS = frozenset(
    (b"x-request-id", b"idempotency-key", b"x-deadline", b"x-key", b"x-tenant", b"transfer-encoding")
)
NOT_FORWARDED = HOP_BY_HOP | {b"expect", b"x-deadline"}


@dataclass(slots=True)
class ReadinessCheck:
    """A readiness check of this sidecar by a client.

    Attributes:
        keep_alive: Whether the client wants the connection to stay open.
    """

    keep_alive: bool


class RequestAssembler:
    """Turns the input of one connection into requests, readiness checks and errors.

    Args:
        server: Server of the connection.
        client: Record of the client that admission created.
        receiver: Receiver of the items in `waiting`.
        input_control: Reader of the input, which is paused while too much is queued.

    Attributes:
        parser: HTTP parser, which calls the `on_...` methods.
        waiting: Queue of requests, readiness checks and errors that are not served yet, in order of arrival.
        messages: Number of complete messages received.
        reserved_bytes: Number of bytes reserved from the memory budget, for all pending messages.
        discarding_input: Whether input is discarded because the start of the next message is unknown.
        message_begun: Whether a message has begun and is not complete, other than an upload.
        in_body: Whether the headers of the current message are complete.
        upload: Body of the current message if it is streamed; None otherwise.
        arrived_ns: Time on the clock of deadlines, in nanoseconds, at which the bytes that are being parsed
            arrived; 0 if they have just arrived.
        message_bytes: Number of bytes received of the current message, including its framing.
        max_message_bytes: Number of bytes above which the current message is rejected.
    """

    __slots__ = (
        "_body",
        "_body_bytes",
        "_client",
        "_clients",
        "_duplicate_header",
        "_header_lines",
        "_headers",
        "_input",
        "_max_upload_bytes",
        "_memory",
        "_message_reserved_bytes",
        "_receiver",
        "_server",
        "_target",
        "_trailers",
        "arrived_ns",
        "discarding_input",
        "in_body",
        "max_message_bytes",
        "message_begun",
        "message_bytes",
        "messages",
        "parser",
        "reserved_bytes",
        "upload",
        "waiting",
    )

    def __init__(
        self, server: ServerContext, client: Client, receiver: ItemReceiver, input_control: InputControl
    ) -> None:
        self._server = server
        self._clients = server.clients
        self._memory = server.memory
        self._client = client
        self._receiver = receiver
        self._input = input_control
        self._max_upload_bytes = 0
        self.parser = httptools.HttpRequestParser(self)
        self.waiting: deque[ParsedRequest | ReadinessCheck | RequestError] = deque()
        self.messages = 0
        self.reserved_bytes = 0
        self.discarding_input = False
        self.upload: Upload | None = None
        self.arrived_ns = 0
        self._reset_message()

    def _reset_message(self) -> None:
        self.message_begun = False
        self.in_body = False
        self.message_bytes = 0
        self.max_message_bytes = MAX_HEADERS_BYTES
        self._duplicate_header = False
        self._target = b""
        self._headers: dict[bytes, bytes] = {}
        self._header_lines: list[bytes] = []
        self._body: bytes | bytearray = b""
        self._body_bytes = 0
        self._trailers: TrailerLimit | None = None  # created if the body does not come with its head
        self._message_reserved_bytes = 0

    @property
    def message_unfinished(self) -> bool:
        """Whether a message has begun and is not complete."""
        return self.message_begun or self.upload is not None

    # Callbacks of the parser

    def on_message_begin(self) -> None:
        """Record that a message has begun."""
        self.message_begun = True

    def on_url(self, url: bytes) -> None:
        """Append to the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header by its name, and as the line that is forwarded."""
        if self.in_body:  # Trailers are discarded.
            return
        lower_name = name.lower()
        # The parser does not accept `chunked` followed by a tab, so the tab must not be stripped here.
        value = value.strip(b" " if lower_name == b"transfer-encoding" else BLANKS)
        headers = self._headers
        if lower_name in headers:
            if lower_name in SINGLE_VALUE_HEADERS:
                self._duplicate_header = True
            elif lower_name == b"host":
                value = headers[lower_name] + b", " + value  # The result is not a host, and matches no route.
        headers[lower_name] = value
        if lower_name not in NOT_FORWARDED:
            self._header_lines.append(b"%b: %b\r\n" % (name, value))

    def on_headers_complete(self) -> None:
        """Check the header limits, and begin an upload if the announced body is too large to buffer."""
        if self.discarding_input:
            return
        self.in_body = True
        self.max_message_bytes = MAX_MESSAGE_BYTES
        headers = self._headers
        size = sum(map(len, self._header_lines)) + len(self._target)
        memory_bytes, line_count = size, len(self._header_lines)
        if size > SMALL_HEAD_BYTES or line_count > SMALL_HEAD_LINES:
            memory_bytes = max(size, head_memory_bytes(size, line_count))
        if size > MAX_HEADERS_BYTES or line_count > MAX_HEADER_LINES:
            self.reject(431, "headers are too long")
        elif b"transfer-encoding" in headers and headers[b"transfer-encoding"].lower() != b"chunked":
            self.reject(501, "Transfer-Encoding must be chunked")
        elif self._reserve(max(memory_bytes - self._message_reserved_bytes, 0)):
            expects = (
                b"expect" in headers and headers[b"expect"].lower() == b"100-continue" and self._receiver.idle
            )
            if b"content-length" in headers and _exceeds_max_body(headers[b"content-length"]):
                self._begin_upload(int(headers[b"content-length"]))
            if expects and not self.discarding_input:
                self._receiver.send_continue()

    def on_body(self, data: bytes) -> None:
        """Buffer a piece of a body, or pass it to the upload if the body is streamed."""
        if self.discarding_input:
            return
        self._body_bytes += len(data)
        if self.upload is not None:
            self._feed_upload(self.upload, data)
        elif self._body_bytes > MAX_BUFFERED_BODY_BYTES:
            self._begin_upload(None)
            if self.upload is not None:
                self._feed_upload(self.upload, data)
        elif self._reserve(len(data)):
            self._body = gather(self._body, data)

    def on_message_complete(self) -> None:
        """Queue the message as a request, a readiness check or an error."""
        if self.discarding_input:
            return
        if self.parser.should_upgrade():
            self.reject(400, "upgrades are not known here")
            return
        if self.upload is not None:
            upload, self.upload = self.upload, None
            self._reset_message()
            upload.finish(self._server.now())
            return
        self.messages += 1
        keep_alive = self.parser.should_keep_alive()
        if self._target == READY_TARGET:
            self.waiting.append(ReadinessCheck(keep_alive))
            self.release(self._message_reserved_bytes)
        else:
            try:
                request = self._build_request(bytes(self._body))
                request.reserved_bytes = self._message_reserved_bytes
                self.waiting.append(request)
            except RequestError as error:
                error.keep_alive = keep_alive
                error.is_head = self.parser.get_method() == b"HEAD"
                self.waiting.append(error)
                self.release(self._message_reserved_bytes)
        self._release_unfinished()
        self._reset_message()
        if len(self.waiting) >= MAX_WAITING_REQUESTS:
            self._input.pause()

    # Memory

    def release(self, size: int) -> None:
        """Release bytes to the memory budget."""
        self._memory.release(size)
        self.reserved_bytes -= size

    def _release_unfinished(self) -> None:
        """Remove the current message from the client's count of unfinished bytes."""
        self._clients.release_unfinished(self._client, self._message_reserved_bytes)

    # Messages

    def _build_request(self, body: bytes) -> ParsedRequest:
        """Return the message as a request.

        Raises:
            RequestError: The message is answered by the sidecar itself, not by an endpoint.
        """
        if self._duplicate_header:
            raise RequestError(400, "a header came twice")
        return self._server.parser.parse(
            Message(
                self.arrived_ns or self._server.now(),
                self.parser.get_method(),
                self._target,
                self._headers,
                self._header_lines,
                body,
                self.parser.should_keep_alive(),
                self._server.parser.supports_streaming and self.parser.get_http_version() == "1.0",
            )
        )

    def account_unfinished(self, size: int) -> None:
        """Account for a parsed piece of input after which a message is incomplete.

        Memory is reserved for a head as it arrives, and trailers are limited.

        Args:
            size: Number of bytes of the piece.
        """
        if self.discarding_input:
            return
        if self.message_begun and not self.in_body:
            line_count = len(self._header_lines)
            needed_bytes = head_memory_bytes(self.message_bytes, line_count)
            if line_count > MAX_HEADER_LINES:
                self.reject(431, "headers are too long")
            elif needed_bytes > self._message_reserved_bytes:
                self._reserve(needed_bytes - self._message_reserved_bytes, is_head=True)
            return
        if self._trailers is None:
            self._trailers = TrailerLimit()
        if self._trailers.exceeded_by(size, self._body_bytes):
            self.reject(431, "trailers are too long")

    def _reserve(self, size: int, is_head: bool = False) -> bool:
        """Reserve memory for more of the message; reject the message if there is no capacity.

        Args:
            size: Number of bytes.
            is_head: Whether they belong to a head that is incomplete.

        Returns:
            Whether the bytes are reserved.
        """
        if is_head:
            reserve = self._memory.reserve_head
        elif self._message_reserved_bytes + size > LARGE_BODY_BYTES:
            reserve = self._memory.reserve_large_body
        else:
            reserve = self._memory.reserve
        if not reserve(size):
            self.reject_for_memory()
            return False
        if not self._clients.reserve_unfinished(self._client, size):
            self._memory.release(size)
            self.reject(429, "too much is unfinished from this address")
            return False
        self.reserved_bytes += size
        self._message_reserved_bytes += size
        return True

    def reject_for_memory(self) -> None:
        """Reject the message, since the memory budget has no capacity for it."""
        self._clients.rejections.add(RejectionReason.MEMORY, self._client.host)
        self.reject(503, "too much is held")

    def reject(self, code: int, text: str, is_head: bool = False) -> None:
        """Queue an error as the last response and discard input: the start of the next message is unknown."""
        if self.upload is not None and not self.discarding_input:
            # The request of the upload is accepted or waiting, and gets this error as its only response.
            self._fail_upload(self.upload, code, text)
        if not self.discarding_input:
            self.discarding_input = True
            self.message_begun = False
            self._release_unfinished()
            self.release(self._message_reserved_bytes)
            self._message_reserved_bytes = 0
            self._headers, self._header_lines, self._body = {}, [], b""
            error = RequestError(code, text)
            error.is_head = is_head
            self.waiting.append(error)

    # Streamed bodies

    def _begin_upload(self, length: int | None) -> None:
        """Queue a request whose body is too large to buffer and is streamed as it arrives.

        Args:
            length: Number of bytes of the body; None if it is chunked.
        """
        if not self._server.parser.supports_streaming:
            self.reject(413, "the body is too large")
            return
        try:
            request = self._build_request(b"")
        except RequestError as error:
            self.reject(error.code, str(error), self.parser.get_method() == b"HEAD")
            return
        if (length or self._body_bytes) > request.max_body_bytes:
            self.reject(413, "the body is too large")
        elif self._reserve(max(UPLOAD_HIGH_WATER_BYTES - self._message_reserved_bytes, 0)):
            began_ns = self.arrived_ns or self._server.now()
            self.upload = request.upload = Upload(
                length, bytes(self._body), self._input.resume, began_ns, self._input.observe_arrival
            )
            self.upload.paused = self._input.paused
            self._body = b""
            self.max_message_bytes = MAX_HEADERS_BYTES + MAX_FRAMING_FACTOR * request.max_body_bytes
            self._release_unfinished()
            self.message_begun = False
            self.messages += 1
            request.reserved_bytes, self._message_reserved_bytes = self._message_reserved_bytes, 0
            self._max_upload_bytes = request.max_body_bytes
            self.waiting.append(request)

    def _feed_upload(self, upload: Upload, data: bytes) -> None:
        """Pass a piece of a body to the upload."""
        if self._body_bytes > self._max_upload_bytes:
            self._fail_upload(upload, 413, "the body is too large")
            return
        upload.feed(data)
        if upload.must_pause():
            self._input.pause()

    def discard_input(self) -> None:
        """Discard the waiting items and all further input."""
        self.waiting.clear()
        self.discarding_input = True

    def stop_upload(self) -> None:
        """Discard the rest of a body whose request is answered: the start of the next message is unknown."""
        self.discarding_input = True
        self.upload = None

    def detach(self) -> None:
        """Release all reservations, and clear all references that lead back to the connection."""
        self._release_unfinished()
        self.release(self.reserved_bytes)
        self.waiting.clear()
        self.upload = None
        del self.parser, self._receiver, self._input

    def _fail_upload(self, upload: Upload, code: int, text: str) -> None:
        """Discard the rest of a body; its request, which is accepted or waiting, gets this response."""
        self.discarding_input = True
        self.upload = None
        upload.fail(code, text)


def _exceeds_max_body(length: bytes) -> bool:
    # The first digits are enough, since the parser limits their number.
    return length.isdigit() and int(length[:12]) > MAX_BUFFERED_BODY_BYTES
