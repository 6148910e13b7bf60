"""Which requests the admin API takes, and what it answers to any other. No I/O.

Every request is a method and a path. What is not in the table gets a 4xx and changes nothing; so does an id
that no endpoint has. A 200 is sent when the request has taken effect, not before.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from urllib.parse import unquote_to_bytes

MAX_TARGET_BYTES = 1024  # bytes of a path; ids are names of endpoints
MAX_ID_CHARACTERS = 256  # characters of an id


class Action(Enum):
    """What a request asks for; the values are parts of paths."""

    HEALTH = "healthcheck"
    OUT = "maint"  # nothing more to an endpoint
    BACK = "ready"  # it may be used again
    VIEW = "fleet"  # the membership as this process holds it: at a listener of its own, not at the admin API
    BRIEF = "fleet/brief"  # ... in a line
    PLAN = "fleet/plan"  # ... of the failover


MEMBERSHIP_ACTIONS = {f"/{action.value}": action for action in (Action.VIEW, Action.BRIEF, Action.PLAN)}
MAINTENANCE_ACTIONS = {action.value: action for action in (Action.OUT, Action.BACK)}
MAINTENANCE_PATH_PARTS = 3  # /servers/ID/ACTION


@dataclass(frozen=True, slots=True)
class AdminRequest:
    """A request that was understood.

    Attributes:
        action: what it asks for.
        server: the id that it names; empty where it names none.
    """

    action: Action
    server: str = ""


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """A response.

    Attributes:
        code: status code of HTTP.
        text: a line for people.
        allow: the method that the path takes, where another one came.
    """

    code: int
    text: str
    allow: str = ""


OK = AdminResponse(HTTPStatus.OK, "ok")
FAILED = AdminResponse(HTTPStatus.INTERNAL_SERVER_ERROR, "failed; see the log")
NO_SUCH_CALL = AdminResponse(HTTPStatus.NOT_FOUND, "no such call")


def parse_membership_request(method: str, target: str) -> AdminRequest | AdminResponse:
    """Return the request at a listener for the membership, or the response to one that is none."""
    action = MEMBERSHIP_ACTIONS.get(target.partition("?")[0])
    if action is None:
        return NO_SUCH_CALL
    if method != "GET":
        return AdminResponse(HTTPStatus.METHOD_NOT_ALLOWED, "the view is asked for with GET", "GET")
    return AdminRequest(action)


def parse_admin_request(method: str, target: str) -> AdminRequest | AdminResponse:
    """Return the request at the admin API, or the response to one that is none."""
    if len(target) > MAX_TARGET_BYTES:
        text = f"the path is longer than {MAX_TARGET_BYTES} bytes"
        return AdminResponse(HTTPStatus.REQUEST_URI_TOO_LONG, text)
    path = target.partition("?")[0]
    if not path.startswith("/"):
        return AdminResponse(HTTPStatus.BAD_REQUEST, "the target is no path")
    parts = path[1:].split("/")
    if parts == [Action.HEALTH.value]:
        return _parse_health(method)
    if len(parts) != MAINTENANCE_PATH_PARTS or parts[0] != "servers" or parts[2] not in MAINTENANCE_ACTIONS:
        return NO_SUCH_CALL
    return _parse_maintenance(method, parts[1], MAINTENANCE_ACTIONS[parts[2]])


def _parse_health(method: str) -> AdminRequest | AdminResponse:
    if method != "GET":
        return AdminResponse(HTTPStatus.METHOD_NOT_ALLOWED, "a health call is a GET", "GET")
    return AdminRequest(Action.HEALTH)


def _parse_maintenance(method: str, quoted_id: str, action: Action) -> AdminRequest | AdminResponse:
    if method != "POST":
        text = "a server is taken out or put back with POST"
        return AdminResponse(HTTPStatus.METHOD_NOT_ALLOWED, text, "POST")
    try:
        server = unquote_to_bytes(quoted_id).decode()
    except UnicodeDecodeError:
        return AdminResponse(HTTPStatus.BAD_REQUEST, "the id is no UTF-8")
    if not server or len(server) > MAX_ID_CHARACTERS or not server.isprintable():
        text = f"the id must be 1 to {MAX_ID_CHARACTERS} printable characters"
        return AdminResponse(HTTPStatus.BAD_REQUEST, text)
    return AdminRequest(action, server)
