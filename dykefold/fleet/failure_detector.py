"""The state of the failure detector: probes, indirect probes, suspicions, and confidence in oneself. No I/O.

SWIM (Das, Gupta, Motivala 2002) with the suspicions of its section 4.2, and the local health of Lifeguard
(Dadgar, Phillips, Currey 2017): a member that runs late, or gets no answers itself, gives others more time.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from .member_state import PROBED, MemberTable, State

MAX_HEALTH_SCORE = 8
MAX_PROBES = 16  # open at once
MAX_RELAYED_PROBES = 64  # open at once
NONCES = 1 << 16


class LocalHealth:
    """How far a member trusts its own observations.

    Attributes:
        score: 0 is full trust; each step lengthens the timeouts by once the usual time.
    """

    def __init__(self) -> None:
        self.score = 0

    def improve(self) -> None:
        """Note a sign that the member works well."""
        self.score = max(self.score - 1, 0)

    def degrade(self, steps: int = 1) -> None:
        """Note a sign that the fault is the member's own."""
        self.score = min(self.score + steps, MAX_HEALTH_SCORE)

    @property
    def timeout_factor(self) -> int:
        """What the timeouts of probes are multiplied by."""
        return self.score + 1


@dataclass(slots=True)
class Probe:
    """An open probe of a member.

    Attributes:
        target: the probed member.
        started_ns: when it was first sent.
        retry_ns: when it is sent again, if there is no answer.
        timeout_ns: when it has failed.
        helpers: members asked to probe the target as well.
        nacks: helpers that were not answered by the target.
        retries: how often it was repeated.
    """

    target: int
    started_ns: int
    retry_ns: int
    timeout_ns: int
    helpers: list[int] = field(default_factory=list)
    nacks: int = 0
    retries: int = 0


@dataclass(slots=True)
class RelayedProbe:
    """An open probe on behalf of another member.

    Attributes:
        requester: the member that asked for it.
        requester_nonce: the nonce of its request.
        target: the probed member.
        timeout_ns: when the requester gets a NACK.
    """

    requester: int
    requester_nonce: int
    target: int
    timeout_ns: int


class ProbeOrder:
    """Whom to probe next: all members in a shuffled order, then in another one: none waits long.

    Args:
        own_number: of the member that probes.
        rng: shuffles.
    """

    def __init__(self, own_number: int, rng: random.Random) -> None:
        """Make an order that is not shuffled yet."""
        self.own_number, self.rng = own_number, rng
        self.remaining: list[int] = []

    def next(self, table: MemberTable) -> int | None:
        """Return the next member that is to be probed; None if there is none."""
        target = self._next_remaining(table)
        if target is None:
            self.remaining = [number for number in range(len(table)) if number != self.own_number]
            self.rng.shuffle(self.remaining)
            target = self._next_remaining(table)
        return target

    def _next_remaining(self, table: MemberTable) -> int | None:
        while self.remaining:
            number = self.remaining.pop()
            if number < len(table) and table.state(number) in PROBED:
                return number
        return None


class Suspicions:
    """Which members are suspected, and until when they may refute that.

    Attributes:
        expiry_ns: by member.
        reprobed: members that were probed once more before the expiry.
    """

    def __init__(self) -> None:
        self.expiry_ns: dict[int, int] = {}
        self.reprobed: set[int] = set()

    def on_state(self, number: int, state: State, expiry_ns: int) -> None:
        """Follow a member's changed status.

        Args:
            number: the member.
            state: its status now.
            expiry_ns: of the suspicion, if it is one.
        """
        self.reprobed.discard(number)
        if state is State.SUSPECT:
            self.expiry_ns[number] = expiry_ns
        else:
            self.expiry_ns.pop(number, None)

    def shorten(self, number: int, expiry_ns: int) -> None:
        """Bring the expiry of a suspicion forward, because it is an observation of one's own as well now."""
        if number in self.expiry_ns:
            self.expiry_ns[number] = min(self.expiry_ns[number], expiry_ns)

    def extend(self, by_ns: int) -> None:
        """Give all suspected members more time."""
        for number in self.expiry_ns:
            self.expiry_ns[number] += by_ns

    def take_reprobes(self, until_ns: int) -> list[int]:
        """Return members whose suspicion expires by then, to be probed once more; each only once."""
        due = [
            number
            for number, expiry_ns in self.expiry_ns.items()
            if expiry_ns <= until_ns and number not in self.reprobed
        ]
        self.reprobed.update(due)
        return due

    def expired(self, now_ns: int) -> list[int]:
        """Return members that have not refuted a suspicion in time."""
        return [number for number, expiry_ns in self.expiry_ns.items() if expiry_ns <= now_ns]

    def next_ns(self, reprobe_before_ns: int) -> int | None:
        """Return when the next suspicion expires, or its member is to be probed so long before that."""
        return min(
            (
                expiry_ns if number in self.reprobed else expiry_ns - reprobe_before_ns
                for number, expiry_ns in self.expiry_ns.items()
            ),
            default=None,
        )
