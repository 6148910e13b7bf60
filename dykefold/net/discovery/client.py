"""The list of servers: what discovery's answers say, and the calls that ask for them."""

from __future__ import annotations

import asyncio
import json
import logging
import socket
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Protocol

from ...admission.budget import CALLS, Allowance
from ...balancer.events import Endpoint, ListKind, Membership, State, Status
from ...system import SYSTEM, System
from ..memory_budget import MB, MemoryBudget
from ..upstream.classify import Response
from ..upstream.connection_pool import ConnectionPool
from ..upstream.exchange import Exchange

log = logging.getLogger("dykefold.discovery")

STATES = {"SERVING": State.READY, "DRAINING": State.DRAINING, "DELETED": State.GONE}
# The budget of a change (docs/design/discovery.md): it counts as told 6 s after a watch fell silent or a call
# failed, and not before 2 s after the end of a wait. So from the call on:
#   asked:  wait 20 s, overdue 0.8 s, the answer to the call beside it 1.2 s; after a failure the module
#           pauses 1.5 s at most, connect and answer take 3.5 s: 5 s
#   pushed: wait 2.5 s, overdue 0.5 s, a further call each 0.25 s, as what the agent has counts at once
WATCH_ASKED_MS = 20_000  # one service for all: a call of each process may take it 8 s
WATCH_PUSHED_MS = 2_500  # the agent is on the own machine, and calls of it cost nothing
WATCH_NOW_MS = 1  # of a call beside a silent one: whatever there is to tell, at once
OVERDUE_ASKED = 0.8  # seconds beyond a watch's wait, until another call is made beside it
OVERDUE_PUSHED = 0.5
AGAIN_PUSHED = 0.25  # seconds until the agent is called again that did not answer at once, or failed
OPEN_MOST = CALLS - 1  # calls of one watch that are out at once; the oldest goes
ANSWER_WITHIN = 3.5  # seconds beyond a watch's own wait: discovery works through calls in turn
LIST_READ_WITHIN = 0.1  # seconds more for an answer that has come and was not read yet: lists are long
CONNECT_WITHIN = 2.0
LIST_MOST = 4 * 1024 * 1024
CALLS_APART = 0.1  # seconds between calls that are answered at once with nothing new
NAMES_MOST = 256  # zones, and kinds, that are told apart
DISCOVERY = 0  # the one target of the calls' own connections


class EndpointListError(ValueError):
    """What came is no list of servers."""


@dataclass(slots=True)
class EndpointRecord:
    """One entry, with what only the sockets need."""

    name: str
    endpoint: Endpoint
    address: tuple[str, int]
    since_ms: int


@dataclass(slots=True)
class EndpointUpdate:
    """One answer of discovery."""

    version: int
    complete: bool
    entries: list[EndpointRecord]

    def membership(self, kind: ListKind | None = None) -> Membership:
        kind = kind or (ListKind.FULL if self.complete else ListKind.DELTA)
        return Membership(kind, self.version, [entry.endpoint for entry in self.entries])


class NameTable:
    """The numbers by which the module knows servers, zones and kinds."""

    def __init__(self, zones: list[str], kinds: list[str]) -> None:
        self.servers: dict[str, int] = {}
        self.zones = {name: number for number, name in enumerate(zones)}
        self.kinds = {name: number for number, name in enumerate(kinds)}
        self.next_server = 1

    def server(self, name: str) -> int:
        number = self.servers.get(name)
        if number is None:
            number = self.servers[name] = self.next_server
            self.next_server += 1
        return number

    def zone(self, name: str) -> int:
        return _number(self.zones, name)

    def kind(self, name: str) -> int:
        return _number(self.kinds, name)

    def keep(self, numbers: set[int]) -> None:
        """Forget servers that are known nowhere any more."""
        self.servers = {name: number for name, number in self.servers.items() if number in numbers}


def _number(known: dict[str, int], name: str) -> int:
    # Guards the memory: lists that go on naming new zones or kinds get one number for all of these.
    return known.setdefault(name, len(known)) if len(known) < NAMES_MOST else known.get(name, len(known))


