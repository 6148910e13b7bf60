"""Health samples of zones from one sidecar: its ejected endpoints and the results of its attempts. No I/O.

Failures are measured as the fraction of ejected endpoints, not of failed attempts: the balancer sends no
requests to an ejected endpoint, so successful attempts from before the failure would hide it for seconds.
Late and rejected attempts are measured as fractions of all attempts.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, auto

from ..fleet.rate_limits import NS_PER_S

ATTEMPT_HALF_LIFE_NS = NS_PER_S  # Half-life of the weight of an attempt.
MAX_ZONES = 31  # Zones with a higher number are not sampled.
ATTEMPTS_PER_EJECTION = 2.0  # Weight of an ejected endpoint in a sample, in attempts.

# Encoding of a sample as a 32-bit record value: 14 bits of weight, then 6 bits for each fraction.
FRACTION_BITS = 6
MAX_FRACTION_STEP = (1 << FRACTION_BITS) - 1
WEIGHT_SHIFT = 3 * FRACTION_BITS
LATE_SHIFT, REJECTED_SHIFT, EJECTED_SHIFT = 2 * FRACTION_BITS, FRACTION_BITS, 0
ATTEMPTS_PER_WEIGHT_STEP = 0.25
MAX_WEIGHT_STEP = (1 << 14) - 1


class AttemptResult(Enum):
    """Result of an attempt, as counted for the zone of its endpoint."""

    IN_TIME = auto()
    LATE = auto()  # Response after the latency objective, or timeout while the endpoint responds to others.
    REJECTED = auto()  # The endpoint was overloaded and rejected it.


@dataclass(frozen=True, slots=True)
class HealthSample:
    """Health of a zone as observed by one sidecar.

    Attributes:
        weight: Decayed number of attempts that the sample is based on; an ejected endpoint counts as
            `ATTEMPTS_PER_EJECTION`.
        late: Fraction of the attempts that were late.
        rejected: Fraction of the attempts that were rejected.
        ejected: Fraction of the endpoints with attempts that are ejected.
    """

    weight: float
    late: float = 0.0
    rejected: float = 0.0
    ejected: float = 0.0

    def encode(self) -> int:
        """Return the sample as a 32-bit record value."""
        weight = min(int(self.weight / ATTEMPTS_PER_WEIGHT_STEP), MAX_WEIGHT_STEP)
        return (
            weight << WEIGHT_SHIFT
            | _fraction_step(self.late) << LATE_SHIFT
            | _fraction_step(self.rejected) << REJECTED_SHIFT
            | _fraction_step(self.ejected) << EJECTED_SHIFT
        )

    @staticmethod
    def decode(value: int) -> HealthSample:
        """Return the sample of a record value. Any 32 bits are valid; sums of fractions are limited to 1."""
        late = _fraction(value >> LATE_SHIFT)
        rejected = min(_fraction(value >> REJECTED_SHIFT), 1.0 - late)
        ejected = min(_fraction(value >> EJECTED_SHIFT), 1.0 - late)
        return HealthSample((value >> WEIGHT_SHIFT) * ATTEMPTS_PER_WEIGHT_STEP, late, rejected, ejected)


def _fraction_step(fraction: float) -> int:
    return min(int(fraction * MAX_FRACTION_STEP + 0.5), MAX_FRACTION_STEP)


def _fraction(bits: int) -> float:
    return (bits & MAX_FRACTION_STEP) / MAX_FRACTION_STEP


class HealthSampler:
    """Counts attempts by zone and result, with exponential decay.

    Attributes:
        counts: Decayed counts of attempts, by zone and result.
    """

    def __init__(self) -> None:
        self.counts: dict[int, dict[AttemptResult, float]] = {}
        self._decayed_ns = 0

    def record(self, now_ns: int, zone: int, result: AttemptResult) -> None:
        """Count the result of an attempt."""
        if 0 <= zone < MAX_ZONES:
            self._decay(now_ns)
            counts = self.counts.setdefault(zone, dict.fromkeys(AttemptResult, 0.0))
            counts[result] += 1.0

    def samples(self, now_ns: int, endpoints: Mapping[int, tuple[int, int]]) -> dict[int, HealthSample]:
        """Return a sample of each zone with attempts or ejected endpoints.

        Args:
            now_ns: Current monotonic time in nanoseconds.
            endpoints: Number of endpoints with attempts, and number of these that are ejected, by zone.
        """
        self._decay(now_ns)
        samples = {}
        for zone, (attempted, ejected) in endpoints.items():
            counts = self.counts.get(zone) or dict.fromkeys(AttemptResult, 0.0)
            attempts = sum(counts.values())
            weight = attempts + ejected * ATTEMPTS_PER_EJECTION
            if attempted and zone < MAX_ZONES and weight >= ATTEMPTS_PER_WEIGHT_STEP:
                late = counts[AttemptResult.LATE] / max(attempts, 1.0)
                rejected = counts[AttemptResult.REJECTED] / max(attempts, 1.0)
                samples[zone] = HealthSample(weight, late, rejected, ejected / attempted)
        return samples

    def _decay(self, now_ns: int) -> None:
        factor = 0.5 ** (max(now_ns - self._decayed_ns, 0) / ATTEMPT_HALF_LIFE_NS)
        self._decayed_ns = max(now_ns, self._decayed_ns)
        if factor < 1.0:
            for counts in self.counts.values():
                for result in counts:
                    counts[result] *= factor
