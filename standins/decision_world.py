"""Seeded simulated environments for one balancer; hashes of its actions detect changed decisions.

A world uses only the balancer's events and actions, never its state, so a seed tests every version of the
balancer alike: `play` returns a hash of all actions in order and of the final state of the balancer's random
generator. The worlds guarantee what the network code guarantees (an attempt ends once, and not before it is
sent) and draw the rest at random: servers that queue, slow down under load, hang, drain, restart, reject
and lose answers; clients that retry with and without the retry mark; endpoint lists that are delayed, broken,
cached or changed by operators; peers, streams, probes, changed settings, and gaps of hours to days without
any request.
"""

from __future__ import annotations

import hashlib
import heapq
import random
import struct
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from dykefold import Balancer
from dykefold.balancer.actions import (
    Action,
    Cancel,
    Fail,
    Log,
    Probe,
    Reject,
    ReportEndpointHealth,
    Send,
    SendToPeer,
    SetTimer,
    Watch,
)
from dykefold.balancer.events import (
    BodySent,
    ClientDisconnected,
    Endpoint,
    EndpointListUpdate,
    Event,
    ListKind,
    MembershipChanged,
    Outcome,
    PeerMessage,
    ProbeResult,
    Request,
    SettingsChanged,
    State,
    Status,
    StreamStarted,
    Timer,
)
from dykefold.balancer.settings import Effect, RequestClass, Scope, Settings, Tenant

MS = 1_000_000
SECOND = 1_000 * MS
HOUR = 3_600 * SECOND
START_NS = 1_000 * SECOND
OTHER_CLOCK_OFFSET_NS = 1_700_000_000 * SECOND
ZONES = ("a", "b", "c")
INVALID_LOADS = (float("nan"), float("inf"), -1.0)
FAULTS = (
    Status.ERROR,
    Status.FULL,
    Status.TIMEOUT,
    Status.CONNECT_FAILED,
    Status.RESET,
    Status.NOT_ATTEMPTED,
)


@dataclass(frozen=True)
class Profile:
    """Parameters of a world; times in milliseconds.

    Attributes:
        settings: Fixed settings, which replace the drawn ones.
        servers: Initial number of listed endpoints; more may be added.
        rate: Requests per second before surges.
        service_ms: Mean service time in milliseconds of an endpoint with one open request.
        slots: Number of requests that an endpoint serves at once before it slows down.
        fault_rate: Fraction of the attempts that end with a random fault.
        tick_ms: Period in milliseconds to whose multiples event times are rounded up; 0 for no rounding.
        streams: Fraction of the successful attempts with a streamed body or answer.
        fleet_view: Whether the balancer is notified of changes of the membership.
        settings_changes: Whether settings change during the run.
        long_gaps: Whether hours and days pass without a request.
        peer_ms: Mean milliseconds between messages of peers.
        shifting_timeouts: Whether clients use half of the deadline in every other period of 2 s.
        other_clock: Whether start times are reported on another clock than the balancer's.
    """

    settings: Mapping[str, Any] = field(default_factory=dict)
    servers: int = 9
    rate: float = 40.0
    service_ms: float = 60.0
    slots: int = 4
    fault_rate: float = 0.06
    tick_ms: int = 0
    streams: float = 0.0
    fleet_view: bool = False
    settings_changes: bool = False
    long_gaps: bool = False
    peer_ms: float = 300.0
    shifting_timeouts: bool = False
    other_clock: bool = False


