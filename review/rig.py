"""Stand-ins for the platform, clients, servers and discovery, as PROTOCOL and DEPLOY describe them.

A case runs them in one process, on loopback addresses, and the sidecar as a process of its own, started with
the `run` line of the deploy file. The settings are those of a small deployment, in the form of WIRE.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
MS = 1_000_000
ZONES = ("montevideo", "colonia", "punta-del-este", "paysandu", "salto")
HEAD_END = b"\r\n\r\n"
NOTHING = b""
OK = 200
UNAVAILABLE = 503
READY_WITHIN_S = 30.0
BROKEN, HELD, NOT_RUN = 1, 0, 2


class CaseError(Exception):
    """The case could not run, so that it says nothing about the rule."""


class Record:
    """What was sent, answered and run, one line an event, with the seconds since the start of the case.

    Args:
        path: File that the lines are written to.
    """

    def __init__(self, path: Path) -> None:
        self.path = path
        self.began_s = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.began_s

    def add(self, text: str) -> None:
        """Add a line with the present time."""
        self.lines.append(f"{self.now():9.4f} {text}")

    def write(self) -> None:
        """Write all lines to the file."""
        self.path.write_text("\n".join(self.lines) + "\n")


def free_port() -> int:
    """Return a TCP port of the loopback address that is free now."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        port: int = sock.getsockname()[1]
        return port


@dataclass(slots=True)
class Request:
    """A request as a server got it.

    Attributes:
        ident: Value of `X-Request-Id`.
        path: Target of the request.
        server: Name of the server.
        began_s: Time of its first byte, seconds of the record.
        arrived_s: Time of its last byte.
        connection: Number of the connection at this server.
    """

    ident: str
    path: str
    server: str
    began_s: float
    arrived_s: float
    connection: int


@dataclass(slots=True)
class Answer:
    """An answer as a client got it.

    Attributes:
        code: HTTP status; 0 if the connection ended before one came.
        body: Bytes of the body that arrived.
        complete: Whether the answer came whole.
        retry_after: Whether the sidecar told when to come back.
    """

    code: int
    body: bytes = b""
    complete: bool = False
    retry_after: bool = False


