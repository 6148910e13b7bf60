"""Servers of one service that count their requests: `python -m standins.shop NAME [options]`.

The protocol is plain HTTP/1.1; `standins.demo` uses them. The process prints its ports on one line. Commands
on standard input: `down` stops listening and resets all connections, `up` listens again on the same ports,
and `report` prints the counts as one line of JSON. The process runs until standard input ends.

An effect is counted when the last byte of a request has arrived, whether or not its answer is delivered.
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

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER of 0 s: close() resets the connection.


class Service:
    """Servers of one service, with counts of their requests.

    Args:
        name: Name of the service. Paths of its requests begin with `/name`; others count as strays.
        work_ms: Mean of the exponentially distributed service time, in milliseconds.
        failure_fraction: Fraction of the requests that are answered with 500 after their service time.
        reset_fraction: Fraction of the requests whose connection is reset after their service time.
        seed: Seed of the random generator.

    Attributes:
        effects: Number of executions by method and request id.
        strays: Number of requests for other services.
        attempts: Number of received requests.
        ports: Ports of the servers.
    """

    def __init__(
        self, name: str, work_ms: float, failure_fraction: float, reset_fraction: float, seed: int
    ) -> None:
        self.name = name
        self.mean_service_time_s = work_ms / 1000
        self.failure_fraction = failure_fraction
        self.reset_fraction = reset_fraction
        self.random = random.Random(seed)
        self.effects: Counter[str] = Counter()
        self.strays = 0
        self.attempts = 0
        self.listeners: list[asyncio.Server] = []
        self.connections: set[Connection] = set()
        self.ports: list[int] = []

    async def up(self, count: int) -> None:
        """Listen on `count` ports, the same ones at each call."""
        loop = asyncio.get_running_loop()
        for number in range(count):
            port = self.ports[number] if number < len(self.ports) else 0
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(("127.0.0.1", port))
            self.listeners.append(await loop.create_server(lambda: Connection(self), sock=sock))
            if number >= len(self.ports):
                self.ports.append(sock.getsockname()[1])

    def down(self) -> None:
        """Stop listening, and reset all connections."""
        for listener in self.listeners:
            listener.close()
        self.listeners.clear()
        for connection in list(self.connections):
            connection.reset()

    def report(self) -> str:
        """Return the counts as a line of JSON."""
        orders = [count for key, count in self.effects.items() if key.startswith("POST ")]
        return json.dumps(
            {
                "name": self.name,
                "attempts": self.attempts,
                "orders": len(orders),
                "orders_twice": sum(count > 1 for count in orders),
                "strays": self.strays,
            }
        )


class Connection(asyncio.Protocol):
    """A connection to one of the servers; it serves one request at a time."""

    def __init__(self, service: Service) -> None:
        self.service = service
        self.timer: asyncio.TimerHandle | None = None
        self._prepare_request()

    def _prepare_request(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.request_id = ""
        self.path = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Register the connection."""
        self.transport = transport
        self.service.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Unregister the connection."""
        self.service.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        self.parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        """Append a part of the path."""
        self.path += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store the request id."""
        if name.lower() == b"x-request-id":
            self.request_id = value.decode("latin-1")

    def on_message_complete(self) -> None:
        """Count a complete request, and schedule its answer."""
        service = self.service
        service.attempts += 1
        method = self.parser.get_method().decode("latin-1")
        service.effects[f"{method} {self.request_id}"] += 1
        if self.path.split("/")[1] != service.name:
            service.strays += 1
        service_time_s = service.random.expovariate(1.0) * service.mean_service_time_s
        asyncio.get_running_loop().call_later(service_time_s, self._answer, service.random.random())

    def _answer(self, sample: float) -> None:
        if self.transport.is_closing():
            return
        if sample < self.service.reset_fraction:
            self.reset()
            return
        failed = sample < self.service.reset_fraction + self.service.failure_fraction
        head = b"HTTP/1.1 500 Internal Server Error" if failed else b"HTTP/1.1 200 OK"
        body = b"failed\n" if failed else b"done\n"
        self._prepare_request()
        self.transport.write(  # type: ignore[attr-defined]
            b"%s\r\nContent-Length: %d\r\n\r\n%s" % (head, len(body), body)
        )

    def reset(self) -> None:
        """Reset the connection."""
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.transport.abort()  # type: ignore[attr-defined]


async def serve(arguments: argparse.Namespace) -> None:
    """Serve until standard input ends, and execute its commands."""
    service = Service(arguments.name, arguments.work_ms, arguments.fail, arguments.reset, arguments.seed)
    await service.up(arguments.nodes)
    print(*service.ports, flush=True)
    loop = asyncio.get_running_loop()
    while command := await loop.run_in_executor(None, sys.stdin.readline):
        match command.strip():
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
