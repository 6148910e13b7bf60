"""A transport of the virtual loop, with the behavior of uvloop's transports that the program has to handle.

A write goes to the kernel at once if possible. `abort` only marks the transport: the protocol is notified in
a later turn and the descriptor closes in the turn after that; until then buffered bytes are still written.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from typing import Protocol

from .sockets import SimSocket

MAX_READ_BYTES = 256 * 1024  # As uvloop's.
HIGH_WATER_BYTES = 64 * 1024  # Above this the protocol is requested to pause, unless it sets another limit.


class TransportLoop(Protocol):
    """The interface of the event loop that a transport uses (`loop.SimLoop`).

    Attributes:
        connection_changed: Whether a connection was opened or began to close in the current turn.
    """

    connection_changed: bool

    def wake(self, callback: Callable[..., None], *arguments: object) -> None:
        """Schedule a callback for the next turn, in random order among the other ready I/O callbacks."""
        ...

    def call_soon(self, callback: Callable[..., object], *args: object) -> asyncio.Handle:
        """Schedule a callback for the next turn, first in, first out."""
        ...


class WriteAfterEofError(RuntimeError):
    """Bytes were written after an end of file."""

    def __init__(self) -> None:
        """Create the error with its fixed text."""
        super().__init__("write after write_eof")


class SimTransport(asyncio.Transport):
    """The transport of a connected socket.

    Attributes:
        buffer: Bytes that the kernel has not accepted yet.
        writing_paused: Whether the protocol was requested to pause.
        read_scheduled: Whether a read is scheduled for a later turn.
        eof_pending: Whether an end of file follows the buffered bytes.
        close_reported: Whether the call of `connection_lost` was scheduled.
    """

    def __init__(self, loop: TransportLoop, sock: SimSocket, protocol: asyncio.Protocol) -> None:
        """Create the transport; `begin` starts reading."""
        super().__init__()
        self.loop = loop
        self.sock = sock
        self.protocol = protocol
        self.buffer = bytearray()
        self.high_water_bytes = HIGH_WATER_BYTES
        self.writing_paused = False
        self.reading = False
        self.read_scheduled = False
        self.closing = False
        self.eof_pending = False
        self.close_reported = False

    def begin(self) -> None:
        """Start watching the socket."""
        self.sock.on_readable = self._schedule_read
        self.sock.on_writable = lambda: self.loop.wake(self._flush)
        if not self.closing:
            self.reading = True
            if self.sock.readable():
                self._schedule_read()

    # Reading

    def _schedule_read(self) -> None:
        if self.reading and not self.read_scheduled and not self.closing:
            self.read_scheduled = True
            self.loop.wake(self._read)

    def _read(self) -> None:
        self.read_scheduled = False
        sock = self.sock
        if not self.reading or self.closing:
            return
        try:
            data = sock.recv(MAX_READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._begin_close(error)
            return
        if data:
            self.protocol.data_received(data)
            if sock.readable() and not self.closing:
                self._schedule_read()
            return
        self.reading = False
        if not self.protocol.eof_received():
            self.close()

    def pause_reading(self) -> None:
        """Pause reading."""
        self.reading = False

    def resume_reading(self) -> None:
        """Resume reading."""
        if not self.closing and not self.reading:
            self.reading = True
            if self.sock.readable():
                self._schedule_read()

    def is_reading(self) -> bool:
        """Return whether the transport is reading."""
        return self.reading

    # Writing

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Write bytes, now or as soon as the kernel accepts them.

        Raises:
            WriteAfterEofError: An end of file was written before.
        """
        if self.close_reported or self.closing:
            return
        if self.eof_pending:
            raise WriteAfterEofError
        was_pending = bool(self.buffer)
        self.buffer += data
        if not was_pending:
            self._write_buffer()

    def _flush(self) -> None:
        if not self.close_reported or self.buffer:
            self._write_buffer()

    def _write_buffer(self) -> None:
        try:
            self._send_buffer()
        except OSError as error:
            self.buffer.clear()
            self._begin_close(error)
            return
        if self.buffer:
            if len(self.buffer) > self.high_water_bytes and not self.writing_paused:
                self.writing_paused = True
                self.protocol.pause_writing()
            return
        if self.writing_paused and not self.close_reported:
            self.writing_paused = False
            self.protocol.resume_writing()
        if self.eof_pending and not self.sock.write_closed:
            self._shut_down_writing()
        if self.closing and not self.close_reported:
            self._begin_close(None)

    def _send_buffer(self) -> None:
        """Send as much as the kernel accepts; OSError if the connection has failed."""
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
        """Send an end of file after the buffered bytes."""
        self.eof_pending = True
        if not self.buffer and not self.close_reported:
            self._shut_down_writing()

    def can_write_eof(self) -> bool:
        """Return True: TCP supports half-close."""
        return True

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Set the buffer size in bytes above which the protocol pauses; the lower limit is always 0."""
        self.high_water_bytes = HIGH_WATER_BYTES if high is None else high

    def get_write_buffer_size(self) -> int:
        """Return the number of bytes that the kernel has not accepted yet."""
        return len(self.buffer)

    # Closing

    def is_closing(self) -> bool:
        """Return whether the transport is closing or closed."""
        return self.closing

    def close(self) -> None:
        """Close after the buffered bytes are sent."""
        if self.closing:
            return
        self.closing, self.reading = True, False
        if not self.buffer:
            self._begin_close(None)

    def abort(self) -> None:
        """Close without waiting for the buffer to empty."""
        self._begin_close(None)

    def _begin_close(self, error: Exception | None) -> None:
        self.closing, self.reading = True, False
        if not self.close_reported:
            self.close_reported = self.loop.connection_changed = True
            self.loop.call_soon(self._report_close, error)

    def _report_close(self, error: Exception | None) -> None:
        try:
            self.protocol.connection_lost(error)
        finally:
            self.loop.call_soon(self.sock.close)

    def get_extra_info(self, name: str, default: object = None) -> object:
        """Return the socket or the peer's address; the default for any other name."""
        return {"socket": self.sock, "peername": self.sock.remote}.get(name, default)
