"""Admission: an adaptive concurrency limit (Little's law) on the own requests in flight."""

from __future__ import annotations

from .class_stats import ClassStats
from .congestion import CongestionSignal
from .context import SECOND_NS, BalancerContext
from .quotas import Quotas
from .requests import PendingRequest
from .subsetting import EndpointSet

# Stands for no limit until the first correction.
INITIAL_LIMIT = 1e9
CORRECTION_INTERVAL_DEADLINES = 0.1
# Factor per correction. It applies up to the known good limit, and beyond it if nothing was rejected lately.
GROWTH_FACTOR = 1.3
# Beyond the known good limit growth is slow, since overload shows only after a deadline.
PROBING_INCREASE_PER_CONGESTION_UNIT = 0.1
# Fraction of the limit after the first of consecutive cuts that counts as known good.
KNOWN_GOOD_FRACTION = 0.8
CAUTION_AFTER_REJECTION_DEADLINES = 8
# Factor on the requests in flight plus one request per endpoint; it gives the ceiling in the first deadline.
INITIAL_CEILING_FACTOR = 4.0
# The clients of a pool of one endpoint may all start at once.
MIN_INITIAL_ENDPOINTS = 8
# After the first deadline the ceiling is this factor times the requests that the answers would keep in flight
# at the wanted latency, plus the two summands below.
CEILING_FACTOR = 2.0
# A sidecar that rarely sends needs room for a few requests.
CEILING_EXTRA_REQUESTS = 4.0
# All sidecars together may add this for each ready endpoint.
CEILING_EXTRA_PER_READY_ENDPOINT = 2.0
# All sidecars together keep this minimum, so that the recovery of an endpoint is noticed.
MIN_LIMIT_PER_READY_ENDPOINT = 0.5
# Factor per correction by which the highest number of requests in flight fades.
PEAK_FADE_FACTOR = 0.95
# If the goal gives the worst-served class a weight of a quarter or more, all classes are shed alike.
EQUAL_SHEDDING_FACTOR = 4.0
# A few requests are always admitted, so that recovery is noticed.
MIN_RARE_ADMISSION_PROBABILITY = 0.2
# Fraction of the limit that is open to the class of the lowest priority weight for its cost.
MIN_LIMIT_FRACTION = 0.5


