"""Which connection is evicted to make room for another one.

The order among those that may be evicted: those that are closing anyway, those that never sent a request,
those that stopped within a message, idle after one request, idle after several, and last the youngest with a
message begun of the address that has most of these. Within each, the address that has most comes first, and
its oldest connection. Connections of unknown addresses go before those of known ones.

A connection with input that was not read yet has come back: it is passed over, a bounded number of times.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from .client import Client
from .client_state import IDLE_STATES, ClientState
from .owner_queue import OwnerQueue

STALLED_MESSAGE_S = 0.5  # Without a byte of an incomplete message, the connection counts as stalled.
FIRST_REQUEST_GRACE_S = 0.02  # The first request of a new connection may be on its way.
MAX_NEW_FRACTION = 0.25  # Of all connections. Beyond it new connections count as a flood, not as a burst.
MAX_SKIPPED = 16  # Connections with unread input; each costs a system call.

HasUnreadInput = Callable[[Client], bool]  # whether input of a client was not read yet


def never_unread(_: Client) -> bool:
    """Return that no client has unread input."""
    return False


class ClientGroup:
    """Connections of known addresses, or of unknown ones.

    Attributes:
        count: Number of connections in the group.
        queues: Connections that are not busy, by state.
    """

    def __init__(self) -> None:
        self.count = 0
        self.queues: list[OwnerQueue[Client]] = [OwnerQueue() for _ in ClientState]


class EvictionOrder:
    """The connections that may be evicted, in their order.

    Attributes:
        groups: Connections, by whether their addresses are known.
    """

    def __init__(self) -> None:
        self.groups = {False: ClientGroup(), True: ClientGroup()}

    def choose(
        self, for_known: bool, max_connections: int, now_s: float, has_unread_input: HasUnreadInput
    ) -> Client | None:
        """Return the connection to evict; None if there is none.

        Args:
            for_known: Whether the new connection is from a known address. If not, no connection of a known
                address is evicted.
            max_connections: Maximum number of client connections.
            now_s: Current monotonic time in seconds.
            has_unread_input: Returns whether a client has sent input that was not read yet.
        """
        passed_over: set[Client] = set()
        for known in (False, True) if for_known else (False,):
            group = self.groups[known]
            while group.count and (client := _first(group, max_connections, now_s)) is not None:
                if client in passed_over:
                    break
                if not has_unread_input(client):
                    return client
                if len(passed_over) >= MAX_SKIPPED:
                    return None
                passed_over.add(client)
                self.move_to_end(client, now_s)
        return None

    def move_to_end(self, client: Client, now_s: float) -> None:
        """Have a connection with unread input go behind the others in its state."""
        state = client.state
        if state is not None and state is not ClientState.BUSY:
            queue = self.groups[client.known].queues[state]
            queue.discard(client)
            queue.add(client, now_s)

    def find_idle(self, now_s: float, min_idle_s: float) -> Client | None:
        """Return a connection that has been idle for that many seconds; None if there is none."""
        for state in IDLE_STATES:
            for group in self.groups.values():
                queue = group.queues[state]
                client = queue.oldest()
                if client is not None and now_s - queue.added_at_s[client] >= min_idle_s:
                    return client
        return None

    def all_idle_since(self, time_s: float) -> Iterator[Client]:
        """Iterate over all that have been idle since that time; none may change its state meanwhile."""
        for group in self.groups.values():
            for state in IDLE_STATES:
                yield from group.queues[state].added_until(time_s)


def _first(group: ClientGroup, max_connections: int, now_s: float) -> Client | None:
    closing, new, idle_once, idle_reused, reading, _ = group.queues
    if closing:
        return closing.oldest()
    if new:
        client = new.oldest_of_largest_owner()
        assert client is not None
        is_flood = len(new) > MAX_NEW_FRACTION * max_connections
        overdue = now_s - new.added_at_s[client] >= FIRST_REQUEST_GRACE_S
        if is_flood or overdue or not (idle_once or idle_reused):
            return client
    stopped = reading.oldest()
    if stopped is not None and reading.added_at_s[stopped] <= now_s - STALLED_MESSAGE_S:
        return stopped
    for queue in (idle_once, idle_reused):
        if queue:
            return queue.oldest_of_largest_owner()
    if reading:
        return reading.youngest_of_largest_owner()
    return new.oldest_of_largest_owner()
