"""The record of one client's connection, as the admission rules see it."""

from __future__ import annotations

from .address_keys import AddressKey
from .addresses import AddressRecord
from .client_state import ClientState


class Client:
    """One connection of a client.

    Attributes:
        address: the record of its address.
        host: its address as text.
        owner: the key of its address, by which queues count it.
        known: whether its address was known when it was admitted. It stays as it was, since the queues are
            found by it.
        state: None before it is admitted and after it has been removed.
        messages: whole messages that were received.
        idle_since_s: when it entered its state, in seconds of the monotonic clock.
        body_started_at_s: when bytes of an unfinished body were first received; 0 if none were.
        body_bytes: how many have been received since then.
        body_received_at_s: when the latest of them were.
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
