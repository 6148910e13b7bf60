"""What cold servers get from many modules together, against the budget of the fourth rule.

N is what the settings allow a server over their span for overload at its capacity then: its least capacity
by `start_capacity` and `warm_within`, times `overload_factor`. All that reaches it counts, by its work in
means of the classes: first attempts, retries and hedged ones. The servers here answer at once whatever they
get, so that no slow answer helps the modules: one that accepts quickly and then collapses looks like that.
"""

import heapq
import math
import random
from collections import deque
from dataclasses import dataclass, replace

import pytest
from helpers import MS, SECOND, START_NS, make_endpoint, make_settings

from dykefold import Balancer
from dykefold.balancer.actions import Probe, Send, SetTimer
from dykefold.balancer.events import EndpointListUpdate, ListKind, Outcome, Request, Status, Timer
from dykefold.balancer.settings import Effect, RequestClass

ZONES = 3
START_CAPACITY, WARM_S, FACTOR, SPAN_S = 0.14, 22.0, 3.0, 3.0


@dataclass(frozen=True)
class Scenario:
    """One case: how many processes, and what happens on top."""

    sidecars: int
    servers: int = 12
    cold: int = 1  # servers that start together, at COLD_AT_S
    per_s: float = 15.0  # requests for each server, on the mean
    used: float = 0.85  # of the capacity of a warm server, by that
    burst: float = 0.0  # requests at once, in parts of a second's, each second, the first with the start
    failing: float = 0.0  # part of the attempts at warm servers that find no connection
    silent: float = 0.0  # ... and that are not answered
    hedged: bool = False
    apart_s: float = 0.0  # starts count as up to so much older at some sidecars
    told_s: float = 0.0  # sidecars hear of the start within this
    dear: bool = False  # a second class of nine times the work
    warm_up_s: float = 4.0
    cold_s: float = 6.0


def budget(n: float) -> float:
    """What may reach a server to which N requests are allowed."""
    return n + 2 * math.sqrt(n) + 2 if n >= 30 else n + 3 * math.sqrt(n) + 3


