"""The world `view`: sidecars with a membership, under partitions of datagrams, kills and restarts."""

from __future__ import annotations

import pytest

from dykefold.fleet.anti_entropy import AntiEntropy
from dykefold.fleet.member_state import LIVE
from dykefold.fleet.protocol import MembershipProtocol
from dykefold.sim.run import play_seed

SEEDS = (1, 2)  # Some 90,000 steps each.


@pytest.mark.parametrize("seed", SEEDS)
def test_memberships_settle_and_the_rules_hold(seed: int) -> None:
    result = play_seed("view", seed, 8.0)
    assert not result.breaches, result.breaches[:3]
    assert result.counts["served"] > 300


def test_membership_that_never_contacts_departed_members_is_detected(monkeypatch: pytest.MonkeyPatch) -> None:
    def choose_live_partner(self: AntiEntropy, joining: bool) -> int | None:
        return next(iter(self.membership.random_live_members(1)), None)

    def drop_datagrams_to_others(self: MembershipProtocol) -> None:
        """Drop datagrams to members that are not counted as live."""
        pending, table = self.outbox.pending, self.membership.table
        pending[:] = [datagram for datagram in pending if table.state(datagram.member) in LIVE]

    tick = MembershipProtocol.tick

    def tick_without(self: MembershipProtocol, now_ns: int) -> int:
        due_ns = tick(self, now_ns)
        drop_datagrams_to_others(self)
        return due_ns

    monkeypatch.setattr(AntiEntropy, "_choose_partner", choose_live_partner)
    monkeypatch.setattr(MembershipProtocol, "tick", tick_without)
    violations_by_seed = [play_seed("view", seed, 8.0).breaches for seed in (1, 2, 3, 4)]
    assert any(breach.rule == "views" for breaches in violations_by_seed for breach in breaches)