LOAD_SETTINGS = {"can_probe": True, "report_columns": ("eps", "inflight"), "price_probe": 1e-6}
TENANTS = [Tenant("t0", 0.4, 15.0), Tenant("t1", 0.4, 15.0), Tenant("t2", 0.2, 0.0)]
PROFILES: dict[str, Profile] = {
    "plain": Profile(),
    "ticks": Profile(tick_ms=5, rate=120.0),
    "crowded": Profile(
        {"fleet_size": 300, **LOAD_SETTINGS, "price_cross_zone": 0.05}, servers=40, rate=3.0, fault_rate=0.1
    ),
    "probing": Profile(
        {"fleet_size": 500, **LOAD_SETTINGS, "max_attempts": 3},
        servers=24,
        rate=4.0,
        service_ms=300.0,
        fault_rate=0.1,
    ),
    "probing few": Profile(
        {"fleet_size": 500, **LOAD_SETTINGS}, servers=4, rate=1.5, service_ms=300.0, fault_rate=0.2
    ),
    "sparse": Profile({"fleet_size": 2, "max_attempts": 4, "can_cancel": True}, servers=2, fault_rate=0.25),
    "rare": Profile({"fleet_size": 1000, "price_cross_zone": 0.0}, servers=30, rate=0.8, long_gaps=True),
    "overload": Profile({"goal_worst_class": 0.2}, servers=4, rate=150.0, slots=2, fault_rate=0.1),
    "tenants": Profile(
        {
            "tenants": TENANTS,
            "can_message_peers": True,
            "fleet_size": 3,
            "over_quota_weight_fraction": 0.1,
        },
        rate=80.0,
        slots=2,
    ),
    "tenants alone": Profile(
        {"tenants": TENANTS, "fleet_size": 50, "over_quota_weight_fraction": 0.1},
        servers=4,
        rate=150.0,
        slots=1,
    ),
    "tenants of slow peers": Profile(
        {"tenants": TENANTS, "can_message_peers": True, "fleet_size": 3, "over_quota_weight_fraction": 0.1},
        servers=3,
        rate=40.0,
        slots=1,
        service_ms=90.0,
        peer_ms=4_000.0,
    ),
    "burst": Profile(servers=2, rate=500.0, service_ms=200.0, slots=8, fault_rate=0.01),
    "late": Profile({"max_attempts": 6, "retry_after": True}, service_ms=500.0, slots=20, fault_rate=0.5),
    "rare and slow": Profile({"fleet_size": 1000}, servers=30, rate=0.8, service_ms=2_500.0, fault_rate=0.2),
    "shifting timeouts": Profile(servers=4, rate=150.0, slots=2, shifting_timeouts=True),
    "registry down": Profile(
        {"poll_required": True, "max_poll_interval_ns": SECOND}, rate=4.0, long_gaps=True
    ),
    "other clock": Profile({"fleet_size": 12}, servers=20, rate=80.0, other_clock=True),
    "streams": Profile({"can_cancel": True}, streams=0.5),
    "view": Profile({"fleet_size": 12}, servers=20, fleet_view=True, fault_rate=0.12),
    "faults": Profile({"max_attempts": 5, "can_hedge": True, "can_cancel": True}, fault_rate=0.35),
    "single copies": Profile({"max_attempts": 4, "can_hedge": False, "can_cancel": True}, fault_rate=0.2),
    "retuned": Profile({"report_columns": ("queue",)}, settings_changes=True, streams=0.1, fleet_view=True),
    "quiet": Profile({"poll_required": True}, rate=6.0, long_gaps=True, fault_rate=0.15),
    "large": Profile({"fleet_size": 40, "price_cross_zone": 0.02}, servers=120, rate=60.0, tick_ms=5),
}


def draw_class(rng: random.Random, name: str, effect: Effect) -> RequestClass:
    """Draw a request class: its latency objective, deadline, weights and scope."""
    deadline_ms = rng.randrange(1_000, 4_000)
    return RequestClass(
        name=name,
        objective_ns=deadline_ms * MS * rng.randrange(20, 60) // 100,
        deadline_ns=deadline_ms * MS,
        priority_weight=rng.choice([0.0, 1.0, 3.0, 8.0]),
        late_weight_fraction=rng.choice([0.0, 0.2, 0.5]),
        effect=effect,
        scope=rng.choice(list(Scope)),
        window_ns=rng.randrange(200, 4_000) * MS,
    )


def draw_settings(rng: random.Random, fixed: Mapping[str, Any]) -> Settings:
    """Draw settings; those in `fixed` replace the drawn values."""
    effects = rng.sample(list(Effect), rng.randrange(1, 4))
    values: dict[str, Any] = {
        "classes": [draw_class(rng, f"c{n}", effect) for n, effect in enumerate(effects)],
        "zones": list(ZONES),
        "zone": rng.randrange(len(ZONES)),
        "weight_per_work": rng.random() < 0.5,
        "tick_ns": 5 * MS,
        "poll_required": rng.random() < 0.4,
        "answer_slack_ns": 20 * MS,
        "start_capacity": rng.choice([0.1, 0.5]),
        "warm_within_ns": rng.randrange(2, 20) * SECOND,
        "max_attempts": rng.randrange(1, 7),
        "can_hedge": rng.random() < 0.5,
        "can_cancel": rng.random() < 0.6,
        "retry_after": rng.random() < 0.7,
        "max_retry_after_ns": SECOND,
        "price_cross_zone": rng.choice([0.0, 0.05]),
    }
    return Settings(**{**values, **fixed})


