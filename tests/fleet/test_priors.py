"""What the module makes of the view, and the view of what modules find."""

from __future__ import annotations

from collections import Counter

from helpers import SECOND, make, request, send_one
from hypothesis import given
from hypothesis import strategies as st

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
    MAX_RANKED_PAIRS,
    MEMBERS_PER_ENDPOINT,
    EndpointRanking,
    PlacedMember,
    subset_fraction,
)
from dykefold.sim.views import Views

ZONES = 3


def whole(size: int, seed: int = 1) -> Views:
    world = Views(size, seed)
    for number in range(size):
        world.start(number)
    assert world.run(20 * SECOND, lambda: world.right() and world.equal())
    return world


def event(view: MembershipProtocol, now_ns: int, servers: dict[str, int]) -> MembershipChanged:
    return peer_observations.membership_event(
        view.membership, now_ns, servers, {}, EndpointRanking(view.membership.own_number)
    )


def afar(members: list[int], servers: int = 60) -> set[tuple[int, int]]:
    """Members with the servers of other zones that they sample."""
    live = [PlacedMember(member, member % ZONES) for member in members]
    least = subset_fraction(live)
    return {
        (member, server)
        for member, zone in live
        for server, rank in EndpointRanking(member).update(range(servers), zone, live).items()
        if rank < least and server % ZONES != zone
    }


def test_each_server_is_sampled_by_as_many_members_of_other_zones() -> None:
    known = Counter(server for _, server in afar(list(range(42))))
    assert sorted(known) == list(range(60))
    assert min(known.values()) >= MEMBERS_PER_ENDPOINT
    assert max(known.values()) <= MEMBERS_PER_ENDPOINT + ZONES


def test_a_member_that_goes_moves_what_it_sampled_and_hardly_more() -> None:
    everyone = list(range(42))
    before, after = afar(everyone), afar([member for member in everyone if member != 7])
    its = {pair for pair in before if pair[0] == 7}
    assert not before - after - its  # all others keep theirs
    assert len(after - before) <= 2 * len(its) + ZONES


@given(st.lists(st.tuples(st.sets(st.integers(0, 9)), st.sets(st.integers(0, 12))), max_size=6))
def test_places_that_are_kept_are_those_counted_anew(steps: list[tuple[set[int], set[int]]]) -> None:
    kept = EndpointRanking(3)
    for servers, members in steps:
        live = [PlacedMember(member, member % 2) for member in members]
        assert kept.update(sorted(servers), 1, live) == EndpointRanking(3).update(sorted(servers), 1, live)


def test_too_many_to_rank_are_not_ranked() -> None:
    live = [PlacedMember(member, 0) for member in range(MAX_RANKED_PAIRS)]
    assert EndpointRanking(0).update([1, 2], 0, live) == {}
    assert EndpointRanking(0).update([1], 1, [PlacedMember(0, None)]) == {}  # nobody of the own zone is known


def test_a_hint_wants_several_others_who_live_and_the_latest_word_of_each_counts() -> None:
    world = whole(9)
    view, servers = world.living[0], {"s-1": 11, "s-2": 12}
    assert [hint_quorum(live) for live in (9, 4, 2)] == [3, 2, 2]
    for member in (1, 2):
        report_endpoint(world.living[member].membership, world.now_ns, "s-1", answers=False)
    report_endpoint(view.membership, world.now_ns, "s-1", answers=False)  # its own word is no news to it
    world.run(SECOND)
    told = event(view, world.now_ns, servers)
    assert told.live == 9 and not told.failing
    assert set(told.ranks) == {11, 12}
    report_endpoint(world.living[3].membership, world.now_ns, "s-1", answers=False)
    world.run(SECOND)
    assert event(view, world.now_ns, servers).failing == {11}
    for member in (1, 2, 3):
        report_endpoint(world.living[member].membership, world.now_ns, "s-1", answers=True)
    world.run(SECOND)
    told = event(view, world.now_ns, servers)
    assert not told.failing and told.answering == {11}
    world.run(15 * SECOND)
    assert not event(view, world.now_ns, servers).answering


def test_what_enough_others_say_is_not_said_again_but_taken_back() -> None:
    world = whole(9, 2)
    said = []
    for member in range(7):
        said.append(report_endpoint(world.living[member].membership, world.now_ns, "s-1", answers=False))
        world.run(SECOND)
    assert said == [True] * 4 + [False] * 3  # so that each of these hears three others
    assert not report_endpoint(
        world.living[0].membership, world.now_ns, "s-1", answers=False
    )  # once is enough
    assert report_endpoint(world.living[0].membership, world.now_ns, "s-1", answers=True)


def test_who_hears_nobody_counts_on_all() -> None:
    world = whole(6)
    world.cut = lambda sender, peer: 0 in (sender, peer)
    world.run(20 * SECOND)
    view = world.living[0]
    assert view.membership.live_members(world.now_ns) == [0]
    assert event(view, world.now_ns, {"s-1": 11}) == MembershipChanged(6, {})


