"""Failover controller of a process: samples attempts, steps the traffic plan, sets the pool's home zone."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple, Protocol

from ..balancer.events import Status
from ..fleet.membership import Membership
from ..fleet.rate_limits import NS_PER_S
from ..system import SYSTEM, System
from .health_samples import AttemptResult, HealthSample, HealthSampler
from .settings import FailoverSettings
from .traffic_plan import PlanInputs, PlanState, TrafficPlan, ZoneFacts, staying_order
from .zone_health import MIN_DEGRADED_EJECTED_FRACTION, ZoneHealth, ZonePair, assess
from .zone_reports import ZoneReports

log = logging.getLogger("dykefold.failover")

STEP_INTERVAL_S = 0.25


class Pool(Protocol):
    """Pool whose home zone the failover sets.

    Attributes:
        on_attempt_end: Callback for each finished attempt. Its arguments are the endpoint's number, the
            status, the duration and the latency objective of the class, both in nanoseconds.
    """

    on_attempt_end: Callable[[int, Status, int, int], None] | None

    def ready_by_zone(self) -> dict[int, int]:
        """Return the number of ready endpoints by zone."""
        ...

    def attempted_and_ejected_by_zone(self) -> dict[int, tuple[int, int]]:
        """Return by zone the number of endpoints with attempts, and how many of these are ejected."""
        ...

    def zone_of(self, endpoint_number: int) -> int | None:
        """Return the zone of an endpoint; None if the endpoint is unknown."""
        ...

    def responded_within(self, endpoint_number: int, duration_ns: int) -> bool:
        """Return whether an endpoint has sent any response in the last `duration_ns` nanoseconds."""
        ...

    def set_home_zone(self, zone: int) -> None:
        """Make the balancer prefer this zone as the sidecar's own."""
        ...


class HomeMembers(NamedTuple):
    """Live sidecars, summarised for the traffic plan.

    Attributes:
        by_zone: Number of live sidecars, by zone.
        order: Live sidecars of the home zone in staying order; the last ones move to other zones first.
        connected: Whether other sidecars are live and the membership is settled.
    """

    by_zone: Counter[int]
    order: list[int]
    connected: bool


class _LoggedPlan(NamedTuple):
    state: PlanState
    away_fraction: float
    destinations: frozenset[int]


