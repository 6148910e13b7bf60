"""The command line and the process that it starts."""

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


def good(*ports):
    servers = json.dumps([f"{HOST}:{port}" for port in ports])
    return f'[node]\nlisten = "{HOST}:0"\n[pools.a]\nservers = {servers}\n{ROUTE}'


def run_command(*arguments):
    import dykefold.cli  # noqa: F401  adds the commands

    return CliRunner().invoke(app, list(arguments))


def test_check_tells_all_that_is_wrong_and_exits_with_2(tmp_path):
    path = tmp_path / "service.toml"
    path.write_text(good(1).replace('pool = "a"', 'pool = "b"') + "colour = 3\n[pools.c]\n")
    done = run_command("check", str(path))
    assert done.exit_code == 2
    told = done.stderr.splitlines()
    assert all(line.startswith(str(path)) for line in told)
    assert len(told) == 2
    assert "routes[0].colour: unknown" in done.stderr
    assert "pools.c: expected servers or discovery" in done.stderr
    done = run_command("check", str(path), "--json")
    assert done.exit_code == 2
    assert len(json.loads(done.stdout)["problems"]) == 2


def test_check_describes_a_good_file(tmp_path):
    path = tmp_path / "service.toml"
    path.write_text(good(9001, 9002))
    done = run_command("check", str(path))
    assert done.exit_code == 0
    assert "good" in done.stdout
    assert "idempotent" in done.stdout
    told = json.loads(run_command("check", str(path), "--json").stdout)
    assert told["good"]
    assert told["pools"][0]["servers"] == 2
    assert told["routes"][0]["pool"] == "a"


def test_wrong_use_and_missing_files(tmp_path):
    assert run_command("check", str(tmp_path / "none")).exit_code == 2
    assert run_command("serve", str(tmp_path / "none")).exit_code == 2
    assert run_command("nothing").exit_code == 2
    path = tmp_path / "service.toml"
    path.write_text("[admission]\n")
    assert run_command("serve", str(path)).exit_code == 2
    assert run_command("version").exit_code == 0


def test_serve_reloads_on_sighup_keeps_a_bad_file_out_and_ends_on_sigterm(tmp_path):
    async def test():
        first, second = await FakePeer(respond_ok).start(), await FakePeer(respond_ok).start()
        path = tmp_path / "service.toml"
        path.write_text(good(first.port))
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
        seen = []

        async def line_with(part):
            while True:
                line = json.loads(await process.stderr.readline())
                seen.append(line)
                if part in line["event"]:
                    return line["event"]

        async with asyncio.timeout(30):
            port = int(re.search(r":(\d+)$", await line_with("sidecar accepts clients: name="))[1])
            assert (await send_request(port, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")).code == 200
            path.write_text(good(first.port).replace('pool = "a"', 'pool = "b"'))
            process.send_signal(signal.SIGHUP)
            assert "routes.a.pool = 'b'" in await line_with("route table rejected: problem=")
            assert (await send_request(port, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")).code == 200
            assert len(first.received) == 2
            path.write_text(good(second.port))
            process.send_signal(signal.SIGHUP)
            await line_with("sidecar replaced the route table: number=2")
            assert (await send_request(port, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")).code == 200
            assert len(second.received) == 1
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
        assert all(line["level"] in ("info", "warning") for line in seen)

    run(test())


def test_the_demonstration_s_verdict_can_fail():
    """It is computed from what the servers counted: each promise, broken, is told."""
    from standins.demo import PHASES, Tally, verdict

    def tallies(served=100):
        made = {name: Tally("GET") for name in ("catalogue", "stock", "orders")}
        for name, tally in made.items():
            for phase in PHASES:
                tally.asked[phase] = 100
                tally.served[phase] = served if (phase, name) == ("down", "orders") else 100
        return made

    def reports(twice=0, strays=0):
        counts = {"orders": 50, "orders_twice": twice, "strays": strays, "attempts": 100}
        return {name: dict(counts) for name in ("catalogue", "stock", "orders")}

    def broken(made, told):
        return [number for number, (kept, _) in enumerate(verdict(made, told)) if not kept]

    assert broken(tallies(), reports()) == []
    assert broken(tallies(), reports(twice=1)) == [0]
    assert broken(tallies(), reports(strays=1)) == [1]
    assert broken(tallies(served=80), reports()) == [4]
    slow = tallies()
    slow["catalogue"].latencies_s["down"] = [0.5] * 100
    assert broken(slow, reports()) == [3]
