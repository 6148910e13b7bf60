"""Types of the tables in the operator's settings file: `[node]`, `[pools.NAME]`, `[[routes]]`.

A field has the name of its key in the file, unless `rename` gives another one. `deploy/service.toml` lists
every key.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from ..net.memory_budget import MB

Positive = Annotated[int, Meta(ge=1)]
Milliseconds = Annotated[int, Meta(ge=1, le=3_600_000)]
BodyLimit = Annotated[
    int, Meta(ge=64 * 1024, le=1 << 40)
]  # Bytes; bodies up to the minimum are buffered completely, so that they can be retried.
Name = Annotated[str, Meta(pattern="^[A-Za-z0-9._-]{1,64}$")]


class NodeConfig(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[node]`: address and resources of the process.

    Attributes:
        name: Name of the process in logs.
        listen: Address and port at which clients connect.
        descriptors: Maximum number of file descriptors that the process may open.
        memory_mb: Memory limit of the process in megabytes.
    """

    name: Name = "node"
    listen: str = "127.0.0.1:8080"
    descriptors: Annotated[int, Meta(ge=64, le=1_000_000)] = 1024
    memory_mb: Annotated[int, Meta(ge=32, le=1_000_000)] = 192


class ClassConfig(msgspec.Struct, forbid_unknown_fields=True, frozen=True, rename={"objective_ms": "aim_ms"}):
    """`[pools.NAME.classes.CLASS]`: a request class of a pool.

    Attributes:
        effect: Whether a request may be executed more than once: `safe` (always), `keyed` (if its endpoints
            remember its idempotency key) or `unsafe` (never).
        objective_ms: Latency objective in milliseconds.
        deadline_ms: Deadline of a request in milliseconds.
        worth: Priority weight of a request that is answered within the latency objective.
        late_worth: Fraction of that weight if it is answered later.
        scope: Endpoints that share remembered idempotency keys: all, those of a zone or those of a cell.
        window_ms: Time in milliseconds for which endpoints remember an idempotency key.
    """

    effect: Literal["safe", "keyed", "unsafe"]
    objective_ms: Milliseconds
    deadline_ms: Milliseconds
    worth: Annotated[float, Meta(ge=0)] = 1.0
    late_worth: Annotated[float, Meta(ge=0)] = 0.0
    scope: Literal["all", "zone", "cell"] = "cell"
    window_ms: Annotated[int, Meta(ge=0)] = 0


class TenantConfig(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[pools.NAME.tenants.TENANT]`: a tenant of a pool.

    Attributes:
        requests_per_s: Quota of requests per second; requests beyond it are shed first under overload.
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
    """`[pools.NAME]`: a pool of endpoints.

    Attributes:
        servers: Addresses of the endpoints.
        discovery: Address of the discovery service that lists the endpoints, instead of `servers`.
        classes: Request classes by name; if empty, the pool has the classes `read`, `idempotent` and `write`.
        tenants: Tenants by name.
        over_share_worth: Factor on the priority weight of a request beyond its tenant's quota.
        objective_ms: Latency objective in milliseconds of the default classes.
        deadline_ms: Deadline in milliseconds of the default classes.
        max_attempts: Maximum number of attempts per request.
        connect_timeout_ms: Connect timeout in milliseconds.
        idle_ms: Time in milliseconds after which endpoints may close an idle connection.
        max_retry_after_ms: Maximum Retry-After in milliseconds that is sent to clients; 0 sends none.
        min_open: Guaranteed number of connections to endpoints, and thus of pending requests.
        max_open: Maximum number of pending requests; the pool rejects further ones.
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
    """`header` of a route: a header that a request must have.

    Attributes:
        name: Name of the header, case-insensitive.
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
    """`[[routes]]`: a route. See `Route` for its conditions, and `RouteOptions` for its other fields.

    Attributes:
        name: Name of the route in errors and logs.
        pool: Name of the pool that serves the requests.
        host: Exact host name, or `*.suffix`.
        path: Exact path.
        prefix: Leading path segments; a segment matches completely or not at all.
        methods: Methods that the route accepts.
        cls: Name of the class that the request must have.
        header: Header that the request must have.
        dialect: `platform` for the platform's protocol, in which the first path segment names the class;
            `http` for any other HTTP request.
        classes: Name of the request class by method.
        idempotent: Whether PUT and DELETE may be retried.
        make_ids: Whether a missing X-Request-Id is generated.
        deadline_ms: Deadline in milliseconds of a request without one; 0 for the deadline of its class.
        key_header: Name of the header that carries an idempotency key.
        tenant_header: Name of the header that names the tenant; empty for none.
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
