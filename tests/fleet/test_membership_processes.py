"""The view as several processes keep it, with faults between them. See docs/design/view.md, hard cases."""

from __future__ import annotations

import pytest
from process_helpers import run_valid_scenario

from dykefold.fleet.rate_limits import RateLimits
from dykefold.lab.fleet.membership_samples import MembershipSample, samples_svg
from dykefold.lab.fleet.report import FleetRunResult
from dykefold.lab.fleet.scenario import FaultTable, FleetScenario, FleetTable

pytestmark = [pytest.mark.processes, pytest.mark.fleet]

MEMBERS = 7  # not the same number in each zone


def played(faults: list[FaultTable], span_s: float) -> FleetRunResult:
    fleet = FleetTable(members=MEMBERS, rate=6.0, servers=2, view=True)
    return run_valid_scenario(FleetScenario(fleet, faults=faults, span_s=span_s))


CASES = {
    "everybody at once, a tenth at a time": ([FaultTable("term", at_s=1, for_s=0.1, steps=3)], 11.0),
    "split in two, restarts on both sides": (
        [
            FaultTable("cut", at_s=0.5, for_s=6, of="zone:a"),
            FaultTable("kill", at_s=2, for_s=0.2, of="members:0"),
            FaultTable("kill", at_s=3, for_s=0.2, of="members:1"),
        ],
        10.0,
    ),
    "split in three": (
        [
            FaultTable("cut", at_s=0.5, for_s=6, of="zone:a"),
            FaultTable("cut", at_s=0.5, for_s=6, of="zone:b"),
        ],
        10.0,
    ),
    "one way": ([FaultTable("cut", at_s=0.5, for_s=5, of="zone:a", to="zone:b", one_way=True)], 8.0),
    "stopped for 3 s": ([FaultTable("stop", at_s=0.5, for_s=3, of="members:1", times=2)], 14.0),
    "most killed at once": ([FaultTable("kill", at_s=1, for_s=0.5, share=0.7)], 5.0),
    "a clock 10 s back": ([FaultTable("kill", at_s=1, for_s=0.1, of="members:2", clock_s=-10.0)], 4.0),
    "two processes of a member": ([FaultTable("upgrade", at_s=1, for_s=0.1, share=0.4)], 7.0),
    "flood": ([FaultTable("flood", at_s=1, for_s=4, of="members:3")], 6.0),
    "loss, doubles, spoilt": (
        [FaultTable(kind, at_s=0, for_s=5, share=0.3) for kind in ("loss", "double", "spoil")],
        7.0,
    ),
}


@pytest.mark.parametrize("case", CASES)
def test_the_membership_settles_after_each_fault(case: str) -> None:
    faults, span_s = CASES[case]
    seen = played(list(faults), span_s)
    assert seen.membership.settled_s is not None, seen.membership.samples[-1]
    assert seen.membership.settled_s <= RateLimits().settled_ns(MEMBERS) / 1e9
    if case in ("one way", "flood", "stopped for 3 s", "loss, doubles, spoilt", "a clock 10 s back"):
        # Nobody was ever gone for anybody: a stop of 3 s is shorter than a suspicion.
        least = min(
            len(live) for look in seen.membership.samples for live in look.live.values() if look.at_s > 1
        )
        assert least == MEMBERS
    if case.startswith("split"):
        assert any(len(live) < MEMBERS for look in seen.membership.samples for live in look.live.values())


def test_wrong_memberships_are_recognised_and_plotted() -> None:
    both = frozenset({0, 1})
    looks = [
        MembershipSample(0.0, both, {0: both, 1: frozenset({1})}),
        MembershipSample(0.5, both, {0: both}),
        MembershipSample(1.0, frozenset({1}), {1: both}),
    ]
    assert [look.matches for look in looks] == [False] * 3
    assert [look.wrong_members(0) for look in looks] == [0, 0, None]
    assert MembershipSample(0.0, both, {0: both, 1: both}).matches
    drawn = samples_svg(looks, 2, [(0.1, 0.4, "cut")])
    assert drawn.startswith("<svg")
    assert drawn.count("<rect") == 7
    assert "#b0b0b0" in drawn  # one that did not answer
