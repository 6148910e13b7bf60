"""Runs writes that wait for the disk beside the event loop, one after the other."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import threading
from collections.abc import Callable
from queue import SimpleQueue

log = logging.getLogger("dykefold.control")

Write = Callable[[], bool]  # True once what it wrote outlasts the machine
OnWritten = Callable[[bool], None]
Submit = Callable[[Write, OnWritten], None]


def write_at_once(write: Write, on_written: OnWritten) -> None:
    """Write before this returns: for a virtual machine, whose disk takes no time."""
    on_written(write())


class BackgroundWriter:
    """One thread for all writes, begun with the first one.

    It is a daemon: a disk that hangs doesn't hold up the end of the process.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Prepare; `loop` gets the results."""
        self.loop = loop
        self.queue: SimpleQueue[tuple[Write, OnWritten]] = SimpleQueue()
        self.thread: threading.Thread | None = None

    def submit(self, write: Write, on_written: OnWritten) -> None:
        """Write in the thread, after all that was submitted before; `on_written` runs in the loop."""
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
                log.exception("write failed")
                written = False
            # A loop that is closed belongs to a process that ends.
            with contextlib.suppress(RuntimeError):
                self.loop.call_soon_threadsafe(on_written, written)
