"""Discovery at one address: its connections, and the order of its answers."""

from __future__ import annotations

import asyncio

from ...admission.budget import DISCOVERY_CONNECTIONS, DescriptorAllowance
from ...balancer.events import State
from ...system import System
from ..memory_budget import MB, MemoryBudget
from ..upstream.connection_pool import ConnectionPool
from ..upstream.limits import ConnectionLimits
from .codec import EndpointListError, EndpointUpdate
from .watch_schedule import CONNECT_TIMEOUT_S

MAX_CALL_MEMORY_BYTES = 192 * MB  # The calls have a memory budget of their own.
CONNECTION_IDLE_TIMEOUT_S = 30.0
DISCOVERY_NUMBER = 0  # The connection pool knows discovery as the endpoint with this number.


class ListSource:
    """Discovery at one address, and the state of its list.

    Args:
        loop: Event loop that runs the calls.
        address: Host and port of discovery.
        version: Index of the known list; None if a whole list must come first.
        system: Clocks and sockets.

    Attributes:
        host: Host and port as text, which names the source.
        answer_count: Number of answers that have been accepted.
        calls: Connections of the calls.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, address: tuple[str, int], version: int | None, system: System
    ) -> None:
        self.address = address
        self.host = f"{address[0]}:{address[1]}"
        self.version = version
        self.answer_count = 0
        # The calls have their own allowance: the limit on connections to endpoints must not block them.
        allowance, memory = DescriptorAllowance(DISCOVERY_CONNECTIONS), MemoryBudget(MAX_CALL_MEMORY_BYTES)
        limits = ConnectionLimits(allowance, memory, CONNECT_TIMEOUT_S, CONNECTION_IDLE_TIMEOUT_S)
        self.calls = ConnectionPool(loop, limits, system=system)
        self.calls.update(DISCOVERY_NUMBER, address, 0, State.READY)

    def check_order(self, update: EndpointUpdate, answer_count: int) -> EndpointUpdate:
        """Check the order of an answer, since the answers of parallel calls may arrive in any order.

        Args:
            update: Answer of a call.
            answer_count: Value of the attribute when the call was made.

        Returns:
            The update; an empty one if a newer answer to another call was accepted meanwhile.

        Raises:
            EndpointListError: The answer does not follow the known list.
        """
        if self.version is None:
            if not update.complete:
                raise EndpointListError(
                    field="snapshot", value=update.complete, expected="true: the whole list comes first"
                )
        elif update.version < self.version:
            if answer_count != self.answer_count:
                return EndpointUpdate(self.version, False, [])
            if not update.complete:
                known_version, self.version = self.version, None
                raise EndpointListError(
                    field="index", value=update.version, expected=f"{known_version} or more"
                )
        return update

    def accept(self, update: EndpointUpdate) -> None:
        """Record that this update is part of the list from now on."""
        self.version = update.version
        self.answer_count += 1
