"""Resources of a sidecar with sixteen times the servers, compared with the operators' limits.

`python -m benchmarks.large_fleet [--servers N] [--times T] [--members M] [--push] [--seed N]`: the same run
with N servers (200) and with T times as many (16): the same traffic to each of M sidecars (3), the same total
capacity of the servers, and a quarter of the servers replaced in steps. Sidecars are real processes with real
sockets; servers and list service are emulated in this process, with a listener each. Each line has a figure
at the typical size, the limit that follows from it, and the figure at the large size. Exit code 1: a limit is
broken; 2: the machine was late (this process, or a sidecar that waited for a core) and the figures are void.
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

from dykefold.lab.emulator.server import AttemptLog, Connection, Server
from dykefold.lab.fleet.client import Client, ClientRequest, RequestEnd, all_requests, running_load
from dykefold.lab.fleet.judge import judge
from dykefold.lab.fleet.member import Member, entry, settings
from dykefold.lab.fleet.registry import DiscoveryConnection, Registry
from dykefold.lab.fleet.scenario import CLASSES
from dykefold.lab.random_streams import generator
from dykefold.lab.scenario import LoadTable, Scenario, ServerTable

KB = 1024.0
MB = 1024.0 * KB
SERVERS, TIMES, MEMBERS = 200, 16, 3
FLEET = 200  # number of sidecars in the settings
CORES = 16  # of a server at the typical size; divided by the factor on the number of servers
RATE = 30.0  # requests per second to each sidecar
SPAN_S = 20.0
STEPS, REPLACED = 10, 0.25  # fraction of the servers, replaced in this number of steps
FIRST_STEP_S, STEP_S = 3.0, 1.0
DRAIN_S = 1.0  # between the list's changes to draining and to deleted
CALLS_PER_S = 160.0
MAX_WAITING_CALLS = 64
LIST_DELAY_S = 0.1
ZONES = ["a", "b", "c"]
MAX_LAG_S = 0.25  # lateness of this process, or wait of a sidecar for a core, above which a run is void
WAIT_PERIOD_S = 1.0  # period over which a sidecar's wait for a core is summed
SAMPLE_S = 0.05
WARM_S, COLD_CAPACITY_FRACTION = 4.0, 0.25
EXTRA_DESCRIPTORS = 256  # of this process, in addition to listeners and connections
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True)
class Limit:
    """Limit of a figure: factor on the typical figure, plus a constant, plus an amount per 1,000 servers."""

    factor: float
    constant: float = 0.0
    per_thousand: float = 0.0

    def at(self, typical: float, servers: int) -> float:
        """Return the limit with this number of servers, given the figure at the typical size."""
        return self.factor * typical + self.constant + self.per_thousand * servers / 1000


# STANDING.md, "Beyond this bench"; bytes and seconds.
LIMITS = {
    "CPU seconds": Limit(1.4, 0.02, 0.12),
    "peak memory": Limit(1.5, 8 * MB, 4 * MB),
    "descriptors": Limit(2.0, 40),
    "connections made": Limit(2.5, 40),
    "bytes of lists": Limit(2.0, 64 * KB, 500 * KB),
}
SERVED = "share served"
MIN_SERVED_FRACTION = 0.85  # of the typical share
UNITS = {"peak memory": ("MB", MB), "bytes of lists": ("KB", KB)}


@dataclass(frozen=True, slots=True)
class Line:
    """One line of the table."""

    name: str
    typical: float
    limit: float
    measured: float

    @property
    def broken(self) -> bool:
        """Whether the limit is violated."""
        if self.name == SERVED:
            return self.measured < self.limit
        return self.measured > self.limit

    def __str__(self) -> str:
        """Format the line in the unit of its figure."""
        unit, scale = UNITS.get(self.name, ("", 1.0))
        figures = "".join(f" {one / scale:10.3f}" for one in (self.typical, self.limit, self.measured))
        title = f"{self.name} ({unit})" if unit else self.name
        return f"{title:22}{figures}  {'BROKEN' if self.broken else 'held'}"


def compare_to_limits(typical: Mapping[str, float], large: Mapping[str, float], servers: int) -> list[Line]:
    """Return the table: each figure of the large fleet with the limit from the typical one."""
    lines = [
        Line(name, typical[name], limit.at(typical[name], servers), large[name])
        for name, limit in LIMITS.items()
    ]
    return [*lines, Line(SERVED, typical[SERVED], MIN_SERVED_FRACTION * typical[SERVED], large[SERVED])]


class CountingServer(Server):
    """A server that counts the connections made to it."""

    accepted = 0

    async def listen(self) -> None:
        """Listen, and count accepted connections."""
        self.listening = await self.loop.create_server(self._connected, "127.0.0.1", self.port)
        self.port = self.listening.sockets[0].getsockname()[1]

    def _connected(self) -> Connection:
        self.accepted += 1
        return Connection(self)


class CountingDiscoveryConnection(DiscoveryConnection):
    """A connection to the list service that counts the bytes of its answers."""

    def __init__(self, registry: Registry, member: int, sent_bytes: list[int]) -> None:
        """Initialize the connection; the bytes of answers are added to the member's entry of `sent_bytes`."""
        super().__init__(registry, member, 0)
        self.sent_bytes = sent_bytes

    def reply(self, code: int, body: bytes) -> None:
        """Send an answer, and count the bytes of its body."""
        self.sent_bytes[self.member] += len(body)
        super().reply(code, body)


