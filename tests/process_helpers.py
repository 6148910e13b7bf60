"""The real program as a process, for tests."""

import asyncio
import json
import os
import re
import resource
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent


class Process:
    """The real program, with the port that it says it listens at."""

    def __init__(self, path, data, descriptors=None, **environment):
        path.write_text(json.dumps(data))
        self.path = path
        self.descriptors = descriptors
        self.environment = environment
        self.port = self.door = 0

    def _limit(self):
        if self.descriptors is not None:
            resource.setrlimit(resource.RLIMIT_NOFILE, (self.descriptors, self.descriptors))

    async def __aenter__(self):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "dykefold",
            cwd=ROOT,
            env={**os.environ, "GW_CONFIG": str(self.path), **self.environment},
            stderr=asyncio.subprocess.PIPE,
            preexec_fn=self._limit,
        )
        while not self.port:
            line = await self.process.stderr.readline()
            assert line, "it ended before it listened"
            if match := re.search(rb"listens at 127\.0\.0\.1:(\d+)", line):
                self.port = int(match[1])
            elif match := re.search(rb"the door is at 127\.0\.0\.1:(\d+)", line):
                self.door = int(match[1])
        self.log = asyncio.create_task(self.process.stderr.read())
        return self

    async def __aexit__(self, *_):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
