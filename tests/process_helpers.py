"""The real program as a process, and the rig of many, for tests."""

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
PLAYS_MOST = 3  # of what the machine's lateness made void


def in_time(play_once, plays_most=PLAYS_MOST):
    """What the first play in time has shown; fails when the machine was late in every one.

    Args:
        play_once: Plays, checks what must hold on a late machine too, and returns the result and why the
            play is void, None if it is not.
        plays_most: Maximum number of plays, so that a machine which is always late is a failure and no pass.
    """
    reasons = []
    for _ in range(plays_most):
        seen, void = play_once()
        if void is None:
            return seen
        reasons.append(void)
    pytest.fail(f"nothing was judged, the machine was late in each of {plays_most} plays: {reasons}")


def played_in_time(
    scenario: FleetScenario, start_lag_most_s: float = float("inf"), lost_if_late: bool = False
) -> FleetRunResult:
    """A scenario of the rig, played until the rig kept up with it.

    Args:
        start_lag_most_s: Maximum lateness of the rig before the load, in seconds.
        lost_if_late: Whether requests may be lost in a play that is void for the rig's lateness.
    """

    def play_once():
        seen = run(play(scenario))
        assert not seen.verdict.violations
        assert not seen.faults
        assert None not in seen.ready_s
        late = not seen.valid or seen.lag.start_s > start_lag_most_s
        assert not seen.verdict.lost or (late and lost_if_late)
        return seen, f"{seen.lag.load_s:.2f} s, {seen.lag.start_s:.2f} s at the start" if late else None

    return in_time(play_once)


class Process:
    """The real program, with the port that it says it listens at."""

    def __init__(self, path, data, descriptors=None, **environment):
        path.write_text(json.dumps(data))
        self.path = path
        self.descriptors = descriptors
        self.environment = environment
        self.port = self.admin_port = 0

    def _limit(self):
        if self.descriptors is not None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (self.descriptors, self.descriptors))

    async def __aenter__(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "dykefold",
            cwd=compiled_tree(ROOT),
            env={**os.environ, "GW_CONFIG": str(self.path), **self.environment},
            stderr=asyncio.subprocess.PIPE,
            preexec_fn=self._limit,
        )
        while not self.port:
            line = await self.process.stderr.readline()
            assert line, "it ended before it listened"
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
