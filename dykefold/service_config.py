"""The operator's file, such as `deploy/service.toml`, which is read and checked completely.

This module is imported only for an operator's file (`DYKEFOLD_SERVICE`, `serve FILE` or `check FILE`). The
platform's sidecar without such a file needs neither this module nor the library that checks the file.
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
from .routing.plan import ServicesPlan

PLAN_TABLES = ("node", "pools", "routes")
TABLES = ("admission", "control", "failover", "fleet", *PLAN_TABLES)

PositiveInt = Annotated[int, Meta(ge=1)]
NonNegativeInt = Annotated[int, Meta(ge=0)]
PositiveFloat = Annotated[float, Meta(gt=0)]


class AdmissionTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[admission]` (docs/operators/admission.md); a missing limit means no limit."""

    connections_per_address: PositiveInt | None = None
    known_connections_per_address: PositiveInt | None = None
    new_connections_per_s: PositiveFloat | None = None
    new_connections_burst: Annotated[float, Meta(ge=1)] = 32.0
    open_requests_per_address: PositiveInt | None = None
    unfinished_bytes_per_address: Annotated[int, Meta(ge=1024)] | None = None
    ipv4_prefix: Annotated[int, Meta(ge=8, le=32)] = 32
    ipv6_prefix: Annotated[int, Meta(ge=16, le=128)] = 64
    known: list[str] = []
    reserve: NonNegativeInt = 0
    learn_requests: NonNegativeInt = 0
    learn_after_s: PositiveFloat = 60.0
    learned_most: Annotated[int, Meta(ge=1, le=100_000)] = 1024
    remembered_most: Annotated[int, Meta(ge=1, le=100_000)] = 4096

    def address_limits(self) -> AddressLimits:
        """Return the limits on clients by address."""
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
    """`[control]` (docs/operators/operation.md); without `listen` there is no admin API."""

    listen: str | None = None
    folder: str | None = None


class FleetTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[fleet]` (docs/operators/view.md)."""

    view: bool = False
    listen: str | None = None
    calls: bool = False
    calls_per_s: Annotated[float, Meta(gt=0)] = DEFAULT_CALLS_PER_S


class FailoverTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[failover]` (docs/operators/failover.md)."""

    on: bool = False
    regions: dict[str, str] = {}
    out: list[str] = []


class ServiceError(Exception):
    """The operator's file can't be used.

    Args:
        path: Path of the file.
        problems: One line for each problem.
    """

    def __init__(self, path: str, problems: list[str]) -> None:
        super().__init__("; ".join(problems))
        self.path = path
        self.problems = problems

    def lines(self) -> list[str]:
        """Return one line for each problem, with the path of the file."""
        return [f"{self.path}: {problem}" for problem in self.problems]


DEFAULT_FLEET_OPTIONS = FleetOptions()


@dataclass(frozen=True, slots=True)
class Service:
    """The configuration in an operator's file.

    Attributes:
        address_limits: Limits on clients by address.
        plan: Pools and routes; None if the file has none.
        admin_address: Address of the admin API; None for no admin API.
        folder: Path of the folder that the processes of the sidecar share; None for no hot restarts.
        fleet: Options of membership and failover.
    """

    address_limits: AddressLimits
    plan: ServicesPlan | None
    admin_address: tuple[str, int] | None = None
    folder: str | None = None
    fleet: FleetOptions = DEFAULT_FLEET_OPTIONS


def read_toml(path: str) -> dict[str, Any]:
    """Return the tables of a file.

    Raises:
        ServiceError: The file can't be read, or is not valid TOML.
    """
    try:
        with open(path, "rb") as file:
            return tomllib.load(file)
    except OSError as error:
        raise ServiceError(path, [f"can't be read: {error.strerror}"]) from None
    # Errors in TOML syntax and in UTF-8 are both ValueErrors.
    except ValueError as error:
        raise ServiceError(path, [f"is no TOML: {error}"]) from None


def read_service(path: str) -> Service:
    """Read and check an operator's file.

    Raises:
        ServiceError: The file can't be used; the error reports all problems.
    """
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
    has_membership = isinstance(fleet, dict) and fleet.get("view") is True
    if isinstance(failover, dict) and failover.get("on") is True and not has_membership:
        problems.append("failover.on: requires membership; expected view = true in [fleet]")
    for name, table in (("control", control), ("fleet", fleet)):
        listen = table.get("listen") if isinstance(table, dict) else None
        if isinstance(listen, str) and (problem := _address_problem(name, listen)):
            problems.append(problem)
    plan = None
    if any(name in data for name in PLAN_TABLES):
        plan, plan_problems = read_plan(data)
        problems += plan_problems
        if fleet:
            problems.append("fleet: has no meaning beside pools and routes, which have no peers")
    if problems:
        raise ServiceError(path, problems)
    control_table = msgspec.convert(control, ControlTable)
    fleet_table = msgspec.convert(fleet, FleetTable)
    failover_table = msgspec.convert(failover, FailoverTable)
    return Service(
        msgspec.convert(admission, AdmissionTable).address_limits(),
        plan,
        _optional_address(control_table.listen),
        control_table.folder,
        FleetOptions(
            fleet_table.view,
            _optional_address(fleet_table.listen),
            fleet_table.calls,
            fleet_table.calls_per_s,
            FailoverOptions(failover_table.on, failover_table.regions, frozenset(failover_table.out)),
        ),
    )


def _optional_address(text: str | None) -> tuple[str, int] | None:
    return split_address(text, min_port=0) if text else None


def _address_problem(table: str, text: str) -> str | None:
    try:
        split_address(text, min_port=0)
    except ValueError:
        return f"{table}.listen: {text!r}: expected an address such as 127.0.0.1:9000"
    return None


def _network_problem(text: object) -> str | None:
    if not isinstance(text, str):
        return None  # `struct_problems` reports values of a wrong type
    try:
        ip_network(text)
    except ValueError as error:
        return f"admission.known: {text!r}: expected a network such as 10.1.0.0/16 or 2001:db8::/48 ({error})"
    return None
