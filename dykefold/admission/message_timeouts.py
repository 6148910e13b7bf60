"""The time that a client has for a message.

The head of a message has a time in all. A body has one for as long as it keeps coming: however large and slow
it is, it is accepted at the rate that is required of it, and one that has stopped is found within seconds.
"""

from __future__ import annotations

from collections import OrderedDict
from itertools import takewhile

from .client import Client

# From the connect, or from the first byte of a message, to the end of its head; clients may take 2 s.
MAX_HEAD_S = 2.6
MAX_BODY_PAUSE_S = 1.5  # Without a byte of a body, once `MAX_HEAD_S` is over.
MIN_BODY_BYTES_PER_S = 24 * 1024  # Mean rate of a body. A client may send 64 kB a second (DAYS.md).
BODY_GRACE_S = 1.0  # After the first byte of a body; until then its rate does not count.


class MessageTimeouts:
    """Finds connections whose message has not come in time.

    Attributes:
        within_head_time: Connections whose message is awaited, with the time since when; the longest first.
        within_body_time: Connections that exceeded `MAX_HEAD_S` and whose body keeps coming.
    """

    def __init__(self) -> None:
        self.within_head_time: OrderedDict[Client, float] = OrderedDict()
        self.within_body_time: dict[Client, None] = {}

    def start(self, client: Client, now_s: float) -> None:
        """Await a message, unless one is awaited already.

        Args:
            client: Client that has connected, or whose message has begun.
            now_s: Current monotonic time in seconds.
        """
        if client not in self.within_body_time:
            self.within_head_time.setdefault(client, now_s)

    def stop(self, client: Client) -> None:
        """Await no message: it has come to its end, or nothing is read any more."""
        self.within_head_time.pop(client, None)
        self.within_body_time.pop(client, None)
        client.body_started_at_s = 0.0

    def restart(self, client: Client, now_s: float) -> None:
        """Give a connection that was found late its time anew."""
        if client.state is not None:
            self.stop(client)
            self.within_head_time[client] = now_s

    def record_body(self, client: Client, size: int, now_s: float) -> None:
        """Count bytes of a body that has not come to its end.

        Args:
            client: Client that sends the body.
            size: bytes that were received.
            now_s: Current monotonic time in seconds.
        """
        if not client.body_started_at_s:
            client.body_started_at_s, client.body_bytes = now_s, 0
        client.body_bytes += size
        client.body_received_at_s = now_s

    def take_late(self, now_s: float) -> list[Client]:
        """Return the connections whose message is late, each once."""
        before_s = now_s - MAX_HEAD_S
        due = [
            client
            for client, _ in takewhile(lambda entry: entry[1] <= before_s, self.within_head_time.items())
        ]
        for client in due:
            del self.within_head_time[client]
            self.within_body_time[client] = None
        late = [client for client in self.within_body_time if not _body_keeps_coming(client, now_s)]
        for client in late:
            del self.within_body_time[client]
        return late


def _body_keeps_coming(client: Client, now_s: float) -> bool:
    if not client.body_started_at_s or now_s - client.body_received_at_s > MAX_BODY_PAUSE_S:
        return False
    counted_s = now_s - client.body_started_at_s - BODY_GRACE_S
    return client.body_bytes >= MIN_BODY_BYTES_PER_S * counted_s
