"""Clients in one state, ordered by time and by how many of them one address holds.

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


class Member(Protocol):
    """What a queue needs of a client: the owner that it counts against."""

    @property
    def owner(self) -> Hashable: ...


M = TypeVar("M", bound=Member)


class Queue(Generic[M]):
    """An ordered set of members with the time since when each is in it.

    The index by owner is brought up to date only when it is asked for: connections come and go with each
    request, and who is greediest matters when room is short. Each change is worked off once at most.
    """

    def __init__(self) -> None:
        self.since: OrderedDict[M, float] = OrderedDict()
        self._owned: dict[Hashable, OrderedDict[M, None]] = {}
        self._levels: dict[int, OrderedDict[Hashable, None]] = {}
        self._top = 0
        self._changed: OrderedDict[M, None] = OrderedDict()  # in the order of their latest change

    def __len__(self) -> int:
        return len(self.since)

    def __contains__(self, member: object) -> bool:
        return member in self.since

    def add(self, member: M, now: float) -> None:
        """Append a member that is not in the queue."""
        self.since[member] = now
        self._changed[member] = None
        self._changed.move_to_end(member)

    def discard(self, member: M) -> bool:
        """Take a member out; whether it was in."""
        if self.since.pop(member, None) is None:
            return False
        if member in self._owned.get(member.owner, ()):
            self._changed[member] = None
        else:  # never indexed: nothing may be left of one that has gone
            self._changed.pop(member, None)
        return True

    def _index(self) -> None:
        while self._changed:
            member, _ = self._changed.popitem(last=False)
            owner = member.owner
            owned = self._owned.setdefault(owner, OrderedDict())
            if member in owned:
                del owned[member]
                self._level(owner, len(owned) + 1, len(owned))
            if member in self.since:
                owned[member] = None
                self._level(owner, len(owned) - 1, len(owned))
            if not owned:
                del self._owned[owner]

    def _level(self, owner: Hashable, before: int, after: int) -> None:
        if before:
            level = self._levels[before]
            del level[owner]
            if not level:
                del self._levels[before]
        if after:
            self._levels.setdefault(after, OrderedDict())[owner] = None
        if after > self._top or (before == self._top and before not in self._levels):
            self._top = after

    def oldest(self) -> M | None:
        return next(iter(self.since), None)

    def greediest_oldest(self) -> M | None:
        """The oldest member of the owner that has most; of equals, of the one that came there first."""
        return next(iter(self._owned[self._greediest()])) if self.since else None

    def greediest_youngest(self) -> M | None:
        return next(reversed(self._owned[self._greediest()])) if self.since else None

    def _greediest(self) -> Hashable:
        self._index()
        return next(iter(self._levels[self._top]))

    def until(self, time: float) -> Iterator[M]:
        """Those that are in the queue since that time or longer; it must not change meanwhile."""
        return (member for member, _ in takewhile(lambda entry: entry[1] <= time, self.since.items()))
