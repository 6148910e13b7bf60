"""Runs writes that wait for the disk outside of the event loop, one after another."""

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
    """Write before this returns, for a simulated machine whose disk takes no time."""
    on_written(write())


class BackgroundWriter:
    """One thread for all writes, which starts with the first write.

    The thread is a daemon, so that a hanging disk does not delay the end of the process.

    Args:
        loop: Event loop that runs the callbacks with the results.
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
                # A fault in one write must not end the thread, and the order awaits its result.
                log.exception("write failed")
                written = False
            # RuntimeError: the loop is closed, since the process ends.
            with contextlib.suppress(RuntimeError):
                self.loop.call_soon_threadsafe(on_written, written)
