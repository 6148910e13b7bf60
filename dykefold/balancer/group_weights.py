"""Sampling weights of endpoint groups, for fleets with more sidecars than endpoints."""

from __future__ import annotations

from .context import BalancerContext
from .endpoints import EndpointState
from .subsetting import EndpointSet

# Weight of a new answer in the smoothed values of a group.
GROUP_SMOOTHING = 0.1
# Change of the log weight for each class mean by which an answer is slower than the mean.
LOG_WEIGHT_STEP_PER_CLASS_MEAN = 0.2
# Fraction by which each answer reduces the log weight, so that noise does not accumulate.
LOG_WEIGHT_DECAY_FRACTION = 0.01
MAX_EXCESS_CLASS_MEANS = 3.0
# Each group always gets some requests; otherwise its recovery would not be detected.
MAX_LOG_WEIGHT = 3.0
# Latency objectives that a request to another zone adds, for each unit of its price.
CROSSING_EXCESS_OBJECTIVES_PER_PRICE = 3.0


class GroupWeights:
    """Adjusts the sampling weights of the groups by the latency of answers.

    Args:
        context: State that all parts share.
        endpoints: Known endpoints, with their groups.

    Attributes:
        mean_relative_latency: Smoothed relative latency of all answers.
    """

    def __init__(self, context: BalancerContext, endpoints: EndpointSet) -> None:
        self.context = context
        self.endpoints = endpoints
        self.mean_relative_latency = 1.0

    def learn(self, endpoint: EndpointState, relative: float) -> None:
        """Increase the weight of groups that answer faster than the mean, by integral control.

        Guards within seconds against the overload of a slow machine type or of a zone with few endpoints.
        The steps of a single sidecar are noise, but those of all sidecars add up.

        Args:
            endpoint: Endpoint that answered.
            relative: Latency of the answer in class means.
        """
        group = self.endpoints.group(endpoint)
        group.samples += 1
        weight = max(GROUP_SMOOTHING, 1.0 / (group.samples + 1))
        group.relative_latency += weight * (relative - group.relative_latency)
        excess = relative - self.mean_relative_latency
        self.mean_relative_latency += GROUP_SMOOTHING * excess
        settings = self.context.settings
        if endpoint.zone != settings.zone:
            objectives = CROSSING_EXCESS_OBJECTIVES_PER_PRICE * settings.price_cross_zone
            excess += objectives * self._objective_in_means()
        step = LOG_WEIGHT_STEP_PER_CLASS_MEAN * min(max(excess, -1.0), MAX_EXCESS_CLASS_MEANS)
        log_weight = group.log_weight * (1.0 - LOG_WEIGHT_DECAY_FRACTION) - step
        group.log_weight = min(max(log_weight, -MAX_LOG_WEIGHT), MAX_LOG_WEIGHT)

    def _objective_in_means(self) -> float:
        """Return the ratio of the latency objectives of all classes to their mean latencies."""
        live = self.context.live_classes
        objectives = sum(stats.spec.objective_ns for stats in live)
        return objectives / sum(stats.mean_latency_ns for stats in live)