def split_address(text: object, least_port: int = 1) -> tuple[str, int]:
    """A numeric address as host and port; ValueError if it is none."""
    host, _, port = str(text).rpartition(":")
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError:
        raise ValueError(f"no address: {text!r}") from None
    if not (port.isascii() and port.isdigit() and least_port <= int(port) < 65536):
        raise ValueError(f"no address: {text!r}")
    return host, int(port)


def parse_endpoint_update(data: object, names: NameTable) -> EndpointUpdate:
    """Read a list or a change of it, whole or not at all: an unreadable one leaves no names behind."""
    try:
        if not isinstance(data, dict) or not isinstance(data["endpoints"], list):
            raise EndpointListError("no list of endpoints")
        version, complete = int(data["index"]), bool(data["snapshot"])
        entries = [_read_entry(entry) for entry in data["endpoints"]]
    except (KeyError, TypeError, ValueError, OverflowError, AttributeError) as error:
        raise EndpointListError(f"{type(error).__name__}: {error}") from None
    for listed, zone, kind in entries:
        endpoint = listed.endpoint
        endpoint.server = names.server(listed.name)
        endpoint.zone, endpoint.kind = names.zone(zone), names.kind(kind)
    return EndpointUpdate(version, complete, [listed for listed, _, _ in entries])


def endpoint_update_record(
    version: int, entries: Iterable[EndpointRecord], names: NameTable
) -> dict[str, Any]:
    """A whole list in discovery's own form, as `parse_endpoint_update` reads it."""
    zones = {number: name for name, number in names.zones.items()}
    kinds = {number: name for name, number in names.kinds.items()}
    return {
        "index": version,
        "snapshot": True,
        "endpoints": [
            {
                "name": entry.name,
                "address": f"{entry.address[0]}:{entry.address[1]}",
                "zone": zones.get(entry.endpoint.zone, ""),
                "type": kinds.get(entry.endpoint.kind, ""),
                "group": entry.endpoint.cell,
                "status": "SERVING" if entry.endpoint.state is State.READY else "DRAINING",
                "weight": entry.endpoint.weight,
                "since_ms": entry.since_ms,
            }
            for entry in entries
        ],
    }


def _read_entry(entry: dict) -> tuple[EndpointRecord, str, str]:
    """An entry without its numbers, with the names of its zone and kind."""
    since_ms = int(entry.get("since_ms") or 0)
    if since_ms < 0:
        raise EndpointListError(f"since_ms is {since_ms}")
    endpoint = Endpoint(
        server=0,
        zone=0,
        kind=0,
        cell=int(entry.get("group") or 0),
        # A status of tomorrow is no invitation to send anything new.
        state=STATES.get(entry["status"], State.DRAINING),
        weight=float(entry.get("weight", 1.0)),
        started_ns=since_ms * 1_000_000,
    )
    listed = EndpointRecord(str(entry["name"]), endpoint, split_address(entry["address"]), since_ms)
    return listed, str(entry.get("zone", "")), str(entry.get("type", ""))


class PollSchedule(Protocol):
    """Says when calls may go out, and hears what became of them; seconds from now."""

    def opens_s(self) -> float:
        """Until a watch may be opened."""
        ...

    def goes_on_s(self) -> float:
        """Until the next call of a watch, after an answer."""
        ...

    def called(self) -> None: ...

    def answered(self) -> None: ...

    def failed(self) -> None: ...

    def moved(self) -> None: ...


class ListCall(Exchange):
    """A call of discovery. An answer that is there when its time is up has been told."""

    __slots__ = ()
    read_within = LIST_READ_WITHIN


