"""The balancer handles one event at a time and returns actions. It only dispatches to other modules.

The usual path of a request is `on_request` -> `Picker.pick` -> `RequestValue.estimate` and
`ConcurrencyLimit.admit` -> `AttemptSender.send` -> `on_outcome`, and after a failed attempt
`RetryPolicy.plan` -> `RetrySender.send`.
"""

from __future__ import annotations

from collections.abc import Callable
from copy import copy
from typing import Any

from . import events
from .actions import Action
from .attempt_results import AttemptLearners, AttemptResults
from .attempt_rules import AttemptRules
from .attempts import AttemptSender, RetrySender
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
from .stuck_attempts import StuckAttempts
from .subsetting import EndpointSet
from .throughput import Throughput
from .timers import OVERDUE, POLL, RETRY, TimerQueue

Status = events.Status
NEVER_RAN_STATUSES = frozenset((Status.FULL, Status.CONNECT_FAILED, Status.NOT_ATTEMPTED))
NEVER_REACHED_STATUSES = frozenset((Status.CONNECT_FAILED, Status.NOT_ATTEMPTED))


class Balancer:
    """All decisions of one sidecar for one service.

    Args:
        settings: Settings until a `SettingsChanged` event replaces them.
        seed: Seed of the random generator; the same seed and events give the same actions.
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
        self.retries = RetryPolicy(context, timers, throughput, rules, self.answers)
        self.sender = AttemptSender(context, timers, self.latency, limit, self.slow_start)
        self.retry_sender = RetrySender(self.picker, self.sender, self.retries)
        self.stuck_attempts = StuckAttempts(context, rules, self.answers, self.retries)
        learners = self._learners()
        self.hedging = Hedging(context, timers, learners, self.stuck_attempts)
        self.results = AttemptResults(context, endpoints, limit, learners)
        self.polls = PollSchedule(context, timers)
        self.list_updater = EndpointListUpdater(context, endpoints, limit, self.polls)
        self.handlers = self._handlers()

    def _learners(self) -> AttemptLearners:
        return AttemptLearners(
            self.latency,
            self.congestion,
            self.slow_start,
            self.load_reports,
            self.outliers,
            LostAttempts(self.context, self.limit),
        )

    def _handlers(self) -> dict[type, Callable[[Any], None]]:
        """Return the handler of each type of event."""
        return {
            events.Request: self.on_request,
            events.Outcome: self.on_outcome,
            events.Timer: self.on_timer,
            events.ClientDisconnected: self.on_client_disconnected,
            events.EndpointListUpdate: self.list_updater.on_list_update,
            events.PeerMessage: self.quotas.on_peer,
            events.ProbeResult: self.on_probe_result,
            events.StreamStarted: self.on_stream_started,
            events.BodySent: self.on_body_sent,
            events.SettingsChanged: self.on_settings_changed,
            events.MembershipChanged: self.on_membership_changed,
        }

    def handle(self, now_ns: int, event: events.Event) -> list[Action]:
        """Handle one event at the given time; return the actions to carry out, in order."""
        context = self.context
        context.now_ns = now_ns
        context.actions = []
        self.handlers[type(event)](event)
        self.timers.arm()
        return context.actions

    def on_request(self, event: events.Request) -> None:
        """Send a client's request to an endpoint, delay it briefly, or reject it."""
        context = self.context
        stats = context.classes[event.class_number]
        request = PendingRequest(event, stats, context.settings.max_attempts, context.now_ns)
        self.answers.pending[request.id] = request
        self.retries.count_request()
        if self.quotas.rates and not event.is_retry:
            self.quotas.count_request(request.tenant)
        self.endpoints.count_request()
        if event.deadline_ns <= context.now_ns:
            self.answers.finish(request)
            return
        probability = self.load_reports.probe_probability(stats) if self.endpoints.has_sparse_traffic else 0.0
        probes = probability > 0.0 and context.random.random() < probability
        endpoint = None if probes else self.picker.pick(request)
        if endpoint is None and not probes:
            self.retries.plan(request)
        elif not self.limit.admit(request, self.request_value.estimate(event, request)):
            self.answers.finish(request)
        elif endpoint is not None:
            self.sender.send(request, endpoint)
        else:
            self._probe(request)

    def _probe(self, request: PendingRequest) -> None:
        """Request the load reports of two endpoints before the request is sent to one of them."""
        candidates = [endpoint for endpoint, _ in self.picker.candidates(request, ())]
        if len(candidates) < CANDIDATES:
            self.retry_sender.send(request)
            return
        wait_ns = self.load_reports.probe(request, candidates)
        self.timers.add(self.context.now_ns + wait_ns, RETRY, request.id)

    def _send_probed(self, request: PendingRequest) -> None:
        """Send to the best endpoint among those that reported their load; to another one only if none did."""
        eligible = [one for one in request.probed if not one.ejected and self.rules.may_send(request, one)]
        eligible = [one for one in eligible if one.load_reported_ns >= request.probed_ns] or eligible
        request.probed = []
        request.retry_planned = False
        if eligible:
            stats, expected_delay = request.stats, self.latency.expected_delay
            self.sender.send(request, min(eligible, key=lambda one: expected_delay(one, stats)))
        else:
            self.retry_sender.send(request)

    def on_outcome(self, event: events.Outcome) -> None:
        """Update the estimates after an attempt has ended, and retry it if that is allowed and useful."""
        self.results.on_end(event)
        request = self.answers.pending.get(event.id)
        if request is None:
            return
        status = event.status
        not_attempted = status is Status.NOT_ATTEMPTED
        if event.attempt < len(request.attempts):
            request.attempts[event.attempt].state = (
                NEVER_RAN if status in NEVER_RAN_STATUSES else MAY_HAVE_RUN
            )
            request.reached_endpoint |= status not in NEVER_REACHED_STATUSES
            if (
                not_attempted
            ):  # This host could not send it, so it counts neither as an attempt nor as a retry.
                request.max_attempts += 1
                request.retry_paid = True
        if event.final:
            self.answers.forget(request)
        elif status is Status.ERROR:
            self.answers.finish(request)  # An error response is an answer, and by design is not retried.
        elif not request.retry_planned:
            self.retries.plan(request, not_attempted)

    def on_client_disconnected(self, event: events.ClientDisconnected) -> None:
        """Cancel a request whose client has disconnected."""
        request = self.answers.pending.get(event.id)
        if request is not None:
            self.answers.forget(request)

    def on_stream_started(self, event: events.StreamStarted) -> None:
        """End an attempt when the transfer of its body begins, and send no other attempt for the request.

        The duration of the transfer depends on the client. Guards the limit and the estimates against a
        client that takes a minute to transfer a long message.
        """
        self.results.on_end(event)
        request = self.answers.pending.get(event.id)
        if request is not None:
            request.streaming = True
            self.answers.cancel_others(request, event.attempt)

    def on_body_sent(self, event: events.BodySent) -> None:
        """Count an attempt as in flight once its endpoint has received the complete streamed request body."""
        request = self.answers.pending.get(event.id)
        if request is not None:
            self.results.on_body_sent(event, request)

    def on_probe_result(self, event: events.ProbeResult) -> None:
        """Record the load report of a health check, and send the requests that were awaiting it."""
        endpoint = self.endpoints.all.get(event.endpoint_number)
        request_ids = self.load_reports.stop_waiting(event.endpoint_number)
        if endpoint is None or event.status is not Status.OK:
            return  # The requests are sent to other endpoints when their timers expire.
        self.load_reports.record(endpoint, event.report)
        for request_id in request_ids:
            request = self.answers.pending.get(request_id)
            if request is None or not request.probed:
                continue
            if all(one.load_reported_ns >= request.probed_ns for one in request.probed):
                self._send_probed(request)

    def on_timer(self, event: events.Timer) -> None:
        """Handle all timers that are due."""
        self.timers.on_due(event.token)
        while due := self.timers.next_due():
            _, kind, request_id, attempt_number = due
            if kind == POLL:
                self.polls.on_timer()
                continue
            request = self.answers.pending.get(request_id)
            if request is None or request.streaming:
                continue
            if kind == OVERDUE:
                self.hedging.on_overdue(request, attempt_number)
            elif request.probed:
                self._send_probed(request)
            elif request.retry_planned:
                request.retry_planned = False
                self.retry_sender.send(request)

    def on_settings_changed(self, event: events.SettingsChanged) -> None:
        """Apply other settings; classes keep their estimates by name, pending requests their settings."""
        context = self.context
        classes = context.classes
        known = {stats.spec.name: stats for stats in context.live_classes}
        for number, spec in enumerate(event.settings.classes):
            if number < len(classes) and classes[number].spec == spec:
                continue
            stats = copy(known[spec.name]) if spec.name in known else ClassStats(spec)
            stats.spec, stats.first_timeout_votes = spec, 0  # The timeouts of clients may change as well.
            classes[number : number + 1] = [stats]
        live = [stats for number, stats in enumerate(classes) if number not in event.retired]
        context.apply(event.settings, live)
        self.quotas.apply_settings()
        self.limit.apply_settings()
        self.picker.apply_settings()
        self.load_reports.apply_settings()
        self.endpoints.rebuild()

    def on_membership_changed(self, event: events.MembershipChanged) -> None:
        """Apply the membership of the sidecars, and what several of them observed."""
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
        self.stuck_attempts.retry_all_at(endpoint)

    # The following names are the interface to callers outside of this package.

    @property
    def settings(self) -> Settings:
        """Return the current settings."""
        return self.context.settings

    @property
    def actions(self) -> list[Action]:
        """Return the actions of the current event; after an exception, those added before it."""
        return self.context.actions

    @actions.setter
    def actions(self, actions: list[Action]) -> None:
        self.context.actions = actions

    @property
    def known_endpoints(self) -> dict[int, EndpointState]:
        """Return all known endpoints, by number."""
        return self.endpoints.all

    @property
    def pending(self) -> dict[int, PendingRequest]:
        """Return the requests without a final answer, by number."""
        return self.answers.pending

    @property
    def classes(self) -> list[ClassStats]:
        """Return all classes by number, including retired ones."""
        return self.context.classes

    @property
    def live_classes(self) -> list[ClassStats]:
        """Return the classes that new requests may have."""
        return self.context.live_classes

    @property
    def in_flight(self) -> int:
        """Return the number of this sidecar's attempts in flight, except those at ejected endpoints."""
        return self.limit.in_flight

    def rebuild_endpoint_lists(self) -> None:
        """Rebuild the lists of endpoints after a caller has changed the state of endpoints."""
        self.endpoints.rebuild()
