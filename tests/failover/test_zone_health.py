"""The health of zones from who sees what."""

from __future__ import annotations

from itertools import product

import pytest

from dykefold.failover.health_samples import HealthSample
from dykefold.failover.zone_health import ZoneHealth, ZonePair, assess

GOOD, GONE = HealthSample(20.0), HealthSample(20.0, ejected=0.95)
Health = ZoneHealth


def seen(lost: dict[tuple[int, int], float], observers: int = 5) -> dict[tuple[int, int], list[HealthSample]]:
    """What the sidecars of three zones see of each other's: nothing lost but this."""
    pairs = product(range(3), range(3))
    return {ZonePair(*pair): [HealthSample(20.0, ejected=lost.get(pair, 0.0))] * observers for pair in pairs}


MEMBERS = dict.fromkeys(range(3), 10)


@pytest.mark.parametrize(
    ("lost", "expected"),
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
def test_samples_of_all_zones_tell_a_zone_that_is_down_from_a_cut_path(lost, expected) -> None:
    found = assess(seen(lost), MEMBERS)
    assert {pair: health for pair, health in found.items() if health is not Health.HEALTHY} == expected


def test_zone_health_needs_a_quorum_and_one_wrong_sample_decides_nothing() -> None:
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
