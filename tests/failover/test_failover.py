"""Evidence, verdicts and plans: tables of who sees what, and every order of a few verdicts."""

from __future__ import annotations

from itertools import product

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dykefold.failover.health_samples import HALF_LIFE_NS, AttemptResult, HealthSample, HealthSampler
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
from dykefold.failover.zone_health import ZoneHealth, ZonePair, assess
from dykefold.fleet.rate_limits import SECOND

GOOD, GONE = HealthSample(20.0), HealthSample(20.0, ejected=0.95)
ZONES = ZoneFacts({0: 4, 1: 4, 2: 4}, {})
Health = ZoneHealth


def seen(lost: dict[tuple[int, int], float], said_by: int = 5) -> dict[tuple[int, int], list[HealthSample]]:
    """What the sidecars of three zones see of each other's: nothing lost but this."""
    pairs = product(range(3), range(3))
    return {ZonePair(*pair): [HealthSample(20.0, ejected=lost.get(pair, 0.0))] * said_by for pair in pairs}


MEMBERS = dict.fromkeys(range(3), 10)


@pytest.mark.parametrize(
    ("lost", "told"),
    [
        ({}, {}),
        (
            {(0, 0): 0.9, (1, 0): 0.9, (2, 0): 1.0},
            {(0, 0): Health.DOWN, (1, 0): Health.DOWN, (2, 0): Health.DOWN},
        ),
        (
            {(0, 1): 0.9, (1, 0): 0.9},
            {(0, 1): Health.UNREACHABLE, (1, 0): Health.UNREACHABLE},
        ),  # both healthy, the path is cut
        ({(0, 0): 0.9}, {(0, 0): Health.UNREACHABLE}),  # its own sidecars alone can't reach it
        (
            {(0, 0): 0.5, (1, 0): 0.5, (2, 0): 0.5},
            {(0, 0): Health.DEGRADED, (1, 0): Health.DEGRADED, (2, 0): Health.DEGRADED},
        ),
        (
            {(0, 0): 0.9, (1, 0): 0.5, (2, 0): 0.9},
            {(0, 0): Health.DEGRADED, (1, 0): Health.DEGRADED, (2, 0): Health.DEGRADED},
        ),
    ],
)
def test_who_sees_what_tells_what_is_down_and_what_is_cut(lost, told) -> None:
    verdicts = assess(seen(lost), MEMBERS)
    assert {pair: verdict for pair, verdict in verdicts.items() if verdict is not Health.HEALTHY} == told


def test_a_verdict_wants_several_who_look_and_one_that_reports_nonsense_makes_none() -> None:
    assert assess({ZonePair(0, 0): [GONE] * 2}, MEMBERS) == {}
    assert assess({ZonePair(0, 0): [GONE] * 2}, {0: 2}) == {(0, 0): Health.DOWN}  # there are no more
    assert (
        assess({ZonePair(0, 0): [HealthSample(1.0, ejected=1.0)] * 9}, MEMBERS) == {}
    )  # too little to go by
    assert assess({ZonePair(0, 0): [GOOD, GOOD, GONE, GONE, GOOD]}, MEMBERS) == {(0, 0): Health.HEALTHY}
    crowded = assess(
        {
            ZonePair(0, 0): [HealthSample(9.0, rejected=0.8)] * 3,
            ZonePair(0, 1): [HealthSample(9.0, late=0.8)] * 3,
        },
        MEMBERS,
    )
    assert crowded == {(0, 0): Health.OVERLOADED, (0, 1): Health.SLOW}


@given(st.integers(0, (1 << 32) - 1))
def test_any_value_is_a_sight_and_a_sight_comes_through(value: int) -> None:
    sight = HealthSample.decode(value)
    assert 0.0 <= sight.late + max(sight.rejected, sight.ejected) <= 1.0 + 1e-9
    assert HealthSample.decode(sight.encode()).encode() == sight.encode()


