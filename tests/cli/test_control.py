"""`dykefold control` against a real sidecar's admin API."""

import asyncio
import json

import pytest
from net_helpers import HOST, FakePeer, config, endpoint_entry, list_update, respond_ok, run
from process_helpers import SidecarProcess
from test_cli import run_command

pytestmark = pytest.mark.processes


def test_calls_their_exit_codes_and_their_json(tmp_path):
    async def scene():
        fake = await FakePeer(respond_ok).start()
        data = config(list_update(1, endpoint_entry("s:1/a", fake.address)), control=f"{HOST}:0")
        async with SidecarProcess(tmp_path / "c", data, TMPDIR=str(tmp_path)) as sidecar:

            async def call(*arguments):
                return await asyncio.to_thread(
                    run_command, "control", *arguments, "--at", f"{HOST}:{sidecar.admin_port}"
                )

            done = await call("health")
            assert done.exit_code == 0
            assert done.stdout == "ok\n"
            assert (await call("maint", "s:1/a")).exit_code == 0
            assert (await call("ready", "s:1/a")).exit_code == 0
            done = await call("maint", "nobody")
            assert done.exit_code == 1
            assert "no such server" in done.stderr
            told = json.loads((await call("maint", "nobody", "--json")).stdout)
            assert told["code"] == 404
            assert not told["yes"]
            assert told["server"] == "nobody"
            admin_port = sidecar.admin_port
        done = await asyncio.to_thread(
            run_command, "control", "health", "--json", "--at", f"{HOST}:{admin_port}"
        )
        assert done.exit_code == 1
        assert json.loads(done.stdout)["code"] is None

    run(scene())


@pytest.mark.parametrize(
    "arguments", [("health", "--at", "nowhere"), ("maint", "--at", "127.0.0.1:1"), ("out",)]
)
def test_wrong_use_ends_with_2(arguments):
    assert run_command("control", *arguments).exit_code == 2


def test_environment_variable_names_the_admin_api(monkeypatch):
    monkeypatch.setenv("GW_CONTROL", "127.0.0.1:1")
    assert run_command("control", "health").exit_code == 1
