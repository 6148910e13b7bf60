"""Choice of an endpoint: the one with the lowest expected delay among a few sampled endpoints."""

from __future__ import annotations

import math
import random
from collections.abc import Container

from .attempt_rules import AttemptRules
from .context import BalancerContext
from .endpoints import EndpointState
from .latency import LatencyEstimator
from .outlier_detection import OutlierDetector
from .requests import PendingRequest
from .subsetting import EndpointSet

# The power of two choices.
CANDIDATES = 2
# Delay, in latency objectives, that is added to a request to another zone for each unit of its price.
CROSSING_DELAY_OBJECTIVES_PER_PRICE = 4.0


def random_below(source: random.Random, count: int) -> int:
    """Return a random number from 0 to count - 1, as `randrange` draws it, without its checks."""
    bits = count.bit_length()
    number = source.getrandbits(bits)
    while number >= count:
        number = source.getrandbits(bits)
    return number


class Picker:
    """Picks endpoints for requests.

    Args:
        context: State that all parts share.
        endpoints: Known endpoints, with the lists to sample from.
        latency: Latency estimates, for the expected delay.
        rules: Rules that each attempt must satisfy.
        outliers: Outlier detection, which chooses endpoints for probation probes.
    """

    def __init__(
        self,
        context: BalancerContext,
        endpoints: EndpointSet,
        latency: LatencyEstimator,
        rules: AttemptRules,
        outliers: OutlierDetector,
    ) -> None:
        self.context = context
        self.endpoints = endpoints
        self.latency = latency
        self.rules = rules
        self.outliers = outliers
        self.apply_settings()

    def apply_settings(self) -> None:
        """Apply the price of a request to another zone."""
        price = self.context.settings.price_cross_zone
        self.crossing_objectives = price * CROSSING_DELAY_OBJECTIVES_PER_PRICE

    def pick(self, request: PendingRequest) -> EndpointState | None:
        """Return the best of two endpoints of the local zone and two of other zones; None if there is none.

        The price of crossing zones is added to the delay of endpoints of other zones.
        """
        ejected = self.endpoints.ejected
        if ejected and (probed := self.outliers.probation_endpoint(request)):
            return probed
        attempted = {attempt.endpoint for attempt in request.attempts} if request.attempts else ()
        best = self._best(request, attempted)
        if best is None and attempted:
            best = self._best(request, ())
        if best is not None:
            return best
        for endpoint in ejected:  # There is no other endpoint, and an ejected one may have recovered.
            if not endpoint.probation_pending and self.rules.may_send(request, endpoint):
                return endpoint
        return None

    def _best(self, request: PendingRequest, attempted: Container[EndpointState]) -> EndpointState | None:
        """Return the candidate with the lowest expected delay."""
        best = None
        lowest = 0.0
        expected_delay, stats = self.latency.expected_delay, request.stats
        for endpoint, crossing_ns in self.candidates(request, attempted):
            delay = expected_delay(endpoint, stats) + crossing_ns
            if best is None or delay < lowest:
                best, lowest = endpoint, delay
        return best

    def candidates(
        self, request: PendingRequest, attempted: Container[EndpointState]
    ) -> list[tuple[EndpointState, float]]:
        """Sample endpoints, each with the price of crossing zones expressed as a delay in nanoseconds."""
        endpoints = self.endpoints
        if endpoints.has_sparse_traffic:
            return [(endpoint, 0.0) for endpoint in self._sample_weighted_pair(request, attempted)]
        pairs = [
            (endpoint, 0.0) for endpoint in self._sample_pair(endpoints.local_endpoints, request, attempted)
        ]
        if endpoints.remote_endpoints:
            crossing_ns = self.crossing_objectives * request.spec.objective_ns
            pairs += [
                (endpoint, crossing_ns)
                for endpoint in self._sample_pair(endpoints.remote_endpoints, request, attempted)
            ]
        return pairs or [
            (endpoint, 0.0)
            for endpoint in self._sample_pair(endpoints.unsampled_endpoints, request, attempted)
        ]

    def _sample_weighted_pair(
        self, request: PendingRequest, attempted: Container[EndpointState]
    ) -> list[EndpointState]:
        """Sample two endpoints of the subset by the weights of their groups, crossing price included.

        With sparse traffic there are too few answers of each endpoint to detect an overloaded zone or machine
        type, so weights are learned for groups of endpoints.
        """
        endpoints, may_send = self.endpoints, self.rules.may_send
        eligible = [
            one
            for one in endpoints.local_endpoints + endpoints.remote_endpoints
            if one not in attempted and may_send(request, one)
        ]
        if not eligible:
            eligible = [
                one
                for one in endpoints.unsampled_endpoints
                if one not in attempted and may_send(request, one)
            ]
        if len(eligible) <= CANDIDATES:
            return eligible
        local, ratios = self.context.settings.zone, endpoints.ready_per_sampled
        weights = [math.exp(endpoints.group(one).log_weight) * ratios[one.zone != local] for one in eligible]
        choices = self.context.random.choices
        first = choices(range(len(eligible)), weights)[0]
        weights[first] = 0.0
        return [eligible[first], eligible[choices(range(len(eligible)), weights)[0]]]

    def _sample_pair(
        self, candidates: list[EndpointState], request: PendingRequest, attempted: Container[EndpointState]
    ) -> list[EndpointState]:
        """Sample up to two different endpoints of the candidates to which this request may be sent now."""
        pair: list[EndpointState] = []
        size = len(candidates)
        if not size:
            return pair
        source, may_send = self.context.random, self.rules.may_send
        start = random_below(source, size)
        step = 1 + random_below(source, size - 1) if size > CANDIDATES else 1
        for index in range(size + 1):
            # The first two are a uniform random pair; the others, in order, replace any that is not allowed.
            endpoint = candidates[(start + (index * step if index < CANDIDATES else index - 1)) % size]
            if endpoint in pair or endpoint in attempted or not may_send(request, endpoint):
                continue
            pair.append(endpoint)
            if len(pair) == CANDIDATES:
                break
        return pair
