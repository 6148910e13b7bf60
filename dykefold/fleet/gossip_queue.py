"""Queue of items to gossip, each a limited number of times, least transmitted first. No I/O."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)


class GossipQueue(Generic[K]):
    """Keys of changed items, with the number of transmissions of each."""

    def __init__(self) -> None:
        self._transmissions: OrderedDict[K, int] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of queued items."""
        return len(self._transmissions)

    def add(self, key: K) -> None:
        """Queue a changed item ahead of all others, with no transmissions counted."""
        self._transmissions[key] = 0
        self._transmissions.move_to_end(key, last=False)

    def discard(self, key: K) -> None:
        """Remove an item."""
        self._transmissions.pop(key, None)

    def clear(self) -> None:
        """Remove all items."""
        self._transmissions.clear()

    def take(self, max_count: int, max_transmissions: Callable[[K], int]) -> list[K]:
        """Return the next items to send, and count a transmission of each.

        Args:
            max_count: Maximum number of items to return.
            max_transmissions: Function that returns the total number of transmissions of an item.
        """
        taken: list[K] = []
        remaining: list[tuple[K, int]] = []
        while self._transmissions and len(taken) < max_count:
            key, count = self._transmissions.popitem(last=False)
            taken.append(key)
            if count + 1 < max_transmissions(key):
                remaining.append((key, count + 1))
        self._transmissions.update(remaining)
        return taken
