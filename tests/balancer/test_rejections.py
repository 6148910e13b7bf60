"""Servers that turn everything away, as one does that drains and that the list does not name yet."""

from helpers import MS, SECOND, make_balancer, serve_requests, submit_request

from dykefold.balancer.events import Outcome, Status
from dykefold.balancer.in_flight import InFlightAttempt


def hear(balancer, now, server, status):
    """An attempt at this server ends so, 5 ms after it was sent."""
    known = balancer.endpoints.all[server]
    flight = InFlightAttempt(now - 5 * MS, balancer.context.classes[0])
    balancer.results.learn(known, flight, Outcome(9, 0, server, status, 5 * MS, True), False)


def full(balancer, now, server, times):
    for _ in range(times):
        now += 10 * MS
        hear(balancer, now, server, Status.FULL)
    return now


def test_a_server_that_turns_all_away_is_left_alone_and_is_no_load_of_the_fleet():
    """Guards a release: each draining server's refusals counted as pressure, and every sidecar of the fleet
    shed a third of its requests though the other servers were idle."""
    balancer, now = make_balancer(endpoint_count=6)
    now, _ = serve_requests(balancer, now, range(10_000, 10_200), 40 * MS)
    now = full(balancer, now, 100, 2)
    assert [server.id for server in balancer.endpoints.ejected] == [100]
    balancer.congestion.fade()
    pressure = balancer.congestion.level
    hear(balancer, now, 100, Status.FULL)
    balancer.congestion.fade()
    assert balancer.congestion.level <= pressure
    for number in range(1, 13):  # nothing goes there for a while
        assert submit_request(balancer, now, number).endpoint_number != 100


def test_one_that_lets_some_in_is_full_and_counts_as_pressure():
    balancer, now = make_balancer(endpoint_count=6)
    now, _ = serve_requests(balancer, now, range(10_000, 10_200), 40 * MS)
    for _ in range(4):
        before = balancer.congestion.total
        now = full(balancer, now, 100, 1)
        assert not balancer.endpoints.ejected
        assert balancer.congestion.total > before + 1.0
        hear(balancer, now, 100, Status.OK)


def test_where_all_are_full_only_a_third_is_left_out():
    """Guards the rest of an overloaded fleet: what the others turn away must not all go to the last one."""
    balancer, now = make_balancer(endpoint_count=6)
    now, _ = serve_requests(balancer, now, range(10_000, 10_200), 40 * MS)
    for _ in range(5):
        for server in list(balancer.endpoints.all.values()):
            now = full(balancer, now, server.id, 1)
    assert len(balancer.endpoints.ejected) == 2


def test_rejecting_endpoint_is_probed_and_readmitted_with_its_first_answer():
    balancer, now = make_balancer(endpoint_count=6)
    now, _ = serve_requests(balancer, now, range(10_000, 10_200), 40 * MS)
    now = full(balancer, now, 100, 2) + 5 * SECOND
    sent = submit_request(balancer, now, 1)
    assert sent.endpoint_number == 100
    balancer.handle(now + 40 * MS, Outcome(1, 0, 100, Status.OK, 40 * MS, True))
    assert not balancer.endpoints.ejected
