"""The list of servers: what discovery's answers say, and the calls that ask for them."""

from __future__ import annotations

import asyncio
import json
import logging
import socket
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from functools import partial
from typing import Any, Protocol

from ..admission.budget import CALLS, Allowance
from ..interface import Endpoint, ListKind, Membership, State, Status
from ..system import SYSTEM, System
from .limits import MB, Memory
from .upstream import Answer, Exchange, Upstreams

log = logging.getLogger("dykefold.discovery")

STATES = {"SERVING": State.READY, "DRAINING": State.DRAINING, "DELETED": State.GONE}
WATCH_MS = 20_000
ANSWER_WITHIN = 3.5  # seconds beyond a watch's own wait: discovery works through calls in turn
CONNECT_WITHIN = 2.0
LIST_MOST = 4 * 1024 * 1024
CALLS_APART = 0.1  # seconds between calls that are answered at once with nothing new
PUSHED_AGAIN = 0.5  # seconds until the agent on the own machine is asked again after a failure
NAMES_MOST = 256  # zones, and kinds, that are told apart
DISCOVERY = 0  # the one target of the calls' own connections


class ListError(ValueError):
    """What came is no list of servers."""


@dataclass(slots=True)
class Listed:
    """One entry, with what only the sockets need."""

    name: str
    endpoint: Endpoint
    address: tuple[str, int]
    since_ms: int


@dataclass(slots=True)
class News:
    """One answer of discovery."""

    version: int
    complete: bool
    entries: list[Listed]

    def membership(self, kind: ListKind | None = None) -> Membership:
        kind = kind or (ListKind.FULL if self.complete else ListKind.DELTA)
        return Membership(kind, self.version, [entry.endpoint for entry in self.entries])


class Names:
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


def read_news(data: object, names: Names) -> News:
    """Read a list or a change of it, whole or not at all: an unreadable one leaves no names behind."""
    try:
        if not isinstance(data, dict) or not isinstance(data["endpoints"], list):
            raise ListError("no list of endpoints")
        version, complete = int(data["index"]), bool(data["snapshot"])
        entries = [_read_entry(entry) for entry in data["endpoints"]]
    except (KeyError, TypeError, ValueError, OverflowError, AttributeError) as error:
        raise ListError(f"{type(error).__name__}: {error}") from None
    for listed, zone, kind in entries:
        endpoint = listed.endpoint
        endpoint.server = names.server(listed.name)
        endpoint.zone, endpoint.kind = names.zone(zone), names.kind(kind)
    return News(version, complete, [listed for listed, _, _ in entries])


def write_news(version: int, entries: Iterable[Listed], names: Names) -> dict[str, Any]:
    """A whole list in discovery's own form, as `read_news` reads it."""
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


def _read_entry(entry: dict) -> tuple[Listed, str, str]:
    """An entry without its numbers, with the names of its zone and kind."""
    since_ms = int(entry.get("since_ms") or 0)
    if since_ms < 0:
        raise ListError(f"since_ms is {since_ms}")
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
    listed = Listed(str(entry["name"]), endpoint, split_address(entry["address"]), since_ms)
    return listed, str(entry.get("zone", "")), str(entry.get("type", ""))


class Schedule(Protocol):
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


