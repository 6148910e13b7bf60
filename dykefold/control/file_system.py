"""The file calls of the state directory: the one seam at which a test can have any of them fail.

Each method is one system call. The state directory makes no other call on its folder.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

PROC = Path("/proc")
BOOT_ID = PROC / "sys/kernel/random/boot_id"


class FileSystem:
    """File calls of the operating system. All raise OSError, as section 2 of the manual says."""

    def open(self, path: Path, flags: int, mode: int = 0o600) -> int:
        """Return a descriptor of a file, opened with the system's flags; it is closed on exec."""
        return os.open(path, flags | os.O_CLOEXEC, mode)

    def read(self, descriptor: int, size: int) -> bytes:
        """Read at most `size` bytes; none at the end of the file."""
        return os.read(descriptor, size)

    def write(self, descriptor: int, data: bytes | memoryview) -> int:
        """Write some of the data; returns how many bytes, which may be fewer than there are."""
        return os.write(descriptor, data)

    def fsync(self, descriptor: int) -> None:
        """Write a file or folder through to the disk."""
        os.fsync(descriptor)

    def close(self, descriptor: int) -> None:
        """Close a descriptor."""
        os.close(descriptor)

    def rename(self, source: Path, target: Path) -> None:
        """Rename a file, in place of what has the new name."""
        os.replace(source, target)

    def unlink(self, path: Path) -> None:
        """Remove a file."""
        os.unlink(path)

    def mkdir(self, path: Path) -> None:
        """Make a folder for this user alone."""
        os.mkdir(path, 0o700)

    def listdir(self, path: Path) -> list[str]:
        """Return the names in a folder, in no order."""
        return os.listdir(path)

    def stat(self, path: Path) -> os.stat_result:
        """Return what the system knows of a path."""
        return os.stat(path)

    def fstat(self, descriptor: int) -> os.stat_result:
        """Return what the system knows of an open file."""
        return os.fstat(descriptor)

    def flock(self, descriptor: int, operation: int) -> None:
        """Lock or unlock an open file, as `operation` says (`fcntl.LOCK_EX` and its like)."""
        fcntl.flock(descriptor, operation)

    def runs(self, process: int) -> bool:
        """Whether a process with this number runs, of any user."""
        return (PROC / str(process)).exists()

    def boot_id(self) -> str:
        """Return what tells this boot of the machine from any other; empty if nothing does."""
        try:
            return BOOT_ID.read_text(encoding="ascii").strip()
        except (OSError, ValueError):
            return ""


FILE_SYSTEM = FileSystem()
