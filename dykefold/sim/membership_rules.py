"""Rules of the sidecars' memberships, checked while a world runs. No I/O."""

from __future__ import annotations

from collections.abc import Mapping

from ..fleet.member_state import LIVE, State
from ..fleet.membership import Membership
from ..fleet.rate_limits import RateLimits
from .kernel import NS_PER_S
from .rules import Rules

START_NS = 2 * NS_PER_S  # Within this time the others have heard of a started process.


class MembershipRules:
    """Three rules: no living member is gone for all, no dead one is live for any, all memberships converge.

    Attributes:
        bound_ns: Nanoseconds within which memberships settle after a disturbance.
        membership_since: Membership of each sidecar, None while it does not run, and the time of its start.
        disturbed_ns: Time in nanoseconds of the latest start or end of a process, or change of the network.
    """

    def __init__(self, size: int, rules: Rules) -> None:
        """Check a fleet of `size` sidecars."""
        self.rules = rules
        self.bound_ns = RateLimits().settled_ns(size)
        self.membership_since: dict[int, tuple[Membership | None, int]] = dict.fromkeys(
            range(size), (None, 0)
        )
        self.disturbed_ns = 0

    def disturbed(self, now_ns: int) -> None:
        """Record a disturbance, which restarts the settling time of the memberships."""
        self.disturbed_ns = now_ns

    def check(self, now_ns: int, memberships: Mapping[int, Membership]) -> None:
        """Check the memberships of the sidecars whose processes run."""
        for number, (membership, _) in self.membership_since.items():
            if memberships.get(number) is not membership:
                self.membership_since[number] = memberships.get(number), now_ns
                self.disturbed(now_ns)
        if now_ns - self.disturbed_ns < self.bound_ns + START_NS:
            return
        for number, (own, _) in self.membership_since.items():
            states = [other.table.state(number) for by, other in memberships.items() if by != number]
            if own is not None and states and all(state not in LIVE for state in states):
                self.rules.report(now_ns, "views", f"sidecar {number} lives, but is gone for all others")
            if own is None and any(state in LIVE for state in states):
                self.rules.report(now_ns, "views", f"sidecar {number} is dead, but is live for others")

    def settled_by(self, now_ns: int) -> int:
        """Return the time by which all memberships must agree if there is no further disturbance."""
        return max(self.disturbed_ns, now_ns) + self.bound_ns + 2 * START_NS

    def check_settled(self, now_ns: int) -> None:
        """Check that all memberships agree, in a world without a disturbance for `bound_ns`."""
        running = {number: own for number, (own, _) in self.membership_since.items() if own is not None}
        for number, own in running.items():
            live = [other for other in self.membership_since if own.table.state(other) in LIVE]
            if live != list(running):
                text = f"sidecar {number} counts {live} as live, expected {list(running)}"
                self.rules.report(now_ns, "views", text)
            unknown = [other for other in self.membership_since if own.table.state(other) is State.UNKNOWN]
            if unknown:
                self.rules.report(now_ns, "views", f"sidecar {number} has the state UNKNOWN for {unknown}")
