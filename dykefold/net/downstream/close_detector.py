"""Detection of a client's close before the transport reports it."""

from __future__ import annotations

import select
import socket

from ...system import ReadPoller, System

FULL_CLOSE_EVENTS = select.POLLHUP | select.POLLERR
HALF_CLOSE_EVENTS = select.POLLRDHUP | FULL_CLOSE_EVENTS  # The client may still read responses.


class CloseDetector:
    """Polls the socket of a client connection for the client's close.

    The transport reports a close late if reading is paused or the event loop was blocked. Polling the socket
    spares endpoints the work for requests whose client has disconnected.

    Args:
        system: Source of pollers.

    Attributes:
        sock: Socket of the connection; None before it is known.
    """

    __slots__ = ("_poller", "_system", "sock")

    def __init__(self, system: System) -> None:
        self._system = system
        self._poller: ReadPoller | None = None
        self.sock: socket.socket | None = None

    def poll(self) -> int:
        """Return the socket's pending events as flags of `select.poll`; 0 if there are none."""
        if self.sock is None:
            return 0
        try:
            if self._poller is None:
                self._poller = self._system.read_or_close_poller(self.sock)
            events = self._poller.poll(0)
        except (OSError, ValueError):  # The kernel is out of memory, or the descriptor is closed.
            return 0
        return events[0][1] if events else 0

    def has_closed(self, half_close: bool) -> bool:
        """Return whether the client has closed the connection.

        Args:
            half_close: Whether a client that has closed its sending side may still await responses; if so,
                only the close of both sides counts.
        """
        return bool(self.poll() & (FULL_CLOSE_EVENTS if half_close else HALF_CLOSE_EVENTS))
