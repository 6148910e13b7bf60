"""A queue ordered by time, and by how many of its items belong to one owner.

Every operation costs the same whatever is queued; the index by owner, on the average over changes. The
levels are those of a frequency list (as in O(1) LFU caches): counts only ever change by one, so the
highest level is found by stepping, not by a search.
`OrderedDict` rather than `dict`: reading the first entry of a dict walks over all that were deleted
before it, which a queue does all the time.
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
        """What the item is counted by."""
        ...


Item = TypeVar("Item", bound=Owned)


class OwnerQueue(Generic[Item]):
    """An ordered set of items with the time at which each was added.

    The index by owner is brought up to date only when it is asked for: connections come and go with each
    request, and the largest owner matters only when one has to be evicted. Each change is indexed once at
    most.

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
        """Return how many items there are."""
        return len(self.added_at_s)

    def __contains__(self, item: object) -> bool:
        """Return whether an item is in the queue."""
        return item in self.added_at_s

    def add(self, item: Item, now_s: float) -> None:
        """Append an item that is not in the queue.

        Args:
            item: Item to add.
            now_s: Current time in seconds, no earlier than that of the item before.
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
        else:  # it was never indexed: no reference to it may be left
            self._not_indexed.pop(item, None)
        return True

    def oldest(self) -> Item | None:
        """Return the item that was added first; None if there is none."""
        return next(iter(self.added_at_s), None)

    def oldest_of_largest_owner(self) -> Item | None:
        """Return the oldest item of the owner that has most; of equals, of the one that had so many first."""
        return next(iter(self._by_owner[self._largest_owner()])) if self.added_at_s else None

    def youngest_of_largest_owner(self) -> Item | None:
        """Return the youngest item of the same owner; None if there is none."""
        return next(reversed(self._by_owner[self._largest_owner()])) if self.added_at_s else None

    def added_until(self, time_s: float) -> Iterator[Item]:
        """Iterate over the items that were added by that time; the queue must not change meanwhile."""
        return (item for item, _ in takewhile(lambda entry: entry[1] <= time_s, self.added_at_s.items()))

    def _largest_owner(self) -> Hashable:
        self._update_index()
        return next(iter(self._owners_by_count[self._max_count]))

    def _update_index(self) -> None:
        while self._not_indexed:
            item, _ = self._not_indexed.popitem(last=False)
            owner = item.owner
            owned = self._by_owner.setdefault(owner, OrderedDict())
            if item in owned:
                del owned[item]
                self._change_count(owner, len(owned) + 1, len(owned))
            if item in self.added_at_s:
                owned[item] = None
                self._change_count(owner, len(owned) - 1, len(owned))
            if not owned:
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
