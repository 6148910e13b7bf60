"""Latency estimates of endpoints and classes, and the expected delay at an endpoint."""

from __future__ import annotations

from .class_stats import ClassStats
from .context import BalancerContext
from .endpoints import EndpointState
from .group_weights import GroupWeights
from .subsetting import EndpointSet
from .throughput import Throughput

# Weight of a new sample of an endpoint; it is small, because work varies much more than endpoints do.
ENDPOINT_SMOOTHING = 0.08
ESTIMATE_HALF_LIFE_DEADLINES = 3.0
# The class mean is the unit of all endpoint estimates, so it changes more slowly than any of them.
CLASS_SMOOTHING = 0.03
# A single request that takes very long must not make an endpoint look slow.
MAX_SAMPLE_CLASS_MEANS = 10.0
# Half-life of what is known of an endpoint's queue, because other sidecars fill the queue.
KNOWLEDGE_HALF_LIFE_DEADLINES = 4.0
# With outdated knowledge, the probability of an endpoint is proportional to its speed to this power.
STALE_SHARPNESS = 2.0
# A load report is used up to this age, at which it has half of its weight.
REPORT_HALF_LIFE_DEADLINES = 0.5
# As in TCP's retransmission timeout (RFC 6298): the mean plus four mean deviations.
OVERDUE_DEVIATIONS = 4.0
MIN_OVERDUE_CLASS_MEANS = 2.0
# Fraction of the remaining time; a retry needs as much time as the first attempt had.
MAX_OVERDUE_FRACTION = 0.5
# The first answers of a class are averaged into its typical latency with equal weights.
LEARNING_ANSWERS = 30
# Time constant with which the typical latency follows later answers; it exceeds the duration of a fault.
TYPICAL_INTERVAL_DEADLINES = 25.0
# The typical latency still changes slowly during congestion, so that a wrong initial value is corrected.
CONGESTED_DRIFT_FACTOR = 0.1
MAX_TYPICAL_WEIGHT = 0.1