def test_evidence_goes_by_servers_that_are_given_up_on_and_by_attempts_that_fade() -> None:
    evidence = HealthSampler()
    for zone in range(100):
        evidence.record(0, zone, AttemptResult.REJECTED)
    assert len(evidence.counts) <= 31
    for _ in range(40):
        evidence.record(0, 1, AttemptResult.IN_TIME)
    assert evidence.samples(0, {1: (3, 0)})[1].rejected < 0.05
    for _ in range(40):
        evidence.record(6 * HALF_LIFE_NS, 1, AttemptResult.LATE)
    seen = evidence.samples(6 * HALF_LIFE_NS, {1: (3, 3), 2: (3, 0), 3: (2, 1), 4: (0, 0)})
    assert seen[1].late > 0.9
    assert seen[1].ejected == 1.0  # whatever was answered a moment ago
    assert 2 not in seen  # nothing was sent there for long
    assert seen[3] == HealthSample(
        2.0 + seen[3].weight % 1, rejected=seen[3].rejected, ejected=0.5
    )  # nor here, but it is known why


class Walk(TrafficPlan):
    """A course of zone 0 with a clock."""

    def __init__(self) -> None:
        super().__init__(0, 0)
        self.now_ns = 0

    def walk(
        self, verdicts: list[ZoneHealth | None], each_ns: int, zones: ZoneFacts = ZONES
    ) -> list[PlanState]:
        """Give it a verdict on its home for so long each; None: nobody is heard."""
        found = []
        for verdict in verdicts:
            for _ in range(4):
                self.now_ns += each_ns // 4
                told = {ZonePair(0, 0): verdict} if verdict is not None else {}
                self.step(self.now_ns, PlanInputs(told, zones, verdict is not None, members=10))
            found.append(self.state)
        return found


def test_a_zone_that_is_down_is_left_soon_and_the_way_back_goes_in_steps() -> None:
    course = Walk()
    assert course.walk([Health.DOWN], 2 * CONFIRM_NS) == [PlanState.AWAY]
    assert course.away_fraction == 1.0 - CANARY_FRACTION
    assert course.destinations == {1: 0.5, 2: 0.5}
    parts = []
    for _ in range(12):
        course.walk([Health.HEALTHY], STEP_NS)
        parts.append(course.away_fraction)
    assert sorted(parts, reverse=True) == parts
    assert parts[-1] == 0.0
    assert len(set(parts)) >= 4  # not at once
    assert course.state is PlanState.HOME


