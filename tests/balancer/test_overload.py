"""Overload, tenant quotas and outlier detection: one small test for each failure seen in an incident."""

import heapq

import pytest
from helpers import (
    MS,
    SECOND,
    START_NS,
    make_balancer,
    make_endpoint,
    make_request,
    make_settings,
    run_timers,
)

from dykefold import Balancer
from dykefold.balancer.actions import Reject, Send, SendToPeer, SetTimer
from dykefold.balancer.events import (
    EndpointListUpdate,
    ListKind,
    Outcome,
    PeerMessage,
    Request,
    Status,
    Timer,
)
from dykefold.balancer.settings import Effect, RequestClass, Tenant


class SteadyLoad:
    """Sends requests at a constant rate and answers each attempt after a given latency."""

    def __init__(self, balancer, now_ns):
        self.balancer = balancer
        self.now_ns = now_ns
        self._events = []
        self._event_order = 0
        self.last_request_id = 0
        self._timed_actions = []

    def _schedule(self, at_ns, event):
        self._event_order += 1
        heapq.heappush(self._events, (at_ns, self._event_order, event))

    def _handle(self, event, latency_ns_of):
        for action in self.balancer.handle(self.now_ns, event):
            self._timed_actions.append((self.now_ns, action))
            if isinstance(action, SetTimer):
                self._schedule(self.now_ns + action.after_ns, Timer(action.token))
            elif isinstance(action, Send):
                latency_ns = latency_ns_of(action.endpoint_number)
                if latency_ns is not None:
                    outcome = Outcome(action.id, 0, action.endpoint_number, Status.OK, latency_ns, True)
                    self._schedule(self.now_ns + latency_ns, outcome)

    def run(
        self,
        seconds,
        requests_per_s,
        latency_ns_of,
        class_number_of=lambda n: 0,
        tenant_of=lambda n: 0,
        timeout_ns_of=lambda n: 2 * SECOND,
        is_retry_of=lambda n: False,
    ):
        """Send requests for a time.

        Args:
            seconds: Duration in seconds.
            requests_per_s: Requests per second.
            latency_ns_of: Function from endpoint number to latency in nanoseconds; None for no answer.
            class_number_of: Function from request id to the number of its class.
            tenant_of: Function from request id to its tenant.
            timeout_ns_of: Function from request id to its timeout in nanoseconds.
            is_retry_of: Function from request id to whether the client marks it as a retry.

        Returns:
            The actions of this time, each with its time in nanoseconds.
        """
        self._timed_actions = []
        end_ns = self.now_ns + int(seconds * SECOND)
        interval_ns = SECOND // requests_per_s
        arrival_ns = self.now_ns
        while arrival_ns < end_ns:
            while self._events and self._events[0][0] <= arrival_ns:
                self.now_ns, _, event = heapq.heappop(self._events)
                self._handle(event, latency_ns_of)
            self.now_ns = arrival_ns
            self.last_request_id += 1
            request_id = self.last_request_id
            deadline_ns = arrival_ns + timeout_ns_of(request_id)
            self._handle(
                Request(
                    request_id,
                    class_number_of(request_id),
                    tenant_of(request_id),
                    deadline_ns,
                    is_retry=is_retry_of(request_id),
                ),
                latency_ns_of,
            )
            arrival_ns += interval_ns
        return self._timed_actions


def fraction_of_type(timed_actions, action_type):
    decisions = [a for _, a in timed_actions if isinstance(a, Send | Reject)]
    return sum(isinstance(a, action_type) for a in decisions) / len(decisions)


def fast_latency_ns(endpoint_number):
    return 40 * MS


def slow_latency_ns(endpoint_number):
    return 700 * MS


@pytest.fixture
def steady_load():
    return SteadyLoad(*make_balancer(endpoint_count=6, effect=Effect.UNSAFE))


def test_nothing_is_rejected_while_latencies_meet_the_objective(steady_load):
    assert fraction_of_type(steady_load.run(10, 100, fast_latency_ns), Reject) == 0


def test_load_is_shed_while_all_answers_are_late_and_admitted_afterwards(steady_load):
    steady_load.run(5, 100, fast_latency_ns)
    steady_load.run(3, 100, slow_latency_ns)
    assert fraction_of_type(steady_load.run(3, 100, slow_latency_ns), Reject) > 0.3
    steady_load.run(10, 100, fast_latency_ns)
    assert fraction_of_type(steady_load.run(3, 100, fast_latency_ns), Reject) < 0.05