def encode_action(action: Action) -> str:
    """Encode an action as text that is independent of the name of its type."""
    match action:
        case Send():
            return f"send {action.id} {action.endpoint_number} {action.timeout_ns}"
        case SetTimer():
            return f"timer {action.after_ns} {action.token}"
        case Reject():
            return f"refuse {action.id} {action.retry_after_ns}"
        case Fail():
            return f"fail {action.id}"
        case Cancel():
            return f"cancel {action.id} {action.attempt}"
        case Probe():
            return f"probe {action.endpoint_number}"
        case SendToPeer():
            return f"tell {action.peer} {action.data.hex()}"
        case ReportEndpointHealth():
            return f"hint {action.endpoint_number} {action.answers}"
        case Watch():
            return f"watch {action.on}"
        case Log():
            return f"log {action.text}"
    raise TypeError(f"unknown action: {action!r}")


EventFactory = Callable[[], Event | None]


class DecisionWorld:
    """One balancer with its simulated servers, clients and peers, driven by a seed."""

    def __init__(self, name: str, seed: int, balancer_type: Callable[..., Any] = Balancer) -> None:
        self.rng = random.Random(f"{name} {seed}")
        self.profile = profile = PROFILES[name]
        self.config = draw_settings(self.rng, profile.settings)
        self.balancer = balancer_type(self.config, seed)
        self.hash = hashlib.sha256()
        self.events: Counter[str] = Counter()
        self.actions: Counter[str] = Counter()
        self.now = START_NS
        self.queue: list[tuple[int, int, EventFactory]] = []
        self.order = 0
        self.next_request = 0
        self.retired: set[int] = set()
        self.ended_requests: set[int] = set()
        self.ended_attempts: set[tuple[int, int]] = set()
        self.attempts: dict[int, int] = {}  # number of the last attempt, by request
        self.sent: dict[tuple[int, int], tuple[int, int]] = {}  # server and time, by request and attempt
        self.requests: dict[int, Request] = {}
        self.load: Counter[int] = Counter()  # attempts in flight, by server
        self.speed = {n: self.rng.choice([0.5, 1.0, 1.0, 1.0, 3.0]) for n in range(3 * profile.servers)}
        self.hung: set[int] = set()
        self.rejecting: set[int] = set()
        self.listed = {n: self.entry(n, State.READY, 0) for n in range(profile.servers)}
        self.version = 1

    def entry(self, server: int, state: State, started_ns: int) -> Endpoint:
        """Return the list entry of an endpoint; its zone, kind and cell follow from its number."""
        location = server % 3, server % 2, server // 3 % 4
        if self.profile.other_clock and started_ns:
            return Endpoint(server, *location, state, 1.0, started_ns + OTHER_CLOCK_OFFSET_NS, started_ns)
        return Endpoint(server, *location, state, 1.0, started_ns)

    def schedule(self, at_ns: int, make_event: EventFactory) -> None:
        """Schedule an event; the factory returns None if the event no longer applies at that time."""
        tick_ns = self.profile.tick_ms * MS
        at_ns = max(at_ns, self.now + 1)
        if tick_ns:
            at_ns = -(-at_ns // tick_ns) * tick_ns
        self.order += 1
        heapq.heappush(self.queue, (at_ns, self.order, make_event))

    def feed(self, event: Event) -> None:
        """Pass an event to the balancer, add its actions to the hash and execute them."""
        actions = self.balancer.handle(self.now, event)
        self.events[_coverage_name(event)] += 1
        for action in actions:
            self.hash.update(f"{self.now} {encode_action(action)}\n".encode())
            self.actions[type(action).__name__] += 1
            self.execute(action)

    def execute(self, action: Action) -> None:
        """Execute an action and schedule its consequences."""
        if isinstance(action, SetTimer):
            self.schedule(self.now + action.after_ns, lambda: Timer(action.token))
        elif isinstance(action, Reject):
            self.ended_requests.add(action.id)
            self.schedule_retry(action)
        elif isinstance(action, Fail):
            self.ended_requests.add(action.id)
        elif isinstance(action, Send):
            self.start_attempt(action)
        elif isinstance(action, Cancel):
            key = action.id, action.attempt
            self.schedule(self.now + 5 * MS, lambda: self.end_attempt(key, Status.CANCELLED))
        elif isinstance(action, Probe):
            self.answer_probe(action.endpoint_number)
        elif isinstance(action, Watch):
            kind = ListKind.FAILED if self.rng.random() < 0.4 else ListKind.FULL
            self.schedule(self.now + self.exponential(50), lambda: self.membership(kind))

    def exponential(self, mean_ms: float) -> int:
        """Draw an exponentially distributed time, in nanoseconds."""
        return int(self.rng.expovariate(1.0) * mean_ms * MS) + 1

    # Servers

    def start_attempt(self, action: Send) -> None:
        """Start an attempt at its server: draw how and when it ends."""
        number = self.attempts[action.id] = self.attempts.get(action.id, -1) + 1
        key, server, request = (action.id, number), action.endpoint_number, self.requests[action.id]
        self.sent[key] = server, self.now
        self.load[server] += 1
        slowdown = max(1.0, self.load[server] / self.profile.slots)
        duration_ns = self.exponential(self.profile.service_ms * self.speed[server] * slowdown)
        remaining_ns = max(request.deadline_ns - self.now, 1)
        status = Status.OK
        if server in self.rejecting:
            status, duration_ns = Status.FULL, self.exponential(2)
        elif self.rng.random() < self.profile.fault_rate:
            status = self.rng.choice(FAULTS)
            duration_ns = duration_ns if status in (Status.ERROR, Status.RESET) else self.exponential(3)
        if server in self.hung or status is Status.TIMEOUT or duration_ns > remaining_ns:
            status, duration_ns = Status.TIMEOUT, remaining_ns
        elif status is Status.OK and self.rng.random() < self.profile.streams:
            self.start_stream(key, server, duration_ns)
            return
        self.schedule(self.now + duration_ns, lambda: self.end_attempt(key, status))

    def start_stream(self, key: tuple[int, int], server: int, duration_ns: int) -> None:
        """Schedule a streamed answer, or a streamed request body and the end of its attempt."""
        begin_ns = self.now + duration_ns
        if self.rng.random() < 0.5:
            self.schedule(begin_ns, lambda: self.begin_body(key, server, Status.OK))
            self.schedule(begin_ns + self.exponential(400), lambda: self.end_attempt(key, Status.OK))
            return
        self.schedule(
            self.now + self.exponential(5), lambda: self.begin_body(key, server, Status.NOT_ATTEMPTED)
        )
        body_end_ns = self.now + self.exponential(300)
        self.schedule(body_end_ns, lambda: None if key in self.ended_attempts else BodySent(*key, server))
        status = Status.OK if self.rng.random() < 0.8 else Status.RESET
        self.schedule(body_end_ns + duration_ns, lambda: self.end_attempt(key, status))

    def begin_body(self, key: tuple[int, int], server: int, status: Status) -> Event | None:
        """Return the event for the first byte of a body; None if the attempt has ended."""
        if key in self.ended_attempts:
            return None
        return StreamStarted(*key, server, self.now - self.sent[key][1], status, self.report(server))

    def end_attempt(self, key: tuple[int, int], status: Status) -> Event | None:
        """Return the outcome of an attempt; None if it has ended before."""
        if key in self.ended_attempts:
            return None
        self.ended_attempts.add(key)
        server, sent = self.sent[key]
        self.load[server] -= 1
        if status is Status.OK:
            self.ended_requests.add(key[0])
        report = self.report(server) if status in (Status.OK, Status.ERROR) else ()
        return Outcome(*key, server, status, self.now - sent, key[0] in self.ended_requests, report)

    def report(self, server: int) -> tuple[float, ...]:
        """Return the load report of a server; some reports have invalid values or too few columns."""
        columns = len(self.config.report_columns)
        if not columns:
            return ()
        load = float(self.load[server] + self.rng.randrange(4))
        if self.rng.random() < 0.05:
            load = self.rng.choice(INVALID_LOADS)
        return (load,) * (columns if self.rng.random() < 0.9 else self.rng.randrange(columns + 1))

    def answer_probe(self, server: int) -> None:
        """Schedule the result of a probe: success or a timeout."""
        status = Status.OK if self.rng.random() < 0.85 and server not in self.hung else Status.TIMEOUT
        duration_ns = self.exponential(8 if status is Status.OK else 200)
        report = self.report(server) if status is Status.OK else ()
        self.schedule(self.now + duration_ns, lambda: ProbeResult(server, status, duration_ns, report))

    # Clients

    def next_first_attempt(self) -> Event | None:
        """Return a first attempt of a client, and schedule the next one."""
        rng, profile = self.rng, self.profile
        surge = 5.0 if self.now // (3 * SECOND) % 4 == 3 else 1.0
        gap_ns = int(rng.expovariate(profile.rate * surge) * SECOND) + 1
        if profile.long_gaps and rng.random() < 0.004:
            gap_ns += rng.choice([SECOND * 90, HOUR, 30 * HOUR])
        self.schedule(self.now + gap_ns, self.next_first_attempt)
        usable = [n for n in range(len(self.config.classes)) if n not in self.retired]
        cls = rng.choice(usable)
        timeout_ns = self.config.classes[cls].deadline_ns
        if profile.shifting_timeouts and self.now // (2 * SECOND) % 2:
            timeout_ns //= 2
        if rng.random() < 0.1:
            timeout_ns = int(timeout_ns * rng.uniform(-0.05, 1.2))
        tenant = min(rng.randrange(4), 2) if self.config.tenants else 0
        return self.request(cls, tenant, timeout_ns, False)

    def request(self, cls: int, tenant: int, timeout_ns: int, is_retry: bool) -> Request:
        """Return a request; some clients disconnect before its deadline."""
        request_id = self.next_request
        self.next_request += 1
        request = Request(request_id, cls, tenant, self.now + timeout_ns, is_retry=is_retry)
        self.requests[request_id] = request
        if self.rng.random() < 0.02:
            self.schedule(
                self.now + int(abs(timeout_ns) * self.rng.random()), lambda: self.disconnect(request_id)
            )
        return request

    def disconnect(self, request_id: int) -> Event | None:
        """Return the disconnection of the client of a request; None if the request has ended."""
        if request_id in self.ended_requests:
            return None
        self.ended_requests.add(request_id)
        return ClientDisconnected(request_id)

    def schedule_retry(self, rejection: Reject) -> None:
        """Schedule the retry of a rejected client before its deadline, with or without the retry mark."""
        original = self.requests[rejection.id]
        at_ns = self.now + rejection.retry_after_ns + self.exponential(30)
        if at_ns >= original.deadline_ns or self.rng.random() < 0.3:
            return
        is_marked = self.rng.random() < 0.7

        def retry() -> Event | None:
            if original.class_number in self.retired:
                return None
            return self.request(
                original.class_number, original.tenant, original.deadline_ns - self.now, is_marked
            )

        self.schedule(at_ns, retry)

    # Endpoint list, peers, settings

    def membership(self, kind: ListKind) -> Event:
        """Return an update of the endpoint list: changes, or the complete list."""
        rng = self.rng
        self.version += 1
        if kind is ListKind.FAILED:
            return EndpointListUpdate(kind, self.version, [])
        changed = self.change_entries()
        is_complete = kind in (ListKind.FULL, ListKind.CACHED)
        entries = list(self.listed.values()) if is_complete else changed
        rng.shuffle(entries)
        return EndpointListUpdate(kind, self.version, entries)

    def change_entries(self) -> list[Endpoint]:
        """Change some endpoints: they are added, drain, disappear, restart, hang, reject all, or recover."""
        rng = self.rng
        changed = []
        for server in rng.sample(sorted(self.speed), max(1, len(self.listed) // 8)):
            draw = rng.random()
            known = self.listed.get(server)
            state, started_ns = State.READY, self.now
            if known:
                started_ns = known.slow_start_began_ns or known.started_ns
            if draw < 0.15:
                state = State.GONE
            elif draw < 0.3:
                state = State.DRAINING
                self.rejecting.add(server)
            elif draw < 0.55:
                started_ns = self.now
                self.rejecting.discard(server)
                self.hung.discard(server)
            elif draw < 0.65 and len(self.hung) < len(self.listed) // 3:
                self.hung.add(server)
            elif draw < 0.75:
                self.rejecting.add(server)
            elif draw < 0.9:
                self.rejecting.discard(server)
                self.hung.discard(server)
            entry = self.entry(server, state, started_ns)
            changed.append(entry)
            if state is State.GONE:
                self.listed.pop(server, None)
            else:
                self.listed[server] = entry
        return changed

    def list_changes(self) -> Event:
        """Return an unsolicited update of the endpoint list, and schedule the next one."""
        self.schedule(self.now + self.exponential(2_500), self.list_changes)
        kinds = [
            *[ListKind.DELTA] * 5,
            ListKind.LOCAL,
            ListKind.LOCAL,
            ListKind.FULL,
            ListKind.CACHED,
            ListKind.FAILED,
        ]
        return self.membership(self.rng.choice(kinds))

    def peer_message(self) -> Event:
        """Return the rates reported by a peer, and schedule the next message; some are truncated."""
        self.schedule(self.now + self.exponential(self.profile.peer_ms), self.peer_message)
        data = struct.pack("<3I", *(self.rng.randrange(0, 64 * 30) for _ in range(3)))
        if self.rng.random() < 0.1:
            data = data[: self.rng.randrange(len(data))]
        return PeerMessage(self.rng.randrange(4), data)

    def fleet_view(self) -> Event:
        """Return a change of the membership of the fleet, and schedule the next one."""
        rng = self.rng
        self.schedule(self.now + self.exponential(800), self.fleet_view)
        servers = sorted(self.speed)
        return MembershipChanged(
            live_sidecars=rng.choice([2, 8, 12, 12, 12, 60]),
            ranks={server: rng.random() for server in servers if rng.random() < 0.8},
            max_remote_rank=rng.uniform(0.2, 1.0),
            failing_endpoints=frozenset(rng.sample(servers, 2)),
            answering_endpoints=frozenset(rng.sample(servers, 1)),
            typical_latency_ns={n: 70 * MS for n in range(len(self.config.classes)) if rng.random() < 0.5},
        )

    def change_settings(self) -> Event:
        """Change the settings: a class gets a new number under its name, and its old number is retired."""
        rng = self.rng
        self.schedule(self.now + self.exponential(1_000), self.change_settings)
        classes = list(self.config.classes)
        live = [n for n in range(len(classes)) if n not in self.retired]
        old = rng.choice(live)
        classes.append(draw_class(rng, classes[old].name, classes[old].effect))
        if rng.random() < 0.3 and len(live) < 4:
            classes.append(draw_class(rng, f"new{len(classes)}", rng.choice(list(Effect))))
        self.retired.add(old)
        changed = {"max_attempts": rng.randrange(1, 6), "zone": rng.randrange(len(ZONES))}
        self.config = replace(self.config, classes=classes, **changed)
        return SettingsChanged(self.config, frozenset(self.retired))

    def play(self, events: int) -> str:
        """Play `events` events; return the hash of all actions and of the final random state."""
        self.feed(self.membership(ListKind.CACHED))
        self.schedule(self.now + 1, self.next_first_attempt)
        self.schedule(self.now + self.exponential(2_500), self.list_changes)
        if self.config.tenants:
            self.schedule(self.now + 1, self.peer_message)
        if self.profile.fleet_view:
            self.schedule(self.now + MS, self.fleet_view)
        if self.profile.settings_changes:
            self.schedule(self.now + SECOND, self.change_settings)
        while self.events.total() < events:
            self.now, _, make_event = heapq.heappop(self.queue)
            event = make_event()
            if event is not None:
                self.feed(event)
        self.hash.update(repr(self.balancer.context.random.getstate()).encode())
        return self.hash.hexdigest()


def _coverage_name(event: Event) -> str:
    """Return the coverage name of an event: its type, with the kind of a list or the status of a result."""
    if isinstance(event, EndpointListUpdate):
        return f"EndpointListUpdate {event.kind.name}"
    if isinstance(event, Outcome | ProbeResult | StreamStarted):
        return f"{type(event).__name__} {event.status.name}"
    if isinstance(event, Request):
        return "Request retry" if event.is_retry else "Request first"
    return type(event).__name__


def play(
    profile: str, seed: int, events: int, balancer_type: Callable[..., Any] = Balancer
) -> tuple[str, Counter[str], Counter[str]]:
    """Play one world; return the hash, and the numbers of events and of actions by kind."""
    world = DecisionWorld(profile, seed, balancer_type)
    return world.play(events), world.events, world.actions


def scenarios(seeds: Iterable[int]) -> list[tuple[str, int]]:
    """Return every profile with every seed, ordered by seed."""
    return [(profile, seed) for seed in seeds for profile in PROFILES]
