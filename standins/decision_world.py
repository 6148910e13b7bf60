"""A seeded world round one balancer, whose events and actions stand for what it decides.

The world knows only the balancer's events and actions, never its state, so the same seed asks the same of
every version of the balancer: `play` gives a hash over each action in order and over the state of the
balancer's random generator at the end. The worlds keep the promises of the wire (an attempt ends once,
nothing ends before it is sent) and draw all else: queueing servers that crowd, hang, drain, restart, reject
and lose answers; clients that come back marked and unmarked; endpoint lists that are delayed, broken, cached
or changed by operators; peers, streams, probes, changed settings, and gaps of hours to days without any
request.
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
START = 1_000 * SECOND
OTHER_CLOCK = 1_700_000_000 * SECOND
ZONES = ("a", "b", "c")
ODD_LOADS = (float("nan"), float("inf"), -1.0)
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
    """What a world is like; times in milliseconds.

    Attributes:
        settings: Settings that replace those that the seed draws.
        servers: Number of endpoints in the list; more may be added.
        rate: Requests per second before surges.
        service_ms: Mean service time in milliseconds of an endpoint with one request.
        slots: Number of requests that an endpoint serves at once before it slows down.
        fault_rate: Fraction of the attempts that end by a random fault.
        tick_ms: Every event falls on a multiple of this; 0 for any time.
        streams: Fraction of the requests with a streamed body or answer.
        fleet_view: Whether the balancer is informed of the other sidecars.
        retunes: Whether settings change during the run.
        long_gaps: Whether hours and days pass without a request.
        peer_ms: Mean milliseconds between messages of peers.
        shifting_timeouts: Whether clients sometimes change their timeouts.
        other_clock: Whether starts are reported on another clock than the balancer's.
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
    retunes: bool = False
    long_gaps: bool = False
    peer_ms: float = 300.0
    shifting_timeouts: bool = False
    other_clock: bool = False


