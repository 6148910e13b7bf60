"""The sidecar's server: what a process has once, however many pools it serves. Listener, clients, budgets.

The platform's sidecar has one pool (`serve_one`). Several come by routes: see `routing/`.
"""

from __future__ import annotations

import asyncio
import logging
import math
import socket
from collections import deque

from ..admission.addresses import AddressLimits
from ..admission.budget import DescriptorBudget
from ..admission.clients import ClientConnections
from ..admission.controller import AdmissionController
from ..admission.decision import RejectionReason
from ..admission.limits import ConnectionLimits
from ..admission.listener import Listener
from ..balancer.settings import Settings
from ..settings import Transport
from ..system import SYSTEM, System
from .class_generations import LINGER_NS, ClassGeneration
from .clock import MS, Clock
from .downstream.connection import ClientConnection
from .downstream.protocols import MessageReader
from .downstream.request_parser import ParsedRequest, RequestParser
from .loop_lag import LoopLagMonitor
from .memory_budget import MemoryBudget
from .peers import PeerChannel
from .read_scheduler import ReadScheduler
from .service.http_encoding import retry_after
from .service.pool import Pool
from .service.pool_config import PoolConfig
from .service.protocols import ResponseSink
from .shutdown import GracefulShutdown
from .timer_wheel import TimerWheel

log = logging.getLogger("dykefold")

SWEEP_INTERVAL_S = 0.25
RECENT_ID_S = 4.0  # for which the id of a request that is over can't be used again, but of ...
MAX_RECENT_IDS = 8192  # ... so many of them at most
RETRY_AFTER_NS = 500 * MS  # the advice with a rejection for lack of capacity here
FAULT_LOG_INTERVAL_S = 1.0  # between two logged exceptions


