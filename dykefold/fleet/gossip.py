"""Gossip rounds: changes are sent to a few random members. No I/O."""

from __future__ import annotations

from .membership import Membership
from .outbox import Outbox
from .rate_limits import GOSSIP_FANOUT, GOSSIP_PERIODS


class Gossiper:
    """Sender of changed states and new records.

    Args:
        membership: Membership whose changes are sent.
        outbox: Queue of datagrams to send.
        now_ns: Current monotonic time in nanoseconds.

    Attributes:
        next_round_ns: Earliest monotonic time in nanoseconds of the next round.
    """

    def __init__(self, membership: Membership, outbox: Outbox, now_ns: int) -> None:
        """Allow the first round at once."""
        self.membership, self.outbox = membership, outbox
        self.reset(now_ns)

    def reset(self, now_ns: int) -> None:
        """Start again after a change of the address list."""
        self.next_round_ns = now_ns

    def has_pending(self) -> bool:
        """Return whether there is anything to send."""
        membership = self.membership
        return bool(membership.gossip or membership.records.gossip or membership.outdated_members)

    def run_round(self, now_ns: int) -> None:
        """Run a round if one is due."""
        if self.next_round_ns > now_ns or not self.has_pending():
            return
        membership = self.membership
        self.next_round_ns = now_ns + membership.limits.ns(GOSSIP_PERIODS)
        self._notify_outdated_members(now_ns)
        if membership.isolated:
            return  # conclusions of a member that receives nothing are unreliable
        for peer in membership.random_live_members(GOSSIP_FANOUT):
            if membership.gossip or membership.records.gossip:
                self.outbox.send_gossip(now_ns, peer)

    def _notify_outdated_members(self, now_ns: int) -> None:
        """Notify members of greater states known of them, so that they can refute these."""
        outdated_members = self.membership.outdated_members
        while outdated_members and self.outbox.send_gossip(now_ns, next(iter(outdated_members))):
            pass
