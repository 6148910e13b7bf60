"""`fleet`: what a running sidecar holds of its fleet."""

from __future__ import annotations

import http.client
import json
from http import HTTPStatus
from typing import Annotated, Any

import typer
from rich.console import Console
from rich.table import Table

from ..control.admin_requests import Action
from ..net.discovery.codec import split_address

TIMEOUT_S = 5.0

At = Annotated[
    str, typer.Option("--at", metavar="HOST:PORT", help="`listen` in [fleet] of the operator's file.")
]
AsJson = Annotated[bool, typer.Option("--json", help="One JSON object for programs.")]

group = typer.Typer(no_args_is_help=True, help="See what sidecars know of their fleet.")


def add_to(app: typer.Typer) -> None:
    """Add the commands of this file."""
    app.add_typer(group, name="fleet")


@group.callback()
def about() -> None:
    """See what sidecars know of their fleet."""


@group.command()
def view(
    at: At,
    as_json: AsJson = False,
) -> None:
    """Show a sidecar's view: each member, its state, and the latest changes with their causes."""
    told = _ask(at, Action.VIEW, "members")
    if as_json:
        typer.echo(json.dumps(told))
        return
    _show(told)


@group.command()
def plan(
    at: At,
    as_json: AsJson = False,
) -> None:
    """Show where a sidecar's zone works and why, which zones others have left, and who sees what."""
    told = _ask(at, Action.PLAN, "works_in")
    if as_json:
        typer.echo(json.dumps(told))
        return
    console = Console()
    to = ", ".join(f"{share:.2f} in {zone}" for zone, share in told["to"].items())
    console.print(f"zone {told['zone']}: {told['state']} for {told['since_s']:.1f} s; {told['cause']}")
    console.print(f"{told['away']:.2f} of its sidecars work elsewhere{f': {to}' if to else ''}")
    console.print(f"this one works in zone {told['works_in']}; {told['moves']} moves of late")
    for zone, levels in told["others_levels"].items():
        console.print(f"zone {zone}: {len(levels)} of its sidecars tell that they are away, levels {levels}")
    for pair, verdict in told["verdicts"].items():
        console.print(f"{pair}: {verdict}")


def _ask(at: str, action: Action, key: str) -> dict[str, Any]:
    """What is told at an address, which has this key; exit code 1 where it is not to be had."""
    try:
        host, port = split_address(at)
    except ValueError as error:
        raise typer.BadParameter(str(error), param_hint="--at") from None
    caller = http.client.HTTPConnection(host, port, timeout=TIMEOUT_S)
    try:
        caller.request("GET", f"/{action.value}")
        reply = caller.getresponse()
        text = reply.read().decode("utf-8", "replace").strip()
        if reply.status == HTTPStatus.OK:
            told = json.loads(text)
            if isinstance(told, dict) and key in told:
                return told
        problem = f"{host}:{port} told no {action.name.lower()}: {reply.status} {text[:200]}"
    except (OSError, http.client.HTTPException, ValueError) as error:
        problem = f"no answer from {host}:{port}: {error or type(error).__name__}"
    finally:
        caller.close()
    typer.echo(problem, err=True)
    raise typer.Exit(1)


def _show(told: dict[str, Any]) -> None:
    console = Console()
    table = Table(title=f"as member {told['member']} sees it: {told['live']} live", title_justify="left")
    for name in ("member", "address", "zone", "state", "live", "heard s ago"):
        table.add_column(name)
    for one in told["members"]:
        zone = "" if one["zone"] is None else str(one["zone"])
        heard = "" if one["heard_s"] is None else f"{one['heard_s']:.1f}"
        live = "yes" if one["live"] else "no"
        table.add_row(str(one["member"]), one["address"], zone, one["state"], live, heard)
    console.print(table)
    if told["alone"]:
        console.print("It hears nobody: what it says of the others is old.")
    elif not told["steady"]:
        console.print("It has just begun to take part.")
    for change in told["changes"]:
        console.print(f"{change['s_ago']:8.1f} s ago: {change['what']}")
