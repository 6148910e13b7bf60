"""Injects the faults of a scenario into a rig at their times."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from ..random_streams import generator
from ..scenario import FaultTable as ServerFaultTable
from .rig import Rig
from .scenario import FaultTable

OLD_REGISTRY_SERVE_S = 1.5  # A list service that has moved serves its open calls for this time.
MEMBER_FAULTS = frozenset(("kill", "stop", "term", "upgrade"))


@dataclass(frozen=True, slots=True)
class FaultSwitch:
    """Actions at the beginning and at the end of a fault."""

    begin: Callable[[], None]
    end: Callable[[], None]


def _no_action() -> None:
    """Do nothing at the end of a fault that needs no action then."""


class FaultInjector:
    """Injects the faults of a scenario.

    Args:
        rig: Rig into which the faults are injected.

    Attributes:
        end_s: End of the last fault so far, in seconds since the load began.
    """

    def __init__(self, rig: Rig) -> None:
        self.rig = rig
        self.scenario = rig.scenario
        self.end_s = 0.0
        self._switches: dict[str, Callable[[FaultTable], FaultSwitch]] = {
            "list": self._list_outage,
            "slow-list": self._slow_list,
            "move-list": lambda _: FaultSwitch(self._move_list, _no_action),
            "servers": self._server_outage,
            "resets": lambda fault: FaultSwitch(lambda: self._reset_answers(fault), _no_action),
            "burst": self._burst,
            "cut": lambda fault: FaultSwitch(lambda: self._cut(fault, True), lambda: self._cut(fault, False)),
            "loss": lambda fault: self._datagram_fault(fault, "loss", fault.share),
            "late": lambda fault: self._datagram_fault(fault, "delays_s", fault.late_s),
            "double": lambda fault: self._datagram_fault(fault, "doubled", fault.share),
            "spoil": lambda fault: self._datagram_fault(fault, "corrupted", fault.share),
        }
        self._member_actions: dict[str, Callable[[int, float], Awaitable[None]]] = {
            "kill": rig.kill,
            "stop": rig.stop,
            "term": rig.terminate,
            "upgrade": rig.upgrade,
        }

    async def inject(self, fault: FaultTable) -> None:
        """Inject one fault at its time, and wait for its end."""
        await asyncio.sleep(fault.at_s)
        if fault.kind in MEMBER_FAULTS:
            await self._inject_into_members(fault)
            return
        if fault.kind == "flood":
            await self._flood(fault)
            return
        switch = self._switches[fault.kind](fault)
        for repetition in range(fault.times if fault.kind == "servers" else 1):
            if repetition:
                await asyncio.sleep(fault.for_s)
            switch.begin()
            try:
                await asyncio.sleep(fault.for_s)
            finally:
                switch.end()
                self._record_end(fault.at_s + fault.for_s * (2 * repetition + 1))

    def _record_end(self, at_s: float) -> None:
        self.end_s = max(self.end_s, at_s)

    async def _flood(self, fault: FaultTable) -> None:
        """Flood some members with datagrams from others at a fixed rate."""
        receivers = self.scenario.members_of(fault.to)
        datagrams = self.rig.datagrams
        floods = [
            self.rig.loop.create_task(
                datagrams.flood(sender, [number for number in receivers if number != sender], fault.rate)
            )
            for sender in self.scenario.members_of(fault.of)
        ]
        await asyncio.sleep(fault.for_s)
        for flood in floods:
            flood.cancel()
        self._record_end(fault.at_s + fault.for_s)

    async def _inject_into_members(self, fault: FaultTable) -> None:
        """Kill, stop, terminate or upgrade a random fraction of some members, in steps."""
        action = self._member_actions[fault.kind]
        members = self.scenario.members_of(fault.of)
        count = max(round(fault.share * len(members)), 1)
        rng = generator(self.scenario.seed, "members", f"{fault.kind}{fault.at_s}")
        chosen = [int(number) for number in rng.permutation(members)[:count]]
        if fault.clock_s:
            await self._shift_clocks(chosen, fault.clock_s)
        began_s = self.rig.loop.time()
        for _ in range(fault.times):
            for step in range(fault.steps):
                await asyncio.gather(*(action(number, fault.for_s) for number in chosen[step :: fault.steps]))
            self._record_end(self.rig.loop.time() - began_s + fault.at_s)
            if fault.times > 1:
                await asyncio.sleep(fault.for_s)

    async def _shift_clocks(self, numbers: list[int], clock_s: float) -> None:
        """Shift the wall clocks of all processes that these members start later."""
        for number in numbers:
            member = self.rig.members[number]
            member.clock_s = clock_s
            if member.spare is not None:
                await member.spare.close()
                member.spare = None

    def _list_outage(self, fault: FaultTable) -> FaultSwitch:
        registry = self.rig.registry
        return FaultSwitch(lambda: registry.fail(True), lambda: registry.fail(False))

    def _slow_list(self, fault: FaultTable) -> FaultSwitch:
        registry = self.rig.registry
        normal_calls_per_s = registry.calls_per_s

        def begin() -> None:
            registry.calls_per_s = normal_calls_per_s * fault.share

        def end() -> None:
            registry.calls_per_s = normal_calls_per_s

        return FaultSwitch(begin, end)

    def _move_list(self) -> None:
        """Move the list service to new addresses; the old links stop listening now and close later."""
        rig = self.rig
        old_links, rig.registry_links = rig.registry_links, rig.make_registry_links()
        rig.registry.moved()
        for link in old_links:
            link.stop_listening()
            rig.loop.call_later(OLD_REGISTRY_SERVE_S, link.close)
        for member, link in zip(rig.members, rig.registry_links, strict=True):
            member.reload(discovery=link.address)

    def _server_outage(self, fault: FaultTable) -> FaultSwitch:
        return FaultSwitch(lambda: self._crash_servers(fault), lambda: self._restart_servers(fault))

    def _crash_servers(self, fault: FaultTable) -> None:
        for zone in self.scenario.zones_of(fault.of):
            for server in self.rig.servers[zone][: self._server_count(fault, zone)]:
                server.crash()
                self.rig.registry.change(self.rig.list_entry(server, zone, "DELETED", 0))

    def _restart_servers(self, fault: FaultTable) -> None:
        for zone in self.scenario.zones_of(fault.of):
            for server in self.rig.servers[zone][: self._server_count(fault, zone)]:
                server.started_s = self.rig.loop.time()
                self.rig.spawn(server.listen())
                since_ms = int(time.time() * 1000)
                self.rig.registry.change(self.rig.list_entry(server, zone, "SERVING", since_ms))

    def _server_count(self, fault: FaultTable, zone: int) -> int:
        return max(round(fault.share * len(self.rig.servers[zone])), 1)

    def _reset_answers(self, fault: FaultTable) -> None:
        """Have servers reset the connections of some requests for the duration of the fault."""
        table = ServerFaultTable("reset", fault.at_s, fault.for_s, [], share=fault.share)
        for zone in self.scenario.zones_of(fault.of):
            for server in self.rig.servers[zone]:
                server.fault(table)

    def _burst(self, fault: FaultTable) -> FaultSwitch:
        return FaultSwitch(
            lambda: self._scale_load(fault, fault.load), lambda: self._scale_load(fault, 1.0 / fault.load)
        )

    def _scale_load(self, fault: FaultTable, factor: float) -> None:
        for number in self.scenario.members_of(fault.of):
            self.rig.clients[number].rate *= factor

    def _datagram_fault(self, fault: FaultTable, field: str, value: float) -> FaultSwitch:
        """Return a fault that adds a value to a field of the paths between two groups of members."""
        paths = [self.rig.datagrams.path(sender, receiver) for sender, receiver in self._pairs(fault)]

        def begin() -> None:
            for path in paths:
                getattr(path, field).append(value)

        def end() -> None:
            for path in paths:
                getattr(path, field).remove(value)

        return FaultSwitch(begin, end)

    def _pairs(self, fault: FaultTable) -> set[tuple[int, int]]:
        """Return the pairs of sender and receiver whose datagrams a fault affects."""
        first_group = self.scenario.members_of(fault.of)
        second_group = self.scenario.members_of(fault.to)
        if fault.kind == "cut":
            second_group = [other for other in second_group if other not in first_group]
        pairs = {(one, other) for one in first_group for other in second_group if one != other}
        return pairs if fault.one_way else pairs | {(other, one) for one, other in pairs}

    def _cut(self, fault: FaultTable, is_cut: bool) -> None:
        """Cut or heal the datagram paths between members, and the connections between complete zones."""
        for pair in self._pairs(fault):
            self.rig.datagrams.path(*pair).cuts += 1 if is_cut else -1
        first_group = self.scenario.zones_of(fault.of)
        second_group = [zone for zone in self.scenario.zones_of(fault.to) if zone not in first_group]
        for one in first_group:
            for other in second_group:
                self._cut_zones(one, other, fault.one_way, is_cut)

    def _cut_zones(self, one: int, other: int, one_way: bool, is_cut: bool) -> None:
        """Cut or heal connections from the members of each of two zones to the servers of the other."""
        servers = self.rig.servers
        directions = [
            *((server.links[one], True, not one_way) for server in servers[other]),
            *((server.links[other], not one_way, True) for server in servers[one]),
        ]
        for link, requests, responses in directions:
            (link.cut if is_cut else link.heal)(requests, responses)
