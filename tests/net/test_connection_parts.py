"""The parts of a client connection in isolation: bytes to items, responses to bytes, and both together."""

import gc
import weakref
from types import SimpleNamespace

import pytest

from dykefold.admission.addresses import AddressLimits
from dykefold.admission.clients import ClientConnections
from dykefold.admission.controller import AdmissionController
from dykefold.admission.limits import ConnectionLimits
from dykefold.net.downstream.connection import ClientConnection
from dykefold.net.downstream.lifecycle import CLOSED, ConnectionLifecycle
from dykefold.net.downstream.request_assembler import MAX_WAITING_REQUESTS, ReadinessCheck
from dykefold.net.downstream.request_parser import ParsedRequest, RequestError
from dykefold.net.downstream.request_reader import RequestReader
from dykefold.net.downstream.response_writer import ResponseWriter
from dykefold.net.memory_budget import MB, MemoryBudget
from dykefold.net.streaming import UPLOAD_HIGH_WATER_BYTES, Upload

GET = b"GET /lookup/part HTTP/1.1\r\nX-Request-Id: one\r\nConnection: keep-alive\r\n\r\n"
POST = b"POST /order HTTP/1.1\r\nContent-Length: 5\r\n\r\nhello"


class Transport:
    """A transport without a socket that records the calls of its methods."""

    def __init__(self):
        self.written = b""
        self.reading = True
        self.unsent_bytes = 0
        self.aborted = False

    def write(self, data):
        self.written += data

    def write_eof(self):
        self.written += b"<eof>"

    def is_closing(self):
        return self.aborted

    def abort(self):
        self.aborted = True

    def get_extra_info(self, name):
        return None

    def get_write_buffer_size(self):
        return self.unsent_bytes

    def set_write_buffer_limits(self, high):
        pass

    def pause_reading(self):
        self.reading = False

    def resume_reading(self):
        self.reading = True


class Timer:
    def __init__(self, callback):
        self.callback = callback
        self.cancelled = False

    def cancel(self):
        self.cancelled = True
        self.callback = None  # as in asyncio


class Loop:
    def __init__(self):
        self.timers = []

    def call_later(self, delay_s, callback, *args):
        self.timers.append(Timer(lambda: callback(*args)))
        return self.timers[-1]


class Server:
    """A server that parses every message into a request, and records accepted and lost requests."""

    draining = handing_over = half_close = False
    accepting_requests = True
    supports_streaming = True

    def __init__(self):
        limits = ConnectionLimits(10, 10)
        self.clients = ClientConnections(AdmissionController(limits, AddressLimits()))
        self.loop = Loop()
        self.memory = MemoryBudget(1 << 20)
        self.parser = self
        self.system = self.read_scheduler = None
        self.lag_monitor = SimpleNamespace(record_duration=lambda began_s, subject: None)
        self.accepted = []
        self.lost = []

    def monotonic(self):
        return 1.0

    def now(self):
        return 1_000

    def parse(self, message):
        return ParsedRequest(
            b"one",
            message.method,
            message.target,
            message.lines,
            message.body,
            0,
            0,
            0,
            message.received_ns,
            0,
            0,
            False,
            message.keep_alive,
            max_body_bytes=1 << 20,
        )

    def admit(self, connection, request):
        return None

    def accept(self, connection, request):
        self.accepted.append(request)

    def disconnected(self, connection, request):
        self.clients.remove(connection.client)
        self.lost.append(request)

    def log_exception(self, text):
        raise AssertionError(text)


class Receiver:
    """The connection as its reader sees it, with counts of the calls."""

    idle = True

    def __init__(self):
        self.dispatched = self.continued = 0

    def dispatch(self):
        self.dispatched += 1

    def send_continue(self):
        self.continued += 1


def make_reader(server):
    client = server.clients.admit("127.0.0.1").client
    receiver = Receiver()
    reader = RequestReader(server, client, ConnectionLifecycle(), receiver)
    reader.transport = Transport()
    return reader, receiver


