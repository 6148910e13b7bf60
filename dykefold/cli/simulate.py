"""`sim`: seeded simulation of the network code on a virtual clock."""

from __future__ import annotations

from typing import Annotated

import typer


def add_to(app: typer.Typer) -> None:
    """Add the commands of this module."""
    app.command("sim")(simulate)


def simulate(
    seed: Annotated[int, typer.Option(help="Seed to simulate, or the first of several.", min=0)] = 0,
    steps: Annotated[
        int, typer.Option(help="Simulate consecutive seeds up to this number of steps.", min=0)
    ] = 0,
    world: Annotated[
        str, typer.Option(help="Name of a world, or all: see docs/operators/simulation.md.")
    ] = "parts",
    span: Annotated[
        float, typer.Option(help="Duration of the load in a run, in seconds.", min=0.5, max=600)
    ] = 10.0,
    search: Annotated[
        bool, typer.Option("--search", help="Simulate seeds in several processes for a time.")
    ] = False,
    seconds: Annotated[float, typer.Option(help="Duration of a search.", min=1)] = 60.0,
    jobs: Annotated[int, typer.Option(help="Number of processes of a search.", min=1, max=256)] = 4,
    minimise: Annotated[
        bool, typer.Option("--minimise", help="Reduce a failing run to a smaller one.")
    ] = False,
    as_json: Annotated[bool, typer.Option("--json", help="Print one JSON object.")] = False,
) -> None:
    """Run the real network code on a virtual network with seeded faults; exit code 1 for a violation."""
    # Imported here, since it imports numpy, which no other command needs.
    from .simulation import Options, run

    raise typer.Exit(run(Options(seed, steps, world, span, search, seconds, jobs, minimise, as_json)))
