"""The pool of connections to endpoints: assigns exchanges to connections, keeps and closes connections.

An exchange is written on an idle connection of its endpoint if there is a usable one. Otherwise it waits in
`Upstream.waiting_exchanges` while a connection is opened for it, and is sent on the first connection that is
available.
The module `exchange` describes when a request may have run, `connection` the states of a connection.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from itertools import islice

from ...balancer.events import State, Status
from ...system import SYSTEM, System
from ..read_scheduler import ReadScheduler
from ..timer_wheel import TimerWheel
from .connection import UpstreamConnection
from .connector import establish, set_socket_options
from .endpoint_connections import Upstream
from .exchange import Exchange
from .idle_timeouts import IdleAgeStats, ScarcityLimit
from .limits import ConnectionLimits
from .resources import ConnectionResources

# Fraction of the endpoint's idle timeout after which a connection is not reused.
IDLE_FRACTION = 0.7
# Fraction of an exchange's timeout that it may wait for a connection in place of opening one.
MAX_WAIT_FRACTION = 0.1
# A timer may fire early by the resolution of the event loop.
MIN_TIMER_DELAY_S = 0.001


class ConnectionPool:
    """All connections to the endpoints of one service.

    Args:
        loop: Event loop of the connections.
        limits: Budgets and timeouts of the connections.
        read_scheduler: Scheduler that parses long responses in slices; None to create one for this pool.
        timer_wheel: Timer wheel of the exchanges' timeouts; None to create one for this pool.
        close_in_other_pools: Callback that closes a connection that another pool does not need, and returns
            whether there was one; None if there are no other pools.
        system: Provider of sockets and the clock.

    Attributes:
        monotonic: Clock, in seconds.
        allowance: Number of connections in use, and their maximum.
        connect_timeout_s: Connect timeout, in seconds.
        max_idle_s: Upper bound of all idle timeouts, in seconds, including learned ones.
        scarcity: Idle timeout that is reduced while endpoints reject new connections.
        min_reuse_idle_s: Idle time after a response before a connection carries another exchange, in seconds.
        idle_stats: Idle statistics of all endpoints.
        idle_stats_by_kind: Idle statistics by number of the endpoints' kind.
        endpoints: Endpoints by number.
        resources: Collaborators shared by all connections.
        connections: Connections that are not closed.
        idle: Idle connections to all endpoints, the one that has been idle for longest first.
        unneeded: Connections that are being opened for an exchange that no longer needs them.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        limits: ConnectionLimits,
        read_scheduler: ReadScheduler | None = None,
        timer_wheel: TimerWheel | None = None,
        close_in_other_pools: Callable[[], bool] | None = None,
        system: System = SYSTEM,
    ) -> None:
        self.loop = loop
        self.system = system
        self.monotonic = system.monotonic
        self.close_in_other_pools = close_in_other_pools
        self.timer_wheel = timer_wheel or TimerWheel(loop, system)
        self.allowance = limits.allowance
        self.connect_timeout_s = limits.connect_timeout_s
        self.max_idle_s = limits.endpoint_idle_s * IDLE_FRACTION
        self.scarcity = ScarcityLimit(self.max_idle_s)
        self.min_reuse_idle_s = limits.min_reuse_idle_s
        self.idle_stats = IdleAgeStats(self.max_idle_s)
        self.idle_stats_by_kind: dict[int, IdleAgeStats] = {}
        self.endpoints: dict[int, Upstream[UpstreamConnection]] = {}
        self.connections: dict[UpstreamConnection, None] = {}
        self.idle: OrderedDict[UpstreamConnection, None] = OrderedDict()
        self.unneeded: dict[UpstreamConnection, Exchange] = {}
        self.resources: ConnectionResources[UpstreamConnection] = ConnectionResources(
            owner=self,
            loop=loop,
            monotonic=self.monotonic,
            memory=limits.memory,
            read_scheduler=read_scheduler or ReadScheduler(loop, system=system),
            scarcity=self.scarcity,
        )

    def change_settings(self, connect_timeout_s: float, endpoint_idle_s: float) -> None:
        """Apply new timeouts; learned idle timeouts are kept, up to the new maximum.

        Args:
            connect_timeout_s: Connect timeout, in seconds.
            endpoint_idle_s: Idle time after which endpoints may close a connection, in seconds.
        """
        self.connect_timeout_s = connect_timeout_s
        if endpoint_idle_s * IDLE_FRACTION == self.max_idle_s:
            return
        self.max_idle_s = endpoint_idle_s * IDLE_FRACTION
        idle_stats = [
            self.idle_stats,
            *self.idle_stats_by_kind.values(),
            *(upstream.idle_stats for upstream in self.endpoints.values()),
        ]
        limits: list[ScarcityLimit | IdleAgeStats] = [self.scarcity, *idle_stats]
        for limit in limits:
            limit.max_s = self.max_idle_s
            limit.limit_s = min(limit.limit_s, self.max_idle_s)

    def update(
        self, endpoint_number: int, address: tuple[str, int], since_ms: int, state: State, kind: int = 0
    ) -> None:
        """Add or change an endpoint; if it moved or restarted, its idle connections are closed.

        Args:
            endpoint_number: Number of the endpoint.
            address: Host and port.
            since_ms: Start time of the endpoint, Unix time in milliseconds.
            state: State of the endpoint; only a ready one accepts new exchanges.
            kind: Number of the endpoint's kind; endpoints of a kind are expected to have one idle timeout.
        """
        upstream = self.endpoints.get(endpoint_number)
        if upstream is None:
            # Bounded: discovery numbers the kinds by name, and bounds the number of names.
            kind_stats = self.idle_stats_by_kind.setdefault(
                kind, IdleAgeStats(self.max_idle_s, self.idle_stats)
            )
            upstream = self.endpoints[endpoint_number] = Upstream(
                address, since_ms, IdleAgeStats(self.max_idle_s, kind_stats)
            )
        elif upstream.since_ms != since_ms or upstream.address != address:
            self.close_idle(endpoint_number)
            if upstream.address != address:  # Connects to the former address may reach another endpoint.
                upstream.fail_waiting_exchanges()
            upstream.since_ms, upstream.address = since_ms, address
            upstream.generation += 1
        upstream.accepts_exchanges = state is State.READY
        if not upstream.accepts_exchanges:
            self.close_idle(endpoint_number)
            # Requests that are still waiting for a connection would be written after the notification that
            # the endpoint drains.
            upstream.fail_waiting_exchanges()

    def forget(self, endpoint_number: int) -> None:
        """Remove an endpoint; exchanges in flight keep their connections."""
        upstream = self.endpoints.pop(endpoint_number, None)
        if upstream is not None:
            upstream.accepts_exchanges = False

    def start(self, endpoint_number: int, exchange: Exchange, timeout_s: float) -> None:
        """Send an exchange; its end is never reported from within this call.

        Args:
            endpoint_number: Number of the endpoint.
            exchange: Exchange that was not started before.
            timeout_s: Timeout of the exchange from now, in seconds.
        """
        upstream = self.endpoints.get(endpoint_number)
        if upstream is None or not upstream.accepts_exchanges:
            self.loop.call_soon(exchange.end, Status.CONNECT_FAILED)
            return
        now_s = self.monotonic()
        exchange.timer_wheel = self.timer_wheel
        self.timer_wheel.start(exchange, timeout_s, now_s)
        while (connection := self._take_idle(upstream, now_s)) is not None:
            if connection.send(exchange, now_s):
                return
            connection.close()  # It was dead before any byte was written: no attempt was made.
        if self._may_wait_for_idle(upstream, now_s, timeout_s):
            upstream.waiting_exchanges[exchange] = None
        else:
            self._open(upstream, exchange)
        self._schedule_reuse(upstream, now_s)

    def _may_wait_for_idle(
        self, upstream: Upstream[UpstreamConnection], now_s: float, timeout_s: float
    ) -> bool:
        """Return whether an idle connection that can't be reused yet is to be preferred to a new one.

        A new connection costs the endpoint work, and may be established late or rejected. A wait that is
        short beside the response costs the client less. Each waiting exchange needs a connection of its own.
        """
        resting = next(islice(upstream.idle, len(upstream.unopened_exchanges()), None), None)
        if resting is None:
            return False
        wait_s = resting.idle_since_s + self.min_reuse_idle_s - now_s
        return wait_s <= min(upstream.mean_response_s, MAX_WAIT_FRACTION * timeout_s)

    def _open(self, upstream: Upstream[UpstreamConnection], exchange: Exchange) -> None:
        # Each request has a descriptor reserved, so an unused connection can always be closed to make room.
        if self.allowance.full and not self._free_capacity():
            # A shortage in this process is not the endpoint's fault.
            upstream.waiting_exchanges.pop(exchange, None)
            self.loop.call_soon(exchange.end, Status.NOT_ATTEMPTED)
            return
        try:
            sock = self.system.tcp_socket()
        except OSError:  # Out of descriptors in spite of the count: only this request ends.
            self._free_capacity()
            upstream.waiting_exchanges.pop(exchange, None)
            self.loop.call_soon(exchange.end, Status.NOT_ATTEMPTED)
            return
        set_socket_options(sock)
        connection = UpstreamConnection(self.resources, upstream, sock, self.system.read_poller(sock))
        self.connections[connection] = None
        self.allowance.in_use += 1
        upstream.waiting_exchanges[exchange] = connection
        exchange.connect_task = self.loop.create_task(establish(self, upstream, exchange, connection))

    def keep_idle(self, connection: UpstreamConnection, now_s: float) -> None:
        """Reuse an available connection for a waiting exchange, keep it idle, or close it.

        Args:
            connection: Connection without an exchange.
            now_s: Current time, in seconds of `monotonic`.
        """
        upstream = connection.upstream
        if (
            connection.closed
            or not upstream.accepts_exchanges
            or connection.generation != upstream.generation
        ):
            connection.close()
            return
        may_be_reused = connection.sent_at_s is None or not self.min_reuse_idle_s
        if may_be_reused and (exchange := self._next_waiting(upstream)) is not None:
            self._send_waiting(upstream, exchange, connection, now_s)
            return
        connection.idle_since_s = now_s
        upstream.idle[connection] = None
        self.idle[connection] = None
        self._schedule_reuse(upstream, now_s)

    def _next_waiting(self, upstream: Upstream[UpstreamConnection]) -> Exchange | None:
        """Return the first waiting exchange that is still needed, after ending those before it.

        An exchange that was given up while the event loop took over its socket stays in `waiting_exchanges`
        until that is done. It has been reported as never run and may be retried elsewhere: it must not be
        sent.
        """
        while upstream.waiting_exchanges:
            exchange = next(iter(upstream.waiting_exchanges))
            if not exchange.ended and exchange.should_send():
                return exchange
            self._remove_waiting(upstream, exchange)
            self.loop.call_soon(exchange.end, Status.NOT_ATTEMPTED)
        return None

    def _send_waiting(
        self,
        upstream: Upstream[UpstreamConnection],
        exchange: Exchange,
        connection: UpstreamConnection,
        now_s: float,
    ) -> None:
        """Send a waiting exchange; the connection that is being opened for it is kept idle instead."""
        if connection.send(exchange, now_s):
            self._remove_waiting(upstream, exchange)
        else:
            connection.close()

    def _schedule_reuse(self, upstream: Upstream[UpstreamConnection], now_s: float) -> None:
        """Set a timer until an idle connection may carry a waiting exchange, if there is one of each."""
        if upstream.waiting_exchanges and upstream.idle and upstream.reuse_timer is None:
            reusable_at_s = next(iter(upstream.idle)).idle_since_s + self.min_reuse_idle_s
            delay_s = max(reusable_at_s - now_s, MIN_TIMER_DELAY_S)
            upstream.reuse_timer = self.loop.call_later(delay_s, self._on_reuse_timer, upstream)

    def _on_reuse_timer(self, upstream: Upstream[UpstreamConnection]) -> None:
        """Send waiting exchanges on idle connections; open connections for those that have lost theirs."""
        upstream.reuse_timer = None
        now_s = self.monotonic()
        try:
            self._send_on_idle(upstream, now_s)
        finally:  # A failed write must not leave the others waiting.
            self._open_for_unserved(upstream)
            self._schedule_reuse(upstream, now_s)

    def _send_on_idle(self, upstream: Upstream[UpstreamConnection], now_s: float) -> None:
        """Send waiting exchanges on the idle connections that may be reused by now."""
        while (exchange := self._next_waiting(upstream)) is not None:
            connection = self._take_idle(upstream, now_s)
            if connection is None:
                break
            self._send_waiting(upstream, exchange, connection, now_s)

    def _open_for_unserved(self, upstream: Upstream[UpstreamConnection]) -> None:
        """Open connections for exchanges that were waiting for idle connections which have closed."""
        while len(unopened := upstream.unopened_exchanges()) > len(upstream.idle):
            if unopened[0].ended:
                del upstream.waiting_exchanges[unopened[0]]
            else:
                self._open(upstream, unopened[0])

    def withdraw(self, endpoint_number: int, exchange: Exchange) -> None:
        """End an exchange whose response is not needed any more, unless its last byte was written.

        This does not count against its endpoint. A connection that is being opened for the exchange is kept
        for others; one on which a part of the exchange was written is closed. An exchange that may have run
        continues.

        Args:
            endpoint_number: Number of the endpoint.
            exchange: Exchange that was started at the endpoint.
        """
        connection = exchange.connection
        if exchange.ended:
            return
        if connection is None:
            upstream = self.endpoints.get(endpoint_number)
            if upstream is not None and exchange in upstream.waiting_exchanges:
                self._remove_waiting(upstream, exchange)
            exchange.end(Status.NOT_ATTEMPTED)
        elif connection.incomplete:
            connection.withdraw()

    def _remove_waiting(self, upstream: Upstream[UpstreamConnection], exchange: Exchange) -> None:
        """Remove an exchange that must not be written from the waiting ones."""
        opening_connection = upstream.waiting_exchanges.pop(exchange)
        if opening_connection is not None and exchange.connect_task is not None:
            self.unneeded[opening_connection] = exchange

    def is_unneeded(self, connection: UpstreamConnection) -> bool:
        """Return whether a connection is being opened for an exchange that no longer needs it."""
        return connection in self.unneeded

    def on_connect_ended(self, connection: UpstreamConnection) -> None:
        """Remove a connection whose connect has ended from those whose connect may be cancelled."""
        self.unneeded.pop(connection, None)

    def on_closed(self, connection: UpstreamConnection) -> None:
        """Remove a closing connection from all counts."""
        self.connections.pop(connection, None)
        self.allowance.in_use -= 1
        connection.upstream.idle.pop(connection, None)
        self.idle.pop(connection, None)

    def close_idle(self, endpoint_number: int) -> None:
        """Close the idle connections to an endpoint."""
        upstream = self.endpoints.get(endpoint_number)
        if upstream is not None:
            for connection in list(upstream.idle):
                connection.close()

    def _take_idle(self, upstream: Upstream[UpstreamConnection], now_s: float) -> UpstreamConnection | None:
        """Remove the most recently used idle connection that may be reused, and return it.

        The most recently used one is the least likely to have been closed by its endpoint. After a response
        a connection is not reused for a while, since the response may be repeated. One that has not carried
        an exchange can be used at once.
        """
        idle_until_s = now_s - self.min_reuse_idle_s
        while True:
            for connection in reversed(upstream.idle):
                if connection.idle_since_s <= idle_until_s or connection.sent_at_s is None:
                    break
            else:
                return None
            if now_s - connection.idle_since_s <= upstream.idle_stats.limit_s:
                del upstream.idle[connection]
                del self.idle[connection]
                return connection
            connection.close()  # The next iterations close those idle for longer.

    def _free_capacity(self) -> bool:
        return self.close_unneeded() or (
            self.close_in_other_pools is not None and self.close_in_other_pools()
        )

    def close_unneeded(self) -> bool:
        """Close the connection that has been idle for longest, or else one being opened but not needed.

        Returns:
            Whether there was one.
        """
        if self.idle:
            next(iter(self.idle)).close()
            return True
        if self.unneeded:
            connection, exchange = self.unneeded.popitem()
            exchange.cancel_connect()
            connection.close()
            return True
        return False

    def shrink(self) -> None:
        """Close unused connections until the number of connections is within a reduced allowance."""
        while self.allowance.in_use > self.allowance.limit and self._free_capacity():
            pass

    def sweep(self) -> None:
        """Close connections that are idle for too long, before their endpoint does and breaks a request.

        Only endpoints with idle connections are examined, since thousands may be listed.
        """
        now_s = self.monotonic()
        scarcity_s = self.scarcity.limit(now_s)
        for upstream in dict.fromkeys(connection.upstream for connection in self.idle):
            expired_before_s = now_s - min(upstream.idle_stats.limit(now_s), scarcity_s)
            while upstream.idle and (oldest := next(iter(upstream.idle))).idle_since_s < expired_before_s:
                oldest.close()

    def close(self) -> None:
        """Close all connections, and end the exchanges that are waiting for one."""
        for upstream in self.endpoints.values():
            upstream.fail_waiting_exchanges()
        for connection in list(self.connections):
            connection.close()
