"""The list service of a rig, by PROTOCOL's format: one place, calls in turn, late, sometimes down."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import httptools

CHANGES_KEPT = 200


class Registry:
    """What is listed, and how calls are worked through.

    Args:
        calls_per_s: that it works through, one after the other.
        waiting_most: calls that wait their turn; one more is answered 503.
        late_s: until a change is listed.
        changes_kept: that it can tell by themselves; who knows less gets the whole list.
    """

    def __init__(
        self, calls_per_s: float, waiting_most: int, late_s: float, changes_kept: int = CHANGES_KEPT
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.calls_per_s = calls_per_s
        self.waiting_most = waiting_most
        self.late_s = late_s
        self.changes_kept = changes_kept
        self.version = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.waiting: list[Callable[[], None]] = []
        self.busy = False
        self.down = 0
        self.connections: set[Caller] = set()
        self.watchers: dict[Caller, int] = {}
        self.calls: Counter[int] = Counter()  # by second of the loop's time
        self.turned_away = 0
        self.told: dict[int, list[tuple[float, int]]] = {}  # by member, when it was told which version
        self.starts: dict[str, dict[int, float]] = {}  # by server, when each member was notified of its start
        self.since_s = 0.0  # when it last came to say something new, or to answer again

    def change(self, entry: dict[str, Any]) -> None:
        """A server has changed; the list says so some time later."""
        self.loop.call_later(self.late_s, self._change, entry)

    def _change(self, entry: dict[str, Any]) -> None:
        if entry["status"] == "DELETED":
            self.entries.pop(entry["name"], None)
        else:
            self.entries[entry["name"]] = entry
            self.starts[entry["name"]] = {}
        self.version += 1
        self.since_s = self.loop.time()
        self.changes.append((self.version, entry))
        del self.changes[: -self.changes_kept]
        for caller, after in list(self.watchers.items()):
            self.answer(caller, after)

    def fail(self, on: bool) -> None:
        """It is down, or up again: calls are reset, watches end."""
        self.down += 1 if on else -1
        self.since_s = self.loop.time()
        if self.down:
            self.told.clear()
            for caller in list(self.connections):
                caller.transport.abort()

    def moved(self) -> None:
        """The service goes on elsewhere, with an index that begins anew."""
        self.version = 1
        self.changes.clear()
        self.told.clear()
        self.since_s = self.loop.time()

    def listed(self) -> dict[int, float]:
        """By member, when it was first told the present version, since its start."""
        return {
            member: next(at_s for at_s, version in told if version == self.version)
            for member, told in self.told.items()
            if any(version == self.version for _, version in told)
        }

    def came(self, caller: Caller, target: str) -> None:
        """A call: it takes its turn, or is turned away."""
        self.calls[int(self.loop.time())] += 1
        if self.down:
            caller.transport.abort()
        elif len(self.waiting) >= self.waiting_most:
            self.turned_away += 1
            caller.reply(503, b"")
        else:
            self.waiting.append(lambda: self._work(caller, target))
            self._next()

    def _next(self) -> None:
        if not self.busy and self.waiting:
            self.busy = True
            self.loop.call_later(1.0 / self.calls_per_s, self._done, self.waiting.pop(0))

    def _done(self, work: Callable[[], None]) -> None:
        self.busy = False
        if not self.down:
            work()
        self._next()

    def _work(self, caller: Caller, target: str) -> None:
        query = parse_qs(urlsplit(target).query)
        if "after" not in query:
            self.answer(caller, None)
            return
        after = int(query["after"][0])
        if after == self.version:
            self.watchers[caller] = after
            self._note(caller)
            wait_s = min(int(query.get("wait_ms", ["0"])[0]), 60_000) / 1000
            self.loop.call_later(wait_s, self._tired, caller, after)
        else:
            self.answer(caller, after)

    def _tired(self, caller: Caller, after: int) -> None:
        if self.watchers.get(caller) == after:
            self.answer(caller, after)

    def answer(self, caller: Caller, after: int | None) -> None:
        self.watchers.pop(caller, None)
        oldest = self.changes[0][0] - 1 if self.changes else self.version
        whole = after is None or not oldest <= after <= self.version
        if whole:
            entries = list(self.entries.values())
        else:
            entries = [entry for version, entry in self.changes if after is not None and version > after]
        told = [
            {**{key: value for key, value in entry.items() if key != "addresses"},
             "address": entry["addresses"][caller.group]}
            for entry in entries
        ]  # fmt: skip
        self._note(caller)
        caller.reply(200, json.dumps({"index": self.version, "snapshot": whole, "endpoints": told}).encode())

    def _note(self, caller: Caller) -> None:
        """From now on this caller has the present list."""
        self.told.setdefault(caller.member, []).append((self.loop.time(), self.version))
        self.notify(caller.member)

    def notify(self, member: int) -> None:
        """From now on this member knows of every start that is listed."""
        for notified_s in self.starts.values():
            notified_s.setdefault(member, self.loop.time())

    def known(self, group: int) -> dict[str, Any]:
        """The list as a member of a group begins with it."""
        told = [{**entry, "address": entry["addresses"][group]} for entry in self.entries.values()]
        for entry in told:
            del entry["addresses"]
        return {"index": self.version, "snapshot": True, "endpoints": told}


class Caller(asyncio.Protocol):
    """A connection to the list service, of a member of one group."""

    def __init__(self, registry: Registry, member: int, group: int) -> None:
        self.registry = registry
        self.member = member
        self.group = group
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.came_s: float | None = None  # a call counts when it is read

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]
        self.registry.connections.add(self)
        if self.registry.down:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.registry.connections.discard(self)
        self.registry.watchers.pop(self, None)
        del self.parser

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_message_complete(self) -> None:
        target, self.target = self.target.decode("latin-1"), b""
        self.registry.came(self, target)

    def reply(self, code: int, body: bytes) -> None:
        """Answer the one call that is open."""
        if not self.transport.is_closing():
            head = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (code, len(body))
            self.transport.write(head + body)
