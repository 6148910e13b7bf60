"""Traffic plan of a zone under sequences of observed zone health."""

from __future__ import annotations

from itertools import product

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dykefold.failover.traffic_plan import (
    CANARY_FRACTION,
    CONFIRM_NS,
    DISSENT_NS,
    RETURN_NS,
    STEP_NS,
    PlanInputs,
    PlanState,
    TrafficPlan,
    ZoneFacts,
    destinations,
    staying_order,
)
from dykefold.failover.zone_health import ZoneHealth, ZonePair
from dykefold.fleet.rate_limits import NS_PER_S

Health = ZoneHealth


ZONES = ZoneFacts({0: 4, 1: 4, 2: 4}, {})


class ClockedPlan(TrafficPlan):
    """Traffic plan of zone 0 with its own clock."""

    def __init__(self) -> None:
        super().__init__(0, 0)
        self.now_ns = 0

    def observe(
        self, observations: list[ZoneHealth | None], each_ns: int, zones: ZoneFacts = ZONES
    ) -> list[PlanState]:
        """Apply each health of the home zone for `each_ns`, in four steps; None is an isolated sidecar."""
        states = []
        for health in observations:
            for _ in range(4):
                self.now_ns += each_ns // 4
                seen = {ZonePair(0, 0): health} if health is not None else {}
                self.step(self.now_ns, PlanInputs(seen, zones, health is not None, members=10))
            states.append(self.state)
        return states


def test_down_zone_is_left_after_confirmation_and_returned_to_in_steps() -> None:
    plan = ClockedPlan()
    assert plan.observe([Health.DOWN], 2 * CONFIRM_NS) == [PlanState.AWAY]
    assert plan.away_fraction == 1.0 - CANARY_FRACTION
    assert plan.destinations == {1: 0.5, 2: 0.5}
    away_fractions = []
    for _ in range(12):
        plan.observe([Health.HEALTHY], STEP_NS)
        away_fractions.append(plan.away_fraction)
    assert sorted(away_fractions, reverse=True) == away_fractions
    assert away_fractions[-1] == 0.0
    assert len(set(away_fractions)) >= 4  # Several steps.
    assert plan.state is PlanState.HOME


