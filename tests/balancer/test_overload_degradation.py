"""Endpoints that slow down under overload, and the concurrency limit that prevents it.

A small fleet of four-core endpoints in virtual time. An endpoint on which more than `MAX_WAITING_PER_CORE`
requests per core have waited for `DEGRADE_AFTER_NS` becomes slower by `DEGRADED_WORK_FACTOR` until it has
been nearly idle for `RECOVER_AFTER_NS`.
"""

import heapq
import random

from helpers import MS, SECOND, START_NS, make_balancer, make_endpoint

from dykefold.balancer.actions import Send, SetTimer
from dykefold.balancer.events import Outcome, Request, Status, Timer
from dykefold.balancer.settings import Effect, RequestClass

CORES = 4
MEAN_WORK_S = 0.12  # of an exponential distribution
MAX_WAITING_PER_CORE = 2.5  # requests
DEGRADE_AFTER_NS = 1500 * MS
DEGRADED_WORK_FACTOR = 2.7
RECOVER_AFTER_NS = 3 * SECOND
CLASSES = [
    RequestClass("lookup", 1200 * MS, 6 * SECOND, 1.0, 0.0, Effect.SAFE),
    RequestClass("post", 750 * MS, 1500 * MS, 3.0, 0.0, Effect.UNSAFE),
]


class SimulatedEndpoint:
    """An endpoint with a queue in front of its cores."""

    def __init__(self):
        self.waiting = []
        self.running = 0
        self.crowded_since_ns = None
        self.idle_since_ns = None
        self.degraded = False
        self.degradations = 0

    def update_state(self, now_ns):
        if len(self.waiting) <= MAX_WAITING_PER_CORE * CORES:
            self.crowded_since_ns = None
        elif self.crowded_since_ns is None:
            self.crowded_since_ns = now_ns
        elif now_ns - self.crowded_since_ns >= DEGRADE_AFTER_NS and not self.degraded:
            self.degraded = True
            self.degradations += 1
        if self.running > 1:
            self.idle_since_ns = None
        elif self.idle_since_ns is None:
            self.idle_since_ns = now_ns
        elif now_ns - self.idle_since_ns >= RECOVER_AFTER_NS:
            self.degraded = False


class Fleet:
    """Sidecars that share endpoints; requests arrive as a Poisson process, without client retries."""

    def __init__(self, sidecar_count=4, endpoint_count=8, seed=1):
        entries = [make_endpoint(100 + n) for n in range(endpoint_count)]
        self.random = random.Random(seed)
        self.balancers = [
            make_balancer(endpoints=entries, classes=CLASSES, seed=n, fleet_size=sidecar_count, index=n)[0]
            for n in range(sidecar_count)
        ]
        self.endpoints = {entry.number: SimulatedEndpoint() for entry in entries}
        self.now_ns = START_NS
        self.events = []
        self.event_order = 0
        self.last_request_id = 0
        self.served = self.offered = 0

    def schedule(self, at_ns, callback, *args):
        self.event_order += 1
        heapq.heappush(self.events, (at_ns, self.event_order, callback, args))

    def handle_event(self, sidecar, event):
        for action in self.balancers[sidecar].handle(self.now_ns, event):
            if isinstance(action, SetTimer):
                self.schedule(self.now_ns + action.after_ns, self.handle_event, sidecar, Timer(action.token))
            elif isinstance(action, Send):
                self.receive_attempt(sidecar, action.id, action.endpoint_number)

    def receive_attempt(self, sidecar, request_id, endpoint_number):
        endpoint = self.endpoints[endpoint_number]
        endpoint.waiting.append((sidecar, request_id, self.now_ns))
        self.start_waiting_requests(endpoint_number)

    def start_waiting_requests(self, endpoint_number):
        endpoint = self.endpoints[endpoint_number]
        endpoint.update_state(self.now_ns)
        while endpoint.waiting and endpoint.running < CORES:
            endpoint.running += 1
            work_s = self.random.expovariate(1 / MEAN_WORK_S) * (
                DEGRADED_WORK_FACTOR if endpoint.degraded else 1.0
            )
            self.schedule(
                self.now_ns + int(work_s * SECOND),
                self.finish_attempt,
                endpoint_number,
                endpoint.waiting.pop(0),
            )

    def finish_attempt(self, endpoint_number, waiting_attempt):
        sidecar, request_id, sent_ns = waiting_attempt
        self.endpoints[endpoint_number].running -= 1
        self.start_waiting_requests(endpoint_number)
        pending_request = self.balancers[sidecar].pending.get(request_id)
        latency_ns = self.now_ns - sent_ns
        self.served += pending_request is not None and latency_ns <= pending_request.spec.objective_ns
        self.handle_event(
            sidecar,
            Outcome(request_id, 0, endpoint_number, Status.OK, latency_ns, pending_request is not None),
        )

    def run(self, seconds, load_fraction):
        """Offer load for a time.

        Args:
            seconds: Duration in seconds.
            load_fraction: Offered load relative to the capacity of the fleet without degraded endpoints.

        Returns:
            The fraction of the requests that were answered within their latency objective.
        """
        self.served = self.offered = 0
        requests_per_s = load_fraction * len(self.endpoints) * CORES / MEAN_WORK_S
        end_ns = self.now_ns + int(seconds * SECOND)
        arrival_ns = self.now_ns
        while arrival_ns < end_ns:
            arrival_ns += int(self.random.expovariate(requests_per_s) * SECOND)
            while self.events and self.events[0][0] <= arrival_ns:
                self.now_ns, _, callback, args = heapq.heappop(self.events)
                callback(*args)
            self.now_ns = arrival_ns
            self.last_request_id += 1
            self.offered += 1
            class_number = self.last_request_id % 2
            deadline_ns = self.now_ns + CLASSES[class_number].deadline_ns
            self.handle_event(
                self.last_request_id % len(self.balancers),
                Request(self.last_request_id, class_number, 0, deadline_ns),
            )
        return self.served / self.offered


def test_overload_from_the_start_degrades_no_endpoint():
    """Guards against a limit that keeps the fleet at half the latency objective.

    Some requests waited for each core then, and most endpoints degraded.
    """
    fleet = Fleet()
    fleet.run(4, 1.3)
    assert fleet.run(10, 1.3) > 0.6
    assert sum(endpoint.degradations for endpoint in fleet.endpoints.values()) == 0


def test_load_within_capacity_is_almost_all_answered_in_time():
    fleet = Fleet()
    assert fleet.run(15, 0.7) > 0.97
