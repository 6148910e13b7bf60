"""Which part of a zone's sidecars works away from home, where, and the way back. No I/O.

Every sidecar holds the same function against the same records, so those that hear each other hold one plan
but for the time that a record takes; who hears nobody holds none and goes on as if there were no plan.
Sidecars move, not requests: one that is away takes another zone for its own, and its module chooses among
that zone's servers as it did at home. Some scouts stay, whose attempts tell when the way back is open.

| state | to | guard |
| --- | --- | --- |
| home | away | down, cut from home, or with no server listed, for `CONFIRM_NS`; and somewhere to go |
| away | returning | fine from home, as the scouts see it, for `BACK_NS`, doubled with each move of late |
| returning | home | each step of `STEP_NS` halves what is away; the last one takes the rest |
| returning | away | down or cut again: at once |
| any | home | nobody is heard, or the view is not steady |

What is slow or overloaded moves nobody, and neither does a part: the module shifts single servers by itself.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum

from ..fleet.pace import SECOND
from ..fleet.words import mix
from .judgement import Pair, Verdict

CONFIRM_NS = SECOND // 2  # evidence of a moment moves nobody
BACK_NS = 2 * SECOND
BACK_MOST_NS = 60 * SECOND
CALM_NS = 60 * SECOND  # without a move, after which one is no longer held against the zone
STEP_NS = 2 * SECOND
SCOUTS = 0.125  # of a zone's sidecars stay to see, one at the least
LAST = 0.2  # away that the last step back takes at once
AWAY_FOR = frozenset((Verdict.DOWN, Verdict.CUT))
BACK_FOR = frozenset((Verdict.FINE, Verdict.SLOW))
NO_PLACE = frozenset((Verdict.DOWN, Verdict.CUT, Verdict.PART, Verdict.OVERLOADED))


class Where(StrEnum):
    HOME = "home"
    AWAY = "away"
    RETURNING = "returning"


@dataclass(frozen=True, slots=True)
class Zones:
    """What the settings and the operator say of zones.

    Attributes:
        servers: ready ones by zone; those with none are no place to go.
        regions: by zone; zones without one are one region together.
        out: zones that are evacuated by hand.
        left: zones that their own sidecars have left.
    """

    servers: Mapping[int, int]
    regions: Mapping[int, str]
    out: frozenset[int] = frozenset()
    left: frozenset[int] = frozenset()


def places(origin: int, zones: Zones, verdicts: Mapping[Pair, Verdict]) -> dict[int, float]:
    """Where sidecars of a zone go that are away, as parts of these: the own region first, by servers."""
    fit = {
        zone: count
        for zone, count in zones.servers.items()
        if zone != origin
        and count > 0
        and zone not in zones.out | zones.left
        and verdicts.get((origin, zone), Verdict.UNCLEAR) not in NO_PLACE
        and verdicts.get((zone, zone), Verdict.UNCLEAR) not in NO_PLACE
    }
    region = zones.regions.get(origin)
    near = {zone: count for zone, count in fit.items() if zones.regions.get(zone) == region}
    chosen = near or fit
    total = sum(chosen.values())
    return {zone: count / total for zone, count in sorted(chosen.items())}


def order_of(origin: int, members: Sequence[int]) -> list[int]:
    """The sidecars of a zone in the order in which they stay; the same for all who know them."""
    return sorted(members, key=lambda member: mix(origin, member + 1))


class Course:
    """What the sidecars of one zone do, as one of them holds it."""

    def __init__(self, origin: int, now_ns: int) -> None:
        self.origin = origin
        self.where = Where.HOME
        self.part = 0.0  # of the zone's sidecars that are away
        self.since_ns = now_ns  # of the state
        self.bad_ns: int | None = None  # since when home is not to be had
        self.good_ns: int | None = None
        self.moves = 0  # of late
        self.moved_ns = now_ns
        self.cause = "it has just begun"
        self.to: dict[int, float] = {}

    @property
    def back_ns(self) -> int:
        """How long home must be fine before the way back: longer for one that flaps."""
        return min(BACK_NS << min(max(self.moves - 1, 0), 8), BACK_MOST_NS)

    def step(
        self, now_ns: int, verdicts: Mapping[Pair, Verdict], zones: Zones, heard: bool, members: int
    ) -> bool:
        """Go by the evidence of now; whether anything has changed.

        Args:
            heard: others are heard, and the view is steady.
            members: live sidecars of the zone.
        """
        before = (self.where, self.part, self.to)
        verdict = verdicts.get((self.origin, self.origin), Verdict.UNCLEAR)
        evacuated = self.origin in zones.out
        empty = not zones.servers.get(self.origin)
        bad = evacuated or empty or verdict in AWAY_FOR
        self.bad_ns = (now_ns if self.bad_ns is None else self.bad_ns) if bad else None
        good = not bad and verdict in BACK_FOR
        self.good_ns = (now_ns if self.good_ns is None else self.good_ns) if good else None
        if now_ns - self.moved_ns > CALM_NS:
            self.moves = 0
        to = places(self.origin, zones, verdicts)
        if not heard:
            self._go(now_ns, Where.HOME, 0.0, "nobody is heard")
        elif self.where is Where.HOME:
            if self.bad_ns is not None and to and (evacuated or now_ns - self.bad_ns >= CONFIRM_NS):
                self._away(now_ns, members, zones, verdict)
        elif self.where is Where.AWAY:
            if not to:
                self._go(now_ns, Where.HOME, 0.0, "there is nowhere to go")
            elif self.good_ns is not None and now_ns - self.good_ns >= self.back_ns:
                self._go(now_ns, Where.RETURNING, self.part / 2, "home is fine as the scouts see it")
        elif bad:
            self._away(now_ns, members, zones, verdict)
        elif now_ns - self.since_ns >= STEP_NS and good:
            if self.part <= LAST:
                self._go(now_ns, Where.HOME, 0.0, "all the way back")
            else:
                self._go(now_ns, Where.RETURNING, self.part / 2, "a step back")
        self.to = to if self.part else {}
        return (self.where, self.part, self.to) != before

    def _away(self, now_ns: int, members: int, zones: Zones, verdict: Verdict) -> None:
        if self.origin in zones.out:
            scouts, cause = 0.0, "evacuated by hand"
        else:
            scouts = max(SCOUTS, 1.0 / members if members else 1.0)
            empty = not zones.servers.get(self.origin)
            cause = "home has no servers listed" if empty else f"home is {verdict.value}"
        self._go(now_ns, Where.AWAY, 1.0 - scouts, cause)

    def _go(self, now_ns: int, where: Where, part: float, cause: str) -> None:
        if (where, part) == (self.where, self.part):
            return
        if where is Where.AWAY:
            self.moves += 1
            self.moved_ns = now_ns
        self.where, self.part, self.since_ns, self.cause = where, part, now_ns, cause

    def home_of(self, stands: float) -> int:
        """The zone that a sidecar takes for its own, by its place in the order: from 0, below 1."""
        if stands < 1.0 - self.part or not self.to:
            return self.origin
        place = (stands - (1.0 - self.part)) / self.part
        for zone, share in self.to.items():
            if place < share:
                return zone
            place -= share
        return next(reversed(self.to))
