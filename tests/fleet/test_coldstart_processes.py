"""Many processes that start at once before a slow list service. See docs/design/coldstart.md."""

from __future__ import annotations

import pytest
from process_helpers import run_valid_scenario

from dykefold.lab.fleet.report import FleetRunResult
from dykefold.lab.fleet.scenario import FaultTable, FleetScenario, FleetTable, ListTable

pytestmark = [pytest.mark.processes, pytest.mark.fleet]

MEMBERS = 12
SERVICE = 14.0  # calls a second, and 3 in wait: all at once are four times too many
SPAN_MOST_S = 4.0  # 0.4 of the time within which the rules want a call
OUTAGE = FaultTable("list", at_s=0, for_s=5)


def played(
    faults: list[FaultTable], span_s: float, view: bool = True, calls: bool = True, **more: float
) -> FleetRunResult:
    fleet = FleetTable(members=MEMBERS, rate=5.0, servers=2, view=view, calls=calls, calls_per_s=10.0, **more)
    lists = ListTable(calls_per_s=SERVICE, waiting_most=3, replaced=0.5)
    scenario = FleetScenario(fleet, lists, faults=faults, span_s=span_s)
    seen = run_valid_scenario(scenario, max_start_lag_s=0.25)
    assert seen.slow_start.peak_capacity_load < 1.0
    return seen


CASES: dict[str, tuple[list[FaultTable], float, dict[str, float]]] = {
    "all at once, with old lists and half of the servers cold": ([], 5.0, {}),
    "seven in ten killed, the service at a quarter": (
        [
            FaultTable("slow-list", at_s=3, for_s=4, share=0.25),
            FaultTable("kill", at_s=3, for_s=1, share=0.7),
        ],
        12.0,
        {},
    ),
    "the service is down at the start": ([OUTAGE], 11.0, {}),
    "the service moves": ([FaultTable("move-list", at_s=4, for_s=1)], 9.0, {}),
    "some restarted again and again": (
        [FaultTable("term", at_s=3, for_s=0.2, of="members:3", times=3)],
        11.0,
        {},
    ),
    "peers are silent": ([FaultTable("loss", at_s=0, for_s=5)], 5.0, {}),
    "one with ten times the traffic": ([], 5.0, {"busy": 10.0}),
    "in the middle of an upgrade": ([FaultTable("upgrade", at_s=0, for_s=0.1, share=0.3)], 7.0, {}),
    "a clock that is 5 s off": (
        [FaultTable("kill", at_s=3, for_s=0.1, of="members:4", clock_s=-5.0)],
        7.0,
        {},
    ),
}


@pytest.mark.parametrize("case", CASES)
def test_polls_are_spread_and_all_members_have_the_list_soon(case: str) -> None:
    faults, span_s, more = CASES[case]
    seen = played(faults, span_s, **more)
    assert len(seen.list_service.list_delays_s) == MEMBERS
    assert max(seen.list_service.list_delays_s) < SPAN_MOST_S
    if OUTAGE in faults:
        assert sum(seen.list_service.calls_by_second) < 8 * MEMBERS  # bounded, over 5 s of failures
    elif not any(fault.kind in ("slow-list", "move-list") for fault in faults):
        assert seen.list_service.rejected_calls <= 0.05 * sum(seen.list_service.calls_by_second)
    served = sum(seen.load.served_by_second) / sum(seen.load.requests_by_second)
    assert served > (0.9 if case == "in the middle of an upgrade" else 0.7)  # nobody is away then


def test_polls_that_are_not_spread_are_rejected() -> None:
    """What the cases above are measured against: red if the rig had room for all at once."""
    seen = played([], 5.0, view=False, calls=False)
    assert seen.list_service.rejected_calls > 0.1 * sum(seen.list_service.calls_by_second)
    alone = played([], 5.0, view=False)
    assert alone.list_service.rejected_calls <= 0.05 * sum(alone.list_service.calls_by_second)
