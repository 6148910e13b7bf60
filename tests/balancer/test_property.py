"""Long random legal sequences against the outside checker, and proof that the checker can fail."""

import heapq
import random

import pytest
from checker import RuleChecker, RuleViolationError
from helpers import MS, SECOND, START_NS, make_endpoint
from hypothesis import given, settings
from hypothesis import strategies as st

from dykefold import Balancer, Settings
from dykefold.balancer.actions import Cancel, Fail, Probe, Refuse, Send, SetTimer
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

TICK = 5 * MS
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
        tick_ns=TICK,
        poll_required=rng.random() < 0.5,
        answer_slack_ns=4 * TICK,
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


class World:
    """Legal events in random order: the wire's promises are kept, nothing else."""

    def __init__(self, rng, config, balancer):
        self.rng = rng
        self.config = config
        self.balancer = balancer
        self.checker = RuleChecker(config)
        self.now = START_NS
        self.queue = []  # (time, tie, event maker)
        self.tie = 0
        self.ended = set()
        self.attempts = {}
        self.settled = set()
        self.deadlines = {}
        self.state = {}

    def later(self, when, make):
        self.tie += 1
        heapq.heappush(self.queue, (max(when, self.now + 1), self.tie, make))

    def feed(self, event):
        self.checker.record_event(self.now, event)
        actions = self.balancer.handle(self.now, event)
        self.checker.check_actions(self.now, actions)
        for action in actions:
            if isinstance(action, SetTimer):
                assert action.after_ns > 0
                self.later(self.now + action.after_ns, lambda token=action.token: Timer(token))
            elif isinstance(action, Refuse | Fail):
                self.ended.add(action.id)
            elif isinstance(action, Send):
                self._sent(action)
            elif isinstance(action, Probe):
                took = int(self.rng.expovariate(1) * 15 * MS) + 1
                status = self.rng.choice(STATUSES)
                report = self.report() if status is Status.OK else ()
                made = ProbeResult(action.endpoint_number, status, took, report)
                self.later(self.now + took, lambda made=made: made)
            elif isinstance(action, Cancel):
                key = action.id, action.attempt
                self.later(self.now + TICK, lambda key=key: self._settle(*key, Status.CANCELLED))

    def report(self):
        odd = [float("nan"), float("inf"), -1.0]
        pick = self.rng.choice([0.0, 1.0, 7.0, *odd])
        return (pick,) * self.rng.randrange(len(self.config.report_columns) + 1)

    def _sent(self, action):
        number = self.attempts[action.id] = self.attempts.get(action.id, -1) + 1
        key = action.id, number
        self.state[key] = action.endpoint_number, self.now
        status = self.rng.choice(STATUSES)
        deadline = self.deadlines[action.id]
        took = int(self.rng.expovariate(1) * 150 * MS) + 1
        limit = min(deadline, self.now + action.timeout_ns if action.timeout_ns else deadline)
        if status is Status.TIMEOUT or self.now + took > limit or self.rng.random() < 0.03:
            status, took = Status.TIMEOUT, limit - self.now
        self.later(self.now + took, lambda: self._settle(*key, status))

    def _settle(self, ident, number, status):
        if (ident, number) in self.settled:
            return None
        self.settled.add((ident, number))
        server, sent = self.state[ident, number]
        if status is Status.OK:
            self.ended.add(ident)
        return Outcome(ident, number, server, status, self.now - sent, ident in self.ended, self.report())

    def arrive(self, ident):
        cls = self.rng.randrange(len(self.config.classes))
        length = int(self.config.classes[cls].deadline_ns * self.rng.uniform(0.0, 1.0))
        tenant = self.rng.randrange(max(len(self.config.tenants), 1))
        self.deadlines[ident] = self.now + length
        if self.rng.random() < 0.02:
            self.later(self.now + int(length * self.rng.random()), lambda: self._drop(ident))
        return Request(ident, cls, tenant, self.now + length)

    def _drop(self, ident):
        if ident in self.ended:
            return None
        self.ended.add(ident)
        self.checker.requests[ident][2] = True
        return ClientDisconnected(ident)

    def change_list(self):
        rng = self.rng
        kind = rng.choice([ListKind.DELTA, ListKind.DELTA, ListKind.FULL, ListKind.FAILED])
        entries = []
        if kind is not ListKind.FAILED:
            some = rng.sample(range(12), rng.randrange(0, 12))
            states = [State.READY] * 3 + [State.DRAINING]
            states += [State.GONE] if kind is ListKind.DELTA else []
            entries = [
                make_endpoint(n, n % 3, n // 3, rng.choice(states), rng.choice([0, 0, self.now]))
                for n in some
            ]
        return EndpointListUpdate(kind, 2, entries)

    def run(self, requests):
        self.feed(EndpointListUpdate(ListKind.CACHED, 1, [make_endpoint(n, n % 3, n // 3) for n in range(9)]))
        for ident in range(requests):
            self.later(
                START_NS + ident * self.rng.randrange(1, 40) * MS, lambda ident=ident: self.arrive(ident)
            )
        for n in range(12):
            self.later(START_NS + n * SECOND // 2 + 7, self.change_list)
        end = START_NS + 40 * SECOND
        while self.queue and self.queue[0][0] < end:
            when, _, make = heapq.heappop(self.queue)
            self.now = when
            event = make()
            if event is not None:
                self.feed(event)
        self.now = end
        self.checker.check_all_answered(end)


@settings(max_examples=120, derandomize=True, deadline=None, database=None)
@given(st.integers(0, 2**32))
def test_the_rules_hold_whatever_happens(seed):
    rng = random.Random(seed)
    config = make_settings(rng)
    World(rng, config, Balancer(config, seed)).run(250)


def broken_send_gate(monkeypatch):
    def only_list_and_pace(self, req, endpoint):
        return endpoint.listed and endpoint.ready and self.slow_start.allows(endpoint, req.stats)

    monkeypatch.setattr(AttemptRules, "may_send", only_list_and_pace)


def broken_refusal_gate(monkeypatch):
    monkeypatch.setattr(AttemptRules, "may_reject", lambda self, req: True)


def broken_list(monkeypatch):
    original = AttemptRules.may_send

    def deaf(self, req, endpoint):
        kept = endpoint.ready, endpoint.listed
        endpoint.ready = endpoint.listed = True
        answer = original(self, req, endpoint)
        endpoint.ready, endpoint.listed = kept
        return answer

    def everyone(self):
        self.near, self.far, self.ejected = list(self.all.values()), [], []

    monkeypatch.setattr(AttemptRules, "may_send", deaf)
    monkeypatch.setattr(EndpointSet, "rebuild", everyone)


def broken_answers(monkeypatch):
    monkeypatch.setattr(FinalAnswers, "end", lambda self, req: None)


def broken_pace(monkeypatch):
    monkeypatch.setattr(SlowStart, "allows", lambda self, endpoint, stats: True)
    monkeypatch.setattr(SlowStart, "charge", lambda self, endpoint, stats: None)
    monkeypatch.setattr(
        LatencyEstimator, "relative_latency", lambda self, endpoint: 1e-3 if endpoint.started_ns else 1.0
    )


@pytest.mark.parametrize(
    ("plant", "text"),
    [
        (broken_send_gate, "possible second effect|hedged request|more attempts than allowed"),
        (broken_refusal_gate, "rejection of a request that may have been executed"),
        (broken_list, "not ready"),
        (broken_answers, "never answered"),
        (broken_pace, "overload of an endpoint in slow start"),
    ],
)
def test_the_checker_catches_a_planted_violation(monkeypatch, plant, text):
    plant(monkeypatch)
    with pytest.raises(RuleViolationError, match=text):
        for seed in range(80):
            rng = random.Random(seed)
            config = make_settings(rng)
            World(rng, config, Balancer(config, seed)).run(250)
