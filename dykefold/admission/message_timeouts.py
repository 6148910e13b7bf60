"""Timeouts of messages that clients send.

The head of a message has a fixed timeout. A body has none while it keeps its minimum rate: however large it
is, it is accepted at that rate, and a body that has stopped arriving is found within seconds.
"""

from __future__ import annotations

from collections import OrderedDict
from itertools import takewhile

from .client import Client

# From the connect, or the first byte of a message, to the end of its head; clients may take 2 s.
MAX_HEAD_S = 2.6
MAX_BODY_PAUSE_S = 1.5  # Between two reads of a body, once `MAX_HEAD_S` has passed.
MIN_BODY_BYTES_PER_S = 24 * 1024  # Mean rate of a body. A client may send 64 kB a second.
BODY_GRACE_S = 1.0  # After the first byte of a body; this time does not count towards its rate.


class MessageTimeouts:
    """Finds connections whose message is overdue.

    Attributes:
        head_timeouts: Connections within `MAX_HEAD_S`, with the monotonic time in seconds at which their
            timeout started, oldest first.
        body_timeouts: Connections past `MAX_HEAD_S` whose body keeps its rate.
    """

    def __init__(self) -> None:
        self.head_timeouts: OrderedDict[Client, float] = OrderedDict()
        self.body_timeouts: dict[Client, None] = {}

    def start(self, client: Client, now_s: float) -> None:
        """Start the timeout of a message, unless it is running.

        Args:
            client: Client that has connected, or whose message has begun.
            now_s: Current monotonic time in seconds.
        """
        if client not in self.body_timeouts:
            self.head_timeouts.setdefault(client, now_s)

    def stop(self, client: Client) -> None:
        """Stop the timeout: the message is complete, or reading has ended."""
        self.head_timeouts.pop(client, None)
        self.body_timeouts.pop(client, None)
        client.body_started_at_s = 0.0

    def restart(self, client: Client, now_s: float) -> None:
        """Restart the timeout of a connection that was found overdue."""
        if client.state is not None:
            self.stop(client)
            self.head_timeouts[client] = now_s

    def record_body(self, client: Client, size: int, now_s: float) -> None:
        """Count received bytes of an incomplete body.

        Args:
            client: Client that sends the body.
            size: Number of bytes received.
            now_s: Current monotonic time in seconds.
        """
        if not client.body_started_at_s:
            client.body_started_at_s, client.body_bytes = now_s, 0
        client.body_bytes += size
        client.body_received_at_s = now_s

    def pop_overdue(self, now_s: float) -> list[Client]:
        """Remove and return the connections with an overdue message."""
        cutoff_s = now_s - MAX_HEAD_S
        due = [
            client for client, _ in takewhile(lambda entry: entry[1] <= cutoff_s, self.head_timeouts.items())
        ]
        for client in due:
            del self.head_timeouts[client]
            self.body_timeouts[client] = None
        overdue = [client for client in self.body_timeouts if not _is_body_on_time(client, now_s)]
        for client in overdue:
            del self.body_timeouts[client]
        return overdue


def _is_body_on_time(client: Client, now_s: float) -> bool:
    if not client.body_started_at_s or now_s - client.body_received_at_s > MAX_BODY_PAUSE_S:
        return False
    counted_s = now_s - client.body_started_at_s - BODY_GRACE_S
    return client.body_bytes >= MIN_BODY_BYTES_PER_S * counted_s
