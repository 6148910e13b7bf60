"""Plans of a zone through every order of a few observations."""

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


class Walk(TrafficPlan):
    """A plan of zone 0 with a clock."""

    def __init__(self) -> None:
        super().__init__(0, 0)
        self.now_ns = 0

    def walk(
        self, observations: list[ZoneHealth | None], each_ns: int, zones: ZoneFacts = ZONES
    ) -> list[PlanState]:
        """Let its home have each health for so long; None: nobody is heard."""
        found = []
        for health in observations:
            for _ in range(4):
                self.now_ns += each_ns // 4
                seen = {ZonePair(0, 0): health} if health is not None else {}
                self.step(self.now_ns, PlanInputs(seen, zones, health is not None, members=10))
            found.append(self.state)
        return found


def test_a_zone_that_is_down_is_left_soon_and_returned_to_in_steps() -> None:
    plan = Walk()
    assert plan.walk([Health.DOWN], 2 * CONFIRM_NS) == [PlanState.AWAY]
    assert plan.away_fraction == 1.0 - CANARY_FRACTION
    assert plan.destinations == {1: 0.5, 2: 0.5}
    parts = []
    for _ in range(12):
        plan.walk([Health.HEALTHY], STEP_NS)
        parts.append(plan.away_fraction)
    assert sorted(parts, reverse=True) == parts
    assert parts[-1] == 0.0
    assert len(set(parts)) >= 4  # not at once
    assert plan.state is PlanState.HOME


def test_an_earlier_failure_does_not_count_for_a_later_one() -> None:
    plan = Walk()
    plan.walk([Health.DOWN], CONFIRM_NS // 2)
    plan.reset_condition_times()
    plan.now_ns += 60 * NS_PER_S
    plan.walk([Health.DOWN], CONFIRM_NS // 2)
    assert plan.state is PlanState.HOME
    plan.walk([Health.DOWN], CONFIRM_NS)
    assert plan.state is PlanState.AWAY


def test_a_failed_return_is_undone_at_once_and_flapping_delays_the_next() -> None:
    plan = Walk()
    plan.walk([Health.DOWN], 2 * CONFIRM_NS)
    plan.walk([Health.HEALTHY], 2 * RETURN_NS)
    assert plan.state is PlanState.RETURNING
    plan.walk([Health.DOWN], 4)
    assert plan.state is PlanState.AWAY
    assert plan.return_ns == 2 * RETURN_NS
    flapping = Walk()
    flapping.walk([Health.DOWN, Health.HEALTHY] * 15, 2 * NS_PER_S)  # a minute of it
    assert flapping.recent_moves <= 6


@pytest.mark.parametrize(
    "health", [Health.UNCLEAR, Health.HEALTHY, Health.SLOW, Health.OVERLOADED, Health.DEGRADED]
)
def test_nobody_moves_without_cause(health: ZoneHealth) -> None:
    plan = Walk()
    assert set(plan.walk([health] * 20, NS_PER_S)) == {PlanState.HOME}
    assert [plan.zone_of(place / 10) for place in range(10)] == [0] * 10


def test_every_order_of_zone_health_keeps_the_invariants_of_a_plan() -> None:
    """All orders of four steps of a second, two faults and what lies between them among them."""
    kinds = [
        Health.UNCLEAR,
        Health.HEALTHY,
        Health.OVERLOADED,
        Health.DEGRADED,
        Health.DOWN,
        Health.UNREACHABLE,
        None,
    ]
    for order in product(kinds, repeat=4):
        plan = Walk()
        bad = False
        for health, where in zip(order, plan.walk(list(order), NS_PER_S), strict=True):
            bad = bad or health in (Health.DOWN, Health.UNREACHABLE)
            assert where is PlanState.HOME or bad
            assert health is not None or where is PlanState.HOME  # alone, as if there were no plan
        assert 0.0 <= plan.away_fraction <= 1.0 - CANARY_FRACTION
        assert plan.recent_moves <= sum(health in (Health.DOWN, Health.UNREACHABLE) for health in order)
        # And it comes home when home is fine for long.
        plan.walk([Health.HEALTHY], 90 * NS_PER_S)
        plan.walk([Health.HEALTHY] * 20, 2 * STEP_NS)
        assert plan.state is PlanState.HOME


def test_destinations_are_fit_zones_of_the_own_region_first_by_endpoints() -> None:
    zones = ZoneFacts({0: 4, 1: 6, 2: 2, 3: 9}, {0: "x", 1: "x", 2: "x", 3: "y"})
    assert destinations(0, zones, {}) == {1: 0.75, 2: 0.25}
    assert destinations(0, zones, {(0, 1): Health.UNREACHABLE}) == {2: 1.0}
    assert destinations(0, zones, {(0, 1): Health.UNREACHABLE, (2, 2): Health.OVERLOADED}) == {3: 1.0}
    assert destinations(0, ZoneFacts({0: 4, 1: 0}, {}), {}) == {}
    assert destinations(0, ZoneFacts({0: 4, 1: 4}, {}, frozenset({1})), {}) == {}
    assert destinations(0, ZoneFacts({0: 4, 1: 4, 2: 4}, {}, abandoned=frozenset({1})), {}) == {2: 1.0}


def test_an_evacuation_moves_all_and_holds_during_a_failure() -> None:
    plan = Walk()
    out = ZoneFacts({0: 4, 1: 4, 2: 4}, {}, frozenset({0}))
    plan.walk([Health.HEALTHY], 4, out)
    assert (plan.state, plan.away_fraction) == (PlanState.AWAY, 1.0)
    plan.walk([Health.DOWN, Health.HEALTHY, Health.HEALTHY], 9 * NS_PER_S, out)
    assert plan.away_fraction == 1.0
    plan.walk([Health.HEALTHY] * 20, 2 * STEP_NS)
    assert plan.state is PlanState.HOME


def test_a_plan_that_dissents_for_long_takes_the_median_level() -> None:
    for own, held, then in (
        (0, [1, 1, 1, 1, 0], 1),
        (2, [0, 0, 0, 2, 2], 0),
        (1, [3, 3, 3, 3, 1], 3),
        (1, [1, 0], 0),
    ):
        plan = Walk()
        plan.level = own
        for at_ns in range(0, DISSENT_NS, NS_PER_S):
            plan.step(at_ns, PlanInputs({}, ZONES, True, 10, held))
            assert plan.level == own
        plan.step(DISSENT_NS, PlanInputs({}, ZONES, True, 10, held))
        assert plan.level == then


def test_a_zone_without_endpoints_is_left_until_they_answer() -> None:
    plan = Walk()
    none = ZoneFacts({1: 4, 2: 4}, {})
    plan.walk([Health.UNCLEAR], 2 * NS_PER_S, none)
    assert plan.state is PlanState.AWAY
    plan.walk([Health.UNCLEAR], 9 * NS_PER_S)
    assert plan.state is PlanState.AWAY
    plan.walk([Health.HEALTHY], 2 * RETURN_NS)
    assert plan.state is PlanState.RETURNING


@given(st.sets(st.integers(0, 400), min_size=1, max_size=80), st.floats(0.0, 0.875))
def test_sidecars_are_distributed_as_planned(members: set[int], part: float) -> None:
    plan = Walk()
    plan.level, plan.away_fraction, plan.destinations = 1, part, {1: 0.25, 2: 0.75}
    homes = [plan.zone_of(place / len(members)) for place in range(len(staying_order(0, sorted(members))))]
    away = sum(home != 0 for home in homes)
    assert abs(away - part * len(members)) <= 1.0
    assert abs(homes.count(1) - 0.25 * part * len(members)) <= 2.0
