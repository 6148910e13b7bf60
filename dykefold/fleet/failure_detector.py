"""State of the failure detector: probes, indirect probes, suspicions and local health. No I/O.

SWIM (Das, Gupta, Motivala 2002) with the suspicions of its section 4.2, and the local health multiplier of
Lifeguard (Dadgar, Phillips, Currey 2017): a member that runs late, or receives no answers, extends its
timeouts.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from .member_state import PROBED, MemberTable, State

MAX_HEALTH_SCORE = 8
MAX_OPEN_PROBES = 16
MAX_OPEN_RELAYED_PROBES = 64
NONCE_COUNT = 1 << 16


class LocalHealth:
    """The local health of Lifeguard: how far a member trusts its own observations.

    Attributes:
        score: 0 for full health; each step adds the base timeout once.
    """

    def __init__(self) -> None:
        self.score = 0

    def improve(self) -> None:
        """Record evidence that this member is healthy."""
        self.score = max(self.score - 1, 0)

    def degrade(self, steps: int = 1) -> None:
        """Record evidence that the fault is this member's own."""
        self.score = min(self.score + steps, MAX_HEALTH_SCORE)

    @property
    def timeout_factor(self) -> int:
        """Local health multiplier of the timeouts of probes."""
        return self.score + 1


@dataclass(slots=True)
class Probe:
    """A pending probe of a member.

    Attributes:
        target: Number of the probed member.
        started_ns: Monotonic time in nanoseconds at which the probe was first sent.
        retry_ns: Monotonic time in nanoseconds at which an unanswered probe is retried.
        timeout_ns: Monotonic time in nanoseconds at which the probe fails.
        helpers: Members that were sent a PROBE_REQUEST for the target.
        nacks: Number of NACKs from helpers.
        retries: Number of retries.
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
    """A pending indirect probe: this member probes the target for the requester.

    Attributes:
        requester: Number of the member that requested the probe.
        requester_nonce: Nonce of the request.
        target: Number of the probed member.
        timeout_ns: Monotonic time in nanoseconds at which the requester is sent a NACK.
    """

    requester: int
    requester_nonce: int
    target: int
    timeout_ns: int


class ProbeOrder:
    """The order of probes: rounds over all members, each newly shuffled, which bounds the time to a probe.

    Args:
        own_number: Number of the member that probes.
        rng: Random generator of the order.
    """

    def __init__(self, own_number: int, rng: random.Random) -> None:
        """Start with an order that is not shuffled."""
        self.own_number, self.rng = own_number, rng
        self.remaining: list[int] = []

    def next(self, table: MemberTable) -> int | None:
        """Return the next member to probe; None if there is none."""
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
    """The suspected members with the expiry of each suspicion, until which the member can refute it.

    Attributes:
        expiry_ns: Monotonic time in nanoseconds at which a suspicion expires, by member.
        reprobed: Members that were already probed again before the expiry.
    """

    def __init__(self) -> None:
        self.expiry_ns: dict[int, int] = {}
        self.reprobed: set[int] = set()

    def on_state(self, number: int, state: State, expiry_ns: int) -> None:
        """Apply a member's changed status.

        Args:
            number: Number of the member.
            state: Current status of the member.
            expiry_ns: Monotonic time in nanoseconds at which the suspicion expires, if the member is suspect.
        """
        self.reprobed.discard(number)
        if state is State.SUSPECT:
            self.expiry_ns[number] = expiry_ns
        else:
            self.expiry_ns.pop(number, None)

    def shorten(self, number: int, expiry_ns: int) -> None:
        """Shorten a suspicion that a failed probe of this member has confirmed."""
        if number in self.expiry_ns:
            self.expiry_ns[number] = min(self.expiry_ns[number], expiry_ns)

    def extend(self, by_ns: int) -> None:
        """Extend all suspicions."""
        for number in self.expiry_ns:
            self.expiry_ns[number] += by_ns

    def take_reprobes(self, until_ns: int) -> list[int]:
        """Return members to probe before their suspicion expires by `until_ns`; each is returned once."""
        due = [
            number
            for number, expiry_ns in self.expiry_ns.items()
            if expiry_ns <= until_ns and number not in self.reprobed
        ]
        self.reprobed.update(due)
        return due

    def expired(self, now_ns: int) -> list[int]:
        """Return members whose suspicion has expired."""
        return [number for number, expiry_ns in self.expiry_ns.items() if expiry_ns <= now_ns]

    def next_ns(self, reprobe_before_ns: int) -> int | None:
        """Return the time of the next expiry, or of the probe `reprobe_before_ns` before it."""
        return min(
            (
                expiry_ns if number in self.reprobed else expiry_ns - reprobe_before_ns
                for number, expiry_ns in self.expiry_ns.items()
            ),
            default=None,
        )
