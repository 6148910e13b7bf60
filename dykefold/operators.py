"""The operator's own file, `deploy/service.toml`: read whole, checked whole, never half applied.

Only imported when an operator names a file (`DYKEFOLD_SERVICE`, or `check FILE`): the platform's sidecar
goes without, and without the library that checks it.
"""

from __future__ import annotations

import tomllib
from ipaddress import ip_network
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from .admission.addresses import Caps

Positive = Annotated[int, Meta(ge=1)]
Count = Annotated[int, Meta(ge=0)]
Rate = Annotated[float, Meta(gt=0)]


class AdmissionTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[admission]`: see docs/operators/admission.md; what is left out is not capped."""

    connections_per_address: Positive | None = None
    known_connections_per_address: Positive | None = None
    new_connections_per_s: Rate | None = None
    new_connections_burst: Annotated[float, Meta(ge=1)] = 32.0
    open_requests_per_address: Positive | None = None
    unfinished_bytes_per_address: Annotated[int, Meta(ge=1024)] | None = None
    ipv4_prefix: Annotated[int, Meta(ge=8, le=32)] = 32
    ipv6_prefix: Annotated[int, Meta(ge=16, le=128)] = 64
    known: list[str] = []
    reserve: Count = 0
    learn_requests: Count = 0
    learn_after_s: Rate = 60.0
    learned_most: Annotated[int, Meta(ge=1, le=100_000)] = 1024
    remembered_most: Annotated[int, Meta(ge=1, le=100_000)] = 4096

    def caps(self) -> Caps:
        return Caps(
            connections=self.connections_per_address,
            known_connections=self.known_connections_per_address,
            new_per_s=self.new_connections_per_s,
            new_burst=self.new_connections_burst,
            open_requests=self.open_requests_per_address,
            unfinished_bytes=self.unfinished_bytes_per_address,
            v4_prefix=self.ipv4_prefix,
            v6_prefix=self.ipv6_prefix,
            known=tuple(ip_network(text) for text in self.known),
            reserve=self.reserve,
            learn_requests=self.learn_requests,
            learn_after_s=self.learn_after_s,
            learned_most=self.learned_most,
            remembered_most=self.remembered_most,
        )


TABLES: dict[str, type[msgspec.Struct]] = {"admission": AdmissionTable}


class ServiceError(Exception):
    """The file can't be used; `problems` has one line for each thing wrong with it."""

    def __init__(self, path: str, problems: list[str]) -> None:
        super().__init__("; ".join(problems))
        self.path = path
        self.problems = problems

    def lines(self) -> list[str]:
        return [f"{self.path}: {problem}" for problem in self.problems]


def read_service(path: str) -> Caps:
    """Read the file; ServiceError with all that is wrong at once."""
    try:
        with open(path, "rb") as file:
            data = tomllib.load(file)
    except OSError as error:
        raise ServiceError(path, [f"can't be read: {error.strerror}"]) from None
    except ValueError as error:  # TOML or UTF-8
        raise ServiceError(path, [f"is no TOML: {error}"]) from None
    problems = [
        f"{name}: unknown; expected one of {', '.join(TABLES)}" for name in data if name not in TABLES
    ]
    for name, kind in TABLES.items():
        problems += _table_problems(name, data.get(name, {}), kind)
    if problems:
        raise ServiceError(path, problems)
    return msgspec.convert(data.get("admission", {}), AdmissionTable).caps()


def _table_problems(table: str, values: Any, kind: type[msgspec.Struct]) -> list[str]:
    """Check key by key, since a conversion of the whole tells the first problem only."""
    if not isinstance(values, dict):
        return [f"{table} = {values!r}: expected a table"]
    fields = {field.name: field for field in msgspec.structs.fields(kind)}
    problems = []
    for key, value in values.items():
        field = fields.get(key)
        if field is None:
            problems.append(f"{table}.{key}: unknown; expected one of {', '.join(fields)}")
            continue
        try:
            msgspec.convert(value, field.type)
        except msgspec.ValidationError as error:
            problems.append(f"{table}.{key} = {value!r}: {str(error)[:1].lower()}{str(error)[1:]}")
            continue
        if key == "known":
            problems += [problem for text in value if (problem := _network_problem(table, text))]
    return problems


def _network_problem(table: str, text: str) -> str | None:
    try:
        ip_network(text)
    except ValueError as error:
        return f"{table}.known: {text!r}: expected a network such as 10.1.0.0/16 or 2001:db8::/48 ({error})"
    return None
