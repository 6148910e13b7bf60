"""The list service of a rig, in the format of PROTOCOL: one queue of calls, with delays and outages."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import httptools

MAX_CHANGES = 200


class Registry:
    """Serves the endpoint list to members.

    Args:
        calls_per_s: Calls per second that it serves, one after the other.
        max_waiting: Maximum number of waiting calls; a further one is answered with 503.
        list_delay_s: Seconds until a change is listed.
        max_changes: Number of changes that it can send by themselves; an older caller gets the whole list.

    Attributes:
        version: Version of the list.
        entries: Listed servers by name, with an address for each group of callers.
        changes: Latest changes, with the version of each.
        waiting: Waiting calls.
        busy: Whether a call is being served.
        down: Number of outages that hold now.
        connections: Open connections.
        watchers: Watches that wait for a change, with the version that each has.
        calls: Number of calls by second of the event loop's time.
        rejected_calls: Number of calls that found the queue full.
        notified_versions: Time and version of each list that a member was sent, by member.
        starts: Time at which each member was notified of a server's start, by name of the server.
        changed_s: Time of the latest change, move or end of an outage.
    """

    def __init__(
        self, calls_per_s: float, max_waiting: int, list_delay_s: float, max_changes: int = MAX_CHANGES
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.calls_per_s = calls_per_s
        self.max_waiting = max_waiting
        self.list_delay_s = list_delay_s
        self.max_changes = max_changes
        self.version = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.waiting: list[Callable[[], None]] = []
        self.busy = False
        self.down = 0
        self.connections: set[DiscoveryConnection] = set()
        self.watchers: dict[DiscoveryConnection, int] = {}
        self.calls: Counter[int] = Counter()
        self.rejected_calls = 0
        self.notified_versions: dict[int, list[tuple[float, int]]] = {}
        self.starts: dict[str, dict[int, float]] = {}
        self.changed_s = 0.0

    def change(self, entry: dict[str, Any]) -> None:
        """Change the entry of a server; it is listed after `list_delay_s`."""
        self.loop.call_later(self.list_delay_s, self._change, entry)

    def _change(self, entry: dict[str, Any]) -> None:
        if entry["status"] == "DELETED":
            self.entries.pop(entry["name"], None)
        else:
            self.entries[entry["name"]] = entry
            self.starts[entry["name"]] = {}
        self.version += 1
        self.changed_s = self.loop.time()
        self.changes.append((self.version, entry))
        del self.changes[: -self.max_changes]
        for connection, after in list(self.watchers.items()):
            self.send_list(connection, after)

    def fail(self, on: bool) -> None:
        """Begin or end an outage: calls are reset, watches end."""
        self.down += 1 if on else -1
        self.changed_s = self.loop.time()
        if self.down:
            self.notified_versions.clear()
            for connection in list(self.connections):
                connection.transport.abort()

    def moved(self) -> None:
        """Start again at another address, with the first version."""
        self.version = 1
        self.changes.clear()
        self.notified_versions.clear()
        self.changed_s = self.loop.time()

    def current_list_times(self) -> dict[int, float]:
        """Return the time at which each member was first sent the present version, by member."""
        return {
            member: next(at_s for at_s, version in listed if version == self.version)
            for member, listed in self.notified_versions.items()
            if any(version == self.version for _, version in listed)
        }

    def on_call(self, connection: DiscoveryConnection, target: str) -> None:
        """Queue a call, or reject it."""
        self.calls[int(self.loop.time())] += 1
        if self.down:
            connection.transport.abort()
        elif len(self.waiting) >= self.max_waiting:
            self.rejected_calls += 1
            connection.reply(503, b"")
        else:
            self.waiting.append(lambda: self._work(connection, target))
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

    def _work(self, connection: DiscoveryConnection, target: str) -> None:
        query = parse_qs(urlsplit(target).query)
        if "after" not in query:
            self.send_list(connection, None)
            return
        after = int(query["after"][0])
        if after == self.version:
            self.watchers[connection] = after
            self._note(connection)
            wait_s = min(int(query.get("wait_ms", ["0"])[0]), 60_000) / 1000
            self.loop.call_later(wait_s, self._on_wait_end, connection, after)
        else:
            self.send_list(connection, after)

    def _on_wait_end(self, connection: DiscoveryConnection, after: int) -> None:
        if self.watchers.get(connection) == after:
            self.send_list(connection, after)

    def send_list(self, connection: DiscoveryConnection, after: int | None) -> None:
        """Send the changes after a version; the complete list for None or a version that is too old."""
        self.watchers.pop(connection, None)
        oldest = self.changes[0][0] - 1 if self.changes else self.version
        complete = after is None or not oldest <= after <= self.version
        if complete:
            entries = list(self.entries.values())
        else:
            entries = [entry for version, entry in self.changes if after is not None and version > after]
        listed = [
            {**{key: value for key, value in entry.items() if key != "addresses"},
             "address": entry["addresses"][connection.group]}
            for entry in entries
        ]  # fmt: skip
        self._note(connection)
        connection.reply(
            200, json.dumps({"index": self.version, "snapshot": complete, "endpoints": listed}).encode()
        )

    def _note(self, connection: DiscoveryConnection) -> None:
        """Record that a connection has the present list."""
        self.notified_versions.setdefault(connection.member, []).append((self.loop.time(), self.version))
        self.notify(connection.member)

    def notify(self, member: int) -> None:
        """Record that a member knows every listed start."""
        for notified_s in self.starts.values():
            notified_s.setdefault(member, self.loop.time())

    def initial_list(self, group: int) -> dict[str, Any]:
        """Return the list that a member of a group starts with."""
        listed = [{**entry, "address": entry["addresses"][group]} for entry in self.entries.values()]
        for entry in listed:
            del entry["addresses"]
        return {"index": self.version, "snapshot": True, "endpoints": listed}


class DiscoveryConnection(asyncio.Protocol):
    """A connection of a member to the list service.

    Args:
        registry: The list service.
        member: Number of the member.
        group: Group of callers, which decides the addresses that it is sent.
    """

    def __init__(self, registry: Registry, member: int, group: int) -> None:
        self.registry = registry
        self.member = member
        self.group = group
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.came_s: float | None = None  # A call counts from when it is read.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection; during an outage it is reset."""
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]
        self.registry.connections.add(self)
        if self.registry.down:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection and its watch."""
        self.registry.connections.discard(self)
        self.registry.watchers.pop(self, None)
        del self.parser

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()

    def on_url(self, url: bytes) -> None:
        """Collect the target of the call."""
        self.target += url

    def on_message_complete(self) -> None:
        """Pass the call to the list service."""
        target, self.target = self.target.decode("latin-1"), b""
        self.registry.on_call(self, target)

    def reply(self, code: int, body: bytes) -> None:
        """Answer the open call."""
        if not self.transport.is_closing():
            head = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (code, len(body))
            self.transport.write(head + body)
