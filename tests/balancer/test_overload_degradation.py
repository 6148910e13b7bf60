"""Servers that a crowd wears, and what the limit makes of it.

A small fleet of four-core servers in virtual time: one that has had more than `WORN_AT` requests for each
core waiting for `WORN_AFTER` turns `WORN` times slower until it has been nearly idle for `RESTED`.
"""

import heapq
import random

from helpers import MS, SECOND, START_NS, make_balancer, make_endpoint

from dykefold.balancer.actions import Send, SetTimer
from dykefold.balancer.events import Outcome, Request, Status, Timer
from dykefold.balancer.settings import Effect, RequestClass

CORES = 4
WORK_S = 0.12  # mean of an exponential distribution
WORN_AT = 2.5  # waiting for each core
WORN_AFTER = 1500 * MS
WORN = 2.7
RESTED = 3 * SECOND
CLASSES = [
    RequestClass("lookup", 1200 * MS, 6 * SECOND, 1.0, 0.0, Effect.SAFE),
    RequestClass("post", 750 * MS, 1500 * MS, 3.0, 0.0, Effect.UNSAFE),
]


class Worker:
    """One server: a queue before its cores."""

    def __init__(self):
        self.waiting = []
        self.running = 0
        self.crowded_since = None
        self.idle_since = None
        self.worn = False
        self.times_worn = 0

    def judge(self, now):
        if len(self.waiting) <= WORN_AT * CORES:
            self.crowded_since = None
        elif self.crowded_since is None:
            self.crowded_since = now
        elif now - self.crowded_since >= WORN_AFTER and not self.worn:
            self.worn = True
            self.times_worn += 1
        if self.running > 1:
            self.idle_since = None
        elif self.idle_since is None:
            self.idle_since = now
        elif now - self.idle_since >= RESTED:
            self.worn = False


class Fleet:
    """Sidecars that share servers; requests arrive as a Poisson process and are not asked again."""

    def __init__(self, sidecars=4, servers=8, seed=1):
        entries = [make_endpoint(100 + n) for n in range(servers)]
        self.random = random.Random(seed)
        self.balancers = [
            make_balancer(endpoints=entries, classes=CLASSES, seed=n, fleet_size=sidecars, index=n)[0]
            for n in range(sidecars)
        ]
        self.workers = {entry.number: Worker() for entry in entries}
        self.now = START_NS
        self.events = []
        self.tie = 0
        self.ident = 0
        self.served = self.offered = 0

    def at(self, when, call, *args):
        self.tie += 1
        heapq.heappush(self.events, (when, self.tie, call, args))

    def tell(self, sidecar, event):
        for action in self.balancers[sidecar].handle(self.now, event):
            if isinstance(action, SetTimer):
                self.at(self.now + action.after_ns, self.tell, sidecar, Timer(action.token))
            elif isinstance(action, Send):
                self.arrive(sidecar, action.id, action.endpoint_number)

    def arrive(self, sidecar, ident, server):
        worker = self.workers[server]
        worker.waiting.append((sidecar, ident, self.now))
        self.begin(server)

    def begin(self, server):
        worker = self.workers[server]
        worker.judge(self.now)
        while worker.waiting and worker.running < CORES:
            worker.running += 1
            work = self.random.expovariate(1 / WORK_S) * (WORN if worker.worn else 1.0)
            self.at(self.now + int(work * SECOND), self.end, server, worker.waiting.pop(0))

    def end(self, server, item):
        sidecar, ident, sent = item
        self.workers[server].running -= 1
        self.begin(server)
        open_ = self.balancers[sidecar].pending.get(ident)
        took = self.now - sent
        self.served += open_ is not None and took <= open_.spec.objective_ns
        self.tell(sidecar, Outcome(ident, 0, server, Status.OK, took, open_ is not None))

    def run(self, seconds, load):
        """Offer this part of what the rested fleet can do; the share that was answered within its aim."""
        self.served = self.offered = 0
        per_s = load * len(self.workers) * CORES / WORK_S
        end = self.now + int(seconds * SECOND)
        arrival = self.now
        while arrival < end:
            arrival += int(self.random.expovariate(per_s) * SECOND)
            while self.events and self.events[0][0] <= arrival:
                self.now, _, call, args = heapq.heappop(self.events)
                call(*args)
            self.now = arrival
            self.ident += 1
            self.offered += 1
            cls = self.ident % 2
            due = self.now + CLASSES[cls].deadline_ns
            self.tell(self.ident % len(self.balancers), Request(self.ident, cls, 0, due))
        return self.served / self.offered


def test_an_overload_from_the_start_wears_no_server():
    """The fleet was kept at half the aim, some requests waiting for each core: most servers were worn."""
    fleet = Fleet()
    fleet.run(4, 1.3)
    assert fleet.run(10, 1.3) > 0.6
    assert sum(worker.times_worn for worker in fleet.workers.values()) == 0


def test_a_fleet_within_what_it_can_do_refuses_nearly_nothing():
    fleet = Fleet()
    assert fleet.run(15, 0.7) > 0.97
