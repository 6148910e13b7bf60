"""Health of zones, assessed from the samples of all observing zones."""

from __future__ import annotations

from itertools import product

import pytest

from dykefold.failover.health_samples import HealthSample
from dykefold.failover.zone_health import ZoneHealth, ZonePair, assess

HEALTHY, FAILED = HealthSample(20.0), HealthSample(20.0, ejected=0.95)
Health = ZoneHealth


def samples_with(
    ejected: dict[tuple[int, int], float], observers: int = 5
) -> dict[tuple[int, int], list[HealthSample]]:
    """Samples between three zones; the fraction of ejected endpoints is 0 where `ejected` has no pair."""
    pairs = product(range(3), range(3))
    return {
        ZonePair(*pair): [HealthSample(20.0, ejected=ejected.get(pair, 0.0))] * observers for pair in pairs
    }


MEMBERS = dict.fromkeys(range(3), 10)


@pytest.mark.parametrize(
    ("ejected", "expected"),
    [
        ({}, {}),
        (
            {(0, 0): 0.9, (1, 0): 0.9, (2, 0): 1.0},
            {(0, 0): Health.DOWN, (1, 0): Health.DOWN, (2, 0): Health.DOWN},
        ),
        (
            {(0, 1): 0.9, (1, 0): 0.9},
            {(0, 1): Health.UNREACHABLE, (1, 0): Health.UNREACHABLE},
        ),  # Both zones are healthy; the path between them fails.
        ({(0, 0): 0.9}, {(0, 0): Health.UNREACHABLE}),  # Only its own sidecars cannot reach it.
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
def test_samples_of_all_zones_distinguish_down_zone_from_failed_path(ejected, expected) -> None:
    health_by_pair = assess(samples_with(ejected), MEMBERS)
    assert {
        pair: health for pair, health in health_by_pair.items() if health is not Health.HEALTHY
    } == expected


def test_zone_health_requires_quorum_and_ignores_single_wrong_sample() -> None:
    assert assess({ZonePair(0, 0): [FAILED] * 2}, MEMBERS) == {}
    assert assess({ZonePair(0, 0): [FAILED] * 2}, {0: 2}) == {(0, 0): Health.DOWN}  # All live members.
    assert (
        assess({ZonePair(0, 0): [HealthSample(1.0, ejected=1.0)] * 9}, MEMBERS) == {}
    )  # Below the minimum weight.
    assert assess({ZonePair(0, 0): [HEALTHY, HEALTHY, FAILED, FAILED, HEALTHY]}, MEMBERS) == {
        (0, 0): Health.HEALTHY
    }
    health_by_pair = assess(
        {
            ZonePair(0, 0): [HealthSample(9.0, rejected=0.8)] * 3,
            ZonePair(0, 1): [HealthSample(9.0, late=0.8)] * 3,
        },
        MEMBERS,
    )
    assert health_by_pair == {(0, 0): Health.OVERLOADED, (0, 1): Health.SLOW}