@pytest.mark.parametrize("piece_bytes", [1, 7, 1000])
def test_reader_gets_input_in_pieces_of_any_size_and_assembles_items_in_order(piece_bytes):
    server = Server()
    reader, receiver = make_reader(server)
    data = GET + POST + b"GET /-/ready HTTP/1.1\r\n\r\n"
    pieces = [data[start : start + piece_bytes] for start in range(0, len(data), piece_bytes)]
    for piece in pieces:
        reader.data_received(piece)
    first, second, third = reader.assembler.waiting
    assert (first.method, first.target, first.headers) == (
        b"GET",
        b"/lookup/part",
        [b"X-Request-Id: one\r\n"],
    )
    assert (second.method, second.body, second.deadline_ns) == (b"POST", b"hello", 1_000)
    assert third == ReadinessCheck(keep_alive=True)
    assert reader.assembler.messages == 3
    assert receiver.dispatched == len(pieces)
    assert (
        server.memory.reserved_bytes
        == reader.assembler.reserved_bytes
        == first.reserved_bytes + second.reserved_bytes
    )


def test_reader_gets_malformed_input_and_queues_one_error_and_discards_the_rest():
    server = Server()
    reader, _ = make_reader(server)
    reader.data_received(b"this is no http\r\n\r\n")
    reader.data_received(GET)
    (error,) = reader.assembler.waiting
    assert isinstance(error, RequestError)
    assert error.code == 400
    assert reader.assembler.discarding_input
    assert not server.memory.reserved_bytes


def test_reader_without_available_memory_rejects_message():
    server = Server()
    reader, _ = make_reader(server)
    other_bytes = server.memory.capacity_bytes - 10
    assert server.memory.reserve(other_bytes)
    reader.data_received(GET)
    (error,) = reader.assembler.waiting
    assert error.code == 503
    assert server.memory.reserved_bytes == other_bytes


def test_reader_pauses_while_request_queue_is_full_and_resumes_afterwards():
    server = Server()
    server.system = SimpleNamespace(unread_byte_count=lambda sock: 0)
    reader, _ = make_reader(server)
    reader.data_received(GET * MAX_WAITING_REQUESTS)
    assert reader.paused
    assert not reader.transport.reading
    reader.resume()
    assert reader.paused
    reader.assembler.waiting.popleft()
    reader.resume()
    assert not reader.paused
    assert reader.transport.reading


def test_reader_gets_expect_header_and_requests_100_continue_before_body():
    reader, receiver = make_reader(Server())
    reader.data_received(b"POST /order HTTP/1.1\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\n")
    assert receiver.continued == 1
    assert not reader.assembler.waiting
    reader.data_received(b"hello")
    assert [item.body for item in reader.assembler.waiting] == [b"hello"]
    assert receiver.continued == 1


def test_reader_of_closed_connection_ignores_input():
    reader, receiver = make_reader(Server())
    reader._lifecycle.enter(CLOSED)
    reader.data_received(GET)
    assert not reader.assembler.waiting
    assert not receiver.dispatched


def make_writer():
    closed = []
    writer = ResponseWriter(Loop(), MemoryBudget(MB), lambda: closed.append(True))
    writer.transport = Transport()
    return writer, closed