class ConcurrencyLimit:
    """Counts the own attempts in flight, and decides how many may be.

    Attributes:
        limit: on `in_flight`, as corrected at `corrected_ns`.
        in_flight: own attempts that wait for a response, but for those at ejected endpoints.
        peak_in_flight: the highest number of late, faded.
        rejected_ns: when the limit last rejected a request.
        answered_units: wanted latencies of what was answered since the last correction.
        wanted_in_flight: requests in flight that the answers would keep at the wanted latency.
        started_ns: time of the first correction; 0 before.
        good: the limit after the first of the latest cuts.
        cutting: whether the latest correction was a cut.
        interval_ns: between corrections.
    """

    def __init__(
        self,
        context: BalancerContext,
        endpoints: EndpointSet,
        congestion: CongestionSignal,
        quotas: Quotas,
    ) -> None:
        """Begin without a limit, until the first correction."""
        self.context = context
        self.endpoints = endpoints
        self.congestion = congestion
        self.quotas = quotas
        self.limit = INITIAL_LIMIT
        self.corrected_ns = 0
        self.in_flight = 0
        self.peak_in_flight = 0.0
        self.rejected_ns = 0
        self.answered_units = 0.0
        self.wanted_in_flight = 0.0
        self.started_ns = 0
        self.good = 0.0
        self.cutting = False
        self.apply_settings()

    def apply_settings(self) -> None:
        """Take the deadlines of the settings."""
        self.interval_ns = int(self.context.shortest_ns * CORRECTION_INTERVAL_DEADLINES)

    def admit(self, request: PendingRequest, value: float) -> bool:
        """Shed early what would make the requests in flight outgrow what is answered in time.

        Guards against queues in which everything is answered too late, against endpoints that turn slow
        when crowded, and against clients that come back at once, whom no fraction shed could outrun.

        Args:
            request: the request; its class and tenant decide how much of the limit is open to it.
            value: part of its worth that it can still be expected to earn.
        """
        now = self.context.now_ns
        if now - self.corrected_ns >= self.interval_ns:
            self.correct()
        limit = self.limit * self._fraction(request) * value
        if self.endpoints.sees_little and limit < 1.0 and not self.in_flight:
            if self._admit_rare(request, limit):
                return True
        elif self.in_flight + 1 <= max(limit, 1.0):
            return True
        self.rejected_ns = now
        return False

    def _fraction(self, request: PendingRequest) -> float:
        """The part of the limit that is open to the request's class and tenant."""
        fraction = request.stats.limit_fraction
        over_quota = self.quotas.over_quota
        if over_quota and self.context.random.random() < over_quota[request.tenant]:
            worth = self.context.settings.over_quota_weight_fraction
            return MIN_LIMIT_FRACTION + (fraction - MIN_LIMIT_FRACTION) * worth
        return fraction

    def _admit_rare(self, request: PendingRequest, limit: float) -> bool:
        """Admit a part of what a sidecar with little traffic would keep in flight at the wanted latency.

        Guards against a thousand sidecars with a request each now and then, whom no limit of one holds back.
        """
        natural = self.endpoints.demand * self.congestion.wanted_latency(request.stats) / SECOND_NS
        chance = max(limit / natural, 2.0 - self.congestion.level, MIN_RARE_ADMISSION_PROBABILITY)
        return self.context.random.random() < chance

    def on_answer(self, stats: ClassStats) -> None:
        """Count a successful attempt; in the first deadline the limit grows by it."""
        self.answered_units += self.congestion.wanted_latency(stats)
        if self.context.now_ns - self.started_ns < self.context.shortest_ns and self.congestion.level <= 1.0:
            self.limit += 1.0  # slow start (RFC 5681, 3.1): twice as much with each round trip

    def congested(self) -> bool:
        """Whether latencies are now, or were within a shortest deadline, those of congestion."""
        signal, context = self.congestion, self.context
        return signal.level >= 1.0 or context.now_ns - signal.cut_ns < context.shortest_ns

    def scale(self, factor: float) -> None:
        """The fleet has shrunk to this part: do not wait for late answers to learn it."""
        self.limit *= factor
        self.wanted_in_flight *= factor
        self.good *= factor

    def correct(self) -> None:
        """Bring the limit up to date by what was answered and how late."""
        first = not self.started_ns
        now = self.context.now_ns
        self.started_ns = self.started_ns or now
        elapsed = max(now - self.corrected_ns, 1)
        self.corrected_ns = now
        # A mean over a whole deadline would tell a restarted sidecar that hardly anything is answered.
        age = max(min(now - self.started_ns, self.context.shortest_ns), 1)
        weight = min(elapsed / age, 1.0)
        self.wanted_in_flight += weight * (self.answered_units / elapsed - self.wanted_in_flight)
        self.answered_units = 0.0
        self.peak_in_flight = max(self.in_flight, self.peak_in_flight * PEAK_FADE_FACTOR)
        self.congestion.fade()
        limit = self._next_limit(first)
        # Every sidecar keeps its part of a floor, so that all together leave a tired fleet nearly idle.
        floor = MIN_LIMIT_PER_READY_ENDPOINT * self.endpoints.ready_count / self.context.sidecar_count()
        self.limit = max(limit, floor, 0.0 if self.endpoints.sees_little else 1.0)
        self._divide()

    def _next_limit(self, first: bool) -> float:
        """The limit by the congestion signal: cut, kept or grown."""
        congestion = self.congestion
        if congestion.level > 1.0:
            # Little's law: at the rate of answers seen, so many in flight make the wanted latency. Unlike
            # repeated cuts it does not overshoot while the answers to an earlier crowd come in late.
            limit = min(self.limit, self.wanted_in_flight / congestion.level)
            congestion.restart()
            if not self.cutting:  # later ones follow the few answers that this one leaves
                self.cutting = True
                self.good = limit
            return limit
        if congestion.cut_ns and not congestion.weight:
            return self.limit  # nothing that was sent since the cut has come back or is due
        self.cutting = False
        return min(self.limit * self._growth(), self._ceiling(first))

    def _ceiling(self, first: bool) -> float:
        """The most that the limit may grow to: one that follows what is in flight lets a surge in."""
        ready = self.endpoints.ready_count
        if self.corrected_ns - self.started_ns >= self.context.shortest_ns:
            spread = CEILING_EXTRA_PER_READY_ENDPOINT * ready / self.context.sidecar_count()
            return CEILING_FACTOR * self.wanted_in_flight + CEILING_EXTRA_REQUESTS + spread
        # No answers to go by yet.
        ceiling = INITIAL_CEILING_FACTOR * (self.peak_in_flight + max(ready, MIN_INITIAL_ENDPOINTS))
        return ceiling if first else max(ceiling, self.limit)

    def _growth(self) -> float:
        """The factor by which the limit grows: a leap over what is known good overshoots."""
        known = max(self.wanted_in_flight, KNOWN_GOOD_FRACTION * self.good)
        cautious = (
            self.corrected_ns - self.rejected_ns
            < CAUTION_AFTER_REJECTION_DEADLINES * self.context.shortest_ns
        )
        if cautious and self.limit >= known:
            return 1.0 + PROBING_INCREASE_PER_CONGESTION_UNIT * (1.0 - self.congestion.level)
        return GROWTH_FACTOR

    def _divide(self) -> None:
        """Work out how much of the limit is open to each class."""
        live, settings = self.context.live_classes, self.context.settings
        top = max(self._density(stats) for stats in live) or 1.0  # classes may all be worth nothing
        # What is shed first is soon the worst-served class, which the goal may weigh by itself.
        level = min(EQUAL_SHEDDING_FACTOR * settings.goal_worst_class, 1.0)
        cheap = MIN_LIMIT_FRACTION + (1.0 - MIN_LIMIT_FRACTION) * level
        for stats in live:
            stats.limit_fraction = cheap + (1.0 - cheap) * self._density(stats) / top

    def _density(self, stats: ClassStats) -> float:
        """Worth for the endpoints' time that it takes."""
        worth = stats.spec.priority_weight
        return worth if self.context.settings.weight_per_work else worth / stats.typical_latency_ns
