"""Servers that answer every request immediately: `python -m standins.parts [COUNT]`, one port each.

The protocol is the platform's HTTP/1.1; benchmarks use them behind the sidecar. The process prints its ports
on one line and runs until standard input ends, so that it never outlives its parent.
"""

from __future__ import annotations

import asyncio
import sys

import httptools
import uvloop

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 64\r\n\r\n" + b"p" * 64


class ServerConnection(asyncio.Protocol):
    """A client connection; every complete request is answered with a body of 64 bytes."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Create the parser of the connection."""
        self.transport = transport
        self.parser = httptools.HttpRequestParser(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        self.parser.feed_data(data)

    def on_message_complete(self) -> None:
        """Answer a complete request."""
        self.transport.write(ANSWER)  # type: ignore[attr-defined]


async def serve(count: int) -> None:
    """Serve on `count` ports until standard input ends."""
    loop = asyncio.get_running_loop()
    servers = [await loop.create_server(ServerConnection, "127.0.0.1", 0) for _ in range(count)]
    print(*(server.sockets[0].getsockname()[1] for server in servers), flush=True)
    await loop.run_in_executor(None, sys.stdin.read)


if __name__ == "__main__":
    uvloop.run(serve(int(sys.argv[1]) if len(sys.argv) > 1 else 1))
