"""Reservations of pools, compared with a simple model."""

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dykefold.routing.reservations import NO_RESERVATIONS, PoolReservations, ReservationLimits

POOLS = st.sampled_from("abc")


class ReservationsMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.reservations = PoolReservations(0)
        self.reserved = dict.fromkeys("abc", 0)

    @rule(
        total=st.integers(0, 12),
        limits=st.dictionaries(POOLS, st.tuples(st.integers(0, 4), st.integers(0, 8)), max_size=3),
    )
    def resize(self, total, limits):
        new_limits = {
            pool: ReservationLimits(minimum, max(minimum, maximum))
            for pool, (minimum, maximum) in limits.items()
        }
        if sum(pool_limits.min for pool_limits in new_limits.values()) > total:
            old_limits = dict(self.reservations.limits)
            with pytest.raises(ValueError, match="minima"):
                self.reservations.resize(total, new_limits)
            assert self.reservations.limits == old_limits
        else:
            self.reservations.resize(total, new_limits)

    def _shared(self):
        return sum(
            max(0, self.reserved[pool] - self.reservations.limits.get(pool, NO_RESERVATIONS).min)
            for pool in self.reserved
        )

    @rule(pool=POOLS)
    def reserve(self, pool):
        pool_limits = self.reservations.limits.get(pool, NO_RESERVATIONS)
        remainder = self.reservations.total - sum(other.min for other in self.reservations.limits.values())
        allowed = self.reserved[pool] < pool_limits.min or (
            self.reserved[pool] < pool_limits.max and self._shared() < remainder
        )
        assert self.reservations.reserve(pool) == allowed
        self.reserved[pool] += allowed

    @rule(pool=POOLS)
    def release(self, pool):
        if self.reserved[pool]:
            self.reservations.release(pool)
            self.reserved[pool] -= 1

    @invariant()
    def counts_agree(self):
        assert self.reservations.shared == self._shared()
        assert {p: n for p, n in self.reservations.by_pool.items() if n} == {
            p: n for p, n in self.reserved.items() if n
        }


ReservationsMachine.TestCase.settings = hypothesis_settings(
    max_examples=150, stateful_step_count=40, deadline=None
)
TestReservations = ReservationsMachine.TestCase


def test_pool_that_reserves_all_it_can_leaves_others_their_minimum():
    reservations = PoolReservations(10)
    reservations.resize(10, {"a": ReservationLimits(2, 10), "b": ReservationLimits(3, 10)})
    assert sum(reservations.reserve("a") for _ in range(20)) == 7
    assert sum(reservations.reserve("b") for _ in range(20)) == 3
    reservations.release("a")
    assert reservations.reserve("b")
    assert not reservations.reserve("a")
