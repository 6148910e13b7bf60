"""At what age idle connections turn out dead: learned per server, from all of them, and forgotten."""

from dykefold.net.upstream.idle_timeouts import (
    AGE_BUCKET_EDGES_S,
    SCARCITY_DOUBLING_S,
    SCARCITY_MIN_S,
    IdleAgeStats,
    ScarcityLimit,
)

MOST = 42.0


def uses(ages, count, age, dead, now=0.0):
    for number in range(count):
        ages.record_use(age, number < dead, now)


def test_without_evidence_the_settings_hold():
    ages = IdleAgeStats(MOST)
    uses(ages, 1000, 5.0, 0)
    assert ages.limit(0.0) == MOST


def test_the_first_age_at_which_clearly_more_die_is_the_limit():
    ages = IdleAgeStats(MOST)
    uses(ages, 200, 0.01, 0)
    uses(ages, 50, 0.15, 0)
    uses(ages, 20, 0.3, 5)
    uses(ages, 20, 1.0, 10)
    assert ages.limit(0.0) == 0.2


def test_resets_at_any_age_are_no_reason_to_close_old_ones():
    """Guards days on which servers reset kept connections at random: new ones fare no better."""
    ages = IdleAgeStats(MOST)
    for age in AGE_BUCKET_EDGES_S:
        uses(ages, 100, age, 10)
    assert ages.limit(0.0) == MOST


def test_single_dead_connection_does_not_lower_the_idle_timeout():
    ages = IdleAgeStats(MOST)
    uses(ages, 1, 0.3, 1)
    assert ages.limit(0.0) == MOST


def test_a_server_that_nothing_is_known_of_is_taken_for_one_like_the_others():
    every = IdleAgeStats(MOST)
    known, other, good = (IdleAgeStats(MOST, every) for _ in range(3))
    uses(known, 20, 0.3, 10)
    assert known.limit(0.0) == other.limit(0.0) == 0.2
    uses(good, 200, 0.3, 0)  # its own news count for more in the end
    assert good.limit(0.0) == MOST
    assert known.limit(0.0) == 0.2


def test_learned_idle_timeout_is_relaxed_after_its_half_life():
    ages = IdleAgeStats(MOST)
    uses(ages, 20, 0.3, 10)
    assert ages.limit(0.0) == 0.2
    assert ages.limit(60.0) == MOST


def test_what_the_server_closes_unused_tells_before_any_request_dies():
    every = IdleAgeStats(MOST)
    kind = IdleAgeStats(MOST, every)
    first, alike, other = (
        IdleAgeStats(MOST, kind),
        IdleAgeStats(MOST, kind),
        IdleAgeStats(MOST, IdleAgeStats(MOST, every)),
    )
    uses(other, 200, 0.3, 0)
    for _ in range(3):
        first.record_close(0.3, 0.0)
    assert first.limit(0.0) == alike.limit(0.0) == 0.2
    assert other.limit(0.0) == MOST


def test_a_server_that_goes_says_nothing_of_an_idle_limit():
    ages = IdleAgeStats(MOST)
    for _ in range(20):
        ages.record_close(0.02, 0.0)
    assert ages.limit(0.0) == MOST


def test_idle_connections_are_closed_sooner_while_endpoints_reject_new_ones():
    """Guards servers whose few places stand taken by connections that nobody uses."""
    scarcity = ScarcityLimit(MOST)
    assert scarcity.limit(100.0) == MOST
    scarcity.record_rejection(100.0)
    scarcity.record_rejection(100.1)  # of the same shortage
    assert 0.2 * MOST < scarcity.limit(100.1) < 0.3 * MOST
    for second in range(101, 120):
        scarcity.record_rejection(float(second))
    assert SCARCITY_MIN_S <= scarcity.limit(120.0) < 1.2 * SCARCITY_MIN_S
    assert scarcity.limit(121.0 + SCARCITY_DOUBLING_S) > 2.0 * SCARCITY_MIN_S
    assert scarcity.limit(1e9) == MOST


def test_a_clock_that_went_back_grows_nothing():
    scarcity = ScarcityLimit(MOST)
    scarcity.record_rejection(100.0)
    before = scarcity.limit(100.0)
    assert scarcity.limit(50.0) == before
