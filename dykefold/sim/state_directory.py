"""The state directory shared by the processes of one virtual sidecar: records and locks."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from ..control.append_log import Logs
from .loop import SimLoop


class StateDirectoryContents:
    """The contents of a state directory.

    Attributes:
        records: JSON text of each record, by name.
        logs: Contents of each log, by name; a replaced log keeps its own contents.
        holders: Event loop of the process that holds each lock, by name.
        changes: Number of writes and removals so far.
        full: Number of active faults that make writes fail.
    """

    def __init__(self) -> None:
        self.records: dict[str, str] = {}
        self.logs: dict[str, bytearray] = {}
        self.holders: dict[str, SimLoop] = {}
        self.changes = 0
        self.full = 0

    def end_write_failure(self) -> None:
        """End one of the faults that make writes fail."""
        self.full -= 1


class SimLogs:
    """The logs of a state directory: `control.append_log.Logs`."""

    def __init__(self, folder: StateDirectoryContents) -> None:
        self.folder = folder

    def create(self, name: str) -> SimLogWriter | None:
        """Create an empty log; return None while writes fail."""
        if self.folder.full:
            return None
        contents = self.folder.logs[name] = bytearray()
        self.folder.changes += 1
        return SimLogWriter(self.folder, contents)

    def open(self, name: str) -> SimLogReader | None:
        """Open a log; return None if there is none."""
        return SimLogReader(self.folder, name) if name in self.folder.logs else None

    def remove(self, name: str) -> None:
        """Remove a log."""
        self.folder.logs.pop(name, None)
        self.folder.changes += 1


class SimLogWriter:
    """Writes one log."""

    def __init__(self, folder: StateDirectoryContents, contents: bytearray) -> None:
        self.folder = folder
        self.contents = contents

    def append(self, data: bytes, /) -> bool:
        """Append data; return False, and append nothing, while writes fail."""
        if self.folder.full:
            return False
        self.contents += data
        return True

    def close(self) -> None:
        """Do nothing: no descriptor is open."""


class SimLogReader:
    """Reads one log."""

    def __init__(self, folder: StateDirectoryContents, name: str) -> None:
        self.folder = folder
        self.name = name
        self.contents = folder.logs[name]
        self.read_bytes = 0

    def read(self) -> bytes:
        """Return what has been appended since the last call."""
        data = bytes(self.contents[self.read_bytes :])
        self.read_bytes += len(data)
        return data

    def is_replaced(self) -> bool:
        """Return whether another log, or none, has this name."""
        return self.folder.logs.get(self.name) is not self.contents

    def close(self) -> None:
        """Do nothing: no descriptor is open."""


class SimStateDirectory:
    """The state directory of one process: a `control.protocols.StateDirectory`."""

    def __init__(self, folder: StateDirectoryContents, loop: SimLoop) -> None:
        self.folder = folder
        self.loop = loop
        self.logs: Logs = SimLogs(folder)
        self.seen_changes = -1

    def changed(self) -> bool:
        """Return whether the directory has changed since the last `read_all`."""
        return self.folder.changes != self.seen_changes

    def write(self, name: str, record: Mapping[str, Any], /, durable: bool = False) -> bool:
        """Write a record; returns whether it was written."""
        if self.folder.full:
            return False
        self.folder.records[name] = json.dumps(record)
        self.folder.changes += 1
        return True

    def read(self, name: str) -> dict[str, Any] | None:
        """Return a record; None if there is none."""
        text = self.folder.records.get(name)
        return None if text is None else json.loads(text)

    def read_all(self, *prefixes: str) -> dict[str, dict[str, Any]]:
        """Return all records whose names start with one of the prefixes, by name."""
        self.seen_changes = self.folder.changes
        names = sorted(name for name in self.folder.records if name.startswith(prefixes))
        return {name: json.loads(self.folder.records[name]) for name in names}

    def remove(self, name: str) -> None:
        """Remove a record and its lock."""
        self.folder.records.pop(name, None)
        self.folder.holders.pop(name, None)
        self.folder.changes += 1

    def lock(self, name: str) -> bool:
        """Take a lock until the process ends; returns whether the lock was taken."""
        if self.folder.full:
            return False
        self.folder.holders[name] = self.loop
        self.folder.changes += 1
        return True

    def is_alive(self, name: str) -> bool | None:
        """Return whether the holder of a lock is alive; None if the lock was never taken."""
        holder = self.folder.holders.get(name)
        return None if holder is None else holder.alive

    def boot_id(self) -> str:
        """Return a constant: each virtual machine has its own directory."""
        return ""
