"""On every path that closes a client connection, requests that were read get their responses first.

So do requests that wait unread in the socket at the time of the close, and incomplete requests of clients
that stay connected.
"""

import asyncio
import errno
import os
import socket
import time

import pytest
from net_helpers import (
    HOST,
    WAIT_TIMEOUT_S,
    async_test,
    gated_handler,
    read_message,
    request_message,
    respond_ok,
    send_request,
    sidecar_with_endpoint,
    wait_until,
)

from dykefold.admission.addresses import AddressLimits
from dykefold.admission.decision import RejectionReason
from dykefold.net.read_scheduler import SLICE_BYTES
from dykefold.system import System

MAX_CLIENTS = 8


def limit_clients(sidecar, max_clients=MAX_CLIENTS, **address_limits):
    """Limit the number of client connections, and optionally those per address."""
    sidecar_server = sidecar.server
    sidecar_server.budget.clients = max_clients
    sidecar_server.clients.resize(sidecar_server._connection_limits(), AddressLimits(**address_limits))


def send_immediately(writer, data):
    """Write to the socket now, not in a later iteration of the event loop."""
    assert os.write(writer.get_extra_info("socket").fileno(), data) == len(data)


async def open_idle_connection(port, request_id):
    """Open a connection, get one response on it, and return its streams."""
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(request_message("order", request_id))
    assert (await read_message(reader)).code == 200
    return reader, writer


async def read_status_codes(reader):
    """Return the status codes of all further responses, and whether a close follows and no reset."""
    codes = []
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        try:
            while True:
                codes.append((await read_message(reader)).code)
        except asyncio.IncompleteReadError as error:
            return codes, not error.partial
        except OSError:
            return codes, False


def connections_with_incomplete_message(sidecar):
    return [
        connection
        for connection in sidecar.server.clients.open_connections.values()
        if connection.message_unfinished
    ]


# Eviction for a new connection


@async_test
async def test_request_unread_when_its_connection_could_be_evicted_is_served(tmp_path):
    """A connection was evicted for a new one although a request waited unread in its socket."""
    async with sidecar_with_endpoint(tmp_path, respond_ok) as (sidecar, fake):
        limit_clients(sidecar)
        opened = [await open_idle_connection(sidecar.port, f"id{n}") for n in range(MAX_CLIENTS)]
        # The connection idle longest gets a request in the loop iteration that admits a new connection.
        send_immediately(opened[0][1], request_message("order", "again"))
        client, reason, _ = sidecar.server.clients.admit(HOST)
        assert client is not None
        assert reason is None
        sidecar.server.clients.remove(client)
        assert (await read_message(opened[0][0])).code == 200
        assert await opened[1][0].read() == b""
        for _, writer in opened:
            writer.close()
    assert len(fake.received) == MAX_CLIENTS + 1


@pytest.mark.parametrize("limit", ["connections", "descriptors", "settings"])
@async_test
async def test_no_connection_is_evicted_when_every_client_has_sent_a_further_request(tmp_path, limit):
    async with sidecar_with_endpoint(tmp_path, respond_ok) as (sidecar, fake):
        limit_clients(sidecar)
        clients = sidecar.server.clients
        opened = [await open_idle_connection(sidecar.port, f"id{n}") for n in range(MAX_CLIENTS)]
        for number, (_, writer) in enumerate(opened):
            send_immediately(writer, request_message("order", f"again{number}"))
        if limit == "connections":
            assert clients.admit(HOST) == (None, RejectionReason.ALL_CONNECTIONS, None)
        elif limit == "descriptors":
            assert not clients.evict()
        else:
            limit_clients(sidecar, 2)
        assert [(await read_message(reader)).code for reader, _ in opened] == [200] * MAX_CLIENTS
        for _, writer in opened:
            writer.close()
    assert len(fake.received) == 2 * MAX_CLIENTS


