"""Fake peers and a sidecar in the test's event loop, on loopback addresses with ephemeral ports."""

import asyncio
import contextlib
import functools
import json
import socket
import struct
import time
from dataclasses import dataclass, field

import uvloop

from dykefold.__main__ import Reload, create_sidecar_server
from dykefold.net.upstream.classify import HttpProfile
from dykefold.net.upstream.limits import MIN_REUSE_IDLE_S
from dykefold.sidecar_config import read_config

HOST = "127.0.0.1"
MS = 1_000_000
MAX_BODY_BYTES = 64  # of a response that a `FakeConsumer` buffers
WAIT_TIMEOUT_S = 20.0  # a test that waits for an event fails after this time


def run(coroutine):
    """Run a test coroutine on the kind of event loop that the sidecar uses, with a time limit."""

    async def bounded():
        async with asyncio.timeout(3 * WAIT_TIMEOUT_S):
            return await coroutine

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(bounded())


def async_test(test):
    """Decorate a coroutine test function so that `run` executes it."""

    @functools.wraps(test)
    def wrapper(*args, **kwargs):
        return run(test(*args, **kwargs))

    return wrapper


async def wait_until(condition, description="the condition"):
    """Poll a condition that only shows in state until it holds; fail after `WAIT_TIMEOUT_S`."""
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.005)
    assert condition(), description


async def wait_until_reusable():
    """Wait until connections to endpoints that have just answered may carry another request."""
    await asyncio.sleep(MIN_REUSE_IDLE_S + 0.005)


def block_event_loop(loop, duration_s, callback):
    """Block the event loop while it handles readable sockets, so that due timers run first afterwards.

    Args:
        loop: Event loop to block.
        duration_s: Time to block after the callback, in seconds.
        callback: Function called just before the loop blocks.
    """
    local_sock, remote_sock = socket.socketpair()

    def on_readable():
        loop.remove_reader(remote_sock.fileno())
        callback()
        time.sleep(duration_s)
        local_sock.close()
        remote_sock.close()

    loop.add_reader(remote_sock.fileno(), on_readable)
    local_sock.send(b"x")


class FakeTransport:
    """A transport without a socket that records written bytes."""

    def __init__(self):
        self.written = b""
        self.reading = True
        self.closing = False

    def write(self, data):
        self.written += data

    def is_closing(self):
        return self.closing

    def get_extra_info(self, name):
        return None

    def pause_reading(self):
        self.reading = False

    def resume_reading(self):
        self.reading = True

    def close(self):
        self.closing = True

    def set_write_buffer_limits(self, high):
        assert high == 0

    write_eof = abort = close


class FakeConsumer:
    """Stand-in for an exchange that stores what is streamed to it."""

    def __init__(self, profile=HttpProfile.PLATFORM, max_streamed_bytes=0):
        self.profile = profile
        self.max_response_bytes = MAX_BODY_BYTES
        self.max_streamed_bytes = max_streamed_bytes
        self.begin_calls = []
        self.pieces = []

    def begin_response(self, code, headers, length, load):
        self.begin_calls.append((code, headers, length, load))
        return True

    def send_response_chunk(self, data):
        self.pieces.append(data)


@dataclass
class ReceivedMessage:
    """An HTTP message as received by a fake peer or a client.

    Attributes:
        start_line: Request line or status line.
        headers: Header values by lower-case name.
        body: Message body.
        connection: Number of the fake peer's connection that it came on, from 1; 0 at a client.
    """

    start_line: str
    headers: dict[str, str]
    body: bytes
    connection: int = 0

    @property
    def code(self):
        return int(self.start_line.split()[1])


async def read_message(reader, connection=0):
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = dict(_parse_header(line) for line in head[1:] if line)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return ReceivedMessage(head[0], headers, body, connection)


def _parse_header(line):
    name, value = line.split(":", 1)
    return name.lower(), value.strip()


def http_response(code=200, body=b"ok", *header_lines):
    head = [f"HTTP/1.1 {code} X", f"Content-Length: {len(body)}", *header_lines]
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


