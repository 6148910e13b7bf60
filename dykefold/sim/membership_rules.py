"""What must hold of the sidecars' memberships, judged while a world runs. No I/O."""

from __future__ import annotations

from collections.abc import Mapping

from ..fleet.member_state import LIVE, State
from ..fleet.membership import Membership
from ..fleet.rate_limits import RateLimits
from .kernel import NS_PER_S
from .rules import Rules

START_NS = 2 * NS_PER_S  # Within this time a process that has started is heard.


class MembershipRules:
    """Three rules: who lives is not gone for all, who is dead is not live, and all come to agree.

    Attributes:
        bound_ns: Nanoseconds within which memberships settle after a disturbance.
        since: Membership of each sidecar, None while it does not run, and the time of its start.
        disturbed_ns: Time in nanoseconds of the latest start or end of a process, or change of the network.
    """

    def __init__(self, size: int, rules: Rules) -> None:
        """Judge a fleet of so many sidecars."""
        self.rules = rules
        self.bound_ns = RateLimits().settled_ns(size)
        self.since: dict[int, tuple[Membership | None, int]] = dict.fromkeys(range(size), (None, 0))
        self.disturbed_ns = 0

    def disturbed(self, now_ns: int) -> None:
        """A fault began or ended from which memberships need their time."""
        self.disturbed_ns = now_ns

    def check(self, now_ns: int, memberships: Mapping[int, Membership]) -> None:
        """Judge by the memberships of those whose processes run."""
        for number, (membership, _) in self.since.items():
            if memberships.get(number) is not membership:
                self.since[number] = memberships.get(number), now_ns
                self.disturbed(now_ns)
        if now_ns - self.disturbed_ns < self.bound_ns + START_NS:
            return
        for number, (own, _) in self.since.items():
            states = [other.table.state(number) for by, other in memberships.items() if by != number]
            if own is not None and states and all(state not in LIVE for state in states):
                self.rules.report(now_ns, "views", f"sidecar {number} lives and is gone for all others")
            if own is None and any(state in LIVE for state in states):
                self.rules.report(now_ns, "views", f"sidecar {number} is dead and live for others")

    def settled_by(self, now_ns: int) -> int:
        """Return when all memberships must agree, if nothing more happens."""
        return max(self.disturbed_ns, now_ns) + self.bound_ns + 2 * START_NS

    def check_settled(self, now_ns: int) -> None:
        """Judge a world in which nothing has happened for the bound."""
        running = {number: own for number, (own, _) in self.since.items() if own is not None}
        for number, own in running.items():
            live = [other for other in self.since if own.table.state(other) in LIVE]
            if live != list(running):
                text = f"sidecar {number} counts {live} as live, there are {list(running)}"
                self.rules.report(now_ns, "views", text)
            unknown = [other for other in self.since if own.table.state(other) is State.UNKNOWN]
            if unknown:
                self.rules.report(now_ns, "views", f"sidecar {number} knows nothing of {unknown}")
