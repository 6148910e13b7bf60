"""Picking an endpoint: the lower expected delay of two sampled."""

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
    """A number from 0 to count - 1, as `randrange` draws it, without its checks."""
    bits = count.bit_length()
    number = source.getrandbits(bits)
    while number >= count:
        number = source.getrandbits(bits)
    return number


class Picker:
    """Picks endpoints for requests."""

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
        """Take the price of a crossing."""
        self.crossing = self.context.settings.price_cross_zone * CROSSING_DELAY_OBJECTIVES_PER_PRICE

    def pick(self, request: PendingRequest) -> EndpointState | None:
        """Two sampled of the own zone against two sampled of the others, which pay for the crossing."""
        ejected = self.endpoints.ejected
        if ejected and (probed := self.outliers.probation_endpoint(request)):
            return probed
        tried = {attempt.endpoint for attempt in request.attempts} if request.attempts else ()
        best = self._best(request, tried)
        if best is None and tried:
            best = self._best(request, ())
        if best is not None:
            return best
        for endpoint in ejected:  # nothing better: an ejected one may have recovered
            if not endpoint.probation_pending and self.rules.may_send(request, endpoint):
                return endpoint
        return None

    def _best(self, request: PendingRequest, tried: Container[EndpointState]) -> EndpointState | None:
        """The candidate of the lowest expected delay."""
        best = None
        lowest = 0.0
        expected_delay, stats = self.latency.expected_delay, request.stats
        for endpoint, extra in self.candidates(request, tried):
            delay = expected_delay(endpoint, stats) + extra
            if best is None or delay < lowest:
                best, lowest = endpoint, delay
        return best

    def candidates(
        self, request: PendingRequest, tried: Container[EndpointState]
    ) -> list[tuple[EndpointState, float]]:
        """Sample endpoints, with what is added to their delay for crossing zones, nanoseconds."""
        endpoints = self.endpoints
        if endpoints.sees_little:
            return [(endpoint, 0.0) for endpoint in self._two_by_weight(request, tried)]
        pairs = [(endpoint, 0.0) for endpoint in self._two(endpoints.near, request, tried)]
        if endpoints.far:
            crossing = self.crossing * request.spec.objective_ns
            pairs += [(endpoint, crossing) for endpoint in self._two(endpoints.far, request, tried)]
        return pairs or [(endpoint, 0.0) for endpoint in self._two(endpoints.rest, request, tried)]

    def _two_by_weight(self, request: PendingRequest, tried: Container[EndpointState]) -> list[EndpointState]:
        """Two of the subset, by weights that follow what each group's answers took.

        A sidecar that sees little has too few own answers to know a zone or kind as overrun by its endpoints.
        The price of a crossing is in the weights.
        """
        endpoints, may_send = self.endpoints, self.rules.may_send
        fit = [one for one in endpoints.near + endpoints.far if one not in tried and may_send(request, one)]
        if not fit:
            fit = [one for one in endpoints.rest if one not in tried and may_send(request, one)]
        if len(fit) <= CANDIDATES:
            return fit
        own, represented = self.context.settings.zone, endpoints.represented
        weights = [math.exp(endpoints.group(one).log_weight) * represented[one.zone != own] for one in fit]
        choices = self.context.random.choices
        first = choices(range(len(fit)), weights)[0]
        weights[first] = 0.0
        return [fit[first], fit[choices(range(len(fit)), weights)[0]]]

    def _two(
        self, group: list[EndpointState], request: PendingRequest, tried: Container[EndpointState]
    ) -> list[EndpointState]:
        """Up to two different endpoints of the group that may take this request now."""
        found: list[EndpointState] = []
        size = len(group)
        if not size:
            return found
        source, may_send = self.context.random, self.rules.may_send
        at = random_below(source, size)
        step = 1 + random_below(source, size - 1) if size > CANDIDATES else 1
        for turn in range(size + 1):
            # The first two are a uniform pair; the walk over all beyond them only replaces unfit ones.
            endpoint = group[(at + (turn * step if turn < CANDIDATES else turn - 1)) % size]
            if endpoint in found or endpoint in tried or not may_send(request, endpoint):
                continue
            found.append(endpoint)
            if len(found) == CANDIDATES:
                break
        return found
