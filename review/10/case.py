"""Answers over 64 KiB without a length that servers write slowly, in pieces."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig2  # noqa: E402
from rig2 import Discovery, Record, Request, Server, Sidecar  # noqa: E402

# As in sapporo-billing.
SHARE = rig2.request_class("share-transfer", 1500, 750, "token")
DEADLINE_MS = 1500
FIRST_BYTES_S = 0.6  # within the class's aim of 0.75 s
# The rate that the page sets for slow bodies: 64 kB a second.
BYTES_PER_S = 64_000
PAUSE_S = 0.05
PIECE_BYTES = int(BYTES_PER_S * PAUSE_S)
PIECES = 62  # 198 kB, so well over 64 KiB
REQUESTS = 6
TIMEOUT_S = 15.0


class SlowAnswers:
    """Servers that answer each request with one long chunked answer, and what became of it.

    Args:
        record: Record of the case.

    Attributes:
        cut_off: Ids of the requests whose answer the sidecar cut off.
    """

    def __init__(self, record: Record) -> None:
        self.record = record
        self.cut_off: list[str] = []

    async def serve(self, request: Request) -> None:
        """Write the answer piece by piece."""
        transport = request.connection.transport
        await asyncio.sleep(FIRST_BYTES_S)
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        rest = body_of(request.id)
        self.record.write(f"first bytes of the answer to {request.id}")
        while rest:
            if request.connection.closed:
                given = PIECES * PIECE_BYTES - len(rest)
                self.record.write(f"the sidecar cuts off the answer to {request.id} after {given} bytes")
                self.cut_off.append(request.id)
                return
            piece, rest = rest[:PIECE_BYTES], rest[PIECE_BYTES:]
            transport.write(head + b"%x\r\n%s\r\n" % (len(piece), piece))
            head = b""
            if rig2.TROUBLE:
                await asyncio.sleep(PAUSE_S)
        transport.write(b"0\r\n\r\n")
        self.record.write(f"last byte of the answer to {request.id}")


def body_of(request_id: str) -> bytes:
    """Return the body of the answer to a request."""
    text = f"{request_id} ".encode()
    return (text * (PIECES * PIECE_BYTES // len(text) + 1))[: PIECES * PIECE_BYTES]


async def ask(record: Record, port: int) -> bool:
    """Send one request; return whether it got the whole answer of its server."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    request_id = rig2.new_id()
    writer.write(rig2.encode(SHARE, request_id, DEADLINE_MS))
    record.write(f"client sends {request_id}")
    code, body = b"none", b""
    try:
        async with asyncio.timeout(TIMEOUT_S):
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            code = head.split()[1]
            body = await read_body(reader, head)
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError) as error:
        record.write(f"client: {request_id}: {type(error).__name__}")
    whole = code == b"200" and body == body_of(request_id)
    record.write(f"client: {request_id}: {code.decode()}, {len(body)} bytes, whole: {whole}")
    writer.close()
    return whole


async def read_body(reader: asyncio.StreamReader, head: bytes) -> bytes:
    """Return the body behind a head, in either framing."""
    if b"transfer-encoding: chunked" not in head:
        return await reader.readexactly(int(head.partition(b"content-length:")[2].split()[0]))
    body = b""
    while size := int(await reader.readuntil(b"\r\n"), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    return body


async def main(record: Record) -> bool:
    """Play the case; return whether the rule held."""
    answers = SlowAnswers(record)
    servers = [Server(record, f"s{number}", answers.serve) for number in range(4)]
    for server in servers:
        await server.up()
    discovery = Discovery(record, [server.entry() for server in servers])
    await discovery.up()
    sidecar = Sidecar(record, rig2.configuration(discovery, [SHARE]))
    whole = 0
    try:
        await sidecar.start()
        for _ in range(REQUESTS):
            whole += await ask(record, sidecar.port)
    finally:
        sidecar.close()
    forwarded = sum(len(server.requests) for server in servers)
    if not forwarded:
        problem = "nothing was forwarded"
        raise rig2.CouldNotRunError(problem)
    cut_off = len(answers.cut_off)
    record.write(f"{REQUESTS} requests, {forwarded} forwarded, {whole} whole answers, {cut_off} cut off")
    return not answers.cut_off


if __name__ == "__main__":
    rig2.play(FOLDER, main)
