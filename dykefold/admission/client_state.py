"""The states of a client's connection, as admission sees them, and the changes between them."""

from __future__ import annotations

from enum import IntEnum


class ClientState(IntEnum):
    """What a connection does. The numbers index the queues of `ClientGroup`.

    Attributes:
        CLOSING: it was answered with an error, and only its end is awaited.
        NEW: it has not sent a whole request yet.
        IDLE_ONCE: it is idle after its first request.
        IDLE_REUSED: it is idle after more than one request.
        READING: a message has begun and not ended.
        BUSY: a request is pending, or a response is on its way to the client. Never evicted.
    """

    CLOSING = 0
    NEW = 1
    IDLE_ONCE = 2
    IDLE_REUSED = 3
    READING = 4
    BUSY = 5


IDLE_STATES = (ClientState.IDLE_ONCE, ClientState.IDLE_REUSED)
# States whose time counts from the latest bytes that were received in them.
RENEWED_STATES = (*IDLE_STATES, ClientState.READING)

# The states that may follow each one. A connection may also close in any of them.
TRANSITIONS: dict[ClientState, frozenset[ClientState]] = {
    ClientState.NEW: frozenset(
        (
            ClientState.READING,
            ClientState.BUSY,
            ClientState.IDLE_ONCE,  # a readiness check is answered as it is read
            ClientState.IDLE_REUSED,  # ... and several may come at once
            ClientState.CLOSING,
        )
    ),
    ClientState.READING: frozenset(
        (ClientState.BUSY, ClientState.IDLE_ONCE, ClientState.IDLE_REUSED, ClientState.CLOSING)
    ),
    ClientState.BUSY: frozenset(
        (ClientState.IDLE_ONCE, ClientState.IDLE_REUSED, ClientState.READING, ClientState.CLOSING)
    ),
    ClientState.IDLE_ONCE: frozenset(
        (ClientState.READING, ClientState.BUSY, ClientState.IDLE_REUSED, ClientState.CLOSING)
    ),
    ClientState.IDLE_REUSED: frozenset((ClientState.READING, ClientState.BUSY, ClientState.CLOSING)),
    ClientState.CLOSING: frozenset(),
}
