"""Slow start: the rate at which an endpoint that warms up is sent requests."""

from __future__ import annotations

import math

from .class_stats import ClassStats
from .context import SECOND_NS, BalancerContext
from .endpoints import EndpointState
from .subsetting import EndpointSet
from .throughput import Throughput

# Factor on the fair fraction of the own answers.
RATE_FACTOR = 1.2
# Above 1, because many endpoints warm up by their work and sooner than stated.
TOKENS_PER_ANSWER = 1.5
# Fraction of the slow-start budget that the ceilings of all sidecars together may use.
BUDGET_FRACTION = 0.9
# Limits the ceiling to this many times the rate that the overload factor allows.
MAX_CEILING_FACTOR = 1.6
# Below this allowance the slack for random bursts is larger.
SMALL_ALLOWANCE_REQUESTS = 30.0
# Fraction of the overload factor that an endpoint may be sent by the demand alone.
DEMAND_FRACTION = 0.3
# With this many unanswered requests, an endpoint gets none by the demand alone.
MAX_UNANSWERED_REQUESTS = 3
# Factor on rate and ceiling where many sidecars see little: most requests come to sidecars without tokens.
CROWD_FACTOR = 1.5
CROWD_BURST_REQUESTS = 2.0
BURST_REQUESTS_PER_ANSWER = 0.1
MAX_BURST_REQUESTS_BY_ANSWERS = 3.0
BURST_S = 0.25
MIN_CAPACITY_FRACTION = 0.01


def slow_start_budget(allowed: float) -> float:
    """Requests of mean work in an overload interval that push an endpoint over, by what it is allowed."""
    root = math.sqrt(allowed)
    return allowed + 3.0 * root + 3.0 if allowed < SMALL_ALLOWANCE_REQUESTS else allowed + 2.0 * root + 2.0


