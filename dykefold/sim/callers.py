"""Thousands of sidecars in front of one discovery, on a virtual clock: the poll schedules alone."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from ..fleet.poll_schedule import CoordinatedPollSchedule, PollSettings
from ..fleet.rate_limits import NS_PER_S
from .kernel import NS_PER_MS

MUST_POLL_NS = 10 * NS_PER_S
FIRST_POLL_NS = NS_PER_S // 2  # The balancer spreads its first call over this time.
MIN_BACKOFF, MAX_BACKOFF = 0.05, 0.4  # of the time to poll, after one call that failed and after many
MIN_JITTER = 0.1  # Of a backoff.
CALLS_PER_S = 125.0  # Calls that a fleet may make of discovery.
REPORTED_SPREADS = 5  # Number of the longest spreads that sidecars report to each other.
READY_NS = 300 * NS_PER_MS  # Processes that start together begin to call within this time.
GOSSIP_NS = 300 * NS_PER_MS  # Until a report of one sidecar has reached the others.


@dataclass(slots=True)
class Seen:
    """What was seen of the calls.

    Attributes:
        calls: Number of calls by second.
        listed_ns: Time in nanoseconds at which each sidecar was first answered.
    """

    calls: Counter[int] = field(default_factory=Counter)
    turned_away: int = 0
    listed_ns: dict[int, int] = field(default_factory=dict)


class Callers:
    """Sidecars that all start at time 0, with a service that works through calls in turn.

    Args:
        size: Number of sidecars.
        service_per_s: Calls per second that the service can serve.
        max_waiting: Maximum number of waiting calls; a further one is rejected.
        spread: Whether sidecars spread their calls; otherwise each polls as its balancer decides.
        seed: Seed of the random generator.
        reported: Whether sidecars report to each other the durations over which they spread.
    """

    def __init__(
        self,
        size: int,
        service_per_s: float,
        max_waiting: int,
        spread: bool,
        seed: int,
        reported: bool = False,
    ) -> None:
        self.size, self.reported = size, reported
        self.work_ns, self.max_waiting = int(NS_PER_S / service_per_s), max_waiting
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
        self.seen.calls[self.now_ns // NS_PER_S] += 1
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
        if self.schedules and self.schedules[number].on_answer(self.now_ns) and self.reported:
            self._at(self.now_ns + GOSSIP_NS, self._tell)
        if first:  # its next call waits at the service
            wait_ns = (
                self.schedules[number].continue_watch_ns(self.now_ns, 2) if self.schedules else self.now_ns
            )
            self._at(wait_ns, lambda: self._call(number))

    def _fail(self, number: int) -> None:
        backoff_ns = int(MUST_POLL_NS * min(MAX_BACKOFF, MIN_BACKOFF * 2.0 ** self.failures[number]))
        self.failures[number] += 1
        if self.schedules and self.schedules[number].on_failure(self.now_ns) and self.reported:
            self._at(self.now_ns + GOSSIP_NS, self._tell)
        self._at(
            self.now_ns + int(backoff_ns * self.random.uniform(MIN_JITTER, 1.0)) + 1,
            lambda: self._open(number),
        )

    def _tell(self) -> None:
        """Let all know over which durations the others spread their calls."""
        assert self.schedules is not None
        spreads_ns = (schedule.spread_ns(self.now_ns) for schedule in self.schedules)
        longest_ns = sorted(spreads_ns, reverse=True)[:REPORTED_SPREADS]
        for schedule in self.schedules:
            schedule.set_peer_spreads(longest_ns)
