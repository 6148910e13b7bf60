"""Clients of the soak: requests with an outcome each, and crowds that are slow, stuck or greedy."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import time
from dataclasses import dataclass

from .plans import KB, LOOKUP, ORDER, RequestPlan, ServerPlan, new_id
from .servers import HOST

ANSWER_TIMEOUT_S = 8.0  # A request without a final answer for this long after its time has none.
STREAM_LIMIT_BYTES = 64 * KB
SMALL_RECEIVE_BUFFER_BYTES = 8 * KB
# RuntimeError: uvloop raises it for a write on a transport that was closed in the meantime.
BROKEN_CONNECTION = (OSError, EOFError, RuntimeError, asyncio.LimitOverrunError)


@dataclass(slots=True)
class Outcome:
    """What became of one request; times in seconds of the monotonic clock, 0 for never.

    Attributes:
        request_id: Its id.
        plan: Its plan.
        sent_s: Time of its last byte; of the end if that was never written.
        first_byte_s: Time of the first byte of the final answer.
        ended_s: Time of the answer's last byte, or of the end of the connection.
        status: Status of the final answer; 0 without one.
        body: Bytes of the answer's body that were received.
        whole: Whether the answer is whole.
        reused: Whether the connection had carried a request before.
        written: Whether the last byte was written.
        problem: Why there is no whole answer.
    """

    request_id: str
    plan: RequestPlan
    sent_s: float = 0.0
    first_byte_s: float = 0.0
    ended_s: float = 0.0
    status: int = 0
    body: int = 0
    whole: bool = False
    reused: bool = False
    written: bool = False
    problem: str = ""

    @property
    def due_s(self) -> float:
        """Time until which its client waits."""
        return self.sent_s + self.plan.wait_s


class Connection:
    """One client connection, with one request at a time.

    Args:
        port: Port of the sidecar.
    """

    def __init__(self, port: int) -> None:
        self.port = port
        self.used = False
        self.keep = True
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self, receive_buffer: int = 0) -> None:
        """Connect; a small receive buffer makes a slow reader felt at the other end."""
        sock = socket.socket()
        if receive_buffer:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.setblocking(False)
        await asyncio.get_running_loop().sock_connect(sock, (HOST, self.port))
        self._reader, self._writer = await asyncio.open_connection(sock=sock, limit=STREAM_LIMIT_BYTES)

    async def ask(self, plan: RequestPlan, request_id: str = "") -> Outcome:
        """Send a request, and wait for its final answer or the end of the connection."""
        outcome = Outcome(request_id or new_id(), plan, reused=self.used)
        self.used = True
        assert self._reader is not None
        reading = asyncio.ensure_future(self._read(outcome))
        writing = asyncio.ensure_future(self._write(outcome))
        try:
            timeout_s = (
                plan.wait_s + ANSWER_TIMEOUT_S + (plan.server.size / plan.read_rate if plan.read_rate else 0)
            )
            async with asyncio.timeout(timeout_s):
                await asyncio.wait([writing, reading], return_when=asyncio.FIRST_COMPLETED)
                await reading
        except TimeoutError:
            outcome.problem = "no whole answer in time"
        except (*BROKEN_CONNECTION, ValueError) as error:
            outcome.problem = f"connection ended: {type(error).__name__}"
        finally:
            for task in (reading, writing):
                task.cancel()
            await asyncio.gather(reading, writing, return_exceptions=True)
        outcome.written = outcome.sent_s > 0
        outcome.sent_s = outcome.sent_s or time.monotonic()
        outcome.ended_s = time.monotonic()
        self.keep = self.keep and outcome.whole
        return outcome

    async def _write(self, outcome: Outcome) -> None:
        plan, writer = outcome.plan, self._writer
        assert writer is not None
        writer.write(plan.head(outcome.request_id))
        sent, began_s = 0, time.monotonic()
        while sent < plan.body:
            piece = min(8 * KB, plan.body - sent)
            writer.write(b"%x\r\n%s\r\n" % (piece, b"b" * piece) if plan.chunked else b"b" * piece)
            await writer.drain()
            sent += piece
            if plan.write_rate:
                await asyncio.sleep(max(began_s + sent / plan.write_rate - time.monotonic(), 0))
        if plan.body and plan.chunked:
            writer.write(b"0\r\n\r\n")
        writer.transport.set_write_buffer_limits(high=0)
        await writer.drain()  # The last byte counts once the kernel has it.
        outcome.sent_s = time.monotonic()

    async def _read(self, outcome: Outcome) -> None:
        reader = self._reader
        assert reader is not None
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        outcome.first_byte_s = time.monotonic()
        outcome.status = int(head.split(" ", 2)[1])
        self.keep = "connection: close" not in head
        if "transfer-encoding: chunked" in head:
            while size := int(await reader.readline(), 16):
                await self._read_bytes(size, outcome)
                await reader.readline()
            await reader.readline()
        else:
            await self._read_bytes(int(head.split("content-length:", 1)[1].split("\r\n", 1)[0]), outcome)
        outcome.whole = True

    async def _read_bytes(self, size: int, outcome: Outcome) -> None:
        assert self._reader is not None
        while size:
            data = await self._reader.readexactly(min(size, 4 * KB))
            size -= len(data)
            outcome.body += len(data)
            if rate := outcome.plan.read_rate:
                due_s = outcome.first_byte_s + outcome.body / rate
                await asyncio.sleep(max(due_s - time.monotonic(), 0))

    async def send(self, data: bytes) -> None:
        """Write bytes, and wait until the connection takes more."""
        assert self._writer is not None
        self._writer.write(data)
        await self._writer.drain()

    async def read_until_closed(self, timeout_s: float) -> None:
        """Read and drop what comes, until the sidecar closes or the time is up."""
        assert self._reader is not None
        with contextlib.suppress(*BROKEN_CONNECTION, TimeoutError):
            async with asyncio.timeout(timeout_s):
                while await self._reader.read(4 * KB):
                    pass

    def close(self, reset: bool = False) -> None:
        """Close the connection."""
        if self._writer is not None:
            if reset:
                self._writer.transport.abort()
            self._writer.close()


async def ask_once(port: int, plan: RequestPlan) -> Outcome:
    """Send a request on a connection of its own."""
    connection = Connection(port)
    try:
        await connection.open(SMALL_RECEIVE_BUFFER_BYTES if plan.read_rate else 0)
        return await connection.ask(plan)
    except BROKEN_CONNECTION as error:
        return Outcome(new_id(), plan, problem=f"not connected: {type(error).__name__}")
    finally:
        connection.close()


# Members of a crowd; each stays for some seconds whatever it is told.


async def stop_in_body(port: int, rng: random.Random, stay_s: float) -> None:
    """Write the half of a large body, and stay."""
    size = rng.choice([60 * KB, 200 * KB, 1024 * KB, 8 * 1024 * KB])
    plan = RequestPlan("half", ORDER, 3.0, body=size)
    await _stay(port, [plan.head(new_id()), b"b" * min(size // 2, 600 * KB)], stay_s)


async def stop_in_chunked_body(port: int, rng: random.Random, stay_s: float) -> None:
    """Write the half of a body in chunks, and stay."""
    plan = RequestPlan("half", ORDER, 3.0, body=1, chunked=True)
    size = rng.choice([8 * KB, 50 * KB, 300 * KB])
    chunk = rng.choice([16, 512, 8 * KB])
    piece = b"%x\r\n%s\r\n" % (chunk, b"b" * chunk)
    await _stay(port, [plan.head(new_id()), piece * (size // chunk)], stay_s)


async def send_short_fields(port: int, rng: random.Random, stay_s: float) -> None:
    """Write a head of very many short fields, which may end."""
    head = RequestPlan("fields", LOOKUP, 3.0, ServerPlan(delay_s=2.0)).head(new_id())[:-2]
    count = rng.choice([30, 200, 250, 4000])
    fields = b"".join(b"%x: 1\r\n" % number for number in range(count))
    await _stay(port, [head + fields + rng.choice([b"", b"\r\n"])], stay_s)


async def write_slowly(port: int, rng: random.Random, stay_s: float) -> None:
    """Write a request in small pieces, over two seconds for the head."""
    plan = RequestPlan("slow-write", ORDER, 3.0, body=rng.choice([400, 60 * KB, 200 * KB]))
    data = plan.head(new_id()) + b"b" * plan.body
    piece = max(len(data) // 60, 16)
    await _stay(port, [data[start : start + piece] for start in range(0, len(data), piece)], stay_s, 0.03)


async def read_slowly(port: int, rng: random.Random, stay_s: float) -> None:
    """Ask for a long answer, and read it slowly or not at all."""
    size = rng.choice([60 * KB, 300 * KB, 2048 * KB, 16 * 1024 * KB])
    server = ServerPlan(size=size, chunked=rng.choice([False, True]), piece=16 * KB)
    connection = Connection(port)
    with contextlib.suppress(*BROKEN_CONNECTION):
        await connection.open(SMALL_RECEIVE_BUFFER_BYTES)
        if rng.choice([True, False, False]):
            await connection.send(RequestPlan("unread", LOOKUP, 3.0, server).head(new_id()))
            await asyncio.sleep(stay_s)
        else:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(stay_s):
                    await connection.ask(RequestPlan("slow-read", LOOKUP, 3.0, server, read_rate=32 * KB))
    connection.close()


async def _stay(port: int, pieces: list[bytes], stay_s: float, gap_s: float = 0.0) -> None:
    connection = Connection(port)
    end_s = time.monotonic() + stay_s
    with contextlib.suppress(*BROKEN_CONNECTION, TimeoutError):
        async with asyncio.timeout(stay_s):
            await connection.open()
            for piece in pieces:
                await connection.send(piece)
                if gap_s:
                    await asyncio.sleep(gap_s)
    await _finish(connection, end_s)


async def _finish(connection: Connection, end_s: float) -> None:
    with contextlib.suppress(AssertionError):
        await connection.read_until_closed(max(end_s - time.monotonic(), 0))
    connection.close()


CROWDS = {
    "half-bodies": (stop_in_body,),
    "half-chunked-bodies": (stop_in_chunked_body,),
    "short-fields": (send_short_fields,),
    "slow-writers": (write_slowly,),
    "slow-readers": (read_slowly,),
    "mix": (stop_in_body, stop_in_chunked_body, send_short_fields, write_slowly, read_slowly),
}
