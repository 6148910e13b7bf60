"""Load reports of endpoints, and the health checks that request them where traffic is sparse."""

from __future__ import annotations

import math

from .actions import Probe
from .class_stats import ClassStats
from .context import BalancerContext
from .endpoints import EndpointState
from .group_weights import GROUP_SMOOTHING
from .latency import ENDPOINT_SMOOTHING
from .requests import PendingRequest
from .subsetting import EndpointSet

# Two health checks prevent about half of the late answers; this is the fraction for each of them.
PROBE_GAIN_FRACTION = 0.25
# A few round trips; an endpoint that has not answered by then is skipped.
PROBE_WAIT_OBJECTIVES = 0.03
# Fraction of the remaining time.
MAX_PROBE_WAIT_FRACTION = 0.25
MIN_PROBE_PRICE = 1e-6
# Columns of a load report that can serve as the load, in order of preference.
LOAD_COLUMNS = ("inflight", "queue")


class LoadReports:
    """Records load reports in `EndpointState` and `EndpointGroup`, and requests them where they are worth it.

    Args:
        context: State that all parts share.
        endpoints: Known endpoints, with their groups.

    Attributes:
        column: Column of a report that contains the load; None if there is none.
        waiting: Numbers of the requests that await a report, by the number of the endpoint.
    """

    def __init__(self, context: BalancerContext, endpoints: EndpointSet) -> None:
        self.context = context
        self.endpoints = endpoints
        self.column: int | None = None
        self.waiting: dict[int, list[int]] = {}
        self.apply_settings()

    def apply_settings(self) -> None:
        """Apply the columns of the settings."""
        columns = self.context.settings.report_columns
        self.column = next((columns.index(name) for name in LOAD_COLUMNS if name in columns), None)

    def record(self, endpoint: EndpointState, report: tuple[float, ...], relative: float = 0.0) -> None:
        """Record a load report, and the latency per request of the answer that contained it.

        Args:
            endpoint: Endpoint that sent the report.
            report: Values by column; a report without a valid load is ignored.
            relative: Latency of the answer in class means; 0 for a report of a health check.
        """
        if self.column is None or len(report) <= self.column:
            return
        load = report[self.column]
        if not 0.0 <= load < math.inf:
            return
        endpoint.reported_load, endpoint.load_reported_ns = load, self.context.now_ns
        group = self.endpoints.group(endpoint)
        group.reports += 1
        weight = max(GROUP_SMOOTHING, 1.0 / group.reports)
        group.mean_load += weight * (load - group.mean_load)
        if relative:
            latency_per_request = relative / (load + 1.0)
            group.latency_per_request += weight * (latency_per_request - group.latency_per_request)
            known = endpoint.latency_per_request or group.latency_per_request
            endpoint.latency_per_request = known + ENDPOINT_SMOOTHING * (latency_per_request - known)

    def probe_probability(self, stats: ClassStats) -> float:
        """Return the probability of health checks before a request, by their benefit and their price."""
        settings = self.context.settings
        if not (settings.can_probe and self.column is not None):
            return 0.0
        # Latencies are approximately exponentially distributed.
        late = math.exp(-stats.spec.objective_ns / stats.mean_latency_ns)
        return late * PROBE_GAIN_FRACTION / max(settings.price_probe, MIN_PROBE_PRICE)

    def probe(self, request: PendingRequest, candidates: list[EndpointState]) -> int:
        """Request load reports for a request; return the time to wait for them in nanoseconds.

        The queue of an endpoint changes within a deadline, so a choice by earlier reports would use outdated
        data.
        """
        now = self.context.now_ns
        request.probed = candidates
        for endpoint in candidates:
            self.waiting.setdefault(endpoint.id, []).append(request.id)
            self.context.actions.append(Probe(endpoint.id))
        request.retry_planned = True
        request.probed_ns = now
        max_wait_ns = MAX_PROBE_WAIT_FRACTION * (request.deadline_ns - now)
        return int(min(PROBE_WAIT_OBJECTIVES * request.spec.objective_ns, max_wait_ns))

    def stop_waiting(self, endpoint_number: int) -> list[int]:
        """Remove and return the numbers of the requests that await this endpoint's report."""
        return self.waiting.pop(endpoint_number, [])
