"""Long random sequences of legal events against the rule checker, and tests that the checker can fail."""

import heapq
import random

import pytest
from checker import RuleChecker, RuleViolationError
from helpers import MS, SECOND, START_NS, make_endpoint
from hypothesis import given, settings
from hypothesis import strategies as st

from dykefold import Balancer, Settings
from dykefold.balancer.actions import Cancel, Fail, Probe, Reject, Send, SetTimer
from dykefold.balancer.attempt_rules import AttemptRules
from dykefold.balancer.events import (
    ClientDisconnected,
    EndpointListUpdate,
    ListKind,
    Outcome,
    ProbeResult,
    Request,
    State,
    Status,
    Timer,
)
from dykefold.balancer.final_answers import FinalAnswers
from dykefold.balancer.latency import LatencyEstimator
from dykefold.balancer.settings import Effect, RequestClass, Scope, Tenant
from dykefold.balancer.slow_start import SlowStart
from dykefold.balancer.subsetting import EndpointSet

TICK_NS = 5 * MS
STATUSES = [Status.OK] * 6 + [
    Status.ERROR,
    Status.FULL,
    Status.FULL,
    Status.TIMEOUT,
    Status.CONNECT_FAILED,
    Status.RESET,
]


def make_settings(rng):
    classes = [
        RequestClass(
            str(n),
            rng.randrange(100, 900) * MS,
            rng.randrange(1000, 4000) * MS,
            rng.choice([0.0, 1.0, 8.0]),
            0.2,
            effect,
            rng.choice(list(Scope)),
            rng.randrange(200, 4000) * MS,
        )
        for n, effect in enumerate(rng.sample(list(Effect), rng.randrange(1, 4)))
    ]
    tenants = [Tenant(str(n), 0.5, rng.choice([0.0, 20.0])) for n in range(rng.randrange(3))]
    return Settings(
        classes=classes,
        zones=["a", "b", "c"],
        zone=rng.randrange(3),
        tenants=tenants,
        over_quota_weight_fraction=0.1,
        tick_ns=TICK_NS,
        poll_required=rng.random() < 0.5,
        answer_slack_ns=4 * TICK_NS,
        start_capacity=rng.choice([0.1, 0.5]),
        warm_within_ns=rng.randrange(2, 20) * SECOND,
        max_attempts=rng.randrange(1, 7),
        can_hedge=rng.random() < 0.5,
        can_cancel=rng.random() < 0.7,
        can_message_peers=rng.random() < 0.5,
        fleet_size=rng.choice([1, 3, 300]),
        retry_after=rng.random() < 0.5,
        max_retry_after_ns=SECOND,
        price_cross_zone=rng.choice([0.0, 0.05]),
        can_probe=rng.random() < 0.5,
        report_columns=rng.choice([(), ("queue",), ("eps", "inflight")]),
    )


