"""All orders of gossip, suspicions and faults among a few members; a missing rule must be found."""

from __future__ import annotations

import pytest

from dykefold.fleet.member_state import State
from dykefold.sim import membership
from dykefold.sim.explore import explore


def test_three_members_settle_after_two_faults_in_every_order() -> None:
    result = explore(membership.initial_state(3, 2), membership.transitions, membership.violation)
    assert result.complete
    assert result.violation is None, (result.violation, result.path)
    assert result.states > 10_000


@pytest.mark.parametrize("rule", ["refutation", "conclusion"])
def test_search_finds_missing_rule(rule: str, monkeypatch: pytest.MonkeyPatch) -> None:
    if rule == "refutation":
        monkeypatch.setattr(membership, "refutation", lambda own, claim: None)
    else:
        monkeypatch.setattr(
            membership, "conclude", lambda encoded, after: encoded if after is State.GONE else encoded + 32
        )
    result = explore(membership.initial_state(3, 1), membership.transitions, membership.violation)
    assert result.violation is not None
    assert result.path
