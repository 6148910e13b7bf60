"""Parts nodes of a virtual world: cores, a queue, a cold start, and all that may be wrong with them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from .kernel import MS, SECOND, stream
from .loop import SimLoop
from .messages import Message, Messages
from .rules import WarmUp
from .schedule import WORLDS, Kind

if TYPE_CHECKING:
    from .world import Running

PORT = 7070
WORK_MS = (25.0, 40.0, 55.0)  # by class, on average
LARGE = bytes(100_000)  # behind the first line of an answer that is too long to be held
QUEUE_MOST = 24  # requests that wait or are worked on
CORES = 2
IDLE_NS = 15 * SECOND
SPOILT = (
    b"HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\nno",
    b"\x00\x01garbage\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nendless",
    b"HTTP/1.1 200 OK\r\nX-Half: ",
    b"HTTP/1.1 200 OK\r\n\r\nno length at all",
)


class NodeConnection(asyncio.Protocol):
    """A sidecar's connection to a node."""

    def __init__(self, node: Node, sidecar: str) -> None:
        self.node = node
        self.sidecar = sidecar
        self.messages = Messages()
        self.used_ns = node.run.kernel.now_ns
        self.open = True
        self.work = 0

    def connection_made(self, transport) -> None:  # type: ignore[no-untyped-def]
        self.transport = transport
        self.node.connections[self] = None
        self.node.handshakes += 1

    def data_received(self, data: bytes) -> None:
        self.used_ns = self.node.run.kernel.now_ns
        for message in self.messages.feed(data):
            self.node.arrived(self, message)

    def connection_lost(self, exc: Exception | None) -> None:
        self.open = False
        self.node.connections.pop(self, None)


