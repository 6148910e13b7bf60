"""Judges the four rules from the events of the network and the servers. No I/O; events are arguments.

Events are observed where they occur: an attempt begins when its first byte is passed to the kernel, may have
run from its last byte on, and is over when a valid answer has arrived, when its side was closed, or when the
peer's close has arrived. The program's own beliefs are not used.
"""

from __future__ import annotations

from collections import deque

from ..balancer.settings import Effect, RequestClass, Scope
from .rule_records import Attempt, AttemptStart, RequestTrace, Violation, WarmUp

NS_PER_MS = 1_000_000
NS_PER_S = 1_000 * NS_PER_MS
ANSWER_SLACK_NS = 50 * NS_PER_MS  # Added to a client's time, as PROTOCOL says of each limit on sockets.
LEFT_SLACK_NS = 100 * NS_PER_MS  # After a client's close; a later attempt breaks a rule (STANDING).
ANNOUNCED_SLACK_NS = 150 * NS_PER_MS  # Added to the time that the client has left (STANDING).
DRAIN_SLACK_NS = 50 * NS_PER_MS
WARM_UP_SLACK_REQUESTS = 3.0  # Beyond the budget of a cold server, for random bursts.
TRACE_LIFETIME_NS = 20 * NS_PER_S  # Longer than any deadline, window or grace time.
HTTP_OK = 200
HTTP_REFUSED = frozenset((429, 503))
COUNTS = (
    *("requests", "attempts", "repeats", "effects", "served", "refused"),
    *("failed", "drained", "cold", "errors"),
)


