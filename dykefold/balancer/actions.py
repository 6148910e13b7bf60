"""Actions that a balancer returns, for the caller to carry out in order. Durations are nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Send:
    """Send the next attempt of a request.

    Attributes:
        id: Number of the request.
        endpoint_number: Number of the endpoint.
        timeout_ns: Time limit of the attempt; 0 for the deadline of the request.
    """

    id: int
    endpoint_number: int
    timeout_ns: int = 0


@dataclass(slots=True)
class Refuse:
    """Reject a request as its final answer. It has had no harmful effect, so a retry does no harm.

    Attributes:
        id: Number of the request.
        retry_after_ns: Advice how long to wait before a retry; 0 for none.
    """

    id: int
    retry_after_ns: int = 0


@dataclass(slots=True)
class Fail:
    """Fail a request as its final answer, which says nothing of its effect.

    Attributes:
        id: Number of the request.
    """

    id: int


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt in flight; its end is still reported.

    Attributes:
        id: Number of the request.
        attempt: Number of the attempt, from 0.
    """

    id: int
    attempt: int


@dataclass(slots=True)
class Probe:
    """Send a health check to an endpoint.

    Attributes:
        endpoint_number: Number of the endpoint.
    """

    endpoint_number: int


@dataclass(slots=True)
class CloseIdle:
    """Close idle connections to an endpoint.

    Attributes:
        endpoint_number: Number of the endpoint.
    """

    endpoint_number: int


@dataclass(slots=True)
class SendToPeer:
    """Send a message to other sidecars.

    Attributes:
        data: Content for their balancers.
        peer: Number of the sidecar; None for every peer.
    """

    data: bytes
    peer: int | None = None


@dataclass(slots=True)
class ReportEndpointHealth:
    """Report to other sidecars that an endpoint has been ejected, or that it has answered again.

    Attributes:
        endpoint_number: Number of the endpoint.
        answers: True if it has answered again.
    """

    endpoint_number: int
    answers: bool


@dataclass(slots=True)
class Watch:
    """Begin or end the watch of the endpoint list.

    Attributes:
        on: True to begin.
    """

    on: bool = True


@dataclass(slots=True)
class Fetch:
    """Fetch the endpoint list once."""


@dataclass(slots=True)
class SetTimer:
    """Set the one timer, in place of the timer set before.

    Attributes:
        after_ns: Time until it is due.
        token: Token that the `Timer` event returns.
    """

    after_ns: int
    token: int


@dataclass(slots=True)
class Log:
    """Write a line to the log.

    Attributes:
        text: Text of the line.
    """

    text: str


Action = (
    Send
    | Refuse
    | Fail
    | Cancel
    | Probe
    | CloseIdle
    | SendToPeer
    | ReportEndpointHealth
    | Watch
    | Fetch
    | SetTimer
    | Log
)
