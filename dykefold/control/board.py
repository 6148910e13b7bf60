"""Where the processes of one sidecar leave each other word: small files in a folder that they share.

A file is written beside and then renamed, so that no reader meets a part of one. Whatever can't be read (torn
by a full disk, of another version, too large) counts as not there: no process depends on another's word.

Beside its words each process holds a lock (flock(2)) on a file of its name. The kernel takes it back when the
process ends, in whichever way, and keeps it while the process is stopped: that tells the two apart, and a
process number that is in use again tells nothing. Nobody ever waits for a lock.
"""

from __future__ import annotations

import contextlib
import fcntl
import json
import logging
import os
from collections.abc import Mapping
from pathlib import Path
from typing import Any, Protocol

log = logging.getLogger("dykefold.control")

VERSION = 1
FOLDER = "dykefold"
FILE_MOST = 4 * 1024 * 1024  # bytes of a file that is read: the largest fleet's estimates take one
FILES_MOST = 64  # that are looked at


class Board(Protocol):
    """A place to leave word by name, which every process of the sidecar can read."""

    def changed(self) -> bool:
        """Whether anything may have been written since the last `read_all`."""
        ...

    def write(self, name: str, word: Mapping[str, Any]) -> bool:
        """Leave word under a name in place of what stood there; False if it can't be."""
        ...

    def read(self, name: str) -> dict[str, Any] | None:
        """What stands under a name; None if nothing that can be used does."""
        ...

    def read_all(self, prefix: str) -> dict[str, dict[str, Any]]:
        """All that can be used, of names that begin so."""
        ...

    def remove(self, name: str) -> None:
        """Take a word away; that it is gone already is no error."""
        ...

    def hold(self, name: str) -> bool:
        """Show under a name that this process lives, until it ends; False if that can't be shown."""
        ...

    def held(self, name: str) -> bool | None:
        """Whether the process that holds a name lives; None if nothing tells."""
        ...


class Files:
    """A board of files in `$TMPDIR`."""

    def __init__(self, folder: str) -> None:
        """Take a folder that exists and can be written to. Raises OSError if it can't."""
        self.path = Path(folder) / FOLDER
        self.path.mkdir(mode=0o700, exist_ok=True)
        self.seen_ns = -1
        self.lock = -1
        self.noted: set[str] = set()

    def changed(self) -> bool:
        try:
            at_ns = os.stat(self.path).st_mtime_ns  # a rename in it is a change of it
        except OSError:
            return True
        return at_ns != self.seen_ns

    def write(self, name: str, word: Mapping[str, Any]) -> bool:
        temporary = self.path / f".{name}.{os.getpid()}"
        try:
            temporary.write_text(json.dumps({"version": VERSION, **word}), encoding="utf-8")
            os.replace(temporary, self.path / f"{name}.json")
        except OSError as error:
            with contextlib.suppress(OSError):
                temporary.unlink()
            self._note(name, f"can't be written: {error.strerror}")
            return False
        return True

    def read(self, name: str) -> dict[str, Any] | None:
        try:
            with open(self.path / f"{name}.json", encoding="utf-8") as file:
                text = file.read(FILE_MOST + 1)
            word = json.loads(text) if len(text) <= FILE_MOST else None
        except FileNotFoundError:
            return None
        except (OSError, ValueError, RecursionError) as error:
            self._note(name, f"can't be read: {' '.join(str(error).split())}")
            return None
        if not isinstance(word, dict) or word.get("version") != VERSION:
            self._note(name, f"is none of version {VERSION}")
            return None
        return word

    def read_all(self, prefix: str) -> dict[str, dict[str, Any]]:
        try:
            self.seen_ns = os.stat(self.path).st_mtime_ns  # before: what is written meanwhile is a change
            names = sorted(name[:-5] for name in os.listdir(self.path) if name.endswith(".json"))
        except OSError:
            return {}
        found = {}
        for name in [name for name in names if name.startswith(prefix)][-FILES_MOST:]:
            word = self.read(name)
            if word is not None:
                found[name] = word
        return found

    def remove(self, name: str) -> None:
        with contextlib.suppress(OSError):
            (self.path / f"{name}.json").unlink()
        with contextlib.suppress(OSError):
            (self.path / f"{name}.lock").unlink()

    def hold(self, name: str) -> bool:
        lock = -1
        try:
            lock = os.open(self.path / f"{name}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            self._note(name, f"has no lock: {error.strerror}")
            with contextlib.suppress(OSError):  # a file that nobody locks would say that this process is gone
                (self.path / f"{name}.lock").unlink()
            if lock >= 0:
                os.close(lock)
            return False
        self.lock = lock
        return True

    def held(self, name: str) -> bool | None:
        try:
            lock = os.open(self.path / f"{name}.lock", os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            return None
        try:
            fcntl.flock(lock, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except BlockingIOError:
            return True
        except OSError:
            return None
        finally:
            os.close(lock)
        return False

    def _note(self, name: str, what: str) -> None:
        """One log line for each file: it is looked at again and again."""
        if name not in self.noted and len(self.noted) < FILES_MOST:
            self.noted.add(name)
            log.warning("%s: %s.json %s", self.path, name, what)
