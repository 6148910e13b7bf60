"""Servers that see a request's head before its body, for long messages."""

import asyncio
import hashlib

from net_helpers import HOST, reply

KB = 1024
BIG = bytes(range(256)) * 4 * KB  # 1 MiB


async def read_body(reader, headers):
    """A request's body, in either framing."""
    if "transfer-encoding" not in headers:
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while size := int(await reader.readline(), 16):
        body += await reader.readexactly(size)
        await reader.readline()
    await reader.readline()
    return body


class Server:
    """A server whose `act` gets each request's head before its body is read."""

    def __init__(self, act):
        self.act = act
        self.heads = []
        self.ended = 0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, HOST, 0, limit=16 * KB)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader, writer):
        try:
            while True:
                lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                headers = {name.lower(): value for name, value in (x.split(": ", 1) for x in lines[1:] if x)}
                self.heads.append((lines[0], headers))
                await self.act(headers, reader, writer)
        except (OSError, EOFError):
            pass
        finally:
            self.ended += 1
            writer.close()


async def digest(headers, reader, writer):
    body = await read_body(reader, headers)
    writer.write(reply(200, hashlib.sha256(body).hexdigest().encode()))
