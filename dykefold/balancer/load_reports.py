"""Load reports of endpoints, and the health checks by which a sidecar that sees little asks for them."""

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

# Two health checks avoid about half of the late answers; this is the fraction for one of them.
PROBE_GAIN_FRACTION = 0.25
# A few round trips; an endpoint that has not answered by then is passed over.
PROBE_WAIT_OBJECTIVES = 0.03
# Fraction of the remaining time.
MAX_PROBE_WAIT_FRACTION = 0.25
MIN_PROBE_PRICE = 1e-6
# Columns of a load report that can serve as the load, in order of preference.
LOAD_COLUMNS = ("inflight", "queue")


class LoadReports:
    """Takes load reports into `EndpointState` and `EndpointGroup`, and asks for them where that pays.

    Attributes:
        column: which column of a report is the load; None if there is none.
        waiting: requests that wait for the report of an endpoint, by its number.
    """

    def __init__(self, context: BalancerContext, endpoints: EndpointSet) -> None:
        self.context = context
        self.endpoints = endpoints
        self.column: int | None = None
        self.waiting: dict[int, list[int]] = {}
        self.apply_settings()

    def apply_settings(self) -> None:
        """Take the columns of the settings."""
        columns = self.context.settings.report_columns
        self.column = next((columns.index(name) for name in LOAD_COLUMNS if name in columns), None)

    def record(self, endpoint: EndpointState, report: tuple[float, ...], relative: float = 0.0) -> None:
        """Take a load report, and what the answer that it came with took for each request held.

        Args:
            endpoint: whose report it is.
            report: by column; one that is too short or no load is ignored.
            relative: latency of the answer in class means; 0: it came with none.
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
            unit = relative / (load + 1.0)
            group.latency_per_request += weight * (unit - group.latency_per_request)
            known = endpoint.latency_per_request or group.latency_per_request
            endpoint.latency_per_request = known + ENDPOINT_SMOOTHING * (unit - known)

    def probe_probability(self, stats: ClassStats) -> float:
        """How often two health checks pay: what they save of late answers, against their price."""
        settings = self.context.settings
        if not (settings.can_probe and self.column is not None):
            return 0.0
        late = math.exp(-stats.spec.objective_ns / stats.mean_latency_ns)  # latencies are near that
        return late * PROBE_GAIN_FRACTION / max(settings.price_probe, MIN_PROBE_PRICE)

    def probe(self, request: PendingRequest, candidates: list[EndpointState]) -> int:
        """Ask endpoints for their load on behalf of a request; the time to wait for it, nanoseconds.

        Guards against picking blindly: what is known of an endpoint is of a deadline ago, its queue of now.
        """
        now = self.context.now_ns
        request.probed = candidates
        for endpoint in candidates:
            self.waiting.setdefault(endpoint.id, []).append(request.id)
            self.context.actions.append(Probe(endpoint.id))
        request.retry_planned = True
        request.probed_ns = now
        return int(
            min(
                PROBE_WAIT_OBJECTIVES * request.spec.objective_ns,
                MAX_PROBE_WAIT_FRACTION * (request.deadline_ns - now),
            )
        )

    def stop_waiting(self, server: int) -> list[int]:
        """Take the requests that waited for this endpoint's report."""
        return self.waiting.pop(server, [])
