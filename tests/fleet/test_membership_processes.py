"""Membership of several processes under faults. See the hard cases of docs/design/view.md."""

from __future__ import annotations

import pytest
from process_helpers import run_valid_scenario

from dykefold.fleet.rate_limits import RateLimits
from dykefold.lab.fleet.membership_samples import MembershipSample, samples_svg
from dykefold.lab.fleet.report import FleetRunResult
from dykefold.lab.fleet.scenario import FaultTable, FleetScenario, FleetTable

pytestmark = [pytest.mark.processes, pytest.mark.fleet]

MEMBERS = 7  # zones of different sizes


def run_faults(faults: list[FaultTable], span_s: float) -> FleetRunResult:
    fleet = FleetTable(members=MEMBERS, rate=6.0, servers=2, view=True)
    return run_valid_scenario(FleetScenario(fleet, faults=faults, span_s=span_s))


CASES = {
    "rolling restart of all members": ([FaultTable("term", at_s=1, for_s=0.1, steps=3)], 11.0),
    "partition in two, restarts on both sides": (
        [
            FaultTable("cut", at_s=0.5, for_s=6, of="zone:a"),
            FaultTable("kill", at_s=2, for_s=0.2, of="members:0"),
            FaultTable("kill", at_s=3, for_s=0.2, of="members:1"),
        ],
        10.0,
    ),
    "partition in three": (
        [
            FaultTable("cut", at_s=0.5, for_s=6, of="zone:a"),
            FaultTable("cut", at_s=0.5, for_s=6, of="zone:b"),
        ],
        10.0,
    ),
    "one-way partition": (
        [FaultTable("cut", at_s=0.5, for_s=5, of="zone:a", to="zone:b", one_way=True)],
        8.0,
    ),
    "members paused for 3 s": ([FaultTable("stop", at_s=0.5, for_s=3, of="members:1", times=2)], 14.0),
    "70 % killed together": ([FaultTable("kill", at_s=1, for_s=0.5, share=0.7)], 5.0),
    "clock set back by 10 s": ([FaultTable("kill", at_s=1, for_s=0.1, of="members:2", clock_s=-10.0)], 4.0),
    "hot restart": ([FaultTable("upgrade", at_s=1, for_s=0.1, share=0.4)], 7.0),
    "datagram flood": ([FaultTable("flood", at_s=1, for_s=4, of="members:3")], 6.0),
    "datagrams lost, duplicated and corrupted": (
        [FaultTable(kind, at_s=0, for_s=5, share=0.3) for kind in ("loss", "double", "spoil")],
        7.0,
    ),
}


@pytest.mark.parametrize("case", CASES)
def test_membership_converges_after_fault(case: str) -> None:
    faults, span_s = CASES[case]
    result = run_faults(list(faults), span_s)
    assert result.membership.settled_s is not None, result.membership.samples[-1]
    assert result.membership.settled_s <= RateLimits().settled_ns(MEMBERS) / 1e9
    if case in (
        "one-way partition",
        "datagram flood",
        "members paused for 3 s",
        "datagrams lost, duplicated and corrupted",
        "clock set back by 10 s",
    ):
        # No member was ever declared GONE: a pause of 3 s is shorter than a suspicion.
        min_live = min(
            len(live)
            for sample in result.membership.samples
            for live in sample.live.values()
            if sample.at_s > 1
        )
        assert min_live == MEMBERS
    if case.startswith("partition in"):
        assert any(
            len(live) < MEMBERS for sample in result.membership.samples for live in sample.live.values()
        )


def test_membership_samples_detect_and_plot_wrong_members() -> None:
    both = frozenset({0, 1})
    samples = [
        MembershipSample(0.0, both, {0: both, 1: frozenset({1})}),
        MembershipSample(0.5, both, {0: both}),
        MembershipSample(1.0, frozenset({1}), {1: both}),
    ]
    assert [sample.matches for sample in samples] == [False] * 3
    assert [sample.wrong_members(0) for sample in samples] == [0, 0, None]
    assert MembershipSample(0.0, both, {0: both, 1: both}).matches
    svg = samples_svg(samples, 2, [(0.1, 0.4, "cut")])
    assert svg.startswith("<svg")
    assert svg.count("<rect") == 7
    assert "#b0b0b0" in svg  # color of a member that did not answer