class FailoverController:
    """Steps the traffic plan of one process and applies it to the pool.

    Args:
        loop: Event loop of the timer.
        membership: Membership as this sidecar sees it.
        pool: Pool whose home zone is set by the plan.
        system: Source of the clock.

    Attributes:
        settings: Settings of the failover.
        sampler: Counter of attempt results by zone.
        plan: Traffic plan of the home zone.
        health: Health by observing and observed zone.
        working_zone: Zone that the balancer currently treats as its own.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        membership: Membership,
        pool: Pool,
        settings: FailoverSettings,
        system: System = SYSTEM,
    ) -> None:
        self.loop, self.membership, self.pool, self.system = loop, membership, pool, system
        self.settings = settings
        now_ns = system.monotonic_ns()
        self.sampler = HealthSampler()
        self.plan = TrafficPlan(settings.home, now_ns)
        self.health: dict[ZonePair, ZoneHealth] = {}
        self.working_zone = settings.home
        self._reports = ZoneReports(membership, now_ns)
        self._logged_plan: _LoggedPlan | None = None
        self._closed = False
        pool.on_attempt_end = self._on_attempt_end
        self._run_step()

    def _on_attempt_end(self, endpoint: int, status: Status, duration_ns: int, objective_ns: int) -> None:
        zone = self.pool.zone_of(endpoint)
        if zone is None:
            return
        result = self._result(endpoint, status, duration_ns, objective_ns)
        if result is not None:
            self.sampler.record(self.system.monotonic_ns(), zone, result)

    def _result(
        self, endpoint: int, status: Status, duration_ns: int, objective_ns: int
    ) -> AttemptResult | None:
        if status in (Status.OK, Status.ERROR):
            return AttemptResult.IN_TIME if duration_ns <= objective_ns else AttemptResult.LATE
        if status is Status.FULL:
            return AttemptResult.REJECTED
        if status is Status.TIMEOUT and self.pool.responded_within(endpoint, duration_ns):
            return AttemptResult.LATE  # It responded to other requests meanwhile: it is slow, not down.
        return None

    # Steps of the plan

    def _run_step(self) -> None:
        if self._closed:
            return
        self._timer = self.loop.call_later(STEP_INTERVAL_S, self._run_step)
        now_ns = self.system.monotonic_ns()
        samples = self.sampler.samples(now_ns, self.pool.attempted_and_ejected_by_zone())
        ready = self.pool.ready_by_zone()
        if self._can_skip_step(samples, ready):
            self.health = {}
            self.plan.reset_condition_times()
            return  # Nothing to assess or publish while all zones are healthy.
        members = self._home_members(now_ns)
        self._publish(now_ns, samples, members)
        self.health = self._assess(now_ns, samples, members)
        if self.plan.step(now_ns, self._plan_inputs(now_ns, ready, members)):
            self._log_plan()
        self._apply_working_zone(members.order)

    def _can_skip_step(self, samples: dict[int, HealthSample], ready: dict[int, int]) -> bool:
        if self.plan.state is not PlanState.HOME or self.settings.options.out:
            return False
        if not ready.get(self.settings.home) or self._reports.has_any():
            return False
        return all(sample.ejected < MIN_DEGRADED_EJECTED_FRACTION for sample in samples.values())

    def _home_members(self, now_ns: int) -> HomeMembers:
        live = self.membership.live_members(now_ns)
        zones = {number: self.membership.zone_of(number) for number in live}
        by_zone = Counter(zone for zone in zones.values() if zone is not None)
        home_members = [number for number in live if zones[number] == self.settings.home]
        connected = self.membership.is_settled(now_ns) and len(live) > 1
        return HomeMembers(by_zone, staying_order(self.settings.home, home_members), connected)

    def _publish(self, now_ns: int, samples: dict[int, HealthSample], members: HomeMembers) -> None:
        known_zones = {zone: sample for zone, sample in samples.items() if zone < self.settings.zone_count}
        self._reports.publish(now_ns, members.order, known_zones, self.settings.home, self.plan.level)

    def _assess(
        self, now_ns: int, samples: dict[int, HealthSample], members: HomeMembers
    ) -> dict[ZonePair, ZoneHealth]:
        home = self.settings.home
        # Sidecars that work elsewhere observe nothing from home: only those that stay count for the quorum.
        staying = max(round(members.by_zone[home] * (1.0 - self.plan.away_fraction)), 1)
        seen = self._reports.samples(now_ns, self.settings.zone_count, home, samples)
        return assess(seen, {**members.by_zone, home: staying})

    def _plan_inputs(self, now_ns: int, ready: dict[int, int], members: HomeMembers) -> PlanInputs:
        settings, reports = self.settings, self._reports
        abandoned = reports.abandoned_zones(now_ns, settings.zone_count, settings.home, members.by_zone)
        return PlanInputs(
            self.health,
            ZoneFacts(ready, settings.regions(), settings.evacuated(), abandoned),
            members.connected,
            len(members.order),
            reports.reported_levels(now_ns, settings.home, members.order, self.plan.level),
        )

    def _apply_working_zone(self, order: Sequence[int]) -> None:
        own_number = self.membership.own_number
        if own_number not in order:
            return
        zone = self.plan.zone_of(order.index(own_number) / len(order))
        if zone != self.working_zone:
            name = self.settings.name
            log.info("sidecar changed working zone: zone=%s previous=%s", name(zone), name(self.working_zone))
            self.working_zone = zone
            self.pool.set_home_zone(zone)

    def _log_plan(self) -> None:
        plan, name = self.plan, self.settings.name
        logged = _LoggedPlan(plan.state, plan.away_fraction, frozenset(plan.destinations))
        if logged == self._logged_plan:
            return
        self._logged_plan = logged
        targets = ", ".join(f"{fraction:.2f} in {name(zone)}" for zone, fraction in plan.destinations.items())
        log.info(
            "traffic plan of zone %s is %s: %.2f of its sidecars away%s; %s",
            name(self.settings.home),
            plan.state,
            plan.away_fraction,
            f" ({targets})" if targets else "",
            plan.cause,
        )

    # Interface of the process

    def change_settings(self, settings: FailoverSettings) -> None:
        """Apply changed settings, after the pool has applied them and thereby reset its home zone."""
        former_home = self.settings.home
        self.settings = settings
        if settings.home != former_home:
            self.working_zone = settings.home
            self.plan = TrafficPlan(settings.home, self.system.monotonic_ns())
            self.sampler = HealthSampler()
        elif self.working_zone != settings.home:
            self.pool.set_home_zone(self.working_zone)

    def report(self) -> dict[str, Any]:
        """Return the home zone's plan, reported levels of other zones and the zone health, for operators."""
        now_ns = self.system.monotonic_ns()
        plan, name = self.plan, self.settings.name
        levels = self._reports.levels(now_ns, self.settings.zone_count)
        return {
            "zone": name(self.settings.home),
            "works_in": name(self.working_zone),
            "state": plan.state.value,
            "cause": plan.cause,
            "since_s": round((now_ns - plan.since_ns) / NS_PER_S, 3),
            "level": plan.level,
            "away": round(plan.away_fraction, 3),
            "to": {name(zone): round(fraction, 3) for zone, fraction in plan.destinations.items()},
            "moves": plan.recent_moves,
            "others_levels": {name(zone): reported for zone, reported in levels.items()},
            "verdicts": {
                f"{name(pair.observer)} on {name(pair.zone)}": health.value
                for pair, health in sorted(self.health.items())
            },
        }

    def close(self) -> None:
        """Stop stepping the plan."""
        self._closed = True
        self._timer.cancel()