def test_earlier_failure_does_not_shorten_confirmation_of_later_one() -> None:
    plan = ClockedPlan()
    plan.observe([Health.DOWN], CONFIRM_NS // 2)
    plan.reset_condition_times()
    plan.now_ns += 60 * NS_PER_S
    plan.observe([Health.DOWN], CONFIRM_NS // 2)
    assert plan.state is PlanState.HOME
    plan.observe([Health.DOWN], CONFIRM_NS)
    assert plan.state is PlanState.AWAY


def test_failed_return_is_reverted_at_once_and_flapping_delays_next_return() -> None:
    plan = ClockedPlan()
    plan.observe([Health.DOWN], 2 * CONFIRM_NS)
    plan.observe([Health.HEALTHY], 2 * RETURN_NS)
    assert plan.state is PlanState.RETURNING
    plan.observe([Health.DOWN], 4)
    assert plan.state is PlanState.AWAY
    assert plan.return_ns == 2 * RETURN_NS
    flapping = ClockedPlan()
    flapping.observe([Health.DOWN, Health.HEALTHY] * 15, 2 * NS_PER_S)  # One minute.
    assert flapping.recent_moves <= 6


@pytest.mark.parametrize(
    "health", [Health.UNCLEAR, Health.HEALTHY, Health.SLOW, Health.OVERLOADED, Health.DEGRADED]
)
def test_zone_that_is_not_down_moves_no_sidecar(health: ZoneHealth) -> None:
    plan = ClockedPlan()
    assert set(plan.observe([health] * 20, NS_PER_S)) == {PlanState.HOME}
    assert [plan.zone_of(position / 10) for position in range(10)] == [0] * 10


def test_plan_invariants_hold_for_every_order_of_zone_health() -> None:
    """Check every sequence of four observations of one second each, failures and recoveries in any order."""
    observations = [
        Health.UNCLEAR,
        Health.HEALTHY,
        Health.OVERLOADED,
        Health.DEGRADED,
        Health.DOWN,
        Health.UNREACHABLE,
        None,
    ]
    for order in product(observations, repeat=4):
        plan = ClockedPlan()
        failed = False
        for health, state in zip(order, plan.observe(list(order), NS_PER_S), strict=True):
            failed = failed or health in (Health.DOWN, Health.UNREACHABLE)
            assert state is PlanState.HOME or failed
            assert health is not None or state is PlanState.HOME  # An isolated sidecar works at home.
        assert 0.0 <= plan.away_fraction <= 1.0 - CANARY_FRACTION
        assert plan.recent_moves <= sum(health in (Health.DOWN, Health.UNREACHABLE) for health in order)
        # The plan returns home after home has been healthy for long.
        plan.observe([Health.HEALTHY], 90 * NS_PER_S)
        plan.observe([Health.HEALTHY] * 20, 2 * STEP_NS)
        assert plan.state is PlanState.HOME


def test_destinations_prefer_eligible_zones_of_own_region_in_proportion_to_endpoints() -> None:
    zones = ZoneFacts({0: 4, 1: 6, 2: 2, 3: 9}, {0: "x", 1: "x", 2: "x", 3: "y"})
    assert destinations(0, zones, {}) == {1: 0.75, 2: 0.25}
    assert destinations(0, zones, {(0, 1): Health.UNREACHABLE}) == {2: 1.0}
    assert destinations(0, zones, {(0, 1): Health.UNREACHABLE, (2, 2): Health.OVERLOADED}) == {3: 1.0}
    assert destinations(0, ZoneFacts({0: 4, 1: 0}, {}), {}) == {}
    assert destinations(0, ZoneFacts({0: 4, 1: 4}, {}, frozenset({1})), {}) == {}
    assert destinations(0, ZoneFacts({0: 4, 1: 4, 2: 4}, {}, abandoned=frozenset({1})), {}) == {2: 1.0}


def test_evacuation_moves_all_sidecars_and_outlasts_failure() -> None:
    plan = ClockedPlan()
    evacuated = ZoneFacts({0: 4, 1: 4, 2: 4}, {}, frozenset({0}))
    plan.observe([Health.HEALTHY], 4, evacuated)
    assert (plan.state, plan.away_fraction) == (PlanState.AWAY, 1.0)
    plan.observe([Health.DOWN, Health.HEALTHY, Health.HEALTHY], 9 * NS_PER_S, evacuated)
    assert plan.away_fraction == 1.0
    plan.observe([Health.HEALTHY] * 20, 2 * STEP_NS)
    assert plan.state is PlanState.HOME


def test_dissenting_plan_adopts_median_level_after_delay() -> None:
    for own_level, reported_levels, expected_level in (
        (0, [1, 1, 1, 1, 0], 1),
        (2, [0, 0, 0, 2, 2], 0),
        (1, [3, 3, 3, 3, 1], 3),
        (1, [1, 0], 0),
    ):
        plan = ClockedPlan()
        plan.level = own_level
        for at_ns in range(0, DISSENT_NS, NS_PER_S):
            plan.step(at_ns, PlanInputs({}, ZONES, True, 10, reported_levels))
            assert plan.level == own_level
        plan.step(DISSENT_NS, PlanInputs({}, ZONES, True, 10, reported_levels))
        assert plan.level == expected_level


def test_zone_without_endpoints_is_left_until_its_endpoints_respond() -> None:
    plan = ClockedPlan()
    no_endpoints = ZoneFacts({1: 4, 2: 4}, {})
    plan.observe([Health.UNCLEAR], 2 * NS_PER_S, no_endpoints)
    assert plan.state is PlanState.AWAY
    plan.observe([Health.UNCLEAR], 9 * NS_PER_S)
    assert plan.state is PlanState.AWAY
    plan.observe([Health.HEALTHY], 2 * RETURN_NS)
    assert plan.state is PlanState.RETURNING


@given(st.sets(st.integers(0, 400), min_size=1, max_size=80), st.floats(0.0, 0.875))
def test_sidecars_are_distributed_by_planned_fractions(members: set[int], fraction: float) -> None:
    plan = ClockedPlan()
    plan.level, plan.away_fraction, plan.destinations = 1, fraction, {1: 0.25, 2: 0.75}
    working_zones = [
        plan.zone_of(position / len(members)) for position in range(len(staying_order(0, sorted(members))))
    ]
    away = sum(zone != 0 for zone in working_zones)
    assert abs(away - fraction * len(members)) <= 1.0
    assert abs(working_zones.count(1) - 0.25 * fraction * len(members)) <= 2.0
