"""The load that many balancers together send to endpoints in slow start, against the budget of rule 4.

N is the number of requests that the settings allow an endpoint in the span `overload_for`: its minimum
capacity at that age, by `start_capacity` and `warm_within`, times `overload_factor`. Every attempt that
reaches it counts with its work relative to the mean of the classes: first attempts, retries and hedged
requests. The endpoints in slow start answer all attempts without queueing, so that no slow response helps
the balancers: an endpoint that accepts quickly and then collapses looks like this.
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
START_CAPACITY, WARM_S, OVERLOAD_FACTOR, SPAN_S = 0.14, 22.0, 3.0, 3.0


@dataclass(frozen=True)
class Scenario:
    """The sidecars, endpoints and faults of one run.

    Attributes:
        sidecars: Number of sidecars.
        endpoints: Number of endpoints.
        starting_endpoints: Number of endpoints that start together, `lead_s` after the beginning of the run.
        requests_per_s: Mean requests per second for each endpoint.
        utilization: Fraction of a warm endpoint's capacity that this rate uses.
        burst_fraction: Size of the burst in each second relative to the requests of a second; the first burst
            is at the start.
        failing_fraction: Fraction of the attempts at warm endpoints that cannot connect.
        unanswered_fraction: Fraction of the attempts at warm endpoints that are not answered.
        can_hedge: Whether hedged requests are allowed.
        max_clock_difference_s: Maximum in seconds by which a sidecar takes the start for older than it is.
        max_notification_delay_s: Maximum delay in seconds until a sidecar is notified of the start.
        has_expensive_class: Whether there is a second class, of nine times the work.
        lead_s: Seconds before the start.
        observed_s: Seconds from the start to the end of the run.
    """

    sidecars: int
    endpoints: int = 12
    starting_endpoints: int = 1
    requests_per_s: float = 15.0
    utilization: float = 0.85
    burst_fraction: float = 0.0
    failing_fraction: float = 0.0
    unanswered_fraction: float = 0.0
    can_hedge: bool = False
    max_clock_difference_s: float = 0.0
    max_notification_delay_s: float = 0.0
    has_expensive_class: bool = False
    lead_s: float = 4.0
    observed_s: float = 6.0


def request_budget(allowed_requests: float) -> float:
    """Return the number of requests that may reach an endpoint to which `allowed_requests` are allowed."""
    return (
        allowed_requests + 2 * math.sqrt(allowed_requests) + 2
        if allowed_requests >= 30
        else allowed_requests + 3 * math.sqrt(allowed_requests) + 3
    )


class ScenarioRun:
    """Run a scenario of many balancers that share endpoints.

    Attributes:
        max_budget_use: Maximum over the endpoints in slow start of work received relative to the budget.
        attempt_count: Number of attempts that reached these endpoints after their start.
    """

    def __init__(self, scenario: Scenario, seed: int = 1) -> None:
        self.scenario, self.random = scenario, random.Random(seed)
        self.events: list = []
        self.event_order = 0
        self.last_request_id = 0
        self.requests_per_s = scenario.requests_per_s * scenario.endpoints
        self.started_ns = START_NS + int(scenario.lead_s * SECOND)
        self.end_ns = self.started_ns + int(scenario.observed_s * SECOND)
        self.arrivals: dict[int, deque] = {
            endpoint: deque() for endpoint in range(scenario.starting_endpoints)
        }
        self.recent_work = dict.fromkeys(range(scenario.starting_endpoints), 0.0)
        self.max_budget_use, self.attempt_count = 0.0, 0
        request_class = make_settings().classes[0]
        self.classes = [request_class]
        self.latencies_ns = [40 * MS]
        if scenario.has_expensive_class:
            self.classes = [
                request_class,
                RequestClass("expensive", 1500 * MS, 4 * SECOND, 2.0, 0.2, Effect.SAFE),
            ]
            self.latencies_ns = [20 * MS, 180 * MS]
        self.mean_latency_ns = sum(self.latencies_ns) / len(self.latencies_ns)
        entries = [make_endpoint(n, zone=n % ZONES, cell=n // 4) for n in range(scenario.endpoints)]
        self.entries = entries
        self.balancers = []
        for sidecar in range(scenario.sidecars):
            zone = sidecar % ZONES
            balancer_settings = make_settings(
                classes=self.classes,
                zones=["a", "b", "c"],
                zone=zone,
                fleet_size=scenario.sidecars,
                start_capacity=START_CAPACITY,
                warm_within_ns=int(WARM_S * SECOND),
                overload_factor=OVERLOAD_FACTOR,
                overload_for_ns=int(SPAN_S * SECOND),
                can_hedge=scenario.can_hedge,
            )
            self.balancers.append(Balancer(balancer_settings, self.random.getrandbits(32)))
            self._schedule(START_NS, sidecar, EndpointListUpdate(ListKind.CACHED, 1, entries))

    def _schedule(self, at_ns: int, sidecar: int, event) -> None:
        self.event_order += 1
        heapq.heappush(self.events, (at_ns, self.event_order, sidecar, event))

    def _notify(self) -> None:
        scenario = self.scenario
        for sidecar in range(scenario.sidecars):
            notified_ns = self.started_ns + int(
                self.random.uniform(0.0, scenario.max_notification_delay_s) * SECOND
            )
            clock_difference_ns = int(self.random.uniform(0.0, scenario.max_clock_difference_s) * SECOND)
            changed = [
                replace(
                    self.entries[n],
                    started_ns=self.started_ns,
                    slow_start_began_ns=notified_ns - clock_difference_ns,
                )
                for n in range(scenario.starting_endpoints)
            ]
            self._schedule(notified_ns, sidecar, EndpointListUpdate(ListKind.DELTA, 2, changed))

    def _schedule_requests(self) -> None:
        now_ns, scenario = START_NS, self.scenario
        while now_ns < self.end_ns:
            now_ns += int(self.random.expovariate(self.requests_per_s) * SECOND)
            self._schedule_request(now_ns)
        if scenario.burst_fraction:
            for second in range(int(scenario.observed_s)):
                for _ in range(int(scenario.burst_fraction * self.requests_per_s)):
                    self._schedule_request(self.started_ns + second * SECOND + self.random.randrange(20 * MS))

    def _schedule_request(self, now_ns: int) -> None:
        self.last_request_id += 1
        class_number = self.random.randrange(len(self.classes))
        event = Request(
            self.last_request_id, class_number, 0, now_ns + self.classes[class_number].deadline_ns
        )
        self._schedule(now_ns, self.random.randrange(self.scenario.sidecars), event)

    def run(self) -> float:
        self._notify()
        self._schedule_requests()
        class_numbers, attempt_numbers = {}, {}
        while self.events:
            now_ns, _, sidecar, event = heapq.heappop(self.events)
            if now_ns > self.end_ns:
                break
            if type(event) is Request:
                class_numbers[event.id], attempt_numbers[event.id] = event.class_number, 0
            for action in self.balancers[sidecar].handle(now_ns, event):
                if type(action) is SetTimer:
                    self._schedule(now_ns + action.after_ns, sidecar, Timer(action.token))
                elif type(action) is Send:
                    self._handle_attempt(
                        now_ns, sidecar, action, class_numbers[action.id], attempt_numbers[action.id]
                    )
                    attempt_numbers[action.id] += 1
                else:
                    assert type(action) is not Probe
        return self.max_budget_use

    def _handle_attempt(
        self, now_ns: int, sidecar: int, action: Send, class_number: int, attempt: int
    ) -> None:
        latency_ns = self.latencies_ns[class_number]
        if action.endpoint_number in self.arrivals and now_ns >= self.started_ns:
            self._count_arrival(now_ns, action.endpoint_number, latency_ns / self.mean_latency_ns)
            status = Status.OK
        else:
            draw = self.random.random()
            status = Status.OK
            if draw < self.scenario.failing_fraction:
                status, latency_ns = Status.CONNECT_FAILED, MS
            elif draw < self.scenario.failing_fraction + self.scenario.unanswered_fraction:
                status, latency_ns = Status.TIMEOUT, self.classes[class_number].deadline_ns
        outcome = Outcome(action.id, attempt, action.endpoint_number, status, latency_ns, status is Status.OK)
        self._schedule(now_ns + latency_ns, sidecar, outcome)

    def _count_arrival(self, now_ns: int, endpoint_number: int, work: float) -> None:
        arrivals = self.arrivals[endpoint_number]
        arrivals.append((now_ns, work))
        self.recent_work[endpoint_number] += work
        self.attempt_count += 1
        while arrivals[0][0] <= now_ns - SPAN_S * SECOND:
            self.recent_work[endpoint_number] -= arrivals.popleft()[1]
        age_s = (now_ns - self.started_ns) / SECOND
        capacity_fraction = min(START_CAPACITY + (1.0 - START_CAPACITY) * age_s / WARM_S, 1.0)
        allowed_requests = (
            OVERLOAD_FACTOR
            * capacity_fraction
            * self.scenario.requests_per_s
            * (1.0 + self.scenario.burst_fraction)
            / self.scenario.utilization
            * SPAN_S
        )
        self.max_budget_use = max(
            self.max_budget_use, self.recent_work[endpoint_number] / request_budget(allowed_requests)
        )


FEW_SIDECAR_COUNTS, ALL_SIDECAR_COUNTS = (1, 5, 30, 200), (1, 2, 5, 20, 30, 60, 200)
SCENARIOS = {
    "steady": (ALL_SIDECAR_COUNTS, {}),
    "fewer than 30 allowed requests": (FEW_SIDECAR_COUNTS, {"requests_per_s": 2.5, "endpoints": 30}),
    "bursts, the first at the start": (FEW_SIDECAR_COUNTS, {"burst_fraction": 0.5}),
    "four endpoints start together": (FEW_SIDECAR_COUNTS, {"starting_endpoints": 4}),
    "retries after failures of warm endpoints": (ALL_SIDECAR_COUNTS, {"failing_fraction": 0.2}),
    "hedged requests": (FEW_SIDECAR_COUNTS, {"unanswered_fraction": 0.05, "can_hedge": True}),
    "clocks differ by up to a second": (FEW_SIDECAR_COUNTS, {"max_clock_difference_s": 1.0}),
    "notified within two seconds": (FEW_SIDECAR_COUNTS, {"max_notification_delay_s": 2.0}),
    "two classes of different work": (FEW_SIDECAR_COUNTS, {"has_expensive_class": True}),
    "all faults together": (
        FEW_SIDECAR_COUNTS,
        {
            "starting_endpoints": 3,
            "burst_fraction": 0.5,
            "failing_fraction": 0.1,
            "unanswered_fraction": 0.05,
            "can_hedge": True,
            "max_clock_difference_s": 1.0,
        },
    ),
}


@pytest.mark.parametrize(
    "scenario_name, sidecars",
    [
        (scenario_name, sidecars)
        for scenario_name, (sidecar_counts, _) in SCENARIOS.items()
        for sidecars in sidecar_counts
    ],
)
def test_warming_up_endpoints_get_no_more_than_their_budget(scenario_name, sidecars):
    """Guards against a response that earns more than its request cost: one response lifted the limit."""
    assert ScenarioRun(Scenario(sidecars=sidecars, **SCENARIOS[scenario_name][1])).run() <= 1.0


@pytest.mark.parametrize("sidecars", ALL_SIDECAR_COUNTS)
def test_warming_up_endpoints_are_not_left_idle(sidecars):
    """Guards against too strict limits: in a fleet of any size endpoints get requests within seconds."""
    scenario_run = ScenarioRun(Scenario(sidecars=sidecars, endpoints=40, starting_endpoints=8, lead_s=3.0))
    scenario_run.run()
    assert sum(bool(arrivals) for arrivals in scenario_run.arrivals.values()) >= 7
