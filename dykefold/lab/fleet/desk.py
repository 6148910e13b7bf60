"""A desk: the application beside one sidecar. Its requests come at their own times, and each end is kept."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Iterator
from dataclasses import dataclass
from enum import StrEnum

import numpy as np

from ..scenario import ClassTable
from .process import Address

ANSWER_SLACK_S = 0.05  # beyond a request's time (PROTOCOL, the rules on sockets)
AWAIT_S = 3.0  # beyond that, to tell an answer that came too late from none
HEAD_MOST = 64 * 1024


class End(StrEnum):
    """How a request ended, as its desk saw it."""

    OPEN = "open"
    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    LATE = "late"  # a whole answer after the request's time
    LOST = "lost"  # it was written, and no whole answer came
    CROSSED = "crossed"  # its kept connection ended with nothing read: another was sent in its place
    UNSENT = "unsent"  # nobody took the connection


@dataclass(slots=True)
class Asked:
    """One request. Seconds are of the rig's clock."""

    ident: str
    cls: str
    desk: int
    sent_s: float
    ended_s: float = -1.0
    end: End = End.OPEN
    code: int = 0
    body: str = ""


class Desk:
    """Sends requests to one sidecar, whatever becomes of those before.

    Args:
        rate: requests a second, as a Poisson stream.
        new_share: of the requests that are sent on a new connection, which is then closed.
        again: times that a request which was refused or failed is asked again at once, under a new id.
    """

    def __init__(
        self,
        number: int,
        classes: dict[str, ClassTable],
        rate: float,
        chance: np.random.Generator,
        new_share: float = 0.0,
        again: int = 0,
    ) -> None:
        self.number = number
        self.classes = classes
        self.rate = rate
        self.chance = chance
        self.new_share = new_share
        self.again = again
        self.address: Address | None = None  # of its sidecar
        self.asked: list[Asked] = []
        self.idle: list[tuple[asyncio.StreamReader, asyncio.StreamWriter]] = []
        self.open: set[asyncio.Task[None]] = set()
        names = list(classes)
        shares = np.array([classes[name].share for name in names])
        self._names = names
        self._shares = shares / shares.sum()

    async def play(self) -> None:
        """Send until cancelled."""
        loop = asyncio.get_running_loop()
        next_s = loop.time()
        while True:
            next_s += float(self.chance.exponential(1.0 / self.rate))
            await asyncio.sleep(max(next_s - loop.time(), 0.0))
            self.send()

    def send(self, cls: str | None = None, again: int | None = None) -> asyncio.Task[None]:
        """Send one request now."""
        name = cls or self._names[int(self.chance.choice(len(self._names), p=self._shares))]
        ident = f"{self.number:x}-{len(self.asked):x}"
        asked = Asked(ident, name, self.number, asyncio.get_running_loop().time())
        self.asked.append(asked)
        new = bool(self.chance.random() < self.new_share)
        task = asyncio.get_running_loop().create_task(
            self._ask(asked, new, self.again if again is None else again)
        )
        self.open.add(task)
        task.add_done_callback(self.open.discard)
        return task

    async def rest(self) -> None:
        """Wait until every request has ended."""
        while self.open:
            await asyncio.wait(list(self.open))

    async def _ask(self, asked: Asked, new: bool, again: int) -> None:
        loop = asyncio.get_running_loop()
        due_s = asked.sent_s + self.classes[asked.cls].deadline_ms / 1000
        try:
            async with asyncio.timeout_at(due_s + ANSWER_SLACK_S + AWAIT_S):
                asked.end = await self._exchange(asked, due_s, new)
        except TimeoutError:
            asked.end = End.LOST
        asked.ended_s = loop.time()
        if asked.end is not End.LOST and asked.code and asked.ended_s > due_s + ANSWER_SLACK_S:
            asked.end = End.LATE
        if again and asked.end in (End.REFUSED, End.FAILED):
            self.send(asked.cls, again - 1)

    async def _exchange(self, asked: Asked, due_s: float, new: bool) -> End:
        kept = None if new else self._take_idle()
        try:
            reader, writer = kept or await self._connect(due_s)
        except (OSError, TimeoutError):
            return End.UNSENT
        first = b""
        try:
            writer.write(self._message(asked, due_s))
            first = await reader.read(HEAD_MOST)
            if first:
                return await self._answer(asked, reader, writer, first, new)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            if not self._is_idle(writer):
                writer.close()
        if first or kept is None:
            return End.LOST
        # It may have crossed a close between requests: then the client sends it once more (PROTOCOL). Under
        # a new id, since whether the first was read shows only at the servers.
        self.send(asked.cls)
        return End.CROSSED

    def _take_idle(self) -> tuple[asyncio.StreamReader, asyncio.StreamWriter] | None:
        while self.idle:
            reader, writer = self.idle.pop()
            if not writer.is_closing() and not reader.at_eof():
                return reader, writer
            writer.close()
        return None

    def _is_idle(self, writer: asyncio.StreamWriter) -> bool:
        return bool(self.idle) and self.idle[-1][1] is writer

    async def _connect(self, due_s: float) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        if self.address is None:
            raise ConnectionError("no sidecar")
        async with asyncio.timeout_at(due_s):
            return await asyncio.open_connection(*self.address)

    def _message(self, asked: Asked, due_s: float) -> bytes:
        table = self.classes[asked.cls]
        left_ms = max(int((due_s - asyncio.get_running_loop().time()) * 1000), 1)
        lines = ["GET" if table.effect == "safe" else "POST"]
        lines = [f"{lines[0]} /{asked.cls}/part HTTP/1.1", "Host: rig", f"X-Request-Id: {asked.ident}"]
        lines.append(f"X-Deadline: {left_ms}m")
        if table.effect == "keyed":
            lines.append(f"Idempotency-Key: {asked.ident}")
        if table.effect != "safe":
            lines.append("Content-Length: 0")
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    async def _answer(
        self,
        asked: Asked,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        data: bytes,
        new: bool,
    ) -> End:
        while b"\r\n\r\n" not in data:
            more = await reader.read(HEAD_MOST)
            if not more or len(data) > HEAD_MOST:
                return End.LOST
            data += more
        head, _, body = data.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").lower().split("\r\n")
        headers = dict(line.split(": ", 1) for line in lines[1:])
        missing = int(headers.get("content-length", 0)) - len(body)
        if missing > 0:
            body += await reader.readexactly(missing)
        asked.code = int(lines[0].split()[1])
        asked.body = body.decode("latin-1")
        if new or headers.get("connection") == "close":
            writer.close()
        else:
            self.idle.append((reader, writer))
        if asked.code == 200:
            return End.SERVED
        return End.REFUSED if asked.code in (429, 503) else End.FAILED

    def close(self) -> None:
        """Let go of the connections that are kept."""
        for _, writer in self.idle:
            writer.close()
        self.idle.clear()


@contextlib.asynccontextmanager
async def playing(desks: list[Desk]):  # type: ignore[no-untyped-def]
    """Have desks send for as long as this lasts, and wait for their last answers."""
    loop = asyncio.get_running_loop()
    tasks = [loop.create_task(desk.play()) for desk in desks]
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        for desk in desks:
            await desk.rest()
            desk.close()


def all_asked(desks: list[Desk]) -> Iterator[Asked]:
    """Every request of these desks."""
    for desk in desks:
        yield from desk.asked
