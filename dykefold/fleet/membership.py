"""A member's view of the fleet: datagrams and times in, datagrams and changes out. No I/O.

Reading order: `tick` (ask, conclude, compare, tell), `hear` (what the others say), `leave`.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass

from . import datagrams
from .datagrams import ENTRIES_MOST, MOST, SLICES_MOST, Datagram, Kind, Record
from .failure_detector import NONCES, PROBES_MOST, RELAYS_MOST, Health, Probe, Relay, Suspicions, Turns
from .gossip_queue import GossipQueue
from .knowledge import Knowledge, Topic
from .member_state import (
    INCARNATION_MOST,
    LIVE,
    State,
    Table,
    conclude,
    denial,
    incarnation_of,
    state_of,
    trusts,
    word,
)
from .rate_limits import (
    ALONE,
    ALONE_LONG,
    ASK_AGAIN,
    CONCLUDE,
    FANOUT,
    GOSSIP,
    HEARD_OF_ONE_PER_S,
    HEARD_PER_S,
    HELPERS,
    HELPERS_EVERY,
    JOIN,
    JOIN_MOST,
    LATE,
    LEAVING_NS,
    NEWS_EXTRA,
    OLDER_NS,
    RAISE,
    RELAY,
    RESTART_NS,
    SENT_PER_S,
    SYNC,
    SYNC_NOT_LIVE,
    RateLimits,
    TokenBucket,
)

ANSWERS_MOST = 4  # datagrams in answer to one comparison
LEAVE_TELLS = 6  # members that are told of the own end at once
KEPT_FOR_ANSWERS = 10.0  # datagrams of the budget that news and comparisons leave to questions and answers
GIVEN = 3  # members that tell one which starts anew what they know ...
WANTED_MOST = 8  # ... and so many are asked at the most: others that have just begun know nothing
GIVEN_GRAMS = 2  # datagrams of such an answer
NOTED_MOST = 4096  # changes that wait for whoever drains them

Address = tuple[str, int]


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """A member came to be in another state, or of another incarnation.

    Attributes:
        cause: in words, for people.
    """

    at_ns: int
    member: int
    before: State
    after: State
    incarnation: int
    cause: str


class Membership:
    """One member's. Whoever drives it sends what is in `out`, and calls `tick` when it says so."""

    def __init__(
        self,
        roster: Sequence[Address],
        me: int,
        zone: int | None,
        incarnation: int,
        pace: RateLimits,
        chance: random.Random,
        now_ns: int,
    ) -> None:
        """Begin to take part.

        Args:
            roster: the addresses of all members, in the order of their numbers.
            me: the own number.
            zone: the own one's number.
            incarnation: of this start, milliseconds since 1970; raised when others know a greater one.
            now_ns: on the clock that all later times are of, which never goes back.
        """
        self.pace, self.chance, self.zone = pace, chance, zone
        self.state = State.ALIVE
        self.incarnation = min(max(incarnation, 1), INCARNATION_MOST)
        self.out: list[tuple[int, bytes]] = []
        self.changes: list[MembershipChange] = []
        self.learned = False  # a record came that was new here; whoever drives it takes that back
        self.counts: Counter[str] = Counter()
        self.health = Health()
        self.sending = TokenBucket(SENT_PER_S, 2 * SENT_PER_S, now_ns)
        self.hearing = TokenBucket(HEARD_PER_S, HEARD_PER_S, now_ns)
        self.nonce = chance.randrange(NONCES)
        self.probe_ns = now_ns + chance.randrange(pace.period_ns)
        self.began_ns = self.heard_ns = self.due_ns = now_ns
        self.raised_ns = now_ns - pace.period_ns
        self._take_roster(roster, me, now_ns)

    def _take_roster(self, roster: Sequence[Address], me: int, now_ns: int) -> None:
        self.addresses = list(roster)
        self.me = me
        self.roster = datagrams.roster_of(roster)
        self.table = Table(len(roster))
        self.table.merge(me, self.own)
        self.news: GossipQueue[int] = GossipQueue()
        self.news.add(me)
        self.turns = Turns(me, self.chance)
        self.probes: dict[int, Probe] = {}
        self.relays: dict[int, Relay] = {}
        self.suspicions = Suspicions()
        self.knowledge = Knowledge(me)
        self.last: dict[int, int] = {}  # when each member was heard last
        self.older: dict[int, int] = {}  # when processes without a view were
        self.went: dict[int, int] = {}  # when members that lived were known to have gone, until they are back
        self.owed: dict[int, None] = {}  # members that don't know what is said of them
        self.buckets: dict[int, TokenBucket] = {}
        self.wanted: set[int] = set()  # members asked what they know
        self.given = 0  # ... and answers with something in them
        self.joined_ns = now_ns
        self.settled = len(roster) < 2
        self.sync_ns = now_ns + self.chance.randrange(self.pace.ns(JOIN) + 1)
        self.gossip_ns = now_ns

    def renumber(self, now_ns: int, roster: Sequence[Address], me: int) -> None:
        """Go by other numbers: what is known of an address goes on under its new one."""
        if list(roster) == self.addresses and me == self.me:
            return
        words = {address: self.table.words[number] for number, address in enumerate(self.addresses)}
        self._take_roster(roster, me, now_ns)
        for number, address in enumerate(roster):
            if number != me and words.get(address):
                self._learn(now_ns, number, words[address], "known under another number")

    # What others ask of it

    @property
    def own(self) -> int:
        return word(self.incarnation, self.state, self.zone)

    @property
    def alone(self) -> bool:
        """Nobody was heard for so long that this member can tell nothing of the others."""
        return self.due_ns - self.heard_ns > self.pace.ns(ALONE)

    def steady(self, now_ns: int) -> bool:
        """Whether the view has had the time to learn who is there."""
        return self.settled or now_ns - self.joined_ns >= self.pace.ns(JOIN_MOST)

    def live(self, now_ns: int) -> list[int]:
        """Members that count as carrying traffic, this one among them, in order."""
        if now_ns - self.heard_ns > self.pace.ns(ALONE_LONG):
            return [self.me]
        states = {*LIVE, State.UNKNOWN} if not self.steady(now_ns) else LIVE
        older = {number for number, heard in self.older.items() if now_ns - heard < OLDER_NS}
        return [
            number
            for number, said in enumerate(self.table.words)
            if state_of(said) in states or number in older or number == self.me
        ]

    def expected(self, now_ns: int) -> list[int]:
        """Members that carry traffic, or went so lately that they may be about to be started again."""
        lately = {number for number, at_ns in self.went.items() if now_ns - at_ns < RESTART_NS}
        return sorted(lately.union(self.live(now_ns)))

    def callers(self, now_ns: int) -> list[int]:
        """Members that may call what all of them call: those not heard of yet may be about to begin."""
        may = {number for number in range(len(self.table)) if self.table.state(number) is State.UNKNOWN}
        return sorted(may.union(self.expected(now_ns)))

    def say(self, now_ns: int, topic: Topic, subject: int, value: int) -> None:
        """Tell the fleet something that this member knows."""
        self.knowledge.say(now_ns, self.incarnation, topic, subject, value)

    # Times

    def tick(self, now_ns: int) -> int:
        """Do what is due; the time at which to call again."""
        self._mind_lateness(now_ns)
        if self.state is not State.LEFT:
            self._conclude(now_ns)
            self._ask(now_ns)
            self._compare(now_ns)
            self._tell_news(now_ns)
        dues = [self.probe_ns, self.sync_ns]
        dues += [min(probe.again_ns, probe.due_ns) for probe in self.probes.values()]
        dues += [relay.due_ns for relay in self.relays.values()]
        if self.news or self.knowledge.news or self.owed:
            dues.append(self.gossip_ns)
        suspicion = self.suspicions.next_ns(self._question_ns())
        if suspicion is not None:
            dues.append(suspicion)
        self.due_ns = max(min(dues), now_ns + self.pace.ns(GOSSIP) // 4)
        return self.due_ns

    def _mind_lateness(self, now_ns: int) -> None:
        """A process that stood still, or whose loop runs late, doubts itself before it doubts others.

        Its questions were answered while it could not hear, and what it was told may not be read yet.
        """
        late_ns = now_ns - self.due_ns
        if late_ns <= self.pace.ns(LATE):
            return
        self.counts["late"] += 1
        self.health.worse(1 + late_ns // self.pace.period_ns)
        self.probes.clear()
        self.suspicions.extend(late_ns + self.pace.period_ns)
        self.heard_ns += late_ns
        self.due_ns = now_ns

    def _conclude(self, now_ns: int) -> None:
        for nonce in [nonce for nonce, relay in self.relays.items() if relay.due_ns <= now_ns]:
            relay = self.relays.pop(nonce)
            self._send(now_ns, relay.asker, Kind.NACK, relay.nonce, relay.target)
        for nonce, probe in list(self.probes.items()):
            if probe.due_ns <= now_ns:
                del self.probes[nonce]
                self._unanswered(now_ns, probe)
            elif probe.again_ns <= now_ns:
                self._ask_again(now_ns, nonce, probe)
        if self.suspicions.due and not self.alone:
            # Guards against a denial that has not come through here: the answer to a question tells it.
            for number in self.suspicions.to_ask(now_ns + self._question_ns()):
                self._question(now_ns, number)
            for number in self.suspicions.over(now_ns):
                if now_ns - self.last.get(number, self.began_ns - 1) < self.pace.period_ns:
                    continue  # it speaks: what it says of itself is on its way
                after = conclude(self.table.words[number], State.GONE)
                self._learn(now_ns, number, after, "it let a suspicion stand")
        if self.table.counts[State.LEAVING]:
            for number in list(self.table.members(State.LEAVING)):
                if number != self.me and now_ns - self.last.get(number, self.began_ns) > LEAVING_NS:
                    after = conclude(self.table.words[number], State.LEFT)
                    self._learn(now_ns, number, after, "its end has had its time")

    # Asking

    def _ask(self, now_ns: int) -> None:
        if self.probe_ns > now_ns:
            return
        self.probe_ns = max(self.probe_ns + self.pace.period_ns, now_ns + self.pace.period_ns // 2)
        target = self.turns.next(self.table)
        if target is not None:
            self._question(now_ns, target)

    def _question_ns(self) -> int:
        """How long an answer to a question is waited for."""
        return self.pace.ns(CONCLUDE * self.health.scale)

    def _question(self, now_ns: int, target: int) -> None:
        if len(self.probes) >= PROBES_MOST:
            return
        self.nonce = (self.nonce + 1) % NONCES
        again_ns = now_ns + self.pace.ns(ASK_AGAIN * self.health.scale)
        self.probes[self.nonce] = Probe(target, now_ns, again_ns, now_ns + self._question_ns())
        self._send(now_ns, target, Kind.PING, self.nonce)

    def _ask_again(self, now_ns: int, nonce: int, probe: Probe) -> None:
        probe.again_ns += self.pace.ns(ASK_AGAIN * self.health.scale)
        self._send(now_ns, probe.target, Kind.PING, nonce)
        probe.tries += 1
        if probe.tries % HELPERS_EVERY == 1:
            helpers = self._some_live(HELPERS, probe.target, *probe.helpers)
            probe.helpers += helpers
            for helper in helpers:
                self._send(now_ns, helper, Kind.ASK, nonce, probe.target)

    def _unanswered(self, now_ns: int, probe: Probe) -> None:
        """Suspect a member, unless it is more likely that the fault lies here."""
        if self.last.get(probe.target, -1) >= probe.began_ns:
            self.health.better()
            return  # it speaks, if only to others: a way that is cut one way kills nobody
        if self.heard_ns < probe.began_ns:
            self.health.worse()
            return  # nobody at all was heard
        # Helpers that can't reach it say so; if all are silent, perhaps nothing comes through. One that
        # says so is enough: where many died at once most helpers are silent, and the fault is not here.
        if probe.helpers and not probe.nacks:
            self.health.worse()
        before = self.table.state(probe.target)
        if before in (State.ALIVE, State.UNKNOWN):
            after = conclude(self.table.words[probe.target], State.SUSPECT)
            self._learn(now_ns, probe.target, after, "neither it nor any helper answered")
        self.suspicions.shorten(probe.target, now_ns + self._stands_ns(own=True))

    def _some_live(self, most: int, *but: int) -> list[int]:
        """A few members at random that count as live."""
        found: list[int] = []
        size = len(self.addresses)
        for _ in range(6 * most):
            number = self.chance.randrange(size)
            new = number != self.me and number not in but and number not in found
            if new and self.table.state(number) in LIVE:
                found.append(number)
                if len(found) == most:
                    return found
        return found

    # Comparing with others

    def _compare(self, now_ns: int) -> None:
        if self.sync_ns > now_ns or len(self.addresses) < 2:
            return
        joining = not self.steady(now_ns)
        wait = self.pace.ns(JOIN if joining else SYNC)
        self.sync_ns = now_ns + int(wait * self.chance.uniform(0.75, 1.25))
        self.knowledge.expire(now_ns)
        peer = self._partner(now_ns, joining)
        if peer is not None:
            self._send_sums(now_ns, peer, 0, len(self.addresses), slices=1)

    def _partner(self, now_ns: int, joining: bool) -> int | None:
        """With whom to compare words: now and then with one that is not counted as live.

        Guards against two halves that lost each other for so long that each counts the other as gone: else
        nobody would ever ask again.
        """
        anyone = joining or self.alone or self.chance.randrange(SYNC_NOT_LIVE) == 0
        if not anyone:
            live = self._some_live(1)
            return live[0] if live else None
        size = len(self.addresses)
        number = None
        for _ in range(8):
            number = (self.me + 1 + self.chance.randrange(size - 1)) % size
            if joining or self.table.state(number) not in LIVE:
                return number
        return number

    def _send_sums(self, now_ns: int, peer: int, low: int, high: int, slices: int = SLICES_MOST) -> bool:
        width = max(-(-(high - low) // slices), 1)
        sums = [self.table.sum(at, min(at + width, high)) for at in range(low, high, width)]
        gram = Datagram(Kind.SUMS, self.roster, self.own, span=(low, high, width), sums=sums)
        return self._post(now_ns, peer, gram, KEPT_FOR_ANSWERS)

    def _on_sums(self, now_ns: int, sender: int, gram: Datagram) -> None:
        low, high, width = gram.span
        if high > len(self.addresses):
            return
        differ = [
            (at, min(at + width, high))
            for at, told in zip(range(low, high, width), gram.sums, strict=True)
            if self.table.sum(at, min(at + width, high)) & 0xFFFFFFFF != told
        ]
        if not differ:
            # Two that have both just begun are equal as well: that shows nothing of those they have not met.
            if (low, high) == (0, len(self.addresses)) and not self.table.counts[State.UNKNOWN]:
                self.settled = True
            return
        self.counts["differ"] += 1
        self.chance.shuffle(differ)
        asked: list[tuple[int, int]] = []
        sent = 0
        for first, last in differ:
            if sent >= ANSWERS_MOST:
                return
            if last - first > ENTRIES_MOST:
                sent += self._send_sums(now_ns, sender, first, last)
                continue
            if len(asked) + last - first > ENTRIES_MOST:
                sent += self._send_words(now_ns, sender, Kind.WORDS, asked)
                asked = []
            asked += [(number, self.table.words[number]) for number in range(first, last)]
        if asked and sent < ANSWERS_MOST:
            self._send_words(now_ns, sender, Kind.WORDS, asked)

    def _send_words(self, now_ns: int, peer: int, kind: Kind, entries: list[tuple[int, int]]) -> bool:
        gram = Datagram(kind, self.roster, self.own, entries=entries)
        return self._post(now_ns, peer, gram, KEPT_FOR_ANSWERS)

    # Telling

    def _tell_news(self, now_ns: int) -> None:
        if self.gossip_ns > now_ns or not (self.news or self.knowledge.news or self.owed):
            return
        self.gossip_ns = now_ns + self.pace.ns(GOSSIP)
        while self.owed:
            peer = next(iter(self.owed))
            if not self._send(now_ns, peer, Kind.NEWS, kept=KEPT_FOR_ANSWERS):
                break
        if self.alone:
            return  # nobody hears it, or it hears nobody: what it concluded is not worth much
        for peer in self._some_live(FANOUT):
            if self.news or self.knowledge.news:
                self._send(now_ns, peer, Kind.NEWS, kept=KEPT_FOR_ANSWERS)

    def _limit(self, _: int) -> int:
        return len(self.addresses).bit_length() + NEWS_EXTRA

    def _send(
        self, now_ns: int, peer: int, kind: Kind, nonce: int = 0, about: int = 0, kept: float = 0.0
    ) -> bool:
        """Send a datagram, with news in the room that is left. Whether the budget allowed it."""
        if not self.sending.take(now_ns, kept):
            self.counts["unsent"] += 1
            return False
        entries: list[tuple[int, int]] = []
        records: list[Record] = []
        said = self.table.words[peer]
        if self.owed.pop(peer, self) is None or state_of(said) is State.SUSPECT:
            entries.append((peer, said))  # it may deny this
        if not self.alone:
            taken = self.news.take(ENTRIES_MOST - len(entries), self._limit)
            entries += [(number, self.table.words[number]) for number in taken if number != peer]
            records = self.knowledge.told(now_ns, datagrams.room(len(entries)))
        gram = Datagram(kind, self.roster, self.own, nonce, about, entries, records=records)
        self._put(peer, gram)
        return True

    def _post(self, now_ns: int, peer: int, gram: Datagram, kept: float) -> bool:
        if not self.sending.take(now_ns, kept):
            self.counts["unsent"] += 1
            return False
        self._put(peer, gram)
        return True

    def _put(self, peer: int, gram: Datagram) -> None:
        data = datagrams.write(gram)
        assert len(data) <= MOST
        self.counts["sent"] += 1
        self.counts[f"sent {gram.kind.name}"] += 1
        self.counts["sent bytes"] += len(data)
        self.out.append((peer, data))

    # Hearing

    def hear(self, now_ns: int, sender: int, data: bytes) -> None:
        """Take a datagram of the view from the member at an address of the roster."""
        if not 0 <= sender < len(self.addresses) or sender == self.me or self.state is State.LEFT:
            return
        # Guards against a flood: what is over the budget is dropped unread, a loud member's before others'.
        bucket = self.buckets.get(sender)
        if bucket is None:
            bucket = self.buckets[sender] = TokenBucket(HEARD_OF_ONE_PER_S, 2 * HEARD_OF_ONE_PER_S, now_ns)
        if not bucket.take(now_ns) or not self.hearing.take(now_ns):
            self.counts["over budget"] += 1
            return
        gram = datagrams.read(data)
        if gram is None:
            self.counts["not read"] += 1
            return
        self._mind_lateness(now_ns)
        self.counts["heard"] += 1
        self.heard_ns = self.last[sender] = now_ns
        self._meet(now_ns, sender, gram.own)
        if gram.roster == self.roster:
            self._take_words(now_ns, sender, gram)
            self._want(now_ns, sender)
        self._answer(now_ns, sender, gram)

    def heard_older(self, now_ns: int, sender: int) -> None:
        """The module's own message came from a member: it lives, whether it keeps a view or not."""
        if 0 <= sender < len(self.addresses):
            self.older[sender] = now_ns

    def _meet(self, now_ns: int, sender: int, own: int) -> None:
        """What a member says of itself; if worse is known, it is told, so that it can deny it."""
        known = self.table.words[sender]
        if own > known:
            self._learn(now_ns, sender, own, "it says so")
        elif own < known:
            self.owed[sender] = None

    def _want(self, now_ns: int, sender: int) -> None:
        """Having just begun, ask a few of the first that are heard what they know beside who is there."""
        if self.given >= GIVEN or len(self.wanted) >= WANTED_MOST or sender in self.wanted:
            return
        if self.table.state(sender) in LIVE and now_ns - self.joined_ns < self.pace.ns(JOIN_MOST):
            self.wanted.add(sender)
            self._send(now_ns, sender, Kind.WANT)

    def _give(self, now_ns: int, sender: int) -> None:
        most = datagrams.room(0)
        records = self.knowledge.digest(now_ns, most * GIVEN_GRAMS)
        for at in range(0, len(records), most):
            gram = Datagram(Kind.KNOWN, self.roster, self.own, records=records[at : at + most])
            self._post(now_ns, sender, gram, KEPT_FOR_ANSWERS)

    def _take_words(self, now_ns: int, sender: int, gram: Datagram) -> None:
        trusted = trusts(self.table.state(sender))
        size = len(self.addresses)
        for number, said in gram.entries:
            if number == self.me:
                self._deny(now_ns, said)
            elif trusted and number < size:
                self._learn(now_ns, number, said, f"told by {sender}")
        if trusted:
            for record in gram.records:
                if record.origin != self.me and record.origin < size:
                    self.learned |= self.knowledge.merge(now_ns, record)

    def _answer(self, now_ns: int, sender: int, gram: Datagram) -> None:
        kind, same = gram.kind, gram.roster == self.roster
        if kind is Kind.PING:
            self._send(now_ns, sender, Kind.ACK, gram.nonce)
        elif kind is Kind.ACK:
            self._on_ack(now_ns, sender, gram.nonce)
        elif kind is Kind.NACK:
            probe = self.probes.get(gram.nonce)
            if probe is not None and sender in probe.helpers:
                probe.nacks += 1
        elif not same:
            return
        elif kind is Kind.ASK:
            if gram.about < len(self.addresses) and gram.about != self.me and len(self.relays) < RELAYS_MOST:
                self.nonce = (self.nonce + 1) % NONCES
                due_ns = now_ns + self.pace.ns(RELAY)
                self.relays[self.nonce] = Relay(sender, gram.nonce, gram.about, due_ns)
                self._send(now_ns, gram.about, Kind.PING, self.nonce)
        elif kind is Kind.SUMS:
            self._on_sums(now_ns, sender, gram)
        elif kind is Kind.WANT:
            self._give(now_ns, sender)
        elif kind is Kind.KNOWN:
            self.given += 1
        elif kind is Kind.WORDS:
            more = [
                (number, self.table.words[number])
                for number, said in gram.entries
                if number < len(self.addresses) and self.table.words[number] > said
            ]
            if more:
                self._send_words(now_ns, sender, Kind.TOLD, more)

    def _on_ack(self, now_ns: int, sender: int, nonce: int) -> None:
        relay = self.relays.get(nonce)
        if relay is not None and relay.target == sender:
            del self.relays[nonce]
            self._send(now_ns, relay.asker, Kind.ACK, relay.nonce)
        probe = self.probes.get(nonce)
        if probe is not None and (sender == probe.target or sender in probe.helpers):
            del self.probes[nonce]
            self.health.better()

    def _deny(self, now_ns: int, said: int) -> None:
        """Something greater than the own word may be told of this member: say more than that."""
        denied = denial(self.own, said)
        if denied is None or now_ns - self.raised_ns < self.pace.ns(RAISE):
            return
        self.raised_ns = now_ns
        if incarnation_of(said) == self.incarnation:
            self.health.worse()
        self.incarnation = incarnation_of(denied)
        self._learn(now_ns, self.me, self.own, f"{state_of(said).name.lower()} was told of it")

    def _learn(self, now_ns: int, number: int, said: int, cause: str) -> None:
        before = self.table.state(number)
        if not self.table.merge(number, said):
            return
        after = state_of(said)
        self.news.add(number)
        if after in LIVE:
            self.went.pop(number, None)
        elif before in LIVE or before is State.UNKNOWN:  # one that has just begun is told of the gone
            self.went[number] = now_ns
        self.suspicions.heed(number, after, now_ns, self._stands_ns(own=False))
        if len(self.changes) < NOTED_MOST:
            self.changes.append(MembershipChange(now_ns, number, before, after, incarnation_of(said), cause))

    def _stands_ns(self, own: bool) -> int:
        """How long a suspicion stands here: of thousands with a timer each, some missed the denial."""
        return self.pace.suspicion_ns(len(self.addresses), own) * (2 if self.health.doubt >= 2 else 1)

    # The end

    def leave(self, now_ns: int, last: bool) -> None:
        """Tell that this member ends: first that it will, then, as the last thing, that it has."""
        self.state = State.LEFT if last else State.LEAVING
        self._learn(now_ns, self.me, self.own, "it ends")
        for peer in self._some_live(LEAVE_TELLS):
            self._send(now_ns, peer, Kind.NEWS)
