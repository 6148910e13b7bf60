"""Settings of the failover. No I/O."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from ..fleet.options import FailoverOptions
from .health_samples import MAX_ZONES


@dataclass(frozen=True, slots=True)
class FailoverSettings:
    """Zones and failover options of the configuration.

    Attributes:
        zones: Names of the zones, by number.
        home: Number of the sidecar's own zone.
        options: Failover options of the operator's settings file.
    """

    zones: Sequence[str]
    home: int
    options: FailoverOptions

    @property
    def zone_count(self) -> int:
        """Number of zones that are sampled."""
        return min(len(self.zones), MAX_ZONES)

    def name(self, zone: int) -> str:
        """Return the name of a zone, or its number if it has no name."""
        return self.zones[zone] if zone < self.zone_count else str(zone)

    def regions(self) -> dict[int, str]:
        """Return the region by zone number, for zones that have one."""
        by_name = self.options.regions
        names = enumerate(self.zones[: self.zone_count])
        return {number: by_name[name] for number, name in names if name in by_name}

    def evacuated(self) -> frozenset[int]:
        """Return the zones that an operator has evacuated."""
        names = enumerate(self.zones[: self.zone_count])
        return frozenset(number for number, name in names if name in self.options.out)
