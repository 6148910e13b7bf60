"""Virtual time: one heap of events for all processes of a world, and the record of what happened.

Events at one instant come in an order drawn from the seed, so nothing can rest on an order that a real
machine would not promise. Time jumps to the next event. All that happens goes into a digest: two runs
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
MAX_TRACE_LINES = (
    20_000  # lines that are kept to be shown: the last seconds before a failure; the digest has all
)
EPOCH_NS = 1_700_000_000 * NS_PER_S  # Unix time at the start of every world.


def stream(seed: int, *names: int | str) -> random.Random:
    """Return the random generator of one component of a world.

    They are told apart by name through numpy's SeedSequence, so that adding or leaving out one component
    never shifts the draws of another.
    """
    key = [name if isinstance(name, int) else int.from_bytes(name.encode(), "little") for name in names]
    state = np.random.SeedSequence([seed, *key]).generate_state(4)
    return random.Random(int.from_bytes(state.tobytes(), "little"))


class Kernel:
    """The clock and the events of a world.

    Attributes:
        steps: Number of callbacks that processes have run.
        ties: Random generator of the order of simultaneous events.
        lines: Latest lines of the trace.
        digest: Digest of all lines of the trace.
    """

    def __init__(self, seed: int) -> None:
        self.seed = seed
        self.now_ns = 0
        self.steps = 0
        self.ties = stream(seed, "ties")
        self.heap: list[tuple[int, float, int, Callable[..., object], tuple[object, ...]]] = []
        self.count = 0
        self.lines: deque[str] = deque(maxlen=MAX_TRACE_LINES)
        self.digest = blake2b(digest_size=16)

    def at(self, at_ns: int, act: Callable[..., object], *arguments: object) -> None:
        """Have something done at a time, or now if that has passed."""
        self.count += 1
        entry = (max(at_ns, self.now_ns), self.ties.random(), self.count, act, arguments)
        heapq.heappush(self.heap, entry)

    def after(self, delay_ns: int, act: Callable[..., object], *arguments: object) -> None:
        """Have something done when so much time has passed."""
        self.at(self.now_ns + delay_ns, act, *arguments)

    def run(self, until_ns: int, max_steps: int | None = None) -> None:
        """Let time pass until it is this late, or so many steps were run, if that is limited."""
        heap = self.heap
        while heap and heap[0][0] <= until_ns and (max_steps is None or self.steps < max_steps):
            self.now_ns, _, _, act, arguments = heapq.heappop(heap)
            act(*arguments)
        if max_steps is None or self.steps < max_steps:
            self.now_ns = max(self.now_ns, until_ns)

    def note(self, text: str) -> None:
        """Record what happened."""
        line = f"{self.now_ns / NS_PER_MS:12.3f} {text}"
        self.lines.append(line)
        self.digest.update(line.encode())
