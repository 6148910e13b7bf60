"""`lab`: scenarios with processes of a local test platform."""

from __future__ import annotations

import json
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import typer
from rich.console import Console
from rich.table import Table

if TYPE_CHECKING:
    from ..lab.judge import RunResult

lab = typer.Typer(no_args_is_help=True, help="A local test platform: scenarios, load, results.")
ScenarioFile = Annotated[
    Path, typer.Argument(metavar="SCENARIO", help="A scenario file, such as deploy/scenario.toml.")
]
MAX_SHOWN_VIOLATIONS = 10


def add_to(app: typer.Typer) -> None:
    """Add the commands of this module."""
    app.add_typer(lab, name="lab")


@lab.command("check")
def check(file: ScenarioFile) -> None:
    """Check SCENARIO and print all problems."""
    from ..lab.scenario import read_scenario
    from ..service_config import ServiceError

    try:
        read_scenario(str(file))
    except ServiceError as error:
        _exit_for_invalid_file(error.path, error.problems)
    typer.echo(f"{file}: good")


@lab.command("run")
def run(
    file: ScenarioFile,
    direct: Annotated[
        bool, typer.Option("--direct", help="Send load directly to the first server, no sidecar.")
    ] = False,
    as_json: Annotated[bool, typer.Option("--json", help="Print one JSON object.")] = False,
) -> None:
    """Run SCENARIO once with processes on loopback; exit code 1 for a violation or an invalid run."""
    from ..lab.run import DIRECT, RunError, play
    from ..service_config import ServiceError

    try:
        result = play(file, DIRECT if direct else "dykefold")
    except ServiceError as error:
        _exit_for_invalid_file(error.path, error.problems)
    except RunError as error:
        typer.echo(f"dykefold: {error}", err=True)
        raise typer.Exit(1) from None
    if as_json:
        typer.echo(json.dumps(result_as_json(result)))
    else:
        _print_result(result)
    raise typer.Exit(1 if result.violations or not result.valid else 0)


@lab.command("fleet")
def fleet(
    file: Annotated[
        Path, typer.Argument(metavar="SCENARIO", help="A scenario file, such as deploy/fleet.toml.")
    ],
    as_json: Annotated[bool, typer.Option("--json", help="Print one JSON object.")] = False,
    plot: Annotated[
        Path | None,
        typer.Option("--plot", metavar="FILE", help="Write an SVG plot of the memberships over time."),
    ] = None,
) -> None:
    """Run SCENARIO with real processes and network faults; exit code 1 for a violation."""
    import uvloop

    from ..lab.fleet.membership_samples import samples_svg
    from ..lab.fleet.run import play
    from ..lab.fleet.scenario import read_fleet
    from ..service_config import ServiceError

    try:
        scenario = read_fleet(str(file))
    except ServiceError as error:
        _exit_for_invalid_file(error.path, error.problems)
    try:
        result = uvloop.run(play(scenario))
    except OSError as error:
        typer.echo(f"dykefold: {error}", err=True)
        raise typer.Exit(1) from None
    if plot is not None:
        faults = [(fault.at_s, fault.at_s + fault.for_s, fault.kind) for fault in scenario.faults]
        plot.write_text(samples_svg(result.membership.samples, scenario.fleet.members, faults))
    figures = result.as_json()
    if as_json:
        typer.echo(json.dumps(figures))
    else:
        table = Table("what", "figure")
        for name, value in figures.items():
            table.add_row(
                name.replace("_", " "), " ".join(map(str, value)) if isinstance(value, list) else str(value)
            )
        Console().print(table)
    raise typer.Exit(0 if result.passed else 1)


def _exit_for_invalid_file(path: str, problems: list[str]) -> None:
    for problem in problems:
        typer.echo(f"{path}: {problem}", err=True)
    raise typer.Exit(2)


def result_as_json(result: RunResult) -> dict[str, object]:
    """Return a result as a JSON object."""
    return {
        "valid": result.valid,
        "lag_ms": result.lag_ms,
        "attempts": result.attempts,
        "shares": result.shares,
        "violations": result.violations,
        "classes": {
            name: {"counts": dict(outcome.counts), "latency_ms": outcome.percentiles_ms()}
            for name, outcome in result.classes.items()
        },
    }


def _print_result(result: RunResult) -> None:
    from ..lab.judge import ENDS, PERCENTILES

    console = Console()
    table = Table(title=f"{result.attempts} attempts reached endpoints")
    for column in ("class", *ENDS, *(f"p{at:g} ms" for at in PERCENTILES)):
        table.add_column(column, justify="right")
    for name, outcome in result.classes.items():
        ends = (str(outcome.counts[end]) for end in ENDS)
        table.add_row(name, *ends, *(f"{value:.1f}" for value in outcome.percentiles_ms().values()))
    console.print(table)
    if not result.valid:
        console.print(f"invalid run: the load generator was late by {result.lag_ms:.1f} ms (99th percentile)")
    for line in result.violations[:MAX_SHOWN_VIOLATIONS]:
        console.print(line, highlight=False, markup=False)
    console.print(f"{len(result.violations)} violations" if result.violations else "no violations")
