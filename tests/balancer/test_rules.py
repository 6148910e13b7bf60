"""Rules 1 to 3 and the pace of cold servers, each by itself; test_property.py checks them together."""

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
from dykefold.balancer.actions import Cancel, Fail, Refuse, Send, SetTimer, Watch
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


def test_a_timeout_at_the_deadline_is_answered_at_once():
    balancer, now = make_balancer(effect=Effect.UNSAFE)
    first = submit_request(balancer, now, 1)
    late = now + 2 * SECOND
    actions = balancer.handle(late, Outcome(1, 0, first.endpoint_number, Status.TIMEOUT, 2 * SECOND, False))
    assert actions_of_type(actions, Fail, Refuse) == [Fail(1)]


def test_request_without_endpoints_waits_and_is_rejected_before_its_deadline():
    balancer, now = make_balancer(endpoints=[])
    actions = balancer.handle(now, make_request(1, now, SECOND))
    assert not actions_of_type(actions, Send, Refuse, Fail)
    done = run_timers(balancer, now, actions, now + 3 * SECOND)
    answers = [(when, a) for when, a in done if isinstance(a, Refuse | Fail)]
    assert len(answers) == 1
    assert answers[0][0] < now + SECOND


def test_waiting_request_is_sent_when_an_endpoint_appears():
    balancer, now = make_balancer(endpoints=[])
    actions = balancer.handle(now, make_request(1, now))
    actions += balancer.handle(now, EndpointListUpdate(ListKind.DELTA, 2, [make_endpoint(7)]))
    done = run_timers(balancer, now, actions, now + SECOND)
    assert [a.endpoint_number for _, a in done if isinstance(a, Send)][:1] == [7]


def test_nothing_follows_a_drop():
    balancer, now = make_balancer(effect=Effect.SAFE)
    first = submit_request(balancer, now, 1)
    actions = balancer.handle(now + MS, Outcome(1, 0, first.endpoint_number, Status.FULL, MS, False))
    balancer.handle(now + MS, ClientDisconnected(1))
    balancer.handle(now + MS, ClientDisconnected(1))
    done = run_timers(balancer, now + MS, actions, now + 3 * SECOND)
    assert not [a for _, a in done if isinstance(a, Send | Refuse | Fail)]


def test_draining_and_removed_endpoints_get_no_attempt_and_no_planned_retry():
    entries = [make_endpoint(1), make_endpoint(2)]
    balancer, now = make_balancer(endpoints=entries, effect=Effect.SAFE)
    first = submit_request(balancer, now, 1)
    other = 3 - first.endpoint_number
    actions = balancer.handle(now, Outcome(1, 0, first.endpoint_number, Status.FULL, MS, False))
    balancer.handle(now, EndpointListUpdate(ListKind.DELTA, 2, [make_endpoint(other, state=State.DRAINING)]))
    done = run_timers(balancer, now, actions, now + SECOND)
    assert {a.endpoint_number for _, a in done if isinstance(a, Send)} <= {first.endpoint_number}
    balancer.handle(now, EndpointListUpdate(ListKind.FULL, 3, [make_endpoint(other)]))
    for n in range(2, 12):
        sends = actions_of_type(balancer.handle(now, make_request(n, now)), Send)
        assert {a.endpoint_number for a in sends} <= {other}


def test_a_keyed_repeat_stays_in_the_cell_and_is_never_refused():
    entries = [
        make_endpoint(1, cell=0),
        make_endpoint(2, cell=0),
        make_endpoint(3, cell=1),
        make_endpoint(4, cell=1),
    ]
    for seed in range(20):
        balancer, now = make_balancer(endpoints=entries, seed=seed, effect=Effect.KEYED, scope=Scope.CELL)
        first = submit_request(balancer, now, 1)
        actions = balancer.handle(now, Outcome(1, 0, first.endpoint_number, Status.RESET, MS, False))
        done = run_timers(balancer, now, actions, now + SECOND)
        assert {(a.endpoint_number - 1) // 2 for _, a in done if isinstance(a, Send)} <= {
            (first.endpoint_number - 1) // 2
        }
        end = now + 2 * SECOND
        ended = balancer.handle(end, Outcome(1, 1, first.endpoint_number, Status.TIMEOUT, SECOND, False))
        assert not actions_of_type([a for _, a in done] + ended, Refuse)


