"""Endpoints that handle a request's head before its body arrives, for streamed messages."""

import asyncio
import hashlib

from net_helpers import HOST, http_response

KB = 1024
LARGE_BODY = bytes(range(256)) * 4 * KB  # 1 MiB


async def read_body(reader, headers):
    """Read a request body framed by Content-Length or by chunked transfer coding."""
    if "transfer-encoding" not in headers:
        return await reader.readexactly(int(headers.get("content-length", 0)))
    body = b""
    while size := int(await reader.readline(), 16):
        body += await reader.readexactly(size)
        await reader.readline()
    await reader.readline()
    return body


class StreamingEndpoint:
    """An endpoint whose handler gets each request's headers before the body is read.

    Attributes:
        handler: Coroutine function called with (headers, reader, writer).
        heads: Request line and headers of each request.
        closed_connections: Number of accepted connections that are closed again.
    """

    def __init__(self, handler):
        self.handler = handler
        self.heads = []
        self.closed_connections = 0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, HOST, 0, limit=16 * KB)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader, writer):
        try:
            while True:
                lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                headers = {
                    name.lower(): value for name, value in (line.split(": ", 1) for line in lines[1:] if line)
                }
                self.heads.append((lines[0], headers))
                await self.handler(headers, reader, writer)
        except (OSError, EOFError):
            pass
        finally:
            self.closed_connections += 1
            writer.close()


async def respond_with_digest(headers, reader, writer):
    body = await read_body(reader, headers)
    writer.write(http_response(200, hashlib.sha256(body).hexdigest().encode()))
