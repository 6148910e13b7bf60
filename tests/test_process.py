"""Processes: `python -m dykefold` from start to SIGTERM, and the start of the adapter."""

import asyncio
import contextlib
import json
import os
import signal
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st
from net_helpers import (
    HOST,
    MS,
    FakePeer,
    Sidecar,
    config,
    endpoint_entry,
    http_response,
    list_update,
    read_message,
    request_message,
    respond_ok,
    run,
    send_request,
    wait_until,
)
from process_helpers import SidecarProcess

from dykefold.net.shutdown import shutdown_times
from dykefold.settings import nested_settings, parse_settings

pytestmark = pytest.mark.processes

ROOT = Path(__file__).parent.parent
READY = b"GET /-/ready HTTP/1.1\r\n\r\n"


def test_graceful_shutdown_answers_pending_and_late_requests(tmp_path):
    async def run_scenario():
        async def respond_when_released(message, reader, writer):
            if message.headers["x-request-id"] == "pending":
                await release.wait()
            writer.write(http_response(200, b"served"))

        release = asyncio.Event()
        endpoint = await FakePeer(respond_when_released).start()
        async with SidecarProcess(
            tmp_path / "c", config(list_update(1, endpoint_entry("s1", endpoint.address)))
        ) as sidecar:
            response = await send_request(sidecar.port, READY)
            assert response.code == 200
            assert "connection" not in response.headers
            idle_reader, idle_writer = await asyncio.open_connection(HOST, sidecar.port)
            used_reader, used_writer = await asyncio.open_connection(HOST, sidecar.port)
            pending_reader, pending_writer = await asyncio.open_connection(HOST, sidecar.port)
            pending_writer.write(request_message("order", "pending"))
            await wait_until(lambda: endpoint.received)
            sidecar.process.send_signal(signal.SIGTERM)
            assert (await send_request(sidecar.port, READY)).code == 503
            assert (await send_request(sidecar.port, request_message("order", "new"))).code == 200
            loop = asyncio.get_running_loop()
            started_s, served = loop.time(), 0
            while loop.time() < started_s + 1.0:  # long after new connections are no longer accepted
                used_writer.write(request_message("order", f"used{served}"))
                response = await read_message(used_reader)
                assert response.code == 200
                assert "connection" not in response.headers
                served += 1
                await asyncio.sleep(0.02)
            assert await used_reader.read() == b""
            assert await idle_reader.read() == b""  # closed when no more requests are accepted
            with pytest.raises(OSError):
                await asyncio.open_connection(HOST, sidecar.port)
            assert sidecar.process.returncode is None
            release.set()
            assert (await read_message(pending_reader)).code == 200
            assert await pending_reader.read() == b""
            assert await sidecar.process.wait() == 0
            assert b"Traceback" not in await sidecar.log
            for writer in (idle_writer, used_writer, pending_writer):
                writer.close()

    run(run_scenario())


@given(st.floats(min_value=0.3, max_value=60.0))
def test_shutdown_ends_before_the_platform_may_kill(longest_deadline_s):
    """Guards against requests accepted until 2.3 s after SIGTERM, which are lost when the platform kills."""
    accept_until_s, answer_until_s, stop_after_s = shutdown_times(longest_deadline_s)
    assert 0.5 <= accept_until_s < stop_after_s
    assert answer_until_s < stop_after_s
    assert stop_after_s <= min(longest_deadline_s, 3.0) + 0.65


def test_continuing_requests_are_answered_before_the_platform_may_kill(tmp_path):
    """With silent endpoints and deadlines of 1 s, the platform may kill the process after 1.7 s."""

    async def run_scenario():
        async def read_until_closed(message, reader, writer):
            await reader.read()

        endpoint = await FakePeer(read_until_closed).start()
        data = config(list_update(1, endpoint_entry("s1", endpoint.address)))
        for spec in data["settings"]["classes"]:
            spec["deadline-ns"] = 1000 * MS
        async with SidecarProcess(tmp_path / "c", data) as sidecar:
            sent = answered = 0

            async def run_client(client_number):
                nonlocal sent, answered
                reader, writer = await asyncio.open_connection(HOST, sidecar.port)
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    for count in range(100_000):
                        writer.write(request_message("order", f"{client_number}-{count}", "200m"))
                        sent += 1
                        await read_message(reader)
                        answered += 1
                writer.close()

            clients = [asyncio.create_task(run_client(client_number)) for client_number in range(8)]
            await wait_until(lambda: answered > 8)
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            sidecar.process.send_signal(signal.SIGTERM)
            assert await sidecar.process.wait() == 0
            assert loop.time() - started_s < 1.7
            await asyncio.gather(*clients)
            # The last message of each connection may cross its close: it was not accepted, so it is not lost.
            assert sent - answered <= 8
            assert b"Traceback" not in await sidecar.log

    run(run_scenario())