def lose(balancer, now, server):
    """Eject a server by two broken connections.

    The requests still out there, the actions on the way, and the time of the loss.
    """
    actions = []
    for ident in range(1000, 1150):  # some answered traffic first, which earns the budget for repeats
        now += 20 * MS
        new = balancer.handle(now, make_request(ident, now))
        actions += new
        for sent in actions_of_type(new, Send):
            balancer.handle(now, Outcome(ident, 0, sent.endpoint_number, Status.OK, 20 * MS, True))
    sends = []
    for ident in range(40):
        new = balancer.handle(now, make_request(ident, now))
        actions += new
        sends += actions_of_type(new, Send)
    there = [a.id for a in sends if a.endpoint_number == server]
    assert len(there) > 3
    for token in {a.token for a in actions_of_type(actions, SetTimer)}:
        actions += balancer.handle(now, Timer(token))  # the timers of the answered ones are over
    for ident in there[:2]:
        actions += balancer.handle(now, Outcome(ident, 0, server, Status.RESET, MS, False))
    return there[2:], actions, now


def test_no_second_copy_where_forbidden_but_the_first_is_called_off_at_a_lost_server():
    balancer, now = make_balancer(effect=Effect.SAFE, can_hedge=False)
    waiting, actions, now = lose(balancer, now, 100)
    assert {a.id for a in actions_of_type(actions, Cancel)} == set(waiting)
    called_off = Outcome(waiting[0], 0, 100, Status.CANCELLED, 6 * MS, False)
    ended = actions + balancer.handle(now + 6 * MS, called_off)
    done = run_timers(balancer, now + 6 * MS, ended, now + SECOND)
    assert [a for _, a in done if isinstance(a, Send) and a.id == waiting[0]]


def test_what_waits_at_a_lost_server_is_repeated_beside_it_where_allowed():
    balancer, now = make_balancer(effect=Effect.SAFE, can_hedge=True)
    waiting, actions, now = lose(balancer, now, 100)
    done = run_timers(balancer, now, actions, now + SECOND)
    assert {a.id for _, a in done if isinstance(a, Send)} & set(waiting)
    assert not actions_of_type(actions, Cancel)


def test_a_late_attempt_at_a_server_not_known_to_be_bad_is_not_repeated():
    """Incidents i921dec, i4efe13: quiet sidecars find every server silent and doubled the load."""
    balancer, now = make_balancer(effect=Effect.SAFE, can_hedge=True)
    done = run_timers(balancer, now, balancer.handle(now, make_request(1, now)), now + 2 * SECOND)
    assert not [a for _, a in done if isinstance(a, Send)]


def test_a_silent_server_is_left_alone_and_an_answer_brings_it_back():
    entries = [make_endpoint(n) for n in range(1, 7)]
    balancer, now = make_balancer(endpoints=entries, effect=Effect.UNSAFE)
    ident = 0
    hung = 3

    def run(seconds, answers):
        nonlocal now, ident
        chosen = 0
        timers = []
        out = []
        for step in range(int(seconds * 100)):
            now += 10 * MS
            actions = []
            for due, token in [t for t in timers if t[0] <= now]:
                timers.remove((due, token))
                actions += balancer.handle(now, Timer(token))
            for sent, attempt, server in [o for o in out if o[0] + 50 * MS <= now]:
                out.remove((sent, attempt, server))
                if server != hung or answers:
                    balancer.handle(now, Outcome(attempt, 0, server, Status.OK, now - sent, True))
            if step % 2 == 0:
                ident += 1
                actions += balancer.handle(now, make_request(ident, now))
            for action in actions:
                if isinstance(action, SetTimer):
                    timers.append((now + action.after_ns, action.token))
                elif isinstance(action, Send):
                    chosen += action.endpoint_number == hung
                    out.append((now, action.id, action.endpoint_number))
        return chosen

    assert run(3, answers=True) > 5
    assert run(5, answers=False) < 25  # of 250: silence counts before any time-out


def test_a_fast_error_does_not_look_like_a_fast_server():
    entries = [make_endpoint(n) for n in range(1, 7)]
    balancer, now = make_balancer(endpoints=entries, effect=Effect.UNSAFE)
    chosen = dict.fromkeys(range(1, 7), 0)
    for ident in range(400):
        now += 10 * MS
        send = actions_of_type(balancer.handle(now, make_request(ident, now)), Send)
        for action in send:
            chosen[action.endpoint_number] += 1
            bad = action.endpoint_number == 1
            status = Status.ERROR if bad else Status.OK
            took = MS if bad else 50 * MS
            balancer.handle(now + took, Outcome(ident, 0, action.endpoint_number, status, took, not bad))
    assert chosen[1] < min(chosen[n] for n in range(2, 7))


def test_a_cold_server_gets_less_than_its_fair_share_until_it_answers():
    warm = [make_endpoint(n) for n in range(1, 5)]
    balancer, now = make_balancer(endpoints=warm, effect=Effect.UNSAFE)
    cold_sends = 0
    for ident in range(600):
        now += 10 * MS
        if ident == 300:
            balancer.handle(now, EndpointListUpdate(ListKind.DELTA, 2, [make_endpoint(9, started_ns=now)]))
        for action in actions_of_type(balancer.handle(now, make_request(ident, now)), Send):
            if action.endpoint_number == 9:
                cold_sends += 1
            else:
                balancer.handle(
                    now + 50 * MS, Outcome(ident, 0, action.endpoint_number, Status.OK, 50 * MS, True)
                )
    assert cold_sends <= 300 / 5


