"""What sidecars report of zones, as records of the membership. No I/O."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from ..fleet.datagrams import Record
from ..fleet.membership import Membership
from ..fleet.rate_limits import SECOND
from ..fleet.record_store import Topic
from .health_samples import HealthSample
from .traffic_plan import LAST_LEVEL
from .zone_health import ZonePair, quorum

PUBLISH_INTERVAL_NS = SECOND
REPORTERS = 5  # the sidecars of a zone that report: the first in the staying order


class ZoneRecord(NamedTuple):
    """A record with the zone of its origin."""

    record: Record
    origin_zone: int


class ZoneReports:
    """Publishes what one sidecar sees of zones, and reads what others do.

    Args:
        membership: of this sidecar.
        now_ns: the present time.
    """

    def __init__(self, membership: Membership, now_ns: int) -> None:
        """Make a first report possible at once."""
        self.membership = membership
        self._published_ns = now_ns - PUBLISH_INTERVAL_NS

    def has_any(self) -> bool:
        """Tell whether any sidecar reports that something is wrong."""
        return bool(self.membership.records.subjects_of(Topic.ZONE_HEALTH, Topic.FAILOVER_LEVEL))

    def publish(
        self, now_ns: int, order: Sequence[int], samples: Mapping[int, HealthSample], home: int, level: int
    ) -> None:
        """Report what this sidecar sees, if it is one of those that report and a report is due.

        Args:
            now_ns: the present time.
            order: the staying order of the home zone.
            samples: by zone.
            home: the zone of this sidecar.
            level: of its traffic plan.
        """
        due = now_ns - self._published_ns >= PUBLISH_INTERVAL_NS
        if not due or self.membership.own_number not in order[:REPORTERS]:
            return
        self._published_ns = now_ns
        for zone, sample in samples.items():
            self.membership.publish(now_ns, Topic.ZONE_HEALTH, zone, sample.encode())
        if level:
            self.membership.publish(now_ns, Topic.FAILOVER_LEVEL, home, level)

    def samples(
        self, now_ns: int, zones: int, home: int, own: Mapping[int, HealthSample]
    ) -> dict[ZonePair, list[HealthSample]]:
        """Return what live sidecars see, with the own samples of now.

        Args:
            now_ns: the present time.
            zones: how many there are.
            home: the zone of this sidecar.
            own: its own samples by zone.
        """
        live = self._live_peers(now_ns)
        found: defaultdict[ZonePair, list[HealthSample]] = defaultdict(list)
        for zone in range(zones):
            if zone in own:
                found[ZonePair(home, zone)].append(own[zone])
            for record, origin_zone in self._records(now_ns, Topic.ZONE_HEALTH, zone, live):
                found[ZonePair(origin_zone, zone)].append(HealthSample.decode(record.value))
        return found

    def abandoned_zones(self, now_ns: int, zones: int, home: int, members: Counter[int]) -> frozenset[int]:
        """Return other zones that enough of their own sidecars report to have left.

        Args:
            now_ns: the present time.
            zones: how many there are.
            home: the zone of this sidecar.
            members: live sidecars by zone.
        """
        live = self._live_peers(now_ns)
        abandoned = set()
        for zone in range(zones):
            records = self._records(now_ns, Topic.FAILOVER_LEVEL, zone, live)
            reporting = sum(origin_zone == zone for _, origin_zone in records)
            if zone != home and reporting >= quorum(members[zone]):
                abandoned.add(zone)
        return frozenset(abandoned)

    def held_levels(self, now_ns: int, home: int, order: Sequence[int], own_level: int) -> list[int]:
        """Return the levels of those that report for the home zone; one that reports none is at home.

        Args:
            now_ns: the present time.
            home: the zone of this sidecar.
            order: its staying order.
            own_level: of this sidecar's plan.
        """
        stored = self.membership.records.on_subject(now_ns, Topic.FAILOVER_LEVEL, home)
        levels = {record.origin: min(record.value, LAST_LEVEL) for record, _ in stored}
        levels[self.membership.own_number] = own_level
        return [levels.get(member, 0) for member in order[:REPORTERS]]

    def levels(self, now_ns: int, zones: int) -> dict[int, list[int]]:
        """Return the levels that other sidecars report for their own zone, by zone, where there are any."""
        live = self._live_peers(now_ns)
        found = {}
        for zone in range(zones):
            records = self._records(now_ns, Topic.FAILOVER_LEVEL, zone, live)
            if records:
                found[zone] = sorted(record.value for record, origin_zone in records if origin_zone == zone)
        return found

    def _live_peers(self, now_ns: int) -> set[int]:
        return set(self.membership.live_members(now_ns)) - {self.membership.own_number}

    def _records(self, now_ns: int, topic: Topic, zone: int, live: set[int]) -> list[ZoneRecord]:
        """Records of live sidecars on a zone."""
        found = []
        for record, _ in self.membership.records.on_subject(now_ns, topic, zone):
            origin_zone = self.membership.zone_of(record.origin)
            if origin_zone is not None and record.origin in live:
                found.append(ZoneRecord(record, origin_zone))
        return found
