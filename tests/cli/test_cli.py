"""Command line, and the process that it starts."""

import asyncio
import json
import re
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from net_helpers import HOST, FakePeer, respond_ok, run, send_request
from typer.testing import CliRunner

from dykefold.cli.app import app

pytestmark = pytest.mark.processes

ROOT = Path(__file__).parents[2]
ROUTE = '[[routes]]\nname = "a"\npool = "a"\n'


def service_file(*ports):
    servers = json.dumps([f"{HOST}:{port}" for port in ports])
    return f'[node]\nlisten = "{HOST}:0"\n[pools.a]\nservers = {servers}\n{ROUTE}'


def run_command(*arguments):
    import dykefold.cli  # noqa: F401  adds the commands to `app`

    return CliRunner().invoke(app, list(arguments))


def test_check_reports_all_problems_and_exits_with_2(tmp_path):
    path = tmp_path / "service.toml"
    path.write_text(service_file(1).replace('pool = "a"', 'pool = "b"') + "colour = 3\n[pools.c]\n")
    result = run_command("check", str(path))
    assert result.exit_code == 2
    lines = result.stderr.splitlines()
    assert all(line.startswith(str(path)) for line in lines)
    assert len(lines) == 2
    assert "routes[0].colour: unknown" in result.stderr
    assert "pools.c: expected servers or discovery" in result.stderr
    result = run_command("check", str(path), "--json")
    assert result.exit_code == 2
    assert len(json.loads(result.stdout)["problems"]) == 2


def test_check_describes_a_valid_file(tmp_path):
    path = tmp_path / "service.toml"
    path.write_text(service_file(9001, 9002))
    result = run_command("check", str(path))
    assert result.exit_code == 0
    assert "good" in result.stdout
    assert "idempotent" in result.stdout
    report = json.loads(run_command("check", str(path), "--json").stdout)
    assert report["good"]
    assert report["pools"][0]["servers"] == 2
    assert report["routes"][0]["pool"] == "a"


def test_usage_errors_and_missing_files_exit_with_2(tmp_path):
    assert run_command("check", str(tmp_path / "none")).exit_code == 2
    assert run_command("serve", str(tmp_path / "none")).exit_code == 2
    assert run_command("nothing").exit_code == 2
    path = tmp_path / "service.toml"
    path.write_text("[admission]\n")
    assert run_command("serve", str(path)).exit_code == 2
    assert run_command("version").exit_code == 0


def test_serve_reloads_on_sighup_ignores_an_invalid_file_and_stops_on_sigterm(tmp_path):
    async def run_scenario():
        first, second = await FakePeer(respond_ok).start(), await FakePeer(respond_ok).start()
        path = tmp_path / "service.toml"
        path.write_text(service_file(first.port))
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            "from dykefold.cli import main; main()",
            "serve",
            str(path),
            "--log-format",
            "json",
            cwd=ROOT,
            stderr=subprocess.PIPE,
        )
        log_lines = []

        async def next_event_with(part):
            while True:
                line = json.loads(await process.stderr.readline())
                log_lines.append(line)
                if part in line["event"]:
                    return line["event"]

        async with asyncio.timeout(30):
            port = int(re.search(r":(\d+)$", await next_event_with("sidecar accepts clients: name="))[1])
            assert (await send_request(port, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")).code == 200
            path.write_text(service_file(first.port).replace('pool = "a"', 'pool = "b"'))
            process.send_signal(signal.SIGHUP)
            assert "routes.a.pool = 'b'" in await next_event_with("route table rejected: problem=")
            assert (await send_request(port, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")).code == 200
            assert len(first.received) == 2
            path.write_text(service_file(second.port))
            process.send_signal(signal.SIGHUP)
            await next_event_with("sidecar replaced the route table: number=2")
            assert (await send_request(port, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")).code == 200
            assert len(second.received) == 1
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
        assert all(line["level"] in ("info", "warning") for line in log_lines)

    run(run_scenario())


def test_demo_verdict_reports_each_broken_promise():
    """The verdict of the demo is computed from the counts of its servers, and reports each broken promise."""
    from standins.demo import PHASES, Tally, verdict

    def make_tallies(served=100):
        tallies_by_server = {name: Tally("GET") for name in ("catalogue", "stock", "orders")}
        for name, tally in tallies_by_server.items():
            for phase in PHASES:
                tally.requests[phase] = 100
                tally.served[phase] = served if (phase, name) == ("down", "orders") else 100
        return tallies_by_server

    def make_reports(duplicate_orders=0, stray_orders=0):
        counts = {"orders": 50, "orders_twice": duplicate_orders, "strays": stray_orders, "attempts": 100}
        return {name: dict(counts) for name in ("catalogue", "stock", "orders")}

    def broken_promises(tallies_by_server, reports_by_server):
        return [
            number
            for number, (kept, _) in enumerate(verdict(tallies_by_server, reports_by_server))
            if not kept
        ]

    assert broken_promises(make_tallies(), make_reports()) == []
    assert broken_promises(make_tallies(), make_reports(duplicate_orders=1)) == [0]
    assert broken_promises(make_tallies(), make_reports(stray_orders=1)) == [1]
    assert broken_promises(make_tallies(served=80), make_reports()) == [4]
    slow = make_tallies()
    slow["catalogue"].latencies_s["down"] = [0.5] * 100
    assert broken_promises(slow, make_reports()) == [3]
