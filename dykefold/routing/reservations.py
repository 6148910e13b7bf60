"""Reservations of pools: a guaranteed minimum and a maximum for each, and a shared remainder. No I/O.

A pool below its minimum can always reserve. Beyond its minimum, a pool reserves from the remainder that is
guaranteed to no pool. No pool reserves beyond its maximum, and all pools together not beyond the total. A
removed pool keeps its reservations until it releases them, and all of them count as shared. Reserving and
releasing take constant time, independent of the number of pools.
"""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReservationLimits:
    """Limits of the reservations of one pool.

    Attributes:
        min: Number of reservations that are set aside for the pool, whether it uses them or not.
        max: Maximum number of reservations.
    """

    min: int
    max: int


NO_RESERVATIONS = ReservationLimits(0, 0)


class GuaranteesError(ValueError):
    """Raised if the guaranteed minima of all pools exceed the total.

    Attributes:
        guaranteed: Sum of the minima of all pools.
        total: Maximum number of reservations of all pools together.
    """

    def __init__(self, guaranteed: int, total: int) -> None:
        """Build the message from the sum of the minima and the total that it exceeds."""
        super().__init__(f"the pools' minima come to {guaranteed} of {total}")
        self.guaranteed = guaranteed
        self.total = total


class PoolReservations:
    """Counts reservations by pool; pools are identified by any unique hashable value.

    Attributes:
        total: Maximum number of reservations of all pools together.
        limits: Limits by pool.
        by_pool: Number of reservations by pool.
        shared: Number of reservations beyond the minimum of their pool, of all pools together.
        guaranteed: Sum of the minima of all pools.
    """

    def __init__(self, total: int) -> None:
        self.total = total
        self.limits: dict[Hashable, ReservationLimits] = {}
        self.by_pool: dict[Hashable, int] = {}
        self.shared = 0
        self.guaranteed = 0

    def resize(self, total: int, limits: Mapping[Hashable, ReservationLimits]) -> None:
        """Replace the limits. Existing reservations stay, even beyond the new limits.

        A pool above its new maximum cannot reserve until it has released enough to be below it. Likewise, no
        pool can reserve beyond its minimum until enough shared reservations have been released.

        Args:
            total: Maximum number of reservations of all pools together.
            limits: Limits by pool.

        Raises:
            GuaranteesError: The minima exceed the total; nothing has changed then.
        """
        guaranteed = sum(pool.min for pool in limits.values())
        if guaranteed > total:
            raise GuaranteesError(guaranteed, total)
        self.total, self.guaranteed = total, guaranteed
        self.limits = dict(limits)
        self.by_pool = {pool: count for pool, count in self.by_pool.items() if count or pool in limits}
        self.shared = sum(
            max(0, count - self.limits.get(pool, NO_RESERVATIONS).min) for pool, count in self.by_pool.items()
        )

    def reserve(self, pool: Hashable) -> bool:
        """Reserve one more for a pool; return False if its limits or the shared remainder forbid it."""
        limits = self.limits.get(pool, NO_RESERVATIONS)
        count = self.by_pool.get(pool, 0)
        if count >= limits.max:
            return False
        if count >= limits.min:
            if self.shared >= self.total - self.guaranteed:
                return False
            self.shared += 1
        self.by_pool[pool] = count + 1
        return True

    def release(self, pool: Hashable) -> None:
        """Release one reservation of a pool."""
        count = self.by_pool[pool] - 1
        assert count >= 0, "more was released than reserved"
        if count >= self.limits.get(pool, NO_RESERVATIONS).min:
            self.shared -= 1
        if count or pool in self.limits:
            self.by_pool[pool] = count
        else:
            del self.by_pool[pool]
