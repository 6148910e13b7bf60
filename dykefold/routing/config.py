"""Pools and routes in the operator's file: `[node]`, `[pools.NAME]`, `[[routes]]`, typed, checked whole."""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from ..balancer.settings import Effect, RequestClass, Scope, Settings, Tenant
from ..net.discovery.codec import split_address
from ..net.memory_budget import MB
from .plan import MS, Mapping, Plan, PoolPlan, usual_classes
from .shares import Part
from .table import Rule

Positive = Annotated[int, Meta(ge=1)]
Milliseconds = Annotated[int, Meta(ge=1, le=3_600_000)]
Bytes = Annotated[int, Meta(ge=64 * 1024, le=1 << 40)]  # less is held whole and repeated where it may be
Name = Annotated[str, Meta(pattern="^[A-Za-z0-9._-]{1,64}$")]

POOLS_MOST = 1000  # each takes some hundred KB and a turn in every sweep


class NodeTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[node]`: what the process has."""

    name: Name = "node"
    listen: str = "127.0.0.1:8080"
    descriptors: Annotated[int, Meta(ge=64, le=1_000_000)] = 1024
    memory_mb: Annotated[int, Meta(ge=32, le=1_000_000)] = 192


class ClassTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[pools.NAME.classes.CLASS]`."""

    effect: Literal["safe", "keyed", "unsafe"]
    aim_ms: Milliseconds
    deadline_ms: Milliseconds
    worth: Annotated[float, Meta(ge=0)] = 1.0
    late_worth: Annotated[float, Meta(ge=0)] = 0.0
    scope: Literal["all", "zone", "cell"] = "cell"
    window_ms: Annotated[int, Meta(ge=0)] = 0


class TenantTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[pools.NAME.tenants.TENANT]`."""

    requests_per_s: Annotated[float, Meta(gt=0)]


class PoolTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[pools.NAME]`."""

    servers: list[str] = []
    discovery: str | None = None
    classes: dict[str, ClassTable] = {}
    tenants: dict[str, TenantTable] = {}
    over_share_worth: Annotated[float, Meta(ge=0, le=1)] = 0.2
    aim_ms: Milliseconds = 1000
    deadline_ms: Milliseconds = 10_000
    attempts_most: Annotated[int, Meta(ge=1, le=10)] = 3
    connect_timeout_ms: Milliseconds = 250
    idle_ms: Milliseconds = 15_000
    retry_after_most_ms: Annotated[int, Meta(ge=0, le=3_600_000)] = 2000
    open_least: Annotated[int, Meta(ge=0)] = 0
    open_most: Positive = 10_000


class HeaderTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    name: Annotated[str, Meta(pattern="^[A-Za-z0-9-]{1,64}$")]
    value: str


class RouteTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True, rename={"cls": "class"}):
    """`[[routes]]`."""

    name: Name
    pool: str
    host: str | None = None
    path: str | None = None
    prefix: str | None = None
    methods: list[str] = []
    cls: str | None = None
    header: HeaderTable | None = None
    dialect: Literal["http", "platform"] = "http"
    classes: dict[str, str] = {}
    idempotent: bool = False
    make_ids: bool = True
    deadline_ms: Annotated[int, Meta(ge=0, le=3_600_000)] = 0
    key_header: str = "idempotency-key"
    tenant_header: str = ""
    body_most_bytes: Bytes = 64 * MB
    answer_most_bytes: Bytes = 64 * MB


EFFECTS = {"safe": Effect.SAFE, "keyed": Effect.KEYED, "unsafe": Effect.UNSAFE}
SCOPES = {"all": Scope.ALL, "zone": Scope.ZONE, "cell": Scope.CELL}


def read_plan(data: dict[str, Any]) -> tuple[Plan | None, list[str]]:
    """The plan of a file's tables, and all that is wrong with them; None if anything is."""
    problems = struct_problems("node", data.get("node", {}), NodeTable)
    pools, routes = data.get("pools", {}), data.get("routes", [])
    if not isinstance(pools, dict):
        return None, [*problems, f"pools = {pools!r}: expected tables [pools.NAME]"]
    if not isinstance(routes, list):
        return None, [*problems, f"routes = {routes!r}: expected tables [[routes]]"]
    if len(pools) > POOLS_MOST:
        return None, [*problems, f"pools: {len(pools)} of them; expected {POOLS_MOST} at most"]
    for name, values in pools.items():
        problems += _pool_problems(f"pools.{name}", values)
    for number, values in enumerate(routes):
        problems += struct_problems(f"routes[{number}]", values, RouteTable)
    if not pools:
        problems.append("pools: missing; expected at least one table [pools.NAME]")
    if problems:
        return None, problems
    node = msgspec.convert(data.get("node", {}), NodeTable)
    try:
        listen = split_address(node.listen, least_port=0)
    except ValueError as error:
        return None, [f"node.listen = {node.listen!r}: expected ADDRESS:PORT ({error})"]
    tables = [msgspec.convert(values, RouteTable) for values in routes]
    plan = Plan(
        name=node.name,
        listen=listen,
        sockets=node.descriptors,
        memory_bytes=node.memory_mb * MB,
        pools={name: _pool(name, msgspec.convert(values, PoolTable)) for name, values in pools.items()},
        rules=tuple(_rule(table) for table in tables),
        mappings={table.name: _mapping(table) for table in tables},
    )
    problems = plan.problems()
    return (None, problems) if problems else (plan, [])


def struct_problems(place: str, values: Any, kind: type[msgspec.Struct]) -> list[str]:
    """Check key by key, since a conversion of the whole tells the first problem only."""
    if not isinstance(values, dict):
        return [f"{place} = {values!r}: expected a table"]
    fields = {field.encode_name: field for field in msgspec.structs.fields(kind)}
    problems = [
        f"{place}.{name}: missing" for name, field in fields.items() if field.required and name not in values
    ]
    for key, value in values.items():
        field = fields.get(key)
        if field is None:
            problems.append(f"{place}.{key}: unknown; expected one of {', '.join(fields)}")
            continue
        try:
            msgspec.convert(value, field.type)
        except msgspec.ValidationError as error:
            problems.append(f"{place}.{key} = {value!r}: {str(error)[:1].lower()}{str(error)[1:]}")
    return problems


def _pool_problems(place: str, values: Any) -> list[str]:
    if not isinstance(values, dict):
        return [f"{place} = {values!r}: expected a table"]
    nested: dict[str, type[msgspec.Struct]] = {"classes": ClassTable, "tenants": TenantTable}
    problems = struct_problems(place, {k: v for k, v in values.items() if k not in nested}, PoolTable)
    for key, kind in nested.items():
        tables = values.get(key, {})
        if isinstance(tables, dict):
            for name, table in tables.items():
                problems += struct_problems(f"{place}.{key}.{name}", table, kind)
        else:
            problems.append(f"{place}.{key} = {tables!r}: expected tables [{place}.{key}.NAME]")
    if problems:
        return problems
    table = msgspec.convert(values, PoolTable)
    if bool(table.servers) == (table.discovery is not None):
        problems.append(f"{place}: expected servers or discovery, and one of them only")
    for key, text in [("servers", text) for text in table.servers] + [("discovery", table.discovery)]:
        if text is not None:
            try:
                split_address(text)
            except ValueError as error:
                problems.append(f"{place}.{key}: {text!r}: expected ADDRESS:PORT ({error})")
    if len(set(table.servers)) < len(table.servers):
        problems.append(f"{place}.servers: an address comes twice")
    if table.open_least > table.open_most:
        problems.append(
            f"{place}.open_least = {table.open_least}: expected open_most = {table.open_most} at most"
        )
    return problems


def _pool(name: str, table: PoolTable) -> PoolPlan:
    classes = [
        RequestClass(
            name=key,
            objective_ns=spec.aim_ms * MS,
            deadline_ns=spec.deadline_ms * MS,
            worth=spec.worth,
            late_worth=spec.late_worth,
            effect=EFFECTS[spec.effect],
            scope=SCOPES[spec.scope],
            window_ns=spec.window_ms * MS,
        )
        for key, spec in table.classes.items()
    ]
    settings = Settings(
        classes=classes or usual_classes(table.aim_ms * MS, table.deadline_ms * MS),
        zones=["here"],
        tenants=_tenants(table),
        over_share_worth=table.over_share_worth,
        max_attempts=table.attempts_most,
        can_cancel=True,
        retry_after=table.retry_after_most_ms > 0,
        max_retry_after_ns=table.retry_after_most_ms * MS,
        connect_timeout_ns=table.connect_timeout_ms * MS,
    )
    return PoolPlan(
        name=name,
        settings=settings,
        servers=tuple(split_address(text) for text in table.servers),
        discovery=split_address(table.discovery) if table.discovery is not None else None,
        part=Part(table.open_least, table.open_most),
        idle_ns=table.idle_ms * MS,
    )


def _tenants(table: PoolTable) -> list[Tenant]:
    whole = sum(tenant.requests_per_s for tenant in table.tenants.values())
    return [
        Tenant(name, tenant.requests_per_s / whole, tenant.requests_per_s)
        for name, tenant in table.tenants.items()
    ]


def _rule(table: RouteTable) -> Rule:
    header = (table.header.name.lower(), table.header.value) if table.header is not None else None
    return Rule(
        name=table.name,
        pool=table.pool,
        host=table.host,
        path=table.path,
        prefix=table.prefix,
        methods=tuple(table.methods),
        cls=table.cls,
        header=header,
    )


def _mapping(table: RouteTable) -> Mapping:
    return Mapping(
        platform=table.dialect == "platform",
        classes=table.classes,
        idempotent=table.idempotent,
        make_ids=table.make_ids,
        deadline_ns=table.deadline_ms * MS,
        key_header=table.key_header.lower(),
        tenant_header=table.tenant_header.lower(),
        body_most_bytes=table.body_most_bytes,
        answer_most_bytes=table.answer_most_bytes,
    )
