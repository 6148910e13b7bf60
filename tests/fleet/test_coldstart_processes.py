"""Poll spread of many processes that start together with a slow discovery service.

See docs/design/coldstart.md.
"""

from __future__ import annotations

import pytest
from process_helpers import run_valid_scenario

from dykefold.lab.fleet.report import FleetRunResult
from dykefold.lab.fleet.scenario import FaultTable, FleetScenario, FleetTable, ListTable

pytestmark = [pytest.mark.processes, pytest.mark.fleet]

MEMBERS = 12
DISCOVERY_CALLS_PER_S = 14.0  # With a queue of 3; a poll of all members at once is four times too many.
MAX_LIST_DELAY_S = 4.0  # 0.4 of the maximum poll interval by the rules.
OUTAGE = FaultTable("list", at_s=0, for_s=5)


def run_coldstart(
    faults: list[FaultTable], span_s: float, view: bool = True, calls: bool = True, **options: float
) -> FleetRunResult:
    fleet = FleetTable(
        members=MEMBERS, rate=5.0, servers=2, view=view, calls=calls, calls_per_s=10.0, **options
    )
    lists = ListTable(calls_per_s=DISCOVERY_CALLS_PER_S, waiting_most=3, replaced=0.5)
    scenario = FleetScenario(fleet, lists, faults=faults, span_s=span_s)
    result = run_valid_scenario(scenario, max_start_lag_s=0.25)
    assert result.slow_start.peak_capacity_load < 1.0
    return result


CASES: dict[str, tuple[list[FaultTable], float, dict[str, float]]] = {
    "simultaneous start, outdated lists, half of endpoints warming up": ([], 5.0, {}),
    "70 % killed, discovery at a quarter of its capacity": (
        [
            FaultTable("slow-list", at_s=3, for_s=4, share=0.25),
            FaultTable("kill", at_s=3, for_s=1, share=0.7),
        ],
        12.0,
        {},
    ),
    "discovery down at start": ([OUTAGE], 11.0, {}),
    "discovery moves": ([FaultTable("move-list", at_s=4, for_s=1)], 9.0, {}),
    "members restarted repeatedly": (
        [FaultTable("term", at_s=3, for_s=0.2, of="members:3", times=3)],
        11.0,
        {},
    ),
    "all peer datagrams lost": ([FaultTable("loss", at_s=0, for_s=5)], 5.0, {}),
    "one member with ten times the traffic": ([], 5.0, {"busy": 10.0}),
    "hot restart during start": ([FaultTable("upgrade", at_s=0, for_s=0.1, share=0.3)], 7.0, {}),
    "clock set back by 5 s": (
        [FaultTable("kill", at_s=3, for_s=0.1, of="members:4", clock_s=-5.0)],
        7.0,
        {},
    ),
}


@pytest.mark.parametrize("case", CASES)
def test_spread_polls_bring_all_members_the_list_in_time(case: str) -> None:
    faults, span_s, options = CASES[case]
    result = run_coldstart(faults, span_s, **options)
    assert len(result.list_service.list_delays_s) == MEMBERS
    assert max(result.list_service.list_delays_s) < MAX_LIST_DELAY_S
    if OUTAGE in faults:
        assert sum(result.list_service.calls_by_second) < 8 * MEMBERS  # bound on the polls in 5 s of failures
    elif not any(fault.kind in ("slow-list", "move-list") for fault in faults):
        assert result.list_service.rejected_calls <= 0.05 * sum(result.list_service.calls_by_second)
    served = sum(result.load.served_by_second) / sum(result.load.requests_by_second)
    assert served > (0.9 if case == "hot restart during start" else 0.7)  # no member is down in a hot restart


def test_discovery_rejects_polls_without_spread() -> None:
    """Guards against cases that pass without the spread, as discovery could answer all polls at once."""
    result = run_coldstart([], 5.0, view=False, calls=False)
    assert result.list_service.rejected_calls > 0.1 * sum(result.list_service.calls_by_second)
    without_membership = run_coldstart([], 5.0, view=False)
    assert without_membership.list_service.rejected_calls <= 0.05 * sum(
        without_membership.list_service.calls_by_second
    )
