"""Zone health and plan levels that sidecars exchange as membership records. No I/O."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from ..fleet.datagrams import Record
from ..fleet.membership import Membership
from ..fleet.rate_limits import NS_PER_S
from ..fleet.record_store import Topic
from .health_samples import HealthSample
from .traffic_plan import LAST_LEVEL
from .zone_health import ZonePair, quorum

PUBLISH_INTERVAL_NS = NS_PER_S
MAX_REPORTERS = 5  # Sidecars of a zone that report: the first in the staying order.


class ZoneRecord(NamedTuple):
    """A record and the zone of the sidecar that published it."""

    record: Record
    origin_zone: int


class ZoneReports:
    """Publishes the zone samples of one sidecar and reads those of others.

    Args:
        membership: Membership as this sidecar sees it.
        now_ns: Current monotonic time in nanoseconds.
    """

    def __init__(self, membership: Membership, now_ns: int) -> None:
        """Let the first report be due at once."""
        self.membership = membership
        self._published_ns = now_ns - PUBLISH_INTERVAL_NS

    def has_any(self) -> bool:
        """Return whether any sidecar has published zone samples or a level other than home."""
        return bool(self.membership.records.subjects_of(Topic.ZONE_HEALTH, Topic.FAILOVER_LEVEL))

    def publish(
        self, now_ns: int, order: Sequence[int], samples: Mapping[int, HealthSample], home: int, level: int
    ) -> None:
        """Publish this sidecar's samples and plan level if it is a reporter and a report is due.

        Args:
            now_ns: Current monotonic time in nanoseconds.
            order: Sidecars of the home zone in staying order.
            samples: Samples by zone.
            home: Zone of this sidecar.
            level: Level of the home zone's traffic plan; level 0 is not published.
        """
        due = now_ns - self._published_ns >= PUBLISH_INTERVAL_NS
        if not due or self.membership.own_number not in order[:MAX_REPORTERS]:
            return
        self._published_ns = now_ns
        for zone, sample in samples.items():
            self.membership.publish(now_ns, Topic.ZONE_HEALTH, zone, sample.encode())
        if level:
            self.membership.publish(now_ns, Topic.FAILOVER_LEVEL, home, level)

    def samples(
        self, now_ns: int, zone_count: int, home: int, own: Mapping[int, HealthSample]
    ) -> dict[ZonePair, list[HealthSample]]:
        """Return the samples of live sidecars, this one included, by observing and observed zone.

        Args:
            now_ns: Current monotonic time in nanoseconds.
            zone_count: Number of zones.
            home: Zone of this sidecar.
            own: Current samples of this sidecar by zone.
        """
        live = self._live_peers(now_ns)
        samples_by_pair: defaultdict[ZonePair, list[HealthSample]] = defaultdict(list)
        for zone in range(zone_count):
            if zone in own:
                samples_by_pair[ZonePair(home, zone)].append(own[zone])
            for record, origin_zone in self._records(now_ns, Topic.ZONE_HEALTH, zone, live):
                samples_by_pair[ZonePair(origin_zone, zone)].append(HealthSample.decode(record.value))
        return samples_by_pair

    def abandoned_zones(
        self, now_ns: int, zone_count: int, home: int, members: Counter[int]
    ) -> frozenset[int]:
        """Return the other zones whose own sidecars, a quorum of them, report a level other than home.

        Args:
            now_ns: Current monotonic time in nanoseconds.
            zone_count: Number of zones.
            home: Zone of this sidecar.
            members: Number of live sidecars by zone.
        """
        live = self._live_peers(now_ns)
        abandoned = set()
        for zone in range(zone_count):
            records = self._records(now_ns, Topic.FAILOVER_LEVEL, zone, live)
            reporting = sum(origin_zone == zone for _, origin_zone in records)
            if zone != home and reporting >= quorum(members[zone]):
                abandoned.add(zone)
        return frozenset(abandoned)

    def reported_levels(self, now_ns: int, home: int, order: Sequence[int], own_level: int) -> list[int]:
        """Return the levels of the home zone's reporters; 0 for a reporter without a record.

        Args:
            now_ns: Current monotonic time in nanoseconds.
            home: Zone of this sidecar.
            order: Sidecars of the home zone in staying order.
            own_level: Level of this sidecar's plan.
        """
        stored = self.membership.records.on_subject(now_ns, Topic.FAILOVER_LEVEL, home)
        levels = {record.origin: min(record.value, LAST_LEVEL) for record, _ in stored}
        levels[self.membership.own_number] = own_level
        return [levels.get(member, 0) for member in order[:MAX_REPORTERS]]

    def levels(self, now_ns: int, zone_count: int) -> dict[int, list[int]]:
        """Return by zone the levels that other sidecars report for their own zone, in ascending order."""
        live = self._live_peers(now_ns)
        levels_by_zone = {}
        for zone in range(zone_count):
            records = self._records(now_ns, Topic.FAILOVER_LEVEL, zone, live)
            if records:
                levels_by_zone[zone] = sorted(
                    record.value for record, origin_zone in records if origin_zone == zone
                )
        return levels_by_zone

    def _live_peers(self, now_ns: int) -> set[int]:
        return set(self.membership.live_members(now_ns)) - {self.membership.own_number}

    def _records(self, now_ns: int, topic: Topic, zone: int, live: set[int]) -> list[ZoneRecord]:
        """Return the records on a zone that live sidecars have published."""
        zone_records = []
        for record, _ in self.membership.records.on_subject(now_ns, topic, zone):
            origin_zone = self.membership.zone_of(record.origin)
            if origin_zone is not None and record.origin in live:
                zone_records.append(ZoneRecord(record, origin_zone))
        return zone_records
