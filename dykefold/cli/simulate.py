"""`sim`: the network code on a virtual clock, by seeds."""

from __future__ import annotations

from typing import Annotated

import typer


def add_to(app: typer.Typer) -> None:
    """Add the commands of this file."""
    app.command("sim")(simulate)


def simulate(
    seed: Annotated[int, typer.Option(help="The seed to play, or to begin with.", min=0)] = 0,
    steps: Annotated[int, typer.Option(help="Play seed after seed until so many steps.", min=0)] = 0,
    world: Annotated[str, typer.Option(help="Its name, or all: see docs/operators/simulation.md.")] = "parts",
    span: Annotated[float, typer.Option(help="Seconds of load in a run.", min=0.5, max=600)] = 10.0,
    search: Annotated[bool, typer.Option("--search", help="Play seeds on several cores for a time.")] = False,
    seconds: Annotated[float, typer.Option(help="How long to search.", min=1)] = 60.0,
    jobs: Annotated[int, typer.Option(help="Number of processes of a search.", min=1, max=256)] = 4,
    minimise: Annotated[bool, typer.Option("--minimise", help="Make a run that fails smaller.")] = False,
    as_json: Annotated[bool, typer.Option("--json", help="One JSON object for programs.")] = False,
) -> None:
    """Play the real network code on a virtual network with seeded faults; exit code 1 if a rule is broken."""
    # Imported here, since it imports numpy, which no other command needs.
    from .simulation import Options, run

    raise typer.Exit(run(Options(seed, steps, world, span, search, seconds, jobs, minimise, as_json)))
