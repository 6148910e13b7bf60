"""What the end of an exchange proves of its request: a response, or a connection that broke."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

from ...balancer.events import Status

HTTP_OK = 200
HTTP_SERVER_ERROR = 500  # from this status code on the endpoint has failed
CODES_NOT_RUN = (503, 504)  # that are a rejection if the header says that the request did not run


@dataclass(slots=True)
class Response:
    """A whole response.

    Attributes:
        code: the status code.
        headers: names and values as they came, without the hop-by-hop ones.
        body: the content, decoded from its transfer coding.
        not_run: whether `X-Not-Run: 1` says that the request never ran.
        load: the load report of the endpoint, the value of `X-Load`; empty if there is none.
    """

    code: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    not_run: bool
    load: bytes


class HttpProfile(IntEnum):
    """How the responses of an endpoint are understood. Only `PLATFORM` is false as a condition."""

    PLATFORM = 0  # 200 is served, 503 or 504 with X-Not-Run never ran, all else has failed
    GENERIC = 1  # whatever is under 500 is served as it is
    HEAD = 2  # likewise, and no body follows (RFC 9110, 9.3.2)


def classify(answer: Response, profile: HttpProfile = HttpProfile.PLATFORM) -> Status:
    """Say what a response proves.

    Only the header proves that a request never ran; the status code alone does not.

    Args:
        answer: the whole response.
        profile: how responses of its endpoint are understood.

    Returns:
        `OK`, `FULL` where the request is known not to have run, or `ERROR` where it may have.
    """
    if answer.code == HTTP_OK or (profile and answer.code < HTTP_SERVER_ERROR):
        return Status.OK
    if answer.code in CODES_NOT_RUN and answer.not_run:
        return Status.FULL
    return Status.ERROR


def classify_break(incomplete: bool, own: bool) -> Status:
    """Say what the break of a connection proves of the request on it, which has no whole response.

    Args:
        incomplete: whether the last byte of the request was kept back.
        own: whether this machine lacked something, which says nothing of the endpoint.

    Returns:
        `RESET` where it may have run, `NOT_ATTEMPTED` or `CONNECT_FAILED` where it never ran.
    """
    if not incomplete:
        return Status.RESET
    return Status.NOT_ATTEMPTED if own else Status.CONNECT_FAILED
