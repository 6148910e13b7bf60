"""The calls of discovery: watches that bring each change of the endpoint list, and whole lists."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from typing import cast

from ...admission.budget import DISCOVERY_CONNECTIONS, DescriptorAllowance
from ...balancer.events import State, Status
from ...system import SYSTEM, System
from ..memory_budget import MB, MemoryBudget
from ..upstream.classify import Response
from ..upstream.connection_pool import ConnectionPool
from ..upstream.exchange import Exchange
from ..upstream.limits import ConnectionLimits
from .codec import (
    EndpointListError,
    EndpointUpdate,
    NameTable,
    parse_endpoint_update,
)
from .watch_schedule import (
    ANSWER_TIMEOUT_S,
    CONNECT_TIMEOUT_S,
    LIST_READ_GRACE_S,
    MAX_OPEN_CALLS,
    MIN_CALL_INTERVAL_S,
    OVERDUE_POLLED_S,
    OVERDUE_PUSHED_S,
    RETRY_PUSHED_S,
    WATCH_IMMEDIATE_MS,
    WATCH_POLLED_MS,
    WATCH_PUSHED_MS,
    PollSchedule,
)

log = logging.getLogger("dykefold.discovery")

MAX_LIST_BYTES = 4 * 1024 * 1024
MAX_CALLS_BYTES = 192 * MB  # the limit of the calls' own memory budget, as for a process
IDLE_TIMEOUT_S = 30.0  # of a connection between two calls
DISCOVERY = 0  # the one target of the calls' own connections
TARGET = "/api/targets"


class ListCall(Exchange):
    """One call of discovery."""

    __slots__ = ()
    read_within = LIST_READ_GRACE_S


class ListSource:
    """Discovery at one address, and how far its list is known.

    Attributes:
        address: host and port.
        host: the same as text; it names the source.
        version: the index of the list that is known; None: a whole list must come first.
        accepted: how many answers have been accepted.
        calls: the connections of the calls.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, address: tuple[str, int], version: int | None, system: System
    ) -> None:
        """Prepare calls of an address; `version` is what is known of its list."""
        self.address = address
        self.host = f"{address[0]}:{address[1]}"
        self.version = version
        self.accepted = 0
        # An allowance of its own: the cap on connections to servers must never keep the list from being read.
        allowance, memory = DescriptorAllowance(DISCOVERY_CONNECTIONS), MemoryBudget(MAX_CALLS_BYTES)
        limits = ConnectionLimits(allowance, memory, CONNECT_TIMEOUT_S, IDLE_TIMEOUT_S)
        self.calls = ConnectionPool(loop, limits, system=system)
        self.calls.update(DISCOVERY, address, 0, State.READY)

    def in_order(self, update: EndpointUpdate, accepted: int) -> EndpointUpdate:
        """Check an answer against those accepted before: calls in flight together may answer out of order.

        Args:
            update: the answer.
            accepted: how many answers had been accepted when the call was made.

        Returns:
            The update; an empty one in place of an answer that a newer one to another call overtook.

        Raises:
            EndpointListError: the answer does not follow the list that is known.
        """
        if self.version is None:
            if not update.complete:
                raise EndpointListError(
                    field="snapshot", value=update.complete, expected="true: the whole list comes first"
                )
        elif update.version < self.version:
            if accepted != self.accepted:
                return EndpointUpdate(self.version, False, [])
            if not update.complete:
                known, self.version = self.version, None
                raise EndpointListError(field="index", value=update.version, expected=f"{known} or more")
        return update

    def accept(self, update: EndpointUpdate) -> None:
        """Record that this update is part of the list from now on."""
        self.version = update.version
        self.accepted += 1


