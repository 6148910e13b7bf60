"""Sixteen times the servers: what a sidecar needs, against what the operators allow it.

`python -m benchmarks.large_fleet [--servers N] [--times T] [--members M] [--push] [--seed N]`: the same day
with N servers (200) and with T times as many (16): the same traffic to each of M sidecars (3), the same
capacity of all servers together, and a quarter of the servers replaced in steps. Real processes, real
sockets; servers and list service are stand-ins of this process, a listener each. One line a figure: at the
usual size, the limit that follows from it, and what was measured; exit code 1 where a limit is broken, 2
where the machine was late (this process, or a sidecar that waited for a core), whose figures say nothing.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import os
import resource
import sys
import tempfile
import time
from collections import deque
from collections.abc import AsyncIterator, Mapping
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path
from typing import Any

import uvloop

from dykefold.lab.emulator.server import Connection, Server, Truth
from dykefold.lab.fleet.client import Client, ClientRequest, RequestEnd, all_requests, playing
from dykefold.lab.fleet.judge import judge
from dykefold.lab.fleet.member import Member, entry, settings
from dykefold.lab.fleet.registry import DiscoveryConnection, Registry
from dykefold.lab.fleet.scenario import CLASSES
from dykefold.lab.random_streams import generator
from dykefold.lab.scenario import LoadTable, Scenario, ServerTable

KB = 1024.0
MB = 1024.0 * KB
SERVERS, TIMES, MEMBERS = 200, 16, 3
FLEET = 200  # sidecars that the settings tell of
CORES = 16  # of a server at the usual size; with so many times the servers each has that part of them
RATE = 30.0  # requests a second to each sidecar
SPAN_S = 20.0
STEPS, REPLACED = 10, 0.25  # of the servers, in so many steps
FIRST_STEP_S, STEP_S = 3.0, 1.0
DRAIN_S = 1.0  # from being listed as draining to being gone
CALLS_PER_S = 160.0
WAITING_MOST = 64
LIST_LATE_S = 0.1
ZONES = ["a", "b", "c"]
MAX_LAG_S = 0.25  # of this process, or of a sidecar for want of a core, beyond which a run says nothing
WAIT_OVER_S = 1.0  # over which a sidecar's wait for a core is looked at
SAMPLE_S = 0.05
WARM_S, COLD_SHARE = 4.0, 0.25
EXTRA_DESCRIPTORS = 256  # of this process, beyond listeners and connections
TICKS_A_SECOND = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True)
class Limit:
    """What a figure may grow to: so many `times`, plus `apart`, plus `each` for each thousand servers."""

    times: float
    apart: float = 0.0
    each: float = 0.0

    def at(self, usual: float, servers: int) -> float:
        """The limit with so many servers, where the figure at the usual size is `usual`."""
        return self.times * usual + self.apart + self.each * servers / 1000


# STANDING.md, "Beyond this bench"; bytes and seconds.
LIMITS = {
    "CPU seconds": Limit(1.4, 0.02, 0.12),
    "peak memory": Limit(1.5, 8 * MB, 4 * MB),
    "descriptors": Limit(2.0, 40),
    "connections made": Limit(2.5, 40),
    "bytes of lists": Limit(2.0, 64 * KB, 500 * KB),
}
SERVED = "share served"
SERVED_LEAST = 0.85  # of the usual share
UNITS = {"peak memory": ("MB", MB), "bytes of lists": ("KB", KB)}


@dataclass(frozen=True, slots=True)
class Line:
    """One figure of the table."""

    name: str
    usual: float
    limit: float
    measured: float

    @property
    def broken(self) -> bool:
        """Whether the limit is not held."""
        if self.name == SERVED:
            return self.measured < self.limit
        return self.measured > self.limit

    def __str__(self) -> str:
        """The line as printed, in the unit of its figure."""
        unit, scale = UNITS.get(self.name, ("", 1.0))
        figures = "".join(f" {one / scale:10.3f}" for one in (self.usual, self.limit, self.measured))
        title = f"{self.name} ({unit})" if unit else self.name
        return f"{title:22}{figures}  {'BROKEN' if self.broken else 'held'}"


def compared(usual: Mapping[str, float], large: Mapping[str, float], servers: int) -> list[Line]:
    """The table: each figure of the large fleet against what the usual one allows."""
    lines = [
        Line(name, usual[name], limit.at(usual[name], servers), large[name]) for name, limit in LIMITS.items()
    ]
    return [*lines, Line(SERVED, usual[SERVED], SERVED_LEAST * usual[SERVED], large[SERVED])]


class CountedServer(Server):
    """A server that counts the connections made to it."""

    made = 0

    async def listen(self) -> None:
        """Listen, and count each connection from then on."""
        self.listening = await self.loop.create_server(self._connected, "127.0.0.1", self.port)
        self.port = self.listening.sockets[0].getsockname()[1]

    def _connected(self) -> Connection:
        self.made += 1
        return Connection(self)


class CountedCaller(DiscoveryConnection):
    """A caller of the list service whose bytes are counted."""

    def __init__(self, registry: Registry, member: int, sent: list[int]) -> None:
        """Begin with the place in `sent`, by member, to which the bytes of answers are added."""
        super().__init__(registry, member, 0)
        self.sent = sent

    def reply(self, code: int, body: bytes) -> None:
        """Answer, and count the body's bytes."""
        self.sent[self.member] += len(body)
        super().reply(code, body)


