"""Adaptive concurrency limit on this sidecar's requests in flight, by Little's law."""

from __future__ import annotations

from .class_stats import ClassStats
from .congestion import CongestionSignal
from .context import SECOND_NS, BalancerContext
from .quotas import Quotas
from .requests import PendingRequest
from .subsetting import EndpointSet

# Practically no limit, until the first correction.
INITIAL_LIMIT = 1e9
CORRECTION_INTERVAL_DEADLINES = 0.1
# Factor per correction; it applies up to the known good limit, and above it without recent rejections.
GROWTH_FACTOR = 1.3
# Above the known good limit growth is slow, because overload becomes visible only after a deadline.
PROBING_INCREASE_PER_CONGESTION_UNIT = 0.1
# Fraction of the limit after the first of consecutive cuts that counts as known good.
KNOWN_GOOD_FRACTION = 0.8
CAUTION_AFTER_REJECTION_DEADLINES = 8
# Ceiling in the first deadline, as a factor on the requests in flight plus one request per endpoint.
INITIAL_CEILING_FACTOR = 4.0
# The clients of a pool of one endpoint may all start at once.
MIN_INITIAL_ENDPOINTS = 8
# After the first deadline the ceiling is this factor times the requests that the rate of answers would keep
# in flight at the wanted latency, plus the two terms below.
CEILING_FACTOR = 2.0
# A sidecar that rarely sends requests has hardly any answers from which to derive a ceiling.
CEILING_EXTRA_REQUESTS = 4.0
# All sidecars together may add this for each ready endpoint.
CEILING_EXTRA_PER_READY_ENDPOINT = 2.0
# All sidecars together keep this minimum, so that the recovery of an endpoint is detected.
MIN_LIMIT_PER_READY_ENDPOINT = 0.5
# Decay per correction of the highest number of requests in flight.
PEAK_DECAY_FACTOR = 0.95
# If the goal gives the worst-served class a weight of a quarter or more, all classes are shed equally.
EQUAL_SHEDDING_FACTOR = 4.0
# Some requests are always admitted, so that recovery is detected.
MIN_SPARSE_ADMISSION_PROBABILITY = 0.2
# Fraction of the limit that the class with the lowest priority weight for its cost may use.
MIN_LIMIT_FRACTION = 0.5


