"""Slow start: limits the rate of requests to an endpoint that is warming up."""

from __future__ import annotations

import math

from .class_stats import ClassStats
from .context import SECOND_NS, BalancerContext
from .endpoints import EndpointState
from .subsetting import EndpointSet
from .throughput import Throughput

# Factor on the endpoint's fair part of the answers that this sidecar receives.
RATE_FACTOR = 1.2
# Above 1, because many endpoints warm up by serving requests, and sooner than the settings state.
TOKENS_PER_ANSWER = 1.5
# Fraction of the slow-start budget that the ceilings of all sidecars together may reach.
BUDGET_FRACTION = 0.9
# Upper limit of the ceiling, as a factor on the rate that the overload factor allows.
MAX_CEILING_FACTOR = 1.6
# Below this number of allowed requests, the slack for random bursts is larger.
SMALL_ALLOWANCE_REQUESTS = 30.0
# Fraction of the overload factor in the demand rate, which does not depend on answers.
DEMAND_RATE_FRACTION = 0.3
# With this many unanswered requests, the demand rate does not apply to an endpoint.
MAX_UNANSWERED_REQUESTS = 3
# Factor on rate and ceiling with sparse traffic, where most requests arrive at sidecars without tokens.
SPARSE_TRAFFIC_FACTOR = 1.5
SPARSE_TRAFFIC_BURST_REQUESTS = 2.0
BURST_REQUESTS_PER_ANSWER = 0.1
MAX_BURST_REQUESTS_BY_ANSWERS = 3.0
BURST_S = 0.25
MIN_CAPACITY_FRACTION = 0.01


def slow_start_budget(allowed: float) -> float:
    """Return the number of requests of mean work in an overload interval that overloads an endpoint.

    Args:
        allowed: Number of requests of mean work that the overload factor allows in that interval.
    """
    root = math.sqrt(allowed)
    return allowed + 3.0 * root + 3.0 if allowed < SMALL_ALLOWANCE_REQUESTS else allowed + 2.0 * root + 2.0


