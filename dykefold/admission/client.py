"""Admission record of one client connection."""

from __future__ import annotations

from .address_keys import AddressKey
from .addresses import AddressRecord
from .client_state import ClientState


class Client:
    """Admission record of one client connection.

    Args:
        address: Record of the client's address.
        host: The client's address as text.

    Attributes:
        address: Record of the client's address.
        host: The client's address as text.
        owner: Key of the client's address; `OwnerQueue` counts connections by it.
        known: Whether the address was known when the connection was admitted. It never changes, since it
            selects the queues of the connection.
        state: State of the connection; None before it is admitted and after it has been removed.
        messages: Number of complete messages received.
        idle_since_s: Monotonic time in seconds at which the connection entered its state or renewed it.
        body_started_at_s: Monotonic time in seconds of the first byte of an incomplete body; 0 if there is
            none.
        body_bytes: Number of bytes received of the incomplete body.
        body_received_at_s: Monotonic time in seconds of the latest of these bytes.
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
        """Create the record of a connection that has sent nothing."""
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
