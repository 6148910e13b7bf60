"""The node: what a process has once, however many pools it serves. Listener, clients, budgets, the end.

The platform's sidecar is a node with one pool (`serve_one`). Several come by routes: see `routing/`.
"""

from __future__ import annotations

import asyncio
import logging
import math
import socket
from collections import deque

from ..admission.addresses import Caps
from ..admission.budget import Budget
from ..admission.clients import Clients
from ..admission.listener import Listener
from ..admission.rules import Admission, Reason, Share
from ..balancer.settings import Settings
from ..control.class_generations import LINGER_NS, ClassGeneration
from ..settings import Transport
from ..system import SYSTEM, System
from .clock import MS, SECOND, Clock
from .discovery.client import EndpointUpdate, NameTable
from .downstream.connection import ClientConnection
from .downstream.protocols import MessageReader
from .downstream.request_parser import ParsedRequest, RequestParser
from .loop_lag import LoopLagMonitor
from .memory_budget import MemoryBudget
from .peers import Address, PeerChannel
from .read_scheduler import ReadScheduler
from .service.pool import Pool, ResponseSink, retry_after
from .timer_wheel import TimerWheel

log = logging.getLogger("dykefold")

SWEEP_EVERY = 0.25
IDS_KEPT = 4.0  # seconds, and ...
IDS_MOST = 8192  # ... so many ids of requests that are over can't be used again
ACCEPT_AFTER_TERM = 0.5  # seconds for which new connections still come
QUIET_AFTER_TERM = 0.3  # seconds without a request after which no more is awaited
KILL_AFTER_DEADLINE = 0.7  # seconds beyond the longest deadline after which the platform may kill, and ...
DEADLINE_MOST = 3.0  # ... as which a longer one counts for that (PROTOCOL, figures)
ANSWER_BEFORE_KILL = 0.4  # seconds before that everything held is answered
LAST_ANSWERS = 1.0  # seconds that are left for the answers to what was taken last
RETRY_AFTER_NS = 500 * MS  # as advice with a refusal for want of room here
LISTENER_LEAST = 0.1  # seconds for which a listener that is to close tries again to accept who waits
FLUSH_FOR = 0.2  # seconds for clients to read these; the rest is for a loop that is held up by 0.15 s
REFUSE_EVERY = 0.05  # seconds, from then on, between looks at who has begun a message


def planned_end(longest_s: float) -> tuple[float, float, float]:
    """When a planned end takes its steps, in seconds after it began.

    Args:
        longest_s: the longest deadline of a class.

    Returns:
        When requests are taken no more, when everything held is answered, when the process ends: all before
        the platform may kill it, since what it then holds would be lost.
    """
    answer_s = min(longest_s, DEADLINE_MOST) + KILL_AFTER_DEADLINE - ANSWER_BEFORE_KILL
    return max(answer_s - LAST_ANSWERS, ACCEPT_AFTER_TERM), answer_s, answer_s + FLUSH_FOR


