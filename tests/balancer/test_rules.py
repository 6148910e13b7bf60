"""Rules 1 to 3 and the rate limit of slow start, one at a time; test_property.py checks them together."""

from helpers import (
    MS,
    SECOND,
    START_NS,
    actions_of_type,
    make_balancer,
    make_endpoint,
    make_request,
    make_settings,
    run_timers,
    serve_requests,
    submit_request,
)

from dykefold import Balancer
from dykefold.balancer.actions import Cancel, Fail, Reject, Send, SetTimer, Watch
from dykefold.balancer.events import (
    ClientDisconnected,
    EndpointListUpdate,
    ListKind,
    Outcome,
    PeerMessage,
    ProbeResult,
    State,
    Status,
    StreamStarted,
    Timer,
)
from dykefold.balancer.settings import Effect, Scope, Tenant


def test_timeout_at_deadline_is_answered_at_once():
    balancer, now_ns = make_balancer(effect=Effect.UNSAFE)
    first_attempt = submit_request(balancer, now_ns, 1)
    deadline_ns = now_ns + 2 * SECOND
    actions = balancer.handle(
        deadline_ns, Outcome(1, 0, first_attempt.endpoint_number, Status.TIMEOUT, 2 * SECOND, False)
    )
    assert actions_of_type(actions, Fail, Reject) == [Fail(1)]


def test_request_without_endpoints_waits_and_is_rejected_before_its_deadline():
    balancer, now_ns = make_balancer(endpoints=[])
    actions = balancer.handle(now_ns, make_request(1, now_ns, SECOND))
    assert not actions_of_type(actions, Send, Reject, Fail)
    timed_actions = run_timers(balancer, now_ns, actions, now_ns + 3 * SECOND)
    answers = [(at_ns, action) for at_ns, action in timed_actions if isinstance(action, Reject | Fail)]
    assert len(answers) == 1
    assert answers[0][0] < now_ns + SECOND


def test_waiting_request_is_sent_when_an_endpoint_appears():
    balancer, now_ns = make_balancer(endpoints=[])
    actions = balancer.handle(now_ns, make_request(1, now_ns))
    actions += balancer.handle(now_ns, EndpointListUpdate(ListKind.DELTA, 2, [make_endpoint(7)]))
    timed_actions = run_timers(balancer, now_ns, actions, now_ns + SECOND)
    assert [action.endpoint_number for _, action in timed_actions if isinstance(action, Send)][:1] == [7]


def test_request_of_disconnected_client_gets_no_further_action():
    balancer, now_ns = make_balancer(effect=Effect.SAFE)
    first_attempt = submit_request(balancer, now_ns, 1)
    actions = balancer.handle(
        now_ns + MS, Outcome(1, 0, first_attempt.endpoint_number, Status.FULL, MS, False)
    )
    balancer.handle(now_ns + MS, ClientDisconnected(1))
    balancer.handle(now_ns + MS, ClientDisconnected(1))
    timed_actions = run_timers(balancer, now_ns + MS, actions, now_ns + 3 * SECOND)
    assert not [action for _, action in timed_actions if isinstance(action, Send | Reject | Fail)]


def test_draining_and_removed_endpoints_get_neither_attempts_nor_scheduled_retries():
    entries = [make_endpoint(1), make_endpoint(2)]
    balancer, now_ns = make_balancer(endpoints=entries, effect=Effect.SAFE)
    first_attempt = submit_request(balancer, now_ns, 1)
    other_endpoint = 3 - first_attempt.endpoint_number
    actions = balancer.handle(now_ns, Outcome(1, 0, first_attempt.endpoint_number, Status.FULL, MS, False))
    balancer.handle(
        now_ns, EndpointListUpdate(ListKind.DELTA, 2, [make_endpoint(other_endpoint, state=State.DRAINING)])
    )
    timed_actions = run_timers(balancer, now_ns, actions, now_ns + SECOND)
    assert {action.endpoint_number for _, action in timed_actions if isinstance(action, Send)} <= {
        first_attempt.endpoint_number
    }
    balancer.handle(now_ns, EndpointListUpdate(ListKind.FULL, 3, [make_endpoint(other_endpoint)]))
    for n in range(2, 12):
        sends = actions_of_type(balancer.handle(now_ns, make_request(n, now_ns)), Send)
        assert {action.endpoint_number for action in sends} <= {other_endpoint}


