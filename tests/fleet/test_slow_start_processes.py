"""Slow start over the fleet: servers that start are not pushed over, however few or many processes run.

By what the servers counted: N + 2 sqrt(N) + 2 requests of mean work in the span that the settings name (for N
below 30: N + 3 sqrt(N) + 3), N being what the settings allow the server by then; a fall breaks the rule if
over two thirds of it came from processes that were notified of the start.
"""

from __future__ import annotations

import pytest
from process_helpers import run_valid_scenario

from benchmarks.slow_start import MEMBERS, PLAYS, scenario

pytestmark = [pytest.mark.processes, pytest.mark.fleet]

MOST = "all of it"
CASES = [(MOST, members) for members in MEMBERS]
CASES += [(name, members) for name in PLAYS if name != MOST for members in (5, 30)]


@pytest.mark.parametrize(("name", "members"), CASES)
def test_no_server_in_slow_start_is_pushed_over(name: str, members: int) -> None:
    seen = run_valid_scenario(scenario(name, members), allow_lost_when_late=True)
    assert seen.slow_start.worst.calls > 0  # else nothing was looked at
    assert not seen.slow_start.worst_notified.falls, seen.slow_start.worst_notified
