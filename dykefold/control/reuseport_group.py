"""Which place a listener has among those that share its address. No I/O.

Linux keeps the listeners of a group (SO_REUSEPORT) in an array: one that begins to listen comes last, and
when one ends, the last takes its place (net/core/sock_reuseport.c, `reuseport_detach_sock`). A classic filter
picks by that place, and nobody can ask the kernel for it; so each process works its own out from those that
the others show, and says that it does not know where two orders of events would lead to two places.
"""

from __future__ import annotations

from collections.abc import Mapping


class ReuseportGroup:
    """The place of one listener."""

    def __init__(self) -> None:
        self.mine: int | None = None
        self.others: dict[str, int] = {}  # as they stood at the last look

    def joins(self, others: Mapping[str, int]) -> None:
        """This listener has begun to listen, after all of these, whose places are given by name."""
        self.others = dict(others)
        self.mine = len(others)

    def look(self, others: Mapping[str, int]) -> int | None:
        """Take the places that the others show now; the own one, None while it can't be told."""
        if self.mine is None:
            return None
        before, self.others = self.others, dict(others)
        left = [place for name, place in before.items() if name not in others]
        if not others:
            self.mine = 0
        elif len(left) > 1:
            self.mine = None  # where the last one went depends on who left first
        elif left and self.mine == len(before):
            self.mine = left[0]
        # Another one may not have noticed yet that it moved; then this passes.
        return self.mine if self.mine not in others.values() else None
