"""Runs writes that wait for the disk outside of the event loop, one at a time."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import threading
from collections.abc import Callable
from queue import SimpleQueue

log = logging.getLogger("dykefold.control")

# Returns whether the written data survive a crash of the machine.
Write = Callable[[], bool]
OnWritten = Callable[[bool], None]
Submit = Callable[[Write, OnWritten], None]


def write_at_once(write: Write, on_written: OnWritten) -> None:
    """Write synchronously, for a simulated machine whose disk takes no time."""
    on_written(write())


class BackgroundWriter:
    """One thread for all writes, started by the first write.

    The thread is a daemon, so that a hanging disk does not delay the exit of the process.

    Args:
        loop: Event loop that calls the callbacks.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop
        self.queue: SimpleQueue[tuple[Write, OnWritten]] = SimpleQueue()
        self.thread: threading.Thread | None = None

    def submit(self, write: Write, on_written: OnWritten) -> None:
        """Queue a write for the thread; the loop calls `on_written` with its result."""
        if self.thread is None:
            self.thread = threading.Thread(target=self._run, name="durable-writes", daemon=True)
            self.thread.start()
        self.queue.put((write, on_written))

    def _run(self) -> None:
        while True:
            write, on_written = self.queue.get()
            try:
                written = write()
            except Exception:
                # An exception must not end the thread, and the maintenance order waits for the result.
                log.exception("write failed")
                written = False
            # RuntimeError: the loop is closed because the process exits.
            with contextlib.suppress(RuntimeError):
                self.loop.call_soon_threadsafe(on_written, written)
