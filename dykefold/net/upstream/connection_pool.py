"""The pool of connections to endpoints: which one carries an exchange, and which ones are kept or closed.

An exchange goes out on an idle connection of its endpoint if there is a good one. Else it waits in
`Upstream.opening` while a connection is made for it, and takes whichever comes free first.
The module `exchange` describes what may have run, `connection` the states of a connection.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable

from ...admission.budget import DescriptorAllowance
from ...balancer.events import State, Status
from ...system import SYSTEM, System
from ..memory_budget import MemoryBudget
from ..read_scheduler import ReadScheduler
from ..timer_wheel import TimerWheel
from .connection import UpstreamConnection
from .connector import establish, tune
from .endpoint_connections import Upstream
from .exchange import Exchange
from .idle_timeouts import QUARANTINE_MIN_S, IdleAgeStats, Quarantine, ScarcityLimit

IDLE_FRACTION = 0.7  # of the time after which an endpoint may close an idle connection


class ConnectionPool:
    """All connections to the endpoints of one service.

    Args:
        endpoint_idle_s: seconds after which endpoints may close an idle connection.
        close_in_other_pools: closes a connection that another pool does not need; tells whether it could.
        system: the sockets and the clock.

    Attributes:
        loop: where its connections run.
        monotonic: the clock, seconds.
        timer_wheel: the time limits of its exchanges.
        read_scheduler: parses long responses in slices.
        lag: is notified of what held up the loop, if that is measured.
        allowance: counts its connections against their maximum.
        memory: bounds the bytes of responses that are kept.
        connect_timeout: seconds.
        max_idle_s: up to which age idle connections are used, whatever is learned of them.
        scarcity: the idle limit while others may lack connections.
        quarantine: for how long a connection rests after a response.
        ages: the idle statistics of all endpoints; `kinds` has those of each kind of endpoint.
        targets: the endpoints by number.
        connections: all that are not closed.
        idle: those without an exchange, of all endpoints, the longest idle one first.
        unneeded: those that are being made for an exchange that needs them no more.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        allowance: DescriptorAllowance,
        memory: MemoryBudget,
        connect_timeout: float,
        endpoint_idle_s: float,
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
        self.read_scheduler = read_scheduler or ReadScheduler(loop, system=system)
        self.lag = self.read_scheduler.lag
        self.allowance = allowance
        self.memory = memory
        self.connect_timeout = connect_timeout
        self.max_idle_s = endpoint_idle_s * IDLE_FRACTION
        self.scarcity = ScarcityLimit(self.max_idle_s)
        self.quarantine = Quarantine()
        self.ages = IdleAgeStats(self.max_idle_s)
        self.kinds: dict[int, IdleAgeStats] = {}
        self.endpoints: dict[int, Upstream] = {}
        self.connections: dict[UpstreamConnection, None] = {}
        self.idle: OrderedDict[UpstreamConnection, None] = OrderedDict()
        self.unneeded: dict[UpstreamConnection, Exchange] = {}

    def change_settings(self, connect_timeout: float, endpoint_idle_s: float) -> None:
        """Take other times; what was learned of idle connections stays, under the new maximum.

        Args:
            connect_timeout: seconds.
            endpoint_idle_s: seconds after which endpoints may close an idle connection.
        """
        self.connect_timeout = connect_timeout
        if endpoint_idle_s * IDLE_FRACTION == self.max_idle_s:
            return
        self.max_idle_s = endpoint_idle_s * IDLE_FRACTION
        ages = [self.ages, *self.kinds.values(), *(target.ages for target in self.endpoints.values())]
        limits: list[ScarcityLimit | IdleAgeStats] = [self.scarcity, *ages]
        for limited in limits:
            limited.max_s = self.max_idle_s
            limited.limit_s = min(limited.limit_s, self.max_idle_s)

    def update(
        self, server: int, address: tuple[str, int], since_ms: int, state: State, kind: int = 0
    ) -> None:
        """Add or change an endpoint; idle connections to what it was before are closed.

        Args:
            server: its number.
            address: host and port.
            since_ms: its start time, Unix time in milliseconds.
            state: only a ready one takes new exchanges.
            kind: number of the kind of endpoints that it is of: these close idle connections alike.
        """
        target = self.endpoints.get(server)
        if target is None:
            # Kinds are numbered by discovery's names, of which there is a bounded number.
            alike = self.kinds.setdefault(kind, IdleAgeStats(self.max_idle_s, self.ages))
            target = self.endpoints[server] = Upstream(
                address, since_ms, IdleAgeStats(self.max_idle_s, alike)
            )
        elif target.since_ms != since_ms or target.address != address:
            self.close_idle(server)
            if target.address != address:  # what comes up there is no more this endpoint
                target.fail_waiting()
            target.since_ms, target.address = since_ms, address
            target.generation += 1
        target.takes_new = state is State.READY
        if not target.takes_new:
            self.close_idle(server)
            # The first byte of requests that still wait for a connection would go out after the notification
            # that the endpoint drains.
            target.fail_waiting()

    def forget(self, server: int) -> None:
        """Drop an endpoint that is gone; exchanges in flight keep their connections."""
        target = self.endpoints.pop(server, None)
        if target is not None:
            target.takes_new = False

    def start(self, server: int, exchange: Exchange, timeout: float) -> None:
        """Send an exchange; its end is reported later, never from within this call.

        Args:
            server: number of the endpoint.
            exchange: that was not started before.
            timeout: seconds from now to its time limit.
        """
        target = self.endpoints.get(server)
        if target is None or not target.takes_new:
            self.loop.call_soon(exchange.end, Status.CONNECT_FAILED)
            return
        now = self.monotonic()
        exchange.timer_wheel = self.timer_wheel
        self.timer_wheel.start(exchange, timeout, now)
        while target.idle and (connection := self._take_idle(target, now)) is not None:
            if now - connection.idle_since > target.ages.limit_s:
                connection.close()  # and so have all others of this endpoint been idle for too long
                continue
            if connection.send(exchange, now):
                return
            connection.close()  # found dead before anything was written: no attempt was made
        self._open(target, exchange)

    def _open(self, target: Upstream, exchange: Exchange) -> None:
        # Requests have their descriptor reserved, so one of the connections not in use can always go.
        if self.allowance.full and not self._free_capacity():
            # What this process lacks says nothing of the endpoint, which must not be held to have failed.
            self.loop.call_soon(exchange.end, Status.NOT_ATTEMPTED)
            return
        try:
            sock = self.system.tcp_socket()
        except OSError:  # out of descriptors in spite of the count: one request less, not the process
            self._free_capacity()
            self.loop.call_soon(exchange.end, Status.NOT_ATTEMPTED)
            return
        tune(sock)
        connection = UpstreamConnection(self, target, sock)
        self.connections[connection] = None
        self.allowance.in_use += 1
        target.opening[exchange] = connection
        exchange.opening = self.loop.create_task(establish(self, target, exchange, connection))

    def keep_idle(self, connection: UpstreamConnection, now: float) -> None:
        """Give a connection that has become free to an exchange that waits, or keep it idle.

        Args:
            connection: without an exchange.
            now: the time, in seconds of `monotonic`.
        """
        target = connection.upstream
        if connection.closed or not target.takes_new or connection.generation != target.generation:
            connection.close()
            return
        # An exchange that waits for a connection of its own need not: the one being made is kept instead.
        # One that was given up while the loop took its connection over is in `opening` until that is done. It
        # has been reported as never run, may be retried elsewhere, and must not be sent here.
        while target.opening:
            exchange = next(iter(target.opening))
            if not exchange.ended and exchange.wanted():
                break
            self._stop_waiting(target, exchange)
            self.loop.call_soon(exchange.end, Status.NOT_ATTEMPTED)
        # One that has just answered may have to rest; one that was made and carried nothing need not.
        if target.opening and (not connection.sent_at or not self.quarantine.limit(now)):
            exchange = next(iter(target.opening))
            if connection.send(exchange, now):
                made = target.opening.pop(exchange)
                if exchange.opening is not None:
                    self.unneeded[made] = exchange
            else:
                connection.close()
            return
        connection.idle_since = now
        target.idle[connection] = None
        self.idle[connection] = None

    def abandon(self, server: int, exchange: Exchange) -> None:
        """See that nobody waits for an exchange any more: one that was not written whole yet never is.

        That says nothing of its endpoint. A connection that is being made for it is kept for others; one on
        which a part of it was written is closed. An exchange that may have run goes on.

        Args:
            server: number of the endpoint.
            exchange: that was started there.
        """
        connection = exchange.connection
        if exchange.ended:
            return
        if connection is None:
            target = self.endpoints.get(server)
            if target is not None and exchange in target.opening:
                self._stop_waiting(target, exchange)
            exchange.end(Status.NOT_ATTEMPTED)
        elif connection.incomplete:
            connection.withdraw()

    def _stop_waiting(self, target: Upstream, exchange: Exchange) -> None:
        """Take an exchange that is not to be written from those that wait for a connection."""
        made = target.opening.pop(exchange)
        if exchange.opening is not None:
            self.unneeded[made] = exchange

    def on_closed(self, connection: UpstreamConnection) -> None:
        """Neither count nor use a connection that closes."""
        self.connections.pop(connection, None)
        self.allowance.in_use -= 1
        connection.upstream.idle.pop(connection, None)
        self.idle.pop(connection, None)

    def close_idle(self, server: int) -> None:
        """Close the idle connections to an endpoint."""
        target = self.endpoints.get(server)
        if target is not None:
            for connection in list(target.idle):
                connection.close()

    def _take_idle(self, target: Upstream, now: float) -> UpstreamConnection | None:
        """Take the most recently used one that has rested: the least likely to have been closed meanwhile.

        Where no endpoint was seen to answer twice, one that has not rested is still better than a new one.
        """
        rest_s = self.quarantine.limit(now)
        before = now - (rest_s or QUARANTINE_MIN_S)
        connection = next(reversed(target.idle))
        if connection.idle_since > before:
            rested = (one for one in reversed(target.idle) if one.idle_since <= before)
            if (found := next(rested, None)) is not None:
                connection = found
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
        """Close a connection that nobody needs: the one idle for longest, or one still being made.

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
        """Close what is not in use until a smaller allowance is kept."""
        while self.allowance.in_use > self.allowance.limit and self._free_capacity():
            pass

    def sweep(self) -> None:
        """Close long idle connections before their endpoint does: a request would meet that end.

        This looks only at endpoints with idle connections: thousands may be listed.
        """
        now = self.monotonic()
        scarcity_s = self.scarcity.limit(now)
        for target in dict.fromkeys(connection.upstream for connection in self.idle):
            before = now - min(target.ages.limit(now), scarcity_s)
            while target.idle and (first := next(iter(target.idle))).idle_since < before:
                first.close()

    def close(self) -> None:
        """Close all connections, and end the exchanges that wait for one."""
        for target in self.endpoints.values():
            target.fail_waiting()
        for connection in list(self.connections):
            connection.close()
