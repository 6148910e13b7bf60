"""Runs seeds: one, several in turn, or as many as possible in a given time on several cores."""

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
from .world import SimulatedWorld

SPAN_S = 10.0  # Default duration of the load.
QUEUED_PER_JOB = 3  # Runs submitted for each process, so that none is idle.


@dataclass(frozen=True, slots=True)
class Result:
    """The result of one run.

    Attributes:
        digest: Digest of the trace, which is the same in each run of a seed by the same program.
        counts: Counts of requests, attempts and their results, by name.
        trace: Latest lines of the trace; empty if no rule was broken.
    """

    world: str
    seed: int
    steps: int
    digest: str
    breaches: tuple[Violation, ...]
    counts: dict[str, int]
    trace: tuple[str, ...] = ()


@dataclass(slots=True)
class RunTotals:
    """Totals of many runs, and the results of those that broke a rule."""

    runs: int = 0
    steps: int = 0
    seconds: float = 0.0
    counts: Counter[str] = field(default_factory=Counter)
    broken: list[Result] = field(default_factory=list)

    def add(self, result: Result) -> None:
        """Add the result of a run."""
        self.runs += 1
        self.steps += result.steps
        self.counts.update(result.counts)
        if result.breaches:
            self.broken.append(result)


def play(scenario: Scenario) -> Result:
    """Run a scenario to its end, without the program's log lines."""
    former_level = logging.root.manager.disable
    logging.disable(logging.CRITICAL)
    try:
        running = SimulatedWorld(scenario)
        breaches = running.play()
    finally:
        logging.disable(former_level)
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
    """Run the scenario that is drawn from a seed."""
    return play(draw(world, seed, int(span_s * NS_PER_S)))


def play_steps(world: str, seed: int, steps: int, span_s: float = SPAN_S) -> Iterator[Result]:
    """Run consecutive seeds until they have taken this number of steps in all."""
    played_steps = 0
    while played_steps < steps:
        result = play_seed(world, seed, span_s)
        played_steps += result.steps
        seed += 1
        yield result


def search(worlds: list[str], first: int, seconds: float, jobs: int, span_s: float) -> Iterator[Result]:
    """Run seeds from `first` on in several processes, with the worlds in turn, for `seconds`."""
    until = time.monotonic() + seconds
    with ProcessPoolExecutor(jobs) as pool:
        pending_runs: set[Future[Result]] = set()
        number = 0
        while pending_runs or time.monotonic() < until:
            while len(pending_runs) < jobs * QUEUED_PER_JOB and time.monotonic() < until:
                world = worlds[number % len(worlds)]
                pending_runs.add(pool.submit(play_seed, world, first + number // len(worlds), span_s))
                number += 1
            finished, pending_runs = wait(pending_runs, return_when=FIRST_COMPLETED)
            for future in finished:
                yield future.result()
