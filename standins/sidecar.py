"""Processes for benchmarks: servers, and the real sidecar of this or another source tree in front of them."""

from __future__ import annotations

import contextlib
import json
import os
import resource
import subprocess
import sys
import tempfile
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path

from dykefold.lab.process import listening

ROOT = Path(__file__).parent.parent
MS = 1_000_000


@dataclass(slots=True)
class RunningSidecar:
    """A running sidecar and the port at which it accepts clients."""

    port: int
    process: subprocess.Popen[bytes]

    def rss_bytes(self) -> int:
        """Return the resident memory of the process, in bytes."""
        pages = int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1])
        return pages * resource.getpagesize()

    def cpu_s(self) -> float:
        """Return the CPU time that the process has used so far, in seconds."""
        fields = Path(f"/proc/{self.process.pid}/stat").read_text().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def pin_to_core(core: int | None) -> Callable[[], None] | None:
    """Return a `preexec_fn` that pins a new process to a core; None if no core is given."""
    return None if core is None else lambda: os.sched_setaffinity(0, {core})


@contextlib.contextmanager
def parts_servers(count: int, core: int | None = None) -> Iterator[list[int]]:
    """Start `count` servers in one process, and yield their ports."""
    command = [sys.executable, "-m", "standins.parts", str(count)]
    with subprocess.Popen(
        command, cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE, preexec_fn=pin_to_core(core)
    ) as process:
        assert process.stdout is not None
        yield [int(port) for port in process.stdout.readline().split()]
        assert process.stdin is not None
        process.stdin.close()


@contextlib.contextmanager
def sidecar(
    ports: list[int],
    sockets: int = 1024,
    tree: Path = ROOT,
    service: Path | None = None,
    core: int | None = None,
) -> Iterator[RunningSidecar]:
    """Start the sidecar of a source tree with endpoints at these ports of 127.0.0.1."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(platform_config(ports, sockets)))
        environment = {**os.environ, "GW_CONFIG": str(path)}
        if service is not None:
            environment["DYKEFOLD_SERVICE"] = str(service)
        with listening([], environment, tree, pin_to_core(core)) as started:
            yield RunningSidecar(started.port, started.process)


@contextlib.contextmanager
def sidecar_of_service_file(path: Path, core: int | None = None) -> Iterator[RunningSidecar]:
    """Start this tree's sidecar with the pools and routes of a service file."""
    environment = {name: value for name, value in os.environ.items() if name != "GW_CONFIG"}
    with listening(["serve", str(path)], environment, ROOT, pin_to_core(core)) as started:
        yield RunningSidecar(started.port, started.process)


def platform_config(ports: list[int], sockets: int) -> dict:
    """Return a configuration in the platform's form: three classes, one zone, no reachable discovery."""
    classes = {
        "lookup": (3000, 750, "pure"),
        "hold": (2000, 600, "token"),
        "order": (4000, 1200, "side_effect"),
    }
    entries = [
        {"name": f"s{port}", "address": f"127.0.0.1:{port}", "zone": "a", "type": "std", "group": 1,
         "status": "SERVING", "weight": 1.0, "since_ms": 0}
        for port in ports
    ]  # fmt: skip
    return {
        "name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:9", "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets}, "peers": [],
        "known": {"index": 1, "snapshot": True, "endpoints": entries},
        "settings": {
            "accounts": [], "dcs": ["a"], "kinds": ["std"], "my-zone": 0, "discovery": "ask", "fleet-size": 1,
            "ceilings": {"cancel": True, "conn-idle-ns": 60_000 * MS, "connect-timeout-ns": 250 * MS,
                         "max-retry-after-ns": 2000 * MS, "retry-after": True, "peers": False,
                         "second-copies": False, "send-cap": 3},
            "classes": [
                {"name": name, "deadline-ns": deadline_ms * MS, "objective-ns": objective_ms * MS,
                 "repeat": effect, "key-scope": "cell", "window-ns": 2000 * MS, "points": 1.0,
                 "late-value": 0.25, "stream": False}
                for name, (deadline_ms, objective_ms, effect) in classes.items()
            ],
            "rules": {"must-ask-in-ns": 10_000 * MS, "drain-grace-ns": 500 * MS},
            "telemetry": {"columns": [], "how": "silent"}, "tick-ns": 5 * MS,
        },
    }  # fmt: skip
