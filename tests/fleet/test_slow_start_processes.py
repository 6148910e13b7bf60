"""Slow start across the fleet: starting endpoints are not overloaded, whatever the number of sidecars.

The endpoints count the requests: N + 2 sqrt(N) + 2 requests of mean work are allowed within the window of the
settings (for N below 30: N + 3 sqrt(N) + 3), where N is the number that the settings allow the endpoint by
then. An overload breaks the rule if over two thirds of the requests came from processes that were notified of
the start.
"""

from __future__ import annotations

import pytest
from process_helpers import run_valid_scenario

from benchmarks.slow_start import MEMBERS, PLAYS, scenario

pytestmark = [pytest.mark.processes, pytest.mark.fleet]

FULL_SIZE_SCENARIO = "all of it"
CASES = [(FULL_SIZE_SCENARIO, members) for members in MEMBERS]
CASES += [(name, members) for name in PLAYS if name != FULL_SIZE_SCENARIO for members in (5, 30)]


@pytest.mark.parametrize(("name", "members"), CASES)
def test_endpoint_in_slow_start_is_not_overloaded(name: str, members: int) -> None:
    result = run_valid_scenario(scenario(name, members), allow_lost_when_late=True)
    assert result.slow_start.worst.calls > 0  # otherwise nothing was measured
    assert not result.slow_start.worst_notified.is_overloaded, result.slow_start.worst_notified