@dataclass(frozen=True, slots=True)
class ResourceUse:
    """Resource use of a process since its start: CPU time and peak resident memory."""

    cpu_s: float
    peak_bytes: float


@dataclass(frozen=True, slots=True)
class RunSize:
    """Size and parameters of a run.

    Attributes:
        servers: Number of simultaneous servers.
        times: Factor on the number of servers; the cores of each server are divided by it.
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
class FleetRun:
    """State of one run at one size.

    Attributes:
        size: Size of the fleet.
        truth: Record of the attempts at the servers.
        current: Current servers by position.
        replaced: Replaced servers.
        lag_s: Largest lateness of this process in seconds.
        waited_s: Longest time that a sidecar waited for a core within a second.
        descriptors: Largest number of open descriptors of each sidecar.
        list_bytes: Bytes of lists sent to each sidecar.
    """

    size: RunSize
    truth: AttemptLog = field(default_factory=AttemptLog)
    current: list[CountingServer] = field(default_factory=list)
    replaced: list[CountingServer] = field(default_factory=list)
    lag_s: float = 0.0
    waited_s: float = 0.0
    descriptors: list[int] = field(default_factory=list)
    list_bytes: list[int] = field(default_factory=list)

    async def play(self, folder: Path) -> dict[str, float]:
        """Run the fleet; return the mean figures of a sidecar."""
        size = self.size
        self.descriptors, self.list_bytes = [0] * size.members, [0] * size.members
        registry = Registry(CALLS_PER_S, MAX_WAITING_CALLS, LIST_DELAY_S, max_changes=10 * size.servers)
        for number in range(size.servers):
            await self._serve(registry, number, 0)
        async with contextlib.AsyncExitStack() as stack:
            members = [
                await stack.enter_async_context(self._member(number, folder, registry))
                for number in range(size.members)
            ]
            stack.push_async_callback(self._close)
            clients = await self._load(members, registry)
            resource_uses = [_resource_use(member.living[0].pid) for member in members]
        return self._figures(list(all_requests(clients)), resource_uses)

    async def _load(self, members: list[Member], registry: Registry) -> list[Client]:
        """Start all sidecars, send requests during the run while servers are replaced; return the clients."""
        clients = [
            Client(number, CLASSES, RATE, generator(self.size.seed, "desk", str(number)))
            for number in range(len(members))
        ]
        for client, member in zip(clients, members, strict=True):
            client.address = await member.start_first_process()
        sampling = asyncio.create_task(self._sample(members))
        changes = asyncio.create_task(self._replace(registry))
        async with running_load(clients):
            await asyncio.sleep(SPAN_S)
        await changes
        sampling.cancel()
        return clients

    def _figures(self, requests: list[ClientRequest], resource_uses: list[ResourceUse]) -> dict[str, float]:
        """Check the requests against the rules, and return the mean figures of a sidecar."""
        verdict = judge(requests, self.truth.arrivals, CLASSES)
        if verdict.broken:
            print(f"{self.size.servers} servers: {len(verdict.broken)} rules broken, as: {verdict.broken[0]}")
            print(f"  {verdict.counts}")
        served = sum(
            request.end is RequestEnd.SERVED
            and request.ended_s - request.sent_s <= CLASSES[request.cls].aim_ms / 1000
            for request in requests
        )
        accepted = sum(server.accepted for server in (*self.current, *self.replaced))
        members = self.size.members
        return {
            "CPU seconds": sum(use.cpu_s for use in resource_uses) / members,
            "peak memory": sum(use.peak_bytes for use in resource_uses) / members,
            "descriptors": sum(self.descriptors) / members,
            "connections made": accepted / members,
            "bytes of lists": sum(self.list_bytes) / members,
            SERVED: served / len(requests),
        }

    @contextlib.asynccontextmanager
    async def _member(self, number: int, folder: Path, registry: Registry) -> AsyncIterator[Member]:
        """Provide a sidecar with its own listener of the list service."""
        loop = asyncio.get_running_loop()
        list_service = await loop.create_server(
            partial(CountingDiscoveryConnection, registry, number, self.list_bytes), "127.0.0.1", 0
        )
        own = folder / f"m{number}"
        own.mkdir()
        deployment = settings(
            CLASSES, ZONES, number % len(ZONES), number, FLEET, slow_start=(COLD_CAPACITY_FRACTION, WARM_S)
        )
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
        """Start a server at this position; one with a start time replaces the current one."""
        name = f"s-{len(self.current) + len(self.replaced)}"
        table = ServerTable(
            "s",
            cores=max(CORES // self.size.times, 1),
            cold_share=COLD_CAPACITY_FRACTION if since_ms else 1.0,
            warm_s=WARM_S,
        )
        server = CountingServer(
            Scenario([table], CLASSES, LoadTable(), seed=self.size.seed), name, self.truth
        )
        await server.listen()
        if since_ms:
            server.started_s = server.loop.time()
            self.replaced.append(self.current[number])
            self.current[number] = server
            registry.change(self._entry(server, number, "SERVING", since_ms))
        else:
            self.current.append(server)
            registry.entries[name] = self._entry(server, number, "SERVING", 0)

    def _entry(self, server: CountingServer, number: int, status: str, since_ms: int) -> dict[str, Any]:
        listed = entry(server.name, "", ZONES[number % len(ZONES)], status, since_ms)
        return {**listed, "addresses": [f"127.0.0.1:{server.port}"]}

    async def _replace(self, registry: Registry) -> None:
        """Replace servers in steps: the new one serves, the old one drains and is deleted."""
        await asyncio.sleep(FIRST_STEP_S)
        count = round(REPLACED * self.size.servers / STEPS)
        for step in range(STEPS):
            old = {number: self.current[number] for number in range(step * count, (step + 1) * count)}
            for number, server in old.items():
                await self._serve(registry, number, int(time.time() * 1000))
                registry.change(self._entry(server, number, "DRAINING", 0))
            await asyncio.sleep(DRAIN_S)
            for number, server in old.items():
                registry.change(self._entry(server, number, "DELETED", 0))
            await asyncio.sleep(max(STEP_S - DRAIN_S, 0.0))

    async def _sample(self, members: list[Member]) -> None:
        """Sample the descriptors of each sidecar, and the lateness of the machine."""
        loop = asyncio.get_running_loop()
        waits: list[deque[float]] = [deque(maxlen=round(WAIT_PERIOD_S / SAMPLE_S)) for _ in members]
        while True:
            for number, member in enumerate(members):
                self.descriptors[number] = max(self.descriptors[number], member.living[0].resource_use()[0])
                waits[number].append(_waited_s(member.living[0].pid))
                self.waited_s = max(self.waited_s, waits[number][-1] - waits[number][0])
            due_s = loop.time() + SAMPLE_S
            await asyncio.sleep(SAMPLE_S)
            self.lag_s = max(self.lag_s, loop.time() - due_s)

    async def _close(self) -> None:
        for server in (*self.current, *self.replaced):
            if server.listening is not None:
                server.listening.close()


def _resource_use(pid: int) -> ResourceUse:
    """Return the resource use of a process so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(") ")[2].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
    status = Path(f"/proc/{pid}/status").read_text()
    peak_kb = next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM"))
    return ResourceUse(cpu_s, peak_kb * KB)


