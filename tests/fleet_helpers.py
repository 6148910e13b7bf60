"""Simulated fleets and a manual clock for the tests of membership and failover."""

from __future__ import annotations

from dykefold.fleet.rate_limits import NS_PER_S
from dykefold.sim.views import SimulatedFleet

MAX_CONVERGENCE_NS = 20 * NS_PER_S


class ManualClock:
    """A monotonic clock that the test sets."""

    def __init__(self, now_ns: int = NS_PER_S) -> None:
        self.now_ns = now_ns

    def monotonic_ns(self) -> int:
        return self.now_ns


def converged_fleet(
    size: int, seed: int = 1, loss_fraction: float = 0.0, equal_states: bool = False
) -> SimulatedFleet:
    """Start all members of a simulated fleet, and run it until their membership views have converged.

    Args:
        size: Number of members.
        seed: Seed of the random generator.
        loss_fraction: Fraction of the datagrams that are lost.
        equal_states: Whether to run until the states of all members are equal as well.
    """
    fleet = SimulatedFleet(size, seed, loss_fraction)
    for member_index in range(size):
        fleet.start(member_index)
    assert fleet.run(
        MAX_CONVERGENCE_NS, lambda: fleet.has_converged() and (not equal_states or fleet.states_equal())
    )
    return fleet
