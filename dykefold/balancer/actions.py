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
class Reject:
    """Reject a request as its final answer; it is safe for the client to retry it.

    Attributes:
        id: Number of the request.
        retry_after_ns: Time that the client is advised to wait before a retry; 0 for no advice.
    """

    id: int
    retry_after_ns: int = 0


@dataclass(slots=True)
class Fail:
    """Fail a request as its final answer; the request may have been executed.

    Attributes:
        id: Number of the request.
    """

    id: int


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt in flight; an `Outcome` event still follows.

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
    """Report to other sidecars that an endpoint has been ejected, or that it answers again.

    Attributes:
        endpoint_number: Number of the endpoint.
        answers: True if it answers again.
    """

    endpoint_number: int
    answers: bool


@dataclass(slots=True)
class Watch:
    """Start or stop the watch of the endpoint list.

    Attributes:
        on: True to start.
    """

    on: bool = True


@dataclass(slots=True)
class Fetch:
    """Fetch the endpoint list once."""


@dataclass(slots=True)
class SetTimer:
    """Set the only timer of the balancer, which replaces the one set before.

    Attributes:
        after_ns: Time until the timer expires.
        token: Token that the `Timer` event carries.
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
    | Reject
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
