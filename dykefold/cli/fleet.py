"""`fleet`: membership and traffic plan of a running sidecar."""

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
MAX_SHOWN_CHARACTERS = 200

AdminAddress = Annotated[
    str, typer.Option("--at", metavar="HOST:PORT", help="`listen` in [fleet] of the operator's file.")
]
JsonOutput = Annotated[bool, typer.Option("--json", help="Print one JSON object.")]

group = typer.Typer(no_args_is_help=True, help="Show membership and traffic plan of a sidecar.")


def add_to(app: typer.Typer) -> None:
    """Add the commands of this module."""
    app.add_typer(group, name="fleet")


@group.callback()
def about() -> None:
    """Show membership and traffic plan of a sidecar."""


@group.command()
def view(
    at: AdminAddress,
    as_json: JsonOutput = False,
) -> None:
    """Show a sidecar's membership: each member with its state, and the latest changes with their causes."""
    membership = _fetch(at, Action.VIEW, "members")
    if as_json:
        typer.echo(json.dumps(membership))
        return
    _print_membership(membership)


@group.command()
def plan(
    at: AdminAddress,
    as_json: JsonOutput = False,
) -> None:
    """Show to which zones the sidecars of a zone send traffic and why, and what other zones report."""
    report = _fetch(at, Action.PLAN, "works_in")
    if as_json:
        typer.echo(json.dumps(report))
        return
    console = Console()
    destinations = ", ".join(f"{share:.2f} in {zone}" for zone, share in report["to"].items())
    console.print(
        f"zone {report['zone']}: {report['state']} for {report['since_s']:.1f} s; {report['cause']}"
    )
    console.print(
        f"{report['away']:.2f} of its sidecars work elsewhere{f': {destinations}' if destinations else ''}"
    )
    console.print(f"this sidecar works in zone {report['works_in']}; {report['moves']} recent moves")
    for zone, levels in report["others_levels"].items():
        console.print(
            f"zone {zone}: {len(levels)} of its sidecars report that they are away, levels {levels}"
        )
    for pair, verdict in report["verdicts"].items():
        console.print(f"{pair}: {verdict}")


def _fetch(at: str, action: Action, key: str) -> dict[str, Any]:
    """Return the JSON object that a sidecar sends.

    Args:
        at: Address of the membership's admin API.
        action: Kind of the request.
        key: Key that the object must have.

    Raises:
        Exit: There is no such object; the exit code is 1.
        BadParameter: The address is invalid; the exit code is 2.
    """
    try:
        host, port = split_address(at)
    except ValueError as error:
        raise typer.BadParameter(str(error), param_hint="--at") from None
    connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT_S)
    try:
        connection.request("GET", f"/{action.value}")
        response = connection.getresponse()
        text = response.read().decode("utf-8", "replace").strip()
        if response.status == HTTPStatus.OK:
            content = json.loads(text)
            if isinstance(content, dict) and key in content:
                return content
        problem = (
            f"{host}:{port} sent no {action.name.lower()}: {response.status} {text[:MAX_SHOWN_CHARACTERS]}"
        )
    except (OSError, http.client.HTTPException, ValueError) as error:
        problem = f"no answer from {host}:{port}: {error or type(error).__name__}"
    finally:
        connection.close()
    typer.echo(problem, err=True)
    raise typer.Exit(1)


def _print_membership(membership: dict[str, Any]) -> None:
    console = Console()
    table = Table(
        title=f"membership of member {membership['member']}: {membership['live']} live", title_justify="left"
    )
    for name in ("member", "address", "zone", "state", "live", "last contact (s ago)"):
        table.add_column(name)
    for member in membership["members"]:
        zone = "" if member["zone"] is None else str(member["zone"])
        last_contact_s = "" if member["heard_s"] is None else f"{member['heard_s']:.1f}"
        live = "yes" if member["live"] else "no"
        table.add_row(str(member["member"]), member["address"], zone, member["state"], live, last_contact_s)
    console.print(table)
    if membership["alone"]:
        console.print("It receives nothing from other members: its information on them is out of date.")
    elif not membership["steady"]:
        console.print("It joined recently; its membership is not complete yet.")
    for change in membership["changes"]:
        console.print(f"{change['s_ago']:8.1f} s ago: {change['what']}")
