"""Shares of pools against a plain count."""

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dykefold.routing.shares import Part, Shares

POOLS = st.sampled_from("abc")


class Machine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.shares = Shares(0)
        self.held = dict.fromkeys("abc", 0)

    @rule(
        whole=st.integers(0, 12),
        parts=st.dictionaries(POOLS, st.tuples(st.integers(0, 4), st.integers(0, 8)), max_size=3),
    )
    def resize(self, whole, parts):
        new = {pool: Part(least, max(least, most)) for pool, (least, most) in parts.items()}
        if sum(part.least for part in new.values()) > whole:
            before = dict(self.shares.parts)
            with pytest.raises(ValueError, match="minima"):
                self.shares.resize(whole, new)
            assert self.shares.parts == before
        else:
            self.shares.resize(whole, new)

    def _beyond(self):
        return sum(
            max(0, self.held[pool] - self.shares.parts.get(pool, Part(0, 0)).least) for pool in self.held
        )

    @rule(pool=POOLS)
    def claim(self, pool):
        part = self.shares.parts.get(pool, Part(0, 0))
        rest = self.shares.whole - sum(other.least for other in self.shares.parts.values())
        may = self.held[pool] < part.least or (self.held[pool] < part.most and self._beyond() < rest)
        assert self.shares.reserve(pool) == may
        self.held[pool] += may

    @rule(pool=POOLS)
    def give_back(self, pool):
        if self.held[pool]:
            self.shares.give_back(pool)
            self.held[pool] -= 1

    @invariant()
    def counts_agree(self):
        assert self.shares.common == self._beyond()
        assert {p: n for p, n in self.shares.claimed.items() if n} == {
            p: n for p, n in self.held.items() if n
        }


Machine.TestCase.settings = hypothesis_settings(max_examples=150, stateful_step_count=40, deadline=None)
TestShares = Machine.TestCase


def test_a_pool_that_takes_all_leaves_the_others_their_minimum():
    shares = Shares(10)
    shares.resize(10, {"a": Part(2, 10), "b": Part(3, 10)})
    assert sum(shares.reserve("a") for _ in range(20)) == 7
    assert sum(shares.reserve("b") for _ in range(20)) == 3
    shares.give_back("a")
    assert shares.reserve("b")
    assert not shares.reserve("a")
