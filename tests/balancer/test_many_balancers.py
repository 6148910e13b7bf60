"""A fleet of balancers in one process: behaviour that is harmless in one and harmful in all of them."""

import random

import pytest
from helpers import MS, SECOND, make_balancer, make_endpoint, make_request, submit_request

from dykefold.balancer.actions import Send
from dykefold.balancer.events import EndpointListUpdate, ListKind, Outcome, Status
from dykefold.balancer.settings import Effect

ZONES = 5


def make_fleet(sidecar_count, endpoint_count, **overrides):
    """Make sidecars of all zones with the same endpoint list; return them and the time in nanoseconds."""
    entries = [make_endpoint(n, zone=n % ZONES, cell=n // 4) for n in range(endpoint_count)]
    balancers = []
    for sidecar in range(sidecar_count):
        balancer, now_ns = make_balancer(
            endpoints=entries,
            seed=sidecar,
            zones=list("abcde"),
            zone=sidecar % ZONES,
            fleet_size=sidecar_count,
            can_hedge=False,
            **overrides,
        )
        balancers.append(balancer)
    return balancers, now_ns


def send_random_requests(balancers, now_ns, requests_per_s, seconds, seed=7, latency_ns=40 * MS):
    """Send requests at this total rate by random sidecars; return the time after them in nanoseconds."""
    rng = random.Random(seed)
    for request_id in range(1, int(requests_per_s * seconds)):
        now_ns += int(SECOND / requests_per_s)
        sidecar = rng.randrange(len(balancers))
        attempt = submit_request(balancers[sidecar], now_ns, request_id)
        balancers[sidecar].handle(
            now_ns + latency_ns, Outcome(request_id, 0, attempt.endpoint_number, Status.OK, latency_ns, True)
        )
    return now_ns


def test_endpoints_per_sidecar_shrink_as_the_fleet_grows():
    """Guards endpoints against handshakes.

    At equal traffic each endpoint was used by every sidecar: a new one had forty first connections before it
    had answered ten requests.
    """
    connection_counts = {}
    for sidecar_count in (5, 40, 80):
        balancers, now_ns = make_fleet(sidecar_count, 120)
        send_random_requests(balancers, now_ns, 400.0, 12)
        connection_counts[sidecar_count] = sum(
            len(balancer.endpoints.local_endpoints) + len(balancer.endpoints.remote_endpoints)
            for balancer in balancers
        )
    assert connection_counts[5] == 5 * 120  # few enough to use all
    assert connection_counts[40] < 0.4 * 40 * 120
    assert connection_counts[80] < 0.3 * 80 * 120


def test_every_endpoint_is_sampled_by_sidecars_of_other_zones():
    """Guards against an endpoint whose load depends on the one or two sidecars that happen to sample it."""
    balancers, now_ns = make_fleet(40, 60)
    send_random_requests(balancers, now_ns, 200.0, 8)
    sampling_sidecars = dict.fromkeys(range(60), 0)
    for balancer in balancers:
        assert len(balancer.endpoints.local_endpoints) == 12
        assert len(balancer.endpoints.remote_endpoints) < 48 * 0.4
        for endpoint in balancer.endpoints.remote_endpoints:
            sampling_sidecars[endpoint.id] += 1
    assert min(sampling_sidecars.values()) >= 1
    assert sum(sampling_sidecars.values()) >= 4 * 60


def test_small_fleet_samples_all_endpoints_even_with_little_traffic():
    balancers, now_ns = make_fleet(4, 15)
    send_random_requests(balancers, now_ns, 4.0, 10)
    assert all(
        len(balancer.endpoints.local_endpoints) + len(balancer.endpoints.remote_endpoints) == 15
        for balancer in balancers
    )


@pytest.mark.parametrize("effect", list(Effect))
def test_request_goes_beyond_the_subset_if_none_of_it_is_ready(effect):
    """Guards against the loss of a zone while the sampled endpoints elsewhere drain: others are ready."""
    balancers, now_ns = make_fleet(40, 60, effect=effect)
    balancer = balancers[0]
    submit_request(balancer, now_ns, 1)
    assert balancer.endpoints.unsampled_endpoints
    for endpoint in balancer.endpoints.local_endpoints + balancer.endpoints.remote_endpoints:
        endpoint.ready = False  # as between two endpoint lists, before the subset is rebuilt
    actions = balancer.handle(now_ns + MS, make_request(2, now_ns + MS))
    attempt = next(action for action in actions if isinstance(action, Send))
    assert attempt.endpoint_number in {endpoint.id for endpoint in balancer.endpoints.unsampled_endpoints}


def test_warming_up_endpoint_gets_its_part_from_the_fleet_together():
    """Guards rule 4: sidecars that sample an endpoint send the part of those that do not, but no more."""
    balancers, now_ns = make_fleet(40, 60)
    now_ns = send_random_requests(balancers, now_ns, 400.0, 6)
    entries = [make_endpoint(n, zone=n % ZONES, cell=n // 4) for n in range(60)]
    entries[7] = make_endpoint(7, zone=7 % ZONES, cell=1, started_ns=now_ns)
    for balancer in balancers:
        balancer.handle(now_ns, EndpointListUpdate(ListKind.FULL, 2, entries))
    rng, attempt_count = random.Random(3), 0
    for request_id in range(100_000, 100_800):  # two seconds
        now_ns += int(SECOND / 400)
        balancer = balancers[rng.randrange(40)]
        attempt = submit_request(balancer, now_ns, request_id)
        attempt_count += attempt.endpoint_number == 7
        balancer.handle(
            now_ns + 40 * MS, Outcome(request_id, 0, attempt.endpoint_number, Status.OK, 40 * MS, True)
        )
    equal_part = 2 * 400 / 60  # of a warm endpoint in that time; this one starts at a fifth of its capacity
    assert 1 <= attempt_count <= 3.0 * 0.2 * equal_part


def test_quiet_sidecar_that_becomes_busy_samples_more_endpoints():
    """Guards the few sampled endpoints against all traffic of a sidecar whose client becomes active."""
    balancers, now_ns = make_fleet(40, 60)
    balancer = balancers[0]
    now_ns = send_random_requests([balancer], now_ns, 2.0, 20)
    initial_size = len(balancer.endpoints.remote_endpoints)
    assert initial_size == 6
    now_ns = send_random_requests([balancer], now_ns, 200.0, 3)
    assert len(balancer.endpoints.remote_endpoints) > 2 * initial_size
