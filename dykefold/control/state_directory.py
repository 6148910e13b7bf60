"""State directory: files by which the processes of one sidecar exchange records.

A record is written to a temporary file that is then renamed, so that no reader sees an incomplete record. A
record that can't be read (truncated by a full disk, of another version, too large) counts as missing: no
process depends on the records of another one. A record that must survive a crash of the machine is synced
before the rename, and its folder after the rename (fsync(2)).

Each process also holds a lock (flock(2)) on a file with its name. The kernel releases the lock when the
process ends for any reason, and keeps it while the process is stopped. So the lock distinguishes a dead
process from a stopped one; a process id can't, since the system reuses it. No process waits for a lock.

At its start, a process removes the temporary files of processes that were killed during a write.
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
from typing import Any

from .append_log import FileLogs, Logs
from .file_system import FILE_SYSTEM, FileSystem
from .process_records import RecordKind

log = logging.getLogger("dykefold.control")

RECORD_VERSION = 1
FOLDER_NAME = "dykefold"
RECORD_SUFFIX = ".json"
LOCK_SUFFIX = ".lock"
# Larger files are not parsed. The snapshot of the largest fleet takes 1 MiB.
MAX_FILE_BYTES = 4 * 1024 * 1024
MAX_FILES_PER_PREFIX = 64
MAX_LOGGED_RECORDS = 64
READ_CHUNK_BYTES = 256 * 1024
# The clock of a local file system ticks at least every 10 ms on Linux; this is far longer than a tick.
MIN_UNCHANGED_NS = 100_000_000
# On file systems with coarser timestamps, a change may go undetected for up to this interval.
MAX_READ_INTERVAL_NS = 1_000_000_000
TEMPORARY_FILE = re.compile(r"\.(?P<name>.+)\.(?P<process>\d{1,10})")


class FileStateDirectory:
    """A state directory whose records are files.

    The constructor creates the directory in an existing folder, and removes the temporary files of killed
    processes.

    Args:
        folder: Path of the folder that the processes of the sidecar share.
        files: File system calls.
        monotonic_ns: Monotonic clock, in nanoseconds.

    Raises:
        OSError: The directory can't be created, or another kind of file has its name.
    """

    def __init__(
        self,
        folder: str,
        files: FileSystem = FILE_SYSTEM,
        monotonic_ns: Callable[[], int] = time.monotonic_ns,
    ) -> None:
        self.path = Path(folder) / FOLDER_NAME
        self.files = files
        self.logs: Logs = FileLogs(self.path, files)
        self.monotonic_ns = monotonic_ns
        self.lock_descriptor: int | None = None
        self.logged_records: set[str] = set()  # names of records with a logged failure
        self.folder_state: tuple[int, ...] = ()
        self.folder_state_since_ns = 0  # when `folder_state` was first seen
        self.read_ns = 0  # time of the last `read_all`
        self.read_is_complete = False  # whether every later change will be detected
        self._make_folder()
        self.cleaned_up = self._clean_up()

    def _make_folder(self) -> None:
        with contextlib.suppress(FileExistsError):
            self.files.mkdir(self.path)
        if not stat.S_ISDIR(self.files.stat(self.path).st_mode):
            raise NotADirectoryError(errno.ENOTDIR, os.strerror(errno.ENOTDIR), str(self.path))

    # Change detection

    def changed(self) -> bool:
        """Whether anything may have been written since the last `read_all`."""
        # Two changes within one tick of the file system's clock have the same timestamp. So a read counts as
        # complete only if the folder state had been unchanged for `MIN_UNCHANGED_NS` by the monotonic clock
        # of this process: by then, no more changes with that timestamp can happen. The wall clock may be
        # stepped, so it is not used.
        return (
            not self.read_is_complete
            or self._read_folder_state() != self.folder_state
            or self.monotonic_ns() - self.read_ns >= MAX_READ_INTERVAL_NS
        )

    def _read_folder_state(self) -> tuple[int, ...]:
        """Return the identity and timestamps of the folder; empty if they can't be read."""
        try:
            status = self.files.stat(self.path)
        except OSError:
            return ()
        return (status.st_dev, status.st_ino, status.st_mtime_ns, status.st_ctime_ns)

    def _begin_read(self) -> None:
        # The state is read before the records, so that a write in between counts as a change.
        state, now_ns = self._read_folder_state(), self.monotonic_ns()
        if state != self.folder_state:
            self.folder_state, self.folder_state_since_ns = state, now_ns
        self.read_is_complete = bool(state) and now_ns - self.folder_state_since_ns >= MIN_UNCHANGED_NS
        self.read_ns = now_ns

    # Records

    def write(self, name: str, record: Mapping[str, Any], /, durable: bool = False) -> bool:
        """Write a record: see `protocols.StateDirectory.write`."""
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
            self._log_failure("write", name, error.strerror or str(error))
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
        # Network file systems may report a write error only here, so it is not suppressed.
        self.files.close(descriptor)

    def _write_all(self, descriptor: int, data: bytes) -> None:
        remaining = memoryview(data)
        while remaining:
            written = self.files.write(descriptor, remaining)
            if written <= 0:
                raise OSError(errno.EIO, "no bytes were written")
            remaining = remaining[written:]

    def _sync_folder(self) -> None:
        descriptor = self.files.open(self.path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            self.files.fsync(descriptor)
        except OSError as error:
            # EINVAL: this file system can't sync folders.
            if error.errno != errno.EINVAL:
                raise
        finally:
            with contextlib.suppress(OSError):
                self.files.close(descriptor)

    def read(self, name: str) -> dict[str, Any] | None:
        """Return a record: see `protocols.StateDirectory.read`."""
        try:
            data = self._read_file(self._record_path(name))
            record = json.loads(data) if len(data) <= MAX_FILE_BYTES else None
        except FileNotFoundError:
            return None
        except (OSError, ValueError, RecursionError) as error:
            self._log_failure("read", name, " ".join(str(error).split()))
            return None
        if not isinstance(record, dict) or record.get("version") != RECORD_VERSION:
            self._log_failure("read", name, f"expected version {RECORD_VERSION}")
            return None
        return record

    def _record_path(self, name: str) -> Path:
        return self.path / f"{name}{RECORD_SUFFIX}"

    def _lock_path(self, name: str) -> Path:
        return self.path / f"{name}{LOCK_SUFFIX}"

    def _read_file(self, path: Path) -> bytes:
        """Return the contents of a file; reading stops within one chunk above `MAX_FILE_BYTES`."""
        # Without O_NONBLOCK, a named pipe at this path would block the process.
        descriptor = self.files.open(path, os.O_RDONLY | os.O_NONBLOCK)
        try:
            data = bytearray()
            while len(data) <= MAX_FILE_BYTES and (chunk := self.files.read(descriptor, READ_CHUNK_BYTES)):
                data += chunk
            return bytes(data)
        finally:
            with contextlib.suppress(OSError):
                self.files.close(descriptor)

    def read_all(self, *prefixes: str) -> dict[str, dict[str, Any]]:
        """Return records: see `protocols.StateDirectory.read_all`."""
        self.cleaned_up = self.cleaned_up or self._clean_up()
        self._begin_read()
        try:
            files = self.files.listdir(self.path)
        except OSError:
            self.read_is_complete = False
            return {}
        names = sorted(file.removesuffix(RECORD_SUFFIX) for file in files if file.endswith(RECORD_SUFFIX))
        records = {}
        for prefix in prefixes:
            for name in [name for name in names if name.startswith(prefix)][-MAX_FILES_PER_PREFIX:]:
                record = self.read(name)
                if record is not None:
                    records[name] = record
        return records

    def remove(self, name: str) -> None:
        """Remove a record and its lock; a missing record is no error."""
        for path in (self._record_path(name), self._lock_path(name)):
            with contextlib.suppress(OSError):
                self.files.unlink(path)

    # Locks

    def lock(self, name: str) -> bool:
        """Lock a name: see `protocols.StateDirectory.lock`."""
        path = self._lock_path(name)
        if self._is_locked_file(path):
            return True
        self._release_lock()
        descriptor: int | None = None
        try:
            descriptor = self._open_lock(path)
            self.files.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            self._log_failure("lock", name, error.strerror or str(error))
            # Other processes would conclude from an unlocked file that this process is dead.
            with contextlib.suppress(OSError):
                self.files.unlink(path)
            if descriptor is not None:
                with contextlib.suppress(OSError):
                    self.files.close(descriptor)
            return False
        self.lock_descriptor = descriptor
        # Another process may have removed the file before it was locked.
        return self._is_locked_file(path)

    def _open_lock(self, path: Path) -> int:
        try:
            return self.files.open(path, os.O_RDWR | os.O_CREAT)
        except FileNotFoundError:
            self._make_folder()
            return self.files.open(path, os.O_RDWR | os.O_CREAT)

    def _is_locked_file(self, path: Path) -> bool:
        """Whether the file that this process has locked is still the file at the path."""
        if self.lock_descriptor is None:
            return False
        try:
            locked, current = self.files.fstat(self.lock_descriptor), self.files.stat(path)
        except OSError:
            return False
        return (locked.st_dev, locked.st_ino) == (current.st_dev, current.st_ino)

    def _release_lock(self) -> None:
        if self.lock_descriptor is not None:
            descriptor, self.lock_descriptor = self.lock_descriptor, None
            with contextlib.suppress(OSError):
                self.files.close(descriptor)

    def is_alive(self, name: str) -> bool | None:
        """Whether a process is alive: see `protocols.StateDirectory.is_alive`."""
        try:
            descriptor = self.files.open(self._lock_path(name), os.O_RDONLY | os.O_NONBLOCK)
        except OSError:
            return None
        try:
            self.files.flock(descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
        except BlockingIOError:
            return True
        except OSError:
            return None
        finally:
            with contextlib.suppress(OSError):
                self.files.close(descriptor)
        return False

    def boot_id(self) -> str:
        """Return the identifier of this boot of the machine; empty if the system has none."""
        return self.files.boot_id()

    # Cleanup of temporary files

    def _clean_up(self) -> bool:
        """Remove temporary files of dead processes; return False if the folder can't be read."""
        try:
            files = self.files.listdir(self.path)
        except OSError:
            return False
        for file in self._abandoned_files(files):
            with contextlib.suppress(OSError):
                self.files.unlink(self.path / file)
        return True

    def _abandoned_files(self, files: Collection[str]) -> list[str]:
        abandoned = []
        for file in files:
            match = TEMPORARY_FILE.fullmatch(file)
            if match is not None and not self._may_be_alive(match["name"], int(match["process"])):
                abandoned.append(file)
            name = file.removesuffix(LOCK_SUFFIX)
            without_record = name != file and f"{name}{RECORD_SUFFIX}" not in files
            if without_record and self.is_alive(name) is False:
                abandoned.append(file)
        return abandoned

    def _may_be_alive(self, record_name: str, process_id: int) -> bool:
        """Whether the process that writes a record may be alive.

        This is determined from its lock or, without a lock, from its process id.
        """
        _, _, process = record_name.partition("-")
        alive = self.is_alive(RecordKind.HEARTBEAT.of_process(process))
        if alive is not None:
            return alive
        return process_id != os.getpid() and self.files.is_running(process_id)

    def _log_failure(self, operation: str, name: str, reason: str) -> None:
        """Log the first failure for each record only, since operations are retried many times a second."""
        if name not in self.logged_records and len(self.logged_records) < MAX_LOGGED_RECORDS:
            self.logged_records.add(name)
            log.warning(
                "state record operation failed: operation=%s file=%s error=%s",
                operation,
                self._record_path(name),
                reason,
            )
