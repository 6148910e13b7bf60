"""What the machine's lateness made void is played again, a bounded number of times, and then fails."""

import pytest
from process_helpers import MAX_RUNS, first_valid_run


@pytest.mark.parametrize("late", range(MAX_RUNS + 1))
def test_void_play_is_repeated_and_never_passes(late):
    plays = []

    def play_once():
        plays.append(len(plays))
        return plays[-1], f"late {plays[-1]}" if len(plays) <= late else None

    if late < MAX_RUNS:
        assert first_valid_run(play_once) == late
    else:
        with pytest.raises(pytest.fail.Exception, match=r"late in each of 3 runs: .*late 0.*late 2"):
            first_valid_run(play_once)
    assert len(plays) == min(late + 1, MAX_RUNS)


def test_what_holds_on_a_late_machine_too_fails_in_the_play_that_shows_it():
    with pytest.raises(pytest.fail.Exception, match="broken"):
        first_valid_run(lambda: pytest.fail("broken", pytrace=False))
