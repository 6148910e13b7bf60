"""Append-only logs in the state directory: one process writes a log, and the others follow it.

Unlike a record, a log is read while it is written. A system call that fails loses no process: the log counts
as missing then.
"""

from __future__ import annotations

import contextlib
import os
from pathlib import Path
from typing import Protocol

from .file_system import FileSystem

LOG_SUFFIX = ".log"
READ_CHUNK_BYTES = 64 * 1024
MAX_UNWRITTEN_BYTES = 64 * 1024  # More than this can't be written later: the log is given up.


class LogWriter(Protocol):
    """The writing side of a log."""

    def append(self, data: bytes, /) -> bool:
        """Append data, and what earlier calls could not write; return False if the log is unusable."""
        ...

    def close(self) -> None:
        """Stop writing; the log stays."""
        ...


class LogReader(Protocol):
    """The reading side of a log."""

    def read(self) -> bytes:
        """Return what has been appended since the last call; empty if nothing has, or can be read."""
        ...

    def is_replaced(self) -> bool:
        """Return whether the log was removed, or replaced by another one of its name."""
        ...

    def close(self) -> None:
        """Stop reading."""
        ...


class Logs(Protocol):
    """Logs by name, which every process of the sidecar can read."""

    def create(self, name: str) -> LogWriter | None:
        """Create an empty log in place of any log of that name; return None if that fails."""
        ...

    def open(self, name: str) -> LogReader | None:
        """Open a log from its beginning; return None if it is missing or can't be read."""
        ...

    def remove(self, name: str) -> None:
        """Remove a log; a missing log is no error."""
        ...


class FileLogs:
    """Logs that are files in a folder.

    Args:
        folder: Path of the folder.
        files: File system calls.
    """

    def __init__(self, folder: Path, files: FileSystem) -> None:
        self._folder = folder
        self._files = files

    def _path(self, name: str) -> Path:
        return self._folder / f"{name}{LOG_SUFFIX}"

    def create(self, name: str) -> FileLogWriter | None:
        """Create an empty log: see `Logs.create`."""
        path = self._path(name)
        with contextlib.suppress(OSError):
            self._files.unlink(path)
        try:
            descriptor = self._files.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL | os.O_APPEND)
        except OSError:
            return None
        return FileLogWriter(descriptor, self._files)

    def open(self, name: str) -> FileLogReader | None:
        """Open a log: see `Logs.open`."""
        path = self._path(name)
        try:
            # Without O_NONBLOCK, a named pipe at this path would block the process.
            return FileLogReader(path, self._files.open(path, os.O_RDONLY | os.O_NONBLOCK), self._files)
        except OSError:
            return None

    def remove(self, name: str) -> None:
        """Remove a log: see `Logs.remove`."""
        with contextlib.suppress(OSError):
            self._files.unlink(self._path(name))


class FileLogWriter:
    """Writes one file.

    Args:
        descriptor: Descriptor of the file, opened for appending.
        files: File system calls.
    """

    def __init__(self, descriptor: int, files: FileSystem) -> None:
        self._descriptor = descriptor
        self._files = files
        self._unwritten = b""

    def append(self, data: bytes, /) -> bool:
        """Append data: see `LogWriter.append`."""
        self._unwritten += data
        try:
            while self._unwritten:
                written = self._files.write(self._descriptor, self._unwritten)
                self._unwritten = self._unwritten[written:]
        except OSError:
            return len(self._unwritten) <= MAX_UNWRITTEN_BYTES
        return True

    def close(self) -> None:
        """Close the file."""
        with contextlib.suppress(OSError):
            self._files.close(self._descriptor)


class FileLogReader:
    """Reads one file while another process appends to it.

    Args:
        path: Path at which the file was opened.
        descriptor: Descriptor of the file.
        files: File system calls.
    """

    def __init__(self, path: Path, descriptor: int, files: FileSystem) -> None:
        self._path = path
        self._descriptor = descriptor
        self._files = files

    def read(self) -> bytes:
        """Return what was appended: see `LogReader.read`."""
        data = b""
        with contextlib.suppress(OSError):
            while chunk := self._files.read(self._descriptor, READ_CHUNK_BYTES):
                data += chunk
                if len(chunk) < READ_CHUNK_BYTES:
                    break
        return data

    def is_replaced(self) -> bool:
        """Return whether the path has another file: see `LogReader.is_replaced`."""
        try:
            opened, current = self._files.fstat(self._descriptor), self._files.stat(self._path)
        except OSError:
            return True
        return (opened.st_dev, opened.st_ino) != (current.st_dev, current.st_ino)

    def close(self) -> None:
        """Close the file."""
        with contextlib.suppress(OSError):
            self._files.close(self._descriptor)
