"""Simulates the poll schedules of thousands of sidecars that call one discovery, on a virtual clock."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from ..balancer.backoff import exponential
from ..fleet.poll_schedule import CoordinatedPollSchedule, PollSettings
from ..fleet.rate_limits import NS_PER_S
from .kernel import NS_PER_MS

MAX_POLL_INTERVAL_NS = 10 * NS_PER_S
FIRST_CALL_SPREAD_NS = NS_PER_S // 2  # Each balancer delays its first call by a random part of this.
MIN_BACKOFF, MAX_BACKOFF = 0.05, 0.4  # Of the poll interval: after the first failure, maximum.
MIN_JITTER = 0.1  # Smallest fraction of a backoff that is waited.
CALLS_PER_S = 125.0  # Rate limit of a fleet's calls to discovery.
REPORTED_SPREADS = 5  # Number of the longest spreads that sidecars report to each other.
START_SPREAD_NS = 300 * NS_PER_MS  # Time in which processes that start together become ready.
GOSSIP_DELAY_NS = 300 * NS_PER_MS  # Until the report of one sidecar has reached all others.


@dataclass(slots=True)
class CallStatistics:
    """Statistics of the calls to discovery.

    Attributes:
        calls: Number of calls by second.
        rejected: Number of rejected calls.
        first_answer_ns: Time in nanoseconds of the first answer to each sidecar.
    """

    calls: Counter[int] = field(default_factory=Counter)
    rejected: int = 0
    first_answer_ns: dict[int, int] = field(default_factory=dict)


class PollingFleet:
    """A fleet of sidecars that start at time 0, and a discovery service that serves one call at a time.

    Args:
        size: Number of sidecars.
        service_per_s: Calls per second that the service can serve.
        max_waiting: Maximum number of queued calls; further ones are rejected.
        spread: Whether the fleet coordinates its polls; otherwise each sidecar follows its own balancer.
        seed: Seed of the random generator.
        reported: Whether sidecars report to each other over which duration they spread their calls.
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
        self.service_time_ns, self.max_waiting = int(NS_PER_S / service_per_s), max_waiting
        self.random = random.Random(seed)
        self.queue: list[tuple[int, int, Callable[[], None]]] = []
        self.last_sequence = 0
        self.now_ns = 0
        self.free_ns = 0  # Time at which the service has served all queued calls.
        self.down = False
        self.failures = [0] * size
        self.statistics = CallStatistics()
        self.ready_ns = [self.random.randrange(START_SPREAD_NS) for _ in range(size)]
        self.schedules: list[CoordinatedPollSchedule] | None = None
        if spread:
            self.schedules = [
                CoordinatedPollSchedule(
                    PollSettings(MAX_POLL_INTERVAL_NS, CALLS_PER_S, n, size),
                    random.Random(seed * size + n),
                    at,
                )
                for n, at in enumerate(self.ready_ns)
            ]
        for number, at in enumerate(self.ready_ns):
            first_ns = at + self.random.randrange(FIRST_CALL_SPREAD_NS)
            self._schedule(first_ns, lambda number=number: self._open_watch(number))  # type: ignore[misc]

    def _schedule(self, at_ns: int, callback: Callable[[], None]) -> None:
        self.last_sequence += 1
        heapq.heappush(self.queue, (max(at_ns, self.now_ns), self.last_sequence, callback))

    def run(self, until_ns: int) -> CallStatistics:
        """Advance the clock to this time and return the statistics up to it."""
        while self.queue and self.queue[0][0] < until_ns:
            self.now_ns, _, callback = heapq.heappop(self.queue)
            callback()
        self.now_ns = until_ns
        return self.statistics

    def _open_watch(self, number: int) -> None:
        due_ns = self.schedules[number].open_watch_ns(self.now_ns, 1) if self.schedules else self.now_ns
        self._schedule(due_ns, lambda: self._call(number))

    def _call(self, number: int) -> None:
        self.statistics.calls[self.now_ns // NS_PER_S] += 1
        if self.schedules:
            self.schedules[number].on_poll(self.now_ns, number not in self.statistics.first_answer_ns)
        queued_calls = (self.free_ns - self.now_ns) / self.service_time_ns
        if self.down or queued_calls > self.max_waiting:
            self.statistics.rejected += 1
            self._on_failure(number)
            return
        self.free_ns = max(self.free_ns, self.now_ns) + self.service_time_ns
        self._schedule(self.free_ns, lambda: self._on_answer(number))

    def _on_answer(self, number: int) -> None:
        first = number not in self.statistics.first_answer_ns
        self.statistics.first_answer_ns.setdefault(number, self.now_ns)
        self.failures[number] = 0
        if self.schedules and self.schedules[number].on_answer(self.now_ns) and self.reported:
            self._schedule(self.now_ns + GOSSIP_DELAY_NS, self._share_spreads)
        if first:  # Its next call is a watch, which the service holds open.
            wait_ns = (
                self.schedules[number].continue_watch_ns(self.now_ns, 2) if self.schedules else self.now_ns
            )
            self._schedule(wait_ns, lambda: self._call(number))

    def _on_failure(self, number: int) -> None:
        backoff = exponential(MIN_BACKOFF, self.failures[number], MAX_BACKOFF)
        backoff_ns = int(MAX_POLL_INTERVAL_NS * backoff)
        self.failures[number] += 1
        if self.schedules and self.schedules[number].on_failure(self.now_ns) and self.reported:
            self._schedule(self.now_ns + GOSSIP_DELAY_NS, self._share_spreads)
        self._schedule(
            self.now_ns + int(backoff_ns * self.random.uniform(MIN_JITTER, 1.0)) + 1,
            lambda: self._open_watch(number),
        )

    def _share_spreads(self) -> None:
        """Give every schedule the longest durations over which sidecars spread their calls."""
        assert self.schedules is not None
        spreads_ns = (schedule.spread_ns(self.now_ns) for schedule in self.schedules)
        longest_ns = sorted(spreads_ns, reverse=True)[:REPORTED_SPREADS]
        for schedule in self.schedules:
            schedule.set_peer_spreads(longest_ns)