class Node:
    """One server. Faults set its `wrong` kinds; several may hold at once."""

    def __init__(self, run: Running, name: str, address: str, group: int, pool: str) -> None:
        self.run = run
        self.world = WORLDS[run.scenario.world]
        self.name = name
        self.address = address
        self.group = group
        self.pool = pool
        self.wrong: dict[Kind, int] = {}
        self.random = stream(run.kernel.seed, "node", name)
        self.since_ms = 0
        self.cold: WarmUp | None = None
        self.alive = False
        self.handshakes = 0  # connections that were ever made to it
        run.network.add_host(name, address)

    def start(self, cold: bool) -> None:
        """Begin to serve; a cold one can do a part of its work for some seconds."""
        kernel = self.run.kernel
        self.connections: dict[NodeConnection, None] = {}
        self.free_ns = [0] * CORES
        self.held = 0
        self.alive = True
        self.loop = SimLoop(kernel, self.name, self.run.network)
        if cold:
            self.since_ms = self.run.stamp_ms(self)
            full = CORES * 1000.0 / WORK_MS[1]
            self.cold = WarmUp(kernel.now_ns, full, self.world.cold_share, self.world.warm_ns, self.since_ms)
            self.run.rules.server_started(self.name, self.cold)
        self.listener = self.run.network.listen(self.loop, PORT)
        self.loop.wake(self.loop.add_reader, self.listener.fileno(), self._accept)
        self.loop.wake(self._sweep)

    def kill(self) -> None:
        """End the process: connections are reset, work that has not begun is gone."""
        self.alive = False
        self.run.network.kill(self.loop)

    def is_wrong(self, kind: Kind) -> bool:
        return self.wrong.get(kind, 0) > 0

    def _accept(self) -> None:
        try:
            sock, peer = self.listener.accept()
        except OSError:
            return
        made = NodeConnection(self, self.run.network.owners.get(peer[0], peer[0]))
        self.loop.create_task(self.loop.connect_accepted_socket(lambda: made, sock))

    def _sweep(self) -> None:
        limit_ns = 150 * MS if self.is_wrong(Kind.IDLE) else IDLE_NS
        for connection in list(self.connections):
            idle_ns = self.run.kernel.now_ns - connection.used_ns
            if not connection.work and not connection.messages.buffer and idle_ns > limit_ns:
                connection.transport.close()
        self.loop.call_later(0.05, self._sweep)

    # Work

    def arrived(self, connection: NodeConnection, message: Message) -> None:
        """A request's last byte has come."""
        if message.first_line.startswith("GET /-/"):
            self._write(connection, 200, b"ready", "", False)
            return
        kernel = self.run.kernel
        ident = message.headers.get("x-request-id", "")
        cls = self.run.class_of(message.first_line)
        if self.pool and self.pool != self.run.pool_of(cls):
            self.run.rules.report(kernel.now_ns, "own pool", f"{ident} came to {self.name} of {self.pool}")
        self.run.rules.request_reached(kernel.now_ns, connection.sidecar, self.name)
        if self.is_wrong(Kind.SILENT):
            if self.random.random() < 0.5:
                self.run.rules.work_started(kernel.now_ns, ident, self.name)
            return
        if self.is_wrong(Kind.FULL) or self.held >= QUEUE_MOST:
            self._write(connection, 503, b"full", "X-Not-Run: 1\r\n", True)
            return
        self.held += 1
        connection.work += 1
        core = min(range(CORES), key=lambda number: self.free_ns[number])
        begins_ns = max(self.free_ns[core], kernel.now_ns)
        took_ns = int(WORK_MS[cls] * MS * min(self.random.expovariate(1.0), 4.0))
        if self.is_wrong(Kind.SLOW):
            took_ns *= 6
        if self.cold is not None:
            took_ns = int(took_ns * self.cold.full_per_s / self.cold.capacity(begins_ns))
        self.free_ns[core] = begins_ns + took_ns
        kernel.at(begins_ns, self._begin, self.loop, ident)
        body = f"{ident} {self.name}".encode()
        if message.first_line.split()[1].endswith("?large"):
            body += b"\n" + LARGE
        kernel.at(begins_ns + took_ns, self.loop.wake, self._finish, connection, body)

    def _begin(self, loop: SimLoop, ident: str) -> None:
        if loop.alive:
            self.run.kernel.note(f"{self.name} runs {ident}")
            self.run.rules.work_started(self.run.kernel.now_ns, ident, self.name)

    def _finish(self, connection: NodeConnection, body: bytes) -> None:
        self.held -= 1
        connection.work -= 1
        if not connection.open:
            return
        if self.is_wrong(Kind.MUTE) and self.random.random() < 0.5:
            return
        spoilt = self.random.random() if self.is_wrong(Kind.GARBAGE) else 1.0
        if spoilt < 0.4:
            connection.transport.write(self.random.choice(SPOILT))
        elif spoilt < 0.7:  # good, with a copy right behind
            self._write(connection, 200, body, "", False, copies=2)
        elif self.is_wrong(Kind.BREAK) and self.random.random() < 0.5:
            whole = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)
            connection.transport.write(whole[: self.random.randrange(len(whole))])
            connection.transport.abort()
        elif self.random.random() < 0.01:
            self._write(connection, 500, b"out of order", "", False)
        else:
            if self.random.random() < 0.02:
                connection.transport.write(b"HTTP/1.1 102 Processing\r\n\r\n")
            self._write(connection, 200, body, "", False)

    def _write(
        self, connection: NodeConnection, code: int, body: bytes, lines: str, proof: bool, copies: int = 1
    ) -> None:
        transport = connection.transport
        load = f"X-Load: qps={self.held * 10},util={min(self.held / 4, 1.0):.2f}\r\n"
        head = f"HTTP/1.1 {code} X\r\n{lines}{load}Content-Length: {len(body)}\r\n\r\n"
        data = head.encode() + body
        end_bytes = transport.sock.sent_bytes + len(transport.buffer) + len(data)
        self.run.observer.mark_answer(transport.sock, end_bytes, proof)
        transport.write(data * copies)
