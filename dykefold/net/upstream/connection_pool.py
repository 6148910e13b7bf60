"""The pool of connections to endpoints: which one carries an exchange, and which ones are kept or closed.

An exchange is written on an idle connection of its endpoint if there is a usable one. Else it waits in
`Upstream.opening` while a connection is made for it, and takes the first one that comes free.
The module `exchange` describes what may have run, `connection` the states of a connection.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable

from ...balancer.events import State, Status
from ...system import SYSTEM, System
from ..read_scheduler import ReadScheduler
from ..timer_wheel import TimerWheel
from .connection import UpstreamConnection
from .connector import establish, tune
from .endpoint_connections import Upstream
from .exchange import Exchange
from .idle_timeouts import QUARANTINE_MIN_S, IdleAgeStats, Quarantine, ScarcityLimit
from .limits import ConnectionLimits
from .resources import ConnectionResources

# Fraction of the endpoint's idle timeout after which a connection is used no more.
IDLE_FRACTION = 0.7


class ConnectionPool:
    """All connections to the endpoints of one service.

    Args:
        loop: Event loop of the connections.
        limits: Budgets and timeouts of the connections.
        read_scheduler: Scheduler that parses long responses in slices; None for one of the pool's own.
        timer_wheel: Time limits of the exchanges; None for a wheel of the pool's own.
        close_in_other_pools: Callback that closes a connection which another pool does not need, and returns
            whether there was one.
        system: Sockets and clock.

    Attributes:
        monotonic: Clock, in seconds.
        allowance: Number of connections in use, and their maximum.
        connect_timeout_s: Seconds until a connect is given up.
        max_idle_s: Upper bound in seconds of all idle timeouts, whatever is learned of an endpoint.
        scarcity: Idle limit while other sidecars may lack connections.
        quarantine: Time for which a connection rests after a response.
        ages: Idle statistics of all endpoints.
        ages_by_kind: Idle statistics by number of the kind of endpoints.
        endpoints: Endpoints by number.
        resources: Collaborators that all connections share.
        connections: Connections that are not closed.
        idle: Connections without an exchange, of all endpoints, the longest idle one first.
        unneeded: Connections that are being made for an exchange which does not need them any more.
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
        self.quarantine = Quarantine()
        self.ages = IdleAgeStats(self.max_idle_s)
        self.ages_by_kind: dict[int, IdleAgeStats] = {}
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
            quarantine=self.quarantine,
            scarcity=self.scarcity,
        )

    def change_settings(self, connect_timeout_s: float, endpoint_idle_s: float) -> None:
        """Apply other timeouts; what was learned of idle connections stays, under the new maximum.

        Args:
            connect_timeout_s: Seconds until a connect is given up.
            endpoint_idle_s: Seconds after which endpoints may close an idle connection.
        """
        self.connect_timeout_s = connect_timeout_s
        if endpoint_idle_s * IDLE_FRACTION == self.max_idle_s:
            return
        self.max_idle_s = endpoint_idle_s * IDLE_FRACTION
        ages = [self.ages, *self.ages_by_kind.values(), *(target.ages for target in self.endpoints.values())]
        limits: list[ScarcityLimit | IdleAgeStats] = [self.scarcity, *ages]
        for limited in limits:
            limited.max_s = self.max_idle_s
            limited.limit_s = min(limited.limit_s, self.max_idle_s)

    def update(
        self, endpoint_number: int, address: tuple[str, int], since_ms: int, state: State, kind: int = 0
    ) -> None:
        """Add or change an endpoint; if it moved or restarted, its earlier idle connections are closed.

        Args:
            endpoint_number: Number of the endpoint.
            address: Host and port.
            since_ms: Start time of the endpoint, Unix time in milliseconds.
            state: State of the endpoint; only a ready one accepts new exchanges.
            kind: Number of the endpoint's kind; endpoints of one kind close idle connections alike.
        """
        target = self.endpoints.get(endpoint_number)
        if target is None:
            # Kinds are numbered by discovery's names, of which there is a bounded number.
            same_kind = self.ages_by_kind.setdefault(kind, IdleAgeStats(self.max_idle_s, self.ages))
            target = self.endpoints[endpoint_number] = Upstream(
                address, since_ms, IdleAgeStats(self.max_idle_s, same_kind)
            )
        elif target.since_ms != since_ms or target.address != address:
            self.close_idle(endpoint_number)
            if target.address != address:  # Connects to the earlier address may reach another endpoint.
                target.fail_waiting()
            target.since_ms, target.address = since_ms, address
            target.generation += 1
        target.takes_new = state is State.READY
        if not target.takes_new:
            self.close_idle(endpoint_number)
            # Requests that still wait for a connection would be written after the notification that the
            # endpoint drains.
            target.fail_waiting()

    def forget(self, endpoint_number: int) -> None:
        """Remove an endpoint that is gone; exchanges in flight keep their connections."""
        target = self.endpoints.pop(endpoint_number, None)
        if target is not None:
            target.takes_new = False

    def start(self, endpoint_number: int, exchange: Exchange, timeout_s: float) -> None:
        """Send an exchange; its end is reported later, never from within this call.

        Args:
            endpoint_number: Number of the endpoint.
            exchange: Exchange that was not started before.
            timeout_s: Seconds from now to the exchange's time limit.
        """
        target = self.endpoints.get(endpoint_number)
        if target is None or not target.takes_new:
            self.loop.call_soon(exchange.end, Status.CONNECT_FAILED)
            return
        now_s = self.monotonic()
        exchange.timer_wheel = self.timer_wheel
        self.timer_wheel.start(exchange, timeout_s, now_s)
        while target.idle and (connection := self._take_idle(target, now_s)) is not None:
            if now_s - connection.idle_since_s > target.ages.limit_s:
                connection.close()  # Older connections of the endpoint are closed next.
                continue
            if connection.send(exchange, now_s):
                return
            connection.close()  # It was dead before anything was written: no attempt was made.
        self._open(target, exchange)

    def _open(self, target: Upstream[UpstreamConnection], exchange: Exchange) -> None:
        # Each request has a descriptor reserved, so a connection that is not in use can always be closed.
        if self.allowance.full and not self._free_capacity():
            # A lack of this process is no failure of the endpoint.
            self.loop.call_soon(exchange.end, Status.NOT_ATTEMPTED)
            return
        try:
            sock = self.system.tcp_socket()
        except OSError:  # Out of descriptors in spite of the count: only this request ends.
            self._free_capacity()
            self.loop.call_soon(exchange.end, Status.NOT_ATTEMPTED)
            return
        tune(sock)
        connection = UpstreamConnection(self.resources, target, sock, self.system.watch(sock))
        self.connections[connection] = None
        self.allowance.in_use += 1
        target.opening[exchange] = connection
        exchange.opening = self.loop.create_task(establish(self, target, exchange, connection))

    def keep_idle(self, connection: UpstreamConnection, now_s: float) -> None:
        """Reuse a connection that has become free for an exchange that waits, keep it idle, or close it.

        Args:
            connection: Connection without an exchange.
            now_s: Time, in seconds of `monotonic`.
        """
        target = connection.upstream
        if connection.closed or not target.takes_new or connection.generation != target.generation:
            connection.close()
            return
        # An exchange that waits takes this connection, and the one that is being made for it is kept instead.
        # An exchange that was given up while the loop took its connection over is in `opening` until that is
        # done. It has been reported as never run, may be retried elsewhere, and must not be sent here.
        while target.opening:
            exchange = next(iter(target.opening))
            if not exchange.ended and exchange.wanted():
                break
            self._stop_waiting(target, exchange)
            self.loop.call_soon(exchange.end, Status.NOT_ATTEMPTED)
        # A connection that has just carried a response may have to rest; a new one need not.
        if target.opening and (connection.sent_at_s is None or not self.quarantine.limit(now_s)):
            exchange = next(iter(target.opening))
            if connection.send(exchange, now_s):
                made = target.opening.pop(exchange)
                if exchange.opening is not None:
                    self.unneeded[made] = exchange
            else:
                connection.close()
            return
        connection.idle_since_s = now_s
        target.idle[connection] = None
        self.idle[connection] = None

    def abandon(self, endpoint_number: int, exchange: Exchange) -> None:
        """End an exchange for which nobody waits any more, unless its last byte was written.

        This says nothing of its endpoint. A connection that is being made for the exchange is kept for
        others; one on which a part of the exchange was written is closed. An exchange that may have run
        goes on.

        Args:
            endpoint_number: Number of the endpoint.
            exchange: Exchange that was started at the endpoint.
        """
        connection = exchange.connection
        if exchange.ended:
            return
        if connection is None:
            target = self.endpoints.get(endpoint_number)
            if target is not None and exchange in target.opening:
                self._stop_waiting(target, exchange)
            exchange.end(Status.NOT_ATTEMPTED)
        elif connection.incomplete:
            connection.withdraw()

    def _stop_waiting(self, target: Upstream[UpstreamConnection], exchange: Exchange) -> None:
        """Remove an exchange that must not be written from those that wait for a connection."""
        made = target.opening.pop(exchange)
        if exchange.opening is not None:
            self.unneeded[made] = exchange

    def is_unneeded(self, connection: UpstreamConnection) -> bool:
        """Return whether a connection is made for an exchange that does not need it any more."""
        return connection in self.unneeded

    def on_connect_ended(self, connection: UpstreamConnection) -> None:
        """Remove a connection whose connect has ended from those that may still be cancelled."""
        self.unneeded.pop(connection, None)

    def on_closed(self, connection: UpstreamConnection) -> None:
        """Remove a connection that closes from all counts."""
        self.connections.pop(connection, None)
        self.allowance.in_use -= 1
        connection.upstream.idle.pop(connection, None)
        self.idle.pop(connection, None)

    def close_idle(self, endpoint_number: int) -> None:
        """Close the idle connections to an endpoint."""
        target = self.endpoints.get(endpoint_number)
        if target is not None:
            for connection in list(target.idle):
                connection.close()

    def _take_idle(self, target: Upstream[UpstreamConnection], now_s: float) -> UpstreamConnection | None:
        """Take the idle connection that was used most recently and has rested, if there is one.

        That one is the least likely to have been closed meanwhile. Where no endpoint was seen to answer
        twice, a connection that has not rested is still better than a new one.
        """
        rest_s = self.quarantine.limit(now_s)
        before = now_s - (rest_s or QUARANTINE_MIN_S)
        connection = next(reversed(target.idle))
        if connection.idle_since_s > before:
            rested = (idle for idle in reversed(target.idle) if idle.idle_since_s <= before)
            if (latest := next(rested, None)) is not None:
                connection = latest
            elif rest_s:
                return None
        del target.idle[connection]
        del self.idle[connection]
        return connection

    def _free_capacity(self) -> bool:
        return self.close_unneeded() or (
            self.close_in_other_pools is not None and self.close_in_other_pools()
        )

    def close_unneeded(self) -> bool:
        """Close the longest idle connection, or else one that is being made and not needed.

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
        """Close connections that are not in use, until their number is within a reduced allowance."""
        while self.allowance.in_use > self.allowance.limit and self._free_capacity():
            pass

    def sweep(self) -> None:
        """Close long idle connections before their endpoint does, which could break a request.

        Only endpoints with idle connections are examined, since thousands may be listed.
        """
        now_s = self.monotonic()
        scarcity_s = self.scarcity.limit(now_s)
        for target in dict.fromkeys(connection.upstream for connection in self.idle):
            before = now_s - min(target.ages.limit(now_s), scarcity_s)
            while target.idle and (first := next(iter(target.idle))).idle_since_s < before:
                first.close()

    def close(self) -> None:
        """Close all connections, and end the exchanges that wait for one."""
        for target in self.endpoints.values():
            target.fail_waiting()
        for connection in list(self.connections):
            connection.close()
