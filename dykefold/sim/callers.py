"""Thousands of sidecars in front of one list service, on a virtual clock: the decision on calls alone."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from ..fleet.poll_schedule import CoordinatedPollSchedule, PollSettings
from ..fleet.rate_limits import SECOND
from .kernel import MS

MUST_ASK_NS = 10 * SECOND
FIRST_NS = SECOND // 2  # the module spreads its first call over this, a twentieth of the time to ask
READY_NS = 300 * MS  # over which processes that start together come to call
TOLD_NS = 300 * MS  # until a word of one sidecar has come to the others


@dataclass(slots=True)
class Seen:
    """What came of it.

    Attributes:
        calls: by second.
        listed_ns: when each sidecar was first answered.
    """

    calls: Counter[int] = field(default_factory=Counter)
    turned_away: int = 0
    listed_ns: dict[int, int] = field(default_factory=dict)


class Callers:
    """Sidecars that all start at time 0, with a service that works through calls in turn."""

    def __init__(
        self, size: int, service_per_s: float, waiting_most: int, spread: bool, seed: int, told: bool = False
    ) -> None:
        """Make the world.

        Args:
            service_per_s: calls that the service works through.
            waiting_most: calls that wait there; one more is turned away.
            spread: whether they spread their calls, or each goes by itself as the module has it.
            told: whether they tell each other the spans that they found.
        """
        self.size, self.told = size, told
        self.work_ns, self.waiting_most = int(SECOND / service_per_s), waiting_most
        self.chance = random.Random(seed)
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.order = 0
        self.now_ns = 0
        self.free_ns = 0  # when the service has worked through all that waits
        self.down = False
        self.fails = [0] * size
        self.seen = Seen()
        self.ready_ns = [self.chance.randrange(READY_NS) for _ in range(size)]
        self.askings: list[CoordinatedPollSchedule] | None = None
        if spread:
            self.askings = [
                CoordinatedPollSchedule(
                    PollSettings(MUST_ASK_NS, 125.0, n, size), random.Random(seed * size + n), at
                )
                for n, at in enumerate(self.ready_ns)
            ]
        for number, at in enumerate(self.ready_ns):
            first_ns = at + self.chance.randrange(FIRST_NS)
            self._at(first_ns, lambda number=number: self._opens(number))  # type: ignore[misc]

    def _at(self, at_ns: int, act: Callable[[], None]) -> None:
        self.order += 1
        heapq.heappush(self.queue, (max(at_ns, self.now_ns), self.order, act))

    def run(self, until_ns: int) -> Seen:
        while self.queue and self.queue[0][0] < until_ns:
            self.now_ns, _, act = heapq.heappop(self.queue)
            act()
        self.now_ns = until_ns
        return self.seen

    def _opens(self, number: int) -> None:
        due_ns = self.askings[number].open_watch_ns(self.now_ns, 1) if self.askings else self.now_ns
        self._at(due_ns, lambda: self._call(number))

    def _call(self, number: int) -> None:
        self.seen.calls[self.now_ns // SECOND] += 1
        if self.askings:
            self.askings[number].on_poll(self.now_ns, number not in self.seen.listed_ns)
        waiting = (self.free_ns - self.now_ns) / self.work_ns
        if self.down or waiting > self.waiting_most:
            self.seen.turned_away += 1
            self._fails(number)
            return
        self.free_ns = max(self.free_ns, self.now_ns) + self.work_ns
        self._at(self.free_ns, lambda: self._answered(number))

    def _answered(self, number: int) -> None:
        first = number not in self.seen.listed_ns
        self.seen.listed_ns.setdefault(number, self.now_ns)
        self.fails[number] = 0
        if self.askings and self.askings[number].on_answer(self.now_ns) and self.told:
            self._at(self.now_ns + TOLD_NS, self._tell)
        if first:  # its next call waits at the service
            wait_ns = self.askings[number].continue_watch_ns(self.now_ns, 2) if self.askings else self.now_ns
            self._at(wait_ns, lambda: self._call(number))

    def _fails(self, number: int) -> None:
        span_ns = int(MUST_ASK_NS * min(0.4, 0.05 * 2.0 ** self.fails[number]))
        self.fails[number] += 1
        if self.askings and self.askings[number].on_failure(self.now_ns) and self.told:
            self._at(self.now_ns + TOLD_NS, self._tell)
        self._at(self.now_ns + int(span_ns * self.chance.uniform(0.1, 1.0)) + 1, lambda: self._opens(number))

    def _tell(self) -> None:
        """All hear what spans the others go by."""
        assert self.askings is not None
        spans = sorted((one.spread_ns(self.now_ns) for one in self.askings), reverse=True)[:5]
        for one in self.askings:
            one.set_peer_spreads(spans)
