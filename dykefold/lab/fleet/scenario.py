"""Scenario files of the rig: members, servers by zone, list service and faults."""

from __future__ import annotations

import re
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from ...fleet.options import DEFAULT_CALLS_PER_S
from ...routing.config import struct_problems
from ...service_config import ServiceError, read_toml
from ..scenario import ClassTable, Fraction, NonNegativeFloat, PositiveFloat, PositiveInt, ServiceTable
from .member import OVERLOAD_DURATION_S, OVERLOAD_FACTOR

MAX_MEMBERS = 1000
MAX_ZONES = 16
MAX_SERVERS = 250  # In each zone; each server has its own address.
GROUP = re.compile(r"all|zone:([a-z0-9-]+)|members:(\d+)(?:-(\d+))?")
EXPECTED_GROUP = "expected all, zone:NAME, members:N or members:N-M"
SERVICE_TIME = ServiceTable(kind="exponential", mean_ms=8.0)
CLASSES = {
    "lookup": ClassTable(share=3.0, aim_ms=400, deadline_ms=1500, service=SERVICE_TIME),
    "hold": ClassTable(
        effect="keyed", share=1.5, aim_ms=400, deadline_ms=1200, window_ms=600, service=SERVICE_TIME
    ),
    "order": ClassTable(effect="unsafe", share=1.0, aim_ms=600, deadline_ms=2000, service=SERVICE_TIME),
}


class FleetTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[fleet]`: the sidecars, one process each, and the servers.

    Attributes:
        members: Number of sidecars; they are assigned to the zones round-robin.
        zones: Names of the zones.
        servers: Number of servers in each zone.
        cores: Cores of a server.
        cold_share: Fraction of its speed that a server has at its start.
        warm_s: Seconds until a server has its full speed.
        cold_quick: Whether a warming-up server answers as quickly as a warm one, until it is overloaded.
        rate: Requests per second to each member.
        memory_mb: Memory limit of a member in megabytes.
        sockets: Descriptor limit of a member.
        view: Whether members keep a membership (docs/operators/view.md).
        calls: Whether members spread their calls to the list service (docs/operators/coldstart.md).
        calls_per_s: Calls per second that the list service can serve, as members assume.
        failover: Whether members may move their work to other zones (docs/operators/failover.md).
        fall_multiple: Load of a warming-up server, relative to its capacity, that overloads it.
        fall_s: Seconds for which that load must last to overload it.
        hedges: Whether members may hedge requests.
        clock_s: Seconds by which the wall clocks of odd members are ahead and those of even members behind.
        again: Maximum number of immediate retries of a refused or failed request by its client.
        busy: Factor on the rate of the first member.
    """

    members: Annotated[int, Meta(ge=1, le=MAX_MEMBERS)] = 6
    zones: Annotated[list[str], Meta(min_length=1, max_length=MAX_ZONES)] = msgspec.field(
        default_factory=lambda: ["a", "b", "c"]
    )
    servers: Annotated[int, Meta(ge=1, le=MAX_SERVERS)] = 3
    cores: PositiveInt = 2
    cold_share: Annotated[float, Meta(gt=0, le=1)] = 0.25
    warm_s: NonNegativeFloat = 4.0
    cold_quick: bool = False
    rate: PositiveFloat = 10.0
    memory_mb: PositiveInt = 80
    sockets: PositiveInt = 384
    view: bool = False
    calls: bool = False
    calls_per_s: PositiveFloat = DEFAULT_CALLS_PER_S
    failover: bool = False
    fall_multiple: PositiveFloat = OVERLOAD_FACTOR
    fall_s: PositiveFloat = OVERLOAD_DURATION_S
    hedges: bool = False
    clock_s: float = 0.0
    again: Annotated[int, Meta(ge=0, le=10)] = 0
    busy: PositiveFloat = 1.0


class ListTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[list_service]`: the discovery service.

    Attributes:
        calls_per_s: Calls per second that it serves, one after the other.
        waiting_most: Maximum number of queued calls.
        late_s: Seconds until a change is listed.
        replaced: Fraction of the servers that were started newly, after the members' initial lists were made.
    """

    calls_per_s: PositiveFloat = 160.0
    waiting_most: PositiveInt = 32
    late_s: NonNegativeFloat = 0.3
    replaced: Fraction = 0.0


class FaultTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[[faults]]`: one fault.

    Attributes:
        kind: Kind of the fault.
        at_s: Seconds from the start of the load until the fault begins.
        for_s: Duration in seconds.
        of: Affected members; one side of a cut; zone of the servers; senders of datagrams.
        to: Other side of a cut, or receivers of datagrams. Members of both groups count as members of `of`.
        one_way: Whether only traffic from `of` to `to` is affected.
        share: Affected fraction of datagrams, members, servers or answers; for `slow-list` the remaining
            fraction of its rate.
        late_s: Mean added delay of datagrams in seconds, for `late`.
        times: Number of repetitions, each after a pause of the same duration.
        steps: Number of groups that are affected one after the other, for `kill`, `term` and `upgrade`.
        clock_s: Seconds by which the wall clocks of newly started processes are shifted.
        load: Factor on the rate of requests, for `burst`.
        rate: Datagrams per second from each sender to each receiver, for `flood`.
    """

    kind: Literal[
        "cut",
        "loss",
        "late",
        "double",
        "spoil",
        "flood",
        "kill",
        "stop",
        "term",
        "upgrade",
        "list",
        "slow-list",
        "move-list",
        "servers",
        "resets",
        "burst",
    ]
    at_s: NonNegativeFloat
    for_s: PositiveFloat
    of: str = "all"
    to: str = "all"
    one_way: bool = False
    share: Fraction = 1.0
    late_s: NonNegativeFloat = 0.1
    times: PositiveInt = 1
    steps: PositiveInt = 1
    clock_s: float = 0.0
    load: PositiveFloat = 4.0
    rate: PositiveFloat = 2000.0


