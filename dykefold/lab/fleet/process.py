"""A process of the program, controlled by signals and observed through its log."""

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

# Includes the log lines of earlier versions: a rig may run several versions together.
LISTENS = re.compile(r"(?:listens at |accepts clients: name=.* address=)([\d.]+):(\d+)")
ADMIN_LISTENS = re.compile(
    r"(?:the door is at |admin API listens on |admin API listens: address=)([\d.]+):(\d+)"
)
MAX_LOG_LINES = 400  # The latest lines are kept.
START_TIMEOUT_S = 30.0  # Until a process listens, while 200 processes start on a few cores.
EXTRA_DESCRIPTORS = 64  # Beyond the configured limit, for interpreter, event loop and files.
# Runs the program with a shifted wall clock; the program looks `time.time_ns` up at its import.
SHIFTED_CLOCK_PROGRAM = (
    "import runpy, time; now = time.time_ns; time.time_ns = lambda: now() + {shift_ns}; "
    'runpy.run_module("dykefold", run_name="__main__")'
)
MIN_STATUS_LINE_FIELDS = 2  # Version and status code.
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")

Address = tuple[str, int]


class StartError(Exception):
    """A process ended, or a line of its log did not appear in time.

    Args:
        pattern: Pattern of the missing log line.
        last_lines: Latest lines of its log.
    """

    def __init__(self, pattern: str, last_lines: str) -> None:
        super().__init__(f"no log line of the process matched {pattern!r}; its last lines:\n{last_lines}")


OWN_TREE = Path(__file__).parents[3]


@dataclass(slots=True)
class Peak:
    """Peak resource use of a process, or of several in total.

    Attributes:
        descriptors: Number of descriptors.
        memory_bytes: Resident memory in bytes.
    """

    descriptors: int = 0
    memory_bytes: int = 0

    def record(self, descriptors: int, memory_bytes: int) -> None:
        """Update the peaks with a sample."""
        self.descriptors = max(self.descriptors, descriptors)
        self.memory_bytes = max(self.memory_bytes, memory_bytes)


class Process:
    """One process of the program.

    Args:
        environment: Environment variables beyond the caller's own, including `GW_CONFIG`.
        descriptors: Limit of open descriptors; None for the caller's limit.
        clock_s: Seconds by which its wall clock is shifted.
        tree: Checkout of the program.

    Attributes:
        lines: Latest lines of its log.
        address: Address at which it accepts clients; None before it accepts.
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
        self._log_ended = False
        self._child: asyncio.subprocess.Process | None = None
        self._reader: asyncio.Task[None] | None = None

    @property
    def pid(self) -> int:
        """Process id."""
        assert self._child is not None
        return self._child.pid

    @property
    def alive(self) -> bool:
        """Whether it was started and has not ended."""
        return self._child is not None and self._child.returncode is None

    async def prepare(self) -> None:
        """Start a shell that becomes the program at `start`.

        A fork and the first run of the child on a core block the rig. So they happen before a measurement,
        and the start itself is a single line written to the shell.
        """
        environment = {name: value for name, value in os.environ.items() if not name.startswith("GW_")}
        # If the rig dies, the shell reads the end of its input and exits.
        program = (
            f"-c '{SHIFTED_CLOCK_PROGRAM.format(shift_ns=int(self.clock_s * 1e9))}'"
            if self.clock_s
            else "-m dykefold"
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
        """Start the program; do not wait until it listens."""
        if self._child is None:
            await self.prepare()
        assert self._child is not None
        assert self._child.stdin is not None
        self._child.stdin.write(b"go\n")
        self._child.stdin.close()

    async def _read(self) -> None:
        assert self._child is not None
        assert self._child.stderr is not None
        async for line_bytes in self._child.stderr:
            line = line_bytes.decode("utf-8", "replace").rstrip()
            self.lines.append(line)
            if match := LISTENS.search(line):
                self.address = match[1], int(match[2])
            elif match := ADMIN_LISTENS.search(line):
                self.admin_address = match[1], int(match[2])
            self._log_changed.set()
        self._log_ended = True
        self._log_changed.set()

    async def wait_for_line(self, pattern: str, timeout_s: float = START_TIMEOUT_S) -> re.Match[str]:
        """Wait until a line of its log matches; earlier lines count too.

        Raises:
            StartError: No line matches in time.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                while True:
                    for line in self.lines:
                        if match := re.search(pattern, line):
                            return match
                    if self._log_ended:
                        break
                    self._log_changed.clear()
                    await self._log_changed.wait()
        last_lines = "\n".join(list(self.lines)[-10:])
        raise StartError(pattern, last_lines)

    async def wait_until_listening(self) -> Address:
        """Wait until it accepts clients, and return the address."""
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
        """Pause it with SIGSTOP until `resume`."""
        self.stopped = True
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume it with SIGCONT after `stop`."""
        self.stopped = False
        self.signal(signal.SIGCONT)

    async def wait_until_ended(self) -> int:
        """Wait for its exit and the rest of its log, and return the exit code."""
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
                await self.wait_until_ended()
        except TimeoutError:
            self.kill()
            await self.wait_until_ended()

    async def close(self) -> None:
        """Kill it if it is alive."""
        if self._child is None:
            return
        self.kill()
        await self.wait_until_ended()

    def resource_use(self) -> tuple[int, int]:
        """Return its number of descriptors and its resident memory in bytes; zeros after its exit."""
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