def _waited_s(pid: int) -> float:
    """Return the seconds that a process was runnable without a core (Linux: /proc/PID/schedstat)."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e9


def run_fleet(size: RunSize) -> tuple[dict[str, float], float]:
    """Run a fleet; return its figures and the lateness of the machine in seconds."""
    run = FleetRun(size)
    with tempfile.TemporaryDirectory() as folder:
        figures = uvloop.run(run.play(Path(folder)))
    print(
        f"{size.servers} servers: this process was late by {run.lag_s:.2f} s,"
        f" a sidecar waited {run.waited_s:.2f} s in {WAIT_PERIOD_S:.0f} s for a core",
        file=sys.stderr,
    )
    return figures, max(run.lag_s, run.waited_s)


def allow_descriptors(servers: int) -> bool:
    """Raise this process's descriptor limit for this number of servers; return whether that is allowed."""
    wanted = 2 * servers + EXTRA_DESCRIPTORS
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and hard < wanted:
        print(f"descriptors: {hard} allowed, expected {wanted} for {servers} servers", file=sys.stderr)
        return False
    resource.setrlimit(resource.RLIMIT_NOFILE, (max(soft, wanted), hard))
    return True


def main() -> int:
    """Parse the command line and print the table; return 1 if a limit is broken, 2 if the run is void."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--servers", type=int, default=SERVERS)
    parser.add_argument("--times", type=int, default=TIMES)
    parser.add_argument("--members", type=int, default=MEMBERS)
    parser.add_argument("--push", action="store_true", help="lists are pushed instead of polled")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    servers: int = options.servers
    large = servers * options.times
    if not allow_descriptors(large):
        return 2
    shared = options.members, options.push, options.seed
    typical_figures, typical_lag_s = run_fleet(RunSize(servers, 1, *shared))
    large_figures, large_lag_s = run_fleet(RunSize(large, options.times, *shared))
    print(f"a sidecar in the mean      {servers:6} servers  limit   {large:6} servers")
    lines = compare_to_limits(typical_figures, large_figures, large)
    for line in lines:
        print(line)
    if max(typical_lag_s, large_lag_s) > MAX_LAG_S:
        print(f"void: the machine was late by over {MAX_LAG_S} s; this says nothing")
        return 2
    return 1 if any(line.broken for line in lines) else 0


if __name__ == "__main__":
    sys.exit(main())
