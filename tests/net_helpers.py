"""Small fake peers and a sidecar in the test's own loop, on loopback with ports that the system picks."""

import asyncio
import contextlib
import functools
import json
import socket
import struct
import time
from dataclasses import dataclass, field

import uvloop

from dykefold.__main__ import Reload, start_sidecar
from dykefold.sidecar_config import read_config

HOST = "127.0.0.1"
MS = 1_000_000
WAIT = 20.0  # seconds until a test that waits for an event gives up


def run(coroutine):
    """Run a test on the loop that the sidecar uses, with an end in any case."""

    async def bounded():
        async with asyncio.timeout(3 * WAIT):
            return await coroutine

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(bounded())


def on_loop(test):
    """A test that is a coroutine, run as `run` does."""

    @functools.wraps(test)
    def played(*args, **named):
        return run(test(*args, **named))

    return played


async def until(true, what="the condition"):
    """Wait for something that shows only in state."""
    async with asyncio.timeout(WAIT):
        while not true():
            await asyncio.sleep(0.005)
    assert true(), what


def stand_still(loop, seconds, meanwhile):
    """Keep the loop from its next turn, in the midst of reading sockets: timers come first after that."""
    ours, theirs = socket.socketpair()

    def read():
        loop.remove_reader(theirs.fileno())
        meanwhile()
        time.sleep(seconds)
        ours.close()
        theirs.close()

    loop.add_reader(theirs.fileno(), read)
    ours.send(b"x")


@dataclass
class Got:
    """A message as a fake peer or client received it."""

    first: str
    headers: dict[str, str]
    body: bytes
    connection: int = 0

    @property
    def code(self):
        return int(self.first.split()[1])


async def read_message(reader, connection=0):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = dict(_header(line) for line in head[1:] if line)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Got(head[0], headers, body, connection)


def _header(line):
    name, value = line.split(":", 1)
    return name.lower(), value.strip()


def reply(code=200, body=b"ok", *lines):
    head = [f"HTTP/1.1 {code} X", f"Content-Length: {len(body)}", *lines]
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


def reset(writer):
    """Break a connection as a process that dies does."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


@dataclass
class Fake:
    """A peer that does with each message what `act` says, a coroutine of (message, reader, writer)."""

    act: object
    got: list[Got] = field(default_factory=list)
    connections: int = 0
    ended: int = 0
    server: asyncio.Server | None = None
    port: int = 0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader, writer):
        self.connections += 1
        number = self.connections
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while not writer.is_closing():
                message = await read_message(reader, number)
                self.got.append(message)
                await self.act(message, reader, writer)
        self.ended += 1
        writer.close()

    @property
    def address(self):
        return f"{HOST}:{self.port}"


async def answer_ok(message, reader, writer):
    writer.write(reply(200, b"served " + message.body))


def gated():
    """An act that answers once the event is set."""
    go = asyncio.Event()

    async def act(message, reader, writer):
        await go.wait()
        await answer_ok(message, reader, writer)

    return go, act


async def silent(message, reader, writer):
    await reader.read()


def entry(name, address, status="SERVING", since_ms=0, group=1, zone="a"):
    return {
        "name": name,
        "address": address,
        "zone": zone,
        "type": "std",
        "group": group,
        "status": status,
        "weight": 1.0,
        "since_ms": since_ms,
    }


def news(index, *entries, snapshot=True):
    return {"index": index, "snapshot": snapshot, "endpoints": list(entries)}


def _request_class(name, repeat):
    return {
        "name": name,
        "deadline-ns": 4000 * MS,
        "objective-ns": 1000 * MS,
        "repeat": repeat,
        "key-scope": "cell",
        "window-ns": 2000 * MS,
        "points": 1.0,
        "late-value": 0.25,
        "stream": False,
    }


def config(known, discovery=f"{HOST}:9", **more):
    """A configuration as the platform would write it."""
    data = {
        "name": "n0",
        "listen": f"{HOST}:0",
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "peers": [],
        "known": known,
        "settings": {
            "accounts": [],
            "ceilings": {
                "cancel": True,
                "conn-idle-ns": 60_000 * MS,
                "connect-timeout-ns": 250 * MS,
                "max-retry-after-ns": 2000 * MS,
                "retry-after": True,
                "peers": False,
                "second-copies": False,
                "send-cap": 3,
            },
            "classes": [
                _request_class("lookup", "pure"),
                _request_class("hold", "token"),
                _request_class("order", "side_effect"),
            ],
            "dcs": ["a", "b"],
            "kinds": ["std"],
            "my-zone": 0,
            "discovery": "ask",
            "fleet-size": 1,
            "rules": {"must-ask-in-ns": 10_000 * MS, "drain-grace-ns": 500 * MS},
            "telemetry": {"columns": ["rps", "cpu"], "how": "piggyback"},
            "tick-ns": 5 * MS,
        },
    }
    data.update(more)
    return data


class Sidecar:
    """An sidecar_server with its listening socket in the test's loop."""

    def __init__(self, path, data):
        path.write_text(json.dumps(data))
        config = read_config(str(path))
        self.server = start_sidecar(asyncio.get_running_loop(), config)
        self.reload = Reload(self.server, config, str(path), None)  # as at SIGHUP
        self.port = 0

    async def __aenter__(self):
        _, self.port = self.server.listen(socket.create_server((HOST, 0))).address
        return self

    async def __aexit__(self, *_):
        if self.server.listener is not None:
            self.server.listener.close()
        self.server.close()


@contextlib.asynccontextmanager
async def one_server(tmp_path, act):
    """A sidecar in front of one server that acts so: both."""
    fake = await Fake(act).start()
    async with Sidecar(tmp_path / "c", config(news(1, entry("s1", fake.address)))) as sidecar:
        yield sidecar, fake


def message(cls, ident="9b1f03aa5c7e2d41", deadline="3000m", body=b"", *lines):
    method = "GET" if cls == "lookup" else "POST"
    head = [f"{method} /{cls}/part?x=1 HTTP/1.1", "Host: origin.svc", f"X-Request-Id: {ident}"]
    if deadline:
        head.append(f"X-Deadline: {deadline}")
    if cls == "hold":
        head.append(f"Idempotency-Key: key-of-{ident}")
    if method == "POST":
        head.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*head, *lines]).encode() + b"\r\n\r\n" + body


async def ask(port, data):
    """One message on a connection of its own: its answer."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(data)
        async with asyncio.timeout(WAIT):
            return await read_message(reader)
    finally:
        writer.close()
