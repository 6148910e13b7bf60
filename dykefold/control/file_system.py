"""The file calls of the state directory: the one seam at which a test can have any of them fail.

Each method is one system call. Whoever keeps records in a folder makes no other call on it.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

PROCESSES = Path("/proc")
BOOT_ID = PROCESSES / "sys/kernel/random/boot_id"


class FileSystem:
    """File calls of the operating system. All raise OSError, as section 2 of the manual says."""

    def open(self, path: Path, flags: int, mode: int = 0o600) -> int:
        return os.open(path, flags | os.O_CLOEXEC, mode)

    def read(self, descriptor: int, size: int) -> bytes:
        return os.read(descriptor, size)

    def write(self, descriptor: int, data: bytes | memoryview) -> int:
        """Write some of the data; how many bytes, which may be fewer than there are."""
        return os.write(descriptor, data)

    def fsync(self, descriptor: int) -> None:
        os.fsync(descriptor)

    def close(self, descriptor: int) -> None:
        os.close(descriptor)

    def rename(self, source: Path, target: Path) -> None:
        os.replace(source, target)

    def unlink(self, path: Path) -> None:
        os.unlink(path)

    def mkdir(self, path: Path) -> None:
        os.mkdir(path, 0o700)

    def listdir(self, path: Path) -> list[str]:
        return os.listdir(path)

    def stat(self, path: Path) -> os.stat_result:
        return os.stat(path)

    def fstat(self, descriptor: int) -> os.stat_result:
        return os.fstat(descriptor)

    def flock(self, descriptor: int, operation: int) -> None:
        fcntl.flock(descriptor, operation)

    def runs(self, process: int) -> bool:
        """Whether a process with this number runs, of any user."""
        return (PROCESSES / str(process)).exists()

    def boot_id(self) -> str:
        """What tells this boot of the machine from any other; empty if nothing does."""
        try:
            return BOOT_ID.read_text(encoding="ascii").strip()
        except (OSError, ValueError):
            return ""


FILE_SYSTEM = FileSystem()
