"""Choice of an endpoint: the one with the lower expected delay of two that are sampled."""

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
# Latency objectives of delay that a request to another zone adds, for each unit of its price.
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
        endpoints: Endpoints to sample from.
        latency: Latency estimates, for expected delays.
        rules: Rules that each attempt follows.
        outliers: Outlier detection, for probation probes.
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
        """Return the best of two endpoints of the own zone and two of others, or None if there is none.

        Endpoints of other zones have the price of the crossing added to their delay.
        """
        ejected = self.endpoints.ejected
        if ejected and (probed := self.outliers.probation_endpoint(request)):
            return probed
        tried = {attempt.endpoint for attempt in request.attempts} if request.attempts else ()
        best = self._best(request, tried)
        if best is None and tried:
            best = self._best(request, ())
        if best is not None:
            return best
        for endpoint in ejected:  # Without any other endpoint, an ejected one may have recovered.
            if not endpoint.probation_pending and self.rules.may_send(request, endpoint):
                return endpoint
        return None

    def _best(self, request: PendingRequest, tried: Container[EndpointState]) -> EndpointState | None:
        """Return the candidate with the lowest expected delay."""
        best = None
        lowest = 0.0
        expected_delay, stats = self.latency.expected_delay, request.stats
        for endpoint, crossing_ns in self.candidates(request, tried):
            delay = expected_delay(endpoint, stats) + crossing_ns
            if best is None or delay < lowest:
                best, lowest = endpoint, delay
        return best

    def candidates(
        self, request: PendingRequest, tried: Container[EndpointState]
    ) -> list[tuple[EndpointState, float]]:
        """Sample endpoints, each with the delay that stands for the price of crossing zones, nanoseconds."""
        endpoints = self.endpoints
        if endpoints.sees_little:
            return [(endpoint, 0.0) for endpoint in self._two_by_weight(request, tried)]
        pairs = [(endpoint, 0.0) for endpoint in self._two(endpoints.near, request, tried)]
        if endpoints.far:
            crossing_ns = self.crossing_objectives * request.spec.objective_ns
            pairs += [(endpoint, crossing_ns) for endpoint in self._two(endpoints.far, request, tried)]
        return pairs or [(endpoint, 0.0) for endpoint in self._two(endpoints.rest, request, tried)]

    def _two_by_weight(self, request: PendingRequest, tried: Container[EndpointState]) -> list[EndpointState]:
        """Sample two endpoints of the subset by the weights of their groups, the price of crossing included.

        A sidecar that sees little has too few answers of each endpoint to notice an overloaded zone or kind
        of machine, so it learns about groups of endpoints.
        """
        endpoints, may_send = self.endpoints, self.rules.may_send
        eligible = [
            one for one in endpoints.near + endpoints.far if one not in tried and may_send(request, one)
        ]
        if not eligible:
            eligible = [one for one in endpoints.rest if one not in tried and may_send(request, one)]
        if len(eligible) <= CANDIDATES:
            return eligible
        own, represented = self.context.settings.zone, endpoints.represented
        weights = [
            math.exp(endpoints.group(one).log_weight) * represented[one.zone != own] for one in eligible
        ]
        choices = self.context.random.choices
        first = choices(range(len(eligible)), weights)[0]
        weights[first] = 0.0
        return [eligible[first], eligible[choices(range(len(eligible)), weights)[0]]]

    def _two(
        self, group: list[EndpointState], request: PendingRequest, tried: Container[EndpointState]
    ) -> list[EndpointState]:
        """Sample up to two different endpoints of the list that may get this request now."""
        found: list[EndpointState] = []
        size = len(group)
        if not size:
            return found
        source, may_send = self.context.random, self.rules.may_send
        start = random_below(source, size)
        step = 1 + random_below(source, size - 1) if size > CANDIDATES else 1
        for turn in range(size + 1):
            # The first two are a uniform pair; the others are tried in order to replace those not allowed.
            endpoint = group[(start + (turn * step if turn < CANDIDATES else turn - 1)) % size]
            if endpoint in found or endpoint in tried or not may_send(request, endpoint):
                continue
            found.append(endpoint)
            if len(found) == CANDIDATES:
                break
        return found
