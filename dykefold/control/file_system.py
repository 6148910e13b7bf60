"""File system calls of the state directory, which tests replace to make any of them fail.

Each method is one system call. The state directory makes no other calls on its folder.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

PROC = Path("/proc")
BOOT_ID = PROC / "sys/kernel/random/boot_id"


class FileSystem:
    """System calls on files; all raise OSError (manual pages, section 2)."""

    def open(self, path: Path, flags: int, mode: int = 0o600) -> int:
        """Open a file with the flags of the system call; return its descriptor, which is closed on exec."""
        return os.open(path, flags | os.O_CLOEXEC, mode)

    def read(self, descriptor: int, size: int) -> bytes:
        """Return at most `size` bytes; empty at the end of the file."""
        return os.read(descriptor, size)

    def write(self, descriptor: int, data: bytes | memoryview) -> int:
        """Write all or part of the data; return the number of written bytes."""
        return os.write(descriptor, data)

    def fsync(self, descriptor: int) -> None:
        """Flush a file or folder to the disk."""
        os.fsync(descriptor)

    def close(self, descriptor: int) -> None:
        """Close a descriptor."""
        os.close(descriptor)

    def rename(self, source: Path, target: Path) -> None:
        """Rename a file, replacing any file that has the new name."""
        os.replace(source, target)

    def unlink(self, path: Path) -> None:
        """Remove a file."""
        os.unlink(path)

    def mkdir(self, path: Path) -> None:
        """Create a folder that only this user can access."""
        os.mkdir(path, 0o700)

    def listdir(self, path: Path) -> list[str]:
        """Return the names in a folder, in arbitrary order."""
        return os.listdir(path)

    def stat(self, path: Path) -> os.stat_result:
        """Return the status of the file at a path."""
        return os.stat(path)

    def fstat(self, descriptor: int) -> os.stat_result:
        """Return the status of an open file."""
        return os.fstat(descriptor)

    def flock(self, descriptor: int, operation: int) -> None:
        """Lock or unlock an open file; `operation` is one of the `fcntl.LOCK_` constants."""
        fcntl.flock(descriptor, operation)

    def is_running(self, process: int) -> bool:
        """Whether a process with this id is running, of any user."""
        return (PROC / str(process)).exists()

    def boot_id(self) -> str:
        """Return the identifier of this boot of the machine; empty if the system has none."""
        try:
            return BOOT_ID.read_text(encoding="ascii").strip()
        except (OSError, ValueError):
            return ""


FILE_SYSTEM = FileSystem()
