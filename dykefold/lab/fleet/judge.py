"""Judges a run of the rig by the four rules, from the records of servers and clients. No I/O.

Clients have to retry requests that were pending at a process when it was killed, and a stopped process
cannot answer. For such faults the rig passes the intervals in which lost requests of a client are
excused. A repeated effect is never excused.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Protocol

from ..scenario import ClassTable
from .client import ClientRequest, RequestEnd

SLACK_S = 0.05  # Added to each time limit on sockets (PROTOCOL).
MAX_ATTEMPTS = 3
SHORT_WINDOW_S = 0.5  # For the load of a server in slow start relative to its capacity.
SMALL_BUDGET_CALLS = 30.0  # Below this, the budget has a wider slack for random variation (STANDING).
MIN_NOTIFIED_FRACTION = 2 / 3  # An overload breaks the rule if more of its calls came from notified sidecars.


class ArrivedAttempt(Protocol):
    """An attempt that reached a server; `began_s` is None if the server did not execute it."""

    ident: str
    cls: str
    came_s: float
    began_s: float | None
    overlaps: bool


@dataclass(frozen=True, slots=True)
class FaultInterval:
    """An interval in which the sidecar of a client was killed or stopped."""

    client: int
    from_s: float
    until_s: float


@dataclass(frozen=True, slots=True)
class OutOfServiceInterval:
    """An interval, after the drain grace period, in which a client's sidecar must not use a server."""

    client: int
    server: str
    from_s: float
    until_s: float = float("inf")


@dataclass(slots=True)
class Verdict:
    """Verdict on a run.

    Attributes:
        counts: Number of requests by their outcome.
        lost: Ids of requests that were accepted and got no complete answer in time, outside of fault
            intervals.
        excused: Number of such requests in fault intervals.
        violations: Violations of the other rules, one line each.
        gap_s: Longest time between two served answers, in seconds.
        gap_from_s: Time at which that gap began, in seconds of the event loop's clock.
    """

    counts: dict[str, int] = field(default_factory=dict)
    lost: list[str] = field(default_factory=list)
    excused: int = 0
    violations: list[str] = field(default_factory=list)
    gap_s: float = 0.0
    gap_from_s: float = 0.0

    @property
    def broken(self) -> list[str]:
        """All violations, lost requests included."""
        return [
            f"request {ident} was lost: it got no complete answer by its deadline" for ident in self.lost
        ] + self.violations


def judge(
    requests: Sequence[ClientRequest],
    arrivals: Mapping[str, Sequence[ArrivedAttempt]],
    classes: Mapping[str, ClassTable],
    fault_intervals: Iterable[FaultInterval] = (),
    out_of_service: Iterable[OutOfServiceInterval] = (),
    hedged: bool = False,
) -> Verdict:
    """Judge a run by comparing the requests of clients with the attempts that reached the servers.

    Args:
        requests: Requests of all clients.
        arrivals: Attempts that reached each server, by its name.
        classes: Request classes by name.
        fault_intervals: Intervals in which lost requests of a client are excused.
        out_of_service: Intervals in which a server must not be used.
        hedged: Whether the settings allow hedged requests.
    """
    verdict = Verdict()
    attempts_by_request: dict[str, list[tuple[str, ArrivedAttempt]]] = {}
    for server, server_arrivals in arrivals.items():
        for arrival in server_arrivals:
            attempts_by_request.setdefault(arrival.ident, []).append((server, arrival))
    excusing_intervals = list(fault_intervals)
    for request in requests:
        verdict.counts[request.end] = verdict.counts.get(request.end, 0) + 1
        attempts = attempts_by_request.get(request.ident, [])
        lost = request.end in (RequestEnd.LOST, RequestEnd.LATE, RequestEnd.OPEN) or (
            request.end is RequestEnd.CROSSED and bool(attempts)
        )
        if lost and _is_excused(request, excusing_intervals):
            verdict.excused += 1
        elif lost:
            verdict.lost.append(request.ident)
        verdict.violations += _violations(request, attempts, classes[request.cls], hedged)
    by_ident = {request.ident: request for request in requests}
    for interval in out_of_service:
        for arrival in arrivals.get(interval.server, ()):
            sender_request = by_ident.get(arrival.ident)
            if (
                sender_request is not None
                and sender_request.client == interval.client
                and interval.from_s + SLACK_S < arrival.came_s < interval.until_s
            ):
                late_ms = (arrival.came_s - interval.from_s) * 1000
                verdict.violations.append(
                    f"request {arrival.ident} reached server {interval.server}, which was out of service, "
                    f"{late_ms:.0f} ms after the end of the drain grace period; expected no attempt after it"
                )
    _measure_gap(verdict, requests)
    return verdict


