"""A server as queueing theory has it: cores, a waiting room, a discipline. No I/O: times come in.

What is played by real waiting in the emulator is checked against theory on a clock of its own
(`waits`): M/M/1, M/M/c and M/G/1 waiting times, and the Erlang loss system.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Iterable
from typing import Generic, TypeVar

Job = TypeVar("Job")


class Station(Generic[Job]):
    """Says which job is worked on, waits, or is turned away.

    Args:
        queue_most: jobs that may wait; one that finds them waiting is turned away.
        lifo: the last one that came is worked on first.
    """

    def __init__(self, cores: int, queue_most: int, lifo: bool = False) -> None:
        self.cores = cores
        self.queue_most = queue_most
        self.lifo = lifo
        self.busy = 0
        self.waiting: deque[Job] = deque()

    def arrive(self, job: Job) -> bool | None:
        """A job comes: True if its work begins now, False if it waits, None if it is turned away."""
        if self.busy < self.cores:
            self.busy += 1
            return True
        if len(self.waiting) >= self.queue_most:
            return None
        self.waiting.append(job)
        return False

    def finish(self) -> Job | None:
        """A core has come free: the job whose work begins now, if one waits."""
        if self.waiting:
            return self.waiting.pop() if self.lifo else self.waiting.popleft()
        self.busy -= 1
        return None

    def clear(self) -> None:
        """Forget all jobs, as a process that dies does."""
        self.busy = 0
        self.waiting.clear()


def waits(station: Station[int], arrivals: Iterable[float], services: Iterable[float]) -> list[float | None]:
    """Waiting time of each job on a virtual clock, in the arguments' unit; None if it was turned away."""
    times, work = list(arrivals), list(services)
    found: list[float | None] = [None] * len(times)
    ends: list[float] = []

    def end_until(now: float) -> None:
        while ends and ends[0] <= now:
            at = heapq.heappop(ends)
            job = station.finish()
            if job is not None:
                found[job] = at - times[job]
                heapq.heappush(ends, at + work[job])

    for number, now in enumerate(times):
        end_until(now)
        if station.arrive(number):
            found[number] = 0.0
            heapq.heappush(ends, now + work[number])
    end_until(float("inf"))
    return found
