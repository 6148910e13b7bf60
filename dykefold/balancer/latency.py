"""Latency estimates of endpoints and classes, and the delay to expect of an endpoint."""

from __future__ import annotations

from .class_stats import ClassStats
from .context import BalancerContext
from .endpoints import EndpointState
from .group_weights import GroupWeights
from .subsetting import EndpointSet
from .throughput import Throughput

# Weight of a new sample of one endpoint; it is small, because work varies far more than endpoints do.
ENDPOINT_SMOOTHING = 0.08
ESTIMATE_HALF_LIFE_DEADLINES = 3.0
# The class mean is the unit of all endpoints, so it changes more slowly than the estimate of any of them.
CLASS_SMOOTHING = 0.03
# One request that takes very long must not mark an endpoint as slow.
MAX_SAMPLE_CLASS_MEANS = 10.0
# Knowledge of an endpoint's queue loses half of its weight in this time: other sidecars fill the queue.
KNOWLEDGE_HALF_LIFE_DEADLINES = 4.0
# With stale knowledge, the probability of an endpoint is in proportion to its speed to this power.
STALE_SHARPNESS = 2.0
REPORT_HALF_LIFE_DEADLINES = 0.5
# As in TCP's retransmission timeout (RFC 6298): the mean and four mean deviations.
OVERDUE_DEVIATIONS = 4.0
MIN_OVERDUE_CLASS_MEANS = 2.0
# Fraction of the remaining time; a retry needs as much time as the first attempt had.
MAX_OVERDUE_FRACTION = 0.5
# The first answers of a class are averaged into its typical latency with equal weights.
LEARNING_ANSWERS = 30
# Time over which the typical latency follows later answers; it is longer than a fault lasts.
TYPICAL_INTERVAL_DEADLINES = 25.0
# The typical latency changes slowly even during congestion, so that a wrong initial value is corrected.
CONGESTED_DRIFT_FACTOR = 0.1
MAX_TYPICAL_WEIGHT = 0.1


