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
from pathlib import Path
from typing import Any

import uvloop

from dykefold.lab.chance import generator
from dykefold.lab.emulator.server import Connection, Server, Truth
from dykefold.lab.fleet.desk import Desk, End, all_asked, playing
from dykefold.lab.fleet.judge import judge
from dykefold.lab.fleet.member import Member, entry, settings
from dykefold.lab.fleet.registry import Caller, Registry
from dykefold.lab.fleet.scenario import CLASSES
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
LAG_MOST_S = 0.25  # of this process, or of a sidecar for want of a core, beyond which a run says nothing
WAIT_OVER_S = 1.0  # over which a sidecar's wait for a core is looked at
SAMPLE_S = 0.05
WARM_S, COLD_SHARE = 4.0, 0.25
DESCRIPTORS_APART = 256  # of this process, beyond listeners and connections
TICKS_A_SECOND = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True)
class Limit:
    """What a figure may grow to: so many `times`, plus `apart`, plus `each` for each thousand servers."""

    times: float
    apart: float = 0.0
    each: float = 0.0

    def at(self, usual: float, servers: int) -> float:
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
        if self.name == SERVED:
            return self.measured < self.limit
        return self.measured > self.limit

    def __str__(self) -> str:
        unit, scale = UNITS.get(self.name, ("", 1.0))
        figures = "".join(f" {one / scale:10.3f}" for one in (self.usual, self.limit, self.measured))
        return (
            f"{self.name + (f' ({unit})' if unit else ''):22}{figures}  {'BROKEN' if self.broken else 'held'}"
        )


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
        self.listening = await self.loop.create_server(self._connected, "127.0.0.1", self.port)
        self.port = self.listening.sockets[0].getsockname()[1]

    def _connected(self) -> Connection:
        self.made += 1
        return Connection(self)


class CountedCaller(Caller):
    """A caller of the list service whose bytes are counted."""

    def __init__(self, registry: Registry, member: int, sent: list[int]) -> None:
        super().__init__(registry, member, 0)
        self.sent = sent

    def reply(self, code: int, body: bytes) -> None:
        self.sent[self.member] += len(body)
        super().reply(code, body)


