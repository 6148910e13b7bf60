"""What bounds the connections of one pool."""

from __future__ import annotations

from dataclasses import dataclass

from ...admission.budget import DescriptorAllowance
from ..memory_budget import MemoryBudget


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """The budgets and timeouts of a pool's connections.

    Attributes:
        allowance: Number of connections in use, and their maximum.
        memory: Budget of the bytes of buffered responses.
        connect_timeout_s: Seconds until a connect is given up.
        endpoint_idle_s: Seconds after which endpoints may close an idle connection.
    """

    allowance: DescriptorAllowance
    memory: MemoryBudget
    connect_timeout_s: float
    endpoint_idle_s: float
