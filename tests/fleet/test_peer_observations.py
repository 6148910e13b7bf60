"""What the balancer gets of the membership, and the membership of balancers."""

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


def event(protocol: MembershipProtocol, now_ns: int, endpoints: dict[str, int]) -> MembershipChanged:
    return peer_observations.membership_event(
        protocol.membership, now_ns, endpoints, {}, EndpointRanking(protocol.membership.own_number)
    )


def test_a_hint_needs_a_quorum_of_live_peers_and_their_latest_reports() -> None:
    world = converged_fleet(9, equal_states=True)
    protocol, endpoints = world.living[0], {"s-1": 11, "s-2": 12}
    assert [hint_quorum(live) for live in (9, 4, 2)] == [3, 2, 2]
    for member in (1, 2):
        report_endpoint(world.living[member].membership, world.now_ns, "s-1", answers=False)
    report_endpoint(protocol.membership, world.now_ns, "s-1", answers=False)  # its own report does not count
    world.run(SECOND)
    changed = event(protocol, world.now_ns, endpoints)
    assert changed.live_sidecars == 9
    assert not changed.failing_endpoints
    assert set(changed.ranks) == {11, 12}
    report_endpoint(world.living[3].membership, world.now_ns, "s-1", answers=False)
    world.run(SECOND)
    assert event(protocol, world.now_ns, endpoints).failing_endpoints == {11}
    for member in (1, 2, 3):
        report_endpoint(world.living[member].membership, world.now_ns, "s-1", answers=True)
    world.run(SECOND)
    changed = event(protocol, world.now_ns, endpoints)
    assert not changed.failing_endpoints
    assert changed.answering_endpoints == {11}
    world.run(15 * SECOND)
    assert not event(protocol, world.now_ns, endpoints).answering_endpoints


def test_a_report_is_not_repeated_after_a_quorum_but_can_be_taken_back() -> None:
    world = converged_fleet(9, 2, equal_states=True)
    published = []
    for member in range(7):
        published.append(report_endpoint(world.living[member].membership, world.now_ns, "s-1", answers=False))
        world.run(SECOND)
    assert published == [True] * 4 + [False] * 3  # so that each of these has three other reports
    assert not report_endpoint(
        world.living[0].membership, world.now_ns, "s-1", answers=False
    )  # once is enough
    assert report_endpoint(world.living[0].membership, world.now_ns, "s-1", answers=True)


def test_an_isolated_member_counts_on_all_others() -> None:
    world = converged_fleet(6, equal_states=True)
    world.cut = lambda sender, peer: 0 in (sender, peer)
    world.run(20 * SECOND)
    protocol = world.living[0]
    assert protocol.membership.live_members(world.now_ns) == [0]
    assert event(protocol, world.now_ns, {"s-1": 11}) == MembershipChanged(6, {})


def test_departed_members_count_until_they_could_have_been_restarted() -> None:
    world = converged_fleet(12, equal_states=True)
    for number in range(8):
        world.kill(number)
    assert world.run(20 * SECOND, world.has_converged)
    protocol = world.living[11]
    assert len(protocol.membership.live_members(world.now_ns)) == 4
    world.kill(10)
    fresh = world.start(10)
    assert world.run(20 * SECOND, lambda: fresh.membership.synchronized)
    assert len(fresh.membership.live_members(world.now_ns)) == 4
    assert event(fresh, world.now_ns, {}).live_sidecars == 12  # as for those who knew them
    assert event(protocol, world.now_ns, {}).live_sidecars == 12
    world.run(31 * SECOND)
    assert event(protocol, world.now_ns, {}).live_sidecars == 4
    world.start(0)
    assert world.run(20 * SECOND, world.has_converged)
    assert event(protocol, world.now_ns, {}).live_sidecars == 5


def test_the_newest_list_version_is_announced_by_whoever_has_it() -> None:
    world = converged_fleet(6, equal_states=True)
    for member, version in ((0, 7), (1, 9), (2, 8)):
        announce_list_version(world.living[member].membership, world.now_ns, version)
        world.run(SECOND)
    assert newest_list_version(world.living[5].membership, world.now_ns) == 9
    assert (Topic.LIST_VERSION, 2, NO_SUBJECT) not in world.living[5].membership.records.records


