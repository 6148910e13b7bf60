"""The discovery service (list service) of a rig, as in PROTOCOL, with queue, delays and outages."""

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
    """Discovery service that sends the endpoint list to members.

    Args:
        calls_per_s: Calls per second that it serves, one after the other.
        max_waiting: Maximum number of queued calls; further calls are answered with 503.
        list_delay_s: Seconds until a change is listed.
        max_changes: Number of changes that it keeps; a caller with an older version gets the complete list.

    Attributes:
        version: Version of the list.
        entries: Entries of the listed servers by name, with an address for each group of callers.
        changes: Latest changes with their versions.
        waiting: Queued calls.
        busy: Whether a call is being served.
        down: Number of current outages.
        connections: Open connections.
        watchers: Pending watches, with the version that each caller has.
        calls: Number of calls by second of the event loop's clock.
        rejected_calls: Number of calls that were rejected because the queue was full.
        notified_versions: Send time and version of each list that was sent to a member, by member.
        starts: Time at which each member was notified of a server's start, by server name and member.
        changed_s: Time of the latest change, move, or begin or end of an outage.
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
        """Change the entry of a server; the change is listed after `list_delay_s`."""
        self.loop.call_later(self.list_delay_s, self._apply_change, entry)

    def _apply_change(self, entry: dict[str, Any]) -> None:
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

    def fail(self, is_outage: bool) -> None:
        """Begin or end an outage, which resets all connections and calls."""
        self.down += 1 if is_outage else -1
        self.changed_s = self.loop.time()
        if self.down:
            self.notified_versions.clear()
            for connection in list(self.connections):
                connection.transport.abort()

    def moved(self) -> None:
        """Restart the versions, as a list service at a new address does."""
        self.version = 1
        self.changes.clear()
        self.notified_versions.clear()
        self.changed_s = self.loop.time()

    def current_list_times(self) -> dict[int, float]:
        """Return the time at which the current version was first sent to each member, by member."""
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
            self.waiting.append(lambda: self._answer_call(connection, target))
            self._serve_next()

    def _serve_next(self) -> None:
        if not self.busy and self.waiting:
            self.busy = True
            self.loop.call_later(1.0 / self.calls_per_s, self._finish_call, self.waiting.pop(0))

    def _finish_call(self, answer: Callable[[], None]) -> None:
        self.busy = False
        if not self.down:
            answer()
        self._serve_next()

    def _answer_call(self, connection: DiscoveryConnection, target: str) -> None:
        query = parse_qs(urlsplit(target).query)
        if "after" not in query:
            self.send_list(connection, None)
            return
        after = int(query["after"][0])
        if after == self.version:
            self.watchers[connection] = after
            self._record_sent_list(connection)
            wait_s = min(int(query.get("wait_ms", ["0"])[0]), 60_000) / 1000
            self.loop.call_later(wait_s, self._on_wait_end, connection, after)
        else:
            self.send_list(connection, after)

    def _on_wait_end(self, connection: DiscoveryConnection, after: int) -> None:
        if self.watchers.get(connection) == after:
            self.send_list(connection, after)

    def send_list(self, connection: DiscoveryConnection, after: int | None) -> None:
        """Send the changes after a version, or the complete list for None or a version that is too old."""
        self.watchers.pop(connection, None)
        oldest_version = self.changes[0][0] - 1 if self.changes else self.version
        is_complete = after is None or not oldest_version <= after <= self.version
        if is_complete:
            entries = list(self.entries.values())
        else:
            entries = [entry for version, entry in self.changes if after is not None and version > after]
        listed = [
            {**{key: value for key, value in entry.items() if key != "addresses"},
             "address": entry["addresses"][connection.group]}
            for entry in entries
        ]  # fmt: skip
        self._record_sent_list(connection)
        connection.reply(
            200, json.dumps({"index": self.version, "snapshot": is_complete, "endpoints": listed}).encode()
        )

    def _record_sent_list(self, connection: DiscoveryConnection) -> None:
        """Record that the current list was sent on a connection."""
        self.notified_versions.setdefault(connection.member, []).append((self.loop.time(), self.version))
        self.notify(connection.member)

    def notify(self, member: int) -> None:
        """Record that a member has been notified of every listed start."""
        for notified_s in self.starts.values():
            notified_s.setdefault(member, self.loop.time())

    def initial_list(self, group: int) -> dict[str, Any]:
        """Return the endpoint list with which a member of a group starts."""
        listed = [{**entry, "address": entry["addresses"][group]} for entry in self.entries.values()]
        for entry in listed:
            del entry["addresses"]
        return {"index": self.version, "snapshot": True, "endpoints": listed}


class DiscoveryConnection(asyncio.Protocol):
    """A connection of a member to the discovery service.

    Args:
        registry: Discovery service.
        member: Number of the member.
        group: Group of callers, which determines the server addresses in its lists.
    """

    def __init__(self, registry: Registry, member: int, group: int) -> None:
        self.registry = registry
        self.member = member
        self.group = group
        self.parser = httptools.HttpRequestParser(self)
        self.target = b""
        self.came_s: float | None = None  # Not used: a call counts from when it is read.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection, or reset it during an outage."""
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]
        self.registry.connections.add(self)
        if self.registry.down:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Remove the connection and its watch."""
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
        """Append a part of the target of the call."""
        self.target += url

    def on_message_complete(self) -> None:
        """Pass the complete call to the discovery service."""
        target, self.target = self.target.decode("latin-1"), b""
        self.registry.on_call(self, target)

    def reply(self, code: int, body: bytes) -> None:
        """Answer the pending call."""
        if not self.transport.is_closing():
            head = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (code, len(body))
            self.transport.write(head + body)
