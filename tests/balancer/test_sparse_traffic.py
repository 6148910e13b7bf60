"""Sidecars with little traffic: one small test for each failure found in a fleet of full size."""

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

from dykefold.balancer.actions import Probe, Reject, Send
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


def make_fleet_member(**overrides):
    return make_balancer(fleet_size=400, **overrides)


def serve_sparse_requests(balancer, now_ns, request_ids, latency_ns_of, interval_ns=SECOND):
    """Serve single requests at long intervals.

    Returns:
        The time of the last request in nanoseconds, and the numbers of the endpoints used, in order.
    """
    used = []
    for request_id in request_ids:
        now_ns += interval_ns
        attempt = submit_request(balancer, now_ns, request_id)
        used.append(attempt.endpoint_number)
        latency_ns = latency_ns_of(attempt.endpoint_number)
        balancer.handle(
            now_ns + latency_ns, Outcome(request_id, 0, attempt.endpoint_number, Status.OK, latency_ns, True)
        )
    return now_ns, used


def test_quiet_sidecar_uses_few_endpoints_and_busy_sidecar_uses_all():
    """Guards against using each endpoint only twice a minute, so that none is ever found slow or hung."""
    entries = [make_endpoint(n) for n in range(40)]
    quiet_sidecar, now_ns = make_fleet_member(endpoints=entries)
    assert (
        len(set(serve_sparse_requests(quiet_sidecar, now_ns, range(60), lambda endpoint_number: 40 * MS)[1]))
        <= 4
    )
    busy_sidecar, now_ns = make_fleet_member(endpoints=entries)
    assert len(serve_requests(busy_sidecar, now_ns, range(1500), 10 * MS)[1]) == 40


def test_quiet_sidecar_samples_all_endpoints_if_they_outnumber_the_sidecars():
    """Guards against a restarted sidecar, one of four with half the traffic, that starts as a quiet one."""
    balancer, now_ns = make_balancer(endpoints=[make_endpoint(n) for n in range(40)], fleet_size=4)
    assert (
        len(set(serve_sparse_requests(balancer, now_ns, range(60), lambda endpoint_number: 40 * MS)[1])) > 20
    )


def test_quiet_sidecars_use_different_endpoints():
    entries = [make_endpoint(n) for n in range(40)]
    used = set()
    for seed in range(60):
        balancer, now_ns = make_fleet_member(endpoints=entries, seed=seed)
        used |= set(serve_sparse_requests(balancer, now_ns, range(6), lambda endpoint_number: 40 * MS)[1])
    assert len(used) > 30


