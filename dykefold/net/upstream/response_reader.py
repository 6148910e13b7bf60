"""The response that comes on a connection: what the parser reports of it, kept whole or passed on.

A response is kept until it is whole, within the bound of its exchange and of the memory budget. One that
is too long for that is passed on as it comes, if the exchange wants its pieces. Where neither is possible,
or its end can't be known, it is unusable: its connection is closed as soon as that is seen.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import httptools

from .classify import HTTP_OK, HTTP_SERVER_ERROR, HttpProfile, Response
from .http_fields import BLANKS, HOP_BY_HOP, gather

if TYPE_CHECKING:
    from .connection_pool import ConnectionPool
    from .exchange import Exchange

MAX_HEADERS_BYTES = 32 * 1024
CODES_WITHOUT_BODY = (204, 304)  # RFC 9112, 6.3


class ResponseReader(asyncio.Protocol):
    """The parser's side of a connection: its callbacks, and the state of the response that comes.

    Attributes:
        pool: whose memory budget and loop are used.
        exchange: what the response is for; None between exchanges.
        parser: calls the methods `on_...` from within its `feed_data`.
        headers: names and values, without the hop-by-hop ones.
        body: what has come of the body and is kept.
        body_size: its bytes, as reserved in the memory budget.
        in_body: the headers are complete.
        length: the value of `Content-Length`; empty if there is none.
        encoding: the value of `Transfer-Encoding`; empty if there is none.
        closes_after: the endpoint says that it closes the connection behind this response.
        not_run: the endpoint says that the request never ran.
        keep_alive: the connection may carry a further exchange.
        load: the load report of the endpoint.
        response: the whole response, once it is.
        surplus: more came than this response.
        streamed: bytes of the body that were passed on as they came; negative: the body is kept.
        unusable: the response can be neither kept nor passed on.
        stalled: runs while more of a kept response is awaited.
    """

    __slots__ = (
        "body",
        "body_size",
        "closes_after",
        "encoding",
        "exchange",
        "headers",
        "in_body",
        "keep_alive",
        "length",
        "load",
        "not_run",
        "parser",
        "pool",
        "response",
        "stalled",
        "streamed",
        "surplus",
        "unusable",
    )

    def __init__(self, pool: ConnectionPool) -> None:
        """Begin without an exchange; `_begin_response` sets what is of one response."""
        self.pool = pool
        self.exchange: Exchange | None = None
        self.parser = httptools.HttpResponseParser(self)
        self.body_size = 0
        self.stalled: asyncio.TimerHandle | None = None

    def _begin_response(self) -> None:
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

    def _all_body(self, size: int) -> bool:
        """Return whether the next bytes are all of one body: these cost no more for being many."""
        if not self.in_body or self.encoding or not self.length:
            return False
        return int(self.length) - max(self.body_size, self.streamed) >= size

    def _max_size(self) -> int:
        """Return the bytes that a response which is kept may take, framing included."""
        assert self.exchange is not None
        return MAX_HEADERS_BYTES + (self.exchange.max_response_bytes if self.in_body else 0)

    def on_message_begin(self) -> None:
        """See that a message begins: behind a whole response it is one that nobody asked for."""
        if self.response is not None:
            self.surplus = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header of the response.

        Args:
            name: in any case.
            value: as it came, blanks behind it included.
        """
        if self.response is not None or self.in_body:  # of a second response, or a trailer
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
            self.closes_after = b"close" in value.lower()
        elif low == b"transfer-encoding":
            # The parser does not know a coding with a tab behind it, and would take the framing for the body.
            self.encoding = raw.strip(b" ")
        elif low not in HOP_BY_HOP:
            self.headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Decide how the body is taken, now that all headers have come."""
        if self.response is not None or self.parser.get_status_code() < HTTP_OK:
            return
        self.in_body = True
        assert self.exchange is not None
        if self.exchange.profile:
            code = self.parser.get_status_code()
            if self.exchange.profile is HttpProfile.HEAD:
                # The parser waits for a body that does not come: the connection is of no further use.
                headers = [*self.headers, (b"Content-Length", self.length)] if self.length else self.headers
                self.response = Response(code, headers, b"", self.not_run, self.load)
                return
            if code in CODES_WITHOUT_BODY:
                return
        # What can't fit, or has no end but the connection's, is known to be of no use before it comes.
        if self.encoding:
            self.unusable = self.encoding.lower() != b"chunked"
        elif not self.length:
            # The body reaches up to the end of the connection (RFC 9112, 6.3), if its endpoint means to end
            # it. Where it does not say so it has left the length out, and its death would look like the end.
            self.unusable = not (self.closes_after or self.parser.get_http_version() == "1.0")
        elif int(self.length) > self.exchange.max_response_bytes:
            self.unusable = not self._stream(int(self.length))

    def _stream(self, length: int | None) -> bool:
        """Pass the response on as it comes from here on; return whether that is possible."""
        exchange, code = self.exchange, self.parser.get_status_code()
        assert exchange is not None
        # A failure is for the balancer to judge, and a request that never ran may go elsewhere.
        if code >= HTTP_SERVER_ERROR or (length or 0) > exchange.max_streamed_bytes:
            return False
        if not exchange.begin_response(code, self.headers, length, self.load):
            return False
        if self.stalled is not None:
            self.stalled.cancel()
            self.stalled = None
        self.streamed = 0
        return True

    def _forward(self, data: bytes | bytearray) -> None:
        assert self.exchange is not None
        self.streamed += len(data)
        self.unusable = self.streamed > self.exchange.max_streamed_bytes
        if not self.unusable:
            self.exchange.send_response_piece(bytes(data))

    def on_body(self, data: bytes) -> None:
        """Keep the next piece of the body, or pass it on."""
        if self.response is not None or self.unusable or self.exchange is None:
            return
        if self.streamed >= 0:
            self._forward(data)
            return
        if self.exchange.max_streamed_bytes and self.body_size + len(data) > self.exchange.max_response_bytes:
            if self._stream(None):
                self._forward(self.body)
                self._forward(data)
                self.pool.memory.release(self.body_size)
                self.body_size, self.body = 0, b""
            else:
                self.unusable = True
            return
        if not self.pool.memory.reserve(len(data)):
            self.unusable = True
            return
        self.body_size += len(data)
        self.body = gather(self.body, data)

    def on_message_complete(self) -> None:
        """See that the message is whole, and whether the connection may be kept behind it."""
        if self.response is not None:
            return
        code = self.parser.get_status_code()
        if code < HTTP_OK:
            # An interim response: the real one follows. What came counts on, or there would be no bound.
            self._begin_response()
            return
        if self.unusable:
            return
        # The parser is asked here: as soon as this call is over it answers for the next message. That is
        # always no, and every request would pay for a connection of its own.
        self.keep_alive = self.parser.should_keep_alive()
        self.response = Response(code, self.headers, bytes(self.body), self.not_run, self.load)
