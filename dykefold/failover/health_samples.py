"""How each zone looks from a sidecar: servers it has given up on, and what came of its attempts. No I/O.

What is lost is counted by servers, not by attempts: a module that gives up on a server sends nothing there
any more, and what it sent before the failure would hide it for seconds. Late and full are parts of attempts.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import IntEnum

from ..fleet.rate_limits import SECOND

HALF_NS = SECOND  # in which an attempt comes to count half
ZONES_MOST = 31  # zones that are told apart
NOTHING = (0.0, 0.0, 0.0)
GIVEN_UP = 2.0  # attempts that a server stands for which was given up on
PARTS = 63  # steps in which a part is told
WEIGHT_UNIT = 0.25  # attempts, of the weight as it is told
WEIGHT_MOST = (1 << 14) - 1


class Came(IntEnum):
    """What came of an attempt."""

    GOOD = 0  # answered in time
    LATE = 1  # answered after the aim of its class, or not yet by a server that answers others
    FULL = 2  # turned away for want of room


@dataclass(frozen=True, slots=True)
class Sight:
    """How a zone looks from one sidecar.

    Attributes:
        weight: attempts it stands on, those of late counting most.
        late, full: parts of these.
        lost: part of the servers that it has tried.
    """

    weight: float
    late: float = 0.0
    full: float = 0.0
    lost: float = 0.0

    def packed(self) -> int:
        """As the value of a record: 32 bits."""
        parts = [min(int(part * PARTS + 0.5), PARTS) for part in (self.late, self.full, self.lost)]
        weight = min(int(self.weight / WEIGHT_UNIT), WEIGHT_MOST)
        return weight << 18 | parts[0] << 12 | parts[1] << 6 | parts[2]

    @staticmethod
    def read(value: int) -> Sight:
        """Any 32 bits are a sight; parts that are more than all of it are held to that."""
        late, full, lost = (min(value >> at & 63, PARTS) / PARTS for at in (12, 6, 0))
        return Sight((value >> 18) * WEIGHT_UNIT, late, min(full, 1.0 - late), min(lost, 1.0 - late))


class Evidence:
    """Faded counts of attempts by zone."""

    def __init__(self) -> None:
        self.counts: dict[int, list[float]] = {}
        self.at_ns = 0

    def note(self, now_ns: int, zone: int, came: Came) -> None:
        if 0 <= zone < ZONES_MOST:
            self._fade(now_ns)
            self.counts.setdefault(zone, [0.0] * len(Came))[came] += 1.0

    def sights(self, now_ns: int, standing: Mapping[int, tuple[int, int]]) -> dict[int, Sight]:
        """By zone; those of which nothing is known are left out.

        Args:
            standing: by zone, how many servers have been tried, and how many of these are given up on.
        """
        self._fade(now_ns)
        found = {}
        for zone, (tried, ejected) in standing.items():
            counts = self.counts.get(zone, NOTHING)
            attempts = sum(counts)
            weight = attempts + ejected * GIVEN_UP
            if tried and zone < ZONES_MOST and weight >= WEIGHT_UNIT:
                late, full = (counts[came] / max(attempts, 1.0) for came in (Came.LATE, Came.FULL))
                found[zone] = Sight(weight, late, full, ejected / tried)
        return found

    def _fade(self, now_ns: int) -> None:
        fade = 0.5 ** (max(now_ns - self.at_ns, 0) / HALF_NS)
        self.at_ns = max(now_ns, self.at_ns)
        if fade < 1.0:
            for counts in self.counts.values():
                counts[:] = [count * fade for count in counts]
