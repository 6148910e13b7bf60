"""Whether members live: questions, helpers, suspicions, and doubt of oneself. No I/O.

SWIM (Das, Gupta, Motivala 2002) with the suspicions of its section 4.2, and the local health of Lifeguard
(Dadgar, Phillips, Currey 2017): who runs late or is not answered itself gives others more time.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from .member_state import ASKED, State, Table

HEALTH_MOST = 8
PROBES_MOST = 16  # questions that are open at once
RELAYS_MOST = 64  # questions that are open for others
NONCES = 1 << 16


class Health:
    """How far a member trusts its own sight: 0 is full trust."""

    def __init__(self) -> None:
        self.doubt = 0

    def better(self) -> None:
        self.doubt = max(self.doubt - 1, 0)

    def worse(self, by: int = 1) -> None:
        self.doubt = min(self.doubt + by, HEALTH_MOST)

    @property
    def scale(self) -> int:
        """What times are multiplied by."""
        return self.doubt + 1


@dataclass(slots=True)
class Probe:
    """A question whether a member lives."""

    target: int
    began_ns: int
    again_ns: int  # ask it again, and helpers
    due_ns: int  # conclude
    helpers: list[int] = field(default_factory=list)
    nacks: int = 0
    tries: int = 0  # after the first


@dataclass(slots=True)
class Relay:
    """A question that is asked for another member."""

    asker: int
    nonce: int  # the asker's
    target: int
    due_ns: int


class Turns:
    """Whom to ask next: all in a shuffled order, then in another one, so that nobody is left out for long."""

    def __init__(self, me: int, chance: random.Random) -> None:
        self.me, self.chance = me, chance
        self.order: list[int] = []

    def next(self, table: Table) -> int | None:
        for fresh in (False, True):
            if fresh:
                self.order = [number for number in range(len(table)) if number != self.me]
                self.chance.shuffle(self.order)
            while self.order:
                number = self.order.pop()
                if number < len(table) and table.state(number) in ASKED:
                    return number
        return None


class Suspicions:
    """Which members are suspected, and until when they may deny it."""

    def __init__(self) -> None:
        self.due: dict[int, int] = {}
        self.asked: set[int] = set()  # once more, before the time is over

    def heed(self, number: int, state: State, now_ns: int, stands_ns: int) -> None:
        """A member is in a state now; later words of the same suspicion change nothing."""
        self.asked.discard(number)
        if state is State.SUSPECT:
            self.due[number] = now_ns + stands_ns
        else:
            self.due.pop(number, None)

    def shorten(self, number: int, due_ns: int) -> None:
        """A suspicion of others is one of one's own as well now."""
        if number in self.due:
            self.due[number] = min(self.due[number], due_ns)

    def extend(self, by_ns: int) -> None:
        """Give all of them more time."""
        for number in self.due:
            self.due[number] += by_ns

    def to_ask(self, until_ns: int) -> list[int]:
        """Those who are to be asked once more, as their time is over by then; each once."""
        found = [number for number, due in self.due.items() if due <= until_ns and number not in self.asked]
        self.asked.update(found)
        return found

    def over(self, now_ns: int) -> list[int]:
        """Those who let a suspicion stand."""
        return [number for number, due in self.due.items() if due <= now_ns]

    def next_ns(self, before_ns: int) -> int | None:
        """When the next one is over, or to be asked, so long before."""
        dues = (due if number in self.asked else due - before_ns for number, due in self.due.items())
        return min(dues, default=None)