# Writes the answer to a request; gets the request and the connection's writer.
Serve = Callable[[Request, asyncio.StreamWriter], Awaitable[None]]


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the first line of a message and its headers by lower-case name."""
    head = (await reader.readuntil(HEAD_END)).decode("latin-1")
    first, *lines = head[: -len(HEAD_END)].split("\r\n")
    pairs = (line.split(":", 1) for line in lines)
    return first, {name.strip().lower(): value.strip() for name, value in pairs}


async def read_body(reader: asyncio.StreamReader, headers: dict[str, str]) -> bytes:
    """Return the body of a message with a length or with chunks."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(headers.get("content-length", "0")))
    body = b""
    while size := int((await reader.readline()).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readline()
    await reader.readuntil(b"\r\n")
    return body


def answer_head(length: int, code: int = OK) -> bytes:
    """Return the head of a server's answer."""
    return b"HTTP/1.1 %d OK\r\nContent-Length: %d\r\n\r\n" % (code, length)


class Server:
    """A server of the deployment; it keeps connections open, one request at a time on each.

    Args:
        name: Name in discovery.
        zone: Number of its zone.
        record: Record of the case.
        serve: Function that writes the answers.

    Attributes:
        port: Port at which it listens, after `start`.
        requests: Requests whose last byte has come.
        busy: Numbers of the connections on which a request has begun to come and is not answered.
    """

    def __init__(self, name: str, zone: int, record: Record, serve: Serve) -> None:
        self.name = name
        self.zone = zone
        self.record = record
        self.serve = serve
        self.port = 0
        self.connections = 0
        self.requests: list[Request] = []
        self.busy: set[int] = set()
        self.listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen at a free port."""
        self.listener = await asyncio.start_server(self._accept, HOST, 0, backlog=512)
        self.port = self.listener.sockets[0].getsockname()[1]

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        keep(self._connected(reader, writer))

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        number = self.connections
        set_no_delay(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while first := await reader.read(1):
                began_s = self.record.now()
                self.busy.add(number)
                line, headers = await read_head(_Prefixed(reader, first))  # type: ignore[arg-type]
                await read_body(reader, headers)
                path = line.split(" ")[1]
                request = Request(
                    headers.get("x-request-id", ""), path, self.name, began_s, self.record.now(), number
                )
                self.requests.append(request)
                self.record.add(f"run {self.name} connection={number} id={request.ident} {path}")
                await self.serve(request, writer)
                self.busy.discard(number)
        writer.close()

    def entry(self, port: int | None = None, status: str = "SERVING") -> dict[str, Any]:
        """Return its entry in discovery's list, perhaps at the port of a proxy."""
        return {
            "name": self.name,
            "address": f"{HOST}:{port or self.port}",
            "zone": ZONES[self.zone],
            "type": "std-single",
            "group": self.zone + 1,
            "status": status,
            "weight": 1.0,
            "since_ms": 0,
        }


class _Prefixed:
    """A stream whose first byte has been read already."""

    def __init__(self, reader: asyncio.StreamReader, first: bytes) -> None:
        self.reader = reader
        self.first = first

    async def readuntil(self, separator: bytes) -> bytes:
        """Return the bytes up to the separator, with the first one."""
        return self.first + await self.reader.readuntil(separator)


def set_no_delay(writer: asyncio.StreamWriter) -> None:
    """Send small pieces at once, as servers and clients do that care for their answers' times."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


class Link(asyncio.Protocol):
    """One side of a proxied connection: passes on bytes and the end after the delay of the way.

    Args:
        delay_s: Delay of the way, in seconds.
    """

    def __init__(self, delay_s: float) -> None:
        self.delay_s = delay_s
        self.other: Link | None = None
        self.transport: asyncio.Transport | None = None
        self.early: list[bytes] = []

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Remember the transport, and write what came before there was one."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for data in self.early:
            transport.write(data)
        self.early.clear()

    def deliver(self, data: bytes) -> None:
        """Write bytes that have come all the way."""
        if self.transport is None:
            self.early.append(data)
        elif not self.transport.is_closing():
            self.transport.write(data)

    def end(self) -> None:
        """Close, since the other side has ended."""
        if self.transport is not None:
            self.transport.close()

    def data_received(self, data: bytes) -> None:
        """Send bytes on their way."""
        if self.other is not None:
            asyncio.get_running_loop().call_later(self.delay_s, self.other.deliver, data)

    def connection_lost(self, exc: Exception | None) -> None:
        """Send the end on its way."""
        if self.other is not None:
            asyncio.get_running_loop().call_later(self.delay_s, self.other.end)


async def start_proxy(port: int, delay_s: float) -> int:
    """Start a proxy to a port that delays each way; return the proxy's port."""
    loop = asyncio.get_running_loop()

    def accept() -> Link:
        near, far = Link(delay_s), Link(delay_s)
        near.other, far.other = far, near
        keep(loop.create_connection(lambda: far, HOST, port))
        return near

    server = await loop.create_server(accept, HOST, 0, backlog=512)
    return int(server.sockets[0].getsockname()[1])


TASKS: set[asyncio.Task[Any]] = set()


def keep(work: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
    """Start a task, and keep it until it ends."""
    task = asyncio.get_running_loop().create_task(work)
    TASKS.add(task)
    task.add_done_callback(TASKS.discard)
    return task


class ServerList:
    """The list of servers that discovery has.

    Args:
        record: Record of the case.
        entries: Entries of the list at the start.

    Attributes:
        index: Version of the list.
    """

    def __init__(self, record: Record, entries: list[dict[str, Any]]) -> None:
        self.record = record
        self.index = 41
        self.entries = {entry["name"]: (self.index, entry) for entry in entries}
        self.changed = asyncio.Event()

    def put(self, entry: dict[str, Any]) -> None:
        """Add an entry or change it, and tell the watches."""
        self.index += 1
        self.entries[entry["name"]] = (self.index, entry)
        self.record.add(f"discovery has {entry['name']} as {entry['status']}, index={self.index}")
        self.changed.set()
        self.changed = asyncio.Event()

    def set_status(self, name: str, status: str) -> None:
        """Change the status of a server, and tell the watches."""
        self.put({**self.entries[name][1], "status": status})

    def whole(self) -> dict[str, Any]:
        """Return the whole list in its form on the wire."""
        entries = [entry for _, entry in self.entries.values() if entry["status"] != "DELETED"]
        return {"index": self.index, "snapshot": True, "endpoints": entries}

    async def answer(self, target: str) -> dict[str, Any]:
        """Return the answer to a call, once there is something to tell or its wait is over."""
        _, _, query = target.partition("?")
        values = dict(pair.split("=", 1) for pair in query.split("&") if pair)
        if "after" not in values:
            return self.whole()
        after = int(values["after"])
        if after >= self.index:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.changed.wait(), int(values.get("wait_ms", "0")) / 1000)
        changes = [entry for index, entry in self.entries.values() if index > after]
        return {"index": self.index, "snapshot": False, "endpoints": changes}


class Discovery:
    """Discovery that is asked, at one address: the whole list, and watches on changes.

    Args:
        servers: The list that it tells.

    Attributes:
        port: Port of its address; it stays the same while discovery is down.
        crowded: Whether it has too many callers and turns calls away.
    """

    def __init__(self, servers: ServerList) -> None:
        self.servers = servers
        self.record = servers.record
        self.port = free_port()
        self.crowded = False
        self.listener: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def come_up(self) -> None:
        """Listen at its address."""
        self.listener = await asyncio.start_server(self._accept, HOST, self.port, backlog=512)
        self.record.add(f"discovery is up at port {self.port}")

    def go_down(self) -> None:
        """Die as a process does: connections are reset, and new ones refused."""
        self.retire(0.0)
        self.record.add("discovery is down")

    def retire(self, after_s: float) -> None:
        """Take no new connection, and end the open ones after a time."""
        if self.listener is not None:
            self.listener.close()
        for writer in self.writers:
            asyncio.get_running_loop().call_later(after_s, writer.transport.abort)

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        keep(self._connected(reader, writer))

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                line, _ = await read_head(reader)
                target = line.split(" ")[1]
                self.record.add(f"discovery at port {self.port} is called: {target}")
                if self.crowded:
                    writer.write(answer_head(0, UNAVAILABLE))
                else:
                    body = json.dumps(await self.servers.answer(target)).encode()
                    writer.write(answer_head(len(body)) + body)
                await writer.drain()
        self.writers.discard(writer)
        writer.close()


def settings() -> dict[str, Any]:
    """Return the settings of the page on the wire (section 8), nested as DEPLOY says."""
    classes = [
        ("lookup", 3000, 750, 1.0, "pure", "all", 5000),
        ("hold", 2000, 600, 3.0, "token", "cell", 2000),
        ("order", 4000, 1200, 10.0, "side_effect", "all", 5000),
    ]
    return {
        "accounts": [],
        "ceilings": {
            "cancel": True, "conn-idle-ns": 60_000 * MS, "connect-timeout-ns": 250 * MS,
            "cpu-us-per-request": 0.0, "cpu-us-per-s": 40000, "max-open": 20000,
            "max-retry-after-ns": 2000 * MS, "peers": True, "probing": True, "retry-after": True,
            "second-copies": False, "send-cap": 3, "streams-per-conn": 1,
        },
        "classes": [
            {"name": name, "deadline-ns": deadline * MS, "objective-ns": aim * MS, "points": worth,
             "repeat": repeat, "key-scope": scope, "window-ns": window * MS, "late-value": 0.25,
             "stream": False}
            for name, deadline, aim, worth, repeat, scope, window in classes
        ],
        "clients": {"marks-retry": True}, "dcs": list(ZONES), "discovery": "ask", "domain-type": "mesh",
        "family-info": {"warm-keys": False}, "fleet-size": 3,
        "goal": {"whole": 0.55, "worst-class": 0.3, "worst-tenant": 0.0, "worst-window": 0.15},
        "index": 0, "kinds": ["fast-single", "std-single", "slow-dual"], "layer": 0, "my-zone": 0,
        "over-share-worth": 0.1,
        "prices": {"cross-zone": 0.03, "waste": 0.02, "probe": 0.05, "peer": 0.01, "late-fail": 0.05},
        "rules": {
            "answer-slack-ns": 20 * MS, "drain-grace-ns": 500 * MS, "must-ask-in-ns": 10_000 * MS,
            "overload-factor": 3.0, "overload-for-ns": 2000 * MS, "start-capacity": 0.14,
            "warm-within-ns": 22_000 * MS,
        },
        "telemetry": {"columns": ["rps", "cpu"], "how": "piggyback"}, "tick-ns": 5 * MS,
        "tiers": ["parts-api"], "weight-source": "silent", "worth-by": "request",
    }  # fmt: skip


class Sidecar:
    """The program as the platform runs it: the `run` line, an environment, and a configuration file.

    Args:
        known: List of servers as the sidecar last had it.
        discovery_port: Port of discovery.
        record: Record of the case.

    Attributes:
        port: Port at which clients connect.
        config: Content of the configuration file.
    """

    def __init__(self, known: dict[str, Any], discovery_port: int, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.port = free_port()
        self.config: dict[str, Any] = {
            "name": "n0",
            "listen": f"{HOST}:{self.port}",
            "discovery": f"{HOST}:{discovery_port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "peers": [],
            "known": known,
            "settings": settings(),
        }
        self.process: asyncio.subprocess.Process | None = None

    def _write_config(self) -> Path:
        """Replace the file whole, as the platform does."""
        path = self.folder / "config.json"
        draft = path.with_suffix(".new")
        draft.write_text(json.dumps(self.config))
        draft.replace(path)
        return path

    async def start(self) -> None:
        """Start the program, and wait until it answers that it is ready."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        scratch = self.folder / "tmp"
        scratch.mkdir()
        environment = {
            **{name: value for name, value in os.environ.items() if name != "PYTHONPATH"},
            "GW_NAME": self.config["name"],
            "GW_LISTEN": self.config["listen"],
            "GW_DISCOVERY": self.config["discovery"],
            "GW_CONFIG": str(self._write_config()),
            "TMPDIR": str(scratch),
        }
        with (self.folder / "log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        until_s = time.monotonic() + READY_WITHIN_S
        while time.monotonic() < until_s and self.process.returncode is None:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                client = Client(self.port)
                if (await client.exchange(b"GET /-/ready HTTP/1.1\r\nHost: sidecar\r\n\r\n")).code == OK:
                    client.close()
                    self.record.add("the sidecar is ready")
                    return
            await asyncio.sleep(0.05)
        problem = "the sidecar did not become ready"
        raise CaseError(problem)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the program."""
        assert self.process is not None
        self.record.add(f"the sidecar gets {number.name}")
        if self.process.returncode is None:
            self.process.send_signal(number)

    def reload(self) -> None:
        """Replace the configuration file, and send SIGHUP."""
        self._write_config()
        self.signal(signal.SIGHUP)

    def check_running(self) -> None:
        """Check that the program has not ended.

        Raises:
            CaseError: It has ended.
        """
        if self.process is None or self.process.returncode is not None:
            problem = "the sidecar has ended"
            raise CaseError(problem)

    def log_lines(self) -> list[str]:
        """Return what the program has logged."""
        return (self.folder / "log").read_text(errors="replace").splitlines()

    async def stop(self) -> None:
        """End the program, and remove its folder."""
        if self.process is not None:
            if self.process.returncode is None:
                self.process.kill()
            await self.process.wait()
        self.record.lines += [f"          log: {line}" for line in self.log_lines()[:400]]
        shutil.rmtree(self.folder)


class Client:
    """A client's connection to the sidecar; one request at a time.

    Args:
        port: Port of the sidecar.

    Attributes:
        used: Whether a request has been answered on the present connection.
    """

    def __init__(self, port: int) -> None:
        self.port = port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.used = False

    async def exchange(self, message: bytes) -> Answer:
        """Send a message and return its answer.

        A connection may be closed between requests; if that crosses the message, it is sent once more on a
        new one, as PROTOCOL says of clients.
        """
        resend = self.writer is not None and self.used
        answer = await self._send(message)
        if resend and not answer.code:
            answer = await self._send(message)
        return answer

    async def _send(self, message: bytes) -> Answer:
        answer = Answer(0)
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.open_connection(HOST, self.port)
                set_no_delay(self.writer)
                self.used = False
            assert self.reader is not None
            self.writer.write(message)
            await self._read(self.reader, answer)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            self.close()
        return answer

    async def _read(self, reader: asyncio.StreamReader, answer: Answer) -> None:
        line, headers = await read_head(reader)
        answer.code = int(line.split(" ")[1])
        answer.retry_after = "retry-after" in headers
        if "content-length" in headers:
            left = int(headers["content-length"])
            while left:
                piece = await reader.read(min(left, 65536))
                if not piece:
                    raise asyncio.IncompleteReadError(NOTHING, left)
                answer.body += piece
                left -= len(piece)
        else:
            answer.body = await read_body(reader, headers)
        answer.complete = self.used = True
        if headers.get("connection", "").lower() == "close":
            self.close()

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


@dataclass(slots=True)
class Verdict:
    """What a case found.

    Attributes:
        breaks: One line for each break of the rule.
        checked: Number of requests or events that were checked.
    """

    breaks: list[str] = field(default_factory=list)
    checked: int = 0


def message(ident: str, name: str, deadline_ms: int, key: str = "", body: bytes = b"") -> bytes:
    """Return a client's request of a class in the form of PROTOCOL."""
    lines = [
        f"{'GET' if name == 'lookup' else 'POST'} /{name} HTTP/1.1",
        "Host: origin.svc",
        f"X-Request-Id: {ident}",
        f"X-Deadline: {deadline_ms}m",
    ]
    if key:
        lines.append(f"Idempotency-Key: {key}")
    if name != "lookup":
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + HEAD_END + body


def has_trouble() -> bool:
    """Return whether the case is played with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def play(case: Callable[[Record], Awaitable[Verdict]], folder: Path, limit_s: float = 118.0) -> int:
    """Play a case, write its record, and return its exit code."""
    record = Record(folder / "record.txt")
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # so that the sidecar is ended, too
    verdict = None
    try:
        verdict = asyncio.run(_within(case, record, limit_s))
    except Exception as error:  # whatever it is, the case says nothing about the rule
        record.add(f"the case could not run: {error!r}")
    finally:
        record.write()
    if verdict is None or not verdict.checked:
        print("the case could not run")
        return NOT_RUN
    for text in verdict.breaks[:5]:
        print(text)
    print(f"checked {verdict.checked}, breaks {len(verdict.breaks)}")
    return BROKEN if verdict.breaks else HELD


async def _within(case: Callable[[Record], Awaitable[Verdict]], record: Record, limit_s: float) -> Verdict:
    async with asyncio.timeout(limit_s):
        return await case(record)


def main(case: Callable[[Record], Awaitable[Verdict]], file: str, limit_s: float = 118.0) -> None:
    """Play a case and exit with its code."""
    sys.exit(play(case, Path(file).resolve().parent, limit_s))
