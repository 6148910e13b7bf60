"""The sidecar as a child process, and fleet scenarios with many sidecars, for tests."""

import asyncio
import json
import os
import re
import resource
import sys
from pathlib import Path

import pytest
from net_helpers import run

from dykefold.lab.fleet.compiled_tree import compiled_tree
from dykefold.lab.fleet.report import FleetRunResult
from dykefold.lab.fleet.run import play
from dykefold.lab.fleet.scenario import FleetScenario

ROOT = Path(__file__).parent.parent
MAX_RUNS = 3  # of a scenario whose runs are invalid because the machine was late


def first_valid_run(run_once, max_runs=MAX_RUNS):
    """Return the result of the first valid run; fail the test when the machine was late in every run.

    Args:
        run_once: Function that runs once, checks what must hold on a late machine too, and returns the
            result and the reason why the run is invalid, None for a valid run.
        max_runs: Maximum number of runs, so that a machine which is always late is a failure and no pass.
    """
    reasons = []
    for _ in range(max_runs):
        result, invalid_reason = run_once()
        if invalid_reason is None:
            return result
        reasons.append(invalid_reason)
    pytest.fail(f"no valid run, the machine was late in each of {max_runs} runs: {reasons}")


def run_valid_scenario(
    scenario: FleetScenario, max_start_lag_s: float = float("inf"), allow_lost_when_late: bool = False
) -> FleetRunResult:
    """Run a fleet scenario until the load generator kept to its schedule, and return that run's result.

    Args:
        scenario: Scenario to run.
        max_start_lag_s: Maximum lag behind schedule before the load starts, in seconds.
        allow_lost_when_late: Whether requests may be lost in a run that is invalid because of the lag.
    """

    def run_once():
        result = run(play(scenario))
        assert not result.verdict.violations
        assert not result.faults
        assert None not in result.ready_s
        late = not result.valid or result.lag.start_s > max_start_lag_s
        assert not result.verdict.lost or (late and allow_lost_when_late)
        return result, f"{result.lag.load_s:.2f} s, {result.lag.start_s:.2f} s at the start" if late else None

    return first_valid_run(run_once)


class SidecarProcess:
    """A sidecar as a child process, with the ports that its log names.

    Args:
        config_path: File that the configuration is written to.
        data: Configuration of the sidecar.
        max_descriptors: Limit on open file descriptors; None for the limit of the test process.
        **environment: Environment variables of the process, besides those of the test process.
    """

    def __init__(self, config_path, data, max_descriptors=None, **environment):
        config_path.write_text(json.dumps(data))
        self.config_path = config_path
        self.max_descriptors = max_descriptors
        self.environment = environment
        self.port = self.admin_port = 0

    def _limit_descriptors(self):
        if self.max_descriptors is not None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (self.max_descriptors, self.max_descriptors))

    async def __aenter__(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "dykefold",
            cwd=compiled_tree(ROOT),
            env={**os.environ, "GW_CONFIG": str(self.config_path), **self.environment},
            stderr=asyncio.subprocess.PIPE,
            preexec_fn=self._limit_descriptors,
        )
        while not self.port:
            line = await self.process.stderr.readline()
            assert line, "the sidecar exited before it listened"
            if match := re.search(rb"sidecar accepts clients: name=.* address=127\.0\.0\.1:(\d+)", line):
                self.port = int(match[1])
            elif match := re.search(rb"admin API listens: address=127\.0\.0\.1:(\d+)", line):
                self.admin_port = int(match[1])
        self.log = asyncio.create_task(self.process.stderr.read())
        return self

    async def __aexit__(self, *_):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