def test_request_goes_beyond_the_subset_if_no_endpoint_of_it_is_usable():
    """A keyed retry has to stay in the cell of its first endpoint, of which the subset may hold no other."""
    entries = [make_endpoint(n, cell=n // 2) for n in range(40)]
    retry_offsets = []
    for seed in range(20):
        balancer, now_ns = make_fleet_member(endpoints=entries, effect=Effect.KEYED, seed=seed)
        first_endpoint = submit_request(balancer, now_ns, 1).endpoint_number
        actions = balancer.handle(now_ns + MS, Outcome(1, 0, first_endpoint, Status.RESET, MS, False))
        timed_actions = run_timers(balancer, now_ns + MS, actions, now_ns + SECOND)
        retry_offsets += [
            action.endpoint_number - first_endpoint for _, action in timed_actions if isinstance(action, Send)
        ]
    assert len(retry_offsets) == 20
    assert {abs(step) for step in retry_offsets} == {1}


def test_slow_zone_or_kind_gets_less_within_tens_of_responses():
    """Guards against a zone with 61% of the traffic and 31% of the capacity that is overloaded within 2 s."""
    for slow_group in ("zone", "kind"):
        entries = [
            Endpoint(
                n, n % 2 if slow_group == "zone" else 0, n % 2 if slow_group == "kind" else 0, 0, State.READY
            )
            for n in range(40)
        ]
        early_attempts = late_attempts = 0
        weight_difference = 0.0
        for seed in range(30):
            balancer, now_ns = make_fleet_member(endpoints=entries, seed=seed)
            _, used = serve_sparse_requests(
                balancer, now_ns, range(40), lambda endpoint_number: (40 if endpoint_number % 2 else 120) * MS
            )
            early_attempts += sum(1 - endpoint_number % 2 for endpoint_number in used[:5])
            late_attempts += sum(1 - endpoint_number % 2 for endpoint_number in used[-5:])
            endpoints = balancer.endpoints
            weight_difference += endpoints.group(endpoints.all[1]).log_weight
            weight_difference -= endpoints.group(endpoints.all[0]).log_weight
        assert late_attempts < 0.4 * 150
        assert late_attempts < 0.8 * early_attempts
        assert weight_difference > 30 * 0.3  # by the sampling too, not by the choice among samples alone


def test_endpoint_without_samples_has_the_mean_latency_of_its_kind():
    entries = [Endpoint(n, 0, n % 2, 0, State.READY) for n in range(40)]
    balancer, now_ns = make_fleet_member(endpoints=entries)
    now_ns, _ = serve_sparse_requests(
        balancer, now_ns, range(40), lambda endpoint_number: (40 if endpoint_number % 2 else 120) * MS
    )
    latency_without_samples = {
        endpoint.kind: balancer.latency.relative_latency(endpoint)
        for endpoint in balancer.endpoints.unsampled_endpoints
        if not endpoint.samples
    }
    assert latency_without_samples[1] < latency_without_samples[0]
    assert latency_without_samples[1] == balancer.endpoints.groups[1, False].relative_latency < 1.0


def test_restarted_endpoint_is_used_once_listed_but_not_by_all_sidecars_at_once():
    """Guards against endpoints that stay idle for 14 s after a crash of a third of the fleet.

    The first slow-start tokens took so long.
    """
    warm_endpoints = [make_endpoint(n) for n in range(1, 9)]
    cold_start_ns = START_NS + 5 * SECOND
    first_uses = []
    for seed in range(200):
        balancer, now_ns = make_fleet_member(endpoints=warm_endpoints, seed=seed)
        now_ns, _ = serve_sparse_requests(
            balancer, now_ns, range(10), lambda endpoint_number: 50 * MS, SECOND // 2
        )
        assert now_ns == cold_start_ns
        balancer.handle(now_ns, EndpointListUpdate(ListKind.DELTA, 2, [make_endpoint(9, started_ns=now_ns)]))
        _, used = serve_sparse_requests(
            balancer, now_ns, range(10, 30), lambda endpoint_number: 50 * MS, SECOND // 2
        )
        if 9 in used:
            first_uses.append(used.index(9))
    assert len([index for index in first_uses if index < 6]) > 10
    assert len([index for index in first_uses if index == 0]) <= 10


def test_sample_after_a_long_pause_outweighs_old_samples():
    balancer, now_ns = make_fleet_member(
        endpoints=[make_endpoint(n) for n in range(40)], effect=Effect.UNSAFE
    )
    now_ns, used = serve_sparse_requests(balancer, now_ns, range(40), lambda endpoint_number: 40 * MS)
    endpoint = balancer.endpoints.all[used[-1]]
    before = endpoint.relative_latency
    balancer.latency.add_sample(endpoint, 10.0)  # at once: it counts as one of many
    change_at_once = endpoint.relative_latency - before
    endpoint.relative_latency = before
    balancer.context.now_ns += 20 * SECOND
    balancer.latency.add_sample(endpoint, 10.0)
    assert endpoint.relative_latency - before > 4 * change_at_once


def make_crowded_sidecar(**overrides):
    """Make a sidecar whose latencies equal its objective, and send it a request that allows load probes.

    Returns:
        The sidecar's balancer, the time in nanoseconds, the load probes and the attempts of the request.
    """
    overrides = {"can_probe": True, "report_columns": ("qps", "inflight"), "price_probe": 1.0, **overrides}
    balancer, now_ns = make_fleet_member(endpoints=[make_endpoint(n) for n in range(40)], **overrides)
    now_ns, _ = serve_sparse_requests(balancer, now_ns, range(30), lambda endpoint_number: 20 * MS)
    now_ns += SECOND
    balancer.settings.price_probe = overrides["price_probe"] / 100
    balancer.context.classes[0].mean_latency_ns = 500 * MS
    actions = balancer.handle(now_ns, make_request(99, now_ns))
    return balancer, now_ns, actions_of_type(actions, Probe), actions_of_type(actions, Send)


def test_crowded_sidecar_probes_two_endpoints_and_picks_the_less_loaded_one():
    """Guards against choices by load reports of seconds ago while queues change from request to request."""
    balancer, now_ns, probes, sends = make_crowded_sidecar()
    assert len({probe.endpoint_number for probe in probes}) == 2
    assert not sends
    loaded_endpoint, idle_endpoint = (probe.endpoint_number for probe in probes)
    assert not balancer.handle(now_ns + MS, ProbeResult(loaded_endpoint, Status.OK, MS, (1.0, 30.0)))
    actions = balancer.handle(now_ns + 2 * MS, ProbeResult(idle_endpoint, Status.OK, MS, (1.0, 0.0)))
    assert [action.endpoint_number for action in actions_of_type(actions, Send)] == [idle_endpoint]
    assert not actions_of_type(balancer.handle(now_ns + SECOND, Timer(balancer.timers.token)), Send)


def test_late_load_probe_is_ignored_and_two_failed_probes_do_not_delay_a_request():
    balancer, now_ns, probes, _ = make_crowded_sidecar()
    answering_endpoint = probes[1].endpoint_number
    balancer.handle(now_ns + MS, ProbeResult(answering_endpoint, Status.OK, MS, (1.0, 3.0)))
    actions = balancer.handle(now_ns + 100 * MS, Timer(balancer.timers.token))
    assert [action.endpoint_number for action in actions_of_type(actions, Send)] == [answering_endpoint]
    balancer, now_ns, probes, _ = make_crowded_sidecar()
    for probe in probes:
        balancer.handle(now_ns + MS, ProbeResult(probe.endpoint_number, Status.TIMEOUT, MS))
    actions = balancer.handle(now_ns + 100 * MS, Timer(balancer.timers.token))
    assert len(actions_of_type(actions, Send)) == 1


def test_no_load_probe_is_sent_if_it_is_not_allowed_or_does_not_pay():
    assert not make_crowded_sidecar(can_probe=False)[2]
    assert not make_crowded_sidecar(report_columns=())[2]
    assert not make_crowded_sidecar(price_probe=1000.0)[2]
    fast_sidecar, now_ns, _, _ = make_crowded_sidecar()
    fast_sidecar.context.classes[0].mean_latency_ns = 20 * MS
    assert not actions_of_type(
        fast_sidecar.handle(now_ns + SECOND, make_request(100, now_ns + SECOND)), Probe
    )


def test_request_cancelled_during_its_load_probes_is_not_sent():
    balancer, now_ns, probes, _ = make_crowded_sidecar()
    balancer.handle(now_ns + MS, ClientDisconnected(99))
    action_lists = [
        balancer.handle(now_ns + MS, ProbeResult(probe.endpoint_number, Status.OK, MS, (1.0, 0.0)))
        for probe in probes
    ]
    action_lists.append(balancer.handle(now_ns + SECOND, Timer(balancer.timers.token)))
    assert not [
        actions_of_type(actions, Send, Reject)
        for actions in action_lists
        if actions_of_type(actions, Send, Reject)
    ]


def test_invalid_load_reports_are_ignored():
    balancer, _, probes, _ = make_crowded_sidecar()
    endpoint = balancer.endpoints.all[probes[0].endpoint_number]
    before = endpoint.reported_load, endpoint.load_reported_ns
    for invalid_report in ((), (1.0,), (1.0, float("nan")), (1.0, -3.0), (1.0, float("inf"))):
        balancer.load_reports.record(endpoint, invalid_report)
    assert (endpoint.reported_load, endpoint.load_reported_ns) == before


def test_quiet_sidecar_sheds_in_overload_and_recovers():
    """Incident i032b0e: 1476 sidecars, each with at most one request in flight, overloaded 88 endpoints."""
    balancer, now_ns = make_fleet_member(
        endpoints=[make_endpoint(n) for n in range(40)], effect=Effect.UNSAFE
    )
    rejections = {}
    request_id = 0
    for phase, latency_ns in (("before", 40 * MS), ("overload", 900 * MS), ("after", 40 * MS)):
        rejections[phase] = 0
        for step in range(60):
            now_ns += SECOND
            request_id += 1
            attempts = actions_of_type(balancer.handle(now_ns, make_request(request_id, now_ns)), Send)
            rejections[phase] += not attempts and step >= 20
            for action in attempts:
                outcome = Outcome(request_id, 0, action.endpoint_number, Status.OK, latency_ns, True)
                balancer.handle(now_ns + latency_ns, outcome)
    assert rejections["before"] == rejections["after"] == 0
    assert 4 < rejections["overload"] < 36
