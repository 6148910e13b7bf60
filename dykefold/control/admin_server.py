"""The operators' door: a listener beside the clients', HTTP/1.1, one call to a connection.

It has descriptors of its own, and the oldest connection with no whole call gives way to a new one: whoever
connects and says nothing holds up nobody. All that is decided stands in `calls` and behind `AdminHandler`.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections import OrderedDict
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

import httptools

from ..system import SYSTEM, System
from .admin_requests import MAX_TARGET_BYTES, AdminRequest, AdminResponse, parse_admin_request

log = logging.getLogger("dykefold.control")

MAX_CONNECTIONS = 24  # at once; the same number may wait in the kernel's queue
RESERVED_DESCRIPTORS = (
    MAX_CONNECTIONS + 2
)  # with the listener, and one that is accepted before the oldest goes
MAX_HEAD_BYTES = 8 * 1024  # bytes of a call's line and headers
MAX_BODY_BYTES = 4 * 1024  # of a body, which no call needs
MAX_REQUEST_S = 5.0  # from connecting to a call's last byte
LINGER_S = 1.0  # in which a caller may read its answer and close


class AdminHandler(Protocol):
    """What a call is carried out by."""

    def carry_out(self, call: AdminRequest) -> AdminResponse:
        """Do what a call asks for; the answer says whether it was done."""
        ...


class AdminServer:
    """Accepts calls on one non-blocking listening socket."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        sock: socket.socket,
        operations: AdminHandler,
        system: System = SYSTEM,
        read: Callable[[str, str], AdminRequest | AdminResponse] = parse_admin_request,
    ) -> None:
        """Begin to take calls.

        Args:
            read: what a method and a target ask for; the platform's calls where none is given.
        """
        self.loop = loop
        self.read = read
        self.sock = sock
        self.operations = operations
        self.monotonic = system.monotonic
        self.callers: OrderedDict[AdminConnection, None] = OrderedDict()  # the oldest first
        self.starting: set[asyncio.Task[None]] = set()
        self.closed = False
        sock.setblocking(False)
        loop.add_reader(sock.fileno(), self._ready)

    @property
    def address(self) -> tuple[str, int]:
        return self.sock.getsockname()[:2]

    def _ready(self) -> None:
        for _ in range(MAX_CONNECTIONS):
            try:
                sock, _ = self.sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except OSError:
                return  # of this one connection, or out of descriptors: the listener stays readable
            sock.setblocking(False)
            if len(self.callers) >= MAX_CONNECTIONS:
                next(iter(self.callers)).close()
            caller = AdminConnection(self)
            self.callers[caller] = None
            task = self.loop.create_task(self._start(sock, caller))
            self.starting.add(task)
            task.add_done_callback(self.starting.discard)

    async def _start(self, sock: socket.socket, caller: AdminConnection) -> None:
        try:
            await self.loop.connect_accepted_socket(lambda: caller, sock)
        except (OSError, asyncio.CancelledError):
            sock.close()
            self.callers.pop(caller, None)

    def close(self) -> None:
        """Take no more calls; those that were answered may still read."""
        if self.closed:
            return
        self.closed = True
        self.loop.remove_reader(self.sock.fileno())
        self.sock.close()
        for caller in list(self.callers):
            caller.close()


class AdminConnection(asyncio.Protocol):
    """One connection: at most one call is read of it, and answered once."""

    def __init__(self, door: AdminServer) -> None:
        self.door = door
        self.parser = httptools.HttpRequestParser(self)
        self.transport: asyncio.Transport | None = None
        self.target = b""
        self.size = 0
        self.head_ended = self.answered = self.closing = False
        self.timer = door.loop.call_later(MAX_REQUEST_S, self._late)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport  # type: ignore[assignment]
        if self.closing:
            transport.abort()  # type: ignore[attr-defined]

    def data_received(self, data: bytes) -> None:
        if self.answered or self.closing:
            return
        self.size += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self.answer(AdminResponse(400, "upgrades are not known here"))
        except httptools.HttpParserError:
            self.answer(AdminResponse(400, "the call can't be read"))
        if self.size > MAX_HEAD_BYTES + (MAX_BODY_BYTES if self.head_ended else 0):
            self.answer(AdminResponse(431 if not self.head_ended else 413, "the call is too long"))

    def eof_received(self) -> bool:
        if not self.answered:
            self.close()
        return self.answered

    def connection_lost(self, exc: Exception | None) -> None:
        self.closing = True
        self.timer.cancel()
        self.door.callers.pop(self, None)
        del self.parser  # the two refer to each other

    # The parser's calls

    def on_url(self, url: bytes) -> None:
        # No more than can be told to be too long need be held.
        self.target = (self.target + url)[: MAX_TARGET_BYTES + 1]

    def on_headers_complete(self) -> None:
        self.head_ended = True

    def on_message_complete(self) -> None:
        if self.answered:
            return
        method = self.parser.get_method().decode("latin-1")
        call = self.door.read(method, self.target.decode("latin-1"))
        if isinstance(call, AdminRequest):
            try:
                call = self.door.operations.carry_out(call)
            except Exception:
                # Guards the loop and the caller alike: a fault here must be a no, and said.
                log.exception("a call failed")
                call = AdminResponse(500, "failed; see the log")
        self.answer(call)

    def answer(self, reply: AdminResponse) -> None:
        """The one answer; the connection ends behind it."""
        if self.answered or self.transport is None:
            return
        self.answered = True
        body = f"{reply.text}\n".encode()
        allow = f"Allow: {reply.allow}\r\n" if reply.allow else ""
        head = f"HTTP/1.1 {reply.code} {HTTPStatus(reply.code).phrase}\r\n{allow}"
        head += f"Content-Type: text/plain; charset=utf-8\r\nContent-Length: {len(body)}\r\n"
        self.transport.write(f"{head}Connection: close\r\n\r\n".encode() + body)
        # Guards the answer against being lost: closing with input unread resets the connection.
        with contextlib.suppress(OSError):
            self.transport.write_eof()
        self.timer.cancel()
        self.timer = self.door.loop.call_later(LINGER_S, self.close)

    def _late(self) -> None:
        self.answer(AdminResponse(408, "the call took too long to come"))

    def close(self) -> None:
        self.closing = True
        # It gives way at once, whenever the loop closes it.
        self.door.callers.pop(self, None)
        if self.transport is not None:
            self.transport.abort()
