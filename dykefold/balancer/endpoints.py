"""What this sidecar believes of endpoints, of groups of alike endpoints, and of request classes.

State only: the modules that decide read and write it. Times are integer nanoseconds of the caller's clock,
0 for never. Relative latencies are in units of the mean latency of the request's class.
"""

from __future__ import annotations

from .events import Endpoint, State
from .requests import InFlightAttempt
from .settings import RequestClass

# The initial guess of a class's mean latency.
INITIAL_LATENCY_OBJECTIVES = 0.25

AttemptKey = tuple[int, int]  # request and number of the attempt


class EndpointState:
    """What this sidecar believes of one endpoint.

    Attributes:
        id: number of the endpoint.
        rank: place in the order of sampling; random, so that each sidecar samples others.
        in_flight: attempts that wait for a response, in the order sent.
        lost: those of them whose response is not expected any more.
        counted_late: those of them that count as congestion while they wait.
        listed: whether the endpoint list names it.
        sampled: whether it is in the own subset.
        ready: whether the list says that it takes requests.
        started_ns: when it started, by the list; 0: long ago.
        ramp_from_ns: from when its slow start counts.
        relative_latency: smoothed; 1.0 before any answer, also for one that warms up, which is protected by
            slow start.
        samples: results taken into `relative_latency`.
        last_sample_ns: when the latest of them was.
        last_alive_ns: when it last showed that it lives.
        reported_load: requests that it holds, as last reported at `load_reported_ns`.
        latency_per_request: smoothed relative latency for each request that it holds; 0: unknown.
        failure_score: failures without a sign of life in between.
        consecutive_rejections: attempts in a row that it rejected.
        ejected: whether outlier detection keeps requests from it.
        ejections: how often it has been ejected or failed a probation probe since it was last admitted.
        probation_ns: from when on one request may probe it while ejected.
        probation_pending: whether that request is in flight.
        slow_start_tokens: requests that it may be sent while it warms up, as of `slow_start_ns`.
        slow_start_sent: requests sent while it warmed up.
        slow_start_room: requests until the ceiling that no answers raise, as of then too.
    """

    __slots__ = (
        "cell",
        "consecutive_rejections",
        "counted_late",
        "ejected",
        "ejections",
        "failure_score",
        "id",
        "in_flight",
        "kind",
        "last_alive_ns",
        "last_sample_ns",
        "latency_per_request",
        "listed",
        "load_reported_ns",
        "lost",
        "probation_ns",
        "probation_pending",
        "ramp_from_ns",
        "rank",
        "ready",
        "relative_latency",
        "reported_load",
        "sampled",
        "samples",
        "slow_start_ns",
        "slow_start_room",
        "slow_start_sent",
        "slow_start_tokens",
        "started_ns",
        "zone",
    )

    def __init__(self, entry: Endpoint, rank: float) -> None:
        """Begin with nothing learnt of an endpoint that the list gives."""
        self.id = entry.number
        self.rank = rank
        self.in_flight: dict[AttemptKey, InFlightAttempt] = {}
        self.lost: set[AttemptKey] = set()
        self.counted_late: set[AttemptKey] = set()
        self.listed = True
        self.sampled = True
        self.reset(entry)

    def reset(self, entry: Endpoint) -> None:
        """Forget what was learnt: the endpoint has started again or is ready again."""
        self.zone = entry.zone
        self.kind = entry.kind
        self.cell = entry.cell
        self.ready = entry.state is State.READY
        self.started_ns = entry.started_ns
        self.ramp_from_ns = entry.ramp_from_ns or entry.started_ns
        self.relative_latency = 1.0
        self.samples = 0
        self.last_sample_ns = 0
        self.last_alive_ns = 0
        self.reported_load = 0.0
        self.load_reported_ns = 0
        self.latency_per_request = 0.0
        self.failure_score = 0.0
        self.consecutive_rejections = 0
        self.ejected = False
        self.ejections = 0
        self.probation_ns = 0
        self.probation_pending = False
        self.slow_start_tokens = 0.0
        self.slow_start_sent = 0
        self.slow_start_room = 0.0
        self.slow_start_ns = 0

    def expected_responses(self) -> int:
        """Count the attempts in flight whose response is still expected."""
        return len(self.in_flight) - len(self.lost)


class EndpointGroup:
    """What this sidecar believes of endpoints that are listed alike: of one kind, in the own zone or not.

    Attributes:
        relative_latency: smoothed, over `samples` answers.
        mean_load: of what is reported, over `reports` reports.
        latency_per_request: smoothed relative latency for each request held.
        log_weight: logarithm of the weight with which its endpoints are sampled.
    """

    __slots__ = ("latency_per_request", "log_weight", "mean_load", "relative_latency", "reports", "samples")

    def __init__(self) -> None:
        self.relative_latency = 1.0
        self.samples = 0
        self.mean_load = 0.0
        self.latency_per_request = 1.0
        self.reports = 0
        self.log_weight = 0.0


class ClassStats:
    """What this sidecar believes of the requests of one class; latencies in nanoseconds.

    Attributes:
        spec: the class by the settings.
        mean_latency_ns: smoothed latency; `latency_deviation_ns` is its mean deviation.
        answers: successful attempts seen.
        typical_latency_ns: latency without trouble, learnt slowly; as of `typical_updated_ns`.
        first_timeout_ns: how long clients wait for a first attempt of theirs, as most state it.
        first_timeout_votes: late first attempts that stated it, less those that did not.
        limit_fraction: part of the concurrency limit that is open to the class.
    """

    __slots__ = (
        "answers",
        "first_timeout_ns",
        "first_timeout_votes",
        "latency_deviation_ns",
        "limit_fraction",
        "mean_latency_ns",
        "spec",
        "typical_latency_ns",
        "typical_updated_ns",
    )

    def __init__(self, spec: RequestClass) -> None:
        """Begin with a guess by the latency objective."""
        self.spec = spec
        self.mean_latency_ns = spec.objective_ns * INITIAL_LATENCY_OBJECTIVES
        self.latency_deviation_ns = self.mean_latency_ns / 2
        self.answers = 0
        self.typical_latency_ns = self.mean_latency_ns
        self.typical_updated_ns = 0
        self.first_timeout_ns = 0
        self.first_timeout_votes = 0
        self.limit_fraction = 1.0