def test_typical_latency_is_not_learned_from_a_collapse(steady_load):
    """Incident i545f60: the typical latency rose with the collapse, so the limit never took effect."""
    steady_load.run(5, 300, fast_latency_ns)
    before = steady_load.balancer.context.classes[0].typical_latency_ns
    steady_load.run(8, 300, slow_latency_ns)
    assert steady_load.balancer.context.classes[0].typical_latency_ns < 3 * before


def test_limit_grows_slowly_after_a_cut(steady_load):
    """Incident i545f60: the limit rose tenfold within a second and retries of clients filled it at once."""
    steady_load.run(5, 100, fast_latency_ns)
    steady_load.run(5, 100, slow_latency_ns)
    limits = []
    for _ in range(10):
        steady_load.run(0.2, 100, fast_latency_ns)
        limits.append(steady_load.balancer.limit.limit)
    wanted_in_flight = steady_load.balancer.limit.wanted_in_flight
    assert limits[-1] < 5 * max(wanted_in_flight, limits[0])


def test_limit_shrinks_at_once_with_the_endpoint_list(steady_load):
    """Incident i8cc3a0: two endpoints got the requests of seven until their responses were late."""
    steady_load.run(5, 100, fast_latency_ns)
    before = steady_load.balancer.limit.limit
    steady_load.balancer.handle(
        steady_load.now_ns, EndpointListUpdate(ListKind.FULL, 2, [make_endpoint(100), make_endpoint(101)])
    )
    assert steady_load.balancer.limit.limit < 0.4 * before
    steady_load.balancer.handle(
        steady_load.now_ns, EndpointListUpdate(ListKind.FULL, 3, [make_endpoint(100 + n) for n in range(6)])
    )
    assert steady_load.balancer.limit.limit < 0.4 * before  # added endpoints raise it by their responses only


def test_pool_of_one_endpoint_admits_several_clients_at_once():
    """Guards against a new pool after a reload that rejects half of its clients in its first millisecond."""
    balancer, now_ns = make_balancer(endpoint_count=1)
    for request_id in range(16):
        assert any(
            isinstance(action, Send) for action in balancer.handle(now_ns, make_request(request_id, now_ns))
        )


def test_one_hung_endpoint_causes_no_rejections(steady_load):
    steady_load.run(5, 100, fast_latency_ns)
    timed_actions = steady_load.run(
        8, 100, lambda endpoint_number: None if endpoint_number == 101 else 40 * MS
    )
    assert fraction_of_type(timed_actions, Reject) < 0.02


def test_one_long_request_does_not_eject_its_endpoint():
    """Incident i4efe13: one attempt raised the failure score of its endpoint at each of its timeouts."""
    steady_load = SteadyLoad(*make_balancer(endpoint_count=6, effect=Effect.UNSAFE))
    steady_load.run(5, 100, fast_latency_ns)
    before = steady_load.last_request_id
    steady_load.run(
        1.9, 20, lambda endpoint_number: None if steady_load.last_request_id == before + 1 else 40 * MS
    )
    assert not steady_load.balancer.endpoints.ejected


def test_silence_of_most_endpoints_at_once_ejects_few(steady_load):
    steady_load.run(5, 100, fast_latency_ns)
    steady_load.run(4, 100, lambda endpoint_number: None)
    assert len(steady_load.balancer.endpoints.ejected) <= 2


def test_connection_resets_eject_an_endpoint_and_a_response_readmits_it():
    balancer, now_ns = make_balancer(endpoint_count=6, effect=Effect.UNSAFE)
    sends = []
    for request_id in range(30):
        sends += [a for a in balancer.handle(now_ns, make_request(request_id, now_ns)) if isinstance(a, Send)]
    in_flight = [a.id for a in sends if a.endpoint_number == 100]
    assert len(in_flight) >= 3
    now_ns += 40 * MS
    for request_id in in_flight[:2]:
        balancer.handle(now_ns, Outcome(request_id, 0, 100, Status.RESET, 40 * MS, False))
    assert [endpoint.id for endpoint in balancer.endpoints.ejected] == [100]
    later_attempts = [
        a
        for n in range(100, 150)
        for a in balancer.handle(now_ns, make_request(n, now_ns))
        if isinstance(a, Send)
    ]
    assert later_attempts
    assert all(a.endpoint_number != 100 for a in later_attempts)
    balancer.handle(now_ns, Outcome(in_flight[2], 0, 100, Status.OK, 40 * MS, True))
    assert not balancer.endpoints.ejected


