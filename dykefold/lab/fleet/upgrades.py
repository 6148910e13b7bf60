"""Hot restarts of one sidecar under load, with faults in its old or its new process."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from ..emulator.server import AttemptLog, Server
from ..random_streams import generator
from ..scenario import ClassTable, LoadTable, Scenario, ServerTable, ServiceTable
from .client import Client, RequestEnd, all_requests, running_load
from .judge import FaultInterval, OutOfServiceInterval, Verdict, judge
from .member import LOOPBACK, Member, entry, settings
from .process import ADMIN_LISTENS, Process, call

SERVICE_TIME = ServiceTable(kind="exponential", mean_ms=4.0)
CLASSES = {
    "lookup": ClassTable(share=3.0, aim_ms=300, deadline_ms=1000, service=SERVICE_TIME),
    "hold": ClassTable(effect="keyed", aim_ms=300, deadline_ms=800, window_ms=400, service=SERVICE_TIME),
    "order": ClassTable(effect="unsafe", share=2.0, aim_ms=400, deadline_ms=1200, service=SERVICE_TIME),
}
GRACE_S = 0.5  # Drain grace period of the settings.
READY_TIMEOUT_S = 6.0  # Within this time, a new process is ready (DAYS).
KILL_AFTER_S = 1.9  # From SIGTERM to SIGKILL: the longest deadline and 0.7 s.
PAUSE_S = 2.0
DEATH_NOTICE_S = 0.1  # Within this time, the clients of a killed process notice its death.
HTTP_OK = 200
# Log lines of this version and of earlier ones.
SHUTDOWN_LINE = "began graceful shutdown|draining"


@dataclass(slots=True)
class HotRestartRig:
    """A sidecar with its client and its servers.

    Attributes:
        member: Sidecar.
        client: Client of the sidecar.
        servers: Servers by name.
        truth: Record of all attempts that reached a server.
        fault_intervals: Intervals in which lost requests of the client are excused.
        out_of_service: Intervals in which a server must not be used.
    """

    member: Member
    client: Client
    servers: dict[str, Server]
    truth: AttemptLog
    fault_intervals: list[FaultInterval] = field(default_factory=list)
    out_of_service: list[OutOfServiceInterval] = field(default_factory=list)

    def verdict(self) -> Verdict:
        """Return the verdict on all requests so far."""
        return judge(
            list(all_requests([self.client])),
            self.truth.arrivals,
            CLASSES,
            self.fault_intervals,
            self.out_of_service,
        )

    # Faults

    def kill(self, process: Process) -> None:
        """Kill a process; its pending requests are excused."""
        now_s = asyncio.get_running_loop().time()
        process.kill()
        self.fault_intervals.append(FaultInterval(self.client.number, now_s, now_s + DEATH_NOTICE_S))

    async def stop(self, process: Process, span_s: float = PAUSE_S) -> None:
        """Pause a process for some seconds; its pending requests are excused for that time."""
        now_s = asyncio.get_running_loop().time()
        process.stop()
        await asyncio.sleep(span_s)
        process.resume()
        self.fault_intervals.append(FaultInterval(self.client.number, now_s, now_s + span_s + DEATH_NOTICE_S))

    # Steps of an upgrade

    async def wait_until_ready(self, process: Process) -> None:
        """Wait until a process accepts clients.

        Raises:
            TimeoutError: The process is not ready within `READY_TIMEOUT_S`.
        """
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not await self.is_ready(process):
                await asyncio.sleep(0.01)

    async def is_ready(self, process: Process) -> bool:
        """Return whether a process reports at its admin API that it accepts clients."""
        if process.admin_address is None:
            return False
        with contextlib.suppress(OSError, TimeoutError):
            return await call(process.admin_address, "GET /healthcheck", 0.5) == HTTP_OK
        return False

    async def end(self, process: Process) -> None:
        """End a process as the platform does: SIGTERM, and SIGKILL after `KILL_AFTER_S`."""
        await process.end(KILL_AFTER_S)

    async def upgrade(self) -> Process:
        """Start a new process, and end the old one when the new one is ready."""
        old = self.member.living[-1]
        new = await self.member.start()
        await self.wait_until_ready(new)
        await self.end(old)
        return new

    async def take_out_of_service(self, process: Process, server: str) -> None:
        """Take a server out of service through a process's admin API."""
        assert process.admin_address is not None
        assert await call(process.admin_address, f"POST /servers/{server}/maint") == HTTP_OK
        self.out_of_service.append(
            OutOfServiceInterval(self.client.number, server, asyncio.get_running_loop().time() + GRACE_S)
        )

    def served(self) -> int:
        """Return the number of served requests."""
        return sum(request.end is RequestEnd.SERVED for request in self.client.requests)

    async def wait_for_responses(self, more: int = 20, within_s: float = 10.0) -> None:
        """Wait until `more` further requests have been served.

        Raises:
            TimeoutError: They were not served within `within_s` seconds.
        """
        target_count = self.served() + more
        async with asyncio.timeout(within_s):
            while self.served() < target_count:
                await asyncio.sleep(0.005)


