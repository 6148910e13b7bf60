"""What each pool may claim of what a process has: a guaranteed minimum, a maximum, and a common rest. No I/O.

Rules kept: a pool that is within its minimum always gets a claim; beyond it a pool draws on what no minimum
is set aside for; no pool holds more than its maximum; all claims together never exceed the whole. A pool
that has left keeps what it has claimed until that is given back, and counts wholly to the common rest.
Every step is a constant number of operations, whatever the number of pools.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any


@dataclass(frozen=True, slots=True)
class Part:
    """What one pool may claim.

    Attributes:
        least: claims that are always its own, used or not.
        most: claims beyond which it gets none.
    """

    least: int
    most: int


NOTHING = Part(0, 0)


class Shares:
    """Claims by pool. A pool is known by any hashable value that no other one has."""

    def __init__(self, whole: int) -> None:
        """Begin with no pool.

        Args:
            whole: claims that there may be in all.
        """
        self.whole = whole
        self.parts: dict[object, Part] = {}
        self.claimed: dict[object, int] = {}
        self.common = 0  # claimed beyond the minima
        self.set_aside = 0  # the sum of the minima

    def resize(self, whole: int, parts: Mapping[Any, Part]) -> None:
        """Take other limits. What is claimed beyond them stays claimed, and no more is given meanwhile.

        Raises:
            ValueError: the minima are more than the whole.
        """
        set_aside = sum(part.least for part in parts.values())
        if set_aside > whole:
            raise ValueError(f"the pools' minima come to {set_aside} of {whole}")
        self.whole, self.set_aside = whole, set_aside
        self.parts = dict(parts)
        self.claimed = {pool: count for pool, count in self.claimed.items() if count or pool in parts}
        self.common = sum(
            max(0, count - self.parts.get(pool, NOTHING).least) for pool, count in self.claimed.items()
        )

    def reserve(self, pool: object) -> bool:
        """Claim one more for a pool; False if its limits or the whole leave none."""
        part = self.parts.get(pool, NOTHING)
        count = self.claimed.get(pool, 0)
        if count >= part.most:
            return False
        if count >= part.least:
            if self.common >= self.whole - self.set_aside:
                return False
            self.common += 1
        self.claimed[pool] = count + 1
        return True

    def give_back(self, pool: object) -> None:
        """Give one claim of a pool back."""
        count = self.claimed[pool] - 1
        assert count >= 0, "given back more than was claimed"
        if count >= self.parts.get(pool, NOTHING).least:
            self.common -= 1
        if count or pool in self.parts:
            self.claimed[pool] = count
        else:
            del self.claimed[pool]
