"""The state directory: files by which the processes of one sidecar leave records for each other.

A file is written beside and then renamed, so that no reader meets a part of one. Whatever can't be read (torn
by a full disk, of another version, too large) counts as not there: no process depends on another's records.
A record that must outlast the machine is synced before it is renamed, and its folder after that (fsync(2)).

Beside its records each process holds a lock (flock(2)) on a file of its name. The kernel releases it when the
process ends, in whichever way, and keeps it while the process is stopped: that tells the two apart, and a
process number that is in use again tells nothing. Nobody ever waits for a lock.

What a process that was killed in the middle of a write left behind is removed by the next one that starts.
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
from .process_records import RecordKind

log = logging.getLogger("dykefold.control")

RECORD_VERSION = 1
FOLDER_NAME = "dykefold"
RECORD_SUFFIX = ".json"
LOCK_SUFFIX = ".lock"
MAX_FILE_BYTES = 4 * 1024 * 1024  # of a file that is read: the largest fleet's estimates take 1 MiB
MAX_FILES = 64  # that are read, of each kind
READ_SIZE = 256 * 1024  # bytes that are read at once
SETTLE_NS = 100_000_000  # far more than a tick of a local file system's clock: 10 ms at most on Linux
MAX_READ_INTERVAL_NS = 1_000_000_000  # where times of files are coarser still: all is read once in so long
TEMPORARY_FILE = re.compile(r"\.(?P<name>.+)\.(?P<process>\d{1,10})")


class StateDirectory(Protocol):
    """A place for records by name, which every process of the sidecar can read."""

    def changed(self) -> bool:
        """Whether anything may have been written since the last `read_all`."""
        ...

    def write(self, name: str, record: Mapping[str, Any], /, durable: bool = False) -> bool:
        """Write a record in place of what stood under its name; False if it can't be.

        Args:
            name: of the record.
            record: its contents, to be stored as JSON.
            durable: True is returned only once it outlasts the machine too.
        """
        ...

    def read(self, name: str) -> dict[str, Any] | None:
        """Return the record of a name; None if there is none that can be used."""
        ...

    def read_all(self, *prefixes: str) -> dict[str, dict[str, Any]]:
        """Return all records that can be used and whose names begin with one of these prefixes."""
        ...

    def remove(self, name: str) -> None:
        """Remove a record and its lock; that it is gone already is no error."""
        ...

    def lock(self, name: str) -> bool:
        """Lock a name to show that this process is alive, until it ends; False if that can't be shown.

        It may be called again at any time: a lock whose file was removed is taken anew.
        """
        ...

    def is_alive(self, name: str) -> bool | None:
        """Whether the process that locked a name is alive; None if nothing tells."""
        ...

    def boot_id(self) -> str:
        """Return what tells this boot of the machine from any other; empty if nothing does."""
        ...


class FileStateDirectory:
    """A state directory of files in a folder, as `$TMPDIR` names one.

    Args:
        folder: that the processes share.
        files: the file calls.
        monotonic_ns: the monotonic clock.
    """

    def __init__(
        self,
        folder: str,
        files: FileSystem = FILE_SYSTEM,
        monotonic_ns: Callable[[], int] = time.monotonic_ns,
    ) -> None:
        """Make the directory in a folder that exists, and remove what killed processes left half written.

        Raises:
            OSError: the directory can't be made, or what has its name is none.
        """
        self.path = Path(folder) / FOLDER_NAME
        self.files = files
        self.monotonic_ns = monotonic_ns
        self.lock_descriptor = -1
        self.warned: set[str] = set()  # names of records that have been logged
        self.folder_state: tuple[int, ...] = ()  # as last seen ...
        self.folder_state_ns = 0  # ... and since when
        self.read_ns = 0  # when all was last read
        self.settled = False  # that was after the last change which that state may stand for
        self._make()
        self.cleaned_up = self._clean_up()

    def _make(self) -> None:
        with contextlib.suppress(FileExistsError):
            self.files.mkdir(self.path)
        if not stat.S_ISDIR(self.files.stat(self.path).st_mode):
            raise NotADirectoryError(errno.ENOTDIR, os.strerror(errno.ENOTDIR), str(self.path))

    # Changes

    def changed(self) -> bool:
        """Whether anything may have been written since the last `read_all`."""
        # Two changes within one tick of the file system's clock leave the same time. So a state of the folder
        # counts as read only if that was `SETTLE_NS` after it was first seen, by the own monotonic clock:
        # whatever has the same time had happened by then. The wall clock has no part in it.
        return (
            not self.settled
            or self._read_folder_state() != self.folder_state
            or self.monotonic_ns() - self.read_ns >= MAX_READ_INTERVAL_NS
        )

    def _read_folder_state(self) -> tuple[int, ...]:
        """Return what changes with the folder; empty if it can't be read."""
        try:
            found = self.files.stat(self.path)
        except OSError:
            return ()
        return (found.st_dev, found.st_ino, found.st_mtime_ns, found.st_ctime_ns)

    def _start_reading(self) -> None:
        # Before anything is read: what is written meanwhile is a change.
        state, now_ns = self._read_folder_state(), self.monotonic_ns()
        if state != self.folder_state:
            self.folder_state, self.folder_state_ns = state, now_ns
        self.settled = bool(state) and now_ns - self.folder_state_ns >= SETTLE_NS
        self.read_ns = now_ns

    # Records

    def write(self, name: str, record: Mapping[str, Any], /, durable: bool = False) -> bool:
        """Write a record: see `StateDirectory.write`."""
        temporary = self.path / f".{name}.{os.getpid()}"
        data = json.dumps({"version": RECORD_VERSION, **record}).encode()
        try:
            self._write_file(temporary, data, durable)
            self.files.rename(temporary, self._record_path(name))
            if durable:
                self._sync_folder()
        except OSError as error:
            with contextlib.suppress(OSError):
                self.files.unlink(temporary)
            self._warn("write", name, error.strerror or str(error))
            return False
        return True

    def _write_file(self, path: Path, data: bytes, durable: bool) -> None:
        descriptor = self.files.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC)
        try:
            self._write_all(descriptor, data)
            if durable:
                self.files.fsync(descriptor)
        except OSError:
            with contextlib.suppress(OSError):
                self.files.close(descriptor)
            raise
        self.files.close(descriptor)  # on a network's file system this is where a write fails

    def _write_all(self, descriptor: int, data: bytes) -> None:
        left = memoryview(data)
        while left:
            written = self.files.write(descriptor, left)
            if written <= 0:
                raise OSError(errno.EIO, "no bytes were written")
            left = left[written:]

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
        """Return a record: see `StateDirectory.read`."""
        try:
            data = self._read_file(self._record_path(name))
            record = json.loads(data) if len(data) <= MAX_FILE_BYTES else None
        except FileNotFoundError:
            return None
        except (OSError, ValueError, RecursionError) as error:
            self._warn("read", name, " ".join(str(error).split()))
            return None
        if not isinstance(record, dict) or record.get("version") != RECORD_VERSION:
            self._warn("read", name, f"expected version {RECORD_VERSION}")
            return None
        return record

    def _record_path(self, name: str) -> Path:
        return self.path / f"{name}{RECORD_SUFFIX}"

    def _lock_path(self, name: str) -> Path:
        return self.path / f"{name}{LOCK_SUFFIX}"

    def _read_file(self, path: Path) -> bytes:
        """Return what a file holds, and no more than shows that it is too long."""
        # A pipe of that name must not block the process.
        descriptor = self.files.open(path, os.O_RDONLY | os.O_NONBLOCK)
        try:
            data = bytearray()
            while len(data) <= MAX_FILE_BYTES and (more := self.files.read(descriptor, READ_SIZE)):
                data += more
            return bytes(data)
        finally:
            with contextlib.suppress(OSError):
                self.files.close(descriptor)

    def read_all(self, *prefixes: str) -> dict[str, dict[str, Any]]:
        """Return records: see `StateDirectory.read_all`."""
        self.cleaned_up = self.cleaned_up or self._clean_up()
        self._start_reading()
        try:
            files = self.files.listdir(self.path)
        except OSError:
            self.settled = False
            return {}
        names = sorted(file.removesuffix(RECORD_SUFFIX) for file in files if file.endswith(RECORD_SUFFIX))
        found = {}
        for prefix in prefixes:
            for name in [name for name in names if name.startswith(prefix)][-MAX_FILES:]:
                record = self.read(name)
                if record is not None:
                    found[name] = record
        return found

    def remove(self, name: str) -> None:
        """Remove a record and its lock; that it is gone already is no error."""
        for path in (self._record_path(name), self._lock_path(name)):
            with contextlib.suppress(OSError):
                self.files.unlink(path)

    # Locks

    def lock(self, name: str) -> bool:
        """Lock a name: see `StateDirectory.hold`."""
        path = self._lock_path(name)
        if self._is_current(path):
            return True
        self._release()
        lock = -1
        try:
            lock = self._open_lock(path)
            self.files.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            self._warn("lock", name, error.strerror or str(error))
            # A file that nobody locks would show that this process is gone.
            with contextlib.suppress(OSError):
                self.files.unlink(path)
            if lock >= 0:
                with contextlib.suppress(OSError):
                    self.files.close(lock)
            return False
        self.lock_descriptor = lock
        # Another process may have removed the file before it was locked.
        return self._is_current(path)

    def _open_lock(self, path: Path) -> int:
        try:
            return self.files.open(path, os.O_RDWR | os.O_CREAT)
        except FileNotFoundError:
            self._make()  # the folder was taken away
            return self.files.open(path, os.O_RDWR | os.O_CREAT)

    def _is_current(self, path: Path) -> bool:
        """Whether the file that this process has locked is the one that others open."""
        if self.lock_descriptor < 0:
            return False
        try:
            locked, found = self.files.fstat(self.lock_descriptor), self.files.stat(path)
        except OSError:
            return False
        return (locked.st_dev, locked.st_ino) == (found.st_dev, found.st_ino)

    def _release(self) -> None:
        if self.lock_descriptor >= 0:
            lock, self.lock_descriptor = self.lock_descriptor, -1
            with contextlib.suppress(OSError):
                self.files.close(lock)

    def is_alive(self, name: str) -> bool | None:
        """Whether a process is alive: see `StateDirectory.held`."""
        try:
            lock = self.files.open(self._lock_path(name), os.O_RDONLY | os.O_NONBLOCK)
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
        """Return what tells this boot of the machine from any other; empty if nothing does."""
        return self.files.boot_id()

    # Leftovers of killed processes

    def _clean_up(self) -> bool:
        """Remove what processes that are gone left half written; False if the folder can't be read."""
        try:
            files = self.files.listdir(self.path)
        except OSError:
            return False
        for file in self._leftovers(files):
            with contextlib.suppress(OSError):
                self.files.unlink(self.path / file)
        return True

    def _leftovers(self, files: Collection[str]) -> list[str]:
        found = []
        for file in files:
            match = TEMPORARY_FILE.fullmatch(file)
            if match is not None and not self._may_be_alive(match["name"], int(match["process"])):
                found.append(file)
            name = file.removesuffix(LOCK_SUFFIX)
            without_record = name != file and f"{name}{RECORD_SUFFIX}" not in files
            if without_record and self.is_alive(name) is False:
                found.append(file)
        return found

    def _may_be_alive(self, record_name: str, process_number: int) -> bool:
        """Whether the process that writes a record may be alive.

        Its lock tells; where there is none, its number.
        """
        _, _, process = record_name.partition("-")
        held = self.is_alive(RecordKind.HEARTBEAT.of_process(process))
        if held is not None:
            return held
        return process_number != os.getpid() and self.files.runs(process_number)

    def _warn(self, operation: str, name: str, reason: str) -> None:
        """Log a failed operation, once for each record: it is retried again and again."""
        if name not in self.warned and len(self.warned) < MAX_FILES:
            self.warned.add(name)
            log.warning("process can't %s record: file %s, %s", operation, self._record_path(name), reason)
