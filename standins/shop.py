"""Stand-in servers of one service that count what reaches them: `python -m standins.shop NAME [options]`.

They print their ports in one line. Lines on standard input: `down` ends all listening and breaks all
connections, `up` listens again at the same ports, `report` prints the counts as one line of JSON. They
run until standard input ends, so that they never outlive who started them.

The truth about effects is counted here: an effect is a request whose last byte has come, whatever becomes
of its answer.
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

LINGER_NONE = struct.pack("ii", 1, 0)  # a close resets, as a process that dies does


class Service:
    """The servers of one service and what they were asked."""

    def __init__(self, name: str, work_ms: float, fail: float, reset: float, seed: int) -> None:
        """Describe a service.

        Args:
            name: requests must begin with `/name`; others are counted as strays.
            work_ms: mean of an exponential distribution.
            fail: part of the requests that are answered 500 after their work.
            reset: part whose connection breaks after their work.
        """
        self.name = name
        self.work_s = work_ms / 1000
        self.fail = fail
        self.reset = reset
        self.random = random.Random(seed)
        self.effects: Counter[str] = Counter()  # by method and id
        self.strays = 0
        self.attempts = 0
        self.nodes: list[asyncio.Server] = []
        self.connections: set[Connection] = set()
        self.ports: list[int] = []

    async def up(self, count: int) -> None:
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
        for node in self.nodes:
            node.close()
        self.nodes.clear()
        for connection in list(self.connections):
            connection.reset()

    def report(self) -> str:
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
    def __init__(self, service: Service) -> None:
        self.service = service
        self.work: asyncio.TimerHandle | None = None
        self._begin()

    def _begin(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.ident = ""
        self.path = ""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport
        self.service.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.service.connections.discard(self)

    def data_received(self, data: bytes) -> None:
        self.parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        self.path += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        if name.lower() == b"x-request-id":
            self.ident = value.decode("latin-1")

    def on_message_complete(self) -> None:
        service = self.service
        service.attempts += 1
        method = self.parser.get_method().decode("latin-1")
        service.effects[f"{method} {self.ident}"] += 1
        if self.path.split("/")[1] != service.name:
            service.strays += 1
        work = service.random.expovariate(1.0) * service.work_s
        asyncio.get_running_loop().call_later(work, self._end, service.random.random())

    def _end(self, chance: float) -> None:
        if self.transport.is_closing():
            return
        if chance < self.service.reset:
            self.reset()
            return
        failed = chance < self.service.reset + self.service.fail
        head = b"HTTP/1.1 500 Internal Server Error" if failed else b"HTTP/1.1 200 OK"
        body = b"failed\n" if failed else b"done\n"
        self._begin()
        self.transport.write(  # type: ignore[attr-defined]
            b"%s\r\nContent-Length: %d\r\n\r\n%s" % (head, len(body), body)
        )

    def reset(self) -> None:
        sock = self.transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NONE)
        self.transport.abort()  # type: ignore[attr-defined]


async def serve(arguments: argparse.Namespace) -> None:
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
