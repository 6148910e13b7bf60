"""The four rules over a fleet, judged by what servers did and desks got. No I/O.

What a process held when it was killed is its clients' to ask again, and one that was stopped can't answer
meanwhile: the rig tells which desks that excuses, and when. Nothing excuses an effect that happens twice.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from itertools import pairwise
from typing import Protocol

from ..scenario import ClassTable
from .desk import Asked, End

SLACK_S = 0.05  # each time limit is longer by that on sockets (PROTOCOL)
ATTEMPTS_MOST = 3
COLD_S = 0.5  # over which the load of a cold server is looked at
SMALL_CALLS = 30.0  # allowed calls below which the budget's slack for chance is wider (STANDING.md)
NOTIFIED_SHARE = 2 / 3  # a fall breaks the rule if more of its calls than that knew of the start


class Arrived(Protocol):
    """An attempt that reached a server; `began_s` is None if it never ran."""

    ident: str
    cls: str
    came_s: float
    began_s: float | None
    overlaps: bool


@dataclass(frozen=True, slots=True)
class Excuse:
    """A desk whose sidecar was killed, or stood still, in this time."""

    desk: int
    from_s: float
    until_s: float


@dataclass(frozen=True, slots=True)
class Ban:
    """A server that the sidecar of a desk is to leave alone in this time, its grace included."""

    desk: int
    server: str
    from_s: float
    until_s: float = float("inf")


@dataclass(slots=True)
class Verdict:
    """What a run shows.

    Attributes:
        counts: of requests by how they ended.
        lost: requests that were taken and had no whole answer in time, with no excuse.
        excused: ... with one.
        violations: of the other rules, a line each.
        gap_s: the longest time between two served answers.
        gap_from_s: when that began.
    """

    counts: dict[str, int] = field(default_factory=dict)
    lost: list[str] = field(default_factory=list)
    excused: int = 0
    violations: list[str] = field(default_factory=list)
    gap_s: float = 0.0
    gap_from_s: float = 0.0

    @property
    def broken(self) -> list[str]:
        """Every rule that was broken."""
        return [f"{ident} was lost" for ident in self.lost] + self.violations


def judge(
    asked: Sequence[Asked],
    arrivals: Mapping[str, Sequence[Arrived]],
    classes: Mapping[str, ClassTable],
    excuses: Iterable[Excuse] = (),
    bans: Iterable[Ban] = (),
    hedged: bool = False,
) -> Verdict:
    """Put together what desks asked and got with what reached the servers, by their names.

    Args:
        hedged: whether the settings allow a second attempt beside the first.
    """
    verdict = Verdict()
    reached: dict[str, list[tuple[str, Arrived]]] = {}
    for server, all_of in arrivals.items():
        for arrival in all_of:
            reached.setdefault(arrival.ident, []).append((server, arrival))
    excused = list(excuses)
    for one in asked:
        verdict.counts[one.end] = verdict.counts.get(one.end, 0) + 1
        tries = reached.get(one.ident, [])
        lost = one.end in (End.LOST, End.LATE, End.OPEN) or (one.end is End.CROSSED and bool(tries))
        if lost and _is_excused(one, excused):
            verdict.excused += 1
        elif lost:
            verdict.lost.append(one.ident)
        verdict.violations += _violations(one, tries, classes[one.cls], hedged)
    by_ident = {one.ident: one for one in asked}
    for ban in bans:
        for arrival in arrivals.get(ban.server, ()):
            of = by_ident.get(arrival.ident)
            if of is not None and of.desk == ban.desk and ban.from_s + SLACK_S < arrival.came_s < ban.until_s:
                late_ms = (arrival.came_s - ban.from_s) * 1000
                verdict.violations.append(f"{arrival.ident} came to {ban.server} {late_ms:.0f} ms too late")
    _measure_gap(verdict, asked)
    return verdict


def _is_excused(one: Asked, excuses: list[Excuse]) -> bool:
    ended_s = one.ended_s if one.ended_s >= 0 else float("inf")
    return any(
        one.desk == excuse.desk and one.sent_s <= excuse.until_s and ended_s >= excuse.from_s
        for excuse in excuses
    )


def _violations(one: Asked, tries: list[tuple[str, Arrived]], table: ClassTable, hedged: bool) -> list[str]:
    found = []
    ran = sorted((arrival.began_s, server) for server, arrival in tries if arrival.began_s is not None)
    where = ", ".join(f"{server} at {at:.3f} s" for at, server in ran)
    if len(tries) > ATTEMPTS_MOST:
        found.append(f"{one.ident} was sent {len(tries)} times")
    if not hedged and any(arrival.overlaps for _, arrival in tries):
        found.append(f"{one.ident} had two attempts out at once")
    if table.effect == "unsafe" and len(ran) > 1:
        found.append(f"{one.ident} ({one.cls}) ran {len(ran)} times: {where}")
    # The window is between sends: what a cut has held back runs when it will, and nobody can call it off.
    sent = [arrival.came_s for _, arrival in tries if arrival.began_s is not None]
    if table.effect == "keyed" and sent and max(sent) - min(sent) > table.window_ms / 1000 + SLACK_S:
        found.append(f"{one.ident} ({one.cls}) ran beyond its window: {where}")
    if one.end is End.SERVED and (one.body != one.ident or not ran):
        found.append(f"{one.ident} was answered with {one.body!r}, and ran at: {where}")
    if one.end is End.REFUSED and table.effect == "unsafe" and ran:
        found.append(f"{one.ident} ({one.cls}) was refused and ran: {where}")
    return found


def _measure_gap(verdict: Verdict, asked: Sequence[Asked]) -> None:
    times = sorted(one.ended_s for one in asked if one.end is End.SERVED)
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
    span_s: float = COLD_S,
) -> float:
    """How near a server that started anew came to being pushed over; 1 is over.

    It falls by N + 2 sqrt(N) + 2 requests of mean work within a span, N being what it is allowed then.

    Args:
        came_s: of the attempts that reached it, in order.
        started_s: when it started; long ago for one that was warm all the time.
        full: requests a second that it can do when warm.
        share: of that, what it can do at its start; all of it `warm_s` later.
        multiple: of what it can do then, that it is allowed.
        span_s: over which that counts.
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
    """What the settings tell of a server that has started (WIRE, rules).

    Attributes:
        full: requests of mean work that it can do a second when warm.
        start_capacity: of that, what it can do at its start.
        warm_s: until it can do all of it.
        factor: times what it can do then, that it may be sent ...
        span_s: ... for so long, before it falls.
    """

    full: float
    start_capacity: float
    warm_s: float
    factor: float
    span_s: float

    def allowed(self, age_s: float) -> float:
        """Requests of mean work that the settings allow in a span which ends at this age."""
        part = self.start_capacity + (1.0 - self.start_capacity) * min(age_s / self.warm_s, 1.0)
        return self.factor * self.full * self.span_s * part


