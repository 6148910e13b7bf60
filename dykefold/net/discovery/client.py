"""Discovery client: watches return changes of the endpoint list, and fetches return the complete list."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from dataclasses import dataclass
from typing import cast

from ...balancer.events import Status
from ...system import SYSTEM, System
from ..upstream.classify import Response
from ..upstream.exchange import Exchange
from .codec import EndpointUpdate, NameTable, parse_endpoint_update
from .list_source import DISCOVERY_NUMBER, ListSource
from .watch_schedule import (
    ANSWER_TIMEOUT_S,
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
LIST_PATH = "/api/targets"


class ListCall(Exchange):
    """One call of discovery."""

    __slots__ = ()
    unread_response_extension_s = LIST_READ_GRACE_S
    max_stall_s = ANSWER_TIMEOUT_S  # Discovery may be slow within an answer, as it may be before one.


@dataclass(frozen=True, slots=True)
class DiscoveryOrigin:
    """Discovery as known at the start of a client.

    Attributes:
        address: Host and port of discovery.
        version: Index of the known endpoint list.
        pushed: Whether discovery is an agent on the same machine. Only the client calls an agent again after
            a failure; for a service the balancer requests the next call.
    """

    address: tuple[str, int]
    version: int
    pushed: bool


class DiscoveryClient:
    """Watches the endpoint list, and fetches the complete list.

    A watch that is silent for too long stays open, and another call is made in parallel to it. The first
    answer is used, and only then is the other call cancelled. So discovery never sends a change to an
    abandoned call, and a cancelled call had no change to return.

    The first call is made by `watch` or `fetch`.

    Args:
        loop: Event loop that runs the calls.
        origin: Address and kind of discovery, and the version of the known list.
        names: Table of the numbers of endpoints, zones and machine types.
        on_update: Callback that gets each update, and None for each failure of a watch or a fetch.
        system: Clocks and sockets.

    Attributes:
        pushed: Whether discovery is an agent on the same machine; see `DiscoveryOrigin`.
        watching: Whether a watch is open or its next call is scheduled.
        watch_round: Counter that increases whenever scheduled calls become obsolete.
        called_s: Monotonic time in seconds of the latest call of the watch.
        failing: Whether the latest call failed.
        closed: Whether the client makes no more calls.
        schedule: Schedule that spreads the calls; None if calls are not delayed.
        open_calls: Open calls of the watch, in the order in which they were made.
        latest_call: Latest of the open calls; None once its outcome no longer matters.
        source: Source that is called.
        previous: Source before a change of the address, until the current source has sent its list; None
            otherwise.
        listed_by: Name of the source of the known list, as in `host`.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        origin: DiscoveryOrigin,
        names: NameTable,
        on_update: Callable[[EndpointUpdate | None], None],
        system: System = SYSTEM,
    ) -> None:
        self.loop = loop
        self.system = system
        self.names = names
        self.on_update = on_update
        self.pushed = origin.pushed
        self.watching = False
        self.watch_round = 0
        self.called_s = 0.0
        self.failing = False
        self.closed = False
        self.schedule: PollSchedule | None = None
        self.open_calls: dict[ListCall, None] = {}
        self.latest_call: ListCall | None = None
        self.source = ListSource(loop, origin.address, origin.version, system)
        self.previous: ListSource | None = None
        self.listed_by = self.source.host

    @property
    def version(self) -> int | None:
        """Index of the known list; None if the next answer must be a complete list."""
        return self.source.version

    @property
    def address(self) -> tuple[str, int]:
        """Host and port of discovery."""
        return self.source.address

    @property
    def host(self) -> str:
        """Host and port of discovery as text."""
        return self.source.host

    def change_address(self, address: tuple[str, int]) -> None:
        """Switch to discovery at another address, beginning with a call for the complete list.

        The index at the new address may have started anew, so it is not compared with the previous one. The
        previous source gets no more calls, but answers to its open calls are accepted until the new source
        has sent its list.

        Args:
            address: Host and port of discovery.
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
            self.schedule.on_address_change()
        self.watch(True)

    def change_settings(self, pushed: bool) -> None:
        """Apply changed settings.

        Args:
            pushed: Whether discovery is an agent on the same machine; see `DiscoveryOrigin`.
        """
        if pushed == self.pushed:
            return
        self.pushed = pushed
        if pushed:
            # The open call has the long wait of a polled service; or a retry is due, which the balancer no
            # longer requests.
            self.poll_now()

    def _close_previous(self) -> None:
        """Close the connections of the previous source."""
        previous, self.previous = self.previous, None
        if previous is not None:
            previous.calls.close()

    def adopt(self, version: int) -> None:
        """Record a list that was obtained in another way, so that older answers are ignored.

        Args:
            version: Index of that list.
        """
        self.source.version = version
        self.source.answer_count += 1
        self.listed_by = self.source.host

    def watch(self, on: bool) -> None:
        """Start or stop watching; open calls stay open.

        Args:
            on: Whether to watch.
        """
        if on == self.watching:
            return
        self.watching = on
        self.watch_round += 1
        if on:
            self._schedule_call(self.schedule.watch_delay_s() if self.schedule is not None else 0.0)

    def poll_now(self) -> None:
        """Make a call immediately, in parallel to an open call or instead of a scheduled one."""
        if self.closed:
            return
        self.watching = True
        self.watch_round += 1
        self._call_watch(self.watch_round, WATCH_IMMEDIATE_MS if self.open_calls else self._wait_ms())

    def fetch(self) -> None:
        """Make one call for the complete list."""
        self._call(LIST_PATH, ANSWER_TIMEOUT_S, self._on_fetch_end)

    def _wait_ms(self) -> int:
        """Return the milliseconds that a watch lets discovery wait for a change."""
        return WATCH_PUSHED_MS if self.pushed else WATCH_POLLED_MS

    def _schedule_call(self, delay_s: float) -> None:
        """Make the next call of the watch, after a delay if there is one."""
        if delay_s > 0.0:
            self.loop.call_later(delay_s, self._call_watch, self.watch_round, self._wait_ms())
        else:
            self._call_watch(self.watch_round, self._wait_ms())

    def _call_watch(self, watch_round: int, wait_ms: int) -> None:
        """Make the next call of the watch, unless it has become obsolete since it was scheduled.

        Args:
            watch_round: Value of the attribute `watch_round` at the time of scheduling.
            wait_ms: Milliseconds that discovery may wait for a change.
        """
        if watch_round != self.watch_round or self.closed:
            return
        self.called_s = self.system.monotonic()
        target, wait_s = LIST_PATH, 0.0
        if self.version is not None:
            target += f"?after={self.version}&wait_ms={wait_ms}"
            wait_s = wait_ms / 1000
        self.latest_call = None  # From here on, the end of an older call is not a failure.
        while len(self.open_calls) >= MAX_OPEN_CALLS:
            next(iter(self.open_calls)).give_up(Status.CANCELLED)
        call = self.latest_call = self._call(target, wait_s + ANSWER_TIMEOUT_S, self._on_watch_end)
        self.open_calls[call] = None
        waits = wait_s > 0.0 and wait_ms != WATCH_IMMEDIATE_MS
        if self.pushed:
            overdue_s = wait_s + OVERDUE_PUSHED_S if waits else RETRY_PUSHED_S
            self.loop.call_later(overdue_s, self._on_overdue, watch_round, call)
        elif waits:  # A service may serve other clients first, so other calls get their full timeout.
            self.loop.call_later(wait_s + OVERDUE_POLLED_S, self._on_overdue, watch_round, call)

    def _on_overdue(self, watch_round: int, call: ListCall) -> None:
        """Make a call in parallel to a silent watch, since changes count as notified meanwhile."""
        if call is self.latest_call and not call.ended:
            self._call_watch(watch_round, WATCH_IMMEDIATE_MS)

    def _call(
        self, target: str, timeout_s: float, on_end: Callable[[ListCall, EndpointUpdate | None, str], None]
    ) -> ListCall:
        """Make one call.

        Args:
            target: Path and query of the call.
            timeout_s: Seconds until the call fails.
            on_end: Callback for the end of the call; gets the update, or None and the reason of the failure.

        Returns:
            The call.
        """
        source = self.source
        payload = f"GET {target} HTTP/1.1\r\nHost: {source.host}\r\nAccept: application/json\r\n\r\n".encode()
        answer_count = source.answer_count

        def handle_end(call: Exchange, status: Status, answer: Response | None) -> None:
            if self.closed or (source is not self.source and source is not self.previous):
                return  # The source is no longer in use.
            update, reason = None, status.name
            if status is Status.OK and answer is not None:
                try:
                    parsed = parse_endpoint_update(json.loads(answer.body), self.names)
                    update = source.check_order(parsed, answer_count)
                except (ValueError, RecursionError) as error:
                    reason = str(error)
            elif answer is not None:
                reason = f"answer {answer.code}"
            if source is self.source:
                on_end(cast(ListCall, call), update, reason)
            elif update is not None:
                self._accept(source, update)

        if self.schedule is not None:
            self.schedule.on_poll()
        call = ListCall(payload, handle_end, MAX_LIST_BYTES)
        source.calls.start(DISCOVERY_NUMBER, call, timeout_s)
        return call

    def _on_watch_end(self, call: ListCall, update: EndpointUpdate | None, reason: str) -> None:
        """Apply the answer to a call of the watch and schedule the next call, or handle the failure."""
        self.open_calls.pop(call, None)
        if update is None:
            if call is self.latest_call:  # Otherwise another call is in flight or scheduled.
                self._on_watch_failure(reason)
            return
        self._record_outcome(update, reason)
        self.latest_call = None
        for other in list(self.open_calls):  # Their changes are in this answer or in the next one.
            other.give_up(Status.CANCELLED)
        self.watching = True
        self.watch_round += 1  # A scheduled call is obsolete.
        watch_round = self.watch_round
        try:
            self._accept(self.source, update)
        finally:
            # An agent that answers immediately and without a change must not be called in a tight loop.
            # Discovery treats a watch as continuous over a pause of less than 200 ms.
            delay_s = (
                0.0 if update.entries else MIN_CALL_INTERVAL_S - (self.system.monotonic() - self.called_s)
            )
            if self.schedule is not None:
                delay_s = max(delay_s, self.schedule.next_call_delay_s())
            if watch_round == self.watch_round:
                self._schedule_call(delay_s)

    def _on_watch_failure(self, reason: str) -> None:
        self._record_outcome(None, reason)
        self.watch(False)
        if self.pushed:  # The balancer requests no calls of an agent.
            self.loop.call_later(RETRY_PUSHED_S, self.watch, True)
        self.on_update(None)

    def _on_fetch_end(self, _: ListCall, update: EndpointUpdate | None, reason: str) -> None:
        self._record_outcome(update, reason)
        if update is None:
            self.on_update(None)
        else:
            self._accept(self.source, update)

    def _record_outcome(self, update: EndpointUpdate | None, reason: str) -> None:
        """Notify the schedule, and log only the first failure of an outage and the recovery."""
        if self.schedule is not None:
            if update is None:
                self.schedule.on_failure()
            else:
                self.schedule.on_answer()
        if self.failing != (update is None):
            self.failing = update is None
            if self.failing:
                log.warning("discovery failed: %s", reason)
            else:
                log.info("discovery recovered")

    def _accept(self, source: ListSource, update: EndpointUpdate) -> None:
        """Apply an update from a source that is still in use."""
        source.accept(update)
        self.listed_by = source.host
        if source is self.source:
            self._close_previous()
        self.on_update(update)

    def close(self) -> None:
        """Stop making calls, and close the connections of open calls."""
        self.closed = True
        self.watch(False)
        self.source.calls.close()
        self._close_previous()
