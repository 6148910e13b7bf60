"""Classification of responses and broken connections: whether the request succeeded or may have run."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from ...balancer.events import Status

HTTP_OK = 200
# Lowest status code that is a failure of the endpoint.
HTTP_SERVER_ERROR = 500
# Status codes of a rejection if the header states that the request never ran.
CODES_NOT_RUN = (503, 504)


@dataclass(slots=True)
class Response:
    """A complete response.

    Attributes:
        code: Status code.
        headers: Names and values as received, without hop-by-hop headers.
        body: Content, without its transfer coding.
        not_run: Whether `X-Not-Run: 1` states that the request never ran.
        load: Load report of the endpoint, i.e. the value of `X-Load`; empty if there is none.
    """

    code: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    not_run: bool
    load: bytes


class HttpProfile(IntEnum):
    """Rules by which the responses of an endpoint are classified. Only `PLATFORM` is falsy.

    Attributes:
        PLATFORM: 200 is a success, 503 or 504 with `X-Not-Run` a rejection, any other status code a failure.
        GENERIC: Each status code below 500 is a success.
        HEAD: Same as `GENERIC`, for responses to HEAD, which have no body (RFC 9110, section 9.3.2).
    """

    PLATFORM = 0
    GENERIC = 1
    HEAD = 2


def is_premature(code: int, profile: HttpProfile) -> bool:
    """Return whether a response that came before the last byte of a request was made for another request.

    Endpoints of the platform begin a request when its last byte has come, so they may reject an incomplete
    one, but not serve it. HTTP in general allows any early response.
    """
    return profile is HttpProfile.PLATFORM and code == HTTP_OK


def is_success(code: int, profile: HttpProfile) -> bool:
    """Return whether a response with a status code serves its request."""
    return code == HTTP_OK or (profile is not HttpProfile.PLATFORM and code < HTTP_SERVER_ERROR)


def classify(response: Response, profile: HttpProfile = HttpProfile.PLATFORM) -> Status:
    """Return the status of a request that got a complete response.

    Only the header `X-Not-Run` proves that a request never ran; the status code alone does not.

    Args:
        response: The complete response.
        profile: Rules by which responses of the endpoint are classified.

    Returns:
        `OK`, `FULL` if the request is known not to have run, or `ERROR` if it may have run.
    """
    if is_success(response.code, profile):
        return Status.OK
    if response.code in CODES_NOT_RUN and response.not_run:
        return Status.FULL
    return Status.ERROR


def classify_break(incomplete: bool, is_local: bool) -> Status:
    """Return the status of a request whose connection broke before a complete response.

    Args:
        incomplete: Whether the last byte of the request was withheld.
        is_local: Whether this machine lacked a resource, so that the endpoint is not at fault.

    Returns:
        `RESET` if the request may have run, `NOT_ATTEMPTED` or `CONNECT_FAILED` if it never ran.
    """
    if not incomplete:
        return Status.RESET
    return Status.NOT_ATTEMPTED if is_local else Status.CONNECT_FAILED