LOADS = {"can_probe": True, "report_columns": ("eps", "inflight"), "price_probe": 1e-6}
TENANTS = [Tenant("t0", 0.4, 15.0), Tenant("t1", 0.4, 15.0), Tenant("t2", 0.2, 0.0)]
PROFILES: dict[str, Profile] = {
    "plain": Profile(),
    "ticks": Profile(tick_ms=5, rate=120.0),
    "crowded": Profile(
        {"fleet_size": 300, **LOADS, "price_cross_zone": 0.05}, servers=40, rate=3.0, fault_rate=0.1
    ),
    "probing": Profile(
        {"fleet_size": 500, **LOADS, "max_attempts": 3},
        servers=24,
        rate=4.0,
        service_ms=300.0,
        fault_rate=0.1,
    ),
    "probing few": Profile(
        {"fleet_size": 500, **LOADS}, servers=4, rate=1.5, service_ms=300.0, fault_rate=0.2
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
    "retuned": Profile({"report_columns": ("queue",)}, retunes=True, streams=0.1, fleet_view=True),
    "quiet": Profile({"poll_required": True}, rate=6.0, long_gaps=True, fault_rate=0.15),
    "large": Profile({"fleet_size": 40, "price_cross_zone": 0.02}, servers=120, rate=60.0, tick_ms=5),
}


def drawn_class(rng: random.Random, name: str, effect: Effect) -> RequestClass:
    """A request class with a drawn latency objective, deadline and worth."""
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


def drawn_settings(rng: random.Random, fixed: Mapping[str, Any]) -> Settings:
    """Settings of a seed, with some of them fixed."""
    effects = rng.sample(list(Effect), rng.randrange(1, 4))
    values: dict[str, Any] = {
        "classes": [drawn_class(rng, f"c{n}", effect) for n, effect in enumerate(effects)],
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


def encoded(action: Action) -> str:
    """An action as text that does not hang on how its type is called."""
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
    raise TypeError(f"no action that a balancer takes: {action!r}")


Made = Callable[[], Event | None]


class DecisionWorld:
    """One balancer and all that it meets, driven by a seed; `play` feeds it."""

    def __init__(self, name: str, seed: int, balancer_type: Callable[..., Any] = Balancer) -> None:
        self.rng = random.Random(f"{name} {seed}")
        self.profile = profile = PROFILES[name]
        self.config = drawn_settings(self.rng, profile.settings)
        self.balancer = balancer_type(self.config, seed)
        self.hash = hashlib.sha256()
        self.events: Counter[str] = Counter()
        self.actions: Counter[str] = Counter()
        self.now = START
        self.queue: list[tuple[int, int, Made]] = []
        self.order = 0
        self.next_request = 0
        self.retired: set[int] = set()
        self.ended: set[int] = set()
        self.settled: set[tuple[int, int]] = set()
        self.attempts: dict[int, int] = {}  # attempts so far by request
        self.sent: dict[tuple[int, int], tuple[int, int]] = {}  # server and time by request and attempt
        self.requests: dict[int, Request] = {}
        self.load: Counter[int] = Counter()  # own attempts out, by server
        self.speed = {n: self.rng.choice([0.5, 1.0, 1.0, 1.0, 3.0]) for n in range(3 * profile.servers)}
        self.hung: set[int] = set()
        self.closing: set[int] = set()
        self.listed = {n: self.entry(n, State.READY, 0) for n in range(profile.servers)}
        self.version = 1

    def entry(self, server: int, state: State, started: int) -> Endpoint:
        """What the list says of an endpoint: zone, kind and cell follow from its number."""
        place = server % 3, server % 2, server // 3 % 4
        if self.profile.other_clock and started:
            return Endpoint(server, *place, state, 1.0, started + OTHER_CLOCK, started)
        return Endpoint(server, *place, state, 1.0, started)

    def later(self, when: int, made: Made) -> None:
        """Have an event made at that time, or None where it has no object any more."""
        tick = self.profile.tick_ms * MS
        when = max(when, self.now + 1)
        if tick:
            when = -(-when // tick) * tick
        self.order += 1
        heapq.heappush(self.queue, (when, self.order, made))

    def feed(self, event: Event) -> None:
        """Hand one event to the balancer, take its actions into the hash and carry them out."""
        actions = self.balancer.handle(self.now, event)
        self.events[_kind(event)] += 1
        for action in actions:
            self.hash.update(f"{self.now} {encoded(action)}\n".encode())
            self.actions[type(action).__name__] += 1
            self.carry_out(action)

    def carry_out(self, action: Action) -> None:
        """Do what the balancer wants, and have what follows happen later."""
        if isinstance(action, SetTimer):
            self.later(self.now + action.after_ns, lambda: Timer(action.token))
        elif isinstance(action, Reject):
            self.ended.add(action.id)
            self.come_back(action)
        elif isinstance(action, Fail):
            self.ended.add(action.id)
        elif isinstance(action, Send):
            self.take_attempt(action)
        elif isinstance(action, Cancel):
            key = action.id, action.attempt
            self.later(self.now + 5 * MS, lambda: self.settle(key, Status.CANCELLED))
        elif isinstance(action, Probe):
            self.answer_probe(action.endpoint_number)
        elif isinstance(action, Watch):
            kind = ListKind.FAILED if self.rng.random() < 0.4 else ListKind.FULL
            self.later(self.now + self.exponential(50), lambda: self.membership(kind))

    def exponential(self, mean_ms: float) -> int:
        """A drawn time, nanoseconds."""
        return int(self.rng.expovariate(1.0) * mean_ms * MS) + 1

    # Servers

    def take_attempt(self, action: Send) -> None:
        """An attempt reaches its server: draw how and when it ends."""
        number = self.attempts[action.id] = self.attempts.get(action.id, -1) + 1
        key, server, request = (action.id, number), action.endpoint_number, self.requests[action.id]
        self.sent[key] = server, self.now
        self.load[server] += 1
        crowd = max(1.0, self.load[server] / self.profile.slots)
        took = self.exponential(self.profile.service_ms * self.speed[server] * crowd)
        left = max(request.deadline_ns - self.now, 1)
        status = Status.OK
        if server in self.closing:
            status, took = Status.FULL, self.exponential(2)
        elif self.rng.random() < self.profile.fault_rate:
            status = self.rng.choice(FAULTS)
            took = took if status in (Status.ERROR, Status.RESET) else self.exponential(3)
        if server in self.hung or status is Status.TIMEOUT or took > left:
            status, took = Status.TIMEOUT, left
        elif status is Status.OK and self.rng.random() < self.profile.streams:
            self.stream(key, server, took)
            return
        self.later(self.now + took, lambda: self.settle(key, status))

    def stream(self, key: tuple[int, int], server: int, took: int) -> None:
        """An answer or a request whose body flows for a while."""
        done = self.now + took
        if self.rng.random() < 0.5:
            self.later(done, lambda: self.started(key, server, Status.OK))
            self.later(done + self.exponential(400), lambda: self.settle(key, Status.OK))
            return
        self.later(self.now + self.exponential(5), lambda: self.started(key, server, Status.NOT_ATTEMPTED))
        whole = self.now + self.exponential(300)
        self.later(whole, lambda: None if key in self.settled else BodySent(*key, server))
        end = Status.OK if self.rng.random() < 0.8 else Status.RESET
        self.later(whole + took, lambda: self.settle(key, end))

    def started(self, key: tuple[int, int], server: int, status: Status) -> Event | None:
        """The first byte of a body flows."""
        if key in self.settled:
            return None
        return StreamStarted(*key, server, self.now - self.sent[key][1], status, self.report(server))

    def settle(self, key: tuple[int, int], status: Status) -> Event | None:
        """The one end of an attempt."""
        if key in self.settled:
            return None
        self.settled.add(key)
        server, sent = self.sent[key]
        self.load[server] -= 1
        if status is Status.OK:
            self.ended.add(key[0])
        report = self.report(server) if status in (Status.OK, Status.ERROR) else ()
        return Outcome(*key, server, status, self.now - sent, key[0] in self.ended, report)

    def report(self, server: int) -> tuple[float, ...]:
        """What a server says of its load: now and then nonsense, or too few columns."""
        columns = len(self.config.report_columns)
        if not columns:
            return ()
        load = float(self.load[server] + self.rng.randrange(4))
        if self.rng.random() < 0.05:
            load = self.rng.choice(ODD_LOADS)
        return (load,) * (columns if self.rng.random() < 0.9 else self.rng.randrange(columns + 1))

    def answer_probe(self, server: int) -> None:
        """A health check ends: well, or hardly in time, or by a fault."""
        status = Status.OK if self.rng.random() < 0.85 and server not in self.hung else Status.TIMEOUT
        took = self.exponential(8 if status is Status.OK else 200)
        report = self.report(server) if status is Status.OK else ()
        self.later(self.now + took, lambda: ProbeResult(server, status, took, report))

    # Clients

    def arrive(self) -> Event | None:
        """A first try of a client; the next one follows."""
        rng, profile = self.rng, self.profile
        surge = 5.0 if self.now // (3 * SECOND) % 4 == 3 else 1.0
        gap = int(rng.expovariate(profile.rate * surge) * SECOND) + 1
        if profile.long_gaps and rng.random() < 0.004:
            gap += rng.choice([SECOND * 90, HOUR, 30 * HOUR])
        self.later(self.now + gap, self.arrive)
        usable = [n for n in range(len(self.config.classes)) if n not in self.retired]
        cls = rng.choice(usable)
        length = self.config.classes[cls].deadline_ns
        if profile.shifting_timeouts and self.now // (2 * SECOND) % 2:
            length //= 2
        if rng.random() < 0.1:
            length = int(length * rng.uniform(-0.05, 1.2))
        tenant = min(rng.randrange(4), 2) if self.config.tenants else 0
        return self.request(cls, tenant, length, False)

    def request(self, cls: int, tenant: int, length: int, is_retry: bool) -> Request:
        """A request that may be given up later."""
        ident = self.next_request
        self.next_request += 1
        made = Request(ident, cls, tenant, self.now + length, is_retry=is_retry)
        self.requests[ident] = made
        if self.rng.random() < 0.02:
            self.later(self.now + int(abs(length) * self.rng.random()), lambda: self.drop(ident))
        return made

    def drop(self, ident: int) -> Event | None:
        """The client of a request has gone."""
        if ident in self.ended:
            return None
        self.ended.add(ident)
        return ClientDisconnected(ident)

    def come_back(self, refusal: Reject) -> None:
        """A rejected client tries again in the time that it has left, marked or not."""
        was = self.requests[refusal.id]
        when = self.now + refusal.retry_after_ns + self.exponential(30)
        if when >= was.deadline_ns or self.rng.random() < 0.3:
            return
        marked = self.rng.random() < 0.7

        def again() -> Event | None:
            if was.class_number in self.retired:
                return None
            return self.request(was.class_number, was.tenant, was.deadline_ns - self.now, marked)

        self.later(when, again)

    # The list, peers, settings

    def membership(self, kind: ListKind) -> Event:
        """A change of the list, or the whole of it."""
        rng = self.rng
        self.version += 1
        if kind is ListKind.FAILED:
            return EndpointListUpdate(kind, self.version, [])
        changed = self.changes()
        whole = kind in (ListKind.FULL, ListKind.CACHED)
        entries = list(self.listed.values()) if whole else changed
        rng.shuffle(entries)
        return EndpointListUpdate(kind, self.version, entries)

    def changes(self) -> list[Endpoint]:
        """Some endpoints come, drain, go, start again, hang or reject all."""
        rng = self.rng
        changed = []
        for server in rng.sample(sorted(self.speed), max(1, len(self.listed) // 8)):
            draw = rng.random()
            known = self.listed.get(server)
            state, started = State.READY, self.now
            if known:
                started = known.slow_start_began_ns or known.started_ns
            if draw < 0.15:
                state = State.GONE
            elif draw < 0.3:
                state = State.DRAINING
                self.closing.add(server)
            elif draw < 0.55:
                started = self.now
                self.closing.discard(server)
                self.hung.discard(server)
            elif draw < 0.65 and len(self.hung) < len(self.listed) // 3:
                self.hung.add(server)
            elif draw < 0.75:
                self.closing.add(server)
            elif draw < 0.9:
                self.closing.discard(server)
                self.hung.discard(server)
            made = self.entry(server, state, started)
            changed.append(made)
            if state is State.GONE:
                self.listed.pop(server, None)
            else:
                self.listed[server] = made
        return changed

    def list_changes(self) -> Event:
        """The list changes of itself, and again later."""
        self.later(self.now + self.exponential(2_500), self.list_changes)
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
        """A peer tells its rates; now and then what no peer of ours would."""
        self.later(self.now + self.exponential(self.profile.peer_ms), self.peer_message)
        data = struct.pack("<3I", *(self.rng.randrange(0, 64 * 30) for _ in range(3)))
        if self.rng.random() < 0.1:
            data = data[: self.rng.randrange(len(data))]
        return PeerMessage(self.rng.randrange(4), data)

    def fleet_view(self) -> Event:
        """What the view of the fleet tells of other sidecars."""
        rng = self.rng
        self.later(self.now + self.exponential(800), self.fleet_view)
        servers = sorted(self.speed)
        return MembershipChanged(
            live_sidecars=rng.choice([2, 8, 12, 12, 12, 60]),
            ranks={server: rng.random() for server in servers if rng.random() < 0.8},
            max_remote_rank=rng.uniform(0.2, 1.0),
            failing_endpoints=frozenset(rng.sample(servers, 2)),
            answering_endpoints=frozenset(rng.sample(servers, 1)),
            typical_latency_ns={n: 70 * MS for n in range(len(self.config.classes)) if rng.random() < 0.5},
        )

    def retune(self) -> Event:
        """Other settings: a class under the same name gets a new number, its old one is retired."""
        rng = self.rng
        self.later(self.now + self.exponential(1_000), self.retune)
        classes = list(self.config.classes)
        live = [n for n in range(len(classes)) if n not in self.retired]
        old = rng.choice(live)
        classes.append(drawn_class(rng, classes[old].name, classes[old].effect))
        if rng.random() < 0.3 and len(live) < 4:
            classes.append(drawn_class(rng, f"new{len(classes)}", rng.choice(list(Effect))))
        self.retired.add(old)
        changed = {"max_attempts": rng.randrange(1, 6), "zone": rng.randrange(len(ZONES))}
        self.config = replace(self.config, classes=classes, **changed)
        return SettingsChanged(self.config, frozenset(self.retired))

    def play(self, events: int) -> str:
        """Feed so many events; the hash of all actions and of the random state at the end."""
        self.feed(self.membership(ListKind.CACHED))
        self.later(self.now + 1, self.arrive)
        self.later(self.now + self.exponential(2_500), self.list_changes)
        if self.config.tenants:
            self.later(self.now + 1, self.peer_message)
        if self.profile.fleet_view:
            self.later(self.now + MS, self.fleet_view)
        if self.profile.retunes:
            self.later(self.now + SECOND, self.retune)
        while self.events.total() < events:
            self.now, _, made = heapq.heappop(self.queue)
            event = made()
            if event is not None:
                self.feed(event)
        self.hash.update(repr(self.balancer.context.random.getstate()).encode())
        return self.hash.hexdigest()


def _kind(event: Event) -> str:
    """What the coverage counts: the type of an event, with the kind of a list and the status of an end."""
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
    """Play one world: the hash, and how many events and actions of each kind there were."""
    world = DecisionWorld(profile, seed, balancer_type)
    return world.play(events), world.events, world.actions


def scenarios(seeds: Iterable[int]) -> list[tuple[str, int]]:
    """Every profile with every seed, in order of the seeds."""
    return [(profile, seed) for seed in seeds for profile in PROFILES]
