"""Open-loop clients: each request is sent at its scheduled time, regardless of the answers to earlier ones.

Latency counts from the intended start, so that a stalled system cannot hide the requests that it delayed
(coordinated omission). The load generator's own lateness is recorded too; a run in which it is large is
invalid.
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

US_PER_S = 1_000_000
MAX_LATENCY_US = 120 * US_PER_S
SIGNIFICANT_DIGITS = 3  # Of values in a histogram.
DEFAULT_RETRY_DELAY_S = 0.05  # If there is no Retry-After, or the client ignores it.
MAX_RETRY_AFTER_S = 5.0
ANSWER_SLACK_S = 0.05  # From the deadline until the client aborts the connection.
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
        counts: Number of requests by outcome (`judge.ENDS`).
        by_second: Number of requests by second of the intended start and by outcome.
        served: Ids of served requests.
        refused: Ids of refused requests.
    """

    latency: HdrHistogram = field(default_factory=histogram)
    counts: Counter[str] = field(default_factory=Counter)
    by_second: dict[int, Counter[str]] = field(default_factory=dict)
    served: list[str] = field(default_factory=list)
    refused: list[str] = field(default_factory=list)

    def end(self, kind: str, intended_s: float) -> None:
        """Count a request whose outcome is `kind`."""
        self.counts[kind] += 1
        self.by_second.setdefault(int(intended_s), Counter())[kind] += 1


@dataclass(slots=True)
class LoadRequest:
    """One attempt of a request by a client.

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
        """Id of the attempt, sent as X-Request-Id."""
        return f"{self.number:x}-{self.attempt}"


class LoadConnection(asyncio.Protocol):
    """Connection to the measured process, with at most one pending request.

    Args:
        load: Owner of the connection, which is notified of answers.
    """

    def __init__(self, load: Load) -> None:
        self.load = load
        self.request: LoadRequest | None = None
        self.transport: asyncio.Transport
        self.timer: asyncio.TimerHandle | None = None
        self._reset_response()

    def _reset_response(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.body = b""
        self.retry_after_s: float | None = None
        self.complete = False
        self.closes_after = False  # Whether the peer closes the connection after this answer.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport = transport  # type: ignore[assignment]

    def send(self, request: LoadRequest, table: ClassTable, now: float) -> None:
        """Send a request, and abort the connection if the answer is not complete in time."""
        self.request = request
        remaining_s = request.intended_s + table.deadline_ms / 1000 - now
        method = "GET" if table.effect == "safe" else "POST"
        header_lines = [
            f"{method} /{request.cls}/part HTTP/1.1",
            "Host: lab",
            f"X-Request-Id: {request.ident}",
        ]
        header_lines.append(f"X-Deadline: {max(int(remaining_s * 1000), 1)}m")
        if table.effect == "keyed":
            header_lines.append(f"Idempotency-Key: {request.number:x}")
        if method == "POST":
            header_lines.append("Content-Length: 0")
        self.timer = self.load.loop.call_later(remaining_s + ANSWER_SLACK_S, self.transport.abort)
        self.transport.write("\r\n".join(header_lines).encode() + b"\r\n\r\n")

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and pass a complete answer to the load."""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()
            return
        if self.complete and self.request is not None:
            request, code, body = self.request, self.parser.get_status_code(), self.body
            keep_alive, retry_after_s = (
                not self.closes_after and not self.transport.is_closing(),
                self.retry_after_s,
            )
            self._release()
            if keep_alive:
                self._reset_response()
                self.load.idle.append(self)
            else:
                self.transport.close()
            self.load.answered(request, code, body, retry_after_s)

    def _release(self) -> None:
        self.request = None
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def connection_lost(self, exc: Exception | None) -> None:
        """Report a pending request as unanswered."""
        if self in self.load.idle:
            self.load.idle.remove(self)
        self.load.connection_count -= 1
        request = self.request
        self._release()
        if request is not None:
            self.load.unanswered(request)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store the headers that control retries and the reuse of the connection."""
        header_name = name.lower()
        if header_name == b"retry-after":
            self.retry_after_s = float(value)
        elif header_name == b"connection":
            self.closes_after = value.lower() == b"close"

    def on_body(self, data: bytes) -> None:
        """Append a piece of the body."""
        self.body += data

    def on_message_complete(self) -> None:
        """Mark the answer as complete."""
        self.complete = True


class Load:
    """Sends one load process's part of a scenario's requests: every `of`-th arrival.

    Args:
        scenario: Scenario whose load is sent.
        port: Port of the measured process on loopback.
        index: Number of this load process.
        of: Number of load processes.

    Attributes:
        requests: First attempts that this process sends.
        results: Results by class.
        lag: Histogram of this process's own lateness in microseconds: from the intended start to the send.
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
        class_indexes = rng.choice(len(names), len(times), p=[share / sum(shares) for share in shares])
        own_arrivals = range(index, len(times), of)
        self.requests = [LoadRequest(names[class_indexes[n]], n, 0, float(times[n])) for n in own_arrivals]
        self.results = {name: ClassCounts() for name in names}
        self.lag = histogram()
        self.idle: list[LoadConnection] = []
        self.connection_count = 0
        self.pending = 0
        self.opening_tasks: set[asyncio.Task[None]] = set()
        self.all_ended = asyncio.Event()

    async def play(self) -> None:
        """Send each request at its scheduled time, and wait until all have an outcome."""
        self.began_s = self.loop.time()
        for request in self.requests:
            wait_s = request.intended_s - self._now()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            self.lag.record_value(max(int((self._now() - request.intended_s) * US_PER_S), 1))
            self.pending += 1
            self._send(request)
        while self.pending:
            self.all_ended.clear()
            await self.all_ended.wait()

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
        self.opening_tasks.add(task)
        task.add_done_callback(self.opening_tasks.discard)

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
        """Record an answer; retry a refused request after a delay, as the scenario allows."""
        counts, table, load = (
            self.results[request.cls],
            self.scenario.classes[request.cls],
            self.scenario.load,
        )
        elapsed_s = self._now() - request.intended_s
        if code == HTTP_OK and body == request.ident.encode():
            counts.latency.record_value(max(int(elapsed_s * US_PER_S), 1))
            counts.served.append(request.ident)
            self._end(request, "in_aim" if elapsed_s <= table.aim_ms / 1000 else "late")
        elif code in REJECTION_CODES:
            counts.refused.append(request.ident)
            delay_s = DEFAULT_RETRY_DELAY_S
            if load.heeds_retry_after and retry_after_s is not None:
                delay_s = min(retry_after_s, MAX_RETRY_AFTER_S)
            if request.attempt < load.retries and elapsed_s + delay_s < table.deadline_ms / 1000:
                retry = LoadRequest(request.cls, request.number, request.attempt + 1, request.intended_s)
                self.loop.call_later(delay_s, self._send, retry)
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
            self.all_ended.set()
