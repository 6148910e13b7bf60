"""Parsing of client messages into requests, by the platform's HTTP headers and the settings. No I/O."""

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
MAX_STREAMED_BODY_BYTES = 40 * 1024 * 1024  # Limit of a streamed request or response body.
DEADLINE_PATTERN = re.compile(rb"(\d{1,12}(?:\.\d{1,9})?)([mu])")
NS_PER_DEADLINE_UNIT = {b"m": 1_000_000, b"u": 1_000}
MAX_CACHED_DEADLINES = 256  # Clients send few distinct values.
COST_PATTERN = re.compile(rb"\d{1,12}(?:\.\d{1,9})?")


class RequestError(Exception):
    """A message that the sidecar itself answers, without an endpoint.

    Args:
        code: HTTP status of the response.
        text: Reason that the client reads.

    Attributes:
        code: HTTP status of the response.
        keep_alive: Whether the connection may stay open after the response.
        is_head: Whether the request is a HEAD request, whose response has no body.
    """

    def __init__(self, code: int, text: str) -> None:
        super().__init__(text)
        self.code = code
        self.keep_alive = True
        self.is_head = False


class MalformedRequestError(RequestError):
    """A request of a class that the settings do not have, or that violates the requirements of its class."""


@dataclass(slots=True)
class Message:
    """A complete client message, before it is parsed as a request.

    Attributes:
        received_ns: Time in nanoseconds at which its last byte arrived, on the clock of deadlines.
        method: HTTP method.
        target: Request target as the client sent it.
        headers: Header values by lower-case name; the last value of a repeated header.
        lines: Complete header lines that are forwarded.
        body: Buffered body; empty if the body is streamed.
        keep_alive: Whether the client allows the connection to stay open.
        is_http_1_0: Whether the message is HTTP/1.0; always False if bodies are not streamed.
    """

    received_ns: int
    method: bytes
    target: bytes
    headers: dict[bytes, bytes]
    lines: list[bytes]
    body: bytes
    keep_alive: bool
    is_http_1_0: bool = False


@dataclass(slots=True)
class ParsedRequest:
    """A request as the client sent it.

    Attributes:
        x_request_id: Value of X-Request-Id.
        method: HTTP method.
        target: Request target as the client sent it.
        headers: Complete header lines that are forwarded.
        body: Buffered body; empty if the body is streamed.
        class_number: Number of the request class in the settings.
        tenant: Number of the tenant in the settings.
        key: Hash of X-Key; 0 if the header is missing.
        deadline_ns: Time in nanoseconds by which the client needs the response, on the clock of deadlines.
        wait_ns: Time in nanoseconds that the client waits, from the last byte of its request.
        cost_ns: Client's cost estimate in nanoseconds; 0 if there is none.
        is_retry: Whether the request is a client's own retry of an earlier request.
        keep_alive: Whether the connection may stay open after the response.
        reserved_bytes: Number of bytes reserved from the memory budget.
        request_id: Number of the request in its pool; 0 before the pool accepts it.
        pool: Service pool that serves the request, also after a change of the settings.
        profile: Rules by which responses of endpoints are classified.
        extra_response_headers: Header lines that are added to the response.
        max_body_bytes: Largest size of a streamed request body, in bytes.
        max_response_bytes: Largest size of a streamed response body, in bytes.
        is_http_1_0: Whether the request is HTTP/1.0.
        upload: Streamed request body; None if the body is buffered.
    """

    x_request_id: bytes
    method: bytes
    target: bytes
    headers: list[bytes]
    body: bytes
    class_number: int
    tenant: int
    key: int
    deadline_ns: int
    wait_ns: int
    cost_ns: int
    is_retry: bool
    keep_alive: bool
    reserved_bytes: int = 0
    request_id: int = 0
    pool: Any = None
    profile: HttpProfile = HttpProfile.PLATFORM
    extra_response_headers: bytes = b""
    max_body_bytes: int = MAX_BUFFERED_BODY_BYTES
    max_response_bytes: int = 0
    is_http_1_0: bool = False
    upload: Upload | None = None


@lru_cache(maxsize=MAX_CACHED_DEADLINES)
def parse_deadline(value: bytes) -> int:
    """Return an X-Deadline value in nanoseconds.

    Raises:
        RequestError: The value is malformed.
    """
    match = DEADLINE_PATTERN.fullmatch(value.strip())
    if match is None:
        raise RequestError(400, "X-Deadline is no number with a unit m or u")
    return int(float(match[1]) * NS_PER_DEADLINE_UNIT[match[2]])


@dataclass(slots=True, frozen=True)
class ClassRequirements:
    """Requirements for the requests of one class.

    Attributes:
        number: Number of the class in the settings.
        method: HTTP method that every request of the class must have.
        requires_idempotency_key: Whether a request must have an idempotency key.
        deadline_ns: Maximum time that a client waits, in nanoseconds.
    """

    number: int
    method: bytes
    requires_idempotency_key: bool
    deadline_ns: int

    @classmethod
    def of(cls, number: int, spec: RequestClass) -> ClassRequirements:
        """Return the requirements of a class of the settings.

        Args:
            number: Number of the class.
            spec: Definition of the class in the settings.
        """
        method = b"GET" if spec.effect is Effect.SAFE else b"POST"
        return cls(number, method, spec.effect is Effect.KEYED, spec.deadline_ns)