class RandomEvents:
    """Feeds a balancer random events that keep only the guarantees of the wire protocol."""

    def __init__(self, rng, balancer_settings, balancer):
        self.rng = rng
        self.balancer_settings = balancer_settings
        self.balancer = balancer
        self.checker = RuleChecker(balancer_settings)
        self.now_ns = START_NS
        self.pending_events = []  # (time in ns, order among equal times, function that creates the event)
        self.event_order = 0
        self.answered_requests = set()
        self.last_attempts = {}
        self.finished_attempts = set()
        self.deadlines_ns = {}
        self.sent_attempts = {}

    def schedule(self, due_ns, make_event):
        self.event_order += 1
        heapq.heappush(self.pending_events, (max(due_ns, self.now_ns + 1), self.event_order, make_event))

    def handle_event(self, event):
        self.checker.record_event(self.now_ns, event)
        actions = self.balancer.handle(self.now_ns, event)
        self.checker.check_actions(self.now_ns, actions)
        for action in actions:
            if isinstance(action, SetTimer):
                assert action.after_ns > 0
                self.schedule(self.now_ns + action.after_ns, lambda token=action.token: Timer(token))
            elif isinstance(action, Reject | Fail):
                self.answered_requests.add(action.id)
            elif isinstance(action, Send):
                self._record_attempt(action)
            elif isinstance(action, Probe):
                latency_ns = int(self.rng.expovariate(1) * 15 * MS) + 1
                status = self.rng.choice(STATUSES)
                load_report = self.random_load_report() if status is Status.OK else ()
                probe_result = ProbeResult(action.endpoint_number, status, latency_ns, load_report)
                self.schedule(self.now_ns + latency_ns, lambda probe_result=probe_result: probe_result)
            elif isinstance(action, Cancel):
                attempt_key = action.id, action.attempt
                self.schedule(
                    self.now_ns + TICK_NS,
                    lambda attempt_key=attempt_key: self._finish_attempt(*attempt_key, Status.CANCELLED),
                )

    def random_load_report(self):
        invalid_loads = [float("nan"), float("inf"), -1.0]
        load = self.rng.choice([0.0, 1.0, 7.0, *invalid_loads])
        return (load,) * self.rng.randrange(len(self.balancer_settings.report_columns) + 1)

    def _record_attempt(self, action):
        attempt = self.last_attempts[action.id] = self.last_attempts.get(action.id, -1) + 1
        attempt_key = action.id, attempt
        self.sent_attempts[attempt_key] = action.endpoint_number, self.now_ns
        status = self.rng.choice(STATUSES)
        deadline_ns = self.deadlines_ns[action.id]
        latency_ns = int(self.rng.expovariate(1) * 150 * MS) + 1
        latest_end_ns = min(
            deadline_ns, self.now_ns + action.timeout_ns if action.timeout_ns else deadline_ns
        )
        if status is Status.TIMEOUT or self.now_ns + latency_ns > latest_end_ns or self.rng.random() < 0.03:
            status, latency_ns = Status.TIMEOUT, latest_end_ns - self.now_ns
        self.schedule(self.now_ns + latency_ns, lambda: self._finish_attempt(*attempt_key, status))

    def _finish_attempt(self, request_id, attempt, status):
        if (request_id, attempt) in self.finished_attempts:
            return None
        self.finished_attempts.add((request_id, attempt))
        endpoint_number, sent_ns = self.sent_attempts[request_id, attempt]
        if status is Status.OK:
            self.answered_requests.add(request_id)
        return Outcome(
            request_id,
            attempt,
            endpoint_number,
            status,
            self.now_ns - sent_ns,
            request_id in self.answered_requests,
            self.random_load_report(),
        )

    def _receive_request(self, request_id):
        class_number = self.rng.randrange(len(self.balancer_settings.classes))
        timeout_ns = int(
            self.balancer_settings.classes[class_number].deadline_ns * self.rng.uniform(0.0, 1.0)
        )
        tenant = self.rng.randrange(max(len(self.balancer_settings.tenants), 1))
        self.deadlines_ns[request_id] = self.now_ns + timeout_ns
        if self.rng.random() < 0.02:
            self.schedule(
                self.now_ns + int(timeout_ns * self.rng.random()), lambda: self._disconnect_client(request_id)
            )
        return Request(request_id, class_number, tenant, self.now_ns + timeout_ns)

    def _disconnect_client(self, request_id):
        if request_id in self.answered_requests:
            return None
        self.answered_requests.add(request_id)
        self.checker.requests[request_id][2] = True
        return ClientDisconnected(request_id)

    def _update_endpoint_list(self):
        rng = self.rng
        kind = rng.choice([ListKind.DELTA, ListKind.DELTA, ListKind.FULL, ListKind.FAILED])
        entries = []
        if kind is not ListKind.FAILED:
            endpoint_numbers = rng.sample(range(12), rng.randrange(0, 12))
            states = [State.READY] * 3 + [State.DRAINING]
            states += [State.GONE] if kind is ListKind.DELTA else []
            entries = [
                make_endpoint(n, n % 3, n // 3, rng.choice(states), rng.choice([0, 0, self.now_ns]))
                for n in endpoint_numbers
            ]
        return EndpointListUpdate(kind, 2, entries)

    def run(self, request_count):
        self.handle_event(
            EndpointListUpdate(ListKind.CACHED, 1, [make_endpoint(n, n % 3, n // 3) for n in range(9)])
        )
        for request_id in range(request_count):
            self.schedule(
                START_NS + request_id * self.rng.randrange(1, 40) * MS,
                lambda request_id=request_id: self._receive_request(request_id),
            )
        for n in range(12):
            self.schedule(START_NS + n * SECOND // 2 + 7, self._update_endpoint_list)
        end_ns = START_NS + 40 * SECOND
        while self.pending_events and self.pending_events[0][0] < end_ns:
            due_ns, _, make_event = heapq.heappop(self.pending_events)
            self.now_ns = due_ns
            event = make_event()
            if event is not None:
                self.handle_event(event)
        self.now_ns = end_ns
        self.checker.check_all_answered(end_ns)


@settings(max_examples=120, derandomize=True, deadline=None, database=None)
@given(st.integers(0, 2**32))
def test_the_rules_hold_for_any_legal_event_sequence(seed):
    rng = random.Random(seed)
    balancer_settings = make_settings(rng)
    RandomEvents(rng, balancer_settings, Balancer(balancer_settings, seed)).run(250)


def break_attempt_rules(monkeypatch):
    def check_only_state_and_slow_start(self, req, endpoint):
        return endpoint.listed and endpoint.ready and self.slow_start.allows(endpoint, req.stats)

    monkeypatch.setattr(AttemptRules, "may_send", check_only_state_and_slow_start)


def break_rejection_rule(monkeypatch):
    monkeypatch.setattr(AttemptRules, "may_reject", lambda self, req: True)


def ignore_endpoint_states(monkeypatch):
    original = AttemptRules.may_send

    def allow_unready_endpoints(self, req, endpoint):
        saved = endpoint.ready, endpoint.listed
        endpoint.ready = endpoint.listed = True
        allowed = original(self, req, endpoint)
        endpoint.ready, endpoint.listed = saved
        return allowed

    def use_all_endpoints(self):
        self.local_endpoints, self.remote_endpoints, self.ejected = list(self.all.values()), [], []

    monkeypatch.setattr(AttemptRules, "may_send", allow_unready_endpoints)
    monkeypatch.setattr(EndpointSet, "rebuild", use_all_endpoints)


def omit_final_answers(monkeypatch):
    monkeypatch.setattr(FinalAnswers, "finish", lambda self, req: None)


def disable_slow_start(monkeypatch):
    monkeypatch.setattr(SlowStart, "allows", lambda self, endpoint, stats: True)
    monkeypatch.setattr(SlowStart, "charge", lambda self, endpoint, stats: None)
    monkeypatch.setattr(
        LatencyEstimator, "relative_latency", lambda self, endpoint: 1e-3 if endpoint.started_ns else 1.0
    )


@pytest.mark.parametrize(
    ("break_rule", "violation"),
    [
        (break_attempt_rules, "possible second effect|hedged request|more attempts than allowed"),
        (break_rejection_rule, "rejection of a request that may have been executed"),
        (ignore_endpoint_states, "not ready"),
        (omit_final_answers, "never answered"),
        (disable_slow_start, "overload of an endpoint in slow start"),
    ],
)
def test_the_checker_reports_a_broken_rule(monkeypatch, break_rule, violation):
    break_rule(monkeypatch)
    with pytest.raises(RuleViolationError, match=violation):
        for seed in range(80):
            rng = random.Random(seed)
            balancer_settings = make_settings(rng)
            RandomEvents(rng, balancer_settings, Balancer(balancer_settings, seed)).run(250)
