"""Lifecycle of a client connection, as a table of states and permitted transitions."""

from __future__ import annotations

from enum import Enum


class Lifecycle(Enum):
    """State of a connection, from accept to close."""

    ACCEPTED = "the socket was accepted, the transport does not exist yet"
    OPEN = "the transport exists"
    LINGERING = "the sending side is closed; input is discarded until the client closes"
    CLOSING = "the transport is aborted, or closes once buffered data has been sent"
    CLOSED = "the connection is lost"


ACCEPTED, OPEN, LINGERING, CLOSING, CLOSED = Lifecycle
TRANSITIONS: dict[Lifecycle, frozenset[Lifecycle]] = {
    ACCEPTED: frozenset((OPEN, CLOSING, CLOSED)),  # It may be closed before its transport exists.
    OPEN: frozenset((LINGERING, CLOSING, CLOSED)),
    LINGERING: frozenset((CLOSING, CLOSED)),
    CLOSING: frozenset((CLOSED,)),
    CLOSED: frozenset(),
}
CLOSING_OR_CLOSED = (CLOSING, CLOSED)


class ConnectionLifecycle:
    """State machine of one connection.

    Attributes:
        state: Current state; only `enter` changes it.
    """

    __slots__ = ("state",)

    def __init__(self) -> None:
        self.state = ACCEPTED

    def enter(self, state: Lifecycle) -> None:
        """Change the state; entering the current state is permitted and has no effect."""
        if state is not self.state:
            assert state in TRANSITIONS[self.state], f"{self.state.name} to {state.name}"
            self.state = state
