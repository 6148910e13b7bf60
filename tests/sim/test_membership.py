"""All orders of words, doubts and faults among a few members; what is found when a rule is taken away."""

from __future__ import annotations

import pytest

from dykefold.fleet.member_state import State
from dykefold.sim import membership
from dykefold.sim.explore import explore


def test_three_members_and_two_faults_settle_from_every_order() -> None:
    found = explore(membership.initial_state(3, 2), membership.transitions, membership.violation)
    assert found.complete
    assert found.violation is None, (found.violation, found.path)
    assert found.states > 10_000


@pytest.mark.parametrize("rule", ["refutation", "conclusion"])
def test_the_search_finds_a_rule_that_is_missing(rule: str, monkeypatch: pytest.MonkeyPatch) -> None:
    if rule == "refutation":
        monkeypatch.setattr(membership, "refutation", lambda own, claim: None)
    else:
        monkeypatch.setattr(
            membership, "conclude", lambda said, after: said if after is State.GONE else said + 32
        )
    found = explore(membership.initial_state(3, 1), membership.transitions, membership.violation)
    assert found.violation is not None
    assert found.path
