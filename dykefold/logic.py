"""Every decision of a sidecar. The types it takes and returns are in `dykefold/interface.py`.

Reading order: tunables, records, then `Balancer`: events, picking, sending, retrying, health, cold
servers, admission, the server list. The ordinary path of a request is `_on_request` -> `_pick` ->
`_value` and `_admit` -> `_send` -> `_on_outcome`, and for a failed attempt `_plan_repeat` -> `_repeat`.
"""

from __future__ import annotations

import heapq
import math
import random
import struct
from collections import defaultdict
from collections.abc import Callable
from copy import copy

from . import interface as api
from .interface import Effect, Endpoint, ListKind, RequestClass, Scope, Settings, State, Status

# Repeats. The delay before repeat n is uniform(FLOOR, min(CAP, BASE * 2^min(n, 6))) of the time left.
BACKOFF_FLOOR = 0.004  # a few ticks of a usual deadline: enough to leave the tick of the failure
BACKOFF_BASE = 0.02  # the first repeat costs little of the aim, which is a third of the deadline
BACKOFF_CAP = 0.25  # a quarter of what is left, so that later repeats still have time to run
BACKOFF_EXPONENT = 6
BACKOFF_USEFUL = 0.25  # class means that must be left after the delay: less is hardly ever enough
RETRY_SHARE = 0.1  # repeats per first try in the long run: bounds amplification when all fails
RETRY_RESERVE = 10.0  # ... and saved up for this many seconds of traffic, for a sudden loss of servers
UNSENT_MOST = 0.45  # of a request's time may pass unsent: then it is refused, while another try is of use
RETRY_AFTER = 0.5  # of the time left or to the aim, as advice with a refusal: a new try has the other half
RETRY_AFTER_LEAST = 0.5  # of it after jitter, lest refused clients come back together

# Latency estimates, all relative to the smoothed latency of the request's class.
SMOOTHING = 0.08  # weight of a new sample of one server: work varies far more than servers do
SMOOTHING_SPAN = 3.0  # shortest deadlines after which an old estimate counts half against a new sample
CLASS_SMOOTHING = 0.03  # the class mean moves slower than any server, being the common yardstick
SAMPLE_LIMIT = 10.0  # one long-tailed request must not condemn a server
FAILURE_SAMPLE = 4.0  # what a failure counts at least: a fast error must not look like a fast server
FULL_SAMPLE = 3.0  # a full server is alive, but to be left alone for a while
FORGET_GAPS = 20.0  # estimates halve their distance to the mean in so many usual gaps between answers
UNKNOWN_LATENCY = 0.25  # of the aim, the class yardstick before any answer

# Overdue attempts.
OVERDUE_DEVIATIONS = 4.0  # as TCP's retransmission time-out: mean and four mean deviations
OVERDUE_AT_LEAST = 2.0  # class means
OVERDUE_AT_MOST = 0.5  # of the time left: a repeat needs as much as the first try had

# Lost answers: the server did the work, or not, but nothing will come.
LOST_OVERTAKEN = 3  # answers to attempts sent later, as duplicate acknowledgements tell TCP (RFC 5681, 3.2)
LOST_AT_LEAST = 2.0  # class means: on two cores short work overtakes long work that is not lost

# Health.
STRIKES = 2.0  # consecutive failures without a sign of life in between
HINT_STRIKE = 0.5  # an overdue attempt counts so much: four of them eject
TURNED_MOST = 2  # attempts in a row that a server turned away: it drains, which the list tells late
EJECT_FOR = 1.0  # times the shortest deadline, for the first ejection
EJECT_GROWTH = 2.0
EJECT_MOST = 8.0  # times the first
EJECT_JITTER = 0.3  # either way: sidecars must not try a server together
EJECT_SHARE = 0.7  # of the ready servers, on broken connections; beyond it, suspect oneself and spread
EJECT_SHARE_ON_SILENCE = 0.34  # on missing answers alone: if a third is silent, it is load

# Sidecars that see little: fewer requests in a deadline than there are servers.
SET_LEAST = 2  # servers of each side (own zone, others) sampled from at the least: a pick of two needs two
SET_SPAN = 1.0  # ... or as many as are asked in a shortest deadline: each is heard from about so often
FAR_KNOWN = 5  # sidecars, about, from other zones sample a server: its load must not hang on one or two
FAR_SPAN = 0.25  # ... or this part of a set: each costs a connection, and most requests stay in the own zone
DEMAND_SPAN = 5.0  # shortest deadlines over which the own requests are counted
STALE_AFTER = 4.0  # shortest deadlines after which a latency says half as much of the queue others made
STALE_SHARPNESS = 2.0  # how much better than in proportion to speed: one of two drawn wins by its square
LEAN = 0.2  # step of a group's weight for each class mean that an answer differs by: ten answers turn it
LEAN_FADE = 0.01  # ... of it forgotten with each answer, lest chance walks it away
LEAN_CLIP = 3.0  # class means that one late answer counts at most
LEAN_MOST = 3.0  # e^3 either way: a group is never shut out, or nothing would tell of its recovery
LEAN_CROSS = 3.0  # aims of delay for each point of price for a crossing: it is paid where zones are level
ASK_GAIN = 0.25  # asking saves about half of what is late, and costs two probes
ASK_WAIT = 0.03  # of the aim: some round trips; a server that has not told by then is passed over
LOAD_FADE = 0.5  # shortest deadlines in which a report comes to say half as much, and is of use
GROUP_SMOOTHING = 0.1  # of a group's mean latency, after as many answers

# Zones.
CROSS_WEIGHT = 4.0  # aims of delay for each point of price for a crossing

# Cold servers.
PACE = 1.2  # times the fair share of own answers, times the ramp
PACE_EARN = 1.5  # requests allowed for each one answered: many servers warm by work, sooner than stated
PACE_CEILING = 1.0  # ... but no more than this part of the overload factor, in place of PACE
PACE_TRUST = 0.1  # requests more that may come at once for each one answered since the start
PACE_TRUST_MOST = 3.0
PACE_BURST = 0.25  # seconds of that pace may come at once

# Admission: an adaptive concurrency limit (Little's law) on the own requests in flight.
PRESSURE_AIM = 0.35  # of the aim, for answers: at half of it crowds stay long enough to wear servers
PRESSURE_DOUBT = 0.45  # ... for attempts with no answer yet: that tells of loss as much as of waiting
PRESSURE_USUAL = 2.0  # times the usual latency, where the aim is hardly more than that
PRESSURE_FULL = 2.0  # what a rejection counts: short queues are full before latency shows it
PRESSURE_MOST = 4.0  # what one attempt counts at most
PRESSURE_SPAN = 0.12  # shortest deadlines in which what was seen fades to half
PRESSURE_SAMPLES = 10  # ... or the time of so many answers: fewer are noise, which would shed for nothing
PRESSURE_PRIOR = 0.7  # what nothing seen means: let the limit grow, carefully
PRESSURE_PRIOR_WEIGHT = 2.0  # attempts
PRESSURE_AIM_MOST = 0.6  # of the aim, however long the usual latency: nothing is learned from collapse
USUAL_FIRST = 30  # answers of a class that are simply averaged into its usual latency
USUAL_SPAN = 25.0  # shortest deadlines over which it moves then, slower than any trouble lasts
USUAL_DRIFT = 0.1  # ... and this part of that under pressure, lest it never forgives a wrong start
LIMIT_EVERY = 0.1  # shortest deadlines between corrections
LIMIT_GROW = 1.3  # for each correction, up to what is known good, or when nothing was refused lately
LIMIT_CREEP = 0.1  # ... and for each unit of pressure to spare, beyond that
LIMIT_AGAIN = 0.8  # of the limit after the first of the latest cuts counts as known good
LIMIT_WARY = 8  # shortest deadlines after a refusal
LIMIT_SLACK = 4.0  # times what is in flight and a request for each server, for the first deadline
LIMIT_FIRST = 8  # servers that it counts with then at the least: a pool of one opens to all its desks at once
LIMIT_SURGE = 2.0  # times what the answers of late would keep in flight at the wanted latency, then
LIMIT_SMALL = 4.0  # ... and so many requests, for sidecars that rarely send
LIMIT_IDLE = 2.0  # ... and so many for each ready server, all sidecars together
LIMIT_LEAST = 0.5  # of a request for each ready server, all sidecars together: enough to notice recovery
LATELY_FADE = 0.95  # for each correction, of the highest number lately in flight
LIMIT_LEVEL = 4.0  # times the goal's weight of the worst-served class: at a quarter, all are shed alike
LIMIT_RARE = 0.2  # of the requests that find none in flight are let in: enough to notice recovery
LIMIT_CHEAP = 0.5  # of the limit is open to the work of least worth for its cost, all of it to the dearest

