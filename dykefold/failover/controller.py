"""Carries the failover out: what the pool's attempts came to, what the view tells, and where home is."""

from __future__ import annotations

import asyncio
import logging
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import Any, Protocol

from ..balancer.events import Status
from ..fleet.datagrams import Record
from ..fleet.member_state import zone_of
from ..fleet.membership import Membership
from ..fleet.options import FailoverOptions as Options
from ..fleet.rate_limits import SECOND
from ..fleet.record_store import Topic
from ..system import SYSTEM, System
from .health_samples import ZONES_MOST, Came, Evidence, Sight
from .traffic_plan import BACK_STEPS, Course, Where, Zones, order_of
from .zone_health import HARDLY, SAID_BY, Pair, Verdict, judge

log = logging.getLogger("dykefold.failover")

STEP_S = 0.25  # between two looks
SAY_NS = SECOND  # between two words on what is seen, while anything is wrong
REPORTERS = 5  # sidecars of a zone, those that stand first, tell what they see


class Pool(Protocol):
    """The pool whose sidecar may move."""

    on_attempt_end: Callable[[int, Status, int, int], None] | None

    def ready_by_zone(self) -> dict[int, int]:
        """Ready servers by zone."""
        ...

    def tried_and_ejected_by_zone(self) -> dict[int, tuple[int, int]]:
        """By zone, how many servers have been tried, and how many of these the module has given up on."""
        ...

    def zone_of(self, server: int) -> int | None:
        """The zone of a server that is known; None for another."""
        ...

    def answered_since(self, server: int, took_ns: int) -> bool:
        """Whether a server has answered anything since an attempt began that has taken so long."""
        ...

    def set_home_zone(self, zone: int) -> None:
        """Take this zone for the own one from now on."""
        ...


