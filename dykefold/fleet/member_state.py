"""The state of a member as one integer: its incarnation, status and zone. No I/O.

Two encoded states of one member merge to their maximum, a join-semilattice with a total order. Members that
have received the same states therefore converge to the same membership, whatever the order, the duplicates
and the senders of the datagrams.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator, Sequence
from enum import IntEnum

from .hashing import hash_pair


class State(IntEnum):
    """The status of a member. Within one incarnation a greater value overrides a smaller one."""

    UNKNOWN = 0  # nothing was received from or about the member
    ALIVE = 1
    SUSPECT = 2  # did not answer a probe, and may refute the suspicion
    LEAVING = 3  # announced its graceful shutdown
    GONE = 4  # did not refute a suspicion in time
    LEFT = 5  # announced its end, or has been LEAVING for longer than a graceful shutdown lasts


STATES = tuple(State)
STATE_BITS = 3
STATE_MASK = (1 << STATE_BITS) - 1
ZONE_BITS = 5
ZONE_MASK = (
    1 << ZONE_BITS
) - 1  # field value: zone number plus one; 0: unknown, all ones: too large to encode
INCARNATION_SHIFT = STATE_BITS + ZONE_BITS
MAX_INCARNATION = (1 << 48) - 1  # Milliseconds since 1970 reach it in the year 10889.
ENCODED_STATE_BYTES = 7
MAX_ENCODED_STATE = (1 << 8 * ENCODED_STATE_BYTES) - 1

# Transitions that a member may conclude about another one from its own observations, with the cause for
# operators. All other states are claimed by the member itself, or received from one that concluded them.
CONCLUSIONS: dict[tuple[State, State], str] = {
    (State.UNKNOWN, State.SUSPECT): "neither it nor a helper answered a probe",
    (State.ALIVE, State.SUSPECT): "neither it nor a helper answered a probe",
    (State.SUSPECT, State.GONE): "the suspicion was not refuted in time",
    (State.LEAVING, State.LEFT): "its graceful shutdown has had its time",
}
LIVE = frozenset((State.ALIVE, State.SUSPECT))  # Statuses of members that are expected to carry traffic.
PROBED = frozenset((State.UNKNOWN, State.ALIVE, State.SUSPECT))
TRUSTED = frozenset((State.ALIVE, State.SUSPECT, State.LEAVING))


class InvalidConclusionError(ValueError):
    """A member may not conclude this transition of another member.

    Args:
        before: Known status.
        after: Status that the conclusion would set.
    """

    def __init__(self, before: State, after: State) -> None:
        super().__init__(f"{after.name} can't be concluded of a member that is {before.name}")


def encode_state(incarnation: int, state: State, zone: int | None = None) -> int:
    """Encode the state of a member.

    Args:
        incarnation: Incarnation of the member, at most `MAX_INCARNATION`.
        state: Status of the member.
        zone: Number of the member's zone; None if it is unknown.

    Returns:
        An integer of at most `ENCODED_STATE_BYTES` bytes.
    """
    zone_field = 0 if zone is None else min(zone + 1, ZONE_MASK)
    return incarnation << INCARNATION_SHIFT | state << ZONE_BITS | zone_field


def is_encoded_state(value: int) -> bool:
    """Return whether an integer is the encoded state of a member."""
    return value <= MAX_ENCODED_STATE and value >> ZONE_BITS & STATE_MASK < len(STATES)


def state_of(encoded: int) -> State:
    """Return the status in an encoded state."""
    return STATES[encoded >> ZONE_BITS & STATE_MASK]


def zone_of(encoded: int) -> int | None:
    """Return the zone's number in an encoded state; None if it is unknown or too large to be encoded."""
    zone_field = encoded & ZONE_MASK
    return zone_field - 1 if 0 < zone_field < ZONE_MASK else None


def incarnation_of(encoded: int) -> int:
    """Return the incarnation in an encoded state."""
    return encoded >> INCARNATION_SHIFT


def conclude(encoded: int, after: State) -> int:
    """Return the encoded state of a member after a conclusion about it.

    Args:
        encoded: Known encoded state.
        after: New status.

    Raises:
        InvalidConclusionError: `CONCLUSIONS` does not allow it.
    """
    before = state_of(encoded)
    if (before, after) not in CONCLUSIONS:
        raise InvalidConclusionError(before, after)
    return encode_state(incarnation_of(encoded), after) | encoded & ZONE_MASK


def is_trusted(state: State) -> bool:
    """Return whether claims about others are accepted from a member with this status.

    A member that can send but not receive concludes that all others are gone. The others, which consider it
    gone, must not adopt its conclusions.
    """
    return state in TRUSTED


def refutation(own: int, claim: int) -> int | None:
    """Return the state by which a member refutes a claim about itself.

    A process thereby overrides the states of its earlier incarnations as soon as it receives them, even if
    its wall clock was set back.

    Args:
        own: Encoded state of the member itself.
        claim: Encoded state that others have of the member.

    Returns:
        None if there is nothing to refute.
    """
    if claim <= own or incarnation_of(claim) >= MAX_INCARNATION:
        return None
    if state_of(own) is not State.ALIVE and state_of(claim) in LIVE:
        return None  # a newer process of this member has started
    return encode_state(incarnation_of(claim) + 1, state_of(own)) | own & ZONE_MASK


MEMBERS_PER_BLOCK = 32  # Members per incrementally updated digest.


class MemberTable:
    """The greatest state received of each member, with digests for comparison with other tables.

    Args:
        size: Number of members.

    Attributes:
        states: Encoded state of each member, by number.
        block_digests: Digest of each block of `MEMBERS_PER_BLOCK` members.
        counts: Number of members by status.
    """

    def __init__(self, size: int) -> None:
        """Create a table with all members UNKNOWN."""
        self.states = array("Q", bytes(8 * size))
        self.block_digests = array("Q", bytes(8 * (size // MEMBERS_PER_BLOCK + 1)))
        self.counts = [size] + [0] * (len(State) - 1)

    def __len__(self) -> int:
        """Return the number of members."""
        return len(self.states)

    def state(self, number: int) -> State:
        """Return the status of a member."""
        return state_of(self.states[number])

    def merge(self, number: int, encoded: int) -> bool:
        """Merge a state of a member; return whether it overrides the known one."""
        before = self.states[number]
        if encoded <= before:
            return False
        self.states[number] = encoded
        self.block_digests[number // MEMBERS_PER_BLOCK] ^= hash_pair(number, before) ^ hash_pair(
            number, encoded
        )
        self.counts[state_of(before)] -= 1
        self.counts[state_of(encoded)] += 1
        return True

    def digest(self, first: int, end: int) -> int:
        """Return the digest of the states of members `first` to `end` - 1, 64 bits.

        Equal states have equal digests; a collision of different ones is very unlikely.
        """
        total = 0
        number = first
        while number < end:
            if number % MEMBERS_PER_BLOCK == 0 and number + MEMBERS_PER_BLOCK <= end:
                total ^= self.block_digests[number // MEMBERS_PER_BLOCK]
                number += MEMBERS_PER_BLOCK
            else:
                total ^= hash_pair(number, self.states[number])
                number += 1
        return total

    def live(self) -> int:
        """Return the number of live members."""
        return sum(self.counts[state] for state in LIVE)

    def members_in(self, states: Sequence[State]) -> Iterator[int]:
        """Iterate over the numbers of the members with one of these statuses; linear in the table's size."""
        return (number for number, encoded in enumerate(self.states) if state_of(encoded) in states)