class ScenarioRun:
    """A day of many modules that share servers; `most` is the largest part of its budget that one got."""

    def __init__(self, day: Scenario, seed: int = 1) -> None:
        self.day, self.chance = day, random.Random(seed)
        self.queue: list = []
        self.order = 0
        self.ident = 0
        self.rate = day.per_s * day.servers
        self.cold_ns = START_NS + int(day.warm_up_s * SECOND)
        self.end_ns = self.cold_ns + int(day.cold_s * SECOND)
        self.came: dict[int, deque] = {number: deque() for number in range(day.cold)}
        self.work = dict.fromkeys(range(day.cold), 0.0)
        self.most, self.total = 0.0, 0
        spec = make_settings().classes[0]
        self.classes = [spec]
        self.took = [40 * MS]
        if day.dear:
            self.classes = [spec, RequestClass("dear", 1500 * MS, 4 * SECOND, 2.0, 0.2, Effect.SAFE)]
            self.took = [20 * MS, 180 * MS]
        self.mean = sum(self.took) / len(self.took)
        entries = [make_endpoint(n, zone=n % ZONES, cell=n // 4) for n in range(day.servers)]
        self.entries = entries
        self.made = []
        for number in range(day.sidecars):
            zone = number % ZONES
            values = make_settings(
                classes=self.classes,
                zones=["a", "b", "c"],
                zone=zone,
                fleet_size=day.sidecars,
                start_capacity=START_CAPACITY,
                warm_within_ns=int(WARM_S * SECOND),
                overload_factor=FACTOR,
                overload_for_ns=int(SPAN_S * SECOND),
                can_hedge=day.hedged,
            )
            self.made.append(Balancer(values, self.chance.getrandbits(32)))
            self._later(START_NS, number, EndpointListUpdate(ListKind.CACHED, 1, entries))

    def _later(self, when: int, number: int, event) -> None:
        self.order += 1
        heapq.heappush(self.queue, (when, self.order, number, event))

    def _notify(self) -> None:
        day = self.day
        for number in range(day.sidecars):
            told_ns = self.cold_ns + int(self.chance.uniform(0.0, day.told_s) * SECOND)
            older_ns = int(self.chance.uniform(0.0, day.apart_s) * SECOND)
            changed = [
                replace(self.entries[n], started_ns=self.cold_ns, slow_start_began_ns=told_ns - older_ns)
                for n in range(day.cold)
            ]
            self._later(told_ns, number, EndpointListUpdate(ListKind.DELTA, 2, changed))

    def _arrive(self) -> None:
        now, day = START_NS, self.day
        while now < self.end_ns:
            now += int(self.chance.expovariate(self.rate) * SECOND)
            self._request(now)
        if day.burst:
            for second in range(int(day.cold_s)):
                for _ in range(int(day.burst * self.rate)):
                    self._request(self.cold_ns + second * SECOND + self.chance.randrange(20 * MS))

    def _request(self, now: int) -> None:
        self.ident += 1
        cls = self.chance.randrange(len(self.classes))
        event = Request(self.ident, cls, 0, now + self.classes[cls].deadline_ns)
        self._later(now, self.chance.randrange(self.day.sidecars), event)

    def play(self) -> float:
        self._notify()
        self._arrive()
        cls, attempts = {}, {}
        while self.queue:
            now, _, number, event = heapq.heappop(self.queue)
            if now > self.end_ns:
                break
            if type(event) is Request:
                cls[event.id], attempts[event.id] = event.class_number, 0
            for action in self.made[number].handle(now, event):
                if type(action) is SetTimer:
                    self._later(now + action.after_ns, number, Timer(action.token))
                elif type(action) is Send:
                    self._sent(now, number, action, cls[action.id], attempts[action.id])
                    attempts[action.id] += 1
                else:
                    assert type(action) is not Probe
        return self.most

    def _sent(self, now: int, number: int, action: Send, cls: int, attempt: int) -> None:
        took = self.took[cls]
        if action.endpoint_number in self.came and now >= self.cold_ns:
            self._count(now, action.endpoint_number, took / self.mean)
            status = Status.OK
        else:
            luck = self.chance.random()
            status = Status.OK
            if luck < self.day.failing:
                status, took = Status.CONNECT_FAILED, MS
            elif luck < self.day.failing + self.day.silent:
                status, took = Status.TIMEOUT, self.classes[cls].deadline_ns
        ended = Outcome(action.id, attempt, action.endpoint_number, status, took, status is Status.OK)
        self._later(now + took, number, ended)

    def _count(self, now: int, server: int, work: float) -> None:
        came = self.came[server]
        came.append((now, work))
        self.work[server] += work
        self.total += 1
        while came[0][0] <= now - SPAN_S * SECOND:
            self.work[server] -= came.popleft()[1]
        age_s = (now - self.cold_ns) / SECOND
        part = min(START_CAPACITY + (1.0 - START_CAPACITY) * age_s / WARM_S, 1.0)
        n = FACTOR * part * self.day.per_s * (1.0 + self.day.burst) / self.day.used * SPAN_S
        self.most = max(self.most, self.work[server] / budget(n))


FEW, ALL = (1, 5, 30, 200), (1, 2, 5, 20, 30, 60, 200)
DAYS = {
    "steady": (ALL, {}),
    "fewer than 30 requests are allowed": (FEW, {"per_s": 2.5, "servers": 30}),
    "bursts, the first with the start": (FEW, {"burst": 0.5}),
    "four start together": (FEW, {"cold": 4}),
    "warm servers fail, and it is tried again": (ALL, {"failing": 0.2}),
    "hedged requests": (FEW, {"silent": 0.05, "hedged": True}),
    "clocks a second apart": (FEW, {"apart_s": 1.0}),
    "told within two seconds": (FEW, {"told_s": 2.0}),
    "work of two sizes": (FEW, {"dear": True}),
    "all at once": (
        FEW,
        {"cold": 3, "burst": 0.5, "failing": 0.1, "silent": 0.05, "hedged": True, "apart_s": 1.0},
    ),
}


@pytest.mark.parametrize(
    "name, sidecars", [(name, sidecars) for name, (counts, _) in DAYS.items() for sidecars in counts]
)
def test_cold_servers_get_no_more_than_their_budget(name, sidecars):
    """An answer gave back more than the request had cost: one answer, and a process was paced no more."""
    assert ScenarioRun(Scenario(sidecars=sidecars, **DAYS[name][1])).play() <= 1.0


@pytest.mark.parametrize("sidecars", ALL)
def test_cold_servers_are_not_left_idle(sidecars):
    """The other side: with a fleet of any size each gets something within seconds of its start."""
    day = ScenarioRun(Scenario(sidecars=sidecars, servers=40, cold=8, warm_up_s=3.0))
    day.play()
    assert sum(bool(came) for came in day.came.values()) >= 7
