"""Observations of endpoints, latencies and discovery that members exchange as records. No I/O.

Endpoint numbers differ between processes, so the checksum of an endpoint's name is the subject of its records
and the key of its rank. Two names with the same checksum share hints, which are only priors.
"""

from __future__ import annotations

import zlib
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from typing import NamedTuple

from ..balancer.events import MembershipChanged
from .membership import Membership
from .record_store import RecordVersion, Topic, version_of
from .statistics import lower_median
from .subsetting import EndpointRanking, PlacedMember, subset_fraction

HINT_QUORUM = 3  # Other members with the same report: two may share a fault, such as a partition.
MIN_HINT_QUORUM = 2  # In a fleet in which three are more than half of the members.
LATENCY_QUORUM = 3  # Other members; with one wrong report the median still lies between two correct ones.
VERSION_MODULUS = 1 << 32  # For versions of endpoint lists in records.
NO_SUBJECT = 0  # For records about the discovery service, of which a fleet has one.
NS_PER_MS = 1_000_000
NS_PER_US = 1_000


class PollReports(NamedTuple):
    """Poll records of other live members.

    Attributes:
        spreads_ns: Nanoseconds over which each member would spread the fleet's polls.
        last_answered_ns: Monotonic time in nanoseconds of the latest reported answer; None if there is none.
    """

    spreads_ns: list[int]
    last_answered_ns: int | None


@dataclass(frozen=True, slots=True)
class EndpointHints:
    """Numbers of endpoints that a quorum of other members reports as failing or as answering."""

    failing: set[int]
    answering: set[int]


class _Report(NamedTuple):
    """A member's latest report on an endpoint, with its version."""

    version: RecordVersion
    answers: bool


def name_checksum(name: str) -> int:
    """Return the checksum that identifies a name in records."""
    return zlib.crc32(name.encode())


