"""The traffic plan of a zone: which of its sidecars work in which other zone, and the way back. No I/O.

Every sidecar applies the same function to the same records, so those that reach each other hold one plan but
for the time that a record takes; an isolated sidecar works at home as if there were no plan. Sidecars
move, not requests: one that is away takes another zone for its own, and its balancer chooses among that
zone's endpoints as it did at home. Some canaries stay, whose attempts tell when the way back is open.

| state | to | condition |
| --- | --- | --- |
| home | away | down, unreachable or without endpoints for `CONFIRM_NS`, with a destination |
| away | returning | healthy, as the canaries see it, for `RETURN_NS`, doubled by each recent move |
| returning | home | each step of `STEP_NS` halves what is away; the fourth takes the rest |
| returning | away | down or unreachable again: at once |
| any | home | no member is heard, the membership is not settled, or there is no destination |
| any | any | the median of those that report for the zone has held that for `DISSENT_NS` |

A slow, overloaded or degraded zone moves nobody: the balancer shifts load between single endpoints by itself.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import NamedTuple

from ..fleet.hashing import hash_pair
from ..fleet.rate_limits import SECOND
from ..fleet.statistics import lower_median
from .zone_health import ZoneHealth, ZonePair

CONFIRM_NS = SECOND // 2  # a shorter failure moves nobody
RETURN_NS = 2 * SECOND
MAX_RETURN_NS = 60 * SECOND
MAX_RETURN_DOUBLINGS = 8
FORGET_MOVES_NS = 60 * SECOND  # without a move, after which earlier ones no longer delay the way back
STEP_NS = 2 * SECOND
RETURN_STEPS = 3  # each half of what is away, before the last
DISSENT_NS = 5 * SECOND  # longer than the lifetime of a record of those that report
CANARY_FRACTION = 0.125  # of a zone's sidecars, one at least
LEAVE_FOR = frozenset((ZoneHealth.DOWN, ZoneHealth.UNREACHABLE))
RETURN_FOR = frozenset((ZoneHealth.HEALTHY, ZoneHealth.SLOW))
NO_DESTINATION = frozenset(
    (ZoneHealth.DOWN, ZoneHealth.UNREACHABLE, ZoneHealth.DEGRADED, ZoneHealth.OVERLOADED)
)

HOME_LEVEL = 0
AWAY_LEVEL = 1
FIRST_RETURN_LEVEL = 2
LAST_LEVEL = AWAY_LEVEL + RETURN_STEPS


class PlanState(StrEnum):
    """Where the sidecars of a zone work; the values are part of the admin API."""

    HOME = "home"
    AWAY = "away"
    RETURNING = "returning"


@dataclass(frozen=True, slots=True)
class ZoneFacts:
    """What is known of zones beside their health.

    Attributes:
        ready_endpoints: by zone; those without any are no destination.
        regions: by zone; zones without one form one region together.
        evacuated: zones that an operator has evacuated.
        abandoned: zones that their own sidecars have left.
    """

    ready_endpoints: Mapping[int, int]
    regions: Mapping[int, str]
    evacuated: frozenset[int] = frozenset()
    abandoned: frozenset[int] = frozenset()


@dataclass(frozen=True, slots=True)
class PlanInputs:
    """What a plan goes by at one moment.

    Attributes:
        health: of each zone as seen from each.
        zones: what else is known of them.
        connected: others are live, and the membership is settled.
        members: how many sidecars of the zone are live.
        held_levels: of those that report for the zone, this one's among them if it does.
    """

    health: Mapping[ZonePair, ZoneHealth]
    zones: ZoneFacts
    connected: bool
    members: int
    held_levels: Sequence[int] = field(default_factory=tuple)


class HomeCondition(NamedTuple):
    """Whether the sidecars of a zone can work there.

    Attributes:
        unusable: they have to leave.
        usable: they may return; a zone of which too little is known is neither.
        evacuated: an operator has evacuated it.
        cause: for people.
    """

    unusable: bool
    usable: bool
    evacuated: bool
    cause: str


class Move(NamedTuple):
    """A change of the level, with its cause for people."""

    level: int
    cause: str


def home_condition(origin: int, inputs: PlanInputs) -> HomeCondition:
    """Return whether the sidecars of a zone can work there."""
    health = inputs.health.get(ZonePair(origin, origin), ZoneHealth.UNCLEAR)
    if origin in inputs.zones.evacuated:
        return HomeCondition(True, False, True, "evacuated by hand")
    if not inputs.zones.ready_endpoints.get(origin):
        return HomeCondition(True, False, False, "home has no servers listed")
    return HomeCondition(health in LEAVE_FOR, health in RETURN_FOR, False, f"home is {health}")


def destinations(origin: int, zones: ZoneFacts, health: Mapping[ZonePair, ZoneHealth]) -> dict[int, float]:
    """Return where sidecars go that are away: zones of the own region first, in proportion to endpoints.

    Args:
        origin: the zone that they leave.
        zones: what is known of zones.
        health: of each zone as seen from each.

    Returns:
        The fraction of the sidecars that are away, by zone.
    """
    fit = {
        zone: count
        for zone, count in zones.ready_endpoints.items()
        if zone != origin
        and count > 0
        and zone not in zones.evacuated | zones.abandoned
        and health.get(ZonePair(origin, zone), ZoneHealth.UNCLEAR) not in NO_DESTINATION
        and health.get(ZonePair(zone, zone), ZoneHealth.UNCLEAR) not in NO_DESTINATION
    }
    region = zones.regions.get(origin)
    near = {zone: count for zone, count in fit.items() if zones.regions.get(zone) == region}
    chosen = near or fit
    total = sum(chosen.values())
    return {zone: count / total for zone, count in sorted(chosen.items())}


def staying_order(origin: int, members: Sequence[int]) -> list[int]:
    """Return the sidecars of a zone, those first that stay longest; the same at all that know them."""
    return sorted(members, key=lambda member: hash_pair(origin, member + 1))


class TrafficPlan:
    """What the sidecars of one zone do, as one of them holds it.

    Args:
        now_ns: on a monotonic clock, as all later times.

    Attributes:
        origin: the zone.
        level: 0 at home, 1 away, and one more for each step of the way back: the same number at all that hold
            one plan, whatever they know of how many they are.
        away_fraction: of the zone's sidecars, at this level.
        destinations: where those that are away work, as fractions of these by zone.
        since_ns: when the level was taken.
        recent_moves: how often the zone was left lately.
        cause: of the level, for people.
    """

    def __init__(self, origin: int, now_ns: int) -> None:
        self.origin = origin
        self.level = HOME_LEVEL
        self.away_fraction = 0.0
        self.destinations: dict[int, float] = {}
        self.since_ns = now_ns
        self.recent_moves = 0
        self.cause = "it has just begun"
        self._left_ns = now_ns  # when the zone was last left
        self._unusable_since_ns: int | None = None
        self._usable_since_ns: int | None = None
        self._dissent_since_ns: int | None = None  # others of the zone hold another level

    @property
    def state(self) -> PlanState:
        """Where the sidecars of the zone work."""
        if self.level == HOME_LEVEL:
            return PlanState.HOME
        return PlanState.AWAY if self.level == AWAY_LEVEL else PlanState.RETURNING

    @property
    def return_ns(self) -> int:
        """How long home must be healthy before the way back: longer for a zone that flaps."""
        doublings = min(max(self.recent_moves - 1, 0), MAX_RETURN_DOUBLINGS)
        return min(RETURN_NS << doublings, MAX_RETURN_NS)

    def step(self, now_ns: int, inputs: PlanInputs) -> bool:
        """Go by what is known now; return whether anything has changed."""
        before = (self.level, self.away_fraction, self.destinations)
        home = home_condition(self.origin, inputs)
        self._unusable_since_ns = _since(self._unusable_since_ns, now_ns, home.unusable)
        self._usable_since_ns = _since(self._usable_since_ns, now_ns, home.usable)
        if now_ns - self._left_ns > FORGET_MOVES_NS:
            self.recent_moves = 0
        targets = destinations(self.origin, inputs.zones, inputs.health)
        if not inputs.connected:
            self._go(now_ns, Move(HOME_LEVEL, "nobody is heard"))
        elif not targets:
            self._go(now_ns, Move(HOME_LEVEL, "there is nowhere to go"))
        else:
            self._go(now_ns, self._next_move(now_ns, home))
            self._follow_median(now_ns, inputs.held_levels)
        self.away_fraction = self._away_fraction(home, inputs.members)
        self.destinations = targets if self.level else {}
        return (self.level, self.away_fraction, self.destinations) != before

    def rest(self) -> None:
        """Note that nothing is wrong anywhere: earlier observations do not count for what comes."""
        self._unusable_since_ns = self._usable_since_ns = self._dissent_since_ns = None

    def _next_move(self, now_ns: int, home: HomeCondition) -> Move | None:
        if self.state is PlanState.HOME:
            return self._leave(now_ns, home)
        if home.unusable:
            return Move(AWAY_LEVEL, home.cause)
        if self._usable_since_ns is None:
            return None
        if self.state is PlanState.AWAY:
            return self._begin_return(now_ns, self._usable_since_ns)
        return self._continue_return(now_ns)

    def _leave(self, now_ns: int, home: HomeCondition) -> Move | None:
        since_ns = self._unusable_since_ns
        if since_ns is None or (now_ns - since_ns < CONFIRM_NS and not home.evacuated):
            return None
        return Move(AWAY_LEVEL, home.cause)

    def _begin_return(self, now_ns: int, usable_since_ns: int) -> Move | None:
        if now_ns - usable_since_ns < self.return_ns:
            return None
        return Move(FIRST_RETURN_LEVEL, "home is fine as the scouts see it")

    def _continue_return(self, now_ns: int) -> Move | None:
        if now_ns - self.since_ns < STEP_NS:
            return None
        if self.level >= LAST_LEVEL:
            return Move(HOME_LEVEL, "all the way back")
        return Move(self.level + 1, "a step back")

    def _follow_median(self, now_ns: int, held_levels: Sequence[int]) -> None:
        """Take the level of the median of those that report for the zone, if it differs for long.

        A sidecar that has just started, or was cut off, so comes to hold what the others do. All take the
        same median, so they can't swap levels; and causes that all see move them together long before.
        """
        common = lower_median(held_levels) if held_levels else self.level
        self._dissent_since_ns = _since(self._dissent_since_ns, now_ns, common != self.level)
        if self._dissent_since_ns is not None and now_ns - self._dissent_since_ns >= DISSENT_NS:
            self._go(now_ns, Move(common, "others of the zone hold this"))
            self._dissent_since_ns = None

    def _go(self, now_ns: int, move: Move | None) -> None:
        if move is None or move.level == self.level:
            return
        if move.level == AWAY_LEVEL:
            self.recent_moves += 1
            self._left_ns = now_ns
        self.level, self.cause = move
        self.since_ns = now_ns

    def _away_fraction(self, home: HomeCondition, members: int) -> float:
        if self.level == HOME_LEVEL:
            return 0.0
        canaries = 0.0 if home.evacuated else max(CANARY_FRACTION, 1.0 / max(members, 1))
        return (1.0 - canaries) / (1 << (self.level - AWAY_LEVEL))

    def zone_of(self, position: float) -> int:
        """Return the zone in which a sidecar works.

        Args:
            position: its place in the staying order, from 0 to below 1.
        """
        staying = 1.0 - self.away_fraction
        if position < staying or not self.destinations:
            return self.origin
        place = (position - staying) / self.away_fraction
        for zone, fraction in self.destinations.items():
            if place < fraction:
                return zone
            place -= fraction
        return next(reversed(self.destinations))


def _since(known_ns: int | None, now_ns: int, holds: bool) -> int | None:
    """Since when something holds; None where it does not."""
    if not holds:
        return None
    return now_ns if known_ns is None else known_ns
