"""What clients may hold in all."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ConnectionLimits:
    """What clients may hold in all.

    Attributes:
        connections: open at once.
        with_requests: of these, how many clients can hold that have sent a request.
    """

    connections: int
    with_requests: int