@async_test
async def test_new_connection_with_unread_request_is_not_evicted(tmp_path):
    """All connections up to the limit were accepted in this loop iteration, and none has been read yet."""
    async with sidecar_with_endpoint(tmp_path, respond_ok) as (sidecar, fake):
        limit_clients(sidecar)
        opened = []
        for number in range(2 * MAX_CLIENTS):
            sock = socket.create_connection((HOST, sidecar.port), timeout=WAIT_TIMEOUT_S)
            sock.sendall(request_message("order", f"id{number}", "3000m", b"", "Connection: close"))
            opened.append(sock)
        status_lines = [await asyncio.to_thread(sock.recv, 13) for sock in opened]
        assert status_lines == [b"HTTP/1.1 200 "] * MAX_CLIENTS + [b"HTTP/1.1 503 "] * MAX_CLIENTS
        for sock in opened:
            sock.close()
    assert len(fake.received) == MAX_CLIENTS


@async_test
async def test_evicted_connection_with_incomplete_message_gets_503(tmp_path):
    async with sidecar_with_endpoint(tmp_path, respond_ok) as (sidecar, _fake):
        limit_clients(sidecar, 1)
        reader, writer = await asyncio.open_connection(HOST, sidecar.port)
        writer.write(request_message("order", "incomplete", "3000m", b"body")[:-2])
        await wait_until(lambda: connections_with_incomplete_message(sidecar))
        assert (await send_request(sidecar.port, request_message("order", "new"))).code == 200
        assert await read_status_codes(reader) == ([503], True)
        writer.close()
        await wait_until(lambda: not sidecar.server.clients.open_connections)
        assert not sidecar.server.memory.reserved_bytes


# Graceful shutdown


@pytest.mark.parametrize("forced", [False, True], ids=["in time", "all answered immediately"])
@pytest.mark.parametrize("partial", [b"", b"GET /look"], ids=["complete requests", "then a partial one"])
@async_test
async def test_pipelined_requests_are_answered_before_a_graceful_shutdown_closes(tmp_path, partial, forced):
    """An earlier response said `Connection: close`, and the requests already read after it were lost."""
    response_allowed, respond = gated_handler()
    # more than the slice that is parsed immediately
    count = 3 * SLICE_BYTES // len(request_message("lookup", "id00"))
    async with sidecar_with_endpoint(tmp_path, respond) as (sidecar, fake):
        sidecar_server = sidecar.server
        reader, writer = await asyncio.open_connection(HOST, sidecar.port)
        writer.write(b"".join(request_message("lookup", f"id{n:02}") for n in range(count)) + partial)
        await wait_until(lambda: fake.received)
        sidecar_server.draining = True
        sidecar_server.shutdown.stop_requests()
        if not forced:
            response_allowed.set()
            await wait_until(lambda: len(fake.received) == count and not sidecar_server.pool.pending)
        sidecar_server.shutdown.answer_all()
        codes, closed = await read_status_codes(reader)
        assert closed
        assert len(codes) == count + bool(partial)
        assert set(codes[:count]) <= ({503, 504} if forced else {200})
        assert codes[count:] in ([], [503])
        writer.close()
        await wait_until(lambda: not sidecar_server.clients.open_connections)


@async_test
async def test_request_unread_after_last_response_of_shutdown_is_served(tmp_path):
    response_allowed, respond = gated_handler()
    async with sidecar_with_endpoint(tmp_path, respond) as (sidecar, fake):
        reader, writer = await asyncio.open_connection(HOST, sidecar.port)
        writer.write(request_message("order", "ab"))
        await wait_until(lambda: fake.received)
        sidecar_server = sidecar.server
        sidecar_server.draining = True
        sidecar_server.shutdown.stop_requests()
        connection = next(iter(sidecar_server.clients.open_connections.values()))
        connection.reader.pause()  # otherwise the request is read immediately
        send_immediately(writer, request_message("order", "cd"))
        response_allowed.set()
        first = await read_message(reader)
        second = await read_message(reader)
        assert (first.code, second.code) == (200, 200)
        assert "connection" not in first.headers
        assert second.headers["connection"] == "close"
        assert await reader.read() == b""
        writer.close()
    assert len(fake.received) == 2


