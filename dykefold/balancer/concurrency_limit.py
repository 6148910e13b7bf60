"""Admission: an adaptive concurrency limit (Little's law) on the own requests in flight."""

from __future__ import annotations

from .congestion import CongestionSignal
from .context import SECOND_NS, BalancerContext
from .endpoints import ClassStats
from .quotas import Quotas
from .requests import PendingRequest
from .subsetting import EndpointSet

UNLIMITED = 1e9  # until the first correction
CORRECT_EVERY = 0.1  # shortest deadlines between corrections
GROWTH = 1.3  # for each correction, up to what is known good, or when nothing was rejected lately
CREEP = 0.1  # and for each unit of congestion to spare, beyond that
KNOWN_GOOD = 0.8  # of the limit after the first of the latest cuts counts as known good
CAUTIOUS_AFTER_REJECTION = 8  # shortest deadlines
INITIAL_SLACK = 4.0  # times what is in flight and a request for each endpoint, for the first deadline
MIN_INITIAL_ENDPOINTS = 8  # that it counts with then: a pool of one opens to all its clients at once
SURGE = 2.0  # times what the answers of late would keep in flight at the wanted latency, then
SMALL = 4.0  # and so many requests, for sidecars that rarely send
IDLE = 2.0  # and so many for each ready endpoint, all sidecars together
MIN_PER_ENDPOINT = 0.5  # requests for each ready endpoint, all sidecars together: enough to notice recovery
PEAK_FADE = 0.95  # for each correction, of the highest number lately in flight
LEVEL_FACTOR = 4.0  # times the goal's weight of the worst-served class: at a quarter, all are shed alike
MIN_RARE = 0.2  # of the requests that find none in flight are admitted: enough to notice recovery
CHEAP_FRACTION = 0.5  # of the limit is open to the work of least worth for its cost, all of it to the dearest


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
        self.limit = UNLIMITED
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
        self.interval_ns = int(self.context.shortest_ns * CORRECT_EVERY)

    def admit(self, req: PendingRequest, value: float) -> bool:
        """Shed early what would make the requests in flight outgrow what is answered in time.

        Guards against queues in which everything is answered too late, against endpoints that turn slow
        when crowded, and against clients that come back at once, whom no fraction shed could outrun.

        Args:
            req: the request; its class and tenant decide how much of the limit is open to it.
            value: part of its worth that it can still be expected to earn.
        """
        now = self.context.now_ns
        if now - self.corrected_ns >= self.interval_ns:
            self.correct()
        limit = self.limit * self._fraction(req) * value
        if self.endpoints.sees_little and limit < 1.0 and not self.in_flight:
            if self._admit_rare(req, limit):
                return True
        elif self.in_flight + 1 <= max(limit, 1.0):
            return True
        self.rejected_ns = now
        return False

    def _fraction(self, req: PendingRequest) -> float:
        """The part of the limit that is open to the request's class and tenant."""
        fraction = req.stats.limit_fraction
        over_quota = self.quotas.over_quota
        if over_quota and self.context.random.random() < over_quota[req.tenant]:
            worth = self.context.settings.over_quota_weight_fraction
            return CHEAP_FRACTION + (fraction - CHEAP_FRACTION) * worth
        return fraction

    def _admit_rare(self, req: PendingRequest, limit: float) -> bool:
        """Admit a part of what a sidecar with little traffic would keep in flight at the wanted latency.

        Guards against a thousand sidecars with a request each now and then, whom no limit of one holds back.
        """
        natural = self.endpoints.demand * self.congestion.wanted_latency(req.stats) / SECOND_NS
        chance = max(limit / natural, 2.0 - self.congestion.level, MIN_RARE)
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
        self.peak_in_flight = max(self.in_flight, self.peak_in_flight * PEAK_FADE)
        self.congestion.fade()
        limit = self._next_limit(first)
        # Every sidecar keeps its part of a floor, so that all together leave a tired fleet nearly idle.
        floor = MIN_PER_ENDPOINT * self.endpoints.ready_count / self.context.sidecar_count()
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
            spread = IDLE * ready / self.context.sidecar_count()
            return SURGE * self.wanted_in_flight + SMALL + spread
        # No answers to go by yet.
        ceiling = INITIAL_SLACK * (self.peak_in_flight + max(ready, MIN_INITIAL_ENDPOINTS))
        return ceiling if first else max(ceiling, self.limit)

    def _growth(self) -> float:
        """The factor by which the limit grows: a leap over what is known good overshoots."""
        known = max(self.wanted_in_flight, KNOWN_GOOD * self.good)
        cautious = self.corrected_ns - self.rejected_ns < CAUTIOUS_AFTER_REJECTION * self.context.shortest_ns
        if cautious and self.limit >= known:
            return 1.0 + CREEP * (1.0 - self.congestion.level)
        return GROWTH

    def _divide(self) -> None:
        """Work out how much of the limit is open to each class."""
        live, settings = self.context.live_classes, self.context.settings
        top = max(self._density(stats) for stats in live) or 1.0  # classes may all be worth nothing
        # What is shed first is soon the worst-served class, which the goal may weigh by itself.
        level = min(LEVEL_FACTOR * settings.goal_worst_class, 1.0)
        cheap = CHEAP_FRACTION + (1.0 - CHEAP_FRACTION) * level
        for stats in live:
            stats.limit_fraction = cheap + (1.0 - cheap) * self._density(stats) / top

    def _density(self, stats: ClassStats) -> float:
        """Worth for the endpoints' time that it takes."""
        worth = stats.spec.priority_weight
        return worth if self.context.settings.weight_per_work else worth / stats.typical_latency_ns
