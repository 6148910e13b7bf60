"""Samples of attempts and endpoints by zone."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from dykefold.failover.health_samples import ATTEMPT_HALF_LIFE_NS, AttemptResult, HealthSample, HealthSampler


@given(st.integers(0, (1 << 32) - 1))
def test_samples_are_decoded_as_encoded_and_any_value_is_one(value: int) -> None:
    sample = HealthSample.decode(value)
    assert 0.0 <= sample.late + max(sample.rejected, sample.ejected) <= 1.0 + 1e-9
    assert HealthSample.decode(sample.encode()).encode() == sample.encode()


def test_samples_count_ejected_endpoints_and_decaying_attempts() -> None:
    sampler = HealthSampler()
    for zone in range(100):
        sampler.record(0, zone, AttemptResult.REJECTED)
    assert len(sampler.counts) <= 31
    for _ in range(40):
        sampler.record(0, 1, AttemptResult.IN_TIME)
    assert sampler.samples(0, {1: (3, 0)})[1].rejected < 0.05
    for _ in range(40):
        sampler.record(6 * ATTEMPT_HALF_LIFE_NS, 1, AttemptResult.LATE)
    seen = sampler.samples(6 * ATTEMPT_HALF_LIFE_NS, {1: (3, 3), 2: (3, 0), 3: (2, 1), 4: (0, 0)})
    assert seen[1].late > 0.9
    assert seen[1].ejected == 1.0  # whatever was answered a moment ago
    assert 2 not in seen  # nothing was sent there for long
    assert seen[3] == HealthSample(
        2.0 + seen[3].weight % 1, rejected=seen[3].rejected, ejected=0.5
    )  # nor here, but it is known why
