"""Sidecars that see little: one small test for each failure found at full size."""

from helpers import (
    MS,
    SECOND,
    START_NS,
    actions_of_type,
    make_balancer,
    make_endpoint,
    make_request,
    run_timers,
    serve_requests,
    submit_request,
)

from dykefold.balancer.actions import Probe, Refuse, Send
from dykefold.balancer.events import (
    ClientDisconnected,
    Endpoint,
    EndpointListUpdate,
    ListKind,
    Outcome,
    ProbeResult,
    State,
    Status,
    Timer,
)
from dykefold.balancer.settings import Effect


def make(**more):
    return make_balancer(fleet_size=400, **more)


def trickle(balancer, now, idents, took, gap=SECOND):
    """One request at a time, far apart; the servers used, in order."""
    used = []
    for ident in idents:
        now += gap
        sent = submit_request(balancer, now, ident)
        used.append(sent.endpoint_number)
        latency = took(sent.endpoint_number)
        balancer.handle(now + latency, Outcome(ident, 0, sent.endpoint_number, Status.OK, latency, True))
    return now, used


def test_a_sidecar_that_sends_little_keeps_to_few_servers_and_a_busy_one_to_all():
    """Every server was met twice a minute, so none was ever known as slow or hung."""
    entries = [make_endpoint(n) for n in range(40)]
    quiet, now = make(endpoints=entries)
    assert len(set(trickle(quiet, now, range(60), lambda server: 40 * MS)[1])) <= 4
    busy, now = make(endpoints=entries)
    assert len(serve_requests(busy, now, range(1500), 10 * MS)[1]) == 40


def test_where_servers_outnumber_sidecars_all_are_sampled_however_little_is_sent():
    """A restarted one of four sidecars, with half the traffic to come, began as if it saw little."""
    balancer, now = make_balancer(endpoints=[make_endpoint(n) for n in range(40)], fleet_size=4)
    assert len(set(trickle(balancer, now, range(60), lambda server: 40 * MS)[1])) > 20


def test_sidecars_keep_to_different_servers():
    entries = [make_endpoint(n) for n in range(40)]
    used = set()
    for seed in range(60):
        balancer, now = make(endpoints=entries, seed=seed)
        used |= set(trickle(balancer, now, range(6), lambda server: 40 * MS)[1])
    assert len(used) > 30


