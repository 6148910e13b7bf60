"""Queueing model of a server: cores, a bounded queue and a discipline. No I/O; times are arguments.

The emulator runs the model in real time. With a virtual clock (`waiting_times`), tests compare it to theory:
the waiting times of M/M/1, M/M/c and M/G/1, and the losses of the Erlang loss system.
"""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Iterable
from typing import Generic, TypeVar

Job = TypeVar("Job")


class QueueingModel(Generic[Job]):
    """Decides whether a job is served, waits or is rejected.

    Args:
        cores: Number of jobs that are served at once.
        max_queue: Maximum number of waiting jobs; a further one is rejected.
        lifo: Whether the latest waiting job is served first.

    Attributes:
        busy: Number of jobs being served.
        waiting: Waiting jobs in order of arrival.
    """

    def __init__(self, cores: int, max_queue: int, lifo: bool = False) -> None:
        self.cores = cores
        self.max_queue = max_queue
        self.lifo = lifo
        self.busy = 0
        self.waiting: deque[Job] = deque()

    def arrive(self, job: Job) -> bool | None:
        """Add a job; return True if its service begins now, False if it waits, None if it is rejected."""
        if self.busy < self.cores:
            self.busy += 1
            return True
        if len(self.waiting) >= self.max_queue:
            return None
        self.waiting.append(job)
        return False

    def finish(self) -> Job | None:
        """Free a core; return the waiting job whose service begins now, or None."""
        if self.waiting:
            return self.waiting.pop() if self.lifo else self.waiting.popleft()
        self.busy -= 1
        return None

    def clear(self) -> None:
        """Remove all jobs, as a crash of the process does."""
        self.busy = 0
        self.waiting.clear()


def waiting_times(
    model: QueueingModel[int], arrivals: Iterable[float], services: Iterable[float]
) -> list[float | None]:
    """Return the waiting time of each job on a virtual clock; None if it was rejected.

    Args:
        model: The queueing model, empty.
        arrivals: Arrival times of the jobs, in ascending order.
        services: Service time of each job, in the unit of `arrivals`.
    """
    times, service_times = list(arrivals), list(services)
    waits: list[float | None] = [None] * len(times)
    finish_times: list[float] = []

    def finish_jobs_until(now: float) -> None:
        while finish_times and finish_times[0] <= now:
            finish_time = heapq.heappop(finish_times)
            job = model.finish()
            if job is not None:
                waits[job] = finish_time - times[job]
                heapq.heappush(finish_times, finish_time + service_times[job])

    for number, now in enumerate(times):
        finish_jobs_until(now)
        if model.arrive(number):
            waits[number] = 0.0
            heapq.heappush(finish_times, now + service_times[number])
    finish_jobs_until(float("inf"))
    return waits
