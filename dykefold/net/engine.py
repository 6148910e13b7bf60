"""Drives the decision module: socket events in, its actions out, and a last guard on each request."""

from __future__ import annotations

import asyncio
import logging
import math
import socket
from collections import deque
from collections.abc import Callable
from time import monotonic, monotonic_ns, time_ns
from typing import Any

from .. import interface as api
from ..admission.addresses import Caps
from ..admission.budget import Budget
from ..admission.clients import Clients
from ..admission.listener import Listener
from ..admission.rules import Admission, Reason, Share
from ..interface import Settings, State, Status
from ..logic import Balancer
from ..settings import Transport
from .backlog import Backlog
from .deadlines import Deadlines, Limited
from .discovery import Discovery, Listed, Names, News
from .front import BODY_MOST, Call, Front, Grammar
from .lag import Lag
from .limits import Memory
from .peers import Address, Peers
from .reports import Reports
from .upstream import Answer, Exchange, Upstreams

log = logging.getLogger("dykefold")

MS = 1_000_000
SECOND = 1_000_000_000
ATTEMPT_MARGIN_NS = 15 * MS  # before the client's deadline the last attempt is given up
GUARD_MARGIN_NS = 8 * MS  # ... and a request that then still has no answer gets one
PROBE_TIMEOUT = 0.4  # seconds
SWEEP_EVERY = 0.25
IDS_KEPT = 4.0  # seconds, and ...
IDS_MOST = 8192  # ... so many ids of requests that are over can't be used again
ACCEPT_AFTER_TERM = 0.5  # seconds for which new connections and requests still come
ANSWER_AFTER_TERM = 3.3  # seconds after which nothing held goes unanswered: the platform kills soon after
RETRY_AFTER_NS = 500 * MS  # as advice with a refusal for want of room here
FLUSH_AFTER_TERM = 0.3  # seconds beyond that for clients to read their answers


class Clock:
    """Monotonic time on the scale of Unix time, which the starts of servers are told in."""

    def __init__(self) -> None:
        self.offset = time_ns() - monotonic_ns()

    def now(self) -> int:
        return self.offset + monotonic_ns()

    def at(self, now_s: float) -> int:
        """What `now` would give at a time of the monotonic clock, to some hundred nanoseconds."""
        return self.offset + int(now_s * SECOND)


class Attempt(Exchange):
    """One try of a request at one server."""

    __slots__ = ("held", "number", "sent_ns", "server")

    def __init__(self, held: Held, number: int, server: int, sent_ns: int) -> None:
        super().__init__(b"", held.ended, BODY_MOST)
        self.held = held
        self.number = number
        self.server = server
        self.sent_ns = sent_ns


class Held(Limited):
    """A request that this sidecar has taken. Its limit is the last guard on its answer."""

    __slots__ = ("attempts", "call", "claims", "engine", "front", "id", "may_have_run", "out", "owed")

    def __init__(self, ident: int, call: Call, front: Front, engine: Engine) -> None:
        self.tick = 0
        self.id = ident
        self.call = call
        self.front = front
        self.engine = engine
        self.attempts = 0
        self.out = 0  # of these, attempts that have not ended
        self.claims = 1  # descriptors set aside for it
        self.may_have_run = False  # some attempt has ended without a proof that it did not
        self.owed = True  # its final answer

    def expire(self) -> None:
        self.engine.guard(self)

    def ended(self, attempt: Exchange, status: Status, answer: Answer | None) -> None:
        self.engine.end_attempt(self, attempt, status, answer)  # type: ignore[arg-type]


