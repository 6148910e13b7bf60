"""The record of one endpoint: its address and its connections that carry no exchange."""

from __future__ import annotations

from collections import OrderedDict
from typing import Generic, TypeVar

from ...balancer.events import Status
from .exchange import Exchange
from .idle_timeouts import IdleAgeStats

ConnectionT = TypeVar("ConnectionT")


class Upstream(Generic[ConnectionT]):
    """An endpoint as an address with its connections, which it stores and does not use.

    Args:
        address: Host and port.
        since_ms: Start time of the endpoint as discovery lists it, Unix time in milliseconds.
        ages: Statistics of the ages at which idle connections to the endpoint were still usable.

    Attributes:
        generation: Number of restarts and moves so far; connections of an earlier generation are not reused.
        takes_new: Whether the endpoint accepts new exchanges; false once it drains or is gone.
        idle: Idle connections, the most recently used one last.
        opening: Exchanges that wait for a connection, in order, each with the one that is made for it.
    """

    def __init__(self, address: tuple[str, int], since_ms: int, ages: IdleAgeStats) -> None:
        self.address = address
        self.ages = ages
        self.since_ms = since_ms
        self.generation = 0
        self.takes_new = True
        self.idle: OrderedDict[ConnectionT, None] = OrderedDict()
        self.opening: dict[Exchange, ConnectionT] = {}

    def fail_waiting(self) -> None:
        """End the exchanges that wait for a connection, as never run."""
        for exchange in list(self.opening):
            exchange.give_up(Status.CONNECT_FAILED)
