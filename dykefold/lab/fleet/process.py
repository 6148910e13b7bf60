"""One process of the program, controlled by signals and observed from outside."""

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
ADMIN_LISTENS = re.compile(
    r"(?:the door is at |admin API listens on |admin API listens: address=)([\d.]+):(\d+)"
)
MAX_LOG_LINES = 400  # Latest lines of its log.
START_TIMEOUT_S = 30.0  # Until it listens, while 200 processes start on few cores.
EXTRA_DESCRIPTORS = 64  # Beyond the configured limit: interpreter, event loop, files.
# The program with a shifted wall clock, which it looks up at its import.
SHIFTED = (
    "import runpy, time; now = time.time_ns; time.time_ns = lambda: now() + {shift_ns}; "
    'runpy.run_module("dykefold", run_name="__main__")'
)
MIN_STATUS_LINE_FIELDS = 2  # Version and status code.
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

Address = tuple[str, int]


class StartError(Exception):
    """The program ended or did not listen in time.

    Args:
        pattern: Pattern of the log line that did not come.
        last_lines: Latest lines of its log.
    """

    def __init__(self, pattern: str, last_lines: str) -> None:
        super().__init__(f"it did not say {pattern!r}; its last lines:\n{last_lines}")


OWN_TREE = Path(__file__).parents[3]


@dataclass(slots=True)
class Peak:
    """Largest observed use of a process, or of several together.

    Attributes:
        descriptors: Number of descriptors.
        memory_bytes: Resident memory in bytes.
    """

    descriptors: int = 0
    memory_bytes: int = 0

    def see(self, descriptors: int, memory_bytes: int) -> None:
        """Take an observation into account."""
        self.descriptors = max(self.descriptors, descriptors)
        self.memory_bytes = max(self.memory_bytes, memory_bytes)


class Process:
    """One run of the program.

    Args:
        environment: Variables beside the caller's own, with `GW_CONFIG`.
        descriptors: Descriptor limit of the system; None for the caller's limit.
        clock_s: Seconds by which its wall clock is shifted.
        tree: Checkout whose program it runs.

    Attributes:
        lines: Latest lines of its log.
        address: Address at which it accepts clients; None before it does.
        admin_address: Address of its admin API; None before it listens there.
        stopped: Whether it is paused.
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
        self.lines: deque[str] = deque(maxlen=MAX_LOG_LINES)
        self.address: Address | None = None
        self.admin_address: Address | None = None
        self.stopped = False
        self._log_changed = asyncio.Event()
        self._ended = False
        self._child: asyncio.subprocess.Process | None = None
        self._reader: asyncio.Task[None] | None = None

    @property
    def pid(self) -> int:
        """Process id."""
        assert self._child is not None
        return self._child.pid

    @property
    def alive(self) -> bool:
        """Whether it has started and not ended."""
        return self._child is not None and self._child.returncode is None

    async def prepare(self) -> None:
        """Start a shell that becomes the program at `start`.

        A fork and the first turn of the child on a core block the rig. So they happen while nothing is
        measured, and the start itself is one line to the shell.
        """
        environment = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
        # If the rig dies, the shell reads an end of file and exits.
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
        """Start the program; do not wait for it."""
        if self._child is None:
            await self.prepare()
        assert self._child is not None
        assert self._child.stdin is not None
        self._child.stdin.write(b"go\n")
        self._child.stdin.close()

    async def _read(self) -> None:
        assert self._child is not None
        assert self._child.stderr is not None
        async for raw in self._child.stderr:
            line = raw.decode("utf-8", "replace").rstrip()
            self.lines.append(line)
            if match := LISTENS.search(line):
                self.address = match[1], int(match[2])
            elif match := ADMIN_LISTENS.search(line):
                self.admin_address = match[1], int(match[2])
            self._log_changed.set()
        self._ended = True
        self._log_changed.set()

    async def wait_for_line(self, pattern: str, timeout_s: float = START_TIMEOUT_S) -> re.Match[str]:
        """Wait for a line of its log, past or future.

        Raises:
            StartError: No line matches in time.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while True:
                    for line in self.lines:
                        if match := re.search(pattern, line):
                            return match
                    if self._ended:
                        break
                    self._log_changed.clear()
                    await self._log_changed.wait()
        last = "\n".join(list(self.lines)[-10:])
        raise StartError(pattern, last)

    async def listens(self) -> Address:
        """Wait until it accepts clients; return the address."""
        await self.wait_for_line(LISTENS.pattern)
        assert self.address is not None
        return self.address

    def signal(self, number: int) -> None:
        """Send it a signal, unless it has ended."""
        assert self._child is not None
        if self.alive:
            self._child.send_signal(number)

    def kill(self) -> None:
        """Send SIGKILL."""
        self.signal(signal.SIGKILL)

    def terminate(self) -> None:
        """Send SIGTERM."""
        self.signal(signal.SIGTERM)

    def stop(self) -> None:
        """Pause it until `go_on`."""
        self.stopped = True
        self.signal(signal.SIGSTOP)

    def go_on(self) -> None:
        """Resume it after `stop`."""
        self.stopped = False
        self.signal(signal.SIGCONT)

    async def ended(self) -> int:
        """Wait for its end and the rest of its log; return its exit code."""
        assert self._child is not None
        assert self._reader is not None
        code = await self._child.wait()
        await self._reader
        return code

    async def end(self, within_s: float) -> None:
        """End it as the platform does: SIGTERM, and SIGKILL after `within_s` seconds."""
        self.terminate()
        try:
            async with asyncio.timeout(within_s):
                await self.ended()
        except TimeoutError:
            self.kill()
            await self.ended()

    async def close(self) -> None:
        """Kill it if it is alive."""
        if self._child is None:
            return
        self.kill()
        await self.ended()

    def resource_use(self) -> tuple[int, int]:
        """Return its number of descriptors and its resident bytes; zeros once it has ended."""
        try:
            descriptors = len(os.listdir(f"/proc/{self.pid}/fd"))
            pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[1])
        except (OSError, IndexError):
            return 0, 0
        return descriptors, pages * PAGE_BYTES


class NoAnswerError(ConnectionError):
    """The admin API closed the connection without an answer."""


async def call(admin_address: Address, line: str, timeout_s: float = 5.0) -> int:
    """Make one call of a process's admin API, and return the status code.

    Raises:
        OSError: The process does not answer.
        TimeoutError: The answer does not come in time.
    """
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(*admin_address)
        try:
            writer.write(f"{line} HTTP/1.1\r\nHost: admin\r\nContent-Length: 0\r\n\r\n".encode())
            fields = (await reader.read()).split()
        finally:
            writer.close()
    if len(fields) < MIN_STATUS_LINE_FIELDS:
        raise NoAnswerError
    return int(fields[1])
