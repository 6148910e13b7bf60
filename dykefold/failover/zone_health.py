"""The health of zones from the samples of many sidecars: which are down, which paths are cut. No I/O.

| health of a zone as seen from another | samples |
| --- | --- |
| unclear | none, or too few |
| down | most endpoints are ejected there, and in every other observing zone, its own included |
| unreachable | most endpoints are ejected there, and hardly any in some other observing zone |
| degraded | more than hardly any endpoints are ejected, but not most |
| overloaded | hardly any endpoints are ejected, many attempts are rejected |
| slow | hardly any endpoints are ejected, many attempts are late |
| healthy | hardly any endpoints are ejected, few attempts are rejected or late |

The view of a zone is the median of the samples of several of its sidecars. So one sidecar that reports
nonsense or is isolated decides nothing. A zone whose health is unclear moves no traffic.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import NamedTuple

from ..fleet.statistics import lower_median
from .health_samples import HealthSample

MIN_SAMPLE_WEIGHT = 2.0  # Recent attempts; a sample of fewer is not used.
QUORUM = 3  # Sidecars of a zone that must report the same; all of them if there are fewer.
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
    """A zone, and the zone whose sidecars observe it."""

    observer: int
    zone: int


def quorum(members: int) -> int:
    """Return the number of sidecars of a zone that must report the same.

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
    """Return the health of each zone, by each zone that has enough samples of it.

    Args:
        samples: Samples by observing and observed zone.
        members: Number of live sidecars by zone.
    """
    combined = {}
    for pair, found in samples.items():
        sample = combine(found, members.get(pair.observer, 0))
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
    """Return the health of a zone that is mostly ejected in one zone, from the samples of the others."""
    if any(ejected < MIN_DEGRADED_EJECTED_FRACTION for ejected in ejected_elsewhere):
        return ZoneHealth.UNREACHABLE
    if all(ejected >= MIN_DOWN_EJECTED_FRACTION for ejected in ejected_elsewhere):
        return ZoneHealth.DOWN
    return ZoneHealth.DEGRADED  # others get through to some of it
