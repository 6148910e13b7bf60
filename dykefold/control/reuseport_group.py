"""Works out the index of a listener among those that share its address. No I/O.

Linux keeps the listeners of a group (SO_REUSEPORT) in an array: one that begins to listen comes last, and
when one ends, the last takes its index (net/core/sock_reuseport.c, `reuseport_detach_sock`). A classic filter
selects by that index, and nobody can ask the kernel for it; so each process works its own out from those that
the others show, and says that it does not know where two orders of events would lead to two indexes.
"""

from __future__ import annotations

from collections.abc import Mapping


class ReuseportGroup:
    """The index of one listener in its group."""

    def __init__(self) -> None:
        """Begin with a listener that is not in the group yet."""
        self.index: int | None = None
        self.others: dict[str, int] = {}  # indexes by process name, as they stood at the last look

    def join(self, others: Mapping[str, int]) -> None:
        """Take the end of the group: the listener has begun to listen after all others.

        Args:
            others: their indexes by process name.
        """
        self.others = dict(others)
        self.index = len(others)

    def update(self, others: Mapping[str, int]) -> int | None:
        """Take the indexes that the others show now.

        Args:
            others: their indexes by process name.

        Returns:
            The own index; None while it is not known.
        """
        if self.index is None:
            return None
        before, self.others = self.others, dict(others)
        left = [index for name, index in before.items() if name not in others]
        if not others:
            self.index = 0
        elif len(left) > 1:
            self.index = None  # where the last one went depends on who left first
        elif left and self.index == len(before):
            self.index = left[0]
        # Another one may not have noticed yet that it moved; then this passes.
        return self.index if self.index not in others.values() else None
