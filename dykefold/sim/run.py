"""Plays seeds: one, many after each other, or as many as a time allows on several cores."""

from __future__ import annotations

import logging
import time
from collections import Counter
from collections.abc import Iterator
from concurrent.futures import FIRST_COMPLETED, Future, ProcessPoolExecutor, wait
from dataclasses import dataclass, field

from .kernel import NS_PER_S
from .rule_records import Violation
from .schedule import Scenario, draw
from .world import Running

SPAN_S = 10.0  # Duration of the load in a default run.
QUEUED_PER_JOB = 3  # Seeds handed out for each process, so that none waits.


@dataclass(frozen=True, slots=True)
class Result:
    """The result of one run.

    Attributes:
        digest: Digest of the trace; each run of a seed by the same program has the same digest.
        counts: Counts of requests, attempts and their ends, by name.
        trace: Latest lines of the trace, if a rule was broken.
    """

    world: str
    seed: int
    steps: int
    digest: str
    breaches: tuple[Violation, ...]
    counts: dict[str, int]
    trace: tuple[str, ...] = ()


@dataclass(slots=True)
class Sum:
    """The sum of many runs."""

    runs: int = 0
    steps: int = 0
    seconds: float = 0.0
    counts: Counter[str] = field(default_factory=Counter)
    broken: list[Result] = field(default_factory=list)

    def add(self, result: Result) -> None:
        """Add a run."""
        self.runs += 1
        self.steps += result.steps
        self.counts.update(result.counts)
        if result.breaches:
            self.broken.append(result)


def play(scenario: Scenario) -> Result:
    """Play a scenario to its end. The program's own log lines are left out."""
    former = logging.root.manager.disable
    logging.disable(logging.CRITICAL)
    try:
        running = Running(scenario)
        breaches = running.play()
    finally:
        logging.disable(former)
    return Result(
        scenario.world,
        scenario.seed,
        running.kernel.steps,
        running.kernel.digest.hexdigest(),
        tuple(breaches),
        running.rules.counts,
        tuple(running.kernel.lines) if breaches else (),
    )


def play_seed(world: str, seed: int, span_s: float = SPAN_S) -> Result:
    """Play what is drawn from a seed."""
    return play(draw(world, seed, int(span_s * NS_PER_S)))


def play_steps(world: str, seed: int, steps: int, span_s: float = SPAN_S) -> Iterator[Result]:
    """Play one seed after the other, until so many steps were run in all."""
    done = 0
    while done < steps:
        result = play_seed(world, seed, span_s)
        done += result.steps
        seed += 1
        yield result


def search(worlds: list[str], first: int, seconds: float, jobs: int, span_s: float) -> Iterator[Result]:
    """Play seeds from `first` on, the worlds in turn, on several processes until the time is up."""
    until = time.monotonic() + seconds
    with ProcessPoolExecutor(jobs) as pool:
        waiting: set[Future[Result]] = set()
        number = 0
        while waiting or time.monotonic() < until:
            while len(waiting) < jobs * QUEUED_PER_JOB and time.monotonic() < until:
                world = worlds[number % len(worlds)]
                waiting.add(pool.submit(play_seed, world, first + number // len(worlds), span_s))
                number += 1
            done, waiting = wait(waiting, return_when=FIRST_COMPLETED)
            for future in done:
                yield future.result()
