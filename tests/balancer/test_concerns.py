"""One table for each concern of the balancer: what its module answers by itself."""

import math
import random

import pytest
from helpers import MS, SECOND, START_NS, make_balancer, make_endpoint, make_request, make_settings

from dykefold import Balancer
from dykefold.balancer import congestion, outlier_detection, poll_schedule, quotas, retry_policy, slow_start
from dykefold.balancer.actions import SendToPeer, SetTimer, Watch
from dykefold.balancer.endpoints import EndpointState
from dykefold.balancer.events import EndpointListUpdate, ListKind, MembershipChanged, PeerMessage
from dykefold.balancer.picker import random_below
from dykefold.balancer.requests import PendingRequest
from dykefold.balancer.settings import Effect, Tenant
from dykefold.balancer.timers import OVERDUE, POLL, RETRY


def fresh(**more):
    balancer = Balancer(make_settings(**more), 1)
    balancer.context.now_ns = START_NS
    return balancer


def pending(balancer, length=2 * SECOND):
    context = balancer.context
    return PendingRequest(make_request(1, context.now_ns, length), context.classes[0], 3, context.now_ns)


@pytest.mark.parametrize(
    ("started_ago", "ramp"),
    [(None, 1.0), (0, 0.2), (-SECOND, 0.2), (5 * SECOND, 0.6), (10 * SECOND, 1.0), (60 * SECOND, 1.0)],
)
def test_the_ramp_of_slow_start_is_linear_and_ends(started_ago, ramp):
    balancer = fresh(start_capacity=0.2, warm_within_ns=10 * SECOND)
    started = 0 if started_ago is None else START_NS - started_ago
    assert balancer.slow_start.capacity_fraction(
        EndpointState(make_endpoint(1, started_ns=started), 0.5)
    ) == pytest.approx(ramp)


def test_the_ramp_never_starts_at_nothing():
    balancer = fresh(start_capacity=0.0)
    cold = EndpointState(make_endpoint(1, started_ns=START_NS), 0.5)
    assert balancer.slow_start.capacity_fraction(cold) == slow_start.MIN_CAPACITY_FRACTION == 0.01


@pytest.mark.parametrize(("samples", "tokens"), [(0, 6.0), (20, 8.0), (30, 9.0), (1000, 9.0)])
def test_answers_let_a_cold_endpoint_have_more_at_once_but_not_without_end(samples, tokens):
    balancer = fresh(start_capacity=0.2, warm_within_ns=1000 * SECOND)
    balancer.throughput.answers_per_s, balancer.throughput.updated_ns = 100.0, START_NS
    cold = EndpointState(make_endpoint(1, started_ns=START_NS), 0.5)
    cold.samples, cold.slow_start_ns = samples, START_NS - 10 * SECOND
    balancer.slow_start.allows(cold, balancer.context.classes[0])
    # A quarter of a second of 1.2 times a fifth of 100 a second, and a tenth of a request for each answer.
    assert cold.slow_start_tokens == pytest.approx(tokens)


def test_a_warm_endpoint_costs_no_tokens_and_a_cold_one_is_credited_for_its_answers():
    balancer = fresh()
    warm, cold = (
        EndpointState(make_endpoint(1), 0.5),
        EndpointState(make_endpoint(2, started_ns=START_NS), 0.5),
    )
    stats = balancer.context.classes[0]
    for one in (warm, cold):
        balancer.slow_start.charge(one, stats)
        balancer.slow_start.credit(one, stats)
    assert warm.slow_start_tokens == 0.0
    assert cold.slow_start_ns == START_NS
    assert -1.0 < cold.slow_start_tokens - slow_start.TOKENS_PER_ANSWER < 0.0


