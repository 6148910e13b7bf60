"""State and estimates of endpoints and of groups of similar endpoints, as this sidecar sees them.

The modules that make decisions read and write this state. Times are integer nanoseconds of the caller's
clock, 0 for never. Relative latencies are in units of the mean latency of the request's class.
"""

from __future__ import annotations

from .events import Endpoint, State
from .in_flight import AttemptKey, InFlightAttempt


class EndpointState:
    """State and estimates of one endpoint, as this sidecar sees it.

    Args:
        entry: Entry of the endpoint list.
        rank: Position in the order of sampling, from 0, below 1.

    Attributes:
        id: Number of the endpoint.
        rank: Position in the order of sampling; it is random, so that sidecars sample different endpoints.
        in_flight: Attempts that await a response, in the order in which they were sent.
        lost: Attempts in flight whose response is no longer expected.
        counted_late: Attempts in flight that have already been counted as congestion.
        listed: True while the endpoint list contains it.
        sampled: True while it is in the subset of this sidecar.
        ready: True while it is ready for requests according to the endpoint list.
        zone: Number of the endpoint's zone.
        kind: Number of its machine type.
        cell: Number of the group of endpoints that share idempotency keys.
        started_ns: Time of its start according to the endpoint list; 0 for long ago.
        slow_start_began_ns: Time at which its slow start began.
        relative_latency: Smoothed relative latency. It is 1.0 before the first answer, even while the
            endpoint is warming up, because slow start protects it then.
        samples: Number of results that `relative_latency` includes.
        last_sample_ns: Time of the latest such result.
        last_alive_ns: Time of the latest answer or rejection.
        reported_load: Number of requests at the endpoint according to its latest load report.
        load_reported_ns: Time of that load report.
        latency_per_request: Smoothed relative latency for each request at the endpoint; 0 while unknown.
        failure_score: Weighted consecutive failures without a success in between.
        consecutive_rejections: Number of consecutive attempts that it rejected.
        ejected: True while outlier detection excludes it from requests.
        ejections: 1 for the latest ejection, plus the number of failed probation probes since.
        probation_ns: Time from which a request may probe it while it is ejected.
        probation_pending: True while that request is in flight.
        slow_start_tokens: Token bucket of the rate while it is warming up, in requests of mean work.
        slow_start_sent: Number of requests sent while it was warming up.
        slow_start_ceiling_tokens: Token bucket of the ceiling, which answers do not refill, in the same unit.
        slow_start_refilled_ns: Time of the latest refill of both token buckets.
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
        "slow_start_refilled_ns",
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
        """Discard all estimates, because the endpoint has restarted or has become ready."""
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
        self.slow_start_refilled_ns = 0

    def expected_responses(self) -> int:
        """Return the number of attempts in flight whose response is still expected."""
        return len(self.in_flight) - len(self.lost)


class EndpointGroup:
    """Estimates of all endpoints of one machine type that are in the local zone, or of those in other zones.

    Attributes:
        relative_latency: Smoothed relative latency.
        samples: Number of answers that `relative_latency` includes.
        mean_load: Smoothed number of requests at an endpoint according to load reports.
        reports: Number of load reports that `mean_load` includes.
        latency_per_request: Smoothed relative latency for each request at an endpoint.
        log_weight: Logarithm of the sampling weight of its endpoints.
    """

    __slots__ = ("latency_per_request", "log_weight", "mean_load", "relative_latency", "reports", "samples")

    def __init__(self) -> None:
        self.relative_latency = 1.0
        self.samples = 0
        self.mean_load = 0.0
        self.latency_per_request = 1.0
        self.reports = 0
        self.log_weight = 0.0
