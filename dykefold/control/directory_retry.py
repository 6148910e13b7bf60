"""Opens the state directory, and tries again for as long as it can't be used."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from .file_system import FILE_SYSTEM, FileSystem
from .state_directory import FileStateDirectory

log = logging.getLogger("dykefold.control")

FIRST_DELAY_S = 1.0
MAX_DELAY_S = 30.0


class DirectoryRetry:
    """Tries to open one state directory, with delays that double from try to try.

    Args:
        loop: that runs the tries.
        folder: that the processes share.
        file_system: the file calls.

    Attributes:
        usable: whether the last try succeeded.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, folder: str, file_system: FileSystem = FILE_SYSTEM
    ) -> None:
        self.loop = loop
        self.folder = folder
        self.file_system = file_system
        self.usable = False
        self.logged_errno: int | None = None  # of the last failure that was logged
        self.delay_s = FIRST_DELAY_S
        self.timer: asyncio.TimerHandle | None = None

    def open(self) -> FileStateDirectory | None:
        """Try once; return the directory, or None where it can't be used. What changed is logged, once."""
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
        """Try again after a delay, until it succeeds; `on_usable` gets the directory then."""
        self.timer = self.loop.call_later(self.delay_s, self._retry, on_usable)
        self.delay_s = min(2 * self.delay_s, MAX_DELAY_S)

    def _retry(self, on_usable: Callable[[FileStateDirectory], None]) -> None:
        directory = self.open()
        if directory is None:
            self.start(on_usable)
        else:
            on_usable(directory)

    def close(self) -> None:
        """Try no more."""
        if self.timer is not None:
            self.timer.cancel()
