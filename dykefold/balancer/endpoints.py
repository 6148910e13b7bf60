"""What this sidecar believes of endpoints and of groups of similar endpoints.

State only: the modules that decide read and write it. Times are integer nanoseconds of the caller's clock,
0 for never. Relative latencies are in units of the mean latency of the request's class.
"""

from __future__ import annotations

from .events import Endpoint, State
from .in_flight import AttemptKey, InFlightAttempt


class EndpointState:
    """What this sidecar believes of one endpoint.

    Args:
        entry: Entry of the endpoint list.
        rank: Place in the order of sampling, from 0, below 1.

    Attributes:
        id: Number of the endpoint.
        rank: Place in the order of sampling; it is random, so that each sidecar samples other endpoints.
        in_flight: Attempts that are awaiting a response, in the order of sending.
        lost: Attempts in flight whose response is not expected any more.
        counted_late: Attempts in flight that already count as congestion.
        listed: True while the endpoint list contains it.
        sampled: True while it is in the subset of this sidecar.
        ready: True while the endpoint list says that it takes requests.
        zone: Number of its zone.
        kind: Number of its kind of machine.
        cell: Number of the group of endpoints that know each other's idempotency keys.
        started_ns: Time of its start by the endpoint list; 0 for long ago.
        slow_start_began_ns: Time at which its slow start began.
        relative_latency: Smoothed relative latency. It is 1.0 before any answer, also while the endpoint is
            warming up, because slow start protects it then.
        samples: Number of results taken into `relative_latency`.
        last_sample_ns: Time of the latest of these results.
        last_alive_ns: Time of the latest answer or rejection.
        reported_load: Number of requests that it holds, by its latest load report.
        load_reported_ns: Time of that load report.
        latency_per_request: Smoothed relative latency for each request that it holds; 0 while unknown.
        failure_score: Weighted consecutive failures without a success in between.
        consecutive_rejections: Number of attempts in a row that it rejected.
        ejected: True while outlier detection keeps requests from it.
        ejections: Number of ejections and failed probation probes since it was last admitted.
        probation_ns: Time from which one request may probe it while it is ejected.
        probation_pending: True while that request is in flight.
        slow_start_tokens: Work that it may be sent while it warms up, in requests of mean work.
        slow_start_sent: Number of requests sent while it warmed up.
        slow_start_ceiling_tokens: Work up to the ceiling, to which answers add nothing, in the same unit.
        slow_start_ns: Time of the latest change of both numbers of tokens.
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
        "rank",
        "ready",
        "relative_latency",
        "reported_load",
        "sampled",
        "samples",
        "slow_start_began_ns",
        "slow_start_ceiling_tokens",
        "slow_start_ns",
        "slow_start_sent",
        "slow_start_tokens",
        "started_ns",
        "zone",
    )

    def __init__(self, entry: Endpoint, rank: float) -> None:
        self.id = entry.number
        self.rank = rank
        self.in_flight: dict[AttemptKey, InFlightAttempt] = {}
        self.lost: set[AttemptKey] = set()
        self.counted_late: set[AttemptKey] = set()
        self.listed = True
        self.sampled = True
        self.reset(entry)

    def reset(self, entry: Endpoint) -> None:
        """Discard all estimates, because the endpoint has started again or is ready again."""
        self.zone = entry.zone
        self.kind = entry.kind
        self.cell = entry.cell
        self.ready = entry.state is State.READY
        self.started_ns = entry.started_ns
        self.slow_start_began_ns = entry.slow_start_began_ns or entry.started_ns
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
        self.slow_start_ceiling_tokens = 0.0
        self.slow_start_ns = 0

    def expected_responses(self) -> int:
        """Return the number of attempts in flight whose response is still expected."""
        return len(self.in_flight) - len(self.lost)


class EndpointGroup:
    """What this sidecar believes of endpoints of one kind that are all in the own zone or all in others.

    Attributes:
        relative_latency: Smoothed relative latency.
        samples: Number of answers taken into `relative_latency`.
        mean_load: Smoothed number of requests that an endpoint holds, by load reports.
        reports: Number of reports taken into `mean_load`.
        latency_per_request: Smoothed relative latency for each request that an endpoint holds.
        log_weight: Logarithm of the weight with which its endpoints are sampled.
    """

    __slots__ = ("latency_per_request", "log_weight", "mean_load", "relative_latency", "reports", "samples")

    def __init__(self) -> None:
        self.relative_latency = 1.0
        self.samples = 0
        self.mean_load = 0.0
        self.latency_per_request = 1.0
        self.reports = 0
        self.log_weight = 0.0
