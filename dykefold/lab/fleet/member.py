"""A sidecar of the rig: its configuration, its folder and its processes, of which several may run at once."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from ..scenario import ClassTable
from .process import EXTRA_DESCRIPTORS, OWN_TREE, Address, Peak, Process

NS_PER_MS = 1_000_000
EFFECTS = {"safe": "pure", "keyed": "token", "unsafe": "side_effect"}
LOOPBACK = "127.0.0.1"
CROSS_ZONE_PRICE = 0.05  # Of a request to another zone, relative to the weight of a request served in time.
SAMPLE_INTERVAL_S = 0.005

OVERLOAD_FACTOR = 3.0  # Load of a warming-up server, relative to its capacity, that overloads it.
OVERLOAD_DURATION_S = 2.0  # Duration of that load.


def settings(
    classes: Mapping[str, ClassTable],
    zones: list[str],
    zone: int = 0,
    index: int = 0,
    fleet: int = 1,
    peers: bool = False,
    slow_start: tuple[float, float] = (1.0, 0.0),
    overload: tuple[float, float] = (OVERLOAD_FACTOR, OVERLOAD_DURATION_S),
    hedges: bool = False,
) -> dict[str, Any]:
    """Return the settings of a sidecar in the platform's format (WIRE).

    Args:
        classes: Request classes by name.
        zones: Names of the zones.
        zone: Number of the sidecar's zone.
        index: Number of the sidecar.
        fleet: Number of sidecars.
        peers: Whether sidecars may exchange datagrams.
        slow_start: Fraction of its capacity that a server has at its start, and seconds until it has all of
            it.
        overload: Load, relative to the capacity, that overloads a warming-up server, and its duration in
            seconds.
        hedges: Whether requests may be hedged.
    """
    return {
        "accounts": [],
        "ceilings": {
            "cancel": True,
            "conn-idle-ns": 15_000 * NS_PER_MS,
            "connect-timeout-ns": 250 * NS_PER_MS,
            "max-retry-after-ns": 1000 * NS_PER_MS,
            "retry-after": True,
            "peers": peers,
            "second-copies": hedges,
            "send-cap": 3,
        },
        "classes": [
            {
                "name": name,
                "deadline-ns": table.deadline_ms * NS_PER_MS,
                "objective-ns": table.aim_ms * NS_PER_MS,
                "repeat": EFFECTS[table.effect],
                "key-scope": "cell",
                "window-ns": table.window_ms * NS_PER_MS,
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
            "must-ask-in-ns": 10_000 * NS_PER_MS,
            "drain-grace-ns": 500 * NS_PER_MS,
            "overload-factor": overload[0],
            "overload-for-ns": int(overload[1] * 1000 * NS_PER_MS),
            "start-capacity": slow_start[0],
            "warm-within-ns": int(slow_start[1] * 1000 * NS_PER_MS),
        },
        "prices": {"cross-zone": CROSS_ZONE_PRICE},
        "telemetry": {"columns": ["rps", "cpu"], "how": "piggyback"},
        "tick-ns": 1 * NS_PER_MS,
    }


def entry(name: str, address: str, zone: str, status: str = "SERVING", since_ms: int = 0) -> dict[str, Any]:
    """Return the entry of a server in an endpoint list (PROTOCOL, Discovery)."""
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
    """One sidecar.

    Args:
        number: Number of the sidecar.
        folder: Existing folder, used by this sidecar only.
        data: Configuration from the platform; all processes use the `listen` address of the first one.
        service: Text of the operator's file; None without one.

    Attributes:
        processes: All started processes, in order.
        spare: Prepared next process; None if there is none.
        clock_s: Seconds by which the wall clock of newly prepared processes is shifted.
        trees: Checkouts whose programs the processes run in rotation.
        peak: Largest use of descriptors and memory by all processes in total.
    """

    def __init__(self, number: int, folder: Path, data: dict[str, Any], service: str | None = None) -> None:
        self.number = number
        self.service = service
        self.folder = folder
        self.data = data
        self.processes: list[Process] = []
        self.spare: Process | None = None
        self.clock_s = 0.0
        self.trees: tuple[Path, ...] = (OWN_TREE,)
        self.peak = Peak()
        (folder / "tmp").mkdir(exist_ok=True)

    @property
    def living(self) -> list[Process]:
        """Processes that have not ended."""
        return [process for process in self.processes if process.alive]

    @property
    def _config_path(self) -> Path:
        return self.folder / f"config{len(self.processes)}.json"

    async def prepare(self) -> None:
        """Prepare the next process, so that it can start without delay."""
        if self.spare is None:
            environment = {"GW_CONFIG": str(self._config_path), "TMPDIR": str(self.folder / "tmp")}
            if self.service is not None:
                service_path = self.folder / "service.toml"
                service_path.write_text(self.service)
                environment["DYKEFOLD_SERVICE"] = str(service_path)
            descriptors = self.data["limits"]["sockets"] + EXTRA_DESCRIPTORS
            tree = self.trees[len(self.processes) % len(self.trees)]
            self.spare = Process(environment, descriptors, self.clock_s, tree)
            await self.spare.prepare()

    async def start(self, **changes: Any) -> Process:
        """Start another process with changed keys of the configuration; do not wait until it listens."""
        await self.prepare()
        process, self.spare = self.spare, None
        assert process is not None
        self._config_path.write_text(json.dumps({**self.data, **changes}))
        self.processes.append(process)
        await process.start()
        return process

    def reload(self, **changes: Any) -> None:
        """Change keys of the configuration, and signal the living processes to reload it."""
        self.data |= changes
        for process in self.living:
            path = Path(process.environment["GW_CONFIG"])
            path.write_text(json.dumps({**json.loads(path.read_text()), **changes}))
            process.signal(signal.SIGHUP)

    async def start_first_process(self) -> Address:
        """Start the first process, and return the address at which all processes listen."""
        address = await (await self.start()).wait_until_listening()
        self.data["listen"] = f"{address[0]}:{address[1]}"
        return address

    async def sample_resources(self) -> None:
        """Sample the descriptors and memory of its processes until cancelled."""
        while True:
            usage = [process.resource_use() for process in self.living]
            descriptors = sum(descriptors for descriptors, _ in usage)
            self.peak.record(descriptors, sum(memory_bytes for _, memory_bytes in usage))
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    async def close(self) -> None:
        """Kill all processes."""
        for process in (*self.processes, *([self.spare] if self.spare is not None else [])):
            await process.close()
