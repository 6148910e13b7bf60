"""The congestion signal: how much later than wanted the own attempts are answered."""

from __future__ import annotations

from .context import SECOND_NS, BalancerContext
from .endpoints import ClassStats, EndpointState
from .throughput import Throughput

WANTED_LATENCY = 0.35  # of the objective, for answers: at half of it crowds stay and wear endpoints
WANTED_WAIT = 0.45  # and for attempts with no answer yet: that tells of loss as much as of waiting
TYPICAL_FACTOR = 2.0  # times the typical latency, where the objective is hardly more than that
MAX_WANTED = 0.6  # of the objective, however long the typical latency: nothing is learned from collapse
REJECTION = 2.0  # what a rejection counts: short queues are full before latency shows it
MAX_VALUE = 4.0  # what one attempt counts at most
FADE_INTERVAL = 0.12  # shortest deadlines in which what was seen fades to half
FADE_SAMPLES = 10  # or the time of so many answers: fewer are noise, which would shed for nothing
PRIOR = 0.7  # what nothing seen means: let the limit grow, carefully
PRIOR_WEIGHT = 2.0  # attempts


class CongestionSignal:
    """A mean over the own attempts that fades with time to its prior; 1.0 is the wanted latency.

    Attributes:
        level: the signal, as of `updated_ns`.
        total: what attempts counted, faded; `weight` is their number, faded.
        cut_ns: when the limit was last cut: attempts sent before tell nothing of what that did.
    """

    def __init__(self, context: BalancerContext, throughput: Throughput) -> None:
        self.context = context
        self.throughput = throughput
        self.level = PRIOR
        self.total = self.weight = 0.0
        self.updated_ns = 0
        self.cut_ns = 0

    def wanted_latency(self, stats: ClassStats, part: float = WANTED_LATENCY) -> float:
        """The latency of a class at which the signal is 1, nanoseconds."""
        objective = stats.spec.objective_ns
        return max(part * objective, min(TYPICAL_FACTOR * stats.typical_latency_ns, MAX_WANTED * objective))

    def add_latency(
        self, endpoint: EndpointState, stats: ClassStats, sent_ns: int, latency_ns: float, part: float
    ) -> None:
        """Take one attempt's latency into the signal, but for attempts at ejected endpoints."""
        if not endpoint.ejected:
            self.add(latency_ns / self.wanted_latency(stats, part), sent_ns)

    def add(self, value: float, sent_ns: int) -> None:
        """Take one attempt into the signal.

        Guards the limit against being cut again for requests in flight that it has been cut for already.
        """
        if sent_ns < self.cut_ns:
            return
        self.fade()
        self.total += min(value, MAX_VALUE)
        self.weight += 1.0

    def fade(self) -> None:
        """Bring the signal up to date."""
        now = self.context.now_ns
        if now > self.updated_ns:
            shortest = self.context.shortest_ns
            samples = FADE_SAMPLES * SECOND_NS / max(self.throughput.answers_per_s, 1.0)
            interval = max(FADE_INTERVAL * shortest, samples)
            fade = 0.5 ** ((now - self.updated_ns) / min(interval, shortest))
            self.updated_ns = now
            self.total *= fade
            self.weight *= fade
        self.level = (self.total + PRIOR * PRIOR_WEIGHT) / (self.weight + PRIOR_WEIGHT)

    def restart(self) -> None:
        """The limit is cut now: what was seen before says nothing of what follows."""
        self.cut_ns = self.context.now_ns
        self.total = self.weight = 0.0