class SlowStart:
    """Keeps a token bucket in the state of each endpoint that warms up."""

    def __init__(self, context: BalancerContext, endpoints: EndpointSet, throughput: Throughput) -> None:
        """Limit what is sent to these endpoints."""
        self.context = context
        self.endpoints = endpoints
        self.throughput = throughput

    def ramp(self, endpoint: EndpointState) -> float:
        """The least part of its capacity that an endpoint has by now, by the settings."""
        settings = self.context.settings
        start, warm = settings.start_capacity, settings.warm_within_ns
        age = self.context.now_ns - endpoint.ramp_from_ns
        if not endpoint.started_ns or age >= warm:
            return 1.0
        return max(start + (1.0 - start) * max(age, 0) / warm, MIN_CAPACITY_FRACTION)

    def allows(self, endpoint: EndpointState, stats: ClassStats) -> bool:
        """Tell whether a request of this class may be sent to the endpoint now."""
        if not endpoint.started_ns:
            return True
        limits = self._refill(endpoint)
        if limits is None:
            return True
        cost = self.cost(stats)
        limit, ceiling_limit = limits
        enough = endpoint.slow_start_tokens >= min(cost, limit)
        return enough and endpoint.slow_start_room >= min(cost, ceiling_limit)

    def charge(self, endpoint: EndpointState, stats: ClassStats) -> None:
        """Take the tokens of a request that is sent to the endpoint."""
        if endpoint.started_ns and self._refill(endpoint) is not None:
            cost = self.cost(stats)
            endpoint.slow_start_sent += 1
            endpoint.slow_start_tokens -= cost
            endpoint.slow_start_room -= cost

    def credit(self, endpoint: EndpointState, stats: ClassStats) -> None:
        """Give tokens for an answer: what the endpoint has answered it can do again."""
        if endpoint.slow_start_ns:
            endpoint.slow_start_tokens += TOKENS_PER_ANSWER * self.cost(stats)

    def _refill(self, endpoint: EndpointState) -> tuple[float, float] | None:
        """Bring the tokens up to date; the most tokens and room it may have, or None where it has warmed up.

        Guards against pushing over an endpoint that starts: with every sidecar doing so, it gets RATE_FACTOR
        times the mean load of the fleet times its ramp, whoever carries how much. Its answers let it have
        more, up to a ceiling: the budget of the fourth rule, as no endpoint's capacity is less than the mean
        load. Without that bound an answer gave back more than its request had cost, so an endpoint was
        limited no more from its first answer on.
        """
        ramp = self.ramp(endpoint)
        if ramp >= 1.0:
            return None
        context, now = self.context, self.context.now_ns
        rate, ceiling = self._rates(endpoint, ramp)
        ceiling_burst = CROWD_BURST_REQUESTS if self._in_crowd() else 1.0
        limit = max(1.0, rate * BURST_S) + min(
            endpoint.samples * BURST_REQUESTS_PER_ANSWER, MAX_BURST_REQUESTS_BY_ANSWERS
        )
        ceiling_limit = max(ceiling_burst, ceiling * BURST_S)
        if not endpoint.slow_start_ns:
            # Part of a first token each: from none at all, hundreds of sidecars with little traffic would
            # leave a restarted endpoint idle until all of them had saved up for it.
            least = min(self.cost(other) for other in context.live_classes)
            endpoint.slow_start_tokens = context.random.random() * least
            endpoint.slow_start_room = endpoint.slow_start_tokens
        else:
            elapsed_s = (now - endpoint.slow_start_ns) / SECOND_NS
            tokens = endpoint.slow_start_tokens + rate * elapsed_s
            endpoint.slow_start_tokens = min(limit, tokens)
            endpoint.slow_start_room = min(ceiling_limit, endpoint.slow_start_room + ceiling * elapsed_s)
        endpoint.slow_start_ns = now
        return limit, ceiling_limit

    def _rates(self, endpoint: EndpointState, ramp: float) -> tuple[float, float]:
        """Give the requests a second that it may be sent, and those up to which answers let it have more."""
        # No answers of late mean no right to send: a rate remembered from better times would not do.
        since = self.context.now_ns - self.throughput.updated_ns
        fade = max(0.0, 1.0 - since / self.context.settings.overload_for_ns)
        fair = self._fair_rate(endpoint, fade)
        rate, ceiling = RATE_FACTOR * ramp * fair, self._ceiling(endpoint, ramp * fair)
        if self._in_crowd():
            rate, ceiling = rate * CROWD_FACTOR, ceiling * CROWD_FACTOR
        if self._may_go_by_demand(endpoint):
            rate = max(rate, self._rate_by_demand(endpoint, ramp))
            ceiling = max(ceiling, rate)
        return rate, ceiling

    def _ceiling(self, endpoint: EndpointState, capacity: float) -> float:
        """Requests a second that no answers raise: the own share of the budget of the fourth rule.

        The slack of the budget grows with the root of what is allowed, so that a share of it is the smaller
        the more all sidecars together are allowed. The sum is largest where all shares are equal.

        Args:
            endpoint: that is limited.
            capacity: the own fraction of what it can do by now, in requests a second.
        """
        settings = self.context.settings
        fleet, local = self._sidecars(local=False), self._sidecars(local=True)
        sharing = local if endpoint.zone == settings.zone else fleet
        span_s = settings.overload_for_ns / SECOND_NS
        allowed = settings.overload_factor * capacity
        budget = slow_start_budget(allowed * span_s * sharing) / sharing
        # Those of its zone share it among them; beside them each of the others takes the fleet's share.
        shares = 1.0 + (fleet - local) / fleet
        return min(MAX_CEILING_FACTOR * allowed, BUDGET_FRACTION / shares * budget / (span_s + BURST_S))

    def _fair_rate(self, endpoint: EndpointState, fade: float) -> float:
        """The endpoint's fair fraction of the own answers a second.

        Mostly sidecars use endpoints of their own zone, so those of others leave their part of the mean load
        unused. One of the own zone is given it as well, as far as the own answers did come from there.
        """
        throughput, endpoints = self.throughput, self.endpoints
        fair = throughput.answers_per_s * fade / self._shared_by(endpoint)
        if endpoint.zone != self.context.settings.zone or self._in_crowd() or not endpoint.sampled:
            return fair
        local = throughput.local_answers_per_s * fade / max(len(endpoints.near), 1)
        fleet_per_zone = self._sidecars(local=False) / self._sidecars(local=True)
        return max(fair, min(local, fleet_per_zone * fair))

    def _in_crowd(self) -> bool:
        """Tell whether this is one of many sidecars that see little of the endpoints that are listed."""
        return self.endpoints.sees_little and self.endpoints.ready_count > 0

    def _sidecars(self, *, local: bool) -> int:
        """Count the sidecars, or about those of the own zone."""
        settings = self.context.settings
        # Of two counts the larger: those whom the fleet view doesn't hear may use the endpoints as well.
        fleet = max(self.context.sidecar_count(), settings.fleet_size, 1)
        return math.ceil(fleet / max(len(settings.zones), 1)) if local else fleet

    def _may_go_by_demand(self, endpoint: EndpointState) -> bool:
        """Tell whether no endpoint is warm, and this one has answered nearly all that it was sent."""
        unanswered = endpoint.slow_start_sent - endpoint.samples
        return (
            not endpoint.in_flight and unanswered < MAX_UNANSWERED_REQUESTS and self.endpoints.all_warm_up()
        )

    def _rate_by_demand(self, endpoint: EndpointState, ramp: float) -> float:
        """Requests a second that it may be sent while no endpoint is warm.

        Answers tell nothing of capacity then: a fleet that has just begun has none, and as each endpoint is
        sent a part of them only, fewer would follow from few. The sum over all sidecars stays within what the
        overload factor allows as long as the demand is at most 1 / DEMAND_FRACTION times the capacity of the
        endpoints when warm.
        """
        fair = self.endpoints.demand / self._shared_by(endpoint)
        return DEMAND_FRACTION * self.context.settings.overload_factor * ramp * fair

    def _shared_by(self, endpoint: EndpointState) -> int:
        """Count the endpoints that share the own requests with this one."""
        endpoints = self.endpoints
        # Those who do not sample it leave their part to those who do.
        among = endpoints.ready_count - len(endpoints.rest) if endpoint.sampled else endpoints.ready_count
        return max(among, 1)

    def cost(self, stats: ClassStats) -> float:
        """The work of a class against the mean of the classes, by its typical latency."""
        live = self.context.live_classes
        return stats.typical_latency_ns * len(live) / sum(other.typical_latency_ns for other in live)
