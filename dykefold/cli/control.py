"""`control`: calls at a sidecar's door."""

from __future__ import annotations

import http.client
import json
from http import HTTPStatus
from typing import Annotated
from urllib.parse import quote

import typer

from ..control.admin_requests import MAX_ID_CHARACTERS, Action
from ..net.discovery.codec import split_address

TIMEOUT_S = 5.0  # the door answers in one second

At = Annotated[
    str, typer.Option("--at", metavar="HOST:PORT", envvar="GW_CONTROL", help="Address of the door.")
]
AsJson = Annotated[bool, typer.Option("--json", help="One JSON object for programs.")]
Server = Annotated[str, typer.Argument(metavar="ID", help="The server's name, as discovery lists it.")]

group = typer.Typer(no_args_is_help=True, help="Call a sidecar's door.")


def add_to(app: typer.Typer) -> None:
    """Add the commands of this file."""
    app.add_typer(group, name="control")


@group.command()
def health(at: At, as_json: AsJson = False) -> None:
    """Ask whether the process takes clients."""
    _call(at, Action.HEALTH, "", as_json)


@group.command()
def maint(server: Server, at: At, as_json: AsJson = False) -> None:
    """Take a server out: nothing more is sent to it until it is put back."""
    _call(at, Action.OUT, server, as_json)


@group.command()
def ready(server: Server, at: At, as_json: AsJson = False) -> None:
    """Put a server back: it is used again, as one that has just started."""
    _call(at, Action.BACK, server, as_json)


def _call(at: str, action: Action, server: str, as_json: bool) -> None:
    """Make a call and show its answer; exit code 0 for a yes, 1 for a no or silence, 2 for wrong use."""
    try:
        host, port = split_address(at)
    except ValueError as error:
        raise typer.BadParameter(str(error), param_hint="--at") from None
    if action is not Action.HEALTH and not 0 < len(server) <= MAX_ID_CHARACTERS:
        problem = f"expected 1 to {MAX_ID_CHARACTERS} characters"
        raise typer.BadParameter(problem, param_hint="ID")
    code, text = _answer(host, port, action, server)
    good = code is not None and HTTPStatus.OK <= code < HTTPStatus.MULTIPLE_CHOICES
    if as_json:
        call = {"call": action.value, "server": server or None, "at": at}
        typer.echo(json.dumps({**call, "yes": good, "code": code, "text": text}))
    else:
        typer.echo(text, err=not good)
    raise typer.Exit(0 if good else 1)


def _answer(host: str, port: int, action: Action, server: str) -> tuple[int | None, str]:
    """The door's code and words; no code where there is no answer."""
    target = f"/servers/{quote(server, safe='')}/{action.value}" if server else f"/{action.value}"
    door = http.client.HTTPConnection(host, port, timeout=TIMEOUT_S)
    try:
        door.request("POST" if server else "GET", target)
        reply = door.getresponse()
        return reply.status, reply.read().decode("utf-8", "replace").strip()
    except (TimeoutError, OSError, http.client.HTTPException) as error:
        return None, f"no answer from {host}:{port}: {error or type(error).__name__}"
    finally:
        door.close()