class LatencyEstimator:
    """Keeps the latency estimates in `EndpointState` and `ClassStats`."""

    def __init__(
        self,
        context: BalancerContext,
        endpoints: EndpointSet,
        throughput: Throughput,
        group_weights: GroupWeights,
    ) -> None:
        """Keep the estimates of these endpoints."""
        self.context = context
        self.endpoints = endpoints
        self.throughput = throughput
        self.group_weights = group_weights

    def expected_delay(self, endpoint: EndpointState, stats: ClassStats) -> float:
        """Estimate the delay of a request, in nanoseconds: (in flight + 1) x smoothed latency.

        A sidecar that sees little draws it about the estimate, the wider the older its knowledge is: most
        of what is in flight there is of others. Guards against all of them crowding the faster kind.
        """
        if not self.endpoints.sees_little:
            load = len(endpoint.in_flight) + 1
            return load * self.relative_latency(endpoint) * stats.mean_latency_ns
        context = self.context
        now, shortest = context.now_ns, context.shortest_ns
        known_ns = endpoint.last_sample_ns
        if now - endpoint.load_reported_ns < REPORT_HALF_LIFE_DEADLINES * shortest:
            delay = self._delay_by_report(endpoint, stats)
            known_ns = endpoint.load_reported_ns
        else:
            load = len(endpoint.in_flight) + 1
            delay = load * self.relative_latency(endpoint) * stats.mean_latency_ns
        stale = 1.0 - 0.5 ** ((now - known_ns) / (KNOWLEDGE_HALF_LIFE_DEADLINES * shortest))
        factor: float = context.random.expovariate(1.0) ** (stale / STALE_SHARPNESS)
        return delay * factor

    def _delay_by_report(self, endpoint: EndpointState, stats: ClassStats) -> float:
        """Estimate the delay by the load that the endpoint reported, aged towards its group's mean."""
        group = self.endpoints.group(endpoint)
        age = self.context.now_ns - endpoint.load_reported_ns
        known: float = 0.5 ** (age / (REPORT_HALF_LIFE_DEADLINES * self.context.shortest_ns))
        load = group.mean_load + (endpoint.reported_load - group.mean_load) * known
        load = max(load, len(endpoint.in_flight))
        unit = endpoint.latency_per_request or group.latency_per_request
        return max((load + 1.0) * unit * stats.mean_latency_ns, self._silence(endpoint))

    def relative_latency(self, endpoint: EndpointState) -> float:
        """Smoothed latency in class means, aged towards the mean, raised by an attempt without a response."""
        now = self.context.now_ns
        mean = self.endpoints.group(endpoint).relative_latency if self.endpoints.sees_little else 1.0
        known = endpoint.relative_latency if endpoint.samples else mean
        age = (now - endpoint.last_sample_ns) / self.throughput.half_life_ns
        aged: float = 0.5**age
        latency = mean + (known - mean) * aged
        if endpoint.in_flight:
            first = next(iter(endpoint.in_flight.values()))
            waited = now - max(first.sent_ns, endpoint.last_alive_ns)
            latency = max(latency, waited / first.stats.mean_latency_ns)
        return latency

    def _silence(self, endpoint: EndpointState) -> float:
        """Silence with work in flight is evidence of a hung endpoint before any time-out."""
        if not endpoint.in_flight:
            return 0.0
        first = next(iter(endpoint.in_flight.values()))
        return self.context.now_ns - max(first.sent_ns, endpoint.last_alive_ns)

    def add_sample(self, endpoint: EndpointState, relative: float) -> None:
        """Take a result into the estimate of an endpoint, in class means."""
        context = self.context
        age = (context.now_ns - endpoint.last_sample_ns) / (
            ESTIMATE_HALF_LIFE_DEADLINES * context.shortest_ns
        )
        fresh = 1.0 - 0.5**age if self.endpoints.sees_little else 0.0
        weight = max(ENDPOINT_SMOOTHING, 1.0 / (endpoint.samples + 2), fresh)
        relative = min(relative, MAX_SAMPLE_CLASS_MEANS)
        endpoint.relative_latency += weight * (relative - endpoint.relative_latency)
        if self.endpoints.crowded:
            self.group_weights.learn(endpoint, relative)
        endpoint.samples += 1
        endpoint.last_sample_ns = context.now_ns

    def add_answer(self, stats: ClassStats, took_ns: int) -> None:
        """Take a successful attempt into the mean latency of its class."""
        mean = stats.mean_latency_ns
        weight = max(CLASS_SMOOTHING, 1.0 / (stats.answers + 1))
        stats.answers += 1
        stats.latency_deviation_ns += weight * (abs(took_ns - mean) - stats.latency_deviation_ns)
        stats.mean_latency_ns = mean + weight * (took_ns - mean)

    def add_timeout(self, stats: ClassStats, took_ns: int) -> None:
        """Let the class mean follow a time-out at an endpoint that lives, or time-outs multiply."""
        stats.mean_latency_ns += CLASS_SMOOTHING * max(0.0, took_ns - stats.mean_latency_ns)

    def learn_typical(self, stats: ClassStats, took_ns: int, congested: bool) -> None:
        """Take a successful attempt into the typical latency of its class."""
        if stats.answers < LEARNING_ANSWERS:
            step = 1.0 / (stats.answers + 1)
        else:
            elapsed = self.context.now_ns - stats.typical_updated_ns
            step = min(elapsed / (TYPICAL_INTERVAL_DEADLINES * self.context.shortest_ns), MAX_TYPICAL_WEIGHT)
            if congested:
                step *= CONGESTED_DRIFT_FACTOR
        stats.typical_updated_ns = self.context.now_ns
        stats.typical_latency_ns += step * (took_ns - stats.typical_latency_ns)

    def adopt_typical(self, stats: ClassStats, typical_ns: float) -> None:
        """Begin a class that has no answers yet with what other sidecars found."""
        stats.mean_latency_ns = stats.typical_latency_ns = typical_ns
        stats.latency_deviation_ns = typical_ns / 2
        stats.answers = LEARNING_ANSWERS // 3

    def overdue_after(self, endpoint: EndpointState, stats: ClassStats, left_ns: int) -> int:
        """When to doubt an attempt, nanoseconds.

        A slow endpoint is given its time, lest load looks like loss.
        """
        mean = stats.mean_latency_ns
        expected = max(mean + OVERDUE_DEVIATIONS * stats.latency_deviation_ns, MIN_OVERDUE_CLASS_MEANS * mean)
        if endpoint.relative_latency > 1.0:
            expected *= endpoint.relative_latency
        return int(min(expected, MAX_OVERDUE_FRACTION * left_ns)) + 1