class Discovery:
    """Watches and fetches when told to; any failure is news of its own and ends no watcher for good."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: tuple[str, int],
        names: Names,
        version: int,
        heard: Callable[[News | None], None],
        pushed: bool,
        system: System = SYSTEM,
    ) -> None:
        self.loop = loop
        self.system = system
        self.names = names
        self.version: int | None = version  # None: a whole list is wanted first
        self.heard = heard
        self.pushed = pushed
        self.watching = False
        self.round = 0  # of watching: a call of an earlier one goes on with nothing
        self.taken = 0  # answers
        self.called = 0.0
        self.failing = False
        self.closed = False
        self.schedule: Schedule | None = None  # None: each call as soon as it is wanted
        self.watch_call: Exchange | None = None
        self._connect(address)

    def _connect(self, address: tuple[str, int]) -> None:
        self.address = address
        self.host = f"{address[0]}:{address[1]}"
        # An allowance of its own: the cap on connections to servers must never keep the list from being read.
        self.calls = Upstreams(
            self.loop, Allowance(CALLS), Memory(192 * MB), CONNECT_WITHIN, 30.0, system=self.system
        )
        self.calls.update(DISCOVERY, address, 0, State.READY)

    def turn(self, address: tuple[str, int]) -> None:
        """Go over to another discovery at once, with a whole list first.

        Guards against the new one's index having begun anew, and against answers of the old one, which
        counts no longer and soon closes its connections.
        """
        if self.closed or address == self.address:
            return
        log.info("discovery is now at %s:%d", *address)
        old = self.calls
        self._connect(address)
        old.close()
        self.version = None
        self.watching = False
        if self.schedule is not None:
            self.schedule.moved()
        self.watch(True)

    def adopt(self, version: int) -> None:
        """The list of this version has come another way: what is older is news no more."""
        self.version = version
        self.taken += 1

    def watch(self, on: bool) -> None:
        if on == self.watching:
            return
        self.watching = on
        self.round += 1
        if on:
            self._next_in(self.schedule.opens_s() if self.schedule is not None else 0.0)

    def ask_now(self) -> None:
        """Begin a watch at once, in the place of one that is open or that is waited for."""
        if self.closed:
            return
        self.watching = True
        self.round += 1
        if self.watch_call is not None:
            self.watch_call.give_up(Status.CANCELLED)
        self._next_watch(self.round)

    def _next_in(self, wait_s: float) -> None:
        if wait_s > 0.0:
            self.loop.call_later(wait_s, self._next_watch, self.round)
        else:
            self._next_watch(self.round)

    def fetch(self) -> None:
        self._call("/api/targets", ANSWER_WITHIN, self._fetched)

    def _next_watch(self, number: int) -> None:
        if number != self.round:
            return
        self.called = self.system.monotonic()
        target, within = "/api/targets", ANSWER_WITHIN
        if self.version is not None:
            target += f"?after={self.version}&wait_ms={WATCH_MS}"
            within += WATCH_MS / 1000
        self.watch_call = self._call(target, within, partial(self._watched, number))

    def _call(self, target: str, within: float, done: Callable[[News | None, str], None]) -> Exchange:
        payload = f"GET {target} HTTP/1.1\r\nHost: {self.host}\r\nAccept: application/json\r\n\r\n".encode()
        calls, taken = self.calls, self.taken

        def ended(_: Exchange, status: Status, answer: Answer | None) -> None:
            if calls is not self.calls or self.closed:
                return  # an answer of a discovery that has been left
            news, reason = None, status.name
            if status is Status.OK and answer is not None:
                try:
                    news = self._in_order(read_news(json.loads(answer.body), self.names), taken)
                except (ValueError, RecursionError) as error:
                    reason = str(error)
            elif answer is not None:
                reason = f"answer {answer.code}"
            done(news, reason)

        if self.schedule is not None:
            self.schedule.called()
        exchange = Exchange(payload, ended, LIST_MOST)
        calls.start(DISCOVERY, exchange, within)
        return exchange

    def _in_order(self, news: News, taken: int) -> News:
        """Guards the list against answers that come after a newer one to a later call."""
        if self.version is None:
            if not news.complete:
                raise ListError("changes came in place of the whole list")
        elif news.version < self.version:
            if taken != self.taken:
                return News(self.version, False, [])
            if not news.complete:
                self.version = None
                raise ListError("the index went back")
        return news

    def _watched(self, number: int, news: News | None, reason: str) -> None:
        if number != self.round:
            return
        self._note(news, reason)
        if news is None:
            self.watch(False)
            if self.pushed:  # nobody asks the agent but this; the module only waits for what it tells
                self.loop.call_later(PUSHED_AGAIN, self.watch, True)
        try:
            self._take(news)
        finally:
            if news is not None:
                # Guards against asking an agent in a tight loop; a pause within 200 ms ends no watch.
                pause = 0.0 if news.entries else CALLS_APART - (self.system.monotonic() - self.called)
                if self.schedule is not None:
                    pause = max(pause, self.schedule.goes_on_s())
                if number == self.round:
                    self._next_in(pause)

    def _fetched(self, news: News | None, reason: str) -> None:
        self._note(news, reason)
        self._take(news)

    def _note(self, news: News | None, reason: str) -> None:
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

    def _take(self, news: News | None) -> None:
        if news is not None:
            self.version = news.version
            self.taken += 1
        self.heard(news)

    def close(self) -> None:
        self.closed = True
        self.watch(False)
        self.calls.close()
