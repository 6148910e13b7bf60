"""Repeats by outcome and class, and the delay before them."""

import pytest
from helpers import (
    MS,
    SECOND,
    actions_of_type,
    make_balancer,
    make_request,
    run_timers,
    serve_requests,
    submit_request,
)

from dykefold.balancer.actions import Fail, Refuse, Send
from dykefold.balancer.events import Outcome, Status, Timer
from dykefold.balancer.settings import Effect, Scope


def _finish(balancer, now, ident, server, status, attempt=0, final=False):
    return balancer.handle(now, Outcome(ident, attempt, server, status, 20 * MS, final))


def _later(balancer, now, actions):
    """All actions of the next second of the clock with their times, these first."""
    return [(now, action) for action in actions] + run_timers(balancer, now, actions, now + SECOND)


@pytest.mark.parametrize("effect", list(Effect))
@pytest.mark.parametrize("status", [Status.FULL, Status.CONNECT_FAILED])
def test_what_never_ran_is_repeated_elsewhere_after_a_delay(effect, status):
    balancer, now = make_balancer(effect=effect)
    first = submit_request(balancer, now, 1)
    done = _later(balancer, now, _finish(balancer, now, 1, first.endpoint_number, status))
    sends = [(when, a) for when, a in done if isinstance(a, Send)]
    assert sends[0][0] > now
    assert sends[0][1].endpoint_number != first.endpoint_number


@pytest.mark.parametrize("status", [Status.TIMEOUT, Status.RESET])
def test_ambiguous_failures_end_unsafe_requests_with_a_failure(status):
    balancer, now = make_balancer(effect=Effect.UNSAFE)
    first = submit_request(balancer, now, 1)
    done = _later(balancer, now, _finish(balancer, now, 1, first.endpoint_number, status))
    assert [a for _, a in done if isinstance(a, Send | Refuse | Fail)] == [Fail(1)]


@pytest.mark.parametrize("status", [Status.TIMEOUT, Status.RESET])
def test_ambiguous_failures_of_safe_requests_are_repeated(status):
    balancer, now = make_balancer(effect=Effect.SAFE)
    first = submit_request(balancer, now, 1)
    done = _later(balancer, now, _finish(balancer, now, 1, first.endpoint_number, status))
    assert [a.id for _, a in done if isinstance(a, Send)][:1] == [1]


@pytest.mark.parametrize(("ended_ms", "sends"), [(20, True), (3999, False), (4100, False)])
def test_a_keyed_request_is_failed_at_once_when_its_window_ends_before_a_repeat_could_go(ended_ms, sends):
    """Guards clients against waiting to their deadline for an answer that is known."""
    for seed in range(10):
        balancer, now = make_balancer(effect=Effect.KEYED, scope=Scope.CELL, seed=seed)
        first = submit_request(balancer, now, 1, 10 * SECOND)
        actions = _finish(balancer, now + ended_ms * MS, 1, first.endpoint_number, Status.RESET)
        assert (Fail(1) in actions) is not sends
        done = _later(balancer, now + ended_ms * MS, actions)
        assert any(isinstance(a, Send) for _, a in done) is sends


def test_delays_are_jittered_and_grow_with_the_time_left():
    waits = {}
    for length in (SECOND, 4 * SECOND):
        seen = []
        for seed in range(20):
            balancer, now = make_balancer(effect=Effect.SAFE, seed=seed)
            first = submit_request(balancer, now, 1, length)
            done = _later(balancer, now, _finish(balancer, now, 1, first.endpoint_number, Status.FULL))
            seen.append(next(when for when, a in done if isinstance(a, Send)) - now)
        assert len(set(seen)) > 15
        waits[length] = sum(seen)
    assert 3 < waits[4 * SECOND] / waits[SECOND] < 5


def test_a_plain_error_ends_the_request():
    balancer, now = make_balancer(effect=Effect.SAFE)
    first = submit_request(balancer, now, 1)
    actions = _finish(balancer, now, 1, first.endpoint_number, Status.ERROR)
    assert any(isinstance(a, Refuse | Fail) for a in actions)


def test_no_time_left_is_answered_at_once():
    balancer, now = make_balancer()
    actions = balancer.handle(now, make_request(5, now, 0))
    assert [type(a) for a in actions] == [Refuse]


def test_many_failures_at_once_share_one_budget():
    """A lost server's attempts fail together: each repeat is paid for when planned, not when sent."""
    balancer, now = make_balancer(endpoint_count=6)
    now, _ = serve_requests(balancer, now, range(40), 20 * MS)  # first tries, to save up from
    done = []
    for sent in [submit_request(balancer, now, ident) for ident in range(1000, 1024)]:
        done += balancer.handle(
            now, Outcome(sent.id, 0, sent.endpoint_number, Status.CONNECT_FAILED, MS, False)
        )
    refused = sum(isinstance(action, Refuse) for action in done)
    again = []
    for step in range(1, 400):
        again += actions_of_type(balancer.handle(now + step * 5 * MS, Timer(balancer.timers.token)), Send)
    assert 0 < len(again) < 0.2 * 64  # in proportion to first tries, not to failures
    assert len(again) + refused == 24
