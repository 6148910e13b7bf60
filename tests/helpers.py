"""Settings, events and runs of the balancer, shared by several test files."""

from dykefold import Balancer
from dykefold.balancer.actions import Send, SetTimer
from dykefold.balancer.events import (
    Endpoint,
    EndpointListUpdate,
    ListKind,
    Outcome,
    Request,
    State,
    Status,
    Timer,
)
from dykefold.balancer.settings import Effect, RequestClass, Scope, Settings

MS = 1_000_000  # nanoseconds
SECOND = 1_000 * MS
START_NS = 1_000 * SECOND


def make_settings(effect=Effect.SAFE, scope=Scope.CELL, **overrides):
    request_class = RequestClass("only", 500 * MS, 2 * SECOND, 1.0, 0.2, effect, scope, 4 * SECOND)
    values = {
        "classes": [request_class],
        "zones": ["a", "b"],
        "max_attempts": 3,
        "can_hedge": True,
        "can_cancel": True,
        "start_capacity": 0.2,
        "warm_within_ns": 10 * SECOND,
        "connect_timeout_ns": 200 * MS,
        "retry_after": True,
        "max_retry_after_ns": SECOND,
    }
    values.update(overrides)
    return Settings(**values)


def make_endpoint(number, zone=0, cell=0, state=State.READY, started_ns=0):
    return Endpoint(number, zone, 0, cell, state, 1.0, started_ns)


def make_balancer(endpoint_count=6, seed=1, endpoints=None, **overrides):
    """Create a balancer and give it an endpoint list.

    Args:
        endpoint_count: Number of endpoints to list if `endpoints` is None.
        seed: Seed of the balancer's random generator.
        endpoints: Endpoints to list; None for endpoints numbered from 100, in two zones and cells of three.
        **overrides: Settings that differ from those of `make_settings`.

    Returns:
        The balancer and the present time in nanoseconds.
    """
    balancer = Balancer(make_settings(**overrides), seed)
    if endpoints is None:
        endpoints = [make_endpoint(100 + n, zone=n % 2, cell=n // 3) for n in range(endpoint_count)]
    balancer.handle(START_NS, EndpointListUpdate(ListKind.CACHED, 1, endpoints))
    return balancer, START_NS


def make_request(request_id, now_ns, timeout_ns=2 * SECOND, class_number=0, tenant=0):
    return Request(request_id, class_number, tenant, now_ns + timeout_ns)


def submit_request(balancer, now_ns, request_id, timeout_ns=2 * SECOND, class_number=0):
    """Submit a request and return its first attempt."""
    actions = balancer.handle(now_ns, make_request(request_id, now_ns, timeout_ns, class_number))
    return next(action for action in actions if isinstance(action, Send))


def serve_requests(balancer, now_ns, request_ids, latency_ns):
    """Serve requests one after another, each with a successful first attempt.

    Args:
        balancer: Balancer that receives the requests.
        now_ns: Arrival time of the first request in nanoseconds.
        request_ids: Ids of the requests.
        latency_ns: Latency of each attempt in nanoseconds.

    Returns:
        The time after the last response in nanoseconds, and the numbers of the endpoints that were used.
    """
    used_endpoints = set()
    for request_id in request_ids:
        attempt = submit_request(balancer, now_ns, request_id)
        used_endpoints.add(attempt.endpoint_number)
        now_ns += latency_ns
        balancer.handle(now_ns, Outcome(request_id, 0, attempt.endpoint_number, Status.OK, latency_ns, True))
    return now_ns, used_endpoints


def actions_of_type(actions, *types):
    return [action for action in actions if isinstance(action, types)]


def run_timers(balancer, now_ns, actions, until_ns):
    """Run the timers set by actions, and those that they set in turn, up to a time.

    Args:
        balancer: Balancer that receives the timer events.
        now_ns: Time of `actions` in nanoseconds.
        actions: Actions whose timers are run.
        until_ns: Time in nanoseconds from which on timers are left out.

    Returns:
        Pairs of time in nanoseconds and action for all actions of these timers, in order.
    """
    pending = [(now_ns + action.after_ns, action.token) for action in actions_of_type(actions, SetTimer)]
    timed_actions = []
    while pending:
        pending.sort()
        due_ns, token = pending.pop(0)
        if due_ns >= until_ns:
            break
        new_actions = balancer.handle(due_ns, Timer(token))
        pending += [
            (due_ns + action.after_ns, action.token) for action in actions_of_type(new_actions, SetTimer)
        ]
        timed_actions += [(due_ns, action) for action in new_actions]
    return timed_actions
