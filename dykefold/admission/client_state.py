"""Admission states of a client connection, and the transitions between them."""

from __future__ import annotations

from enum import IntEnum


class ClientState(IntEnum):
    """Admission state of a client connection. The numbers index the queues of `ClientGroup`.

    Attributes:
        CLOSING: The connection was answered with an error and waits for the client to close.
        NEW: No complete request has been received.
        IDLE_ONCE: The connection is idle after its first request.
        IDLE_REUSED: The connection is idle after more than one request.
        READING: A message is incomplete.
        BUSY: A request is pending, or a response is being written. Such a connection is never evicted.
    """

    CLOSING = 0
    NEW = 1
    IDLE_ONCE = 2
    IDLE_REUSED = 3
    READING = 4
    BUSY = 5


IDLE_STATES = (ClientState.IDLE_ONCE, ClientState.IDLE_REUSED)
# In these states, each read from the client sets the start time of the state to the present.
RENEWED_STATES = (*IDLE_STATES, ClientState.READING)

# States that may follow each state. A connection may also close in any of them.
TRANSITIONS: dict[ClientState, frozenset[ClientState]] = {
    ClientState.NEW: frozenset(
        (
            ClientState.READING,
            ClientState.BUSY,
            ClientState.IDLE_ONCE,  # a readiness check is answered while it is read
            ClientState.IDLE_REUSED,  # several readiness checks may arrive in one read
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
