"""Carries out when the list service is called: between the pool's discovery, the decision, and the view."""

from __future__ import annotations

import asyncio
import logging
import random

from ..net.discovery.client import DiscoveryClient
from ..system import SYSTEM, System
from . import peer_observations
from .membership import Membership
from .poll_schedule import CoordinatedPollSchedule
from .rate_limits import SECOND

log = logging.getLogger("dykefold.fleet")


class EndpointListSync:
    """The schedule of one discovery, from the process's start on."""

    def __init__(
        self,
        discovery: DiscoveryClient,
        must_ask_ns: int,
        calls_per_s: float,
        place: int,
        fleet: int,
        seed: int,
        system: System = SYSTEM,
    ) -> None:
        """Take over when `discovery` calls.

        Args:
            place: the own number among `fleet` sidecars, until a view knows better.
        """
        self.discovery, self.system = discovery, system
        self.asking = CoordinatedPollSchedule(
            must_ask_ns, calls_per_s, place, fleet, random.Random(seed), system.monotonic_ns()
        )
        self.view: Membership | None = None
        self.later: asyncio.TimerHandle | None = None  # a call for what others told
        self.calling = False  # a call is open
        self.opens = True  # the next one begins a watch
        discovery.schedule = self

    @property
    def version(self) -> int:
        return (self.discovery.version or 0) % peer_observations.LIST_SPAN

    # What discovery asks and tells

    def opens_s(self) -> float:
        now_ns = self.system.monotonic_ns()
        self.opens = True
        return (self.asking.opens_ns(now_ns, self.version) - now_ns) / SECOND

    def goes_on_s(self) -> float:
        now_ns = self.system.monotonic_ns()
        due_ns = self.asking.goes_on_ns(now_ns, self.version)
        self.opens = due_ns > now_ns
        return (due_ns - now_ns) / SECOND

    def called(self) -> None:
        self.asking.called(self.system.monotonic_ns(), self.opens)
        self.calling = True
        self._drop_later()

    def answered(self) -> None:
        self.calling = False
        if self.asking.was_answered(self.system.monotonic_ns()):
            self._say()

    def failed(self) -> None:
        self.calling = False
        if self.asking.failed(self.system.monotonic_ns()):
            self._say()

    def moved(self) -> None:
        now_ns = self.system.monotonic_ns()
        self._drop_later()
        self.calling = False
        self.asking.moves(now_ns)
        newest = self._newest(now_ns)
        if newest is not None:
            self.asking.refute(newest)  # it counts at the old one

    # What the view tells

    def join(self, view: Membership) -> None:
        """Go by this view from now on."""
        self.view = view

    def count(self) -> None:
        """Who is there may have changed."""
        if self.view is not None:
            callers = self.view.callers(self.system.monotonic_ns())
            self.asking.take_fleet(callers.index(self.view.me), len(callers))

    def change_settings(self, must_ask_ns: int) -> None:
        """Take another time within which the rules want a call."""
        self.asking.must_ask_ns = must_ask_ns

    def heard(self) -> None:
        """A record came: perhaps the service is back, or has a newer list."""
        view, now_ns = self.view, self.system.monotonic_ns()
        if view is None or self.discovery.closed:
            return
        spans, answered_ns = peer_observations.calls_told(view, now_ns)
        self.asking.take_spread(spans)
        if self.later is not None:
            return  # it is about to call
        due_ns = None
        failed_ns = self.asking.failed_ns
        if failed_ns is not None and answered_ns is not None and answered_ns > failed_ns:
            due_ns = self.asking.hurries_ns(now_ns, self.version)
        elif self.calling and (newest := self._newest(now_ns)) is not None:
            due_ns = self.asking.doubts_ns(now_ns, self.version, newest)
        if due_ns is not None:
            wait_s = (due_ns - now_ns) / SECOND
            self.later = asyncio.get_running_loop().call_later(wait_s, self._ask_now)

    def _ask_now(self) -> None:
        self.later = None
        now_ns = self.system.monotonic_ns()
        newest = self._newest(now_ns)
        if self.asking.failed_ns is None:
            if newest is None or newest <= self.version:
                return  # it has come meanwhile
            log.info("others have list %d, this one %d: the watch is opened anew", newest, self.version)
        if newest is not None:
            self.asking.refute(newest)
        self.opens = True
        self.discovery.poll_now()

    def _drop_later(self) -> None:
        if self.later is not None:
            self.later.cancel()
            self.later = None

    def _newest(self, now_ns: int) -> int | None:
        return peer_observations.newest_list(self.view, now_ns) if self.view is not None else None

    def _say(self) -> None:
        if self.view is not None:
            now_ns = self.system.monotonic_ns()
            spread_ns = self.asking.spread_ns(now_ns)
            peer_observations.say_calls(self.view, now_ns, spread_ns, self.asking.failed_ns is None)

    def close(self) -> None:
        self._drop_later()
