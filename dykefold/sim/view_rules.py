"""What must hold of the sidecars' views, judged while a world runs. No I/O."""

from __future__ import annotations

from collections.abc import Mapping

from ..fleet.member_state import LIVE, State
from ..fleet.membership import Membership
from ..fleet.rate_limits import RateLimits
from .kernel import SECOND
from .rules import Rules

START_NS = 2 * SECOND  # in which a process that has begun is heard


class ViewRules:
    """Three rules: who lives is not gone for all, who is dead is not live, and all views come to be equal."""

    def __init__(self, size: int, rules: Rules) -> None:
        self.rules = rules
        self.bound_ns = RateLimits().settled_ns(size)
        self.since: dict[int, tuple[Membership | None, int]] = dict.fromkeys(range(size), (None, 0))
        self.disturbed_ns = 0  # when a process last came or went, or the network last changed
        self.looks = 0

    def disturbed(self, now_ns: int) -> None:
        """A fault began or ended from which views need their time."""
        self.disturbed_ns = now_ns

    def look(self, now_ns: int, views: Mapping[int, Membership]) -> None:
        """Judge by the views of those whose processes run."""
        self.looks += 1
        for number, (view, _) in self.since.items():
            if views.get(number) is not view:
                self.since[number] = views.get(number), now_ns
                self.disturbed(now_ns)
        if now_ns - self.disturbed_ns < self.bound_ns + START_NS:
            return
        for number, (own, _) in self.since.items():
            states = [view.table.state(number) for by, view in views.items() if by != number]
            if own is not None and states and all(state not in LIVE for state in states):
                self.rules.report(now_ns, "views", f"sidecar {number} lives and is gone for all others")
            if own is None and any(state in LIVE for state in states):
                self.rules.report(now_ns, "views", f"sidecar {number} is dead and live for others")

    def settled_by(self, now_ns: int) -> int:
        """When all views must be equal, if nothing more happens."""
        return max(self.disturbed_ns, now_ns) + self.bound_ns + 2 * START_NS

    def at_rest(self, now_ns: int) -> None:
        """Judge a world in which nothing has happened for the bound."""
        views = {number: view for number, (view, _) in self.since.items() if view is not None}
        for number, view in views.items():
            live = [other for other in self.since if view.table.state(other) in LIVE]
            if live != list(views):
                text = f"sidecar {number} counts {live} as live, there are {list(views)}"
                self.rules.report(now_ns, "views", text)
            gone = [other for other in self.since if view.table.state(other) is State.UNKNOWN]
            if gone:
                self.rules.report(now_ns, "views", f"sidecar {number} knows nothing of {gone}")