def _is_excused(request: ClientRequest, fault_intervals: list[FaultInterval]) -> bool:
    ended_s = request.ended_s if request.ended_s >= 0 else float("inf")
    return any(
        request.client == fault.client and request.sent_s <= fault.until_s and ended_s >= fault.from_s
        for fault in fault_intervals
    )


def _violations(
    request: ClientRequest, attempts: list[tuple[str, ArrivedAttempt]], table: ClassTable, hedged: bool
) -> list[str]:
    violations = []
    executions = sorted(
        (arrival.began_s, server) for server, arrival in attempts if arrival.began_s is not None
    )
    executed_at = ", ".join(f"{server} at {at:.3f} s" for at, server in executions)
    if len(attempts) > MAX_ATTEMPTS:
        violations.append(
            f"request {request.ident} reached servers {len(attempts)} times; expected at most 3 attempts"
        )
    if not hedged and any(arrival.overlaps for _, arrival in attempts):
        violations.append(
            f"request {request.ident} had two attempts in flight at once; expected one without hedging"
        )
    if table.effect == "unsafe" and len(executions) > 1:
        violations.append(
            f"request {request.ident} (unsafe class {request.cls}) was executed {len(executions)} times; "
            f"expected at most once; executions: {executed_at}"
        )
    # The window counts between arrivals: attempts that a cut has delayed are executed later, and cannot be
    # cancelled.
    arrived_s = [arrival.came_s for _, arrival in attempts if arrival.began_s is not None]
    if (
        table.effect == "keyed"
        and arrived_s
        and max(arrived_s) - min(arrived_s) > table.window_ms / 1000 + SLACK_S
    ):
        violations.append(
            f"request {request.ident} (keyed class {request.cls}) was executed again after its retry window; "
            f"expected all attempts within it; executions: {executed_at}"
        )
    if request.end is RequestEnd.SERVED and (request.body != request.ident or not executions):
        violations.append(
            f"request {request.ident} was answered as served with body {request.body!r}; "
            f"expected its id as body and an execution; executions: {executed_at}"
        )
    if request.end is RequestEnd.REFUSED and table.effect == "unsafe" and executions:
        violations.append(
            f"request {request.ident} (unsafe class {request.cls}) was refused although it was executed; "
            f"expected no execution; executions: {executed_at}"
        )
    return violations


def _measure_gap(verdict: Verdict, requests: Sequence[ClientRequest]) -> None:
    times = sorted(request.ended_s for request in requests if request.end is RequestEnd.SERVED)
    for before, after in pairwise(times):
        if after - before > verdict.gap_s:
            verdict.gap_s, verdict.gap_from_s = after - before, before


def peak_warm_up_load(
    came_s: Sequence[float],
    started_s: float,
    capacity_per_s: float,
    start_capacity: float,
    warm_s: float,
    factor: float = 1.0,
    window_s: float = SHORT_WINDOW_S,
) -> float:
    """Return the highest load of a warming-up server relative to the load that overloads it.

    A server is overloaded by N + 2 sqrt(N) + 2 requests of mean work within a window, where N is the number
    that is allowed at its age (STANDING).

    Args:
        came_s: Arrival times of the attempts at the server in seconds, in order.
        started_s: Start time of the server in seconds; far in the past for one that was always warm.
        capacity_per_s: Requests per second that the warm server can serve.
        start_capacity: Fraction of that at its start; it grows linearly to 1 within `warm_s`.
        warm_s: Seconds until the server is warm.
        factor: Allowed load relative to the capacity at that age.
        window_s: Length of the window in seconds.
    """
    peak_load, first = 0.0, 0
    warm_up_s = [at_s for at_s in came_s if started_s <= at_s < started_s + warm_s]
    for last, at_s in enumerate(warm_up_s):
        while warm_up_s[first] <= at_s - window_s:
            first += 1
        allowed = (
            factor
            * capacity_per_s
            * window_s
            * (start_capacity + (1.0 - start_capacity) * (at_s - started_s) / warm_s)
        )
        peak_load = max(peak_load, (last - first + 1) / (allowed + 2.0 * math.sqrt(allowed) + 2.0))
    return peak_load


@dataclass(frozen=True, slots=True)
class SlowStart:
    """Slow-start rules of the settings (WIRE, rules).

    Attributes:
        capacity_per_s: Requests of mean work per second that a warm server can serve.
        start_capacity: Fraction of that at the server's start.
        warm_s: Seconds until the server is warm.
        factor: Load, relative to the capacity at an age, that overloads the server.
        span_s: Seconds for which this load must last to overload it.
    """

    capacity_per_s: float
    start_capacity: float
    warm_s: float
    factor: float
    span_s: float

    def allowed(self, age_s: float) -> float:
        """Return the requests of mean work that the settings allow in a window ending at this age."""
        fraction = self.start_capacity + (1.0 - self.start_capacity) * min(age_s / self.warm_s, 1.0)
        return self.factor * self.capacity_per_s * self.span_s * fraction


