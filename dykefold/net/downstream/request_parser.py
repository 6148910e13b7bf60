"""The platform's dialect of HTTP: a client's message as a request, by the settings. No I/O."""

from __future__ import annotations

import re
from collections.abc import Collection
from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b
from typing import Any
from urllib.parse import unquote_to_bytes

import httptools

from ...balancer.settings import Effect, Settings
from ..streaming import Upload
from ..upstream.classify import HttpProfile

BODY_MOST = 64 * 1024
STREAM_MOST = 40 * 1024 * 1024  # bytes of a body or an answer that goes on as it comes
DEADLINE = re.compile(rb"(\d{1,12}(?:\.\d{1,9})?)([mu])")
DEADLINE_UNITS = {b"m": 1_000_000, b"u": 1_000}
MAX_CACHED_DEADLINES = 256  # clients send the same few values
COST = re.compile(rb"\d{1,12}(?:\.\d{1,9})?")


class RequestError(Exception):
    """A request that is answered here and never reaches an endpoint.

    Attributes:
        code: The HTTP status of its answer.
        keep_alive: Whether the connection may stay open behind it.
        head: Whether its answer has no body.
    """

    def __init__(self, code: int, text: str) -> None:
        """Describe the error.

        Args:
            code: The HTTP status of the answer.
            text: The reason, for the client.
        """
        super().__init__(text)
        self.code = code
        self.keep_alive = True
        self.head = False


class MalformedRequestError(RequestError):
    """A request that is of no class by the settings, or not in the form that its class has."""


@dataclass(slots=True)
class Message:
    """A whole message of a client, before it is parsed as a request."""

    now: int  # when its last byte arrived: nanoseconds on the clock of deadlines
    method: bytes
    target: bytes
    headers: dict[bytes, bytes]  # by lower-case name; the last value of a repeated one
    lines: list[bytes]  # whole header lines, as they are forwarded
    body: bytes
    keep_alive: bool
    old: bool = False  # HTTP/1.0, where it matters


@dataclass(slots=True)
class ParsedRequest:
    """A request as the client sent it."""

    ident: bytes  # as the client named it
    method: bytes
    target: bytes
    headers: list[bytes]  # whole lines, as they are forwarded
    body: bytes
    cls: int
    tenant: int
    key: int
    deadline_ns: int  # on the clock
    wait_ns: int  # that the client will wait, from the last byte of its request
    cost_ns: int
    is_retry: bool
    keep_alive: bool
    size: int = 0  # bytes reserved of the memory budget
    ticket: int = 0  # the pool's number of it
    pool: Any = None  # the service pool that serves it; kept when settings change
    profile: HttpProfile = HttpProfile.PLATFORM
    told: bytes = b""  # header lines for its answer, whatever that is
    body_most: int = BODY_MOST  # bytes of a body that may come as a stream
    max_response_bytes: int = 0  # likewise of an answer
    old: bool = False  # its client speaks HTTP/1.0
    upload: Upload | None = None  # the body, where it is passed on as it comes


@lru_cache(maxsize=MAX_CACHED_DEADLINES)
def parse_deadline(value: bytes) -> int:
    """Return the nanoseconds of an X-Deadline value.

    Raises:
        RequestError: The value is malformed.
    """
    match = DEADLINE.fullmatch(value.strip())
    if match is None:
        raise RequestError(400, "X-Deadline is no number with a unit m or u")
    return int(float(match[1]) * DEADLINE_UNITS[match[2]])


class RequestParser:
    """Parses requests by one version of the settings: its classes and tenants."""

    streams = True

    def __init__(
        self,
        settings: Settings,
        pool: object,
        retired: Collection[int] = (),
        before: RequestParser | None = None,
    ) -> None:
        """Index the settings.

        Args:
            settings: The classes and tenants.
            pool: The service pool that serves the requests.
            retired: Numbers of classes that are not accepted any more.
            before: The parser of the previous settings, for requests that do not fit these, while `lingers`.
        """
        self.pool = pool
        self.specs = settings.classes
        self.classes = {spec.name.encode(): n for n, spec in enumerate(settings.classes) if n not in retired}
        self.tenants = {tenant.name.encode(): number for number, tenant in enumerate(settings.tenants)}
        self.before = before
        self.until_ns = 0  # until when the next parser may fall back on this one

    def lingers(self, now_ns: int, until_ns: int) -> RequestParser:
        """Let requests for these settings be parsed until `until_ns`; drop expired older parsers."""
        self.until_ns = until_ns
        parser = self
        while parser.before is not None:
            if parser.before.until_ns <= now_ns:
                parser.before = None
                break
            parser = parser.before
        return self

    def read(self, message: Message) -> ParsedRequest:
        """Parse a message, by the previous settings if it does not fit the present ones.

        Raises:
            RequestError: The message is answered here and never reaches an endpoint.
        """
        try:
            return self._read(message)
        except MalformedRequestError:
            if self.before is None:
                raise
            if message.now >= self.before.until_ns:
                self.before = None
                raise
            try:
                return self.before.read(message)
            except RequestError:
                pass  # what is wrong with it by the present settings is what its client can mend
            raise

    def _read(self, message: Message) -> ParsedRequest:
        """Parse a message by these settings alone.

        One function for all headers, since each further call would be paid by every request.
        """
        headers, method, target = message.headers, message.method, message.target
        path = target
        if not path.startswith(b"/"):  # the absolute form, as to a proxy
            try:
                path = httptools.parse_url(target).path or b"/"
            except httptools.HttpParserInvalidURLError:
                raise RequestError(400, "the target is no path") from None
        name = path[1:].split(b"/", 1)[0].split(b"?", 1)[0]
        cls = self.classes.get(name)
        if cls is None and b"%" in name:  # a name that a path has to escape (RFC 3986, 2.1)
            cls = self.classes.get(unquote_to_bytes(name))
        if cls is None:
            raise MalformedRequestError(404, "unknown class")
        spec = self.specs[cls]
        if method != (b"GET" if spec.effect is Effect.SAFE else b"POST"):
            raise MalformedRequestError(405, "the method is not that of the class")
        ident = headers.get(b"x-request-id")
        if not ident:
            raise RequestError(400, "X-Request-Id is missing")
        # Without the key no endpoint could recognize a retry, and the effect could occur twice.
        if spec.effect is Effect.KEYED and not headers.get(b"idempotency-key"):
            raise MalformedRequestError(400, "Idempotency-Key is missing")
        wait = spec.deadline_ns
        if (value := headers.get(b"x-deadline")) is not None:
            # The class's deadline covers all attempts; a client that states more does not wait for it.
            wait = min(wait, parse_deadline(value))
        tenant = 0
        if self.tenants and (value := headers.get(b"x-tenant")) is not None:
            if value not in self.tenants:
                raise RequestError(400, "unknown tenant")
            tenant = self.tenants[value]
        cost = 0
        if b"x-cost-hint" in headers:
            value = headers[b"x-cost-hint"]
            if COST.fullmatch(value) is None:
                raise RequestError(400, "X-Cost-Hint is no number")
            cost = int(float(value) * 1000)
        key = 0
        if b"x-key" in headers and (value := headers[b"x-key"]):
            key = int.from_bytes(blake2b(value, digest_size=8).digest(), "little")
        return ParsedRequest(
            ident,
            method,
            target,
            message.lines,
            message.body,
            cls,
            tenant,
            key,
            message.now + wait,
            wait,
            cost,
            headers.get(b"x-retry") == b"1",
            message.keep_alive,
            pool=self.pool,
            body_most=STREAM_MOST,
            max_response_bytes=STREAM_MOST,
            old=message.old,
        )
