"""Stand-ins and the driver's tools for the cases of the second review (`review/6` to `review/10`).

A case is a script that imports this module. The module starts the sidecar by the `run` line of
`deploy/balancer.toml`, and plays servers, discovery, clients and the platform on loopback addresses. All of
them write to the record of the case.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, TextIO

import httptools

ROOT = Path(__file__).resolve().parent.parent
MS = 1_000_000
OK = 200
# PROTOCOL: each time limit is 50 ms longer. STANDING: a sidecar may be held up for 0.15 s between reading its
# clock and writing, and windows allow for that.
SLACK_S = 0.05 + 0.15
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CouldNotRunError(Exception):
    """The case could not be played, so that it says nothing about the rule."""


class Record:
    """The file `record.txt` of a case: one line an event, with its time since the start.

    Args:
        folder: Folder of the case.
    """

    def __init__(self, folder: Path) -> None:
        self.began_s = time.monotonic()
        self.file: TextIO = (folder / "record.txt").open("w", encoding="utf-8")

    def now_s(self) -> float:
        """Return the seconds since the start of the case."""
        return time.monotonic() - self.began_s

    def write(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{self.now_s():8.3f} {text}\n")
        self.file.flush()


def free_port() -> int:
    """Return a port of 127.0.0.1 that was free just now."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


# Servers


@dataclass(slots=True)
class Request:
    """A request as a server received it.

    Attributes:
        id: Its X-Request-Id.
        method: Its method.
        target: Its target.
        body: Its body.
        complete_s: Time of its last byte, in seconds since the start of the case.
        connection: Connection that it came on.
    """

    id: str
    method: str
    target: str
    body: bytes
    complete_s: float
    connection: ServerConnection


Serve = Callable[[Request], Coroutine[Any, Any, None]]


class ServerConnection(asyncio.Protocol):
    """A connection of the sidecar to a server.

    Args:
        server: Server that was connected to.

    Attributes:
        transport: Transport of the connection.
        closed: Whether the sidecar has closed the connection or its sending side.
    """

    def __init__(self, server: Server) -> None:
        self.server = server
        self.parser = httptools.HttpRequestParser(self)
        self.closed = False
        self.tasks: set[asyncio.Task[None]] = set()
        self._reset()

    def _reset(self) -> None:
        self.id, self.target, self.body = "", b"", b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport."""
        self.transport: asyncio.Transport = transport  # type: ignore[assignment]
        self.server.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        self.parser.feed_data(data)

    def on_url(self, url: bytes) -> None:
        """Append to the target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keep the id."""
        if name.lower() == b"x-request-id":
            self.id = value.decode()

    def on_body(self, data: bytes) -> None:
        """Append to the body."""
        self.body += data

    def on_message_complete(self) -> None:
        """Begin a request: its last byte has come."""
        record = self.server.record
        method, target = self.parser.get_method().decode(), self.target.decode()
        request = Request(self.id, method, target, self.body, record.now_s(), self)
        self._reset()
        self.server.requests.append(request)
        record.write(f"{self.server.name} gets {request.method} {request.target} id={request.id}")
        task = asyncio.get_running_loop().create_task(self.server.serve(request))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def answer(self, code: int, body: bytes = b"", headers: bytes = b"") -> None:
        """Answer the request, unless the connection is closed."""
        if not self.transport.is_closing():
            head = b"HTTP/1.1 %d Answer\r\nContent-Length: %d\r\n%s\r\n" % (code, len(body), headers)
            self.transport.write(head + body)

    def eof_received(self) -> None:
        """Record the end of the sidecar's sending."""
        self.closed = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Record the close."""
        self.closed = True
        self.server.connections.discard(self)


class Server:
    """A server of the platform; `serve` decides how it answers.

    Args:
        record: Record of the case.
        name: Name in discovery's list.
        serve: Function that is called for each complete request.

    Attributes:
        requests: Complete requests, in order of arrival.
        connections: Open connections.
        port: Port of 127.0.0.1 at which it listens.
    """

    def __init__(self, record: Record, name: str, serve: Serve) -> None:
        self.record = record
        self.name = name
        self.serve = serve
        self.requests: list[Request] = []
        self.connections: set[ServerConnection] = set()
        self.port = free_port()
        self.listener: asyncio.Server | None = None

    async def up(self) -> None:
        """Listen."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: ServerConnection(self), "127.0.0.1", self.port)

    def entry(self, status: str = "SERVING", since_ms: int = 0, group: int = 1) -> dict[str, Any]:
        """Return the server's entry in a list."""
        return {
            "name": self.name, "address": f"127.0.0.1:{self.port}", "zone": "a", "type": "std",
            "group": group, "status": status, "weight": 1.0, "since_ms": since_ms,
        }  # fmt: skip