@pytest.mark.parametrize("retries", [0, 1, 3, 6, 20])
def test_backoff_is_a_drawn_part_of_the_time_left_that_doubles_up_to_a_quarter(retries):
    ceiling = min(retry_policy.MAX_BACKOFF_FRACTION, retry_policy.BACKOFF_BASE_FRACTION * 2**retries)
    delays = []
    for seed in range(200):
        balancer = Balancer(make_settings(tick_ns=0), seed)
        balancer.context.now_ns = START_NS
        req = pending(balancer)
        req.retries, req.reached_endpoint = retries, True
        balancer.answers.pending[1] = req
        balancer.retries.plan(req)
        (due, kind, ident, _) = balancer.timers.heap[0]
        assert (kind, ident, req.retries, req.retry_planned) == (RETRY, 1, retries + 1, True)
        delays.append((due - START_NS) / (2 * SECOND))
    assert (
        retry_policy.MIN_BACKOFF_FRACTION <= min(delays) < retry_policy.MIN_BACKOFF_FRACTION + 0.1 * ceiling
    )
    assert 0.8 * ceiling < max(delays) <= ceiling


@pytest.mark.parametrize(("left", "planned"), [(120 * MS, False), (140 * MS, True)])
def test_no_retry_is_planned_that_leaves_less_than_a_quarter_of_the_mean_latency(left, planned):
    balancer = fresh(tick_ns=0)
    balancer.context.classes[0].mean_latency_ns = 500.0 * MS
    req = pending(balancer, left)
    req.reached_endpoint = True
    balancer.answers.pending[1] = req
    balancer.retries.plan(req)
    assert req.retry_planned is planned
    assert (1 in balancer.answers.pending) is planned


@pytest.mark.parametrize("spent", [0, 1, 5])
def test_the_retry_budget_grows_by_a_tenth_a_request_up_to_its_reserve(spent):
    balancer = fresh()
    balancer.retries.budget -= spent
    before = balancer.retries.budget
    balancer.retries.count_request()
    reserve = retry_policy.BUDGET_PER_REQUEST * retry_policy.BUDGET_RESERVE_S
    assert balancer.retries.budget == min(before + retry_policy.BUDGET_PER_REQUEST, reserve)


@pytest.mark.parametrize(
    ("score", "max_ejected", "ejected"),
    [(1.9, 1.0, False), (2.0, 1.0, True), (5.0, 0.1, False), (2.0, 0.17, True)],
)
def test_an_endpoint_is_ejected_by_its_score_within_the_part_that_may_be(score, max_ejected, ejected):
    balancer, _ = make_balancer(endpoint_count=6)
    one = balancer.endpoints.all[100]
    balancer.outliers.record_failure(one, score, max_ejected)
    assert one.ejected is ejected
    assert balancer.endpoints.ejected == [one] * ejected


@pytest.mark.parametrize("failures", [1, 2, 3, 4, 9])
def test_each_failed_probation_doubles_the_wait_up_to_eight_times(failures):
    balancer, now = make_balancer(endpoint_count=6)
    one = balancer.endpoints.all[100]
    for _ in range(failures):
        balancer.outliers.record_failure(one, 2.0, 1.0)
    factor = min(
        outlier_detection.EJECTION_GROWTH_FACTOR ** (failures - 1), outlier_detection.MAX_EJECTION_DEADLINES
    )
    wait = (one.probation_ns - now) / (2 * SECOND) / factor
    assert (
        1.0 - outlier_detection.EJECTION_JITTER_FRACTION
        <= wait
        <= 1.0 + outlier_detection.EJECTION_JITTER_FRACTION
    )


@pytest.mark.parametrize(
    ("values", "level"),
    [([], congestion.PRIOR_LEVEL), ([1.0], 0.8), ([100.0], 1.8), ([2.0] * 98, 1.974)],
)
def test_the_congestion_signal_is_a_mean_with_its_prior(values, level):
    balancer = fresh()
    for value in values:
        balancer.congestion.add(value, START_NS)
    balancer.congestion.fade()
    assert balancer.congestion.level == pytest.approx(level, abs=0.001)


def test_attempts_sent_before_a_cut_do_not_count_as_congestion():
    balancer = fresh()
    balancer.congestion.reset()
    balancer.congestion.add(4.0, START_NS - 1)
    assert balancer.congestion.weight == 0.0


