"""A scenario file: servers, classes of work, load, and what goes wrong when. Typed, checked whole."""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from ..routing.config import struct_problems
from ..service_config import ServiceError, read_toml

Positive = Annotated[int, Meta(ge=1)]
Above = Annotated[float, Meta(gt=0)]
NotBelow = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]

MAX_SERVERS = 1000
MAX_LOAD_PROCESSES = 64


class ServiceTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`service` of a class: how long its work takes on a core of speed 1."""

    kind: Literal["constant", "exponential", "lognormal", "pareto"] = "exponential"
    mean_ms: Above = 40.0
    shape: Above = 1.0  # lognormal: sigma; Pareto: the exponent, which must be over 1


class ClassTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[classes.NAME]`."""

    effect: Literal["safe", "keyed", "unsafe"] = "safe"
    share: Above = 1.0  # of the requests, relative to the other classes'
    aim_ms: Positive = 500
    deadline_ms: Positive = 2000
    window_ms: Annotated[int, Meta(ge=0)] = 0
    service: ServiceTable = ServiceTable()


class ServerTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[[servers]]`: so many of one kind."""

    name: Annotated[str, Meta(pattern="^[a-z0-9-]{1,32}$")]
    count: Positive = 1
    cores: Positive = 1
    speed: Above = 1.0
    discipline: Literal["fifo", "lifo"] = "fifo"
    queue_most: Annotated[int, Meta(ge=0)] = 100  # that wait; beyond it a request is turned away unseen
    cold_share: Annotated[float, Meta(gt=0, le=1)] = 1.0  # of its speed right after a restart
    warm_s: NotBelow = 0.0


class FaultTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[[faults]]`: what goes wrong, from when, for how long, at which servers."""

    kind: Literal["crash", "silence", "slow", "garbage", "reset", "lost", "full"]
    at_s: NotBelow
    for_s: Above
    servers: list[str]  # names as NAME-NUMBER, or NAME for all of them
    factor: Above = 4.0  # slow: times as long
    share: Share = 1.0  # of the answers, for garbage, reset and lost


class LoadTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[load]`: arrivals do not wait for answers."""

    kind: Literal["poisson", "bursty", "step", "ramp", "sine"] = "poisson"
    rate: Above = 50.0  # requests a second; the mean of bursty and sine, the start of step and ramp
    peak: Above = 100.0  # step, ramp: at the end; bursty: in a burst; sine: at its height
    period_s: Above = 10.0  # sine: of a swing; bursty: on average from burst to burst
    at_s: NotBelow = 0.0  # step: when
    processes: Annotated[int, Meta(ge=1, le=MAX_LOAD_PROCESSES)] = 1
    retries: Annotated[int, Meta(ge=0, le=10)] = 0  # of a refused request, each under a new id
    heeds_retry_after: bool = True
    connections_most: Positive = 512


class Scenario(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The whole file."""

    servers: list[ServerTable]
    classes: dict[str, ClassTable]
    load: LoadTable = LoadTable()
    faults: list[FaultTable] = []
    seed: Annotated[int, Meta(ge=0)] = 0
    span_s: Annotated[float, Meta(gt=0, le=86_400)] = 10.0

    def server_names(self) -> list[str]:
        return [f"{table.name}-{number}" for table in self.servers for number in range(table.count)]

    def table_of(self, name: str) -> ServerTable:
        """The table that a server is made by."""
        return next(table for table in self.servers if name.rpartition("-")[0] == table.name)


NESTED: dict[str, type[msgspec.Struct]] = {"load": LoadTable}
LISTS: dict[str, type[msgspec.Struct]] = {"servers": ServerTable, "faults": FaultTable}


def read_scenario(path: str) -> Scenario:
    """Read a scenario file. Raises ServiceError with all that is wrong at once."""
    data = read_toml(path)
    problems = _problems(data)
    if problems:
        raise ServiceError(path, problems)
    scenario = msgspec.convert(data, Scenario)
    problems = _across(scenario)
    if problems:
        raise ServiceError(path, problems)
    return scenario


def _problems(data: dict[str, Any]) -> list[str]:
    top = {key: value for key, value in data.items() if key not in (*NESTED, *LISTS, "classes")}
    fields = {field.encode_name for field in msgspec.structs.fields(Scenario)}
    problems = [
        f"{key}: unknown; expected one of {', '.join(sorted(fields))}" for key in top if key not in fields
    ]
    for key in ("seed", "span_s"):
        if key in top:
            kind = next(field.type for field in msgspec.structs.fields(Scenario) if field.name == key)
            try:
                msgspec.convert(top[key], kind)
            except msgspec.ValidationError as error:
                problems.append(f"{key} = {top[key]!r}: {error}")
    for key, struct in NESTED.items():
        problems += struct_problems(key, data.get(key, {}), struct)
    for key, struct in LISTS.items():
        tables = data.get(key, [])
        if not isinstance(tables, list):
            problems.append(f"{key} = {tables!r}: expected tables [[{key}]]")
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


def _across(scenario: Scenario) -> list[str]:
    names = scenario.server_names()
    kinds = [table.name for table in scenario.servers]
    problems = []
    if len(set(kinds)) < len(kinds):
        problems.append("servers: a name comes twice")
    if len(names) > MAX_SERVERS:
        problems.append(f"servers: {len(names)} of them; expected {MAX_SERVERS} at most")
    for number, fault in enumerate(scenario.faults):
        unknown = [name for name in fault.servers if name not in names and name not in kinds]
        if unknown:
            problems.append(
                f"faults[{number}].servers: {', '.join(unknown)}: expected {', '.join(kinds)} or NAME-NUMBER"
            )
    for name, table in scenario.classes.items():
        if table.service.kind == "pareto" and table.service.shape <= 1.0:
            problems.append(
                f"classes.{name}.service.shape = {table.service.shape}: expected over 1 for a mean"
            )
    return problems