class DiscoveryClient:
    """Watches the endpoint list, and fetches it as a whole; a failed call ends no watch for good.

    A call that brings nothing in time stays open, and another is made beside it: whichever is answered
    first counts, and only then is the other one cancelled. So discovery never notifies a call that nobody
    reads any more, and a call that is cancelled had nothing to bring.

    Args:
        loop: runs the calls.
        address: host and port of discovery.
        names: numbers the endpoints.
        version: the index of the list that is known.
        system: the clocks and sockets.

    Attributes:
        on_update: called with each update, and with None for each failure of a watch or a fetch.
        pushed: discovery is an agent on the same machine, which only this client calls again after a failure.
        watching: a watch is open, or its next call is scheduled.
        called: when the latest call of the watch was made, in seconds of the monotonic clock.
        closed: the client makes no more calls.
        schedule: spreads the calls; None: each call is made as soon as it is wanted.
        listed_by: the source of the list that is known, as `host` names it.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        names: NameTable,
        version: int,
        on_update: Callable[[EndpointUpdate | None], None],
        pushed: bool,
        system: System = SYSTEM,
    ) -> None:
        """Prepare calls; the first is made by `watch` or `fetch`."""
        self.loop = loop
        self.system = system
        self.names = names
        self.on_update = on_update
        self.pushed = pushed
        self.watching = False
        self.watch_round = 0  # what was scheduled in an earlier round of watching is not done
        self.called = 0.0
        self.failing = False  # the last call failed
        self.closed = False
        self.schedule: PollSchedule | None = None
        self.open_calls: dict[ListCall, None] = {}  # of the watch, in the order in which they were made
        self.latest_call: ListCall | None = None  # of these
        self.source = ListSource(loop, address, version, system)
        self.previous: ListSource | None = None  # until the source in use has sent its list
        self.listed_by = self.source.host

    @property
    def version(self) -> int | None:
        """The index of the list that is known; None where a whole list must come first."""
        return self.source.version

    @property
    def address(self) -> tuple[str, int]:
        """Host and port of discovery."""
        return self.source.address

    @property
    def host(self) -> str:
        """The address of discovery as text."""
        return self.source.host

    def change_address(self, address: tuple[str, int]) -> None:
        """Call discovery at another address from now on, for a whole list first.

        The index there may have begun anew, so it is not compared with the old one. What the old source
        still sends on its open watch counts until the new one has sent its list, which may take a while;
        the old one gets no more calls.

        Args:
            address: host and port.
        """
        if self.closed or address == self.source.address:
            return
        log.info("discovery address changed to %s:%d", *address)
        self._close_previous()
        self.previous, self.source = self.source, ListSource(self.loop, address, None, self.system)
        self.open_calls.clear()
        self.latest_call = None
        self.watching = False
        if self.schedule is not None:
            self.schedule.moved()
        self.watch(True)

    def change_settings(self, pushed: bool) -> None:
        """Follow changed settings: who calls again after a failure, and how long calls wait.

        Args:
            pushed: as the attribute.
        """
        if pushed == self.pushed:
            return
        self.pushed = pushed
        if pushed:  # the open call waits as for a service, or the balancer was to retry and no longer does
            self.poll_now()

    def _close_previous(self) -> None:
        previous, self.previous = self.previous, None
        if previous is not None:
            previous.calls.close()

    def adopt(self, version: int) -> None:
        """Record that the list of this index came another way, so that older answers count no more."""
        self.source.version = version
        self.source.accepted += 1
        self.listed_by = self.source.host

    def watch(self, on: bool) -> None:
        """Begin or end watching; the calls that are open stay open."""
        if on == self.watching:
            return
        self.watching = on
        self.watch_round += 1
        if on:
            self._schedule_call(self.schedule.watch_delay_s() if self.schedule is not None else 0.0)

    def poll_now(self) -> None:
        """Make a call at once, beside an open one or in place of a scheduled one."""
        if self.closed:
            return
        self.watching = True
        self.watch_round += 1
        self._call_watch(self.watch_round, WATCH_IMMEDIATE_MS if self.open_calls else self._wait_ms())

    def fetch(self) -> None:
        """Call for the whole list once."""
        self._call(TARGET, ANSWER_TIMEOUT_S, self._on_fetch_end)

    def _wait_ms(self) -> int:
        return WATCH_PUSHED_MS if self.pushed else WATCH_POLLED_MS

    def _schedule_call(self, wait_s: float) -> None:
        if wait_s > 0.0:
            self.loop.call_later(wait_s, self._call_watch, self.watch_round, self._wait_ms())
        else:
            self._call_watch(self.watch_round, self._wait_ms())

    def _call_watch(self, watch_round: int, wait_ms: int) -> None:
        if watch_round != self.watch_round or self.closed:
            return
        self.called = self.system.monotonic()
        target, wait_s = TARGET, 0.0
        if self.version is not None:
            target += f"?after={self.version}&wait_ms={wait_ms}"
            wait_s = wait_ms / 1000
        self.latest_call = None  # what ends from here on frees its place, and is no failure
        while len(self.open_calls) >= MAX_OPEN_CALLS:
            next(iter(self.open_calls)).give_up(Status.CANCELLED)
        call = self.latest_call = self._call(target, wait_s + ANSWER_TIMEOUT_S, self._on_watch_end)
        self.open_calls[call] = None
        waits = wait_s > 0.0 and wait_ms != WATCH_IMMEDIATE_MS
        if self.pushed:
            overdue_s = wait_s + OVERDUE_PUSHED_S if waits else RETRY_PUSHED_S
            self.loop.call_later(overdue_s, self._on_overdue, watch_round, call)
        elif waits:  # a service serves other callers first: a call that does not wait has its whole time
            self.loop.call_later(wait_s + OVERDUE_POLLED_S, self._on_overdue, watch_round, call)

    def _on_overdue(self, watch_round: int, call: ListCall) -> None:
        """Call beside a silent watch: the changes that it misses count as notified."""
        if call is self.latest_call and not call.ended:
            self._call_watch(watch_round, WATCH_IMMEDIATE_MS)

    def _call(
        self, target: str, within: float, done: Callable[[ListCall, EndpointUpdate | None, str], None]
    ) -> ListCall:
        """Make one call.

        Args:
            target: path and query.
            within: seconds until the call fails.
            done: called at its end with the update, or with None and the reason of the failure.
        """
        source = self.source
        payload = f"GET {target} HTTP/1.1\r\nHost: {source.host}\r\nAccept: application/json\r\n\r\n".encode()
        accepted = source.accepted

        def ended(call: Exchange, status: Status, answer: Response | None) -> None:
            if self.closed or (source is not self.source and source is not self.previous):
                return  # an answer of a source that is in use no more
            update, reason = None, status.name
            if status is Status.OK and answer is not None:
                try:
                    parsed = parse_endpoint_update(json.loads(answer.body), self.names)
                    update = source.in_order(parsed, accepted)
                except (ValueError, RecursionError) as error:
                    reason = str(error)
            elif answer is not None:
                reason = f"answer {answer.code}"
            if source is self.source:
                done(cast(ListCall, call), update, reason)
            elif update is not None:
                self._accept(source, update)

        if self.schedule is not None:
            self.schedule.called()
        call = ListCall(payload, ended, MAX_LIST_BYTES)
        source.calls.start(DISCOVERY, call, within)
        return call

    def _on_watch_end(self, call: ListCall, update: EndpointUpdate | None, reason: str) -> None:
        self.open_calls.pop(call, None)
        if update is None:
            if call is self.latest_call:  # else another is in flight, or the next one is scheduled
                self._on_watch_failure(reason)
            return
        self._record_outcome(update, reason)
        self.latest_call = None
        for other in list(self.open_calls):  # what they would bring is in this answer, or in the next
            other.give_up(Status.CANCELLED)
        self.watching = True
        self.watch_round += 1  # a call that was scheduled is not wanted
        watch_round = self.watch_round
        try:
            self._accept(self.source, update)
        finally:
            # An agent that answers at once with nothing new must not be called in a tight loop; a pause of
            # less than 200 ms ends no watch.
            pause = 0.0 if update.entries else MIN_CALL_INTERVAL_S - (self.system.monotonic() - self.called)
            if self.schedule is not None:
                pause = max(pause, self.schedule.next_call_delay_s())
            if watch_round == self.watch_round:
                self._schedule_call(pause)

    def _on_watch_failure(self, reason: str) -> None:
        self._record_outcome(None, reason)
        self.watch(False)
        if self.pushed:  # only this client calls an agent again; the balancer just waits for its updates
            self.loop.call_later(RETRY_PUSHED_S, self.watch, True)
        self.on_update(None)

    def _on_fetch_end(self, _: ListCall, update: EndpointUpdate | None, reason: str) -> None:
        self._record_outcome(update, reason)
        if update is None:
            self.on_update(None)
        else:
            self._accept(self.source, update)

    def _record_outcome(self, update: EndpointUpdate | None, reason: str) -> None:
        """Notify the schedule; log only the first failure and the recovery, as an outage lasts."""
        if self.schedule is not None:
            if update is None:
                self.schedule.failed()
            else:
                self.schedule.answered()
        if self.failing != (update is None):
            self.failing = update is None
            if self.failing:
                log.warning("discovery failed: %s", reason)
            else:
                log.info("discovery recovered")

    def _accept(self, source: ListSource, update: EndpointUpdate) -> None:
        source.accept(update)
        self.listed_by = source.host
        if source is self.source:
            self._close_previous()
        self.on_update(update)

    def close(self) -> None:
        """Make no more calls, and close the connections of those that are open."""
        self.closed = True
        self.watch(False)
        self.source.calls.close()
        self._close_previous()
