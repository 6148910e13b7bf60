"""Slow start where sidecars and all servers start together, so that no sidecar has seen a response yet.

The model is that of `test_slow_start_budget.py`, but no server is warm: the start time of each is in
the first list.
"""

import pytest
from test_slow_start_budget import START_CAPACITY, WARM_S, Scenario, ScenarioRun

SIDECARS = (1, 2, 5, 30, 200)
SERVERS = 12
FIRST_S = 1.0  # at least one request has to be sent within this time
EARLY_S = 4.0  # the span over which the share `EARLY_PART` of the servers' capacity has to be used
EARLY_PART = 0.5


def played(sidecars: int, used: float = 0.85, seed: int = 1, cold_s: float = 20.0, **more) -> ScenarioRun:
    """Play a day on which all servers start with the sidecars."""
    day = Scenario(sidecars, SERVERS, cold=SERVERS, used=used, warm_up_s=0.0, cold_s=cold_s, **more)
    found = ScenarioRun(day, seed)
    found.play()
    return found


@pytest.mark.parametrize("used", [0.4, 0.85, 1.0])
@pytest.mark.parametrize("sidecars", SIDECARS)
def test_the_sum_stays_within_the_budget(sidecars, used):
    assert played(sidecars, used).most <= 1.0


@pytest.mark.parametrize("sidecars", SIDECARS)
def test_bursts_with_the_start_stay_within_the_budget(sidecars):
    assert played(sidecars, burst=0.5).most <= 1.0


@pytest.mark.parametrize("sidecars", SIDECARS)
def test_twice_the_demand_that_warm_servers_could_serve_stays_within_the_budget(sidecars):
    """For seconds: later the answers count, and real servers don't answer more than they can do."""
    assert played(sidecars, used=2.0, cold_s=5.0).most <= 1.0


@pytest.mark.parametrize("sidecars", SIDECARS)
def test_requests_are_not_all_shed_until_the_servers_are_warm(sidecars):
    """Slow start went by the own answers alone, and without a first request there is no first answer."""
    assert played(sidecars, cold_s=FIRST_S).total > 0
    early = played(sidecars, cold_s=EARLY_S)
    day = early.day
    can_do = START_CAPACITY * day.per_s * SERVERS * EARLY_S  # at the start
    assert early.total >= EARLY_PART * can_do


@pytest.mark.parametrize(("sidecars", "times"), [(1, 2.0), (2, 2.0), (5, 1.5), (30, 1.0)])
def test_a_quick_cold_server_is_given_what_others_leave(sidecars, times):
    """Most requests stay in their zone, and in a crowd most sidecars that have tokens get no request then."""
    day = Scenario(sidecars, SERVERS)
    found = ScenarioRun(day)
    assert found.play() <= 1.0
    middle = START_CAPACITY + (1.0 - START_CAPACITY) * day.cold_s / 2 / WARM_S
    least = middle * day.per_s / day.used * day.cold_s  # requests that it can do by the settings
    assert found.total >= times * least
