"""Health samples of attempts and ejected endpoints by zone."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from dykefold.failover.health_samples import ATTEMPT_HALF_LIFE_NS, AttemptResult, HealthSample, HealthSampler


@given(st.integers(0, (1 << 32) - 1))
def test_any_record_value_decodes_to_valid_sample_and_round_trips(value: int) -> None:
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
    samples = sampler.samples(6 * ATTEMPT_HALF_LIFE_NS, {1: (3, 3), 2: (3, 0), 3: (2, 1), 4: (0, 0)})
    assert samples[1].late > 0.9
    assert samples[1].ejected == 1.0  # Regardless of recent successful attempts.
    assert 2 not in samples  # No recent attempts and no ejected endpoint.
    assert samples[3] == HealthSample(
        2.0 + samples[3].weight % 1, rejected=samples[3].rejected, ejected=0.5
    )  # No recent attempts, but an ejected endpoint.
