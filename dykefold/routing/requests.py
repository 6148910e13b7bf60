"""Which pool a client's message is for, and what it is there. No I/O.

The route is found by what the server will see (`names.split_target` refuses what two readers could take
for two things), and the request keeps the pool that it was read for, whatever becomes of the table.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping as Map
from typing import Any

from ..balancer.settings import Effect, RequestClass
from ..net.downstream.request_parser import (
    Message,
    ParsedRequest,
    RequestError,
    RequestParser,
    parse_deadline,
)
from ..net.upstream.classify import HttpProfile
from .names import TargetError, split_target
from .plan import IDEMPOTENT_METHODS, Mapping
from .table import Table

IDEMPOTENT = frozenset(method.encode() for method in IDEMPOTENT_METHODS)
IDENT_MOST = 128  # bytes of an X-Request-Id: ids are kept for some seconds after their requests


class Lines(Map):
    """A message's headers as the route table asks for them, decoded only where a rule does."""

    def __init__(self, headers: dict[bytes, bytes]) -> None:
        self.headers = headers

    def __getitem__(self, name: str) -> str:
        return self.headers[name.encode()].decode("latin-1")

    def __contains__(self, name: object) -> bool:
        return isinstance(name, str) and name.encode() in self.headers

    def __iter__(self):
        return (name.decode("latin-1") for name in self.headers)

    def __len__(self) -> int:
        return len(self.headers)


class Target:
    """A pool as the requests of one route meet it."""

    def __init__(self, name: str, pool: Any, mapping: Mapping, make_id: Callable[[], str]) -> None:
        """Prepare a route's requests.

        Args:
            name: of the pool; ids are told apart by it.
            pool: what takes them; only `settings` is looked at here.
            make_id: a new X-Request-Id.
        """
        self.pool = pool
        self.space = name.encode() + b"/"
        self.mapping = mapping
        self.make_id = make_id
        self.key_header = mapping.key_header.encode()
        self.parser = RequestParser(pool.settings, pool)
        self.tenant_header = mapping.tenant_header.encode()
        self.tenants = {tenant.name.encode(): n for n, tenant in enumerate(pool.settings.tenants)}
        self.classes = {spec.name: (number, spec) for number, spec in enumerate(pool.settings.classes)}

    def read(self, message: Message) -> ParsedRequest:
        """A request of this route; RequestError where it is answered here."""
        if self.mapping.platform:
            call = self.parser.read(message)
            call.ident = self.space + call.ident
            return call
        headers, method = message.headers, message.method
        number, spec = self._class_of(method)
        self._check_key(spec, method, headers)
        ident, told = headers.get(b"x-request-id", b""), b""
        if len(ident) > IDENT_MOST:
            raise RequestError(400, f"X-Request-Id is longer than {IDENT_MOST} bytes")
        if not ident:
            if not self.mapping.make_ids:
                raise RequestError(400, "X-Request-Id is missing")
            ident = self.make_id().encode()
            told = b"X-Request-Id: %s\r\n" % ident
            message.lines.append(told)
        wait = self.mapping.deadline_ns or spec.deadline_ns
        if (value := headers.get(b"x-deadline")) is not None:
            wait = parse_deadline(value)
        wait = min(wait, spec.deadline_ns)
        return ParsedRequest(
            ident=self.space + ident,
            method=method,
            target=message.target,
            headers=message.lines,
            body=message.body,
            cls=number,
            tenant=self._tenant_of(headers),
            key=0,
            deadline_ns=message.now + wait,
            wait_ns=wait,
            cost_ns=0,
            is_retry=headers.get(b"x-retry") == b"1",
            keep_alive=message.keep_alive,
            pool=self.pool,
            profile=HttpProfile.HEAD if method == b"HEAD" else HttpProfile.USUAL,
            told=told,
            body_most=self.mapping.body_most_bytes,
            max_response_bytes=self.mapping.answer_most_bytes,
            old=message.old,
        )

    def _class_of(self, method: bytes) -> tuple[int, RequestClass]:
        found = self.classes.get(self.mapping.class_of(method.decode("latin-1")))
        if found is None:
            raise RequestError(405, "this route takes no such method")
        return found

    def _tenant_of(self, headers: dict[bytes, bytes]) -> int:
        if not self.tenant_header:
            return 0
        tenant = self.tenants.get(headers.get(self.tenant_header, b""))
        if tenant is None:
            raise RequestError(400, f"{self.mapping.tenant_header} names no tenant")
        return tenant

    def _check_key(self, spec: RequestClass, method: bytes, headers: dict[bytes, bytes]) -> None:
        """Guards the rule on effects: without a key no server could drop a repeat of a keyed request."""
        if spec.effect is not Effect.KEYED or (self.mapping.idempotent and method in IDEMPOTENT):
            return
        if not headers.get(self.key_header):
            raise RequestError(400, f"{self.mapping.key_header} is missing")


class Routed:
    """Reads messages by one route table: an immutable value that is replaced whole."""

    streams = True

    def __init__(self, table: Table, targets: dict[str, Target]) -> None:
        """Take a table and the target of each of its rules, by the rule's name."""
        self.table = table
        self.targets = targets

    def read(self, message: Message) -> ParsedRequest:
        """Find the route of a message and read it there; RequestError where it is answered here."""
        headers = message.headers
        hosts = [headers[b"host"].decode("latin-1")] if b"host" in headers else []
        try:
            host, parts = split_target(message.target.decode("latin-1"), hosts)
        except TargetError as error:
            raise RequestError(400, str(error)) from None
        first = parts[0] if parts else None
        rule = self.table.find(host, parts, message.method.decode("latin-1"), first, Lines(headers))
        if rule is None:
            raise RequestError(404, "no route")
        return self.targets[rule.name].read(message)
