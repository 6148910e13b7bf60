"""Memory of what the parsers buffer: heads, and trailers, of requests and of responses."""

import tracemalloc

import pytest
from net_helpers import FakeConsumer, FakeTransport, Sidecar, config, list_update, request_message, run

from dykefold.net.downstream.connection import ClientConnection
from dykefold.net.memory_budget import MB, MemoryBudget
from dykefold.net.read_scheduler import SLICE_BYTES
from dykefold.net.upstream.classify import HttpProfile
from dykefold.net.upstream.response_reader import ResponseReader

HEAD = b"HTTP/1.1 200 OK\r\n"
CONNECTIONS = 40
HEAD_BYTES = 32_000  # just below the limit for the bytes of a head
# What an incomplete head may take without a reservation: parser, buffers, and a small head.
UNRESERVED_BYTES = 20 * 1024
TRAILER_BYTES = 64 * 1024

INCOMPLETE_HEADS = {
    "short-lines": b"".join(b"%x: 1\r\n" % number for number in range(4000)),
    "long-lines": b"".join(b"%x: %s\r\n" % (number, b"v" * 150) for number in range(200)),
    "endless-line": b"a: " + b"v" * HEAD_BYTES,
}


def slices(data):
    return [data[start : start + SLICE_BYTES] for start in range(0, len(data), SLICE_BYTES)]


def connect(server):
    client, _, _ = server.clients.admit("127.9.9.9")
    connection, transport = ClientConnection(server, client), FakeTransport()
    server.clients.add(connection)
    connection.connection_made(transport)
    return connection, transport


def with_sidecar(tmp_path, scenario):
    async def run_scenario():
        async with Sidecar(tmp_path / "c", config(list_update(1))) as sidecar:
            scenario(sidecar.server)

    run(run_scenario())


def traced_growth(function):
    """Return the number of bytes that a call allocates and keeps."""
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    kept = function()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return after - before


@pytest.mark.parametrize("kind", INCOMPLETE_HEADS)
def test_incomplete_heads_of_requests_take_no_memory_that_is_not_reserved(tmp_path, kind):
    """Guards against clients that do not end their heads and take the process over its memory limit."""
    head = (b"GET /lookup/part HTTP/1.1\r\n" + INCOMPLETE_HEADS[kind])[:HEAD_BYTES]

    def scenario(server):
        connections = [connect(server)[0] for _ in range(CONNECTIONS)]

        def feed():
            for connection in connections:
                for piece in slices(head):
                    connection.data_received(piece)

        grown = traced_growth(feed)
        assert grown <= server.memory.reserved_bytes + CONNECTIONS * UNRESERVED_BYTES
        for connection in connections:
            connection.connection_lost(None)
        assert server.memory.reserved_bytes == 0

    with_sidecar(tmp_path, scenario)


def test_incomplete_heads_leave_memory_to_complete_requests(tmp_path):
    """Guards against a budget that clients with endless heads exhaust for everybody else."""

    def scenario(server):
        server.memory.capacity_bytes = MB
        stuck = [connect(server) for _ in range(CONNECTIONS)]
        for connection, _ in stuck:
            for piece in slices(b"GET /lookup/part HTTP/1.1\r\n" + INCOMPLETE_HEADS["endless-line"][:-100]):
                connection.data_received(piece)
        assert any(b" 503 " in transport.written for _, transport in stuck)
        for number in range(4):
            usual, _ = connect(server)
            for piece in slices(request_message("order", f"usual{number}", body=b"x" * 60_000)):
                usual.data_received(piece)
            assert usual.busy

    with_sidecar(tmp_path, scenario)


@pytest.mark.parametrize("body", [b"", b"11170\r\n" + b"x" * 70_000 + b"\r\n"], ids=["buffered", "streamed"])
def test_request_with_endless_trailer_is_rejected(tmp_path, body):
    """Guards against trailers of any length, which the parser buffers until the end of their line."""
    head = request_message("order", "endless").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")

    def scenario(server):
        connection, _ = connect(server)
        for piece in slices(head + body + b"0\r\nA: " + b"v" * TRAILER_BYTES):
            connection.data_received(piece)
        assert connection.discarding_input

    with_sidecar(tmp_path, scenario)


def make_reader(max_streamed_bytes=0):
    reader = ResponseReader(MemoryBudget(192 * MB))
    reader.begin(FakeConsumer(HttpProfile.GENERIC, max_streamed_bytes))
    return reader


def feed_while_usable(reader, data):
    """Feed a reader in slices; once its response is unusable, release it as its connection does."""
    for piece in slices(data):
        if not reader.feed(piece):
            reader.release()
            del reader.parser
            break


@pytest.mark.parametrize("kind", INCOMPLETE_HEADS)
def test_incomplete_heads_of_responses_take_no_memory_that_is_not_reserved(kind):
    """Guards against endpoints that do not end their heads and take the process over its memory limit."""
    head = (HEAD + INCOMPLETE_HEADS[kind])[:HEAD_BYTES]
    budget = MemoryBudget(192 * MB)
    readers = [make_reader() for _ in range(CONNECTIONS)]
    for reader in readers:
        reader.memory = budget
    grown = traced_growth(lambda: [feed_while_usable(reader, head) for reader in readers])
    assert grown <= budget.reserved_bytes + CONNECTIONS * UNRESERVED_BYTES
    for reader in readers:
        reader.release()
    assert budget.reserved_bytes == 0


@pytest.mark.parametrize("body_bytes", [40, 100], ids=["buffered", "streamed"])
def test_response_with_endless_trailer_is_unusable(body_bytes):
    """Guards against trailers of any length, which the parser buffers until the end of their line."""
    head = HEAD + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%b\r\n" % (body_bytes, b"a" * body_bytes)
    reader = make_reader(max_streamed_bytes=1000)
    assert reader.feed(head)
    assert not all(reader.feed(piece) for piece in slices(b"0\r\nA: " + b"v" * TRAILER_BYTES))
