"""The configuration of pools, routes and the process that serves them, from the settings file. No I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from ..balancer.settings import Effect, RequestClass, Scope, Settings
from .reservations import ReservationLimits
from .route import Route, RouteTableError
from .table import RouteTable

NS_PER_MS = 1_000_000
MB = 1024 * 1024
NS_PER_S = 1_000 * NS_PER_MS

# Methods by RFC 9110, 9.2.1 and 9.2.2; a request with any other method must not be executed twice.
SAFE_METHODS = frozenset(("GET", "HEAD", "OPTIONS", "TRACE"))
IDEMPOTENT_METHODS = frozenset(("PUT", "DELETE"))
READ, IDEMPOTENT, WRITE = "read", "idempotent", "write"  # Classes of a pool that configures none.


@dataclass(frozen=True, slots=True)
class PoolPlan:
    """Configuration of one pool.

    Attributes:
        name: Name of the pool in routes, logs and keys of the file.
        settings: Settings of the pool's balancer.
        servers: Addresses of the endpoints that the file lists; empty if discovery lists them.
        discovery: Address of its discovery service; None if the file lists the endpoints.
        limits: Guaranteed and maximum number of connections to endpoints; the maximum also limits pending
            requests.
        idle_ns: Time in nanoseconds after which endpoints may close an idle connection.
    """

    name: str
    settings: Settings
    servers: tuple[tuple[str, int], ...]
    discovery: tuple[str, int] | None
    limits: ReservationLimits
    idle_ns: int

    def can_continue_as(self, other: PoolPlan) -> bool:
        """Return whether a running pool can adopt the other plan and keep its balancer and connections."""
        return (
            self.settings == other.settings
            and self.idle_ns == other.idle_ns
            and (self.discovery is None) == (other.discovery is None)
        )


@dataclass(frozen=True, slots=True)
class RouteOptions:
    """How requests of a route are parsed and assigned to request classes of its pool.

    Attributes:
        platform: Whether requests use the platform's protocol: the first path segment is the class, and the
            headers are those of that protocol. The other options are ignored then.
        classes: Name of the request class by method; other methods get a default class by RFC 9110.
        idempotent: Whether PUT and DELETE may be retried.
        make_ids: Whether a missing X-Request-Id is generated, and returned to the client in the response.
        deadline_ns: Deadline in nanoseconds of a request without one; 0 for the deadline of its class.
        key_header: Lower-case name of the header that carries an idempotency key.
        tenant_header: Lower-case name of the header that names the tenant; empty for none.
        max_body_bytes: Maximum size of a request body in bytes. A body over 64 KiB is streamed and
            never retried.
        max_response_bytes: Maximum size of a response body in bytes. A body over 64 KiB is streamed.
    """

    platform: bool = False
    classes: dict[str, str] = field(default_factory=dict)
    idempotent: bool = False
    make_ids: bool = True
    deadline_ns: int = 0
    key_header: str = "idempotency-key"
    tenant_header: str = ""
    max_body_bytes: int = 64 * MB
    max_response_bytes: int = 64 * MB

    def class_of(self, method: str) -> str:
        """Return the name of the request class of a method."""
        configured = self.classes.get(method)
        if configured is not None:
            return configured
        if method in SAFE_METHODS:
            return READ
        return IDEMPOTENT if self.idempotent and method in IDEMPOTENT_METHODS else WRITE


@dataclass(frozen=True, slots=True)
class ServicesPlan:
    """Complete configuration of a process: listener, pools and routes.

    Attributes:
        name: Name of the process in logs.
        listen: Address of the listener.
        max_descriptors: Maximum number of file descriptors that the process may open.
        memory_bytes: Memory limit of the process in bytes.
        pools: Pools by name.
        routes: Routes in the order of the file.
        options: Options of the routes by route name.
    """

    name: str
    listen: tuple[str, int]
    max_descriptors: int
    memory_bytes: int
    pools: dict[str, PoolPlan]
    routes: tuple[Route, ...]
    options: dict[str, RouteOptions]

    def table(self, number: int) -> RouteTable:
        """Return the route table.

        Args:
            number: Number of the table.

        Raises:
            RouteTableError: The routes are invalid; the error lists every problem.
        """
        return RouteTable(number, self.routes, self.pools)

    def problems(self) -> list[str]:
        """Return the problems between tables of the file, one line each; empty if the plan can be applied."""
        problems: list[str] = []
        try:
            self.table(0)
        except RouteTableError as error:
            problems += [f"routes.{problem}" for problem in error.problems]
        for route in self.routes:
            pool = self.pools.get(route.pool)
            if pool is not None:
                problems += _class_problems(route.name, self.options[route.name], pool)
        return problems


def _class_problems(route: str, options: RouteOptions, pool: PoolPlan) -> list[str]:
    known = [spec.name for spec in pool.settings.classes]
    if options.platform:
        return []
    if options.tenant_header and not pool.settings.tenants:
        expected = f"expected [pools.{pool.name}.tenants.NAME]"
        return [f"routes.{route}.tenant_header: {pool.name} has no tenants; {expected}"]
    problems = [
        f"routes.{route}.classes.{method} = {name!r}: expected a class of {pool.name}: {', '.join(known)}"
        for method, name in options.classes.items()
        if name not in known
    ]
    if not {READ, IDEMPOTENT, WRITE} <= set(known) and not options.classes:
        problems.append(
            f"routes.{route}.classes: missing; {pool.name} has classes of its own ({', '.join(known)}),"
            " expected which methods are of which"
        )
    return problems


def default_classes(objective_ns: int, deadline_ns: int) -> list[RequestClass]:
    """Return the classes of a pool that configures none: safe, idempotent and other methods of RFC 9110.

    Args:
        objective_ns: Latency objective of each class in nanoseconds.
        deadline_ns: Deadline of each class in nanoseconds.
    """
    return [
        RequestClass(READ, objective_ns, deadline_ns, 1.0, 0.0, Effect.SAFE),
        RequestClass(IDEMPOTENT, objective_ns, deadline_ns, 1.0, 0.0, Effect.KEYED, Scope.ALL, deadline_ns),
        RequestClass(WRITE, objective_ns, deadline_ns, 1.0, 0.0, Effect.UNSAFE),
    ]
