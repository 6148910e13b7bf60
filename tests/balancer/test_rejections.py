"""Endpoints that reject every request, such as one that drains before the endpoint list says so."""

from helpers import MS, SECOND, make_balancer, serve_requests, submit_request

from dykefold.balancer.events import Outcome, Status
from dykefold.balancer.in_flight import InFlightAttempt


def record_outcome(balancer, now_ns, endpoint_number, status):
    """Record the outcome of an attempt that was sent to the endpoint 5 ms ago."""
    endpoint = balancer.endpoints.all[endpoint_number]
    attempt = InFlightAttempt(now_ns - 5 * MS, balancer.context.classes[0])
    balancer.results.learn(endpoint, attempt, Outcome(9, 0, endpoint_number, status, 5 * MS, True), False)


def reject_attempts(balancer, now_ns, endpoint_number, count):
    for _ in range(count):
        now_ns += 10 * MS
        record_outcome(balancer, now_ns, endpoint_number, Status.FULL)
    return now_ns


def test_endpoint_that_rejects_everything_is_ejected_and_adds_no_congestion():
    """Guards against rejections by draining endpoints that count as congestion.

    During a rolling update each sidecar of the fleet then shed a third of its requests though the other
    endpoints were idle.
    """
    balancer, now_ns = make_balancer(endpoint_count=6)
    now_ns, _ = serve_requests(balancer, now_ns, range(10_000, 10_200), 40 * MS)
    now_ns = reject_attempts(balancer, now_ns, 100, 2)
    assert [endpoint.id for endpoint in balancer.endpoints.ejected] == [100]
    balancer.congestion.decay()
    level_before = balancer.congestion.level
    record_outcome(balancer, now_ns, 100, Status.FULL)
    balancer.congestion.decay()
    assert balancer.congestion.level <= level_before
    for request_id in range(1, 13):  # the ejected endpoint gets no requests for some time
        assert submit_request(balancer, now_ns, request_id).endpoint_number != 100


def test_endpoint_that_rejects_some_requests_is_not_ejected_and_adds_congestion():
    balancer, now_ns = make_balancer(endpoint_count=6)
    now_ns, _ = serve_requests(balancer, now_ns, range(10_000, 10_200), 40 * MS)
    for _ in range(4):
        total_before = balancer.congestion.total
        now_ns = reject_attempts(balancer, now_ns, 100, 1)
        assert not balancer.endpoints.ejected
        assert balancer.congestion.total > total_before + 1.0
        record_outcome(balancer, now_ns, 100, Status.OK)


def test_at_most_a_third_of_the_endpoints_is_ejected_if_all_reject():
    """Guards an overloaded fleet against sending all requests to the last endpoint that is not ejected."""
    balancer, now_ns = make_balancer(endpoint_count=6)
    now_ns, _ = serve_requests(balancer, now_ns, range(10_000, 10_200), 40 * MS)
    for _ in range(5):
        for endpoint in list(balancer.endpoints.all.values()):
            now_ns = reject_attempts(balancer, now_ns, endpoint.id, 1)
    assert len(balancer.endpoints.ejected) == 2


def test_rejecting_endpoint_is_probed_and_readmitted_with_its_first_answer():
    balancer, now_ns = make_balancer(endpoint_count=6)
    now_ns, _ = serve_requests(balancer, now_ns, range(10_000, 10_200), 40 * MS)
    now_ns = reject_attempts(balancer, now_ns, 100, 2) + 5 * SECOND
    attempt = submit_request(balancer, now_ns, 1)
    assert attempt.endpoint_number == 100
    balancer.handle(now_ns + 40 * MS, Outcome(1, 0, 100, Status.OK, 40 * MS, True))
    assert not balancer.endpoints.ejected
