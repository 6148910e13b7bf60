"""Discovery of a virtual world, by PROTOCOL's format: late, sometimes down, stale, or somewhere else."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, urlsplit

from .kernel import MS, stream
from .loop import SimLoop
from .messages import Messages

if TYPE_CHECKING:
    from .sockets import SimSocket
    from .world import Running

PORT = 8500
LATE_MS = (50.0, 900.0)  # from a change of a server to the list that tells it


class RegistryConnection(asyncio.Protocol):
    def __init__(self, registry: Registry, sidecar: str) -> None:
        self.registry = registry
        self.sidecar = sidecar
        self.messages = Messages()
        self.open = True

    def connection_made(self, transport) -> None:  # type: ignore[no-untyped-def]
        self.transport = transport
        self.registry.connections[self] = None

    def data_received(self, data: bytes) -> None:
        for message in self.messages.feed(data):
            self.registry.asked(self, message.first_line.split()[1])

    def connection_lost(self, exc: Exception | None) -> None:
        self.open = False
        self.registry.connections.pop(self, None)
        self.registry.watchers.pop(self, None)


class Registry:
    """The list of servers and those who watch it. A move begins a new index at a new address."""

    def __init__(self, run: Running, number: int, entries: dict[str, dict[str, Any]]) -> None:
        self.run = run
        self.number = number
        self.entries = entries
        self.version = 10 + number
        self.changes: list[tuple[int, dict[str, Any]]] = []
        self.watchers: dict[RegistryConnection, int] = {}
        self.connections: dict[RegistryConnection, None] = {}
        self.down = self.stale = self.overbooked = 0
        self.calls = 0  # that were answered or turned away
        self.random = stream(run.kernel.seed, "registry", number)
        self.address = (f"10.9.0.{number + 1}", PORT)
        name = f"registry{number}"
        run.network.add_host(name, self.address[0])
        self.loop = SimLoop(run.kernel, name, run.network)
        self.listener = run.network.listen(self.loop, PORT)
        self.loop.wake(self.loop.add_reader, self.listener.fileno(), self._accept)

    def _accept(self) -> None:
        sock, peer = self.listener.accept()
        made = RegistryConnection(self, self.run.network.owners[peer[0]])
        self.loop.create_task(self.loop.connect_accepted_socket(lambda: made, sock))

    # The list

    def later(self, entry: dict[str, Any]) -> None:
        """A server has changed; the list tells it some time later."""
        self.run.kernel.after(int(self.random.uniform(*LATE_MS) * MS), self.loop.wake, self._change, entry)

    def _change(self, entry: dict[str, Any]) -> None:
        if self.stale:
            self.run.kernel.after(100 * MS, self.loop.wake, self._change, entry)
            return
        known = self.entries.get(entry["name"])
        if known is not None and self.run.true_start_ms(known) > self.run.true_start_ms(entry):
            return
        if entry["status"] == "DELETED":
            self.entries.pop(entry["name"], None)
        else:
            self.entries[entry["name"]] = entry
        self.version += 1
        self.changes.append((self.version, entry))
        del self.changes[:-50]
        for connection, after in list(self.watchers.items()):
            self._answer(connection, after)

    # Calls

    def fail(self, on: bool) -> None:
        self.down += 1 if on else -1
        self.run.registry_turned()
        if self.down:
            for connection in list(self.connections):
                connection.transport.abort()

    def cleared(self) -> None:
        self.overbooked -= 1

    def _spoil(self, connection: RegistryConnection) -> bool:
        """Turn a call away, break its answer off, or send what can't be read; False: answer it."""
        lot = self.random.random()
        if lot > 0.8:
            return False
        if lot < 0.4:
            data = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
        elif lot < 0.6:
            data = b'HTTP/1.1 200 OK\r\nContent-Length: 4000\r\n\r\n{"index":9,"snapshot":true,"endpoints":['
        else:
            data = b'HTTP/1.1 200 OK\r\nContent-Length: 31\r\n\r\n{"index":9,"snapshot":true,"en}'
        connection.transport.write(data)
        if lot >= 0.4:
            connection.transport.close()
        return True

    def asked(self, connection: RegistryConnection, target: str) -> None:
        self.calls += 1
        if self.down:
            self.run.asked(connection.sidecar, failed=True)
            if self.random.random() < 0.5:
                connection.transport.abort()
            return
        if self.overbooked and self._spoil(connection):
            self.run.asked(connection.sidecar, failed=True)
            return
        self.run.asked(connection.sidecar)
        query = parse_qs(urlsplit(target).query)
        if "after" not in query:
            self._answer(connection, None)
            return
        after = int(query["after"][0])
        if after == self.version:
            self.watchers[connection] = after
            self.loop.call_later(int(query["wait_ms"][0]) / 1000, self._tired, connection)
        else:
            self._answer(connection, after)

    def _tired(self, connection: RegistryConnection) -> None:
        after = self.watchers.get(connection)
        if after is not None and not self.down:
            self._answer(connection, after)

    def _answer(self, connection: RegistryConnection, after: int | None) -> None:
        self.watchers.pop(connection, None)
        self.run.asked(connection.sidecar)  # until now it watched
        if not connection.open or connection.transport.is_closing():
            return
        oldest = self.changes[0][0] - 1 if self.changes else self.version
        whole = after is None or after < oldest or after > self.version or self.random.random() < 0.1
        if whole:
            entries = list(self.entries.values())
        else:
            entries = [entry for version, entry in self.changes if after is not None and version > after]
        body = json.dumps({"index": self.version, "snapshot": whole, "endpoints": entries}).encode()
        data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
        transport = connection.transport
        end_bytes = transport.sock.sent_bytes + len(transport.buffer) + len(data)
        peer: SimSocket = transport.sock.peer
        version = self.version
        self.run.observer.mark_arrival(
            peer, end_bytes, lambda: self.run.told(connection.sidecar, self, version, whole, entries)
        )
        transport.write(data)
