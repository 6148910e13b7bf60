"""`control`: requests to a sidecar's admin API."""

from __future__ import annotations

import http.client
import json
from http import HTTPStatus
from typing import Annotated
from urllib.parse import quote

import typer

from ..control.admin_requests import MAX_ID_CHARACTERS, Action
from ..net.discovery.codec import split_address

TIMEOUT_S = 5.0

AdminAddress = Annotated[
    str, typer.Option("--at", metavar="HOST:PORT", envvar="GW_CONTROL", help="Address of the admin API.")
]
JsonOutput = Annotated[bool, typer.Option("--json", help="Print one JSON object.")]
EndpointName = Annotated[str, typer.Argument(metavar="ID", help="Name of the endpoint in the endpoint list.")]

group = typer.Typer(no_args_is_help=True, help="Call a sidecar's admin API.")


def add_to(app: typer.Typer) -> None:
    """Add the commands of this module."""
    app.add_typer(group, name="control")


@group.command()
def health(at: AdminAddress, as_json: JsonOutput = False) -> None:
    """Check whether the process accepts clients."""
    _send(at, Action.HEALTH, "", as_json)


@group.command()
def maint(server: EndpointName, at: AdminAddress, as_json: JsonOutput = False) -> None:
    """Take an endpoint out of service: it gets no requests until it is put back."""
    _send(at, Action.OUT, server, as_json)


@group.command()
def ready(server: EndpointName, at: AdminAddress, as_json: JsonOutput = False) -> None:
    """Put an endpoint back into service: it is treated as one that has just started."""
    _send(at, Action.BACK, server, as_json)


def _send(at: str, action: Action, endpoint_name: str, as_json: bool) -> None:
    """Send a request, print the response and exit.

    Args:
        at: Address of the admin API.
        action: Kind of the request.
        endpoint_name: Name of the endpoint; empty for a request that concerns none.
        as_json: Whether to print JSON.

    Raises:
        Exit: The exit code is 0 for success, and 1 for an error response or no response.
        BadParameter: The address or the name is invalid; the exit code is 2.
    """
    try:
        host, port = split_address(at)
    except ValueError as error:
        raise typer.BadParameter(str(error), param_hint="--at") from None
    if action is not Action.HEALTH and not 0 < len(endpoint_name) <= MAX_ID_CHARACTERS:
        problem = f"expected 1 to {MAX_ID_CHARACTERS} characters"
        raise typer.BadParameter(problem, param_hint="ID")
    code, text = _request_response(host, port, action, endpoint_name)
    succeeded = code is not None and HTTPStatus.OK <= code < HTTPStatus.MULTIPLE_CHOICES
    if as_json:
        request = {"call": action.value, "server": endpoint_name or None, "at": at}
        typer.echo(json.dumps({**request, "yes": succeeded, "code": code, "text": text}))
    else:
        typer.echo(text, err=not succeeded)
    raise typer.Exit(0 if succeeded else 1)


def _request_response(host: str, port: int, action: Action, endpoint_name: str) -> tuple[int | None, str]:
    """Send a request; return status code and text of the response, or None and the problem."""
    target = f"/{action.value}"
    if endpoint_name:
        target = f"/servers/{quote(endpoint_name, safe='')}/{action.value}"
    connection = http.client.HTTPConnection(host, port, timeout=TIMEOUT_S)
    try:
        connection.request("POST" if endpoint_name else "GET", target)
        response = connection.getresponse()
        return response.status, response.read().decode("utf-8", "replace").strip()
    except (TimeoutError, OSError, http.client.HTTPException) as error:
        return None, f"no answer from {host}:{port}: {error or type(error).__name__}"
    finally:
        connection.close()
