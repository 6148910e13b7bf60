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

from ...balancer.settings import Effect, RequestClass, Settings
from ..streaming import Upload
from ..upstream.classify import HttpProfile

MAX_BUFFERED_BODY_BYTES = 64 * 1024
MAX_STREAMED_BODY_BYTES = 40 * 1024 * 1024  # bytes of a body or an answer that goes on as it comes
DEADLINE = re.compile(rb"(\d{1,12}(?:\.\d{1,9})?)([mu])")
DEADLINE_UNITS = {b"m": 1_000_000, b"u": 1_000}
MAX_CACHED_DEADLINES = 256  # clients send the same few values
COST = re.compile(rb"\d{1,12}(?:\.\d{1,9})?")


class RequestError(Exception):
    """A request that is answered here and never reaches an endpoint.

    Args:
        text: The reason, for the client.

    Attributes:
        code: The HTTP status of its answer.
        keep_alive: Whether the connection may stay open behind it.
        head: Whether its answer has no body.
    """

    def __init__(self, code: int, text: str) -> None:
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
    is_http_1_0: bool = False  # HTTP/1.0, where it matters


@dataclass(slots=True)
class ParsedRequest:
    """A request as the client sent it."""

    ident: bytes  # as the client named it
    method: bytes
    target: bytes
    headers: list[bytes]  # whole lines, as they are forwarded
    body: bytes
    class_number: int
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
    extra_response_headers: bytes = b""  # header lines for its answer, whatever that is
    max_body_bytes: int = MAX_BUFFERED_BODY_BYTES  # bytes of a body that may come as a stream
    max_response_bytes: int = 0  # likewise of an answer
    is_http_1_0: bool = False  # its client speaks HTTP/1.0
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


@dataclass(slots=True, frozen=True)
class ClassForm:
    """What the requests of one class look like.

    Attributes:
        number: Of the class in the settings.
        method: The one method of its requests.
        needs_key: They must bring an idempotency key.
        deadline_ns: The longest time that a client may wait, nanoseconds.
    """

    number: int
    method: bytes
    needs_key: bool
    deadline_ns: int

    @classmethod
    def of(cls, number: int, spec: RequestClass) -> ClassForm:
        """Return the form of a class of the settings."""
        method = b"GET" if spec.effect is Effect.SAFE else b"POST"
        return cls(number, method, spec.effect is Effect.KEYED, spec.deadline_ns)


class RequestParser:
    """Parses requests by one version of the settings: its classes and tenants.

    Args:
        settings: The classes and tenants.
        pool: The service pool that serves the requests.
        retired: Numbers of classes that are not accepted any more.
        before: The parser of the previous settings, for requests that do not fit these, while `lingers`.
    """

    streams = True

    def __init__(
        self,
        settings: Settings,
        pool: object,
        retired: Collection[int] = (),
        before: RequestParser | None = None,
    ) -> None:
        self.pool = pool
        self.classes = {
            spec.name.encode(): ClassForm.of(number, spec)
            for number, spec in enumerate(settings.classes)
            if number not in retired
        }
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

        The headers that every request has are read here, since each further call would be paid by every one.
        """
        headers, target = message.headers, message.target
        path = target if target.startswith(b"/") else _path_of_absolute_form(target)
        name = path[1:].split(b"/", 1)[0].split(b"?", 1)[0]
        form = self.classes.get(name)
        if form is None and b"%" in name:  # a name that a path has to escape (RFC 3986, 2.1)
            form = self.classes.get(unquote_to_bytes(name))
        if form is None:
            raise MalformedRequestError(404, "unknown class")
        if message.method != form.method:
            raise MalformedRequestError(405, "the method is not that of the class")
        ident = headers.get(b"x-request-id")
        if not ident:
            raise RequestError(400, "X-Request-Id is missing")
        # Without the key no endpoint could recognize a retry, and the effect could occur twice.
        if form.needs_key and not headers.get(b"idempotency-key"):
            raise MalformedRequestError(400, "Idempotency-Key is missing")
        wait_ns = form.deadline_ns
        if (deadline := headers.get(b"x-deadline")) is not None:
            # The class's deadline covers all attempts; a client that states more does not wait for it.
            wait_ns = min(wait_ns, parse_deadline(deadline))
        tenant = 0
        if self.tenants and (tenant_name := headers.get(b"x-tenant")) is not None:
            if tenant_name not in self.tenants:
                raise RequestError(400, "unknown tenant")
            tenant = self.tenants[tenant_name]
        cost, key = headers.get(b"x-cost-hint"), headers.get(b"x-key")
        return ParsedRequest(
            ident,
            message.method,
            target,
            message.lines,
            message.body,
            form.number,
            tenant,
            _hash_key(key) if key else 0,
            message.now + wait_ns,
            wait_ns,
            _parse_cost(cost) if cost is not None else 0,
            headers.get(b"x-retry") == b"1",
            message.keep_alive,
            pool=self.pool,
            max_body_bytes=MAX_STREAMED_BODY_BYTES,
            max_response_bytes=MAX_STREAMED_BODY_BYTES,
            is_http_1_0=message.is_http_1_0,
        )


def _path_of_absolute_form(target: bytes) -> bytes:
    """Return the path of a target in the absolute form, as a proxy gets it (RFC 9112, 3.2.2).

    Raises:
        RequestError: It is neither a path nor of that form.
    """
    try:
        return httptools.parse_url(target).path or b"/"
    except httptools.HttpParserInvalidURLError:
        raise RequestError(400, "the target is no path") from None


def _parse_cost(value: bytes) -> int:
    """Return the nanoseconds of an X-Cost-Hint value, which is in microseconds.

    Raises:
        RequestError: The value is malformed.
    """
    if COST.fullmatch(value) is None:
        raise RequestError(400, "X-Cost-Hint is no number")
    return int(float(value) * 1000)


def _hash_key(value: bytes) -> int:
    """Return the number that stands for an X-Key value in the balancer."""
    return int.from_bytes(blake2b(value, digest_size=8).digest(), "little")