def slow_start_budget(allowed: float) -> float:
    """Requests of mean work in a span that push a server over: what is allowed, and slack for chance."""
    root = math.sqrt(allowed)
    return allowed + 3.0 * root + 3.0 if allowed < SMALL_CALLS else allowed + 2.0 * root + 2.0


@dataclass(frozen=True, slots=True)
class SlowStartCall:
    """An attempt as a server counted it.

    Attributes:
        came_s: when.
        sidecar: who sent it; -1 if nobody knows.
        work: against the mean request's.
        first: whether it was its request's first attempt.
    """

    came_s: float
    sidecar: int
    work: float = 1.0
    first: bool = True


@dataclass(frozen=True, slots=True)
class SlowStartLoad:
    """The span in which a starting server came nearest to its fall.

    Attributes:
        load: work that came, against the budget; over 1 pushes the server over.
        age_s: of the server, at the end of the span.
        allowed: requests of mean work, without the slack.
        calls: that came.
        notified: ... of these, from sidecars that were notified of the start.
        sidecars: that sent them.
        openers: calls that were their sidecar's first to the server since its start.
        repeats: calls that were not their request's first attempt.
        most: calls of the sidecar that sent most.
    """

    load: float = 0.0
    age_s: float = 0.0
    allowed: float = 0.0
    calls: int = 0
    notified: int = 0
    sidecars: int = 0
    openers: int = 0
    repeats: int = 0
    most: int = 0

    @property
    def falls(self) -> bool:
        """Whether the server was pushed over."""
        return self.load > 1.0

    @property
    def known(self) -> bool:
        """Whether over two thirds of the calls came from sidecars that were notified."""
        return self.notified > NOTIFIED_SHARE * self.calls


def slow_start_load(
    calls: Sequence[SlowStartCall], started_s: float, rules: SlowStart, notified_s: Mapping[int, float]
) -> tuple[SlowStartLoad, SlowStartLoad]:
    """The worst span of all, and the worst of which over two thirds knew: the rule is broken if that falls.

    Args:
        calls: that reached the server, in order.
        started_s: when it started; long ago for one that was warm all the time.
        notified_s: when each sidecar was notified of that start; who is missing never was.
    """
    worst, worst_known = SlowStartLoad(), SlowStartLoad()
    window: deque[tuple[SlowStartCall, bool, bool]] = deque()
    seen: set[int] = set()
    work, notified = 0.0, 0
    for call in calls:
        age_s = call.came_s - started_s
        if not 0.0 <= age_s < rules.warm_s:
            continue
        knew = call.came_s >= notified_s.get(call.sidecar, math.inf)
        window.append((call, knew, call.sidecar not in seen))
        seen.add(call.sidecar)
        work, notified = work + call.work, notified + knew
        while window[0][0].came_s <= call.came_s - rules.span_s:
            gone, gone_knew, _ = window.popleft()
            work, notified = work - gone.work, notified - gone_knew
        load = work / slow_start_budget(rules.allowed(age_s))
        known = notified > NOTIFIED_SHARE * len(window)
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