@contextlib.asynccontextmanager
async def hot_restart_rig(
    folder: Path,
    rate: float = 150.0,
    new_connection_fraction: float = 0.5,
    servers: int = 3,
    memory_mb: int = 192,
    sockets: int = 512,
    seed: int = 1,
    trees: tuple[Path, ...] = (),
) -> AsyncIterator[HotRestartRig]:
    """Run a sidecar under load during the block, and stop load, processes and servers at its end.

    Args:
        folder: Folder that the sidecar's processes share.
        rate: Requests per second.
        new_connection_fraction: Fraction of the requests that are sent on new connections.
        servers: Number of servers.
        memory_mb: Memory limit of the sidecar in megabytes.
        sockets: Descriptor limit of the sidecar.
        seed: Seed of the load.
        trees: Checkouts whose programs the processes run in rotation; empty for this checkout.
    """
    scenario = Scenario(
        [ServerTable("std", count=servers, cores=4)], CLASSES, LoadTable(rate=rate), seed=seed, span_s=60.0
    )
    truth = AttemptLog()
    servers_by_name = {name: Server(scenario, name, truth) for name in scenario.server_names()}
    for server in servers_by_name.values():
        await server.listen()
    endpoints = [entry(name, f"{LOOPBACK}:{server.port}", "a") for name, server in servers_by_name.items()]
    data = {
        "name": "n0",
        "listen": f"{LOOPBACK}:0",
        "control": f"{LOOPBACK}:0",
        "discovery": f"{LOOPBACK}:9",  # Nothing listens there: the initial list stays valid.
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "peers": [],
        "known": {"index": 1, "snapshot": True, "endpoints": endpoints},
        "settings": settings(CLASSES, ["a", "b"]),
    }
    member = Member(0, folder, data)
    member.trees = trees or member.trees
    client = Client(0, CLASSES, rate, generator(seed, "desk"), new_connection_fraction)
    resource_watch: asyncio.Task[None] | None = None
    try:
        client.address = await member.start_first_process()
        resource_watch = asyncio.get_running_loop().create_task(member.sample_resources())
        rig = HotRestartRig(member, client, servers_by_name, truth)
        async with running_load([client]):
            await rig.wait_for_responses()
            yield rig
    finally:
        if resource_watch is not None:
            resource_watch.cancel()
        for process in member.processes:
            if process.alive:
                process.signal(signal.SIGCONT)
        await member.close()
        for server in servers_by_name.values():
            if server.listening is not None:
                server.listening.close()


HotRestartFault = Callable[[HotRestartRig], Awaitable[None]]


async def restart_without_fault(rig: HotRestartRig) -> None:
    """Hot restart without a fault."""
    await rig.upgrade()


async def new_killed_before_ready(rig: HotRestartRig) -> None:
    """The newer process is killed before it is ready."""
    new = await rig.member.start()
    await new.wait_for_line(ADMIN_LISTENS.pattern)
    rig.kill(new)


async def new_killed_when_ready(rig: HotRestartRig) -> None:
    """The newer process is killed when it is ready."""
    new = await rig.member.start()
    await rig.wait_until_ready(new)
    rig.kill(new)


async def new_killed_after_serving(rig: HotRestartRig) -> None:
    """The newer process is killed after it has served requests."""
    new = await rig.member.start()
    await rig.wait_until_ready(new)
    await rig.wait_for_responses(60)
    rig.kill(new)


async def new_stopped_before_ready(rig: HotRestartRig) -> None:
    """The newer process is paused before it is ready."""
    old, new = rig.member.living[-1], await rig.member.start()
    await new.wait_for_line(ADMIN_LISTENS.pattern)
    await rig.stop(new)
    await rig.wait_until_ready(new)
    await rig.end(old)


async def new_stopped_when_ready(rig: HotRestartRig) -> None:
    """The newer process is paused when it is ready."""
    old, new = rig.member.living[-1], await rig.member.start()
    await rig.wait_until_ready(new)
    await rig.stop(new)
    await rig.end(old)


