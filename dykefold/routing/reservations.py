"""What each pool may reserve: a guaranteed minimum, a maximum, and a shared rest. No I/O.

Rules: a pool within its minimum can always reserve; beyond it, a pool reserves from what is guaranteed to no
pool; no pool holds more than its maximum; all reservations together never exceed the total. A pool that has
been removed keeps what it holds until that is released, and counts wholly to the shared rest. Every step is a
constant number of operations, whatever the number of pools.
"""

from __future__ import annotations

from collections.abc import Hashable, Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ReservationLimits:
    """What one pool may reserve.

    Attributes:
        min: Number of reservations that the pool is guaranteed, used or not.
        max: Maximum number of reservations.
    """

    min: int
    max: int


NO_RESERVATIONS = ReservationLimits(0, 0)


class GuaranteesError(ValueError):
    """The minima of all pools are more than there is.

    Attributes:
        guaranteed: Sum of the guaranteed reservations of all pools.
        total: Maximum number of reservations of all pools together.
    """

    def __init__(self, guaranteed: int, total: int) -> None:
        """Take the sum of the minima, and the total that it exceeds."""
        super().__init__(f"the pools' minima come to {guaranteed} of {total}")
        self.guaranteed = guaranteed
        self.total = total


class PoolReservations:
    """Reservations by pool. A pool is known by any hashable value that no other one has.

    Attributes:
        total: Maximum number of reservations of all pools together.
        limits: Limits by pool.
        by_pool: Number of reservations by pool.
        shared: Number of reservations beyond the guaranteed ones, of all pools together.
        guaranteed: Sum of the guaranteed reservations of all pools.
    """

    def __init__(self, total: int) -> None:
        self.total = total
        self.limits: dict[Hashable, ReservationLimits] = {}
        self.by_pool: dict[Hashable, int] = {}
        self.shared = 0
        self.guaranteed = 0

    def resize(self, total: int, limits: Mapping[Hashable, ReservationLimits]) -> None:
        """Take other limits. What is held beyond them stays held, and no more is reserved meanwhile.

        Args:
            total: Maximum number of reservations of all pools together.
            limits: Limits by pool.

        Raises:
            GuaranteesError: More is guaranteed than the total; nothing has changed then.
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
        """Reserve one more for a pool; return False if its limits or the total leave none."""
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
