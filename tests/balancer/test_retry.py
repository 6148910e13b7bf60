"""Retries by outcome and request class, and the delay before them."""

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

from dykefold.balancer.actions import Fail, Reject, Send
from dykefold.balancer.events import Outcome, Status, Timer
from dykefold.balancer.settings import Effect, Scope


def _finish_attempt(balancer, now_ns, request_id, endpoint_number, status, attempt=0, is_final=False):
    return balancer.handle(now_ns, Outcome(request_id, attempt, endpoint_number, status, 20 * MS, is_final))


def _run_one_second(balancer, now_ns, actions):
    """Return these actions and those of the timers of the next second, each with its time."""
    return [(now_ns, action) for action in actions] + run_timers(balancer, now_ns, actions, now_ns + SECOND)


@pytest.mark.parametrize("effect", list(Effect))
@pytest.mark.parametrize("status", [Status.FULL, Status.CONNECT_FAILED])
def test_attempt_that_was_not_executed_is_retried_elsewhere_after_a_delay(effect, status):
    balancer, now_ns = make_balancer(effect=effect)
    first_attempt = submit_request(balancer, now_ns, 1)
    timed_actions = _run_one_second(
        balancer, now_ns, _finish_attempt(balancer, now_ns, 1, first_attempt.endpoint_number, status)
    )
    sends = [(at_ns, action) for at_ns, action in timed_actions if isinstance(action, Send)]
    assert sends[0][0] > now_ns
    assert sends[0][1].endpoint_number != first_attempt.endpoint_number


@pytest.mark.parametrize("status", [Status.TIMEOUT, Status.RESET])
def test_unsafe_request_fails_after_an_ambiguous_failure(status):
    balancer, now_ns = make_balancer(effect=Effect.UNSAFE)
    first_attempt = submit_request(balancer, now_ns, 1)
    timed_actions = _run_one_second(
        balancer, now_ns, _finish_attempt(balancer, now_ns, 1, first_attempt.endpoint_number, status)
    )
    assert [action for _, action in timed_actions if isinstance(action, Send | Reject | Fail)] == [Fail(1)]


@pytest.mark.parametrize("status", [Status.TIMEOUT, Status.RESET])
def test_safe_request_is_retried_after_an_ambiguous_failure(status):
    balancer, now_ns = make_balancer(effect=Effect.SAFE)
    first_attempt = submit_request(balancer, now_ns, 1)
    timed_actions = _run_one_second(
        balancer, now_ns, _finish_attempt(balancer, now_ns, 1, first_attempt.endpoint_number, status)
    )
    assert [action.id for _, action in timed_actions if isinstance(action, Send)][:1] == [1]


@pytest.mark.parametrize(("ended_ms", "expect_retry"), [(20, True), (3999, False), (4100, False)])
def test_keyed_request_fails_at_once_if_its_window_ends_before_a_retry(ended_ms, expect_retry):
    """Guards against clients that wait until their deadline for an answer that is known already."""
    for seed in range(10):
        balancer, now_ns = make_balancer(effect=Effect.KEYED, scope=Scope.CELL, seed=seed)
        first_attempt = submit_request(balancer, now_ns, 1, 10 * SECOND)
        actions = _finish_attempt(
            balancer, now_ns + ended_ms * MS, 1, first_attempt.endpoint_number, Status.RESET
        )
        assert (Fail(1) in actions) is not expect_retry
        timed_actions = _run_one_second(balancer, now_ns + ended_ms * MS, actions)
        assert any(isinstance(action, Send) for _, action in timed_actions) is expect_retry


def test_retry_delays_are_jittered_and_proportional_to_the_time_left():
    total_delays_ns = {}
    for timeout_ns in (SECOND, 4 * SECOND):
        delays_ns = []
        for seed in range(20):
            balancer, now_ns = make_balancer(effect=Effect.SAFE, seed=seed)
            first_attempt = submit_request(balancer, now_ns, 1, timeout_ns)
            timed_actions = _run_one_second(
                balancer,
                now_ns,
                _finish_attempt(balancer, now_ns, 1, first_attempt.endpoint_number, Status.FULL),
            )
            delays_ns.append(
                next(at_ns for at_ns, action in timed_actions if isinstance(action, Send)) - now_ns
            )
        assert len(set(delays_ns)) > 15
        total_delays_ns[timeout_ns] = sum(delays_ns)
    assert 3 < total_delays_ns[4 * SECOND] / total_delays_ns[SECOND] < 5


def test_request_gets_its_final_answer_after_an_error_response():
    balancer, now_ns = make_balancer(effect=Effect.SAFE)
    first_attempt = submit_request(balancer, now_ns, 1)
    actions = _finish_attempt(balancer, now_ns, 1, first_attempt.endpoint_number, Status.ERROR)
    assert any(isinstance(action, Reject | Fail) for action in actions)


def test_request_past_its_deadline_is_rejected_at_once():
    balancer, now_ns = make_balancer()
    actions = balancer.handle(now_ns, make_request(5, now_ns, 0))
    assert [type(action) for action in actions] == [Reject]


def test_simultaneous_failures_share_one_retry_budget():
    """Attempts at a lost endpoint fail together: a retry is paid for when it is scheduled, not sent."""
    balancer, now_ns = make_balancer(endpoint_count=6)
    now_ns, _ = serve_requests(balancer, now_ns, range(40), 20 * MS)  # first attempts earn the retry budget
    actions = []
    for attempt in [submit_request(balancer, now_ns, request_id) for request_id in range(1000, 1024)]:
        actions += balancer.handle(
            now_ns, Outcome(attempt.id, 0, attempt.endpoint_number, Status.CONNECT_FAILED, MS, False)
        )
    rejections = sum(isinstance(action, Reject) for action in actions)
    retries = []
    for step in range(1, 400):
        retries += actions_of_type(
            balancer.handle(now_ns + step * 5 * MS, Timer(balancer.timers.token)), Send
        )
    assert 0 < len(retries) < 0.2 * 64  # in proportion to first attempts, not to failures
    assert len(retries) + rejections == 24
