"""Runs a scenario on loopback: emulator, sidecar and load generator are separate processes."""

from __future__ import annotations

import contextlib
import json
import os
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from pathlib import Path

from .judge import RunResult, judge
from .process import StartError, listening
from .scenario import Scenario, read_scenario

DESCRIPTORS = 4096  # Value of `descriptors` in the sidecar's file.
DIRECT = "direct"  # Load is sent directly to the first server, without a sidecar.


class RunError(Exception):
    """A process of the run exited early.

    Args:
        problem: Name of the process, and its exit code or latest log lines.
    """

    def __init__(self, problem: str) -> None:
        super().__init__(problem)


def play(path: Path, through: str = "dykefold") -> RunResult:
    """Run a scenario file once.

    Args:
        path: Path of the scenario file.
        through: `dykefold` to send load through a sidecar, or `direct` to send it to the first server.

    Raises:
        ServiceError: The file is invalid.
        RunError: A process exited early.
    """
    scenario = read_scenario(str(path))
    with contextlib.ExitStack() as stack:
        emulator = stack.enter_context(_start_process(["-m", "dykefold.lab.emulator", str(path)]))
        ports = json.loads(_read_line(emulator, "emulator"))
        if through == DIRECT:
            port = next(iter(ports.values()))
        else:
            port = stack.enter_context(_start_sidecar(scenario, list(ports.values())))
        of = scenario.load.processes
        loads = [
            stack.enter_context(
                _start_process(["-m", "dykefold.lab.load", str(path), str(port), str(index), str(of)])
            )
            for index in range(of)
        ]
        for load in loads:
            _read_line(load, "load")
        for process in (emulator, *loads):
            assert process.stdin is not None
            process.stdin.write(b"go\n")
            process.stdin.flush()
        reports = [json.loads(_read_line(load, "load")) for load in loads]
        assert emulator.stdin is not None
        emulator.stdin.close()
        truth = json.loads(_read_line(emulator, "emulator"))["arrivals"]
    return judge(scenario, reports, truth)


@contextlib.contextmanager
def _start_process(arguments: list[str]) -> Iterator[subprocess.Popen[bytes]]:
    process = subprocess.Popen([sys.executable, *arguments], stdin=subprocess.PIPE, stdout=subprocess.PIPE)
    try:
        yield process
    finally:
        process.kill()
        process.wait()
        for pipe in (process.stdin, process.stdout):
            if pipe is not None:
                with contextlib.suppress(BrokenPipeError):
                    pipe.close()


def _read_line(process: subprocess.Popen[bytes], name: str) -> bytes:
    assert process.stdout is not None
    line = process.stdout.readline()
    if not line:
        problem = f"the {name} process exited early with exit code {process.wait()}"
        raise RunError(problem)
    return line


@contextlib.contextmanager
def _start_sidecar(scenario: Scenario, ports: list[int]) -> Iterator[int]:
    """Start a sidecar for the servers at these ports, and yield the port on which it listens."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "service.toml"
        path.write_text(service_file(scenario, ports))
        environment = {name: value for name, value in os.environ.items() if name != "GW_CONFIG"}
        try:
            with listening(["serve", str(path)], environment) as started:
                yield started.port
        except StartError as error:
            raise RunError(str(error)) from None


def service_file(scenario: Scenario, ports: list[int]) -> str:
    """Return the text of `service.toml` for a scenario: one pool and one route in the platform's dialect."""
    servers = json.dumps([f"127.0.0.1:{port}" for port in ports])
    lines = ["[node]", 'listen = "127.0.0.1:0"', f"descriptors = {DESCRIPTORS}", "[pools.lab]"]
    lines.append(f"servers = {servers}")
    for name, table in scenario.classes.items():
        lines += [
            f"[pools.lab.classes.{name}]",
            f'effect = "{table.effect}"',
            f"aim_ms = {table.aim_ms}",
            f"deadline_ms = {table.deadline_ms}",
            'scope = "all"',
            f"window_ms = {table.window_ms}",
        ]
    lines += ["[[routes]]", 'name = "lab"', 'pool = "lab"', 'prefix = "/"', 'dialect = "platform"']
    return "\n".join(lines) + "\n"
