"""Limits of the connections of one pool."""

from __future__ import annotations

from dataclasses import dataclass

from ...admission.budget import DescriptorAllowance
from ..memory_budget import MemoryBudget


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Budgets and timeouts of a pool's connections.

    Attributes:
        allowance: Number of connections in use, and their maximum.
        memory: Budget of the bytes of buffered responses.
        connect_timeout_s: Connect timeout, in seconds.
        endpoint_idle_s: Idle time after which endpoints may close a connection, in seconds.
    """

    allowance: DescriptorAllowance
    memory: MemoryBudget
    connect_timeout_s: float
    endpoint_idle_s: float