class FailoverController:
    """A process's part in the failover."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        view: Membership,
        pool: Pool,
        zones: list[str],
        home: int,
        options: Options,
        system: System = SYSTEM,
    ) -> None:
        """Take part.

        Args:
            zones: their names by number, as the settings have them.
            home: the own zone.
        """
        self.loop, self.view, self.pool, self.system = loop, view, pool, system
        self.zones, self.home = zones[:ZONES_MOST], home
        self.options = options
        now_ns = system.monotonic_ns()
        self.evidence = Evidence()
        self.course = Course(home, now_ns)
        self.verdicts: dict[Pair, Verdict] = {}
        self.at = home  # the zone that the module takes for its own
        self.said_ns = now_ns - SAY_NS
        self.told: tuple[Where, float, frozenset[int]] | None = None
        self.closed = False
        pool.on_attempt_end = self._note
        self._look()

    # Evidence

    def _note(self, server: int, status: Status, took_ns: int, aim_ns: int) -> None:
        """An attempt has ended."""
        zone = self.pool.zone_of(server)
        if zone is None or status in (Status.NOT_ATTEMPTED, Status.CANCELLED):
            return
        now_ns = self.system.monotonic_ns()
        if status in (Status.OK, Status.ERROR):
            self.evidence.note(now_ns, zone, Came.GOOD if took_ns <= aim_ns else Came.LATE)
        elif status is Status.FULL:
            self.evidence.note(now_ns, zone, Came.FULL)
        elif status is Status.TIMEOUT and self.pool.answered_since(server, took_ns):
            self.evidence.note(now_ns, zone, Came.LATE)  # it answers others: it is slow, not silent

    def _say(self, now_ns: int, own: dict[int, Sight], order: list[int]) -> None:
        if now_ns - self.said_ns < SAY_NS or self.view.own_number not in order[:REPORTERS]:
            return
        self.said_ns = now_ns
        for zone, sight in own.items():
            if zone < len(self.zones):
                self.view.publish(now_ns, Topic.ZONE_HEALTH, zone, sight.packed())
        if self.course.level:
            self.view.publish(now_ns, Topic.FAILOVER_LEVEL, self.home, self.course.level)

    def _sights(self, now_ns: int, own: dict[int, Sight]) -> dict[Pair, list[Sight]]:
        """What live sidecars see, by their zone and the one they look at; the own sight is of now."""
        live = set(self.view.live_members(now_ns)) - {self.view.own_number}
        found: defaultdict[Pair, list[Sight]] = defaultdict(list)
        for zone in range(len(self.zones)):
            if zone in own:
                found[self.home, zone].append(own[zone])
            for record, origin in self._of_live(now_ns, Topic.ZONE_HEALTH, zone, live):
                found[origin, zone].append(Sight.read(record.value))
        return found

    def _of_live(self, now_ns: int, topic: Topic, subject: int, live: set[int]) -> list[tuple[Record, int]]:
        """Records of live sidecars on a zone, each with its origin's own zone."""
        told = self.view.records.on_subject(now_ns, topic, subject)
        zones = ((record, zone_of(self.view.table.states[record.origin])) for record, _ in told)
        return [(record, zone) for record, zone in zones if zone is not None and record.origin in live]

    def _left(self, now_ns: int, members: Counter[int]) -> frozenset[int]:
        """Zones whose sidecars say that they are away from them."""
        live = set(self.view.live_members(now_ns)) - {self.view.own_number}
        left = set()
        for zone in range(len(self.zones)):
            say = sum(origin == zone for _, origin in self._of_live(now_ns, Topic.FAILOVER_LEVEL, zone, live))
            if zone != self.home and say >= max(min(SAID_BY, members[zone]), 1):
                left.add(zone)
        return frozenset(left)

    def _held(self, now_ns: int, order: list[int]) -> list[int]:
        """The levels of those who tell for the own zone; who says nothing is at home."""
        told = self.view.records.on_subject(now_ns, Topic.FAILOVER_LEVEL, self.home)
        levels = {record.origin: min(record.value, BACK_STEPS + 1) for record, _ in told}
        levels[self.view.own_number] = self.course.level
        return [levels.get(member, 0) for member in order[:REPORTERS]]

    # The plan

    def _look(self) -> None:
        if self.closed:
            return
        self.timer = self.loop.call_later(STEP_S, self._look)
        now_ns = self.system.monotonic_ns()
        view = self.view
        own = self.evidence.sights(now_ns, self.pool.tried_and_ejected_by_zone())
        placed = self.pool.ready_by_zone()
        wrong = not placed.get(self.home) or any(sight.lost >= HARDLY for sight in own.values())
        told = view.records.subjects_of(Topic.ZONE_HEALTH, Topic.FAILOVER_LEVEL)
        quiet = not (wrong or told or self.options.out) and self.course.where is Where.HOME
        if quiet:
            self.verdicts = {}
            self.course.rest()
            return  # all is well, and it costs nothing
        live = view.live_members(now_ns)
        by_zone = {number: zone_of(view.table.states[number]) for number in live}
        members = Counter(zone for zone in by_zone.values() if zone is not None)
        beside = [number for number in live if by_zone[number] == self.home]
        heard = view.is_settled(now_ns) and len(live) > 1
        order = order_of(self.home, beside)
        self._say(now_ns, own, order)
        here = max(round(members[self.home] * (1.0 - self.course.part)), 1)
        self.verdicts = judge(self._sights(now_ns, own), {**members, self.home: here})
        zones = Zones(placed, self._regions(), self._out(), self._left(now_ns, members))
        if self.course.step(now_ns, self.verdicts, zones, heard, len(beside), self._held(now_ns, order)):
            self._tell_people()
        self._move(order)

    def _move(self, order: list[int]) -> None:
        if self.view.own_number not in order:
            return
        at = self.course.home_of(order.index(self.view.own_number) / len(order))
        if at != self.at:
            log.info("works in zone %s now, not in %s", self._name(at), self._name(self.at))
            self.at = at
            self.pool.set_home_zone(at)

    def _regions(self) -> dict[int, str]:
        regions = self.options.regions
        return {number: regions[name] for number, name in enumerate(self.zones) if name in regions}

    def _out(self) -> frozenset[int]:
        return frozenset(number for number, name in enumerate(self.zones) if name in self.options.out)

    def _name(self, zone: int) -> str:
        return self.zones[zone] if zone < len(self.zones) else str(zone)

    def _tell_people(self) -> None:
        course = self.course
        told = (course.where, course.part, frozenset(course.to))
        if told == self.told:
            return
        self.told = told
        to = ", ".join(f"{share:.2f} in {self._name(zone)}" for zone, share in course.to.items())
        log.info(
            "zone %s: %s, %.2f of its sidecars away%s; %s",
            self._name(self.home), course.where, course.part, f" ({to})" if to else "", course.cause,
        )  # fmt: skip

    def change_settings(self, zones: list[str], home: int, options: Options) -> None:
        """Take what the files say now. The pool has taken new settings, and with these their own zone."""
        self.options, self.zones = options, zones[:ZONES_MOST]
        if home != self.home:
            self.home = self.at = home
            self.course = Course(home, self.system.monotonic_ns())
            self.evidence = Evidence()
        elif self.at != home:
            self.pool.set_home_zone(self.at)

    def shown(self) -> dict[str, Any]:
        """The plan for people: the own zone's, what others say of theirs, and who sees what."""
        now_ns = self.system.monotonic_ns()
        live = set(self.view.live_members(now_ns)) - {self.view.own_number}
        away = {
            self._name(zone): sorted(record.value for record, of in said if of == zone)
            for zone in range(len(self.zones))
            if (said := self._of_live(now_ns, Topic.FAILOVER_LEVEL, zone, live))
        }
        course = self.course
        return {
            "zone": self._name(self.home),
            "works_in": self._name(self.at),
            "state": course.where.value,
            "cause": course.cause,
            "since_s": round((now_ns - course.since_ns) / SECOND, 3),
            "level": course.level,
            "away": round(course.part, 3),
            "to": {self._name(zone): round(share, 3) for zone, share in course.to.items()},
            "moves": course.moves,
            "others_levels": away,
            "verdicts": {
                f"{self._name(origin)} on {self._name(zone)}": verdict.value
                for (origin, zone), verdict in sorted(self.verdicts.items())
            },
        }

    def close(self) -> None:
        self.closed = True
        self.timer.cancel()
