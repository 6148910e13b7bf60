"""Reads and checks the tables of the operator's file on services: all that is wrong with them at once."""

from __future__ import annotations

import msgspec

from ..net.discovery.codec import split_address
from ..net.memory_budget import MB
from .config_tables import ClassConfig, NodeConfig, PoolConfig, RouteConfig, TenantConfig
from .plan import Plan
from .plan_builder import make_pool_plan, make_route, make_route_options

MAX_POOLS = 1000  # Each pool takes some hundred KB and a turn in every sweep.

# Tables within the table of a pool, each by a name of the operator's.
NESTED_TABLES: dict[str, type[msgspec.Struct]] = {"classes": ClassConfig, "tenants": TenantConfig}


def read_plan(data: dict[str, object]) -> tuple[Plan | None, list[str]]:
    """Return the plan of a file's tables, and all that is wrong with them.

    Args:
        data: Tables of the file as `tomllib` returns them.

    Returns:
        The plan, or None if anything is wrong; and the problems, a line each.
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


def struct_problems(place: str, values: object, kind: type[msgspec.Struct]) -> list[str]:
    """Return what is wrong with a table, a line each.

    It is checked key by key, since a conversion of the whole reports the first problem only.

    Args:
        place: Name of the table, for errors.
        values: Keys and values of the table.
        kind: Type that the table should have.
    """
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


def _make_plan(
    node: NodeConfig, pools: dict[str, PoolConfig], routes: list[RouteConfig]
) -> tuple[Plan | None, list[str]]:
    """Return the plan of tables that are right each by itself, and what does not fit together."""
    try:
        listen = split_address(node.listen, min_port=0)
    except ValueError as error:
        return None, [f"node.listen = {node.listen!r}: expected ADDRESS:PORT ({error})"]
    plan = Plan(
        name=node.name,
        listen=listen,
        sockets=node.descriptors,
        memory_bytes=node.memory_mb * MB,
        pools={name: make_pool_plan(name, pool) for name, pool in pools.items()},
        routes=tuple(make_route(route) for route in routes),
        options={route.name: make_route_options(route) for route in routes},
    )
    problems = plan.problems()
    return (None, problems) if problems else (plan, [])


def _pool_problems(place: str, values: object) -> list[str]:
    if not isinstance(values, dict):
        return [f"{place} = {values!r}: expected a table"]
    flat = {key: value for key, value in values.items() if key not in NESTED_TABLES}
    problems = struct_problems(place, flat, PoolConfig)
    for key, kind in NESTED_TABLES.items():
        problems += _nested_problems(f"{place}.{key}", values.get(key, {}), kind)
    return problems or _address_problems(place, msgspec.convert(values, PoolConfig))


def _nested_problems(place: str, tables: object, kind: type[msgspec.Struct]) -> list[str]:
    if not isinstance(tables, dict):
        return [f"{place} = {tables!r}: expected tables [{place}.NAME]"]
    return [
        problem
        for name, table in tables.items()
        for problem in struct_problems(f"{place}.{name}", table, kind)
    ]


def _address_problems(place: str, pool: PoolConfig) -> list[str]:
    """Return what is wrong with the addresses and limits of a pool whose keys are right each by itself."""
    problems = []
    if bool(pool.servers) == (pool.discovery is not None):
        problems.append(f"{place}: expected servers or discovery, and one of them only")
    addresses = [("servers", text) for text in pool.servers]
    if pool.discovery is not None:
        addresses.append(("discovery", pool.discovery))
    for key, text in addresses:
        try:
            split_address(text)
        except ValueError as error:
            problems.append(f"{place}.{key}: {text!r}: expected ADDRESS:PORT ({error})")
    if len(set(pool.servers)) < len(pool.servers):
        problems.append(f"{place}.servers: an address comes twice")
    if pool.min_open > pool.max_open:
        problems.append(f"{place}.open_least = {pool.min_open}: expected open_most = {pool.max_open} at most")
    return problems
