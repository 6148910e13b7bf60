"""Evidence, verdicts and plans: tables of who sees what, and every order of a few verdicts."""

from __future__ import annotations

from itertools import product

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dykefold.failover.health_samples import HALF_NS, Came, Evidence, Sight
from dykefold.failover.traffic_plan import (
    BACK_NS,
    CONFIRM_NS,
    DISSENT_NS,
    SCOUTS,
    STEP_NS,
    Course,
    Where,
    Zones,
    order_of,
    places,
)
from dykefold.failover.zone_health import Verdict, judge
from dykefold.fleet.rate_limits import SECOND

GOOD, GONE = Sight(20.0), Sight(20.0, lost=0.95)
ZONES = Zones({0: 4, 1: 4, 2: 4}, {})
V = Verdict


def seen(lost: dict[tuple[int, int], float], said_by: int = 5) -> dict[tuple[int, int], list[Sight]]:
    """What the sidecars of three zones see of each other's: nothing lost but this."""
    pairs = product(range(3), range(3))
    return {pair: [Sight(20.0, lost=lost.get(pair, 0.0))] * said_by for pair in pairs}


MEMBERS = dict.fromkeys(range(3), 10)


@pytest.mark.parametrize(
    ("lost", "told"),
    [
        ({}, {}),
        ({(0, 0): 0.9, (1, 0): 0.9, (2, 0): 1.0}, {(0, 0): V.DOWN, (1, 0): V.DOWN, (2, 0): V.DOWN}),
        ({(0, 1): 0.9, (1, 0): 0.9}, {(0, 1): V.CUT, (1, 0): V.CUT}),  # both healthy, the path is cut
        ({(0, 0): 0.9}, {(0, 0): V.CUT}),  # its own sidecars alone can't reach it
        ({(0, 0): 0.5, (1, 0): 0.5, (2, 0): 0.5}, {(0, 0): V.PART, (1, 0): V.PART, (2, 0): V.PART}),
        ({(0, 0): 0.9, (1, 0): 0.5, (2, 0): 0.9}, {(0, 0): V.PART, (1, 0): V.PART, (2, 0): V.PART}),
    ],
)
def test_who_sees_what_tells_what_is_down_and_what_is_cut(lost, told) -> None:
    verdicts = judge(seen(lost), MEMBERS)
    assert {pair: verdict for pair, verdict in verdicts.items() if verdict is not V.FINE} == told


def test_a_verdict_wants_several_who_look_and_one_that_reports_nonsense_makes_none() -> None:
    assert judge({(0, 0): [GONE] * 2}, MEMBERS) == {}
    assert judge({(0, 0): [GONE] * 2}, {0: 2}) == {(0, 0): V.DOWN}  # there are no more
    assert judge({(0, 0): [Sight(1.0, lost=1.0)] * 9}, MEMBERS) == {}  # too little to go by
    assert judge({(0, 0): [GOOD, GOOD, GONE, GONE, GOOD]}, MEMBERS) == {(0, 0): V.FINE}
    crowded = judge({(0, 0): [Sight(9.0, full=0.8)] * 3, (0, 1): [Sight(9.0, late=0.8)] * 3}, MEMBERS)
    assert crowded == {(0, 0): V.OVERLOADED, (0, 1): V.SLOW}


@given(st.integers(0, (1 << 32) - 1))
def test_any_value_is_a_sight_and_a_sight_comes_through(value: int) -> None:
    sight = Sight.read(value)
    assert 0.0 <= sight.late + max(sight.full, sight.lost) <= 1.0 + 1e-9
    assert Sight.read(sight.packed()).packed() == sight.packed()


def test_evidence_goes_by_servers_that_are_given_up_on_and_by_attempts_that_fade() -> None:
    evidence = Evidence()
    for zone in range(100):
        evidence.note(0, zone, Came.FULL)
    assert len(evidence.counts) <= 31
    for _ in range(40):
        evidence.note(0, 1, Came.GOOD)
    assert evidence.sights(0, {1: (3, 0)})[1].full < 0.05
    for _ in range(40):
        evidence.note(6 * HALF_NS, 1, Came.LATE)
    seen = evidence.sights(6 * HALF_NS, {1: (3, 3), 2: (3, 0), 3: (2, 1), 4: (0, 0)})
    assert seen[1].late > 0.9
    assert seen[1].lost == 1.0  # whatever was answered a moment ago
    assert 2 not in seen  # nothing was sent there for long
    assert seen[3] == Sight(
        2.0 + seen[3].weight % 1, full=seen[3].full, lost=0.5
    )  # nor here, but it is known why


class Walk(Course):
    """A course of zone 0 with a clock."""

    def __init__(self) -> None:
        super().__init__(0, 0)
        self.now_ns = 0

    def walk(self, verdicts: list[Verdict | None], each_ns: int, zones: Zones = ZONES) -> list[Where]:
        """Give it a verdict on its home for so long each; None: nobody is heard."""
        found = []
        for verdict in verdicts:
            for _ in range(4):
                self.now_ns += each_ns // 4
                told = {(0, 0): verdict} if verdict is not None else {}
                self.step(self.now_ns, told, zones, heard=verdict is not None, members=10)
            found.append(self.where)
        return found


