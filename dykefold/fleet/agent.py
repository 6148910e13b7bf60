"""Carries a view out: its datagrams beside the module's, its times, its log lines."""

from __future__ import annotations

import asyncio
import json
import logging
import random
from collections import deque
from collections.abc import Callable, Sequence
from typing import Any, Protocol

from ..balancer.events import Event
from ..control.admin_requests import Action, AdminRequest, AdminResponse
from ..net.discovery.client import DiscoveryClient
from ..net.discovery.codec import NameTable
from ..net.peers import Address, PeerChannel
from ..system import SYSTEM, System
from . import peer_observations
from .datagrams import is_ours
from .endpoint_list_sync import EndpointListSync
from .member_state import State, incarnation_of, state_of, zone_of
from .membership import Membership, MembershipChange
from .rate_limits import RESTART_NS, SECOND, RateLimits, TokenBucket
from .subsetting import Ranking

log = logging.getLogger("dykefold.fleet")

LINES_PER_S = 5.0  # of the log, on changes; as many at once
NOTED = 64  # latest changes that operators can ask for
LIST_S = 4.0  # after a new list, within which its version is told, if nobody has told it by then
USUAL_EVERY_NS = 10 * SECOND  # between two words on the usual latencies of classes, kept for who asks
TELL_S = 0.5  # between two words to the module on who is there


class Pool(Protocol):
    """The pool whose module uses the view."""

    names: NameTable
    version: int
    discovery: DiscoveryClient | None
    on_health_hint: Callable[[int, bool], None]

    def post(self, event: Event) -> None: ...

    def endpoint_numbers(self) -> dict[str, int]:
        """The numbers of the module's servers, by name."""
        ...

    def class_numbers(self) -> dict[str, int]:
        """The numbers of the module's classes, by name."""
        ...

    def typical_latencies(self) -> dict[str, float]:
        """By class, its usual latency, nanoseconds, where that is well known."""
        ...


class Node(Protocol):
    """The process that the view is of."""

    draining: bool  # it ends
    handing_over: bool  # a newer process takes clients in its place


