"""Which part of a zone's sidecars works away from home, where, and the way back. No I/O.

Every sidecar holds the same function against the same records, so those that hear each other hold one plan
but for the time that a record takes; who hears nobody holds none and goes on as if there were no plan.
Sidecars move, not requests: one that is away takes another zone for its own, and its module chooses among
that zone's servers as it did at home. Some scouts stay, whose attempts tell when the way back is open.

| state | to | guard |
| --- | --- | --- |
| home | away | down, cut from home, or with no server listed, for `CONFIRM_NS`; and somewhere to go |
| away | returning | fine from home, as the scouts see it, for `BACK_NS`, doubled with each move of late |
| returning | home | each step of `STEP_NS` halves what is away; the fourth takes the rest |
| returning | away | down or cut again: at once |
| any | home | nobody is heard, the view is not steady, or there is nowhere to go |
| any | any | the middle one of those who tell for the zone has held that for `DISSENT_NS` |

What is slow or overloaded moves nobody, and neither does a part: the module shifts single servers by itself.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from enum import StrEnum

from ..fleet.hashing import hash_pair
from ..fleet.rate_limits import SECOND
from .zone_health import Pair, Verdict

CONFIRM_NS = SECOND // 2  # evidence of a moment moves nobody
BACK_NS = 2 * SECOND
BACK_MOST_NS = 60 * SECOND
CALM_NS = 60 * SECOND  # without a move, after which one is no longer held against the zone
STEP_NS = 2 * SECOND
BACK_STEPS = 3  # of the way back, each half of what is away, before the last
DISSENT_NS = 5 * SECOND  # longer than a word of those who tell lasts
SCOUTS = 0.125  # of a zone's sidecars stay to see, one at the least
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
    return sorted(members, key=lambda member: hash_pair(origin, member + 1))


class Course:
    """What the sidecars of one zone do, as one of them holds it.

    Attributes:
        level: 0 at home, 1 away, and one more for each step of the way back: the same number at all who hold
            one plan, whatever they know of how many they are.
        part: of the zone's sidecars that are away at this level.
    """

    def __init__(self, origin: int, now_ns: int) -> None:
        self.origin = origin
        self.level = 0
        self.part = 0.0
        self.since_ns = now_ns  # of the level
        self.bad_ns: int | None = None  # since when home is not to be had
        self.good_ns: int | None = None
        self.dissent_ns: int | None = None  # since when others of the zone hold another level
        self.moves = 0  # of late
        self.moved_ns = now_ns
        self.cause = "it has just begun"
        self.to: dict[int, float] = {}

    @property
    def where(self) -> Where:
        return Where.HOME if not self.level else Where.AWAY if self.level == 1 else Where.RETURNING

    @property
    def back_ns(self) -> int:
        """How long home must be fine before the way back: longer for one that flaps."""
        return min(BACK_NS << min(max(self.moves - 1, 0), 8), BACK_MOST_NS)

    def step(
        self,
        now_ns: int,
        verdicts: Mapping[Pair, Verdict],
        zones: Zones,
        heard: bool,
        members: int,
        held: Sequence[int] = (),
    ) -> bool:
        """Go by the evidence of now; whether anything has changed.

        Args:
            heard: others are heard, and the view is steady.
            members: live sidecars of the zone.
            held: the levels that those hold who tell for the zone, this one among them if it is one.
        """
        before = (self.level, self.part, self.to)
        verdict = verdicts.get((self.origin, self.origin), Verdict.UNCLEAR)
        evacuated, empty = self.origin in zones.out, not zones.servers.get(self.origin)
        bad = evacuated or empty or verdict in AWAY_FOR
        good = not bad and verdict in BACK_FOR
        self.bad_ns = _since(self.bad_ns, now_ns, bad)
        self.good_ns = _since(self.good_ns, now_ns, good)
        if now_ns - self.moved_ns > CALM_NS:
            self.moves = 0
        to = places(self.origin, zones, verdicts)
        why = (
            "evacuated by hand"
            if evacuated
            else "home has no servers listed"
            if empty
            else f"home is {verdict}"
        )
        if not heard:
            self._go(now_ns, 0, "nobody is heard")
        elif not to:
            self._go(now_ns, 0, "there is nowhere to go")
        elif not self.level:
            if self.bad_ns is not None and (evacuated or now_ns - self.bad_ns >= CONFIRM_NS):
                self._go(now_ns, 1, why)
        elif bad:
            self._go(now_ns, 1, why)
        elif self.good_ns is not None:
            if self.level == 1 and now_ns - self.good_ns >= self.back_ns:
                self._go(now_ns, 2, "home is fine as the scouts see it")
            elif self.level > 1 and now_ns - self.since_ns >= STEP_NS:
                last = self.level > BACK_STEPS
                self._go(now_ns, 0 if last else self.level + 1, "all the way back" if last else "a step back")
        if heard and to:
            self._follow(now_ns, held)
        scouts = 0.0 if evacuated else max(SCOUTS, 1.0 / max(members, 1))
        self.part = (1.0 - scouts) / (1 << (self.level - 1)) if self.level else 0.0
        self.to = to if self.level else {}
        return (self.level, self.part, self.to) != before

    def rest(self) -> None:
        """Nothing is wrong anywhere: evidence of earlier troubles is not held against what comes."""
        self.bad_ns = self.good_ns = self.dissent_ns = None

    def _follow(self, now_ns: int, held: Sequence[int]) -> None:
        """Take what the middle one of those who tell for the zone holds, if that is another for long.

        One who began in the middle, or was cut off, comes to hold what the others do. All take the same
        middle, so they can't change places; and evidence that all have moves them together long before.
        """
        common = sorted(held)[(len(held) - 1) // 2] if held else self.level
        self.dissent_ns = _since(self.dissent_ns, now_ns, common != self.level)
        if self.dissent_ns is not None and now_ns - self.dissent_ns >= DISSENT_NS:
            self._go(now_ns, common, "others of the zone hold this")
            self.dissent_ns = None

    def _go(self, now_ns: int, level: int, cause: str) -> None:
        if level == self.level:
            return
        if level == 1:
            self.moves += 1
            self.moved_ns = now_ns
        self.level, self.since_ns, self.cause = level, now_ns, cause

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


def _since(known: int | None, now_ns: int, holds: bool) -> int | None:
    """Since when something holds."""
    return (now_ns if known is None else known) if holds else None
