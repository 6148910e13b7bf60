"""What is said of a member: its incarnation, state and zone, as one number. No I/O.

Two words on the same member merge to the greater one. So whatever the order, however often and by whomever
words are told, all who have heard the same ones hold the same view: a join-semilattice, and a total order.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator
from enum import IntEnum


class State(IntEnum):
    """In the order in which words of one incarnation override one another."""

    UNKNOWN = 0  # nothing was heard of it yet
    ALIVE = 1
    SUSPECT = 2  # somebody asked in vain; it may say that it lives
    LEAVING = 3  # it said that it ends
    GONE = 4  # it let a suspicion stand
    LEFT = 5  # it said that it has ended, or was leaving for longer than an end lasts


STATES = tuple(State)
STATE_BITS = 3
ZONE_BITS = 5
ZONE_MOST = (1 << ZONE_BITS) - 1  # a word has a zone's number plus one; 0 is not told, this is any beyond
INCARNATION_AT = STATE_BITS + ZONE_BITS
INCARNATION_MOST = (1 << 48) - 1  # milliseconds since 1970 reach it in the year 10889
WORD_BYTES = 7
WORD_MOST = (1 << 8 * WORD_BYTES) - 1

# What a member may conclude of another by itself, and why. All else is told by the member it is about, or by
# one that concluded it; and whatever is told stands only against lesser words.
CONCLUDES: dict[tuple[State, State], str] = {
    (State.UNKNOWN, State.SUSPECT): "neither it nor any helper answered, and the asker does not doubt itself",
    (State.ALIVE, State.SUSPECT): "neither it nor any helper answered, and the asker does not doubt itself",
    (State.SUSPECT, State.GONE): "nobody told for the time of a suspicion that it lives",
    (State.LEAVING, State.LEFT): "a planned end does not last so long",
}
LIVE = frozenset((State.ALIVE, State.SUSPECT))  # counts as one that carries traffic
ASKED = frozenset((State.UNKNOWN, State.ALIVE, State.SUSPECT))  # is asked whether it lives


def word(incarnation: int, state: State, zone: int | None = None) -> int:
    """Of a member in a zone, by its number; None where that is not known."""
    told = 0 if zone is None else min(zone + 1, ZONE_MOST)
    return incarnation << INCARNATION_AT | state << ZONE_BITS | told


def is_word(said: int) -> bool:
    return said <= WORD_MOST and said >> ZONE_BITS & 7 < len(STATES)


def state_of(said: int) -> State:
    return STATES[said >> ZONE_BITS & 7]


def zone_of(said: int) -> int | None:
    """The member's zone; None where it is not told, or has no number of its own."""
    told = said & ZONE_MOST
    return told - 1 if 0 < told < ZONE_MOST else None


def incarnation_of(said: int) -> int:
    return said >> INCARNATION_AT


def conclude(said: int, after: State) -> int:
    """The word that follows from a conclusion of one's own; ValueError where none may be drawn."""
    before = state_of(said)
    if (before, after) not in CONCLUDES:
        raise ValueError(f"nobody concludes {after.name} of a member that is {before.name}")
    return word(incarnation_of(said), after) | said & ZONE_MOST


def trusts(state: State) -> bool:
    """Whether words on others are taken from a member in this state.

    Guards against one that hears nobody and counts all as gone: it is gone itself for those who hear it.
    """
    return state in (State.ALIVE, State.SUSPECT, State.LEAVING)


def denial(own: int, said: int) -> int | None:
    """What a member says when this is said of it; None where it has nothing to deny.

    So a start outdoes the word of an earlier one, whatever its clock says, as soon as anybody is heard.
    """
    if said <= own or incarnation_of(said) >= INCARNATION_MOST:
        return None
    if state_of(own) is not State.ALIVE and state_of(said) in (State.ALIVE, State.SUSPECT):
        return None  # a newer process of this member has begun
    return word(incarnation_of(said) + 1, state_of(own)) | own & ZONE_MOST


BLOCK = 32  # members whose words are summed up together
_MASK = (1 << 64) - 1


def mix(number: int, said: int) -> int:
    """A number of 64 bits for a word on a member (the finaliser of splitmix64); 0 for no word at all."""
    if not said:
        return 0
    mixed = (said * 0x9E3779B97F4A7C15 ^ (number + 1) * 0xD1B54A32D192ED03) & _MASK
    mixed = ((mixed ^ mixed >> 30) * 0xBF58476D1CE4E5B9) & _MASK
    mixed = ((mixed ^ mixed >> 27) * 0x94D049BB133111EB) & _MASK
    return mixed ^ mixed >> 31


class Table:
    """The greatest word heard on each member, and sums of them that tell whether two tables are equal."""

    def __init__(self, size: int) -> None:
        self.words = array("Q", bytes(8 * size))
        self.sums = array("Q", bytes(8 * (size // BLOCK + 1)))
        self.counts = [size] + [0] * (len(State) - 1)  # members by state

    def __len__(self) -> int:
        return len(self.words)

    def state(self, number: int) -> State:
        return state_of(self.words[number])

    def merge(self, number: int, said: int) -> bool:
        """Take a word; whether it says more than what was known."""
        before = self.words[number]
        if said <= before:
            return False
        self.words[number] = said
        self.sums[number // BLOCK] ^= mix(number, before) ^ mix(number, said)
        self.counts[state_of(before)] -= 1
        self.counts[state_of(said)] += 1
        return True

    def sum(self, low: int, high: int) -> int:
        """Of the words on members `low` to `high` - 1: equal ones have equal sums, others hardly ever."""
        total = 0
        number = low
        while number < high:
            if number % BLOCK == 0 and number + BLOCK <= high:
                total ^= self.sums[number // BLOCK]
                number += BLOCK
            else:
                total ^= mix(number, self.words[number])
                number += 1
        return total

    def live(self) -> int:
        return sum(self.counts[state] for state in LIVE)

    def members(self, *states: State) -> Iterator[int]:
        """The numbers of those in any of these states; takes as long as the table is."""
        return (number for number, said in enumerate(self.words) if state_of(said) in states)
