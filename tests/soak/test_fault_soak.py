"""Slow, stuck and greedy peers, with real processes: lost, late and cut-off answers, and memory."""

import asyncio
import time

import pytest
import uvloop

from standins.soak.clients import CROWDS, ask_once
from standins.soak.judge import judge
from standins.soak.plans import HOLD, KB, LOOKUP, ORDER, RequestPlan, ServerPlan
from standins.soak.platform import SidecarPlatform
from standins.soak.run import MAX_RIG_LAG_S, Scenario, SoakRun, draw_scenario
from standins.soak.servers import ScriptedServer

pytestmark = [pytest.mark.processes, pytest.mark.fleet]

FLOWING_ANSWERS = {
    "steady": ServerPlan(size=100 * KB, chunked=True, rate=75_000),
    "lumps": ServerPlan(size=150 * KB, chunked=True, rate=90_000, piece=20 * KB),
    "late-body": ServerPlan(size=100 * KB, chunked=True, first=15 * KB, pause_s=0.85, rate=200_000),
}
BODIES = {
    "stuck-length": (ServerPlan(stop_at=17 * KB), False),
    "stuck-chunked": (ServerPlan(stop_at=27 * KB), True),
    "slow-length": (ServerPlan(read_rate=78_000), False),
    "slow-chunked": (ServerPlan(read_rate=78_000), True),
}
SEEDS = (1, 2, 3)


def ask_all(plans):
    """Send requests at once to a sidecar of two servers; return the broken rules and the statuses."""

    async def play():
        attempts = []
        servers = [ScriptedServer(f"s{number}", attempts) for number in range(2)]
        for server in servers:
            await server.start()
        platform = SidecarPlatform(servers, memory_mb=96, descriptors=1024)
        try:
            await platform.start()
            began_s = time.monotonic()
            outcomes = await asyncio.gather(*(ask_once(platform.port, plan) for plan in plans))
            return judge(outcomes, attempts, began_s, lag_s=0.0), [outcome.status for outcome in outcomes]
        finally:
            platform.close()
            for server in servers:
                server.close()

    return uvloop.run(play())


@pytest.mark.parametrize("spec", [LOOKUP, HOLD, ORDER], ids=lambda spec: spec.name)
@pytest.mark.parametrize("kind", FLOWING_ANSWERS)
def test_answer_that_flows_at_its_deadline_is_not_cut_off(kind, spec):
    """Guards against chunked answers of over 64 KiB that are given up at their deadline while they flow."""
    violations, statuses = ask_all(
        [RequestPlan(kind, spec, wait_s, FLOWING_ANSWERS[kind]) for wait_s in (0.6, 0.75, 2.0)]
    )
    assert not violations
    assert statuses == [200, 200, 200]


@pytest.mark.parametrize("kind", BODIES)
def test_answer_comes_in_time_while_the_server_does_not_read_the_body(kind):
    """Guards against final answers that wait for a server to read a body which its client has sent."""
    server, chunked = BODIES[kind]
    violations, _ = ask_all(
        [
            RequestPlan(kind, spec, wait_s, server, body, chunked)
            for spec, wait_s in ((HOLD, 0.6), (ORDER, 1.2))
            for body in (400 * KB, 2000 * KB, 4000 * KB)
        ]
    )
    assert not violations


@pytest.mark.parametrize("chunked", [False, True], ids=["length", "chunked"])
def test_shutdown_does_not_cut_off_answers_that_end_before_the_kill(chunked):
    """Guards against long answers that a graceful shutdown ends while the platform leaves them time."""
    answer = ServerPlan(size=256 * KB, chunked=chunked, rate=256 * KB * 10 // 34)  # Takes 3.4 s.

    async def play():
        servers = [ScriptedServer("s0", [])]
        await servers[0].start()
        platform = SidecarPlatform(servers, memory_mb=96, descriptors=1024)
        try:
            process = await platform.start()
            plan = RequestPlan("long", ORDER, 2.0, answer)
            asked = [asyncio.ensure_future(ask_once(platform.port, plan)) for _ in range(10)]
            await asyncio.sleep(0.05)
            await platform.end(process)
            return await asyncio.gather(*asked)
        finally:
            platform.close()
            servers[0].close()

    assert all(outcome.whole and outcome.status == 200 for outcome in uvloop.run(play()))


def test_many_bodies_at_once_that_no_server_reads_are_answered_in_time():
    """Guards against a deadline that starts when the sidecar, not the client, is done with the body."""
    plan = RequestPlan("stuck", ORDER, 1.0, ServerPlan(stop_at=17 * KB), body=1500 * KB)
    violations, _ = ask_all([plan] * 60)
    assert not violations


@pytest.mark.parametrize("crowd", CROWDS)
@pytest.mark.parametrize(("memory_mb", "upgrade"), [(32, False), (96, True)], ids=["least", "upgrade"])
def test_crowd_of_slow_clients_keeps_the_processes_within_their_memory(crowd, memory_mb, upgrade):
    """Guards against hundreds of slow or stuck clients that take a sidecar over its memory limit."""
    scenario = Scenario(1, memory_mb, crowd=crowd, upgrade=upgrade, long_messages=False, duration_s=4.0)
    result = uvloop.run(SoakRun(scenario).play())
    assert not [violation for violation in result.violations if violation.rule in ("memory", "crash")]


@pytest.mark.parametrize("seed", SEEDS)
def test_seeded_soak_breaks_no_rule(seed):
    """Guards the rules on lost and repeated requests under faults that come together."""
    result = uvloop.run(SoakRun(draw_scenario(seed)).play())
    assert result.lag_s <= MAX_RIG_LAG_S, "the rig was late"
    assert not result.violations


def test_scenarios_of_a_seed_are_equal():
    assert draw_scenario(7) == draw_scenario(7)
    assert {draw_scenario(seed).crowd for seed in range(50)} >= set(CROWDS)