def reset_connection(writer):
    """Close a connection with a TCP reset, as when the peer process dies."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


@dataclass
class FakePeer:
    """An HTTP server that passes each received message to a handler.

    Attributes:
        handler: Coroutine function called with (message, reader, writer).
        received: All messages, in the order of their arrival.
        connections: Number of accepted connections.
        closed_connections: Number of accepted connections that are closed again.
        server: Listening server; None before `start`.
        port: Port of the listening socket; 0 before `start`.
    """

    handler: object
    received: list[ReceivedMessage] = field(default_factory=list)
    connections: int = 0
    closed_connections: int = 0
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
                self.received.append(message)
                await self.handler(message, reader, writer)
        self.closed_connections += 1
        writer.close()

    @property
    def address(self):
        return f"{HOST}:{self.port}"


async def respond_ok(message, reader, writer):
    writer.write(http_response(200, b"served " + message.body))


def gated_handler():
    """Return an event and a handler that responds once the event is set."""
    release = asyncio.Event()

    async def handler(message, reader, writer):
        await release.wait()
        await respond_ok(message, reader, writer)

    return release, handler


async def never_respond(message, reader, writer):
    await reader.read()


def endpoint_entry(name, address, status="SERVING", since_ms=0, group=1, zone="a"):
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


def list_update(index, *entries, snapshot=True):
    """Return an endpoint list update as the discovery service sends it."""
    return {"index": index, "snapshot": snapshot, "endpoints": list(entries)}


def _request_class(name, retry_mode):
    return {
        "name": name,
        "deadline-ns": 4000 * MS,
        "objective-ns": 1000 * MS,
        "repeat": retry_mode,
        "key-scope": "cell",
        "window-ns": 2000 * MS,
        "points": 1.0,
        "late-value": 0.25,
        "stream": False,
    }


def config(initial_list, discovery=f"{HOST}:9", **overrides):
    """Return a sidecar configuration as the platform writes it.

    Args:
        initial_list: Endpoint list update that the sidecar starts with.
        discovery: Address of the discovery service.
        **overrides: Top-level keys that replace or extend the defaults.
    """
    data = {
        "name": "n0",
        "listen": f"{HOST}:0",
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "peers": [],
        "known": initial_list,
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
    data.update(overrides)
    return data


class Sidecar:
    """A sidecar with its listening socket in the test's event loop."""

    def __init__(self, config_path, data):
        config_path.write_text(json.dumps(data))
        config = read_config(str(config_path))
        self.server = create_sidecar_server(asyncio.get_running_loop(), config)
        self.reload = Reload(self.server, config, str(config_path), None)  # what SIGHUP runs
        self.port = 0

    async def __aenter__(self):
        _, self.port = self.server.listen(socket.create_server((HOST, 0))).address
        return self

    async def __aexit__(self, *_):
        if self.server.listener is not None:
            self.server.listener.close()
        self.server.close()


@contextlib.asynccontextmanager
async def sidecar_with_endpoint(tmp_path, handler):
    """Yield a sidecar and its only endpoint, a fake peer with this handler."""
    fake = await FakePeer(handler).start()
    async with Sidecar(tmp_path / "c", config(list_update(1, endpoint_entry("s1", fake.address)))) as sidecar:
        yield sidecar, fake


def request_message(request_class, request_id="9b1f03aa5c7e2d41", deadline="3000m", body=b"", *header_lines):
    """Return a client's request of a class, with the headers that the class requires."""
    method = "GET" if request_class == "lookup" else "POST"
    head = [f"{method} /{request_class}/part?x=1 HTTP/1.1", "Host: origin.svc", f"X-Request-Id: {request_id}"]
    if deadline:
        head.append(f"X-Deadline: {deadline}")
    if request_class == "hold":
        head.append(f"Idempotency-Key: key-of-{request_id}")
    if method == "POST":
        head.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*head, *header_lines]).encode() + b"\r\n\r\n" + body


async def send_request(port, data):
    """Send one request on a new connection and return the response."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(data)
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            return await read_message(reader)
    finally:
        writer.close()
