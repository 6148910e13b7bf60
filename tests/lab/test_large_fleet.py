"""Limits of a sidecar's resources with sixteen times the servers (STANDING.md, "Beyond this bench").

A wrong limit, or a broken one that is not reported, would hide costs that grow with the number of servers.
"""

import pytest

from benchmarks.large_fleet import KB, LIMITS, MB, SERVED, compare_to_limits

TYPICAL = {
    "CPU seconds": 2.0,
    "peak memory": 40 * MB,
    "descriptors": 50.0,
    "connections made": 100.0,
    "bytes of lists": 100 * KB,
    SERVED: 0.9,
}
# For 3,200 servers: a factor on the typical figure, plus a constant, plus 3.2 times the amount per thousand
# servers.
MAX_LARGE = {
    "CPU seconds": 1.4 * 2.0 + 0.02 + 3.2 * 0.12,
    "peak memory": 1.5 * 40 * MB + 8 * MB + 3.2 * 4 * MB,
    "descriptors": 2 * 50.0 + 40,
    "connections made": 2.5 * 100.0 + 40,
    "bytes of lists": 2 * 100 * KB + 64 * KB + 3.2 * 500 * KB,
}


def test_limits_are_those_of_the_requirements():
    assert {line.name: line.limit for line in compare_to_limits(TYPICAL, TYPICAL, 3200)} == pytest.approx(
        {**MAX_LARGE, SERVED: 0.85 * 0.9}
    )
    assert LIMITS.keys() == MAX_LARGE.keys()


@pytest.mark.parametrize("name", [*MAX_LARGE, SERVED])
def test_each_exceeded_limit_alone_is_reported_as_broken(name):
    limits = {**MAX_LARGE, SERVED: 0.85 * 0.9}
    for fraction, is_broken in ((0.999, name == SERVED), (1.001, name != SERVED)):
        lines = compare_to_limits(TYPICAL, {**TYPICAL, name: fraction * limits[name]}, 3200)
        assert [line.name for line in lines if line.broken] == ([name] if is_broken else [])
