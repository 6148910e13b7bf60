"""Scenario file: servers, request classes, load and faults. All problems are reported together."""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from ..routing.config import struct_problems
from ..service_config import ServiceError, read_toml

PositiveInt = Annotated[int, Meta(ge=1)]
PositiveFloat = Annotated[float, Meta(gt=0)]
NonNegativeFloat = Annotated[float, Meta(ge=0)]
Fraction = Annotated[float, Meta(ge=0, le=1)]

MAX_SERVERS = 1000
MAX_LOAD_PROCESSES = 64


class ServiceTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`service` of a class: the distribution of its service times.

    Attributes:
        kind: Kind of the distribution.
        mean_ms: Mean service time in milliseconds on a core of speed 1.
        shape: Sigma of a lognormal distribution; exponent of a Pareto distribution, above 1.
    """

    kind: Literal["constant", "exponential", "lognormal", "pareto"] = "exponential"
    mean_ms: PositiveFloat = 40.0
    shape: PositiveFloat = 1.0


class ClassTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[classes.NAME]`: one request class.

    Attributes:
        effect: Whether a request may run more than once: yes (safe), within `window_ms` (keyed), no (unsafe).
        share: Share of the requests, relative to the other classes.
        aim_ms: Latency objective in milliseconds.
        deadline_ms: Deadline in milliseconds.
        window_ms: Time for which servers remember an idempotency key, in milliseconds.
        service: Distribution of the service times.
    """

    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    share: PositiveFloat = 1.0
    aim_ms: PositiveInt = 500
    deadline_ms: PositiveInt = 2000
    window_ms: Annotated[int, Meta(ge=0)] = 0
    service: ServiceTable = ServiceTable()


class ServerTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[[servers]]`: servers of one kind.

    Attributes:
        name: Name of the kind; its servers are named NAME-NUMBER.
        count: Number of servers.
        cores: Number of cores of each server.
        speed: Speed of a core; service times are divided by it.
        discipline: Order in which waiting requests are served.
        queue_most: Maximum number of waiting requests; a further one is rejected.
        cold_share: Fraction of its full speed that a server has immediately after a restart.
        warm_s: Time after a restart until a server has its full speed, in seconds.
    """

    name: Annotated[str, Meta(pattern="^[a-z0-9-]{1,32}$")]
    count: PositiveInt = 1
    cores: PositiveInt = 1
    speed: PositiveFloat = 1.0
    discipline: Literal["fifo", "lifo"] = "fifo"
    queue_most: Annotated[int, Meta(ge=0)] = 100
    cold_share: Annotated[float, Meta(gt=0, le=1)] = 1.0
    warm_s: NonNegativeFloat = 0.0


class FaultTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[[faults]]`: one fault.

    Attributes:
        kind: Kind of the fault.
        at_s: Start of the fault, in seconds since the load began.
        for_s: Duration of the fault in seconds.
        servers: Affected servers: NAME-NUMBER for one, NAME for all servers of a kind.
        factor: Factor on the service time, for `slow`.
        share: Fraction of the answers affected, for `garbage`, `reset` and `lost`.
    """

    kind: Literal["crash", "silence", "slow", "garbage", "reset", "lost", "full"]
    at_s: NonNegativeFloat
    for_s: PositiveFloat
    servers: list[str]
    factor: PositiveFloat = 4.0
    share: Fraction = 1.0


class LoadTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[load]`: open-loop load, whose arrivals do not wait for answers.

    Attributes:
        kind: Kind of the arrival process.
        rate: Requests per second: the mean of `bursty` and `sine`, the start of `step` and `ramp`.
        peak: Requests per second at the end of `step` and `ramp`, in a burst, or at the maximum of `sine`.
        period_s: Period of `sine`, or mean time between the starts of bursts, in seconds.
        at_s: Time of the step, in seconds since the load began.
        processes: Number of load processes.
        retries: Maximum number of retries of a refused request, each under a new id.
        heeds_retry_after: Whether clients wait before a retry as Retry-After states.
        connections_most: Maximum number of open connections of each load process.
    """

    kind: Literal["poisson", "bursty", "step", "ramp", "sine"] = "poisson"
    rate: PositiveFloat = 50.0
    peak: PositiveFloat = 100.0
    period_s: PositiveFloat = 10.0
    at_s: NonNegativeFloat = 0.0
    processes: Annotated[int, Meta(ge=1, le=MAX_LOAD_PROCESSES)] = 1
    retries: Annotated[int, Meta(ge=0, le=10)] = 0
    heeds_retry_after: bool = True
    connections_most: PositiveInt = 512


