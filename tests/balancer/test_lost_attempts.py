"""Detection of lost answers, and the concurrency limit after a start."""

import pytest
from helpers import MS, SECOND, make_balancer, make_request, serve_requests, submit_request

from dykefold.balancer.actions import Cancel, Reject, Send
from dykefold.balancer.events import Outcome, Status
from dykefold.balancer.settings import Effect


def learn_latency(balancer, now, count=300, latency_ns=40 * MS):
    """Serve enough requests for the typical latency to be learned; return the time."""
    return serve_requests(balancer, now, range(10_000, 10_000 + count), latency_ns)[0]


def overtake(balancer, now, endpoint_number, answers, latency_ns=60 * MS):
    """Answer this many later attempts at an endpoint; return the time and all actions."""
    actions, request_id = [], 50_000
    while answers:
        now += MS
        request_id += 1
        sent = submit_request(balancer, now, request_id)
        actions += balancer.handle(
            now + latency_ns, Outcome(request_id, 0, sent.endpoint_number, Status.OK, latency_ns, True)
        )
        now += latency_ns
        answers -= sent.endpoint_number == endpoint_number
    return now, actions


@pytest.mark.parametrize("effect", list(Effect))
def test_overtaken_attempt_counts_as_lost_without_cancellation_or_retry(effect):
    """Guards the limit against attempts that are never answered, and the request against a duplicate."""
    balancer, now = make_balancer(endpoint_count=1, effect=effect, can_hedge=False)
    now = learn_latency(balancer, now)
    sent = submit_request(balancer, now, 1)
    endpoint = balancer.endpoints.all[sent.endpoint_number]
    now, actions = overtake(balancer, now, sent.endpoint_number, 2)
    assert not endpoint.lost
    now, more_actions = overtake(balancer, now, sent.endpoint_number, 1)
    assert endpoint.lost == {(1, 0)}
    assert balancer.limit.in_flight == 0
    assert not [action for action in actions + more_actions if isinstance(action, Cancel)]
    assert not [action for action in actions + more_actions if isinstance(action, Send) and action.id == 1]


def test_quick_overtaking_answers_do_not_mark_attempt_lost():
    balancer, now = make_balancer(endpoint_count=1, effect=Effect.SAFE, can_hedge=False)
    now = learn_latency(balancer, now)
    sent = submit_request(balancer, now, 1)
    for request_id in range(60_000, 60_005):  # five answers within one typical latency, as from another core
        now += MS
        submit_request(balancer, now, request_id)
        balancer.handle(now + 5 * MS, Outcome(request_id, 0, sent.endpoint_number, Status.OK, 5 * MS, True))
    assert not balancer.endpoints.all[sent.endpoint_number].lost


def test_late_attempt_counts_as_congestion_once():
    """Guards the limit against counting an attempt both while it waits and at its deadline.

    At the deadline far fewer attempts are answered; with a tenth of the answers lost, the limit fell to a few
    requests.
    """
    balancer, now = make_balancer(endpoint_count=1, effect=Effect.UNSAFE)
    now = learn_latency(balancer, now)
    sent = submit_request(balancer, now, 1)
    endpoint = balancer.endpoints.all[sent.endpoint_number]
    now += 50 * MS
    other = submit_request(balancer, now, 2)
    balancer.handle(now + 40 * MS, Outcome(2, 0, other.endpoint_number, Status.OK, 40 * MS, True))
    values = []
    original_add = balancer.congestion.add
    balancer.congestion.add = lambda value, sent_ns: (values.append(value), original_add(value, sent_ns))
    balancer.context.now_ns = now = now + SECOND
    balancer.hedging.on_overdue(balancer.answers.pending[1], 0)
    assert len(values) == 1
    assert endpoint.counted_late == {(1, 0)}
    balancer.handle(now + SECOND, Outcome(1, 0, sent.endpoint_number, Status.TIMEOUT, 2 * SECOND, True))
    assert len(values) == 1
    assert not endpoint.counted_late


def run_clients(balancer, now, clients, latency_ns, end_ns):
    """Run clients that send a request after each answer; return the number and latest time of rejections."""
    rejections, last_ns, request_id = 0, 0, 0
    due = [(now, None)] * clients
    while due:
        due.sort(key=lambda entry: entry[0])
        at_ns, sent = due.pop(0)
        if at_ns >= end_ns:
            break
        if sent is not None:
            balancer.handle(at_ns, Outcome(sent.id, 0, sent.endpoint_number, Status.OK, latency_ns, True))
        request_id += 1
        actions = balancer.handle(at_ns, make_request(request_id, at_ns))
        sends = [action for action in actions if isinstance(action, Send)]
        if sends:
            due.append((at_ns + latency_ns, sends[0]))
        elif [action for action in actions if isinstance(action, Reject)]:
            rejections, last_ns = rejections + 1, at_ns
            due.append((at_ns + MS, None))  # the client retries at once
        else:
            raise AssertionError("request neither sent nor rejected")
    return rejections, last_ns


def test_new_sidecar_admits_concurrent_clients_after_few_round_trips():
    """Guards new and restarted sidecars against rejections while endpoints are idle.

    With four idle endpoints, 32 clients got 250 to 1,600 rejections in the first second, because the limit
    grew only with corrections and not with answers.
    """
    balancer, now = make_balancer(endpoint_count=4, effect=Effect.SAFE)
    rejections, last_ns = run_clients(balancer, now, 32, 2 * MS, now + SECOND)
    assert rejections < 100
    assert last_ns - now < 20 * MS


def test_wanted_in_flight_is_accurate_soon_after_restart():
    """Guards the limit after a restart under load.

    A mean over a full deadline that starts at zero underestimated the rate of answers, and the first late
    answers cut the limit to that estimate.
    """
    balancer, now = make_balancer(endpoint_count=4, effect=Effect.SAFE)
    run_clients(balancer, now, 16, 40 * MS, now + 500 * MS)
    requests_per_s = 16 / 0.040
    expected = requests_per_s * balancer.congestion.wanted_latency(balancer.context.classes[0]) / SECOND
    assert balancer.limit.wanted_in_flight > 0.7 * expected
