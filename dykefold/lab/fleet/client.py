"""A client: the application beside one sidecar. It sends requests on a schedule and records each outcome."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Iterator
from dataclasses import dataclass
from enum import StrEnum

import numpy as np

from ..scenario import ClassTable
from .process import Address

ANSWER_SLACK_S = 0.05  # Beyond a request's deadline (PROTOCOL, rules on sockets).
LATE_ANSWER_WAIT_S = 3.0  # Beyond the slack, to distinguish a late answer from a missing one.
MAX_HEAD_BYTES = 64 * 1024
HTTP_OK = 200
REJECTION_CODES = frozenset((429, 503))

Streams = tuple[asyncio.StreamReader, asyncio.StreamWriter]


class NoSidecarError(ConnectionError):
    """The client does not know the address of its sidecar."""


class RequestEnd(StrEnum):
    """How a request ended, as its client saw it; the values are part of the JSON report."""

    OPEN = "open"
    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    LATE = "late"  # A complete answer came after the deadline.
    LOST = "lost"  # The request was written, and no complete answer came.
    CROSSED = "crossed"  # A reused connection closed before any byte of an answer; a new request replaced it.
    UNSENT = "unsent"  # No connection could be made.


@dataclass(slots=True)
class ClientRequest:
    """One request. Times are in seconds on the event loop's clock.

    Attributes:
        ident: Id of the request, unique in a run.
        cls: Name of its class.
        client: Number of the client.
        sent_s: Time at which it was sent.
        ended_s: Time at which it ended; -1.0 while it is open.
        end: How it ended.
        code: HTTP status code of the answer; 0 without one.
        body: Body of the answer.
    """

    ident: str
    cls: str
    client: int
    sent_s: float
    ended_s: float = -1.0
    end: RequestEnd = RequestEnd.OPEN
    code: int = 0
    body: str = ""


class Client:
    """Open-loop load generator for one sidecar: no request waits for an earlier one.

    Args:
        number: Number of the client, part of its request ids.
        classes: Request classes by name, with their fractions of the load.
        rate: Requests per second, as a Poisson process.
        rng: Random generator of times, classes and connections.
        new_connection_fraction: Fraction of the requests sent on a new connection, which is then closed.
        max_retries: Maximum number of immediate retries of a refused or failed request, each with a new id.

    Attributes:
        address: Address of its sidecar; None before it is known.
        requests: All requests so far.
        idle: Idle connections, the most recently used last.
        pending: Tasks of open requests.
    """

    def __init__(
        self,
        number: int,
        classes: dict[str, ClassTable],
        rate: float,
        rng: np.random.Generator,
        new_connection_fraction: float = 0.0,
        max_retries: int = 0,
    ) -> None:
        self.number = number
        self.classes = classes
        self.rate = rate
        self.rng = rng
        self.new_connection_fraction = new_connection_fraction
        self.max_retries = max_retries
        self.address: Address | None = None
        self.requests: list[ClientRequest] = []
        self.idle: list[Streams] = []
        self.pending: set[asyncio.Task[None]] = set()
        shares = np.array([table.share for table in classes.values()])
        self._class_names = list(classes)
        self._class_fractions = shares / shares.sum()

    async def play(self) -> None:
        """Send requests until cancelled."""
        loop = asyncio.get_running_loop()
        next_send_s = loop.time()
        while True:
            next_send_s += float(self.rng.exponential(1.0 / self.rate))
            await asyncio.sleep(max(next_send_s - loop.time(), 0.0))
            self.send()

    def send(self, cls: str | None = None, max_retries: int | None = None) -> asyncio.Task[None]:
        """Start one request now, and return its task.

        Args:
            cls: Name of its class; None chooses one at random.
            max_retries: Number of retries; None takes the client's.
        """
        name = cls or self._class_names[int(self.rng.choice(len(self._class_names), p=self._class_fractions))]
        ident = f"{self.number:x}-{len(self.requests):x}"
        request = ClientRequest(ident, name, self.number, asyncio.get_running_loop().time())
        self.requests.append(request)
        new_connection = bool(self.rng.random() < self.new_connection_fraction)
        retries = self.max_retries if max_retries is None else max_retries
        task = asyncio.get_running_loop().create_task(self._run_request(request, new_connection, retries))
        self.pending.add(task)
        task.add_done_callback(self.pending.discard)
        return task

    async def wait_until_idle(self) -> None:
        """Wait until every request has ended."""
        while self.pending:
            await asyncio.wait(list(self.pending))

    async def _run_request(self, request: ClientRequest, new_connection: bool, max_retries: int) -> None:
        loop = asyncio.get_running_loop()
        deadline_s = request.sent_s + self.classes[request.cls].deadline_ms / 1000
        try:
            async with asyncio.timeout_at(deadline_s + ANSWER_SLACK_S + LATE_ANSWER_WAIT_S):
                request.end = await self._exchange(request, deadline_s, new_connection)
        except TimeoutError:
            request.end = RequestEnd.LOST
        request.ended_s = loop.time()
        is_late = request.ended_s > deadline_s + ANSWER_SLACK_S
        if request.end is not RequestEnd.LOST and request.code and is_late:
            request.end = RequestEnd.LATE
        if max_retries and request.end in (RequestEnd.REFUSED, RequestEnd.FAILED):
            self.send(request.cls, max_retries - 1)

    async def _exchange(self, request: ClientRequest, deadline_s: float, new_connection: bool) -> RequestEnd:
        reused = None if new_connection else self._pop_idle_connection()
        try:
            reader, writer = reused or await self._connect(deadline_s)
        except (OSError, TimeoutError):
            return RequestEnd.UNSENT
        first_bytes = b""
        try:
            writer.write(self._request_bytes(request, deadline_s))
            first_bytes = await reader.read(MAX_HEAD_BYTES)
            if first_bytes:
                return await self._read_answer(request, (reader, writer), first_bytes, new_connection)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            if not self._is_idle_connection(writer):
                writer.close()
        if first_bytes or reused is None:
            return RequestEnd.LOST
        # The sidecar may have closed the idle connection while the request was on its way: the client retries
        # once (PROTOCOL). The retry has a new id, since only the servers know whether the first was read.
        self.send(request.cls)
        return RequestEnd.CROSSED

    def _pop_idle_connection(self) -> Streams | None:
        while self.idle:
            reader, writer = self.idle.pop()
            if not writer.is_closing() and not reader.at_eof():
                return reader, writer
            writer.close()
        return None

    def _is_idle_connection(self, writer: asyncio.StreamWriter) -> bool:
        return bool(self.idle) and self.idle[-1][1] is writer

    async def _connect(self, deadline_s: float) -> Streams:
        if self.address is None:
            raise NoSidecarError
        async with asyncio.timeout_at(deadline_s):
            return await asyncio.open_connection(*self.address)

    def _request_bytes(self, request: ClientRequest, deadline_s: float) -> bytes:
        """Return the bytes of a request in the platform's protocol."""
        table = self.classes[request.cls]
        remaining_ms = max(int((deadline_s - asyncio.get_running_loop().time()) * 1000), 1)
        method = "GET" if table.effect == "safe" else "POST"
        lines = [
            f"{method} /{request.cls}/part HTTP/1.1",
            "Host: rig",
            f"X-Request-Id: {request.ident}",
            f"X-Deadline: {remaining_ms}m",
        ]
        if table.effect == "keyed":
            lines.append(f"Idempotency-Key: {request.ident}")
        if table.effect != "safe":
            lines.append("Content-Length: 0")
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    async def _read_answer(
        self, request: ClientRequest, streams: Streams, data: bytes, new_connection: bool
    ) -> RequestEnd:
        """Read the rest of an answer, and return the connection to the idle ones if it stays open."""
        reader, writer = streams
        while b"\r\n\r\n" not in data:
            chunk = await reader.read(MAX_HEAD_BYTES)
            if not chunk or len(data) > MAX_HEAD_BYTES:
                return RequestEnd.LOST
            data += chunk
        head, _, body = data.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").lower().split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines[1:])
        missing_bytes = int(headers.get("content-length", 0)) - len(body)
        if missing_bytes > 0:
            body += await reader.readexactly(missing_bytes)
        request.code = int(lines[0].split()[1])
        request.body = body.decode("latin-1")
        if new_connection or headers.get("connection") == "close":
            writer.close()
        else:
            self.idle.append(streams)
        if request.code == HTTP_OK:
            return RequestEnd.SERVED
        return RequestEnd.REFUSED if request.code in REJECTION_CODES else RequestEnd.FAILED

    def close(self) -> None:
        """Close the idle connections."""
        for _, writer in self.idle:
            writer.close()
        self.idle.clear()


@contextlib.asynccontextmanager
async def running_load(clients: list[Client]) -> AsyncIterator[None]:
    """Run the load of clients during the block, and wait for their last answers at its end."""
    loop = asyncio.get_running_loop()
    tasks = [loop.create_task(client.play()) for client in clients]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        for client in clients:
            await client.wait_until_idle()
            client.close()


def all_requests(clients: list[Client]) -> Iterator[ClientRequest]:
    """Iterate over every request of these clients."""
    for client in clients:
        yield from client.requests
