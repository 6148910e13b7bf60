"""A pool: one service's servers, its module, and the requests that it holds. Events in, actions out.

It knows no listener and no client's socket: who asks is a `ResponseSink`, what the process shares comes from
a `PoolHost`. So a pool can be made and driven without a node, and a node can have several.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections import Counter, deque
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Any, Protocol

from ...admission.budget import Allowance, Budget
from ...admission.rules import Client
from ...balancer.actions import (
    Cancel,
    CloseIdle,
    Fail,
    Fetch,
    Log,
    Probe,
    Refuse,
    ReportEndpointHealth,
    Send,
    SendToPeer,
    SetTimer,
    Watch,
)
from ...balancer.balancer import Balancer
from ...balancer.events import (
    BodySent,
    ClientDisconnected,
    Event,
    ListKind,
    Membership,
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
from ...balancer.latency import LEARNING_ANSWERS
from ...balancer.settings import Effect, Settings
from ...control.maintenance import Maintenance, MaintenanceOrder
from ...settings import Transport
from ...system import System
from ..clock import MS, SECOND, Clock
from ..discovery.client import DiscoveryClient
from ..discovery.codec import (
    EndpointRecord,
    EndpointUpdate,
    NameTable,
    endpoint_update_record,
    parse_endpoint_update,
)
from ..downstream.protocols import FlowControlled
from ..downstream.request_parser import BODY_MOST, ParsedRequest
from ..loop_lag import LoopLagMonitor
from ..memory_budget import MemoryBudget
from ..peers import Address, PeerChannel
from ..read_scheduler import ReadScheduler
from ..start_times import StartTimes
from ..streaming import Upload
from ..timer_wheel import Timed, TimerWheel
from ..upstream.classify import HttpProfile, Response
from ..upstream.connection_pool import ConnectionPool
from ..upstream.connector import LATE_S
from ..upstream.exchange import READ_WITHIN, Exchange
from .load_reports import LoadReportParser

log = logging.getLogger("dykefold")

ATTEMPT_MARGIN_NS = 15 * MS  # before the client's deadline the last attempt is given up
STALL_S = 3.0  # seconds in which a body or an answer that flows must move, where its server has the turn
KEPT_BACK_NS = 50 * MS  # more than is left that a server may be told where its last byte was kept back
FLOW_SPARED = 4  # one part in so many of its time is not told for a body that flows: it may be kept back
GUARD_MARGIN_NS = 8 * MS  # ... and a request that then still has no answer gets one
PROBE_TIMEOUT = 0.4  # seconds
NEXT_TURN_S = 0.001  # the least that is a timer: uvloop takes none at all for `call_soon`, before sockets
BODIED = frozenset((b"POST", b"PUT", b"PATCH"))  # methods whose requests say that their body is empty


class ResponseSink(Protocol):
    """Who asked, as a pool needs it."""

    client: Client

    def gone(self) -> bool:
        """Whether it has left, though that was not heard yet: nothing more is to be sent for it."""
        ...

    def answer(self, call: ParsedRequest, code: int, headers: bytes, body: bytes) -> None:
        """The one final answer; a later one has no effect."""
        ...

    def begin_answer(
        self, call: ParsedRequest, code: int, headers: bytes, length: int | None, paced: FlowControlled
    ) -> bool:
        """The one final answer begins, its body follows; False if this client can't be given it so."""
        ...

    def answer_piece(self, call: ParsedRequest, data: bytes) -> None:
        """The next bytes of that body."""
        ...

    def end_answer(self, call: ParsedRequest, whole: bool) -> None:
        """The body has ended; where it is not whole the client is let know."""
        ...


class PoolHost(Protocol):
    """What a process shares among its pools."""

    loop: asyncio.AbstractEventLoop
    system: System
    clock: Clock
    budget: Budget
    memory: MemoryBudget
    backlog: ReadScheduler
    deadlines: TimerWheel
    lag: LoopLagMonitor
    peers: PeerChannel | None

    def fault(self, text: str) -> None:
        """Log the exception that is being handled, now and then."""
        ...

    def settled(self, asker: ResponseSink, call: ParsedRequest, served: bool) -> None:
        """A request is owed nothing any more; its answer, if there is one, is given after this."""
        ...


class DescriptorReservations(Protocol):
    """The descriptors that a pool may set aside, as `Budget` gives them."""

    upstreams: Allowance

    def claim(self) -> bool: ...

    def unclaim(self) -> None: ...


