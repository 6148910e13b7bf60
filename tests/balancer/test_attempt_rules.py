"""Which attempts and which rejections the rules allow, as tables."""

import pytest
from helpers import MS, SECOND, START_NS, make_endpoint, make_request, make_settings

from dykefold import Balancer
from dykefold.balancer.endpoints import EndpointState
from dykefold.balancer.events import State
from dykefold.balancer.requests import IN_FLIGHT, MAY_HAVE_RUN, NEVER_RAN, Attempt, PendingRequest
from dykefold.balancer.settings import Effect, Scope

WINDOW = 4 * SECOND
TICK = 5 * MS
SAFE, KEYED, UNSAFE = Effect.SAFE, Effect.KEYED, Effect.UNSAFE


def set_up(effect, scope=Scope.CELL, states=(), sent_ago=0, **more):
    """The rules, and a request with attempts in these states at an endpoint of zone 0, cell 0."""
    balancer = Balancer(make_settings(effect, scope, tick_ns=TICK, **more), 1)
    balancer.context.now_ns = START_NS
    req = PendingRequest(make_request(1, START_NS), balancer.context.classes[0], 3, START_NS)
    used = EndpointState(make_endpoint(1), 0.5)
    req.attempts = [Attempt(used, START_NS - sent_ago, state) for state in states]
    return balancer.rules, req


@pytest.mark.parametrize(
    ("effect", "states", "hedged", "allowed"),
    [
        (SAFE, [], True, True),
        (SAFE, [MAY_HAVE_RUN] * 2, True, True),
        (SAFE, [NEVER_RAN] * 3, True, False),  # three attempts are all there are
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
def test_a_further_attempt_is_allowed_by_effect_and_states(effect, states, hedged, allowed):
    rules, req = set_up(effect, states=states, can_hedge=hedged)
    assert rules.may_send(req, EndpointState(make_endpoint(2), 0.5)) is allowed


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
def test_a_keyed_retry_stays_among_endpoints_that_know_the_key(scope, zone, cell, allowed):
    rules, req = set_up(KEYED, scope, [MAY_HAVE_RUN])
    assert rules.may_send(req, EndpointState(make_endpoint(2, zone, cell), 0.5)) is allowed


@pytest.mark.parametrize(
    ("ago", "allowed"), [(0, True), (WINDOW - TICK - 1, True), (WINDOW - TICK, False), (WINDOW, False)]
)
def test_a_keyed_retry_falls_within_the_window_less_a_tick(ago, allowed):
    rules, req = set_up(KEYED, states=[MAY_HAVE_RUN], sent_ago=ago)
    assert rules.may_retry(req, START_NS) is allowed


@pytest.mark.parametrize(
    ("state", "listed", "streaming", "allowed"),
    [
        (State.READY, True, False, True),
        (State.DRAINING, True, False, False),
        (State.READY, False, False, False),
        (State.READY, True, True, False),
    ],
)
def test_no_attempt_goes_to_a_draining_or_removed_endpoint_or_after_a_body_has_begun(
    state, listed, streaming, allowed
):
    rules, req = set_up(SAFE)
    target = EndpointState(make_endpoint(2, state=state), 0.5)
    target.listed, req.streaming = listed, streaming
    assert rules.may_send(req, target) is allowed


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
def test_a_rejection_is_given_only_where_a_new_attempt_does_no_harm(effect, scope, states, allowed):
    rules, req = set_up(effect, scope, states)
    assert rules.may_reject(req) is allowed