class SidecarServer:
    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sockets: int,
        memory: int,
        caps: Caps | None = None,
        system: System = SYSTEM,
        set_aside: int = 0,
    ) -> None:
        """Make a node with no pool.

        Args:
            sockets: descriptors that the process may hold.
            memory: bytes that it may take.
            set_aside: descriptors that are neither clients' nor servers', such as the door's.
        """
        self.loop = loop
        self.system = system
        self.monotonic = system.monotonic
        self.clock = Clock(system)
        self.now = self.clock.now
        self.grammar: MessageReader
        self.pools: dict[Pool, None] = {}  # those that are served and those that retire
        self.half_close = False
        self.sockets, self.memory_limit = sockets, memory  # of the sidecar, and of its processes ...
        self.parts = 1  # ... that live just now: this one takes one part of the memory
        self.most = sockets  # descriptors that this one may hold
        self.budget = Budget(sockets, set_aside)
        self.memory = MemoryBudget(memory)
        self.clients = Clients(Admission(self._share(), caps or Caps()), system)
        self.lag = LoopLagMonitor(loop, system)
        self.backlog = ReadScheduler(loop, self.lag, system)
        self.deadlines = TimerWheel(loop, system)
        self.peers: PeerChannel | None = None
        self.ids: set[bytes] = set()  # as clients named the requests that are open or have just been
        self.old_ids: deque[tuple[float, bytes]] = deque()
        self.draining = False
        self.handing = False  # clients have a newer process to go to
        self.taking = True
        self.ended = False  # all that was held has been answered, and nothing more is taken
        self.stopped = loop.create_future()
        self.listener: Listener | None = None
        self.answer_at = math.inf  # when all that is held is answered, once a planned end has begun
        self.reported_at = -math.inf  # when an exception of the module was last logged
        self._sweep(self.monotonic())

    def serve_one(
        self,
        settings: Settings,
        transport: Transport,
        seed: int,
        discovery: Address,
        names: NameTable,
        known: EndpointUpdate,
    ) -> None:
        """Give all requests to one pool, as on the platform."""
        self.pool = Pool(self, settings, transport, seed, discovery, names, known)
        self.pools[self.pool] = None
        self.generation = ClassGeneration(settings)
        self.grammar = RequestParser(settings, self.pool)

    def retune(self, settings: Settings, transport: Transport) -> None:
        """Have the one pool go by other settings, from the next request that is read on.

        Raises:
            ValueError: they can't be taken; nothing has changed then.
        """
        pool, now_ns = self.pool, self.now()
        settings = pool.numbered(settings)
        waiting = [call.cls for front in self.clients.all.values() for call in front.calls()]
        taken = [held.call.cls for held in pool.held.values()]
        attempts = [attempt.held.call.cls for attempt in pool.attempts.values()]
        generation = self.generation.next(settings, {*waiting, *taken, *attempts}, now_ns)
        if generation == self.generation:
            pool.retune_sockets(transport)
            return
        log.info("classes are now %s", ", ".join(generation.numbers()))
        self.generation = generation
        pool.retune(generation.settings, transport, frozenset(generation.retired))
        assert isinstance(self.grammar, RequestParser)
        before = self.grammar.lingers(now_ns, now_ns + LINGER_NS)
        self.grammar = RequestParser(generation.settings, pool, generation.retired, before)

    def forget(self, pool: Pool) -> None:
        """A pool has retired: nothing of it is left."""
        self.pools.pop(pool, None)

    def make_room(self) -> bool:
        """Close a connection to a server that no pool needs; whether there was one."""
        return any(pool.upstreams.let_one_go() for pool in self.pools)

    def fault(self, text: str) -> None:
        if self.monotonic() - self.reported_at >= 1.0:
            self.reported_at = self.monotonic()
            log.exception(text)

    # Requests

    def admit(self, front: ClientConnection, call: ParsedRequest) -> tuple[int, bytes, bytes] | None:
        """Set aside what a request will need; or the code, headers and text with which it is turned away.

        The id must be new: guards an open request against another one under its id, which its server
        would take for a second copy of it; and one that has just been answered against running again.
        """
        old = self.old_ids
        if old:
            before = self.monotonic() - IDS_KEPT
            while old and (old[0][0] < before or len(old) > IDS_MOST):
                self.ids.discard(old.popleft()[1])
        if self.ended:
            # Guards what a client sends ahead on a connection that is never idle: all that is held has had
            # its answer by now, and what is taken from here on would be held when the process stops.
            return 503, _come_back(call.pool), b"this sidecar ends\n"
        if call.ident in self.ids:
            return 409, b"", b"a request with this id is open or has just been\n"
        pool: Pool = call.pool
        if not self.clients.open_request(front.client):
            return 429, _come_back(pool), b"too many open requests from this address\n"
        if len(pool.held) >= pool.max_open or pool.closed or not pool.budget.claim():
            self.clients.close_request(front.client, served=False)
            self.clients.note(Reason.REQUESTS, front.client.host)
            return 503, _come_back(pool), b"too many open requests\n"
        self.ids.add(call.ident)
        return None

    def take(self, front: ClientConnection, call: ParsedRequest) -> None:
        """Take an admitted request: from here on it is owed one final answer."""
        call.pool.take(front, call)

    def settled(self, asker: ResponseSink, call: ParsedRequest, served: bool) -> None:
        """A request is over: give back what it had of the process."""
        self.clients.close_request(asker.client, served)
        self.old_ids.append((self.monotonic(), call.ident))
        if self.draining:
            self._end_if_done()

    # Clients

    def disconnected(self, front: ClientConnection, call: ParsedRequest | None) -> None:
        """A client has gone, and its open request with it."""
        self.clients.remove(front.client)
        if self.listener is not None:
            self.listener.released()
        if (call is None or not call.pool.drop(call)) and self.draining:
            self._end_if_done()

    @property
    def takes_clients(self) -> bool:
        """Whether new clients are let in."""
        return self.listener is not None and not self.draining

    # Limits

    def _share(self) -> Share:
        return Share(self.budget.clients, self.budget.usable)

    def listen(self, sock: socket.socket) -> Listener:
        """Begin to take clients' connections on a listening socket."""
        self.listener = Listener(
            self.loop, sock, self.clients, lambda client: ClientConnection(self, client), self.system
        )
        return self.listener

    def limit(self, sockets: int, caps: Caps) -> None:
        """Take other limits while running: what is open beyond them goes, except what a request needs."""
        if self.most >= self.sockets:  # it has them all, and so it stays
            self.most = sockets
        self.sockets = sockets
        kept = self.clients.admission.count if self.parts > 1 else 0
        self.budget.resize(min(self.most, sockets), sockets, kept)
        self.memory.resize(self.memory_limit // self.parts)
        self.clients.resize(self._share(), caps)
        for pool in self.pools:
            pool.upstreams.shrink()

    def needed(self) -> int:
        """Descriptors that this process can't give away just now."""
        return self.budget.needed(self.clients.admission.count)

    def share(self, parts: int, most: int) -> None:
        """Leave room to other processes of this sidecar.

        Args:
            parts: how many live; this one takes one part in so many of the memory of messages.
            most: descriptors that this one may hold.
        """
        if (parts, most) != (self.parts, self.most):
            self.parts, self.most = parts, most
            self.limit(self.sockets, self.clients.admission.caps)

    # Housekeeping and the end

    def _sweep(self, due: float) -> None:
        """Let go of what has been idle for too long.

        A process that stood still, or whose loop is late, doubts itself first: what came meanwhile has not
        been read yet, and a connection with a request on it would be closed as idle. The next sweep comes
        soon, and is held whatever the loop does.
        """
        now = self.monotonic()
        late = now - due >= SWEEP_EVERY
        if not late:
            for pool in self.pools:
                pool.upstreams.sweep()
            self.clients.sweep()
        self.loop.call_later(SWEEP_EVERY, self._sweep, math.inf if late else now + SWEEP_EVERY)

    def drain(self) -> None:
        """Begin a planned end: answer what is held and what still comes for a moment, then stop."""
        if self.draining:
            return
        self.draining = True
        log.info("draining: %d requests held", sum(len(pool.held) for pool in self.pools))
        self.loop.call_later(ACCEPT_AFTER_TERM, self._stop_accepting)
        longest_ns = max(
            (spec.deadline_ns for pool in self.pools for spec in pool.settings.classes), default=0
        )
        take_s, answer_s, stop_s = planned_end(longest_ns / SECOND)
        self.answer_at = self.monotonic() + answer_s
        self.loop.call_later(take_s, self._stop_taking)
        self.loop.call_later(answer_s, self._answer_all)
        self.loop.call_later(stop_s, self._stop)

    def _stop_accepting(self) -> None:
        """Take no more connections, but still requests on those that clients have.

        Guards the application against having nobody to ask while the platform lets this process live:
        it has no other sidecar, and the next one comes at the platform's time, not when this one ends.
        """
        self._close_listener()
        self._end_if_done()
        # With a newer process to go to, clients leave by themselves, each behind its next answer.
        if not self.handing:
            self.loop.call_later(QUIET_AFTER_TERM, self._await_quiet, self._taken())

    def _await_quiet(self, before: int) -> None:
        if not self.taking:
            return
        if self._taken() == before:
            self._stop_taking()
        else:
            self.loop.call_later(QUIET_AFTER_TERM, self._await_quiet, self._taken())

    def _taken(self) -> int:
        """Requests that the pools have taken so far."""
        return sum(pool.next_id for pool in self.pools)

    def _answer_all(self) -> None:
        self.ended = True
        for pool in self.pools:
            pool.answer_all()
        self._refuse_rest()

    def _refuse_rest(self) -> None:
        """Guards what was read of messages that have not come whole: their clients may wait for the rest."""
        for front in list(self.clients.all.values()):
            if not front.asks():  # what has come of it is read first
                front.refuse_rest("this sidecar ends")
        self.loop.call_later(REFUSE_EVERY, self._refuse_rest)

    def _close_listener(self) -> None:
        if self.listener is not None and self.listener.ended is None:
            left_s = min(self.answer_at, self.monotonic() + DEADLINE_MOST) - self.monotonic()
            self.listener.end(max(left_s, LISTENER_LEAST), self._listener_closed)

    def _listener_closed(self) -> None:
        self.listener = None
        if self.draining:
            self._end_if_done()

    def _stop_taking(self) -> None:
        if not self.taking:
            return
        self.taking = False
        self._close_listener()
        for front in list(self.clients.all.values()):
            # One that has begun a request is answered; so is one whose request is there and was not read.
            if front.idle and not front.owes:
                front.leave()
        self._end_if_done()

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
        for pool in self.pools:
            pool.close()
        if self.peers is not None and self.peers.transport is not None:
            self.peers.transport.close()
        for front in list(self.clients.all.values()):
            front.close()


def _come_back(pool: Pool) -> bytes:
    """The advice that goes with a refusal, where the settings allow it."""
    if not pool.settings.retry_after:
        return b""
    return retry_after(min(RETRY_AFTER_NS, pool.settings.max_retry_after_ns))
