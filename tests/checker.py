"""The four rules, judged from outside by what went in and what came out. Shares no code with the module."""

from dykefold.balancer.actions import Cancel, Fail, Probe, Refuse, Send
from dykefold.balancer.events import Membership, Outcome, Request, State, Status, StreamStarted
from dykefold.balancer.settings import Effect, Scope

NEVER = (Status.FULL, Status.CONNECT_FAILED, Status.NOT_ATTEMPTED)


class BrokenRuleError(AssertionError):
    pass


def need(truth, text):
    if not truth:
        raise BrokenRuleError(text)


class Checker:
    """Feed it every event before, and every action after, the balancer has seen it."""

    def __init__(self, settings):
        self.settings = settings
        self.servers = {}  # id -> Endpoint as last listed
        self.listed = set()
        self.requests = {}  # id -> [class, deadline, ended, attempts]
        self.cold = {}  # id -> [sends, answers] since the start it was listed with
        self.answers = []

    def event(self, now, event):
        if isinstance(event, Membership):
            if event.kind.name in ("FULL", "CACHED"):
                self.listed = set()
            for entry in event.entries:
                before = self.servers.get(entry.number)
                if before is None or before.started_ns != entry.started_ns:
                    self.cold[entry.number] = [0, 0]
                self.servers[entry.number] = entry
                if entry.state is State.READY:
                    self.listed.add(entry.number)
                else:
                    self.listed.discard(entry.number)
        elif isinstance(event, Request):
            self.requests[event.id] = [event.class_number, event.deadline_ns, False, []]
        elif isinstance(event, Outcome):
            request = self.requests[event.id]
            request[3][event.attempt][2] = "never" if event.status in NEVER else "maybe"
            if event.final:
                request[2] = True
            if event.status is Status.OK:
                self.answers.append(now)
                self.cold[event.endpoint_number][1] += 1
        elif isinstance(event, StreamStarted):
            self.requests[event.id][3][event.attempt][2] = "streaming"

    def actions(self, now, actions):
        for action in actions:
            if isinstance(action, Send):
                self._send(now, action)
            elif isinstance(action, Refuse | Fail):
                need(action.id in self.requests, "answers an unknown request")
                cls, _, ended, attempts = self.requests[action.id]
                need(not ended, "a second final answer")
                if isinstance(action, Refuse):
                    self._refusal(self.settings.classes[cls], attempts)
                self.requests[action.id][2] = True
            elif isinstance(action, Probe):
                need(self.settings.can_probe, "probes where it may not")
                need(action.endpoint_number in self.servers, "probes an unknown server")
            elif isinstance(action, Cancel):
                need(self.settings.can_cancel, "cancels where it may not")
                need(action.attempt < len(self.requests[action.id][3]), "cancels what was never sent")

    def _refusal(self, spec, attempts):
        harmless = spec.effect is Effect.SAFE or (spec.effect is Effect.KEYED and spec.scope is Scope.ALL)
        need(harmless or all(a[2] == "never" for a in attempts), "refuses what may have run")

    def _send(self, now, action):
        need(action.id in self.requests, "sends an unknown request")
        cls, deadline, ended, attempts = self.requests[action.id]
        spec = self.settings.classes[cls]
        need(not ended and now <= deadline, "sends after the end")
        need(action.endpoint_number in self.listed, "sends to a server that is not ready")
        need(len(attempts) < self.settings.max_attempts, "too many attempts")
        target = self.servers[action.endpoint_number]
        for server, sent, state in attempts:
            need(state != "streaming", "sends beside a stream")
            if state == "never":
                continue
            need(state != "out" or self.settings.can_hedge, "two attempts out")
            need(spec.effect is not Effect.UNSAFE, "an effect twice: unsafe")
            if spec.effect is Effect.KEYED:
                need(now < sent + spec.window_ns, "an effect twice: after the window")
                if spec.scope is Scope.CELL:
                    need(server.cell == target.cell, "an effect twice: another cell")
                if spec.scope is Scope.ZONE:
                    need(server.zone == target.zone, "an effect twice: another zone")
        attempts.append([target, now, "out"])
        self._pace(now, target)

    def _pace(self, now, target):
        """Sends to a cold server: what it answered, twice, and its part of what this sidecar gets done."""
        age = now - target.started_ns
        warm = self.settings.warm_within_ns
        if not target.started_ns or age >= warm:
            return
        tally = self.cold[target.number]
        tally[0] += 1
        start = self.settings.start_capacity
        part = start + (1 - start) * max(age, 0) / warm
        done = sum(when >= target.started_ns for when in self.answers) / max(len(self.listed), 1)
        need(tally[0] <= 6 + 2 * tally[1] + 3 * part * done, "pushes a cold server over")

    def at_the_end(self, now):
        for ident, (_, deadline, ended, _) in self.requests.items():
            late = now > deadline + self.settings.answer_slack_ns
            need(ended or not late, f"request {ident} was never answered")
