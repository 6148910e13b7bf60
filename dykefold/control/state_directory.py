"""Where the processes of one sidecar leave each other word: small files in a folder that they share.

A file is written beside and then renamed, so that no reader meets a part of one. Whatever can't be read (torn
by a full disk, of another version, too large) counts as not there: no process depends on another's word.
A record that must outlast the machine is synced before it is renamed, and its folder after that (fsync(2)).

Beside its words each process holds a lock (flock(2)) on a file of its name. The kernel takes it back when the
process ends, in whichever way, and keeps it while the process is stopped: that tells the two apart, and a
process number that is in use again tells nothing. Nobody ever waits for a lock.

What a process that was killed in the middle of a write left behind is taken away by the next one that starts.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import json
import logging
import os
import re
import stat
import time
from collections.abc import Callable, Collection, Mapping
from pathlib import Path
from typing import Any, Protocol

from .file_system import FILE_SYSTEM, FileSystem

log = logging.getLogger("dykefold.control")

VERSION = 1
FOLDER = "dykefold"
FILE_MOST = 4 * 1024 * 1024  # bytes of a file that is read: the largest fleet's estimates take one
FILES_MOST = 64  # that are looked at, of each kind
READ_SIZE = 256 * 1024  # bytes that are read at once
SETTLE_NS = 100_000_000  # far more than a tick of a local file system's clock: 10 ms at most on Linux
LOOK_AGAIN_NS = 1_000_000_000  # where times of files are coarser still: all is read once in so long
TEMPORARY = re.compile(r"\.(?P<name>.+)\.(?P<process>\d{1,10})")


class StateDirectory(Protocol):
    """A place to leave word by name, which every process of the sidecar can read."""

    def changed(self) -> bool:
        """Whether anything may have been written since the last `read_all`."""
        ...

    def write(self, name: str, word: Mapping[str, Any], durable: bool = False) -> bool:
        """Leave word under a name in place of what stood there; False if it can't be.

        Args:
            durable: True is returned only once it outlasts the machine too.
        """
        ...

    def read(self, name: str) -> dict[str, Any] | None:
        """What stands under a name; None if nothing that can be used does."""
        ...

    def read_all(self, *prefixes: str) -> dict[str, dict[str, Any]]:
        """All that can be used, of names that begin with one of these."""
        ...

    def remove(self, name: str) -> None:
        """Take a word away; that it is gone already is no error."""
        ...

    def hold(self, name: str) -> bool:
        """Show under a name that this process lives, until it ends; False if that can't be shown.

        It may be asked again at any time: a lock whose file was taken away is taken anew.
        """
        ...

    def held(self, name: str) -> bool | None:
        """Whether the process that holds a name lives; None if nothing tells."""
        ...

    def boot_id(self) -> str:
        """What tells this boot of the machine from any other; empty if nothing does."""
        ...


class FileStateDirectory:
    """A board of files in `$TMPDIR`."""

    def __init__(
        self,
        folder: str,
        files: FileSystem = FILE_SYSTEM,
        monotonic_ns: Callable[[], int] = time.monotonic_ns,
    ) -> None:
        """Take a folder that exists and can be written to. Raises OSError if it can't."""
        self.path = Path(folder) / FOLDER
        self.files = files
        self.monotonic_ns = monotonic_ns
        self.lock = -1
        self.noted: set[str] = set()
        self.state: tuple[int, ...] = ()  # of the folder, as last seen ...
        self.state_ns = 0  # ... and since when
        self.read_ns = 0  # when all was last read
        self.settled = False  # that was after the last change which that state may stand for
        self._make()
        self.swept = self._sweep()

    def _make(self) -> None:
        with contextlib.suppress(FileExistsError):
            self.files.mkdir(self.path)
        if not stat.S_ISDIR(self.files.stat(self.path).st_mode):
            raise NotADirectoryError(errno.ENOTDIR, os.strerror(errno.ENOTDIR), str(self.path))

    # What has changed

    def changed(self) -> bool:
        # Two changes within one tick of the file system's clock leave the same time. So a state of the folder
        # counts as read only if that was `SETTLE_NS` after it was first seen, by the own monotonic clock:
        # whatever has the same time had happened by then. The wall clock has no part in it.
        return (
            not self.settled
            or self._look() != self.state
            or self.monotonic_ns() - self.read_ns >= LOOK_AGAIN_NS
        )

    def _look(self) -> tuple[int, ...]:
        """The folder's state; empty if it can't be seen."""
        try:
            found = self.files.stat(self.path)
        except OSError:
            return ()
        return (found.st_dev, found.st_ino, found.st_mtime_ns, found.st_ctime_ns)

    def _begin_reading(self) -> None:
        # Before anything is read: what is written meanwhile is a change.
        state, now_ns = self._look(), self.monotonic_ns()
        if state != self.state:
            self.state, self.state_ns = state, now_ns
        self.settled = bool(state) and now_ns - self.state_ns >= SETTLE_NS
        self.read_ns = now_ns

    # Words

    def write(self, name: str, word: Mapping[str, Any], durable: bool = False) -> bool:
        temporary = self.path / f".{name}.{os.getpid()}"
        data = json.dumps({"version": VERSION, **word}).encode()
        try:
            self._write_file(temporary, data, durable)
            self.files.rename(temporary, self.path / f"{name}.json")
            if durable:
                self._sync_folder()
        except OSError as error:
            with contextlib.suppress(OSError):
                self.files.unlink(temporary)
            self._note(name, f"can't be written: {error.strerror}")
            return False
        return True

    def _write_file(self, path: Path, data: bytes, durable: bool) -> None:
        descriptor = self.files.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC)
        try:
            left = memoryview(data)
            while left:
                written = self.files.write(descriptor, left)
                if written <= 0:
                    raise OSError(errno.EIO, "nothing of it was written")
                left = left[written:]
            if durable:
                self.files.fsync(descriptor)
        except OSError:
            with contextlib.suppress(OSError):
                self.files.close(descriptor)
            raise
        self.files.close(descriptor)  # on a network's file system this is where a write fails

    def _sync_folder(self) -> None:
        descriptor = self.files.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            self.files.fsync(descriptor)
        except OSError as error:
            if error.errno != errno.EINVAL:  # a file system that has no sync of folders
                raise
        finally:
            with contextlib.suppress(OSError):
                self.files.close(descriptor)

    def read(self, name: str) -> dict[str, Any] | None:
        try:
            data = self._read_file(self.path / f"{name}.json")
            word = json.loads(data) if len(data) <= FILE_MOST else None
        except FileNotFoundError:
            return None
        except (OSError, ValueError, RecursionError) as error:
            self._note(name, f"can't be read: {' '.join(str(error).split())}")
            return None
        if not isinstance(word, dict) or word.get("version") != VERSION:
            self._note(name, f"is none of version {VERSION}")
            return None
        return word

    def _read_file(self, path: Path) -> bytes:
        """What a file holds, and no more than shows that it is too long."""
        descriptor = self.files.open(path, os.O_RDONLY | os.O_NONBLOCK)  # a pipe of that name must not block
        try:
            data = bytearray()
            while len(data) <= FILE_MOST and (more := self.files.read(descriptor, READ_SIZE)):
                data += more
            return bytes(data)
        finally:
            with contextlib.suppress(OSError):
                self.files.close(descriptor)

    def read_all(self, *prefixes: str) -> dict[str, dict[str, Any]]:
        self.swept = self.swept or self._sweep()
        self._begin_reading()
        try:
            names = sorted(name[:-5] for name in self.files.listdir(self.path) if name.endswith(".json"))
        except OSError:
            self.settled = False
            return {}
        found = {}
        for prefix in prefixes:
            for name in [name for name in names if name.startswith(prefix)][-FILES_MOST:]:
                word = self.read(name)
                if word is not None:
                    found[name] = word
        return found

    def remove(self, name: str) -> None:
        for kind in ("json", "lock"):
            with contextlib.suppress(OSError):
                self.files.unlink(self.path / f"{name}.{kind}")

    # Who lives

    def hold(self, name: str) -> bool:
        path = self.path / f"{name}.lock"
        if self._stands(path):
            return True
        self._let_go()
        lock = -1
        try:
            lock = self._open_lock(path)
            self.files.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            self._note(name, f"has no lock: {error.strerror}")
            with contextlib.suppress(OSError):  # a file that nobody locks would say that this process is gone
                self.files.unlink(path)
            if lock >= 0:
                with contextlib.suppress(OSError):
                    self.files.close(lock)
            return False
        self.lock = lock
        return self._stands(path)  # another one may have swept it away before it was locked

    def _open_lock(self, path: Path) -> int:
        try:
            return self.files.open(path, os.O_RDWR | os.O_CREAT)
        except FileNotFoundError:
            self._make()  # the folder was taken away
            return self.files.open(path, os.O_RDWR | os.O_CREAT)

    def _stands(self, path: Path) -> bool:
        """Whether the file that this process has locked is the one that others look at."""
        if self.lock < 0:
            return False
        try:
            mine, found = self.files.fstat(self.lock), self.files.stat(path)
        except OSError:
            return False
        return (mine.st_dev, mine.st_ino) == (found.st_dev, found.st_ino)

    def _let_go(self) -> None:
        if self.lock >= 0:
            lock, self.lock = self.lock, -1
            with contextlib.suppress(OSError):
                self.files.close(lock)

    def held(self, name: str) -> bool | None:
        try:
            lock = self.files.open(self.path / f"{name}.lock", os.O_RDONLY | os.O_NONBLOCK)
        except OSError:
            return None
        try:
            self.files.flock(lock, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except BlockingIOError:
            return True
        except OSError:
            return None
        finally:
            with contextlib.suppress(OSError):
                self.files.close(lock)
        return False

    def boot_id(self) -> str:
        return self.files.boot_id()

    # What killed processes left

    def _sweep(self) -> bool:
        """Take away what processes that are gone left half written; False if the folder can't be read."""
        try:
            names = self.files.listdir(self.path)
        except OSError:
            return False
        for name in self._left_over(names):
            with contextlib.suppress(OSError):
                self.files.unlink(self.path / name)
        return True

    def _left_over(self, names: Collection[str]) -> list[str]:
        found = []
        for name in names:
            match = TEMPORARY.fullmatch(name)
            if match is not None and not self._may_live(match["name"], int(match["process"])):
                found.append(name)
            stem = name.removesuffix(".lock")
            if stem != name and f"{stem}.json" not in names and self.held(stem) is False:
                found.append(name)
        return found

    def _may_live(self, name: str, process: int) -> bool:
        """Whether the process that writes this may live. Its lock tells; where there is none, its number."""
        _, _, of = name.partition("-")
        held = self.held(f"sign-{of}")
        if held is not None:
            return held
        return process != os.getpid() and self.files.runs(process)

    def _note(self, name: str, what: str) -> None:
        """One log line for each file: it is looked at again and again."""
        if name not in self.noted and len(self.noted) < FILES_MOST:
            self.noted.add(name)
            log.warning("%s: %s.json %s", self.path, name, what)
