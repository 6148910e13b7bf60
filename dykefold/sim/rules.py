"""Checks the rules by the events of the network and the servers. No I/O; events are arguments.

Events are observed where they occur: an attempt begins when its first byte is passed to the kernel, may have
run from its last byte on, and is over when a valid answer has arrived, when its side was closed, or when the
peer's close has arrived. The program's own state is not used.
"""

from __future__ import annotations

from collections import deque

from ..balancer.settings import Effect, RequestClass, Scope
from .rule_records import Attempt, AttemptStart, RequestTrace, Violation, WarmUp

NS_PER_MS = 1_000_000
NS_PER_S = 1_000 * NS_PER_MS
ANSWER_SLACK_NS = 50 * NS_PER_MS  # Tolerance of a client's deadline, as PROTOCOL grants each socket limit.
LEFT_SLACK_NS = 100 * NS_PER_MS  # Time after a client's close in which an attempt may still start (STANDING).
ANNOUNCED_SLACK_NS = 150 * NS_PER_MS  # Tolerance of the announced deadline (STANDING).
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
    """Checks a world while it runs, and collects violations and counts.

    Attributes:
        traces: Traces of the requests, by request id.
        draining_since_ns: Time in nanoseconds at which a list first excluded a server from new requests,
            by sidecar and server.
        maintenance_since_ns: Time in nanoseconds at which operators took a server out for maintenance,
            by sidecar and server.
        notified_since_ms: Latest `since_ms` that a sidecar was notified of, by sidecar and server.
        max_warm_up_budget_fraction: Largest fraction of a warming up server's budget used by sidecars that
            knew of its start.
        arrivals: Time of each request, and whether its sidecar knew of the server's start, by server.
    """

    def __init__(
        self,
        classes: list[RequestClass],
        grace_ns: int,
        overload_factor: float,
        overload_ns: int,
    ) -> None:
        """Create the rules for the settings: request classes, drain grace period, budget of the warm-up."""
        self.classes = classes
        self.grace_ns = grace_ns
        self.overload_factor = overload_factor
        self.overload_ns = overload_ns
        self.violations: list[Violation] = []
        self.traces: dict[str, RequestTrace] = {}
        self.idents_by_age: deque[tuple[int, str]] = deque()
        self.draining_since_ns: dict[tuple[str, str], int] = {}
        self.maintenance_since_ns: dict[tuple[str, str], int] = {}
        self.notified_since_ms: dict[tuple[str, str], int] = {}
        self.warm_ups: dict[str, WarmUp] = {}
        self.max_warm_up_budget_fraction = 0.0
        self.arrivals: dict[str, deque[tuple[int, bool]]] = {}
        self.counts = dict.fromkeys(COUNTS, 0)

    def report(self, at_ns: int, rule: str, text: str) -> None:
        """Record the violation of a rule."""
        self.violations.append(Violation(at_ns, rule, text))

    # Requests and their answers

    def request_sent(self, at_ns: int, ident: str, class_number: int) -> None:
        """Record that a client has sent a request."""
        self.counts["requests"] += 1
        if ident not in self.traces:
            self.traces[ident] = RequestTrace(class_number)
            self.idents_by_age.append((at_ns, ident))
        while self.idents_by_age and self.idents_by_age[0][0] < at_ns - TRACE_LIFETIME_NS:
            self.traces.pop(self.idents_by_age.popleft()[1], None)

    def answered(self, at_ns: int, ident: str, code: int, body: str, due_ns: int) -> None:
        """Check a complete answer; `due_ns` is its deadline, prolonged by pauses of the process."""
        trace = self.traces[ident]
        trace.answers += 1
        if trace.answers > 1:
            self.report(
                at_ns, "one answer", f"request {ident} was answered {trace.answers} times, expected once"
            )
        if at_ns > due_ns + ANSWER_SLACK_NS:
            self.report(
                at_ns,
                "in time",
                f"request {ident} was answered {(at_ns - due_ns) / NS_PER_MS:.1f} ms after its deadline",
            )
        if code == HTTP_OK:
            self.counts["served"] += 1
            name, _, server = body.partition(" ")
            if name != ident or server not in [server_name for server_name, _ in trace.effects]:
                self.report(
                    at_ns,
                    "own answer",
                    f"request {ident} was answered with {body!r}, expected own id and server",
                )
        elif code in HTTP_REFUSED:
            self.counts["refused"] += 1
            self._check_rejection(at_ns, ident, trace)
        else:
            self.counts["failed"] += 1

    def _check_rejection(self, at_ns: int, ident: str, trace: RequestTrace) -> None:
        """Check that a rejected request had no effect, or may be run again."""
        spec = self.classes[trace.class_number]
        possible_runs = [attempt for attempt in trace.attempts if attempt.may_have_run]
        may_run_again = spec.effect is Effect.SAFE or (
            spec.effect is Effect.KEYED and spec.scope is Scope.ALL
        )
        if possible_runs and not may_run_again:
            text = (
                f"request {ident} ({spec.name}) was rejected, but may have run at {possible_runs[0].server}"
            )
            self.report(at_ns, "no effect twice", text)

    def answer_cut_short(self, at_ns: int, ident: str, process_lives: bool) -> None:
        """Check a truncated answer, which only its server or the death of the process may cause."""
        self.counts["failed"] += 1
        trace = self.traces[ident]
        trace.answers += 1
        server_ended = bool(trace.attempts) and trace.attempts[-1].server_ended
        if process_lives and not server_ended:
            self.report(
                at_ns,
                "one answer",
                f"request {ident} got a truncated answer, but neither its process nor its server ended",
            )

    def request_lost(self, at_ns: int, ident: str, how: str) -> None:
        """Report a request that the sidecar has read and never answered."""
        self.report(at_ns, "one answer", f"request {ident} was read and not answered: {how}")

    def request_not_read(self, at_ns: int, ident: str, process_lives: bool) -> None:
        """Check that a request whose connection closed before it was read completely was not forwarded.

        A streamed body is forwarded as it arrives: part of it may have been sent when the process died.
        """
        trace = self.traces.get(ident)
        if trace is None:
            return
        if any(process_lives or attempt.written or not attempt.streamed for attempt in trace.attempts):
            self.report(
                at_ns,
                "one answer",
                f"request {ident} was forwarded, but its connection closed before it was read",
            )

    def deadline_set(self, ident: str, allowed_ns: int, events: int) -> None:
        """Set how long a client waits from the last of `events` events on (`deadline_started`)."""
        trace = self.traces[ident]
        trace.allowed_ns, trace.awaited_events = allowed_ns, events

    def deadline_started(self, at_ns: int, ident: str) -> None:
        """Record that a request's head was read, or that the answer ahead of it has arrived."""
        trace = self.traces.get(ident)
        if trace is not None:
            trace.due_ns = at_ns + trace.allowed_ns
            trace.awaited_events -= 1

    def client_left(self, at_ns: int, ident: str) -> None:
        """Record that the client of a request has closed its connection."""
        trace = self.traces.get(ident)
        if trace is not None and trace.left_ns < 0:
            trace.left_ns = at_ns

    def unexpected_bytes(self, at_ns: int, client: str, data: bytes) -> None:
        """Report bytes that a client received while it had no open request."""
        self.report(at_ns, "one answer", f"client {client} received {data[:40]!r} without an open request")

    # Attempts

    def attempt_started(self, start: AttemptStart) -> Attempt | None:
        """Check an attempt whose first byte was passed to the kernel.

        Returns:
            The attempt, which the caller keeps up to date; None if no client has sent the request.
        """
        trace = self.traces.get(start.ident)
        if trace is None:
            text = f"{start.sidecar} sent request {start.ident}, which no client has sent"
            self.report(start.at_ns, "own requests", text)
            return None
        self.counts["attempts"] += 1
        self.counts["repeats"] += bool(trace.attempts)
        for earlier in trace.attempts:
            self._check_earlier_attempt(start, trace, earlier)
        self._check_client_present(start, trace)
        self._check_announced_deadline(start, trace)
        self._check_drains(start)
        attempt = Attempt(start.server, start.group, start.at_ns)
        trace.attempts.append(attempt)
        return attempt

    def _check_earlier_attempt(self, start: AttemptStart, trace: RequestTrace, earlier: Attempt) -> None:
        """Check whether an attempt may start after an earlier one."""
        at_ns, ident, server = start.at_ns, start.ident, start.server
        if earlier.in_flight:
            self.report(
                at_ns,
                "one attempt",
                f"request {ident} was sent to {server} while in flight at {earlier.server}",
            )
        if earlier.body_begun:
            self.report(
                at_ns,
                "streams",
                f"request {ident} was sent to {server} after part of its streamed body was sent",
            )
        if earlier.may_have_run:
            self._check_retry(start, trace, earlier)

    def _check_retry(self, start: AttemptStart, trace: RequestTrace, earlier: Attempt) -> None:
        """Check whether a request that may have run may be retried."""
        spec = self.classes[trace.class_number]
        ident, at_ns = start.ident, start.at_ns
        if spec.effect is Effect.UNSAFE:
            text = (
                f"request {ident} ({spec.name}) went to {start.server}, but may have run at {earlier.server}"
            )
            self.report(at_ns, "no effect twice", text)
        elif spec.effect is Effect.KEYED:
            if start.group != earlier.group:
                text = (
                    f"request {ident} ({spec.name}) was retried from group {earlier.group} in {start.group}"
                )
                self.report(at_ns, "no effect twice", text)
            first_ns = min(attempt.began_ns for attempt in trace.attempts if attempt.may_have_run)
            if at_ns > first_ns + spec.window_ns + ANSWER_SLACK_NS:
                text = (
                    f"request {ident} ({spec.name}) was retried {(at_ns - first_ns) / NS_PER_MS:.0f} ms "
                    "after its first possible run, beyond its key's window"
                )
                self.report(at_ns, "no effect twice", text)

    def _check_client_present(self, start: AttemptStart, trace: RequestTrace) -> None:
        if 0 <= trace.left_ns < start.at_ns - LEFT_SLACK_NS:
            late_ms = (start.at_ns - trace.left_ns) / NS_PER_MS
            text = f"request {start.ident} was sent to {start.server} {late_ms:.0f} ms after its client left"
            self.report(start.at_ns, "clients that left", text)

    def _check_announced_deadline(self, start: AttemptStart, trace: RequestTrace) -> None:
        """Check the deadline announced to a server against the time that its client still waits."""
        if trace.allowed_ns < 0:
            return
        # Before its deadline starts, its client has the whole time left.
        left_ns = trace.allowed_ns if trace.awaited_events > 0 else trace.due_ns - start.at_ns
        if start.announced_ns > left_ns + ANNOUNCED_SLACK_NS:
            text = (
                f"request {start.ident} announced to {start.server} {start.announced_ns / NS_PER_MS:.0f} ms, "
                f"but its client waits for {left_ns / NS_PER_MS:.0f} ms"
            )
            self.report(start.at_ns, "deadlines", text)

    def _check_drains(self, start: AttemptStart) -> None:
        key = (start.sidecar, start.server)
        drain_times_ns = [known.get(key) for known in (self.draining_since_ns, self.maintenance_since_ns)]
        since_ns = min((at_ns for at_ns in drain_times_ns if at_ns is not None), default=None)
        if since_ns is None:
            return
        self.counts["drained"] += 1
        if start.at_ns > since_ns + self.grace_ns + DRAIN_SLACK_NS:
            late_ms = (start.at_ns - since_ns) / NS_PER_MS
            text = (
                f"{start.sidecar} sent {start.ident} to {start.server} {late_ms:.0f} ms after its drain began"
            )
            self.report(start.at_ns, "drains", text)

    def work_started(self, at_ns: int, ident: str, server: str) -> None:
        """Record that a server has started to run a request."""
        trace = self.traces.get(ident)
        if trace is None:
            return  # Its trace has expired, since its server was silent.
        self.counts["effects"] += 1
        trace.effects.append((server, at_ns))
        if self.classes[trace.class_number].effect is Effect.UNSAFE and len(trace.effects) > 1:
            servers = ", ".join(server_name for server_name, _ in trace.effects)
            self.report(at_ns, "no effect twice", f"request {ident} ran at {servers}, expected one run")

    # Servers

    def endpoint_notified(
        self, at_ns: int, sidecar: str, server: str, takes_new: bool, since_ms: int
    ) -> None:
        """Record a sidecar's notification of a server: whether it takes new requests, and its start."""
        key = (sidecar, server)
        self.notified_since_ms[key] = since_ms
        if takes_new:
            self.draining_since_ns.pop(key, None)
        else:
            self.draining_since_ns.setdefault(key, at_ns)

    def maintenance_changed(self, at_ns: int, sidecar: str, server: str, taken_out: bool) -> None:
        """Record that operators took a server out at a sidecar, or put it back."""
        if taken_out:
            self.maintenance_since_ns.setdefault((sidecar, server), at_ns)
        else:
            self.maintenance_since_ns.pop((sidecar, server), None)

    def sidecar_restarted(self, sidecar: str) -> None:
        """Remove the notifications of a sidecar that has restarted."""
        for known in (self.draining_since_ns, self.notified_since_ms):
            for key in [key for key in known if key[0] == sidecar]:
                del known[key]

    def server_started(self, server: str, warm_up: WarmUp) -> None:
        """Record the start of a server that has to warm up."""
        self.warm_ups[server] = warm_up
        self.arrivals[server] = deque()

    def request_reached(self, at_ns: int, sidecar: str, server: str) -> None:
        """Check an arrived request against the budget of a server that is warming up."""
        warm_up = self.warm_ups.get(server)
        if warm_up is None or at_ns > warm_up.started_ns + warm_up.warm_ns:
            return
        self.counts["cold"] += 1
        arrivals = self.arrivals[server]
        arrivals.append((at_ns, self.notified_since_ms.get((sidecar, server)) == warm_up.since_ms))
        while arrivals[0][0] < at_ns - self.overload_ns:
            arrivals.popleft()
        aware_arrivals = sum(known for _, known in arrivals)
        if aware_arrivals * 3 < len(arrivals) * 2:
            return  # Less than two thirds of the requests are from sidecars that knew of the start.
        duration_s = self.overload_ns / NS_PER_S
        budget = self.overload_factor * warm_up.capacity(at_ns) * duration_s + WARM_UP_SLACK_REQUESTS
        self.max_warm_up_budget_fraction = max(self.max_warm_up_budget_fraction, len(arrivals) / budget)
        if len(arrivals) > budget:
            text = (
                f"{server} got {len(arrivals)} requests in {duration_s:.1f} s, expected at most {budget:.1f}"
            )
            self.report(at_ns, "cold servers", text)
            arrivals.clear()
