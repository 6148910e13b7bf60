"""The clients' connections all together: their share of descriptors, and how long each may take."""

from __future__ import annotations

from itertools import takewhile
from time import monotonic
from typing import TYPE_CHECKING

from .limits import Descriptors

if TYPE_CHECKING:
    from .front import Front

START_MOST = 2.0  # seconds from connecting, or from a message's first byte, until its last has come
IDLE_MOST = 2.0  # seconds that a connection is kept with no request open
FEW = 0.25  # of the clients' share: when more than that are silent, it is no burst of the usual ones
YOUNG = 0.02  # seconds in which a new connection's first request may well be on its way


class Clients:
    """Every connection is in `waited` while a message is owed, in `idle` when nothing is, or in neither.

    Both are in the order of time, so that looking after them costs nothing for those that are in time.
    """

    def __init__(self, descriptors: Descriptors) -> None:
        self.descriptors = descriptors
        self.all: dict[Front, None] = {}
        self.waited: dict[Front, float] = {}
        self.idle: dict[Front, float] = {}

    def add(self, front: Front) -> None:
        """Take up a new connection; over the clients' share, one of them goes."""
        self.all[front] = None
        self.descriptors.held += 1
        self.waited[front] = monotonic()
        if len(self.all) > self.descriptors.clients:
            other = self._one_to_leave(front)
            self.waited.pop(other, None)
            self.idle.pop(other, None)
            other.close()

    def remove(self, front: Front) -> None:
        self.waited.pop(front, None)
        self.idle.pop(front, None)
        if front in self.all:
            del self.all[front]
            self.descriptors.held -= 1

    def place(self, front: Front) -> None:
        """Note what a connection does now: after it was read, and after an answer."""
        self.idle.pop(front, None)
        if front not in self.all:
            return
        if front.begun:
            self.waited.setdefault(front, monotonic())
        elif front.asked:
            self.waited.pop(front, None)
            if front.idle:
                self.idle[front] = monotonic()

    def _one_to_leave(self, new: Front) -> Front:
        """Guards the usual clients against those that connect by hundreds and say nothing."""
        first = next(front for front in self.waited if not front.asked)  # the new one at the latest
        few = len(self.waited) <= self.descriptors.clients * FEW
        if few and self.waited[first] > monotonic() - YOUNG:
            first = next(iter(self.idle), new)
        return first

    def sweep(self) -> None:
        """Guards descriptors and memory against clients that never end a message or never come back."""
        now = monotonic()
        for front in _since(self.waited, now - START_MOST):
            del self.waited[front]
            if front.paused:
                self.waited[front] = now  # it is not being read: its end may have come long ago
            else:
                front.expire()
        for front in _since(self.idle, now - IDLE_MOST):
            front.close()


def _since(places: dict[Front, float], time: float) -> list[Front]:
    return [front for front, _ in takewhile(lambda place: place[1] <= time, places.items())]
