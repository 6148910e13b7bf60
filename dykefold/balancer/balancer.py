"""The balancer: one event in, actions out. It only dispatches; each decision has a module of its own.

The usual path of a request is `on_request` -> `Picker.pick` -> `RequestValue.of` and `ConcurrencyLimit.admit`
-> `AttemptSender.send` -> `on_outcome`, and for a failed attempt `RetryPolicy.plan` -> `RetryPolicy.retry`.
"""

from __future__ import annotations

from collections.abc import Callable
from copy import copy
from typing import Any

from . import events
from .actions import Action
from .attempt_results import AttemptResults
from .attempt_rules import AttemptRules
from .attempts import AttemptSender
from .class_stats import ClassStats
from .concurrency_limit import ConcurrencyLimit
from .congestion import CongestionSignal
from .context import BalancerContext
from .endpoints import EndpointState
from .final_answers import FinalAnswers
from .group_weights import GroupWeights
from .hedging import Hedging
from .latency import LatencyEstimator
from .load_reports import LoadReports
from .lost_attempts import LostAttempts
from .membership import EndpointListUpdater
from .outlier_detection import OutlierDetector
from .picker import CANDIDATES, Picker
from .poll_schedule import PollSchedule
from .quotas import Quotas
from .request_value import RequestValue
from .requests import MAY_HAVE_RUN, NEVER_RAN, PendingRequest
from .retry_policy import RetryPolicy
from .settings import Settings
from .slow_start import SlowStart
from .subsetting import EndpointSet
from .throughput import Throughput
from .timers import OVERDUE, POLL, RETRY, TimerQueue

Status = events.Status
PROVES_NOT_RUN = frozenset((Status.FULL, Status.CONNECT_FAILED, Status.NOT_ATTEMPTED))
UNWRITTEN = frozenset((Status.CONNECT_FAILED, Status.NOT_ATTEMPTED))


