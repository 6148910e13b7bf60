"""Judges the four rules over a fleet, from the records of servers and clients. No I/O.

Requests that were pending at a process when it was killed are for its clients to retry, and a stopped process
cannot answer. The rig states which clients are excused for that, and when. Nothing excuses a repeated effect.
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
SHORT_WINDOW_S = 0.5  # For the load of a cold server against its capacity.
SMALL_BUDGET_CALLS = 30.0  # Below this the budget has a wider slack for chance (STANDING).
MIN_NOTIFIED_FRACTION = 2 / 3  # A fall breaks the rule if more of its calls came from notified sidecars.


class Arrived(Protocol):
    """An attempt that reached a server; `began_s` is None if it never ran."""

    ident: str
    cls: str
    came_s: float
    began_s: float | None
    overlaps: bool


@dataclass(frozen=True, slots=True)
class FaultInterval:
    """A client whose sidecar was killed or stopped in this interval."""

    client: int
    from_s: float
    until_s: float


@dataclass(frozen=True, slots=True)
class OutOfServiceInterval:
    """A server that a client's sidecar must not use in this interval, after the grace time."""

    client: int
    server: str
    from_s: float
    until_s: float = float("inf")


@dataclass(slots=True)
class Verdict:
    """Verdict on a run.

    Attributes:
        counts: Number of requests by how they ended.
        lost: Ids of requests that were accepted and had no complete answer in time, outside of fault
            intervals.
        excused: Number of such requests within a fault interval.
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
        return [f"{ident} was lost" for ident in self.lost] + self.violations


def judge(
    requests: Sequence[ClientRequest],
    arrivals: Mapping[str, Sequence[Arrived]],
    classes: Mapping[str, ClassTable],
    fault_intervals: Iterable[FaultInterval] = (),
    out_of_service: Iterable[OutOfServiceInterval] = (),
    hedged: bool = False,
) -> Verdict:
    """Compare the requests of clients with the attempts that reached the servers.

    Args:
        requests: Requests of all clients.
        arrivals: Attempts that reached each server, by its name.
        classes: Request classes by name.
        fault_intervals: Intervals in which lost requests of a client are excused.
        out_of_service: Intervals in which a server must not be used.
        hedged: Whether the settings allow a second attempt beside the first.
    """
    verdict = Verdict()
    reached: dict[str, list[tuple[str, Arrived]]] = {}
    for server, all_of in arrivals.items():
        for arrival in all_of:
            reached.setdefault(arrival.ident, []).append((server, arrival))
    excused = list(fault_intervals)
    for request in requests:
        verdict.counts[request.end] = verdict.counts.get(request.end, 0) + 1
        tries = reached.get(request.ident, [])
        lost = request.end in (RequestEnd.LOST, RequestEnd.LATE, RequestEnd.OPEN) or (
            request.end is RequestEnd.CROSSED and bool(tries)
        )
        if lost and _is_excused(request, excused):
            verdict.excused += 1
        elif lost:
            verdict.lost.append(request.ident)
        verdict.violations += _violations(request, tries, classes[request.cls], hedged)
    by_ident = {request.ident: request for request in requests}
    for interval in out_of_service:
        for arrival in arrivals.get(interval.server, ()):
            of = by_ident.get(arrival.ident)
            if (
                of is not None
                and of.client == interval.client
                and interval.from_s + SLACK_S < arrival.came_s < interval.until_s
            ):
                late_ms = (arrival.came_s - interval.from_s) * 1000
                verdict.violations.append(
                    f"{arrival.ident} came to {interval.server} {late_ms:.0f} ms too late"
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
    request: ClientRequest, tries: list[tuple[str, Arrived]], table: ClassTable, hedged: bool
) -> list[str]:
    found = []
    ran = sorted((arrival.began_s, server) for server, arrival in tries if arrival.began_s is not None)
    where = ", ".join(f"{server} at {at:.3f} s" for at, server in ran)
    if len(tries) > MAX_ATTEMPTS:
        found.append(f"{request.ident} was sent {len(tries)} times")
    if not hedged and any(arrival.overlaps for _, arrival in tries):
        found.append(f"{request.ident} had two attempts out at once")
    if table.effect == "unsafe" and len(ran) > 1:
        found.append(f"{request.ident} ({request.cls}) ran {len(ran)} times: {where}")
    # The window counts between arrivals: attempts that a cut has delayed run later, and cannot be cancelled.
    sent = [arrival.came_s for _, arrival in tries if arrival.began_s is not None]
    if table.effect == "keyed" and sent and max(sent) - min(sent) > table.window_ms / 1000 + SLACK_S:
        found.append(f"{request.ident} ({request.cls}) ran beyond its window: {where}")
    if request.end is RequestEnd.SERVED and (request.body != request.ident or not ran):
        found.append(f"{request.ident} was answered with {request.body!r}, and ran at: {where}")
    if request.end is RequestEnd.REFUSED and table.effect == "unsafe" and ran:
        found.append(f"{request.ident} ({request.cls}) was refused and ran: {where}")
    return found


def _measure_gap(verdict: Verdict, requests: Sequence[ClientRequest]) -> None:
    times = sorted(request.ended_s for request in requests if request.end is RequestEnd.SERVED)
    for before, after in pairwise(times):
        if after - before > verdict.gap_s:
            verdict.gap_s, verdict.gap_from_s = after - before, before


def cold_load(
    came_s: Sequence[float],
    started_s: float,
    full: float,
    share: float,
    warm_s: float,
    multiple: float = 1.0,
    span_s: float = SHORT_WINDOW_S,
) -> float:
    """Return the highest load of a warming-up server relative to the load that pushes it over.

    A server falls at N + 2 sqrt(N) + 2 requests of mean work within a window, where N is what it is allowed
    at that age (STANDING).

    Args:
        came_s: Times of the attempts that reached the server, in order, in seconds.
        started_s: Start of the server; far in the past for one that was always warm.
        full: Requests per second that the warm server can serve.
        share: Fraction of that at its start; it grows evenly to 1 within `warm_s`.
        warm_s: Seconds until the server is warm.
        multiple: Allowed load relative to the capacity at that age.
        span_s: Length of the window in seconds.
    """
    worst, first = 0.0, 0
    cold = [at_s for at_s in came_s if started_s <= at_s < started_s + warm_s]
    for last, at_s in enumerate(cold):
        while cold[first] <= at_s - span_s:
            first += 1
        able = multiple * full * span_s * (share + (1.0 - share) * (at_s - started_s) / warm_s)
        worst = max(worst, (last - first + 1) / (able + 2.0 * math.sqrt(able) + 2.0))
    return worst


@dataclass(frozen=True, slots=True)
class SlowStart:
    """Slow-start rules of the settings (WIRE, rules).

    Attributes:
        capacity_per_s: Requests of mean work per second that a warm server can serve.
        start_capacity: Fraction of that at the server's start.
        warm_s: Seconds until the server is warm.
        factor: Load relative to the capacity at an age that pushes the server over.
        span_s: Seconds for which this load must last.
    """

    capacity_per_s: float
    start_capacity: float
    warm_s: float
    factor: float
    span_s: float

    def allowed(self, age_s: float) -> float:
        """Return the requests of mean work that the settings allow in a window which ends at this age."""
        part = self.start_capacity + (1.0 - self.start_capacity) * min(age_s / self.warm_s, 1.0)
        return self.factor * self.capacity_per_s * self.span_s * part


def slow_start_budget(allowed: float) -> float:
    """Return the requests of mean work in a window that push a server over: the allowed ones and a slack."""
    root = math.sqrt(allowed)
    return allowed + 3.0 * root + 3.0 if allowed < SMALL_BUDGET_CALLS else allowed + 2.0 * root + 2.0


@dataclass(frozen=True, slots=True)
class SlowStartCall:
    """An attempt that reached a server.

    Attributes:
        came_s: Time of its arrival in seconds.
        sidecar: Number of the sidecar that sent it; -1 if unknown.
        work: Work relative to the mean request's.
        first: Whether it was the first attempt of its request.
    """

    came_s: float
    sidecar: int
    work: float = 1.0
    first: bool = True


@dataclass(frozen=True, slots=True)
class SlowStartLoad:
    """A window of a warming-up server's load.

    Attributes:
        load: Work that arrived relative to the budget; above 1 the server is pushed over.
        age_s: Age of the server at the end of the window, in seconds.
        allowed: Allowed requests of mean work, without the slack.
        calls: Number of calls that arrived.
        notified: Number of these from sidecars that had been notified of the start.
        sidecars: Number of sidecars that sent them.
        first_calls: Number of calls that were their sidecar's first to the server since its start.
        retries: Number of calls that were not the first attempt of their request.
        max_calls_per_sidecar: Number of calls of the sidecar that sent most.
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
    def falls(self) -> bool:
        """Whether the server was pushed over."""
        return self.load > 1.0

    @property
    def known(self) -> bool:
        """Whether over two thirds of the calls came from notified sidecars."""
        return self.notified > MIN_NOTIFIED_FRACTION * self.calls


