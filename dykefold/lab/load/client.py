"""Open-loop clients: each request is sent at its own time, whatever the answers to earlier ones do.

Latency counts from the intended start, so that a stalled system cannot hide the requests that it delayed
(coordinated omission). The lateness of the tool itself is recorded too; a run in which it is large is void.
"""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import dataclass, field

import httptools
from hdrh.histogram import HdrHistogram

from ..arrivals import arrival_times
from ..random_streams import generator
from ..scenario import ClassTable, Scenario

US = 1_000_000
MAX_LATENCY_US = 120 * US
SIGNIFICANT_DIGITS = 3  # Of the values in a histogram.
DEFAULT_RETRY_DELAY_S = 0.05  # Without Retry-After, or if the client ignores it.
MAX_RETRY_AFTER_S = 5.0
ANSWER_SLACK_S = 0.05  # After the deadline, until the client gives up.
HTTP_OK = 200
REJECTION_CODES = frozenset((429, 503))


def histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds, up to `MAX_LATENCY_US`."""
    return HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


@dataclass(slots=True)
class ClassCounts:
    """Results of one class at one load process.

    Attributes:
        latency: Latencies of served requests in microseconds, from the intended start.
        counts: Number of requests by how they ended (`judge.ENDS`).
        by_second: The same by second of the intended start.
        served: Ids of served requests.
        refused: Ids of refused requests.
    """

    latency: HdrHistogram = field(default_factory=histogram)
    counts: Counter[str] = field(default_factory=Counter)
    by_second: dict[int, Counter[str]] = field(default_factory=dict)
    served: list[str] = field(default_factory=list)
    refused: list[str] = field(default_factory=list)

    def end(self, kind: str, intended_s: float) -> None:
        """Count the end of a request."""
        self.counts[kind] += 1
        self.by_second.setdefault(int(intended_s), Counter())[kind] += 1


@dataclass(slots=True)
class LoadRequest:
    """One attempt of a client.

    Attributes:
        cls: Name of the class.
        number: Number of the arrival.
        attempt: Number of the attempt, from 0.
        intended_s: Intended start of the first attempt, in seconds since the load began.
    """

    cls: str
    number: int
    attempt: int
    intended_s: float

    @property
    def ident(self) -> str:
        """Id of the request."""
        return f"{self.number:x}-{self.attempt}"


class LoadConnection(asyncio.Protocol):
    """A connection to the measured process, with at most one request on it.

    Args:
        load: Owner of the connection, which is notified of answers.
    """

    def __init__(self, load: Load) -> None:
        self.load = load
        self.request: LoadRequest | None = None
        self.transport: asyncio.Transport
        self.timer: asyncio.TimerHandle | None = None
        self._begin()

    def _begin(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.body = b""
        self.retry_after_s: float | None = None
        self.complete = False
        self.closes_after = False  # Whether the peer closes after this answer.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the transport."""
        self.transport = transport  # type: ignore[assignment]

    def send(self, request: LoadRequest, table: ClassTable, now: float) -> None:
        """Send a request; abort the connection if no answer comes in time."""
        self.request = request
        left_s = request.intended_s + table.deadline_ms / 1000 - now
        method = "GET" if table.effect == "safe" else "POST"
        lines = [f"{method} /{request.cls}/part HTTP/1.1", "Host: lab", f"X-Request-Id: {request.ident}"]
        lines.append(f"X-Deadline: {max(int(left_s * 1000), 1)}m")
        if table.effect == "keyed":
            lines.append(f"Idempotency-Key: {request.number:x}")
        if method == "POST":
            lines.append("Content-Length: 0")
        self.timer = self.load.loop.call_later(left_s + ANSWER_SLACK_S, self.transport.abort)
        self.transport.write("\r\n".join(lines).encode() + b"\r\n\r\n")

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and hand over a complete answer."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()
            return
        if self.complete and self.request is not None:
            request, code, body = self.request, self.parser.get_status_code(), self.body
            keep, after_s = not self.closes_after and not self.transport.is_closing(), self.retry_after_s
            self._release()
            if keep:
                self._begin()
                self.load.idle.append(self)
            else:
                self.transport.close()
            self.load.answered(request, code, body, after_s)

    def _release(self) -> None:
        self.request = None
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def connection_lost(self, exc: Exception | None) -> None:
        """Report an open request as unanswered."""
        if self in self.load.idle:
            self.load.idle.remove(self)
        self.load.connection_count -= 1
        request = self.request
        self._release()
        if request is not None:
            self.load.unanswered(request)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header that decides on retries or on the connection."""
        low = name.lower()
        if low == b"retry-after":
            self.retry_after_s = float(value)
        elif low == b"connection":
            self.closes_after = value.lower() == b"close"

    def on_body(self, data: bytes) -> None:
        """Take a piece of the body."""
        self.body += data

    def on_message_complete(self) -> None:
        """Note that the answer is complete."""
        self.complete = True


class Load:
    """Sends a share of a scenario's requests: one of `of` processes sends every `of`-th arrival.

    Args:
        scenario: The scenario.
        port: Port of the measured process on loopback.
        index: Number of this load process.
        of: Number of load processes.

    Attributes:
        requests: First attempts that this process sends.
        results: Results by class.
        lag: Histogram of this process's own lateness in microseconds, from the intended start to the send.
        idle: Idle connections.
        connection_count: Number of open connections.
        pending: Number of requests without a final result.
    """

    def __init__(self, scenario: Scenario, port: int, index: int, of: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.scenario = scenario
        self.port = port
        rng = generator(scenario.seed, "arrivals")
        times = arrival_times(scenario.load, scenario.span_s, rng)
        names = list(scenario.classes)
        shares = [scenario.classes[name].share for name in names]
        drawn = rng.choice(len(names), len(times), p=[share / sum(shares) for share in shares])
        own_arrivals = range(index, len(times), of)
        self.requests = [LoadRequest(names[drawn[n]], n, 0, float(times[n])) for n in own_arrivals]
        self.results = {name: ClassCounts() for name in names}
        self.lag = histogram()
        self.idle: list[LoadConnection] = []
        self.connection_count = 0
        self.pending = 0
        self.opening: set[asyncio.Task[None]] = set()
        self.done = asyncio.Event()

    async def play(self) -> None:
        """Send each request at its time, and wait for the last answer."""
        self.began_s = self.loop.time()
        for request in self.requests:
            wait_s = request.intended_s - self._now()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            self.lag.record_value(max(int((self._now() - request.intended_s) * US), 1))
            self.pending += 1
            self._send(request)
        while self.pending:
            self.done.clear()
            await self.done.wait()

    def _now(self) -> float:
        return self.loop.time() - self.began_s

    def _send(self, request: LoadRequest) -> None:
        table = self.scenario.classes[request.cls]
        while self.idle:
            connection = self.idle.pop()
            if not connection.transport.is_closing():
                connection.send(request, table, self._now())
                return
        if self.connection_count >= self.scenario.load.connections_most:
            self._end(request, "unsent")
            return
        self.connection_count += 1
        task = self.loop.create_task(self._open_connection(request, table))
        self.opening.add(task)
        task.add_done_callback(self.opening.discard)

    async def _open_connection(self, request: LoadRequest, table: ClassTable) -> None:
        try:
            _, connection = await self.loop.create_connection(
                lambda: LoadConnection(self), "127.0.0.1", self.port
            )
        except OSError:
            self.connection_count -= 1
            self._end(request, "unanswered")
            return
        connection.send(request, table, self._now())

    def answered(self, request: LoadRequest, code: int, body: bytes, retry_after_s: float | None) -> None:
        """Record an answer, and retry a refused request after its delay."""
        counts, table, load = (
            self.results[request.cls],
            self.scenario.classes[request.cls],
            self.scenario.load,
        )
        took_s = self._now() - request.intended_s
        if code == HTTP_OK and body == request.ident.encode():
            counts.latency.record_value(max(int(took_s * US), 1))
            counts.served.append(request.ident)
            self._end(request, "in_aim" if took_s <= table.aim_ms / 1000 else "late")
        elif code in REJECTION_CODES:
            counts.refused.append(request.ident)
            pause_s = DEFAULT_RETRY_DELAY_S
            if load.heeds_retry_after and retry_after_s is not None:
                pause_s = min(retry_after_s, MAX_RETRY_AFTER_S)
            if request.attempt < load.retries and took_s + pause_s < table.deadline_ms / 1000:
                retry = LoadRequest(request.cls, request.number, request.attempt + 1, request.intended_s)
                self.loop.call_later(pause_s, self._send, retry)
            else:
                self._end(request, "refused")
        else:
            self._end(request, "failed")

    def unanswered(self, request: LoadRequest) -> None:
        """Record that a request had no answer."""
        self._end(request, "unanswered")

    def _end(self, request: LoadRequest, kind: str) -> None:
        self.results[request.cls].end(kind, request.intended_s)
        self.pending -= 1
        if not self.pending:
            self.done.set()
