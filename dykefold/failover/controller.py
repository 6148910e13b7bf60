"""Runs the failover in a process: samples attempts, follows the traffic plan, moves the pool's home zone."""

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
    """The pool of endpoints whose sidecar may move.

    Attributes:
        on_attempt_end: Callback for the end of an attempt. Its arguments are the endpoint's number, the
            status, the duration and the latency objective of the class, both in nanoseconds.
    """

    on_attempt_end: Callable[[int, Status, int, int], None] | None

    def ready_by_zone(self) -> dict[int, int]:
        """Return the number of ready endpoints by zone."""
        ...

    def attempted_and_ejected_by_zone(self) -> dict[int, tuple[int, int]]:
        """Return by zone the number of endpoints with attempts, and the number of these that are ejected."""
        ...

    def zone_of(self, server: int) -> int | None:
        """Return the zone of an endpoint; None if the endpoint is unknown."""
        ...

    def responded_within(self, server: int, duration_ns: int) -> bool:
        """Return whether an endpoint has answered anything in the last `duration_ns` nanoseconds."""
        ...

    def set_home_zone(self, zone: int) -> None:
        """Treat this zone as the sidecar's own from now on."""
        ...


class HomeMembers(NamedTuple):
    """The live sidecars, as the plan needs them.

    Attributes:
        by_zone: Number of live sidecars, by zone.
        order: Order in which the sidecars of the home zone stay when its traffic moves.
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
    """Runs the failover of one process.

    Args:
        loop: Event loop of the timer.
        membership: Membership as this sidecar sees it.
        pool: Pool whose home zone follows the plan.
        system: Source of the clock.

    Attributes:
        settings: Settings of the failover.
        sampler: Counts attempts by zone.
        plan: Traffic plan of the home zone.
        health: Health of each zone, as seen from each zone.
        working_zone: Zone that the balancer treats as its own.
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
        self._run()

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
            return AttemptResult.LATE  # it answers others: it is slow, not silent
        return None

    # The plan

    def _run(self) -> None:
        if self._closed:
            return
        self._timer = self.loop.call_later(STEP_INTERVAL_S, self._run)
        now_ns = self.system.monotonic_ns()
        samples = self.sampler.samples(now_ns, self.pool.attempted_and_ejected_by_zone())
        ready = self.pool.ready_by_zone()
        if self._is_quiet(samples, ready):
            self.health = {}
            self.plan.rest()
            return  # all is well, and it costs nothing
        members = self._home_members(now_ns)
        self._publish(now_ns, samples, members)
        self.health = self._assess(now_ns, samples, members)
        if self.plan.step(now_ns, self._plan_inputs(now_ns, ready, members)):
            self._log_plan()
        self._move(members.order)

    def _is_quiet(self, samples: dict[int, HealthSample], ready: dict[int, int]) -> bool:
        if self.plan.state is not PlanState.HOME or self.settings.options.out:
            return False
        if not ready.get(self.settings.home) or self._reports.has_any():
            return False
        return all(sample.ejected < MIN_DEGRADED_EJECTED_FRACTION for sample in samples.values())

    def _home_members(self, now_ns: int) -> HomeMembers:
        live = self.membership.live_members(now_ns)
        zones = {number: self.membership.zone_of(number) for number in live}
        by_zone = Counter(zone for zone in zones.values() if zone is not None)
        at_home = [number for number in live if zones[number] == self.settings.home]
        connected = self.membership.is_settled(now_ns) and len(live) > 1
        return HomeMembers(by_zone, staying_order(self.settings.home, at_home), connected)

    def _publish(self, now_ns: int, samples: dict[int, HealthSample], members: HomeMembers) -> None:
        named = {zone: sample for zone, sample in samples.items() if zone < self.settings.zone_count}
        self._reports.publish(now_ns, members.order, named, self.settings.home, self.plan.level)

    def _assess(
        self, now_ns: int, samples: dict[int, HealthSample], members: HomeMembers
    ) -> dict[ZonePair, ZoneHealth]:
        home = self.settings.home
        # Sidecars that are away see nothing of the zones from home.
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

    def _move(self, order: Sequence[int]) -> None:
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
        targets = ", ".join(f"{part:.2f} in {name(zone)}" for zone, part in plan.destinations.items())
        log.info(
            "traffic plan of zone %s is %s: %.2f of its sidecars away%s; %s",
            name(self.settings.home),
            plan.state,
            plan.away_fraction,
            f" ({targets})" if targets else "",
            plan.cause,
        )

    # The process

    def change_settings(self, settings: FailoverSettings) -> None:
        """Apply changed settings. The pool has applied them before, so its home zone is its own again."""
        former_home = self.settings.home
        self.settings = settings
        if settings.home != former_home:
            self.working_zone = settings.home
            self.plan = TrafficPlan(settings.home, self.system.monotonic_ns())
            self.sampler = HealthSampler()
        elif self.working_zone != settings.home:
            self.pool.set_home_zone(self.working_zone)

    def report(self) -> dict[str, Any]:
        """Return the home zone's plan, the reported plans of others and the zone samples, for operators."""
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
            "to": {name(zone): round(part, 3) for zone, part in plan.destinations.items()},
            "moves": plan.recent_moves,
            "others_levels": {name(zone): held for zone, held in levels.items()},
            "verdicts": {
                f"{name(pair.observer)} on {name(pair.zone)}": health.value
                for pair, health in sorted(self.health.items())
            },
        }

    def close(self) -> None:
        """Stop following the plan."""
        self._closed = True
        self._timer.cancel()
