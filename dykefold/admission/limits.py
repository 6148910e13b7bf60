"""Limits on all client connections together."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """Limits on all client connections together.

    Attributes:
        connections: Maximum number of open client connections.
        with_requests: Maximum number of client connections on which a request has been sent.
    """

    connections: int
    with_requests: int
