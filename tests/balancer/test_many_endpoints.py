"""Sixteen times the endpoints: a sidecar meets the part of them that its demand keeps in use."""

import random

import pytest
from helpers import MS, SECOND, make_balancer, make_endpoint, make_request

from dykefold.balancer.actions import Send
from dykefold.balancer.events import EndpointListUpdate, ListKind, Outcome, State, Status

ZONES = ["a", "b", "c"]
SPAN_S = 20


def play(balancer, now, rate=30.0, span_s=SPAN_S, took=40 * MS, seed=1):
    """Requests at their times, each answered; how often each endpoint was met."""
    chance, met, ident, end = random.Random(seed), {}, 0, now + span_s * SECOND
    while (now := now + int(chance.expovariate(rate) * SECOND)) < end:
        ident += 1
        for sent in [one for one in balancer.handle(now, make_request(ident, now)) if isinstance(one, Send)]:
            met[sent.endpoint_number] = met.get(sent.endpoint_number, 0) + 1
            balancer.handle(now + took, Outcome(ident, 0, sent.endpoint_number, Status.OK, took, True))
    return met


def sidecar(servers, fleet_size, seed=1):
    entries = [make_endpoint(n, zone=n % 3) for n in range(servers)]
    return make_balancer(
        endpoints=entries, seed=seed, zones=ZONES, fleet_size=fleet_size, price_cross_zone=0.5
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_sixteen_times_the_endpoints_cost_a_bounded_number_of_connections(seed):
    usual = len(play(*sidecar(200, 200, seed)))
    large = len(play(*sidecar(3200, 200, seed)))
    assert large <= 2.5 * usual + 40


@pytest.mark.parametrize(("servers", "fleet_size"), [(200, 200), (60, 40), (3200, 1), (3200, 10), (3200, 20)])
def test_all_endpoints_of_the_zone_are_sampled_at_usual_sizes_and_by_few_sidecars(servers, fleet_size):
    balancer, now = sidecar(servers, fleet_size)
    play(balancer, now, span_s=2)
    in_zone = sum(n % 3 == 0 for n in range(servers))
    wanted = min(in_zone, 10 * servers / fleet_size) if servers == 3200 else in_zone
    assert len(balancer.endpoints.near) >= wanted


def test_all_sidecars_together_reach_all_endpoints_and_none_has_far_more_than_its_part():
    samplers = dict.fromkeys(range(0, 3200, 3), 0)
    for seed in range(67):  # of one zone
        balancer, _ = sidecar(3200, 200, seed)
        for one in balancer.endpoints.near:
            samplers[one.id] += 1
    counts = sorted(samplers.values())
    assert counts[len(counts) // 100] >= 2
    assert counts[-1] <= 3 * sum(counts) / len(counts)


def test_what_drains_is_replaced_and_the_others_stay():
    balancer, now = sidecar(3200, 200)
    play(balancer, now, span_s=5)
    before = {one.id for one in balancer.endpoints.near}
    gone = sorted(before)[:10]
    news = [make_endpoint(n, zone=0, state=State.DRAINING) for n in gone]
    balancer.handle(now + 6 * SECOND, EndpointListUpdate(ListKind.DELTA, 2, news))
    after = {one.id for one in balancer.endpoints.near}
    assert len(after) == len(before)
    assert before - after == set(gone)


def test_the_subset_does_not_churn_with_the_demand():
    balancer, now = sidecar(3200, 200)
    play(balancer, now, span_s=10)
    sizes = set()
    for turn, rate in enumerate((24.0, 30.0, 36.0, 30.0)):
        play(balancer, now + (10 + 10 * turn) * SECOND, rate, 10, seed=turn)
        sizes.add(len(balancer.endpoints.near))
    assert len(sizes) == 1


def test_the_part_grows_with_what_is_in_flight():
    balancer, now = sidecar(3200, 200)
    play(balancer, now, rate=600.0, span_s=3, took=400 * MS)
    assert len(balancer.endpoints.near) > 2 * 160  # the fleet's share: ten sidecars for each endpoint
