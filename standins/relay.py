"""A plain TCP relay, the reference of `benchmarks.relay`: `python -m standins.relay PORT`.

It passes bytes between each client connection and one connection to that port of 127.0.0.1, on the same event
loop as the sidecar, without parsing or decisions: the minimum cost of any proxy on that loop. It prints its
port and runs until its standard input ends.
"""

from __future__ import annotations

import asyncio
import sys

import uvloop


class Upstream(asyncio.Protocol):
    """The connection to the server; it passes bytes to its client."""

    def __init__(self, client: asyncio.Transport) -> None:
        self.client = client

    def data_received(self, data: bytes) -> None:
        """Pass bytes to the client."""
        self.client.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the client connection."""
        self.client.close()


class Client(asyncio.Protocol):
    """A client connection; it opens the connection to the server."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.upstream: asyncio.WriteTransport | None = None
        self.early: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Open the connection to the server."""
        self.opening = asyncio.get_running_loop().create_task(self._open(transport))  # type: ignore[arg-type]

    async def _open(self, client: asyncio.Transport) -> None:
        loop = asyncio.get_running_loop()
        self.upstream, _ = await loop.create_connection(lambda: Upstream(client), "127.0.0.1", self.port)
        self.upstream.writelines(self.early)

    def data_received(self, data: bytes) -> None:
        """Pass bytes to the server, or store them until it is connected."""
        if self.upstream is None:
            self.early.append(data)
        else:
            self.upstream.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the connection to the server."""
        if self.upstream is not None:
            self.upstream.close()


async def serve(port: int) -> None:
    """Relay connections to a port until standard input ends."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: Client(port), "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await loop.run_in_executor(None, sys.stdin.read)


if __name__ == "__main__":
    uvloop.run(serve(int(sys.argv[1])))