class ConcurrencyLimit:
    """Counts this sidecar's attempts in flight, and limits their number.

    Args:
        context: State that all parts share.
        endpoints: Known endpoints, with the demand of this sidecar's clients.
        congestion: Signal that determines the corrections of the limit.
        quotas: Quotas of tenants, which restrict the part of the limit that a request may use.

    Attributes:
        limit: Limit on `in_flight` since the latest correction.
        corrected_ns: Time of the latest correction.
        in_flight: Number of this sidecar's attempts in flight, except those at ejected endpoints.
        peak_in_flight: Highest number of attempts in flight, which decays with each correction.
        rejected_ns: Time of the latest rejection by the limit.
        answered_wanted_ns: Sum of the wanted latencies of all answers since the latest correction.
        wanted_in_flight: Requests that the rate of answers would keep in flight at the wanted latency.
        started_ns: Time of the first correction; 0 before.
        limit_after_cut: Limit after the first of the latest consecutive cuts.
        cutting: True if the latest change of the limit was a cut.
        interval_ns: Time between two corrections.
    """

    def __init__(
        self,
        context: BalancerContext,
        endpoints: EndpointSet,
        congestion: CongestionSignal,
        quotas: Quotas,
    ) -> None:
        self.context = context
        self.endpoints = endpoints
        self.congestion = congestion
        self.quotas = quotas
        self.limit = INITIAL_LIMIT
        self.corrected_ns = 0
        self.in_flight = 0
        self.peak_in_flight = 0.0
        self.rejected_ns = 0
        self.answered_wanted_ns = 0.0
        self.wanted_in_flight = 0.0
        self.started_ns = 0
        self.limit_after_cut = 0.0
        self.cutting = False
        self.apply_settings()

    def apply_settings(self) -> None:
        """Apply the deadlines of the settings."""
        self.interval_ns = int(self.context.shortest_ns * CORRECTION_INTERVAL_DEADLINES)

    def admit(self, request: PendingRequest, value: float) -> bool:
        """Return whether a request is admitted; it is shed if too many in flight would make answers late.

        Guards against queues in which every answer is late, against endpoints that become slow under load,
        and against clients that retry at once, for which shedding a fixed fraction is never enough.

        Args:
            request: Pending request; its class and tenant determine which part of the limit it may use.
            value: Fraction of its priority weight that its answer is still expected to have.
        """
        now = self.context.now_ns
        if now - self.corrected_ns >= self.interval_ns:
            self.correct()
        limit = self.limit * self._fraction(request) * value
        if self.endpoints.has_sparse_traffic and limit < 1.0 and not self.in_flight:
            if self._admit_sparse(request, limit):
                return True
        elif self.in_flight + 1 <= max(limit, 1.0):
            return True
        self.rejected_ns = now
        return False

    def _fraction(self, request: PendingRequest) -> float:
        """Return the fraction of the limit that the request's class and tenant may use."""
        fraction = request.stats.limit_fraction
        over_quota = self.quotas.over_quota
        if over_quota and self.context.random.random() < over_quota[request.tenant]:
            weight_fraction = self.context.settings.over_quota_weight_fraction
            return MIN_LIMIT_FRACTION + (fraction - MIN_LIMIT_FRACTION) * weight_fraction
        return fraction

    def _admit_sparse(self, request: PendingRequest, limit: float) -> bool:
        """Return whether a sidecar with sparse traffic admits a request, at random by its limit.

        Guards against overload by a thousand sidecars that rarely send: a limit of one would stop none.
        """
        unlimited = self.endpoints.demand * self.congestion.wanted_latency(request.stats) / SECOND_NS
        probability = max(limit / unlimited, 2.0 - self.congestion.level, MIN_SPARSE_ADMISSION_PROBABILITY)
        return self.context.random.random() < probability

    def on_answer(self, stats: ClassStats) -> None:
        """Count a successful attempt; during the first deadline it raises the limit."""
        self.answered_wanted_ns += self.congestion.wanted_latency(stats)
        if self.context.now_ns - self.started_ns < self.context.shortest_ns and self.congestion.level <= 1.0:
            self.limit += 1.0  # It doubles with each round trip, as in slow start of TCP (RFC 5681, 3.1).

    def congested(self) -> bool:
        """Return whether there is congestion, or the limit was cut within a shortest deadline."""
        signal, context = self.congestion, self.context
        return signal.level >= 1.0 or context.now_ns - signal.cut_ns < context.shortest_ns

    def scale(self, factor: float) -> None:
        """Scale the limit with the number of endpoints, before late answers reveal the change."""
        self.limit *= factor
        self.wanted_in_flight *= factor
        self.limit_after_cut *= factor

    def correct(self) -> None:
        """Correct the limit by the rate and the latency of answers."""
        first = not self.started_ns
        now = self.context.now_ns
        self.started_ns = self.started_ns or now
        elapsed = max(now - self.corrected_ns, 1)
        self.corrected_ns = now
        # After a restart, a mean over a full deadline would be too low.
        age = max(min(now - self.started_ns, self.context.shortest_ns), 1)
        weight = min(elapsed / age, 1.0)
        self.wanted_in_flight += weight * (self.answered_wanted_ns / elapsed - self.wanted_in_flight)
        self.answered_wanted_ns = 0.0
        self.peak_in_flight = max(self.in_flight, self.peak_in_flight * PEAK_DECAY_FACTOR)
        self.congestion.decay()
        limit = self._next_limit(first)
        # All sidecars share one minimum, so that a fleet of overloaded endpoints can become nearly idle.
        floor = MIN_LIMIT_PER_READY_ENDPOINT * self.endpoints.ready_count / self.context.sidecar_count()
        self.limit = max(limit, floor, 0.0 if self.endpoints.has_sparse_traffic else 1.0)
        self._set_limit_fractions()

    def _next_limit(self, first: bool) -> float:
        """Return the next limit, which the congestion signal lowers, keeps or raises."""
        congestion = self.congestion
        if congestion.level > 1.0:
            # Little's law: at the present rate of answers, this number in flight gives the wanted latency.
            # Unlike repeated cuts, it does not become too low while late answers to earlier requests arrive.
            limit = min(self.limit, self.wanted_in_flight / congestion.level)
            congestion.reset()
            if not self.cutting:  # Later cuts result from the few answers that remain after the first.
                self.cutting = True
                self.limit_after_cut = limit
            return limit
        if congestion.cut_ns and not congestion.weight:
            return self.limit  # No attempt sent since the cut has been answered or is overdue.
        self.cutting = False
        return min(self.limit * self._growth_factor(), self._ceiling(first))

    def _ceiling(self, first: bool) -> float:
        """Return the highest value to which the limit may grow, so that it does not admit a surge."""
        ready = self.endpoints.ready_count
        if self.corrected_ns - self.started_ns >= self.context.shortest_ns:
            extra = CEILING_EXTRA_PER_READY_ENDPOINT * ready / self.context.sidecar_count()
            return CEILING_FACTOR * self.wanted_in_flight + CEILING_EXTRA_REQUESTS + extra
        # There are not enough answers yet.
        ceiling = INITIAL_CEILING_FACTOR * (self.peak_in_flight + max(ready, MIN_INITIAL_ENDPOINTS))
        return ceiling if first else max(ceiling, self.limit)

    def _growth_factor(self) -> float:
        """Return the factor by which the limit grows; it is small above the known good limit."""
        known_good = max(self.wanted_in_flight, KNOWN_GOOD_FRACTION * self.limit_after_cut)
        caution_ns = CAUTION_AFTER_REJECTION_DEADLINES * self.context.shortest_ns
        cautious = self.corrected_ns - self.rejected_ns < caution_ns
        if cautious and self.limit >= known_good:
            return 1.0 + PROBING_INCREASE_PER_CONGESTION_UNIT * (1.0 - self.congestion.level)
        return GROWTH_FACTOR

    def _set_limit_fractions(self) -> None:
        """Set the fraction of the limit that each class may use."""
        live, settings = self.context.live_classes, self.context.settings
        highest = max(self._weight_density(stats) for stats in live)
        top = highest or 1.0  # All classes may have the priority weight 0.
        # The class that is shed first becomes the worst-served class, which may have a weight in the goal.
        equality = min(EQUAL_SHEDDING_FACTOR * settings.goal_worst_class, 1.0)
        lowest = MIN_LIMIT_FRACTION + (1.0 - MIN_LIMIT_FRACTION) * equality
        for stats in live:
            stats.limit_fraction = lowest + (1.0 - lowest) * self._weight_density(stats) / top

    def _weight_density(self, stats: ClassStats) -> float:
        """Return the priority weight for each unit of endpoint work."""
        weight = stats.spec.priority_weight
        return weight if self.context.settings.weight_per_work else weight / stats.typical_latency_ns