RESPONSES = {
    "with a body": (
        (200, b"A: b\r\n", b"hello", True),
        b"HTTP/1.1 200 OK\r\nA: b\r\nContent-Length: 5\r\n\r\nhello",
    ),
    "before a close": (
        (503, b"", b"", False),
        b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
    ),
    "without a body": ((204, b"", b"", True), b"HTTP/1.1 204 No Content\r\n\r\n"),
    "to HEAD": ((200, b"", b"hello", True, True), b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"),
    "to HEAD with a length": (
        (200, b"Content-Length: 9\r\n", b"", True, True),
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
    ),
}


@pytest.mark.parametrize("kind", RESPONSES)
def test_writer_frames_complete_response(kind):
    response, expected = RESPONSES[kind]
    writer, _ = make_writer()
    writer.respond(*response)
    assert writer.transport.written == expected


STREAMS = {
    "length": ((2, True, True), True, b"Content-Length: 2\r\n\r\nab"),
    "chunks": ((None, True, True), True, b"Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n1\r\nb\r\n0\r\n\r\n"),
    "connection close": ((None, True, False), False, b"Connection: close\r\n\r\nab"),
}


@pytest.mark.parametrize("framing", STREAMS)
def test_writer_frames_streamed_response(framing):
    arguments, keep_alive, expected = STREAMS[framing]
    writer, _ = make_writer()
    writer.begin(200, b"", *arguments)
    writer.send_piece(b"a")
    writer.send_piece(b"b")
    writer.end()
    assert writer.transport.written == b"HTTP/1.1 200 OK\r\n" + expected
    assert writer.keep_alive is keep_alive


@pytest.mark.parametrize("client_reads", [True, False])
def test_writer_closes_connection_of_client_that_reads_nothing(client_reads):
    writer, closed = make_writer()
    pauses = []
    writer.source = SimpleNamespace(set_paused=pauses.append)
    writer.transport.unsent_bytes = 100
    writer.pause()
    assert writer.unread
    assert pauses == [True]
    writer.transport.unsent_bytes = 50 if client_reads else 100
    writer._loop.timers[0].callback()
    assert closed == ([] if client_reads else [True])
    assert len(writer._loop.timers) == (2 if client_reads else 1)
    writer.resume()
    assert not writer.unread
    assert pauses == [True, False]
    assert writer._loop.timers[-1].cancelled


def test_writer_after_closing_its_side_writes_nothing_and_lingers():
    writer, closed = make_writer()
    assert writer.close_sending_side(0.3)
    writer.respond(200, b"", b"late", True)
    assert writer.transport.written == b"<eof>"
    assert not closed
    writer._loop.timers[0].callback()
    assert closed == [True]


def make_connection(server):
    connection = ClientConnection(server, server.clients.admit("127.0.0.1").client)
    server.clients.add(connection)
    transport = Transport()
    connection.connection_made(transport)
    return connection, transport


def test_connection_serves_pipelined_requests_one_after_another():
    server = Server()
    connection, transport = make_connection(server)
    connection.data_received(GET + GET)
    (first,) = server.accepted
    connection.respond(first, 200, b"", b"1")
    connection.respond(first, 200, b"", b"again")
    _, second = server.accepted
    connection.respond(second, 200, b"", b"2")
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n"
    assert transport.written == head + b"1" + head + b"2"
    assert connection.idle
    assert not server.memory.reserved_bytes


@pytest.mark.parametrize(
    "data",
    [b"", GET, GET + GET[:30], b"no http\r\n\r\n"],
    ids=["empty", "complete", "incomplete", "malformed"],
)
def test_lost_connection_releases_memory_and_is_freed_without_garbage_collector(data):
    server = Server()
    connection, _ = make_connection(server)
    connection.data_received(data)
    reference = weakref.ref(connection)
    gc.collect()
    gc.disable()
    try:
        connection.connection_lost(None)
        del connection
        assert reference() is None
    finally:
        gc.enable()
    assert server.lost == (server.accepted or [None])
    assert not server.memory.reserved_bytes


def test_writer_charges_what_a_client_does_not_read():
    """Guards against slow readers whose unread answers take the process over its memory limit."""
    writer, _ = make_writer()
    memory = writer._memory
    unsent_bytes = 0
    writer.transport.get_write_buffer_size = lambda: unsent_bytes
    unsent_bytes = 2 * MB  # More than the budget has: the bytes are held in any case.
    writer.pause()
    assert memory.reserved_bytes == 2 * MB
    assert not memory.reserve(1)
    unsent_bytes += 10
    writer.send_piece(b"0123456789")
    assert memory.reserved_bytes == 2 * MB + 10
    unsent_bytes = 0
    writer.resume()
    assert memory.reserved_bytes == 0
    unsent_bytes = 7
    writer.pause()
    writer.detach()
    assert memory.reserved_bytes == 0


def test_upload_is_full_of_what_its_endpoint_does_not_read():
    """Guards against bodies that are held twice: waiting, and in the transport of a slow server."""
    drained = []
    upload = Upload(4 * UPLOAD_HIGH_WATER_BYTES, b"", lambda: drained.append(True))
    sink = SimpleNamespace(
        unwritten=False, unsent_bytes=lambda: unsent_bytes, write=lambda data: None, may_send_last_byte=bool
    )
    upload.attach(sink, lambda: None)
    sink.unwritten, unsent_bytes = True, UPLOAD_HIGH_WATER_BYTES - 10
    upload.feed(b"123456789")
    assert not upload.must_pause()
    upload.feed(b"x")
    assert upload.must_pause()
    assert not drained
    sink.unwritten, unsent_bytes = False, 0
    upload.flow()
    assert drained == [True]
