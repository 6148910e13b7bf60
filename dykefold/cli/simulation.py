"""Implementation of `dykefold sim`: simulates seeds and prints results. Imported only for this command."""

from __future__ import annotations

import json
import time
from collections.abc import Iterator
from dataclasses import dataclass

import typer
from rich.console import Console
from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeElapsedColumn
from rich.table import Table

from ..sim.kernel import NS_PER_MS, NS_PER_S
from ..sim.minimise import minimise
from ..sim.run import Result, RunTotals, play, play_seed, play_steps, search
from ..sim.schedule import WORLDS, Scenario, draw

MAX_TRACE_LINES = 60
MAX_LISTED_RUNS = 5
# The trace is shown up to this time after the first violation.
TRACE_AFTER_VIOLATION_MS = 1.0


@dataclass(frozen=True, slots=True)
class Options:
    """Options of the command; `simulate` has their help texts."""

    seed: int
    steps: int
    world: str
    span_s: float
    search: bool
    seconds: float
    jobs: int
    minimise: bool
    as_json: bool


def run(options: Options) -> int:
    """Simulate the requested seeds and print the results; return the exit code."""
    worlds = list(WORLDS) if options.world == "all" else [options.world]
    if not set(worlds) <= set(WORLDS):
        typer.echo(f"--world {options.world}: expected one of {', '.join(WORLDS)}, all", err=True)
        return 2
    total = RunTotals()
    started = time.monotonic()
    with Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        MofNCompleteColumn(),
        TimeElapsedColumn(),
        console=Console(stderr=True),
        disable=options.as_json,
    ) as progress:
        goal = int(options.seconds) if options.search else options.steps
        task = progress.add_task("seconds" if options.search else "steps", total=goal or None)
        for result in _runs(worlds, options):
            total.add(result)
            done = int(time.monotonic() - started) if options.search else total.steps
            progress.update(task, completed=min(done, goal) if goal else done)
    total.seconds = time.monotonic() - started
    if options.as_json:
        typer.echo(json.dumps(_total_as_json(total)))
    else:
        _print_total(total)
        if total.broken:
            _print_failure(total.broken[0], options)
    return 1 if total.broken else 0


def _runs(worlds: list[str], options: Options) -> Iterator[Result]:
    if options.search:
        yield from search(worlds, options.seed, options.seconds, options.jobs, options.span_s)
        return
    for world in worlds:
        if options.steps:
            yield from play_steps(world, options.seed, options.steps // len(worlds), options.span_s)
        else:
            yield play_seed(world, options.seed, options.span_s)


def _total_as_json(total: RunTotals) -> dict[str, object]:
    return {
        "runs": total.runs,
        "steps": total.steps,
        "seconds": round(total.seconds, 3),
        "counts": dict(total.counts),
        "broken": [
            {
                "world": result.world,
                "seed": result.seed,
                "digest": result.digest,
                "breaches": [
                    {"at_ms": breach.at_ns / NS_PER_MS, "rule": breach.rule, "text": breach.text}
                    for breach in result.breaches
                ],
            }
            for result in total.broken
        ],
    }


def _print_total(total: RunTotals) -> None:
    console = Console()
    table = Table(
        title=f"{total.runs} runs, {total.steps:,} steps, {total.steps / total.seconds:,.0f} per second"
    )
    for name in total.counts:
        table.add_column(name, justify="right")
    table.add_row(*(f"{count:,}" for count in total.counts.values()))
    console.print(table)
    for result in total.broken[:MAX_LISTED_RUNS]:
        violation = result.breaches[0]
        run_name = f"{result.world} seed {result.seed}"
        console.print(
            f"{run_name}: {violation.rule}: {violation.text} at {violation.at_ns / NS_PER_MS:.3f} ms"
        )
    if not total.broken:
        console.print("no violations")


def _print_failure(result: Result, options: Options) -> None:
    """Print the trace of a run with a violation; with `--minimise`, of the reduced run."""
    console = Console()
    scenario = draw(result.world, result.seed, int(options.span_s * NS_PER_S))
    if options.minimise:
        rule = result.breaches[0].rule
        scenario = minimise(
            scenario, lambda candidate: any(breach.rule == rule for breach in play(candidate).breaches)
        )
        result = play(scenario)
        _print_scenario(console, scenario)
    first_ms = result.breaches[0].at_ns / NS_PER_MS
    lines = [
        line for line in result.trace if float(line.split(None, 1)[0]) <= first_ms + TRACE_AFTER_VIOLATION_MS
    ]
    console.print(f"the last {MAX_TRACE_LINES} lines before {result.breaches[0].text}:")
    for line in lines[-MAX_TRACE_LINES:]:
        console.print(line, highlight=False, markup=False)


def _print_scenario(console: Console, scenario: Scenario) -> None:
    console.print(f"reduced run: {len(scenario.faults)} faults, {len(scenario.arrivals)} requests")
    for fault in scenario.faults:
        line = f"  {fault.at_ns / NS_PER_MS:10.3f} {fault.kind} server {fault.server} sidecar {fault.sidecar}"
        console.print(f"{line} for {fault.span_ns / NS_PER_MS:.0f} ms", highlight=False, markup=False)