def test_keyed_retry_stays_in_its_cell_and_is_never_rejected():
    entries = [
        make_endpoint(1, cell=0),
        make_endpoint(2, cell=0),
        make_endpoint(3, cell=1),
        make_endpoint(4, cell=1),
    ]
    for seed in range(20):
        balancer, now_ns = make_balancer(endpoints=entries, seed=seed, effect=Effect.KEYED, scope=Scope.CELL)
        first_attempt = submit_request(balancer, now_ns, 1)
        actions = balancer.handle(
            now_ns, Outcome(1, 0, first_attempt.endpoint_number, Status.RESET, MS, False)
        )
        timed_actions = run_timers(balancer, now_ns, actions, now_ns + SECOND)
        assert {
            (action.endpoint_number - 1) // 2 for _, action in timed_actions if isinstance(action, Send)
        } <= {(first_attempt.endpoint_number - 1) // 2}
        end_ns = now_ns + 2 * SECOND
        actions_after = balancer.handle(
            end_ns, Outcome(1, 1, first_attempt.endpoint_number, Status.TIMEOUT, SECOND, False)
        )
        assert not actions_of_type([action for _, action in timed_actions] + actions_after, Reject)


def eject_by_resets(balancer, now_ns, endpoint_number):
    """Eject an endpoint by two connection resets.

    Returns:
        The ids of the requests that are still in flight at the endpoint, all actions so far, and the time
        of the ejection in nanoseconds.
    """
    actions = []
    for request_id in range(1000, 1150):  # answered traffic, which earns the retry budget
        now_ns += 20 * MS
        new_actions = balancer.handle(now_ns, make_request(request_id, now_ns))
        actions += new_actions
        for attempt in actions_of_type(new_actions, Send):
            balancer.handle(now_ns, Outcome(request_id, 0, attempt.endpoint_number, Status.OK, 20 * MS, True))
    sends = []
    for request_id in range(40):
        new_actions = balancer.handle(now_ns, make_request(request_id, now_ns))
        actions += new_actions
        sends += actions_of_type(new_actions, Send)
    in_flight = [action.id for action in sends if action.endpoint_number == endpoint_number]
    assert len(in_flight) > 3
    for token in {action.token for action in actions_of_type(actions, SetTimer)}:
        actions += balancer.handle(now_ns, Timer(token))  # the timers of the answered requests have expired
    for request_id in in_flight[:2]:
        actions += balancer.handle(now_ns, Outcome(request_id, 0, endpoint_number, Status.RESET, MS, False))
    return in_flight[2:], actions, now_ns


def test_request_at_ejected_endpoint_is_cancelled_and_retried_where_hedging_is_forbidden():
    balancer, now_ns = make_balancer(effect=Effect.SAFE, can_hedge=False)
    in_flight, actions, now_ns = eject_by_resets(balancer, now_ns, 100)
    assert {action.id for action in actions_of_type(actions, Cancel)} == set(in_flight)
    cancelled = Outcome(in_flight[0], 0, 100, Status.CANCELLED, 6 * MS, False)
    actions_after = actions + balancer.handle(now_ns + 6 * MS, cancelled)
    timed_actions = run_timers(balancer, now_ns + 6 * MS, actions_after, now_ns + SECOND)
    assert [action for _, action in timed_actions if isinstance(action, Send) and action.id == in_flight[0]]


def test_request_at_ejected_endpoint_is_hedged_where_allowed():
    balancer, now_ns = make_balancer(effect=Effect.SAFE, can_hedge=True)
    in_flight, actions, now_ns = eject_by_resets(balancer, now_ns, 100)
    timed_actions = run_timers(balancer, now_ns, actions, now_ns + SECOND)
    assert {action.id for _, action in timed_actions if isinstance(action, Send)} & set(in_flight)
    assert not actions_of_type(actions, Cancel)


def test_late_attempt_at_healthy_endpoint_is_not_hedged():
    """Incidents i921dec, i4efe13: quiet sidecars took all endpoints for hung, which doubled the load."""
    balancer, now_ns = make_balancer(effect=Effect.SAFE, can_hedge=True)
    timed_actions = run_timers(
        balancer, now_ns, balancer.handle(now_ns, make_request(1, now_ns)), now_ns + 2 * SECOND
    )
    assert not [action for _, action in timed_actions if isinstance(action, Send)]


def test_hung_endpoint_gets_few_requests_before_any_timeout():
    entries = [make_endpoint(n) for n in range(1, 7)]
    balancer, now_ns = make_balancer(endpoints=entries, effect=Effect.UNSAFE)
    request_id = 0
    hung_endpoint = 3

    def run(seconds, endpoint_answers):
        nonlocal now_ns, request_id
        sent_to_hung = 0
        timers = []
        unanswered = []
        for step in range(int(seconds * 100)):
            now_ns += 10 * MS
            actions = []
            for due_ns, token in [t for t in timers if t[0] <= now_ns]:
                timers.remove((due_ns, token))
                actions += balancer.handle(now_ns, Timer(token))
            for sent_ns, sent_id, endpoint_number in [o for o in unanswered if o[0] + 50 * MS <= now_ns]:
                unanswered.remove((sent_ns, sent_id, endpoint_number))
                if endpoint_number != hung_endpoint or endpoint_answers:
                    balancer.handle(
                        now_ns, Outcome(sent_id, 0, endpoint_number, Status.OK, now_ns - sent_ns, True)
                    )
            if step % 2 == 0:
                request_id += 1
                actions += balancer.handle(now_ns, make_request(request_id, now_ns))
            for action in actions:
                if isinstance(action, SetTimer):
                    timers.append((now_ns + action.after_ns, action.token))
                elif isinstance(action, Send):
                    sent_to_hung += action.endpoint_number == hung_endpoint
                    unanswered.append((now_ns, action.id, action.endpoint_number))
        return sent_to_hung

    assert run(3, endpoint_answers=True) > 5
    assert run(5, endpoint_answers=False) < 25  # of 250: missing responses count before any timeout


def test_endpoint_with_fast_errors_is_not_preferred():
    entries = [make_endpoint(n) for n in range(1, 7)]
    balancer, now_ns = make_balancer(endpoints=entries, effect=Effect.UNSAFE)
    attempts_by_endpoint = dict.fromkeys(range(1, 7), 0)
    for request_id in range(400):
        now_ns += 10 * MS
        attempts = actions_of_type(balancer.handle(now_ns, make_request(request_id, now_ns)), Send)
        for action in attempts:
            attempts_by_endpoint[action.endpoint_number] += 1
            failing = action.endpoint_number == 1
            status = Status.ERROR if failing else Status.OK
            latency_ns = MS if failing else 50 * MS
            balancer.handle(
                now_ns + latency_ns,
                Outcome(request_id, 0, action.endpoint_number, status, latency_ns, not failing),
            )
    assert attempts_by_endpoint[1] < min(attempts_by_endpoint[n] for n in range(2, 7))


def test_warming_up_endpoint_gets_less_than_an_equal_part_until_it_answers():
    warm_endpoints = [make_endpoint(n) for n in range(1, 5)]
    balancer, now_ns = make_balancer(endpoints=warm_endpoints, effect=Effect.UNSAFE)
    warming_up_attempts = 0
    for request_id in range(600):
        now_ns += 10 * MS
        if request_id == 300:
            balancer.handle(
                now_ns, EndpointListUpdate(ListKind.DELTA, 2, [make_endpoint(9, started_ns=now_ns)])
            )
        for action in actions_of_type(balancer.handle(now_ns, make_request(request_id, now_ns)), Send):
            if action.endpoint_number == 9:
                warming_up_attempts += 1
            else:
                balancer.handle(
                    now_ns + 50 * MS, Outcome(request_id, 0, action.endpoint_number, Status.OK, 50 * MS, True)
                )
    assert warming_up_attempts <= 300 / 5


def test_warming_up_endpoints_are_used_by_a_sidecar_with_one_request_in_flight():
    """Incident i8cc3a0: sidecars with one request in flight at a time never used the added endpoints."""
    entries = [make_endpoint(100), make_endpoint(101)]
    balancer, now_ns = make_balancer(endpoints=entries)
    now_ns, _ = serve_requests(balancer, now_ns, range(100), 50 * MS)
    added = [make_endpoint(endpoint_number, started_ns=now_ns) for endpoint_number in (200, 201, 202)]
    balancer.handle(now_ns, EndpointListUpdate(ListKind.FULL, 2, entries + added))
    now_ns, used = serve_requests(balancer, now_ns, range(100, 200), 50 * MS)
    assert used >= {200, 201, 202}


def test_new_sidecar_sends_at_most_one_request_to_a_warming_up_endpoint():
    balancer, now_ns = make_balancer(
        endpoints=[make_endpoint(1), make_endpoint(2, started_ns=START_NS)], effect=Effect.UNSAFE
    )
    sends = []
    for request_id in range(50):
        sends += actions_of_type(balancer.handle(now_ns, make_request(request_id, now_ns)), Send)
    assert sum(action.endpoint_number == 2 for action in sends) <= 1


def test_the_only_other_usable_endpoint_is_always_found():
    """Guards against a walk over a group that skips one endpoint if its first step is longer than one."""
    for seed in range(60):
        entries = [make_endpoint(100 + n, cell=n // 2) for n in range(6)]  # two to a cell
        balancer, now_ns = make_balancer(endpoints=entries, effect=Effect.KEYED, scope=Scope.CELL, seed=seed)
        first_attempt = submit_request(balancer, now_ns, 1).endpoint_number
        actions = balancer.handle(now_ns + MS, Outcome(1, 0, first_attempt, Status.RESET, MS, False))
        timed_actions = run_timers(balancer, now_ns + MS, actions, now_ns + SECOND)
        assert [action.endpoint_number for _, action in timed_actions if isinstance(action, Send)] == [
            first_attempt + 1 - 2 * (first_attempt % 2)
        ]


def test_discovery_polls_are_jittered_and_retried_after_a_failure():
    first_poll_times_ns = set()
    for seed in range(10):
        balancer, now_ns = (
            Balancer(make_settings(poll_required=True, max_poll_interval_ns=10 * SECOND), seed),
            START_NS,
        )
        actions = balancer.handle(now_ns, EndpointListUpdate(ListKind.CACHED, 1, [make_endpoint(1)]))
        timed_actions = run_timers(balancer, now_ns, actions, now_ns + 10 * SECOND)
        poll_times_ns = [at_ns for at_ns, action in timed_actions if isinstance(action, Watch)]
        first_poll_times_ns.add(poll_times_ns[0])
        failed = balancer.handle(poll_times_ns[0], EndpointListUpdate(ListKind.FAILED, 0, []))
        retried = run_timers(balancer, poll_times_ns[0], failed, poll_times_ns[0] + 10 * SECOND)
        assert [action for _, action in retried if isinstance(action, Watch)]
    assert len(first_poll_times_ns) > 8


def test_events_of_unknown_requests_endpoints_and_peers_are_ignored():
    balancer, now_ns = make_balancer(tenants=[Tenant("t", 1.0, 10.0)], can_message_peers=True, fleet_size=2)
    for event in (
        Outcome(99, 0, 12345, Status.OK, MS, True),
        Outcome(99, 3, 100, Status.TIMEOUT, MS, False),
        ClientDisconnected(98),
        StreamStarted(97, 0, 12345, MS),
        ProbeResult(12345, Status.OK, MS),
        PeerMessage(1, b"\xff"),
        PeerMessage(7, b"1234"),
        Timer(4242),
    ):
        assert not actions_of_type(balancer.handle(now_ns, event), Send, Reject, Fail)


def test_request_whose_response_has_started_gets_no_further_attempt():
    balancer, now_ns = make_balancer(effect=Effect.SAFE)
    actions = balancer.handle(now_ns, make_request(1, now_ns))
    first_attempt = actions_of_type(actions, Send)[0]
    actions += balancer.handle(now_ns + MS, StreamStarted(1, 0, first_attempt.endpoint_number, MS))
    timed_actions = run_timers(balancer, now_ns, actions, now_ns + 5 * SECOND)
    assert not [action for _, action in timed_actions if isinstance(action, Send)]


def test_request_while_all_endpoints_drain_waits_and_is_rejected_in_time():
    balancer, now_ns = make_balancer(
        endpoints=[make_endpoint(1, state=State.DRAINING), make_endpoint(2, state=State.DRAINING)]
    )
    actions = balancer.handle(now_ns, make_request(1, now_ns, SECOND))
    timed_actions = [(now_ns, action) for action in actions] + run_timers(
        balancer, now_ns, actions, now_ns + 3 * SECOND
    )
    assert not [action for _, action in timed_actions if isinstance(action, Send)]
    assert [at_ns < now_ns + SECOND for at_ns, action in timed_actions if isinstance(action, Reject)] == [
        True
    ]


def test_request_is_sent_even_if_every_endpoint_has_failed():
    balancer, now_ns = make_balancer(endpoints=[make_endpoint(1)], effect=Effect.UNSAFE)
    sends = []
    for request_id in range(4):
        sends += actions_of_type(balancer.handle(now_ns, make_request(request_id, now_ns)), Send)
    for attempt in sends:
        balancer.handle(now_ns + MS, Outcome(attempt.id, 0, 1, Status.RESET, MS, False))
    assert actions_of_type(balancer.handle(now_ns + 2 * MS, make_request(99, now_ns)), Send)
