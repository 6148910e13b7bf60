"""Observations exchanged between balancer and fleet: health hints, latencies, list versions and subsets."""

from __future__ import annotations

from fleet_helpers import converged_fleet
from helpers import SECOND, make_balancer, make_request, submit_request

from dykefold.balancer.actions import ReportEndpointHealth
from dykefold.balancer.events import MembershipChanged, Outcome, Status
from dykefold.fleet import peer_observations
from dykefold.fleet.peer_observations import (
    NO_SUBJECT,
    announce_list_version,
    hint_quorum,
    newest_list_version,
    report_endpoint,
)
from dykefold.fleet.protocol import MembershipProtocol
from dykefold.fleet.record_store import Topic
from dykefold.fleet.subsetting import (
    EndpointRanking,
)


def membership_event_of(
    protocol: MembershipProtocol, now_ns: int, endpoints: dict[str, int]
) -> MembershipChanged:
    return peer_observations.membership_event(
        protocol.membership, now_ns, endpoints, {}, EndpointRanking(protocol.membership.own_number)
    )


def test_hint_needs_a_quorum_of_latest_reports_by_live_peers() -> None:
    fleet = converged_fleet(9, equal_states=True)
    protocol, endpoints = fleet.living[0], {"s-1": 11, "s-2": 12}
    assert [hint_quorum(live) for live in (9, 4, 2)] == [3, 2, 2]
    for member in (1, 2):
        report_endpoint(fleet.living[member].membership, fleet.now_ns, "s-1", answers=False)
    report_endpoint(protocol.membership, fleet.now_ns, "s-1", answers=False)  # own report, not counted
    fleet.run(SECOND)
    changed = membership_event_of(protocol, fleet.now_ns, endpoints)
    assert changed.live_sidecars == 9
    assert not changed.failing_endpoints
    assert set(changed.ranks) == {11, 12}
    report_endpoint(fleet.living[3].membership, fleet.now_ns, "s-1", answers=False)
    fleet.run(SECOND)
    assert membership_event_of(protocol, fleet.now_ns, endpoints).failing_endpoints == {11}
    for member in (1, 2, 3):
        report_endpoint(fleet.living[member].membership, fleet.now_ns, "s-1", answers=True)
    fleet.run(SECOND)
    changed = membership_event_of(protocol, fleet.now_ns, endpoints)
    assert not changed.failing_endpoints
    assert changed.answering_endpoints == {11}
    fleet.run(15 * SECOND)
    assert not membership_event_of(protocol, fleet.now_ns, endpoints).answering_endpoints


def test_report_is_suppressed_after_a_quorum_unless_it_reverses_an_own_report() -> None:
    fleet = converged_fleet(9, 2, equal_states=True)
    published = []
    for member in range(7):
        published.append(report_endpoint(fleet.living[member].membership, fleet.now_ns, "s-1", answers=False))
        fleet.run(SECOND)
    assert published == [True] * 4 + [False] * 3  # each reporter gets three reports of other members
    assert not report_endpoint(
        fleet.living[0].membership, fleet.now_ns, "s-1", answers=False
    )  # already published
    assert report_endpoint(fleet.living[0].membership, fleet.now_ns, "s-1", answers=True)


def test_isolated_member_counts_the_full_fleet() -> None:
    fleet = converged_fleet(6, equal_states=True)
    fleet.is_cut = lambda sender, peer: 0 in (sender, peer)
    fleet.run(20 * SECOND)
    protocol = fleet.living[0]
    assert protocol.membership.live_members(fleet.now_ns) == [0]
    assert membership_event_of(protocol, fleet.now_ns, {"s-1": 11}) == MembershipChanged(6, {})


def test_departed_members_are_counted_until_their_restart_time_is_over() -> None:
    fleet = converged_fleet(12, equal_states=True)
    for number in range(8):
        fleet.kill(number)
    assert fleet.run(20 * SECOND, fleet.has_converged)
    protocol = fleet.living[11]
    assert len(protocol.membership.live_members(fleet.now_ns)) == 4
    fleet.kill(10)
    joining = fleet.start(10)
    assert fleet.run(20 * SECOND, lambda: joining.membership.synchronized)
    assert len(joining.membership.live_members(fleet.now_ns)) == 4
    # The same number as for members that knew the departed ones before.
    assert membership_event_of(joining, fleet.now_ns, {}).live_sidecars == 12
    assert membership_event_of(protocol, fleet.now_ns, {}).live_sidecars == 12
    fleet.run(31 * SECOND)
    assert membership_event_of(protocol, fleet.now_ns, {}).live_sidecars == 4
    fleet.start(0)
    assert fleet.run(20 * SECOND, fleet.has_converged)
    assert membership_event_of(protocol, fleet.now_ns, {}).live_sidecars == 5


def test_list_version_is_announced_unless_a_newer_one_is_known() -> None:
    fleet = converged_fleet(6, equal_states=True)
    for member, version in ((0, 7), (1, 9), (2, 8)):
        announce_list_version(fleet.living[member].membership, fleet.now_ns, version)
        fleet.run(SECOND)
    assert newest_list_version(fleet.living[5].membership, fleet.now_ns) == 9
    assert (Topic.LIST_VERSION, 2, NO_SUBJECT) not in fleet.living[5].membership.records.records


