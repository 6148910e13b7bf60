"""All client connections: carries out the decisions of the admission rules on them."""

from __future__ import annotations

from collections.abc import Iterable

from ..system import SYSTEM, System
from .addresses import AddressLimits
from .client import Client
from .client_state import ClientState
from .connection import ManagedConnection
from .controller import AdmissionController
from .decision import AdmissionDecision, RejectionReason
from .limits import ConnectionLimits
from .rejection_log import RejectionLog


class ClientConnections:
    """All open client connections.

    Args:
        admission: Controller that decides on connections and requests.
        system: Source of the clock.

    Attributes:
        admission: Controller that decides on connections and requests.
        monotonic: Returns the monotonic time in seconds.
        open_connections: Open connections, by client record.
        rejections: Log of rejections.
    """

    def __init__(self, admission: AdmissionController, system: System = SYSTEM) -> None:
        self.admission = admission
        self.monotonic = system.monotonic
        self.open_connections: dict[Client, ManagedConnection] = {}
        self.rejections = RejectionLog(system.monotonic)

    def admit(self, host: str) -> AdmissionDecision:
        """Decide on a new connection from an address, and close the connection evicted for it.

        Raises:
            ValueError: `host` is not an IPv4 or IPv6 address.
        """
        decision = self.admission.connect(host, self.monotonic(), self._has_unread_input)
        if decision.evicted is not None:
            self._close(decision.evicted)
        if decision.rejection is not None:
            self.rejections.add(decision.rejection, host)
        return decision

    def add(self, connection: ManagedConnection) -> None:
        """Add the connection of an admitted client."""
        self.open_connections[connection.client] = connection
        self._close_all(self.admission.remove_unneeded(self.monotonic(), self._has_unread_input))

    def remove(self, client: Client) -> None:
        """Remove a closed connection."""
        self.admission.remove(client)
        self.open_connections.pop(client, None)

    def update(self, connection: ManagedConnection) -> None:
        """Update the admission state of a connection, after a read or a response."""
        now_s = self.monotonic()
        client = connection.client
        if connection.busy:
            if client.state is ClientState.IDLE_REUSED and not connection.message_unfinished:
                self.admission.begin_next_request(client, connection.messages, now_s)
                return
            state = ClientState.BUSY
        elif connection.discarding_input:
            state = ClientState.CLOSING
        elif connection.message_unfinished:
            state = ClientState.READING
        else:
            state = ClientState.IDLE_ONCE if connection.messages else ClientState.NEW
        self.admission.update(client, state, connection.message_unfinished, connection.messages, now_s)
        working_set = self.admission.working_set
        if state is ClientState.IDLE_ONCE and working_set.with_requests > working_set.limit:
            self._close_all(self.admission.remove_unneeded(now_s, self._has_unread_input))

    def record_body(self, client: Client, size: int) -> None:
        """Count received bytes of an incomplete body."""
        self.admission.message_timeouts.record_body(client, size, self.monotonic())

    def open_request(self, client: Client) -> bool:
        """Count a request as open; return False if its address has too many open requests."""
        reason = self.admission.open_request(client, self.monotonic())
        if reason is not None:
            self.rejections.add(reason, client.host)
        return reason is None

    def close_request(self, client: Client, served: bool) -> None:
        """Count a request as no longer open.

        Args:
            client: Client that sent the request.
            served: Whether an endpoint answered the request.
        """
        self.admission.close_request(client, served, self.monotonic())

    def reserve_unfinished(self, client: Client, size: int) -> bool:
        """Reserve bytes for an incomplete message; return False if its address has too many."""
        reserved = self.admission.reserve_unfinished(client, size, self.monotonic())
        if not reserved:
            self.rejections.add(RejectionReason.UNFINISHED_BYTES_OF_ADDRESS, client.host)
        return reserved

    def release_unfinished(self, client: Client, size: int) -> None:
        """Release reserved bytes of an incomplete message."""
        self.admission.release_unfinished(client, size)

    def resize(self, limits: ConnectionLimits, address_limits: AddressLimits) -> None:
        """Apply new limits, and close the connections beyond them that may be evicted.

        Args:
            limits: Limits on all client connections together.
            address_limits: Limits of each address.
        """
        self._close_all(
            self.admission.resize(limits, address_limits, self.monotonic(), self._has_unread_input)
        )

    def evict(self) -> bool:
        """Close one connection since no descriptor is left; return False if none may be evicted."""
        client = self.admission.evict(self.monotonic(), self._has_unread_input)
        if client is not None:
            self._close(client)
        return client is not None

    def sweep(self) -> None:
        """Close connections with an overdue message, and those that have been idle for too long."""
        now_s = self.monotonic()
        for client in self.admission.message_timeouts.pop_overdue(now_s):
            connection = self.open_connections.get(client)
            if connection is None:
                continue
            if connection.paused:  # the rest of the message may have arrived without being read
                self.admission.message_timeouts.restart(client, now_s)
            else:
                self.admission.addresses.record_violation(client.address, now_s)
                connection.expire()
        for client in self.admission.find_idle_expired(now_s):
            connection = self.open_connections.get(client)
            if connection is not None:
                connection.close_when_idle()
        self._close_all(self.admission.remove_unneeded(now_s, self._has_unread_input))

    def _has_unread_input(self, client: Client) -> bool:
        """Return whether a client has sent input that was not read yet.

        Closing would reset the connection, and a client whose request was reset unread retries it.
        """
        connection = self.open_connections.get(client)
        return connection is not None and connection.has_unread_input()

    def _close_all(self, clients: Iterable[Client]) -> None:
        for client in clients:
            self._close(client)

    def _close(self, client: Client) -> None:
        connection = self.open_connections.get(client)
        if connection is not None:
            connection.evict()