@dataclass(frozen=True, slots=True)
class Needs:
    """What a process has needed since its start: processor time, and the most resident memory."""

    cpu_s: float
    peak_bytes: float


@dataclass(frozen=True, slots=True)
class Size:
    """What the days at two sizes differ in, and what they share.

    Attributes:
        servers: Number of servers at a time.
        times: Factor on the number of servers; each has the usual cores divided by it.
        members: Number of sidecars.
        push: Whether lists are pushed to the sidecars; otherwise they poll.
        seed: Seed of the random generator.
    """

    servers: int
    times: int
    members: int
    push: bool
    seed: int


@dataclass(slots=True)
class Day:
    """One day at one size, while it is played.

    Attributes:
        size: Size of the fleet.
        truth: Record of the attempts at the servers.
        standing: Present servers by place.
        gone: Replaced servers.
        lag_s: Largest lateness of this process in seconds.
        waited_s: Longest time that a sidecar waited for a core within a second.
        descriptors: Largest number of descriptors of each sidecar.
        list_bytes: Bytes of lists sent to each sidecar.
    """

    size: Size
    truth: Truth = field(default_factory=Truth)
    standing: list[CountedServer] = field(default_factory=list)
    gone: list[CountedServer] = field(default_factory=list)
    lag_s: float = 0.0
    waited_s: float = 0.0
    descriptors: list[int] = field(default_factory=list)
    list_bytes: list[int] = field(default_factory=list)

    async def play(self, folder: Path) -> dict[str, float]:
        """The figures of a sidecar in the mean."""
        size = self.size
        self.descriptors, self.list_bytes = [0] * size.members, [0] * size.members
        registry = Registry(CALLS_PER_S, WAITING_MOST, LIST_LATE_S, max_changes=10 * size.servers)
        for number in range(size.servers):
            await self._serve(registry, number, 0)
        async with contextlib.AsyncExitStack() as stack:
            members = [
                await stack.enter_async_context(self._member(number, folder, registry))
                for number in range(size.members)
            ]
            stack.push_async_callback(self._close)
            desks = await self._load(members, registry)
            needs = [_needs(member.living[0].pid) for member in members]
        return self._figures(list(all_requests(desks)), needs)

    async def _load(self, members: list[Member], registry: Registry) -> list[Client]:
        """Begin all sidecars, ask them for the whole span while servers are replaced; who asked."""
        desks = [
            Client(number, CLASSES, RATE, generator(self.size.seed, "desk", str(number)))
            for number in range(len(members))
        ]
        for desk, member in zip(desks, members, strict=True):
            desk.address = await member.begin()
        looks = asyncio.create_task(self._look(members))
        changes = asyncio.create_task(self._replace(registry))
        async with playing(desks):
            await asyncio.sleep(SPAN_S)
        await changes
        looks.cancel()
        return desks

    def _figures(self, asked: list[ClientRequest], needs: list[Needs]) -> dict[str, float]:
        """Hold the requests against the rules, and what was needed in the mean."""
        verdict = judge(asked, self.truth.arrivals, CLASSES)
        if verdict.broken:
            print(f"{self.size.servers} servers: {len(verdict.broken)} rules broken, as: {verdict.broken[0]}")
            print(f"  {verdict.counts}")
        served = sum(
            request.end is RequestEnd.SERVED
            and request.ended_s - request.sent_s <= CLASSES[request.cls].aim_ms / 1000
            for request in asked
        )
        made = sum(server.made for server in (*self.standing, *self.gone))
        members = self.size.members
        return {
            "CPU seconds": sum(need.cpu_s for need in needs) / members,
            "peak memory": sum(need.peak_bytes for need in needs) / members,
            "descriptors": sum(self.descriptors) / members,
            "connections made": made / members,
            "bytes of lists": sum(self.list_bytes) / members,
            SERVED: served / len(asked),
        }

    @contextlib.asynccontextmanager
    async def _member(self, number: int, folder: Path, registry: Registry) -> AsyncIterator[Member]:
        """A sidecar with a place of its own at the list service."""
        loop = asyncio.get_running_loop()
        list_service = await loop.create_server(
            partial(CountedCaller, registry, number, self.list_bytes), "127.0.0.1", 0
        )
        own = folder / f"m{number}"
        own.mkdir()
        deployment = settings(CLASSES, ZONES, number % len(ZONES), number, FLEET, cold=(COLD_SHARE, WARM_S))
        data = {
            "name": f"m{number}",
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{list_service.sockets[0].getsockname()[1]}",
            "seed": f"{self.size.seed * 1000 + number:016x}",
            "limits": {"cores": 1.0, "memory_mb": 80, "sockets": 384},
            "known": registry.initial_list(0),
            "settings": {**deployment, "discovery": "push" if self.size.push else "ask"},
        }
        member = Member(number, own, data)
        try:
            yield member
        finally:
            await member.close()
            list_service.close()

    async def _serve(self, registry: Registry, number: int, since_ms: int) -> None:
        """Another server in this place."""
        name = f"s-{len(self.standing) + len(self.gone)}"
        table = ServerTable(
            "s",
            cores=max(CORES // self.size.times, 1),
            cold_share=COLD_SHARE if since_ms else 1.0,
            warm_s=WARM_S,
        )
        server = CountedServer(Scenario([table], CLASSES, LoadTable(), seed=self.size.seed), name, self.truth)
        await server.listen()
        if since_ms:
            server.started_s = server.loop.time()
            self.gone.append(self.standing[number])
            self.standing[number] = server
            registry.change(self._entry(server, number, "SERVING", since_ms))
        else:
            self.standing.append(server)
            registry.entries[name] = self._entry(server, number, "SERVING", 0)

    def _entry(self, server: CountedServer, number: int, status: str, since_ms: int) -> dict[str, Any]:
        listed = entry(server.name, "", ZONES[number % len(ZONES)], status, since_ms)
        return {**listed, "addresses": [f"127.0.0.1:{server.port}"]}

    async def _replace(self, registry: Registry) -> None:
        """The servers' places in steps: the new one serves, the old one drains and goes."""
        await asyncio.sleep(FIRST_STEP_S)
        count = round(REPLACED * self.size.servers / STEPS)
        for step in range(STEPS):
            old = {number: self.standing[number] for number in range(step * count, (step + 1) * count)}
            for number, server in old.items():
                await self._serve(registry, number, int(time.time() * 1000))
                registry.change(self._entry(server, number, "DRAINING", 0))
            await asyncio.sleep(DRAIN_S)
            for number, server in old.items():
                registry.change(self._entry(server, number, "DELETED", 0))
            await asyncio.sleep(max(STEP_S - DRAIN_S, 0.0))

    async def _look(self, members: list[Member]) -> None:
        """The most descriptors that each holds, and how late the machine is."""
        loop = asyncio.get_running_loop()
        waits: list[deque[float]] = [deque(maxlen=round(WAIT_OVER_S / SAMPLE_S)) for _ in members]
        while True:
            for number, member in enumerate(members):
                self.descriptors[number] = max(self.descriptors[number], member.living[0].resource_use()[0])
                waits[number].append(_waited_s(member.living[0].pid))
                self.waited_s = max(self.waited_s, waits[number][-1] - waits[number][0])
            due_s = loop.time() + SAMPLE_S
            await asyncio.sleep(SAMPLE_S)
            self.lag_s = max(self.lag_s, loop.time() - due_s)

    async def _close(self) -> None:
        for server in (*self.standing, *self.gone):
            if server.listening is not None:
                server.listening.close()


def _needs(pid: int) -> Needs:
    """What a process has needed so far."""
    words = Path(f"/proc/{pid}/stat").read_text().rpartition(") ")[2].split()
    cpu_s = (int(words[11]) + int(words[12])) / TICKS_A_SECOND
    status = Path(f"/proc/{pid}/status").read_text()
    peak_kb = next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM"))
    return Needs(cpu_s, peak_kb * KB)


def _waited_s(pid: int) -> float:
    """Seconds that a process was ready to run and had no core (Linux: /proc/PID/schedstat)."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e9


def day(size: Size) -> tuple[dict[str, float], float]:
    """A day's figures, and how late the machine was while it was played, in seconds."""
    played = Day(size)
    with tempfile.TemporaryDirectory() as folder:
        figures = uvloop.run(played.play(Path(folder)))
    print(
        f"{size.servers} servers: this process was late by {played.lag_s:.2f} s,"
        f" a sidecar waited {played.waited_s:.2f} s in {WAIT_OVER_S:.0f} s for a core",
        file=sys.stderr,
    )
    return figures, max(played.lag_s, played.waited_s)


def allow_descriptors(servers: int) -> bool:
    """Raise this process's limit to what so many servers take; whether the system allows it."""
    wanted = 2 * servers + EXTRA_DESCRIPTORS
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and hard < wanted:
        print(f"descriptors: {hard} allowed, expected {wanted} for {servers} servers", file=sys.stderr)
        return False
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, wanted), hard))
    return True


def main() -> int:
    """Read the command line and print the table; 1 if a limit is broken, 2 if the figures say nothing."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--servers", type=int, default=SERVERS)
    parser.add_argument("--times", type=int, default=TIMES)
    parser.add_argument("--members", type=int, default=MEMBERS)
    parser.add_argument("--push", action="store_true", help="lists are pushed; else asked for")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    servers: int = options.servers
    large = servers * options.times
    if not allow_descriptors(large):
        return 2
    shared = options.members, options.push, options.seed
    usual_figures, usual_lag_s = day(Size(servers, 1, *shared))
    large_figures, large_lag_s = day(Size(large, options.times, *shared))
    print(f"a sidecar in the mean      {servers:6} servers  limit   {large:6} servers")
    lines = compared(usual_figures, large_figures, large)
    for line in lines:
        print(line)
    if max(usual_lag_s, large_lag_s) > MAX_LAG_S:
        print(f"void: the machine was late by over {MAX_LAG_S} s; this says nothing")
        return 2
    return 1 if any(line.broken for line in lines) else 0


if __name__ == "__main__":
    sys.exit(main())