def rejections_by_class(**overrides):
    classes = [
        RequestClass("low priority", 500 * MS, 2 * SECOND, 1.0, 0.2, Effect.UNSAFE),
        RequestClass("high priority", 500 * MS, 2 * SECOND, 9.0, 0.2, Effect.UNSAFE),
    ]
    steady_load = SteadyLoad(*make_balancer(endpoint_count=6, classes=classes, **overrides))
    class_by_parity = {"class_number_of": lambda n: n % 2}
    steady_load.run(5, 100, fast_latency_ns, **class_by_parity)
    timed_actions = steady_load.run(
        6,
        100,
        lambda endpoint_number: (40 + 25 * steady_load.balancer.limit.in_flight) * MS,
        **class_by_parity,
    )
    rejected = [a.id % 2 for _, a in timed_actions if isinstance(a, Reject)]
    return rejected.count(0), rejected.count(1)


def test_low_priority_class_is_shed_before_high_priority_class():
    low_priority, high_priority = rejections_by_class()
    assert low_priority > 1.5 * high_priority > 0


def test_classes_are_shed_alike_if_the_worst_served_class_is_a_goal():
    """Guards against lookups, of low priority for their work, that are by far the worst-served class."""
    low_priority, high_priority = rejections_by_class(goal_worst_class=0.3)
    assert 0 < low_priority < 1.3 * high_priority


@pytest.mark.parametrize("timeout_ns, is_marked", [(900 * MS, True), (600 * MS, True), (600 * MS, False)])
def test_client_retries_are_shed_first_and_only_in_overload(steady_load, timeout_ns, is_marked):
    """Incident i8cc3a0: most admitted requests were late, counted from the client's first attempt."""
    mixed_ages = {
        "timeout_ns_of": lambda n: 900 * MS if n % 3 else timeout_ns,
        "is_retry_of": lambda n: is_marked and n % 3 == 0,
    }
    assert fraction_of_type(steady_load.run(5, 100, fast_latency_ns, **mixed_ages), Reject) == 0
    timed_actions = steady_load.run(
        6, 100, lambda endpoint_number: (40 + 25 * steady_load.balancer.limit.in_flight) * MS, **mixed_ages
    )
    rejected = [a.id % 3 == 0 for _, a in timed_actions if isinstance(a, Reject)]
    # A third of the requests are aged, two thirds are not.
    assert rejected.count(True) > 1.5 * rejected.count(False) / 2 > 0


@pytest.mark.parametrize("late_worth", [0.0, 0.2])
def test_first_attempts_are_admitted_if_client_retries_have_a_longer_timeout(late_worth):
    """Guards against rejecting first lookups as old because client retries have a longer timeout.

    In the program's second deployment, such lookups were rejected although the load was low.
    """
    request_class = RequestClass("lookup", 440 * MS, 2200 * MS, 1.0, late_worth, Effect.SAFE)
    steady_load = SteadyLoad(*make_balancer(endpoint_count=6, classes=[request_class]))
    timeouts = {
        "timeout_ns_of": lambda n: 1690 * MS if n % 9 < 5 else (1960 if n % 9 < 7 else 1400 + n % 9 * 30) * MS
    }
    steady_load.run(3, 100, fast_latency_ns, **timeouts)
    assert fraction_of_type(steady_load.run(10, 100, fast_latency_ns, **timeouts), Reject) == 0


def test_requests_without_value_are_rejected_only_near_the_limit():
    request_class = RequestClass("lookup", 440 * MS, 2200 * MS, 1.0, 0.0, Effect.SAFE)
    steady_load = SteadyLoad(*make_balancer(endpoint_count=6, classes=[request_class]))
    aged = {"timeout_ns_of": lambda n: 2200 * MS if n % 4 else 900 * MS}
    steady_load.run(3, 100, fast_latency_ns, **aged)
    assert fraction_of_type(steady_load.run(5, 100, fast_latency_ns, **aged), Reject) == 0
    timed_actions = steady_load.run(
        6, 100, lambda endpoint_number: (40 + 25 * steady_load.balancer.limit.in_flight) * MS, **aged
    )
    rejected = [a.id % 4 == 0 for _, a in timed_actions if isinstance(a, Reject)]
    assert rejected.count(True) > rejected.count(False) / 3 > 0


