"""Plays a scenario of the rig: starts the members, breaks what it says, and judges."""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
import time
from collections import Counter
from collections.abc import AsyncIterator, Iterator
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

from ...fleet.rate_limits import RateLimits
from ..chance import generator
from ..emulator.server import Connection, Server, Truth
from ..scenario import FaultTable as ServerFaultTable
from ..scenario import LoadTable, Scenario, ServerTable
from .collector import collector_paused
from .desk import Asked, Desk, End, all_asked
from .judge import (
    COLD_S,
    Excuse,
    SlowStart,
    SlowStartCall,
    SlowStartLoad,
    Verdict,
    cold_load,
    judge,
    slow_start_load,
)
from .member import Member, entry, settings
from .network import PORT, Datagrams, Link, free_block
from .process import Process, StartError
from .registry import Caller, Registry
from .scenario import CLASSES, QUICK, FaultTable, FleetScenario
from .views import Look, Watch

LISTEN_PORT = 7070
VIEW_PORT = 7950  # where a member tells its view
READY_S = 30.0  # clients come when all members are ready, or after that (DEPLOY)
DEATH_S = 0.1  # in which a killed process's clients hear of it
QUIET_S = 0.3  # after the last request
TICK_S = 0.02  # between two looks at how late the rig itself is
LAG_MOST_S = 0.25  # of the rig while it loads; beyond it a run says nothing of those whom it measured
MOVED_S = 1.5  # that a list service which has moved goes on with what is open
TERM_S = 2.7  # from SIGTERM to SIGKILL: the longest deadline and 0.7 s


