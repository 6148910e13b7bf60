"""The limit on requests in flight: cut once for each flight, and back when answers are in time."""

from helpers import MS, SECOND, make_balancer
from hypothesis import given, settings
from hypothesis import strategies as st
from test_overload import SteadyLoad

from dykefold.balancer.actions import Refuse
from dykefold.balancer.settings import Effect

SERVERS = 12
OFFERED = 300  # requests a second
IN_TIME = 60 * MS
FLIGHTS = 40  # corrections within which the limit is back at what is offered, from any state


def fleet():
    feed = SteadyLoad(*make_balancer(endpoint_count=SERVERS, effect=Effect.UNSAFE))
    return feed.balancer, feed


def refused(log):
    return sum(isinstance(action, Refuse) for _, action in log)


@settings(max_examples=40, derandomize=True, deadline=None)
@given(
    limit=st.floats(0.0, 40.0),
    good=st.floats(0.0, 200.0),
    late=st.floats(0.0, 400.0),
    seen=st.floats(0.0, 100.0),
    wanted=st.floats(0.0, 200.0),
    cut_ago=st.integers(0, 5 * SECOND),
)
def test_from_any_state_it_is_back_within_so_many_flights(limit, good, late, seen, wanted, cut_ago):
    balancer, feed = fleet()
    feed.run(3.0, OFFERED, lambda server: IN_TIME)
    state, signal = balancer.limit, balancer.congestion
    state.limit, state.limit_after_cut, state.wanted_in_flight = limit, good, wanted
    signal.weight, signal.total = seen, min(late, 4.0 * seen)
    signal.cut_ns = feed.now - cut_ago
    state.rejected_ns = feed.now
    feed.run(FLIGHTS * balancer.limit.interval_ns / SECOND, OFFERED, lambda server: IN_TIME)
    assert not refused(feed.run(1.0, OFFERED, lambda server: IN_TIME))


def test_a_limit_of_one_comes_back():
    balancer, feed = fleet()
    feed.run(3.0, OFFERED, lambda server: IN_TIME)
    balancer.limit.limit = 1.0
    feed.run(FLIGHTS * balancer.limit.interval_ns / SECOND, OFFERED, lambda server: IN_TIME)
    assert not refused(feed.run(1.0, OFFERED, lambda server: IN_TIME))


def test_one_late_flight_cuts_once():
    """Guards against cutting again and again for the same late attempts, as they are noticed."""
    balancer, feed = fleet()
    feed.run(3.0, OFFERED, lambda server: IN_TIME)
    stall = feed.now + 1000 * MS
    cuts = []

    def took(server):
        # What is sent within the stall comes back late, over 1.5 s; what is sent after it, in time.
        if balancer.congestion.cut_ns not in cuts:
            cuts.append(balancer.congestion.cut_ns)
        return 400 * MS + 100 * MS * (server % 12) if feed.now < stall else IN_TIME

    feed.run(4.0, OFFERED, took)
    assert len([cut for cut in cuts if cut]) == 1


def test_one_late_server_among_many_cuts_less_than_all_late():
    kept = {}
    for name, late in (("one", {100}), ("all", set(range(100, 100 + SERVERS)))):
        _, feed = fleet()
        feed.run(3.0, OFFERED, lambda server: IN_TIME)
        log = feed.run(3.0, OFFERED, lambda server, late=late: 700 * MS if server in late else IN_TIME)
        kept[name] = refused(log)
    assert kept["one"] * 5 < kept["all"]


def test_tenfold_load_within_one_flight_is_limited_to_the_answered_rate():
    """Each server takes as long as it has requests out; the flight that brings the load is not doubled."""
    balancer, feed = fleet()
    feed.run(3.0, OFFERED, lambda server: IN_TIME)

    def took(server):
        return IN_TIME * max(1, len(balancer.endpoints.all[server].in_flight))

    feed.run(1.0, 10 * OFFERED, took)
    feed.run(2.0, 10 * OFFERED, took)
    assert balancer.limit.in_flight < 10 * OFFERED * IN_TIME / SECOND * 4
    feed.run(FLIGHTS * balancer.limit.interval_ns / SECOND, OFFERED, lambda server: IN_TIME)
    assert not refused(feed.run(1.0, OFFERED, lambda server: IN_TIME))
