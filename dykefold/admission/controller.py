"""Admission rules: which client connections are admitted, kept and closed.

Does no I/O: times are passed in, and connections to close are returned. The rules:

1. A connection with an open request, or with a response being written, is never evicted.
2. Client connections never exceed their limit: one admitted beyond it replaces an evicted one.
3. Unknown addresses never use the reserve; known ones use it first, then evict unknown ones.
4. The order of evictions is that of `eviction`.
5. The cost of a step does not grow with the number of open connections.

Idle connections beyond the working set (`working_set`, `request_gaps`) are closed before a limit is reached.
"""

from __future__ import annotations

from .addresses import AddressLimits, AddressTable
from .client import Client
from .client_state import IDLE_STATES, RENEWED_STATES, ClientState
from .decision import AdmissionDecision, RejectionReason
from .eviction import EvictionOrder, HasUnreadInput, no_unread_input
from .limits import ConnectionLimits
from .message_timeouts import MessageTimeouts
from .request_gaps import RequestGaps
from .working_set import WorkingSet

MAX_IDLE_S = 2.0  # Of a connection without a pending request.
MAX_CLOSED_PER_EVENT = 4  # Idle connections: more than arrive per event, at a bounded cost.


class AdmissionController:
    """Decides on client connections and requests.

    Args:
        limits: Limits on all client connections together.
        address_limits: Limits of each address.

    Attributes:
        limits: Limits on all client connections together.
        addresses: Usage of the limits, by address.
        eviction: Connections that may be evicted, in eviction order.
        message_timeouts: Timeouts of incomplete messages.
        working_set: Estimate of the number of connections that clients can use.
        request_gaps: Estimate of the time for which clients leave a connection idle between requests.
    """

    def __init__(self, limits: ConnectionLimits, address_limits: AddressLimits) -> None:
        self.limits = limits
        self.addresses = AddressTable(address_limits)
        self.eviction = EvictionOrder()
        self._groups = self.eviction.groups  # a direct reference, since each request looks it up
        self.message_timeouts = MessageTimeouts()
        self.working_set = WorkingSet(limits.with_requests)
        self.request_gaps = RequestGaps()

    @property
    def address_limits(self) -> AddressLimits:
        """Limits of each address."""
        return self.addresses.limits

    @property
    def count(self) -> int:
        """Number of open connections."""
        return self._groups[False].count + self._groups[True].count

    def resize(
        self,
        limits: ConnectionLimits,
        address_limits: AddressLimits,
        now_s: float,
        has_unread_input: HasUnreadInput = no_unread_input,
    ) -> list[Client]:
        """Apply new limits.

        Args:
            limits: Limits on all client connections together.
            address_limits: Limits of each address.
            now_s: Current monotonic time in seconds.
            has_unread_input: Returns whether a client has sent input that was not read yet.

        Returns:
            The connections that must be closed: those beyond the limits that may be evicted.
        """
        self.limits = limits
        self.working_set.resize(limits.with_requests)
        self.addresses.apply(address_limits)
        evicted = []
        while self.count > limits.connections and (client := self.evict(now_s, has_unread_input)):
            evicted.append(client)
        return evicted

    # Connections

    def connect(
        self, host: str, now_s: float, has_unread_input: HasUnreadInput = no_unread_input
    ) -> AdmissionDecision:
        """Decide on a new connection.

        Args:
            host: The client's address as text.
            now_s: Current monotonic time in seconds.
            has_unread_input: Returns whether a client has sent input that was not read yet.

        Raises:
            ValueError: `host` is not an IPv4 or IPv6 address.
        """
        address = self.addresses.find(host, now_s)
        limits, known = self.addresses.limits, address.known
        max_per_address = limits.known_connections if known else limits.connections
        if max_per_address is not None and address.connections >= max_per_address:
            self.addresses.record_violation(address, now_s)
            return AdmissionDecision(None, RejectionReason.CONNECTIONS_OF_ADDRESS, None)
        if not self.addresses.consume_token(address, now_s):
            self.addresses.record_violation(address, now_s)
            self.addresses.deactivate_unused(address)  # or its usage of the limit would be forgotten
            return AdmissionDecision(None, RejectionReason.NEW_CONNECTIONS_OF_ADDRESS, None)
        evicted = None
        if self._is_full(known):
            evicted = self.eviction.choose(known, self.limits.connections, now_s, has_unread_input)
            # After the limit was lowered, one eviction is not enough.
            was_over_limit = self.count > self.limits.connections
            if evicted is not None:
                self.remove(evicted)
            if evicted is None or was_over_limit:
                self.addresses.deactivate_unused(address)
                return AdmissionDecision(None, RejectionReason.ALL_CONNECTIONS, evicted)
        client = Client(address, host)
        self.addresses.add_connection(address)
        self._groups[client.known].count += 1
        self._enter(client, ClientState.NEW, now_s)
        self.message_timeouts.head_timeouts[client] = now_s
        return AdmissionDecision(client, None, evicted)

    def _is_full(self, known: bool) -> bool:
        """Return whether a connection must be evicted to admit one of a known or unknown address."""
        max_connections = self.limits.connections
        if self.count >= max_connections:
            return True
        # However large the reserve, a connection from an unknown address is admitted if there is no other.
        reserve = min(self.addresses.limits.reserve, max_connections - 1)
        return not known and self._groups[False].count >= max_connections - reserve

    def remove(self, client: Client) -> None:
        """Remove a connection that is closed or must be closed; do nothing if it was removed before."""
        if client.state is None:
            return
        self._exit(client)
        client.state = None
        self.message_timeouts.stop(client)
        if client.messages:
            self.working_set.with_requests -= 1
        self._groups[client.known].count -= 1
        client.address.connections -= 1
        self.addresses.deactivate_unused(client.address)

    def update(
        self, client: Client, state: ClientState, message_begun: bool, messages: int, now_s: float
    ) -> None:
        """Update the state of a connection.

        Args:
            client: Record of the connection.
            state: New state of the connection; `IDLE_ONCE` means either idle state.
            message_begun: Whether a message is incomplete.
            messages: Number of complete messages received.
            now_s: Current monotonic time in seconds.
        """
        if client.state is None:
            return
        is_new_message = messages > client.messages
        if is_new_message:
            if not client.messages:
                self.working_set.with_requests += 1
            elif client.state in IDLE_STATES:
                self.request_gaps.record(now_s - client.idle_since_s)
            client.messages = messages
        if is_new_message or (not message_begun and (messages or state is ClientState.CLOSING)):
            self.message_timeouts.stop(client)
        if message_begun:
            self.message_timeouts.start(client, now_s)
        if state is ClientState.IDLE_ONCE and client.messages > 1:
            state = ClientState.IDLE_REUSED
        if state is client.state and state not in RENEWED_STATES:
            return
        self._exit(client)
        self._enter(client, state, now_s)

    def begin_next_request(self, client: Client, messages: int, now_s: float) -> None:
        """Do what `update` does in the common case: a complete request on an `IDLE_REUSED` connection.

        Args:
            client: Record of the connection.
            messages: Number of complete messages received.
            now_s: Current monotonic time in seconds.
        """
        if messages > client.messages:
            self.request_gaps.record(now_s - client.idle_since_s)
            client.messages = messages
        self._groups[client.known].queues[ClientState.IDLE_REUSED].discard(client)
        client.state = ClientState.BUSY
        self.working_set.add_busy(now_s)

    def _enter(self, client: Client, state: ClientState, now_s: float) -> None:
        client.state = state
        if state is ClientState.BUSY:
            self.working_set.add_busy(now_s)
            return
        client.idle_since_s = now_s
        self._groups[client.known].queues[state].add(client, now_s)

    def _exit(self, client: Client) -> None:
        if client.state is ClientState.BUSY:
            self.working_set.busy -= 1
        elif client.state is not None:
            self._groups[client.known].queues[client.state].discard(client)

    # Connections to close

    def evict(self, now_s: float, has_unread_input: HasUnreadInput = no_unread_input) -> Client | None:
        """Remove the first connection in eviction order, of known and unknown addresses.

        Args:
            now_s: Current monotonic time in seconds.
            has_unread_input: Returns whether a client has sent input that was not read yet.

        Returns:
            The connection, which must be closed; None if none may be evicted.
        """
        client = self.eviction.choose(True, self.limits.connections, now_s, has_unread_input)
        if client is not None:
            self.remove(client)
        return client

    def remove_unneeded(
        self, now_s: float, has_unread_input: HasUnreadInput = no_unread_input
    ) -> list[Client]:
        """Remove idle connections that seem abandoned, while there are more than the working set.

        Args:
            now_s: Current monotonic time in seconds.
            has_unread_input: Returns whether a client has sent input that was not read yet.

        Returns:
            The connections, which must be closed.
        """
        removed: list[Client] = []
        for _ in range(MAX_CLOSED_PER_EVENT):
            if self.working_set.with_requests <= self.working_set.limit:
                break
            if (client := self.eviction.find_idle(now_s, self.request_gaps.timeout_s())) is None:
                break
            if has_unread_input(client):
                self.eviction.move_to_end(client, now_s)
                continue
            self.remove(client)
            removed.append(client)
        return removed

    def find_idle_expired(self, now_s: float) -> list[Client]:
        """Return the connections that have been idle for at least `MAX_IDLE_S`."""
        return list(self.eviction.all_idle_since(now_s - MAX_IDLE_S))

    # Requests and messages

    def open_request(self, client: Client, now_s: float) -> RejectionReason | None:
        """Count a request as open; return the limit that rejects it, if any."""
        address = client.address
        max_open = self.addresses.limits.open_requests
        if max_open is not None and address.open_requests >= max_open:
            self.addresses.record_violation(address, now_s)
            return RejectionReason.OPEN_REQUESTS_OF_ADDRESS
        address.open_requests += 1
        return None

    def close_request(self, client: Client, served: bool, now_s: float) -> None:
        """Count a request as no longer open.

        Args:
            client: Client that sent the request.
            served: Whether an endpoint answered the request.
            now_s: Current monotonic time in seconds.
        """
        address = client.address
        address.open_requests -= 1
        if served:
            self.addresses.record_success(address, now_s)
        self.addresses.deactivate_unused(address)

    def reserve_unfinished(self, client: Client, size: int, now_s: float) -> bool:
        """Reserve bytes for an incomplete message; return False, and reserve none, beyond the limit."""
        address = client.address
        max_bytes = self.addresses.limits.unfinished_bytes
        if max_bytes is not None and address.unfinished_bytes + size > max_bytes:
            self.addresses.record_violation(address, now_s)
            return False
        address.unfinished_bytes += size
        return True

    def release_unfinished(self, client: Client, size: int) -> None:
        """Release reserved bytes of an incomplete message."""
        client.address.unfinished_bytes -= size
