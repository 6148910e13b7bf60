"""How each zone looks from one sidecar: endpoints that it ejected, and the results of its attempts. No I/O.

Losses are counted by endpoints, not by attempts: a balancer that has ejected an endpoint sends nothing there
any more, and attempts from before the failure would hide it for seconds. Late and rejected attempts are
counted as fractions of all.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, auto

from ..fleet.rate_limits import SECOND

HALF_LIFE_NS = SECOND  # of the weight of an attempt
MAX_ZONES = 31  # that are told apart
ATTEMPTS_PER_EJECTION = 2.0  # what an ejected endpoint adds to the weight of a sample

# Encoding of a sample as the value of a record: 14 bits of weight, then 6 bits for each fraction.
FRACTION_BITS = 6
MAX_FRACTION_STEP = (1 << FRACTION_BITS) - 1
WEIGHT_SHIFT = 3 * FRACTION_BITS
LATE_SHIFT, REJECTED_SHIFT, EJECTED_SHIFT = 2 * FRACTION_BITS, FRACTION_BITS, 0
WEIGHT_UNIT = 0.25  # attempts
MAX_WEIGHT_STEP = (1 << 14) - 1


class AttemptResult(Enum):
    """What the end of an attempt shows of the zone of its endpoint."""

    IN_TIME = auto()
    LATE = auto()  # answered after the latency objective, or not yet by an endpoint that answers others
    REJECTED = auto()  # the endpoint was full


@dataclass(frozen=True, slots=True)
class HealthSample:
    """How a zone looks from one sidecar.

    Attributes:
        weight: attempts that it is based on, recent ones counting most.
        late: fraction of the attempts.
        rejected: fraction of the attempts.
        ejected: fraction of the endpoints that were tried.
    """

    weight: float
    late: float = 0.0
    rejected: float = 0.0
    ejected: float = 0.0

    def encode(self) -> int:
        """Return the sample as the value of a record, 32 bits."""
        weight = min(int(self.weight / WEIGHT_UNIT), MAX_WEIGHT_STEP)
        return (
            weight << WEIGHT_SHIFT
            | _fraction_step(self.late) << LATE_SHIFT
            | _fraction_step(self.rejected) << REJECTED_SHIFT
            | _fraction_step(self.ejected) << EJECTED_SHIFT
        )

    @staticmethod
    def decode(value: int) -> HealthSample:
        """Return the sample in a record; any 32 bits are one, with fractions held to at most all."""
        late = _fraction(value >> LATE_SHIFT)
        rejected = min(_fraction(value >> REJECTED_SHIFT), 1.0 - late)
        ejected = min(_fraction(value >> EJECTED_SHIFT), 1.0 - late)
        return HealthSample((value >> WEIGHT_SHIFT) * WEIGHT_UNIT, late, rejected, ejected)


def _fraction_step(fraction: float) -> int:
    return min(int(fraction * MAX_FRACTION_STEP + 0.5), MAX_FRACTION_STEP)


def _fraction(bits: int) -> float:
    return (bits & MAX_FRACTION_STEP) / MAX_FRACTION_STEP


class HealthSampler:
    """Counts attempts by zone; older ones count less.

    Attributes:
        counts: decayed counts of attempts, by zone and result.
    """

    def __init__(self) -> None:
        self.counts: dict[int, dict[AttemptResult, float]] = {}
        self._decayed_ns = 0

    def record(self, now_ns: int, zone: int, result: AttemptResult) -> None:
        """Count an attempt."""
        if 0 <= zone < MAX_ZONES:
            self._decay(now_ns)
            counts = self.counts.setdefault(zone, dict.fromkeys(AttemptResult, 0.0))
            counts[result] += 1.0

    def samples(self, now_ns: int, endpoints: Mapping[int, tuple[int, int]]) -> dict[int, HealthSample]:
        """Return a sample of each zone of which anything is known.

        Args:
            now_ns: the present time.
            endpoints: by zone, how many endpoints have been tried, and how many of these are ejected.
        """
        self._decay(now_ns)
        samples = {}
        for zone, (tried, ejected) in endpoints.items():
            counts = self.counts.get(zone) or dict.fromkeys(AttemptResult, 0.0)
            attempts = sum(counts.values())
            weight = attempts + ejected * ATTEMPTS_PER_EJECTION
            if tried and zone < MAX_ZONES and weight >= WEIGHT_UNIT:
                late = counts[AttemptResult.LATE] / max(attempts, 1.0)
                rejected = counts[AttemptResult.REJECTED] / max(attempts, 1.0)
                samples[zone] = HealthSample(weight, late, rejected, ejected / tried)
        return samples

    def _decay(self, now_ns: int) -> None:
        factor = 0.5 ** (max(now_ns - self._decayed_ns, 0) / HALF_LIFE_NS)
        self._decayed_ns = max(now_ns, self._decayed_ns)
        if factor < 1.0:
            for counts in self.counts.values():
                for result in counts:
                    counts[result] *= factor
