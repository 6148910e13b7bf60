"""The world `view`: sidecars as they are, with a view, datagrams in parts, deaths and restarts."""

from __future__ import annotations

import pytest

from dykefold.fleet import membership as views
from dykefold.fleet.member_state import LIVE
from dykefold.sim.run import play_seed

SEEDS = (1, 2)  # some 90,000 steps each


@pytest.mark.parametrize("seed", SEEDS)
def test_memberships_settle_and_the_rules_hold(seed: int) -> None:
    result = play_seed("view", seed, 8.0)
    assert not result.breaches, result.breaches[:3]
    assert result.counts["served"] > 300


def test_a_view_that_never_asks_those_who_are_gone_is_found(monkeypatch: pytest.MonkeyPatch) -> None:
    def only_live(self: views.Membership, now_ns: int, joining: bool) -> int | None:
        return next(iter(self._some_live(1)), None)

    def pinged(self: views.Membership, now_ns: int) -> None:
        """No word to those that are not counted as live, whatever they are owed."""
        self.out[:] = [(peer, data) for peer, data in self.out if self.table.state(peer) in LIVE]

    tick = views.Membership.tick

    def tick_without(self: views.Membership, now_ns: int) -> int:
        due_ns = tick(self, now_ns)
        pinged(self, now_ns)
        return due_ns

    monkeypatch.setattr(views.Membership, "_partner", only_live)
    monkeypatch.setattr(views.Membership, "tick", tick_without)
    found = [play_seed("view", seed, 8.0).breaches for seed in (1, 2, 3, 4)]
    assert any(breach.rule == "views" for breaches in found for breach in breaches)
