"""Rate limits of the membership protocol."""

from __future__ import annotations

from dykefold.fleet.rate_limits import NS_PER_S, TokenBucket


def test_token_bucket_allows_its_burst_and_then_its_rate() -> None:
    bucket = TokenBucket(10.0, 2.0, 0)
    assert [bucket.take(0) for _ in range(3)] == [True, True, False]
    assert not bucket.take(NS_PER_S // 20)
    assert bucket.take(NS_PER_S // 10)
    assert not bucket.take(2 * NS_PER_S, reserve=1.5)