def test_request_with_long_deadline_is_answered_before_the_platform_may_kill(tmp_path):
    """Guards requests whose deadline is later than the time at which the platform kills the process."""

    async def run_scenario():
        async def read_until_closed(message, reader, writer):
            await reader.read()

        endpoint = await FakePeer(read_until_closed).start()
        async with SidecarProcess(
            tmp_path / "c", config(list_update(1, endpoint_entry("s1", endpoint.address)))
        ) as sidecar:
            pending = asyncio.create_task(
                send_request(sidecar.port, request_message("order", "pending", "30000m"))
            )
            await wait_until(lambda: endpoint.received)
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            sidecar.process.send_signal(signal.SIGTERM)
            assert (await pending).code == 502
            assert await sidecar.process.wait() == 0
            assert loop.time() - started_s < 3.7

    run(run_scenario())


def test_sidecar_serves_again_after_running_out_of_descriptors(tmp_path):
    async def run_scenario():
        endpoint = await FakePeer(respond_ok).start()
        # The sidecar assumes 1,024 descriptors; the process gets far fewer.
        data = config(list_update(1, endpoint_entry("s1", endpoint.address)))
        async with SidecarProcess(tmp_path / "c", data, max_descriptors=40) as sidecar:
            assert (await send_request(sidecar.port, request_message("lookup", "before"))).code == 200
            connections = []
            for _ in range(60):
                connections.append(await asyncio.open_connection(HOST, sidecar.port))
            for _, writer in connections:
                writer.close()

            async def is_served():
                try:
                    return (await send_request(sidecar.port, request_message("lookup", "after"))).code == 200
                except (OSError, asyncio.IncompleteReadError):
                    return False

            while not await is_served():
                await asyncio.sleep(0.02)
            assert sidecar.process.returncode is None

    run(run_scenario())


@pytest.mark.parametrize(
    "change",
    [
        {"seed": "no hex"},
        {"listen": "nowhere"},
        {"discovery": None},
        {"settings": 7},
        {"settings": {}},
        {"known": {"index": 1}},
        {"listen": "192.0.2.1:80"},
        "no json",
        "[]",
        None,
    ],
    ids=str,
)
def test_invalid_configuration_exits_with_one_line(tmp_path, change):
    path = tmp_path / "c"
    env = {**os.environ, "GW_CONFIG": str(path)}
    if isinstance(change, str):
        path.write_text(change)
    elif change is None:
        del env["GW_CONFIG"]
    else:
        path.write_text(json.dumps({**config(list_update(1)), **change}))
    result = subprocess.run(
        [sys.executable, "-m", "dykefold"], cwd=ROOT, env=env, capture_output=True, timeout=60, check=False
    )
    assert result.returncode not in (0, None)
    assert result.stderr.startswith(b"dykefold: ")
    assert result.stderr.count(b"\n") == 1


def test_sidecar_is_ready_while_discovery_is_down(tmp_path):
    async def run_scenario():
        endpoint = await FakePeer(respond_ok).start()
        async with Sidecar(
            tmp_path / "c", config(list_update(1, endpoint_entry("s1", endpoint.address)), f"{HOST}:9")
        ) as sidecar:
            assert (await send_request(sidecar.port, READY)).code == 200
            assert (await send_request(sidecar.port, request_message("order", "ab"))).code == 200

    run(run_scenario())


def test_deploy_file_starts_the_adapter():
    deploy = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())
    batch = bytes.fromhex("0c00000090bf68f50100000000000000")
    result = subprocess.run(
        ["/bin/sh", "-c", deploy["sim"]], cwd=ROOT, input=batch, capture_output=True, timeout=60, check=False
    )
    assert (result.returncode, result.stdout, result.stderr) == (0, bytes(8), b"")
    for path in [*deploy["policy"], *deploy["node"]]:
        assert (ROOT / path).exists()