def test_retry_after_lies_within_the_latency_objective_unless_that_has_passed():
    """Incident i8cc3a0: many responses were late, as they are if Retry-After ends after the objective."""
    steady_load = SteadyLoad(
        *make_balancer(endpoint_count=6, effect=Effect.UNSAFE, max_retry_after_ns=10 * SECOND)
    )
    # The deadline is 2 s, so a third of the requests are 0.6 s old.
    mixed_ages = {"timeout_ns_of": lambda n: 1500 * MS if n % 3 else 1400 * MS}
    steady_load.run(5, 100, fast_latency_ns, **mixed_ages)
    timed_actions = steady_load.run(
        6, 100, lambda endpoint_number: (40 + 25 * steady_load.balancer.limit.in_flight) * MS, **mixed_ages
    )
    rejected = [a for _, a in timed_actions if isinstance(a, Reject)]
    retry_after_ns = {
        is_aged: [a.retry_after_ns for a in rejected if (a.id % 3 == 0) == is_aged]
        for is_aged in (True, False)
    }
    assert min(retry_after_ns[False]) > 0
    assert max(retry_after_ns[False]) < 500 * MS / 2
    assert min(retry_after_ns[True]) > 500 * MS / 2


def test_tenant_over_its_quota_is_rejected_first_and_only_in_overload():
    tenants = [Tenant("within quota", 0.5, 50.0), Tenant("over quota", 0.5, 50.0)]
    steady_load = SteadyLoad(
        *make_balancer(
            endpoint_count=6, effect=Effect.UNSAFE, tenants=tenants, over_quota_weight_fraction=0.1
        )
    )
    mostly_over_quota = {"tenant_of": lambda n: n % 5 != 0}
    assert fraction_of_type(steady_load.run(5, 200, fast_latency_ns, **mostly_over_quota), Reject) == 0
    timed_actions = steady_load.run(6, 200, lambda endpoint_number: 350 * MS, **mostly_over_quota)
    rejected = [a.id for _, a in timed_actions if isinstance(a, Reject)]
    sent = [a.id for _, a in timed_actions if isinstance(a, Send)]
    rejections = {
        over_quota: sum((n % 5 != 0) == over_quota for n in rejected) for over_quota in (True, False)
    }
    arrivals = {
        over_quota: rejections[over_quota] + sum((n % 5 != 0) == over_quota for n in sent)
        for over_quota in (True, False)
    }
    assert rejections[True] / arrivals[True] > rejections[False] / arrivals[False]


def test_tenant_rates_are_exchanged_with_peers_and_corrupt_ones_are_ignored():
    tenants = [Tenant("a", 0.5, 10.0), Tenant("b", 0.5, 10.0)]
    balancer_settings = make_settings(
        effect=Effect.UNSAFE, tenants=tenants, can_message_peers=True, fleet_size=2, index=0
    )
    balancer = Balancer(balancer_settings, 1)
    balancer.handle(START_NS, EndpointListUpdate(ListKind.FULL, 1, [make_endpoint(n) for n in range(4)]))
    steady_load = SteadyLoad(balancer, START_NS)
    peer_messages = [
        a.data
        for _, a in steady_load.run(5, 20, fast_latency_ns, tenant_of=lambda n: 0)
        if isinstance(a, SendToPeer)
    ]
    assert peer_messages
    balancer.handle(steady_load.now_ns, PeerMessage(1, peer_messages[-1][:3]))
    balancer.handle(steady_load.now_ns, PeerMessage(1, peer_messages[-1]))
    steady_load.run(2, 20, fast_latency_ns, tenant_of=lambda n: 0)
    assert balancer.quotas.over_quota[0] > 0.5  # 20 per second here and 20 at the peer, of 10
    assert balancer.quotas.over_quota[1] == 0.0


def test_surge_is_admitted_only_as_far_as_responses_justify():
    """Incident ibe9fc7: four times the recent in-flight count as limit grew with the surge until all hung."""
    steady_load = SteadyLoad(*make_balancer(endpoint_count=40, effect=Effect.UNSAFE, fleet_size=8))
    steady_load.run(5, 50, fast_latency_ns)
    steady_load.run(0.4, 1000, lambda endpoint_number: None)  # all endpoints hang, which no timeout shows yet
    assert steady_load.balancer.limit.in_flight < 80
    answered_load = SteadyLoad(*make_balancer(endpoint_count=40, effect=Effect.UNSAFE, fleet_size=8))
    answered_load.run(5, 50, fast_latency_ns)
    # A burst that is answered is admitted.
    assert fraction_of_type(answered_load.run(2, 150, fast_latency_ns), Reject) < 0.05


