"""A queue ordered by time, and by the number of items of each owner.

Every operation takes constant time; updates of the index by owner take amortized constant time. Owners are
grouped by count as in a frequency list (O(1) LFU caches): a count changes by one at a time, so the highest
count is found by stepping, not by a search.
`OrderedDict` rather than `dict`: reading the first entry of a dict iterates over all entries deleted before
it, and a queue deletes from the front all the time.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable, Iterator
from itertools import takewhile
from typing import Generic, Protocol, TypeVar


class Owned(Protocol):
    """An item that belongs to an owner."""

    @property
    def owner(self) -> Hashable:
        """Owner that the item counts towards."""
        ...


Item = TypeVar("Item", bound=Owned)


class OwnerQueue(Generic[Item]):
    """An ordered set of items with the time at which each was added.

    The index by owner is updated lazily: connections enter and leave the queue with each request, and the
    largest owner matters only when a connection has to be evicted. Each change is indexed at most once.

    Attributes:
        added_at_s: Items with the time in seconds at which they were added, the oldest first.
    """

    def __init__(self) -> None:
        self.added_at_s: OrderedDict[Item, float] = OrderedDict()
        self._by_owner: dict[Hashable, OrderedDict[Item, None]] = {}
        self._owners_by_count: dict[int, OrderedDict[Hashable, None]] = {}
        self._max_count = 0
        self._not_indexed: OrderedDict[Item, None] = OrderedDict()  # in the order of their latest change

    def __len__(self) -> int:
        """Return the number of items."""
        return len(self.added_at_s)

    def __contains__(self, item: object) -> bool:
        """Return whether an item is in the queue."""
        return item in self.added_at_s

    def add(self, item: Item, now_s: float) -> None:
        """Append an item that is not in the queue.

        Args:
            item: Item to add.
            now_s: Current time in seconds, no earlier than that of the previous item.
        """
        self.added_at_s[item] = now_s
        self._not_indexed[item] = None
        self._not_indexed.move_to_end(item)

    def discard(self, item: Item) -> bool:
        """Remove an item; return whether it was in the queue."""
        if self.added_at_s.pop(item, None) is None:
            return False
        if item in self._by_owner.get(item.owner, ()):
            self._not_indexed[item] = None
        else:  # not indexed: no reference to the item may remain
            self._not_indexed.pop(item, None)
        return True

    def oldest(self) -> Item | None:
        """Return the oldest item; None if the queue is empty."""
        return next(iter(self.added_at_s), None)

    def oldest_of_largest_owner(self) -> Item | None:
        """Return the oldest item of the largest owner; of equals, of the one that reached its count first."""
        return next(iter(self._by_owner[self._largest_owner()])) if self.added_at_s else None

    def youngest_of_largest_owner(self) -> Item | None:
        """Return the youngest item of the same owner; None if the queue is empty."""
        return next(reversed(self._by_owner[self._largest_owner()])) if self.added_at_s else None

    def added_until(self, time_s: float) -> Iterator[Item]:
        """Iterate over the items added by that time; the queue must not change during the iteration."""
        return (item for item, _ in takewhile(lambda entry: entry[1] <= time_s, self.added_at_s.items()))

    def _largest_owner(self) -> Hashable:
        self._update_index()
        return next(iter(self._owners_by_count[self._max_count]))

    def _update_index(self) -> None:
        while self._not_indexed:
            item, _ = self._not_indexed.popitem(last=False)
            owner = item.owner
            owner_items = self._by_owner.setdefault(owner, OrderedDict())
            if item in owner_items:
                del owner_items[item]
                self._change_count(owner, len(owner_items) + 1, len(owner_items))
            if item in self.added_at_s:
                owner_items[item] = None
                self._change_count(owner, len(owner_items) - 1, len(owner_items))
            if not owner_items:
                del self._by_owner[owner]

    def _change_count(self, owner: Hashable, before: int, after: int) -> None:
        if before:
            owners = self._owners_by_count[before]
            del owners[owner]
            if not owners:
                del self._owners_by_count[before]
        if after:
            self._owners_by_count.setdefault(after, OrderedDict())[owner] = None
        if after > self._max_count or (before == self._max_count and before not in self._owners_by_count):
            self._max_count = after