@pytest.mark.parametrize(("elapsed", "known"), [(0, 1.0), (240 * MS, 0.9), (20 * SECOND, 0.0)])
def test_what_was_seen_fades_to_the_prior(elapsed, known):
    balancer = fresh()
    balancer.congestion.add(4.0, START_NS)
    balancer.context.now_ns += elapsed
    balancer.congestion.fade()
    assert balancer.congestion.weight == pytest.approx(known, abs=0.1)


TENANTS = [Tenant("a", 0.5, 10.0), Tenant("b", 0.5, 10.0), Tenant("c", 0.5, 0.0)]


@pytest.mark.parametrize(
    ("own", "peers", "over"),
    [
        ([5.0, 5.0, 50.0], [[4.0, 4.0, 0.0]], [0.0, 0.0, 0.0]),  # no quota, never over it
        ([20.0, 5.0, 0.0], [[20.0, 0.0, 0.0]], [0.75, 0.0, 0.0]),
        ([26.0, 10.0, 0.0], [], [0.5, 0.0, 0.0]),  # unheard peers: the middle tenant is the measure
    ],
)
def test_quotas_hold_over_all_sidecars_or_by_the_middle_tenant(own, peers, over):
    balancer = fresh(tenants=TENANTS, fleet_size=2, can_message_peers=True)
    state = balancer.quotas
    for rates in peers:
        steps = [int(rate * quotas.STEPS_PER_REQUEST_PER_S) for rate in rates]
        state.on_peer(PeerMessage(1, state.message.pack(*steps)))
    state.rates, state.checked_ns = own, START_NS - 10 * SECOND
    state.counts = [rate * 10 for rate in own]
    state.counts[0] -= 1.0  # the one that is counted now
    state.count_request(0)
    assert state.over_quota == pytest.approx(over)
    (message,) = [action for action in balancer.context.actions if isinstance(action, SendToPeer)]
    assert state.message.unpack(message.data) == tuple(
        int(rate * quotas.STEPS_PER_REQUEST_PER_S) for rate in state.rates
    )


@pytest.mark.parametrize(("sender", "size"), [(1, 11), (1, 13), (1, 0), (7, 12)])
def test_messages_that_no_peer_sends_are_skipped(sender, size):
    balancer = fresh(tenants=TENANTS, fleet_size=2)
    balancer.quotas.on_peer(PeerMessage(sender, bytes(size)))
    assert not balancer.quotas.peer_rates


@pytest.mark.parametrize(
    ("left", "is_retry", "votes", "value"),
    [
        (2_000, False, 10, 1.0),
        (1_000, False, 10, 0.2),  # a second old: it cannot come in time
        (1_000, False, 0, 1.0),  # but what clients wait is not known
        (1_000, True, 0, 1.0),
        (60, False, 0, 0.2),  # hardly enough time left for an answer
    ],
)
def test_a_short_timeout_tells_that_a_request_is_old(left, is_retry, votes, value):
    balancer = fresh()
    stats = balancer.context.classes[0]
    stats.first_timeout_ns, stats.first_timeout_votes = 2 * SECOND, votes
    stats.typical_latency_ns = 125.0 * MS
    req = pending(balancer, left * MS)
    event = make_request(1, START_NS, left * MS)
    event.is_retry = is_retry
    assert balancer.request_value.estimate(event, req) == pytest.approx(value)


@pytest.mark.parametrize("failures", [1, 2, 3, 8])
def test_polls_back_off_while_they_fail_and_stop_once_the_registry_answers(failures):
    balancer = fresh(poll_required=True, max_poll_interval_ns=10 * SECOND)
    for _ in range(failures):
        balancer.timers.heap.clear()
        balancer.polls.on_failure()
    (due, kind, *_) = balancer.timers.heap[0]
    longest = min(10.0 * 0.05 * 2 ** (failures - 1), 10.0 * 0.4, poll_schedule.MAX_DELAY_S) * SECOND
    assert kind == POLL
    assert 0.1 * longest <= due - START_NS <= longest + 1
    balancer.polls.on_timer()
    assert balancer.context.actions == [Watch(True)]
    balancer.polls.on_list()
    balancer.polls.on_timer()
    assert balancer.context.actions == [Watch(True)]
    assert balancer.polls.failures == 0


