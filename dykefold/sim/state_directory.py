"""The state directory that the processes of one virtual sidecar share: records, and who holds a lock."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from .loop import SimLoop


class SharedFolder:
    """What is in the directory.

    Attributes:
        records: Records as text, by name.
        holders: Holders of the locks, by name.
        changes: Number of changes so far.
        full: Number of present faults in which nothing can be written.
    """

    def __init__(self) -> None:
        self.records: dict[str, str] = {}
        self.holders: dict[str, SimLoop] = {}
        self.changes = 0
        self.full = 0

    def end_full(self) -> None:
        """End a fault in which nothing can be written."""
        self.full -= 1


class SimStateDirectory:
    """One process's access to the directory: a `control.state_directory.StateDirectory`."""

    def __init__(self, folder: SharedFolder, loop: SimLoop) -> None:
        self.folder = folder
        self.loop = loop
        self.seen_changes = -1

    def changed(self) -> bool:
        """Return whether anything was written since the last `read_all`."""
        return self.folder.changes != self.seen_changes

    def write(self, name: str, record: Mapping[str, Any], /, durable: bool = False) -> bool:
        """Write a record; returns whether that was possible."""
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
        """Return all records whose names begin so, by name."""
        self.seen_changes = self.folder.changes
        names = sorted(name for name in self.folder.records if name.startswith(prefixes))
        return {name: json.loads(self.folder.records[name]) for name in names}

    def remove(self, name: str) -> None:
        """Remove a record and its lock."""
        self.folder.records.pop(name, None)
        self.folder.holders.pop(name, None)
        self.folder.changes += 1

    def lock(self, name: str) -> bool:
        """Hold a lock for as long as the process lives; returns whether that was possible."""
        if self.folder.full:
            return False
        self.folder.holders[name] = self.loop
        self.folder.changes += 1
        return True

    def is_alive(self, name: str) -> bool | None:
        """Return whether the process that took a lock lives; None if nobody took it."""
        holder = self.folder.holders.get(name)
        return None if holder is None else holder.alive

    def boot_id(self) -> str:
        """Return the same for all: virtual machines are told apart by their directories."""
        return ""
