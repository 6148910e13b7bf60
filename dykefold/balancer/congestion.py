"""The congestion signal: the ratio of the latencies of this sidecar's attempts to the wanted latencies."""

from __future__ import annotations

from .class_stats import ClassStats
from .context import SECOND_NS, BalancerContext
from .endpoints import EndpointState
from .throughput import Throughput

# At half of the objective, queues persist and degrade the endpoints.
WANTED_LATENCY_OBJECTIVES = 0.35
# For attempts without a response, because a long wait may also be caused by a lost response.
WANTED_WAIT_OBJECTIVES = 0.45
# Wanted latency, in typical latencies, of a class whose objective is close to its typical latency.
WANTED_TYPICAL_LATENCIES = 2.0
# A typical latency that was learned during a collapse must not conceal the collapse.
MAX_WANTED_LATENCY_OBJECTIVES = 0.6
# A rejection counts more than a late answer, because short queues fill up before latency rises.
REJECTION_VALUE = 2.0
MAX_ATTEMPT_VALUE = 4.0
HALF_LIFE_DEADLINES = 0.12
# The half-life is at least the time in which this many answers arrive; fewer answers are noise.
HALF_LIFE_ANSWERS = 10
# Level without samples, at which the limit grows slowly.
PRIOR_LEVEL = 0.7
PRIOR_WEIGHT_ATTEMPTS = 2.0


class CongestionSignal:
    """Mean over this sidecar's attempts that decays to its prior; 1.0 stands for the wanted latency.

    Args:
        context: State that all parts share.
        throughput: Rate of answers, which determines how fast the mean decays.

    Attributes:
        level: Value of the signal at `updated_ns`.
        total: Sum of the values of attempts, with decay.
        weight: Number of these attempts, with decay.
        updated_ns: Time of the latest update of `level`, `total` and `weight`.
        cut_ns: Time of the latest cut of the limit; attempts sent before it no longer count.
    """

    def __init__(self, context: BalancerContext, throughput: Throughput) -> None:
        self.context = context
        self.throughput = throughput
        self.level = PRIOR_LEVEL
        self.total = self.weight = 0.0
        self.updated_ns = 0
        self.cut_ns = 0

    def wanted_latency(self, stats: ClassStats, objectives: float = WANTED_LATENCY_OBJECTIVES) -> float:
        """Return the latency of a class at which the signal is 1.0, nanoseconds.

        Args:
            stats: Statistics of the class.
            objectives: Wanted latency as a fraction of the latency objective.
        """
        objective_ns = stats.spec.objective_ns
        by_typical_ns = WANTED_TYPICAL_LATENCIES * stats.typical_latency_ns
        return max(
            objectives * objective_ns, min(by_typical_ns, MAX_WANTED_LATENCY_OBJECTIVES * objective_ns)
        )

    def add_latency(
        self, endpoint: EndpointState, stats: ClassStats, sent_ns: int, latency_ns: float, objectives: float
    ) -> None:
        """Add the latency of an attempt to the signal, unless its endpoint is ejected."""
        if not endpoint.ejected:
            self.add(latency_ns / self.wanted_latency(stats, objectives), sent_ns)

    def add(self, value: float, sent_ns: int) -> None:
        """Add the value of an attempt to the signal.

        Guards the limit against a second cut because of attempts that caused the first one.
        """
        if sent_ns < self.cut_ns:
            return
        self.decay()
        self.total += min(value, MAX_ATTEMPT_VALUE)
        self.weight += 1.0

    def decay(self) -> None:
        """Apply the decay up to the time of the current event."""
        now = self.context.now_ns
        if now > self.updated_ns:
            shortest_ns = self.context.shortest_ns
            answers_ns = HALF_LIFE_ANSWERS * SECOND_NS / max(self.throughput.answers_per_s, 1.0)
            half_life_ns = max(HALF_LIFE_DEADLINES * shortest_ns, answers_ns)
            decay = 0.5 ** ((now - self.updated_ns) / min(half_life_ns, shortest_ns))
            self.updated_ns = now
            self.total *= decay
            self.weight *= decay
        total = self.total + PRIOR_LEVEL * PRIOR_WEIGHT_ATTEMPTS
        self.level = total / (self.weight + PRIOR_WEIGHT_ATTEMPTS)

    def reset(self) -> None:
        """Discard all values when the limit is cut, because earlier attempts do not reflect the cut."""
        self.cut_ns = self.context.now_ns
        self.total = self.weight = 0.0
