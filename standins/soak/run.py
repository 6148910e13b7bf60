"""One seeded run of the soak: usual clients, long messages, a crowd and signals, and its judgement."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from .clients import CROWDS, Connection, Outcome, ask_once
from .judge import HTTP_OK, Violation, judge
from .plans import HOLD, KB, LOOKUP, ORDER, RequestClass, RequestPlan, ServerPlan
from .platform import ROOT, SidecarPlatform
from .servers import AttemptRecord, ScriptedServer

SERVERS = 6
USUAL_CLIENTS = 6
LONG_CLIENTS = 10
CROWD_SIZE = 320  # With the other clients no more than a third of 1,024 descriptors.
LAG_INTERVAL_S = 0.02
RUN_TIMEOUT_S = 90.0
MAX_RIG_LAG_S = 0.3  # A run whose rig was later says nothing about times.


@dataclass(frozen=True, slots=True)
class Scenario:
    """What happens in one run.

    Attributes:
        seed: Seed of all random choices.
        memory_mb: Memory limit of the sidecar, in MB.
        descriptors: Descriptor limit of the sidecar.
        crowd: Kind of the crowd, a key of `CROWDS`; empty for none.
        crowd_size: Number of its members.
        upgrade: Whether a newer process takes over.
        reloads: Number of new configurations in a row.
        long_messages: Whether long answers and bodies are sent beside the usual requests.
        duration_s: Seconds of load before SIGTERM.
    """

    seed: int
    memory_mb: int = 96
    descriptors: int = 1024
    crowd: str = ""
    crowd_size: int = CROWD_SIZE
    upgrade: bool = False
    reloads: int = 0
    long_messages: bool = True
    duration_s: float = 6.0


@dataclass(slots=True)
class SoakResult:
    """Result of one run.

    Attributes:
        scenario: What was played.
        violations: Rules that were broken.
        requests: Number of judged requests.
        served: Number of them that were answered 200.
        peak_mb: Peak of the memory of all processes together, in MB.
        lag_s: Longest delay of the rig, in seconds.
        log: Logs of the processes.
    """

    scenario: Scenario
    violations: list[Violation]
    requests: int
    served: int
    peak_mb: float
    lag_s: float
    log: str = field(repr=False)

    @property
    def valid(self) -> bool:
        """Whether the rig was on time."""
        return self.lag_s <= MAX_RIG_LAG_S


def draw_scenario(seed: int) -> Scenario:
    """Return the scenario of a seed."""
    rng = random.Random(seed)
    upgrade = rng.choice([True, True, False, False, False])
    return Scenario(
        seed,
        memory_mb=rng.choice([96, 96, 128, 192] if upgrade else [48, 64, 96]),
        crowd=rng.choice([*CROWDS, "", ""]),
        upgrade=upgrade,
        reloads=rng.choice([0, 0, 3]),
    )


def usual_plan(rng: random.Random) -> RequestPlan:
    """Return a short request that servers answer quickly."""
    spec = rng.choice([LOOKUP, HOLD, ORDER])
    server = ServerPlan(size=rng.choice([20, 2 * KB, 30 * KB]), delay_s=rng.choice([0.0, 0.01, 0.05]))
    body = 0 if spec is LOOKUP else rng.choice([20, 4 * KB])
    return RequestPlan("usual", spec, spec.deadline_ms / 1000, server, body)


def long_plan(rng: random.Random) -> RequestPlan:
    """Return a request with a long answer, or with a long body that its server reads slowly or not at all."""
    spec: RequestClass = rng.choice([LOOKUP, HOLD, ORDER])
    wait_s = rng.uniform(0.6, spec.deadline_ms / 1000)
    size = rng.randrange(70 * KB, 300 * KB)
    chunked = rng.choice([True, True, False])
    match rng.choice(["steady", "lumps", "late-body", "stuck", "slow-read"]):
        case "steady":
            server = ServerPlan(size, chunked, rate=rng.randrange(60_000, 200_000))
            return RequestPlan("steady", spec, wait_s, server)
        case "lumps":
            server = ServerPlan(size, chunked, rate=rng.randrange(80_000, 250_000), piece=20 * KB)
            return RequestPlan("lumps", spec, wait_s, server)
        case "late-body":
            server = ServerPlan(
                size, chunked, first=rng.randrange(1, 60 * KB), pause_s=rng.uniform(0.3, 1.0), rate=200_000
            )
            return RequestPlan("late-body", spec, wait_s, server)
        case "stuck":
            spec = rng.choice([HOLD, ORDER])
            server = ServerPlan(stop_at=rng.randrange(8 * KB, 40 * KB))
        case _:
            spec = rng.choice([HOLD, ORDER])
            server = ServerPlan(read_rate=rng.randrange(50_000, 150_000))
    kind = "stuck" if server.stop_at >= 0 else "slow-read"
    body = rng.randrange(300 * KB, 2500 * KB)
    wait_s = rng.uniform(0.6, spec.deadline_ms / 1000)
    return RequestPlan(kind, spec, wait_s, server, body, chunked=rng.choice([True, False]))


class SoakRun:
    """One run: its rig, its clients and what they saw.

    Args:
        scenario: What happens.
        tree: Checkout whose program is run.
    """

    def __init__(self, scenario: Scenario, tree: Path = ROOT) -> None:
        self.scenario = scenario
        self.rng = random.Random(scenario.seed)
        self.attempts: list[AttemptRecord] = []
        self.servers = [ScriptedServer(f"s{number}", self.attempts) for number in range(SERVERS)]
        self.outcomes: list[Outcome] = []
        self.tree = tree
        self.lag_s = 0.0
        self.ended = False
        self.ending = False  # from SIGTERM on, long messages are not begun

    async def play(self) -> SoakResult:
        """Play the run, and judge it."""
        for server in self.servers:
            await server.start()
        platform = SidecarPlatform(
            self.servers, self.scenario.memory_mb, self.scenario.descriptors, self.tree
        )
        lag_watch = asyncio.ensure_future(self._watch_lag())
        began_s = time.monotonic()
        try:
            await platform.start()
            began_s = time.monotonic()
            async with asyncio.timeout(RUN_TIMEOUT_S):
                await self._play_on(platform)
            log = platform.logs()
        finally:
            lag_watch.cancel()
            self.ended = self.ending = True
            platform.close()
            for server in self.servers:
                server.close()
        violations = judge(self.outcomes, self.attempts, began_s, self.lag_s)
        violations += [Violation("crash", text) for text in platform.crashes]
        if platform.peak_mb > self.scenario.memory_mb:
            violations.append(Violation("memory", f"{platform.peak_mb:.1f} of {self.scenario.memory_mb} MB"))
        served = sum(outcome.status == HTTP_OK and outcome.whole for outcome in self.outcomes)
        return SoakResult(
            self.scenario, violations, len(self.outcomes), served, platform.peak_mb, self.lag_s, log
        )

    async def _watch_lag(self) -> None:
        while True:
            due_s = time.monotonic() + LAG_INTERVAL_S
            await asyncio.sleep(LAG_INTERVAL_S)
            self.lag_s = max(self.lag_s, time.monotonic() - due_s)

    async def _play_on(self, platform: SidecarPlatform) -> None:
        scenario = self.scenario
        stop = asyncio.Event()
        clients = [asyncio.ensure_future(self._usual_client(platform, stop)) for _ in range(USUAL_CLIENTS)]
        if scenario.long_messages:
            clients += [asyncio.ensure_future(self._long_client(platform)) for _ in range(LONG_CLIENTS)]
        crowd = asyncio.ensure_future(self._crowd(platform.port))
        await asyncio.sleep(0.3 * scenario.duration_s)
        for _ in range(scenario.reloads):
            platform.reload(platform.processes[-1])
            await asyncio.sleep(0.1)
        if scenario.upgrade:
            older = platform.processes[-1]
            await platform.start()
            await platform.end(older)
        await asyncio.sleep(0.7 * scenario.duration_s)
        self.ending = True
        await crowd
        await asyncio.gather(*clients[USUAL_CLIENTS:])
        await platform.end(platform.processes[-1])
        stop.set()
        await asyncio.gather(*clients)

    async def _usual_client(self, platform: SidecarPlatform, stop: asyncio.Event) -> None:
        """Send one short request after another, on an open connection for as long as it stays open."""
        connection: Connection | None = None
        rng = random.Random(self.rng.random())
        while not stop.is_set() and not self.ended:
            if connection is None:
                connection = Connection(platform.port)
                try:
                    await connection.open()
                except OSError:
                    connection = None
                    await asyncio.sleep(0.05)
                    continue
            outcome = await connection.ask(usual_plan(rng))
            if stop.is_set() and not outcome.status:
                break  # Killed as the pages allow; SIGKILL came late enough for what had been taken.
            self.outcomes.append(outcome)
            if not connection.keep:
                connection.close()
                connection = None
            await asyncio.sleep(rng.uniform(0.0, 0.05))
        if connection is not None:
            connection.close()

    async def _long_client(self, platform: SidecarPlatform) -> None:
        rng = random.Random(self.rng.random())
        while not self.ending:
            self.outcomes.append(await ask_once(platform.port, long_plan(rng)))

    async def _crowd(self, port: int) -> None:
        """Connect all members of the crowd within a moment; each of them stays for some seconds."""
        scenario = self.scenario
        if not scenario.crowd:
            return
        rng = random.Random(scenario.seed + 1)
        await asyncio.sleep(0.1 * scenario.duration_s)
        kinds: tuple[Callable[[int, random.Random, float], Awaitable[None]], ...] = CROWDS[scenario.crowd]
        stays_s = 0.8 * scenario.duration_s

        async def member(number: int) -> None:
            await asyncio.sleep(rng.uniform(0, 0.5))
            await kinds[number % len(kinds)](port, random.Random(scenario.seed * 1000 + number), stays_s)

        await asyncio.gather(*(member(number) for number in range(scenario.crowd_size)))
