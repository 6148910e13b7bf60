"""Opens the state directory, with retries while it is unusable."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from .file_system import FILE_SYSTEM, FileSystem
from .state_directory import FileStateDirectory

log = logging.getLogger("dykefold.control")

MIN_RETRY_DELAY_S = 1.0
MAX_RETRY_DELAY_S = 30.0


class DirectoryRetry:
    """Opens one state directory, with exponential backoff after failed attempts.

    Args:
        loop: Event loop on which the retries are scheduled.
        folder: Path of the folder that the processes of the sidecar share.
        file_system: File system calls.

    Attributes:
        usable: Whether an attempt has succeeded.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, folder: str, file_system: FileSystem = FILE_SYSTEM
    ) -> None:
        self.loop = loop
        self.folder = folder
        self.file_system = file_system
        self.usable = False
        self.logged_errno: int | None = None  # of the last logged failure
        self.delay_s = MIN_RETRY_DELAY_S
        self.timer: asyncio.TimerHandle | None = None

    def open(self) -> FileStateDirectory | None:
        """Make one attempt; return the directory, or None on failure. Only a changed error is logged."""
        try:
            directory = FileStateDirectory(self.folder, self.file_system)
        except OSError as error:
            if error.errno != self.logged_errno:
                log.warning("process disables hot restarts: folder %s, %s", self.folder, error.strerror)
            self.logged_errno = error.errno
            return None
        self.usable = True
        if self.logged_errno is not None:
            log.info("process enables hot restarts: folder %s", self.folder)
        return directory

    def start(self, on_usable: Callable[[FileStateDirectory], None]) -> None:
        """Schedule retries until an attempt succeeds, then call `on_usable` with the directory."""
        self.timer = self.loop.call_later(self.delay_s, self._retry, on_usable)
        self.delay_s = min(2 * self.delay_s, MAX_RETRY_DELAY_S)

    def _retry(self, on_usable: Callable[[FileStateDirectory], None]) -> None:
        directory = self.open()
        if directory is None:
            self.start(on_usable)
        else:
            on_usable(directory)

    def close(self) -> None:
        """Cancel the next retry."""
        if self.timer is not None:
            self.timer.cancel()
