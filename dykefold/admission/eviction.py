"""Order in which connections are evicted to make room for others.

Connections are evicted in this order: closing ones, those that never sent a request, those stalled within a
message, those idle after one request, those idle after several, and last the youngest one with an incomplete
message, of the address with the most of these. Within each group, the oldest connection of the address with
the most connections is first. Connections of unknown addresses are evicted before those of known ones.

A connection with unread input is in use again: it is skipped, and the number of skips is bounded.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from .client import Client
from .client_state import IDLE_STATES, ClientState
from .owner_queue import OwnerQueue

STALLED_MESSAGE_S = 0.5  # Time without a byte of an incomplete message after which a connection is stalled.
FIRST_REQUEST_GRACE_S = 0.02  # The first request of a new connection may be in transit.
MAX_NEW_FRACTION = 0.25  # Of all connections; above it new connections count as a flood, not a burst.
MAX_SKIPPED = 16  # Skipped connections with unread input; each check costs a system call.

HasUnreadInput = Callable[[Client], bool]  # whether a client has sent input that was not read yet


def no_unread_input(_: Client) -> bool:
    """Return that no client has unread input."""
    return False


class ClientGroup:
    """Connections of all known addresses, or of all unknown ones.

    Attributes:
        count: Number of connections in the group.
        queues: Connections that are not busy, by state.
    """

    def __init__(self) -> None:
        self.count = 0
        self.queues: list[OwnerQueue[Client]] = [OwnerQueue() for _ in ClientState]


class EvictionOrder:
    """Connections that may be evicted, in eviction order.

    Attributes:
        groups: Connection groups, by whether their addresses are known.
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
        skipped: set[Client] = set()
        for known in (False, True) if for_known else (False,):
            group = self.groups[known]
            while group.count and (client := _choose_in_group(group, max_connections, now_s)) is not None:
                if client in skipped:
                    break
                if not has_unread_input(client):
                    return client
                if len(skipped) >= MAX_SKIPPED:
                    return None
                skipped.add(client)
                self.move_to_end(client, now_s)
        return None

    def move_to_end(self, client: Client, now_s: float) -> None:
        """Move a connection with unread input behind the others in its state."""
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
        """Iterate over connections idle since that time; no state may change during the iteration."""
        for group in self.groups.values():
            for state in IDLE_STATES:
                yield from group.queues[state].added_until(time_s)


def _choose_in_group(group: ClientGroup, max_connections: int, now_s: float) -> Client | None:
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
    stalled = reading.oldest()
    if stalled is not None and reading.added_at_s[stalled] <= now_s - STALLED_MESSAGE_S:
        return stalled
    for queue in (idle_once, idle_reused):
        if queue:
            return queue.oldest_of_largest_owner()
    if reading:
        return reading.youngest_of_largest_owner()
    return new.oldest_of_largest_owner()