def test_those_who_went_count_until_they_could_have_been_started_again() -> None:
    world = whole(12)
    for number in range(8):
        world.kill(number)
    assert world.run(20 * SECOND, world.right)
    view = world.living[11]
    assert len(view.membership.live_members(world.now_ns)) == 4
    world.kill(10)
    fresh = world.start(10)
    assert world.run(20 * SECOND, lambda: fresh.membership.synchronized)
    assert len(fresh.membership.live_members(world.now_ns)) == 4
    assert event(fresh, world.now_ns, {}).live == 12  # as for those who knew them
    assert event(view, world.now_ns, {}).live == 12
    world.run(31 * SECOND)
    assert event(view, world.now_ns, {}).live == 4
    world.start(0)
    assert world.run(20 * SECOND, world.right)
    assert event(view, world.now_ns, {}).live == 5


def test_the_newest_list_is_told_once_and_by_whoever_has_it() -> None:
    world = whole(6)
    for member, version in ((0, 7), (1, 9), (2, 8)):
        announce_list_version(world.living[member].membership, world.now_ns, version)
        world.run(SECOND)
    assert newest_list_version(world.living[5].membership, world.now_ns) == 9
    assert (Topic.LIST_VERSION, 2, NO_SUBJECT) not in world.living[5].membership.records.records


def test_the_module_ejects_at_one_failure_of_its_own_what_several_found_to_fail() -> None:
    hints = {}
    for told in (False, True):
        balancer, now = make(servers=6, fleet_size=4)
        balancer.handle(now, MembershipChanged(4, {}, failing=frozenset({102}) if told else frozenset()))
        assert not balancer.endpoints.all[102].ejected  # never by hints alone
        ident = 1
        while True:
            send = send_one(balancer, now, ident)
            ident += 1
            if send.server == 102:
                break
            balancer.handle(now, Outcome(ident - 1, 0, send.server, Status.OK, SECOND // 50, True))
        actions = balancer.handle(now, Outcome(ident - 1, 0, 102, Status.RESET, SECOND // 50, False))
        assert balancer.endpoints.all[102].ejected is told
        hints[told] = [action for action in actions if isinstance(action, ReportEndpointHealth)]
    assert hints == {False: [], True: [ReportEndpointHealth(102, False)]}


def test_the_module_tries_at_once_what_answers_others_and_says_so_when_it_answers_here() -> None:
    balancer, now = make(servers=6, fleet_size=4)
    balancer.handle(now, MembershipChanged(4, {}, failing=frozenset({102})))
    server = balancer.endpoints.all[102]
    balancer.context.now_ns, balancer.context.actions = now, []
    balancer.outliers.eject(server)
    assert server.probation_ns > now
    balancer.handle(now, MembershipChanged(4, {}, answering=frozenset({102})))
    actions = balancer.handle(now, request(900, now))
    (send,) = [action for action in actions if hasattr(action, "server")]
    assert send.server == 102
    actions = balancer.handle(now, Outcome(900, 0, 102, Status.OK, SECOND // 50, True))
    assert ReportEndpointHealth(102, True) in actions


def test_a_module_that_hears_of_no_fleet_says_no_hints_and_counts_what_is_set() -> None:
    balancer, now = make(servers=6, fleet_size=4)
    balancer.context.now_ns, balancer.context.actions = now, []
    balancer.outliers.eject(balancer.endpoints.all[102])
    assert not any(isinstance(action, ReportEndpointHealth) for action in balancer.context.actions)
    assert balancer.context.sidecar_count() == 4
    balancer.handle(now, MembershipChanged(12, {}))
    assert balancer.context.sidecar_count() == 12


def test_a_fresh_module_begins_with_what_others_tell_and_soon_goes_by_its_own() -> None:
    balancer, now = make(servers=6, fleet_size=4)
    work = balancer.context.classes[0]
    balancer.handle(now, MembershipChanged(4, {}, usual={0: SECOND / 4}))
    assert work.mean_latency_ns == work.typical_latency_ns == SECOND / 4
    for ident in range(1, 61):
        send = send_one(balancer, now, ident)
        balancer.handle(now, Outcome(ident, 0, send.server, Status.OK, SECOND // 50, True))
        now += SECOND // 20
    # Wrong by twelve times, and mostly forgotten after sixty answers.
    assert work.typical_latency_ns < SECOND / 10
    balancer.handle(now, MembershipChanged(4, {}, usual={0: SECOND / 4}))
    assert work.typical_latency_ns < SECOND / 10  # it knows better


def test_one_that_starts_anew_asks_three_what_they_know() -> None:
    world = whole(9)
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
    told = peer_observations.membership_event(
        fresh.membership, world.now_ns, {}, {"lookup": 0, "order": 1}, EndpointRanking(8)
    )
    assert set(told.usual) == {0}
    assert told.usual[0] in (3e6, 8e6)
    old = world.living[0]
    assert {key[1] for key in old.membership.records.records if key[0] == Topic.TYPICAL_LATENCY} == {
        0
    }  # never told unasked


def test_servers_stay_where_they_were_until_those_who_went_could_be_back() -> None:
    world = whole(12)
    servers = {f"s-{number}": number for number in range(20)}
    view = world.living[11]
    before = event(view, world.now_ns, servers).ranks
    for number in range(8):
        world.kill(number)
    assert world.run(20 * SECOND, world.right)
    assert event(view, world.now_ns, servers).ranks == before
    world.run(31 * SECOND)
    assert event(view, world.now_ns, servers).ranks != before
