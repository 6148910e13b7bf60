"""What the view says to the decision module, and the module to the view. No I/O.

Names stand for servers between members, as the numbers of a process are its own: a checksum of a name is the
subject of a record, and what is ranked. Two names with one checksum share hints; a hint is only a prior.
"""

from __future__ import annotations

import zlib
from collections.abc import Mapping

from ..balancer.events import MembershipChanged
from .knowledge import Topic
from .member_state import zone_of
from .membership import Membership
from .subsetting import Ranking, subset_of

SAID_BY = 3  # others that must have found the same: two may share a fault, such as a cut of their own ...
SAID_LEAST = 2  # ... of a fleet so small that three would be most of it
USUAL_SAID_BY = 3  # others: then the middle one is not beyond what two good ones say
LIST_SPAN = 1 << 32  # versions are told modulo this
NO_SUBJECT = 0  # of what is about the fleet's one list service
MS = 1_000_000


def subject_of(name: str) -> int:
    return zlib.crc32(name.encode())


def enough(live: int) -> int:
    """How many other members must say so before a hint is one: a bad sidecar alone takes no server away."""
    return min(SAID_BY, max(SAID_LEAST, live // 2))


def say_found(view: Membership, now_ns: int, name: str, answers: bool) -> bool:
    """The module gave up on a server, or had an answer of it after that; whether the fleet is told.

    What enough others say is not said once more, unless it takes back what this member has said: a lost zone
    cost each of 60 sidecars a word on each of its servers, which all of them passed on. Who hears nobody may
    well be cut off from its servers too, and says nothing.
    """
    if view.alone:
        return False
    subject = subject_of(name)
    said = _said(view, now_ns, subject)
    own = said.pop(view.me, None)
    if own is None or own is answers:
        live = set(view.live(now_ns))
        same = sum(one is answers for origin, one in said.items() if origin in live)
        if same > SAID_BY or own is not None:
            return False
    view.say(now_ns, Topic.ANSWERS if answers else Topic.FAILS, subject, 0)
    return True


def say_list(view: Membership, now_ns: int, version: int) -> None:
    """Tell the version of the own list, if nobody is known to have a newer one."""
    newest = newest_list(view, now_ns)
    if newest is None or version % LIST_SPAN > newest:
        view.say(now_ns, Topic.LIST, NO_SUBJECT, version % LIST_SPAN)


def newest_list(view: Membership, now_ns: int) -> int | None:
    """The newest version that is told; None where none is.

    Where the list service moves its versions begin anew, and for as long as a record lasts this may be one of
    the old service's: a reason to ask that the answer does not bear out, which costs a call.
    """
    told = (record.value for record, _ in view.knowledge.about(now_ns, Topic.LIST, NO_SUBJECT))
    return max(told, default=None)


def say_calls(view: Membership, now_ns: int, spread_ns: int, answers: bool) -> None:
    """Tell over which time calls of the list service had better go, and whether it answers this member."""
    view.say(now_ns, Topic.CALLS, NO_SUBJECT, spread_ns // MS << 1 | answers)


def calls_told(view: Membership, now_ns: int) -> tuple[list[int], int | None]:
    """The spans that other live members tell, nanoseconds, and when one of them was answered last."""
    spans, answered_ns = [], None
    live = set(view.live(now_ns))
    for record, said_ns in view.knowledge.about(now_ns, Topic.CALLS, NO_SUBJECT):
        if record.origin != view.me and record.origin in live:
            spans.append((record.value >> 1) * MS)
            if record.value & 1:
                answered_ns = max(said_ns, answered_ns or 0)
    return spans, answered_ns


def event(
    view: Membership, now_ns: int, servers: Mapping[str, int], classes: Mapping[str, int], ranking: Ranking
) -> MembershipChanged:
    """What the module is to know now.

    Args:
        servers: by name, the module's number of each.
        classes: of requests, likewise.
        ranking: kept from one time to the next, of this member.
    """
    live = view.live(now_ns)
    if live == [view.me]:
        # Nobody is heard. Those who can't be may well be there and use the same servers: count on them all.
        return MembershipChanged(len(view.addresses), {})
    # Servers too are shared out among those who may be about to come back: else a mass restart would move
    # what each samples twice within seconds, a connection for each move.
    expected = view.expected(now_ns)
    zones = [(number, zone_of(view.table.words[number])) for number in expected]
    by_subject = {subject_of(name): number for name, number in servers.items()}
    placed = ranking.update(list(by_subject), view.zone, zones)
    others, least = set(live) - {view.me}, enough(len(live))
    failing: set[int] = set()
    answering: set[int] = set()
    for subject in view.knowledge.subjects(Topic.FAILS, Topic.ANSWERS):
        if subject in by_subject:
            said = [one for origin, one in _said(view, now_ns, subject).items() if origin in others]
            if sum(said) >= least:
                answering.add(by_subject[subject])
            if len(said) - sum(said) >= least:
                failing.add(by_subject[subject])
    ranks = {by_subject[subject]: rank for subject, rank in placed.items()}
    return MembershipChanged(
        len(expected), ranks, subset_of(zones), failing, answering, _usual(view, now_ns, classes)
    )


def say_usual(view: Membership, now_ns: int, usual: Mapping[str, float]) -> None:
    """Have the usual latencies of classes ready, nanoseconds by name, for members that start anew."""
    for name, took_ns in usual.items():
        view.say(now_ns, Topic.USUAL, subject_of(name), int(took_ns) // 1000)


def _usual(view: Membership, now_ns: int, classes: Mapping[str, int]) -> dict[int, float]:
    """By class, the middle one of what others tell; where one alone does, nothing, as it may be wrong."""
    usual = {}
    for name, number in classes.items():
        records = view.knowledge.about(now_ns, Topic.USUAL, subject_of(name))
        told = sorted(record.value for record, _ in records if record.origin != view.me and record.value)
        if len(told) >= USUAL_SAID_BY:
            usual[number] = 1000.0 * told[(len(told) - 1) // 2]
    return usual


def _said(view: Membership, now_ns: int, subject: int) -> dict[int, bool]:
    """By origin, whether its latest word on a server is an answer of it, or that it was given up on."""
    latest: dict[int, tuple[tuple[int, int], bool]] = {}
    for topic in (Topic.FAILS, Topic.ANSWERS):
        for record, _ in view.knowledge.about(now_ns, topic, subject):
            said = (record.incarnation, record.sequence), topic is Topic.ANSWERS
            latest[record.origin] = max(latest.get(record.origin, said), said)
    return {origin: answers for origin, (_, answers) in latest.items()}
