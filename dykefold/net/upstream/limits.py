"""Limits of the connections of one pool."""

from __future__ import annotations

from dataclasses import dataclass

from ...admission.budget import DescriptorAllowance
from ..memory_budget import MemoryBudget

# An endpoint may send a response twice, the second one some milliseconds late. Nothing in HTTP/1.1 tells it
# from the response to a request that was written on the connection meanwhile.
MIN_REUSE_IDLE_S = 0.025


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Budgets and timeouts of a pool's connections.

    Attributes:
        allowance: Number of connections in use, and their maximum.
        memory: Budget of the bytes of buffered responses.
        connect_timeout_s: Connect timeout, in seconds.
        endpoint_idle_s: Idle time after which endpoints may close a connection, in seconds.
        min_reuse_idle_s: Idle time after a response before a connection carries another request, in seconds.
    """

    allowance: DescriptorAllowance
    memory: MemoryBudget
    connect_timeout_s: float
    endpoint_idle_s: float
    min_reuse_idle_s: float = MIN_REUSE_IDLE_S
