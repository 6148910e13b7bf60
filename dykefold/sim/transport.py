"""A transport of the virtual loop, with the habits of uvloop's that the program must live with.

A write goes to the kernel at once where it can. `abort` only marks the transport: the protocol hears of it
in a later turn and the descriptor closes in the one after that; until then bytes that wait are still written.
"""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .loop import SimLoop
    from .network import SimSocket

READ_MOST = 256 * 1024  # as uvloop's


class SimTransport(asyncio.Transport):
    def __init__(self, loop: SimLoop, sock: SimSocket, protocol: Any) -> None:
        super().__init__()
        self.loop = loop
        self.sock = sock
        self.protocol = protocol
        self.buffer = bytearray()
        self.high = 64 * 1024
        self.held_up = False  # the protocol was told to pause
        self.reading = False
        self.queued = False
        self.closing = False
        self.eof_due = False
        self.over = False  # the end is on its way to the protocol

    def begin(self) -> None:
        """Look at the socket from now on."""
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
            data = sock.recv(READ_MOST)
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
        self.reading = False

    def resume_reading(self) -> None:
        if not self.closing and not self.reading:
            self.reading = True
            if self.sock.readable():
                self._notice()

    def is_reading(self) -> bool:
        return self.reading

    # Writing

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if self.over or self.closing:
            return
        if self.eof_due:
            raise RuntimeError("write after write_eof")
        waited = bool(self.buffer)
        self.buffer += data
        if not waited:
            self._push()

    def _flush(self) -> None:
        if not self.over or self.buffer:
            self._push()

    def _push(self) -> None:
        try:
            while self.buffer:
                sent = self.sock.send(bytes(self.buffer))
                del self.buffer[:sent]
                if self.sock.starved:
                    break
        except BlockingIOError:
            pass
        except OSError as error:
            self.buffer.clear()
            self._end(error)
            return
        if self.buffer:
            if len(self.buffer) > self.high and not self.held_up:
                self.held_up = True
                self.protocol.pause_writing()
            return
        if self.held_up and not self.over:
            self.held_up = False
            self.protocol.resume_writing()
        if self.eof_due and not self.sock.shut:
            self._shut()
        if self.closing and not self.over:
            self._end(None)

    def _shut(self) -> None:
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            return

    def write_eof(self) -> None:
        self.eof_due = True
        if not self.buffer and not self.over:
            self._shut()

    def can_write_eof(self) -> bool:
        return True

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        self.high = 64 * 1024 if high is None else high

    def get_write_buffer_size(self) -> int:
        return len(self.buffer)

    # Ends

    def is_closing(self) -> bool:
        return self.closing

    def close(self) -> None:
        if self.closing:
            return
        self.closing, self.reading = True, False
        if not self.buffer:
            self._end(None)

    def abort(self) -> None:
        self._end(None)

    def _end(self, error: Exception | None) -> None:
        self.closing, self.reading = True, False
        if not self.over:
            self.over = self.loop.at_edge = True
            self.loop.call_soon(self._tell, error)

    def _tell(self, error: Exception | None) -> None:
        try:
            self.protocol.connection_lost(error)
        finally:
            self.loop.call_soon(self.sock.close)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return {"socket": self.sock, "peername": self.sock.remote}.get(name, default)
