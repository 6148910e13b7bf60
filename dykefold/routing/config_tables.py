"""The tables of the operator's file as types: `[node]`, `[pools.NAME]`, `[[routes]]`.

A field has the name of its key, unless `rename` says another one. `deploy/service.toml` lists every key.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from ..net.memory_budget import MB

Positive = Annotated[int, Meta(ge=1)]
Milliseconds = Annotated[int, Meta(ge=1, le=3_600_000)]
BodyLimit = Annotated[int, Meta(ge=64 * 1024, le=1 << 40)]  # bytes; a smaller body is kept whole for retries
Name = Annotated[str, Meta(pattern="^[A-Za-z0-9._-]{1,64}$")]


class NodeConfig(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[node]`: what the process has.

    Attributes:
        name: in logs.
        listen: address and port for clients.
        descriptors: that the process may hold.
        memory_mb: megabytes that it may take.
    """

    name: Name = "node"
    listen: str = "127.0.0.1:8080"
    descriptors: Annotated[int, Meta(ge=64, le=1_000_000)] = 1024
    memory_mb: Annotated[int, Meta(ge=32, le=1_000_000)] = 192


class ClassConfig(msgspec.Struct, forbid_unknown_fields=True, frozen=True, rename={"objective_ms": "aim_ms"}):
    """`[pools.NAME.classes.CLASS]`.

    Attributes:
        effect: whether a request may be retried.
        objective_ms: the latency objective, in milliseconds.
        deadline_ms: in milliseconds.
        worth: the priority weight of a response within the objective.
        late_worth: ... and of a later one.
        scope: endpoints among which an idempotency key counts as one.
        window_ms: milliseconds in which it does.
    """

    effect: Literal["safe", "keyed", "unsafe"]
    objective_ms: Milliseconds
    deadline_ms: Milliseconds
    worth: Annotated[float, Meta(ge=0)] = 1.0
    late_worth: Annotated[float, Meta(ge=0)] = 0.0
    scope: Literal["all", "zone", "cell"] = "cell"
    window_ms: Annotated[int, Meta(ge=0)] = 0


class TenantConfig(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[pools.NAME.tenants.TENANT]`.

    Attributes:
        requests_per_s: beyond which its requests are shed first.
    """

    requests_per_s: Annotated[float, Meta(gt=0)]


class PoolConfig(
    msgspec.Struct,
    forbid_unknown_fields=True,
    frozen=True,
    rename={
        "objective_ms": "aim_ms",
        "max_attempts": "attempts_most",
        "max_retry_after_ms": "retry_after_most_ms",
        "min_open": "open_least",
        "max_open": "open_most",
    },
):
    """`[pools.NAME]`.

    Attributes:
        servers: addresses of its endpoints.
        discovery: address of its discovery, instead of `servers`.
        classes: by name; none for `read`, `idempotent` and `write`.
        tenants: by name.
        over_share_worth: the priority weight of what a tenant sends beyond its rate, as a fraction.
        objective_ms: the latency objective of a pool that names no classes, in milliseconds.
        deadline_ms: likewise, in milliseconds.
        max_attempts: of one request.
        connect_timeout_ms: in milliseconds.
        idle_ms: milliseconds after which its endpoints may close an idle connection.
        max_retry_after_ms: the longest Retry-After, in milliseconds; 0 for none.
        min_open: open requests that are guaranteed to it.
        max_open: open requests beyond which it rejects.
    """

    servers: list[str] = []
    discovery: str | None = None
    classes: dict[str, ClassConfig] = {}
    tenants: dict[str, TenantConfig] = {}
    over_share_worth: Annotated[float, Meta(ge=0, le=1)] = 0.2
    objective_ms: Milliseconds = 1000
    deadline_ms: Milliseconds = 10_000
    max_attempts: Annotated[int, Meta(ge=1, le=10)] = 3
    connect_timeout_ms: Milliseconds = 250
    idle_ms: Milliseconds = 15_000
    max_retry_after_ms: Annotated[int, Meta(ge=0, le=3_600_000)] = 2000
    min_open: Annotated[int, Meta(ge=0)] = 0
    max_open: Positive = 10_000


class HeaderConfig(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`header` of a route: a request must have it.

    Attributes:
        name: in any case.
        value: the whole value.
    """

    name: Annotated[str, Meta(pattern="^[A-Za-z0-9-]{1,64}$")]
    value: str


class RouteConfig(
    msgspec.Struct,
    forbid_unknown_fields=True,
    frozen=True,
    rename={
        "cls": "class",
        "max_body_bytes": "body_most_bytes",
        "max_response_bytes": "answer_most_bytes",
    },
):
    """`[[routes]]`: see `Route` for the conditions and `RouteOptions` for the rest.

    Attributes:
        name: in errors and logs.
        pool: the pool that its requests belong to.
        host: an exact name or `*.suffix`.
        path: an exact path.
        prefix: whole segments of a path.
        methods: of which one must be the request's.
        cls: the class that the request must be of.
        header: that the request must have.
        dialect: `platform` for requests as on the platform.
        classes: class of the pool by method.
        idempotent: PUT and DELETE may be retried.
        make_ids: a missing X-Request-Id is made.
        deadline_ms: where a request states none, in milliseconds; 0 for the deadline of its class.
        key_header: the header that carries an idempotency key.
        tenant_header: the header that names a tenant.
        max_body_bytes: of a request's body.
        max_response_bytes: of a response's body.
    """

    name: Name
    pool: str
    host: str | None = None
    path: str | None = None
    prefix: str | None = None
    methods: list[str] = []
    cls: str | None = None
    header: HeaderConfig | None = None
    dialect: Literal["http", "platform"] = "http"
    classes: dict[str, str] = {}
    idempotent: bool = False
    make_ids: bool = True
    deadline_ms: Annotated[int, Meta(ge=0, le=3_600_000)] = 0
    key_header: str = "idempotency-key"
    tenant_header: str = ""
    max_body_bytes: BodyLimit = 64 * MB
    max_response_bytes: BodyLimit = 64 * MB
