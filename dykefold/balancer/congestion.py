"""The congestion signal: the ratio of the latencies of the own attempts to the wanted latencies."""

from __future__ import annotations

from .class_stats import ClassStats
from .context import SECOND_NS, BalancerContext
from .endpoints import EndpointState
from .throughput import Throughput

# At half of the objective, queues persist and wear out the endpoints.
WANTED_LATENCY_OBJECTIVES = 0.35
# For attempts without a response: a long wait may also come from a lost response.
WANTED_WAIT_OBJECTIVES = 0.45
# A class whose objective is close to its typical latency has a wanted latency of this many typical ones.
WANTED_TYPICAL_LATENCIES = 2.0
# A typical latency that was learnt during a collapse must not hide it.
MAX_WANTED_LATENCY_OBJECTIVES = 0.6
# A rejection counts more than a late answer, because short queues are full before latency rises.
REJECTION_VALUE = 2.0
MAX_ATTEMPT_VALUE = 4.0
HALF_LIFE_DEADLINES = 0.12
# The half-life is at least the time of this many answers, because fewer answers are noise.
HALF_LIFE_ANSWERS = 10
# Level without any sample; it lets the limit grow slowly.
PRIOR_LEVEL = 0.7
PRIOR_WEIGHT_ATTEMPTS = 2.0


class CongestionSignal:
    """A mean over the own attempts that returns to its prior with time; 1.0 stands for the wanted latency.

    Args:
        context: State that all parts share.
        throughput: Rate of the own answers, by which the mean fades.

    Attributes:
        level: Value of the signal at `updated_ns`.
        total: Faded sum of the values of attempts.
        weight: Faded number of these attempts.
        updated_ns: Time of the latest update of the three.
        cut_ns: Time of the latest cut of the limit; attempts sent before it do not count any more.
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
        """Take the latency of an attempt into the signal, unless its endpoint is ejected."""
        if not endpoint.ejected:
            self.add(latency_ns / self.wanted_latency(stats, objectives), sent_ns)

    def add(self, value: float, sent_ns: int) -> None:
        """Take the value of an attempt into the signal.

        Guards the limit against a second cut for attempts that have caused the first one.
        """
        if sent_ns < self.cut_ns:
            return
        self.fade()
        self.total += min(value, MAX_ATTEMPT_VALUE)
        self.weight += 1.0

    def fade(self) -> None:
        """Update the signal to the time of the event."""
        now = self.context.now_ns
        if now > self.updated_ns:
            shortest_ns = self.context.shortest_ns
            answers_ns = HALF_LIFE_ANSWERS * SECOND_NS / max(self.throughput.answers_per_s, 1.0)
            half_life_ns = max(HALF_LIFE_DEADLINES * shortest_ns, answers_ns)
            fade = 0.5 ** ((now - self.updated_ns) / min(half_life_ns, shortest_ns))
            self.updated_ns = now
            self.total *= fade
            self.weight *= fade
        total = self.total + PRIOR_LEVEL * PRIOR_WEIGHT_ATTEMPTS
        self.level = total / (self.weight + PRIOR_WEIGHT_ATTEMPTS)

    def restart(self) -> None:
        """Discard all values, because the limit is cut now and earlier attempts do not show the effect."""
        self.cut_ns = self.context.now_ns
        self.total = self.weight = 0.0
