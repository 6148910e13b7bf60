"""Parser of the admin API's requests, and the responses to invalid ones. No I/O.

A request is a method and a path. An unknown request, or one for an unknown endpoint, gets a 4xx response and
changes nothing. A 200 response is sent only after the request has taken effect.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from http import HTTPStatus
from urllib.parse import unquote_to_bytes

MAX_TARGET_BYTES = 1024
# An id in a path is the name of an endpoint.
MAX_ID_CHARACTERS = 256


class Action(Enum):
    """Kinds of requests; the values are path segments.

    `VIEW`, `BRIEF` and `PLAN` belong to the membership API, not to the admin API.

    Attributes:
        HEALTH: Whether this process accepts clients.
        OUT: Order that takes an endpoint out of service for maintenance.
        BACK: Order that returns an endpoint to service.
        VIEW: Full membership.
        BRIEF: Membership in one line.
        PLAN: Traffic plan.
    """

    HEALTH = "healthcheck"
    OUT = "maint"
    BACK = "ready"
    VIEW = "fleet"
    BRIEF = "fleet/brief"
    PLAN = "fleet/plan"


MEMBERSHIP_ACTIONS = {f"/{action.value}": action for action in (Action.VIEW, Action.BRIEF, Action.PLAN)}
MAINTENANCE_ACTIONS = {action.value: action for action in (Action.OUT, Action.BACK)}
MAINTENANCE_PATH_SEGMENTS = 3  # /servers/ID/ACTION


@dataclass(frozen=True, slots=True)
class AdminRequest:
    """A valid request.

    Attributes:
        action: Kind of the request.
        endpoint_name: Name of the endpoint; empty for kinds without an endpoint.
    """

    action: Action
    endpoint_name: str = ""


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """A response to a request.

    Attributes:
        code: HTTP status code.
        text: Body of one line, without the line end.
        allow: Value of the Allow header; empty if the response has no such header.
    """

    code: int
    text: str
    allow: str = ""


OK = AdminResponse(HTTPStatus.OK, "ok")
FAILED = AdminResponse(HTTPStatus.INTERNAL_SERVER_ERROR, "failed; see the log")
UNKNOWN_REQUEST = AdminResponse(HTTPStatus.NOT_FOUND, "no such call")


def parse_membership_request(method: str, target: str) -> AdminRequest | AdminResponse:
    """Parse a request to the membership API; return an error response to an invalid one."""
    action = MEMBERSHIP_ACTIONS.get(target.partition("?")[0])
    if action is None:
        return UNKNOWN_REQUEST
    if method != "GET":
        return AdminResponse(HTTPStatus.METHOD_NOT_ALLOWED, "the view is asked for with GET", "GET")
    return AdminRequest(action)


def parse_admin_request(method: str, target: str) -> AdminRequest | AdminResponse:
    """Parse a request to the admin API; return an error response to an invalid one."""
    if len(target) > MAX_TARGET_BYTES:
        text = f"the path is longer than {MAX_TARGET_BYTES} bytes"
        return AdminResponse(HTTPStatus.REQUEST_URI_TOO_LONG, text)
    path = target.partition("?")[0]
    if not path.startswith("/"):
        return AdminResponse(HTTPStatus.BAD_REQUEST, "the target is no path")
    segments = path[1:].split("/")
    if segments == [Action.HEALTH.value]:
        return _parse_health(method)
    if (
        len(segments) != MAINTENANCE_PATH_SEGMENTS
        or segments[0] != "servers"
        or segments[2] not in MAINTENANCE_ACTIONS
    ):
        return UNKNOWN_REQUEST
    return _parse_maintenance(method, segments[1], MAINTENANCE_ACTIONS[segments[2]])


def _parse_health(method: str) -> AdminRequest | AdminResponse:
    if method != "GET":
        return AdminResponse(HTTPStatus.METHOD_NOT_ALLOWED, "a health call is a GET", "GET")
    return AdminRequest(Action.HEALTH)


def _parse_maintenance(method: str, quoted_id: str, action: Action) -> AdminRequest | AdminResponse:
    if method != "POST":
        text = "a server is taken out or put back with POST"
        return AdminResponse(HTTPStatus.METHOD_NOT_ALLOWED, text, "POST")
    try:
        endpoint_name = unquote_to_bytes(quoted_id).decode()
    except UnicodeDecodeError:
        return AdminResponse(HTTPStatus.BAD_REQUEST, "the id is no UTF-8")
    if not 0 < len(endpoint_name) <= MAX_ID_CHARACTERS or not endpoint_name.isprintable():
        text = f"the id must be 1 to {MAX_ID_CHARACTERS} printable characters"
        return AdminResponse(HTTPStatus.BAD_REQUEST, text)
    return AdminRequest(action, endpoint_name)