def test_balancer_ejects_endpoint_reported_by_peers_at_its_first_failure() -> None:
    reports = {}
    for reported in (False, True):
        balancer, now = make_balancer(endpoint_count=6, fleet_size=4)
        balancer.handle(
            now, MembershipChanged(4, {}, failing_endpoints=frozenset({102}) if reported else frozenset())
        )
        assert not balancer.endpoints.all[102].ejected  # a hint alone ejects no endpoint
        ident = 1
        while True:
            send = submit_request(balancer, now, ident)
            ident += 1
            if send.endpoint_number == 102:
                break
            balancer.handle(now, Outcome(ident - 1, 0, send.endpoint_number, Status.OK, SECOND // 50, True))
        actions = balancer.handle(now, Outcome(ident - 1, 0, 102, Status.RESET, SECOND // 50, False))
        assert balancer.endpoints.all[102].ejected is reported
        reports[reported] = [action for action in actions if isinstance(action, ReportEndpointHealth)]
    assert reports == {False: [], True: [ReportEndpointHealth(102, False)]}


def test_balancer_immediately_probes_ejected_endpoint_that_answers_peers() -> None:
    balancer, now = make_balancer(endpoint_count=6, fleet_size=4)
    balancer.handle(now, MembershipChanged(4, {}, failing_endpoints=frozenset({102})))
    endpoint = balancer.endpoints.all[102]
    balancer.context.now_ns, balancer.context.actions = now, []
    balancer.outliers.eject(endpoint)
    assert endpoint.probation_ns > now
    balancer.handle(now, MembershipChanged(4, {}, answering_endpoints=frozenset({102})))
    actions = balancer.handle(now, make_request(900, now))
    (send,) = [action for action in actions if hasattr(action, "endpoint_number")]
    assert send.endpoint_number == 102
    actions = balancer.handle(now, Outcome(900, 0, 102, Status.OK, SECOND // 50, True))
    assert ReportEndpointHealth(102, True) in actions


def test_balancer_without_membership_reports_no_health_and_uses_fleet_size_of_settings() -> None:
    balancer, now = make_balancer(endpoint_count=6, fleet_size=4)
    balancer.context.now_ns, balancer.context.actions = now, []
    balancer.outliers.eject(balancer.endpoints.all[102])
    assert not any(isinstance(action, ReportEndpointHealth) for action in balancer.context.actions)
    assert balancer.context.sidecar_count() == 4
    balancer.handle(now, MembershipChanged(12, {}))
    assert balancer.context.sidecar_count() == 12


def test_new_balancer_starts_with_latencies_of_peers_and_replaces_them_by_its_own() -> None:
    balancer, now = make_balancer(endpoint_count=6, fleet_size=4)
    work_class = balancer.context.classes[0]
    balancer.handle(now, MembershipChanged(4, {}, typical_latency_ns={0: SECOND / 4}))
    assert work_class.mean_latency_ns == work_class.typical_latency_ns == SECOND / 4
    for ident in range(1, 61):
        send = submit_request(balancer, now, ident)
        balancer.handle(now, Outcome(ident, 0, send.endpoint_number, Status.OK, SECOND // 50, True))
        now += SECOND // 20
    # The prior is wrong by a factor of twelve; sixty samples mostly replace it.
    assert work_class.typical_latency_ns < SECOND / 10
    balancer.handle(now, MembershipChanged(4, {}, typical_latency_ns={0: SECOND / 4}))
    assert work_class.typical_latency_ns < SECOND / 10  # its own samples take precedence


def test_joining_member_requests_records_until_three_replies() -> None:
    fleet = converged_fleet(9, equal_states=True)
    fleet.run(7 * SECOND)  # no member is joining any more
    for member in range(8):
        report_endpoint(fleet.living[member].membership, fleet.now_ns, f"s-{member}", answers=False)
        peer_observations.publish_typical_latencies(
            fleet.living[member].membership, fleet.now_ns, {"lookup": (3 + member % 2 * 5) * SECOND / 1000}
        )
    announce_list_version(fleet.living[2].membership, fleet.now_ns, 44)
    fleet.run(4 * SECOND)
    fleet.kill(8)
    joining = fleet.start(8)
    assert not joining.membership.records.records
    fleet.run(2 * SECOND)
    assert joining.record_transfer.replies == 3
    assert newest_list_version(joining.membership, fleet.now_ns) == 44
    assert len(joining.membership.records.subjects_of(Topic.ENDPOINT_FAILED)) > 5
    changed = peer_observations.membership_event(
        joining.membership, fleet.now_ns, {}, {"lookup": 0, "order": 1}, EndpointRanking(8)
    )
    assert set(changed.typical_latency_ns) == {0}
    assert changed.typical_latency_ns[0] in (3e6, 8e6)
    settled = fleet.living[0]
    assert {key[1] for key in settled.membership.records.records if key[0] == Topic.TYPICAL_LATENCY} == {
        0
    }  # never gossiped


def test_subsets_are_kept_until_restart_time_of_departed_members_is_over() -> None:
    fleet = converged_fleet(12, equal_states=True)
    endpoints = {f"s-{number}": number for number in range(20)}
    protocol = fleet.living[11]
    before = membership_event_of(protocol, fleet.now_ns, endpoints).ranks
    for number in range(8):
        fleet.kill(number)
    assert fleet.run(20 * SECOND, fleet.has_converged)
    assert membership_event_of(protocol, fleet.now_ns, endpoints).ranks == before
    fleet.run(31 * SECOND)
    assert membership_event_of(protocol, fleet.now_ns, endpoints).ranks != before
