"""The folder that the processes of one virtual sidecar share: words, and who holds a lock."""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

from .loop import SimLoop


class Folder:
    """What is in it. While `full` is above 0 nothing can be written."""

    def __init__(self) -> None:
        self.words: dict[str, str] = {}
        self.holders: dict[str, SimLoop] = {}
        self.changes = 0
        self.full = 0


class SimBoard:
    """One process's hold of the folder: a `control.board.Board`."""

    def __init__(self, folder: Folder, loop: SimLoop) -> None:
        self.folder = folder
        self.loop = loop
        self.seen = -1

    def changed(self) -> bool:
        return self.folder.changes != self.seen

    def write(self, name: str, word: Mapping[str, Any], durable: bool = False) -> bool:
        if self.folder.full:
            return False
        self.folder.words[name] = json.dumps(word)
        self.folder.changes += 1
        return True

    def read(self, name: str) -> dict[str, Any] | None:
        text = self.folder.words.get(name)
        return None if text is None else json.loads(text)

    def read_all(self, *prefixes: str) -> dict[str, dict[str, Any]]:
        self.seen = self.folder.changes
        names = sorted(name for name in self.folder.words if name.startswith(prefixes))
        return {name: json.loads(self.folder.words[name]) for name in names}

    def remove(self, name: str) -> None:
        self.folder.words.pop(name, None)
        self.folder.holders.pop(name, None)
        self.folder.changes += 1

    def lock(self, name: str) -> bool:
        if self.folder.full:
            return False
        self.folder.holders[name] = self.loop
        self.folder.changes += 1
        return True

    def is_alive(self, name: str) -> bool | None:
        holder = self.folder.holders.get(name)
        return None if holder is None else holder.alive

    def boot_id(self) -> str:
        return ""  # its machines are told apart by their folders
