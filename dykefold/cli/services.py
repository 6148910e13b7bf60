"""`serve` and `check`: commands for the operator's file."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Annotated, Any

import typer
from rich.console import Console
from rich.table import Table

from ..__main__ import serve_file
from ..service_config import Service, ServiceError, read_service
from ..sidecar_config import ConfigError
from .logs import LogFormat, configure_logging

File = Annotated[
    Path, typer.Argument(metavar="FILE", help="The operator's file, such as deploy/service.toml.")
]


def add_to(app: typer.Typer) -> None:
    """Add the commands of this module."""
    app.command("serve")(serve)
    app.command("check")(check)


def serve(
    file: File,
    log_format: Annotated[LogFormat, typer.Option(help="Format of the log lines.")] = LogFormat.TEXT,
) -> None:
    """Serve the pools and routes of FILE until SIGTERM; SIGHUP rereads FILE."""
    configure_logging(log_format)
    try:
        serve_file(str(file))
    except ConfigError as error:
        typer.echo(f"dykefold: {error}", err=True)
        raise typer.Exit(error.code) from None


def check(
    file: File,
    as_json: Annotated[bool, typer.Option("--json", help="Print one JSON object.")] = False,
) -> None:
    """Check FILE; print all problems, or its pools and routes."""
    try:
        service = read_service(str(file))
    except ServiceError as error:
        if as_json:
            typer.echo(json.dumps({"file": str(file), "good": False, "problems": error.problems}))
        else:
            for line in error.lines():
                typer.echo(line, err=True)
        raise typer.Exit(2) from None
    if as_json:
        typer.echo(json.dumps({"file": str(file), "good": True, **_plan_as_json(service)}))
        return
    typer.echo(f"{file}: good")
    if service.plan is not None:
        _print_plan(service)


def _plan_as_json(service: Service) -> dict[str, Any]:
    """Return pools and routes as a JSON object."""
    plan = service.plan
    if plan is None:
        return {"pools": [], "routes": []}
    return {
        "pools": [
            {
                "name": pool.name,
                "servers": len(pool.servers),
                "open_least": pool.limits.min,
                "open_most": pool.limits.max,
                "classes": [spec.name for spec in pool.settings.classes],
            }
            for pool in plan.pools.values()
        ],
        "routes": [
            {
                "name": route.name,
                "pool": route.pool,
                "host": route.host,
                "path": route.path,
                "prefix": route.prefix,
            }
            for route in plan.routes
        ],
    }


def _print_plan(service: Service) -> None:
    """Print pools and routes as tables."""
    console = Console()
    for title, rows in _plan_as_json(service).items():
        table = Table(title=title)
        for column in rows[0] if rows else ():
            table.add_column(column)
        for row in rows:
            table.add_row(*(_cell_text(value) for value in row.values()))
        console.print(table)


def _cell_text(value: object) -> str:
    if isinstance(value, list):
        return ", ".join(value)
    return "" if value is None else str(value)
