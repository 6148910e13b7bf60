"""The record of one client's connection, as the admission rules see it."""

from __future__ import annotations

from .address_keys import AddressKey
from .addresses import AddressRecord
from .client_state import ClientState


class Client:
    """One connection of a client.

    Attributes:
        address: Record of the client's address.
        host: The client's address as text.
        owner: Key of the client's address, by which queues count the connection.
        known: Whether the address was known when the connection was admitted. It never changes, since the
            queues are
            found by it.
        state: None before it is admitted and after it has been removed.
        messages: Number of complete messages received.
        idle_since_s: Monotonic time in seconds at which the connection entered its state.
        body_started_at_s: Monotonic time in seconds of the first byte of an incomplete body; 0 if there is
            none.
        body_bytes: Number of body bytes received since then.
        body_received_at_s: Monotonic time in seconds of the latest of them.
    """

    __slots__ = (
        "address",
        "body_bytes",
        "body_received_at_s",
        "body_started_at_s",
        "host",
        "idle_since_s",
        "known",
        "messages",
        "owner",
        "state",
    )

    def __init__(self, address: AddressRecord, host: str) -> None:
        """Begin a connection that has sent nothing."""
        self.address = address
        self.host = host
        self.owner: AddressKey = address.key
        self.known = address.known
        self.state: ClientState | None = None
        self.messages = 0
        self.idle_since_s = 0.0
        self.body_started_at_s = 0.0
        self.body_bytes = 0
        self.body_received_at_s = 0.0