# What a client's later try is still worth.
TRY_SURE = 5  # tries more that state the wait of a first try than other waits, to tell its age by it
TRY_MOST = 20  # ... that are remembered, so that another wait is learned within as many
AGE_SURE = 1.5  # usual latencies before the aim: the answer comes in time
AGE_LOST = 0.5  # ... and it hardly ever does
VALUE_LEAST = 0.2  # part of the limit that is open to work that comes too late: done where there is room

# Fairness.
SHARES_EVERY = 0.5  # shortest deadlines between judgements: bursts rise within seconds
SHARES_SMOOTHING = 0.5  # weight of the latest such span
SHARES_USUAL = 1.3  # times the middle tenant's use of its share, where peers are not heard, is within share
PEER_FADE = 6.0  # such spans until a peer's word no longer counts
RATE_UNIT = 64  # steps of a request a second in the peers' message

# Asking discovery, as parts of the time within which a sidecar must ask.
WATCH_SPREAD = 0.05  # the first call and the first repeat of it are spread over this
WATCH_MOST = 0.4  # ... doubling up to this, so that two calls fit
WATCH_LEAST = 0.1  # of the span at the least, to leave a failing registry alone
WATCH_AGAIN = 1.5  # seconds at the most: after a failure a change counts as told 6 s later, whatever the span

SECOND = 1_000_000_000

AGAIN = 1 << 16  # marks the timers of attempts that were overdue before
OUT, NEVER_RAN, MAY_HAVE_RUN = range(3)
OVERDUE, REPEAT, WATCH = range(3)  # kinds of timers
PROVES_NOT_RUN = frozenset((Status.FULL, Status.CONNECT_FAILED, Status.MOOT))

UNWRITTEN = frozenset((Status.CONNECT_FAILED, Status.MOOT))


def _part(time: float, usual: float) -> float:
    """How likely so much time is enough, from 0 to 1."""
    return min(max((time / usual - AGE_LOST) / (AGE_SURE - AGE_LOST), 0.0), 1.0)


class Server:
    """What this sidecar believes of one server."""

    def __init__(self, entry: Endpoint, rank: float) -> None:
        self.id = entry.server
        self.rank = rank  # by the own seed: each sidecar samples from others
        self.out: dict[tuple[int, int], Flight] = {}  # by request and attempt
        self.lost: set[tuple[int, int]] = set()  # of these, whose answers are not waited for any more
        self.pressed: set[tuple[int, int]] = set()  # ... and those counted as pressure while they wait
        self.listed = True
        self.sampled = True
        self.restart(entry)

    def waited_for(self) -> int:
        return len(self.out) - len(self.lost)

    def restart(self, entry: Endpoint) -> None:
        self.zone = entry.zone
        self.kind = entry.kind
        self.cell = entry.cell
        self.ready = entry.state is State.READY
        self.started = entry.started_ns
        self.ramp_from = entry.ramp_from_ns or entry.started_ns
        self.rel = 1.0  # not heard from: counts at the mean, a cold one too, whose pace protects it
        self.samples = 0
        self.heard = 0
        self.last_ok = 0
        self.load = 0.0  # requests held, as last reported
        self.load_at = 0
        self.unit = 0.0  # smoothed latency for each request held, in class means; 0: not known
        self.strikes = 0.0
        self.turned = 0  # attempts in a row that it turned away
        self.ejected = False
        self.ejections = 0
        self.trial_at = 0
        self.trial_out = False
        self.cold_tokens = 0.0
        self.cold_room = 0.0  # requests until the ceiling that no answers raise
        self.cold_at = 0


class Group:
    """What this sidecar believes of servers that the list describes alike: of one kind, near or far."""

    def __init__(self) -> None:
        self.rel = 1.0  # smoothed latency, in class means
        self.samples = 0
        self.load = 0.0  # mean of what is reported
        self.unit = 1.0
        self.reports = 0
        self.lean = 0.0  # logarithm of the weight with which its servers are sampled


class Work:
    """What this sidecar believes of the requests of one class."""

    def __init__(self, spec: RequestClass) -> None:
        self.spec = spec
        self.base = spec.objective_ns * UNKNOWN_LATENCY  # smoothed latency, and its mean deviation
        self.deviation = self.base / 2
        self.seen = 0
        self.usual = self.base
        self.usual_at = 0
        self.try_span = 0  # how long clients wait for a first try: what most tries state
        self.try_votes = 0  # tries of late that stated it, less those that did not
        self.share = 1.0  # of the limit that is open to it


class Flight:
    """An attempt that is out."""

    __slots__ = ("overtaken", "sent", "work")

    def __init__(self, sent: int, work: Work) -> None:
        self.sent = sent
        self.work = work
        self.overtaken = 0  # by so many answers to later ones


class Open:
    """A request that is owed an answer, by the settings that it was taken under."""

    def __init__(self, request: api.Request, work: Work, most: int, now: int) -> None:
        self.id = request.id
        self.work = work
        self.most = most  # attempts
        self.tenant = request.tenant
        self.spec = work.spec
        self.deadline = request.deadline_ns
        self.send_by = now + int(UNSENT_MOST * (self.deadline - now))
        self.written = False  # some attempt has reached a server
        self.age = 0  # since the client's first try, as far as is known
        self.attempts: list[list] = []  # [server, sent, state], by number
        self.repeats = 0  # delays waited so far
        self.charged = False  # the next repeat has been paid for
        self.planned = False  # a repeat waits in the timer heap
        self.streaming = False
        self.asked: list[Server] = []  # candidates whose load is being asked for
        self.asked_at = 0

    def any_out(self) -> bool:
        return any(attempt[2] == OUT for attempt in self.attempts)

    def never_ran(self) -> bool:
        """Whether each attempt is proven not to have run; one still out may have."""
        return all(attempt[2] == NEVER_RAN for attempt in self.attempts)


