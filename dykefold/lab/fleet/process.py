"""One process of the program: started, spoken to by signals, and watched from outside."""

from __future__ import annotations

import asyncio
import contextlib
import os
import re
import signal
import sys
from collections import deque
from dataclasses import dataclass
from pathlib import Path

from .compiled_tree import compiled_tree

# Of earlier versions too: a rig may play one beside the other.
LISTENS = re.compile(r"(?:listens at |accepts clients: name=.* address=)([\d.]+):(\d+)")
DOOR = re.compile(r"(?:the door is at |admin API listens on |admin API listens: address=)([\d.]+):(\d+)")
LINES_KEPT = 400  # of its log, the last ones
START_S = 30.0  # until it listens: 200 of them start on few cores
DESCRIPTORS_APART = 64  # that a process may have beyond what it was told: interpreter, loop, files it reads
# The program with another clock on the wall, which it looks up when it is imported.
SHIFTED = (
    "import runpy, time; now = time.time_ns; time.time_ns = lambda: now() + {shift_ns}; "
    'runpy.run_module("dykefold", run_name="__main__")'
)
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

Address = tuple[str, int]


class StartError(Exception):
    """The program ended or did not listen in time; the text has what it said last."""


OWN_TREE = Path(__file__).parents[3]


@dataclass(slots=True)
class Peak:
    """The most that was seen of a process, or of several together."""

    descriptors: int = 0
    memory_bytes: int = 0

    def see(self, descriptors: int, memory_bytes: int) -> None:
        self.descriptors = max(self.descriptors, descriptors)
        self.memory_bytes = max(self.memory_bytes, memory_bytes)


class Process:
    """One life of the program.

    Args:
        environment: beside the caller's own, with `GW_CONFIG`.
        descriptors: that the system lets it have; None for the caller's limit.
        clock_s: how far its clock on the wall is off.
        tree: the checkout whose program it runs.
    """

    def __init__(
        self,
        environment: dict[str, str],
        descriptors: int | None = None,
        clock_s: float = 0.0,
        tree: Path = OWN_TREE,
    ) -> None:
        self.clock_s = clock_s
        self.tree = tree
        self.environment = environment
        self.descriptors = descriptors
        self.lines: deque[str] = deque(maxlen=LINES_KEPT)
        self.address: Address | None = None
        self.door: Address | None = None
        self.stopped = False
        self._heard = asyncio.Event()
        self._ended = False
        self._child: asyncio.subprocess.Process | None = None
        self._reader: asyncio.Task[None] | None = None

    @property
    def pid(self) -> int:
        assert self._child is not None
        return self._child.pid

    @property
    def alive(self) -> bool:
        return self._child is not None and self._child.returncode is None

    async def prepare(self) -> None:
        """Have a shell ready that becomes the program at `start`.

        To start a process takes the time of a fork and of the child's first turn on a core; for that long
        nothing else of the rig runs. So this is done while nobody is measured, and the start is a line.
        """
        environment = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
        # If the rig dies, the shell reads an end and goes.
        program = (
            f"-c '{SHIFTED.format(shift_ns=int(self.clock_s * 1e9))}'" if self.clock_s else "-m dykefold"
        )
        limit = f"ulimit -n {self.descriptors} && " if self.descriptors is not None else ""
        line = f'read go && {limit}exec "$0" {program} </dev/null'
        self._child = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            line,
            sys.executable,
            cwd=compiled_tree(self.tree),
            env={**environment, **self.environment},
            stdin=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        self._reader = asyncio.get_running_loop().create_task(self._read())

    async def start(self) -> None:
        """Start the program, and do not wait for it."""
        if self._child is None:
            await self.prepare()
        assert self._child is not None and self._child.stdin is not None
        self._child.stdin.write(b"go\n")
        self._child.stdin.close()

    async def _read(self) -> None:
        assert self._child is not None and self._child.stderr is not None
        async for raw in self._child.stderr:
            line = raw.decode("utf-8", "replace").rstrip()
            self.lines.append(line)
            if match := LISTENS.search(line):
                self.address = match[1], int(match[2])
            elif match := DOOR.search(line):
                self.door = match[1], int(match[2])
            self._heard.set()
        self._ended = True
        self._heard.set()

    async def says(self, pattern: str, timeout_s: float = START_S) -> re.Match[str]:
        """Wait for a line of its log, said already or to come. Raises StartError if none comes."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while True:
                    for line in self.lines:
                        if match := re.search(pattern, line):
                            return match
                    if self._ended:
                        break
                    self._heard.clear()
                    await self._heard.wait()
        last = "\n".join(list(self.lines)[-10:])
        raise StartError(f"it did not say {pattern!r}; its last lines:\n{last}")

    async def listens(self) -> Address:
        """Wait until it listens; where."""
        await self.says(LISTENS.pattern)
        assert self.address is not None
        return self.address

    def signal(self, number: int) -> None:
        """Send it a signal, unless it has ended."""
        assert self._child is not None
        if self.alive:
            self._child.send_signal(number)

    def kill(self) -> None:
        self.signal(signal.SIGKILL)

    def terminate(self) -> None:
        self.signal(signal.SIGTERM)

    def stop(self) -> None:
        """Have it stand still until `go_on`."""
        self.stopped = True
        self.signal(signal.SIGSTOP)

    def go_on(self) -> None:
        self.stopped = False
        self.signal(signal.SIGCONT)

    async def ended(self) -> int:
        """Wait for its end, and for the last of its log; its exit code."""
        assert self._child is not None and self._reader is not None
        code = await self._child.wait()
        await self._reader
        return code

    async def end(self, within_s: float) -> None:
        """End it as the platform does: SIGTERM, and SIGKILL after its time."""
        self.terminate()
        try:
            async with asyncio.timeout(within_s):
                await self.ended()
        except TimeoutError:
            self.kill()
            await self.ended()

    async def close(self) -> None:
        """Kill it if it lives."""
        if self._child is None:
            return
        self.kill()
        await self.ended()

    def held(self) -> tuple[int, int]:
        """Descriptors and resident bytes that it has now; zeros once it has ended."""
        try:
            descriptors = len(os.listdir(f"/proc/{self.pid}/fd"))
            pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0, 0
        return descriptors, pages * PAGE_BYTES


async def call(door: Address, line: str, timeout_s: float = 5.0) -> int:
    """Make one call at a process's door; its answer's code. Raises OSError or TimeoutError without one."""
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(*door)
        try:
            writer.write(f"{line} HTTP/1.1\r\nHost: door\r\nContent-Length: 0\r\n\r\n".encode())
            words = (await reader.read()).split()
        finally:
            writer.close()
    if len(words) < 2:
        raise ConnectionError("the door closed with no answer")
    return int(words[1])
