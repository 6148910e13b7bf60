"""Which attempts and rejections the rules allow, as tables of cases."""

import pytest
from helpers import MS, SECOND, START_NS, make_endpoint, make_request, make_settings

from dykefold import Balancer
from dykefold.balancer.endpoints import EndpointState
from dykefold.balancer.events import State
from dykefold.balancer.requests import IN_FLIGHT, MAY_HAVE_RUN, NEVER_RAN, Attempt, PendingRequest
from dykefold.balancer.settings import Effect, Scope

WINDOW_NS = 4 * SECOND
TICK_NS = 5 * MS
SAFE, KEYED, UNSAFE = Effect.SAFE, Effect.KEYED, Effect.UNSAFE


def make_rules(effect, scope=Scope.CELL, states=(), sent_ns_ago=0, **overrides):
    """Return the rules, and a request with attempts in these states at an endpoint of zone 0, cell 0."""
    balancer = Balancer(make_settings(effect, scope, tick_ns=TICK_NS, **overrides), 1)
    balancer.context.now_ns = START_NS
    request = PendingRequest(make_request(1, START_NS), balancer.context.classes[0], 3, START_NS)
    first_endpoint = EndpointState(make_endpoint(1), 0.5)
    request.attempts = [Attempt(first_endpoint, START_NS - sent_ns_ago, state) for state in states]
    return balancer.rules, request


@pytest.mark.parametrize(
    ("effect", "states", "can_hedge", "allowed"),
    [
        (SAFE, [], True, True),
        (SAFE, [MAY_HAVE_RUN] * 2, True, True),
        (SAFE, [NEVER_RAN] * 3, True, False),  # the maximum is three attempts
        (SAFE, [IN_FLIGHT], True, True),
        (SAFE, [IN_FLIGHT], False, False),
        (KEYED, [MAY_HAVE_RUN], True, True),
        (KEYED, [IN_FLIGHT], True, True),
        (KEYED, [IN_FLIGHT], False, False),
        (UNSAFE, [NEVER_RAN], True, True),
        (UNSAFE, [MAY_HAVE_RUN], True, False),
        (UNSAFE, [IN_FLIGHT], True, False),
        (UNSAFE, [NEVER_RAN, MAY_HAVE_RUN], True, False),
    ],
)
def test_further_attempt_is_allowed_by_effect_and_attempt_states(effect, states, can_hedge, allowed):
    rules, request = make_rules(effect, states=states, can_hedge=can_hedge)
    assert rules.may_send(request, EndpointState(make_endpoint(2), 0.5)) is allowed


@pytest.mark.parametrize(
    ("scope", "zone", "cell", "allowed"),
    [
        (Scope.ALL, 1, 1, True),
        (Scope.ZONE, 0, 1, True),
        (Scope.ZONE, 1, 0, False),
        (Scope.CELL, 1, 0, True),
        (Scope.CELL, 0, 1, False),
    ],
)
def test_keyed_retry_is_limited_to_endpoints_in_key_scope(scope, zone, cell, allowed):
    rules, request = make_rules(KEYED, scope, [MAY_HAVE_RUN])
    assert rules.may_send(request, EndpointState(make_endpoint(2, zone, cell), 0.5)) is allowed


@pytest.mark.parametrize(
    ("sent_ns_ago", "allowed"),
    [(0, True), (WINDOW_NS - TICK_NS - 1, True), (WINDOW_NS - TICK_NS, False), (WINDOW_NS, False)],
)
def test_keyed_retry_is_limited_to_key_window_minus_tick(sent_ns_ago, allowed):
    rules, request = make_rules(KEYED, states=[MAY_HAVE_RUN], sent_ns_ago=sent_ns_ago)
    assert rules.may_retry(request, START_NS) is allowed


@pytest.mark.parametrize(
    ("state", "listed", "streaming", "allowed"),
    [
        (State.READY, True, False, True),
        (State.DRAINING, True, False, False),
        (State.READY, False, False, False),
        (State.READY, True, True, False),
    ],
)
def test_attempt_is_not_allowed_at_draining_or_removed_endpoint_or_while_streaming(
    state, listed, streaming, allowed
):
    rules, request = make_rules(SAFE)
    target = EndpointState(make_endpoint(2, state=state), 0.5)
    target.listed, request.streaming = listed, streaming
    assert rules.may_send(request, target) is allowed


@pytest.mark.parametrize(
    ("effect", "scope", "states", "allowed"),
    [
        (SAFE, Scope.CELL, [MAY_HAVE_RUN, IN_FLIGHT], True),
        (KEYED, Scope.ALL, [MAY_HAVE_RUN], True),
        (KEYED, Scope.ZONE, [MAY_HAVE_RUN], False),
        (KEYED, Scope.ZONE, [NEVER_RAN], True),
        (UNSAFE, Scope.ALL, [], True),
        (UNSAFE, Scope.ALL, [NEVER_RAN, NEVER_RAN], True),
        (UNSAFE, Scope.ALL, [NEVER_RAN, IN_FLIGHT], False),
    ],
)
def test_rejection_is_allowed_only_if_client_retry_is_safe(effect, scope, states, allowed):
    rules, request = make_rules(effect, scope, states)
    assert rules.may_reject(request) is allowed
