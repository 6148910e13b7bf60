"""Builds the parts of a plan from checked tables of the operator's settings file."""

from __future__ import annotations

from ..balancer.settings import Effect, RequestClass, Scope, Settings, Tenant
from ..net.discovery.codec import split_address
from .config_tables import ClassConfig, PoolConfig, RouteConfig
from .plan import NS_PER_MS, PoolPlan, RouteOptions, default_classes
from .reservations import ReservationLimits
from .route import HeaderCondition, Route

EFFECTS = {"safe": Effect.SAFE, "keyed": Effect.KEYED, "unsafe": Effect.UNSAFE}
SCOPES = {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.CELL}
ZONE_NAME = "here"  # The file has no zones, so all endpoints of a pool are in one.


def make_pool_plan(name: str, pool: PoolConfig) -> PoolPlan:
    """Return the plan of a pool.

    Args:
        name: Name of the pool.
        pool: Checked table of the pool.

    Raises:
        ValueError: An address is invalid.
    """
    classes = [_make_class(key, spec) for key, spec in pool.classes.items()]
    settings = Settings(
        classes=classes or default_classes(pool.objective_ms * NS_PER_MS, pool.deadline_ms * NS_PER_MS),
        zones=[ZONE_NAME],
        tenants=_make_tenants(pool),
        over_quota_weight_fraction=pool.over_share_worth,
        max_attempts=pool.max_attempts,
        can_cancel=True,
        retry_after=pool.max_retry_after_ms > 0,
        max_retry_after_ns=pool.max_retry_after_ms * NS_PER_MS,
        connect_timeout_ns=pool.connect_timeout_ms * NS_PER_MS,
    )
    return PoolPlan(
        name=name,
        settings=settings,
        servers=tuple(split_address(text) for text in pool.servers),
        discovery=split_address(pool.discovery) if pool.discovery is not None else None,
        limits=ReservationLimits(pool.min_open, pool.max_open),
        idle_ns=pool.idle_ms * NS_PER_MS,
    )


def make_route(route: RouteConfig) -> Route:
    """Return the route of a table."""
    header = None
    if route.header is not None:
        header = HeaderCondition(route.header.name.lower(), route.header.value)
    return Route(
        name=route.name,
        pool=route.pool,
        host=route.host,
        path=route.path,
        prefix=route.prefix,
        methods=tuple(route.methods),
        cls=route.cls,
        header=header,
    )


def make_route_options(route: RouteConfig) -> RouteOptions:
    """Return the options of a route."""
    return RouteOptions(
        platform=route.dialect == "platform",
        classes=route.classes,
        idempotent=route.idempotent,
        make_ids=route.make_ids,
        deadline_ns=route.deadline_ms * NS_PER_MS,
        key_header=route.key_header.lower(),
        tenant_header=route.tenant_header.lower(),
        max_body_bytes=route.max_body_bytes,
        max_response_bytes=route.max_response_bytes,
    )


def _make_class(name: str, spec: ClassConfig) -> RequestClass:
    return RequestClass(
        name=name,
        objective_ns=spec.objective_ms * NS_PER_MS,
        deadline_ns=spec.deadline_ms * NS_PER_MS,
        priority_weight=spec.worth,
        late_weight_fraction=spec.late_worth,
        effect=EFFECTS[spec.effect],
        scope=SCOPES[spec.scope],
        window_ns=spec.window_ms * NS_PER_MS,
    )


def _make_tenants(pool: PoolConfig) -> list[Tenant]:
    total_per_s = sum(tenant.requests_per_s for tenant in pool.tenants.values())
    return [
        Tenant(name, tenant.requests_per_s / total_per_s, tenant.requests_per_s)
        for name, tenant in pool.tenants.items()
    ]