class LatencyEstimator:
    """Updates the latency estimates in `EndpointState` and `ClassStats`.

    Args:
        context: State that all parts share.
        endpoints: Known endpoints, with their groups.
        throughput: Rate of answers, which determines how fast estimates age.
        group_weights: Sampling weights of groups, which each result updates.
    """

    def __init__(
        self,
        context: BalancerContext,
        endpoints: EndpointSet,
        throughput: Throughput,
        group_weights: GroupWeights,
    ) -> None:
        self.context = context
        self.endpoints = endpoints
        self.throughput = throughput
        self.group_weights = group_weights

    def expected_delay(self, endpoint: EndpointState, stats: ClassStats) -> float:
        """Estimate the delay of a request, in nanoseconds: (in flight + 1) x smoothed latency.

        With sparse traffic, other sidecars have most of the requests in flight, so the estimate is multiplied
        by a random factor, whose variance grows with the age of the latest sample. Guards against all
        sidecars choosing the faster machine type at the same time.
        """
        if not self.endpoints.has_sparse_traffic:
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
        """Estimate the delay from the endpoint's reported load, which ages towards the mean of its group."""
        group = self.endpoints.group(endpoint)
        age = self.context.now_ns - endpoint.load_reported_ns
        known: float = 0.5 ** (age / (REPORT_HALF_LIFE_DEADLINES * self.context.shortest_ns))
        load = group.mean_load + (endpoint.reported_load - group.mean_load) * known
        load = max(load, len(endpoint.in_flight))
        latency_per_request = endpoint.latency_per_request or group.latency_per_request
        return max((load + 1.0) * latency_per_request * stats.mean_latency_ns, self._silence_ns(endpoint))

    def relative_latency(self, endpoint: EndpointState) -> float:
        """Return the smoothed latency in class means.

        It ages towards the mean, and is at least the time that the oldest attempt has awaited its response.
        """
        now = self.context.now_ns
        mean = self.endpoints.group(endpoint).relative_latency if self.endpoints.has_sparse_traffic else 1.0
        known = endpoint.relative_latency if endpoint.samples else mean
        age = (now - endpoint.last_sample_ns) / self.throughput.half_life_ns
        aged: float = 0.5**age
        latency = mean + (known - mean) * aged
        if endpoint.in_flight:
            first = next(iter(endpoint.in_flight.values()))
            waited = now - max(first.sent_ns, endpoint.last_alive_ns)
            latency = max(latency, waited / first.stats.mean_latency_ns)
        return latency

    def _silence_ns(self, endpoint: EndpointState) -> float:
        """Return the time without an answer while attempts are in flight, which reveals a hung endpoint."""
        if not endpoint.in_flight:
            return 0.0
        first = next(iter(endpoint.in_flight.values()))
        return self.context.now_ns - max(first.sent_ns, endpoint.last_alive_ns)

    def add_sample(self, endpoint: EndpointState, relative: float) -> None:
        """Update the estimate of an endpoint with a result.

        Args:
            endpoint: Endpoint of the attempt.
            relative: Latency in class means.
        """
        context = self.context
        half_life_ns = ESTIMATE_HALF_LIFE_DEADLINES * context.shortest_ns
        age = (context.now_ns - endpoint.last_sample_ns) / half_life_ns
        aged = 1.0 - 0.5**age if self.endpoints.has_sparse_traffic else 0.0
        weight = max(ENDPOINT_SMOOTHING, 1.0 / (endpoint.samples + 2), aged)
        relative = min(relative, MAX_SAMPLE_CLASS_MEANS)
        endpoint.relative_latency += weight * (relative - endpoint.relative_latency)
        if self.endpoints.sidecars_exceed_endpoints:
            self.group_weights.learn(endpoint, relative)
        endpoint.samples += 1
        endpoint.last_sample_ns = context.now_ns

    def add_answer(self, stats: ClassStats, duration_ns: int) -> None:
        """Update the mean latency of a class with a successful attempt."""
        mean = stats.mean_latency_ns
        weight = max(CLASS_SMOOTHING, 1.0 / (stats.answers + 1))
        stats.answers += 1
        stats.latency_deviation_ns += weight * (abs(duration_ns - mean) - stats.latency_deviation_ns)
        stats.mean_latency_ns = mean + weight * (duration_ns - mean)

    def add_timeout(self, stats: ClassStats, duration_ns: int) -> None:
        """Raise the class mean after a timeout at a live endpoint; otherwise more attempts would time out."""
        stats.mean_latency_ns += CLASS_SMOOTHING * max(0.0, duration_ns - stats.mean_latency_ns)

    def learn_typical(self, stats: ClassStats, duration_ns: int, congested: bool) -> None:
        """Update the typical latency of a class with a successful attempt."""
        if stats.answers < LEARNING_ANSWERS:
            step = 1.0 / (stats.answers + 1)
        else:
            elapsed = self.context.now_ns - stats.typical_updated_ns
            step = min(elapsed / (TYPICAL_INTERVAL_DEADLINES * self.context.shortest_ns), MAX_TYPICAL_WEIGHT)
            if congested:
                step *= CONGESTED_DRIFT_FACTOR
        stats.typical_updated_ns = self.context.now_ns
        stats.typical_latency_ns += step * (duration_ns - stats.typical_latency_ns)

    def adopt_typical(self, stats: ClassStats, typical_ns: float) -> None:
        """Set the estimates of a class without answers to the typical latency that other sidecars report."""
        stats.mean_latency_ns = stats.typical_latency_ns = typical_ns
        stats.latency_deviation_ns = typical_ns / 2
        stats.answers = LEARNING_ANSWERS // 3

    def overdue_after(self, endpoint: EndpointState, stats: ClassStats, remaining_ns: int) -> int:
        """Return the time after which an attempt is overdue, nanoseconds.

        A slow endpoint gets more time, so that load is not mistaken for loss.
        """
        mean = stats.mean_latency_ns
        expected = max(mean + OVERDUE_DEVIATIONS * stats.latency_deviation_ns, MIN_OVERDUE_CLASS_MEANS * mean)
        if endpoint.relative_latency > 1.0:
            expected *= endpoint.relative_latency
        return int(min(expected, MAX_OVERDUE_FRACTION * remaining_ns)) + 1
