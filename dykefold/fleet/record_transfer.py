"""Transfer of records to joining members. No I/O."""

from __future__ import annotations

from .datagrams import Datagram, Kind, record_capacity
from .member_state import LIVE
from .membership import Membership
from .outbox import Outbox
from .rate_limits import MAX_JOINING_PERIODS

WANTED_REPLIES = 3
MAX_REQUESTS = 8  # More than the replies, as members without records do not reply.
MAX_REPLY_DATAGRAMS = 2


class RecordTransfer:
    """Requests for records by a joining member, and replies to them.

    Args:
        membership: Membership whose records are exchanged.
        outbox: Queue of datagrams to send.

    Attributes:
        requested: Members that were sent a request.
        replies: Number of replies received.
    """

    def __init__(self, membership: Membership, outbox: Outbox) -> None:
        self.membership, self.outbox = membership, outbox
        self.reset()

    def reset(self) -> None:
        """Start again after a change of the address list."""
        self.requested: set[int] = set()
        self.replies = 0

    def request_from(self, now_ns: int, sender: int) -> None:
        """Request the records of a live member, if this one is joining and needs more replies."""
        if self.replies >= WANTED_REPLIES or len(self.requested) >= MAX_REQUESTS or sender in self.requested:
            return
        membership = self.membership
        is_joining = now_ns - membership.joined_ns < membership.limits.ns(MAX_JOINING_PERIODS)
        if is_joining and membership.table.state(sender) in LIVE:
            self.requested.add(sender)
            self.outbox.send(now_ns, sender, Kind.RECORDS_REQUEST)

    def on_request(self, now_ns: int, sender: int, _datagram: Datagram) -> None:
        """Send records to a joining member."""
        membership = self.membership
        capacity = record_capacity(0)
        records = membership.records.for_joining_member(now_ns, capacity * MAX_REPLY_DATAGRAMS)
        for start in range(0, len(records), capacity):
            datagram = Datagram(
                Kind.RECORDS_REPLY,
                membership.fleet,
                membership.own_state,
                records=records[start : start + capacity],
            )
            self.outbox.send_prepared(now_ns, sender, datagram)

    def on_reply(self, _now_ns: int, _sender: int, _datagram: Datagram) -> None:
        """Count a reply, whose records are merged already."""
        self.replies += 1