@pytest.mark.parametrize("effect", list(Effect))
def test_ejected_endpoint_is_probed_by_one_request_at_a_time_of_any_class_if_no_class_is_safe(effect):
    """Incident ifc0f20: no class of the site was safe, so recovered endpoints stayed ejected for good."""
    balancer, now_ns = make_balancer(endpoint_count=6, effect=effect)
    ejected_endpoint = balancer.endpoints.all[100]
    balancer.outliers.record_failure(ejected_endpoint, 5.0, 1.0)
    assert ejected_endpoint.ejected
    probe_times_ns = []
    for step in range(1000):
        now_ns += 10 * MS
        for action in balancer.handle(now_ns, make_request(step, now_ns)):
            if isinstance(action, Send) and action.endpoint_number == 100:
                probe_times_ns.append(now_ns)
            elif isinstance(action, Send):
                balancer.handle(
                    now_ns, Outcome(action.id, 0, action.endpoint_number, Status.OK, 5 * MS, True)
                )
    assert len(probe_times_ns) == 1
    assert probe_times_ns[0] - START_NS > SECOND


def test_probation_probe_is_a_request_of_a_safe_class_if_there_is_one():
    classes = [
        RequestClass("safe", 500 * MS, 2 * SECOND, 1.0, 0.2, Effect.SAFE),
        RequestClass("unsafe", 500 * MS, 2 * SECOND, 1.0, 0.2, Effect.UNSAFE),
    ]
    balancer, now_ns = make_balancer(endpoint_count=6, classes=classes)
    balancer.outliers.record_failure(balancer.endpoints.all[100], 5.0, 1.0)
    now_ns += 30 * SECOND
    sent = [
        a
        for n in range(3)
        for a in balancer.handle(now_ns, make_request(n, now_ns, class_number=1))
        if isinstance(a, Send)
    ]
    assert sent
    assert all(action.endpoint_number != 100 for action in sent)
    actions = balancer.handle(now_ns, make_request(99, now_ns, class_number=0))
    assert [a.endpoint_number for a in actions if isinstance(a, Send)] == [100]


def test_attempts_with_lost_responses_do_not_fill_the_limit():
    """Guards against lost responses in the network: such attempts filled the limit, all was rejected."""
    balancer, now_ns = make_balancer(endpoint_count=4, effect=Effect.UNSAFE, can_hedge=False)
    sent = {}
    for request_id in range(400):
        now_ns += 5 * MS
        (attempt,) = [
            a for a in balancer.handle(now_ns, make_request(request_id, now_ns)) if isinstance(a, Send)
        ]
        balancer.handle(
            now_ns + MS, Outcome(request_id, 0, attempt.endpoint_number, Status.OK, 40 * MS, True)
        )
    for request_id in range(1000, 1008):  # these are not answered, while others are
        for action in balancer.handle(now_ns, make_request(request_id, now_ns)):
            if isinstance(action, Send):
                sent[request_id] = action.endpoint_number
    assert balancer.limit.in_flight == len(sent) == 8
    for request_id in range(2000, 2200):
        now_ns += 5 * MS
        balancer.handle(now_ns, Timer(balancer.timers.token))
        (attempt,) = [
            a for a in balancer.handle(now_ns, make_request(request_id, now_ns)) if isinstance(a, Send)
        ]
        balancer.handle(
            now_ns + MS, Outcome(request_id, 0, attempt.endpoint_number, Status.OK, 40 * MS, True)
        )
    assert balancer.limit.in_flight < 8
    for request_id, endpoint_number in sent.items():  # each gets an outcome in the end and is counted once
        balancer.handle(now_ns, Outcome(request_id, 0, endpoint_number, Status.TIMEOUT, 2 * SECOND, True))
    assert balancer.limit.in_flight == 0
    assert not any(endpoint.in_flight or endpoint.lost for endpoint in balancer.endpoints.all.values())


def test_request_that_cannot_be_sent_is_rejected_within_half_its_timeout():
    """Guards against late rejections: an early one with a Retry-After leaves the client time for a retry."""
    balancer, now_ns = make_balancer(endpoints=[], effect=Effect.UNSAFE)
    timed_actions = run_timers(
        balancer, now_ns, balancer.handle(now_ns, make_request(7, now_ns)), now_ns + 2 * SECOND
    )
    ((at_ns, rejection),) = [(at_ns, action) for at_ns, action in timed_actions if isinstance(action, Reject)]
    assert now_ns < at_ns < now_ns + SECOND
    assert rejection.retry_after_ns > 0
