"""Discrete event kernel: the virtual clock, one event heap for all processes of a world, and the trace.

Simultaneous events run in an order drawn from the seed, so that no code can depend on an order that a real
machine does not guarantee. Time jumps to the next event. Each line of the trace goes into a digest: two runs
of one seed are the same run if their digests are equal.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from collections.abc import Callable
from hashlib import blake2b

import numpy as np

NS_PER_MS = 1_000_000
NS_PER_S = 1_000 * NS_PER_MS
# Lines kept for display: the last seconds before a failure. The digest covers all lines.
MAX_TRACE_LINES = 20_000
EPOCH_NS = 1_700_000_000 * NS_PER_S  # Unix time at the start of every world.


def stream(seed: int, *names: int | str) -> random.Random:
    """Return the random generator of one component of a world.

    Numpy's SeedSequence derives an independent generator from each name, so that adding or removing one
    component never shifts the draws of another.
    """
    key = [name if isinstance(name, int) else int.from_bytes(name.encode(), "little") for name in names]
    state = np.random.SeedSequence([seed, *key]).generate_state(4)
    return random.Random(int.from_bytes(state.tobytes(), "little"))


class Kernel:
    """The virtual clock and the event queue of a world.

    Attributes:
        steps: Number of callbacks that all processes have run so far.
        tie_breaker: Random generator for the order of simultaneous events.
        lines: Latest lines of the trace.
        digest: Digest of all lines of the trace.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.now_ns = 0
        self.steps = 0
        self.tie_breaker = stream(seed, "ties")
        self.heap: list[tuple[int, float, int, Callable[..., object], tuple[object, ...]]] = []
        self.event_count = 0
        self.lines: deque[str] = deque(maxlen=MAX_TRACE_LINES)
        self.digest = blake2b(digest_size=16)

    def at(self, at_ns: int, callback: Callable[..., object], *arguments: object) -> None:
        """Schedule a callback at a time in nanoseconds, or now if that time has passed."""
        self.event_count += 1
        entry = (max(at_ns, self.now_ns), self.tie_breaker.random(), self.event_count, callback, arguments)
        heapq.heappush(self.heap, entry)

    def after(self, delay_ns: int, callback: Callable[..., object], *arguments: object) -> None:
        """Schedule a callback after a delay in nanoseconds."""
        self.at(self.now_ns + delay_ns, callback, *arguments)

    def run(self, until_ns: int, max_steps: int | None = None) -> None:
        """Run events up to and including `until_ns`, or until `max_steps` callbacks have run in all."""
        heap = self.heap
        while heap and heap[0][0] <= until_ns and (max_steps is None or self.steps < max_steps):
            self.now_ns, _, _, callback, arguments = heapq.heappop(heap)
            callback(*arguments)
        if max_steps is None or self.steps < max_steps:
            self.now_ns = max(self.now_ns, until_ns)

    def note(self, text: str) -> None:
        """Add a line with the present virtual time to the trace and its digest."""
        line = f"{self.now_ns / NS_PER_MS:12.3f} {text}"
        self.lines.append(line)
        self.digest.update(line.encode())
