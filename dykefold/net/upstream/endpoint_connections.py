"""The state of one endpoint: its address, its idle connections and its waiting exchanges."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import Generic, TypeVar

from ...balancer.events import Status
from .exchange import Exchange
from .idle_timeouts import IdleAgeStats

ConnectionT = TypeVar("ConnectionT")

# Weight of the latest response in the moving average.
RESPONSE_TIME_WEIGHT = 0.2


class Upstream(Generic[ConnectionT]):
    """An endpoint with its idle connections and the exchanges that are waiting for a connection.

    Args:
        address: Host and port.
        since_ms: Start time of the endpoint as listed by discovery, Unix time in milliseconds.
        idle_stats: Statistics of reused connections by idle time.

    Attributes:
        generation: Number of restarts and moves; connections of an earlier generation are not reused.
        accepts_exchanges: Whether the endpoint accepts new exchanges; false once it drains or is gone.
        idle: Idle connections, the most recently used one last.
        waiting_exchanges: Exchanges that are waiting for a connection, in order, each with the connection
            that is being opened for it; None if it waits for an idle one.
        mean_response_s: Moving average of the time from an exchange to its response, in seconds.
        reuse_timer: Timer until an idle connection may carry a waiting exchange; None if none is needed.
    """

    def __init__(self, address: tuple[str, int], since_ms: int, idle_stats: IdleAgeStats) -> None:
        self.address = address
        self.idle_stats = idle_stats
        self.since_ms = since_ms
        self.generation = 0
        self.accepts_exchanges = True
        self.idle: OrderedDict[ConnectionT, None] = OrderedDict()
        self.waiting_exchanges: dict[Exchange, ConnectionT | None] = {}
        self.mean_response_s = 0.0
        self.reuse_timer: asyncio.TimerHandle | None = None

    def record_response_time(self, duration_s: float) -> None:
        """Update the moving average with the seconds from an exchange to its response."""
        self.mean_response_s += RESPONSE_TIME_WEIGHT * (duration_s - self.mean_response_s)

    def fail_waiting_exchanges(self) -> None:
        """End the exchanges that are waiting for a connection, as never run."""
        for exchange in self.unopened_exchanges():
            del self.waiting_exchanges[exchange]
            exchange.give_up(Status.CONNECT_FAILED)
        for exchange in list(self.waiting_exchanges):
            exchange.give_up(Status.CONNECT_FAILED)

    def unopened_exchanges(self) -> list[Exchange]:
        """Return the waiting exchanges for which no connection is being opened, in order."""
        return [exchange for exchange, opening in self.waiting_exchanges.items() if opening is None]
