"""A plain TCP relay, the baseline of `benchmarks.relay`: `python -m standins.relay PORT`.

It forwards bytes between each client connection and one connection to PORT of 127.0.0.1 without parsing or
decisions, on the event loop that the sidecar uses (uvloop): the minimum cost of a proxy on that loop. The
process prints its port and runs until standard input ends.
"""

from __future__ import annotations

import asyncio
import sys

import uvloop


class Upstream(asyncio.Protocol):
    """A connection to the server; it forwards received bytes to the client."""

    def __init__(self, client: asyncio.Transport) -> None:
        self.client = client

    def data_received(self, data: bytes) -> None:
        """Forward bytes to the client."""
        self.client.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the client connection."""
        self.client.close()


class Client(asyncio.Protocol):
    """A client connection; it opens its own connection to the server."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.upstream: asyncio.WriteTransport | None = None
        self.buffered: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Open the connection to the server."""
        self.connect_task = asyncio.get_running_loop().create_task(self._open(transport))  # type: ignore[arg-type]

    async def _open(self, client: asyncio.Transport) -> None:
        loop = asyncio.get_running_loop()
        self.upstream, _ = await loop.create_connection(lambda: Upstream(client), "127.0.0.1", self.port)
        self.upstream.writelines(self.buffered)

    def data_received(self, data: bytes) -> None:
        """Forward bytes to the server, or buffer them until the connection is open."""
        if self.upstream is None:
            self.buffered.append(data)
        else:
            self.upstream.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Close the connection to the server."""
        if self.upstream is not None:
            self.upstream.close()


async def serve(port: int) -> None:
    """Relay client connections to a port of 127.0.0.1 until standard input ends."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(lambda: Client(port), "127.0.0.1", 0)
    print(server.sockets[0].getsockname()[1], flush=True)
    await loop.run_in_executor(None, sys.stdin.read)


if __name__ == "__main__":
    uvloop.run(serve(int(sys.argv[1])))
