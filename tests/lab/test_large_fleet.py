"""What a sidecar may need before sixteen times the servers (STANDING.md, "Beyond this bench")."""

import pytest

from benchmarks.large_fleet import KB, LIMITS, MB, SERVED, compared

USUAL = {
    "CPU seconds": 2.0,
    "peak memory": 40 * MB,
    "descriptors": 50.0,
    "connections made": 100.0,
    "bytes of lists": 100 * KB,
    SERVED: 0.9,
}
# For 3,200 servers: times the usual figure, plus what is apart, plus 3.2 times what is for each thousand.
MOST = {
    "CPU seconds": 1.4 * 2.0 + 0.02 + 3.2 * 0.12,
    "peak memory": 1.5 * 40 * MB + 8 * MB + 3.2 * 4 * MB,
    "descriptors": 2 * 50.0 + 40,
    "connections made": 2.5 * 100.0 + 40,
    "bytes of lists": 2 * 100 * KB + 64 * KB + 3.2 * 500 * KB,
}


def test_the_table_is_the_operators():
    assert {line.name: line.limit for line in compared(USUAL, USUAL, 3200)} == pytest.approx(
        {**MOST, SERVED: 0.85 * 0.9}
    )
    assert LIMITS.keys() == MOST.keys()


@pytest.mark.parametrize("name", [*MOST, SERVED])
def test_each_limit_is_found_broken_by_itself(name):
    limits = {**MOST, SERVED: 0.85 * 0.9}
    for part, broken in ((0.999, name == SERVED), (1.001, name != SERVED)):
        lines = compared(USUAL, {**USUAL, name: part * limits[name]}, 3200)
        assert [line.name for line in lines if line.broken] == ([name] if broken else [])
