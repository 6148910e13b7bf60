"""The health of zones from the samples of many sidecars: which are down, which paths are cut. No I/O.

| health of a zone as seen from another | samples |
| --- | --- |
| unclear | none, or too few |
| down | most is ejected from there, and from every other zone that looks, its own among them |
| unreachable | most is ejected from there, and somewhere else hardly any |
| degraded | some is ejected, neither most nor hardly any: some of its endpoints are gone |
| overloaded | hardly any is ejected, many attempts are rejected |
| slow | hardly any is ejected, many attempts are late |
| healthy | hardly any of these |

What a zone sees is the median of the samples of several of its sidecars, so one that reports nonsense, or is
cut off itself, decides nothing. What is unclear moves nobody.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import NamedTuple

from ..fleet.statistics import lower_median
from .health_samples import HealthSample

MIN_WEIGHT = 2.0  # recent attempts, below which a sample is not used
QUORUM = 3  # sidecars of a zone that must see it, or all where there are fewer
MOST = 0.7
HARDLY_ANY = 0.25
MANY = 0.5


class ZoneHealth(StrEnum):
    """How a zone looks from another; the values are part of the admin API."""

    UNCLEAR = "unclear"
    HEALTHY = "fine"
    SLOW = "slow"
    OVERLOADED = "overloaded"
    DEGRADED = "part"
    UNREACHABLE = "cut"
    DOWN = "down"


class ZonePair(NamedTuple):
    """A zone, and the zone from whose sidecars it is seen."""

    observer: int
    zone: int


def quorum(members: int) -> int:
    """Return how many sidecars of a zone must report the same.

    Args:
        members: how many of its sidecars are live.
    """
    return max(min(QUORUM, members), 1)


def combine(samples: Sequence[HealthSample], members: int) -> HealthSample | None:
    """Return what the sidecars of a zone see together; None where too few see anything.

    Args:
        samples: of one zone.
        members: how many sidecars of the observing zone are live.
    """
    usable = [sample for sample in samples if sample.weight >= MIN_WEIGHT]
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
    """Return the health of each zone as seen from each that has a clear sight of it.

    Args:
        samples: by observing and observed zone.
        members: live sidecars by zone.
    """
    combined = {}
    for pair, found in samples.items():
        sample = combine(found, members.get(pair.observer, 0))
        if sample is not None:
            combined[pair] = sample
    return {pair: _classify(pair, sample, combined) for pair, sample in combined.items()}


def _classify(pair: ZonePair, sample: HealthSample, combined: Mapping[ZonePair, HealthSample]) -> ZoneHealth:
    if sample.ejected >= MOST:
        elsewhere = [
            other.ejected
            for other_pair, other in combined.items()
            if other_pair.zone == pair.zone and other_pair.observer != pair.observer
        ]
        return _classify_failed(elsewhere)
    if sample.ejected >= HARDLY_ANY:
        return ZoneHealth.DEGRADED
    if sample.rejected >= MANY:
        return ZoneHealth.OVERLOADED
    return ZoneHealth.SLOW if sample.late >= MANY else ZoneHealth.HEALTHY


def _classify_failed(ejected_elsewhere: Sequence[float]) -> ZoneHealth:
    """The health of a zone most of which is ejected from one zone, by what is ejected from others."""
    if any(ejected < HARDLY_ANY for ejected in ejected_elsewhere):
        return ZoneHealth.UNREACHABLE
    if all(ejected >= MOST for ejected in ejected_elsewhere):
        return ZoneHealth.DOWN
    return ZoneHealth.DEGRADED  # others get through to some of it