async def new_stopped_after_serving(rig: HotRestartRig) -> None:
    """The newer process is paused after it has served requests."""
    old, new = rig.member.living[-1], await rig.member.start()
    await rig.wait_until_ready(new)
    await rig.wait_for_responses(60)
    await rig.stop(new)
    await rig.end(old)


async def new_stopped_while_old_ends(rig: HotRestartRig) -> None:
    """The newer process is paused while the older one shuts down."""
    old, new = rig.member.living[-1], await rig.member.start()
    await rig.wait_until_ready(new)
    await asyncio.gather(rig.end(old), rig.stop(new))


async def old_terminated_before_new_ready(rig: HotRestartRig) -> None:
    """The older process is terminated before the newer one is ready."""
    old, new = rig.member.living[-1], await rig.member.start()
    await new.wait_for_line(ADMIN_LISTENS.pattern)
    old.terminate()
    await rig.wait_until_ready(new)
    await rig.end(old)


async def new_terminated_when_ready(rig: HotRestartRig) -> None:
    """The newer process is terminated when it is ready; the older one serves the clients again."""
    new = await rig.member.start()
    await rig.wait_until_ready(new)
    await rig.end(new)


async def old_killed_while_it_ends(rig: HotRestartRig) -> None:
    """The older process is killed during its graceful shutdown."""
    old, new = rig.member.living[-1], await rig.member.start()
    await rig.wait_until_ready(new)
    old.terminate()
    await old.wait_for_line(SHUTDOWN_LINE)
    rig.kill(old)


async def old_stopped_while_it_ends(rig: HotRestartRig) -> None:
    """The older process is paused during its graceful shutdown until it is killed."""
    old, new = rig.member.living[-1], await rig.member.start()
    await rig.wait_until_ready(new)
    old.terminate()
    await old.wait_for_line(SHUTDOWN_LINE)
    await rig.stop(old, KILL_AFTER_S)
    rig.kill(old)


async def old_stopped_while_new_starts(rig: HotRestartRig) -> None:
    """The older process is paused while the newer one starts."""
    old = rig.member.living[-1]
    pause_task = asyncio.get_running_loop().create_task(rig.stop(old))
    new = await rig.member.start()
    await rig.wait_until_ready(new)
    await pause_task
    await rig.wait_for_responses()
    await rig.end(old)


async def second_upgrade_during_first(rig: HotRestartRig) -> None:
    """A second upgrade before the first has ended."""
    first = rig.member.living[-1]
    second = await rig.member.start()
    await rig.wait_until_ready(second)
    third = await rig.member.start()
    first.terminate()
    await rig.wait_until_ready(third)
    await asyncio.gather(rig.end(first), rig.end(second))


FAULTS: dict[str, HotRestartFault] = {
    "alone": restart_without_fault,
    "new killed before it is ready": new_killed_before_ready,
    "new killed when it is ready": new_killed_when_ready,
    "new killed after it has served": new_killed_after_serving,
    "new stopped before it is ready": new_stopped_before_ready,
    "new stopped when it is ready": new_stopped_when_ready,
    "new stopped after it has served": new_stopped_after_serving,
    "new stopped while the old one ends": new_stopped_while_old_ends,
    "old terminated before the new one is ready": old_terminated_before_new_ready,
    "new terminated when it is ready": new_terminated_when_ready,
    "old killed while it ends": old_killed_while_it_ends,
    "old stopped while it ends": old_stopped_while_it_ends,
    "old stopped at the start": old_stopped_while_new_starts,
    "three at once": second_upgrade_during_first,
}


@dataclass(slots=True)
class HotRestartResult:
    """Result of several hot restarts under one fault.

    Attributes:
        upgrades: Number of hot restarts.
        verdict: Verdict on all requests.
        memory_mb: Largest resident memory of both processes in total, in megabytes.
        descriptors: Largest number of descriptors of both processes in total.
    """

    upgrades: int
    verdict: Verdict
    memory_mb: float
    descriptors: int


async def measure_hot_restarts(
    folder: Path, fault: str, upgrades: int, seed: int = 1, trees: tuple[Path, ...] = ()
) -> HotRestartResult:
    """Run one kind of hot restart repeatedly under load, each starting from a sidecar with one process."""
    async with hot_restart_rig(folder, seed=seed, trees=trees) as rig:
        for _ in range(upgrades):
            await FAULTS[fault](rig)
            await rig.wait_for_responses()
    return HotRestartResult(
        upgrades, rig.verdict(), rig.member.peak.memory_bytes / 2**20, rig.member.peak.descriptors
    )
