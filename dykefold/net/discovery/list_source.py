"""Discovery at one address: its connections, and the ordering of its answers."""

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
DISCOVERY_NUMBER = 0  # Endpoint number of discovery in its connection pool.


class ListSource:
    """Discovery at one address, and the state of its list.

    Args:
        loop: Event loop that runs the calls.
        address: Host and port of discovery.
        version: Index of the known list; None if the next answer must be a complete list.
        system: Clocks and sockets.

    Attributes:
        host: Host and port as text; also the name of the source.
        answer_count: Number of accepted answers.
        calls: Connection pool of the calls.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, address: tuple[str, int], version: int | None, system: System
    ) -> None:
        self.address = address
        self.host = f"{address[0]}:{address[1]}"
        self.version = version
        self.answer_count = 0
        # The calls have their own allowance, so that the connection limit of endpoints does not block them.
        allowance, memory = DescriptorAllowance(DISCOVERY_CONNECTIONS), MemoryBudget(MAX_CALL_MEMORY_BYTES)
        limits = ConnectionLimits(
            allowance,
            memory,
            CONNECT_TIMEOUT_S,
            CONNECTION_IDLE_TIMEOUT_S,
            min_reuse_idle_s=0.0,  # A repeated answer has a known index, and changes nothing.
        )
        self.calls = ConnectionPool(loop, limits, system=system)
        self.calls.update(DISCOVERY_NUMBER, address, 0, State.READY)

    def check_order(self, update: EndpointUpdate, answer_count: int) -> EndpointUpdate:
        """Check that an answer follows the known list; parallel calls may be answered in any order.

        Args:
            update: Answer of a call.
            answer_count: Value of the attribute `answer_count` when the call was made.

        Returns:
            The update; an empty one if a newer answer was accepted meanwhile.

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
        """Record an update as part of the known list."""
        self.version = update.version
        self.answer_count += 1
