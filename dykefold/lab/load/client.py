"""Open-loop clients: a request goes out when its time has come, whatever the answers do.

Latency counts from the intended start, so that a system that stalls can't hide the requests that it kept from
being sent (coordinated omission). The tool's own lateness is kept beside it, and a run in which that is
large says nothing.
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
DIGITS = 3  # significant ones that a histogram keeps
RETRY_PAUSE_S = 0.05  # of a client that is told no time, or heeds none
MAX_RETRY_AFTER_S = 5.0
ANSWER_SLACK_S = 0.05  # beyond a deadline until a client gives up


def histogram() -> HdrHistogram:
    """Of microseconds, up to two minutes."""
    return HdrHistogram(1, MAX_LATENCY_US, DIGITS)


@dataclass(slots=True)
class Seen:
    """What one load process saw of one class."""

    latency: HdrHistogram = field(default_factory=histogram)  # of served first tries and their retries
    counts: Counter[str] = field(default_factory=Counter)  # as `judge.ENDS` names them
    by_second: dict[int, Counter[str]] = field(default_factory=dict)  # of the intended start
    served: list[str] = field(default_factory=list)  # ids, for the judge
    refused: list[str] = field(default_factory=list)

    def end(self, kind: str, intended_s: float) -> None:
        self.counts[kind] += 1
        self.by_second.setdefault(int(intended_s), Counter())[kind] += 1


@dataclass(slots=True)
class Ask:
    """One request of a client; its retries keep the intended start."""

    cls: str
    number: int
    tries: int
    intended_s: float

    @property
    def ident(self) -> str:
        return f"{self.number:x}-{self.tries}"


class Line(asyncio.Protocol):
    """A connection to what is measured, with at most one request on it."""

    def __init__(self, load: Load) -> None:
        self.load = load
        self.ask: Ask | None = None
        self.transport: asyncio.Transport
        self.timer: asyncio.TimerHandle | None = None
        self._begin()

    def _begin(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.body = b""
        self.retry_after_s: float | None = None
        self.whole = False
        self.ending = False  # the other side closes behind this answer

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]

    def send(self, ask: Ask, table: ClassTable, now: float) -> None:
        self.ask = ask
        left_s = ask.intended_s + table.deadline_ms / 1000 - now
        method = "GET" if table.effect == "safe" else "POST"
        lines = [f"{method} /{ask.cls}/part HTTP/1.1", "Host: lab", f"X-Request-Id: {ask.ident}"]
        lines.append(f"X-Deadline: {max(int(left_s * 1000), 1)}m")
        if table.effect == "keyed":
            lines.append(f"Idempotency-Key: {ask.number:x}")
        if method == "POST":
            lines.append("Content-Length: 0")
        self.timer = self.load.loop.call_later(left_s + ANSWER_SLACK_S, self.transport.abort)
        self.transport.write("\r\n".join(lines).encode() + b"\r\n\r\n")

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.abort()
            return
        if self.whole and self.ask is not None:
            ask, code, body = self.ask, self.parser.get_status_code(), self.body
            keep, after_s = not self.ending and not self.transport.is_closing(), self.retry_after_s
            self._release()
            if keep:
                self._begin()
                self.load.idle.append(self)
            else:
                self.transport.close()
            self.load.answered(ask, code, body, after_s)

    def _release(self) -> None:
        self.ask = None
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def connection_lost(self, exc: Exception | None) -> None:
        if self in self.load.idle:
            self.load.idle.remove(self)
        self.load.lines -= 1
        ask = self.ask
        self._release()
        if ask is not None:
            self.load.unanswered(ask)

    def on_header(self, name: bytes, value: bytes) -> None:
        low = name.lower()
        if low == b"retry-after":
            self.retry_after_s = float(value)
        elif low == b"connection":
            self.ending = value.lower() == b"close"

    def on_body(self, data: bytes) -> None:
        self.body += data

    def on_message_complete(self) -> None:
        self.whole = True


class Load:
    """A share of a scenario's requests: one of `of` processes sends every `of`-th arrival."""

    def __init__(self, scenario: Scenario, port: int, index: int, of: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.scenario = scenario
        self.port = port
        chance = generator(scenario.seed, "arrivals")
        times = arrival_times(scenario.load, scenario.span_s, chance)
        names = list(scenario.classes)
        shares = [scenario.classes[name].share for name in names]
        drawn = chance.choice(len(names), len(times), p=[share / sum(shares) for share in shares])
        mine = range(index, len(times), of)
        self.asks = [Ask(names[drawn[n]], n, 0, float(times[n])) for n in mine]
        self.seen = {name: Seen() for name in names}
        self.lag = histogram()  # of the tool itself: from the intended start to the send
        self.idle: list[Line] = []
        self.lines = 0
        self.open = 0
        self.opening: set[asyncio.Task[None]] = set()
        self.done = asyncio.Event()

    async def play(self) -> None:
        """Send all, each at its time, and wait for the last answer."""
        self.began_s = self.loop.time()
        for ask in self.asks:
            wait_s = ask.intended_s - self._now()
            if wait_s > 0:
                await asyncio.sleep(wait_s)
            self.lag.record_value(max(int((self._now() - ask.intended_s) * US), 1))
            self.open += 1
            self._send(ask)
        while self.open:
            self.done.clear()
            await self.done.wait()

    def _now(self) -> float:
        return self.loop.time() - self.began_s

    def _send(self, ask: Ask) -> None:
        table = self.scenario.classes[ask.cls]
        while self.idle:
            line = self.idle.pop()
            if not line.transport.is_closing():
                line.send(ask, table, self._now())
                return
        if self.lines >= self.scenario.load.connections_most:
            self._end(ask, "unsent")
            return
        self.lines += 1
        task = self.loop.create_task(self._open_line(ask, table))
        self.opening.add(task)
        task.add_done_callback(self.opening.discard)

    async def _open_line(self, ask: Ask, table: ClassTable) -> None:
        try:
            _, line = await self.loop.create_connection(lambda: Line(self), "127.0.0.1", self.port)
        except OSError:
            self.lines -= 1
            self._end(ask, "unanswered")
            return
        line.send(ask, table, self._now())

    def answered(self, ask: Ask, code: int, body: bytes, retry_after_s: float | None) -> None:
        seen, table, load = self.seen[ask.cls], self.scenario.classes[ask.cls], self.scenario.load
        took_s = self._now() - ask.intended_s
        if code == 200 and body == ask.ident.encode():
            seen.latency.record_value(max(int(took_s * US), 1))
            seen.served.append(ask.ident)
            self._end(ask, "in_aim" if took_s <= table.aim_ms / 1000 else "late")
        elif code in (429, 503):
            seen.refused.append(ask.ident)
            pause_s = RETRY_PAUSE_S
            if load.heeds_retry_after and retry_after_s is not None:
                pause_s = min(retry_after_s, MAX_RETRY_AFTER_S)
            if ask.tries < load.retries and took_s + pause_s < table.deadline_ms / 1000:
                again = Ask(ask.cls, ask.number, ask.tries + 1, ask.intended_s)
                self.loop.call_later(pause_s, self._send, again)
            else:
                self._end(ask, "refused")
        else:
            self._end(ask, "failed")

    def unanswered(self, ask: Ask) -> None:
        self._end(ask, "unanswered")

    def _end(self, ask: Ask, kind: str) -> None:
        self.seen[ask.cls].end(kind, ask.intended_s)
        self.open -= 1
        if not self.open:
            self.done.set()
