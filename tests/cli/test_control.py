"""`dykefold control` against a real sidecar's admin API."""

import asyncio
import json

import pytest
from net_helpers import HOST, FakePeer, config, endpoint_entry, list_update, respond_ok, run
from process_helpers import SidecarProcess
from test_cli import run_command

pytestmark = pytest.mark.processes


def test_control_commands_return_exit_codes_and_json(tmp_path):
    async def run_scenario():
        endpoint = await FakePeer(respond_ok).start()
        data = config(list_update(1, endpoint_entry("s:1/a", endpoint.address)), control=f"{HOST}:0")
        async with SidecarProcess(tmp_path / "c", data, TMPDIR=str(tmp_path)) as sidecar:

            async def run_control(*arguments):
                return await asyncio.to_thread(
                    run_command, "control", *arguments, "--at", f"{HOST}:{sidecar.admin_port}"
                )

            result = await run_control("health")
            assert result.exit_code == 0
            assert result.stdout == "ok\n"
            assert (await run_control("maint", "s:1/a")).exit_code == 0
            assert (await run_control("ready", "s:1/a")).exit_code == 0
            result = await run_control("maint", "nobody")
            assert result.exit_code == 1
            assert "no such server" in result.stderr
            report = json.loads((await run_control("maint", "nobody", "--json")).stdout)
            assert report["code"] == 404
            assert not report["yes"]
            assert report["server"] == "nobody"
            admin_port = sidecar.admin_port
        result = await asyncio.to_thread(
            run_command, "control", "health", "--json", "--at", f"{HOST}:{admin_port}"
        )
        assert result.exit_code == 1
        assert json.loads(result.stdout)["code"] is None

    run(run_scenario())


@pytest.mark.parametrize(
    "arguments", [("health", "--at", "nowhere"), ("maint", "--at", "127.0.0.1:1"), ("out",)]
)
def test_usage_error_exits_with_2(arguments):
    assert run_command("control", *arguments).exit_code == 2


def test_environment_variable_sets_the_address_of_the_admin_api(monkeypatch):
    monkeypatch.setenv("GW_CONTROL", "127.0.0.1:1")
    assert run_command("control", "health").exit_code == 1
