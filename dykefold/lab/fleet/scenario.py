"""A scenario file of the rig: members, servers by zone, list service, and what breaks when. Checked whole."""

from __future__ import annotations

import re
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from ...fleet.options import DEFAULT_CALLS_PER_S
from ...routing.config import struct_problems
from ...service_config import ServiceError, read_toml
from ..scenario import Above, ClassTable, NotBelow, Positive, ServiceTable, Share
from .member import FALL_MULTIPLE, FALL_S

MEMBERS_MOST = 1000
ZONES_MOST = 16
SERVERS_MOST = 250  # in a zone: one address each
GROUP = re.compile(r"all|zone:([a-z0-9-]+)|members:(\d+)(?:-(\d+))?")
EXPECTED = "expected all, zone:NAME, members:N or members:N-M"
QUICK = ServiceTable(kind="exponential", mean_ms=8.0)
CLASSES = {
    "lookup": ClassTable(share=3.0, aim_ms=400, deadline_ms=1500, service=QUICK),
    "hold": ClassTable(effect="keyed", share=1.5, aim_ms=400, deadline_ms=1200, window_ms=600, service=QUICK),
    "order": ClassTable(effect="unsafe", share=1.0, aim_ms=600, deadline_ms=2000, service=QUICK),
}


class FleetTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[fleet]`: sidecars, a process each, and the servers that they ask."""

    members: Annotated[int, Meta(ge=1, le=MEMBERS_MOST)] = 6
    zones: Annotated[list[str], Meta(min_length=1, max_length=ZONES_MOST)] = msgspec.field(
        default_factory=lambda: ["a", "b", "c"]
    )
    servers: Annotated[int, Meta(ge=1, le=SERVERS_MOST)] = 3  # in each zone
    cores: Positive = 2  # of a server
    cold_share: Annotated[float, Meta(gt=0, le=1)] = 0.25  # of its speed right after a restart
    warm_s: NotBelow = 4.0
    cold_quick: bool = False  # a cold server answers as quickly as a warm one, up to its fall
    rate: Above = 10.0  # requests a second to each member
    memory_mb: Positive = 80  # that a member is told
    sockets: Positive = 384
    view: bool = False  # whether members keep a view of the fleet (docs/operators/view.md)
    calls: bool = False  # whether they spread their calls of the list service (docs/operators/coldstart.md)
    calls_per_s: Above = DEFAULT_CALLS_PER_S  # that they take it to work through
    failover: bool = False  # whether they may work away from their zone (docs/operators/failover.md)
    fall_multiple: Above = FALL_MULTIPLE  # times what a cold server can do ...
    fall_s: Above = FALL_S  # ... for so long, push it over
    hedges: bool = False  # whether members may have a second attempt out beside the first
    clock_s: float = 0.0  # that every other member's wall clock is ahead, and the others' behind
    again: Annotated[int, Meta(ge=0, le=10)] = 0  # times that a desk asks again at once after a refusal
    busy: Above = 1.0  # times the usual load comes to the first member


class ListTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[list_service]`."""

    calls_per_s: Above = 160.0  # that it works through, one after the other
    waiting_most: Positive = 32  # calls that wait their turn
    late_s: NotBelow = 0.3  # until a change is listed
    replaced: Share = 0.0  # of the servers came, cold, since the members' first lists were made, for others


class FaultTable(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """`[[faults]]`: what breaks, from when, for how long, of whom."""

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
    at_s: NotBelow
    for_s: Above
    of: str = "all"  # cut: the one side; servers, resets: whose zone; burst: at which members
    to: str = "all"  # cut and datagrams: the other side; members that are on both are of the first
    one_way: bool = False  # only what goes from `of` to `to` is met
    # Of the datagrams; kill, stop, term: of the members; slow-list: of its rate; servers; resets: of answers.
    share: Share = 1.0
    late_s: NotBelow = 0.1  # late: on average
    times: Positive = 1  # stop, kill, term, servers: so often, each after as long again
    steps: Positive = 1  # kill, term, upgrade: in so many parts, one after the other
    clock_s: float = 0.0  # kill, term: how far the clock on the wall is off for the processes started again
    load: Above = 4.0  # burst: times as many requests
    rate: Above = 2000.0  # flood: datagrams a second from the one to each of the others


class FleetScenario(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The whole file."""

    fleet: FleetTable = FleetTable()
    list_service: ListTable = ListTable()
    faults: list[FaultTable] = []
    seed: Annotated[int, Meta(ge=0)] = 1
    span_s: Annotated[float, Meta(gt=0, le=3600)] = 10.0

    def zone_of(self, member: int) -> int:
        """Members stand in the zones in turn."""
        return member % len(self.fleet.zones)

    def members_of(self, group: str) -> list[int]:
        """The members that a group names."""
        match = GROUP.fullmatch(group)
        assert match is not None
        everyone = range(self.fleet.members)
        if match[1] is not None:
            zone = self.fleet.zones.index(match[1])
            return [member for member in everyone if self.zone_of(member) == zone]
        if match[2] is not None:
            return list(range(int(match[2]), int(match[3] or match[2]) + 1))
        return list(everyone)

    def zones_of(self, group: str) -> list[int]:
        """The zones that a group takes up whole: connections are cut for these, datagrams for any member.

        A zone that is named is meant also where no member stands in it.
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
    """Read a scenario file of the rig. Raises ServiceError with all that is wrong at once."""
    data = read_toml(path)
    problems = _problems(data)
    if problems:
        raise ServiceError(path, problems)
    scenario = msgspec.convert(data, FleetScenario)
    problems = _across(scenario)
    if problems:
        raise ServiceError(path, problems)
    return scenario


def _problems(data: dict[str, Any]) -> list[str]:
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


def _across(scenario: FleetScenario) -> list[str]:
    problems = []
    zones = scenario.fleet.zones
    if scenario.fleet.failover and not scenario.fleet.view:
        problems.append("fleet.failover: wants the view; expected view = true")
    if len(set(zones)) < len(zones):
        problems.append("fleet.zones: a name comes twice")
    for number, fault in enumerate(scenario.faults):
        for key, group in (("of", fault.of), ("to", fault.to)):
            match = GROUP.fullmatch(group)
            place = f"faults[{number}].{key} = {group!r}"
            if match is None:
                problems.append(f"{place}: {EXPECTED}")
            elif match[1] is not None and match[1] not in zones:
                problems.append(f"{place}: no such zone; expected one of {', '.join(zones)}")
            elif (
                match[2] is not None
                and not int(match[2]) <= int(match[3] or match[2]) < scenario.fleet.members
            ):
                problems.append(f"{place}: expected members from 0 to {scenario.fleet.members - 1}")
    return problems