class SlowStart:
    """Limits the rate to each endpoint that is warming up by token buckets in its `EndpointState`.

    Args:
        context: State that all parts share.
        endpoints: Known endpoints, with the demand of this sidecar's clients.
        throughput: Rate of answers, from which the rate of requests is derived.
    """

    def __init__(self, context: BalancerContext, endpoints: EndpointSet, throughput: Throughput) -> None:
        self.context = context
        self.endpoints = endpoints
        self.throughput = throughput

    def capacity_fraction(self, endpoint: EndpointState) -> float:
        """Return the minimum fraction of its full capacity that an endpoint has now, by the settings."""
        settings = self.context.settings
        start, warm = settings.start_capacity, settings.warm_within_ns
        age = self.context.now_ns - endpoint.slow_start_began_ns
        if not endpoint.started_ns or age >= warm:
            return 1.0
        return max(start + (1.0 - start) * max(age, 0) / warm, MIN_CAPACITY_FRACTION)

    def allows(self, endpoint: EndpointState, stats: ClassStats) -> bool:
        """Return whether a request of this class may be sent to the endpoint now."""
        if not endpoint.started_ns:
            return True
        limits = self._refill(endpoint)
        if limits is None:
            return True
        cost = self.cost(stats)
        limit, ceiling_limit = limits
        enough = endpoint.slow_start_tokens >= min(cost, limit)
        return enough and endpoint.slow_start_ceiling_tokens >= min(cost, ceiling_limit)

    def charge(self, endpoint: EndpointState, stats: ClassStats) -> None:
        """Remove the tokens for a request that is sent to the endpoint."""
        if endpoint.started_ns and self._refill(endpoint) is not None:
            cost = self.cost(stats)
            endpoint.slow_start_sent += 1
            endpoint.slow_start_tokens -= cost
            endpoint.slow_start_ceiling_tokens -= cost

    def credit(self, endpoint: EndpointState, stats: ClassStats) -> None:
        """Add tokens for an answer, because the endpoint has shown that it can do that work."""
        if endpoint.slow_start_refilled_ns:
            endpoint.slow_start_tokens += TOKENS_PER_ANSWER * self.cost(stats)

    def _refill(self, endpoint: EndpointState) -> tuple[float, float] | None:
        """Refill both token buckets; return their limits, or None if the endpoint has warmed up.

        Guards against the overload of an endpoint that has just started. From all sidecars together it gets
        RATE_FACTOR times the mean load of all endpoints times the fraction of its capacity. Its answers raise
        that, up to a ceiling derived from `slow_start_budget`, since no endpoint has less capacity than the
        mean load. The ceiling is needed because an answer adds more tokens than its request has cost.
        """
        capacity_fraction = self.capacity_fraction(endpoint)
        if capacity_fraction >= 1.0:
            return None
        context, now = self.context, self.context.now_ns
        rate, ceiling = self._rates(endpoint, capacity_fraction)
        ceiling_burst = SPARSE_TRAFFIC_BURST_REQUESTS if self._has_sparse_traffic() else 1.0
        burst = min(endpoint.samples * BURST_REQUESTS_PER_ANSWER, MAX_BURST_REQUESTS_BY_ANSWERS)
        limit = max(1.0, rate * BURST_S) + burst
        ceiling_limit = max(ceiling_burst, ceiling * BURST_S)
        if not endpoint.slow_start_refilled_ns:
            # Each sidecar begins with a random part of the first token. Otherwise hundreds of sidecars with
            # sparse traffic would leave a restarted endpoint idle until one of them has a full token.
            min_cost = min(self.cost(other) for other in context.live_classes)
            endpoint.slow_start_tokens = context.random.random() * min_cost
            endpoint.slow_start_ceiling_tokens = endpoint.slow_start_tokens
        else:
            elapsed_s = (now - endpoint.slow_start_refilled_ns) / SECOND_NS
            tokens = endpoint.slow_start_tokens + rate * elapsed_s
            endpoint.slow_start_tokens = min(limit, tokens)
            endpoint.slow_start_ceiling_tokens = min(
                ceiling_limit, endpoint.slow_start_ceiling_tokens + ceiling * elapsed_s
            )
        endpoint.slow_start_refilled_ns = now
        return limit, ceiling_limit

    def _rates(self, endpoint: EndpointState, capacity_fraction: float) -> tuple[float, float]:
        """Return the rate in requests per second, and the ceiling up to which answers raise it."""
        # Without recent answers the rate decays to 0, because an old rate does not reflect the present load.
        since = self.context.now_ns - self.throughput.updated_ns
        decay = max(0.0, 1.0 - since / self.context.settings.overload_for_ns)
        fair = self._fair_rate(endpoint, decay)
        rate, ceiling = (
            RATE_FACTOR * capacity_fraction * fair,
            self._ceiling(endpoint, capacity_fraction * fair),
        )
        if self._has_sparse_traffic():
            rate, ceiling = rate * SPARSE_TRAFFIC_FACTOR, ceiling * SPARSE_TRAFFIC_FACTOR
        if self._may_use_demand_rate(endpoint):
            rate = max(rate, self._demand_rate(endpoint, capacity_fraction))
            ceiling = max(ceiling, rate)
        return rate, ceiling

    def _ceiling(self, endpoint: EndpointState, capacity: float) -> float:
        """Return the ceiling in requests per second: this sidecar's part of the slow-start budget.

        The slack of the budget grows with the square root of the allowed requests, so the slack of a sidecar
        shrinks as the total grows. The sum over all sidecars is highest if all parts are equal.

        Args:
            endpoint: Endpoint that is warming up.
            capacity: This sidecar's part of its present capacity, in requests per second.
        """
        settings = self.context.settings
        fleet, local = self._sidecars(local=False), self._sidecars(local=True)
        sidecars = local if endpoint.zone == settings.zone else fleet
        span_s = settings.overload_for_ns / SECOND_NS
        allowed = settings.overload_factor * capacity
        budget = slow_start_budget(allowed * span_s * sidecars) / sidecars
        # The sidecars of its zone divide one budget; each of the others takes the part for the whole fleet.
        parts = 1.0 + (fleet - local) / fleet
        return min(MAX_CEILING_FACTOR * allowed, BUDGET_FRACTION / parts * budget / (span_s + BURST_S))

    def _fair_rate(self, endpoint: EndpointState, decay: float) -> float:
        """Return the endpoint's fair part, in requests per second, of the answers that this sidecar receives.

        Sidecars mostly use endpoints of their zone, so sidecars of other zones leave their part of the mean
        load unused. An endpoint of the local zone gets that part too, as far as this sidecar's answers come
        from the local zone.
        """
        throughput, endpoints = self.throughput, self.endpoints
        fair = throughput.answers_per_s * decay / self._sharing_endpoint_count(endpoint)
        if endpoint.zone != self.context.settings.zone or self._has_sparse_traffic() or not endpoint.sampled:
            return fair
        local = throughput.local_answers_per_s * decay / max(len(endpoints.local_endpoints), 1)
        fleet_per_zone = self._sidecars(local=False) / self._sidecars(local=True)
        return max(fair, min(local, fleet_per_zone * fair))

    def _has_sparse_traffic(self) -> bool:
        """Return whether this sidecar has sparse traffic, and there are ready endpoints."""
        return self.endpoints.has_sparse_traffic and self.endpoints.ready_count > 0

    def _sidecars(self, *, local: bool) -> int:
        """Return the number of sidecars in the fleet, or the approximate number in the local zone."""
        settings = self.context.settings
        # Sidecars that are not in the membership may still use the endpoints.
        fleet = max(self.context.sidecar_count(), settings.fleet_size, 1)
        return math.ceil(fleet / max(len(settings.zones), 1)) if local else fleet

    def _may_use_demand_rate(self, endpoint: EndpointState) -> bool:
        """Return whether all endpoints are warming up, and this one has answered nearly all requests."""
        unanswered = endpoint.slow_start_sent - endpoint.samples
        return (
            not endpoint.in_flight
            and unanswered < MAX_UNANSWERED_REQUESTS
            and self.endpoints.all_warming_up()
        )

    def _demand_rate(self, endpoint: EndpointState, capacity_fraction: float) -> float:
        """Return the rate in requests per second derived from demand, for use while all endpoints warm up.

        Answers do not reveal the capacity then: at first there are none, and a rate derived from few answers
        would stay low. The sum over all sidecars stays within the overload factor as long as the demand is at
        most 1 / DEMAND_RATE_FRACTION times the capacity of the endpoints when warm.
        """
        fair = self.endpoints.demand / self._sharing_endpoint_count(endpoint)
        return DEMAND_RATE_FRACTION * self.context.settings.overload_factor * capacity_fraction * fair

    def _sharing_endpoint_count(self, endpoint: EndpointState) -> int:
        """Return the number of endpoints that share this sidecar's requests, including this one."""
        endpoints = self.endpoints
        # Sidecars that do not sample the endpoint leave their part to those that do.
        count = (
            endpoints.ready_count - len(endpoints.unsampled_endpoints)
            if endpoint.sampled
            else endpoints.ready_count
        )
        return max(count, 1)

    def cost(self, stats: ClassStats) -> float:
        """Return the work of a class relative to the mean of the classes, by its typical latency."""
        live = self.context.live_classes
        return stats.typical_latency_ns * len(live) / sum(other.typical_latency_ns for other in live)
