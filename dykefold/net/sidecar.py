"""The sidecar's server: listener, clients and budgets, shared by all pools of a process.

The platform's sidecar has one pool (`SidecarServer.serve_one`). `routing/` creates several, by a route table.
"""

from __future__ import annotations

import asyncio
import logging
import math
import socket
from dataclasses import dataclass, field

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
from .class_generations import RETIRED_CLASS_LINGER_NS, ClassGeneration
from .clock import NS_PER_MS, Clock
from .downstream.connection import ClientConnection
from .downstream.protocols import MessageParser
from .downstream.request_parser import ParsedRequest, RequestParser
from .loop_lag import LoopLagMonitor
from .memory_budget import MemoryBudget
from .peers import PeerChannel
from .read_scheduler import ReadScheduler
from .request_ids import RequestIds
from .service.http_encoding import retry_after
from .service.pool import Pool
from .service.pool_config import PoolConfig
from .service.protocols import ResponseSink
from .shutdown import GracefulShutdown
from .timer_wheel import TimerWheel

log = logging.getLogger("dykefold")

SWEEP_INTERVAL_S = 0.25
RETRY_AFTER_NS = 500 * NS_PER_MS  # Retry-After of a rejection because this process lacks capacity
EXCEPTION_LOG_INTERVAL_S = 1.0  # minimum time between two logged exceptions
DUPLICATE_ID_REJECTION = (409, b"", b"a request with this id is open or has just been\n")


@dataclass(frozen=True, slots=True)
class SidecarLimits:
    """Initial limits of a process.

    Attributes:
        max_descriptors: Number of descriptors that all processes of the sidecar may hold together.
        memory_bytes: Maximum memory of all processes of the sidecar together, in bytes.
        addresses: Limits on the clients of each address.
        other_descriptors: Number of descriptors reserved for uses other than clients and endpoints, such as
            the admin API.
    """

    max_descriptors: int
    memory_bytes: int
    addresses: AddressLimits = field(default_factory=AddressLimits)
    other_descriptors: int = 0


