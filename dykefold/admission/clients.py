"""All connections of clients: carries out what the admission rules decide on them."""

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
    """Every open connection of a client.

    Args:
        system: Source of the clock.

    Attributes:
        admission: Controller that decides on connections and requests.
        monotonic: Returns the monotonic time in seconds.
        all: Open connections, by client record.
        rejections: Log of rejections.
    """

    def __init__(self, admission: AdmissionController, system: System = SYSTEM) -> None:
        self.admission = admission
        self.monotonic = system.monotonic
        self.all: dict[Client, ManagedConnection] = {}
        self.rejections = RejectionLog(system.monotonic)

    def admit(self, host: str) -> AdmissionDecision:
        """Decide on a new connection from an address, and close the one that is evicted for it.

        Raises:
            ValueError: `host` is no IPv4 or IPv6 address.
        """
        decision = self.admission.connect(host, self.monotonic(), self._has_unread_input)
        if decision.evicted is not None:
            self._close(decision.evicted)
        if decision.rejection is not None:
            self.rejections.add(decision.rejection, host)
        return decision

    def add(self, connection: ManagedConnection) -> None:
        """Add the connection of a client that was admitted."""
        self.all[connection.client] = connection
        self._close_all(self.admission.remove_unneeded(self.monotonic(), self._has_unread_input))

    def remove(self, client: Client) -> None:
        """Remove a connection that has closed."""
        self.admission.remove(client)
        self.all.pop(client, None)

    def update(self, connection: ManagedConnection) -> None:
        """Take the state of a connection, after it was read and after a response."""
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
        """Count bytes of a body that has not come to its end."""
        self.admission.message_timeouts.record_body(client, size, self.monotonic())

    def open_request(self, client: Client) -> bool:
        """Count a request as open; return False if its address has too many."""
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
        """Count bytes of an unfinished message; return False if its address has too many."""
        reserved = self.admission.reserve_unfinished(client, size, self.monotonic())
        if not reserved:
            self.rejections.add(RejectionReason.UNFINISHED_BYTES_OF_ADDRESS, client.host)
        return reserved

    def release_unfinished(self, client: Client, size: int) -> None:
        """Count bytes of a message no longer as unfinished."""
        self.admission.release_unfinished(client, size)

    def resize(self, limits: ConnectionLimits, address_limits: AddressLimits) -> None:
        """Take other limits, and close the connections beyond them that may be evicted.

        Args:
            limits: Limits on all client connections together.
            address_limits: Limits of each address.
        """
        self._close_all(
            self.admission.resize(limits, address_limits, self.monotonic(), self._has_unread_input)
        )

    def evict(self) -> bool:
        """Close one connection since the system has no descriptor left; return whether one could be."""
        client = self.admission.evict(self.monotonic(), self._has_unread_input)
        if client is not None:
            self._close(client)
        return client is not None

    def sweep(self) -> None:
        """Close connections that never end a message, or that have been idle for too long."""
        now_s = self.monotonic()
        for client in self.admission.message_timeouts.take_late(now_s):
            connection = self.all.get(client)
            if connection is None:
                continue
            if connection.paused:  # the message may have come whole long ago
                self.admission.message_timeouts.restart(client, now_s)
            else:
                self.admission.addresses.record_violation(client.address, now_s)
                connection.expire()
        for client in self.admission.idle_too_long(now_s):
            connection = self.all.get(client)
            if connection is not None:
                connection.close_when_idle()
        self._close_all(self.admission.remove_unneeded(now_s, self._has_unread_input))

    def _has_unread_input(self, client: Client) -> bool:
        """Return whether input of a client was not read yet.

        A close would reset it, and a client whose request was reset unread sends it again.
        """
        connection = self.all.get(client)
        return connection is not None and connection.has_unread_input()

    def _close_all(self, clients: Iterable[Client]) -> None:
        for client in clients:
            self._close(client)

    def _close(self, client: Client) -> None:
        connection = self.all.get(client)
        if connection is not None:
            connection.evict()