def test_a_request_reaches_beyond_the_set_when_none_of_it_is_fit():
    """A keyed repeat may only go to the group of its first server, of which the set may hold no other."""
    entries = [make_endpoint(n, cell=n // 2) for n in range(40)]
    again = []
    for seed in range(20):
        balancer, now = make(endpoints=entries, effect=Effect.KEYED, seed=seed)
        first = submit_request(balancer, now, 1).endpoint_number
        actions = balancer.handle(now + MS, Outcome(1, 0, first, Status.RESET, MS, False))
        done = run_timers(balancer, now + MS, actions, now + SECOND)
        again += [action.endpoint_number - first for _, action in done if isinstance(action, Send)]
    assert len(again) == 20
    assert {abs(step) for step in again} == {1}


def test_an_overrun_zone_and_a_slow_kind_get_less_within_tens_of_answers():
    """A zone with 61% of the traffic and 31% of the capacity stood choked, whole, two seconds into a day."""
    for name in ("zone", "kind"):
        entries = [
            Endpoint(n, n % 2 if name == "zone" else 0, n % 2 if name == "kind" else 0, 0, State.READY)
            for n in range(40)
        ]
        early = late = 0
        leans = 0.0
        for seed in range(30):
            balancer, now = make(endpoints=entries, seed=seed)
            _, used = trickle(balancer, now, range(40), lambda server: (40 if server % 2 else 120) * MS)
            early += sum(1 - server % 2 for server in used[:5])
            late += sum(1 - server % 2 for server in used[-5:])
            endpoints = balancer.endpoints
            leans += endpoints.group(endpoints.all[1]).log_weight
            leans -= endpoints.group(endpoints.all[0]).log_weight
        assert late < 0.4 * 150
        assert late < 0.8 * early
        assert leans > 30 * 0.3  # by the sampling too, not by the pick alone


def test_an_unheard_server_counts_at_the_mean_of_its_kind():
    entries = [Endpoint(n, 0, n % 2, 0, State.READY) for n in range(40)]
    balancer, now = make(endpoints=entries)
    now, _ = trickle(balancer, now, range(40), lambda server: (40 if server % 2 else 120) * MS)
    unheard = {
        server.kind: balancer.latency.relative_latency(server)
        for server in balancer.endpoints.rest
        if not server.samples
    }
    assert unheard[1] < unheard[0]
    assert unheard[1] == balancer.endpoints.groups[1, False].relative_latency < 1.0


def test_restarted_servers_are_used_from_their_listing_on_but_not_by_all_at_once():
    """A third of a fleet came back from a crash and stood idle for 14 s: first tokens took so long."""
    warm = [make_endpoint(n) for n in range(1, 9)]
    cold = START_NS + 5 * SECOND
    first = []
    for seed in range(200):
        balancer, now = make(endpoints=warm, seed=seed)
        now, _ = trickle(balancer, now, range(10), lambda server: 50 * MS, SECOND // 2)
        assert now == cold
        balancer.handle(now, EndpointListUpdate(ListKind.DELTA, 2, [make_endpoint(9, started_ns=now)]))
        _, used = trickle(balancer, now, range(10, 30), lambda server: 50 * MS, SECOND // 2)
        if 9 in used:
            first.append(used.index(9))
    assert len([when for when in first if when < 6]) > 10
    assert len([when for when in first if when == 0]) <= 10


def test_one_long_silence_outweighs_answers_of_long_ago():
    balancer, now = make(endpoints=[make_endpoint(n) for n in range(40)], effect=Effect.UNSAFE)
    now, used = trickle(balancer, now, range(40), lambda server: 40 * MS)
    server = balancer.endpoints.all[used[-1]]
    before = server.relative_latency
    balancer.latency.add_sample(server, 10.0)  # at once: one of many
    small = server.relative_latency - before
    server.relative_latency = before
    balancer.context.now_ns += 20 * SECOND
    balancer.latency.add_sample(server, 10.0)
    assert server.relative_latency - before > 4 * small


def crowded(**more):
    """A sidecar whose answers take as long as its aim, and a request that it may ask servers for."""
    more = {"can_probe": True, "report_columns": ("qps", "inflight"), "price_probe": 1.0, **more}
    balancer, now = make(endpoints=[make_endpoint(n) for n in range(40)], **more)
    now, _ = trickle(balancer, now, range(30), lambda server: 20 * MS)
    now += SECOND
    balancer.settings.price_probe = more["price_probe"] / 100
    balancer.context.classes[0].mean_latency_ns = 500 * MS
    actions = balancer.handle(now, make_request(99, now))
    return balancer, now, actions_of_type(actions, Probe), actions_of_type(actions, Send)


def test_crowded_sidecar_probes_two_endpoints_and_picks_the_less_loaded_one():
    """At full size the queue that a request met was of now, what was known of it of seconds ago."""
    balancer, now, probes, sends = crowded()
    assert len({probe.endpoint_number for probe in probes}) == 2
    assert not sends
    full, idle = (probe.endpoint_number for probe in probes)
    assert not balancer.handle(now + MS, ProbeResult(full, Status.OK, MS, (1.0, 30.0)))
    done = balancer.handle(now + 2 * MS, ProbeResult(idle, Status.OK, MS, (1.0, 0.0)))
    assert [action.endpoint_number for action in actions_of_type(done, Send)] == [idle]
    assert not actions_of_type(balancer.handle(now + SECOND, Timer(balancer.timers.token)), Send)


def test_a_server_that_does_not_tell_in_time_is_passed_over_and_two_do_not_hold_a_request():
    balancer, now, probes, _ = crowded()
    told = probes[1].endpoint_number
    balancer.handle(now + MS, ProbeResult(told, Status.OK, MS, (1.0, 3.0)))
    done = balancer.handle(now + 100 * MS, Timer(balancer.timers.token))
    assert [action.endpoint_number for action in actions_of_type(done, Send)] == [told]
    balancer, now, probes, _ = crowded()
    for probe in probes:
        balancer.handle(now + MS, ProbeResult(probe.endpoint_number, Status.TIMEOUT, MS))
    done = balancer.handle(now + 100 * MS, Timer(balancer.timers.token))
    assert len(actions_of_type(done, Send)) == 1


def test_no_load_probe_is_sent_if_it_is_not_allowed_or_does_not_pay():
    assert not crowded(can_probe=False)[2]
    assert not crowded(report_columns=())[2]
    assert not crowded(price_probe=1000.0)[2]
    quick, now, _, _ = crowded()
    quick.context.classes[0].mean_latency_ns = 20 * MS
    assert not actions_of_type(quick.handle(now + SECOND, make_request(100, now + SECOND)), Probe)


def test_request_cancelled_during_its_load_probes_is_not_sent():
    balancer, now, probes, _ = crowded()
    balancer.handle(now + MS, ClientDisconnected(99))
    done = [
        balancer.handle(now + MS, ProbeResult(p.endpoint_number, Status.OK, MS, (1.0, 0.0))) for p in probes
    ]
    done.append(balancer.handle(now + SECOND, Timer(balancer.timers.token)))
    assert not [
        actions_of_type(actions, Send, Refuse) for actions in done if actions_of_type(actions, Send, Refuse)
    ]


def test_reports_that_are_no_numbers_change_nothing():
    balancer, _, probes, _ = crowded()
    server = balancer.endpoints.all[probes[0].endpoint_number]
    before = server.reported_load, server.load_reported_ns
    for odd in ((), (1.0,), (1.0, float("nan")), (1.0, -3.0), (1.0, float("inf"))):
        balancer.load_reports.record(server, odd)
    assert (server.reported_load, server.load_reported_ns) == before


def test_a_sidecar_with_a_request_now_and_then_sheds_in_overload_and_recovers():
    """Incident i032b0e: 1476 sidecars, each with one in flight at the most, kept 88 servers choked."""
    balancer, now = make(endpoints=[make_endpoint(n) for n in range(40)], effect=Effect.UNSAFE)
    refused = {}
    ident = 0
    for phase, latency in (("before", 40 * MS), ("crowded", 900 * MS), ("after", 40 * MS)):
        refused[phase] = 0
        for step in range(60):
            now += SECOND
            ident += 1
            sent = actions_of_type(balancer.handle(now, make_request(ident, now)), Send)
            refused[phase] += not sent and step >= 20
            for action in sent:
                done = Outcome(ident, 0, action.endpoint_number, Status.OK, latency, True)
                balancer.handle(now + latency, done)
    assert refused["before"] == refused["after"] == 0
    assert 4 < refused["crowded"] < 36
