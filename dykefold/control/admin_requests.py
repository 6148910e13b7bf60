"""What operators may call, and what they are answered. No I/O.

Every call is a method and a path. What is not in the table gets a 4xx and changes nothing; so does an id that
no server has. A yes is said when the call has taken effect, not before.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from urllib.parse import unquote_to_bytes

MAX_TARGET_BYTES = 1024  # bytes of a path; ids are names of servers
MAX_ID_CHARACTERS = 256  # characters of an id


class Action(Enum):
    """What a call asks for."""

    HEALTH = "healthcheck"
    OUT = "maint"  # nothing more to a server
    BACK = "ready"  # it may be used again
    VIEW = "fleet"  # what the process holds of its fleet: at a listener of its own, not at the door
    BRIEF = "fleet/brief"  # ... in a line
    PLAN = "fleet/plan"  # ... of the failover


@dataclass(frozen=True, slots=True)
class AdminRequest:
    """A call that was understood.

    Attributes:
        server: the id that it names; empty where it names none.
    """

    action: Action
    server: str = ""


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """An answer: a status code of HTTP, and a line for people."""

    code: int
    text: str
    allow: str = ""  # the method that the path takes, where another one came


OK = AdminResponse(200, "ok")


def parse_membership_request(method: str, target: str) -> AdminRequest | AdminResponse:
    """The calls that there are at a listener for the view."""
    action = {f"/{one.value}": one for one in (Action.VIEW, Action.BRIEF, Action.PLAN)}.get(
        target.partition("?")[0]
    )
    if action is None:
        return AdminResponse(404, "no such call")
    return (
        AdminRequest(action)
        if method == "GET"
        else AdminResponse(405, "the view is asked for with GET", "GET")
    )


def parse_admin_request(method: str, target: str) -> AdminRequest | AdminResponse:
    """The call that a request is, or the answer to one that is none."""
    if len(target) > MAX_TARGET_BYTES:
        return AdminResponse(414, f"the path is longer than {MAX_TARGET_BYTES} bytes")
    path = target.partition("?")[0]
    if not path.startswith("/"):
        return AdminResponse(400, "the target is no path")
    parts = path[1:].split("/")
    if parts == [Action.HEALTH.value]:
        return (
            AdminRequest(Action.HEALTH)
            if method == "GET"
            else AdminResponse(405, "a health call is a GET", "GET")
        )
    if len(parts) != 3 or parts[0] != "servers" or parts[2] not in (Action.OUT.value, Action.BACK.value):
        return AdminResponse(404, "no such call")
    if method != "POST":
        return AdminResponse(405, "a server is taken out or put back with POST", "POST")
    try:
        server = unquote_to_bytes(parts[1]).decode()
    except UnicodeDecodeError:
        return AdminResponse(400, "the id is no UTF-8")
    if not server or len(server) > MAX_ID_CHARACTERS or not server.isprintable():
        return AdminResponse(400, f"the id must be 1 to {MAX_ID_CHARACTERS} printable characters")
    return AdminRequest(Action(parts[2]), server)
