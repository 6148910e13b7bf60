"""What the view says to the decision module, and the module to the view. No I/O.

Names stand for servers between members, as the numbers of a process are its own: a checksum of a name is the
subject of a record, and what is ranked. Two names with one checksum share hints; a hint is only a prior.
"""

from __future__ import annotations

import zlib
from collections import defaultdict
from collections.abc import Mapping

from .. import interface as api
from .coverage import part, ranks
from .knowledge import Topic
from .view import View
from .words import zone_of

SAID_BY = 3  # others that must have found the same: two may share a fault, such as a cut of their own ...
SAID_LEAST = 2  # ... of a fleet so small that three would be most of it
LIST_SPAN = 1 << 32  # versions are told modulo this


def subject_of(name: str) -> int:
    return zlib.crc32(name.encode())


def enough(live: int) -> int:
    """How many other members must say so before a hint is one: a bad sidecar alone takes no server away."""
    return min(SAID_BY, max(SAID_LEAST, live // 2))


def say_found(view: View, now_ns: int, name: str, answers: bool) -> bool:
    """The module gave up on a server, or had an answer of it after that; whether the fleet is told.

    What enough others say is not said once more, unless it takes back what this member has said: a lost zone
    cost each of 60 sidecars a word on each of its servers, which all of them passed on. Who hears nobody may
    well be cut off from its servers too, and says nothing.
    """
    if view.alone:
        return False
    subject = subject_of(name)
    own = _latest(view, now_ns, {view.me}).get((view.me, subject))
    if own is None or own[1] is answers:
        failing, answering = _found(view, now_ns, set(view.live(now_ns)))
        if (answering if answers else failing).get(subject, 0) > SAID_BY or own is not None:
            return False
    view.say(now_ns, Topic.ANSWERS if answers else Topic.FAILS, subject, 0)
    return True


def say_list(view: View, now_ns: int, discovery: str, version: int) -> None:
    """Tell the version of the own list, if nobody is known to have a newer one of the same discovery."""
    newest = newest_list(view, now_ns, discovery)
    if newest is None or version % LIST_SPAN > newest:
        view.say(now_ns, Topic.LIST, subject_of(discovery), version % LIST_SPAN)


def newest_list(view: View, now_ns: int, discovery: str) -> int | None:
    """The newest version that is told; None where none is."""
    subject = subject_of(discovery)
    told = (
        record.value for record, _ in view.knowledge.about(now_ns, Topic.LIST) if record.subject == subject
    )
    return max(told, default=None)


def event(view: View, now_ns: int, servers: Mapping[str, int]) -> api.Fleet:
    """What the module is to know now.

    Args:
        servers: by name, the module's number of each.
    """
    live = view.live(now_ns)
    if live == [view.me]:
        # Nobody is heard. Those who can't be may well be there and use the same servers: count on them all.
        return api.Fleet(len(view.addresses), {})
    zones = [(number, zone_of(view.table.words[number])) for number in live]
    by_subject = {subject_of(name): number for name, number in servers.items()}
    placed = ranks(list(by_subject), view.me, view.zone, zones)
    failing, answering = _found(view, now_ns, set(live))
    least = enough(len(live))
    return api.Fleet(
        view.expected(now_ns),
        {by_subject[subject]: rank for subject, rank in placed.items()},
        part(zones),
        frozenset(by_subject[one] for one, count in failing.items() if count >= least and one in by_subject),
        frozenset(
            by_subject[one] for one, count in answering.items() if count >= least and one in by_subject
        ),
    )


def _found(view: View, now_ns: int, live: set[int]) -> tuple[Mapping[int, int], Mapping[int, int]]:
    """How many other live members gave up on each server, and how many had an answer after that."""
    failing: defaultdict[int, int] = defaultdict(int)
    answering: defaultdict[int, int] = defaultdict(int)
    for (_, subject), (_, answers) in _latest(view, now_ns, live - {view.me}).items():
        (answering if answers else failing)[subject] += 1
    return failing, answering


def _latest(
    view: View, now_ns: int, origins: set[int]
) -> dict[tuple[int, int], tuple[tuple[int, int], bool]]:
    """The latest word of each of these members on each server: its order, and whether it is an answer."""
    latest: dict[tuple[int, int], tuple[tuple[int, int], bool]] = {}
    for topic in (Topic.FAILS, Topic.ANSWERS):
        for record, _ in view.knowledge.about(now_ns, topic):
            if record.origin in origins:
                key = (record.origin, record.subject)
                order = (record.incarnation, record.sequence)
                if key not in latest or order > latest[key][0]:
                    latest[key] = order, topic is Topic.ANSWERS
    return latest