@pytest.mark.parametrize(
    ("fleet_size", "demand", "near", "far", "sparse"),
    [
        (1, 0.0, 30, 30, False),
        (6, 0.0, 30, 25, False),  # five sixths of the others, so that about five sidecars see each
        (50, 0.0, 30, 3, False),
        (300, 4.0, 8, 8, True),  # requests of two seconds
        (300, 1_000.0, 30, 30, False),
    ],
)
def test_the_subset_follows_demand_and_the_number_of_sidecars(fleet_size, demand, near, far, sparse):
    balancer = fresh(fleet_size=fleet_size)
    balancer.endpoints.demand = demand
    balancer.handle(
        START_NS, EndpointListUpdate(ListKind.FULL, 1, [make_endpoint(n, n % 2) for n in range(60)])
    )
    found = balancer.endpoints
    assert (len(found.near), len(found.far), found.has_sparse_traffic) == (near, far, sparse)
    assert len(found.rest) == 60 - near - far
    assert all(one.sampled is (one not in found.rest) for one in found.all.values())


def test_a_fleet_view_counts_for_more_than_the_settings():
    balancer = fresh(fleet_size=4)
    assert balancer.context.sidecar_count() == 4
    balancer.handle(START_NS, MembershipChanged(9, {}))
    assert balancer.context.sidecar_count() == 9


def test_only_the_earliest_timer_is_armed_and_what_is_due_comes_in_order():
    balancer = fresh()
    timers = balancer.timers
    for due, kind in ((START_NS + 30, OVERDUE), (START_NS + 10, RETRY), (START_NS + 20, POLL)):
        timers.add(due, kind, 1)
        timers.arm()
    assert balancer.context.actions == [SetTimer(30, 1), SetTimer(10, 2)]
    timers.on_due(1)  # of a timer that was replaced
    timers.arm()
    assert len(balancer.context.actions) == 2
    balancer.context.now_ns += 20
    assert [timers.next_due()[1], timers.next_due()[1], timers.next_due()] == [RETRY, POLL, None]


@pytest.mark.parametrize("count", [1, 2, 3, 7, 8, 100])
def test_a_number_below_is_drawn_as_the_standard_library_draws_it(count):
    ours, theirs = random.Random(5), random.Random(5)
    assert [random_below(ours, count) for _ in range(50)] == [theirs.randrange(count) for _ in range(50)]


@pytest.mark.parametrize(
    ("report", "load"),
    [((3.0, 7.0), 7.0), ((3.0,), 0.0), ((), 0.0), ((0.0, math.nan), 0.0), ((0.0, -1.0), 0.0)],
)
def test_a_load_report_is_read_by_its_column_or_ignored(report, load):
    balancer, _ = make_balancer(endpoint_count=2, report_columns=("eps", "inflight"))
    one = balancer.endpoints.all[100]
    balancer.load_reports.record(one, report)
    assert one.reported_load == load
    assert balancer.endpoints.group(one).reports == (load > 0.0)


@pytest.mark.parametrize(
    ("effect", "relative", "limit", "admitted"),
    [(Effect.SAFE, 1.0, 3.0, True), (Effect.SAFE, 1.0, 2.0, False), (Effect.UNSAFE, 0.5, 5.0, False)],
)
def test_a_request_is_admitted_while_its_part_of_the_limit_has_room(effect, relative, limit, admitted):
    balancer, now = make_balancer(endpoint_count=2, effect=effect)
    state = balancer.limit
    state.limit, state.corrected_ns, state.in_flight = limit, now, 2
    assert state.admit(pending(balancer), relative) is admitted
    assert state.rejected_ns == (0 if admitted else now)


def test_a_congested_sidecar_with_little_traffic_admits_a_fifth_to_notice_recovery():
    balancer = fresh(fleet_size=300)
    state = balancer.limit
    state.limit, state.corrected_ns = 0.0, START_NS
    balancer.endpoints.demand, balancer.congestion.level = 1.0, 4.0
    admitted = sum(state.admit(pending(balancer), 1.0) for _ in range(2_000))
    assert 0.17 < admitted / 2_000 < 0.23
