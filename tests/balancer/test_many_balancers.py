"""A fleet of modules in one process: what each does that is fine alone and hurts once all of them do it."""

import random

import pytest
from helpers import MS, SECOND, make_balancer, make_endpoint, make_request, submit_request

from dykefold.balancer.actions import Send
from dykefold.balancer.events import EndpointListUpdate, ListKind, Outcome, Status
from dykefold.balancer.settings import Effect

ZONES = 5


def fleet(sidecars, servers, **more):
    """Sidecars of all zones with one list, and the time."""
    entries = [make_endpoint(n, zone=n % ZONES, cell=n // 4) for n in range(servers)]
    made = []
    for number in range(sidecars):
        balancer, now = make_balancer(
            endpoints=entries,
            seed=number,
            zones=list("abcde"),
            zone=number % ZONES,
            fleet_size=sidecars,
            can_hedge=False,
            **more,
        )
        made.append(balancer)
    return made, now


def day(made, now, rate, seconds, seed=7, took=40 * MS):
    """Requests at this total rate, spread over the sidecars; the time after them."""
    chance = random.Random(seed)
    for ident in range(1, int(rate * seconds)):
        now += int(SECOND / rate)
        number = chance.randrange(len(made))
        sent = submit_request(made[number], now, ident)
        made[number].handle(now + took, Outcome(ident, 0, sent.endpoint_number, Status.OK, took, True))
    return now


def test_pairs_of_sidecar_and_server_do_not_grow_with_the_fleet():
    """Guards servers against handshakes: at equal traffic each server met every sidecar, and a new one was
    greeted by forty first connections before it had answered ten requests."""
    pairs = {}
    for sidecars in (5, 40, 80):
        made, now = fleet(sidecars, 120)
        day(made, now, 400.0, 12)
        pairs[sidecars] = sum(len(balancer.endpoints.near) + len(balancer.endpoints.far) for balancer in made)
    assert pairs[5] == 5 * 120  # few enough to know all
    assert pairs[40] < 0.4 * 40 * 120
    assert pairs[80] < 0.3 * 80 * 120


def test_every_server_is_known_to_some_sidecars_of_other_zones():
    """Guards the load of a server against hanging on the one or two sidecars that happen to sample it."""
    made, now = fleet(40, 60)
    day(made, now, 200.0, 8)
    known = dict.fromkeys(range(60), 0)
    for balancer in made:
        assert len(balancer.endpoints.near) == 12
        assert len(balancer.endpoints.far) < 48 * 0.4
        for server in balancer.endpoints.far:
            known[server.id] += 1
    assert min(known.values()) >= 1
    assert sum(known.values()) >= 4 * 60


def test_a_small_fleet_samples_all_however_little_is_sent():
    made, now = fleet(4, 15)
    day(made, now, 4.0, 10)
    assert all(len(balancer.endpoints.near) + len(balancer.endpoints.far) == 15 for balancer in made)


@pytest.mark.parametrize("effect", list(Effect))
def test_a_request_goes_beyond_the_set_where_none_of_it_is_fit(effect):
    """Guards a zone that is lost while the sampled servers elsewhere drain: the others are still there."""
    made, now = fleet(40, 60, effect=effect)
    balancer = made[0]
    submit_request(balancer, now, 1)
    assert balancer.endpoints.rest
    for server in balancer.endpoints.near + balancer.endpoints.far:
        server.ready = False  # as between two lists, before the sets are made anew
    actions = balancer.handle(now + MS, make_request(2, now + MS))
    sent = next(action for action in actions if isinstance(action, Send))
    assert sent.endpoint_number in {server.id for server in balancer.endpoints.rest}


def test_a_cold_server_gets_a_fair_share_of_its_ramp_from_the_whole_fleet():
    """Guards the fourth rule: those who sample a server carry the part of those who do not, no more."""
    made, now = fleet(40, 60)
    now = day(made, now, 400.0, 6)
    entries = [make_endpoint(n, zone=n % ZONES, cell=n // 4) for n in range(60)]
    entries[7] = make_endpoint(7, zone=7 % ZONES, cell=1, started_ns=now)
    for balancer in made:
        balancer.handle(now, EndpointListUpdate(ListKind.FULL, 2, entries))
    chance, count = random.Random(3), 0
    for ident in range(100_000, 100_800):  # two seconds
        now += int(SECOND / 400)
        balancer = made[chance.randrange(40)]
        sent = submit_request(balancer, now, ident)
        count += sent.endpoint_number == 7
        balancer.handle(now + 40 * MS, Outcome(ident, 0, sent.endpoint_number, Status.OK, 40 * MS, True))
    fair = 2 * 400 / 60  # a warm server's share in that time; this one begins at a fifth of what that can do
    assert 1 <= count <= 3.0 * 0.2 * fair


def test_a_quiet_sidecar_that_turns_busy_samples_more_at_once():
    """Guards the few sampled servers against all the traffic of a sidecar whose client has woken up."""
    made, now = fleet(40, 60)
    balancer = made[0]
    now = day([balancer], now, 2.0, 20)
    few = len(balancer.endpoints.far)
    assert few == 6
    now = day([balancer], now, 200.0, 3)
    assert len(balancer.endpoints.far) > 2 * few
