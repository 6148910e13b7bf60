"""Slow start where sidecars and all endpoints start together, so that no sidecar has seen a response yet.

The model is that of `test_slow_start_budget.py`, but no endpoint is warm: the first endpoint list has the
start time of each.
"""

import pytest
from test_slow_start_budget import START_CAPACITY, WARM_S, Scenario, ScenarioRun

SIDECARS = (1, 2, 5, 30, 200)
ENDPOINTS = 12
FIRST_REQUEST_S = 1.0  # at least one request has to be sent within this time
EARLY_SPAN_S = 4.0
MIN_EARLY_FRACTION = 0.5  # of the endpoints' capacity has to be used within `EARLY_SPAN_S`


def run_scenario(
    sidecars: int, utilization: float = 0.85, seed: int = 1, observed_s: float = 20.0, **overrides
) -> ScenarioRun:
    """Run a scenario in which all endpoints start with the sidecars."""
    scenario = Scenario(
        sidecars,
        ENDPOINTS,
        starting_endpoints=ENDPOINTS,
        utilization=utilization,
        lead_s=0.0,
        observed_s=observed_s,
        **overrides,
    )
    scenario_run = ScenarioRun(scenario, seed)
    scenario_run.run()
    return scenario_run


@pytest.mark.parametrize("utilization", [0.4, 0.85, 1.0])
@pytest.mark.parametrize("sidecars", SIDECARS)
def test_load_stays_within_the_budget(sidecars, utilization):
    assert run_scenario(sidecars, utilization).max_budget_use <= 1.0


@pytest.mark.parametrize("sidecars", SIDECARS)
def test_bursts_from_the_start_stay_within_the_budget(sidecars):
    assert run_scenario(sidecars, burst_fraction=0.5).max_budget_use <= 1.0


@pytest.mark.parametrize("sidecars", SIDECARS)
def test_twice_the_capacity_of_warm_endpoints_stays_within_the_budget(sidecars):
    """Only for the first seconds: later the responses count, and real endpoints cannot serve that many."""
    assert run_scenario(sidecars, utilization=2.0, observed_s=5.0).max_budget_use <= 1.0


@pytest.mark.parametrize("sidecars", SIDECARS)
def test_requests_are_sent_before_the_endpoints_are_warm(sidecars):
    """Guards against slow start that needs a response of its own before it allows a first request."""
    assert run_scenario(sidecars, observed_s=FIRST_REQUEST_S).attempt_count > 0
    early_run = run_scenario(sidecars, observed_s=EARLY_SPAN_S)
    scenario = early_run.scenario
    # In requests, with the capacity at the start.
    initial_capacity = START_CAPACITY * scenario.requests_per_s * ENDPOINTS * EARLY_SPAN_S
    assert early_run.attempt_count >= MIN_EARLY_FRACTION * initial_capacity


@pytest.mark.parametrize(("sidecars", "min_factor"), [(1, 2.0), (2, 2.0), (5, 1.5), (30, 1.0)])
def test_fast_warming_up_endpoint_gets_the_budget_that_other_sidecars_leave(sidecars, min_factor):
    """Most requests stay in their zone; in a large fleet most sidecars with tokens have no request."""
    scenario = Scenario(sidecars, ENDPOINTS)
    scenario_run = ScenarioRun(scenario)
    assert scenario_run.run() <= 1.0
    mean_capacity_fraction = START_CAPACITY + (1.0 - START_CAPACITY) * scenario.observed_s / 2 / WARM_S
    # In requests that the endpoint can serve by the settings.
    mean_capacity = (
        mean_capacity_fraction * scenario.requests_per_s / scenario.utilization * scenario.observed_s
    )
    assert scenario_run.attempt_count >= min_factor * mean_capacity
