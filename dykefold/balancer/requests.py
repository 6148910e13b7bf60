"""State of pending requests and of their attempts. Times are integer nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from .class_stats import ClassStats
from .endpoints import EndpointState
from .events import Request

# Fraction of the time to the deadline. A request that has not reached an endpoint by then is rejected, so
# that a retry of its client can still succeed.
MAX_UNSENT_FRACTION = 0.45


class AttemptState(Enum):
    """State of an attempt."""

    IN_FLIGHT = 0
    NEVER_RAN = 1  # It is certain that no endpoint executed it.
    MAY_HAVE_RUN = 2


# Reading a module name takes a tenth of the time of an enum member, which matters for every request.
IN_FLIGHT = AttemptState.IN_FLIGHT
NEVER_RAN = AttemptState.NEVER_RAN
MAY_HAVE_RUN = AttemptState.MAY_HAVE_RUN


@dataclass(slots=True)
class Attempt:
    """An attempt, as `PendingRequest.attempts` records it.

    Attributes:
        endpoint: Endpoint to which it was sent.
        sent_ns: Time at which it was sent.
        state: Whether it is in flight and, once it has ended, whether it may have run.
    """

    endpoint: EndpointState
    sent_ns: int
    state: AttemptState = IN_FLIGHT


class PendingRequest:
    """A request without a final answer, with the settings under which it was accepted.

    Args:
        request: Event of the request.
        stats: Statistics of its class.
        max_attempts: Number of attempts that it may have.
        now_ns: Time of the event.

    Attributes:
        id: Number of the request.
        stats: Statistics of its class.
        spec: Settings of its class.
        max_attempts: Number of attempts that it may have.
        tenant: Number of its tenant.
        deadline_ns: Time at which its client gives up.
        send_by_ns: Time at which it is rejected if it has not reached an endpoint.
        reached_endpoint: True once an attempt has reached an endpoint.
        age_ns: Time since the client's first attempt; 0 while unknown.
        attempts: Attempts by number.
        retries: Number of backoff delays so far.
        retry_paid: True once the next retry has been charged to the retry budget.
        retry_planned: True while a retry awaits its timer.
        streaming: True once the transfer of a body has begun; no further attempt may be sent.
        probed: Endpoints whose load reports it awaits.
        probed_ns: Time at which these load reports were requested.
    """

    __slots__ = (
        "age_ns",
        "attempts",
        "deadline_ns",
        "id",
        "max_attempts",
        "probed",
        "probed_ns",
        "reached_endpoint",
        "retries",
        "retry_paid",
        "retry_planned",
        "send_by_ns",
        "spec",
        "stats",
        "streaming",
        "tenant",
    )

    def __init__(self, request: Request, stats: ClassStats, max_attempts: int, now_ns: int) -> None:
        self.id = request.id
        self.stats = stats
        self.max_attempts = max_attempts
        self.tenant = request.tenant
        self.spec = stats.spec
        self.deadline_ns = request.deadline_ns
        self.send_by_ns = now_ns + int(MAX_UNSENT_FRACTION * (self.deadline_ns - now_ns))
        self.reached_endpoint = False
        self.age_ns = 0
        self.attempts: list[Attempt] = []
        self.retries = 0
        self.retry_paid = False
        self.retry_planned = False
        self.streaming = False
        self.probed: list[EndpointState] = []
        self.probed_ns = 0

    def any_in_flight(self) -> bool:
        """Return whether an attempt is still in flight."""
        return any(attempt.state is IN_FLIGHT for attempt in self.attempts)

    def never_ran(self) -> bool:
        """Return whether it is certain that no attempt ran; an attempt in flight may have run."""
        return all(attempt.state is NEVER_RAN for attempt in self.attempts)