class Attempt(Exchange):
    """One try of a request at one server."""

    __slots__ = (
        "answered_ns",
        "held",
        "moved",
        "number",
        "sent_ns",
        "server",
        "told_ns",
        "until_ns",
        "write_by_ns",
    )

    def __init__(self, held: PendingRequest, number: int, server: int, sent_ns: int) -> None:
        super().__init__(b"", held.ended, BODY_MOST)
        self.manner = held.call.manner
        self.stream_most = held.call.answer_most
        self.upload = held.call.upload
        self.held = held
        self.number = number
        self.server = server
        self.sent_ns = sent_ns
        self.answered_ns = 0  # when an answer began that is passed on as it comes
        self.moved = -1  # bytes of what flows, when they were last looked at
        self.told_ns = 0  # the time that its server is told to have
        self.until_ns = 0  # when it is given up; 0: its body is still on its way
        self.write_by_ns = 0  # when a connection comes later than this it is not written; 0: no such time

    def expire(self) -> None:
        """Its time is up; while something flows that is no time in all, but one in which nothing moved.

        Guards long messages, which outlast any deadline by right, and those who wait for the rest of one
        that has stopped.
        """
        if not self._flowing() or not self._moves():
            super().expire()
        elif self.deadlines is not None:
            self.deadlines.start(self, STALL_S, self.held.pool.monotonic())

    def _flowing(self) -> bool:
        return self.answered_ns > 0 or (self.upload is not None and not self.upload.ended)

    def _moves(self) -> bool:
        """Whether something has moved since the last look, or its client is the one to wait for."""
        if self.connection is None:
            return False  # nothing has gone out: as long as that a connection is not waited for
        before, self.moved = self.moved, self.connection.moved()
        if self.answered_ns:
            return self.connection.blocked or self.moved != before
        return not self.connection.unwritten or self.moved != before

    def wanted(self) -> bool:
        now = self.held.pool.now()
        if self.write_by_ns and now >= self.write_by_ns:
            return False  # it would be a second effect: its key is remembered no longer
        if self.until_ns and now >= self.until_ns:
            return False  # a late loop has not heard that its time is up
        return not self._told_too_much(now) and not self.held.asker.gone()

    def _told_too_much(self, now: int) -> bool:
        """Whether its server was told more, when its head went, than the client has left now.

        The platform's servers begin with a request when its last byte has come (PROTOCOL, sidecars to
        servers), and that can be kept back by a slow socket.
        """
        if self.connection is None or self.manner is not HttpProfile.PLATFORM:
            return False
        return now + self.told_ns > self.held.call.deadline_ns + KEPT_BACK_NS

    def compose(self) -> bytes:
        """The message; where its connection came up late its server is told the time that is left now."""
        pool = self.held.pool
        now = pool.now()
        if now - self.sent_ns >= MS:
            self.tell(self.until_ns - now if self.until_ns else pool.flow_time_ns(self.held.call, now))
        return self.payload

    def tell(self, left_ns: int) -> None:
        """Word the message for a server that has so long."""
        self.told_ns = left_ns
        self.payload = self.held.pool.message(self.held.call, left_ns)

    def limit(self, after_s: float) -> None:
        """Give it another time limit, from now on."""
        if self.deadlines is not None and not self.ended:
            self.deadlines.stop(self)
            self.deadlines.start(self, after_s, self.held.pool.monotonic())

    def upload_begins(self) -> None:
        held = self.held
        held.pool.post(StreamStarted(held.id, self.number, self.server, 0, Status.NOT_ATTEMPTED))
        if held.call.upload is not None and held.call.upload.ended:
            self.body_sent()

    def body_sent(self) -> None:
        """The body that flowed has come whole: its server has the turn."""
        self.held.pool.post(BodySent(self.held.id, self.number, self.server))

    def begin_answer(
        self, code: int, headers: list[tuple[bytes, bytes]], length: int | None, load: bytes
    ) -> bool:
        held = self.held
        if not held.owed or held.answering:
            return False
        held.answering = held.asker.begin_answer(held.call, code, _lines(headers), length, self)
        if held.answering:
            pool, self.answered_ns = held.pool, held.pool.now()
            pool.deadlines.stop(held)  # whose answer has begun in time
            took = self.answered_ns - max(
                self.sent_ns, self.upload.whole_ns if self.upload is not None else 0
            )
            report = pool.reports.read(load) if load and pool.reports.columns else ()
            pool.post(StreamStarted(held.id, self.number, self.server, max(took, 0), Status.OK, report))
        return held.answering

    def answer_piece(self, data: bytes) -> None:
        self.held.asker.answer_piece(self.held.call, data)

    def block(self, on: bool) -> None:
        """Let the server wait for the client, or go on."""
        if self.connection is not None:
            self.connection.block(on)