class FleetAgent:
    """A process's part in the fleet's view, from its first datagram to its end."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        node: Node,
        peers: PeerChannel,
        roster: Sequence[Address],
        me: int,
        zone: int,
        price: float,
        seed: int,
        system: System = SYSTEM,
    ) -> None:
        """Take part.

        Args:
            peers: open already; what it hears goes through here from now on.
            roster: addresses of all members by number.
            price: of a datagram, as the settings state it.
        """
        self.loop, self.node, self.peers, self.system = loop, node, peers, system
        chance = self.chance = random.Random(seed)
        now_ns = system.monotonic_ns()
        wall_ms = system.time_ns() // 1_000_000
        self.view = Membership(roster, me, zone, wall_ms, RateLimits.by_price(price), chance, now_ns)
        self.ranking = Ranking(me)
        self.to_module = peers.on_datagram
        peers.on_datagram = self.hear
        self.latest: deque[MembershipChange] = deque(maxlen=NOTED)
        self.lines = TokenBucket(LINES_PER_S, LINES_PER_S, now_ns)
        self.unsaid = 0
        self.pool: Pool | None = None  # whose module hears of the fleet
        self.lists: EndpointListSync | None = (
            None  # when the list service is called, where that goes by the view
        )
        self.usual_ns = now_ns  # when the usual latencies are said next
        self.known = (0, 0)  # of its servers, so that new ones are seen
        self.telling: asyncio.TimerHandle | None = None
        self.listing: asyncio.TimerHandle | None = None
        self.recount: asyncio.TimerHandle | None = None
        self.closed = False
        self.timer = loop.call_later(0.0, self._tick)

    def serve(self, pool: Pool) -> None:
        """Tell a pool's module what the view says from now on, and the fleet what the module finds."""
        self.pool = pool
        pool.on_health_hint = self._found

    def spread(self, lists: EndpointListSync) -> None:
        """Have calls of the list service go by what the view says from now on."""
        self.lists = lists
        lists.join(self.view)

    def _found(self, server: int, answers: bool) -> None:
        assert self.pool is not None
        for name, number in self.pool.names.servers.items():
            if number == server:
                peer_observations.say_found(self.view, self.system.monotonic_ns(), name, answers)

    def hear(self, sender: int, data: bytes) -> None:
        """A datagram came from a member: the view's, or the module's own."""
        now_ns = self.system.monotonic_ns()
        if is_ours(data):
            self.view.hear(now_ns, sender, data)
            self._carry_out()
        else:
            self.view.heard_older(now_ns, sender)
            self.to_module(sender, data)

    def _tick(self) -> None:
        if self.closed:
            return
        now_ns = self.system.monotonic_ns()
        if self.node.handing_over:
            # Two processes at one address would each hear half of what is said to the member.
            log.info("a newer process keeps the view from here on")
            self.closed = True
            if self.peers.transport is not None:
                self.peers.transport.close()
            return
        if self.node.draining and self.view.state is State.ALIVE:
            self.view.leave(now_ns, last=False)
        if self.pool is not None:
            names = self.pool.names
            if now_ns >= self.usual_ns:
                self.usual_ns = now_ns + USUAL_EVERY_NS
                peer_observations.say_usual(self.view, now_ns, self.pool.typical_latencies())
            known = (names.next_server, self.pool.version)
            if known != self.known:
                self.known = known
                self._tell_soon()
                if self.listing is None:
                    self.listing = self.loop.call_later(self.chance.uniform(0, LIST_S), self._say_list)
        due_ns = self.view.tick(now_ns)
        self._carry_out()
        self.timer = self.loop.call_later((due_ns - now_ns) / SECOND, self._tick)

    def renumber(self, roster: Sequence[Address], me: int) -> None:
        """The configuration has other addresses or numbers; a list without this member changes nothing."""
        if not 0 <= me < len(roster):
            log.warning("the view stays as it was: member %d is not among %d peers", me, len(roster))
            return
        self.view.renumber(self.system.monotonic_ns(), roster, me)
        self.ranking = Ranking(me)
        self._carry_out()

    def close(self) -> None:
        """The process ends, and says so."""
        self.timer.cancel()
        for later in (self.telling, self.listing, self.recount):
            if later is not None:
                later.cancel()
        if not self.closed:
            self.closed = True
            self.view.leave(self.system.monotonic_ns(), last=True)
            self._carry_out()

    def _carry_out(self) -> None:
        view = self.view
        for peer, data in view.out:
            self.peers.send(data, peer)
        view.out.clear()
        if view.changes:
            for change in view.changes:
                self._note(change)
            view.changes.clear()
            self._tell_soon()
        if view.learned:
            view.learned = False
            if self.lists is not None:
                self.lists.heard()
            self._tell_soon()

    def _say_list(self) -> None:
        """Tell the version of the list; later than others, mostly, and then not at all."""
        self.listing = None
        if self.pool is not None and self.pool.discovery is not None and not self.closed:
            now_ns = self.system.monotonic_ns()
            peer_observations.say_list(self.view, now_ns, self.pool.version)

    def _tell_soon(self) -> None:
        if self.telling is None and self.pool is not None and not self.closed:
            self.telling = self.loop.call_later(TELL_S, self._tell)

    def _tell(self) -> None:
        self.telling = None
        now_ns = self.system.monotonic_ns()
        if self.pool is not None and self.view.steady(now_ns):
            if self.lists is not None:
                self.lists.count()
            named, classes = self.pool.endpoint_numbers(), self.pool.class_numbers()
            self.pool.post(peer_observations.event(self.view, now_ns, named, classes, self.ranking))
            if self.view.went and self.recount is None:
                self.recount = self.loop.call_later(RESTART_NS / SECOND, self._count_again)
        else:
            self._tell_soon()  # what is known of the fleet just now would be taken for all of it

    def _count_again(self) -> None:
        """Those who went have had the time to be started again."""
        self.recount = None
        self._tell_soon()

    def _note(self, change: MembershipChange) -> None:
        self.latest.append(change)
        if not self.lines.take(change.at_ns):
            self.unsaid += 1
            return
        more = f" ({self.unsaid} changes before it not said)" if self.unsaid else ""
        self.unsaid = 0
        log.info("%s%s", described(change), more)

    def in_brief(self) -> dict[str, Any]:
        """Who is live, as bits of a number in hexadecimal by member, and what the words on all sum up to."""
        view, now_ns = self.view, self.system.monotonic_ns()
        bits = sum(1 << number for number in view.live(now_ns))
        words = f"{view.table.sum(0, len(view.table)):016x}"
        return {"member": view.me, "live": f"{bits:x}", "words": words, "counts": dict(view.counts)}

    def _lists(self, now_ns: int) -> dict[str, int | None]:
        """The version of the own list of servers, and the newest that anybody tells."""
        if self.pool is None or self.pool.discovery is None:
            return {"own": None, "newest": None}
        newest = peer_observations.newest_list(self.view, now_ns)
        return {"own": self.pool.version, "newest": newest}

    def in_full(self) -> dict[str, Any]:
        """The view for people."""
        view, now_ns = self.view, self.system.monotonic_ns()
        live = set(view.live(now_ns))
        members = []
        for number, said in enumerate(view.table.words):
            host, port = view.addresses[number]
            heard_ns = view.last.get(number)
            members.append(
                {
                    "member": number,
                    "address": f"{host}:{port}",
                    "zone": zone_of(said),
                    "state": state_of(said).name.lower(),
                    "live": number in live,
                    "incarnation": incarnation_of(said),
                    "heard_s": None if heard_ns is None else round((now_ns - heard_ns) / SECOND, 3),
                }
            )
        return {
            "member": view.me,
            "live": len(live),
            "steady": view.steady(now_ns),
            "alone": view.alone,
            "doubt": view.health.doubt,
            "words": f"{view.table.sum(0, len(view.table)):016x}",
            "counts": dict(view.counts),
            "list": self._lists(now_ns),
            "members": members,
            "changes": [
                {"s_ago": round((now_ns - change.at_ns) / SECOND, 3), "what": described(change)}
                for change in self.latest
            ],
        }


class MembershipAdmin:
    """Answers those who ask for the view."""

    def __init__(self, fleet: FleetAgent, plan: Callable[[], dict[str, Any]] | None = None) -> None:
        self.fleet, self.plan = fleet, plan

    def carry_out(self, call: AdminRequest) -> AdminResponse:
        """The view, as JSON."""
        fleet = self.fleet
        if fleet.closed:
            return AdminResponse(503, "a newer process of this member keeps the view")
        if call.action is Action.PLAN:
            if self.plan is None:
                return AdminResponse(
                    404, "no failover: [failover] of the operator's file does not ask for it"
                )
            return AdminResponse(200, json.dumps(self.plan()))
        return AdminResponse(
            200, json.dumps(fleet.in_brief() if call.action is Action.BRIEF else fleet.in_full())
        )


def described(change: MembershipChange) -> str:
    """A change of state in words."""
    return (
        f"member {change.member} is {change.after.name.lower()}, was {change.before.name.lower()}: "
        f"{change.cause} (incarnation {change.incarnation})"
    )
