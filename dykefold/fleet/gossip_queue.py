"""What is yet to be told: each news so many times, the least told first. No I/O."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

K = TypeVar("K", bound=Hashable)


class GossipQueue(Generic[K]):
    """Keys of what has changed, with how often each was told; a table of its own bounds them."""

    def __init__(self) -> None:
        self.told: OrderedDict[K, int] = OrderedDict()

    def __len__(self) -> int:
        return len(self.told)

    def add(self, key: K) -> None:
        """This is news now, to be told before all that was told already."""
        self.told[key] = 0
        self.told.move_to_end(key, last=False)

    def drop(self, key: K) -> None:
        self.told.pop(key, None)

    def take(self, most: int, limit: Callable[[K], int]) -> list[K]:
        """The next ones to tell, each of them `limit` times in all."""
        taken: list[K] = []
        again: list[tuple[K, int]] = []
        while self.told and len(taken) < most:
            key, count = self.told.popitem(last=False)
            taken.append(key)
            if count + 1 < limit(key):
                again.append((key, count + 1))
        for key, count in again:
            self.told[key] = count
        return taken
