"""Sixteen times the endpoints: a sidecar uses as many of them as its demand requires."""

import random

import pytest
from helpers import MS, SECOND, make_balancer, make_endpoint, make_request

from dykefold.balancer.actions import Send
from dykefold.balancer.events import EndpointListUpdate, ListKind, Outcome, State, Status

ZONES = ["a", "b", "c"]
DURATION_S = 20


def send_random_requests(
    balancer, now_ns, requests_per_s=30.0, duration_s=DURATION_S, latency_ns=40 * MS, seed=1
):
    """Send random requests and answer each; return the number of attempts by endpoint number."""
    rng, attempt_counts, request_id, end_ns = random.Random(seed), {}, 0, now_ns + duration_s * SECOND
    while (now_ns := now_ns + int(rng.expovariate(requests_per_s) * SECOND)) < end_ns:
        request_id += 1
        for attempt in [
            a for a in balancer.handle(now_ns, make_request(request_id, now_ns)) if isinstance(a, Send)
        ]:
            attempt_counts[attempt.endpoint_number] = attempt_counts.get(attempt.endpoint_number, 0) + 1
            balancer.handle(
                now_ns + latency_ns,
                Outcome(request_id, 0, attempt.endpoint_number, Status.OK, latency_ns, True),
            )
    return attempt_counts


def make_sidecar(endpoint_count, fleet_size, seed=1):
    entries = [make_endpoint(n, zone=n % 3) for n in range(endpoint_count)]
    return make_balancer(
        endpoints=entries, seed=seed, zones=ZONES, fleet_size=fleet_size, price_cross_zone=0.5
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_sixteen_times_the_endpoints_need_a_bounded_number_of_connections(seed):
    typical_count = len(send_random_requests(*make_sidecar(200, 200, seed)))
    large_count = len(send_random_requests(*make_sidecar(3200, 200, seed)))
    assert large_count <= 2.5 * typical_count + 40


@pytest.mark.parametrize(
    ("endpoint_count", "fleet_size"), [(200, 200), (60, 40), (3200, 1), (3200, 10), (3200, 20)]
)
def test_all_endpoints_of_the_zone_are_sampled_at_typical_sizes_and_by_small_fleets(
    endpoint_count, fleet_size
):
    balancer, now_ns = make_sidecar(endpoint_count, fleet_size)
    send_random_requests(balancer, now_ns, duration_s=2)
    in_zone = sum(n % 3 == 0 for n in range(endpoint_count))
    min_sampled = min(in_zone, 10 * endpoint_count / fleet_size) if endpoint_count == 3200 else in_zone
    assert len(balancer.endpoints.local_endpoints) >= min_sampled


def test_all_sidecars_together_sample_all_endpoints_about_evenly():
    sampling_sidecars = dict.fromkeys(range(0, 3200, 3), 0)
    for seed in range(67):  # sidecars of one zone
        balancer, _ = make_sidecar(3200, 200, seed)
        for endpoint in balancer.endpoints.local_endpoints:
            sampling_sidecars[endpoint.id] += 1
    counts = sorted(sampling_sidecars.values())
    assert counts[len(counts) // 100] >= 2
    assert counts[-1] <= 3 * sum(counts) / len(counts)


def test_draining_endpoints_are_replaced_and_the_others_stay():
    balancer, now_ns = make_sidecar(3200, 200)
    send_random_requests(balancer, now_ns, duration_s=5)
    before = {endpoint.id for endpoint in balancer.endpoints.local_endpoints}
    draining = sorted(before)[:10]
    changed_entries = [make_endpoint(n, zone=0, state=State.DRAINING) for n in draining]
    balancer.handle(now_ns + 6 * SECOND, EndpointListUpdate(ListKind.DELTA, 2, changed_entries))
    after = {endpoint.id for endpoint in balancer.endpoints.local_endpoints}
    assert len(after) == len(before)
    assert before - after == set(draining)


def test_subset_size_is_stable_while_demand_varies():
    balancer, now_ns = make_sidecar(3200, 200)
    send_random_requests(balancer, now_ns, duration_s=10)
    sizes = set()
    for phase, requests_per_s in enumerate((24.0, 30.0, 36.0, 30.0)):
        send_random_requests(balancer, now_ns + (10 + 10 * phase) * SECOND, requests_per_s, 10, seed=phase)
        sizes.add(len(balancer.endpoints.local_endpoints))
    assert len(sizes) == 1


def test_subset_grows_with_the_requests_in_flight():
    balancer, now_ns = make_sidecar(3200, 200)
    send_random_requests(balancer, now_ns, requests_per_s=600.0, duration_s=3, latency_ns=400 * MS)
    assert (
        len(balancer.endpoints.local_endpoints) > 2 * 160
    )  # the minimum in this fleet: ten sidecars for each endpoint