class Balancer:
    def __init__(self, settings: Settings, seed: int) -> None:
        self.works = [Work(spec) for spec in settings.classes]  # by their numbers, which retired ones keep
        self._take(settings, self.works)
        self.random = random.Random(seed)
        self.now = 0
        self.actions: list[api.Action] = []
        self.servers: dict[int, Server] = {}
        self.open: dict[int, Open] = {}
        self.near: list[Server] = []  # ready and not ejected, in the own zone
        self.far: list[Server] = []
        self.ejected: list[Server] = []
        self.ready_count = 0
        self.rest: list[Server] = []  # those that are not sampled from
        self.view: api.Fleet | None = None  # what is told of the other sidecars
        self.sees_little = True
        self.crowded = True  # there are more sidecars than servers
        self.set_size = 0
        self.groups: defaultdict[tuple[int, bool], Group] = defaultdict(Group)
        self.mean_rel = 1.0
        self.asking: dict[int, list[int]] = {}  # server -> requests that wait for what it holds
        self.stands_for = [1.0, 1.0]  # ready servers near and far for each one sampled
        self.demand = 0.0  # own requests a second
        self.demand_at = 0
        self.began = 0
        self.timers: list[tuple[int, int, int, int]] = []
        self.timer_armed = 0
        self.timer_token = 0
        self.rate = 0.0  # own requests answered per second, smoothed
        self.forget = 1.0  # time in which an estimate halves its distance to the mean
        self.rate_at = 0
        self.retry_tokens = RETRY_SHARE * RETRY_RESERVE
        self.pressure = PRESSURE_PRIOR
        self.press_sum = self.press_count = 0.0
        self.pressed_at = 0
        self.inflight = 0  # own attempts out, but for those at ejected servers
        self.inflight_lately = 0.0
        self.bound_at = 0
        self.done_units = 0.0  # wanted latencies of what was answered since the last correction
        self.wanted_inflight = 0.0
        self.born = 0  # time of the first correction
        self.good = 0.0  # the limit after the first of the latest cuts
        self.pressed = False
        self.cut_at = 0  # attempts sent before the latest cut tell nothing of what it did
        self.shares_at = 0
        self.limit = 1e9  # until the first correction
        self.limit_at = 0
        self.watch_fails = 0
        self.watching = False
        self.log_at = 0
        self.handlers: dict[type, Callable] = {
            api.Request: self._on_request,
            api.Outcome: self._on_outcome,
            api.Timer: self._on_timer,
            api.Dropped: self._on_dropped,
            api.Membership: self._on_membership,
            api.PeerMessage: self._on_peer,
            api.ProbeResult: self._on_probe,
            api.StreamStarted: self._on_stream,
            api.BodySent: self._on_body,
            api.Retune: self._on_retune,
            api.Fleet: self._on_fleet,
        }

    def _take(self, settings: Settings, live: list[Work]) -> None:
        self.settings = settings
        self.live = live  # what new requests may be of
        self.has_safe = any(work.spec.effect is Effect.SAFE for work in live)
        self.shortest = min(work.spec.deadline_ns for work in live)
        self.limit_every = int(self.shortest * LIMIT_EVERY)
        self.cross = settings.price_cross_zone * CROSS_WEIGHT
        columns = settings.report_columns
        held = [columns.index(name) for name in ("inflight", "queue") if name in columns]
        self.load_column = held[0] if held else None
        tenants = len(settings.tenants)
        self.asked = [0.0] * tenants  # first tries since the shares were judged
        self.asks = [0.0] * tenants  # first tries per second, smoothed
        self.over_share: list[float] = []  # the part of each tenant's traffic that is over its share
        self.peer_asks: dict[int, tuple[int, list[float]]] = {}
        self.rates = struct.Struct(f"<{tenants}I")  # the peers' message: first tries a second by tenant

    def handle(self, now_ns: int, event: api.Event) -> list[api.Action]:
        """Take one event at the given time; return what to do, in order."""
        self.now = now_ns
        self.actions = []
        self.handlers[type(event)](event)
        if self.timers and (not self.timer_armed or self.timers[0][0] < self.timer_armed):
            self.timer_armed = self.timers[0][0]
            self.timer_token = (self.timer_token + 1) & 0xFFFFFFFF
            self.actions.append(api.SetTimer(max(self.timer_armed - now_ns, 1), self.timer_token))
        return self.actions

    # Events

    def _on_request(self, event: api.Request) -> None:
        req = Open(event, self.works[event.cls], self.settings.max_attempts, self.now)
        self.open[req.id] = req
        self.retry_tokens = min(
            self.retry_tokens + RETRY_SHARE, RETRY_SHARE * RETRY_RESERVE * max(self.rate, 1.0)
        )
        if self.asks and not event.is_retry:
            self._count_tenant(req.tenant)
        self._count_demand()
        if event.deadline_ns <= self.now:
            self._end(req)
            return
        worth = self._worth_asking(req.work) if self.sees_little else 0.0
        asks = worth > 0.0 and self.random.random() < worth
        server = None if asks else self._pick(req)
        if server is None and not asks:
            self._plan_repeat(req)
        elif not self._admit(req, self._value(event, req)):
            self._end(req)
        elif server is not None:
            self._send(req, server)
        else:
            self._ask(req)

    def _worth_asking(self, work: Work) -> float:
        """How often two probes pay: what they save of the answers expected late, against their price."""
        if not (self.settings.can_probe and self.load_column is not None):
            return 0.0
        late = math.exp(-work.spec.objective_ns / work.base)  # latencies are near that
        return late * ASK_GAIN / max(self.settings.price_probe, 1e-6)

    def _ask(self, req: Open) -> None:
        """Hold a request for some ticks and ask two servers what they hold.

        Guards against picking blindly: the own news of a server are of a deadline ago, its queue is of now.
        """
        req.asked = [server for server, _ in self._sampled(req, ())]
        if len(req.asked) < 2:
            req.asked = []
            self._repeat(req)
            return
        for server in req.asked:
            self.asking.setdefault(server.id, []).append(req.id)
            self.actions.append(api.Probe(server.id))
        req.planned = True
        req.asked_at = self.now
        wait = min(ASK_WAIT * req.spec.objective_ns, BACKOFF_CAP * (req.deadline - self.now))
        self._at(self.now + int(wait), REPEAT, req.id)

    def _choose(self, req: Open) -> None:
        """Send to the better one of those that told their load; to a silent one only if none did."""
        fit = [server for server in req.asked if not server.ejected and self._may_send(req, server)]
        fit = [server for server in fit if server.load_at >= req.asked_at] or fit
        req.asked = []
        req.planned = False
        if fit:
            self._send(req, min(fit, key=lambda server: self._delay(server, req.work)))
        else:
            self._repeat(req)

    def _on_outcome(self, event: api.Outcome) -> None:
        self._landed(event)
        req = self.open.get(event.id)
        if req is None:
            return
        unsent = event.status is Status.MOOT
        if event.attempt < len(req.attempts):
            proven = event.status in PROVES_NOT_RUN
            req.attempts[event.attempt][2] = NEVER_RAN if proven else MAY_HAVE_RUN
            req.written |= event.status not in UNWRITTEN
            if unsent:  # this machine could not: it was no attempt, and cost nobody
                req.most += 1
                req.charged = True
        if event.final:
            self._forget(req)
        elif event.status is Status.ERROR:
            self._end(req)  # a plain error is an answer: the design does not repeat it
        elif not req.planned:
            self._plan_repeat(req, unsent)

    def _landed(self, event: api.Outcome | api.StreamStarted) -> None:
        """Take an attempt out of what is in flight, and its end into the estimates."""
        server = self.servers.get(event.server)
        key = (event.id, event.attempt)
        out = server.out.pop(key, None) if server else None
        if server is None or out is None:
            return  # of a stream that began long ago, or of a server that is gone
        lost, pressed = key in server.lost, key in server.pressed
        server.lost.discard(key)
        server.pressed.discard(key)
        if not lost and not server.ejected:
            self.inflight -= 1
        self._learn(server, out, event, lost, pressed)

    def _on_retune(self, event: api.Retune) -> None:
        """Go by other settings. Estimates of a class go on under its name, open requests by their own."""
        known = {work.spec.name: work for work in self.live}
        for number, spec in enumerate(event.settings.classes):
            if number < len(self.works) and self.works[number].spec == spec:
                continue
            work = copy(known[spec.name]) if spec.name in known else Work(spec)
            work.spec, work.try_votes = spec, 0  # the wait of its first tries may be another
            self.works[number : number + 1] = [work]
        self._take(event.settings, [w for n, w in enumerate(self.works) if n not in event.retired])
        self.regroup()

    def _on_dropped(self, event: api.Dropped) -> None:
        req = self.open.get(event.id)
        if req is not None:
            self._forget(req)

    def _on_stream(self, event: api.StreamStarted) -> None:
        """A body flows: nothing more may be sent, and how long it takes says nothing of its server.

        Guards the limit and the estimates against a client that takes a minute for a long message.
        """
        self._landed(event)
        req = self.open.get(event.id)
        if req is not None:
            req.streaming = True
            self._cancel_others(req, event.attempt)

    def _on_body(self, event: api.BodySent) -> None:
        req, server = self.open.get(event.id), self.servers.get(event.server)
        if req is not None and server is not None:  # from now on its server works on it
            server.out[(event.id, event.attempt)] = Flight(self.now, req.work)
            self.inflight += not server.ejected

    def _on_peer(self, event: api.PeerMessage) -> None:
        """A peer's rates by tenant; anything of another length is not ours and skipped."""
        if len(event.data) == self.rates.size and event.sender < self.settings.fleet_size:
            rates = [value / RATE_UNIT for value in self.rates.unpack(event.data)]
            self.peer_asks[event.sender] = (self.now, rates)

    def _on_fleet(self, event: api.Fleet) -> None:
        """Who is there, and what several found. A hint is a prior: it takes a failure of one's own."""
        self.view = event
        for number, told in event.usual.items():
            if not (work := self.works[number]).seen:
                work.base, work.usual, work.deviation, work.seen = told, told, told / 2, USUAL_FIRST // 3
        for server in self.servers.values():
            server.rank = event.ranks.get(server.id, server.rank)
            if server.id in event.failing and not server.ejected:
                server.strikes = max(server.strikes, STRIKES - 1.0)
            if server.id in event.answering:
                server.trial_at = min(server.trial_at, self.now)
        self.regroup()

    def _sidecars(self) -> int:
        return self.view.live if self.view else self.settings.fleet_size

    def _on_probe(self, event: api.ProbeResult) -> None:
        server = self.servers.get(event.server)
        waiting = self.asking.pop(event.server, ())
        if server is None or event.status is not Status.OK:
            return  # the requests that asked go elsewhere when their wait is over
        self._heed(server, event.report)
        for ident in waiting:
            req = self.open.get(ident)
            if req is not None and req.asked and all(s.load_at >= req.asked_at for s in req.asked):
                self._choose(req)

    def _on_timer(self, event: api.Timer) -> None:
        if event.token == self.timer_token:
            self.timer_armed = 0
        while self.timers and self.timers[0][0] <= self.now:
            _, kind, ident, attempt = heapq.heappop(self.timers)
            if kind == WATCH:
                if not self.watching:
                    self.actions.append(api.Watch(True))
                continue
            req = self.open.get(ident)
            if req is None or req.streaming:
                continue
            if kind == OVERDUE:
                self._overdue(req, attempt)
            elif kind == REPEAT:
                if req.asked:
                    self._choose(req)
                elif req.planned:
                    req.planned = False
                    self._repeat(req)

    def _at(self, due: int, kind: int, ident: int = 0, attempt: int = 0) -> None:
        heapq.heappush(self.timers, (due, kind, ident, attempt))

    # Picking: the lower expected delay of two sampled

    def _delay(self, server: Server, work: Work) -> float:
        """Expected delay by the design: (in-flight + 1) x smoothed latency.

        A sidecar that sees little draws it about the estimate, the wider the older its news is: most of
        what is in flight there is of others. Guards against all of them crowding the faster kind.
        """
        news = server.heard
        if self.sees_little and self.now - server.load_at < LOAD_FADE * self.shortest:
            group = self._group(server)
            known = 0.5 ** ((self.now - server.load_at) / (LOAD_FADE * self.shortest))
            load = max(group.load + (server.load - group.load) * known, len(server.out))
            delay = (load + 1.0) * (server.unit or group.unit) * work.base
            delay = max(delay, self._silence(server))
            news = server.load_at
        else:
            delay = (len(server.out) + 1) * self._slowness(server) * work.base
        if self.sees_little:
            stale = 1.0 - 0.5 ** ((self.now - news) / (STALE_AFTER * self.shortest))
            delay *= self.random.expovariate(1.0) ** (stale / STALE_SHARPNESS)
        return delay

    def _slowness(self, server: Server) -> float:
        """Smoothed latency in class means, aged towards the mean, raised by an unanswered attempt."""
        mean = self._group(server).rel if self.sees_little else 1.0
        rel = server.rel if server.samples else mean
        rel = mean + (rel - mean) * 0.5 ** ((self.now - server.heard) / self.forget)
        if server.out:
            out = next(iter(server.out.values()))
            rel = max(rel, (self.now - max(out.sent, server.last_ok)) / out.work.base)
        return rel

    def _silence(self, server: Server) -> float:
        """Silence with work outstanding is evidence before any time-out: a hung server."""
        if not server.out:
            return 0.0
        return self.now - max(next(iter(server.out.values())).sent, server.last_ok)

    def _heed(self, server: Server, report: tuple[float, ...], rel: float = 0.0) -> None:
        """Take a load report, and what the answer that it came with took for each request held."""
        if self.load_column is None or len(report) <= self.load_column:
            return
        load = report[self.load_column]
        if not 0.0 <= load < math.inf:
            return
        server.load, server.load_at = load, self.now
        group = self._group(server)
        group.reports += 1
        weight = max(GROUP_SMOOTHING, 1.0 / group.reports)
        group.load += weight * (load - group.load)
        if rel:
            unit = rel / (load + 1.0)
            group.unit += weight * (unit - group.unit)
            server.unit = (server.unit or group.unit) + SMOOTHING * (unit - (server.unit or group.unit))

    def _pick(self, req: Open) -> Server | None:
        """Two sampled of the own zone against two sampled of the others, which pay for the crossing."""
        if self.ejected and (trial := self._trial(req)):
            return trial
        tried = {attempt[0] for attempt in req.attempts} if req.attempts else ()
        for fresh in (True, False):
            best = None
            lowest = 0.0
            for server, extra in self._sampled(req, tried if fresh else ()):
                delay = self._delay(server, req.work) + extra
                if best is None or delay < lowest:
                    best, lowest = server, delay
            if best is not None:
                return best
            if not tried:
                break
        for server in self.ejected:  # nothing better: an ejected one may have recovered
            if not server.trial_out and self._may_send(req, server):
                return server
        return None

    def _sampled(self, req: Open, tried) -> list[tuple[Server, float]]:
        """Candidates, with what is added to their delay for crossing zones."""
        if not self.sees_little:
            pairs = [(server, 0.0) for server in self._two(self.near, req, tried)]
            if self.far:
                cross = self.cross * req.spec.objective_ns
                pairs += [(server, cross) for server in self._two(self.far, req, tried)]
            return pairs or [(server, 0.0) for server in self._two(self.rest, req, tried)]
        # Too few own answers to know a zone or kind as overrun by its servers: two of the set, by weights
        # that follow what each group's answers took. The price of a crossing is in the weights.
        fit = [
            server for server in self.near + self.far if server not in tried and self._may_send(req, server)
        ]
        if not fit:
            fit = [server for server in self.rest if server not in tried and self._may_send(req, server)]
        if len(fit) > 2:
            own, parts = self.settings.zone, self.stands_for
            weights = [math.exp(self._group(server).lean) * parts[server.zone != own] for server in fit]
            first = self.random.choices(range(len(fit)), weights)[0]
            weights[first] = 0.0
            fit = [fit[first], fit[self.random.choices(range(len(fit)), weights)[0]]]
        return [(server, 0.0) for server in fit]

    def _group(self, server: Server) -> Group:
        return self.groups[server.kind, server.zone != self.settings.zone]

    def _lean(self, server: Server, rel: float) -> None:
        """Lean towards the groups that answer sooner than the mean, as integral control does.

        Guards against a zone with more traffic than its servers carry, and a slow kind, being overrun in
        the first seconds: one sidecar's steps are noise, those of the whole fleet together are not.
        """
        group = self._group(server)
        group.samples += 1
        group.rel += max(GROUP_SMOOTHING, 1.0 / (group.samples + 1)) * (rel - group.rel)
        excess = rel - self.mean_rel
        self.mean_rel += GROUP_SMOOTHING * excess
        if server.zone != self.settings.zone:
            aims = sum(w.spec.objective_ns for w in self.live) / sum(w.base for w in self.live)
            excess += LEAN_CROSS * self.settings.price_cross_zone * aims
        lean = group.lean * (1.0 - LEAN_FADE) - LEAN * min(max(excess, -1.0), LEAN_CLIP)
        group.lean = min(max(lean, -LEAN_MOST), LEAN_MOST)

    def _two(self, group: list[Server], req: Open, tried) -> list[Server]:
        """Up to two different servers of the group that may take this request now."""
        found: list[Server] = []
        size = len(group)
        if not size:
            return found
        at = self._below(size)
        step = 1 + self._below(size - 1) if size > 2 else 1
        for turn in range(size + 1):
            # The first two are a uniform pair; the walk over all beyond them only replaces unfit ones.
            server = group[(at + (turn * step if turn < 2 else turn - 1)) % size]
            if server in found or server in tried or not self._may_send(req, server):
                continue
            found.append(server)
            if len(found) == 2:
                break
        return found

    def _below(self, count: int) -> int:
        """A number from 0 to count - 1, as `randrange` draws it, without its checks."""
        bits = count.bit_length()
        number = self.random.getrandbits(bits)
        while number >= count:
            number = self.random.getrandbits(bits)
        return number

    # Sending: every send passes _may_send, every refusal _may_refuse

    def _may_send(self, req: Open, server: Server) -> bool:
        """Whether this request may be sent to this server now, by the rules and by pace."""
        if not server.ready or not server.listed or req.streaming:
            return False
        attempts = req.attempts
        if not attempts:
            return not server.started or self._cold_allows(server, req.work, False)
        if not self._any_left(req, self.now):
            return False
        spec = req.spec
        for other, _, state in attempts:
            if state == NEVER_RAN:
                continue
            if state == OUT and not self.settings.second_copies:
                return False
            if spec.effect is Effect.KEYED:
                if spec.scope is Scope.CELL and other.cell != server.cell:
                    return False
                if spec.scope is Scope.ZONE and other.zone != server.zone:
                    return False
        return self._cold_allows(server, req.work, False)

    def _may_refuse(self, req: Open) -> bool:
        """Whether a refusal, which invites the client to try again, does no harm."""
        spec = req.spec
        free = spec.effect is Effect.SAFE or (spec.effect is Effect.KEYED and spec.scope is Scope.ALL)
        return free or req.never_ran()

    def _send(self, req: Open, server: Server) -> None:
        now = self.now
        number = len(req.attempts)
        req.attempts.append([server, now, OUT])
        req.charged = False
        overdue = self._overdue_after(server, req.work, req.deadline - now)
        server.out[(req.id, number)] = Flight(now, req.work)
        if server.ejected:
            server.trial_out = True
        else:
            self.inflight += 1
        if server.started:
            self._cold_allows(server, req.work, True)
        # No time-out of its own: an overdue attempt is judged by what its server did meanwhile.
        self.actions.append(api.Send(req.id, server.id))
        self._at(now + overdue, OVERDUE, req.id, number)

    def _count_answer(self) -> None:
        tau = self.settings.overload_for_ns
        self.rate = self.rate * max(0.0, 1.0 - (self.now - self.rate_at) / tau) + SECOND / tau
        self.rate_at = self.now
        self.forget = FORGET_GAPS * max(self.ready_count, 1) / max(self.rate, 1.0) * SECOND

    def _overdue_after(self, server: Server, work: Work, left: int) -> int:
        """When to doubt an attempt: a slow server is given its time, lest load looks like loss."""
        usual = max(work.base + OVERDUE_DEVIATIONS * work.deviation, OVERDUE_AT_LEAST * work.base)
        if server.rel > 1.0:
            usual *= server.rel
        return int(min(usual, OVERDUE_AT_MOST * left)) + 1

    # Repeating: full jitter, one bounded budget

    def _plan_repeat(self, req: Open, unsent: bool = False) -> None:
        """Wait a jittered part of the time left, then repeat; or end the request.

        Args:
            unsent: this machine could not send the last attempt. One more at the latest time costs nobody.
        """
        left = req.deadline - self.now - self.settings.tick_ns
        ceiling = min(BACKOFF_CAP, BACKOFF_BASE * 2 ** min(req.repeats, BACKOFF_EXPONENT))
        delay = int(self.random.uniform(BACKOFF_FLOOR, ceiling) * left)
        if unsent and not req.written and self.now < req.send_by:
            delay = min(delay, req.send_by - self.now)
        req.repeats += 1
        first = not req.attempts  # held for want of any server: not a repeat
        if (
            left <= 0
            or (not req.written and self.now + delay > req.send_by)
            or delay + BACKOFF_USEFUL * req.work.base > left
            or (not first and self.retry_tokens < 1.0 and not req.charged)
            or not self._any_left(req, self.now + delay)
        ):
            if not req.any_out():  # one still out may yet answer
                self._end(req)
            return
        if not first and not req.charged:
            self.retry_tokens -= 1.0  # when planned, or a lost server's attempts would all spend the last one
            req.charged = True
        req.planned = True
        self._at(self.now + max(delay, 1), REPEAT, req.id)

    def _any_left(self, req: Open, at: int) -> bool:
        """Whether the rules allow any further attempt at that time, wherever it went."""
        spec, tick = req.spec, self.settings.tick_ns
        if spec.effect is Effect.SAFE or len(req.attempts) >= req.most:
            return len(req.attempts) < req.most
        lasts = spec.window_ns - tick if spec.effect is Effect.KEYED else 0  # an effect's key is known
        return all(state == NEVER_RAN or at < sent + lasts for _, sent, state in req.attempts)

    def _repeat(self, req: Open) -> None:
        server = self._pick(req)
        if server is not None:
            self._send(req, server)
        elif not req.any_out():
            self._plan_repeat(req)

    def _end(self, req: Open) -> None:
        """Give the final answer."""
        if self._may_refuse(req):
            wait = 0
            if self.settings.retry_after:
                left = float(max(req.deadline - self.now, 0))
                spare = req.spec.objective_ns - req.age - req.work.usual
                if spare > 0.0:
                    left = min(left, spare)  # another try may still be in time; a later one hardly earns
                wait = min(self.settings.max_retry_after_ns, int(left * RETRY_AFTER))
                wait = int(wait * self.random.uniform(RETRY_AFTER_LEAST, 1.0))
            self.actions.append(api.Refuse(req.id, wait))
        else:
            self.actions.append(api.Fail(req.id))
        self._forget(req)

    def _forget(self, req: Open) -> None:
        del self.open[req.id]
        self._cancel_others(req, -1)

    def _cancel_others(self, req: Open, keep: int) -> None:
        if not self.settings.can_cancel:
            return
        for number, attempt in enumerate(req.attempts):
            if attempt[2] == OUT and number != keep:
                self.actions.append(api.Cancel(req.id, number))

    # Health

    def _learn(
        self, server: Server, out: Flight, event: api.Outcome | api.StreamStarted, lost: bool, pressed: bool
    ) -> None:
        """Take an attempt's end into the estimates of its server and class."""
        status, took = event.status, event.duration_ns
        sent, work, base = out.sent, out.work, out.work.base
        if server.ejected:
            server.trial_out = False
        if status is Status.MOOT:
            return
        if status is Status.OK:
            self._learn_usual(work, took)
            if server.cold_at:
                server.cold_tokens += PACE_EARN * self._cost(work)  # what it has answered it can do again
            self.done_units += self._unit(work)
            if self.now - self.born < self.shortest and self.pressure <= 1.0:
                self.limit += 1.0  # slow start (RFC 5681, 3.1): twice as much with each turn of the flight
            self._press(server, work, sent, took, PRESSURE_AIM)
            weight = max(CLASS_SMOOTHING, 1.0 / (work.seen + 1))
            work.seen += 1
            work.deviation += weight * (abs(took - base) - work.deviation)
            work.base = base + weight * (took - base)
            self._count_answer()
            server.strikes = 0.0
            server.turned = 0
            server.last_ok = self.now
            if server.ejected:
                self._readmit(server)
            self._sample(server, took / base)
            if event.report:
                self._heed(server, event.report, took / base)
            if server.out:
                self._overtake(server, sent)
        elif status is Status.FULL:
            self._sample(server, max(FULL_SAMPLE, server.rel))
            server.last_ok = self.now  # busy, but alive
            server.turned += 1
            if server.turned < TURNED_MOST:
                self._add_pressure(PRESSURE_FULL, sent)
            else:  # a full queue lets some in: this one is closing, and that is no load of the fleet's
                self._strike(server, STRIKES, EJECT_SHARE_ON_SILENCE)
        elif status is Status.CANCELLED:
            if took / base > server.rel:
                self._sample(server, took / base)
        else:
            self._sample(server, max(took / base, FAILURE_SAMPLE, server.rel))
            if status is Status.TIMEOUT and server.last_ok > sent and not (lost or pressed):
                self._press(server, work, sent, took, PRESSURE_DOUBT)
            if status is not Status.TIMEOUT:
                self._strike(server, 1.0, EJECT_SHARE)
            elif server.last_ok <= sent:
                self._strike(server, 1.0, EJECT_SHARE_ON_SILENCE)
            else:
                # The server lives, so all may be slow: let the yardstick follow, or time-outs multiply.
                work.base += CLASS_SMOOTHING * max(0.0, took - base)

    def _sample(self, server: Server, rel: float) -> None:
        fresh = 1.0 - 0.5 ** ((self.now - server.heard) / (SMOOTHING_SPAN * self.shortest))
        weight = max(SMOOTHING, 1.0 / (server.samples + 2), fresh if self.sees_little else 0.0)
        rel = min(rel, SAMPLE_LIMIT)
        server.rel += weight * (rel - server.rel)
        if self.crowded:
            self._lean(server, rel)
        server.samples += 1
        server.heard = self.now

    def _overdue(self, req: Open, number: int) -> None:
        """An attempt is late: evidence against a silent server, and a repeat if that one is ejected.

        Guards against retry storms: at a server not known to be bad either the work is long, which a
        repeat would not shorten, or all is slow, which a repeat would make worse. A sidecar with little
        traffic finds nearly every server silent, so silence alone is no reason to repeat.
        """
        first, number = number < AGAIN, number % AGAIN
        server, sent, state = req.attempts[number]
        if state != OUT:
            return
        silent = server.last_ok <= sent
        key = (req.id, number)
        if not first:
            if not silent:
                self._write_off(server, key)
        elif not silent:
            if key not in server.lost:
                # Late news is no use: count it while it waits.
                self._press(server, req.work, sent, self.now - sent, PRESSURE_DOUBT)
                server.pressed.add(key)
        else:  # one long piece of work must not condemn a server by itself
            self._strike(server, HINT_STRIKE, EJECT_SHARE_ON_SILENCE)
        if server.ejected:
            self._rescue(req, number)
        again = 2 * self.now - sent
        if again < req.deadline:
            self._at(again, OVERDUE, req.id, number + AGAIN)

    def _overtake(self, server: Server, sent: int) -> None:
        """An answer has overtaken the attempts sent before its own; after a few, theirs count as lost.

        Guards against a network or servers that drop some answers and give the others in time: taken for
        late ones, a tenth of lost answers halved the limit. It is no reason to call one off and repeat it.
        """
        gone: list[tuple[int, int]] = []
        for key, out in server.out.items():
            if out.sent >= sent:
                break
            out.overtaken += 1
            late = self.now - out.sent >= LOST_AT_LEAST * (out.work.base * max(server.rel, 1.0))
            if late and out.overtaken >= LOST_OVERTAKEN and key not in server.lost:
                gone.append(key)
        for key in gone:
            self._write_off(server, key)

    def _write_off(self, server: Server, attempt: tuple[int, int]) -> None:
        """Take an attempt that is overdue twice out of what is in flight: its answer is most likely lost.

        Guards against a network that drops answers: Little's law holds for what comes back. Attempts that
        never do filled a shrinking limit until their deadlines, and all requests were refused.
        """
        if attempt not in server.lost:
            server.lost.add(attempt)
            if not server.ejected:
                self.inflight -= 1

    def _rescue(self, req: Open, number: int) -> None:
        """Repeat an attempt that its server seems to have lost, where the class and the site allow it."""
        if req.planned or req.streaming or req.spec.effect is Effect.UNSAFE:
            return
        if self.retry_tokens < 1.0 or not self._any_left(req, self.now):
            return
        if self.settings.second_copies:
            self._plan_repeat(req)
        elif self.settings.can_cancel:
            self.actions.append(api.Cancel(req.id, number))  # only one may be out: its end plans the repeat

    def _strike(self, server: Server, weight: float, share: float) -> None:
        """Count a failure or an overdue attempt, and eject while at most this share would be out."""
        server.strikes += weight
        if server.ejected:
            self._set_trial(server)
            return
        if server.strikes >= STRIKES and len(self.ejected) + 1 <= share * self.ready_count:
            self._eject(server)

    def _eject(self, server: Server) -> None:
        server.ejected = True
        self.inflight -= server.waited_for()
        server.ejections = 0
        self._set_trial(server)
        self.regroup()
        self._log(f"ejected {server.id} after {server.strikes:.1f} strikes in a row")
        for ident, number in list(server.out):  # what waits there is likely lost: do not wait it out
            req = self.open.get(ident)
            if req is not None:
                self._rescue(req, number)

    def _set_trial(self, server: Server) -> None:
        if self.view:
            self.actions.append(api.Hint(server.id, False))
        wait = self.shortest * min(EJECT_FOR * EJECT_GROWTH**server.ejections, EJECT_MOST)
        server.ejections += 1
        server.trial_at = self.now + int(wait * self.random.uniform(1.0 - EJECT_JITTER, 1.0 + EJECT_JITTER))

    def _trial(self, req: Open) -> Server | None:
        """An ejected server that is due for one request: of a class safe to repeat, if there is any.

        Guards against sites without a safe class, where a server that recovered was never tried again.
        """
        if req.attempts or (self.has_safe and req.spec.effect is not Effect.SAFE):
            return None
        for server in self.ejected:
            if server.trial_at <= self.now and not server.trial_out and self._may_send(req, server):
                return server
        return None

    def _readmit(self, server: Server) -> None:
        if self.view:
            self.actions.append(api.Hint(server.id, True))
        server.ejected = False
        self.inflight += server.waited_for()
        server.rel = min(server.rel, FULL_SAMPLE)
        self.regroup()

    def regroup(self) -> None:
        """Rebuild the lists to sample from; only when a server changes state."""
        for server in [s for s in self.servers.values() if not s.listed and not s.out]:
            del self.servers[server.id]  # else memory grows with every server that ever was
        ready = [server for server in self.servers.values() if server.ready and server.listed]
        self.ready_count = len(ready)
        self.forget = FORGET_GAPS * max(self.ready_count, 1) / max(self.rate, 1.0) * SECOND
        self.ejected = [server for server in ready if server.ejected]
        here = self.settings.zone
        near = [server for server in ready if server.zone == here and not server.ejected]
        far = [server for server in ready if server.zone != here and not server.ejected]
        size = self.set_size = self._set_size()
        # Where servers outnumber sidecars each makes much of a server's load, whatever it sends just now.
        self.crowded = len(ready) < self._sidecars()
        self.sees_little = self.crowded and size < len(ready)
        if self.sees_little:
            near.sort(key=lambda server: server.rank)  # the same ones as long as they are fit
            far.sort(key=lambda server: server.rank)
            few = size
        else:
            known = math.ceil(FAR_KNOWN * len(far) / self._sidecars())
            if self.view and self.view.ranks:
                known = sum(server.rank < self.view.part for server in far)
            few = max(SET_LEAST, int(FAR_SPAN * size), known)
            size = len(ready)
            if few < len(far):
                far.sort(key=lambda server: server.rank)
        self.near, self.far, self.rest = near[:size], far[:few], near[size:] + far[few:]
        for server in ready:
            server.sampled = True
        for server in self.rest:
            server.sampled = False
        self.stands_for = [len(near) / max(len(self.near), 1), len(far) / max(len(self.far), 1)]

    def _set_size(self) -> int:
        """Servers of a side to sample from: so many that each is heard from about once a deadline.

        Guards against hundreds of sidecars that each meet a server once in half a minute and so never
        learn which ones are slow, crowded or hung.
        """
        return max(SET_LEAST, int(self.demand * SET_SPAN * self.shortest / SECOND))

    def _count_demand(self) -> None:
        if not self.began:
            self.began = self.demand_at = self.now
        span = min(self.now - self.began + self.shortest, DEMAND_SPAN * self.shortest)
        self.demand = self.demand * max(0.0, 1.0 - (self.now - self.demand_at) / span) + SECOND / span
        self.demand_at = self.now
        size = self._set_size()
        if size != self.set_size and min(size, self.set_size) < self.ready_count:
            self.regroup()

    # Cold servers

    def _ramp(self, server: Server) -> float:
        """The least part of its capacity that a server has by now, by the settings."""
        start, warm = self.settings.start_capacity, self.settings.warm_within_ns
        age = self.now - server.ramp_from
        if not server.started or age >= warm:
            return 1.0
        return max(start + (1.0 - start) * max(age, 0) / warm, 0.01)

    def _cold_allows(self, server: Server, work: Work, take: bool) -> bool:
        """Pace to a cold server: its ramp's part of a fair share of the own traffic.

        Guards against pushing over a starting server: with every sidecar doing so, it gets PACE times the
        mean load of the fleet times its ramp, whoever carries how much. Its answers let it have more, up to
        the overload factor times that: the budget of the fourth rule, as no server's capacity is less than
        the mean load. Without that bound an answer gave back more than its request had cost, so a process
        was paced no more from its first answer on.
        """
        if not server.started:
            return True
        ramp = self._ramp(server)
        if ramp >= 1.0:
            return True
        # No answers of late mean no right to send: a rate remembered from better times would not do.
        fade = max(0.0, 1.0 - (self.now - self.rate_at) / self.settings.overload_for_ns)
        # Those who do not sample it leave their part to those who do.
        among = self.ready_count - len(self.rest) if server.sampled else self.ready_count
        fair = self.rate * fade / max(among, 1)
        pace = PACE * ramp * fair
        limit = max(1.0, pace * PACE_BURST) + min(server.samples * PACE_TRUST, PACE_TRUST_MOST)
        ceiling = PACE_CEILING * self.settings.overload_factor * ramp * fair
        ceiling_limit = max(1.0, ceiling * PACE_BURST)
        if not server.cold_at:
            # Part of a first token each: from none at all, hundreds of sidecars with little traffic would
            # leave a restarted server idle until all of them had saved up for it.
            least = min(self._cost(other) for other in self.live)
            server.cold_tokens = self.random.random() * least
            server.cold_room = server.cold_tokens
        else:
            passed = (self.now - server.cold_at) / SECOND
            server.cold_tokens = min(limit, server.cold_tokens + pace * passed)
            server.cold_room = min(ceiling_limit, server.cold_room + ceiling * passed)
        server.cold_at = self.now
        cost = self._cost(work)
        if take:
            server.cold_tokens -= cost
            server.cold_room -= cost
            return True
        return server.cold_tokens >= min(cost, limit) and server.cold_room >= min(cost, ceiling_limit)

    def _cost(self, work: Work) -> float:
        """The work of a class against the mean of the classes, by its usual latency."""
        return work.usual * len(self.live) / sum(other.usual for other in self.live)

    # Admission

    def _value(self, event: api.Request, req: Open) -> float:
        """The part of its worth that a request can still be expected to earn.

        Aim and deadline of a class run from the client's first try, and a later try is cut short at that
        deadline: so a short try tells its age. Guards against overload in which the work that is let
        through is mostly such that it comes too late anyway.
        """
        spec, work = req.spec, req.work
        left = event.deadline_ns - self.now
        usual = work.usual
        if not event.is_retry:
            self._vote_span(work, left)
        span = work.try_span
        if left < span - 2 * self.settings.tick_ns and work.try_votes >= TRY_SURE:
            req.age = spec.deadline_ns - left
            in_time = _part(spec.objective_ns - req.age, usual)
        elif event.is_retry and spec.deadline_ns > span:
            # Not cut short: it may be of any age up to this.
            in_time = min(max(spec.objective_ns - usual, 0.0) / (spec.deadline_ns - span), 1.0)
        else:
            in_time = 1.0
        return max((in_time + (1.0 - in_time) * spec.late_worth) * _part(left, usual), VALUE_LEAST)

    def _vote_span(self, work: Work, left: int) -> None:
        """Learn the wait that first tries state as the one of a majority (Boyer and Moore, 1981).

        Guards against clients that don't mark later tries and may wait longer for these: by the longest
        wait all their first tries looked old, were refused, and came again with that longest wait.
        """
        if abs(left - work.try_span) <= 2 * self.settings.tick_ns:
            work.try_votes = min(work.try_votes + 1, TRY_MOST)
        elif work.try_votes:
            work.try_votes -= 1
        else:
            work.try_span = left

    def _admit(self, req: Open, value: float) -> bool:
        """Refuse early what would make the requests in flight outgrow what is answered in time.

        Guards against queues in which everything is answered too late, against servers that turn slow
        when crowded, and against clients that come back at once, whom no shed share could outrun.
        """
        if self.now - self.limit_at >= self.limit_every:
            self._correct_limit()
        share = req.work.share
        if self.over_share and self.random.random() < self.over_share[req.tenant]:
            share = LIMIT_CHEAP + (share - LIMIT_CHEAP) * self.settings.over_share_worth
        limit = self.limit * share * value
        if self.sees_little and limit < 1.0 and not self.inflight:
            # Guards against a thousand sidecars with a request each now and then, whom no limit of one
            # holds back: of what they would keep in flight at the wanted latency a part is let in.
            natural = self.demand * self._unit(req.work) / SECOND
            if self.random.random() < max(limit / natural, 2.0 - self.pressure, LIMIT_RARE):
                return True
        elif self.inflight + 1 <= max(limit, 1.0):
            return True
        self.bound_at = self.now
        return False

    def _correct_limit(self) -> None:
        first = not self.born
        self.born = self.born or self.now
        passed = max(self.now - self.limit_at, 1)
        self.limit_at = self.now
        # A mean over a whole deadline would tell a restarted sidecar that hardly anything is answered.
        weight = min(passed / max(min(self.now - self.born, self.shortest), 1), 1.0)
        self.wanted_inflight += weight * (self.done_units / passed - self.wanted_inflight)
        self.done_units = 0.0
        self.inflight_lately = max(self.inflight, self.inflight_lately * LATELY_FADE)
        self._fade_pressure()
        if self.pressure > 1.0:
            # Little's law: at the rate of answers seen, so many in flight make the wanted latency. Unlike
            # repeated cuts it does not overshoot while the answers to an earlier crowd come in late.
            limit = min(self.limit, self.wanted_inflight / self.pressure)
            self.cut_at = self.now
            self.press_sum = self.press_count = 0.0
            if not self.pressed:  # later ones follow the few answers that this one leaves
                self.pressed = True
                self.good = limit
        elif self.cut_at and not self.press_count:
            limit = self.limit  # nothing that was sent since the cut has come back or is due
        else:
            self.pressed = False
            if self.now - self.born < self.shortest:
                servers = max(self.ready_count, LIMIT_FIRST)  # no answers to go by yet
                most = LIMIT_SLACK * (self.inflight_lately + servers)
                most = most if first else max(most, self.limit)
            else:
                # A limit that follows what is in flight lets a surge in before the first late answer.
                spread = LIMIT_IDLE * self.ready_count / self._sidecars()
                most = LIMIT_SURGE * self.wanted_inflight + LIMIT_SMALL + spread
            grow = LIMIT_GROW
            known = max(self.wanted_inflight, LIMIT_AGAIN * self.good)
            if self.now - self.bound_at < LIMIT_WARY * self.shortest and self.limit >= known:
                grow = 1.0 + LIMIT_CREEP * (1.0 - self.pressure)  # a leap over what is known good overshoots
            limit = min(self.limit * grow, most)
        # Every sidecar keeps its part of a floor, so that all together leave a tired fleet nearly idle.
        least = LIMIT_LEAST * self.ready_count / self._sidecars()
        self.limit = max(limit, least, 0.0 if self.sees_little else 1.0)
        top = max(self._density(work) for work in self.live) or 1.0  # classes may all be worth nothing
        # What is shed first is soon the worst-served class, which the goal may weigh by itself.
        cheap = LIMIT_CHEAP + (1.0 - LIMIT_CHEAP) * min(LIMIT_LEVEL * self.settings.goal_worst_class, 1.0)
        for work in self.live:
            work.share = cheap + (1.0 - cheap) * self._density(work) / top

    # Fairness: what a tenant asks beyond its share is the first to be shed

    def _count_tenant(self, tenant: int) -> None:
        """Count a first try; now and then work out how much of each tenant's traffic is over its share."""
        self.asked[tenant] += 1.0
        passed = self.now - self.shares_at
        if passed < SHARES_EVERY * self.shortest:
            return
        known, self.shares_at = self.shares_at, self.now
        if known:  # the first span has no beginning
            for number, asked in enumerate(self.asked):
                self.asks[number] += SHARES_SMOOTHING * (asked * SECOND / passed - self.asks[number])
        self.asked = [0.0] * len(self.asked)
        if self.settings.can_tell and self.settings.fleet_size > 1:
            told = [min(int(ask * RATE_UNIT), 0xFFFFFFFF) for ask in self.asks]
            self.actions.append(api.Tell(self.rates.pack(*told)))
        self._judge_shares()

    def _judge_shares(self) -> None:
        tenants = self.settings.tenants
        fresh = self.now - PEER_FADE * SHARES_EVERY * self.shortest
        peers = [rates for when, rates in self.peer_asks.values() if when >= fresh]
        if len(peers) + 1 >= self._sidecars():
            # All are heard: the shares are known as they are stated, over all sidecars together.
            part = 1.0
            asks = [sum(rates) for rates in zip(self.asks, *peers, strict=True)]
        else:
            # Only own traffic is seen: the own part of each share is guessed from the tenants' middle.
            asks = self.asks
            pairs = zip(asks, tenants, strict=True)
            loads = sorted(ask / tenant.quota_per_s for ask, tenant in pairs if tenant.quota_per_s > 0.0)
            part = loads[(len(loads) - 1) // 2] * SHARES_USUAL if loads else 0.0
        self.over_share = [
            1.0 - tenant.quota_per_s * part / ask if ask > tenant.quota_per_s * part > 0.0 else 0.0
            for ask, tenant in zip(asks, tenants, strict=True)
        ]

    def _density(self, work: Work) -> float:
        """Worth for the server time it takes."""
        return work.spec.worth if self.settings.worth_by_work else work.spec.worth / work.usual

    def _unit(self, work: Work, part: float = PRESSURE_AIM) -> float:
        """The latency of a class at which pressure is 1."""
        aim = work.spec.objective_ns
        return max(part * aim, min(PRESSURE_USUAL * work.usual, PRESSURE_AIM_MOST * aim))

    def _learn_usual(self, work: Work, took: int) -> None:
        known = work.seen
        if known < USUAL_FIRST:
            step = 1.0 / (known + 1)
        else:
            step = min((self.now - work.usual_at) / (USUAL_SPAN * self.shortest), 0.1)
            if self.pressure >= 1.0 or self.now - self.cut_at < self.shortest:
                step *= USUAL_DRIFT
        work.usual_at = self.now
        work.usual += step * (took - work.usual)

    def _press(self, server: Server, work: Work, sent: int, latency: float, part: float) -> None:
        """Take one attempt's latency into the pressure, a mean that fades with time to its prior."""
        if not server.ejected:
            self._add_pressure(latency / self._unit(work, part), sent)

    def _add_pressure(self, value: float, sent: int) -> None:
        """Guards the limit against being cut again for a flight that it has been cut for already."""
        if sent < self.cut_at:
            return
        self._fade_pressure()
        self.press_sum += min(value, PRESSURE_MOST)
        self.press_count += 1.0

    def _fade_pressure(self) -> None:
        if self.now > self.pressed_at:
            span = max(PRESSURE_SPAN * self.shortest, PRESSURE_SAMPLES * SECOND / max(self.rate, 1.0))
            fade = 0.5 ** ((self.now - self.pressed_at) / min(span, self.shortest))
            self.pressed_at = self.now
            self.press_sum *= fade
            self.press_count *= fade
        self.pressure = (self.press_sum + PRESSURE_PRIOR * PRESSURE_PRIOR_WEIGHT) / (
            self.press_count + PRESSURE_PRIOR_WEIGHT
        )

    # The server list

    def _on_membership(self, event: api.Membership) -> None:
        if event.kind is ListKind.CACHED:
            if self.settings.must_ask:
                # Restarted sidecars must not all ask at once.
                spread = self.settings.must_ask_in_ns * WATCH_SPREAD
                self._at(self.now + int(spread * self.random.random()), WATCH)
        elif event.kind is ListKind.FAILED:
            self.watching = False
            self._watch_later()
            return
        elif event.kind is not ListKind.LOCAL:
            self.watching = True
            self.watch_fails = 0
        if event.kind not in (ListKind.DELTA, ListKind.LOCAL):
            present = {entry.server for entry in event.entries}
            for server in self.servers.values():
                if server.id not in present:
                    server.listed = False  # absent from a complete list: gone
        for entry in event.entries:
            known = self.servers.get(entry.server)
            if known is None:
                self.servers[entry.server] = Server(entry, self.random.random())
            elif entry.started_ns != known.started or (entry.state is State.READY and not known.ready):
                if known.ejected:
                    self.inflight += known.waited_for()
                known.restart(entry)
            else:
                known.ready = entry.state is State.READY
                known.zone, known.cell = entry.zone, entry.cell
            self.servers[entry.server].listed = entry.state is not State.GONE
        before = len(self.near) + len(self.far)
        self.regroup()
        after = len(self.near) + len(self.far)
        if 0 < after < before:
            # What so many servers carried the fewer cannot: do not wait for late answers to learn it.
            self.limit *= after / before
            self.wanted_inflight *= after / before
            self.good *= after / before

    def _watch_later(self) -> None:
        if not self.settings.must_ask:
            return
        span = self.settings.must_ask_in_ns * min(WATCH_MOST, WATCH_SPREAD * 2**self.watch_fails)
        span = min(span, WATCH_AGAIN * SECOND)
        self.watch_fails += 1
        self._at(self.now + int(span * self.random.uniform(WATCH_LEAST, 1.0)) + 1, WATCH)

    def _log(self, text: str) -> None:
        """One line a second at most: the report keeps only a few hundred."""
        if self.now >= self.log_at:
            self.log_at = self.now + SECOND
            self.actions.append(api.Log(text))
