"""Zones that fail under several processes of the program. See docs/design/failover.md, hard cases."""

from __future__ import annotations

import asyncio
import json

import pytest
from net_helpers import run
from process_helpers import run_valid_scenario
from typer.testing import CliRunner

from dykefold.cli import app
from dykefold.lab.fleet.membership_samples import fetch_json
from dykefold.lab.fleet.rig import VIEW_PORT, Rig
from dykefold.lab.fleet.run import rigged
from dykefold.lab.fleet.scenario import FaultTable, FleetScenario, FleetTable, ListTable

pytestmark = [pytest.mark.processes, pytest.mark.fleet]

MEMBERS = 12  # four in each zone


def scenario(faults: list[FaultTable], span_s: float, **more: object) -> FleetScenario:
    fleet = FleetTable(members=MEMBERS, rate=16.0, servers=2, view=True, failover=True, **more)  # type: ignore[arg-type]
    return FleetScenario(fleet, ListTable(late_s=10.0), faults=faults, span_s=span_s)


LOST = FaultTable("servers", at_s=2, for_s=4, of="zone:a")
CASES: dict[str, tuple[list[FaultTable], float, tuple[int, int]]] = {
    # faults, span, the least and the most moves of all members
    "a zone is lost and comes back cold, lists 10 s late": ([LOST], 12.0, (2, 12)),
    "a zone flaps": ([FaultTable("servers", at_s=2, for_s=1.5, of="zone:a", times=4)], 16.0, (1, 18)),
    "two zones are cut from each other": (
        [FaultTable("cut", at_s=2, for_s=4, of="zone:a", to="zone:b")],
        9.0,
        (0, 0),
    ),
    "a zone's sidecars hear nobody, and reach their servers": (
        [FaultTable("loss", at_s=2, for_s=5, of="zone:a")],
        9.0,
        (0, 0),
    ),
    "sidecars are killed in the middle of a change": (
        [LOST, FaultTable("kill", at_s=3.5, for_s=0.3, share=0.4)],
        11.0,
        (1, 20),
    ),
    "half of a zone's servers": (
        [FaultTable("servers", at_s=2, for_s=4, of="zone:a", share=0.5)],
        9.0,
        (0, 0),
    ),
    "calm": ([], 5.0, (0, 0)),
}


@pytest.mark.parametrize("case", CASES)
def test_sidecars_move_only_where_they_must(case: str) -> None:
    faults, span_s, (least, most) = CASES[case]
    seen = run_valid_scenario(scenario(list(faults), span_s))
    assert least <= seen.zones.moves <= most
    assert sum(seen.load.served_by_second) > 0.85 * sum(seen.load.requests_by_second)
    assert seen.slow_start.peak_capacity_load < 1.0
    if case == "calm":
        assert sum(seen.zones.cross_zone_fractions[1:-1]) < 0.02 * len(seen.zones.cross_zone_fractions[1:-1])


def test_an_evacuation_is_shown_in_the_plan_and_taken_back() -> None:
    async def wait_for_zone(rig: Rig, member: int, want: set[str]) -> dict:
        address = rig.sampler.addresses[member]  # type: ignore[union-attr]
        async with asyncio.timeout(20):
            while (plan := await fetch_json(address, "/fleet/plan"))["works_in"] not in want:
                await asyncio.sleep(0.1)
        return plan

    def write(rig: Rig, out: str) -> None:
        for member in rig.members:
            path = member.folder / "service.toml"
            text = path.read_text().partition("out =")[0].rstrip()
            path.write_text(f"{text}\nout = [{out}]\n")
            member.reload()

    async def play_it() -> None:
        async with rigged(scenario([], 1.0)) as rig:
            assert all([await rig.start(number) is not None for number in range(MEMBERS)])
            write(rig, '"a"')
            plan = await wait_for_zone(rig, 0, {"b", "c"})
            assert plan["state"] == "away"
            assert plan["cause"] == "evacuated by hand"
            at = f"{rig.sampler.addresses[0][0]}:{VIEW_PORT}"  # type: ignore[union-attr]
            shown = await asyncio.to_thread(CliRunner().invoke, app, ["fleet", "plan", "--at", at])
            assert shown.exit_code == 0
            assert "evacuated by hand" in shown.stdout
            shown = await asyncio.to_thread(CliRunner().invoke, app, ["fleet", "plan", "--at", at, "--json"])
            assert json.loads(shown.stdout)["zone"] == "a"
            write(rig, "")
            desks = [asyncio.ensure_future(desk.play()) for desk in rig.clients]
            await wait_for_zone(rig, 0, {"a"})  # nobody came home before attempts showed that home is healthy
            for desk in desks:
                desk.cancel()

    run(play_it())
