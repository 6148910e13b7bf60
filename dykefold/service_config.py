"""The operator's own file, `deploy/service.toml`: read whole, checked whole, never half applied.

Only imported when an operator names a file (`DYKEFOLD_SERVICE`, or `check FILE`): the platform's sidecar
goes without, and without the library that checks it.
"""

from __future__ import annotations

import tomllib
from dataclasses import dataclass
from ipaddress import ip_network
from typing import Annotated, Any

import msgspec
from msgspec import Meta

from .admission.addresses import AddressLimits
from .fleet.options import DEFAULT_CALLS_PER_S, FailoverOptions, FleetOptions
from .net.discovery.codec import split_address
from .routing.config import read_plan, struct_problems
from .routing.plan import Plan

PLANNED = ("node", "pools", "routes")
TABLES = ("admission", "control", "failover", "fleet", *PLANNED)

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

    def caps(self) -> AddressLimits:
        """Return the limits on clients by address that the table asks for."""
        return AddressLimits(
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
            max_learned=self.learned_most,
            max_remembered=self.remembered_most,
        )


class ControlTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[control]`: see docs/operators/operation.md; without `listen` there is no admin API."""

    listen: str | None = None
    folder: str | None = None


class FleetTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[fleet]`: see docs/operators/view.md."""

    view: bool = False
    listen: str | None = None
    calls: bool = False
    calls_per_s: Annotated[float, Meta(gt=0)] = DEFAULT_CALLS_PER_S


class FailoverTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[failover]`: see docs/operators/failover.md."""

    on: bool = False
    regions: dict[str, str] = {}
    out: list[str] = []


class ServiceError(Exception):
    """The file can't be used; `problems` has one line for each thing wrong with it."""

    def __init__(self, path: str, problems: list[str]) -> None:
        """Say what is wrong with the file at a path."""
        super().__init__("; ".join(problems))
        self.path = path
        self.problems = problems

    def lines(self) -> list[str]:
        """Return a line for each problem, with the path in front."""
        return [f"{self.path}: {problem}" for problem in self.problems]


NO_VIEW = FleetOptions()


@dataclass(frozen=True, slots=True)
class Service:
    """What the file asks for.

    Attributes:
        plan: None where it names no pool.
        control: address of the admin API; None for none.
        folder: that an older and a newer process share during an upgrade; None for no upgrades.
        fleet: what it asks of the view.
    """

    caps: AddressLimits
    plan: Plan | None
    control: tuple[str, int] | None = None
    folder: str | None = None
    fleet: FleetOptions = NO_VIEW


def read_toml(path: str) -> dict[str, Any]:
    """The tables of a file. Raises ServiceError where there is none, or it is no TOML."""
    try:
        with open(path, "rb") as file:
            return tomllib.load(file)
    except OSError as error:
        raise ServiceError(path, [f"can't be read: {error.strerror}"]) from None
    except ValueError as error:  # TOML or UTF-8
        raise ServiceError(path, [f"is no TOML: {error}"]) from None


def read_service(path: str) -> Service:
    """Read the file; ServiceError with all that is wrong at once."""
    data = read_toml(path)
    problems = [
        f"{name}: unknown; expected one of {', '.join(TABLES)}" for name in data if name not in TABLES
    ]
    admission = data.get("admission", {})
    problems += struct_problems("admission", admission, AdmissionTable)
    known = admission.get("known") if isinstance(admission, dict) else None
    if isinstance(known, list):
        problems += [problem for text in known if (problem := _network_problem(text))]
    control = data.get("control", {})
    problems += struct_problems("control", control, ControlTable)
    fleet = data.get("fleet", {})
    problems += struct_problems("fleet", fleet, FleetTable)
    failover = data.get("failover", {})
    problems += struct_problems("failover", failover, FailoverTable)
    viewed = isinstance(fleet, dict) and fleet.get("view") is True
    if isinstance(failover, dict) and failover.get("on") is True and not viewed:
        problems.append("failover.on: wants the view; expected view = true in [fleet]")
    for name, table in (("control", control), ("fleet", fleet)):
        listen = table.get("listen") if isinstance(table, dict) else None
        if isinstance(listen, str) and (problem := _address_problem(name, listen)):
            problems.append(problem)
    plan = None
    if any(name in data for name in PLANNED):
        plan, more = read_plan(data)
        problems += more
        if fleet:
            problems.append("fleet: has no meaning beside pools and routes, which know no peers")
    if problems:
        raise ServiceError(path, problems)
    read = msgspec.convert(control, ControlTable)
    view = msgspec.convert(fleet, FleetTable)
    moves = msgspec.convert(failover, FailoverTable)
    return Service(
        msgspec.convert(admission, AdmissionTable).caps(),
        plan,
        _address(read.listen),
        read.folder,
        FleetOptions(
            view.view,
            _address(view.listen),
            view.calls,
            view.calls_per_s,
            FailoverOptions(moves.on, moves.regions, frozenset(moves.out)),
        ),
    )


def _address(text: str | None) -> tuple[str, int] | None:
    return split_address(text, least_port=0) if text else None


def _address_problem(table: str, text: str) -> str | None:
    try:
        split_address(text, least_port=0)
    except ValueError:
        return f"{table}.listen: {text!r}: expected an address such as 127.0.0.1:9000"
    return None


def _network_problem(text: object) -> str | None:
    if not isinstance(text, str):
        return None  # told as a value of the wrong type
    try:
        ip_network(text)
    except ValueError as error:
        return f"admission.known: {text!r}: expected a network such as 10.1.0.0/16 or 2001:db8::/48 ({error})"
    return None