def test_a_zone_that_is_down_is_left_soon_and_the_way_back_goes_in_steps() -> None:
    course = Walk()
    assert course.walk([V.DOWN], 2 * CONFIRM_NS) == [Where.AWAY]
    assert course.part == 1.0 - SCOUTS
    assert course.to == {1: 0.5, 2: 0.5}
    parts = []
    for _ in range(12):
        course.walk([V.FINE], STEP_NS)
        parts.append(course.part)
    assert sorted(parts, reverse=True) == parts
    assert parts[-1] == 0.0
    assert len(set(parts)) >= 4  # not at once
    assert course.where is Where.HOME


def test_evidence_of_an_earlier_moment_does_not_count_for_a_later_one() -> None:
    course = Walk()
    course.walk([V.DOWN], CONFIRM_NS // 2)
    course.rest()
    course.now_ns += 60 * SECOND
    course.walk([V.DOWN], CONFIRM_NS // 2)
    assert course.where is Where.HOME
    course.walk([V.DOWN], CONFIRM_NS)
    assert course.where is Where.AWAY


def test_a_way_back_that_goes_badly_is_undone_at_once_and_a_zone_that_flaps_is_left_alone_for_longer() -> (
    None
):
    course = Walk()
    course.walk([V.DOWN], 2 * CONFIRM_NS)
    course.walk([V.FINE], 2 * BACK_NS)
    assert course.where is Where.RETURNING
    course.walk([V.DOWN], 4)
    assert course.where is Where.AWAY
    assert course.back_ns == 2 * BACK_NS
    flapping = Walk()
    flapping.walk([V.DOWN, V.FINE] * 15, 2 * SECOND)  # a minute of it
    assert flapping.moves <= 6


@pytest.mark.parametrize("verdict", [V.UNCLEAR, V.FINE, V.SLOW, V.OVERLOADED, V.PART])
def test_nobody_moves_without_cause(verdict: Verdict) -> None:
    course = Walk()
    assert set(course.walk([verdict] * 20, SECOND)) == {Where.HOME}
    assert [course.home_of(place / 10) for place in range(10)] == [0] * 10


def test_every_order_of_verdicts_keeps_what_a_plan_promises() -> None:
    """All orders of four steps of a second, two faults and what lies between them among them."""
    kinds = [V.UNCLEAR, V.FINE, V.OVERLOADED, V.PART, V.DOWN, V.CUT, None]
    for order in product(kinds, repeat=4):
        course = Walk()
        bad = False
        for verdict, where in zip(order, course.walk(list(order), SECOND), strict=True):
            bad = bad or verdict in (V.DOWN, V.CUT)
            assert where is Where.HOME or bad
            assert verdict is not None or where is Where.HOME  # alone, as if there were no plan
        assert 0.0 <= course.part <= 1.0 - SCOUTS
        assert course.moves <= sum(verdict in (V.DOWN, V.CUT) for verdict in order)
        # And it comes home when home is fine for long.
        course.walk([V.FINE], 90 * SECOND)
        course.walk([V.FINE] * 20, 2 * STEP_NS)
        assert course.where is Where.HOME


def test_where_to_go_is_the_own_region_first_by_servers_and_never_what_is_not_fit() -> None:
    zones = Zones({0: 4, 1: 6, 2: 2, 3: 9}, {0: "x", 1: "x", 2: "x", 3: "y"})
    assert places(0, zones, {}) == {1: 0.75, 2: 0.25}
    assert places(0, zones, {(0, 1): V.CUT}) == {2: 1.0}
    assert places(0, zones, {(0, 1): V.CUT, (2, 2): V.OVERLOADED}) == {3: 1.0}
    assert places(0, Zones({0: 4, 1: 0}, {}), {}) == {}
    assert places(0, Zones({0: 4, 1: 4}, {}, frozenset({1})), {}) == {}
    assert places(0, Zones({0: 4, 1: 4, 2: 4}, {}, left=frozenset({1})), {}) == {2: 1.0}


def test_an_evacuation_by_hand_takes_all_and_holds_during_a_real_failure() -> None:
    course = Walk()
    out = Zones({0: 4, 1: 4, 2: 4}, {}, frozenset({0}))
    course.walk([V.FINE], 4, out)
    assert (course.where, course.part) == (Where.AWAY, 1.0)
    course.walk([V.DOWN, V.FINE, V.FINE], 9 * SECOND, out)
    assert course.part == 1.0
    course.walk([V.FINE] * 20, 2 * STEP_NS)
    assert course.where is Where.HOME


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
            course.step(at_ns, {}, ZONES, heard=True, members=10, held=held)
            assert course.level == own
        course.step(DISSENT_NS, {}, ZONES, heard=True, members=10, held=held)
        assert course.level == then


def test_a_zone_with_no_servers_is_left_and_not_returned_to_before_they_answer() -> None:
    course = Walk()
    none = Zones({1: 4, 2: 4}, {})
    course.walk([V.UNCLEAR], 2 * SECOND, none)
    assert course.where is Where.AWAY
    course.walk([V.UNCLEAR], 9 * SECOND)
    assert course.where is Where.AWAY
    course.walk([V.FINE], 2 * BACK_NS)
    assert course.where is Where.RETURNING


@given(st.sets(st.integers(0, 400), min_size=1, max_size=80), st.floats(0.0, 0.875))
def test_the_part_that_is_away_and_where_is_as_planned(members: set[int], part: float) -> None:
    course = Walk()
    course.level, course.part, course.to = 1, part, {1: 0.25, 2: 0.75}
    homes = [course.home_of(place / len(members)) for place in range(len(order_of(0, sorted(members))))]
    away = sum(home != 0 for home in homes)
    assert abs(away - part * len(members)) <= 1.0
    assert abs(homes.count(1) - 0.25 * part * len(members)) <= 2.0
