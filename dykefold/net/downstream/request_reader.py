"""Input of a client connection: bytes are parsed in slices, and reading pauses while too much is queued.

The reader is not involved in responses. `RequestAssembler` turns the parsed bytes into items, and the
connection takes them from `RequestAssembler.waiting`.
"""

from __future__ import annotations

import asyncio

import httptools

from ...admission.client import Client
from ..read_scheduler import BODY_SLICE_BYTES, SLICE_BYTES, split_slice
from .arrivals import Arrivals
from .lifecycle import CLOSED, CLOSING_OR_CLOSED, ConnectionLifecycle
from .protocols import ItemReceiver, ServerContext
from .request_assembler import MAX_WAITING_REQUESTS, RequestAssembler

# What the client's kernel holds back arrives within this time after a read.
REFILL_NS = 10_000_000


class RequestReader:
    """Reads the input of one connection.

    Args:
        server: Server of the connection.
        client: Record of the client that admission created.
        lifecycle: State machine of the connection.
        receiver: Receiver of the assembled items.

    Attributes:
        assembler: Assembler of the items.
        transport: Transport of the connection; None until it exists.
        paused: Whether reading is paused.
        unparsed: Bytes that were read and are not parsed yet; None if there are none.
        scheduled: Whether the reader is in the queue of the read scheduler.
    """

    __slots__ = (
        "_arrivals",
        "_client",
        "_dispatch",
        "_lifecycle",
        "_read_bytes",
        "_read_ns",
        "_server",
        "assembler",
        "paused",
        "scheduled",
        "transport",
        "unparsed",
    )

    def __init__(
        self, server: ServerContext, client: Client, lifecycle: ConnectionLifecycle, receiver: ItemReceiver
    ) -> None:
        self._server = server
        self._client = client
        self._lifecycle = lifecycle
        self._dispatch = receiver.dispatch
        self._arrivals = Arrivals()
        self._read_ns = self._read_bytes = 0  # the latest read of a body that is streamed
        self.assembler = RequestAssembler(server, client, receiver, self)
        self.transport: asyncio.Transport | None = None
        self.paused = False
        self.unparsed: memoryview | None = None
        self.scheduled = False

    def data_received(self, data: bytes) -> None:
        """Parse the first slice immediately; the rest of longer input waits for the read scheduler."""
        if self.assembler.discarding_input or self._lifecycle.state is CLOSED:
            return
        if self.assembler.upload is not None:
            self._read_ns, self._read_bytes = self._server.now(), len(data)
        if len(data) <= SLICE_BYTES:
            began_s = self._server.monotonic()
            self._parse(data)
            self._server.lag_monitor.record_duration(began_s, "a client's message")
            return
        # The first slice may cause the rest to be discarded, which then needs no memory.
        self._parse(data[:SLICE_BYTES])
        if self.assembler.discarding_input or self._lifecycle.state is CLOSED:
            return
        rest = memoryview(data)[SLICE_BYTES:]
        if not self._server.memory.reserve(len(rest)):
            self.assembler.reject_for_memory()
            self._dispatch()
            return
        self.unparsed = rest
        self.pause()
        self.resume()

    def feed_slice(self) -> bool:
        """Parse the next slice; return whether another one can be parsed in the next loop iteration."""
        # On a closing connection a request can no longer be answered, so none may be accepted.
        if self._lifecycle.state in CLOSING_OR_CLOSED:
            self.discard_unparsed()
        if self.unparsed is not None:
            data, self.unparsed = split_slice(self.unparsed, self._slice_bytes(len(self.unparsed)))
            self._server.memory.release(len(data))
            self._parse(data)
        if self.assembler.discarding_input:
            self.discard_unparsed()
        self.scheduled = self.unparsed is not None and not self._is_full()
        if not self.scheduled:
            self.resume()
        return self.scheduled

    def _slice_bytes(self, size: int) -> int:
        """Return the size of the next slice of that much input."""
        upload = self.assembler.upload
        if upload is not None and upload.length is not None and upload.missing_bytes() >= size:
            return BODY_SLICE_BYTES
        return SLICE_BYTES

    def discard_unparsed(self) -> None:
        """Discard input that was read and is not parsed yet."""
        if self.unparsed is not None:
            self._server.memory.release(len(self.unparsed))
            self.unparsed = None

    def _parse(self, data: bytes) -> None:
        """Parse a slice; the parser calls the `on_...` methods of the assembler."""
        assembler = self.assembler
        assembler.message_bytes += len(data)
        if self._arrivals.marks:
            assembler.arrived_ns = self._arrivals.arrival_ns(not self.paused)
        try:
            assembler.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            assembler.reject(400, "upgrades are not known here")
        except httptools.HttpParserCallbackError:
            self._server.log_exception("a request could not be read")
            assembler.reject(400, "unreadable request")
        except httptools.HttpParserError:
            assembler.reject(400, "malformed request")
        # The parser itself does not limit the length of a header line.
        if assembler.message_bytes > assembler.max_message_bytes:
            assembler.reject(431, "headers are too long")
        elif assembler.message_unfinished:
            assembler.account_unfinished(len(data))
        self._arrivals.parsed_bytes += len(data)
        if assembler.in_body:
            self._server.clients.record_body(self._client, len(data))
        self._dispatch()

    # Flow control

    def pause(self) -> None:
        """Stop reading from the socket."""
        if not self.paused and self.transport is not None:
            self.paused = True
            self.transport.pause_reading()
            self.observe_arrival()
            if self.assembler.upload is not None:
                self.assembler.upload.set_paused(True, self._server.now())

    def resume(self) -> None:
        """Resume reading, first from `unparsed`, unless too much is still queued."""
        if not self.paused:
            return
        self.observe_arrival()
        if self._is_full() and not self.assembler.discarding_input:
            return
        if self.unparsed is not None:
            if not self.scheduled:
                self.scheduled = True
                self._server.read_scheduler.add(self)
        elif self.transport is not None and not self.transport.is_closing():
            self.paused = False
            self.transport.resume_reading()
            if self.assembler.upload is not None:
                self.assembler.upload.set_paused(False, self._server.now())

    def observe_arrival(self) -> None:
        """Record how many unparsed bytes have arrived; deadlines of the requests in them count from now."""
        if self.transport is None or self.transport.is_closing():
            return
        sock = self.transport.get_extra_info("socket")
        unread_bytes = self._server.system.unread_byte_count(sock) if sock is not None else 0
        unparsed_bytes = len(self.unparsed) if self.unparsed is not None else 0
        now_ns = self._server.now()
        if self.paused:
            self._arrivals.record_count(now_ns, unparsed_bytes + unread_bytes)
        if self.assembler.upload is not None:
            just_read_bytes = self._read_bytes if now_ns - self._read_ns < REFILL_NS else 0
            self.assembler.upload.observe_arrival(now_ns, unparsed_bytes, unread_bytes, just_read_bytes)

    def _is_full(self) -> bool:
        """Return whether so much is queued that reading must pause."""
        waiting, upload = self.assembler.waiting, self.assembler.upload
        return len(waiting) >= MAX_WAITING_REQUESTS or (upload is not None and upload.full)

    def resume_for_close(self) -> None:
        """Resume reading unconditionally, since a paused transport does not report the client's close."""
        if self.paused and self.transport is not None:
            self.paused = False
            self.transport.resume_reading()

    def detach(self) -> None:
        """Release all reservations, and clear all references that lead back to the connection."""
        self.assembler.detach()
        self.discard_unparsed()
        del self._dispatch
