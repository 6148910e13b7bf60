"""How much a sidecar in a crowd prefers some groups of endpoints over others."""

from __future__ import annotations

from .context import BalancerContext
from .endpoints import EndpointState
from .subsetting import EndpointSet

# Weight of a new answer in the smoothed values of a group.
GROUP_SMOOTHING = 0.1
# Change of the log weight for each class mean by which an answer is later than the mean.
LOG_WEIGHT_STEP_PER_CLASS_MEAN = 0.2
# Fraction of the log weight that each answer removes, so that noise does not add up.
LOG_WEIGHT_FADE_FRACTION = 0.01
MAX_EXCESS_CLASS_MEANS = 3.0
# A group always keeps some requests; otherwise its recovery would not be noticed.
MAX_LOG_WEIGHT = 3.0
# Latency objectives that a request to another zone adds, for each unit of its price.
CROSSING_EXCESS_OBJECTIVES_PER_PRICE = 3.0


class GroupWeights:
    """Learns the sampling weights of the groups from answers.

    Attributes:
        mean_latency: smoothed relative latency of all answers.
    """

    def __init__(self, context: BalancerContext, endpoints: EndpointSet) -> None:
        self.context = context
        self.endpoints = endpoints
        self.mean_latency = 1.0

    def learn(self, endpoint: EndpointState, relative: float) -> None:
        """Shift weight to the groups that answer sooner than the mean, as integral control does.

        Guards against a zone with more traffic than its endpoints carry, and a slow kind, being overrun in
        the first seconds: one sidecar's steps are noise, those of the whole fleet together are not.
        """
        group = self.endpoints.group(endpoint)
        group.samples += 1
        weight = max(GROUP_SMOOTHING, 1.0 / (group.samples + 1))
        group.relative_latency += weight * (relative - group.relative_latency)
        excess = relative - self.mean_latency
        self.mean_latency += GROUP_SMOOTHING * excess
        settings = self.context.settings
        if endpoint.zone != settings.zone:
            excess += (
                CROSSING_EXCESS_OBJECTIVES_PER_PRICE * settings.price_cross_zone * self._objective_in_means()
            )
        step = LOG_WEIGHT_STEP_PER_CLASS_MEAN * min(max(excess, -1.0), MAX_EXCESS_CLASS_MEANS)
        log_weight = group.log_weight * (1.0 - LOG_WEIGHT_FADE_FRACTION) - step
        group.log_weight = min(max(log_weight, -MAX_LOG_WEIGHT), MAX_LOG_WEIGHT)

    def _objective_in_means(self) -> float:
        """The latency objectives of all classes against their mean latencies."""
        live = self.context.live_classes
        objectives = sum(stats.spec.objective_ns for stats in live)
        return objectives / sum(stats.mean_latency_ns for stats in live)
