"""The applications of a virtual world: open-loop clients that retry, leave, pipeline and write in pieces."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .kernel import MS, stream
from .loop import SimLoop
from .messages import Messages
from .network import network_of
from .rules import ANSWER_SLACK_NS
from .schedule import Arrival

if TYPE_CHECKING:
    from .world import Running

AGAIN_MS = 60  # until a connect that was refused is tried again: the sidecar may be starting
RETRIED = 0.5  # of refused requests a client tries once more
CONNECTIONS_MOST = 64


@dataclass(slots=True)
class Asked:
    """A request that waits for its answer."""

    ident: str
    arrival: Arrival
    due_ns: int
    sent_ns: int
    paused_ns: int  # that the sidecar's process had stood still when it was sent
    end_bytes: int  # of the connection, with its last one
    process: SimLoop  # of the sidecar, that it was sent to

    def wait_from(self, now_ns: int) -> None:
        self.due_ns = max(self.due_ns, now_ns + self.arrival.deadline_ms * MS)


class AppConnection(asyncio.Protocol):
    """A connection to the sidecar, with the requests that are open on it."""

    def __init__(self, app: App) -> None:
        self.app = app
        self.open: deque[Asked] = deque()
        self.messages = Messages()
        self.ending = False  # the sidecar has said that it closes
        self.left = False  # the client has gone away by itself
        self.closed = False
        self.writing = True  # a request goes out in pieces, or it was made for one that is still to go
        self.sent = 0  # requests

    def connection_made(self, transport) -> None:  # type: ignore[no-untyped-def]
        self.transport = transport

    @property
    def usable(self) -> bool:
        return not (self.ending or self.left or self.closed or self.writing)

    def data_received(self, data: bytes) -> None:
        try:
            answers = self.messages.feed(data)
        except ValueError:
            self.app.run.rules.unasked_bytes(self.app.run.kernel.now_ns, self.app.name, data)
            return
        for message in answers:
            code = int(message.first_line.split()[1])
            if code == 100:
                continue
            if not self.open and not self.sent:
                self.ending = True  # it was turned away before it could ask
                break
            if not self.open:
                self.app.run.rules.unasked_bytes(self.app.run.kernel.now_ns, self.app.name, data)
                return
            asked = self.open.popleft()
            if self.open:  # what was sent ahead has its time from here: answers come in order
                self.open[0].wait_from(self.app.run.kernel.now_ns)
                self.app.run.rules.deadline_started(self.app.run.kernel.now_ns, self.open[0].ident)
            self.ending |= message.headers.get("connection") == "close"
            self.app.answered(
                self, asked, code, message.body.partition(b"\n")[0].decode("latin-1"), message.headers
            )
        if self.ending and not self.left:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self.app.connections.pop(self, None)
        waiting, self.open = list(self.open), deque()
        if self.left:
            return
        if self.transport.sock.failed_by_peer:  # the network's doing: for the sidecar its clients have gone
            for asked in waiting:
                self.app.run.rules.client_left(self.app.run.kernel.now_ns, asked.ident)
            return
        peer = self.transport.sock.peer
        # An answer that breaks off has failed, and shows only by the connection's end: what was sent ahead
        # behind it has not been begun, and is the client's to send again (RFC 9112, 9.3.2).
        broken = bool(self.messages.buffer)
        if broken and waiting:
            self.app.cut_short(waiting.pop(0))
        for asked in waiting:
            read = peer is not None and peer.read_bytes >= asked.end_bytes
            self.app.unanswered(asked, read and not self.ending and not broken)


class App:
    """The clients of one sidecar, in a process of their own."""

    def __init__(self, run: Running, number: int, arrivals: list[Arrival]) -> None:
        self.run = run
        self.number = number
        self.name = f"app{number}"
        self.address = f"{network_of(number)}.2"
        run.network.add_host(self.name, self.address)
        self.loop = SimLoop(run.kernel, self.name, run.network)
        self.random = stream(run.kernel.seed, "app", number)
        self.connections: dict[AppConnection, None] = {}
        self.flood: list = []  # sockets that say nothing
        for arrival in arrivals:
            run.kernel.at(arrival.at_ns, self.loop.wake, self._ask, arrival, f"{arrival.number:x}", False)

    # Requests

    def _ask(self, arrival: Arrival, ident: str, again: bool) -> None:
        due_ns = self.run.kernel.now_ns + arrival.deadline_ms * MS
        if arrival.behind and not again:
            for connection in self.connections:
                if connection.usable and connection.open:
                    self._send(connection, arrival, ident, due_ns)
                    return
        for connection in self.connections:
            if connection.usable and not connection.open:
                self._send(connection, arrival, ident, due_ns)
                return
        if len(self.connections) < CONNECTIONS_MOST:
            self.loop.create_task(self._open(arrival, ident, due_ns))

    async def _open(self, arrival: Arrival, ident: str, due_ns: int) -> None:
        sock = self.run.network.socket(self.loop)
        try:
            await self.loop.sock_connect(sock, self.run.front_address(self.number))
        except OSError:
            sock.close()
            if self.run.kernel.now_ns + AGAIN_MS * MS < due_ns:
                self.loop.call_later(AGAIN_MS / 1000, self._again, arrival, ident, due_ns)
            return
        made = AppConnection(self)
        self.connections[made] = None
        await self.loop.connect_accepted_socket(lambda: made, sock)
        made.writing = False
        self._send(made, arrival, ident, due_ns)

    def _again(self, arrival: Arrival, ident: str, due_ns: int) -> None:
        self.loop.create_task(self._open(arrival, ident, due_ns))

    def _send(self, connection: AppConnection, arrival: Arrival, ident: str, due_ns: int) -> None:
        kernel = self.run.kernel
        self.run.rules.request_sent(kernel.now_ns, ident, arrival.cls)
        left_ms = max((due_ns - kernel.now_ns) // MS, 1)
        data = self.run.request(arrival, ident, left_ms)
        sock = connection.transport.sock
        end = sock.sent_bytes + len(connection.transport.buffer) + len(data)
        process = sock.peer.loop
        paused_ns = process.paused_ns
        head = end - len(data) + data.index(b"\r\n\r\n") + 4
        self.run.rules.deadline_set(ident, left_ms * MS, 2 if connection.open else 1)
        self.run.observer.mark_read(
            sock.peer, head, lambda: self.run.rules.deadline_started(kernel.now_ns, ident)
        )
        if connection.open:  # answers come in order, so it can't be answered before those ahead of it
            due_ns = max(due_ns, connection.open[-1].due_ns)
            paused_ns = connection.open[-1].paused_ns
        asked = Asked(ident, arrival, due_ns, kernel.now_ns, paused_ns, end, process)
        connection.sent += 1
        connection.open.append(asked)
        kernel.note(f"{self.name} asks {ident}")
        pieces = min(arrival.pieces, len(data))
        if pieces == 1:
            connection.transport.write(data)
            self._await_written(connection, asked)
        else:
            connection.writing = True
            cuts = sorted(self.random.sample(range(1, len(data)), pieces - 1))
            parts = [data[a:b] for a, b in zip([0, *cuts], [*cuts, len(data)], strict=True)]
            self._write_on(connection, asked, parts)
        if arrival.leaves_ms:
            self.loop.call_later(arrival.leaves_ms / 1000, self._leave, connection, asked)
        wait_ns = due_ns - kernel.now_ns + ANSWER_SLACK_NS
        self.loop.call_later(wait_ns / 1e9 + 0.001, self._give_up, connection, asked)

    def _write_on(self, connection: AppConnection, asked: Asked, parts: list[bytes]) -> None:
        connection.transport.write(parts[0])
        if len(parts) > 1:
            self.loop.call_later(0.001, self._write_on, connection, asked, parts[1:])
        else:
            connection.writing = False
            self._await_written(connection, asked)

    def _await_written(self, connection: AppConnection, asked: Asked) -> None:
        """A request's time counts from its last byte, which the sidecar may keep waiting for its turn."""
        if connection.closed or connection.left or asked not in connection.open:
            return
        if connection.transport.sock.sent_bytes < asked.end_bytes:
            self.loop.call_later(0.001, self._await_written, connection, asked)
        else:
            asked.due_ns += self.run.kernel.now_ns - asked.sent_ns

    def _leave(self, connection: AppConnection, asked: Asked) -> None:
        if asked in connection.open:
            self.run.kernel.note(f"{self.name} leaves {asked.ident}")
            engine = self.run.sidecars[self.number].engine
            if engine is not None and not engine.half_close:  # else it may only have ended its side
                self._mark_left(connection)
            connection.left = True
            connection.transport.abort()

    def _mark_left(self, connection: AppConnection) -> None:
        """From the system call that closes the connection its clients have gone."""
        idents = [each.ident for each in connection.open]

        def closed() -> None:
            for ident in idents:
                self.run.rules.client_left(self.run.kernel.now_ns, ident)

        self.run.observer.mark_end(connection.transport.sock, closed)

    def _give_up(self, connection: AppConnection, asked: Asked) -> None:
        if asked not in connection.open or connection.left:
            return
        over_ns = self.run.kernel.now_ns - self._due_ns(connection, asked)
        if connection.open[0] is not asked:
            over_ns = 0  # its time begins when the one ahead of it is answered
        if over_ns < ANSWER_SLACK_NS:
            self.loop.call_later((ANSWER_SLACK_NS - over_ns) / 1e9 + 0.001, self._give_up, connection, asked)
            return
        peer = connection.transport.sock.peer
        if peer is not None and peer.read_bytes >= asked.end_bytes and self._same_life(asked):
            self.run.rules.request_lost(self.run.kernel.now_ns, asked.ident, "no answer in its time")
        self._mark_left(connection)
        connection.left = True
        connection.transport.abort()

    def _same_life(self, asked: Asked) -> bool:
        return asked.process.alive

    # Answers

    def _due_ns(self, connection: AppConnection, asked: Asked) -> int:
        """When it must be answered: later by what the process stood still, or could not accept."""
        peer = connection.transport.sock.peer
        accepted_ns = peer.accepted_ns if peer is not None else 0
        paused_ns = asked.process.paused_ns - asked.paused_ns
        return asked.due_ns + paused_ns + max(accepted_ns - asked.sent_ns, 0)

    def answered(
        self, connection: AppConnection, asked: Asked, code: int, body: str, headers: dict[str, str]
    ) -> None:
        kernel = self.run.kernel
        kernel.note(f"{self.name} gets {code} for {asked.ident}")
        due_ns = self._due_ns(connection, asked)
        self.run.rules.answered(kernel.now_ns, asked.ident, code, body, due_ns)
        if code in (429, 503) and not asked.ident.endswith("r") and self.random.random() < RETRIED:
            wait_s = min(float(headers.get("retry-after", 0.02)), 1.0)
            self.loop.call_later(wait_s, self._ask, asked.arrival, asked.ident + "r", True)

    def cut_short(self, asked: Asked) -> None:
        """A connection has ended in the middle of the answer to this request."""
        self.run.rules.answer_cut_short(self.run.kernel.now_ns, asked.ident, self._same_life(asked))

    def unanswered(self, asked: Asked, read: bool) -> None:
        """A connection has ended with this request open."""
        if read and self._same_life(asked):
            self.run.rules.request_lost(self.run.kernel.now_ns, asked.ident, "its connection ended")
        elif not read:
            self.run.rules.request_not_read(self.run.kernel.now_ns, asked.ident, self._same_life(asked))
            if not asked.ident.endswith("r"):
                self._ask(asked.arrival, asked.ident + "r", True)

    # Floods

    def flood_open(self, count: int) -> None:
        """Connect, and say nothing."""
        for _ in range(count):
            self.loop.create_task(self._silent())

    async def _silent(self) -> None:
        sock = self.run.network.socket(self.loop)
        try:
            await self.loop.sock_connect(sock, self.run.front_address(self.number))
            self.flood.append(sock)
        except OSError:
            sock.close()

    def flood_close(self) -> None:
        for sock in self.flood:
            sock.close()
        self.flood.clear()

    def close(self) -> None:
        """Let go of all connections."""
        self.flood_close()
        for connection in list(self.connections):
            connection.left = True
            connection.transport.abort()
