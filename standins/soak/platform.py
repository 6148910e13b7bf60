"""The platform of one sidecar: starts its processes, signals them, and watches their memory together."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from dykefold.lab.fleet.compiled_tree import compiled_tree

from .plans import CLASSES
from .servers import HOST, ScriptedServer

ROOT = Path(__file__).parent.parent.parent
MS = 1_000_000
MB = 1024 * 1024
WATCH_INTERVAL_S = 0.02
START_TIMEOUT_S = 20.0
MAX_DEADLINE_S = 3.0
KILL_AFTER_DEADLINE_S = 0.7


class StartError(Exception):
    """A process ended, or did not accept clients in time.

    Args:
        log: Its log.
    """

    def __init__(self, log: str) -> None:
        super().__init__(f"a process did not start: {log}")


def settings() -> dict[str, object]:
    """Return settings with the classes of the soak, and otherwise with figures of an installation."""
    return {
        "accounts": [], "dcs": ["a"], "kinds": ["std"], "my-zone": 0, "discovery": "ask", "fleet-size": 1,
        "index": 0, "worth-by": "request", "weight-source": "silent", "tick-ns": 5 * MS,
        "ceilings": {"cancel": True, "conn-idle-ns": 60_000 * MS, "connect-timeout-ns": 250 * MS,
                     "max-open": 20_000, "max-retry-after-ns": 2000 * MS, "retry-after": True,
                     "peers": False, "probing": False, "second-copies": False, "send-cap": 3,
                     "streams-per-conn": 1},
        "classes": [
            {"name": spec.name, "deadline-ns": spec.deadline_ms * MS, "objective-ns": spec.objective_ms * MS,
             "repeat": spec.repeat, "key-scope": "cell", "window-ns": 2000 * MS, "points": 1.0,
             "late-value": 0.25, "stream": False}
            for spec in CLASSES
        ],
        "rules": {"answer-slack-ns": 20 * MS, "must-ask-in-ns": 10_000 * MS, "drain-grace-ns": 500 * MS,
                  "start-capacity": 0.14, "warm-within-ns": 22_000 * MS, "overload-factor": 3.0,
                  "overload-for-ns": 2000 * MS},
        "telemetry": {"columns": [], "how": "silent"},
    }  # fmt: skip


def free_port() -> int:
    """Return a port that was free just now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


class SidecarPlatform:
    """Processes of one sidecar, at one client address and with one state directory.

    Args:
        servers: Servers in its endpoint list.
        memory_mb: Memory limit of all its processes together, in MB.
        descriptors: Descriptor limit of all its processes together.
        tree: Checkout whose program is run.

    Attributes:
        port: Port of the clients' address.
        processes: Processes that were started, oldest first.
        peak_mb: Largest memory of all processes together, with their state directory.
        crashes: Texts on processes that ended by themselves.
    """

    def __init__(
        self, servers: list[ScriptedServer], memory_mb: int, descriptors: int, tree: Path = ROOT
    ) -> None:
        self.port = free_port()
        self.memory_mb = memory_mb
        self.descriptors = descriptors
        self.processes: list[subprocess.Popen[bytes]] = []
        self.peak_mb = 0.0
        self.crashes: list[str] = []
        self._tree = compiled_tree(tree)
        self._folder = tempfile.TemporaryDirectory()
        self._private = Path(self._folder.name)
        self.state_directory = self._private / "state"
        self.state_directory.mkdir()
        self._ending: set[int] = set()
        self._servers = servers
        self._watch: asyncio.Task[None] | None = None
        self.reload_count = 0
        self._write_config()

    @property
    def _config_path(self) -> Path:
        return self._private / "config.json"

    def _write_config(self) -> None:
        entries = [server.entry() for server in self._servers]
        config = {
            "name": "n0", "listen": f"{HOST}:{self.port}", "discovery": f"{HOST}:9",
            "seed": f"{self.reload_count:016x}", "peers": [],
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.descriptors},
            "known": {"index": 41, "snapshot": True, "endpoints": entries}, "settings": settings(),
        }  # fmt: skip
        temporary = self._private / "config.new"
        temporary.write_text(json.dumps(config), encoding="utf-8")
        temporary.replace(self._config_path)

    async def start(self) -> subprocess.Popen[bytes]:
        """Start another process, and wait until it accepts clients."""
        log = self._private / f"log-{len(self.processes)}"
        environment = {
            **os.environ, "GW_CONFIG": str(self._config_path), "TMPDIR": str(self.state_directory),
            "GW_CONTROL": f"{HOST}:{free_port()}",
        }  # fmt: skip
        process = self._launch(log, environment)
        self.processes.append(process)
        if self._watch is None:
            self._watch = asyncio.ensure_future(self._watch_processes())
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while b"sidecar accepts clients" not in log.read_bytes():
            if process.poll() is not None or time.monotonic() > deadline_s:
                raise StartError(log.read_text())
            await asyncio.sleep(0.02)
        return process

    def _launch(self, log: Path, environment: dict[str, str]) -> subprocess.Popen[bytes]:
        with log.open("wb") as output:
            return subprocess.Popen(
                [sys.executable, "-m", "dykefold"],
                cwd=self._tree,
                env=environment,
                stderr=output,
                preexec_fn=self._limit_descriptors,
            )

    def _limit_descriptors(self) -> None:
        resource.setrlimit(resource.RLIMIT_NOFILE, (self.descriptors, self.descriptors))

    async def _watch_processes(self) -> None:
        while True:
            self._check_processes()
            await asyncio.sleep(WATCH_INTERVAL_S)

    def _check_processes(self) -> None:
        total_bytes = sum(_file_size(path) for path in self.state_directory.rglob("*"))
        for process in self.processes:
            if process.poll() is None:
                total_bytes += _resident_bytes(process.pid)
            elif process.pid not in self._ending:
                self._ending.add(process.pid)
                self.crashes.append(f"a process ended by itself with {process.returncode}")
        self.peak_mb = max(self.peak_mb, total_bytes / MB)

    def reload(self, process: subprocess.Popen[bytes]) -> None:
        """Replace the configuration and send SIGHUP."""
        self.reload_count += 1
        self._write_config()
        if process.poll() is None:
            process.send_signal(signal.SIGHUP)

    async def end(self, process: subprocess.Popen[bytes]) -> None:
        """Send SIGTERM, and SIGKILL as early as the pages allow."""
        self._ending.add(process.pid)
        longest_s = min(max(spec.deadline_ms for spec in CLASSES) / 1000, MAX_DEADLINE_S)
        if process.poll() is None:
            process.send_signal(signal.SIGTERM)
            await asyncio.to_thread(_kill_after, process, longest_s + KILL_AFTER_DEADLINE_S)

    def logs(self) -> str:
        """Return the logs of all processes."""
        return "".join(path.read_text() for path in sorted(self._private.glob("log-*")))

    def close(self) -> None:
        """Kill all processes, and remove their folder."""
        if self._watch is not None:
            self._watch.cancel()
        for process in self.processes:
            self._ending.add(process.pid)
            if process.poll() is None:
                process.kill()
            process.wait()
        self._folder.cleanup()


def _kill_after(process: subprocess.Popen[bytes], timeout_s: float) -> None:
    try:
        process.wait(timeout_s)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


def _file_size(path: Path) -> int:
    with contextlib.suppress(OSError):
        return path.stat().st_size
    return 0


def _resident_bytes(pid: int) -> int:
    with contextlib.suppress(OSError, IndexError, ValueError):
        return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * resource.getpagesize()
    return 0
