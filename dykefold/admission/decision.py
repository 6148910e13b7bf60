"""Decision of the admission rules on a new connection."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from .client import Client


class RejectionReason(Enum):
    """Limit that rejects a connection or a request; the value is written to log lines."""

    CONNECTIONS_OF_ADDRESS = "connections_per_address"
    NEW_CONNECTIONS_OF_ADDRESS = "new_connections_per_s"
    ALL_CONNECTIONS = "all_connections"
    OPEN_REQUESTS_OF_ADDRESS = "open_requests_per_address"
    UNFINISHED_BYTES_OF_ADDRESS = "unfinished_bytes_per_address"
    ALL_OPEN_REQUESTS = "all_open_requests"
    MEMORY = "memory"


class AdmissionDecision(NamedTuple):
    """Decision on a new connection.

    Attributes:
        client: Record of the client; None if the connection is rejected.
        rejection: Limit that rejects the connection; None if it is admitted.
        evicted: Client whose connection must be closed to make room; None if there is none.
    """

    client: Client | None
    rejection: RejectionReason | None
    evicted: Client | None
