"""The concurrency limit is cut once for the same late attempts, and recovers when answers are in time."""

from helpers import MS, SECOND, make_balancer
from hypothesis import given, settings
from hypothesis import strategies as st
from test_overload import SteadyLoad

from dykefold.balancer.actions import Reject
from dykefold.balancer.settings import Effect

ENDPOINTS = 12
OFFERED_PER_S = 300
TIMELY_NS = 60 * MS
# From any state, the limit admits the offered load again after this many corrections.
MAX_RECOVERY_CORRECTIONS = 40


def start_steady_load():
    load = SteadyLoad(*make_balancer(endpoint_count=ENDPOINTS, effect=Effect.UNSAFE))
    return load.balancer, load


def count_rejections(log):
    return sum(isinstance(action, Reject) for _, action in log)


@settings(max_examples=40, derandomize=True, deadline=None)
@given(
    limit=st.floats(0.0, 40.0),
    limit_after_cut=st.floats(0.0, 200.0),
    congestion_total=st.floats(0.0, 400.0),
    congestion_weight=st.floats(0.0, 100.0),
    wanted_in_flight=st.floats(0.0, 200.0),
    cut_ns_ago=st.integers(0, 5 * SECOND),
)
def test_limit_recovers_from_any_state_within_maximum_corrections(
    limit, limit_after_cut, congestion_total, congestion_weight, wanted_in_flight, cut_ns_ago
):
    balancer, load = start_steady_load()
    load.run(3.0, OFFERED_PER_S, lambda endpoint: TIMELY_NS)
    limiter, signal = balancer.limit, balancer.congestion
    limiter.limit, limiter.limit_after_cut, limiter.wanted_in_flight = (
        limit,
        limit_after_cut,
        wanted_in_flight,
    )
    signal.weight, signal.total = congestion_weight, min(congestion_total, 4.0 * congestion_weight)
    signal.cut_ns = load.now_ns - cut_ns_ago
    limiter.rejected_ns = load.now_ns
    load.run(
        MAX_RECOVERY_CORRECTIONS * balancer.limit.interval_ns / SECOND,
        OFFERED_PER_S,
        lambda endpoint: TIMELY_NS,
    )
    assert not count_rejections(load.run(1.0, OFFERED_PER_S, lambda endpoint: TIMELY_NS))


def test_limit_recovers_from_one_request():
    balancer, load = start_steady_load()
    load.run(3.0, OFFERED_PER_S, lambda endpoint: TIMELY_NS)
    balancer.limit.limit = 1.0
    load.run(
        MAX_RECOVERY_CORRECTIONS * balancer.limit.interval_ns / SECOND,
        OFFERED_PER_S,
        lambda endpoint: TIMELY_NS,
    )
    assert not count_rejections(load.run(1.0, OFFERED_PER_S, lambda endpoint: TIMELY_NS))


def test_late_attempts_of_one_stall_cut_limit_once():
    """Guards against repeated cuts for the same late attempts, as one after the other is detected."""
    balancer, load = start_steady_load()
    load.run(3.0, OFFERED_PER_S, lambda endpoint: TIMELY_NS)
    stall_end_ns = load.now_ns + 1000 * MS
    cut_times = []

    def latency_ns(endpoint):
        # Attempts sent during the stall are answered late, over 1.5 s; later attempts are answered in time.
        if balancer.congestion.cut_ns not in cut_times:
            cut_times.append(balancer.congestion.cut_ns)
        return 400 * MS + 100 * MS * (endpoint % 12) if load.now_ns < stall_end_ns else TIMELY_NS

    load.run(4.0, OFFERED_PER_S, latency_ns)
    assert len([cut_ns for cut_ns in cut_times if cut_ns]) == 1


def test_single_late_endpoint_causes_fewer_rejections_than_all_late():
    rejections = {}
    for name, late in (("one", {100}), ("all", set(range(100, 100 + ENDPOINTS)))):
        _, load = start_steady_load()
        load.run(3.0, OFFERED_PER_S, lambda endpoint: TIMELY_NS)
        log = load.run(
            3.0, OFFERED_PER_S, lambda endpoint, late=late: 700 * MS if endpoint in late else TIMELY_NS
        )
        rejections[name] = count_rejections(log)
    assert rejections["one"] * 5 < rejections["all"]


def test_tenfold_load_is_limited_by_rate_of_answers():
    """Guards against a limit that doubles in a load peak, while latency grows with the requests in flight."""
    balancer, load = start_steady_load()
    load.run(3.0, OFFERED_PER_S, lambda endpoint: TIMELY_NS)

    def latency_ns(endpoint):
        return TIMELY_NS * max(1, len(balancer.endpoints.all[endpoint].in_flight))

    load.run(1.0, 10 * OFFERED_PER_S, latency_ns)
    load.run(2.0, 10 * OFFERED_PER_S, latency_ns)
    assert balancer.limit.in_flight < 10 * OFFERED_PER_S * TIMELY_NS / SECOND * 4
    load.run(
        MAX_RECOVERY_CORRECTIONS * balancer.limit.interval_ns / SECOND,
        OFFERED_PER_S,
        lambda endpoint: TIMELY_NS,
    )
    assert not count_rejections(load.run(1.0, OFFERED_PER_S, lambda endpoint: TIMELY_NS))