def test_flat_and_nested_settings_are_equal():
    text = """\
ceilings.cancel=true
ceilings.send-cap=3
classes.count=1
classes.0.deadline-ns=1000000000
classes.0.name=lookup
classes.0.repeat=pure
dcs=a,b
goal.worst-class=0.3
accounts.count=1
accounts.0.name=acme
accounts.0.allowance-per-s=10.0
accounts.0.share=0.5
telemetry.columns=rps,cpu
telemetry.how=piggyback
"""
    nested = {
        "ceilings": {"cancel": True, "send-cap": 3},
        "classes": [{"deadline-ns": 1_000_000_000, "name": "lookup", "repeat": "pure"}],
        "dcs": ["a", "b"],
        "goal": {"worst-class": 0.3},
        "accounts": [{"name": "acme", "allowance-per-s": 10.0, "share": 0.5}],
        "telemetry": {"columns": ["rps", "cpu"], "how": "piggyback"},
    }
    assert nested_settings(nested) == parse_settings(text)


def test_reload_switches_discovery_and_keeps_serving(tmp_path):
    """Guards against a process that SIGHUP terminates.

    A reload polls the complete list of the new discovery, closes the watch of the old one and ignores invalid
    files.
    """

    async def run_scenario():
        async def old_watch(message, reader, writer):
            await reader.read()  # watch that stays open
            old_watch_closed.set()

        async def new_watch(message, reader, writer):
            if len(new_discovery.received) > 1:
                await reader.read()
            else:  # index far below that of the old discovery
                writer.write(
                    http_response(
                        200, json.dumps(list_update(2, endpoint_entry("s2", new_endpoint.address))).encode()
                    )
                )

        old_watch_closed = asyncio.Event()
        old_endpoint = await FakePeer(respond_ok).start()
        new_endpoint = await FakePeer(respond_ok).start()
        old_discovery, new_discovery = await FakePeer(old_watch).start(), await FakePeer(new_watch).start()
        data = config(list_update(900, endpoint_entry("s1", old_endpoint.address)), old_discovery.address)
        async with SidecarProcess(tmp_path / "c", data) as sidecar:
            await wait_until(lambda: old_discovery.received)
            sidecar.config_path.write_text("{")
            sidecar.process.send_signal(signal.SIGHUP)
            assert (await send_request(sidecar.port, request_message("order", "a1"))).code == 200
            assert len(old_endpoint.received) == 1
            sidecar.config_path.write_text(json.dumps({**data, "discovery": new_discovery.address}))
            for _ in range(50):
                sidecar.process.send_signal(signal.SIGHUP)
            await old_watch_closed.wait()
            await wait_until(lambda: len(new_discovery.received) == 2)
            assert new_discovery.received[0].start_line == "GET /api/targets HTTP/1.1"
            assert "after=2&" in new_discovery.received[1].start_line
            assert (await send_request(sidecar.port, request_message("order", "a2"))).code == 200
            assert len(new_endpoint.received) == 1
            sidecar.process.send_signal(signal.SIGTERM)
            sidecar.process.send_signal(signal.SIGHUP)
            assert await sidecar.process.wait() == 0
            log = await sidecar.log
            assert b"Traceback" not in log
            assert len(old_discovery.received) == 1
            assert log.count(b"configuration rejected: problem=") in (0, 1)
            assert log.count(b"discovery address changed to") == 1

    run(run_scenario())


def test_invalid_operators_file_exits_with_2_and_names_the_problem(tmp_path):
    config_path, service_path = tmp_path / "c", tmp_path / "service.toml"
    config_path.write_text(json.dumps(config(list_update(1))))
    service_path.write_text("[admission]\nreserve = -1\n")
    environment = {**os.environ, "GW_CONFIG": str(config_path), "DYKEFOLD_SERVICE": str(service_path)}
    result = subprocess.run(
        [sys.executable, "-m", "dykefold"], cwd=ROOT, env=environment, capture_output=True, text=True
    )
    assert result.returncode == 2
    assert "admission.reserve = -1" in result.stderr


def test_platform_process_imports_no_libraries_for_operators(tmp_path):
    """Guards the platform's memory limit, which can be as low as 32 MB."""
    config_path = tmp_path / "c"
    config_path.write_text(json.dumps(config(list_update(1))))
    code = (
        "import sys, dykefold.__main__ as program; program.read_config(sys.argv[1]);"
        "print([name for name in sys.modules if name.split('.')[0] in"
        " ('msgspec', 'tomllib', 'typer', 'click', 'rich', 'structlog')"
        " or name == 'dykefold.service_config' or name.startswith(('dykefold.routing', 'dykefold.cli'))])"
    )
    result = subprocess.run(
        [sys.executable, "-c", code, str(config_path)], cwd=ROOT, capture_output=True, text=True
    )
    assert result.stdout.strip() == "[]", result.stderr
