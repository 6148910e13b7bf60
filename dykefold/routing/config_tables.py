"""The tables of the operator's file as types: `[node]`, `[pools.NAME]`, `[[routes]]`.

The meaning of each key is in `deploy/service.toml` and docs/operators/routing.md. Keys that end in `_ms` are
milliseconds.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from ..net.memory_budget import MB

Positive = Annotated[int, Meta(ge=1)]
Milliseconds = Annotated[int, Meta(ge=1, le=3_600_000)]
Bytes = Annotated[int, Meta(ge=64 * 1024, le=1 << 40)]  # less is held whole and repeated where it may be
Name = Annotated[str, Meta(pattern="^[A-Za-z0-9._-]{1,64}$")]


class NodeConfig(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[node]`: what the process has."""

    name: Name = "node"
    listen: str = "127.0.0.1:8080"
    descriptors: Annotated[int, Meta(ge=64, le=1_000_000)] = 1024
    memory_mb: Annotated[int, Meta(ge=32, le=1_000_000)] = 192


class ClassConfig(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[pools.NAME.classes.CLASS]`."""

    effect: Literal["safe", "keyed", "unsafe"]
    aim_ms: Milliseconds
    deadline_ms: Milliseconds
    worth: Annotated[float, Meta(ge=0)] = 1.0
    late_worth: Annotated[float, Meta(ge=0)] = 0.0
    scope: Literal["all", "zone", "cell"] = "cell"
    window_ms: Annotated[int, Meta(ge=0)] = 0


class TenantConfig(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[pools.NAME.tenants.TENANT]`."""

    requests_per_s: Annotated[float, Meta(gt=0)]


class PoolConfig(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[pools.NAME]`."""

    servers: list[str] = []
    discovery: str | None = None
    classes: dict[str, ClassConfig] = {}
    tenants: dict[str, TenantConfig] = {}
    over_share_worth: Annotated[float, Meta(ge=0, le=1)] = 0.2
    aim_ms: Milliseconds = 1000
    deadline_ms: Milliseconds = 10_000
    attempts_most: Annotated[int, Meta(ge=1, le=10)] = 3
    connect_timeout_ms: Milliseconds = 250
    idle_ms: Milliseconds = 15_000
    retry_after_most_ms: Annotated[int, Meta(ge=0, le=3_600_000)] = 2000
    open_least: Annotated[int, Meta(ge=0)] = 0
    open_most: Positive = 10_000


class HeaderConfig(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`header` of a route."""

    name: Annotated[str, Meta(pattern="^[A-Za-z0-9-]{1,64}$")]
    value: str


class RouteConfig(msgspec.Struct, forbid_unknown_fields=True, frozen=True, rename={"cls": "class"}):
    """`[[routes]]`."""

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
    body_most_bytes: Bytes = 64 * MB
    answer_most_bytes: Bytes = 64 * MB
