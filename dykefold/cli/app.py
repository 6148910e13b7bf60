"""Typer application to which each module adds its commands."""

from __future__ import annotations

from importlib.metadata import PackageNotFoundError, version

import typer

app = typer.Typer(no_args_is_help=True, add_completion=True, pretty_exceptions_enable=False)


@app.callback()
def describe() -> None:
    """A sidecar load balancer."""


@app.command("version")
def show_version() -> None:
    """Print the version."""
    try:
        typer.echo(version("dykefold"))
    # The program runs from a checkout.
    except PackageNotFoundError:
        typer.echo("dykefold (not installed)")