class ListSource:
    """A discovery at one address, and how far its list is known."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, address: tuple[str, int], version: int | None, system: System
    ) -> None:
        self.address = address
        self.host = f"{address[0]}:{address[1]}"
        self.version = version  # None: a whole list is wanted first
        self.taken = 0  # answers
        # An allowance of its own: the cap on connections to servers must never keep the list from being read.
        self.calls = ConnectionPool(
            loop, Allowance(CALLS), MemoryBudget(192 * MB), CONNECT_WITHIN, 30.0, system=system
        )
        self.calls.update(DISCOVERY, address, 0, State.READY)

    def in_order(self, news: EndpointUpdate, taken: int) -> EndpointUpdate:
        """Guards the list against answers that come after a newer one to another call.

        Args:
            taken: answers that had been taken when the call went out.
        """
        if self.version is None:
            if not news.complete:
                raise EndpointListError("changes came in place of the whole list")
        elif news.version < self.version:
            if taken != self.taken:
                return EndpointUpdate(self.version, False, [])
            if not news.complete:
                self.version = None
                raise EndpointListError("the index went back")
        return news

    def take(self, news: EndpointUpdate) -> None:
        self.version = news.version
        self.taken += 1


class DiscoveryClient:
    """Watches and fetches when told to; any failure is news of its own and ends no watcher for good.

    A call that brings nothing in time is left open, and another is made beside it: whichever is answered
    first counts, and only then is the other one given up. So there is no moment in which something was told
    that nobody reads any more, and a call that was given up had nothing to tell.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        names: NameTable,
        version: int,
        heard: Callable[[EndpointUpdate | None], None],
        pushed: bool,
        system: System = SYSTEM,
    ) -> None:
        self.loop = loop
        self.system = system
        self.names = names
        self.heard = heard
        self.pushed = pushed
        self.watching = False
        self.round = 0  # of watching: what was planned in an earlier one is not done
        self.called = 0.0
        self.failing = False
        self.closed = False
        self.schedule: PollSchedule | None = None  # None: each call as soon as it is wanted
        self.open: dict[ListCall, None] = {}  # of the watch, in the order in which they went out
        self.latest: ListCall | None = None  # of these
        self.source = ListSource(loop, address, version, system)
        self.left: ListSource | None = None  # the one before, until this one has told its list
        self.listed_by = self.source.host  # who told the list that is held

    @property
    def version(self) -> int | None:
        """Of the list that is known; None where a whole one is wanted first."""
        return self.source.version

    @property
    def address(self) -> tuple[str, int]:
        return self.source.address

    @property
    def host(self) -> str:
        return self.source.host

    def turn(self, address: tuple[str, int]) -> None:
        """Go over to another discovery at once, with a whole list first.

        Guards against the new one's index having begun anew. What the old one still tells on the watch that
        is open counts until the new one has told its list, which may take a while; it is asked no more.
        """
        if self.closed or address == self.source.address:
            return
        log.info("discovery is now at %s:%d", *address)
        self._drop_left()
        self.left, self.source = self.source, ListSource(self.loop, address, None, self.system)
        self.open.clear()
        self.latest = None
        self.watching = False
        if self.schedule is not None:
            self.schedule.moved()
        self.watch(True)

    def retune(self, pushed: bool) -> None:
        """Go by other settings: who is to call after a failure, and how long calls wait.

        Args:
            pushed: discovery is an agent on the own machine, which nobody but this calls again.
        """
        if pushed != self.pushed:
            self.pushed = pushed
            if pushed:  # what is open waits as for a service, or the module was to call and does no more
                self.ask_now()

    def _drop_left(self) -> None:
        left, self.left = self.left, None
        if left is not None:
            left.calls.close()

    def adopt(self, version: int) -> None:
        """The list of this version has come another way: what is older is news no more."""
        self.source.version = version
        self.source.taken += 1
        self.listed_by = self.source.host

    def watch(self, on: bool) -> None:
        if on == self.watching:
            return
        self.watching = on
        self.round += 1
        if on:
            self._next_in(self.schedule.opens_s() if self.schedule is not None else 0.0)

    def ask_now(self) -> None:
        """Make a call at once, beside one that is open or in the place of one that is waited for."""
        if self.closed:
            return
        self.watching = True
        self.round += 1
        self._next_watch(self.round, WATCH_NOW_MS if self.open else self._wait_ms())

    def _wait_ms(self) -> int:
        return WATCH_PUSHED_MS if self.pushed else WATCH_ASKED_MS

    def _next_in(self, wait_s: float) -> None:
        if wait_s > 0.0:
            self.loop.call_later(wait_s, self._next_watch, self.round, self._wait_ms())
        else:
            self._next_watch(self.round, self._wait_ms())

    def fetch(self) -> None:
        self._call("/api/targets", ANSWER_WITHIN, self._fetched)

    def _next_watch(self, number: int, wait_ms: int) -> None:
        if number != self.round or self.closed:
            return
        self.called = self.system.monotonic()
        target, wait_s = "/api/targets", 0.0
        if self.version is not None:
            target += f"?after={self.version}&wait_ms={wait_ms}"
            wait_s = wait_ms / 1000
        self.latest = None  # what ends from here on makes room, and is no failure
        while len(self.open) >= OPEN_MOST:
            next(iter(self.open)).give_up(Status.CANCELLED)
        call = self.latest = self._call(target, wait_s + ANSWER_WITHIN, self._watched)
        self.open[call] = None
        waits = wait_s > 0.0 and wait_ms != WATCH_NOW_MS
        if self.pushed:
            overdue_s = wait_s + OVERDUE_PUSHED if waits else AGAIN_PUSHED
            self.loop.call_later(overdue_s, self._overdue, number, call)
        elif waits:  # the service gives others their turn first: one that should not wait has its time
            self.loop.call_later(wait_s + OVERDUE_ASKED, self._overdue, number, call)

    def _overdue(self, number: int, call: ListCall) -> None:
        """Guards against a watch that has fallen silent, and what it misses counts as told."""
        if call is self.latest and not call.ended:
            self._next_watch(number, WATCH_NOW_MS)

    def _call(
        self, target: str, within: float, done: Callable[[ListCall, EndpointUpdate | None, str], None]
    ) -> ListCall:
        source = self.source
        payload = f"GET {target} HTTP/1.1\r\nHost: {source.host}\r\nAccept: application/json\r\n\r\n".encode()
        taken = source.taken

        def ended(call: Exchange, status: Status, answer: Response | None) -> None:
            if self.closed or (source is not self.source and source is not self.left):
                return  # an answer of a discovery that has been left
            news, reason = None, status.name
            if status is Status.OK and answer is not None:
                try:
                    news = source.in_order(parse_endpoint_update(json.loads(answer.body), self.names), taken)
                except (ValueError, RecursionError) as error:
                    reason = str(error)
            elif answer is not None:
                reason = f"answer {answer.code}"
            if source is self.source:
                done(call, news, reason)  # type: ignore[arg-type]
            elif news is not None:
                self._take(source, news)

        if self.schedule is not None:
            self.schedule.called()
        call = ListCall(payload, ended, LIST_MOST)
        source.calls.start(DISCOVERY, call, within)
        return call

    def _watched(self, call: ListCall, news: EndpointUpdate | None, reason: str) -> None:
        self.open.pop(call, None)
        if news is None:
            if call is self.latest:  # else another is out, or the next one is planned
                self._note(None, reason)
                self.watch(False)
                if self.pushed:  # nobody asks the agent but this; the module only waits for what it tells
                    self.loop.call_later(AGAIN_PUSHED, self.watch, True)
                self.heard(None)
            return
        self._note(news, reason)
        self.latest = None
        for other in list(self.open):  # what they would tell is in this answer, or in the next
            other.give_up(Status.CANCELLED)
        self.watching = True
        self.round += 1  # a call that was planned is not wanted
        number = self.round
        try:
            self._take(self.source, news)
        finally:
            # Guards against asking an agent in a tight loop; a pause within 200 ms ends no watch.
            pause = 0.0 if news.entries else CALLS_APART - (self.system.monotonic() - self.called)
            if self.schedule is not None:
                pause = max(pause, self.schedule.goes_on_s())
            if number == self.round:
                self._next_in(pause)

    def _fetched(self, _: ListCall, news: EndpointUpdate | None, reason: str) -> None:
        self._note(news, reason)
        if news is None:
            self.heard(None)
        else:
            self._take(self.source, news)

    def _note(self, news: EndpointUpdate | None, reason: str) -> None:
        """Log the first failure and the recovery: an outage lasts, and what it says does not change."""
        if self.schedule is not None:
            if news is None:
                self.schedule.failed()
            else:
                self.schedule.answered()
        if self.failing != (news is None):
            self.failing = news is None
            if self.failing:
                log.warning("discovery failed: %s", reason)
            else:
                log.info("discovery answers again")

    def _take(self, source: ListSource, news: EndpointUpdate) -> None:
        source.take(news)
        self.listed_by = source.host
        if source is self.source:
            self._drop_left()
        self.heard(news)

    def close(self) -> None:
        self.closed = True
        self.watch(False)
        self.source.calls.close()
        self._drop_left()
