"""How much a sidecar in a crowd prefers some groups of endpoints over others."""

from __future__ import annotations

from .context import BalancerContext
from .endpoints import EndpointState
from .subsetting import EndpointSet

GROUP_SMOOTHING = 0.1  # of a group's mean latency, after as many answers
STEP = 0.2  # of a group's weight for each class mean that an answer differs by: ten answers turn it
FADE = 0.01  # of it forgotten with each answer, lest chance walks it away
MAX_EXCESS = 3.0  # class means that one late answer counts at most
MAX_LOG_WEIGHT = 3.0  # e^3 either way: a group is never shut out, or nothing would tell of its recovery
# Latency objectives for each point of price of a crossing: it is paid where zones are level.
CROSSING_OBJECTIVES = 3.0


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
            excess += CROSSING_OBJECTIVES * settings.price_cross_zone * self._objective_in_means()
        step = STEP * min(max(excess, -1.0), MAX_EXCESS)
        log_weight = group.log_weight * (1.0 - FADE) - step
        group.log_weight = min(max(log_weight, -MAX_LOG_WEIGHT), MAX_LOG_WEIGHT)

    def _objective_in_means(self) -> float:
        """The latency objectives of all classes against their mean latencies."""
        live = self.context.live_classes
        objectives = sum(stats.spec.objective_ns for stats in live)
        return objectives / sum(stats.mean_latency_ns for stats in live)
