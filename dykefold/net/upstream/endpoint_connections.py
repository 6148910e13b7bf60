"""The record of one endpoint: its address and its connections that carry no exchange."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from ...balancer.events import Status

if TYPE_CHECKING:
    from .connection import UpstreamConnection
    from .exchange import Exchange
    from .idle_timeouts import IdleAgeStats


class Upstream:
    """An endpoint as an address with its connections.

    Attributes:
        address: host and port.
        ages: statistics of the ages at which its idle connections were still good.
        since_ms: start time of the endpoint as discovery lists it, Unix time in milliseconds.
        generation: grows with each restart or move; connections of an earlier generation are not kept.
        takes_new: whether exchanges may be begun at it; false once it drains or is gone.
        idle: its idle connections, the most recently used one last.
        opening: exchanges that wait for a connection, in order, each with the one that is made for it.
    """

    def __init__(self, address: tuple[str, int], since_ms: int, ages: IdleAgeStats) -> None:
        self.address = address
        self.ages = ages
        self.since_ms = since_ms
        self.generation = 0
        self.takes_new = True
        self.idle: OrderedDict[UpstreamConnection, None] = OrderedDict()
        self.opening: dict[Exchange, UpstreamConnection] = {}

    def fail_waiting(self) -> None:
        """End the exchanges that wait for a connection, as never run."""
        for exchange in list(self.opening):
            exchange.give_up(Status.CONNECT_FAILED)
