"""Finds the route and pool of a client's message, and parses it as a request of that pool. No I/O.

Routes match the target as the endpoint will interpret it (`split_target` rejects ambiguous targets). A parsed
request keeps its pool even if the route table is replaced later.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from typing import Protocol

from ..balancer.settings import Effect, RequestClass, Settings
from ..net.downstream.request_parser import (
    Message,
    ParsedRequest,
    RequestError,
    RequestParser,
    parse_deadline,
)
from ..net.upstream.classify import HttpProfile
from .plan import IDEMPOTENT_METHODS, RouteOptions
from .request_target import RequestTargetError, split_target
from .table import RouteTable

IDEMPOTENT = frozenset(method.encode() for method in IDEMPOTENT_METHODS)
MAX_ID_BYTES = 128  # Of an X-Request-Id; ids are remembered for some seconds after their requests.


class ConfiguredPool(Protocol):
    """A pool with the settings that its requests are parsed by."""

    settings: Settings


class HeaderView(Mapping[str, str]):
    """Headers of a message as text; a value is decoded only when a route reads it."""

    def __init__(self, headers: dict[bytes, bytes]) -> None:
        """Wrap the headers, by lower-case name."""
        self._headers = headers

    def __getitem__(self, name: str) -> str:
        """Return the value of a header.

        Raises:
            KeyError: There is no header of this name.
        """
        return self._headers[name.encode()].decode("latin-1")

    def __contains__(self, name: object) -> bool:
        """Return whether there is a header of this name."""
        return isinstance(name, str) and name.encode() in self._headers

    def __iter__(self) -> Iterator[str]:
        """Iterate over the names."""
        return (name.decode("latin-1") for name in self._headers)

    def __len__(self) -> int:
        """Return the number of headers."""
        return len(self._headers)


class RouteRequestReader:
    """Parses the requests of one route.

    Args:
        pool_name: Name of the pool. It prefixes request ids, so that equal ids in different pools are no
            duplicates.
        pool: Pool that serves the requests.
        options: Options of the route.
        make_id: Function that returns a new X-Request-Id.
    """

    def __init__(
        self, pool_name: str, pool: ConfiguredPool, options: RouteOptions, make_id: Callable[[], str]
    ) -> None:
        self._pool = pool
        self._id_prefix = pool_name.encode() + b"/"
        self._options = options
        self._make_id = make_id
        self._key_header = options.key_header.encode()
        self._platform_parser = RequestParser(pool.settings, pool)
        self._tenant_header = options.tenant_header.encode()
        self._tenants = {tenant.name.encode(): n for n, tenant in enumerate(pool.settings.tenants)}
        self._classes = {spec.name: (number, spec) for number, spec in enumerate(pool.settings.classes)}

    def parse(self, message: Message) -> ParsedRequest:
        """Return the request of a message.

        Raises:
            RequestError: The request is rejected with an error response and reaches no pool.
        """
        if self._options.platform:
            request = self._platform_parser.parse(message)
            request.x_request_id = self._id_prefix + request.x_request_id
            return request
        headers, method = message.headers, message.method
        number, spec = self._class_of(method)
        self._check_key(spec, method, headers)
        request_id, extra_headers = headers.get(b"x-request-id", b""), b""
        if len(request_id) > MAX_ID_BYTES:
            raise RequestError(400, f"X-Request-Id is longer than {MAX_ID_BYTES} bytes")
        if not request_id:
            if not self._options.make_ids:
                raise RequestError(400, "X-Request-Id is missing")
            request_id = self._make_id().encode()
            extra_headers = b"X-Request-Id: %s\r\n" % request_id
            message.lines.append(extra_headers)
        wait_ns = self._options.deadline_ns or spec.deadline_ns
        if (value := headers.get(b"x-deadline")) is not None:
            wait_ns = parse_deadline(value)
        wait_ns = min(wait_ns, spec.deadline_ns)
        return ParsedRequest(
            x_request_id=self._id_prefix + request_id,
            method=method,
            target=message.target,
            headers=message.lines,
            body=message.body,
            class_number=number,
            tenant=self._tenant_of(headers),
            key=0,
            deadline_ns=message.received_ns + wait_ns,
            wait_ns=wait_ns,
            cost_ns=0,
            is_retry=headers.get(b"x-retry") == b"1",
            keep_alive=message.keep_alive,
            pool=self._pool,
            profile=HttpProfile.HEAD if method == b"HEAD" else HttpProfile.GENERIC,
            extra_response_headers=extra_headers,
            max_body_bytes=self._options.max_body_bytes,
            max_response_bytes=self._options.max_response_bytes,
            is_http_1_0=message.is_http_1_0,
        )

    def _class_of(self, method: bytes) -> tuple[int, RequestClass]:
        """Return the number and settings of the request class of a method."""
        number_and_class = self._classes.get(self._options.class_of(method.decode("latin-1")))
        if number_and_class is None:
            raise RequestError(405, "this route takes no such method")
        return number_and_class

    def _tenant_of(self, headers: dict[bytes, bytes]) -> int:
        if not self._tenant_header:
            return 0
        tenant = self._tenants.get(headers.get(self._tenant_header, b""))
        if tenant is None:
            raise RequestError(400, f"{self._options.tenant_header} names no tenant")
        return tenant

    def _check_key(self, spec: RequestClass, method: bytes, headers: dict[bytes, bytes]) -> None:
        """Check that a request of a keyed class has its key: endpoints need it to recognize a retry."""
        if spec.effect is not Effect.KEYED or (self._options.idempotent and method in IDEMPOTENT):
            return
        if not headers.get(self._key_header):
            raise RequestError(400, f"{self._options.key_header} is missing")


class RoutingRequestReader:
    """Parses messages by one route table. For another table it is replaced by another reader.

    Args:
        readers: Readers by route name.

    Attributes:
        supports_streaming: Whether bodies over 64 KiB are accepted, up to the limit of their route.
        table: Route table in use.
    """

    supports_streaming = True

    def __init__(self, table: RouteTable, readers: dict[str, RouteRequestReader]) -> None:
        """Use a table and the readers of all its routes."""
        self.table = table
        self._readers = readers

    def parse(self, message: Message) -> ParsedRequest:
        """Return the request of a message, parsed by the reader of its route.

        Raises:
            RequestError: The request is rejected with an error response and reaches no pool.
        """
        headers = message.headers
        hosts = [headers[b"host"].decode("latin-1")] if b"host" in headers else []
        try:
            host, segments = split_target(message.target.decode("latin-1"), hosts)
        except RequestTargetError as error:
            raise RequestError(400, str(error)) from None
        cls = segments[0] if segments else None
        route = self.table.find(host, segments, message.method.decode("latin-1"), cls, HeaderView(headers))
        if route is None:
            raise RequestError(404, "no route")
        return self._readers[route.name].parse(message)
