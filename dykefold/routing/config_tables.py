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
        name: Name of the process in logs.
        listen: Address and port at which clients connect.
        descriptors: Number of descriptors that the process may open.
        memory_mb: Memory limit of the process in megabytes.
    """

    name: Name = "node"
    listen: str = "127.0.0.1:8080"
    descriptors: Annotated[int, Meta(ge=64, le=1_000_000)] = 1024
    memory_mb: Annotated[int, Meta(ge=32, le=1_000_000)] = 192


class ClassConfig(msgspec.Struct, forbid_unknown_fields=True, frozen=True, rename={"objective_ms": "aim_ms"}):
    """`[pools.NAME.classes.CLASS]`.

    Attributes:
        effect: Whether a request may run more than once: safe, keyed or unsafe.
        objective_ms: Latency objective in milliseconds.
        deadline_ms: Deadline of a request in milliseconds.
        worth: Priority weight of a response within the latency objective.
        late_worth: Fraction of that weight for a later response.
        scope: Endpoints that share their idempotency keys.
        window_ms: Milliseconds for which endpoints remember an idempotency key.
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
        requests_per_s: Rate of requests beyond which the tenant is shed first.
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
        servers: Addresses of the endpoints.
        discovery: Address of the pool's discovery, instead of `servers`.
        classes: Request classes by name; none for the default classes `read`, `idempotent` and `write`.
        tenants: Tenants by name.
        over_share_worth: Fraction of its priority weight that a request beyond its tenant's rate counts.
        objective_ms: Latency objective in milliseconds of a pool without classes of its own.
        deadline_ms: Deadline in milliseconds of a pool without classes of its own.
        max_attempts: Maximum number of attempts of one request.
        connect_timeout_ms: Connect timeout in milliseconds.
        idle_ms: Milliseconds after which endpoints may close an idle connection.
        max_retry_after_ms: Longest Retry-After in milliseconds; 0 sends none.
        min_open: Number of pending requests that the pool is guaranteed.
        max_open: Number of pending requests beyond which the pool rejects.
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
        name: Name of the header, in any case.
        value: Complete value that the header must have.
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
        name: Name of the route in errors and logs.
        pool: Name of the pool that serves its requests.
        host: Exact host name, or `*.suffix`.
        path: Exact path.
        prefix: Leading complete segments of a path.
        methods: Methods that the route accepts.
        cls: Name of the class that the request must have.
        header: Header that the request must have.
        dialect: `platform` for requests as on the platform.
        classes: Classes of the pool, by method.
        idempotent: PUT and DELETE may be retried.
        make_ids: Whether a missing X-Request-Id is generated.
        deadline_ms: Deadline in milliseconds of a request that states none; 0 takes that of its class.
        key_header: Name of the header that carries an idempotency key.
        tenant_header: Name of the header that names a tenant.
        max_body_bytes: Maximum size of a request body in bytes.
        max_response_bytes: Maximum size of a response body in bytes.
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