def slow_start_load(
    calls: Sequence[SlowStartCall], started_s: float, rules: SlowStart, notified_s: Mapping[int, float]
) -> tuple[SlowStartLoad, SlowStartLoad]:
    """Return the worst window of all, and the worst with over two thirds of its calls from notified sidecars.

    The rule is broken if the server falls in a window of the second kind.

    Args:
        calls: Calls that reached the server, in order.
        started_s: Start of the server; far in the past for one that was always warm.
        rules: Slow-start rules of the settings.
        notified_s: Time at which each sidecar was notified of the start; absent if it never was.
    """
    worst, worst_known = SlowStartLoad(), SlowStartLoad()
    window: deque[tuple[SlowStartCall, bool, bool]] = deque()
    seen: set[int] = set()
    work, notified = 0.0, 0
    for call in calls:
        age_s = call.came_s - started_s
        if not 0.0 <= age_s < rules.warm_s:
            continue
        was_notified = call.came_s >= notified_s.get(call.sidecar, math.inf)
        window.append((call, was_notified, call.sidecar not in seen))
        seen.add(call.sidecar)
        work, notified = work + call.work, notified + was_notified
        while window[0][0].came_s <= call.came_s - rules.span_s:
            oldest, oldest_notified, _ = window.popleft()
            work, notified = work - oldest.work, notified - oldest_notified
        load = work / slow_start_budget(rules.allowed(age_s))
        known = notified > MIN_NOTIFIED_FRACTION * len(window)
        if load > worst.load or (known and load > worst_known.load):
            found = _load_of(window, load, age_s, rules.allowed(age_s), notified)
            worst = found if load > worst.load else worst
            worst_known = found if known and load > worst_known.load else worst_known
    return worst, worst_known


def _load_of(
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
        sum(opens for _, _, opens in entries),
        sum(not call.first for call, _, _ in entries),
        max(by_sidecar.values()),
    )