class Engine:
    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: Settings,
        transport: Transport,
        seed: int,
        sockets: int,
        memory: int,
        discovery: Address,
        names: Names,
        known: News,
        caps: Caps | None = None,
    ) -> None:
        self.loop = loop
        self.settings = settings
        self.max_open = transport.max_open
        self.names = names
        self.clock = Clock()
        self.now = self.clock.now
        self.balancer = Balancer(settings, seed)
        self.grammar = Grammar(settings)
        self.reports = Reports(settings.report_columns)
        self.probe_path = b"/-/load" if settings.report_columns else b"/-/healthy"
        self.budget = Budget(sockets)
        self.memory = Memory(memory)
        self.clients = Clients(Admission(self._share(), caps or Caps()))
        connect_timeout = settings.connect_timeout_ns / SECOND or 1.0
        self.lag = Lag(loop)
        self.backlog = Backlog(loop, self.lag)
        self.deadlines = Deadlines(loop)
        self.upstreams = Upstreams(
            loop,
            self.budget.upstreams,
            self.memory,
            connect_timeout,
            transport.conn_idle_ns / SECOND,
            self.backlog,
            self.deadlines,
        )
        self.discovery = Discovery(
            loop, discovery, names, known.version, self.on_news, pushed=not settings.must_ask
        )
        self.peers: Peers | None = None
        self.held: dict[int, Held] = {}
        self.attempts: dict[tuple[int, int], Attempt] = {}  # those out, also of requests that are over
        self.ids: set[bytes] = set()  # as clients named the requests that are open or have just been
        self.old_ids: deque[tuple[float, bytes]] = deque()
        self.next_id = 1
        self.events: deque[api.Event] = deque()
        self.handling = False
        self.carry_out = self._actions()
        self.draining = False
        self.taking = True
        self.stopped = loop.create_future()
        self.listener: Listener | None = None
        self.reported_at = -math.inf  # when an exception of the module was last logged
        self._apply(known, api.ListKind.CACHED)
        if not settings.must_ask:
            self.discovery.watch(True)
        self._sweep()

    # Events to the module, its actions

    def post(self, event: api.Event) -> None:
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
                    self.fault("the module failed on an event")
                    actions = self.balancer.actions
                for action in actions:
                    try:
                        carry_out[type(action)](action)
                    except Exception:
                        self.fault("an action failed")
        finally:
            self.handling = False

    def fault(self, text: str) -> None:
        if monotonic() - self.reported_at >= 1.0:
            self.reported_at = monotonic()
            log.exception(text)

    def _actions(self) -> dict[type, Callable[[Any], None]]:
        """What carries out each kind of action."""
        return {
            api.Send: self._send,
            api.SetTimer: self._set_timer,
            api.Refuse: self._refuse,
            api.Fail: self._fail,
            api.Cancel: self._cancel,
            api.Probe: lambda action: self._probe(action.server),
            api.CloseIdle: lambda action: self.upstreams.close_idle(action.server),
            api.Tell: self._tell,
            api.Watch: lambda action: self.discovery.watch(action.on),
            api.Fetch: lambda _: self.discovery.fetch(),
            api.Log: lambda action: log.info(action.text),
        }

    def _set_timer(self, action: api.SetTimer) -> None:
        # Whole milliseconds, upwards: the loop counts in these, and an early bell rings for nothing.
        self.loop.call_later(-(-action.after_ns // MS) / 1000, self.post, api.Timer(action.token))

    def _fail(self, action: api.Fail) -> None:
        held = self.held.get(action.id)
        if held is not None:
            self._finish(held, 502, b"", b"failed\n")

    def _tell(self, action: api.Tell) -> None:
        if self.peers is not None:
            self.peers.tell(action.data, action.peer)

    # Requests

    def admit(self, front: Front, call: Call) -> tuple[int, bytes, bytes] | None:
        """Set aside what a request will need; or the code, headers and text with which it is turned away.

        The id must be new: guards an open request against another one under its id, which its server
        would take for a second copy of it; and one that has just been answered against running again.
        """
        old = self.old_ids
        if old:
            before = monotonic() - IDS_KEPT
            while old and (old[0][0] < before or len(old) > IDS_MOST):
                self.ids.discard(old.popleft()[1])
        if call.ident in self.ids:
            return 409, b"", b"a request with this id is open or has just been\n"
        if not self.clients.open_request(front.client):
            return 429, self._come_back(), b"too many open requests from this address\n"
        if len(self.held) >= self.max_open or not self.budget.claim():
            self.clients.close_request(front.client, served=False)
            self.clients.note(Reason.REQUESTS, front.client.host)
            return 503, self._come_back(), b"too many open requests\n"
        self.ids.add(call.ident)
        return None

    def _come_back(self) -> bytes:
        """The advice that goes with a refusal, where the settings allow it."""
        if not self.settings.retry_after:
            return b""
        return _retry_after(min(RETRY_AFTER_NS, self.settings.max_retry_after_ns))

    def take(self, front: Front, call: Call) -> None:
        """Take an admitted request: from here on it is owed one final answer."""
        held = Held(self.next_id, call, front, self)
        call.ticket = held.id
        self.next_id += 1
        self.held[held.id] = held
        now_s = monotonic()
        left = max(call.deadline_ns - GUARD_MARGIN_NS - self.clock.at(now_s), 0)
        self.deadlines.start(held, left / SECOND, now_s)
        self.post(
            api.Request(
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

    def guard(self, held: Held) -> None:
        """Time is up: whatever the module still plans, the client gets its answer now."""
        if not held.owed:
            return
        for number in range(held.attempts):
            attempt = self.attempts.get((held.id, number))
            if attempt is not None:
                attempt.give_up(Status.TIMEOUT)
        if held.owed:
            if held.may_have_run:
                self._finish(held, 504, b"", b"failed: out of time\n")
            else:
                self._finish(held, 503, b"", b"refused: out of time\n")
            self.post(api.Dropped(held.id))

    def _finish(self, held: Held, code: int, headers: bytes, body: bytes) -> None:
        """Give the one final answer."""
        self._settle(held, served=code == 200)
        held.front.answer(held.call, code, headers, body)

    def _settle(self, held: Held, served: bool = False) -> None:
        held.owed = False
        self.clients.close_request(held.front.client, served)
        self._unclaim(held)
        self.old_ids.append((monotonic(), held.call.ident))
        self.held.pop(held.id, None)
        self.deadlines.stop(held)
        if self.draining:
            self._end_if_done()

    def _unclaim(self, held: Held) -> None:
        """Give back what was set aside for attempts that no longer can be; one that is out keeps its own."""
        needed = held.out or held.owed
        while held.claims > needed:
            held.claims -= 1
            self.budget.unclaim()

    def _refuse(self, action: api.Refuse) -> None:
        held = self.held.get(action.id)
        if held is None:
            return
        headers = b""
        if action.retry_after_ns > 0:
            headers = _retry_after(action.retry_after_ns)
        self._finish(held, 503, headers, b"refused\n")

    # Attempts

    def _send(self, action: api.Send) -> None:
        held = self.held.get(action.id)
        if held is None:
            return  # over already: the module was told, or will be by an event in the queue
        now = self.now()
        attempt = Attempt(held, held.attempts, action.server, now)
        held.attempts += 1
        self.attempts[held.id, attempt.number] = attempt
        held.out += 1
        last = held.call.deadline_ns - ATTEMPT_MARGIN_NS - now
        wait = min(action.timeout_ns, last) if action.timeout_ns > 0 else last
        if held.attempts > self.settings.max_attempts or wait <= 0 or not self._claim_attempt(held):
            attempt.end(Status.MOOT)
            return
        attempt.payload = self._payload(held.call, wait)
        self.upstreams.start(action.server, attempt, wait / SECOND)

    def _claim_attempt(self, held: Held) -> bool:
        """Whether a descriptor is set aside for one more attempt: always, unless two may be out at once."""
        if held.claims < held.out:
            if not self.budget.claim():
                return False
            held.claims += 1
        return True

    @staticmethod
    def _payload(call: Call, wait: int) -> bytes:
        length = b"Content-Length: %d\r\n" % len(call.body) if call.body or call.method == b"POST" else b""
        return b"%s %s HTTP/1.1\r\n%sX-Deadline: %dm\r\n%s\r\n%s" % (
            call.method,
            call.target,
            b"".join(call.headers),
            max(wait // MS, 1),
            length,
            call.body,
        )

    def end_attempt(self, held: Held, attempt: Attempt, status: Status, answer: Answer | None) -> None:
        """An attempt has ended: a whole 200 reaches the client, the module hears of all."""
        self.attempts.pop((held.id, attempt.number), None)
        held.out -= 1
        self._unclaim(held)
        if status not in (Status.FULL, Status.CONNECT_FAILED, Status.MOOT):
            held.may_have_run = True
        report: tuple[float, ...] = ()
        if answer is not None:
            if answer.load and self.reports.columns:
                report = self.reports.read(answer.load)
            if status is Status.OK and held.owed:
                lines = b"".join(b"%s: %s\r\n" % header for header in answer.headers)
                self._finish(held, 200, lines, answer.body)
        took = self.now() - attempt.sent_ns
        self.post(api.Outcome(held.id, attempt.number, attempt.server, status, took, not held.owed, report))

    def _cancel(self, action: api.Cancel) -> None:
        attempt = self.attempts.get((action.id, action.attempt))
        if attempt is not None:
            attempt.give_up(Status.CANCELLED)

    def _probe(self, server: int) -> None:
        started = self.now()
        if not self.budget.claim():
            self.loop.call_soon(self.post, api.ProbeResult(server, Status.MOOT, 0, ()))
            return

        def done(_: Exchange, status: Status, answer: Answer | None) -> None:
            self.budget.unclaim()
            report: tuple[float, ...] = ()
            if answer is not None and self.reports.columns:
                report = self.reports.read(answer.load or answer.body.strip())
            self.post(api.ProbeResult(server, status, self.now() - started, report))

        payload = b"GET %s HTTP/1.1\r\nHost: probe\r\n\r\n" % self.probe_path
        self.upstreams.start(server, Exchange(payload, done, BODY_MOST), PROBE_TIMEOUT)

    # The list of servers

    def on_news(self, news: News | None) -> None:
        if news is None:
            self.post(api.Membership(api.ListKind.FAILED, 0, []))
        else:
            self._apply(news)

    def _apply(self, news: News, kind: api.ListKind | None = None) -> None:
        began_s = monotonic()
        # The module first, so that what the sockets then give up is not sent to the same server again.
        self.post(news.membership(kind))
        if news.complete:
            listed = {entry.endpoint.server for entry in news.entries}
            for server in [server for server in self.upstreams.targets if server not in listed]:
                self._drop_server(server)
        for entry in news.entries:
            self._apply_entry(entry)
        # After changes too: on a day of replacements no whole list may ever come.
        self.names.keep(set(self.balancer.servers) | set(self.upstreams.targets))
        self.lag.took(began_s, f"a list of {len(news.entries)} servers")

    def _apply_entry(self, entry: Listed) -> None:
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

    def on_peer(self, sender: int, data: bytes) -> None:
        self.post(api.PeerMessage(sender, data))

    # Clients

    def disconnected(self, front: Front, call: Call | None) -> None:
        """A client has gone. Its request is over; what is out for it the module may call off."""
        self.clients.remove(front.client)
        if self.listener is not None:
            self.listener.released()
        held = self.held.get(call.ticket) if call is not None else None
        if held is not None:
            self._settle(held)
            self.post(api.Dropped(held.id))
        elif self.draining:
            self._end_if_done()

    # Limits

    def _share(self) -> Share:
        return Share(self.budget.clients, self.budget.usable)

    def listen(self, sock: socket.socket) -> Listener:
        """Begin to take clients' connections on a listening socket."""
        self.listener = Listener(self.loop, sock, self.clients, lambda client: Front(self, client))
        return self.listener

    def limit(self, sockets: int, caps: Caps) -> None:
        """Take other limits while running: what is open beyond them goes, except what a request needs."""
        self.budget.resize(sockets)
        self.clients.resize(self._share(), caps)
        self.upstreams.shrink()

    # Housekeeping and the end

    def _sweep(self) -> None:
        self.upstreams.sweep()
        self.clients.sweep()
        self.loop.call_later(SWEEP_EVERY, self._sweep)

    def drain(self) -> None:
        """Begin a planned end: answer what is held and what still comes for a moment, then stop."""
        if self.draining:
            return
        self.draining = True
        log.info("draining: %d requests held", len(self.held))
        self.loop.call_later(ACCEPT_AFTER_TERM, self._stop_taking)
        self.loop.call_later(ANSWER_AFTER_TERM, self._answer_all)
        self.loop.call_later(ANSWER_AFTER_TERM + FLUSH_AFTER_TERM, self._stop)

    def _stop_taking(self) -> None:
        self.taking = False
        if self.listener is not None:
            self.listener.close()
        self.listener = None
        for front in list(self.clients.all.values()):
            if front.idle:
                front.close()
        self._end_if_done()

    def _answer_all(self) -> None:
        for held in list(self.held.values()):
            self.guard(held)

    def _end_if_done(self) -> None:
        """The end has come when nobody is connected any more: every answer has been flushed."""
        if self.listener is None and not self.clients.all:
            self._stop()

    def _stop(self) -> None:
        if not self.stopped.done():
            self.stopped.set_result(None)

    def close(self) -> None:
        """Let go of all sockets."""
        self.lag.close()
        self.discovery.close()
        self.upstreams.close()
        if self.peers is not None and self.peers.transport is not None:
            self.peers.transport.close()
        for front in list(self.clients.all.values()):
            front.close()


def _retry_after(after_ns: int) -> bytes:
    return b"Retry-After: %.3f\r\n" % (after_ns / SECOND)
