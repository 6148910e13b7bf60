"""Servers that read and answer each request as its plan says, and record every attempt."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time
from dataclasses import dataclass

from .plans import KB, ServerPlan

HOST = "127.0.0.1"
STUCK_S = 30.0  # Longer than any client waits.
STEP_S = 0.02  # Between two pieces of a slow read or write.
STREAM_LIMIT_BYTES = 16 * KB
RECEIVE_BUFFER_BYTES = 32 * KB  # A server that does not read is felt soon.


@dataclass(slots=True)
class AttemptRecord:
    """One attempt as its server saw it; times in seconds of the monotonic clock, 0 for never.

    Attributes:
        request_id: Id of the request.
        server: Name of the server.
        head_s: Time of the head.
        complete_s: Time of the request's last byte.
        began_s: Time of the first byte of the answer.
        given: Bytes of the answer's body that were written.
        answered_s: Time of the answer's last byte.
        closed_s: Time at which the sidecar closed the connection before the answer was whole.
    """

    request_id: str
    server: str
    head_s: float
    complete_s: float = 0.0
    began_s: float = 0.0
    given: int = 0
    answered_s: float = 0.0
    closed_s: float = 0.0


class ScriptedServer:
    """A server whose behaviour is in the target of each request.

    Args:
        name: Name in discovery's list.
        attempts: List that its attempts are appended to.
    """

    def __init__(self, name: str, attempts: list[AttemptRecord]) -> None:
        self.name = name
        self.attempts = attempts
        self.port = 0
        self._server: asyncio.Server | None = None
        self._connections: set[asyncio.Task[None]] = set()  # A task without a reference may be collected.

    async def start(self, port: int = 0) -> None:
        """Listen on a port; on any free one without a number."""
        listener = socket.create_server((HOST, port))
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._server = await asyncio.start_server(self._accept, sock=listener, limit=STREAM_LIMIT_BYTES)
        self.port = self._server.sockets[0].getsockname()[1]

    def entry(self) -> dict[str, object]:
        """Return the server's entry in the endpoint list."""
        return {
            "name": self.name, "address": f"{HOST}:{self.port}", "zone": "a", "type": "std", "group": 1,
            "status": "SERVING", "weight": 1.0, "since_ms": 0,
        }  # fmt: skip

    def close(self) -> None:
        """Stop listening, and end all connections."""
        if self._server is not None:
            self._server.close()
        for task in self._connections:
            task.cancel()

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.ensure_future(self._serve(reader, writer))
        self._connections.add(task)
        task.add_done_callback(self._connections.discard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                attempt = AttemptRecord(_header(head, "x-request-id"), self.name, time.monotonic())
                self.attempts.append(attempt)
                try:
                    await self._handle(head, attempt, reader, writer)
                finally:
                    if not attempt.answered_s:
                        attempt.closed_s = time.monotonic()
        writer.close()

    async def _handle(
        self,
        head: str,
        attempt: AttemptRecord,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        plan = ServerPlan.from_target(head.split(" ", 2)[1])
        await _read_body(head, plan, reader)
        attempt.complete_s = time.monotonic()
        await _pause(plan.delay_s, reader)
        attempt.began_s = time.monotonic()
        framing = "Transfer-Encoding: chunked" if plan.chunked else f"Content-Length: {plan.size}"
        writer.write(f"HTTP/1.1 200 OK\r\n{framing}\r\n\r\n".encode())
        body = _BodyWriter(plan, attempt, reader, writer)
        await body.write(plan.first)
        await _pause(plan.pause_s, reader)
        await body.write(plan.size - plan.first, plan.rate)
        if plan.chunked:
            writer.write(b"0\r\n\r\n")
        await writer.drain()
        attempt.answered_s = time.monotonic()


def _header(head: str, name: str) -> str:
    for line in head.split("\r\n")[1:]:
        key, _, value = line.partition(":")
        if key.strip().lower() == name:
            return value.strip()
    return ""


async def _read_body(head: str, plan: ServerPlan, reader: asyncio.StreamReader) -> None:
    received, began_s = 0, time.monotonic()
    chunked = "chunked" in _header(head, "transfer-encoding")
    remaining = 0 if chunked else int(_header(head, "content-length") or 0)
    while chunked or remaining:
        if chunked and not remaining:
            remaining = int(await reader.readline(), 16)
            if not remaining:
                await reader.readline()
                return
        wanted = min(remaining, 4 * KB)
        if 0 <= plan.stop_at <= received:
            await asyncio.sleep(STUCK_S)
        data = await reader.readexactly(wanted)
        received += len(data)
        remaining -= len(data)
        if chunked and not remaining:
            await reader.readline()
        if plan.read_rate:
            await asyncio.sleep(max(began_s + received / plan.read_rate - time.monotonic(), 0))


async def _pause(duration_s: float, reader: asyncio.StreamReader) -> None:
    """Wait, or raise as soon as the sidecar has closed the connection."""
    end_s = time.monotonic() + duration_s
    while (remaining_s := end_s - time.monotonic()) > 0:
        await asyncio.sleep(min(remaining_s, STEP_S))
        _raise_if_closed(reader)


def _raise_if_closed(reader: asyncio.StreamReader) -> None:
    if reader.at_eof() or reader.exception() is not None:
        raise ConnectionResetError


class _BodyWriter:
    """Writes the body of one answer, as long as the sidecar keeps the connection open."""

    def __init__(
        self,
        plan: ServerPlan,
        attempt: AttemptRecord,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.plan = plan
        self.attempt = attempt
        self.reader = reader
        self.writer = writer

    async def write(self, size: int, rate: int = 0) -> None:
        """Write the next bytes, at a rate in bytes a second; 0 for full speed."""
        sent, began_s = 0, time.monotonic()
        while sent < size:
            piece = min(self.plan.piece, size - sent)
            data = b"%x\r\n%s\r\n" % (piece, b"a" * piece) if self.plan.chunked else b"a" * piece
            self.writer.write(data)
            await self.writer.drain()
            sent += piece
            self.attempt.given += piece
            _raise_if_closed(self.reader)
            if rate:
                await _pause(began_s + sent / rate - time.monotonic(), self.reader)
