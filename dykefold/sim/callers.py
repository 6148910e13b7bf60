"""Thousands of sidecars in front of one discovery, on a virtual clock: the poll schedules alone."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from ..fleet.poll_schedule import CoordinatedPollSchedule, PollSettings
from ..fleet.rate_limits import SECOND
from .kernel import MS

MUST_POLL_NS = 10 * SECOND
FIRST_POLL_NS = SECOND // 2  # the balancer spreads its first call over this, a twentieth of the time to poll
MIN_BACKOFF, MAX_BACKOFF = 0.05, 0.4  # of the time to poll, after one call that failed and after many
MIN_JITTER = 0.1  # of a backoff, at least
CALLS_PER_S = 125.0  # that a fleet may make of discovery
TOLD_SPREADS = 5  # of the longest, that sidecars tell each other
READY_NS = 300 * MS  # over which processes that start together come to call
GOSSIP_NS = 300 * MS  # until what one sidecar tells has come to the others


@dataclass(slots=True)
class Seen:
    """What was seen of the calls.

    Attributes:
        calls: by second.
        listed_ns: when each sidecar was first answered.
    """

    calls: Counter[int] = field(default_factory=Counter)
    turned_away: int = 0
    listed_ns: dict[int, int] = field(default_factory=dict)


class Callers:
    """Sidecars that all start at time 0, with a service that works through calls in turn.

    Args:
        size: sidecars.
        service_per_s: calls that the service works through.
        max_waiting: calls that wait there; one more is rejected.
        spread: whether they spread their calls, or each goes by itself as the balancer has it.
        seed: of all that is drawn.
        told: whether they tell each other the durations over which they spread.
    """

    def __init__(
        self, size: int, service_per_s: float, max_waiting: int, spread: bool, seed: int, told: bool = False
    ) -> None:
        self.size, self.told = size, told
        self.work_ns, self.max_waiting = int(SECOND / service_per_s), max_waiting
        self.random = random.Random(seed)
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.last_order = 0
        self.now_ns = 0
        self.free_ns = 0  # when the service has worked through all that waits
        self.down = False
        self.failures = [0] * size
        self.seen = Seen()
        self.ready_ns = [self.random.randrange(READY_NS) for _ in range(size)]
        self.schedules: list[CoordinatedPollSchedule] | None = None
        if spread:
            self.schedules = [
                CoordinatedPollSchedule(
                    PollSettings(MUST_POLL_NS, CALLS_PER_S, n, size), random.Random(seed * size + n), at
                )
                for n, at in enumerate(self.ready_ns)
            ]
        for number, at in enumerate(self.ready_ns):
            first_ns = at + self.random.randrange(FIRST_POLL_NS)
            self._at(first_ns, lambda number=number: self._open(number))  # type: ignore[misc]

    def _at(self, at_ns: int, act: Callable[[], None]) -> None:
        self.last_order += 1
        heapq.heappush(self.queue, (max(at_ns, self.now_ns), self.last_order, act))

    def run(self, until_ns: int) -> Seen:
        """Let time pass until it is this late; returns what was seen so far."""
        while self.queue and self.queue[0][0] < until_ns:
            self.now_ns, _, act = heapq.heappop(self.queue)
            act()
        self.now_ns = until_ns
        return self.seen

    def _open(self, number: int) -> None:
        due_ns = self.schedules[number].open_watch_ns(self.now_ns, 1) if self.schedules else self.now_ns
        self._at(due_ns, lambda: self._call(number))

    def _call(self, number: int) -> None:
        self.seen.calls[self.now_ns // SECOND] += 1
        if self.schedules:
            self.schedules[number].on_poll(self.now_ns, number not in self.seen.listed_ns)
        waiting = (self.free_ns - self.now_ns) / self.work_ns
        if self.down or waiting > self.max_waiting:
            self.seen.turned_away += 1
            self._fail(number)
            return
        self.free_ns = max(self.free_ns, self.now_ns) + self.work_ns
        self._at(self.free_ns, lambda: self._answered(number))

    def _answered(self, number: int) -> None:
        first = number not in self.seen.listed_ns
        self.seen.listed_ns.setdefault(number, self.now_ns)
        self.failures[number] = 0
        if self.schedules and self.schedules[number].on_answer(self.now_ns) and self.told:
            self._at(self.now_ns + GOSSIP_NS, self._tell)
        if first:  # its next call waits at the service
            wait_ns = (
                self.schedules[number].continue_watch_ns(self.now_ns, 2) if self.schedules else self.now_ns
            )
            self._at(wait_ns, lambda: self._call(number))

    def _fail(self, number: int) -> None:
        backoff_ns = int(MUST_POLL_NS * min(MAX_BACKOFF, MIN_BACKOFF * 2.0 ** self.failures[number]))
        self.failures[number] += 1
        if self.schedules and self.schedules[number].on_failure(self.now_ns) and self.told:
            self._at(self.now_ns + GOSSIP_NS, self._tell)
        self._at(
            self.now_ns + int(backoff_ns * self.random.uniform(MIN_JITTER, 1.0)) + 1,
            lambda: self._open(number),
        )

    def _tell(self) -> None:
        """Let all know over which durations the others spread their calls."""
        assert self.schedules is not None
        spreads_ns = (schedule.spread_ns(self.now_ns) for schedule in self.schedules)
        longest_ns = sorted(spreads_ns, reverse=True)[:TOLD_SPREADS]
        for schedule in self.schedules:
            schedule.set_peer_spreads(longest_ns)