@dataclass(slots=True)
class Seen:
    """What a run has shown.

    Attributes:
        ready_s: by member, from the first start to its listening; None if it never did.
        calls: of the list service, by second from the first start.
        turned_away: calls that it had no room for.
        handshakes: connections that members opened to servers.
        handshakes_worst: ... to the worst server in its worst second.
        listed_s: of each member that was told the last list, after how long: from its listening, or from the
            latest change, move, or return of the list service.
        crossed: by second of the load, the part of the attempts that went to another zone than the desk's.
        moves: times that a member said it works in another zone now.
        cold_load: of the worst cold server, in its worst moment, against what it can do then.
        cold_fall: ... against what the rules allow it then, which pushes it over.
        served: requests by the second of the load in which they were asked, and of these served in time.
        slow_start: the worst span of a server in slow start, against the budget that the settings give it.
        slow_start_notified: ... of the spans of which over two thirds knew: over 1 breaks the rule.
        slow_start_short: the worst over half a second and against once of what the server can do.
        datagrams: that members sent; `datagram_bytes` what was delivered.
        looks: at the members' views, if they keep any.
        settled_s: from the end of the last fault until all views were right and stayed so.
        lag_s: the latest that the rig itself was while it loaded.
        start_lag_s: ... before that, from the first that listened on: the list service was as late.
    """

    verdict: Verdict
    ready_s: list[float | None]
    calls: list[int]
    turned_away: int
    handshakes: int
    asked: list[int] = field(default_factory=list)
    served: list[int] = field(default_factory=list)
    datagrams: int = 0
    datagram_bytes: int = 0
    lag_s: float = 0.0
    faults: list[str] = field(default_factory=list)  # starts that failed, tracebacks in members' logs
    looks: list[Look] = field(default_factory=list)
    settled_s: float | None = None
    handshakes_worst: int = 0
    listed_s: list[float] = field(default_factory=list)
    crossed: list[float] = field(default_factory=list)
    moves: int = 0
    cold_load: float = 0.0
    cold_fall: float = 0.0
    slow_start: SlowStartLoad = field(default_factory=SlowStartLoad)
    slow_start_notified: SlowStartLoad = field(default_factory=SlowStartLoad)
    slow_start_short: SlowStartLoad = field(default_factory=SlowStartLoad)
    start_lag_s: float = 0.0

    @property
    def good(self) -> bool:
        """Whether every member came to listen, no rule was broken, and no fault of the program was logged."""
        return self.valid and None not in self.ready_s and not self.verdict.broken and not self.faults

    @property
    def valid(self) -> bool:
        """Whether the rig kept up with what it played."""
        return self.lag_s <= LAG_MOST_S

    def described(self) -> dict[str, Any]:
        """As JSON has it."""
        ready = sorted(one for one in self.ready_s if one is not None)
        listed = sorted(self.listed_s)
        return {
            "valid": self.valid,
            "rig_lag_s": round(self.lag_s, 3),
            "rig_lag_at_start_s": round(self.start_lag_s, 3),
            "requests": self.verdict.counts,
            "lost": len(self.verdict.lost),
            "excused": self.verdict.excused,
            "violations": self.verdict.broken,
            "gap_s": round(self.verdict.gap_s, 3),
            "ready": len(ready),
            "ready_s": [round(at, 2) for at in (ready[len(ready) // 2], ready[-1])] if ready else [],
            "list_calls": sum(self.calls),
            "list_calls_most_in_a_second": max(self.calls, default=0),
            "list_calls_by_second": self.calls,
            "list_calls_turned_away": self.turned_away,
            "handshakes": self.handshakes,
            "handshakes_worst_server_worst_second": self.handshakes_worst,
            "listed": len(listed),
            "listed_s": [round(at, 2) for at in (listed[len(listed) // 2], listed[-1])] if listed else [],
            "crossed_by_second": [round(part, 2) for part in self.crossed],
            "moves": self.moves,
            "cold_load": round(self.cold_load, 3),
            "cold_fall": round(self.cold_fall, 3),
            "slow_start": asdict(self.slow_start),
            "slow_start_notified": asdict(self.slow_start_notified),
            "slow_start_short": asdict(self.slow_start_short),
            "datagrams": self.datagrams,
            "datagram_bytes": self.datagram_bytes,
            "view_settled_s": None if self.settled_s is None else round(self.settled_s, 2),
            "asked_by_second": self.asked,
            "served_by_second": self.served,
            "faults": self.faults,
        }


class LinkedServer(Server):
    """A server that members of each zone reach by a link of their own."""

    def __init__(self, scenario: Scenario, name: str, truth: Truth, hosts: list[str]) -> None:
        super().__init__(scenario, name, truth)
        self.links = [Link(host, lambda: Connection(self)) for host in hosts]

    async def listen(self) -> None:
        for link in self.links:
            if link.sock is None:
                link.open()

    def _crash(self) -> None:
        for link in self.links:
            link.shut()
        super()._crash()

    def close(self) -> None:
        for link in self.links:
            link.close()


class Rig:
    """Everything of a scenario, while it is played."""

    def __init__(self, scenario: FleetScenario, folder: Path, block: int) -> None:
        self.scenario = scenario
        self.loop = asyncio.get_running_loop()
        fleet = scenario.fleet
        self.zones = range(len(fleet.zones))
        self.truth = Truth()
        self.excuses: list[Excuse] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.servers = self._make_servers(block)
        table = scenario.list_service
        self.registry = Registry(table.calls_per_s, table.waiting_most, table.late_s)
        self.registry_links = [self._registry_link(block, number) for number in range(fleet.members)]
        self.block = block
        for zone in self.zones:
            for server in self.servers[zone]:
                self.registry.entries[server.name] = self._entry(server, zone, "SERVING", 0)
        self.first_known = [self.registry.known(zone) for zone in self.zones]
        self._replace(table.replaced)
        self.datagrams = Datagrams(generator(scenario.seed, "datagrams"))
        hosts = [f"127.{block}.{1 + number // 250}.{1 + number % 250}" for number in range(fleet.members)]
        for host in hosts:
            self.datagrams.add((host, PORT))
        self.members = [self._make_member(number, host, folder) for number, host in enumerate(hosts)]
        self.desks = [
            Desk(
                number,
                CLASSES,
                fleet.rate * (1.0 if number else fleet.busy),
                generator(scenario.seed, "desk", str(number)),
                again=fleet.again,
            )
            for number in range(fleet.members)
        ]
        for desk, host in zip(self.desks, hosts, strict=True):
            desk.address = (host, LISTEN_PORT)
        self.first_s = self.loop.time()
        self.ready_s: list[float | None] = [None] * fleet.members
        self.listens_s: dict[int, float] = {}  # since when each member's latest process listens
        self.unstarted: list[str] = []  # why processes did not come to listen
        self.lag_s = self.start_lag_s = 0.0
        self.faults_end_s = 0.0  # since the load began
        self.watch = Watch([(host, VIEW_PORT) for host in hosts], self.up) if fleet.view else None

    def up(self) -> frozenset[int]:
        """Members of whom a process listens."""
        return frozenset(
            member.number
            for member in self.members
            if any(process.address is not None for process in member.living)
        )

    def _make_servers(self, block: int) -> list[list[LinkedServer]]:
        fleet = self.scenario.fleet
        speed = 1.0 if fleet.cold_quick else fleet.cold_share
        table = ServerTable("s", cores=fleet.cores, cold_share=speed, warm_s=fleet.warm_s)
        tables = [_named(table, f"s-{name}", fleet.servers) for name in fleet.zones]
        emulated = Scenario(tables, CLASSES, LoadTable(), seed=self.scenario.seed)
        return [
            [
                LinkedServer(
                    emulated,
                    f"s-{name}-{number}",
                    self.truth,
                    [
                        f"127.{block}.{200 + of}.{1 + (zone * fleet.servers + number) % 250}"
                        for of in self.zones
                    ],
                )
                for number in range(fleet.servers)
            ]
            for zone, name in enumerate(fleet.zones)
        ]

    def _registry_link(self, block: int, number: int) -> Link:
        """Where a member finds the list service; an address for each, so that callers can be told apart."""
        host = f"127.{block}.{100 + number // 250}.{1 + number % 250}"
        zone = self.scenario.zone_of(number)
        return Link(host, lambda: Caller(self.registry, number, zone))

    def _replace(self, share: float) -> None:
        """This part of the servers came after the first lists were made, for others that have gone."""
        now_ms = int(time.time() * 1000)
        for zone in self.zones:
            for server in self.servers[zone][: round(share * len(self.servers[zone]))]:
                server.started_s = self.loop.time()
                self.registry.starts[server.name] = {}
                self.registry.entries[server.name] = self._entry(server, zone, "SERVING", now_ms)
                for of, known in enumerate(self.first_known):
                    gone = f"127.{self.block}.{200 + of}.252:9"  # nobody listens there
                    for told in known["endpoints"]:
                        if told["name"] == server.name:
                            told |= {"name": f"{server.name}-old", "address": gone}
                    known["index"] = 0

    def _entry(self, server: LinkedServer, zone: int, status: str, since_ms: int) -> dict[str, Any]:
        told = entry(server.name, "", self.scenario.fleet.zones[zone], status, since_ms)
        return {**told, "addresses": [link.address for link in server.links]}

    def _make_member(self, number: int, host: str, folder: Path) -> Member:
        fleet, zone = self.scenario.fleet, self.scenario.zone_of(number)
        own = folder / f"m{number}"
        own.mkdir()
        data = {
            "name": f"m{number}",
            "listen": f"{host}:{LISTEN_PORT}",
            "discovery": self.registry_links[number].address,
            "seed": f"{self.scenario.seed * 1000 + number:016x}",
            "limits": {"cores": 1.0, "memory_mb": fleet.memory_mb, "sockets": fleet.sockets},
            "peer_listen": f"{host}:{PORT}",
            "peers": self.datagrams.addresses(),
            "peers_all": self.datagrams.all_address,
            "known": self.first_known[zone],
            "settings": settings(
                CLASSES,
                fleet.zones,
                zone,
                number,
                fleet.members,
                True,
                (fleet.cold_share, fleet.warm_s),
                (fleet.fall_multiple, fleet.fall_s),
                fleet.hedges,
            ),
        }
        if any(fault.kind == "upgrade" for fault in self.scenario.faults):
            data["control"] = f"{host}:0"  # each process has a door of its own (docs/operators/operation.md)
        parts = [f'view = true\nlisten = "{host}:{VIEW_PORT}"'] if fleet.view else []
        if fleet.calls:
            parts.append(f"calls = true\ncalls_per_s = {fleet.calls_per_s}")
        if fleet.failover:
            parts.append("[failover]\non = true")
        member = Member(number, own, data, "\n".join(["[fleet]", *parts]) if parts else None)
        member.clock_s = fleet.clock_s if number % 2 else -fleet.clock_s
        return member

    # Members

    async def start(self, number: int) -> Process | None:
        """Start a member anew with the list as it is; None if it did not come to listen, which is a fault."""
        member, zone = self.members[number], self.scenario.zone_of(number)
        known = self.registry.known(zone) if member.processes else self.first_known[zone]
        self.registry.told.pop(number, None)
        if member.processes:
            self.registry.notify(number)  # by the list that it starts with
        process = await member.start(known=known, peers=self.datagrams.addresses())
        try:
            await process.listens()
        except StartError as error:
            self.unstarted.append(f"m{number}: {error}")
            return None
        self.listens_s[number] = self.loop.time()
        if not any(self.ready_s):
            self.lag_s = 0.0  # until now nobody was there to meet it
        if self.ready_s[number] is None:
            self.ready_s[number] = self.loop.time() - self.first_s
        return process

    async def _kill(self, number: int, down_s: float) -> None:
        now_s = self.loop.time()
        for process in self.members[number].living:
            process.kill()
            await process.ended()
        await asyncio.sleep(down_s)
        await self.start(number)
        self.excuses.append(Excuse(number, now_s, now_s + DEATH_S))

    async def _term(self, number: int, down_s: float) -> None:
        for process in self.members[number].living:
            await process.end(TERM_S)
        await asyncio.sleep(down_s)
        await self.start(number)

    async def _upgrade(self, number: int, pause_s: float) -> None:
        """A newer process in place of the present one, which ends when that one takes clients."""
        old = self.members[number].living
        if await self.start(number) is None:
            return  # nobody ends a process whose successor says no
        for process in old:
            await process.end(TERM_S)
        await asyncio.sleep(pause_s)

    async def _stop(self, number: int, span_s: float) -> None:
        now_s = self.loop.time()
        for process in self.members[number].living:
            process.stop()
        await asyncio.sleep(span_s)
        for process in self.members[number].living:
            process.go_on()
        self.excuses.append(Excuse(number, now_s, now_s + span_s + DEATH_S))

    # Faults

    def spawn(self, work: Any) -> None:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def fault(self, fault: FaultTable) -> None:
        """Play one fault from its time to its end."""
        await asyncio.sleep(fault.at_s)
        if fault.kind in ("kill", "stop", "term", "upgrade"):
            await self._of_members(fault)
            return
        if fault.kind == "flood":
            await self._flood(fault)
            return
        begin, end = self._act(fault)
        for turn in range(fault.times if fault.kind == "servers" else 1):
            if turn:
                await asyncio.sleep(fault.for_s)
            begin()
            try:
                await asyncio.sleep(fault.for_s)
            finally:
                end()
                ended_s = fault.at_s + fault.for_s * (2 * turn + 1)
                self.faults_end_s = max(self.faults_end_s, ended_s)

    async def _flood(self, fault: FaultTable) -> None:
        to = self.scenario.members_of(fault.to)
        floods = [
            self.loop.create_task(self.datagrams.flood(one, [n for n in to if n != one], fault.rate))
            for one in self.scenario.members_of(fault.of)
        ]
        await asyncio.sleep(fault.for_s)
        for flood in floods:
            flood.cancel()
        self.faults_end_s = max(self.faults_end_s, fault.at_s + fault.for_s)

    async def _of_members(self, fault: FaultTable) -> None:
        act = {"kill": self._kill, "stop": self._stop, "term": self._term, "upgrade": self._upgrade}[
            fault.kind
        ]
        members = self.scenario.members_of(fault.of)
        count = max(round(fault.share * len(members)), 1)
        chance = generator(self.scenario.seed, "members", f"{fault.kind}{fault.at_s}")
        chosen = [int(one) for one in chance.permutation(members)[:count]]
        if fault.clock_s:
            for number in chosen:
                member = self.members[number]
                member.clock_s = fault.clock_s
                if member.spare is not None:
                    await member.spare.close()
                    member.spare = None
        began_s = self.loop.time()
        for _ in range(fault.times):
            for step in range(fault.steps):
                part = chosen[step :: fault.steps]
                await asyncio.gather(*(act(number, fault.for_s) for number in part))
            self.faults_end_s = max(self.faults_end_s, self.loop.time() - began_s + fault.at_s)
            if fault.times > 1:
                await asyncio.sleep(fault.for_s)

    def _act(self, fault: FaultTable) -> tuple[Any, Any]:
        """What begins a fault, and what ends it."""
        registry = self.registry
        if fault.kind == "list":
            return lambda: registry.fail(True), lambda: registry.fail(False)
        if fault.kind == "slow-list":
            usual = registry.calls_per_s
            return (
                lambda: setattr(registry, "calls_per_s", usual * fault.share),
                lambda: setattr(registry, "calls_per_s", usual),
            )
        if fault.kind == "move-list":
            return self._move_list, lambda: None
        if fault.kind == "servers":
            return lambda: self._servers(fault, True), lambda: self._servers(fault, False)
        if fault.kind == "resets":
            return lambda: self._reset_answers(fault), lambda: None
        if fault.kind == "burst":
            return lambda: self._load(fault, fault.load), lambda: self._load(fault, 1.0 / fault.load)
        if fault.kind == "cut":
            return lambda: self._cut(fault, True), lambda: self._cut(fault, False)
        ways = [self.datagrams.way(one, other) for one, other in self._pairs(fault)]
        lists = {"loss": "loss", "late": "late_s", "double": "doubled", "spoil": "spoilt"}
        value = fault.late_s if fault.kind == "late" else fault.share
        name = lists[fault.kind]
        return (
            lambda: [getattr(way, name).append(value) for way in ways],
            lambda: [getattr(way, name).remove(value) for way in ways],
        )

    def _pairs(self, fault: FaultTable) -> set[tuple[int, int]]:
        ones = self.scenario.members_of(fault.of)
        others = self.scenario.members_of(fault.to)
        if fault.kind == "cut":
            others = [other for other in others if other not in ones]
        pairs = {(one, other) for one in ones for other in others if one != other}
        return pairs if fault.one_way else pairs | {(other, one) for one, other in pairs}

    def _cut(self, fault: FaultTable, on: bool) -> None:
        for pair in self._pairs(fault):
            self.datagrams.way(*pair).cuts += 1 if on else -1
        ones = self.scenario.zones_of(fault.of)
        others = [zone for zone in self.scenario.zones_of(fault.to) if zone not in ones]
        for one in ones:
            for other in others:
                # From the members of one zone to the servers of the other, and the other way round.
                for link, there, back in [
                    *((server.links[one], True, not fault.one_way) for server in self.servers[other]),
                    *((server.links[other], not fault.one_way, True) for server in self.servers[one]),
                ]:
                    (link.cut if on else link.heal)(there, back)

    def _move_list(self) -> None:
        """The list service has another address; the old one takes nobody, and closes what is open."""
        old, self.registry_links = (
            self.registry_links,
            [self._registry_link(self.block, number) for number in range(len(self.members))],
        )
        self.registry.moved()
        for link in old:
            link.shut()
            self.loop.call_later(MOVED_S, link.close)
        for member, link in zip(self.members, self.registry_links, strict=True):
            member.reload(discovery=link.address)

    def _servers(self, fault: FaultTable, on: bool) -> None:
        for zone in self.scenario.zones_of(fault.of):
            count = max(round(fault.share * len(self.servers[zone])), 1)
            for server in self.servers[zone][:count]:
                if on:
                    server._crash()
                    self.registry.change(self._entry(server, zone, "DELETED", 0))
                else:
                    server.started_s = self.loop.time()
                    self.spawn(server.listen())
                    since_ms = int(time.time() * 1000)
                    self.registry.change(self._entry(server, zone, "SERVING", since_ms))

    def _reset_answers(self, fault: FaultTable) -> None:
        """Servers answer some requests with a reset, which ends by itself."""
        table = ServerFaultTable("reset", fault.at_s, fault.for_s, [], share=fault.share)
        for zone in self.scenario.zones_of(fault.of):
            for server in self.servers[zone]:
                server.fault(table)

    def _load(self, fault: FaultTable, times: float) -> None:
        for number in self.scenario.members_of(fault.of):
            self.desks[number].rate *= times

    # The run

    async def play(self) -> Seen:
        """Start all at once, load them, break what the scenario says, and judge."""
        for member in self.members:
            await member.prepare()
        self.first_s = self.loop.time()
        lag = self.loop.create_task(self._watch_lag())
        starts = [self.loop.create_task(self.start(number)) for number in range(len(self.members))]
        await asyncio.wait(starts, timeout=READY_S)
        self.start_lag_s = self.lag_s
        if any(fault.kind in ("kill", "term", "upgrade") for fault in self.scenario.faults):
            for member in self.members:
                await member.prepare()
        began_s = self.loop.time()
        self.lag_s = 0.0
        views = self.loop.create_task(self.watch.watch()) if self.watch is not None else None
        loads = [self.loop.create_task(desk.play()) for desk in self.desks]
        faults = [self.loop.create_task(self.fault(fault)) for fault in self.scenario.faults]
        await asyncio.sleep(self.scenario.span_s)
        for load in loads:
            load.cancel()
        await asyncio.gather(*faults)
        if views is not None and self.watch is not None:
            await self.watch.settles(RateLimits().settled_ns(len(self.members)) / 1e9)
            views.cancel()
        for desk in self.desks:
            await desk.rest()
        await asyncio.sleep(QUIET_S)
        lag.cancel()
        asked = list(all_asked(self.desks))
        verdict = judge(asked, self.truth.arrivals, CLASSES, self.excuses, hedged=self.scenario.fleet.hedges)
        return self._seen(verdict, asked, began_s)

    async def _watch_lag(self) -> None:
        while True:
            due_s = self.loop.time() + TICK_S
            await asyncio.sleep(TICK_S)
            self.lag_s = max(self.lag_s, self.loop.time() - due_s)

    def _seen(self, verdict: Verdict, asked: list[Asked], began_s: float) -> Seen:
        seconds = int(self.scenario.span_s) + 1
        by_second: Counter[int] = Counter(int(one.sent_s - began_s) for one in asked)
        served: Counter[int] = Counter()
        for one in asked:
            aim_s = CLASSES[one.cls].aim_ms / 1000
            if one.end is End.SERVED and one.ended_s - one.sent_s <= aim_s:
                served[int(one.sent_s - began_s)] += 1
        first = int(self.first_s)
        calls = self.registry.calls
        settled_s = None
        if self.watch is not None:
            self.watch.begin_at(began_s)
            settled_s = self.watch.settled_s(self.faults_end_s)
        servers = [server for zone in self.servers for server in zone]
        handshakes = [sum((link.accepted for link in server.links), Counter()) for server in servers]
        listed = self.registry.listed()
        slow_starts = list(self._slow_starts(self.scenario.fleet.fall_multiple, self.scenario.fleet.fall_s))
        return Seen(
            verdict,
            self.ready_s,
            [calls[second] for second in range(first, max(calls, default=first) + 1)],
            self.registry.turned_away,
            sum(one.total() for one in handshakes),
            [by_second[second] for second in range(seconds)],
            [served[second] for second in range(seconds)],
            sum(self.datagrams.sent.values()),
            self.datagrams.bytes,
            self.lag_s,
            [*self.unstarted, *(line for line in self._lines() if "Traceback" in line)],
            self.watch.looks if self.watch is not None else [],
            settled_s,
            handshakes_worst=max((max(one.values(), default=0) for one in handshakes), default=0),
            listed_s=[
                max(at_s - max(since_s, self.registry.since_s), 0.0)
                for number, since_s in self.listens_s.items()
                if (at_s := listed.get(number)) is not None
            ],
            crossed=self._crossed(asked, began_s, seconds),
            moves=sum(line.count("works in zone") for line in self._lines()),
            cold_load=max(self._cold_loads(), default=0.0),
            cold_fall=max(
                self._cold_loads(self.scenario.fleet.fall_multiple, self.scenario.fleet.fall_s), default=0.0
            ),
            slow_start=max((whole for whole, _ in slow_starts), key=_against_budget),
            slow_start_notified=max((notified for _, notified in slow_starts), key=_against_budget),
            slow_start_short=max((short for short, _ in self._slow_starts(1.0, COLD_S)), key=_against_budget),
            start_lag_s=self.start_lag_s,
        )

    def _lines(self) -> Iterator[str]:
        """What is kept of all members' logs."""
        for member in self.members:
            for process in member.processes:
                yield from process.lines

    def _crossed(self, asked: list[Asked], began_s: float, seconds: int) -> list[float]:
        zones = {one.ident: self.scenario.zone_of(one.desk) for one in asked}
        all_of: Counter[int] = Counter()
        away: Counter[int] = Counter()
        for zone, servers in enumerate(self.servers):
            for server in servers:
                for one in self.truth.arrivals.get(server.name, ()):
                    second = int(one.came_s - began_s)
                    all_of[second] += 1
                    away[second] += zones.get(one.ident, zone) != zone
        return [away[second] / max(all_of[second], 1) for second in range(seconds)]

    def _cold_loads(self, multiple: float = 1.0, span_s: float = COLD_S) -> Iterator[float]:
        """Of each server that was cold, its load against what pushes it over."""
        fleet = self.scenario.fleet
        for zone in self.servers:
            for server in zone:
                came = [one.came_s for one in self.truth.arrivals.get(server.name, ())]
                full = fleet.cores / QUICK.mean_ms * 1000
                share, warm_s = fleet.cold_share, fleet.warm_s
                yield cold_load(came, server.started_s, full, share, warm_s, multiple, span_s)

    def _slow_starts(self, multiple: float, span_s: float) -> Iterator[tuple[SlowStartLoad, SlowStartLoad]]:
        """Of each server, its worst span in slow start, and the worst that was known of."""
        fleet = self.scenario.fleet
        full = fleet.cores / QUICK.mean_ms * 1000  # every class here has the same mean work
        rules = SlowStart(full, fleet.cold_share, fleet.warm_s, multiple, span_s)
        attempts = sorted(
            (one.came_s, one.ident, name) for name, came in self.truth.arrivals.items() for one in came
        )
        calls: dict[str, list[SlowStartCall]] = {}
        begun: set[str] = set()
        for came_s, ident, name in attempts:
            sidecar = int(ident.partition("-")[0], 16)
            calls.setdefault(name, []).append(SlowStartCall(came_s, sidecar, first=ident not in begun))
            begun.add(ident)
        for zone in self.servers:
            for server in zone:
                notified_s = self.registry.starts.get(server.name, {})
                yield slow_start_load(calls.get(server.name, ()), server.started_s, rules, notified_s)

    async def close(self) -> None:
        """End all that the rig has begun."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*(member.close() for member in self.members))
        for desk in self.desks:
            desk.close()
        for zone in self.servers:
            for server in zone:
                server.close()
        for link in self.registry_links:
            link.close()
        self.datagrams.close()


def _named(table: ServerTable, name: str, count: int) -> ServerTable:
    """The same kind of server under another name."""
    return ServerTable(name, count=count, cores=table.cores, cold_share=table.cold_share, warm_s=table.warm_s)


def _against_budget(one: SlowStartLoad) -> float:
    return one.load


@contextlib.asynccontextmanager
async def rigged(scenario: FleetScenario) -> AsyncIterator[Rig]:
    """A rig for a scenario; all of it is gone behind."""
    block, kept = free_block()
    with kept, tempfile.TemporaryDirectory() as folder, collector_paused():
        rig = Rig(scenario, Path(folder), block)
        try:
            yield rig
        finally:
            await rig.close()


async def play(scenario: FleetScenario) -> Seen:
    """Play a scenario once."""
    async with rigged(scenario) as rig:
        return await rig.play()