class Scenario(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Contents of a scenario file.

    Attributes:
        servers: Servers by kind.
        classes: Request classes by name.
        load: Load that the clients generate.
        faults: Faults, in any order.
        seed: Seed of all random streams.
        span_s: Duration of the load in seconds.
    """

    servers: list[ServerTable]
    classes: dict[str, ClassTable]
    load: LoadTable = LoadTable()
    faults: list[FaultTable] = []
    seed: Annotated[int, Meta(ge=0)] = 0
    span_s: Annotated[float, Meta(gt=0, le=86_400)] = 10.0

    def server_names(self) -> list[str]:
        """Return the names of all servers, as NAME-NUMBER."""
        return [f"{table.name}-{number}" for table in self.servers for number in range(table.count)]

    def table_of(self, name: str) -> ServerTable:
        """Return the table of the kind to which a server belongs."""
        return next(table for table in self.servers if name.rpartition("-")[0] == table.name)


SINGLE_TABLES: dict[str, type[msgspec.Struct]] = {"load": LoadTable}
TABLE_LISTS: dict[str, type[msgspec.Struct]] = {"servers": ServerTable, "faults": FaultTable}


def read_scenario(path: str) -> Scenario:
    """Read a scenario file.

    Raises:
        ServiceError: The file is invalid; the error lists every problem.
    """
    data = read_toml(path)
    problems = _table_problems(data)
    if problems:
        raise ServiceError(path, problems)
    scenario = msgspec.convert(data, Scenario)
    problems = _consistency_problems(scenario)
    if problems:
        raise ServiceError(path, problems)
    return scenario


def _table_problems(data: dict[str, Any]) -> list[str]:
    problems = _value_problems(data)
    for key, struct in SINGLE_TABLES.items():
        problems += struct_problems(key, data.get(key, {}), struct)
    for key, struct in TABLE_LISTS.items():
        tables = data.get(key, [])
        if not isinstance(tables, list):
            problems.append(f"{key} = {tables!r}: expected an array of tables [[{key}]]")
            continue
        for number, table in enumerate(tables):
            problems += struct_problems(f"{key}[{number}]", table, struct)
    classes = data.get("classes", {})
    if not isinstance(classes, dict) or not classes:
        return [*problems, "classes: expected at least one table [classes.NAME]"]
    for name, table in classes.items():
        problems += struct_problems(f"classes.{name}", table, ClassTable)
    if not data.get("servers"):
        problems.append("servers: expected at least one table [[servers]]")
    return problems


def _value_problems(data: dict[str, Any]) -> list[str]:
    """Return the problems of the file's keys that are not tables."""
    values = {
        key: value for key, value in data.items() if key not in (*SINGLE_TABLES, *TABLE_LISTS, "classes")
    }
    types = {field.encode_name: field.type for field in msgspec.structs.fields(Scenario)}
    expected = ", ".join(sorted(types))
    problems = [f"{key}: unknown; expected one of {expected}" for key in values if key not in types]
    for key in ("seed", "span_s"):
        if key in values:
            try:
                msgspec.convert(values[key], types[key])
            except msgspec.ValidationError as error:
                problems.append(f"{key} = {values[key]!r}: {error}")
    return problems


def _consistency_problems(scenario: Scenario) -> list[str]:
    names = scenario.server_names()
    kinds = [table.name for table in scenario.servers]
    problems = []
    if len(set(kinds)) < len(kinds):
        problems.append("servers: duplicate name; expected a different name in each table")
    if len(names) > MAX_SERVERS:
        problems.append(f"servers: {len(names)} servers; expected at most {MAX_SERVERS}")
    for number, fault in enumerate(scenario.faults):
        unknown = [name for name in fault.servers if name not in names and name not in kinds]
        if unknown:
            problems.append(
                f"faults[{number}].servers: {', '.join(unknown)}: expected {', '.join(kinds)} or NAME-NUMBER"
            )
    for name, table in scenario.classes.items():
        if table.service.kind == "pareto" and table.service.shape <= 1.0:
            problems.append(
                f"classes.{name}.service.shape = {table.service.shape}: expected above 1, for a finite mean"
            )
    return problems
