"""Servers of one service that count the requests they get: `python -m standins.shop NAME [options]`.

The protocol is plain HTTP/1.1; the demonstration uses them. The process prints its ports in one line. Lines
on standard input: `down` stops listening and resets all connections, `up` listens again at the same ports,
and `report` prints the counts as one line of JSON. It runs until standard input ends.

Effects are counted here: an effect is a request whose last byte has arrived, whatever becomes of its answer.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import random
import socket
import struct
import sys
from collections import Counter

import httptools

LINGER_NONE = struct.pack("ii", 1, 0)  # A close then resets the connection.


class Service:
    """The servers of one service, and counts of their requests.

    Args:
        name: Name of the service. Requests must begin with `/name`; others are counted as strays.
        work_ms: Mean of the exponentially distributed work, in milliseconds.
        fail: Fraction of the requests answered with 500 after their work.
        reset: Fraction of the requests whose connection is reset after their work.
        seed: Seed of the random generator.

    Attributes:
        effects: Number of runs by method and request id.
        strays: Number of requests of other services.
        attempts: Number of requests.
        ports: Ports of the servers.
    """

    def __init__(self, name: str, work_ms: float, fail: float, reset: float, seed: int) -> None:
        self.name = name
        self.work_s = work_ms / 1000
        self.fail = fail
        self.reset = reset
        self.random = random.Random(seed)
        self.effects: Counter[str] = Counter()
        self.strays = 0
        self.attempts = 0
        self.nodes: list[asyncio.Server] = []
        self.connections: set[Connection] = set()
        self.ports: list[int] = []

    async def up(self, count: int) -> None:
        """Listen with `count` servers, at the same ports as before."""
        loop = asyncio.get_running_loop()
        for number in range(count):
            port = self.ports[number] if number < len(self.ports) else 0
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(("127.0.0.1", port))
            self.nodes.append(await loop.create_server(lambda: Connection(self), sock=sock))
            if number >= len(self.ports):
                self.ports.append(sock.getsockname()[1])

    def down(self) -> None:
        """Stop listening, and reset all connections."""
        for node in self.nodes:
            node.close()
        self.nodes.clear()
        for connection in list(self.connections):
            connection.reset()

    def report(self) -> str:
        """Return the counts as a line of JSON."""
        unsafe = [count for key, count in self.effects.items() if key.startswith("POST ")]
        return json.dumps(
            {
                "name": self.name,
                "attempts": self.attempts,
                "orders": len(unsafe),
                "orders_twice": sum(count > 1 for count in unsafe),
                "strays": self.strays,
            }
        )


class Connection(asyncio.Protocol):
    """A connection to one of the servers, with one request at a time."""

    def __init__(self, service: Service) -> None:
        self.service = service
        self.work: asyncio.TimerHandle | None = None
        self._begin()

    def _begin(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.ident = ""
        self.path = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self.transport = transport
        self.service.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self.service.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        self.parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        """Collect the path."""
        self.path += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take the request id."""
        if name.lower() == b"x-request-id":
            self.ident = value.decode("latin-1")

    def on_message_complete(self) -> None:
        """Count a complete request, and begin its work."""
        service = self.service
        service.attempts += 1
        method = self.parser.get_method().decode("latin-1")
        service.effects[f"{method} {self.ident}"] += 1
        if self.path.split("/")[1] != service.name:
            service.strays += 1
        work = service.random.expovariate(1.0) * service.work_s
        asyncio.get_running_loop().call_later(work, self._end, service.random.random())

    def _end(self, draw: float) -> None:
        if self.transport.is_closing():
            return
        if draw < self.service.reset:
            self.reset()
            return
        failed = draw < self.service.reset + self.service.fail
        head = b"HTTP/1.1 500 Internal Server Error" if failed else b"HTTP/1.1 200 OK"
        body = b"failed\n" if failed else b"done\n"
        self._begin()
        self.transport.write(  # type: ignore[attr-defined]
            b"%s\r\nContent-Length: %d\r\n\r\n%s" % (head, len(body), body)
        )

    def reset(self) -> None:
        """Reset the connection."""
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
        self.transport.abort()  # type: ignore[attr-defined]


async def serve(arguments: argparse.Namespace) -> None:
    """Serve until standard input ends, and carry out its lines."""
    service = Service(arguments.name, arguments.work_ms, arguments.fail, arguments.reset, arguments.seed)
    await service.up(arguments.nodes)
    print(*service.ports, flush=True)
    loop = asyncio.get_running_loop()
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        match line.strip():
            case "down":
                service.down()
            case "up":
                await service.up(arguments.nodes)
            case "report":
                print(service.report(), flush=True)


def main() -> None:
    """Parse the command line and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("name")
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--work-ms", type=float, default=5.0)
    parser.add_argument("--fail", type=float, default=0.0)
    parser.add_argument("--reset", type=float, default=0.0)
    parser.add_argument("--seed", type=int, default=1)
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
