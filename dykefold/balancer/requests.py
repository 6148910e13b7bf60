"""State of the requests that wait for a response, and of their attempts. Times are integer nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from .events import Request

if TYPE_CHECKING:
    from .endpoints import ClassStats, EndpointState

# Fraction of the time until the deadline. A request that no endpoint has got by then is rejected, so that a
# retry of its client can still succeed.
MAX_UNSENT_FRACTION = 0.45


class AttemptState(Enum):
    """What is known of an attempt."""

    IN_FLIGHT = 0
    NEVER_RAN = 1  # proven
    MAY_HAVE_RUN = 2


# Names of the module: on the path of every request, reading an enum's member costs ten times as much.
IN_FLIGHT = AttemptState.IN_FLIGHT
NEVER_RAN = AttemptState.NEVER_RAN
MAY_HAVE_RUN = AttemptState.MAY_HAVE_RUN


@dataclass(slots=True)
class Attempt:
    """One attempt of a request, by the request's account.

    Attributes:
        endpoint: where it was sent.
        sent_ns: when.
        state: whether it is in flight, and if not, whether it may have run.
    """

    endpoint: EndpointState
    sent_ns: int
    state: AttemptState = IN_FLIGHT


class InFlightAttempt:
    """One attempt that waits for a response, by its endpoint's account.

    Attributes:
        sent_ns: when it was sent, or when its body had reached the endpoint whole.
        stats: the class of its request.
        overtaken: responses so far to attempts sent later.
    """

    __slots__ = ("overtaken", "sent_ns", "stats")

    def __init__(self, sent_ns: int, stats: ClassStats) -> None:
        """Begin with an attempt that nothing has overtaken."""
        self.sent_ns = sent_ns
        self.stats = stats
        self.overtaken = 0


class PendingRequest:
    """A request that waits for its final answer, by the settings under which it was accepted.

    Attributes:
        id: number of the request.
        stats: its class.
        spec: its class by the settings.
        max_attempts: how many attempts it may have.
        tenant: number of the tenant.
        deadline_ns: when its client gives up.
        send_by_ns: when it is rejected if nothing of it has reached an endpoint.
        written: whether some attempt has reached an endpoint.
        age_ns: since the client's first attempt, as far as is known.
        attempts: by number.
        retries: backoff delays waited so far.
        retry_paid: whether the next retry has been taken from the retry budget.
        retry_planned: whether a retry waits for its timer.
        streaming: whether a body flows, after which nothing more may be sent.
        probed: endpoints whose load is being asked for, since `probed_ns`.
    """

    __slots__ = (
        "age_ns",
        "attempts",
        "deadline_ns",
        "id",
        "max_attempts",
        "probed",
        "probed_ns",
        "retries",
        "retry_paid",
        "retry_planned",
        "send_by_ns",
        "spec",
        "stats",
        "streaming",
        "tenant",
        "written",
    )

    def __init__(self, request: Request, stats: ClassStats, max_attempts: int, now_ns: int) -> None:
        self.id = request.id
        self.stats = stats
        self.max_attempts = max_attempts
        self.tenant = request.tenant
        self.spec = stats.spec
        self.deadline_ns = request.deadline_ns
        self.send_by_ns = now_ns + int(MAX_UNSENT_FRACTION * (self.deadline_ns - now_ns))
        self.written = False
        self.age_ns = 0
        self.attempts: list[Attempt] = []
        self.retries = 0
        self.retry_paid = False
        self.retry_planned = False
        self.streaming = False
        self.probed: list[EndpointState] = []
        self.probed_ns = 0

    def any_in_flight(self) -> bool:
        """Tell whether an attempt may still be answered."""
        return any(attempt.state is IN_FLIGHT for attempt in self.attempts)

    def never_ran(self) -> bool:
        """Tell whether each attempt is proven not to have run; one in flight may have."""
        return all(attempt.state is NEVER_RAN for attempt in self.attempts)
