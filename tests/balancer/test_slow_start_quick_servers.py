"""Slow start of an endpoint that answers fast and collapses beyond its budget.

All sidecars together must not push it over. The balancers run alone, in virtual time; tests/fleet has the
same with processes.
"""

import heapq
import random

import pytest
from helpers import MS, SECOND, START_NS, make_balancer, make_endpoint, make_request

from dykefold.balancer.actions import Send
from dykefold.balancer.events import EndpointListUpdate, ListKind, Outcome, Status
from dykefold.lab.fleet.judge import SlowStart, SlowStartCall, slow_start_load

ENDPOINTS, STARTING_ENDPOINT = 6, 100
REQUESTS_PER_S = 450.0  # to all endpoints together
CAPACITY_PER_S = 125.0  # of each endpoint when warm
START_CAPACITY, WARM_S = 0.04, 30.0
LATENCY_NS = 8 * MS  # of every response, in slow start or not
DURATION_S = 10.0  # from a second before the start of the endpoint


@pytest.mark.parametrize(("factor", "span_s"), [(3.0, 2.0), (2.0, 1.0)])
@pytest.mark.parametrize("sidecars", [1, 2, 5, 20, 30, 60, 200])
def test_load_of_all_sidecars_together_stays_within_the_budget(sidecars, factor, span_s):
    rng = random.Random(1)
    slow_start_settings = {
        "start_capacity": START_CAPACITY,
        "warm_within_ns": int(WARM_S * SECOND),
        "overload_factor": factor,
        "overload_for_ns": int(span_s * SECOND),
        "fleet_size": sidecars,
        "can_hedge": False,
    }
    warm_endpoints = [make_endpoint(STARTING_ENDPOINT + number) for number in range(1, ENDPOINTS)]
    balancers = [
        make_balancer(endpoints=warm_endpoints, seed=number, **slow_start_settings)[0]
        for number in range(sidecars)
    ]
    started_ns = START_NS + SECOND
    events = [(START_NS + int(rng.expovariate(REQUESTS_PER_S) * SECOND), 0, -1, 0, 0)]
    calls, request_count, notified = [], 0, False
    while events[0][0] < START_NS + DURATION_S * SECOND:
        now_ns, _, sidecar, request_id, endpoint_number = heapq.heappop(events)
        if now_ns >= started_ns and not notified:
            notified = True
            for balancer in balancers:
                update = EndpointListUpdate(
                    ListKind.DELTA, 2, [make_endpoint(STARTING_ENDPOINT, started_ns=started_ns)]
                )
                balancer.handle(now_ns, update)
        if sidecar >= 0:
            balancers[sidecar].handle(
                now_ns, Outcome(request_id, 0, endpoint_number, Status.OK, LATENCY_NS, True)
            )
            continue
        request_count += 1
        chosen = rng.randrange(sidecars)
        for action in balancers[chosen].handle(now_ns, make_request(request_count, now_ns)):
            if isinstance(action, Send):
                heapq.heappush(
                    events,
                    (now_ns + LATENCY_NS, request_count, chosen, request_count, action.endpoint_number),
                )
                if action.endpoint_number == STARTING_ENDPOINT:
                    calls.append(SlowStartCall(now_ns / SECOND, chosen))
        heapq.heappush(events, (now_ns + int(rng.expovariate(REQUESTS_PER_S) * SECOND), 0, -1, 0, 0))
    slow_start = SlowStart(CAPACITY_PER_S, START_CAPACITY, WARM_S, factor, span_s)
    max_load, _ = slow_start_load(calls, started_ns / SECOND, slow_start, dict.fromkeys(range(sidecars), 0.0))
    assert max_load.calls > 0
    assert not max_load.is_overloaded, max_load