@dataclass(slots=True)
class Day:
    """One day at one size, while it is played."""

    servers: int
    times: int  # as many servers as usual
    members: int
    push: bool
    seed: int
    truth: Truth = field(default_factory=Truth)
    standing: list[CountedServer] = field(default_factory=list)
    gone: list[CountedServer] = field(default_factory=list)
    lag_s: float = 0.0  # the latest that this process was
    waited_s: float = 0.0  # the longest that a sidecar waited for a core, in a second
    descriptors: list[int] = field(default_factory=list)

    async def play(self, folder: Path) -> dict[str, float]:
        """The figures of a sidecar in the mean."""
        self.descriptors = [0] * self.members
        registry = Registry(CALLS_PER_S, WAITING_MOST, LIST_LATE_S, changes_kept=10 * self.servers)
        for number in range(self.servers):
            await self._serve(registry, number, 0)
        sent = [0] * self.members
        async with contextlib.AsyncExitStack() as stack:
            members = [
                await stack.enter_async_context(self._member(number, folder, registry, sent))
                for number in range(self.members)
            ]
            stack.push_async_callback(self._close)
            desks = [
                Desk(number, CLASSES, RATE, generator(self.seed, "desk", str(number)))
                for number in range(self.members)
            ]
            for desk, member in zip(desks, members, strict=True):
                desk.address = await member.begin()
            looks = asyncio.create_task(self._look(members))
            changes = asyncio.create_task(self._replace(registry))
            async with playing(desks):
                await asyncio.sleep(SPAN_S)
            await changes
            looks.cancel()
            needs = [_needs(member.living[0].pid) for member in members]
        asked = list(all_asked(desks))
        verdict = judge(asked, self.truth.arrivals, CLASSES)
        if verdict.broken:
            print(f"{self.servers} servers: {len(verdict.broken)} rules broken, as: {verdict.broken[0]}")
            print(f"  {verdict.counts}")
        served = sum(
            one.end is End.SERVED and one.ended_s - one.sent_s <= CLASSES[one.cls].aim_ms / 1000
            for one in asked
        )
        made = sum(server.made for server in (*self.standing, *self.gone))
        return {
            "CPU seconds": sum(cpu_s for cpu_s, _ in needs) / self.members,
            "peak memory": sum(peak for _, peak in needs) / self.members,
            "descriptors": sum(self.descriptors) / self.members,
            "connections made": made / self.members,
            "bytes of lists": sum(sent) / self.members,
            SERVED: served / len(asked),
        }

    @contextlib.asynccontextmanager
    async def _member(
        self, number: int, folder: Path, registry: Registry, sent: list[int]
    ) -> AsyncIterator[Member]:
        """A sidecar with a place of its own at the list service."""
        loop = asyncio.get_running_loop()
        lists = await loop.create_server(lambda: CountedCaller(registry, number, sent), "127.0.0.1", 0)
        own = folder / f"m{number}"
        own.mkdir()
        told: dict[str, Any] = settings(
            CLASSES, ZONES, number % len(ZONES), number, FLEET, cold=(COLD_SHARE, WARM_S)
        )
        data = {
            "name": f"m{number}",
            "listen": "127.0.0.1:0",
            "discovery": f"127.0.0.1:{lists.sockets[0].getsockname()[1]}",
            "seed": f"{self.seed * 1000 + number:016x}",
            "limits": {"cores": 1.0, "memory_mb": 80, "sockets": 384},
            "known": registry.known(0),
            "settings": {**told, "discovery": "push" if self.push else "ask"},
        }
        member = Member(number, own, data)
        try:
            yield member
        finally:
            await member.close()
            lists.close()

    async def _serve(self, registry: Registry, number: int, since_ms: int) -> None:
        """Another server in this place."""
        name = f"s-{len(self.standing) + len(self.gone)}"
        table = ServerTable(
            "s", cores=max(CORES // self.times, 1), cold_share=COLD_SHARE if since_ms else 1.0, warm_s=WARM_S
        )
        server = CountedServer(Scenario([table], CLASSES, LoadTable(), seed=self.seed), name, self.truth)
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
        told = entry(server.name, "", ZONES[number % len(ZONES)], status, since_ms)
        return {**told, "addresses": [f"127.0.0.1:{server.port}"]}

    async def _replace(self, registry: Registry) -> None:
        """The servers' places in steps: the new one serves, the old one drains and goes."""
        await asyncio.sleep(FIRST_STEP_S)
        count = round(REPLACED * self.servers / STEPS)
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
                self.descriptors[number] = max(self.descriptors[number], member.living[0].held()[0])
                waits[number].append(_waited_s(member.living[0].pid))
                self.waited_s = max(self.waited_s, waits[number][-1] - waits[number][0])
            due_s = loop.time() + SAMPLE_S
            await asyncio.sleep(SAMPLE_S)
            self.lag_s = max(self.lag_s, loop.time() - due_s)

    async def _close(self) -> None:
        for server in (*self.standing, *self.gone):
            if server.listening is not None:
                server.listening.close()


def _needs(pid: int) -> tuple[float, float]:
    """Processor seconds and the most resident bytes of a process since its start."""
    words = Path(f"/proc/{pid}/stat").read_text().rpartition(") ")[2].split()
    cpu_s = (int(words[11]) + int(words[12])) / TICKS_A_SECOND
    status = Path(f"/proc/{pid}/status").read_text()
    peak_kb = next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM"))
    return cpu_s, peak_kb * KB


def _waited_s(pid: int) -> float:
    """Seconds that a process was ready to run and had no core (Linux: /proc/PID/schedstat)."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e9


def day(servers: int, times: int, members: int, push: bool, seed: int) -> tuple[dict[str, float], float]:
    """A day's figures, and how late the machine was while it was played."""
    one = Day(servers, times, members, push, seed)
    with tempfile.TemporaryDirectory() as folder:
        figures = uvloop.run(one.play(Path(folder)))
    print(
        f"{servers} servers: this process was late by {one.lag_s:.2f} s,"
        f" a sidecar waited {one.waited_s:.2f} s in {WAIT_OVER_S:.0f} s for a core",
        file=sys.stderr,
    )
    return figures, max(one.lag_s, one.waited_s)


def main() -> int:
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--servers", type=int, default=SERVERS)
    parser.add_argument("--times", type=int, default=TIMES)
    parser.add_argument("--members", type=int, default=MEMBERS)
    parser.add_argument("--push", action="store_true", help="lists are pushed; else asked for")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    large = options.servers * options.times
    wanted = 2 * large + DESCRIPTORS_APART
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and hard < wanted:
        print(f"descriptors: {hard} allowed, expected {wanted} for {large} servers", file=sys.stderr)
        return 2
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, wanted), hard))
    played, void = [], False
    for servers, times in ((options.servers, 1), (large, options.times)):
        figures, lag_s = day(servers, times, options.members, options.push, options.seed)
        played.append(figures)
        void = void or lag_s > LAG_MOST_S
    print(f"a sidecar in the mean      {options.servers:6} servers  limit   {large:6} servers")
    lines = compared(played[0], played[1], large)
    for line in lines:
        print(line)
    if void:
        print(f"void: the machine was late by over {LAG_MOST_S} s; this says nothing")
        return 2
    return 1 if any(line.broken for line in lines) else 0


if __name__ == "__main__":
    sys.exit(main())