def slow_start_budget(allowed: float) -> float:
    """Return the requests of mean work in a window that overload a server: the allowed ones and a slack."""
    root = math.sqrt(allowed)
    return allowed + 3.0 * root + 3.0 if allowed < SMALL_BUDGET_CALLS else allowed + 2.0 * root + 2.0


@dataclass(frozen=True, slots=True)
class SlowStartCall:
    """An attempt that reached a server.

    Attributes:
        came_s: Time of its arrival in seconds.
        sidecar: Number of the sidecar that sent it; -1 if unknown.
        work: Work relative to that of a mean request.
        first: Whether it was the first attempt of its request.
    """

    came_s: float
    sidecar: int
    work: float = 1.0
    first: bool = True


@dataclass(frozen=True, slots=True)
class SlowStartLoad:
    """Load of a warming-up server in one window.

    Attributes:
        load: Work that arrived relative to the budget; above 1 the server is overloaded.
        age_s: Age of the server at the end of the window, in seconds.
        allowed: Allowed requests of mean work, without the slack.
        calls: Number of calls that arrived.
        notified: Number of these from sidecars that had been notified of the server's start.
        sidecars: Number of sidecars that sent the calls.
        first_calls: Number of calls that were the first of their sidecar to the server since its start.
        retries: Number of calls that were not the first attempt of their request.
        max_calls_per_sidecar: Largest number of calls of one sidecar.
    """

    load: float = 0.0
    age_s: float = 0.0
    allowed: float = 0.0
    calls: int = 0
    notified: int = 0
    sidecars: int = 0
    first_calls: int = 0
    retries: int = 0
    max_calls_per_sidecar: int = 0

    @property
    def is_overloaded(self) -> bool:
        """Whether the server was overloaded."""
        return self.load > 1.0

    @property
    def mostly_notified(self) -> bool:
        """Whether over two thirds of the calls came from notified sidecars."""
        return self.notified > MIN_NOTIFIED_FRACTION * self.calls


def slow_start_load(
    calls: Sequence[SlowStartCall], started_s: float, rules: SlowStart, notified_s: Mapping[int, float]
) -> tuple[SlowStartLoad, SlowStartLoad]:
    """Return the window of highest load, and the highest of those with calls from notified sidecars.

    The second one has over two thirds of its calls from notified sidecars. The rule is broken if the server
    is overloaded in it.

    Args:
        calls: Calls that reached the server, in order of arrival.
        started_s: Start time of the server in seconds; far in the past for one that was always warm.
        rules: Slow-start rules of the settings.
        notified_s: Time in seconds at which each sidecar was notified of the start; absent if it never was.
    """
    worst, worst_notified = SlowStartLoad(), SlowStartLoad()
    window: deque[tuple[SlowStartCall, bool, bool]] = deque()
    seen_sidecars: set[int] = set()
    work, notified = 0.0, 0
    for call in calls:
        age_s = call.came_s - started_s
        if not 0.0 <= age_s < rules.warm_s:
            continue
        was_notified = call.came_s >= notified_s.get(call.sidecar, math.inf)
        window.append((call, was_notified, call.sidecar not in seen_sidecars))
        seen_sidecars.add(call.sidecar)
        work, notified = work + call.work, notified + was_notified
        while window[0][0].came_s <= call.came_s - rules.span_s:
            oldest, oldest_notified, _ = window.popleft()
            work, notified = work - oldest.work, notified - oldest_notified
        load = work / slow_start_budget(rules.allowed(age_s))
        mostly_notified = notified > MIN_NOTIFIED_FRACTION * len(window)
        if load > worst.load or (mostly_notified and load > worst_notified.load):
            current = _window_load(window, load, age_s, rules.allowed(age_s), notified)
            worst = current if load > worst.load else worst
            worst_notified = current if mostly_notified and load > worst_notified.load else worst_notified
    return worst, worst_notified


def _window_load(
    window: Iterable[tuple[SlowStartCall, bool, bool]],
    load: float,
    age_s: float,
    allowed: float,
    notified: int,
) -> SlowStartLoad:
    entries = list(window)
    by_sidecar = Counter(call.sidecar for call, _, _ in entries)
    return SlowStartLoad(
        load,
        age_s,
        allowed,
        len(entries),
        notified,
        len(by_sidecar),
        sum(is_first for _, _, is_first in entries),
        sum(not call.first for call, _, _ in entries),
        max(by_sidecar.values()),
    )
