"""Idle timeouts that are learned per endpoint, per kind and from all endpoints, and decay."""

from dykefold.net.upstream.idle_timeouts import (
    AGE_BUCKET_EDGES_S,
    SCARCITY_DOUBLING_S,
    SCARCITY_MIN_S,
    IdleAgeStats,
    ScarcityLimit,
)

MAX_IDLE_S = 42.0


def record_uses(stats, count, age_s, dead_count, now_s=0.0):
    for number in range(count):
        stats.record_use(age_s, number < dead_count, now_s)


def test_without_dead_connections_the_configured_idle_timeout_applies():
    stats = IdleAgeStats(MAX_IDLE_S)
    record_uses(stats, 1000, 5.0, 0)
    assert stats.limit(0.0) == MAX_IDLE_S


def test_idle_timeout_is_the_first_age_at_which_clearly_more_connections_are_dead():
    stats = IdleAgeStats(MAX_IDLE_S)
    record_uses(stats, 200, 0.01, 0)
    record_uses(stats, 50, 0.15, 0)
    record_uses(stats, 20, 0.3, 5)
    record_uses(stats, 20, 1.0, 10)
    assert stats.limit(0.0) == 0.2


def test_resets_independent_of_age_do_not_lower_the_idle_timeout():
    """Endpoints that reset connections at random also reset new ones, so closing idle ones would not help."""
    stats = IdleAgeStats(MAX_IDLE_S)
    for age_s in AGE_BUCKET_EDGES_S:
        record_uses(stats, 100, age_s, 10)
    assert stats.limit(0.0) == MAX_IDLE_S


def test_single_dead_connection_does_not_lower_the_idle_timeout():
    stats = IdleAgeStats(MAX_IDLE_S)
    record_uses(stats, 1, 0.3, 1)
    assert stats.limit(0.0) == MAX_IDLE_S


def test_endpoint_without_statistics_gets_the_idle_timeout_of_its_parent():
    parent = IdleAgeStats(MAX_IDLE_S)
    closing, unused, healthy = (IdleAgeStats(MAX_IDLE_S, parent) for _ in range(3))
    record_uses(closing, 20, 0.3, 10)
    assert closing.limit(0.0) == unused.limit(0.0) == 0.2
    record_uses(healthy, 200, 0.3, 0)  # Its own statistics outweigh those of the parent.
    assert healthy.limit(0.0) == MAX_IDLE_S
    assert closing.limit(0.0) == 0.2


def test_learned_idle_timeout_is_relaxed_after_its_half_life():
    stats = IdleAgeStats(MAX_IDLE_S)
    record_uses(stats, 20, 0.3, 10)
    assert stats.limit(0.0) == 0.2
    assert stats.limit(60.0) == MAX_IDLE_S


def test_closes_by_the_endpoint_lower_the_idle_timeout_before_a_request_fails():
    parent = IdleAgeStats(MAX_IDLE_S)
    kind = IdleAgeStats(MAX_IDLE_S, parent)
    closing, same_kind, other_kind = (
        IdleAgeStats(MAX_IDLE_S, kind),
        IdleAgeStats(MAX_IDLE_S, kind),
        IdleAgeStats(MAX_IDLE_S, IdleAgeStats(MAX_IDLE_S, parent)),
    )
    record_uses(other_kind, 200, 0.3, 0)
    for _ in range(3):
        closing.record_close(0.3, 0.0)
    assert closing.limit(0.0) == same_kind.limit(0.0) == 0.2
    assert other_kind.limit(0.0) == MAX_IDLE_S


def test_close_of_a_barely_idle_connection_does_not_lower_the_idle_timeout():
    stats = IdleAgeStats(MAX_IDLE_S)
    for _ in range(20):
        stats.record_close(0.02, 0.0)
    assert stats.limit(0.0) == MAX_IDLE_S


def test_idle_connections_are_closed_sooner_while_endpoints_reject_new_ones():
    """Guards against idle connections that use up the few connections which an endpoint accepts."""
    scarcity = ScarcityLimit(MAX_IDLE_S)
    assert scarcity.limit(100.0) == MAX_IDLE_S
    scarcity.record_rejection(100.0)
    scarcity.record_rejection(100.1)  # Too soon after the first cut to cut again.
    assert 0.2 * MAX_IDLE_S < scarcity.limit(100.1) < 0.3 * MAX_IDLE_S
    for second in range(101, 120):
        scarcity.record_rejection(float(second))
    assert SCARCITY_MIN_S <= scarcity.limit(120.0) < 1.2 * SCARCITY_MIN_S
    assert scarcity.limit(121.0 + SCARCITY_DOUBLING_S) > 2.0 * SCARCITY_MIN_S
    assert scarcity.limit(1e9) == MAX_IDLE_S


def test_idle_timeout_does_not_recover_when_the_clock_goes_back():
    scarcity = ScarcityLimit(MAX_IDLE_S)
    scarcity.record_rejection(100.0)
    limit_s = scarcity.limit(100.0)
    assert scarcity.limit(50.0) == limit_s
