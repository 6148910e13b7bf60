"""The answer of the admission rules to a new connection."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from .client import Client


class RejectionReason(Enum):
    """The limit for which a connection or a request is rejected; the value stands in log lines."""

    CONNECTIONS_OF_ADDRESS = "connections_per_address"
    NEW_CONNECTIONS_OF_ADDRESS = "new_connections_per_s"
    ALL_CONNECTIONS = "all_connections"
    OPEN_REQUESTS_OF_ADDRESS = "open_requests_per_address"
    UNFINISHED_BYTES_OF_ADDRESS = "unfinished_bytes_per_address"
    ALL_OPEN_REQUESTS = "all_open_requests"


class AdmissionDecision(NamedTuple):
    """What becomes of a new connection.

    Attributes:
        client: Record of the client; None if the connection is rejected.
        rejection: Limit for which the connection is rejected; None if it is admitted.
        evicted: Client whose connection must be closed in exchange; None if there is none.
    """

    client: Client | None
    rejection: RejectionReason | None
    evicted: Client | None
