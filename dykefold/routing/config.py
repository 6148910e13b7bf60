"""Reads and checks pools and routes of the operator's settings file; reports all problems at once."""

from __future__ import annotations

import msgspec

from ..net.discovery.codec import split_address
from ..net.memory_budget import MB
from .config_tables import ClassConfig, NodeConfig, PoolConfig, RouteConfig, TenantConfig
from .plan import ServicesPlan
from .plan_builder import make_pool_plan, make_route, make_route_options

MAX_POOLS = 1000  # Each pool takes some hundred KB, and time in every periodic check of all pools.

# Tables nested in the table of a pool; the operator names their entries.
NESTED_TABLES: dict[str, type[msgspec.Struct]] = {"classes": ClassConfig, "tenants": TenantConfig}


def read_plan(data: dict[str, object]) -> tuple[ServicesPlan | None, list[str]]:
    """Return the plan that a settings file describes, and all problems of its tables.

    Args:
        data: Tables of the settings file as `tomllib` returns them.

    Returns:
        The plan, or None if there are problems; and the problems, one line each.
    """
    problems = struct_problems("node", data.get("node", {}), NodeConfig)
    pools, routes = data.get("pools", {}), data.get("routes", [])
    if not isinstance(pools, dict):
        return None, [*problems, f"pools = {pools!r}: expected tables [pools.NAME]"]
    if not isinstance(routes, list):
        return None, [*problems, f"routes = {routes!r}: expected tables [[routes]]"]
    if len(pools) > MAX_POOLS:
        return None, [*problems, f"pools: {len(pools)} of them; expected {MAX_POOLS} at most"]
    for name, values in pools.items():
        problems += _pool_problems(f"pools.{name}", values)
    for number, values in enumerate(routes):
        problems += struct_problems(f"routes[{number}]", values, RouteConfig)
    if not pools:
        problems.append("pools: missing; expected at least one table [pools.NAME]")
    if problems:
        return None, problems
    return _make_plan(
        msgspec.convert(data.get("node", {}), NodeConfig),
        msgspec.convert(pools, dict[str, PoolConfig]),
        msgspec.convert(routes, list[RouteConfig]),
    )


def struct_problems(table_name: str, values: object, struct_type: type[msgspec.Struct]) -> list[str]:
    """Return the problems of a table, one line each.

    Each key is checked separately, since a conversion of the whole table reports its first problem only.

    Args:
        table_name: Full name of the table, for problem texts.
        values: Keys and values of the table.
        struct_type: Type that the table should have.
    """
    if not isinstance(values, dict):
        return [f"{table_name} = {values!r}: expected a table"]
    fields = {field.encode_name: field for field in msgspec.structs.fields(struct_type)}
    problems = [
        f"{table_name}.{name}: missing"
        for name, field in fields.items()
        if field.required and name not in values
    ]
    for key, value in values.items():
        field = fields.get(key)
        if field is None:
            problems.append(f"{table_name}.{key}: unknown; expected one of {', '.join(fields)}")
            continue
        try:
            msgspec.convert(value, field.type)
        except msgspec.ValidationError as error:
            problems.append(f"{table_name}.{key} = {value!r}: {str(error)[:1].lower()}{str(error)[1:]}")
    return problems


def _make_plan(
    node: NodeConfig, pools: dict[str, PoolConfig], routes: list[RouteConfig]
) -> tuple[ServicesPlan | None, list[str]]:
    """Return the plan of tables that are each valid, and the problems between tables."""
    try:
        listen = split_address(node.listen, min_port=0)
    except ValueError as error:
        return None, [f"node.listen = {node.listen!r}: expected ADDRESS:PORT ({error})"]
    plan = ServicesPlan(
        name=node.name,
        listen=listen,
        max_descriptors=node.descriptors,
        memory_bytes=node.memory_mb * MB,
        pools={name: make_pool_plan(name, pool) for name, pool in pools.items()},
        routes=tuple(make_route(route) for route in routes),
        options={route.name: make_route_options(route) for route in routes},
    )
    problems = plan.problems()
    return (None, problems) if problems else (plan, [])


def _pool_problems(table_name: str, values: object) -> list[str]:
    if not isinstance(values, dict):
        return [f"{table_name} = {values!r}: expected a table"]
    own_values = {key: value for key, value in values.items() if key not in NESTED_TABLES}
    problems = struct_problems(table_name, own_values, PoolConfig)
    for key, struct_type in NESTED_TABLES.items():
        problems += _nested_problems(f"{table_name}.{key}", values.get(key, {}), struct_type)
    return problems or _address_problems(table_name, msgspec.convert(values, PoolConfig))


def _nested_problems(table_name: str, tables: object, struct_type: type[msgspec.Struct]) -> list[str]:
    if not isinstance(tables, dict):
        return [f"{table_name} = {tables!r}: expected tables [{table_name}.NAME]"]
    return [
        problem
        for name, table in tables.items()
        for problem in struct_problems(f"{table_name}.{name}", table, struct_type)
    ]


def _address_problems(table_name: str, pool: PoolConfig) -> list[str]:
    """Return the problems of addresses and limits in the table of a pool whose keys are each valid."""
    problems = []
    if bool(pool.servers) == (pool.discovery is not None):
        problems.append(f"{table_name}: expected servers or discovery, and one of them only")
    addresses = [("servers", text) for text in pool.servers]
    if pool.discovery is not None:
        addresses.append(("discovery", pool.discovery))
    for key, text in addresses:
        try:
            split_address(text)
        except ValueError as error:
            problems.append(f"{table_name}.{key}: {text!r}: expected ADDRESS:PORT ({error})")
    if len(set(pool.servers)) < len(pool.servers):
        problems.append(f"{table_name}.servers: an address comes twice")
    if pool.min_open > pool.max_open:
        problems.append(
            f"{table_name}.open_least = {pool.min_open}: expected open_most = {pool.max_open} at most"
        )
    return problems
