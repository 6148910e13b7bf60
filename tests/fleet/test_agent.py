"""Membership of sidecar processes: admin API, renumbering, and the `[fleet]` table of the operator's file."""

from __future__ import annotations

import asyncio
import json
import signal

import pytest
from net_helpers import run
from typer.testing import CliRunner

from dykefold.cli import app
from dykefold.fleet.options import FleetOptions
from dykefold.lab.fleet.membership_samples import fetch_json
from dykefold.lab.fleet.rig import MEMBERSHIP_PORT
from dykefold.lab.fleet.run import open_rig
from dykefold.lab.fleet.scenario import FleetScenario, FleetTable
from dykefold.service_config import ServiceError, read_service


def fleet_view(*arguments: str):
    return CliRunner().invoke(app, ["fleet", "view", *arguments])


@pytest.mark.processes
@pytest.mark.fleet
def test_admin_api_reports_members_and_causes_of_changes() -> None:
    async def scenario() -> None:
        async with open_rig(FleetScenario(FleetTable(members=3, servers=2, view=True))) as rig:
            processes = [await rig.start(number) for number in range(3)]
            assert all(process is not None for process in processes)
            first = processes[0]
            assert first is not None
            await first.wait_for_line(r"member 1 is alive, was unknown: .* \(incarnation \d+\)")
            admin_address = f"{rig.sampler.addresses[0][0]}:{MEMBERSHIP_PORT}"  # type: ignore[union-attr]

            async def membership() -> dict:
                result = await asyncio.to_thread(fleet_view, "--at", admin_address, "--json")
                assert result.exit_code == 0
                return json.loads(result.stdout)

            async with asyncio.timeout(20):
                while (await membership())["live"] < 3:
                    await asyncio.sleep(0.1)
            last = processes[2]
            assert last is not None
            last.terminate()
            await last.wait_until_ended()
            await first.wait_for_line(r"member 2 is left, was \w+: ")
            report = await membership()
            assert [member["state"] for member in report["members"]] == ["alive", "alive", "left"]
            assert [member["zone"] for member in report["members"]] == [0, 1, 2]
            assert not report["alone"]
            result = await asyncio.to_thread(fleet_view, "--at", admin_address)
            assert result.exit_code == 0
            assert "2 live" in result.stdout
            assert "member 2 is left" in " ".join(result.stdout.split())
            with pytest.raises(ValueError, match="404"):
                await fetch_json(rig.sampler.addresses[0], "/servers/x/maint")  # type: ignore[union-attr]

    run(scenario())


@pytest.mark.processes
@pytest.mark.fleet
def test_members_renumbered_by_sighup_stay_live() -> None:
    async def scenario() -> None:
        async with open_rig(FleetScenario(FleetTable(members=3, servers=2, view=True))) as rig:
            processes = [await rig.start(number) for number in range(3)]
            await rig.members[0].processes[0].wait_for_line("member 2 is alive")
            await rig.members[2].processes[0].wait_for_line("member 0 is alive")
            # The last two addresses are swapped; the members apply the new list one after the other.
            peers = rig.datagrams.addresses()
            peers = [peers[0], peers[2], peers[1]]
            for number, new_number in ((0, 0), (1, 2), (2, 1)):
                member = rig.members[number]
                data = json.loads((member.folder / "config0.json").read_text())
                data["peers"] = peers
                data["settings"]["index"] = new_number
                (member.folder / "config0.json").write_text(json.dumps(data))
                process = processes[number]
                assert process is not None
                process.signal(signal.SIGHUP)
                await asyncio.sleep(1.0)
            summaries = [await fetch_json(address, "/fleet/brief") for address in rig.sampler.addresses]  # type: ignore[union-attr]
            assert [summary["live"] for summary in summaries] == ["7"] * 3
            assert [summary["member"] for summary in summaries] == [0, 2, 1]
            # An address list without this member is logged and ignored.
            path = rig.members[0].folder / "config0.json"
            path.write_text(json.dumps({**json.loads(path.read_text()), "peers": []}))
            rig.members[0].processes[0].signal(signal.SIGHUP)
            await (
                rig.members[0]
                .processes[0]
                .wait_for_line("membership keeps its addresses: member 0 is not among 0 peers")
            )
            assert (await fetch_json(rig.sampler.addresses[0], "/fleet/brief"))["live"] == "7"  # type: ignore[union-attr]
            assert not any("is gone" in line for member in rig.members for line in member.processes[0].lines)

    run(scenario())


def test_fleet_view_exit_code_distinguishes_invalid_address_from_refused_connection() -> None:
    assert fleet_view("--at", "nowhere").exit_code == 2
    assert fleet_view("--at", "127.0.0.1:1").exit_code == 1


def test_all_errors_in_fleet_table_are_reported(tmp_path) -> None:
    path = tmp_path / "service.toml"
    path.write_text('[fleet]\nview = 3\nlisten = "here"\nport = 1\n[pools.a]\n')
    with pytest.raises(ServiceError) as error:
        read_service(str(path))
    problems = " ".join(error.value.problems)
    for expected in ("fleet.view", "fleet.port", "fleet.listen", "no meaning beside pools"):
        assert expected in problems, problems
    path.write_text('[fleet]\nview = true\nlisten = "127.0.0.1:9100"\n')
    assert read_service(str(path)).fleet == FleetOptions(True, ("127.0.0.1", 9100))
    path.write_text("")
    assert read_service(str(path)).fleet == FleetOptions()
