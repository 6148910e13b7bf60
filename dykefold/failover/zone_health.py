"""From who sees what: which zones are down, which paths are cut. A table, and a pure function. No I/O.

| verdict on a zone as seen from another | evidence it needs |
| --- | --- |
| unclear | none, or too little |
| down | most is lost from there, and from every other zone that looks, its own among them |
| cut | most is lost from there, and somewhere else hardly any |
| part | some is lost, neither most nor hardly any: servers of it are gone |
| overloaded | hardly any is lost, much is turned away for want of room |
| slow | hardly any is lost, much is late |
| fine | hardly any of these |

A cell is the middle of what several sidecars of a zone say, so one that reports nonsense, or is cut off
itself, makes no verdict. What is unclear moves nobody.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import StrEnum

from .health_samples import Sight

WEIGHT_LEAST = 2.0  # attempts of late, without which a sight says nothing
SAID_BY = 3  # sidecars of a zone that must see it, or all where there are fewer
MOST = 0.7  # of the attempts
HARDLY = 0.25
MUCH = 0.5


class Verdict(StrEnum):
    UNCLEAR = "unclear"
    FINE = "fine"
    SLOW = "slow"
    OVERLOADED = "overloaded"
    PART = "part"
    CUT = "cut"
    DOWN = "down"


Pair = tuple[int, int]  # from which zone, to which


def middle(values: Sequence[float]) -> float:
    return sorted(values)[(len(values) - 1) // 2]


def cell(sights: Sequence[Sight], members: int) -> Sight | None:
    """What a zone's sidecars see of another zone together; None where too few see it."""
    heavy = [sight for sight in sights if sight.weight >= WEIGHT_LEAST]
    if len(heavy) < max(min(SAID_BY, members), 1):
        return None
    parts = ([getattr(sight, name) for sight in heavy] for name in ("late", "full", "lost"))
    return Sight(sum(sight.weight for sight in heavy), *(middle(part) for part in parts))


def judge(sights: Mapping[Pair, Sequence[Sight]], members: Mapping[int, int]) -> dict[Pair, Verdict]:
    """The verdict on each zone from each that looks at it.

    Args:
        sights: by the zone of those who look and the zone they look at.
        members: live sidecars by zone.
    """
    cells = {
        pair: seen
        for pair, found in sights.items()
        if (seen := cell(found, members.get(pair[0], 0))) is not None
    }
    verdicts = {}
    for (origin, zone), seen in cells.items():
        others = [one.lost for (by, of), one in cells.items() if of == zone and by != origin]
        if seen.lost >= MOST:
            verdict = Verdict.CUT if any(lost < HARDLY for lost in others) else Verdict.DOWN
            if verdict is Verdict.DOWN and not all(lost >= MOST for lost in others):
                verdict = Verdict.PART  # others get through with some of it
        elif seen.lost >= HARDLY:
            verdict = Verdict.PART
        elif seen.full >= MUCH:
            verdict = Verdict.OVERLOADED
        elif seen.late >= MUCH:
            verdict = Verdict.SLOW
        else:
            verdict = Verdict.FINE
        verdicts[origin, zone] = verdict
    return verdicts