class PendingRequest(Timed):
    """A request that this sidecar has taken. Its limit is the last guard on its answer."""

    __slots__ = (
        "answering",
        "asker",
        "attempts",
        "call",
        "claims",
        "error",
        "id",
        "may_have_run",
        "most",
        "out",
        "owed",
        "pool",
        "ran_ns",
    )

    def __init__(self, ident: int, call: ParsedRequest, asker: ResponseSink, pool: Pool) -> None:
        self.tick = 0
        self.id = ident
        self.call = call
        self.asker = asker
        self.pool = pool
        self.attempts = 0
        self.most = pool.settings.max_attempts  # as it was taken, whatever settings say later
        self.out = 0  # of these, attempts that have not ended
        self.claims = 1  # descriptors set aside for it
        self.may_have_run = False  # some attempt has ended without a proof that it did not
        self.ran_ns = 0  # when the first of these began
        self.owed = True  # its final answer
        self.answering = False  # which has begun to be passed on
        self.error: Response | None = None  # what a server said of its failure, where that is passed on

    def expire(self) -> None:
        self.pool.guard(self)

    def body_whole(self) -> None:
        """The last byte of its body has come: its time counts from now on (PROTOCOL, figures)."""
        self.pool.start_time(self)

    def ended(self, attempt: Exchange, status: Status, answer: Response | None) -> None:
        self.pool.end_attempt(self, attempt, status, answer)  # type: ignore[arg-type]