# Clients that stop sending within a request and stay connected

COMPLETE = request_message("order", "ab", "3000m", b"body")
HEAD_BYTES = len(COMPLETE) - 4
CHUNKED = (
    COMPLETE.replace(b"Content-Length: 4", b"Transfer-Encoding: chunked")[:-4] + b"4\r\nbody\r\n0\r\n\r\n"
)
LARGE = request_message("order", "ab", "3000m", b"x" * 200_000)
EARLIER = request_message("lookup", "one")
# Bytes that the client sends, and status codes that it gets; none if it has sent nothing.
INCOMPLETE_INPUTS = {
    "silent": (b"", []),
    "in the request line": (COMPLETE[:9], [408]),
    "in a header name": (COMPLETE[:40], [408]),
    "before the empty line": (COMPLETE[: HEAD_BYTES - 2], [408]),
    "before the body": (COMPLETE[:HEAD_BYTES], [408]),
    "in the body": (COMPLETE[:-1], [408]),
    "in a chunk size": (CHUNKED[: HEAD_BYTES + 13], [408]),
    "in a chunk": (CHUNKED[:-12], [408]),
    "before the last chunk": (CHUNKED[:-5], [408]),
    "in a large body": (LARGE[:100_000], [408]),
    "after a complete request": (EARLIER + COMPLETE[:40], [200, 408]),
    "after requests that are read in slices": (
        b"".join(request_message("lookup", f"s{n}") for n in range(40)) + COMPLETE[:HEAD_BYTES],
        [200] * 40 + [408],
    ),
}


@async_test
async def test_clients_that_stop_within_request_get_error_or_close_within_three_seconds(tmp_path):
    """An error response or a close follows the responses to the complete requests; all cases run at once."""
    async with sidecar_with_endpoint(tmp_path, respond_ok) as (sidecar, _fake):

        async def stop_sending(number, data):
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            writer.write(data.replace(b"X-Request-Id: ", b"X-Request-Id: %d" % number))
            await writer.drain()
            started_s = time.monotonic()
            codes, closed = await read_status_codes(reader)
            elapsed_s = time.monotonic() - started_s
            writer.close()
            return codes, closed, elapsed_s < 3.0

        results = await asyncio.gather(
            *(stop_sending(n, data) for n, (data, _) in enumerate(INCOMPLETE_INPUTS.values()))
        )
        expected = {name: (codes, True, True) for name, (_, codes) in INCOMPLETE_INPUTS.items()}
        assert dict(zip(INCOMPLETE_INPUTS, results, strict=True)) == expected
        await wait_until(lambda: not sidecar.server.clients.open_connections)
        assert not sidecar.server.memory.reserved_bytes


# Failing polls of the socket


class FailingPollSystem(System):
    """A system whose poll(2) fails."""

    def __init__(self, error):
        self.error = error

    def read_or_close_poller(self, sock):
        return self

    def poll(self, timeout):
        raise OSError(self.error, os.strerror(self.error))


@pytest.mark.parametrize("error", [errno.ENOMEM, errno.EINTR, errno.EINVAL])
@async_test
async def test_failing_socket_poll_prevents_neither_responses_nor_closes(tmp_path, error):
    async with sidecar_with_endpoint(tmp_path, respond_ok) as (sidecar, _fake):
        sidecar_server = sidecar.server
        sidecar_server.system = FailingPollSystem(error)
        limit_clients(sidecar, 2)
        # The third connection evicts the first.
        opened = [await open_idle_connection(sidecar.port, f"id{n}") for n in range(3)]
        assert await read_status_codes(opened[0][0]) == ([], True)
        sidecar_server.draining = True
        sidecar_server.shutdown.stop_requests()
        assert [await read_status_codes(reader) for reader, _ in opened[1:]] == [([], True)] * 2
        await wait_until(lambda: not sidecar_server.clients.open_connections)
        for _, writer in opened:
            writer.close()
