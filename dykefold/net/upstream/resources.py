"""Collaborators that the connections of one pool share."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from typing import Generic, TypeVar

from ..memory_budget import MemoryBudget
from ..read_scheduler import ReadScheduler
from .idle_timeouts import ScarcityLimit
from .protocols import ConnectionOwner

ConnectionT = TypeVar("ConnectionT")


@dataclass(frozen=True, slots=True)
class ConnectionResources(Generic[ConnectionT]):
    """Collaborators that all connections of a pool share.

    Attributes:
        owner: Pool that counts the connections and reuses them.
        loop: Event loop of the connections.
        monotonic: Clock, in seconds.
        memory: Budget of the bytes of buffered responses.
        read_scheduler: Scheduler that parses long responses in slices.
        scarcity: Idle timeout that is reduced while endpoints reject new connections.
    """

    owner: ConnectionOwner[ConnectionT]
    loop: asyncio.AbstractEventLoop
    monotonic: Callable[[], float]
    memory: MemoryBudget
    read_scheduler: ReadScheduler
    scarcity: ScarcityLimit
