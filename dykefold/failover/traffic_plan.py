"""The traffic plan of a zone: which of its sidecars work in which other zone, and when they return. No I/O.

Every sidecar applies the same function to the same membership records, so sidecars that reach each other
compute the same plan, except while a record is being propagated. An isolated sidecar works at home as if
there were no plan. Whole sidecars are moved, not single requests: the balancer of a sidecar that is away
treats another zone as its own and prefers that zone's endpoints. Some sidecars, the canaries, stay; their
attempts show when the others can return.

| state | to | condition |
| --- | --- | --- |
| home | away | down, unreachable or without endpoints for `CONFIRM_NS`, with a destination |
| away | returning | healthy, as seen by the canaries, for `RETURN_NS`, doubled by each further recent move |
| returning | home | each step of `STEP_NS` halves the traffic that is away; the last one returns the rest |
| returning | away | down or unreachable again, without confirmation |
| any | home | no other member is live, the membership is not settled, or there is no destination |
| any | any | the median level of the reporting sidecars has differed from this one's for `DISSENT_NS` |

A slow, overloaded or degraded zone moves no sidecar: the balancer shifts load between its endpoints.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from ..fleet.hashing import hash_pair
from ..fleet.rate_limits import NS_PER_S
from ..fleet.statistics import lower_median
from .zone_health import ZoneHealth, ZonePair

CONFIRM_NS = NS_PER_S // 2  # A shorter failure moves no traffic.
RETURN_NS = 2 * NS_PER_S
MAX_RETURN_NS = 60 * NS_PER_S
MAX_RETURN_DOUBLINGS = 8
FORGET_MOVES_NS = 60 * NS_PER_S  # Time without a move after which earlier moves no longer delay the return.
STEP_NS = 2 * NS_PER_S
RETURN_STEPS = 3  # Each returns half of the traffic that is away; one last step returns the remainder.
DISSENT_NS = 5 * NS_PER_S  # Longer than the lifetime of a report.
CANARY_FRACTION = 0.125  # Of a zone's sidecars; at least one stays.
LEAVE_STATES = frozenset((ZoneHealth.DOWN, ZoneHealth.UNREACHABLE))
RETURN_STATES = frozenset((ZoneHealth.HEALTHY, ZoneHealth.SLOW))
NO_DESTINATION_STATES = frozenset(
    (ZoneHealth.DOWN, ZoneHealth.UNREACHABLE, ZoneHealth.DEGRADED, ZoneHealth.OVERLOADED)
)

HOME_LEVEL = 0
AWAY_LEVEL = 1
FIRST_RETURN_LEVEL = 2
LAST_LEVEL = AWAY_LEVEL + RETURN_STEPS


class PlanState(StrEnum):
    """State of a traffic plan; the values are part of the admin API."""

    HOME = "home"
    AWAY = "away"
    RETURNING = "returning"


@dataclass(frozen=True, slots=True)
class ZoneFacts:
    """State of the zones that a plan depends on, other than their health.

    Attributes:
        ready_endpoints: Number of ready endpoints by zone; a zone without any is no destination.
        regions: Region by zone; all zones without a region form one.
        evacuated: Zones that an operator has evacuated.
        abandoned: Zones whose own sidecars report that they work elsewhere.
    """

    ready_endpoints: Mapping[int, int]
    regions: Mapping[int, str]
    evacuated: frozenset[int] = frozenset()
    abandoned: frozenset[int] = frozenset()


@dataclass(frozen=True, slots=True)
class PlanInputs:
    """Inputs of one step of the plan.

    Attributes:
        health: Health by observing and observed zone.
        zones: Endpoints, regions and evacuations of the zones.
        connected: Whether other sidecars are live and the membership is settled.
        members: Number of live sidecars of the zone.
        reported_levels: Plan levels of the sidecars that report for the zone, including this one if it
            reports.
    """

    health: Mapping[ZonePair, ZoneHealth]
    zones: ZoneFacts
    connected: bool
    members: int
    reported_levels: Sequence[int] = field(default_factory=tuple)


class HomeCondition(NamedTuple):
    """Whether the sidecars of a zone can work there.

    Attributes:
        unusable: Whether the sidecars must leave the zone.
        usable: Whether the sidecars may return. A zone with too few samples is neither usable nor
            unusable.
        evacuated: Whether an operator has evacuated the zone.
        cause: Reason, for operators.
    """

    unusable: bool
    usable: bool
    evacuated: bool
    cause: str


class LevelChange(NamedTuple):
    """A transition to another level, with its cause for operators."""

    level: int
    cause: str


def home_condition(origin: int, inputs: PlanInputs) -> HomeCondition:
    """Return whether the sidecars of a zone can work there."""
    health = inputs.health.get(ZonePair(origin, origin), ZoneHealth.UNCLEAR)
    if origin in inputs.zones.evacuated:
        return HomeCondition(True, False, True, "evacuated by hand")
    if not inputs.zones.ready_endpoints.get(origin):
        return HomeCondition(True, False, False, "home has no servers listed")
    return HomeCondition(health in LEAVE_STATES, health in RETURN_STATES, False, f"home is {health}")


def destinations(origin: int, zones: ZoneFacts, health: Mapping[ZonePair, ZoneHealth]) -> dict[int, float]:
    """Return the zones that take over a zone's traffic, in proportion to their ready endpoints.

    Zones of other regions are chosen only if no zone of the own region is eligible.

    Args:
        origin: Zone whose traffic moves.
        zones: Endpoints, regions and evacuations of the zones.
        health: Health by observing and observed zone.

    Returns:
        The fraction of the moved sidecars, by destination zone.
    """
    eligible = {
        zone: count
        for zone, count in zones.ready_endpoints.items()
        if zone != origin
        and count > 0
        and zone not in zones.evacuated | zones.abandoned
        and health.get(ZonePair(origin, zone), ZoneHealth.UNCLEAR) not in NO_DESTINATION_STATES
        and health.get(ZonePair(zone, zone), ZoneHealth.UNCLEAR) not in NO_DESTINATION_STATES
    }
    region = zones.regions.get(origin)
    same_region = {zone: count for zone, count in eligible.items() if zones.regions.get(zone) == region}
    chosen = same_region or eligible
    total = sum(chosen.values())
    return {zone: count / total for zone, count in sorted(chosen.items())}


def staying_order(origin: int, members: Sequence[int]) -> list[int]:
    """Return the sidecars of a zone in staying order, the same at every sidecar.

    When traffic moves, the last in this order leave first.
    """
    return sorted(members, key=lambda member: hash_pair(origin, member + 1))


class TrafficPlan:
    """The traffic plan of one zone, as one of its sidecars computes it.

    Args:
        now_ns: Current monotonic time in nanoseconds.

    Attributes:
        origin: Zone whose plan it is.
        level: 0 at home, 1 away, and one more for each step of the return. It is equal at all sidecars with
            the same plan, even if they count different numbers of members.
        away_fraction: Fraction of the zone's sidecars that work in other zones at this level.
        destinations: Fraction of the sidecars that are away, by destination zone.
        since_ns: Monotonic time in nanoseconds at which the level was entered.
        recent_moves: Number of recent moves away from the zone.
        cause: Reason for the level, for operators.
    """

    def __init__(self, origin: int, now_ns: int) -> None:
        self.origin = origin
        self.level = HOME_LEVEL
        self.away_fraction = 0.0
        self.destinations: dict[int, float] = {}
        self.since_ns = now_ns
        self.recent_moves = 0
        self.cause = "it has just begun"
        self._last_left_ns = now_ns  # Time of the last move away from the zone.
        self._unusable_since_ns: int | None = None
        self._usable_since_ns: int | None = None
        self._dissent_since_ns: int | None = None  # Others of the zone report another level.

    @property
    def state(self) -> PlanState:
        """State that the level belongs to."""
        if self.level == HOME_LEVEL:
            return PlanState.HOME
        return PlanState.AWAY if self.level == AWAY_LEVEL else PlanState.RETURNING

    @property
    def return_ns(self) -> int:
        """Nanoseconds for which home must be usable before the return begins; longer if it flaps."""
        doublings = min(max(self.recent_moves - 1, 0), MAX_RETURN_DOUBLINGS)
        return min(RETURN_NS << doublings, MAX_RETURN_NS)

    def step(self, now_ns: int, inputs: PlanInputs) -> bool:
        """Update the plan from the current inputs; return whether it has changed."""
        before = (self.level, self.away_fraction, self.destinations)
        home = home_condition(self.origin, inputs)
        self._unusable_since_ns = _since(self._unusable_since_ns, now_ns, home.unusable)
        self._usable_since_ns = _since(self._usable_since_ns, now_ns, home.usable)
        if now_ns - self._last_left_ns > FORGET_MOVES_NS:
            self.recent_moves = 0
        targets = destinations(self.origin, inputs.zones, inputs.health)
        if not inputs.connected:
            self._enter_level(now_ns, LevelChange(HOME_LEVEL, "nobody is heard"))
        elif not targets:
            self._enter_level(now_ns, LevelChange(HOME_LEVEL, "there is nowhere to go"))
        else:
            self._enter_level(now_ns, self._next_change(now_ns, home))
            self._follow_median(now_ns, inputs.reported_levels)
        self.away_fraction = self._away_fraction(home, inputs.members)
        self.destinations = targets if self.level else {}
        return (self.level, self.away_fraction, self.destinations) != before

    def reset_condition_times(self) -> None:
        """Reset since when the zone was unusable, usable or in dissent, as all zones are healthy."""
        self._unusable_since_ns = self._usable_since_ns = self._dissent_since_ns = None

    def _next_change(self, now_ns: int, home: HomeCondition) -> LevelChange | None:
        if self.state is PlanState.HOME:
            return self._begin_failover(now_ns, home)
        if home.unusable:
            return LevelChange(AWAY_LEVEL, home.cause)
        if self._usable_since_ns is None:
            return None
        if self.state is PlanState.AWAY:
            return self._begin_return(now_ns, self._usable_since_ns)
        return self._continue_return(now_ns)

    def _begin_failover(self, now_ns: int, home: HomeCondition) -> LevelChange | None:
        since_ns = self._unusable_since_ns
        if since_ns is None or (now_ns - since_ns < CONFIRM_NS and not home.evacuated):
            return None
        return LevelChange(AWAY_LEVEL, home.cause)

    def _begin_return(self, now_ns: int, usable_since_ns: int) -> LevelChange | None:
        if now_ns - usable_since_ns < self.return_ns:
            return None
        return LevelChange(FIRST_RETURN_LEVEL, "home is fine as the scouts see it")

    def _continue_return(self, now_ns: int) -> LevelChange | None:
        if now_ns - self.since_ns < STEP_NS:
            return None
        if self.level >= LAST_LEVEL:
            return LevelChange(HOME_LEVEL, "all the way back")
        return LevelChange(self.level + 1, "a step back")

    def _follow_median(self, now_ns: int, reported_levels: Sequence[int]) -> None:
        """Adopt the median level of the reporting sidecars if it has differed for `DISSENT_NS`.

        A sidecar that has just started or was isolated thereby adopts the level of the others. All adopt the
        same median, so two sidecars cannot swap levels. A failure that all of them observe changes their
        levels together long before that.
        """
        median_level = lower_median(reported_levels) if reported_levels else self.level
        self._dissent_since_ns = _since(self._dissent_since_ns, now_ns, median_level != self.level)
        if self._dissent_since_ns is not None and now_ns - self._dissent_since_ns >= DISSENT_NS:
            self._enter_level(now_ns, LevelChange(median_level, "others of the zone hold this"))
            self._dissent_since_ns = None

    def _enter_level(self, now_ns: int, change: LevelChange | None) -> None:
        if change is None or change.level == self.level:
            return
        if change.level == AWAY_LEVEL:
            self.recent_moves += 1
            self._last_left_ns = now_ns
        self.level, self.cause = change
        self.since_ns = now_ns

    def _away_fraction(self, home: HomeCondition, members: int) -> float:
        if self.level == HOME_LEVEL:
            return 0.0
        canaries = 0.0 if home.evacuated else max(CANARY_FRACTION, 1.0 / max(members, 1))
        return (1.0 - canaries) / (1 << (self.level - AWAY_LEVEL))

    def zone_of(self, position: float) -> int:
        """Return the zone in which a sidecar of this zone works.

        Args:
            position: Position of the sidecar in the staying order, from 0 to below 1.
        """
        staying = 1.0 - self.away_fraction
        if position < staying or not self.destinations:
            return self.origin
        offset = (position - staying) / self.away_fraction
        for zone, fraction in self.destinations.items():
            if offset < fraction:
                return zone
            offset -= fraction
        return next(reversed(self.destinations))


def _since(known_ns: int | None, now_ns: int, holds: bool) -> int | None:
    """Return since when a condition holds; None if it does not hold."""
    if not holds:
        return None
    return now_ns if known_ns is None else known_ns
