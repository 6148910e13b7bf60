"""Independent check of the balancer's four rules against its events and actions.

It shares no code with the balancer.
"""

from dykefold.balancer.actions import Cancel, Fail, Probe, Reject, Send
from dykefold.balancer.events import EndpointListUpdate, Outcome, Request, State, Status, StreamStarted
from dykefold.balancer.settings import Effect, Scope

NOT_EXECUTED_STATUSES = (Status.FULL, Status.CONNECT_FAILED, Status.NOT_ATTEMPTED)


class RuleViolationError(AssertionError):
    pass


def require(condition, violation):
    if not condition:
        raise RuleViolationError(violation)


class RuleChecker:
    """Checks a balancer: record each event before it is handled, and check the actions after."""

    def __init__(self, settings):
        self.settings = settings
        self.endpoints = {}  # number -> Endpoint as last listed
        self.ready_endpoints = set()  # numbers
        self.requests = {}  # id -> [class number, deadline in ns, whether answered, attempts]
        self.slow_start_counts = {}  # endpoint number -> [attempts, successes] since its listed start time
        self.success_times_ns = []

    def record_event(self, now_ns, event):
        if isinstance(event, EndpointListUpdate):
            if event.kind.name in ("FULL", "CACHED"):
                self.ready_endpoints = set()
            for endpoint in event.entries:
                previous = self.endpoints.get(endpoint.number)
                if previous is None or previous.started_ns != endpoint.started_ns:
                    self.slow_start_counts[endpoint.number] = [0, 0]
                self.endpoints[endpoint.number] = endpoint
                if endpoint.state is State.READY:
                    self.ready_endpoints.add(endpoint.number)
                else:
                    self.ready_endpoints.discard(endpoint.number)
        elif isinstance(event, Request):
            self.requests[event.id] = [event.class_number, event.deadline_ns, False, []]
        elif isinstance(event, Outcome):
            request = self.requests[event.id]
            request[3][event.attempt][2] = "never" if event.status in NOT_EXECUTED_STATUSES else "maybe"
            if event.final:
                request[2] = True
            if event.status is Status.OK:
                self.success_times_ns.append(now_ns)
                self.slow_start_counts[event.endpoint_number][1] += 1
        elif isinstance(event, StreamStarted):
            self.requests[event.id][3][event.attempt][2] = "streaming"

    def check_actions(self, now_ns, actions):
        for action in actions:
            if isinstance(action, Send):
                self._check_attempt(now_ns, action)
            elif isinstance(action, Reject | Fail):
                require(action.id in self.requests, "final answer to an unknown request")
                class_number, _, answered, attempts = self.requests[action.id]
                require(not answered, "second final answer to a request")
                if isinstance(action, Reject):
                    self._check_rejection(self.settings.classes[class_number], attempts)
                self.requests[action.id][2] = True
            elif isinstance(action, Probe):
                require(self.settings.can_probe, "probe though probes are disabled")
                require(action.endpoint_number in self.endpoints, "probe of an unknown endpoint")
            elif isinstance(action, Cancel):
                require(self.settings.can_cancel, "cancellation though cancellations are disabled")
                require(
                    action.attempt < len(self.requests[action.id][3]), "cancellation of an attempt never sent"
                )

    def _check_rejection(self, request_class, attempts):
        repeatable = request_class.effect is Effect.SAFE or (
            request_class.effect is Effect.KEYED and request_class.scope is Scope.ALL
        )
        require(
            repeatable or all(attempt[2] == "never" for attempt in attempts),
            "rejection of a request that may have been executed",
        )

    def _check_attempt(self, now_ns, action):
        require(action.id in self.requests, "attempt of an unknown request")
        class_number, deadline_ns, answered, attempts = self.requests[action.id]
        request_class = self.settings.classes[class_number]
        require(not answered and now_ns <= deadline_ns, "attempt after the final answer or the deadline")
        require(action.endpoint_number in self.ready_endpoints, "attempt at an endpoint that is not ready")
        require(len(attempts) < self.settings.max_attempts, "more attempts than allowed")
        target = self.endpoints[action.endpoint_number]
        for endpoint, sent_ns, state in attempts:
            require(state != "streaming", "attempt during a streamed response")
            if state == "never":
                continue
            require(state != "out" or self.settings.can_hedge, "hedged request though these are disabled")
            require(request_class.effect is not Effect.UNSAFE, "possible second effect: unsafe request")
            if request_class.effect is Effect.KEYED:
                require(
                    now_ns < sent_ns + request_class.window_ns, "possible second effect: after the window"
                )
                if request_class.scope is Scope.CELL:
                    require(endpoint.cell == target.cell, "possible second effect: another cell")
                if request_class.scope is Scope.ZONE:
                    require(endpoint.zone == target.zone, "possible second effect: another zone")
        attempts.append([target, now_ns, "out"])
        self._check_slow_start(now_ns, target)

    def _check_slow_start(self, now_ns, endpoint):
        """Limit the attempts at an endpoint in slow start.

        The limit grows with twice its successes, and with its ramped part of the successes per ready endpoint
        that this sidecar has had since its start.
        """
        age_ns = now_ns - endpoint.started_ns
        warm_up_ns = self.settings.warm_within_ns
        if not endpoint.started_ns or age_ns >= warm_up_ns:
            return
        counts = self.slow_start_counts[endpoint.number]
        counts[0] += 1
        start_capacity = self.settings.start_capacity
        capacity = start_capacity + (1 - start_capacity) * max(age_ns, 0) / warm_up_ns
        successes_per_endpoint = sum(at_ns >= endpoint.started_ns for at_ns in self.success_times_ns) / max(
            len(self.ready_endpoints), 1
        )
        require(
            counts[0] <= 6 + 2 * counts[1] + 3 * capacity * successes_per_endpoint,
            "overload of an endpoint in slow start",
        )

    def check_all_answered(self, now_ns):
        for request_id, (_, deadline_ns, answered, _) in self.requests.items():
            overdue = now_ns > deadline_ns + self.settings.answer_slack_ns
            require(answered or not overdue, f"request {request_id} was never answered")
