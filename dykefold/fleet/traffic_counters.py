"""Traffic counters of the membership, with their names in the admin API. No I/O."""

from __future__ import annotations

from enum import StrEnum

from .datagrams import Kind


class TrafficCounter(StrEnum):
    """A counter; the values are part of the admin API."""

    SENT = "sent"
    SENT_BYTES = "sent bytes"
    OVER_SEND_LIMIT = "unsent"  # datagrams that the send limit did not allow
    RECEIVED = "heard"
    OVER_RECEIVE_LIMIT = "over budget"  # dropped undecoded
    NOT_DECODED = "not read"
    DELAYED = "late"  # the process was paused, or its event loop ran late
    DIGESTS_DIFFER = "differ"


# The admin API uses the names of these kinds in the first version of the protocol.
SENT_BY_KIND: dict[Kind, str] = {
    Kind.PING: "sent PING",
    Kind.ACK: "sent ACK",
    Kind.PROBE_REQUEST: "sent ASK",
    Kind.NACK: "sent NACK",
    Kind.GOSSIP: "sent NEWS",
    Kind.DIGESTS: "sent SUMS",
    Kind.STATES: "sent WORDS",
    Kind.STATES_REPLY: "sent TOLD",
    Kind.RECORDS_REQUEST: "sent WANT",
    Kind.RECORDS_REPLY: "sent KNOWN",
}