class SidecarServer:
    """Accepts clients' connections and requests for the pools of this process, within its limits.

    Args:
        loop: runs everything.
        memory: bytes that it may take.
        caps: limits on clients by address.
        system: the clocks and sockets.
        set_aside: descriptors that are neither clients' nor servers', such as the admin API's.

    Attributes:
        pools: those that serve, and those that retire.
        sockets: descriptors that all processes of the sidecar may hold together.
        memory_limit: bytes of memory that all processes of the sidecar may take together.
        parts: how many processes of the sidecar live; this one takes one part of the memory.
        most: descriptors that this process may hold.
        lag: how late the loop runs.
        read_scheduler: connections whose input waits to be parsed.
        timer_wheel: the time limits of requests and attempts.
        draining: the graceful shutdown has begun.
        handing_over: clients have a newer process to go to.
        accepting_requests: requests are still accepted.
        ended: every pending request has been answered, and each new one is rejected.
        stopped: done when the process may end.
        shutdown: the steps of the graceful shutdown.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sockets: int,
        memory: int,
        caps: AddressLimits | None = None,
        system: System = SYSTEM,
        set_aside: int = 0,
    ) -> None:
        """Make a server with no pool."""
        self.loop = loop
        self.system = system
        self.monotonic = system.monotonic
        self.clock = Clock(system)
        self.now = self.clock.now
        self.parser: MessageReader
        self.pools: dict[Pool, None] = {}
        self.half_close = False
        self.sockets, self.memory_limit = sockets, memory
        self.process_count = 1
        self.max_descriptors = sockets
        self.budget = DescriptorBudget(sockets, set_aside)
        self.memory = MemoryBudget(memory)
        self.clients = ClientConnections(
            AdmissionController(self._connection_limits(), caps or AddressLimits()), system
        )
        self.lag = LoopLagMonitor(loop, system)
        self.read_scheduler = ReadScheduler(loop, self.lag, system)
        self.timer_wheel = TimerWheel(loop, system)
        self.peers: PeerChannel | None = None
        self.ids: set[bytes] = (
            set()
        )  # of requests that are pending or have just been answered, by their clients
        self.old_ids: deque[tuple[float, bytes]] = deque()
        self.draining = False
        self.handing_over = False
        self.accepting_requests = True
        self.all_answered = False
        self.stopped = loop.create_future()
        self.listener: Listener | None = None
        self.shutdown = GracefulShutdown(loop, self)
        self.fault_logged_at = -math.inf  # when an exception was last logged
        self._sweep(self.monotonic())

    def serve_one(self, config: PoolConfig) -> None:
        """Give all requests to one pool, as on the platform.

        Args:
            config: Settings, endpoints and random seed that the pool begins with.
        """
        self.pool = Pool(self, config)
        self.pools[self.pool] = None
        self.generation = ClassGeneration(config.settings)
        self.parser = RequestParser(config.settings, self.pool)

    def change_settings(self, settings: Settings, transport: Transport) -> None:
        """Have the one pool go by other settings, from the next request that is read on.

        Args:
            settings: what the balancer goes by from now on.
            transport: what the sockets go by from now on.

        Raises:
            ValueError: the settings can't be applied; nothing has changed then.
        """
        pool, now_ns = self.pool, self.now()
        settings = pool.renumber_zones(settings)
        waiting = [
            request.class_number
            for connection in self.clients.all.values()
            for request in connection.pending_requests()
        ]
        accepted = [request.parsed.class_number for request in pool.pending.values()]
        attempts = [attempt.request.parsed.class_number for attempt in pool.attempts.values()]
        generation = self.generation.next(settings, {*waiting, *accepted, *attempts}, now_ns)
        if generation == self.generation:
            pool.change_transport(transport)
            return
        log.info("request classes changed to %s", ", ".join(generation.numbers()))
        self.generation = generation
        pool.change_settings(generation.settings, transport, frozenset(generation.retired))
        assert isinstance(self.parser, RequestParser)
        before = self.parser.lingers(now_ns, now_ns + LINGER_NS)
        self.parser = RequestParser(generation.settings, pool, generation.retired, before)

    def forget(self, pool: Pool) -> None:
        """Forget a pool that has retired: nothing of it is left."""
        self.pools.pop(pool, None)

    def close_unneeded_upstream(self) -> bool:
        """Close a connection to a server that no pool needs; return whether there was one."""
        return any(pool.upstreams.close_unneeded() for pool in self.pools)

    def log_exception(self, text: str) -> None:
        """Log the exception that is being handled, at most one in `FAULT_LOG_INTERVAL_S`."""
        if self.monotonic() - self.fault_logged_at >= FAULT_LOG_INTERVAL_S:
            self.fault_logged_at = self.monotonic()
            log.exception(text)

    # Requests

    def admit(self, connection: ClientConnection, request: ParsedRequest) -> tuple[int, bytes, bytes] | None:
        """Reserve what a request will need.

        Its id must be new: a server would take another request under the id of a pending one for a hedged
        copy of it, and one that has just been answered would run again.

        Returns:
            None; or the code, headers and text with which the request is rejected.
        """
        old = self.old_ids
        if old:
            before = self.monotonic() - RECENT_ID_S
            while old and (old[0][0] < before or len(old) > MAX_RECENT_IDS):
                self.ids.discard(old.popleft()[1])
        if self.all_answered:
            # Clients may send ahead on a connection that is never idle. Every pending request has had its
            # response by now, and one accepted from here on would be pending when the process stops.
            return 503, _retry_after_header(request.pool), b"this sidecar ends\n"
        if request.ident in self.ids:
            return 409, b"", b"a request with this id is open or has just been\n"
        pool: Pool = request.pool
        if not self.clients.open_request(connection.client):
            return 429, _retry_after_header(pool), b"too many open requests from this address\n"
        if len(pool.pending) >= pool.max_open or pool.closed or not pool.budget.reserve():
            self.clients.close_request(connection.client, served=False)
            self.clients.rejections.add(RejectionReason.ALL_OPEN_REQUESTS, connection.client.host)
            return 503, _retry_after_header(pool), b"too many open requests\n"
        self.ids.add(request.ident)
        return None

    def accept(self, connection: ClientConnection, request: ParsedRequest) -> None:
        """Accept an admitted request: from here on it awaits one final response."""
        request.pool.accept(connection, request)

    def on_request_end(self, sink: ResponseSink, request: ParsedRequest, served: bool) -> None:
        """Release what a finished request had reserved of the process."""
        self.clients.close_request(sink.client, served)
        self.old_ids.append((self.monotonic(), request.ident))
        if self.draining:
            self.shutdown.end_if_done()

    # Clients

    def disconnected(self, connection: ClientConnection, request: ParsedRequest | None) -> None:
        """Release what a client had that has gone, and drop its pending request."""
        self.clients.remove(connection.client)
        if self.listener is not None:
            self.listener.on_descriptor_released()
        if (request is None or not request.pool.drop_disconnected(request)) and self.draining:
            self.shutdown.end_if_done()

    @property
    def accepts_clients(self) -> bool:
        """Whether new clients are admitted."""
        return self.listener is not None and not self.draining

    # Limits

    def _connection_limits(self) -> ConnectionLimits:
        return ConnectionLimits(self.budget.clients, self.budget.with_requests)

    def listen(self, sock: socket.socket) -> Listener:
        """Begin to accept clients' connections on a listening socket."""
        self.listener = Listener(
            self.loop, sock, self.clients, lambda client: ClientConnection(self, client), self.system
        )
        return self.listener

    def change_limits(self, sockets: int, caps: AddressLimits) -> None:
        """Apply other limits while running: what is open beyond them is closed, except what a request needs.

        Args:
            sockets: descriptors that all processes of the sidecar may hold together.
            caps: limits on clients by address.
        """
        if self.max_descriptors >= self.sockets:  # this process has them all, and keeps them all
            self.max_descriptors = sockets
        self.sockets = sockets
        kept = self.clients.admission.count if self.process_count > 1 else 0
        self.budget.resize(min(self.max_descriptors, sockets), sockets, kept)
        self.memory.resize(self.memory_limit // self.process_count)
        self.clients.resize(self._connection_limits(), caps)
        for pool in self.pools:
            pool.upstreams.shrink()

    def needed_descriptors(self) -> int:
        """Return how many descriptors this process can't give away just now."""
        return self.budget.required(self.clients.admission.count)

    def share_capacity(self, parts: int, most: int) -> None:
        """Leave capacity to other processes of this sidecar.

        Args:
            parts: how many processes live; this one takes one part in so many of the memory of messages.
            most: descriptors that this process may hold.
        """
        if (parts, most) != (self.process_count, self.max_descriptors):
            self.process_count, self.max_descriptors = parts, most
            self.change_limits(self.sockets, self.clients.admission.caps)

    # Housekeeping and shutdown

    def _sweep(self, due: float) -> None:
        """Close connections that have been idle for too long.

        A process that was stopped, or whose loop is late, skips one sweep: what came meanwhile has not been
        read yet, and a connection with a request on it would be closed as idle. The next sweep comes soon,
        and is done however late the loop is.

        Args:
            due: when this sweep was due, in seconds of the monotonic clock; infinity: whenever it comes.
        """
        now = self.monotonic()
        late = now - due >= SWEEP_INTERVAL_S
        if not late:
            for pool in self.pools:
                pool.upstreams.sweep()
            self.clients.sweep()
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep, math.inf if late else now + SWEEP_INTERVAL_S)

    def drain(self) -> None:
        """Begin the graceful shutdown; once it has begun, do nothing."""
        self.shutdown.begin()

    def close(self) -> None:
        """Close all sockets."""
        self.lag.close()
        for pool in self.pools:
            pool.close()
        if self.peers is not None and self.peers.transport is not None:
            self.peers.transport.close()
        for connection in list(self.clients.all.values()):
            connection.close()


def _retry_after_header(pool: Pool) -> bytes:
    """Return the Retry-After header of a rejection, where the settings allow it."""
    if not pool.settings.retry_after:
        return b""
    return retry_after(min(RETRY_AFTER_NS, pool.settings.max_retry_after_ns))