class Balancer:
    """All decisions of one sidecar for one service.

    Args:
        settings: in force until a `Retune` event brings others.
        seed: of all random draws; the same seed and events give the same actions.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.context = context = BalancerContext(settings, seed)
        self.timers = timers = TimerQueue(context)
        self.throughput = throughput = Throughput(context)
        self.endpoints = endpoints = EndpointSet(context, throughput)
        self.group_weights = GroupWeights(context, endpoints)
        self.latency = LatencyEstimator(context, endpoints, throughput, self.group_weights)
        self.congestion = CongestionSignal(context, throughput)
        self.quotas = Quotas(context)
        self.limit = limit = ConcurrencyLimit(context, endpoints, self.congestion, self.quotas)
        self.request_value = RequestValue(context)
        self.slow_start = SlowStart(context, endpoints, throughput)
        self.rules = rules = AttemptRules(context, self.slow_start)
        self.load_reports = LoadReports(context, endpoints)
        self.outliers = OutlierDetector(context, endpoints, limit, rules, self._on_ejected)
        self.picker = Picker(context, endpoints, self.latency, rules, self.outliers)
        self.answers = FinalAnswers(context, rules)
        self.sender = AttemptSender(context, timers, self.latency, limit, self.slow_start)
        self.retries = RetryPolicy(context, timers, throughput, rules, self.picker, self.sender, self.answers)
        self.lost_attempts = LostAttempts(context, limit)
        self.hedging = Hedging(
            context,
            timers,
            self.congestion,
            rules,
            self.answers,
            self.outliers,
            self.retries,
            self.lost_attempts,
        )
        self.results = AttemptResults(
            context,
            endpoints,
            self.latency,
            self.congestion,
            limit,
            self.slow_start,
            self.load_reports,
            self.outliers,
            self.lost_attempts,
        )
        self.polls = PollSchedule(context, timers)
        self.list_updater = EndpointListUpdater(context, endpoints, limit, self.polls)
        self.handlers = self._handlers()

    def _handlers(self) -> dict[type, Callable[[Any], None]]:
        """Who takes which event."""
        return {
            events.Request: self.on_request,
            events.Outcome: self.on_outcome,
            events.Timer: self.on_timer,
            events.ClientDisconnected: self.on_client_disconnected,
            events.Membership: self.list_updater.on_membership,
            events.PeerMessage: self.quotas.on_peer,
            events.ProbeResult: self.on_probe_result,
            events.StreamStarted: self.on_stream_started,
            events.BodySent: self.on_body_sent,
            events.SettingsChanged: self.on_settings_changed,
            events.MembershipChanged: self.on_membership_changed,
        }

    def handle(self, now_ns: int, event: events.Event) -> list[Action]:
        """Take one event at the given time; return what to do, in order."""
        context = self.context
        context.now_ns = now_ns
        context.actions = []
        self.handlers[type(event)](event)
        self.timers.arm()
        return context.actions

    def on_request(self, event: events.Request) -> None:
        """A client sends a request: send it on, hold it for a moment, or reject it."""
        context = self.context
        stats = context.classes[event.class_number]
        request = PendingRequest(event, stats, context.settings.max_attempts, context.now_ns)
        self.answers.pending[request.id] = request
        self.retries.count_request()
        if self.quotas.rates and not event.is_retry:
            self.quotas.count_request(request.tenant)
        self.endpoints.count_request()
        if event.deadline_ns <= context.now_ns:
            self.answers.end(request)
            return
        chance = self.load_reports.probe_probability(stats) if self.endpoints.sees_little else 0.0
        probes = chance > 0.0 and context.random.random() < chance
        endpoint = None if probes else self.picker.pick(request)
        if endpoint is None and not probes:
            self.retries.plan(request)
        elif not self.limit.admit(request, self.request_value.of(event, request)):
            self.answers.end(request)
        elif endpoint is not None:
            self.sender.send(request, endpoint)
        else:
            self._probe(request)

    def _probe(self, request: PendingRequest) -> None:
        """Ask two endpoints for their load before the request is sent to one of them."""
        candidates = [endpoint for endpoint, _ in self.picker.candidates(request, ())]
        if len(candidates) < CANDIDATES:
            self.retries.retry(request)
            return
        wait = self.load_reports.ask(request, candidates)
        self.timers.add(self.context.now_ns + wait, RETRY, request.id)

    def _send_probed(self, request: PendingRequest) -> None:
        """Send to the better one of those that told their load; to a silent one only if none did."""
        candidates = request.probed
        fit = [one for one in candidates if not one.ejected and self.rules.may_send(request, one)]
        fit = [one for one in fit if one.load_reported_ns >= request.probed_ns] or fit
        request.probed = []
        request.retry_planned = False
        if fit:
            stats, expected_delay = request.stats, self.latency.expected_delay
            self.sender.send(request, min(fit, key=lambda one: expected_delay(one, stats)))
        else:
            self.retries.retry(request)

    def on_outcome(self, event: events.Outcome) -> None:
        """An attempt has ended: learn from it, and retry where that is wanted."""
        self.results.on_end(event)
        request = self.answers.pending.get(event.id)
        if request is None:
            return
        status = event.status
        not_attempted = status is Status.NOT_ATTEMPTED
        if event.attempt < len(request.attempts):
            request.attempts[event.attempt].state = NEVER_RAN if status in PROVES_NOT_RUN else MAY_HAVE_RUN
            request.written |= status not in UNWRITTEN
            if not_attempted:  # this machine could not send: it counts neither as an attempt nor as a retry
                request.max_attempts += 1
                request.retry_paid = True
        if event.final:
            self.answers.forget(request)
        elif status is Status.ERROR:
            self.answers.end(request)  # a plain error is an answer: the design does not retry it
        elif not request.retry_planned:
            self.retries.plan(request, not_attempted)

    def on_client_disconnected(self, event: events.ClientDisconnected) -> None:
        """The client of a request has gone."""
        request = self.answers.pending.get(event.id)
        if request is not None:
            self.answers.forget(request)

    def on_stream_started(self, event: events.StreamStarted) -> None:
        """A body flows: nothing more may be sent, and how long it takes says nothing of its endpoint.

        Guards the limit and the estimates against a client that takes a minute for a long message.
        """
        self.results.on_end(event)
        request = self.answers.pending.get(event.id)
        if request is not None:
            request.streaming = True
            self.answers.cancel_others(request, event.attempt)

    def on_body_sent(self, event: events.BodySent) -> None:
        """A request's body that flowed has reached its endpoint whole."""
        request = self.answers.pending.get(event.id)
        if request is not None:
            self.results.on_body_sent(event, request)

    def on_probe_result(self, event: events.ProbeResult) -> None:
        """A health check has ended; requests that waited for the loads of their endpoints go out."""
        endpoint = self.endpoints.all.get(event.endpoint_number)
        waiting = self.load_reports.stop_waiting(event.endpoint_number)
        if endpoint is None or event.status is not Status.OK:
            return  # the requests that waited go elsewhere when their wait is over
        self.load_reports.record(endpoint, event.report)
        for ident in waiting:
            request = self.answers.pending.get(ident)
            if request is None or not request.probed:
                continue
            if all(one.load_reported_ns >= request.probed_ns for one in request.probed):
                self._send_probed(request)

    def on_timer(self, event: events.Timer) -> None:
        """A timer rang: carry out all that is due."""
        self.timers.rang(event.token)
        while due := self.timers.next_due():
            _, kind, ident, attempt = due
            if kind == POLL:
                self.polls.on_timer()
                continue
            request = self.answers.pending.get(ident)
            if request is None or request.streaming:
                continue
            if kind == OVERDUE:
                self.hedging.on_overdue(request, attempt)
            elif request.probed:
                self._send_probed(request)
            elif request.retry_planned:
                request.retry_planned = False
                self.retries.retry(request)

    def on_settings_changed(self, event: events.SettingsChanged) -> None:
        """Go by other settings. Estimates of a class go on under its name, pending requests by their own."""
        context = self.context
        classes = context.classes
        known = {stats.spec.name: stats for stats in context.live_classes}
        for number, spec in enumerate(event.settings.classes):
            if number < len(classes) and classes[number].spec == spec:
                continue
            stats = copy(known[spec.name]) if spec.name in known else ClassStats(spec)
            stats.spec, stats.first_timeout_votes = spec, 0  # clients may wait otherwise now
            classes[number : number + 1] = [stats]
        live = [stats for number, stats in enumerate(classes) if number not in event.retired]
        context.apply(event.settings, live)
        self.quotas.apply_settings()
        self.limit.apply_settings()
        self.picker.apply_settings()
        self.load_reports.apply_settings()
        self.endpoints.rebuild()

    def on_membership_changed(self, event: events.MembershipChanged) -> None:
        """Who is there, and what several sidecars found."""
        context = self.context
        context.fleet = event
        for number, typical_ns in event.typical_latency_ns.items():
            stats = context.classes[number]
            if not stats.answers:
                self.latency.adopt_typical(stats, typical_ns)
        for endpoint in self.endpoints.all.values():
            endpoint.rank = event.ranks.get(endpoint.id, endpoint.rank)
            if endpoint.id in event.failing_endpoints:
                self.outliers.suspect(endpoint)
            if endpoint.id in event.answering_endpoints:
                endpoint.probation_ns = min(endpoint.probation_ns, context.now_ns)
        self.endpoints.rebuild()

    def _on_ejected(self, endpoint: EndpointState) -> None:
        self.hedging.retry_stuck_at(endpoint)

    # What callers outside the package read, by the names that they use.

    @property
    def settings(self) -> Settings:
        """The settings in force."""
        return self.context.settings

    @property
    def actions(self) -> list[Action]:
        """The actions of the event that is being handled; after an error, those until then."""
        return self.context.actions

    @actions.setter
    def actions(self, actions: list[Action]) -> None:
        self.context.actions = actions

    @property
    def servers(self) -> dict[int, EndpointState]:
        """All known endpoints, by number."""
        return self.endpoints.all

    @property
    def pending(self) -> dict[int, PendingRequest]:
        """Requests without a final answer, by number."""
        return self.answers.pending

    @property
    def classes(self) -> list[ClassStats]:
        """All classes by number, retired ones too."""
        return self.context.classes

    @property
    def live_classes(self) -> list[ClassStats]:
        """The classes that new requests may be of."""
        return self.context.live_classes

    @property
    def in_flight(self) -> int:
        """Own attempts that wait for a response, but for those at ejected endpoints."""
        return self.limit.in_flight

    def regroup(self) -> None:
        """Rebuild the lists of endpoints after their state was set from outside."""
        self.endpoints.rebuild()
