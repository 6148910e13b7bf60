"""Pause of this process's garbage collector during a measurement."""

from __future__ import annotations

import contextlib
import gc
from collections.abc import Iterator


@contextlib.contextmanager
def collector_paused() -> Iterator[None]:
    """Collect garbage once, then disable the collector until the block ends.

    A full collection visits every container object while the process does nothing else: 0.1 s with a rig of
    200 members alone, longer in a test run that has imported every test module. A rig that is blocked for so
    long is late itself, and its measurements of the members are invalid. Reference counting still frees
    objects that are in no cycle.
    """
    was_enabled = gc.isenabled()
    gc.collect()
    gc.disable()
    try:
        yield
    finally:
        if was_enabled:
            gc.enable()
