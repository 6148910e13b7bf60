"""A sidecar of the rig: its file, its folder, and its processes, one after the other or two at once."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from ..scenario import ClassTable
from .process import DESCRIPTORS_APART, OWN_TREE, Address, Peak, Process

MS = 1_000_000
EFFECTS = {"safe": "pure", "keyed": "token", "unsafe": "side_effect"}
LOOPBACK = "127.0.0.1"
CROSSING = 0.05  # price of a request that goes to another zone, against the worth of one in time
SAMPLE_S = 0.005  # between two looks at what processes hold

FALL_MULTIPLE = 3.0  # times what a cold server can do, sent for ...
FALL_S = 2.0  # ... so long, push it over


def settings(
    classes: Mapping[str, ClassTable],
    zones: list[str],
    zone: int = 0,
    index: int = 0,
    fleet: int = 1,
    peers: bool = False,
    cold: tuple[float, float] = (1.0, 0.0),
    fall: tuple[float, float] = (FALL_MULTIPLE, FALL_S),
    hedges: bool = False,
) -> dict[str, Any]:
    """What the platform tells a sidecar of its deployment, in the names of its wire.

    Args:
        cold: what part of its capacity a server has at its start, and after how many seconds all of it.
        fall: times what it can do then, and for how many seconds, that push it over.
        hedges: whether a second attempt may go out beside the first.
    """
    return {
        "accounts": [],
        "ceilings": {
            "cancel": True,
            "conn-idle-ns": 15_000 * MS,
            "connect-timeout-ns": 250 * MS,
            "max-retry-after-ns": 1000 * MS,
            "retry-after": True,
            "peers": peers,
            "second-copies": hedges,
            "send-cap": 3,
        },
        "classes": [
            {
                "name": name,
                "deadline-ns": table.deadline_ms * MS,
                "objective-ns": table.aim_ms * MS,
                "repeat": EFFECTS[table.effect],
                "key-scope": "cell",
                "window-ns": table.window_ms * MS,
                "points": 10.0 if table.effect == "unsafe" else 1.0,
                "late-value": 0.25,
                "stream": False,
            }
            for name, table in classes.items()
        ],
        "dcs": zones,
        "kinds": ["std"],
        "my-zone": zone,
        "index": index,
        "discovery": "ask",
        "fleet-size": fleet,
        "rules": {
            "must-ask-in-ns": 10_000 * MS,
            "drain-grace-ns": 500 * MS,
            "overload-factor": fall[0],
            "overload-for-ns": int(fall[1] * 1000 * MS),
            "start-capacity": cold[0],
            "warm-within-ns": int(cold[1] * 1000 * MS),
        },
        "prices": {"cross-zone": CROSSING},
        "telemetry": {"columns": ["rps", "cpu"], "how": "piggyback"},
        "tick-ns": 1 * MS,
    }


def entry(name: str, address: str, zone: str, status: str = "SERVING", since_ms: int = 0) -> dict[str, Any]:
    """A server as discovery tells of it (PROTOCOL, Discovery)."""
    return {
        "name": name,
        "address": address,
        "zone": zone,
        "type": "std",
        "group": 1,
        "status": status,
        "weight": 1.0,
        "since_ms": since_ms,
    }


class Member:
    """One sidecar, whichever of its processes lives.

    Args:
        folder: of its own, which exists.
        data: its configuration; `listen` is kept from the first process on.
        service: text of the operator's file; None for none.
    """

    def __init__(self, number: int, folder: Path, data: dict[str, Any], service: str | None = None) -> None:
        self.number = number
        self.service = service
        self.folder = folder
        self.data = data
        self.processes: list[Process] = []
        self.spare: Process | None = None  # ready to become the next one
        self.clock_s = 0.0  # how far the clock on the wall is off for those that are prepared from now on
        self.trees: tuple[Path, ...] = (OWN_TREE,)  # checkouts whose programs its processes run, in turn
        self.peak = Peak()  # of all its processes together
        (folder / "tmp").mkdir(exist_ok=True)

    @property
    def living(self) -> list[Process]:
        return [process for process in self.processes if process.alive]

    @property
    def _path(self) -> Path:
        return self.folder / f"config{len(self.processes)}.json"

    async def prepare(self) -> None:
        """Have the next process ready to start at once."""
        if self.spare is None:
            environment = {"GW_CONFIG": str(self._path), "TMPDIR": str(self.folder / "tmp")}
            if self.service is not None:
                service = self.folder / "service.toml"
                service.write_text(self.service)
                environment["DYKEFOLD_SERVICE"] = str(service)
            descriptors = self.data["limits"]["sockets"] + DESCRIPTORS_APART
            tree = self.trees[len(self.processes) % len(self.trees)]
            self.spare = Process(environment, descriptors, self.clock_s, tree)
            await self.spare.prepare()

    async def start(self, **more: Any) -> Process:
        """Start one more process with this file, beside those that live; it is not waited for."""
        await self.prepare()
        process, self.spare = self.spare, None
        assert process is not None
        self._path.write_text(json.dumps({**self.data, **more}))
        self.processes.append(process)
        await process.start()
        return process

    def reload(self, **more: Any) -> None:
        """Change the file, and have the processes that live read it again."""
        self.data |= more
        for process in self.living:
            path = Path(process.environment["GW_CONFIG"])
            path.write_text(json.dumps({**json.loads(path.read_text()), **more}))
            process.signal(signal.SIGHUP)

    async def begin(self) -> Address:
        """Start the first process; the address that it and all that follow it listen at."""
        address = await (await self.start()).listens()
        self.data["listen"] = f"{address[0]}:{address[1]}"
        return address

    async def watch(self) -> None:
        """MembershipSample at what its processes hold together, until cancelled."""
        while True:
            held = [process.held() for process in self.living]
            self.peak.see(sum(one[0] for one in held), sum(one[1] for one in held))
            await asyncio.sleep(SAMPLE_S)

    async def close(self) -> None:
        for process in (*self.processes, *([self.spare] if self.spare is not None else [])):
            await process.close()
