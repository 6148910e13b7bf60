"""Health of zones from the samples of many sidecars; tells failed zones from failed network paths. No I/O.

| health of a zone as seen from another | samples |
| --- | --- |
| unclear | none, or too few |
| down | most endpoints are ejected here and in every other observing zone, its own included |
| unreachable | most endpoints are ejected here, and few in some other observing zone |
| degraded | more than a few endpoints are ejected, but not most |
| overloaded | few endpoints are ejected, many attempts are rejected |
| slow | few endpoints are ejected, many attempts are late |
| healthy | few endpoints are ejected, few attempts are rejected or late |

What a zone observes is the median of the samples of several of its sidecars, so one sidecar that is isolated
or reports wrong values cannot change the result. A zone whose health is unclear moves no traffic.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import NamedTuple

from ..fleet.statistics import lower_median
from .health_samples import HealthSample

MIN_SAMPLE_WEIGHT = 2.0  # Recent attempts; a sample with a lower weight is ignored.
QUORUM = 3  # Sidecars of a zone that must report; all of them if there are fewer.
MIN_DOWN_EJECTED_FRACTION = 0.7  # Of the endpoints with attempts.
MIN_DEGRADED_EJECTED_FRACTION = 0.25
MIN_OVERLOADED_FRACTION = 0.5  # Of the attempts that are rejected.
MIN_SLOW_FRACTION = 0.5  # Of the attempts that are late.


class ZoneHealth(StrEnum):
    """Health of a zone as seen from another; the values are part of the admin API."""

    UNCLEAR = "unclear"
    HEALTHY = "fine"
    SLOW = "slow"
    OVERLOADED = "overloaded"
    DEGRADED = "part"
    UNREACHABLE = "cut"
    DOWN = "down"


class ZonePair(NamedTuple):
    """An observed zone, and the zone whose sidecars observe it."""

    observer: int
    zone: int


def quorum(members: int) -> int:
    """Return the number of sidecars of a zone that must report.

    Args:
        members: Number of live sidecars of the zone.
    """
    return max(min(QUORUM, members), 1)


def combine(samples: Sequence[HealthSample], members: int) -> HealthSample | None:
    """Return the median of the samples of a zone's sidecars; None if too few have a usable sample.

    Args:
        samples: Samples of one zone.
        members: Number of live sidecars of the observing zone.
    """
    usable = [sample for sample in samples if sample.weight >= MIN_SAMPLE_WEIGHT]
    if len(usable) < quorum(members):
        return None
    return HealthSample(
        sum(sample.weight for sample in usable),
        lower_median(sample.late for sample in usable),
        lower_median(sample.rejected for sample in usable),
        lower_median(sample.ejected for sample in usable),
    )


def assess(
    samples: Mapping[ZonePair, Sequence[HealthSample]], members: Mapping[int, int]
) -> dict[ZonePair, ZoneHealth]:
    """Return the health by observing and observed zone, for pairs with enough samples.

    Args:
        samples: Samples by observing and observed zone.
        members: Number of live sidecars by zone.
    """
    combined = {}
    for pair, pair_samples in samples.items():
        sample = combine(pair_samples, members.get(pair.observer, 0))
        if sample is not None:
            combined[pair] = sample
    return {pair: _classify(pair, sample, combined) for pair, sample in combined.items()}


def _classify(pair: ZonePair, sample: HealthSample, combined: Mapping[ZonePair, HealthSample]) -> ZoneHealth:
    if sample.ejected >= MIN_DOWN_EJECTED_FRACTION:
        elsewhere = [
            other.ejected
            for other_pair, other in combined.items()
            if other_pair.zone == pair.zone and other_pair.observer != pair.observer
        ]
        return _classify_failed(elsewhere)
    if sample.ejected >= MIN_DEGRADED_EJECTED_FRACTION:
        return ZoneHealth.DEGRADED
    if sample.rejected >= MIN_OVERLOADED_FRACTION:
        return ZoneHealth.OVERLOADED
    return ZoneHealth.SLOW if sample.late >= MIN_SLOW_FRACTION else ZoneHealth.HEALTHY


def _classify_failed(ejected_elsewhere: Sequence[float]) -> ZoneHealth:
    """Return the health of a zone whose endpoints are mostly ejected, from the samples of other zones."""
    if any(ejected < MIN_DEGRADED_EJECTED_FRACTION for ejected in ejected_elsewhere):
        return ZoneHealth.UNREACHABLE
    if all(ejected >= MIN_DOWN_EJECTED_FRACTION for ejected in ejected_elsewhere):
        return ZoneHealth.DOWN
    return ZoneHealth.DEGRADED  # Other zones reach some of its endpoints.
