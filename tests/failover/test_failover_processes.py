"""Zone failures with several sidecar processes. See docs/design/failover.md, hard cases."""

from __future__ import annotations

import asyncio
import json

import pytest
from net_helpers import run
from process_helpers import run_valid_scenario
from typer.testing import CliRunner

from dykefold.cli import app
from dykefold.lab.fleet.membership_samples import fetch_json
from dykefold.lab.fleet.rig import MEMBERSHIP_PORT, Rig
from dykefold.lab.fleet.run import open_rig
from dykefold.lab.fleet.scenario import FaultTable, FleetScenario, FleetTable, ListTable

pytestmark = [pytest.mark.processes, pytest.mark.fleet]

MEMBERS = 12  # Four in each zone.


def scenario(faults: list[FaultTable], span_s: float, **options: object) -> FleetScenario:
    fleet = FleetTable(members=MEMBERS, rate=16.0, servers=2, view=True, failover=True, **options)  # type: ignore[arg-type]
    return FleetScenario(fleet, ListTable(late_s=10.0), faults=faults, span_s=span_s)


ZONE_DOWN = FaultTable("servers", at_s=2, for_s=4, of="zone:a")
CASES: dict[str, tuple[list[FaultTable], float, tuple[int, int]]] = {
    # Faults, duration in seconds, minimum and maximum number of moves of all members.
    "zone fails and restarts, endpoint lists 10 s late": ([ZONE_DOWN], 12.0, (2, 12)),
    "zone flaps": ([FaultTable("servers", at_s=2, for_s=1.5, of="zone:a", times=4)], 16.0, (1, 18)),
    "network partition between two zones": (
        [FaultTable("cut", at_s=2, for_s=4, of="zone:a", to="zone:b")],
        9.0,
        (0, 0),
    ),
    "sidecars of a zone lose gossip but reach their endpoints": (
        [FaultTable("loss", at_s=2, for_s=5, of="zone:a")],
        9.0,
        (0, 0),
    ),
    "sidecars are killed during a move": (
        [ZONE_DOWN, FaultTable("kill", at_s=3.5, for_s=0.3, share=0.4)],
        11.0,
        (1, 20),
    ),
    "half of the endpoints of a zone fail": (
        [FaultTable("servers", at_s=2, for_s=4, of="zone:a", share=0.5)],
        9.0,
        (0, 0),
    ),
    "no fault": ([], 5.0, (0, 0)),
}


@pytest.mark.parametrize("case", CASES)
def test_zone_faults_move_expected_number_of_sidecars(case: str) -> None:
    faults, span_s, (min_moves, max_moves) = CASES[case]
    result = run_valid_scenario(scenario(list(faults), span_s))
    assert min_moves <= result.zones.moves <= max_moves
    assert sum(result.load.served_by_second) > 0.85 * sum(result.load.requests_by_second)
    assert result.slow_start.peak_capacity_load < 1.0
    if case == "no fault":
        assert sum(result.zones.cross_zone_fractions[1:-1]) < 0.02 * len(
            result.zones.cross_zone_fractions[1:-1]
        )


def test_evacuation_is_reported_in_plan_and_reverted() -> None:
    async def wait_for_zone(rig: Rig, member: int, expected_zones: set[str]) -> dict:
        address = rig.sampler.addresses[member]  # type: ignore[union-attr]
        async with asyncio.timeout(20):
            while (plan := await fetch_json(address, "/fleet/plan"))["works_in"] not in expected_zones:
                await asyncio.sleep(0.1)
        return plan

    def write(rig: Rig, out: str) -> None:
        for member in rig.members:
            path = member.folder / "service.toml"
            text = path.read_text().partition("out =")[0].rstrip()
            path.write_text(f"{text}\nout = [{out}]\n")
            member.reload()

    async def play_evacuation() -> None:
        async with open_rig(scenario([], 1.0)) as rig:
            assert all([await rig.start(number) is not None for number in range(MEMBERS)])
            write(rig, '"a"')
            plan = await wait_for_zone(rig, 0, {"b", "c"})
            assert plan["state"] == "away"
            assert plan["cause"] == "evacuated by hand"
            at = f"{rig.sampler.addresses[0][0]}:{MEMBERSHIP_PORT}"  # type: ignore[union-attr]
            output = await asyncio.to_thread(CliRunner().invoke, app, ["fleet", "plan", "--at", at])
            assert output.exit_code == 0
            assert "evacuated by hand" in output.stdout
            output = await asyncio.to_thread(CliRunner().invoke, app, ["fleet", "plan", "--at", at, "--json"])
            assert json.loads(output.stdout)["zone"] == "a"
            write(rig, "")
            load_tasks = [asyncio.ensure_future(client.play()) for client in rig.clients]
            await wait_for_zone(rig, 0, {"a"})  # Without load no attempt shows that home is healthy.
            for task in load_tasks:
                task.cancel()

    run(play_evacuation())