def hint_quorum(live: int) -> int:
    """Return the number of other members that must agree on a hint; one faulty sidecar must not suffice.

    Args:
        live: Number of live members.
    """
    return min(HINT_QUORUM, max(MIN_HINT_QUORUM, live // 2))


def report_endpoint(membership: Membership, now_ns: int, name: str, answers: bool) -> bool:
    """Publish that the balancer ejected an endpoint, or received an answer from it after that.

    A report that enough others have published is suppressed, unless it reverses this member's last one:
    otherwise, after the loss of a zone, each member would publish a record for each endpoint of the zone, and
    all members would gossip them. An isolated member may be partitioned from the endpoints too, and publishes
    nothing.

    Returns:
        Whether a record was published.
    """
    if membership.isolated:
        return False
    subject = name_checksum(name)
    reports = _endpoint_reports(membership, now_ns, subject)
    own_report = reports.pop(membership.own_number, None)
    if own_report is None or own_report is answers:
        live = set(membership.live_members(now_ns))
        agreeing = sum(report is answers for origin, report in reports.items() if origin in live)
        if agreeing > HINT_QUORUM or own_report is not None:
            return False
    topic = Topic.ENDPOINT_ANSWERED if answers else Topic.ENDPOINT_FAILED
    membership.publish(now_ns, topic, subject, 0)
    return True


def announce_list_version(membership: Membership, now_ns: int, version: int) -> None:
    """Publish the version of this sidecar's endpoint list, unless a member reports a newer one."""
    newest = newest_list_version(membership, now_ns)
    if newest is None or version % VERSION_MODULUS > newest:
        membership.publish(now_ns, Topic.LIST_VERSION, NO_SUBJECT, version % VERSION_MODULUS)


def newest_list_version(membership: Membership, now_ns: int) -> int | None:
    """Return the newest version of the endpoint list that any member reports; None if none does.

    Versions start again when discovery moves to another address. For the lifetime of a record this may then
    be a version of the old service, which costs one unnecessary poll.
    """
    stored = membership.records.on_subject(now_ns, Topic.LIST_VERSION, NO_SUBJECT)
    return max((record.value for record, _ in stored), default=None)


def announce_poll_spread(membership: Membership, now_ns: int, spread_ns: int, answered: bool) -> None:
    """Publish this member's poll spread, and whether its polls are answered."""
    value = spread_ns // NS_PER_MS << 1 | answered
    membership.publish(now_ns, Topic.POLL_SPREAD, NO_SUBJECT, value)


def poll_reports(membership: Membership, now_ns: int) -> PollReports:
    """Return the poll records of other live members."""
    spreads_ns: list[int] = []
    last_answered_ns: int | None = None
    live = set(membership.live_members(now_ns)) - {membership.own_number}
    for record, published_ns in membership.records.on_subject(now_ns, Topic.POLL_SPREAD, NO_SUBJECT):
        if record.origin not in live:
            continue
        spreads_ns.append((record.value >> 1) * NS_PER_MS)
        if record.value & 1:
            last_answered_ns = max(published_ns, last_answered_ns or 0)
    return PollReports(spreads_ns, last_answered_ns)


def publish_typical_latencies(membership: Membership, now_ns: int, latencies: Mapping[str, float]) -> None:
    """Publish typical latencies of request classes, as priors for joining members.

    Args:
        membership: Membership that publishes the records.
        now_ns: Current monotonic time in nanoseconds.
        latencies: Typical latencies in nanoseconds, by name of the class.
    """
    for name, latency_ns in latencies.items():
        subject = name_checksum(name)
        membership.publish(now_ns, Topic.TYPICAL_LATENCY, subject, int(latency_ns) // NS_PER_US)


def membership_event(
    membership: Membership,
    now_ns: int,
    endpoints: Mapping[str, int],
    classes: Mapping[str, int],
    ranking: EndpointRanking,
) -> MembershipChanged:
    """Return the membership event for the balancer.

    Args:
        membership: Membership as this member knows it.
        now_ns: Current monotonic time in nanoseconds.
        endpoints: The balancer's numbers of endpoints, by name.
        classes: The balancer's numbers of request classes, by name.
        ranking: Ranking of this member; holds state between calls.
    """
    live = membership.live_members(now_ns)
    if live == [membership.own_number]:
        # Unreachable members are probably running and use the same endpoints: assume the full fleet.
        return MembershipChanged(len(membership.addresses), {})
    # Members that may restart soon keep their subsets of endpoints: otherwise a mass restart would change the
    # subsets of all members twice within seconds, with a new connection for each change.
    expected = [
        PlacedMember(number, membership.zone_of(number)) for number in membership.expected_members(now_ns)
    ]
    by_subject = {name_checksum(name): number for name, number in endpoints.items()}
    ranks = ranking.update(list(by_subject), membership.zone, expected)
    hints = _endpoint_hints(membership, now_ns, by_subject, live)
    return MembershipChanged(
        len(expected),
        {by_subject[subject]: rank for subject, rank in ranks.items()},
        subset_fraction(expected),
        hints.failing,
        hints.answering,
        _typical_latencies(membership, now_ns, classes),
    )


def _endpoint_hints(
    membership: Membership, now_ns: int, by_subject: Mapping[int, int], live: Collection[int]
) -> EndpointHints:
    """Return the endpoints on which a quorum of other live members agrees."""
    others, quorum = set(live) - {membership.own_number}, hint_quorum(len(live))
    hints = EndpointHints(set(), set())
    subjects = membership.records.subjects_of(Topic.ENDPOINT_FAILED, Topic.ENDPOINT_ANSWERED)
    for subject in subjects & by_subject.keys():
        reports = _endpoint_reports(membership, now_ns, subject)
        other_reports = [report for origin, report in reports.items() if origin in others]
        if sum(other_reports) >= quorum:
            hints.answering.add(by_subject[subject])
        if len(other_reports) - sum(other_reports) >= quorum:
            hints.failing.add(by_subject[subject])
    return hints


def _typical_latencies(membership: Membership, now_ns: int, classes: Mapping[str, int]) -> dict[int, float]:
    """Return the median of the reported latencies in nanoseconds by class, for classes with a quorum."""
    latencies = {}
    for name, number in classes.items():
        stored = membership.records.on_subject(now_ns, Topic.TYPICAL_LATENCY, name_checksum(name))
        values = [record.value for record, _ in stored if record.origin != membership.own_number]
        values = [value for value in values if value]
        if len(values) >= LATENCY_QUORUM:
            latencies[number] = float(NS_PER_US * lower_median(values))
    return latencies


def _endpoint_reports(membership: Membership, now_ns: int, subject: int) -> dict[int, bool]:
    """Return by origin whether its latest report says that the endpoint answers."""
    latest: dict[int, _Report] = {}
    for topic in (Topic.ENDPOINT_FAILED, Topic.ENDPOINT_ANSWERED):
        for record, _ in membership.records.on_subject(now_ns, topic, subject):
            report = _Report(version_of(record), topic is Topic.ENDPOINT_ANSWERED)
            latest[record.origin] = max(latest.get(record.origin, report), report)
    return {origin: report.answers for origin, report in latest.items()}
