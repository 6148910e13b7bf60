"""Determines the index of a listener among those that share its address. No I/O.

Linux keeps the listeners of a group (SO_REUSEPORT) in an array. A new listener is appended, and when a
listener closes, the last one moves to its index (net/core/sock_reuseport.c, `reuseport_detach_sock`). A
reuseport filter selects by this index, but the kernel does not report it. So each process derives its index
from those in the heartbeats of the others. It is unknown where it depends on an unknown order of events.
"""

from __future__ import annotations

from collections.abc import Mapping


class ReuseportGroup:
    """The index of one listener in its group."""

    def __init__(self) -> None:
        self.index: int | None = None  # None before `join`, or while unknown
        self.others: dict[str, int] = {}  # indexes of the last update, by process name

    def join(self, others: Mapping[str, int]) -> None:
        """Append the listener to the group, since it began to listen after all others.

        Args:
            others: Indexes of the other listeners by process name.
        """
        self.others = dict(others)
        self.index = len(others)

    def update(self, others: Mapping[str, int]) -> int | None:
        """Update the index from the present indexes of the other listeners.

        Args:
            others: Indexes of the other listeners by process name.

        Returns:
            The index of this listener; None while it is unknown.
        """
        if self.index is None:
            return None
        before, self.others = self.others, dict(others)
        vacated = [index for name, index in before.items() if name not in others]
        if not others:
            self.index = 0
        elif len(vacated) > 1:
            # The new index of the last listener depends on the order in which these listeners closed.
            self.index = None
        elif vacated and self.index == len(before):
            self.index = vacated[0]
        # Another process may not have noticed yet that its listener moved, so a conflict is temporary.
        return self.index if self.index not in others.values() else None
