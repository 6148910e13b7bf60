"""A cold server that answers at once, and collapses beyond its budget, is not pushed over by all sidecars.

By the decision modules alone, on a clock of their own; the plays by processes are in tests/fleet.
"""

import heapq
import random

import pytest
from helpers import MS, SECOND, START_NS, make_balancer, make_endpoint, make_request

from dykefold.balancer.actions import Send
from dykefold.balancer.events import EndpointListUpdate, ListKind, Outcome, Status
from dykefold.lab.fleet.judge import SlowStart, SlowStartCall, slow_start_load

SERVERS, COLD = 6, 100
RATE = 450.0  # requests a second to all servers, of which ...
FULL = 125.0  # ... each can do so many when warm
START_CAPACITY, WARM_S = 0.04, 30.0
TOOK = 8 * MS  # of every answer, cold or warm
SPAN_S = 10.0  # that is played, from a second before the cold server starts


@pytest.mark.parametrize(("factor", "span_s"), [(3.0, 2.0), (2.0, 1.0)])
@pytest.mark.parametrize("sidecars", [1, 2, 5, 20, 30, 60, 200])
def test_the_sum_of_all_sidecars_stays_within_the_budget(sidecars, factor, span_s):
    chance = random.Random(1)
    rules = {
        "start_capacity": START_CAPACITY,
        "warm_within_ns": int(WARM_S * SECOND),
        "overload_factor": factor,
        "overload_for_ns": int(span_s * SECOND),
        "fleet_size": sidecars,
        "can_hedge": False,
    }
    warm = [make_endpoint(COLD + number) for number in range(1, SERVERS)]
    balancers = [make_balancer(endpoints=warm, seed=number, **rules)[0] for number in range(sidecars)]
    began = START_NS + SECOND
    todo = [(START_NS + int(chance.expovariate(RATE) * SECOND), 0, -1, 0, 0)]
    calls, count, told = [], 0, False
    while todo[0][0] < START_NS + SPAN_S * SECOND:
        now, _, sidecar, ident, server = heapq.heappop(todo)
        if now >= began and not told:
            told = True
            for balancer in balancers:
                news = EndpointListUpdate(ListKind.DELTA, 2, [make_endpoint(COLD, started_ns=began)])
                balancer.handle(now, news)
        if sidecar >= 0:
            balancers[sidecar].handle(now, Outcome(ident, 0, server, Status.OK, TOOK, True))
            continue
        count += 1
        chosen = chance.randrange(sidecars)
        for action in balancers[chosen].handle(now, make_request(count, now)):
            if isinstance(action, Send):
                heapq.heappush(todo, (now + TOOK, count, chosen, count, action.endpoint_number))
                if action.endpoint_number == COLD:
                    calls.append(SlowStartCall(now / SECOND, chosen))
        heapq.heappush(todo, (now + int(chance.expovariate(RATE) * SECOND), 0, -1, 0, 0))
    slow_start = SlowStart(FULL, START_CAPACITY, WARM_S, factor, span_s)
    worst, _ = slow_start_load(calls, began / SECOND, slow_start, dict.fromkeys(range(sidecars), 0.0))
    assert worst.calls > 0
    assert not worst.falls, worst
