"""A transport of the virtual loop, with the habits of uvloop's that the program must live with.

A write goes to the kernel at once where it can. `abort` only marks the transport: the protocol hears of it
in a later turn and the descriptor closes in the one after that; until then bytes that wait are still written.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol

from .sockets import SimSocket

MAX_READ_BYTES = 256 * 1024  # As uvloop's.
HIGH_WATER_BYTES = 64 * 1024  # Above this a protocol is requested to pause, unless it sets another limit.


class TransportLoop(Protocol):
    """What a transport needs of its event loop (`loop.SimLoop`).

    Attributes:
        at_edge: Whether something has begun in this turn that a later turn completes.
    """

    at_edge: bool

    def wake(self, act: Callable[..., None], *arguments: object) -> None:
        """Have something called in a later turn, in any order with what else is ready."""
        ...

    def call_soon(self, callback: Callable[..., object], *args: object) -> asyncio.Handle:
        """Have something called in the next turn, in order."""
        ...


class WriteAfterEofError(RuntimeError):
    """Bytes were written behind the end of the own side."""

    def __init__(self) -> None:
        """Make the error with its one text."""
        super().__init__("write after write_eof")


class SimTransport(asyncio.Transport):
    """The transport of a connected socket.

    Attributes:
        buffer: bytes that the kernel has not taken yet.
        writing_paused: Whether the protocol was requested to pause.
        queued: Whether a read is due in a later turn.
        eof_pending: Whether an end of file is sent once the buffer is empty.
        ended: Whether the protocol is about to be notified of the end.
    """

    def __init__(self, loop: TransportLoop, sock: SimSocket, protocol: asyncio.Protocol) -> None:
        """Make the transport; it reads from `begin` on."""
        super().__init__()
        self.loop = loop
        self.sock = sock
        self.protocol = protocol
        self.buffer = bytearray()
        self.high_water_bytes = HIGH_WATER_BYTES
        self.writing_paused = False
        self.reading = False
        self.queued = False
        self.closing = False
        self.eof_pending = False
        self.ended = False

    def begin(self) -> None:
        """Watch the socket from now on."""
        self.sock.on_readable = self._notice
        self.sock.on_writable = lambda: self.loop.wake(self._flush)
        if not self.closing:
            self.reading = True
            if self.sock.readable():
                self._notice()

    # Reading

    def _notice(self) -> None:
        if self.reading and not self.queued and not self.closing:
            self.queued = True
            self.loop.wake(self._read)

    def _read(self) -> None:
        self.queued = False
        sock = self.sock
        if not self.reading or self.closing:
            return
        try:
            data = sock.recv(MAX_READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._end(error)
            return
        if data:
            self.protocol.data_received(data)
            if sock.readable() and not self.closing:
                self._notice()
            return
        self.reading = False
        if not self.protocol.eof_received():
            self.close()

    def pause_reading(self) -> None:
        """Read no more for now."""
        self.reading = False

    def resume_reading(self) -> None:
        """Read again."""
        if not self.closing and not self.reading:
            self.reading = True
            if self.sock.readable():
                self._notice()

    def is_reading(self) -> bool:
        """Return whether the transport reads."""
        return self.reading

    # Writing

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Write bytes, now or as soon as the kernel takes them.

        Raises:
            WriteAfterEofError: An end of file was written before.
        """
        if self.ended or self.closing:
            return
        if self.eof_pending:
            raise WriteAfterEofError
        waited = bool(self.buffer)
        self.buffer += data
        if not waited:
            self._push()

    def _flush(self) -> None:
        if not self.ended or self.buffer:
            self._push()

    def _push(self) -> None:
        try:
            self._send_buffer()
        except OSError as error:
            self.buffer.clear()
            self._end(error)
            return
        if self.buffer:
            if len(self.buffer) > self.high_water_bytes and not self.writing_paused:
                self.writing_paused = True
                self.protocol.pause_writing()
            return
        if self.writing_paused and not self.ended:
            self.writing_paused = False
            self.protocol.resume_writing()
        if self.eof_pending and not self.sock.write_closed:
            self._shut_down_writing()
        if self.closing and not self.ended:
            self._end(None)

    def _send_buffer(self) -> None:
        """Hand the kernel what it takes; OSError where the connection has failed."""
        try:
            while self.buffer:
                sent = self.sock.send(bytes(self.buffer))
                del self.buffer[:sent]
                if self.sock.write_blocked:
                    return
        except BlockingIOError:
            return

    def _shut_down_writing(self) -> None:
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            return

    def write_eof(self) -> None:
        """End the own side behind the bytes that wait."""
        self.eof_pending = True
        if not self.buffer and not self.ended:
            self._shut_down_writing()

    def can_write_eof(self) -> bool:
        """Return True: the own side can be ended alone."""
        return True

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Set the bytes above which the protocol is told to pause; the lower limit is always 0."""
        self.high_water_bytes = HIGH_WATER_BYTES if high is None else high

    def get_write_buffer_size(self) -> int:
        """Return the bytes that the kernel has not taken yet."""
        return len(self.buffer)

    # Ends

    def is_closing(self) -> bool:
        """Return whether the transport closes or is closed."""
        return self.closing

    def close(self) -> None:
        """Close behind the bytes that wait."""
        if self.closing:
            return
        self.closing, self.reading = True, False
        if not self.buffer:
            self._end(None)

    def abort(self) -> None:
        """Close without waiting for anything."""
        self._end(None)

    def _end(self, error: Exception | None) -> None:
        self.closing, self.reading = True, False
        if not self.ended:
            self.ended = self.loop.at_edge = True
            self.loop.call_soon(self._report_end, error)

    def _report_end(self, error: Exception | None) -> None:
        try:
            self.protocol.connection_lost(error)
        finally:
            self.loop.call_soon(self.sock.close)

    def get_extra_info(self, name: str, default: object = None) -> object:
        """Return the socket or the other side's address; the default for any other name."""
        return {"socket": self.sock, "peername": self.sock.remote}.get(name, default)
