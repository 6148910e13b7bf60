"""Fleets of members on a virtual clock, for the tests of the membership and of the failover."""

from __future__ import annotations

from dykefold.fleet.rate_limits import SECOND
from dykefold.sim.views import Views

SETTLE_NS = 20 * SECOND


class Clock:
    """A monotonic clock that the test sets."""

    def __init__(self, now_ns: int = SECOND) -> None:
        self.now_ns = now_ns

    def monotonic_ns(self) -> int:
        return self.now_ns


def settled_fleet(size: int, seed: int = 1, loss: float = 0.0, equal: bool = False) -> Views:
    """Start all members of a fleet, and run until all know who is live.

    Args:
        size: Size of the fleet.
        seed: Seed of the random generator.
        loss: Fraction of the datagrams that are lost.
        equal: Whether to run until all members have equal states as well.
    """
    world = Views(size, seed, loss)
    for number in range(size):
        world.start(number)
    assert world.run(SETTLE_NS, lambda: world.right() and (not equal or world.equal()))
    return world
