"""A run that a late machine made invalid is repeated a limited number of times; then the test fails.

Without the limit, or with a pass after it, a machine that is always late would hide broken rules.
"""

import pytest
from process_helpers import MAX_RUNS, first_valid_run


@pytest.mark.parametrize("late_runs", range(MAX_RUNS + 1))
def test_invalid_run_is_repeated_and_fails_after_max_runs(late_runs):
    runs = []

    def run_once():
        runs.append(len(runs))
        return runs[-1], f"late {runs[-1]}" if len(runs) <= late_runs else None

    if late_runs < MAX_RUNS:
        assert first_valid_run(run_once) == late_runs
    else:
        with pytest.raises(pytest.fail.Exception, match=r"late in each of 3 runs: .*late 0.*late 2"):
            first_valid_run(run_once)
    assert len(runs) == min(late_runs + 1, MAX_RUNS)


def test_failure_within_a_run_fails_without_another_run():
    with pytest.raises(pytest.fail.Exception, match="broken"):
        first_valid_run(lambda: pytest.fail("broken", pytrace=False))