def test_the_balancer_ejects_at_its_first_failure_an_endpoint_that_peers_report() -> None:
    hints = {}
    for reported in (False, True):
        balancer, now = make_balancer(endpoint_count=6, fleet_size=4)
        balancer.handle(
            now, MembershipChanged(4, {}, failing_endpoints=frozenset({102}) if reported else frozenset())
        )
        assert not balancer.endpoints.all[102].ejected  # never by hints alone
        ident = 1
        while True:
            send = submit_request(balancer, now, ident)
            ident += 1
            if send.endpoint_number == 102:
                break
            balancer.handle(now, Outcome(ident - 1, 0, send.endpoint_number, Status.OK, SECOND // 50, True))
        actions = balancer.handle(now, Outcome(ident - 1, 0, 102, Status.RESET, SECOND // 50, False))
        assert balancer.endpoints.all[102].ejected is reported
        hints[reported] = [action for action in actions if isinstance(action, ReportEndpointHealth)]
    assert hints == {False: [], True: [ReportEndpointHealth(102, False)]}


def test_the_balancer_probes_at_once_an_endpoint_that_answers_peers() -> None:
    balancer, now = make_balancer(endpoint_count=6, fleet_size=4)
    balancer.handle(now, MembershipChanged(4, {}, failing_endpoints=frozenset({102})))
    server = balancer.endpoints.all[102]
    balancer.context.now_ns, balancer.context.actions = now, []
    balancer.outliers.eject(server)
    assert server.probation_ns > now
    balancer.handle(now, MembershipChanged(4, {}, answering_endpoints=frozenset({102})))
    actions = balancer.handle(now, make_request(900, now))
    (send,) = [action for action in actions if hasattr(action, "endpoint_number")]
    assert send.endpoint_number == 102
    actions = balancer.handle(now, Outcome(900, 0, 102, Status.OK, SECOND // 50, True))
    assert ReportEndpointHealth(102, True) in actions


def test_a_balancer_without_membership_reports_nothing_and_uses_the_settings() -> None:
    balancer, now = make_balancer(endpoint_count=6, fleet_size=4)
    balancer.context.now_ns, balancer.context.actions = now, []
    balancer.outliers.eject(balancer.endpoints.all[102])
    assert not any(isinstance(action, ReportEndpointHealth) for action in balancer.context.actions)
    assert balancer.context.sidecar_count() == 4
    balancer.handle(now, MembershipChanged(12, {}))
    assert balancer.context.sidecar_count() == 12


def test_a_new_balancer_starts_with_latencies_of_peers_and_replaces_them_soon() -> None:
    balancer, now = make_balancer(endpoint_count=6, fleet_size=4)
    work = balancer.context.classes[0]
    balancer.handle(now, MembershipChanged(4, {}, typical_latency_ns={0: SECOND / 4}))
    assert work.mean_latency_ns == work.typical_latency_ns == SECOND / 4
    for ident in range(1, 61):
        send = submit_request(balancer, now, ident)
        balancer.handle(now, Outcome(ident, 0, send.endpoint_number, Status.OK, SECOND // 50, True))
        now += SECOND // 20
    # Wrong by twelve times, and mostly forgotten after sixty answers.
    assert work.typical_latency_ns < SECOND / 10
    balancer.handle(now, MembershipChanged(4, {}, typical_latency_ns={0: SECOND / 4}))
    assert work.typical_latency_ns < SECOND / 10  # it knows better


def test_a_new_member_requests_records_until_three_have_replied() -> None:
    world = converged_fleet(9, equal_states=True)
    world.run(7 * SECOND)  # nobody is new any more
    for member in range(8):
        report_endpoint(world.living[member].membership, world.now_ns, f"s-{member}", answers=False)
        peer_observations.publish_typical_latencies(
            world.living[member].membership, world.now_ns, {"lookup": (3 + member % 2 * 5) * SECOND / 1000}
        )
    announce_list_version(world.living[2].membership, world.now_ns, 44)
    world.run(4 * SECOND)
    world.kill(8)
    fresh = world.start(8)
    assert not fresh.membership.records.records
    world.run(2 * SECOND)
    assert fresh.record_transfer.replies == 3
    assert newest_list_version(fresh.membership, world.now_ns) == 44
    assert len(fresh.membership.records.subjects_of(Topic.ENDPOINT_FAILED)) > 5
    changed = peer_observations.membership_event(
        fresh.membership, world.now_ns, {}, {"lookup": 0, "order": 1}, EndpointRanking(8)
    )
    assert set(changed.typical_latency_ns) == {0}
    assert changed.typical_latency_ns[0] in (3e6, 8e6)
    old = world.living[0]
    assert {key[1] for key in old.membership.records.records if key[0] == Topic.TYPICAL_LATENCY} == {
        0
    }  # never gossiped


def test_subsets_stay_until_departed_members_could_have_been_restarted() -> None:
    world = converged_fleet(12, equal_states=True)
    endpoints = {f"s-{number}": number for number in range(20)}
    protocol = world.living[11]
    before = event(protocol, world.now_ns, endpoints).ranks
    for number in range(8):
        world.kill(number)
    assert world.run(20 * SECOND, world.has_converged)
    assert event(protocol, world.now_ns, endpoints).ranks == before
    world.run(31 * SECOND)
    assert event(protocol, world.now_ns, endpoints).ranks != before