class Pool:
    def __init__(
        self,
        home: PoolHost,
        settings: Settings,
        transport: Transport,
        seed: int,
        discovery: Address | None,
        names: NameTable,
        known: EndpointUpdate,
        budget: DescriptorReservations | None = None,
        elsewhere: Callable[[], bool] | None = None,
        label: str = "",
    ) -> None:
        """Make a pool.

        Args:
            discovery: where its list of servers comes from; None where the list is only ever given.
            known: the list to begin with.
            budget: the descriptors that it may set aside; None for all of the process's.
            elsewhere: closes a connection that another pool does not need; whether there was one.
            label: tells the pools of a process apart, and is the same in the next one.
        """
        self.home = home
        self.label = label
        self.loop = home.loop
        self.monotonic = home.system.monotonic
        self.clock = home.clock
        self.now = home.clock.now
        self.budget: DescriptorReservations = budget if budget is not None else home.budget
        self.deadlines = home.deadlines
        self.settings = settings
        self.max_open = transport.max_open
        self.names = names
        self.balancer = Balancer(settings, seed)
        self.reports = LoadReportParser(settings.report_columns)
        self.probe_path = b"/-/load" if settings.report_columns else b"/-/healthy"
        self.upstreams = ConnectionPool(
            home.loop,
            home.budget.upstreams,
            home.memory,
            settings.connect_timeout_ns / SECOND or 1.0,
            transport.conn_idle_ns / SECOND,
            home.backlog,
            home.deadlines,
            elsewhere,
            home.system,
        )
        self.discovery: DiscoveryClient | None = None
        if discovery is not None:
            self.discovery = DiscoveryClient(
                home.loop,
                discovery,
                names,
                known.version,
                self.on_news,
                pushed=not settings.must_ask,
                system=home.system,
            )
        self.closed = False
        self.gone: Callable[[Pool], None] | None = None  # told when it has retired
        self.held: dict[int, PendingRequest] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}  # those out, also of requests that are over
        self.next_id = 1
        self.events: deque[Event] = deque()
        self.attempted: Callable[[int, Status, int, int], None] | None = None  # told each attempt's end
        self.retired: frozenset[int] = frozenset()
        self.hinted: Callable[[int, bool], None] = lambda _server, _answers: None  # what it says to the fleet
        self.handling = False
        self.carry_out = self._actions()
        self.maintenance: Maintenance[EndpointRecord] = Maintenance(
            lambda entry, endpoint: replace(entry, endpoint=endpoint)
        )
        self.starts = StartTimes()
        self.version = known.version
        self._take_list(known, ListKind.CACHED)
        if not settings.must_ask:
            self._watch(True)

    # Events to the module, its actions

    def post(self, event: Event) -> None:
        """Hand the module an event after those that came before it; then do what it says."""
        self.events.append(event)
        if self.handling:
            return
        self.handling = True
        carry_out = self.carry_out
        try:
            while self.events:
                event = self.events.popleft()
                try:
                    actions = self.balancer.handle(self.now(), event)
                except Exception:
                    # Guards all other requests against a fault in one; the last guard answers that one.
                    self.home.fault("the module failed on an event")
                    actions = self.balancer.actions
                for action in actions:
                    try:
                        carry_out[type(action)](action)
                    except Exception:
                        self.home.fault("an action failed")
        finally:
            self.handling = False

    def _actions(self) -> dict[type, Callable[[Any], None]]:
        """What carries out each kind of action."""
        return {
            Send: self._send,
            SetTimer: self._set_timer,
            Refuse: self._refuse,
            Fail: self._fail,
            Cancel: self._cancel,
            Probe: lambda action: self._probe(action.server),
            CloseIdle: lambda action: self.upstreams.close_idle(action.server),
            SendToPeer: self._tell,
            ReportEndpointHealth: lambda action: self.hinted(action.server, action.answers),
            Watch: lambda action: self._watch(action.on),
            Fetch: lambda _: self.discovery.fetch() if self.discovery is not None else None,
            Log: lambda action: log.info(action.text),
        }

    def _set_timer(self, action: SetTimer) -> None:
        # Whole milliseconds, upwards: the loop counts in these, and an early bell rings for nothing.
        after_s = -(-action.after_ns // MS) / 1000
        self.loop.call_later(after_s, self._ring, action.token, self.monotonic() + after_s)

    def _ring(self, token: int, due_s: float) -> None:
        """Tell the module that a time has come; in a late loop when sockets have been read, one turn on.

        Guards servers against being held for silent while their answers wait here.
        """
        if self.closed:
            return
        if self.monotonic() - due_s > LATE_S:
            self.loop.call_later(NEXT_TURN_S, self._ring, token, math.inf)
        else:
            self.post(Timer(token))

    def _watch(self, on: bool) -> None:
        if self.discovery is not None:
            self.discovery.watch(on)

    def _fail(self, action: Fail) -> None:
        held = self.held.get(action.id)
        if held is None:
            return
        if held.error is not None:
            self._pass_on(held, held.error)
        else:
            self._finish(held, 502, b"", b"failed\n")

    def _pass_on(self, held: PendingRequest, answer: Response) -> None:
        self._finish(held, answer.code, _lines(answer.headers), answer.body)

    def _tell(self, action: SendToPeer) -> None:
        if self.home.peers is not None:
            self.home.peers.tell(action.data, action.peer)

    def retune(self, settings: Settings, transport: Transport, retired: frozenset[int]) -> None:
        """Go by other settings; what is open goes on as it was taken.

        Args:
            settings: with the classes by number, as `Generation` has them.
            retired: numbers that no new request is of.
        """
        self.settings, self.retired = settings, retired
        self.reports = LoadReportParser(settings.report_columns)
        self.probe_path = b"/-/load" if settings.report_columns else b"/-/healthy"
        self.retune_sockets(transport)
        self.post(SettingsChanged(settings, retired))
        if self.discovery is not None:
            self.discovery.retune(pushed=not settings.must_ask)

    def retune_sockets(self, transport: Transport) -> None:
        """Go by other limits and times that only the sockets need."""
        self.max_open = transport.max_open
        connect_s = self.settings.connect_timeout_ns / SECOND or 1.0
        self.upstreams.retune(connect_s, transport.conn_idle_ns / SECOND)

    # Requests

    def take(self, asker: ResponseSink, call: ParsedRequest) -> None:
        """Take an admitted request: from here on it is owed one final answer."""
        held = PendingRequest(self.next_id, call, asker, self)
        call.ticket = held.id
        self.next_id += 1
        self.held[held.id] = held
        if call.upload is not None and not call.upload.ended:
            call.upload.on_whole = held.body_whole
        else:
            if call.upload is not None:
                call.deadline_ns = call.upload.whole_ns + call.wait_ns
            self._limit(held)
        self.post(
            Request(
                held.id,
                call.cls,
                call.tenant,
                call.deadline_ns,
                call.key,
                call.cost_ns,
                call.is_retry,
                call.method == b"POST",
            )
        )

    def _limit(self, held: PendingRequest) -> None:
        now_s = self.monotonic()
        left = max(held.call.deadline_ns - GUARD_MARGIN_NS - self.clock.at(now_s), 0)
        self.deadlines.start(held, left / SECOND, now_s)

    def start_time(self, held: PendingRequest) -> None:
        """The body of a request has come to its end: from here on it has the time that its client stated."""
        if not held.owed or held.answering:
            return
        call = held.call
        assert call.upload is not None
        call.deadline_ns = call.upload.whole_ns + call.wait_ns
        self._limit(held)
        left_ns = call.deadline_ns - self.now()
        for number in range(held.attempts):
            attempt = self.attempts.get((held.id, number))
            if attempt is not None:
                attempt.until_ns = call.deadline_ns - ATTEMPT_MARGIN_NS
                attempt.limit(max(left_ns - ATTEMPT_MARGIN_NS, MS) / SECOND)
                if call.upload.begun:
                    attempt.body_sent()

    def guard(self, held: PendingRequest) -> None:
        """Time is up: whatever the module still plans, the client gets its answer now."""
        if not held.owed:
            return
        out = [a for n in range(held.attempts) if (a := self.attempts.get((held.id, n))) is not None]
        there = [attempt.read_first() for attempt in out]
        if any(there):
            self.deadlines.stop(held)
            self.deadlines.start(held, READ_WITHIN, self.monotonic())
            return
        for attempt in out:
            attempt.give_up(Status.TIMEOUT)
        if held.owed:
            self._finish_late(held)
            self.post(ClientDisconnected(held.id))

    def _finish_late(self, held: PendingRequest) -> None:
        if held.may_have_run:
            self._finish(held, 504, b"", b"failed: out of time\n")
        else:
            self._finish(held, 503, b"", b"refused: out of time\n")

    def _finish(self, held: PendingRequest, code: int, headers: bytes, body: bytes) -> None:
        """Give the one final answer."""
        self._settle(held, served=code < 400)
        held.asker.answer(held.call, code, headers, body)

    def _settle(self, held: PendingRequest, served: bool = False) -> None:
        held.owed = False
        self._unclaim(held)
        self.held.pop(held.id, None)
        self.deadlines.stop(held)
        self.home.settled(held.asker, held.call, served)
        if self.gone is not None:
            self.loop.call_soon(self._leave_if_done)

    def _unclaim(self, held: PendingRequest) -> None:
        """Give back what was set aside for attempts that no longer can be; one that is out keeps its own."""
        needed = held.out or held.owed
        while held.claims > needed:
            held.claims -= 1
            self.budget.unclaim()

    def drop(self, call: ParsedRequest) -> bool:
        """The client has gone: its request is over, what is out for it the module may call off.

        Returns whether the request was open.
        """
        held = self.held.get(call.ticket)
        if held is None:
            return False
        streams = call.upload is not None or held.answering
        self._settle(held)
        # What was not written yet never is; the module hears of that first, as of the end that it is.
        for number in range(held.attempts):
            attempt = self.attempts.get((held.id, number))
            if attempt is not None:
                self.upstreams.abandon(attempt.server, attempt)
        self.post(ClientDisconnected(held.id))
        if streams:
            # Nobody sends its body or reads its answer any more, so no end of its own would come.
            for number in range(held.attempts):
                attempt = self.attempts.get((held.id, number))
                if attempt is not None:
                    attempt.give_up(Status.CANCELLED)
        return True

    def answer_all(self) -> None:
        """Give every request that is held its final answer now."""
        for held in list(self.held.values()):
            self.guard(held)

    def _refuse(self, action: Refuse) -> None:
        held = self.held.get(action.id)
        if held is None:
            return
        headers = b""
        if action.retry_after_ns > 0:
            headers = retry_after(action.retry_after_ns)
        self._finish(held, 503, headers, b"refused\n")

    # Attempts

    def _send(self, action: Send) -> None:
        held = self.held.get(action.id)
        if held is None:
            return  # over already: the module was told, or will be by an event in the queue
        now = self.now()
        attempt = Attempt(held, held.attempts, action.server, now)
        held.attempts += 1
        self.attempts[held.id, attempt.number] = attempt
        held.out += 1
        upload = held.call.upload
        # A body that is still on its way has a deadline only when it is whole.
        flows = upload is not None and not upload.ended
        last = int(STALL_S * SECOND) if flows else held.call.deadline_ns - ATTEMPT_MARGIN_NS - now
        # What the module takes for late says nothing of a body that is still on its way.
        bound = action.timeout_ns > 0 and upload is None
        wait = min(action.timeout_ns, last) if bound else last
        if held.may_have_run or held.out > 1:
            attempt.write_by_ns = self._window_end(held)
        if held.attempts > held.most or wait <= 0 or not attempt.wanted() or not self._claim_attempt(held):
            attempt.end(Status.NOT_ATTEMPTED)
            return
        attempt.until_ns = 0 if flows else now + wait
        # Of a body that flows the time begins with its last byte, which its server gets later than this.
        attempt.tell(self.flow_time_ns(held.call, now) if flows else wait)
        self.upstreams.start(action.server, attempt, wait / SECOND)

    @staticmethod
    def flow_time_ns(call: ParsedRequest, now: int) -> int:
        """What the server of a body that flows is told: never more than is left since its head was read.

        The client's time begins with its last byte, which may have come already and wait to be read.
        """
        spared_ns = call.wait_ns - call.wait_ns // FLOW_SPARED
        return max(min(spared_ns, call.deadline_ns - now), MS)

    def _window_end(self, held: PendingRequest) -> int:
        """When a keyed request's key may be forgotten, by its first attempt that may have run; 0 for others.

        Guards against a repeat that is decided on in time, and written when its connection came up later.
        """
        spec = self.settings.classes[held.call.cls]
        if spec.effect is not Effect.KEYED:
            return 0
        out = [self.attempts.get((held.id, number)) for number in range(held.attempts - 1)]
        first_ns = min((attempt.sent_ns for attempt in out if attempt is not None), default=held.ran_ns)
        first_ns = min(first_ns, held.ran_ns) if held.ran_ns else first_ns
        return first_ns + spec.window_ns - self.settings.tick_ns

    def _claim_attempt(self, held: PendingRequest) -> bool:
        """Whether a descriptor is set aside for one more attempt: always, unless two may be out at once."""
        if held.claims < held.out:
            if not self.budget.claim():
                return False
            held.claims += 1
        return True

    @staticmethod
    def message(call: ParsedRequest, wait: int) -> bytes:
        """A request as a server gets it, with the nanoseconds that it is told to have."""
        if call.upload is not None:
            announced = call.upload.length
            length = b"Transfer-Encoding: chunked\r\n"
            if announced is not None:
                length = b"Content-Length: %d\r\n" % announced
        else:
            bodied = call.body or call.method in BODIED
            length = b"Content-Length: %d\r\n" % len(call.body) if bodied else b""
        return b"%s %s HTTP/1.1\r\n%sX-Deadline: %dm\r\n%s\r\n%s" % (
            call.method,
            call.target,
            b"".join(call.headers),
            max(wait // MS, 1),
            length,
            call.body,
        )

    def end_attempt(
        self, held: PendingRequest, attempt: Attempt, status: Status, answer: Response | None
    ) -> None:
        """An attempt has ended: a whole 200 reaches the client, the module hears of all."""
        self.attempts.pop((held.id, attempt.number), None)
        held.out -= 1
        self._unclaim(held)
        upload = held.call.upload
        if upload is not None and upload.begun:
            status = self._of_part(held, upload, status)
        if status is Status.NOT_ATTEMPTED:
            held.most += 1  # it was no attempt
        if status not in (Status.FULL, Status.CONNECT_FAILED, Status.NOT_ATTEMPTED):
            held.may_have_run = True
            held.ran_ns = min(held.ran_ns or attempt.sent_ns, attempt.sent_ns)
        report: tuple[float, ...] = ()
        if answer is not None:
            if answer.load and self.reports.columns:
                report = self.reports.read(answer.load)
            if status is Status.OK and held.owed and not held.answering:
                self._pass_on(held, answer)
            elif status is Status.ERROR and held.call.manner is not HttpProfile.PLATFORM:
                held.error = answer
        if held.owed and (held.answering or (upload is not None and upload.begun)):
            self._end_stream(held, status)
        # A body that flowed was its client's pace until it was whole.
        took = self.now() - max(attempt.sent_ns, upload.whole_ns if upload is not None else 0)
        if self.attempted is not None:
            aim_ns = self.settings.classes[held.call.cls].objective_ns
            self.attempted(attempt.server, status, took, aim_ns)
        self.post(Outcome(held.id, attempt.number, attempt.server, status, took, not held.owed, report))
        if self.gone is not None:
            self.loop.call_soon(self._leave_if_done)

    @staticmethod
    def _of_part(held: PendingRequest, upload: Upload, status: Status) -> Status:
        """What the end of an attempt proves of which a part of the body had gone out.

        The platform's servers begin with a request when its last byte has come (PROTOCOL, sidecars to
        servers); others may act on a part.
        """
        if held.call.manner is not HttpProfile.PLATFORM:
            return Status.RESET if status is Status.CONNECT_FAILED else status
        if not upload.sent and status in (Status.RESET, Status.TIMEOUT, Status.CANCELLED):
            return Status.CONNECT_FAILED
        return status

    def _end_stream(self, held: PendingRequest, status: Status) -> None:
        """The one attempt of a request whose body or answer flows is over, and so is the request."""
        upload = held.call.upload
        if held.answering:
            whole = status is Status.OK
            self._settle(held, served=whole)
            held.asker.end_answer(held.call, whole)
        elif upload is not None and upload.problem is not None:
            self._finish(held, upload.problem[0], b"", upload.problem[1])
        elif status in (Status.FULL, Status.CONNECT_FAILED, Status.NOT_ATTEMPTED):
            self._finish(held, 503, b"", b"refused\n")
        elif held.error is not None:
            self._pass_on(held, held.error)
        elif status is Status.TIMEOUT:
            self._finish_late(held)
        else:
            self._finish(held, 502, b"", b"failed\n")

    def _cancel(self, action: Cancel) -> None:
        attempt = self.attempts.get((action.id, action.attempt))
        if attempt is None:
            return
        upload = attempt.upload
        streamed = attempt.held.answering or (upload is not None and upload.begun)
        # An attempt that can't be repeated is worth its time: it ends by itself or at its limit.
        if not (streamed and attempt.held.owed):
            attempt.give_up(Status.CANCELLED)

    def _probe(self, server: int) -> None:
        started = self.now()
        if not self.budget.claim():
            self.loop.call_soon(self.post, ProbeResult(server, Status.NOT_ATTEMPTED, 0, ()))
            return

        def done(_: Exchange, status: Status, answer: Response | None) -> None:
            self.budget.unclaim()
            report: tuple[float, ...] = ()
            if answer is not None and self.reports.columns:
                report = self.reports.read(answer.load or answer.body.strip())
            self.post(ProbeResult(server, status, self.now() - started, report))

        payload = b"GET %s HTTP/1.1\r\nHost: probe\r\n\r\n" % self.probe_path
        self.upstreams.start(server, Exchange(payload, done, BODY_MOST), PROBE_TIMEOUT)

    # The list of servers

    def on_news(self, news: EndpointUpdate | None) -> None:
        """Take a list, a change of it, or that discovery failed."""
        if self.closed:
            return
        if news is None:
            self.starts.broke()
            self.post(Membership(ListKind.FAILED, 0, []))
        else:
            self._take_list(news)

    def _take_list(self, news: EndpointUpdate, kind: ListKind | None = None) -> None:
        """Take what discovery says, with what operators say of maintenance on top."""
        self.version = news.version
        complete = news.complete or kind is ListKind.CACHED
        told = self.maintenance.fold(news.entries, complete)
        self._apply(EndpointUpdate(news.version, news.complete, told), kind)

    def list_word(self) -> dict[str, Any]:
        """The list as discovery has told it, with the discovery that its version counts at."""
        at = self.discovery.listed_by if self.discovery is not None else ""
        return {
            "discovery": at,
            **endpoint_update_record(self.version, self.maintenance.listed.values(), self.names),
        }

    def adopt_list(self, word: Mapping[str, Any]) -> None:
        """Take a list that another process of this sidecar was told, if it is newer. Raises ListError."""
        discovery = self.discovery
        if discovery is None or word.get("discovery") != discovery.host:
            return  # its version says nothing here
        version = word.get("index")
        if not isinstance(version, int) or version <= self.version or discovery.version is None:
            return
        news = parse_endpoint_update(word, self.names)
        discovery.adopt(version)
        self._take_list(news, ListKind.CACHED)  # it says nothing of the own watch

    def maintain(self, name: str, out: bool) -> bool:
        """Take a known server out, or put it back; whether that changed anything."""
        before = self.maintenance.is_out(name)
        told = self.maintenance.say(name, out, self.now())
        if told:
            self._apply(EndpointUpdate(self.version, False, told), ListKind.LOCAL)
        return before is not out

    def merge_maintenance(self, said: Mapping[str, MaintenanceOrder]) -> None:
        """Take what another process of this sidecar was told of servers."""
        told = self.maintenance.merge(said)
        if told:
            self._apply(EndpointUpdate(self.version, False, told), ListKind.LOCAL)

    def _apply(self, news: EndpointUpdate, kind: ListKind | None = None) -> None:
        began_s = self.monotonic()
        membership = news.membership(kind)
        starts = ((entry.name, entry.endpoint) for entry in news.entries)
        source, called_ns = "", 0
        if self.discovery is not None:
            source, called_ns = self.discovery.listed_by, self.clock.at(self.discovery.called)
        self.starts.place(self.now(), membership.kind, source, starts, called_ns)
        # The module first, so that what the sockets then give up is not sent to the same server again.
        self.post(membership)
        if news.complete:
            listed = {entry.endpoint.server for entry in news.entries}
            for server in [server for server in self.upstreams.targets if server not in listed]:
                self._drop_server(server)
        for entry in news.entries:
            self._apply_entry(entry)
        # After changes too: on a day of replacements no whole list may ever come.
        self.names.keep(set(self.balancer.servers) | set(self.upstreams.targets))
        self.home.lag.took(began_s, f"a list of {len(news.entries)} servers")

    def _apply_entry(self, entry: EndpointRecord) -> None:
        endpoint = entry.endpoint
        target = self.upstreams.targets.get(endpoint.server)
        if target is not None and (target.takes_new != (endpoint.state is State.READY)):
            log.info("%s (%d) is %s", entry.name, endpoint.server, endpoint.state.name.lower())
        if target is None:
            if endpoint.state is State.GONE:
                return
            log.info("%s is server %d at %s:%d", entry.name, endpoint.server, *entry.address)
        elif target.since_ms != entry.since_ms:
            log.info("%s (%d) has restarted", entry.name, endpoint.server)
        self.upstreams.update(endpoint.server, entry.address, entry.since_ms, endpoint.state, endpoint.kind)
        if endpoint.state is State.GONE:
            self.upstreams.forget(endpoint.server)

    def _drop_server(self, server: int) -> None:
        target = self.upstreams.targets[server]
        log.info("server %d has left the list", server)
        self.upstreams.update(server, target.address, target.since_ms, State.GONE)
        self.upstreams.forget(server)

    def named(self) -> dict[str, int]:
        """The numbers of the module's servers, by name."""
        known = self.balancer.servers
        return {name: number for name, number in self.names.servers.items() if number in known}

    def numbered(self, settings: Settings) -> Settings:
        """Other settings, which may name zones in another order, with the own one by its number here."""
        if not settings.zones:
            return settings
        numbers = [self.names.zone(name) for name in settings.zones]
        return replace(settings, zone=numbers[settings.zone])

    def home_at(self, zone: int) -> None:
        """Have the module take this zone for its own, until another is named or other settings come."""
        self.post(SettingsChanged(replace(self.settings, zone=zone), self.retired))

    def placed(self) -> dict[int, int]:
        """Ready servers by zone."""
        servers = self.balancer.servers.values()
        return Counter(server.zone for server in servers if server.ready and server.listed)

    def standing(self) -> dict[int, tuple[int, int]]:
        """By zone, how many servers have been tried, and how many of these the module has given up on."""
        found: dict[int, tuple[int, int]] = {}
        for server in self.balancer.servers.values():
            if server.ready and server.listed and (server.samples or server.ejected):
                tried, ejected = found.get(server.zone, (0, 0))
                found[server.zone] = tried + 1, ejected + server.ejected
        return found

    def zone_of(self, server: int) -> int | None:
        """The zone of a server that is known; None for another."""
        known = self.balancer.servers.get(server)
        return known.zone if known is not None else None

    def answered_since(self, server: int, took_ns: int) -> bool:
        """Whether a server has answered anything since an attempt began that has taken so long."""
        known = self.balancer.servers.get(server)
        return known is not None and known.last_ok > self.now() - took_ns

    def classes(self) -> dict[str, int]:
        """The numbers of the module's classes, by name."""
        balancer = self.balancer
        return {work.spec.name: n for n, work in enumerate(balancer.classes) if work in balancer.live_classes}

    def usual(self) -> dict[str, float]:
        """By class, its usual latency, nanoseconds, where that is well known."""
        known = (work for work in self.balancer.live_classes if work.seen >= LEARNING_ANSWERS)
        return {work.spec.name: work.usual for work in known}

    def on_peer(self, sender: int, data: bytes) -> None:
        self.post(PeerMessage(sender, data))

    def retire(self, gone: Callable[[Pool], None]) -> None:
        """Take part until what is held and what is out has ended, then let go of everything.

        Args:
            gone: called once, when no request, attempt or connection of it is left.
        """
        self.gone = gone
        self._leave_if_done()

    def _leave_if_done(self) -> None:
        if self.gone is None or self.held or self.attempts:
            return
        gone, self.gone = self.gone, None
        self.close()
        gone(self)

    def close(self) -> None:
        """Let go of all sockets."""
        self.closed = True
        if self.discovery is not None:
            self.discovery.close()
        self.upstreams.close()


def _lines(headers: list[tuple[bytes, bytes]]) -> bytes:
    return b"".join(b"%s: %s\r\n" % header for header in headers)


def retry_after(after_ns: int) -> bytes:
    return b"Retry-After: %.3f\r\n" % (after_ns / SECOND)
