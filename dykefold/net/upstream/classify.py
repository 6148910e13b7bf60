"""What a response, or a connection that broke, proves of the request."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from ...balancer.events import Status

HTTP_OK = 200
# The endpoint has failed from this status code on.
HTTP_SERVER_ERROR = 500
# These status codes are a rejection if the header says that the request did not run.
CODES_NOT_RUN = (503, 504)


@dataclass(slots=True)
class Response:
    """A whole response.

    Attributes:
        code: Status code.
        headers: Names and values as received, without the hop-by-hop ones.
        body: Content, decoded from its transfer coding.
        not_run: True if `X-Not-Run: 1` says that the request never ran.
        load: Load report of the endpoint, the value of `X-Load`; empty if there is none.
    """

    code: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    not_run: bool
    load: bytes


class HttpProfile(IntEnum):
    """How the responses of an endpoint are classified. Only `PLATFORM` is false as a condition.

    Attributes:
        PLATFORM: 200 is a success, 503 or 504 with `X-Not-Run` a rejection, any other status code a failure.
        GENERIC: Each status code under 500 is a success.
        HEAD: As `GENERIC`, for responses to HEAD, which have no body (RFC 9110, section 9.3.2).
    """

    PLATFORM = 0
    GENERIC = 1
    HEAD = 2


def classify(response: Response, profile: HttpProfile = HttpProfile.PLATFORM) -> Status:
    """Return what a response proves.

    Only the header proves that a request never ran; the status code alone does not.

    Args:
        response: The whole response.
        profile: Rules by which responses of the endpoint are classified.

    Returns:
        `OK`, `FULL` where the request is known not to have run, or `ERROR` where it may have.
    """
    if response.code == HTTP_OK or (profile and response.code < HTTP_SERVER_ERROR):
        return Status.OK
    if response.code in CODES_NOT_RUN and response.not_run:
        return Status.FULL
    return Status.ERROR


def classify_break(incomplete: bool, own: bool) -> Status:
    """Return what the break of a connection proves of the request on it, which has no whole response.

    Args:
        incomplete: True if the last byte of the request was withheld.
        own: True if this machine lacked a resource, which says nothing of the endpoint.

    Returns:
        `RESET` where it may have run, `NOT_ATTEMPTED` or `CONNECT_FAILED` where it never ran.
    """
    if not incomplete:
        return Status.RESET
    return Status.NOT_ATTEMPTED if own else Status.CONNECT_FAILED
