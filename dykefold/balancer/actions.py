"""Actions that a balancer returns, for the caller to carry out in order. Durations are nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Send:
    """Send the next attempt of a request.

    Attributes:
        id: request.
        endpoint_number: endpoint.
        timeout_ns: of the attempt; 0: until the client gives up.
    """

    id: int
    endpoint_number: int
    timeout_ns: int = 0


@dataclass(slots=True)
class Refuse:
    """Reject a request, as its final answer: it surely had no harmful effect, a retry does no harm.

    Attributes:
        id: request.
        retry_after_ns: advice when to retry; 0: none.
    """

    id: int
    retry_after_ns: int = 0


@dataclass(slots=True)
class Fail:
    """Fail a request, as its final answer, which promises nothing of its effect."""

    id: int


@dataclass(slots=True)
class Cancel:
    """Cancel an attempt in flight; its end is still reported."""

    id: int
    attempt: int


@dataclass(slots=True)
class Probe:
    """Send a health check to an endpoint."""

    endpoint_number: int


@dataclass(slots=True)
class CloseIdle:
    """Close idle connections to an endpoint."""

    endpoint_number: int


@dataclass(slots=True)
class SendToPeer:
    """Send a message to other sidecars.

    Attributes:
        data: for their balancers.
        peer: number of the sidecar; None: every peer.
    """

    data: bytes
    peer: int | None = None


@dataclass(slots=True)
class ReportEndpointHealth:
    """Tell the fleet that an endpoint is given up on, or that it answers again."""

    endpoint_number: int
    answers: bool


@dataclass(slots=True)
class Watch:
    """Begin to watch the endpoint list, or stop."""

    on: bool = True


@dataclass(slots=True)
class Fetch:
    """Fetch the endpoint list once."""


@dataclass(slots=True)
class SetTimer:
    """Ring a timer after some time, with the token of the latest one."""

    after_ns: int
    token: int


@dataclass(slots=True)
class Log:
    """Write a line to the log."""

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
