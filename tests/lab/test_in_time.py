"""What the machine's lateness made void is played again, a bounded number of times, and then fails."""

import pytest
from process_helpers import PLAYS_MOST, in_time


@pytest.mark.parametrize("late", range(PLAYS_MOST + 1))
def test_void_play_is_repeated_and_never_passes(late):
    plays = []

    def play_once():
        plays.append(len(plays))
        return plays[-1], f"late {plays[-1]}" if len(plays) <= late else None

    if late < PLAYS_MOST:
        assert in_time(play_once) == late
    else:
        with pytest.raises(pytest.fail.Exception, match=r"late in each of 3 plays: .*late 0.*late 2"):
            in_time(play_once)
    assert len(plays) == min(late + 1, PLAYS_MOST)


def test_what_holds_on_a_late_machine_too_fails_in_the_play_that_shows_it():
    with pytest.raises(pytest.fail.Exception, match="broken"):
        in_time(lambda: pytest.fail("broken", pytrace=False))