def test_cold_servers_are_tried_by_a_sidecar_that_sends_little_at_a_time():
    """i8cc3a0: one request in flight at a time never reached the servers that came to help."""
    entries = [make_endpoint(100), make_endpoint(101)]
    balancer, now = make_balancer(endpoints=entries)
    now, _ = serve_requests(balancer, now, range(100), 50 * MS)
    arrived = [make_endpoint(server, started_ns=now) for server in (200, 201, 202)]
    balancer.handle(now, EndpointListUpdate(ListKind.FULL, 2, entries + arrived))
    now, reached = serve_requests(balancer, now, range(100, 200), 50 * MS)
    assert reached >= {200, 201, 202}


def test_a_new_sidecar_does_not_flood_a_cold_server():
    balancer, now = make_balancer(
        endpoints=[make_endpoint(1), make_endpoint(2, started_ns=START_NS)], effect=Effect.UNSAFE
    )
    sends = []
    for ident in range(50):
        sends += actions_of_type(balancer.handle(now, make_request(ident, now)), Send)
    assert sum(a.endpoint_number == 2 for a in sends) <= 1


def test_the_only_other_fit_server_is_always_found():
    """The walk over a group used to pass over one server when its first step was not to the next."""
    for seed in range(60):
        entries = [make_endpoint(100 + n, cell=n // 2) for n in range(6)]  # two to a cell
        balancer, now = make_balancer(endpoints=entries, effect=Effect.KEYED, scope=Scope.CELL, seed=seed)
        first = submit_request(balancer, now, 1).endpoint_number
        actions = balancer.handle(now + MS, Outcome(1, 0, first, Status.RESET, MS, False))
        done = run_timers(balancer, now + MS, actions, now + SECOND)
        assert [a.endpoint_number for _, a in done if isinstance(a, Send)] == [first + 1 - 2 * (first % 2)]


def test_polls_of_discovery_are_jittered_and_retried_after_a_failure():
    starts = set()
    for seed in range(10):
        balancer, now = (
            Balancer(make_settings(poll_required=True, max_poll_interval_ns=10 * SECOND), seed),
            START_NS,
        )
        armed = balancer.handle(now, EndpointListUpdate(ListKind.CACHED, 1, [make_endpoint(1)]))
        done = run_timers(balancer, now, armed, now + 10 * SECOND)
        asked = [when for when, a in done if isinstance(a, Watch)]
        starts.add(asked[0])
        failed = balancer.handle(asked[0], EndpointListUpdate(ListKind.FAILED, 0, []))
        again = run_timers(balancer, asked[0], failed, asked[0] + 10 * SECOND)
        assert [a for _, a in again if isinstance(a, Watch)]
    assert len(starts) > 8


def test_odd_input_is_harmless():
    balancer, now = make_balancer(tenants=[Tenant("t", 1.0, 10.0)], can_message_peers=True, fleet_size=2)
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
        assert not actions_of_type(balancer.handle(now, event), Send, Refuse, Fail)


def test_nothing_is_sent_after_a_stream_has_started():
    balancer, now = make_balancer(effect=Effect.SAFE)
    actions = balancer.handle(now, make_request(1, now))
    first = actions_of_type(actions, Send)[0]
    actions += balancer.handle(now + MS, StreamStarted(1, 0, first.endpoint_number, MS))
    done = run_timers(balancer, now, actions, now + 5 * SECOND)
    assert not [a for _, a in done if isinstance(a, Send)]


def test_request_while_all_endpoints_drain_waits_and_is_rejected_in_time():
    balancer, now = make_balancer(
        endpoints=[make_endpoint(1, state=State.DRAINING), make_endpoint(2, state=State.DRAINING)]
    )
    actions = balancer.handle(now, make_request(1, now, SECOND))
    done = [(now, a) for a in actions] + run_timers(balancer, now, actions, now + 3 * SECOND)
    assert not [a for _, a in done if isinstance(a, Send)]
    assert [when < now + SECOND for when, a in done if isinstance(a, Refuse)] == [True]


def test_when_every_server_was_lost_requests_still_go_out():
    balancer, now = make_balancer(endpoints=[make_endpoint(1)], effect=Effect.UNSAFE)
    sends = []
    for ident in range(4):
        sends += actions_of_type(balancer.handle(now, make_request(ident, now)), Send)
    for send in sends:
        balancer.handle(now + MS, Outcome(send.id, 0, 1, Status.RESET, MS, False))
    assert actions_of_type(balancer.handle(now + 2 * MS, make_request(99, now)), Send)