class Rules:
    """Judges a world while it runs.

    Attributes:
        traces: Traces of the requests, by the id that a client gave.
        draining_since_ns: (sidecar, server) -> when a list first said that it gets nothing new.
        taken_out: Time since when operators have taken a server out, by sidecar and server.
        known_starts: The `since_ms` of which a sidecar was last notified, by sidecar and server.
        max_cold_budget_fraction: Largest fraction of a cold server's budget used by sidecars that knew of
            its start.
        arrivals: Time of each request at a server, and whether its sender knew of the start, by server.
    """

    def __init__(
        self,
        classes: list[RequestClass],
        grace_ns: int,
        overload_factor: float,
        overload_ns: int,
    ) -> None:
        """Judge by the settings: the grace period of drains, and the budget of cold servers."""
        self.classes = classes
        self.grace_ns = grace_ns
        self.overload_factor = overload_factor
        self.overload_ns = overload_ns
        self.violations: list[Violation] = []
        self.traces: dict[str, RequestTrace] = {}
        self.idents_by_age: deque[tuple[int, str]] = deque()
        self.draining_since_ns: dict[tuple[str, str], int] = {}
        self.taken_out: dict[tuple[str, str], int] = {}
        self.known_starts: dict[tuple[str, str], int] = {}
        self.warm_ups: dict[str, WarmUp] = {}
        self.max_cold_budget_fraction = 0.0
        self.arrivals: dict[str, deque[tuple[int, bool]]] = {}
        self.counts = dict.fromkeys(COUNTS, 0)

    def report(self, at_ns: int, rule: str, text: str) -> None:
        """Record that a rule was broken."""
        self.violations.append(Violation(at_ns, rule, text))

    # Requests and their answers

    def request_sent(self, at_ns: int, ident: str, class_number: int) -> None:
        """A client has sent a request."""
        self.counts["requests"] += 1
        if ident not in self.traces:
            self.traces[ident] = RequestTrace(class_number)
            self.idents_by_age.append((at_ns, ident))
        while self.idents_by_age and self.idents_by_age[0][0] < at_ns - TRACE_LIFETIME_NS:
            self.traces.pop(self.idents_by_age.popleft()[1], None)

    def answered(self, at_ns: int, ident: str, code: int, body: str, due_ns: int) -> None:
        """A client has a whole answer; `due_ns` is the end of its time, with what the process was paused."""
        trace = self.traces[ident]
        trace.answers += 1
        if trace.answers > 1:
            self.report(at_ns, "one answer", f"{ident} was answered {trace.answers} times")
        if at_ns > due_ns + ANSWER_SLACK_NS:
            self.report(at_ns, "in time", f"{ident} was answered {(at_ns - due_ns) / NS_PER_MS:.1f} ms late")
        if code == HTTP_OK:
            self.counts["served"] += 1
            name, _, server = body.partition(" ")
            if name != ident or server not in [server_name for server_name, _ in trace.effects]:
                self.report(at_ns, "own answer", f"{ident} was answered with {body!r}")
        elif code in HTTP_REFUSED:
            self.counts["refused"] += 1
            self._check_refusal(at_ns, ident, trace)
        else:
            self.counts["failed"] += 1

    def _check_refusal(self, at_ns: int, ident: str, trace: RequestTrace) -> None:
        """A refusal promises that the request had no effect, or that it may be sent again."""
        spec = self.classes[trace.class_number]
        may_have = [attempt for attempt in trace.attempts if attempt.may_have_run]
        harmless = spec.effect is Effect.SAFE or (spec.effect is Effect.KEYED and spec.scope is Scope.ALL)
        if may_have and not harmless:
            what = f"{ident} ({spec.name}) was refused though it may have run at {may_have[0].server}"
            self.report(at_ns, "no effect twice", what)

    def answer_cut_short(self, at_ns: int, ident: str, process_lives: bool) -> None:
        """An answer has begun and broken off, which only a server or a death of the process may cause."""
        self.counts["failed"] += 1
        trace = self.traces[ident]
        trace.answers += 1
        server_ended = bool(trace.attempts) and trace.attempts[-1].server_ended
        if process_lives and not server_ended:
            self.report(at_ns, "one answer", f"{ident} was answered in part")

    def request_lost(self, at_ns: int, ident: str, how: str) -> None:
        """A request that the sidecar had read was never answered."""
        self.report(at_ns, "one answer", f"{ident} was lost: {how}")

    def request_not_read(self, at_ns: int, ident: str, process_lives: bool) -> None:
        """A connection has ended before its request was read whole: it must not have been sent on.

        A body that is streamed goes on as it comes: some of it may have gone when the process died.
        """
        trace = self.traces.get(ident)
        if trace is None:
            return
        if any(process_lives or attempt.written or not attempt.streamed for attempt in trace.attempts):
            self.report(at_ns, "one answer", f"{ident} was sent on though its connection had ended")

    def deadline_set(self, ident: str, allowed_ns: int, events: int) -> None:
        """A client waits for so long, from the last of so many events on (`deadline_started`)."""
        trace = self.traces[ident]
        trace.allowed_ns, trace.awaited_events = allowed_ns, events

    def deadline_started(self, at_ns: int, ident: str) -> None:
        """A request's head was read, or the answer ahead of it has arrived."""
        trace = self.traces.get(ident)
        if trace is not None:
            trace.due_ns = at_ns + trace.allowed_ns
            trace.awaited_events -= 1

    def client_left(self, at_ns: int, ident: str) -> None:
        """The client of a request has closed its connection."""
        trace = self.traces.get(ident)
        if trace is not None and trace.left_ns < 0:
            trace.left_ns = at_ns

    def unasked_bytes(self, at_ns: int, client: str, data: bytes) -> None:
        """A client got bytes that it had asked nothing for."""
        self.report(at_ns, "one answer", f"{client} got {data[:40]!r} unasked")

    # Attempts

    def attempt_started(self, start: AttemptStart) -> Attempt | None:
        """The first byte of an attempt has gone to a server.

        Returns:
            The attempt, to be kept up to date; None for a request that nobody knows.
        """
        trace = self.traces.get(start.ident)
        if trace is None:
            what = f"{start.sidecar} sent {start.ident}, which no client asked"
            self.report(start.at_ns, "own requests", what)
            return None
        self.counts["attempts"] += 1
        self.counts["repeats"] += bool(trace.attempts)
        for earlier in trace.attempts:
            self._check_after(start, trace, earlier)
        self._check_client_waits(start, trace)
        self._check_announced(start, trace)
        self._check_drains(start)
        attempt = Attempt(start.server, start.group, start.at_ns)
        trace.attempts.append(attempt)
        return attempt

    def _check_after(self, start: AttemptStart, trace: RequestTrace, earlier: Attempt) -> None:
        """Check whether an attempt may begin after an earlier one."""
        at_ns, ident, server = start.at_ns, start.ident, start.server
        if earlier.in_flight:
            self.report(
                at_ns, "one attempt", f"{ident} went to {server} while it was out at {earlier.server}"
            )
        if earlier.body_begun:
            self.report(at_ns, "streams", f"{ident} went to {server} after its body had begun to flow")
        if earlier.may_have_run:
            self._check_repeat(start, trace, earlier)

    def _check_repeat(self, start: AttemptStart, trace: RequestTrace, earlier: Attempt) -> None:
        """Check whether a request that may have run may be sent again."""
        spec = self.classes[trace.class_number]
        ident, at_ns = start.ident, start.at_ns
        if spec.effect is Effect.UNSAFE:
            what = f"{ident} ({spec.name}) went to {start.server} though it may have run at {earlier.server}"
            self.report(at_ns, "no effect twice", what)
        elif spec.effect is Effect.KEYED:
            if start.group != earlier.group:
                what = f"{ident} ({spec.name}) went from group {earlier.group} to {start.group}"
                self.report(at_ns, "no effect twice", what)
            first_ns = min(attempt.began_ns for attempt in trace.attempts if attempt.may_have_run)
            if at_ns > first_ns + spec.window_ns + ANSWER_SLACK_NS:
                what = f"{ident} ({spec.name}) was repeated {(at_ns - first_ns) / NS_PER_MS:.0f} ms later"
                self.report(at_ns, "no effect twice", what)

    def _check_client_waits(self, start: AttemptStart, trace: RequestTrace) -> None:
        if 0 <= trace.left_ns < start.at_ns - LEFT_SLACK_NS:
            late_ms = (start.at_ns - trace.left_ns) / NS_PER_MS
            what = f"{start.ident} went to {start.server} {late_ms:.0f} ms after its client"
            self.report(start.at_ns, "clients that left", what)

    def _check_announced(self, start: AttemptStart, trace: RequestTrace) -> None:
        """Check the time that a server is told against what its client has left."""
        if trace.allowed_ns < 0:
            return
        # Until its time runs, its client has all of it left.
        left_ns = trace.allowed_ns if trace.awaited_events > 0 else trace.due_ns - start.at_ns
        if start.announced_ns > left_ns + ANNOUNCED_SLACK_NS:
            what = (
                f"{start.ident} told {start.server} {start.announced_ns / NS_PER_MS:.0f} ms, "
                f"its client has {left_ns / NS_PER_MS:.0f} ms left"
            )
            self.report(start.at_ns, "deadlines", what)

    def _check_drains(self, start: AttemptStart) -> None:
        key = (start.sidecar, start.server)
        notified = [known.get(key) for known in (self.draining_since_ns, self.taken_out)]
        since_ns = min((at_ns for at_ns in notified if at_ns is not None), default=None)
        if since_ns is None:
            return
        self.counts["drained"] += 1
        if start.at_ns > since_ns + self.grace_ns + DRAIN_SLACK_NS:
            late_ms = (start.at_ns - since_ns) / NS_PER_MS
            what = f"{start.sidecar} sent {start.ident} to {start.server} {late_ms:.0f} ms after it was told"
            self.report(start.at_ns, "drains", what)

    def work_started(self, at_ns: int, ident: str, server: str) -> None:
        """A server has begun the work of a request."""
        trace = self.traces.get(ident)
        if trace is None:
            return  # of a client that was forgotten long ago: its server was silent
        self.counts["effects"] += 1
        trace.effects.append((server, at_ns))
        if self.classes[trace.class_number].effect is Effect.UNSAFE and len(trace.effects) > 1:
            servers = ", ".join(server_name for server_name, _ in trace.effects)
            self.report(at_ns, "no effect twice", f"{ident} ran at {servers}")

    # Servers

    def endpoint_notified(
        self, at_ns: int, sidecar: str, server: str, takes_new: bool, since_ms: int
    ) -> None:
        """A sidecar was notified of a server: whether it takes new requests, and when it has started."""
        key = (sidecar, server)
        self.known_starts[key] = since_ms
        if takes_new:
            self.draining_since_ns.pop(key, None)
        else:
            self.draining_since_ns.setdefault(key, at_ns)

    def maintenance_changed(self, at_ns: int, sidecar: str, server: str, taken_out: bool) -> None:
        """Operators have taken a server out at a sidecar, or put it back."""
        if taken_out:
            self.taken_out.setdefault((sidecar, server), at_ns)
        else:
            self.taken_out.pop((sidecar, server), None)

    def sidecar_restarted(self, sidecar: str) -> None:
        """A sidecar has begun anew: it knows what it is given, and was notified of nothing."""
        for known in (self.draining_since_ns, self.known_starts):
            for key in [key for key in known if key[0] == sidecar]:
                del known[key]

    def server_started(self, server: str, warm_up: WarmUp) -> None:
        """A server has started cold."""
        self.warm_ups[server] = warm_up
        self.arrivals[server] = deque()

    def request_reached(self, at_ns: int, sidecar: str, server: str) -> None:
        """A request has reached a server; while it is cold, all that reaches it counts."""
        warm_up = self.warm_ups.get(server)
        if warm_up is None or at_ns > warm_up.started_ns + warm_up.warm_ns:
            return
        self.counts["cold"] += 1
        arrivals = self.arrivals[server]
        arrivals.append((at_ns, self.known_starts.get((sidecar, server)) == warm_up.since_ms))
        while arrivals[0][0] < at_ns - self.overload_ns:
            arrivals.popleft()
        knowing = sum(known for _, known in arrivals)
        if knowing * 3 < len(arrivals) * 2:
            return  # less than two thirds of it can be held against the sidecars
        duration_s = self.overload_ns / NS_PER_S
        budget = self.overload_factor * warm_up.capacity(at_ns) * duration_s + WARM_UP_SLACK_REQUESTS
        self.max_cold_budget_fraction = max(self.max_cold_budget_fraction, len(arrivals) / budget)
        if len(arrivals) > budget:
            what = f"{server} was sent {len(arrivals)} requests in {duration_s:.1f} s, {budget:.1f} at most"
            self.report(at_ns, "cold servers", what)
            arrivals.clear()
