"""Runs a scenario on the rig: starts the members, runs the load, injects faults, and judges the result."""

from __future__ import annotations

import asyncio
import contextlib
import tempfile
from collections import Counter
from collections.abc import AsyncIterator
from pathlib import Path

from ...fleet.rate_limits import RateLimits
from .client import all_requests
from .collector import collector_paused
from .fault_injection import FaultInjector
from .judge import judge
from .measurements import cross_zone_fractions, load_stats, slow_start_stats
from .network import free_block
from .report import (
    ConnectionStats,
    FleetRunResult,
    LagStats,
    ListServiceStats,
    MembershipStats,
    ZoneStats,
)
from .rig import Rig
from .scenario import CLASSES, FleetScenario

READY_TIMEOUT_S = 30.0  # The load starts when all members are ready, or after this time (DEPLOY).
QUIET_PERIOD_S = 0.3  # After the last request.
RESTARTING_FAULTS = frozenset(("kill", "term", "upgrade"))
ZONE_MOVE_LOG = "sidecar changed working zone"


@contextlib.asynccontextmanager
async def open_rig(scenario: FleetScenario) -> AsyncIterator[Rig]:
    """Yield a rig for a scenario, and remove its processes, sockets and files at the end."""
    block, reservation = free_block()
    with reservation, tempfile.TemporaryDirectory() as folder, collector_paused():
        rig = Rig(scenario, Path(folder), block)
        try:
            yield rig
        finally:
            await rig.close()


async def play(scenario: FleetScenario) -> FleetRunResult:
    """ScenarioRun a scenario once."""
    async with open_rig(scenario) as rig:
        return await ScenarioRun(rig).run()


class ScenarioRun:
    """One run of a scenario on a rig.

    Args:
        rig: Rig of which no member has been started.
    """

    def __init__(self, rig: Rig) -> None:
        self.rig = rig
        self.scenario = rig.scenario
        self.faults = FaultInjector(rig)
        self.lag = LagStats()
        self.load_began_s = 0.0

    async def run(self) -> FleetRunResult:
        """Start all members at once, run the load, inject the faults, and return the judged result."""
        rig = self.rig
        lag_task = rig.loop.create_task(rig.lag.run())
        await self._start_members()
        self.lag.start_s = rig.lag.lag_s
        if any(fault.kind in RESTARTING_FAULTS for fault in self.scenario.faults):
            await self._prepare_members()
        self.load_began_s = rig.loop.time()
        rig.lag.reset()
        await self._load_members()
        await asyncio.sleep(QUIET_PERIOD_S)
        lag_task.cancel()
        self.lag.load_s = rig.lag.lag_s
        return self._result()

    async def _prepare_members(self) -> None:
        for member in self.rig.members:
            await member.prepare()

    async def _start_members(self) -> None:
        rig = self.rig
        await self._prepare_members()
        rig.first_start_s = rig.loop.time()
        starts = [rig.loop.create_task(rig.start(number)) for number in range(len(rig.members))]
        await asyncio.wait(starts, timeout=READY_TIMEOUT_S)

    async def _load_members(self) -> None:
        """ScenarioRun the load and the faults, and wait until the membership has settled after them."""
        rig = self.rig
        sampler_task = rig.loop.create_task(rig.sampler.run()) if rig.sampler is not None else None
        load_tasks = [rig.loop.create_task(client.play()) for client in rig.clients]
        fault_tasks = [rig.loop.create_task(self.faults.inject(fault)) for fault in self.scenario.faults]
        await asyncio.sleep(self.scenario.span_s)
        for load_task in load_tasks:
            load_task.cancel()
        await asyncio.gather(*fault_tasks)
        if sampler_task is not None and rig.sampler is not None:
            await rig.sampler.wait_until_settled(RateLimits().settled_ns(len(rig.members)) / 1e9)
            sampler_task.cancel()
        for client in rig.clients:
            await client.wait_until_idle()

    def _result(self) -> FleetRunResult:
        rig, fleet = self.rig, self.scenario.fleet
        requests = list(all_requests(rig.clients))
        arrivals = rig.truth.arrivals
        arrivals_by_zone = [
            [arrival for server in zone for arrival in arrivals.get(server.name, ())] for zone in rig.servers
        ]
        started_s = {server.name: server.started_s for zone in rig.servers for server in zone}
        return FleetRunResult(
            judge(requests, arrivals, CLASSES, rig.fault_intervals, hedged=fleet.hedges),
            rig.ready_s,
            [*rig.failed_starts, *(line for line in rig.log_lines() if "Traceback" in line)],
            self.lag,
            self._list_service_stats(),
            self._connection_stats(),
            load_stats(requests, self.load_began_s, int(self.scenario.span_s) + 1),
            ZoneStats(
                cross_zone_fractions(self.scenario, requests, arrivals_by_zone, self.load_began_s),
                sum(line.count(ZONE_MOVE_LOG) for line in rig.log_lines()),
            ),
            slow_start_stats(fleet, arrivals, started_s, rig.registry.starts),
            self._membership_stats(),
        )

    def _list_service_stats(self) -> ListServiceStats:
        rig, registry = self.rig, self.rig.registry
        first_second = int(rig.first_start_s)
        list_sent_s = registry.current_list_times()
        return ListServiceStats(
            [
                registry.calls[second]
                for second in range(first_second, max(registry.calls, default=first_second) + 1)
            ],
            registry.rejected_calls,
            [
                max(at_s - max(since_s, registry.changed_s), 0.0)
                for number, since_s in rig.listening_since_s.items()
                if (at_s := list_sent_s.get(number)) is not None
            ],
        )

    def _connection_stats(self) -> ConnectionStats:
        servers = [server for zone in self.rig.servers for server in zone]
        handshakes = [sum((link.accepted for link in server.links), Counter()) for server in servers]
        return ConnectionStats(
            sum(by_second.total() for by_second in handshakes),
            max((max(by_second.values(), default=0) for by_second in handshakes), default=0),
        )

    def _membership_stats(self) -> MembershipStats:
        rig = self.rig
        stats = MembershipStats(sum(rig.datagrams.sent.values()), rig.datagrams.bytes)
        if rig.sampler is not None:
            rig.sampler.make_times_relative(self.load_began_s)
            stats.samples = rig.sampler.samples
            stats.settled_s = rig.sampler.settled_s(self.faults.end_s)
        return stats
