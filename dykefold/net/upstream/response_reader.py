"""Reader of the responses on a connection, which buffers or streams them.

A response is buffered until it is complete, within the maximum of its exchange and the memory budget. One
that is too long for that is streamed, if the exchange accepts that. If neither is possible, or the end of
the response can't be determined, it is unusable: its connection is closed as soon as that is detected.
"""

from __future__ import annotations

import httptools

from ..head_memory import (
    MAX_HEADER_LINES,
    SMALL_HEAD_BYTES,
    SMALL_HEAD_LINES,
    TrailerLimit,
    head_memory_bytes,
)
from ..memory_budget import MemoryBudget
from .classify import HTTP_OK, HTTP_SERVER_ERROR, HttpProfile, Response, is_success
from .http_fields import BLANKS, HOP_BY_HOP, gather
from .protocols import ResponseConsumer

MAX_HEADERS_BYTES = 32 * 1024
CODES_WITHOUT_BODY = (204, 304)  # RFC 9112, section 6.3


class ResponseReader:
    """Parses the bytes of successive responses, each for the consumer that was passed to `begin`.

    Args:
        memory: Budget of the bytes of buffered responses.

    Attributes:
        consumer: Exchange that the response belongs to; None between exchanges.
        parser: HTTP parser, which calls the methods `on_...` from within its `feed_data`.
        size: Number of bytes fed for the consumer.
        headers: Names and values, without hop-by-hop headers.
        body: Buffered part of the body.
        body_size: Number of bytes reserved in the memory budget for `body`.
        head_size: Number of bytes reserved in the memory budget for `headers`.
        in_body: Whether the headers are complete.
        length: Value of `Content-Length`; empty if there is none.
        encoding: Value of `Transfer-Encoding`; empty if there is none.
        closes_after: Whether the endpoint announces that it will close the connection after this response.
        not_run: Whether the endpoint states that the request never ran.
        keep_alive: Whether the connection may carry another exchange.
        load: Load report of the endpoint.
        response: The complete response; None until it is complete.
        surplus: Whether bytes arrived after the complete response.
        trailers: Limit of the trailers; None before a part of the body was fed.
        streamed: Number of body bytes that were streamed; None while the body is buffered.
        unusable: Whether the response can be neither buffered nor streamed.
    """

    __slots__ = (
        "body",
        "body_size",
        "closes_after",
        "consumer",
        "encoding",
        "head_size",
        "headers",
        "in_body",
        "keep_alive",
        "length",
        "load",
        "memory",
        "not_run",
        "parser",
        "response",
        "size",
        "streamed",
        "surplus",
        "trailers",
        "unusable",
    )

    def __init__(self, memory: MemoryBudget) -> None:
        self.memory = memory
        self.consumer: ResponseConsumer | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.body_size = 0
        self.head_size = 0
        self.size = 0
        self.unusable = False
        self.streamed: int | None = None
        self._begin_message()

    def begin(self, consumer: ResponseConsumer) -> None:
        """Prepare for the response to the consumer's request."""
        self.consumer = consumer
        self.size = 0
        self.unusable = False
        self.streamed = None
        self._begin_message()

    def _begin_message(self) -> None:
        self.headers: list[tuple[bytes, bytes]] = []
        self.body: bytes | bytearray = b""
        self.in_body = False
        self.length = b""
        self.encoding = b""
        self.closes_after = False
        self.not_run = False
        self.keep_alive = False
        self.load = b""
        self.response: Response | None = None
        self.surplus = False
        self.trailers: TrailerLimit | None = None

    def feed(self, data: bytes) -> bool:
        """Parse the next bytes; `response` is set once it is complete.

        Returns:
            False if the response can't be completed: it is malformed, unusable or too long.
        """
        self.size += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            if self.response is None:
                return False
            self.surplus = True
        consumer = self.consumer
        if self.response is not None or consumer is None:  # A piece may have made the consumer give up.
            return True
        if self.unusable or not self._is_within_memory(len(data)):
            return False
        # Chunked framing may add any number of bytes: without a maximum it would exhaust the memory.
        return self.streamed is not None or self.size <= MAX_HEADERS_BYTES + (
            consumer.max_response_bytes if self.in_body else 0
        )

    def finish(self) -> bool:
        """Complete a response without a length at the end of the stream (RFC 9112, section 6.3).

        Returns:
            Whether there was such a response.
        """
        if not self.in_body or self.encoding or self.length or self.unusable or self.response is not None:
            return False
        code = self.parser.get_status_code()
        self.response = Response(code, self.headers, bytes(self.body), self.not_run, self.load)
        return True

    @property
    def flows(self) -> bool:
        """Whether a successful response of unknown length has begun and is being buffered.

        It may turn out to be long, and then only its first bytes have to be in time (DAYS, hard days).
        """
        if not self.in_body or self.length or self.streamed is not None or self.unusable:
            return False
        consumer = self.consumer
        return (
            self.response is None
            and consumer is not None
            and consumer.max_streamed_bytes > 0
            and is_success(self.parser.get_status_code(), consumer.profile)
        )

    def stream_now(self) -> bool:
        """Stream a response that was buffered so far; return whether it is streamed from now on."""
        return self.flows and self._stream_buffered(None)

    def release(self) -> None:
        """Release the memory of the response."""
        if self.body_size or self.head_size:
            self.memory.release(self.body_size + self.head_size)
            self.body_size = self.head_size = 0
        self.body, self.headers, self.response = b"", [], None

    def expects_only_body(self, size: int) -> bool:
        """Return whether the next `size` bytes all belong to one body, which makes them cheap to parse."""
        if not self.in_body or self.encoding or not self.length:
            return False
        return int(self.length) - self._received() >= size

    def _received(self) -> int:
        """Return the number of bytes received of the body."""
        return self.body_size if self.streamed is None else self.streamed

    def _is_within_memory(self, size: int) -> bool:
        """Account for fed bytes, after which the response is incomplete; return False beyond a limit."""
        if not self.in_body:
            return self._reserve_head()
        if self.trailers is None:
            self.trailers = TrailerLimit()
        return not self.trailers.exceeded_by(size, self._received())

    def _reserve_head(self) -> bool:
        """Reserve memory for the head as it has arrived; return False if it is too long for the limits."""
        if len(self.headers) > MAX_HEADER_LINES:
            return False
        missing_bytes = head_memory_bytes(self.size, len(self.headers)) - self.head_size
        if missing_bytes > 0:
            if not self.memory.reserve_head(missing_bytes):
                return False
            self.head_size += missing_bytes
        return True

    def on_message_begin(self) -> None:
        """Record surplus bytes if a message begins after a complete response."""
        if self.response is not None:
            self.surplus = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header of the response.

        Args:
            name: Name of the header, in any case.
            value: Value as received, with trailing whitespace.
        """
        if self.response is not None or self.in_body:  # It belongs to a second response or is a trailer.
            return
        lower_name, raw_value = name.lower(), value
        value = value.strip(BLANKS)
        if lower_name == b"x-not-run":
            self.not_run = value.strip() == b"1"
        elif lower_name == b"x-load":
            self.load = value
        elif lower_name == b"content-length":
            self.length = value
        elif lower_name == b"connection":
            self.closes_after = b"close" in value.lower()
        elif lower_name == b"transfer-encoding":
            # A trailing tab is kept, which makes the response unusable: the parser does not recognize such a
            # coding, and would treat the framing as the body.
            self.encoding = raw_value.strip(b" ")
        elif lower_name not in HOP_BY_HOP:
            self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Decide how the body is handled, now that the headers are complete."""
        if self.response is not None or self.unusable or self.parser.get_status_code() < HTTP_OK:
            return
        is_small = self.size <= SMALL_HEAD_BYTES and len(self.headers) <= SMALL_HEAD_LINES
        if not is_small and not self._reserve_head():
            self.unusable = True
            return
        self.in_body = True
        assert self.consumer is not None
        if self.consumer.profile:
            code = self.parser.get_status_code()
            if self.consumer.profile is HttpProfile.HEAD:
                # The parser would wait for a body that never arrives, so the connection can't be reused.
                headers = [*self.headers, (b"Content-Length", self.length)] if self.length else self.headers
                self.response = Response(code, headers, b"", self.not_run, self.load)
                return
            if code in CODES_WITHOUT_BODY:
                return
        # A body that is too long, or whose end can't be determined, is rejected before it arrives.
        if self.encoding:
            self.unusable = self.encoding.lower() != b"chunked"
        elif not self.length:
            # The body extends to the end of the connection (RFC 9112, section 6.3) if the endpoint announces
            # that it will close it. Otherwise the endpoint has omitted the length, and a broken connection
            # would look like the end of the body.
            self.unusable = not (self.closes_after or self.parser.get_http_version() == "1.0")
        elif int(self.length) > self.consumer.max_response_bytes:
            self.unusable = not self._stream(int(self.length))

    def _stream(self, length: int | None) -> bool:
        """Begin to stream the response; return whether that is possible."""
        consumer, code = self.consumer, self.parser.get_status_code()
        assert consumer is not None
        # A failure is left to the balancer, which may retry a request that never ran at another endpoint.
        if code >= HTTP_SERVER_ERROR or (length or 0) > consumer.max_streamed_bytes:
            return False
        if not consumer.begin_response(code, self.headers, length, self.load):
            return False
        self.streamed = 0
        return True

    def _forward(self, data: bytes | bytearray) -> None:
        assert self.consumer is not None
        assert self.streamed is not None
        self.streamed += len(data)
        self.unusable = self.streamed > self.consumer.max_streamed_bytes
        if not self.unusable:
            self.consumer.send_response_chunk(bytes(data))

    def on_body(self, data: bytes) -> None:
        """Buffer or stream the next piece of the body."""
        consumer = self.consumer
        if self.response is not None or self.unusable or consumer is None:
            return
        if self.streamed is not None:
            self._forward(data)
            return
        is_long = consumer.max_streamed_bytes > 0 and self.body_size + len(data) > consumer.max_response_bytes
        if not is_long and self.memory.reserve(len(data)):
            self.body_size += len(data)
            self.body = gather(self.body, data)
        elif consumer.max_streamed_bytes and self._stream_buffered(int(self.length) if self.length else None):
            self._forward(data)
        else:
            self.unusable = True

    def _stream_buffered(self, length: int | None) -> bool:
        """Begin to stream the response with the part that is buffered; return whether that is possible."""
        if not self._stream(length):
            return False
        if self.body:
            self._forward(self.body)
        self.memory.release(self.body_size)
        self.body_size, self.body = 0, b""
        return True

    def on_message_complete(self) -> None:
        """Complete the response, unless the message is an interim response."""
        if self.response is not None:
            return
        code = self.parser.get_status_code()
        if code < HTTP_OK:
            # The final response follows an interim one. `size` is not reset, or there would be no maximum.
            self._begin_message()
            return
        if self.unusable:
            return
        # The parser must be queried here: after this callback its answer is about the next message, and is
        # always false, so that every request would need a new connection.
        self.keep_alive = self.parser.should_keep_alive()
        self.response = Response(code, self.headers, bytes(self.body), self.not_run, self.load)