def test_evidence_of_an_earlier_moment_does_not_count_for_a_later_one() -> None:
    course = Walk()
    course.walk([Health.DOWN], CONFIRM_NS // 2)
    course.rest()
    course.now_ns += 60 * SECOND
    course.walk([Health.DOWN], CONFIRM_NS // 2)
    assert course.state is PlanState.HOME
    course.walk([Health.DOWN], CONFIRM_NS)
    assert course.state is PlanState.AWAY


def test_a_way_back_that_goes_badly_is_undone_at_once_and_a_zone_that_flaps_is_left_alone_for_longer() -> (
    None
):
    course = Walk()
    course.walk([Health.DOWN], 2 * CONFIRM_NS)
    course.walk([Health.HEALTHY], 2 * RETURN_NS)
    assert course.state is PlanState.RETURNING
    course.walk([Health.DOWN], 4)
    assert course.state is PlanState.AWAY
    assert course.return_ns == 2 * RETURN_NS
    flapping = Walk()
    flapping.walk([Health.DOWN, Health.HEALTHY] * 15, 2 * SECOND)  # a minute of it
    assert flapping.recent_moves <= 6


@pytest.mark.parametrize(
    "verdict", [Health.UNCLEAR, Health.HEALTHY, Health.SLOW, Health.OVERLOADED, Health.DEGRADED]
)
def test_nobody_moves_without_cause(verdict: ZoneHealth) -> None:
    course = Walk()
    assert set(course.walk([verdict] * 20, SECOND)) == {PlanState.HOME}
    assert [course.zone_of(place / 10) for place in range(10)] == [0] * 10


def test_every_order_of_verdicts_keeps_what_a_plan_promises() -> None:
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
        course = Walk()
        bad = False
        for verdict, where in zip(order, course.walk(list(order), SECOND), strict=True):
            bad = bad or verdict in (Health.DOWN, Health.UNREACHABLE)
            assert where is PlanState.HOME or bad
            assert verdict is not None or where is PlanState.HOME  # alone, as if there were no plan
        assert 0.0 <= course.away_fraction <= 1.0 - CANARY_FRACTION
        assert course.recent_moves <= sum(verdict in (Health.DOWN, Health.UNREACHABLE) for verdict in order)
        # And it comes home when home is fine for long.
        course.walk([Health.HEALTHY], 90 * SECOND)
        course.walk([Health.HEALTHY] * 20, 2 * STEP_NS)
        assert course.state is PlanState.HOME


def test_where_to_go_is_the_own_region_first_by_servers_and_never_what_is_not_fit() -> None:
    zones = ZoneFacts({0: 4, 1: 6, 2: 2, 3: 9}, {0: "x", 1: "x", 2: "x", 3: "y"})
    assert destinations(0, zones, {}) == {1: 0.75, 2: 0.25}
    assert destinations(0, zones, {(0, 1): Health.UNREACHABLE}) == {2: 1.0}
    assert destinations(0, zones, {(0, 1): Health.UNREACHABLE, (2, 2): Health.OVERLOADED}) == {3: 1.0}
    assert destinations(0, ZoneFacts({0: 4, 1: 0}, {}), {}) == {}
    assert destinations(0, ZoneFacts({0: 4, 1: 4}, {}, frozenset({1})), {}) == {}
    assert destinations(0, ZoneFacts({0: 4, 1: 4, 2: 4}, {}, abandoned=frozenset({1})), {}) == {2: 1.0}


def test_an_evacuation_by_hand_takes_all_and_holds_during_a_real_failure() -> None:
    course = Walk()
    out = ZoneFacts({0: 4, 1: 4, 2: 4}, {}, frozenset({0}))
    course.walk([Health.HEALTHY], 4, out)
    assert (course.state, course.away_fraction) == (PlanState.AWAY, 1.0)
    course.walk([Health.DOWN, Health.HEALTHY, Health.HEALTHY], 9 * SECOND, out)
    assert course.away_fraction == 1.0
    course.walk([Health.HEALTHY] * 20, 2 * STEP_NS)
    assert course.state is PlanState.HOME


def test_one_that_dissents_for_long_takes_what_the_middle_of_those_who_tell_holds() -> None:
    for own, held, then in (
        (0, [1, 1, 1, 1, 0], 1),
        (2, [0, 0, 0, 2, 2], 0),
        (1, [3, 3, 3, 3, 1], 3),
        (1, [1, 0], 0),
    ):
        course = Walk()
        course.level = own
        for at_ns in range(0, DISSENT_NS, SECOND):
            course.step(at_ns, PlanInputs({}, ZONES, True, 10, held))
            assert course.level == own
        course.step(DISSENT_NS, PlanInputs({}, ZONES, True, 10, held))
        assert course.level == then


def test_a_zone_with_no_servers_is_left_and_not_returned_to_before_they_answer() -> None:
    course = Walk()
    none = ZoneFacts({1: 4, 2: 4}, {})
    course.walk([Health.UNCLEAR], 2 * SECOND, none)
    assert course.state is PlanState.AWAY
    course.walk([Health.UNCLEAR], 9 * SECOND)
    assert course.state is PlanState.AWAY
    course.walk([Health.HEALTHY], 2 * RETURN_NS)
    assert course.state is PlanState.RETURNING


@given(st.sets(st.integers(0, 400), min_size=1, max_size=80), st.floats(0.0, 0.875))
def test_the_part_that_is_away_and_where_is_as_planned(members: set[int], part: float) -> None:
    course = Walk()
    course.level, course.away_fraction, course.destinations = 1, part, {1: 0.25, 2: 0.75}
    homes = [course.zone_of(place / len(members)) for place in range(len(staying_order(0, sorted(members))))]
    away = sum(home != 0 for home in homes)
    assert abs(away - part * len(members)) <= 1.0
    assert abs(homes.count(1) - 0.25 * part * len(members)) <= 2.0