async def answer_at_once(request: Request) -> None:
    """Serve a request without delay; its id is the body, so that a foreign answer shows."""
    request.connection.answer(OK, request.id.encode())


# Discovery


class Discovery:
    """Discovery that is asked: the whole list, and watches that wait for a change.

    Args:
        record: Record of the case.
        entries: The list.
        index: Its version.

    Attributes:
        entries: Entries by name, gone ones too.
        changed: Version at which each entry last changed.
        port: Port of 127.0.0.1 at which it listens.
        told: Time at which a version was first written to the sidecar, by version.
    """

    def __init__(self, record: Record, entries: list[dict[str, Any]], index: int = 41) -> None:
        self.record = record
        self.entries = {entry["name"]: entry for entry in entries}
        self.index = index
        self.changed = dict.fromkeys(self.entries, index)
        self.port = free_port()
        self.told: dict[int, float] = {}
        self.news = asyncio.Event()
        self.server: asyncio.Server | None = None

    async def up(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    def change(self, entry: dict[str, Any]) -> None:
        """Change one entry."""
        self.index += 1
        self.entries[entry["name"]] = entry
        self.changed[entry["name"]] = self.index
        self.record.write(f"discovery lists {entry['name']} as {entry['status']}, version {self.index}")
        news, self.news = self.news, asyncio.Event()
        news.set()

    def known(self) -> dict[str, Any]:
        """Return the whole list, as `known` of a configuration."""
        entries = [entry for entry in self.entries.values() if entry["status"] != "DELETED"]
        return {"index": self.index, "snapshot": True, "endpoints": entries}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        # Cancelled at the end of the case.
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                target = head.split(" ", 2)[1]
                answer = await self._answer(target)
                body = json.dumps(answer).encode()
                self.told.setdefault(answer["index"], self.record.now_s())
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
                await writer.drain()
        writer.close()

    async def _answer(self, target: str) -> dict[str, Any]:
        """Return the answer to a call, when it is due."""
        query = dict(part.split("=", 1) for part in target.partition("?")[2].split("&") if "=" in part)
        if "after" not in query or int(query["after"]) > self.index:
            return self.known()
        after = int(query["after"])
        if after == self.index:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.news.wait(), int(query.get("wait_ms", "0")) / 1000)
        changed = [entry for name, entry in self.entries.items() if self.changed[name] > after]
        return {"index": self.index, "snapshot": False, "endpoints": changed}


# The sidecar


def request_class(name: str, deadline_ms: int, objective_ms: int, effect: str) -> dict[str, Any]:
    """Return a class of the settings; the values of a keyed one are those of plata-parts."""
    return {
        "name": name, "deadline-ns": deadline_ms * MS, "objective-ns": objective_ms * MS, "repeat": effect,
        "key-scope": "cell", "window-ns": 2000 * MS, "points": 1.0, "late-value": 0.25, "stream": False,
    }  # fmt: skip


LOOKUP = request_class("lookup", 3000, 750, "pure")
HOLD = request_class("hold", 2000, 600, "token")
ORDER = request_class("order", 4000, 1200, "side_effect")