class SidecarServer:
    """Server that accepts clients' connections and requests for the pools of this process, within its limits.

    Args:
        loop: Event loop that runs everything.
        limits: Initial limits; the process may use all of them until `share_capacity` is called.
        system: Clocks and sockets of the machine.

    Attributes:
        parser: Parser of requests; set by `serve_one`, or by the routing of pools.
        pools: Pools that are active or retiring.
        pool: Pool of the platform's sidecar; set by `serve_one`.
        generation: Settings of that pool with numbered request classes; set by `serve_one`.
        half_close: Whether a client that has closed its sending side still gets responses.
        total_descriptors: Number of descriptors that all processes of the sidecar may hold together.
        memory_limit_bytes: Maximum memory of all processes of the sidecar together, in bytes.
        process_count: Number of live processes of the sidecar, among which the memory is divided equally.
        max_descriptors: Number of descriptors that this process may hold.
        lag_monitor: Monitor of the event loop's delay.
        read_scheduler: Connections whose input waits to be parsed.
        timer_wheel: Timers of requests and attempts.
        peers: Datagram channel to other sidecars; None without one.
        request_ids: Ids of requests that are pending or have finished recently.
        draining: Whether the graceful shutdown has begun.
        handing_over: Whether a newer process takes over the clients.
        accepting_requests: Whether requests are still accepted.
        all_answered: Whether every pending request has been answered, and each new one is rejected.
        stopped: Future that completes when the process may exit.
        listener: Listening socket; None before the process accepts clients and after it has closed it.
        shutdown: Steps of the graceful shutdown.
        exception_logged_s: Time of the latest logged exception, seconds of the monotonic clock.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, limits: SidecarLimits, system: System = SYSTEM
    ) -> None:
        self.loop = loop
        self.system = system
        self.monotonic = system.monotonic
        self.clock = Clock(system)
        self.now = self.clock.now
        self.parser: MessageParser
        self.pools: dict[Pool, None] = {}
        self.half_close = False
        self.total_descriptors, self.memory_limit_bytes = limits.max_descriptors, limits.memory_bytes
        self.process_count = 1
        self.max_descriptors = limits.max_descriptors
        self.budget = DescriptorBudget(limits.max_descriptors, limits.other_descriptors)
        self.memory = MemoryBudget(limits.memory_bytes)
        self.clients = ClientConnections(
            AdmissionController(self._connection_limits(), limits.addresses), system
        )
        self.lag_monitor = LoopLagMonitor(loop, system)
        self.read_scheduler = ReadScheduler(loop, self.lag_monitor, system)
        self.timer_wheel = TimerWheel(loop, system)
        self.peers: PeerChannel | None = None
        self.request_ids = RequestIds(self.monotonic)
        self.draining = False
        self.handing_over = False
        self.accepting_requests = True
        self.all_answered = False
        self.stopped = loop.create_future()
        self.listener: Listener | None = None
        self.shutdown = GracefulShutdown(loop, self)
        self.exception_logged_s = -math.inf
        self._sweep(self.monotonic())

    def serve_one(self, config: PoolConfig) -> None:
        """Serve all requests by one pool, as on the platform.

        Args:
            config: Initial settings, endpoints and random seed of the pool.
        """
        self.pool = Pool(self, config)
        self.add_pool(self.pool)
        self.generation = ClassGeneration(config.settings)
        self.parser = RequestParser(config.settings, self.pool)

    def change_settings(self, settings: Settings, transport: Transport) -> None:
        """Change the settings of the one pool; they apply to requests that are read from now on.

        Args:
            settings: New settings of the balancer.
            transport: New limits and idle timeout of sockets.

        Raises:
            TooManyClassesError: More request classes would be in use at once than there are numbers;
                nothing is changed then.
        """
        pool, now_ns = self.pool, self.now()
        settings = pool.renumber_zones(settings)
        unaccepted = [
            request.class_number
            for connection in self.clients.open_connections.values()
            for request in connection.pending_requests()
        ]
        pending = [request.parsed.class_number for request in pool.pending.values()]
        in_flight = [attempt.request.parsed.class_number for attempt in pool.attempts.values()]
        generation = self.generation.next(settings, {*unaccepted, *pending, *in_flight}, now_ns)
        if generation == self.generation:
            pool.change_transport(transport)
            return
        log.info("request classes changed: classes=%s", ", ".join(generation.numbers()))
        self.generation = generation
        pool.change_settings(generation.settings, transport, frozenset(generation.retired))
        assert isinstance(self.parser, RequestParser)
        previous = self.parser.keep_as_fallback(now_ns, now_ns + RETIRED_CLASS_LINGER_NS)
        self.parser = RequestParser(generation.settings, pool, generation.retired, previous)

    def add_pool(self, pool: Pool) -> None:
        """Add a pool; operators' orders, which concern all pools of the process, apply to it from now on."""
        for other in self.pools:
            pool.merge_maintenance(other.maintenance.orders)
        self.pools[pool] = None

    def remove_pool(self, pool: Pool) -> None:
        """Remove a pool that has retired."""
        self.pools.pop(pool, None)

    def close_unneeded_upstream(self) -> bool:
        """Close a connection to an endpoint that no pool needs; return whether there was one."""
        return any(pool.connection_pool.close_unneeded() for pool in self.pools)

    def log_exception(self, text: str) -> None:
        """Log the exception that is being handled, at most one in `EXCEPTION_LOG_INTERVAL_S`."""
        if self.monotonic() - self.exception_logged_s >= EXCEPTION_LOG_INTERVAL_S:
            self.exception_logged_s = self.monotonic()
            log.exception(text)

    # Requests

    def admit(self, connection: ClientConnection, request: ParsedRequest) -> tuple[int, bytes, bytes] | None:
        """Reserve what a request will need; its id must be new in all processes of the sidecar.

        Returns:
            Code, headers and text with which the request is rejected; None if it is admitted.
        """
        if self.all_answered:
            # Clients may pipeline requests on a connection that is never idle. A request that is accepted
            # now would still be pending when the process stops.
            return 503, _retry_after_header(request.pool), b"this sidecar ends\n"
        if self.request_ids.is_known(request.x_request_id):
            return DUPLICATE_ID_REJECTION
        pool: Pool = request.pool
        if not self.clients.open_request(connection.client):
            return 429, _retry_after_header(pool), b"too many open requests from this address\n"
        if not self._reserve_for_request(pool):
            self.clients.close_request(connection.client, served=False)
            self.clients.rejections.add(RejectionReason.ALL_OPEN_REQUESTS, connection.client.host)
            return 503, _retry_after_header(pool), b"too many open requests\n"
        if not self.request_ids.open(request.x_request_id):
            self.clients.close_request(connection.client, served=False)
            pool.budget.release()
            self.memory.release_request()
            return DUPLICATE_ID_REJECTION
        return None

    def _reserve_for_request(self, pool: Pool) -> bool:
        """Reserve memory and a descriptor for one more request; return False if there is no capacity."""
        if len(pool.pending) >= pool.max_pending or pool.closed or not self.memory.reserve_request():
            return False
        if not pool.budget.reserve():
            self.memory.release_request()
            return False
        return True

    def accept(self, connection: ClientConnection, request: ParsedRequest) -> None:
        """Accept an admitted request, which gets one final response."""
        request.pool.accept(connection, request)

    def on_request_end(self, sink: ResponseSink, request: ParsedRequest, served: bool) -> None:
        """Release the capacity that a finished request had reserved."""
        self.clients.close_request(sink.client, served)
        self.memory.release_request()
        self.request_ids.finish(request.x_request_id)
        if self.draining:
            self.shutdown.stop_if_done()

    # Clients

    def disconnected(self, connection: ClientConnection, request: ParsedRequest | None) -> None:
        """Release the capacity of a disconnected client, and drop its pending request."""
        self.clients.remove(connection.client)
        if self.listener is not None:
            self.listener.on_descriptor_released()
        if (request is None or not request.pool.drop_disconnected(request)) and self.draining:
            self.shutdown.stop_if_done()

    @property
    def accepts_clients(self) -> bool:
        """Whether new clients are admitted."""
        return self.listener is not None and not self.draining

    # Limits

    def _connection_limits(self) -> ConnectionLimits:
        return ConnectionLimits(
            min(self.budget.clients, self.memory.max_connections), self.budget.with_requests
        )

    def measure_program_memory(self) -> None:
        """Measure the memory of the program, which leaves the rest of the limit to messages and clients."""
        self.memory.set_program_bytes(self.system.resident_bytes())
        self.clients.resize(self._connection_limits(), self.clients.admission.address_limits)

    def listen(self, sock: socket.socket) -> Listener:
        """Start accepting clients' connections on a listening socket."""
        self.listener = Listener(
            self.loop, sock, self.clients, lambda client: ClientConnection(self, client), self.system
        )
        return self.listener

    def change_limits(self, total_descriptors: int, addresses: AddressLimits) -> None:
        """Apply changed limits: connections beyond them are closed, except those that a request needs.

        Args:
            total_descriptors: Number of descriptors that all processes of the sidecar may hold together.
            addresses: Limits on the clients of each address.
        """
        # A process that may hold all descriptors keeps that right.
        if self.max_descriptors >= self.total_descriptors:
            self.max_descriptors = total_descriptors
        self.total_descriptors = total_descriptors
        min_clients = self.clients.admission.count if self.process_count > 1 else 0
        self.budget.resize(min(self.max_descriptors, total_descriptors), total_descriptors, min_clients)
        self.memory.resize(self.memory_limit_bytes // self.process_count)
        self.clients.resize(self._connection_limits(), addresses)
        for pool in self.pools:
            pool.connection_pool.shrink()

    def needed_descriptors(self) -> int:
        """Return the number of descriptors that this process can't release at present."""
        return self.budget.required(self.clients.admission.count)

    def share_capacity(self, process_count: int, max_descriptors: int) -> None:
        """Divide the sidecar's capacity among its processes.

        Args:
            process_count: Number of live processes, among which the memory of messages is divided equally.
            max_descriptors: Number of descriptors that this process may hold.
        """
        if (process_count, max_descriptors) != (self.process_count, self.max_descriptors):
            self.process_count, self.max_descriptors = process_count, max_descriptors
            self.change_limits(self.total_descriptors, self.clients.admission.address_limits)

    # Housekeeping and shutdown

    def _sweep(self, due_s: float) -> None:
        """Close connections that have been idle for too long.

        A late sweep is skipped, since the process was stopped or its loop is late: requests that arrived
        meanwhile have not been read yet, and their connections would be closed as idle. The sweep after it
        is never skipped.

        Args:
            due_s: Time at which this sweep was due, seconds of the monotonic clock; infinity for a sweep
                that is not skipped.
        """
        now_s = self.monotonic()
        late = now_s - due_s >= SWEEP_INTERVAL_S
        if not late:
            for pool in self.pools:
                pool.connection_pool.sweep()
            self.clients.sweep()
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep, math.inf if late else now_s + SWEEP_INTERVAL_S)

    def drain(self) -> None:
        """Begin the graceful shutdown; a second call has no effect."""
        self.shutdown.begin()

    def close(self) -> None:
        """Close all sockets."""
        self.lag_monitor.close()
        for pool in self.pools:
            pool.close()
        if self.peers is not None and self.peers.transport is not None:
            self.peers.transport.close()
        for connection in list(self.clients.open_connections.values()):
            connection.close()


def _retry_after_header(pool: Pool) -> bytes:
    """Return the Retry-After header of a rejection; empty if the settings disable it."""
    if not pool.settings.retry_after:
        return b""
    return retry_after(min(RETRY_AFTER_NS, pool.settings.max_retry_after_ns))