class RequestParser:
    """Parser of requests by the classes and tenants of one version of the settings.

    Args:
        settings: Settings with the classes and tenants.
        pool: Service pool that serves the requests.
        retired: Numbers of classes that are no longer accepted.
        previous: Parser of the previous settings, for requests that do not match the current ones; None
            if there is none.

    Attributes:
        supports_streaming: Whether bodies too large to buffer are streamed.
        classes: Requirements of the classes, by class name.
        tenants: Tenant numbers by name.
        fallback_until_ns: Time in nanoseconds until which the next parser may fall back on this one, on the
            clock of deadlines; 0 while this parser is the current one.
    """

    supports_streaming = True

    def __init__(
        self,
        settings: Settings,
        pool: object,
        retired: Collection[int] = (),
        previous: RequestParser | None = None,
    ) -> None:
        self.pool = pool
        self.classes = {
            spec.name.encode(): ClassRequirements.of(number, spec)
            for number, spec in enumerate(settings.classes)
            if number not in retired
        }
        self.tenants = {tenant.name.encode(): number for number, tenant in enumerate(settings.tenants)}
        self.previous = previous
        self.fallback_until_ns = 0

    def keep_as_fallback(self, now_ns: int, until_ns: int) -> RequestParser:
        """Allow the next parser to fall back on this one, and drop expired older parsers.

        Args:
            now_ns: Time in nanoseconds, on the clock of deadlines.
            until_ns: Time in nanoseconds until which the next parser may fall back on this one.

        Returns:
            This parser.
        """
        self.fallback_until_ns = until_ns
        parser = self
        while parser.previous is not None:
            if parser.previous.fallback_until_ns <= now_ns:
                parser.previous = None
                break
            parser = parser.previous
        return self

    def parse(self, message: Message) -> ParsedRequest:
        """Parse a message, by the previous settings if it does not match the current ones.

        Raises:
            RequestError: The message is answered by the sidecar itself, not by an endpoint.
        """
        try:
            return self._parse_by_current_settings(message)
        except MalformedRequestError:
            if self.previous is None:
                raise
            if message.received_ns >= self.previous.fallback_until_ns:
                self.previous = None
                raise
            try:
                return self.previous.parse(message)
            except RequestError:
                pass  # The client gets the error by the current settings, which it can correct.
            raise

    def _parse_by_current_settings(self, message: Message) -> ParsedRequest:
        """Parse a message by the settings of this parser alone.

        All headers are read in this one function, since each function call would slow down every request.
        """
        headers, target = message.headers, message.target
        path = target if target.startswith(b"/") else _path_of_absolute_form(target)
        name = path[1:].split(b"/", 1)[0].split(b"?", 1)[0]
        requirements = self.classes.get(name)
        if requirements is None and b"%" in name:  # The name may be percent-encoded (RFC 3986, 2.1).
            requirements = self.classes.get(unquote_to_bytes(name))
        if requirements is None:
            raise MalformedRequestError(404, "unknown class")
        if message.method != requirements.method:
            raise MalformedRequestError(405, "the method is not that of the class")
        x_request_id = headers.get(b"x-request-id")
        if not x_request_id:
            raise RequestError(400, "X-Request-Id is missing")
        # Without the key, endpoints could not recognize a retry, and the effect could occur twice.
        if requirements.requires_idempotency_key and not headers.get(b"idempotency-key"):
            raise MalformedRequestError(400, "Idempotency-Key is missing")
        wait_ns = requirements.deadline_ns
        if (deadline := headers.get(b"x-deadline")) is not None:
            # The deadline of the class covers all attempts; a client can shorten it but not extend it.
            wait_ns = min(wait_ns, parse_deadline(deadline))
        tenant = 0
        if self.tenants and (tenant_name := headers.get(b"x-tenant")) is not None:
            if tenant_name not in self.tenants:
                raise RequestError(400, "unknown tenant")
            tenant = self.tenants[tenant_name]
        cost, key = headers.get(b"x-cost-hint"), headers.get(b"x-key")
        return ParsedRequest(
            x_request_id,
            message.method,
            target,
            message.lines,
            message.body,
            requirements.number,
            tenant,
            _hash_key(key) if key else 0,
            message.received_ns + wait_ns,
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
    """Return the path of a target in absolute form, which clients send to proxies (RFC 9112, 3.2.2).

    Raises:
        RequestError: The target is neither a path nor in absolute form.
    """
    try:
        return httptools.parse_url(target).path or b"/"
    except httptools.HttpParserInvalidURLError:
        raise RequestError(400, "the target is no path") from None


def _parse_cost(value: bytes) -> int:
    """Return an X-Cost-Hint value, which is in microseconds, in nanoseconds.

    Raises:
        RequestError: The value is malformed.
    """
    if COST_PATTERN.fullmatch(value) is None:
        raise RequestError(400, "X-Cost-Hint is no number")
    return int(float(value) * 1000)


def _hash_key(value: bytes) -> int:
    """Return the 64-bit hash of an X-Key value that the balancer uses."""
    return int.from_bytes(blake2b(value, digest_size=8).digest(), "little")