class FleetScenario(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A scenario.

    Attributes:
        fleet: Sidecars and servers.
        list_service: The list service.
        faults: Faults, in any order.
        seed: Seed of all random streams.
        span_s: Duration of the load in seconds.
    """

    fleet: FleetTable = FleetTable()
    list_service: ListTable = ListTable()
    faults: list[FaultTable] = []
    seed: Annotated[int, Meta(ge=0)] = 1
    span_s: Annotated[float, Meta(gt=0, le=3600)] = 10.0

    def zone_of(self, member: int) -> int:
        """Return the zone of a member."""
        return member % len(self.fleet.zones)

    def members_of(self, group: str) -> list[int]:
        """Return the members of a group."""
        match = GROUP.fullmatch(group)
        assert match is not None
        all_members = range(self.fleet.members)
        if match[1] is not None:
            zone = self.fleet.zones.index(match[1])
            return [member for member in all_members if self.zone_of(member) == zone]
        if match[2] is not None:
            return list(range(int(match[2]), int(match[3] or match[2]) + 1))
        return list(all_members)

    def zones_of(self, group: str) -> list[int]:
        """Return the zones that a group includes completely.

        A cut applies to the connections of these zones, and to the datagrams of each member. A named zone
        counts even if it has no members.
        """
        match = GROUP.fullmatch(group)
        assert match is not None
        if match[1] is not None:
            return [self.fleet.zones.index(match[1])]
        members = set(self.members_of(group))
        return [
            zone
            for zone in range(len(self.fleet.zones))
            if members.issuperset(n for n in range(self.fleet.members) if self.zone_of(n) == zone)
        ]


def read_fleet(path: str) -> FleetScenario:
    """Read and check a scenario file of the rig.

    Raises:
        ServiceError: The file is invalid; the error lists every problem.
    """
    data = read_toml(path)
    problems = _field_problems(data)
    if problems:
        raise ServiceError(path, problems)
    scenario = msgspec.convert(data, FleetScenario)
    problems = _cross_field_problems(scenario)
    if problems:
        raise ServiceError(path, problems)
    return scenario


def _field_problems(data: dict[str, Any]) -> list[str]:
    fields = {field.encode_name: field.type for field in msgspec.structs.fields(FleetScenario)}
    problems = [f"{key}: unknown; expected one of {', '.join(fields)}" for key in data if key not in fields]
    for key in ("seed", "span_s"):
        if key in data:
            try:
                msgspec.convert(data[key], fields[key])
            except msgspec.ValidationError as error:
                problems.append(f"{key} = {data[key]!r}: {error}")
    problems += struct_problems("fleet", data.get("fleet", {}), FleetTable)
    problems += struct_problems("list_service", data.get("list_service", {}), ListTable)
    faults = data.get("faults", [])
    if not isinstance(faults, list):
        return [*problems, f"faults = {faults!r}: expected tables [[faults]]"]
    for number, table in enumerate(faults):
        problems += struct_problems(f"faults[{number}]", table, FaultTable)
    return problems


def _cross_field_problems(scenario: FleetScenario) -> list[str]:
    problems = []
    zones = scenario.fleet.zones
    if scenario.fleet.failover and not scenario.fleet.view:
        problems.append("fleet.failover: requires the membership; expected view = true")
    if len(set(zones)) < len(zones):
        problems.append("fleet.zones: duplicate name; expected distinct names")
    for number, fault in enumerate(scenario.faults):
        for key, group in (("of", fault.of), ("to", fault.to)):
            match = GROUP.fullmatch(group)
            location = f"faults[{number}].{key} = {group!r}"
            if match is None:
                problems.append(f"{location}: {EXPECTED_GROUP}")
            elif match[1] is not None and match[1] not in zones:
                problems.append(f"{location}: no such zone; expected one of {', '.join(zones)}")
            elif (
                match[2] is not None
                and not int(match[2]) <= int(match[3] or match[2]) < scenario.fleet.members
            ):
                problems.append(f"{location}: expected members from 0 to {scenario.fleet.members - 1}")
    return problems