def settings(classes: list[dict[str, Any]]) -> dict[str, Any]:
    """Return settings with these classes, and otherwise with the figures of plata-parts."""
    return {
        "accounts": [], "dcs": ["a"], "kinds": ["std"], "my-zone": 0, "discovery": "ask", "fleet-size": 1,
        "index": 0, "worth-by": "request", "weight-source": "silent", "tick-ns": 5 * MS,
        "ceilings": {"cancel": True, "conn-idle-ns": 60_000 * MS, "connect-timeout-ns": 250 * MS,
                     "max-open": 20_000, "max-retry-after-ns": 2000 * MS, "retry-after": True,
                     "peers": False, "probing": False, "second-copies": False, "send-cap": 3,
                     "streams-per-conn": 1},
        "classes": classes,
        "rules": {"answer-slack-ns": 20 * MS, "must-ask-in-ns": 10_000 * MS, "drain-grace-ns": 500 * MS,
                  "start-capacity": 0.14, "warm-within-ns": 22_000 * MS, "overload-factor": 3.0,
                  "overload-for-ns": 2000 * MS},
        "telemetry": {"columns": [], "how": "silent"},
    }  # fmt: skip


@dataclass(slots=True)
class Sidecar:
    """The sidecar's process, started by the `run` line of the deploy file.

    Attributes:
        record: Record of the case.
        config: Content of its configuration file.
        control: Port of the admin API; 0 for none.
        folder: Its `$TMPDIR`.
        name: What the record calls it.
        arguments: Arguments behind the `run` line, such as `serve FILE`.
        process: The process.
        path: Its configuration file.
        log: File with its log.
    """

    record: Record
    config: dict[str, Any]
    control: int = 0
    folder: str = field(default_factory=tempfile.mkdtemp)
    name: str = "sidecar"
    arguments: str = ""
    process: subprocess.Popen[bytes] | None = None
    path: Path = Path()
    log: Path = Path()

    @property
    def port(self) -> int:
        """Port for clients."""
        return int(self.config["listen"].rpartition(":")[2])

    def write_config(self) -> None:
        """Write the configuration file, replacing it in one step."""
        temporary = self.path.with_suffix(".new")
        temporary.write_text(json.dumps(self.config), encoding="utf-8")
        temporary.replace(self.path)

    async def start(self) -> None:
        """Start the process and wait until it takes clients."""
        private = Path(tempfile.mkdtemp())
        self.path, self.log = private / "config.json", private / "log.txt"
        self.write_config()
        with (ROOT / "deploy/balancer.toml").open("rb") as file:
            command = f"{tomllib.load(file)['run']} {self.arguments}"
        environment = {
            **os.environ, "GW_NAME": self.config["name"], "GW_LISTEN": self.config["listen"],
            "GW_DISCOVERY": self.config["discovery"], "GW_CONFIG": str(self.path), "TMPDIR": self.folder,
        }  # fmt: skip
        if self.control:
            environment["GW_CONTROL"] = f"127.0.0.1:{self.control}"
        self._run(command, environment)
        assert self.process is not None
        self.record.write(f"{self.name} started, pid {self.process.pid}")
        for _ in range(300):
            await asyncio.sleep(0.1)
            if self.process.poll() is not None:
                break
            if "sidecar accepts clients" in self.log.read_text(encoding="utf-8"):
                self.record.write(f"{self.name} takes clients")
                return
        problem = f"{self.name} did not start: {self.log.read_text(encoding='utf-8')[-500:]}"
        raise CouldNotRunError(problem)

    def _run(self, command: str, environment: dict[str, str]) -> None:
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stderr=log, stdin=subprocess.DEVNULL
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.record.write(f"{number.name} to {self.name}")
            self.process.send_signal(number)

    def rss_mb(self) -> float:
        """Return the resident memory of the process, in MB; 0 once it has ended."""
        if self.process is None or self.process.poll() is not None:
            return 0.0
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text(encoding="ascii").splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def close(self) -> None:
        """End the process."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()
            self.record.write(f"{self.name} ended with {self.process.returncode}")
            for line in self.log.read_text(encoding="utf-8").splitlines():
                self.record.write(f"log of {self.name}: {line}")
            for folder in (self.path.parent, Path(self.folder)):
                shutil.rmtree(folder, ignore_errors=True)


def configuration(
    discovery: Discovery, classes: list[dict[str, Any]], sockets: int = 1024, memory_mb: int = 192
) -> dict[str, Any]:
    """Return the configuration of a sidecar at a free port."""
    return {
        "name": "n0", "listen": f"127.0.0.1:{free_port()}", "discovery": f"127.0.0.1:{discovery.port}",
        "seed": os.urandom(8).hex(), "peers": [],
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "known": discovery.known(), "settings": settings(classes),
    }  # fmt: skip


# Clients


@dataclass(slots=True)
class Answer:
    """What a client got.

    Attributes:
        id: Id of the request.
        sent_s: Time of its last byte, in seconds since the start of the case.
        ended_s: Time of the last byte of the answer, or of the end of the connection.
        code: Status of the answer; 0 for none.
        body: Its body.
        keep: Whether the connection stays open.
        problem: Why there is no whole answer.
    """

    id: str
    sent_s: float
    ended_s: float = 0.0
    code: int = 0
    body: bytes = b""
    keep: bool = False
    problem: str = ""


_counter = iter(range(1_000_000_000))


def new_id() -> str:
    """Return a new request id."""
    return f"{os.getpid():x}{next(_counter):08x}"


def encode(spec: dict[str, Any], request_id: str, deadline_ms: int, body: bytes = b"part=1") -> bytes:
    """Return a request of a class, in the form of the protocol page."""
    name, effect = spec["name"], spec["repeat"]
    head = f"{'GET' if effect == 'pure' else 'POST'} /{name} HTTP/1.1\r\nHost: origin.svc\r\n"
    head += f"X-Request-Id: {request_id}\r\nX-Deadline: {deadline_ms}m\r\n"
    if effect == "token":
        head += f"Idempotency-Key: k{request_id}\r\n"
    if effect == "pure":
        return f"{head}\r\n".encode()
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Client:
    """A client connection, with one request at a time.

    Args:
        record: Record of the case.
        port: Port of the sidecar.
    """

    def __init__(self, record: Record, port: int) -> None:
        self.record = record
        self.port = port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self) -> None:
        """Open the connection."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)

    async def ask(self, payload: bytes, request_id: str, timeout_s: float) -> Answer:
        """Send a request, and wait for its answer or the end of the connection."""
        assert self.writer is not None
        self.writer.write(payload)
        answer = Answer(request_id, self.record.now_s())
        try:
            async with asyncio.timeout(timeout_s):
                await self._read(answer)
        except TimeoutError:
            answer.problem = "no answer in time"
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            answer.problem = f"connection ended: {type(error).__name__}"
        answer.ended_s = self.record.now_s()
        return answer

    async def _read(self, answer: Answer) -> None:
        assert self.reader is not None
        head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        lines = head.split("\r\n")
        headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines[1:] if line)
        }
        answer.body = await self.reader.readexactly(int(headers["content-length"]))
        answer.code = int(lines[0].split()[1])
        answer.keep = headers.get("connection", "").lower() != "close"

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()


def play(folder: Path, case: Callable[[Record], Coroutine[Any, Any, bool]]) -> None:
    """Play a case and exit: 0 if the rule held, 1 if it was broken, 2 if the case could not run."""
    record = Record(folder)
    record.write(f"trouble: {TROUBLE}")
    try:
        held = asyncio.run(case(record))
    except Exception as error:  # a fault of the script says nothing about the rule
        record.write(f"could not run: {type(error).__name__}: {error}")
        sys.exit(COULD_NOT_RUN)
    record.write("the rule held" if held else "the rule was broken")
    sys.exit(HELD if held else BROKEN)
