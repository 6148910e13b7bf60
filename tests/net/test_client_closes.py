"""Every path that closes a client's connection: what was read of it has its answer first.

Also what waits unread in its socket in the very moment, and what was begun by a client that then stays.
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

PLACES = 8


def few_places(sidecar, most=PLACES, **caps):
    """Leave clients so many places in all."""
    sidecar_server = sidecar.server
    sidecar_server.budget.clients = most
    sidecar_server.clients.resize(sidecar_server._connection_limits(), AddressLimits(**caps))


def now(writer, data):
    """Into the kernel now, not in a later turn."""
    assert os.write(writer.get_extra_info("socket").fileno(), data) == len(data)


async def rested(port, ident):
    """A connection that has had an answer, and rests."""
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(request_message("order", ident))
    assert (await read_message(reader)).code == 200
    return reader, writer


async def codes(reader):
    """The codes of all answers that still come, and True if the end follows and no reset."""
    found = []
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        try:
            while True:
                found.append((await read_message(reader)).code)
        except asyncio.IncompleteReadError as end:
            return found, not end.partial
        except OSError:
            return found, False


def begun(sidecar):
    return [connection for connection in sidecar.server.clients.all.values() if connection.message_unfinished]


# Room for a newcomer


@async_test
async def test_a_request_that_is_there_when_its_connection_is_to_give_way_is_served(tmp_path):
    """Whose place a newcomer takes was closed whatever waited in its socket."""
    async with sidecar_with_endpoint(tmp_path, respond_ok) as (sidecar, fake):
        few_places(sidecar)
        opened = [await rested(sidecar.port, f"id{n}") for n in range(PLACES)]
        now(opened[0][1], request_message("order", "again"))  # the longest idle one comes back ...
        client, reason, _ = sidecar.server.clients.admit(
            HOST
        )  # ... as a newcomer is judged, in the same turn
        assert client is not None
        assert reason is None
        sidecar.server.clients.remove(client)
        assert (await read_message(opened[0][0])).code == 200
        assert await opened[1][0].read() == b""
        for _, writer in opened:
            writer.close()
    assert len(fake.received) == PLACES + 1


@pytest.mark.parametrize("limit", ["places", "descriptors", "settings"])
@async_test
async def test_no_connection_is_evicted_when_every_client_has_sent_a_further_request(tmp_path, limit):
    async with sidecar_with_endpoint(tmp_path, respond_ok) as (sidecar, fake):
        few_places(sidecar)
        clients = sidecar.server.clients
        opened = [await rested(sidecar.port, f"id{n}") for n in range(PLACES)]
        for number, (_, writer) in enumerate(opened):
            now(writer, request_message("order", f"again{number}"))
        if limit == "places":
            assert clients.admit(HOST) == (None, RejectionReason.ALL_CONNECTIONS, None)
        elif limit == "descriptors":
            assert not clients.evict()
        else:
            few_places(sidecar, 2)
        assert [(await read_message(reader)).code for reader, _ in opened] == [200] * PLACES
        for _, writer in opened:
            writer.close()
    assert len(fake.received) == 2 * PLACES


@async_test
async def test_a_new_connection_with_its_request_there_does_not_give_way(tmp_path):
    """All places are in use by connections that were accepted in this turn: none has been read yet."""
    async with sidecar_with_endpoint(tmp_path, respond_ok) as (sidecar, fake):
        few_places(sidecar)
        opened = []
        for number in range(2 * PLACES):
            sock = socket.create_connection((HOST, sidecar.port), timeout=WAIT_TIMEOUT_S)
            sock.sendall(request_message("order", f"id{number}", "3000m", b"", "Connection: close"))
            opened.append(sock)
        answers = [await asyncio.to_thread(sock.recv, 13) for sock in opened]
        assert answers == [b"HTTP/1.1 200 "] * PLACES + [b"HTTP/1.1 503 "] * PLACES
        for sock in opened:
            sock.close()
    assert len(fake.received) == PLACES


@async_test
async def test_one_that_has_begun_a_message_hears_that_its_place_was_needed(tmp_path):
    async with sidecar_with_endpoint(tmp_path, respond_ok) as (sidecar, _fake):
        few_places(sidecar, 1)
        reader, writer = await asyncio.open_connection(HOST, sidecar.port)
        writer.write(request_message("order", "half", "3000m", b"body")[:-2])
        await wait_until(lambda: begun(sidecar))
        assert (await send_request(sidecar.port, request_message("order", "newcomer"))).code == 200
        assert await codes(reader) == ([503], True)
        writer.close()
        await wait_until(lambda: not sidecar.server.clients.all)
        assert not sidecar.server.memory.reserved_bytes


# The planned end


@pytest.mark.parametrize("cut", [False, True], ids=["in time", "all answered at once"])
@pytest.mark.parametrize("after", [b"", b"GET /look"], ids=["whole", "and half"])
@async_test
async def test_pipelined_requests_are_answered_before_a_graceful_shutdown_closes(tmp_path, after, cut):
    """The answer before them said `Connection: close`, and what was read behind it went with it."""
    go, act = gated_handler()
    # beyond the slice that is parsed at once
    many = 3 * SLICE_BYTES // len(request_message("lookup", "id00"))
    async with sidecar_with_endpoint(tmp_path, act) as (sidecar, fake):
        sidecar_server = sidecar.server
        reader, writer = await asyncio.open_connection(HOST, sidecar.port)
        writer.write(b"".join(request_message("lookup", f"id{n:02}") for n in range(many)) + after)
        await wait_until(lambda: fake.received)
        sidecar_server.draining = True
        sidecar_server.shutdown.stop_requests()
        if not cut:
            go.set()
            await wait_until(lambda: len(fake.received) == many and not sidecar_server.pool.pending)
        sidecar_server.shutdown.answer_all()
        found, ended = await codes(reader)
        assert ended
        assert len(found) == many + bool(after)
        assert set(found[:many]) <= ({503, 504} if cut else {200})
        assert found[many:] in ([], [503])
        writer.close()
        await wait_until(lambda: not sidecar_server.clients.all)


@async_test
async def test_a_request_in_the_socket_behind_the_last_answer_of_a_shutdown_is_served(tmp_path):
    go, act = gated_handler()
    async with sidecar_with_endpoint(tmp_path, act) as (sidecar, fake):
        reader, writer = await asyncio.open_connection(HOST, sidecar.port)
        writer.write(request_message("order", "ab"))
        await wait_until(lambda: fake.received)
        sidecar_server = sidecar.server
        sidecar_server.draining = True
        sidecar_server.shutdown.stop_requests()
        connection = next(iter(sidecar_server.clients.all.values()))
        connection.reader.pause()  # or it is read at once
        now(writer, request_message("order", "cd"))
        go.set()
        first = await read_message(reader)
        second = await read_message(reader)
        assert (first.code, second.code) == (200, 200)
        assert "connection" not in first.headers
        assert second.headers["connection"] == "close"
        assert await reader.read() == b""
        writer.close()
    assert len(fake.received) == 2


# Clients that stop in the middle of a request, and stay

WHOLE = request_message("order", "ab", "3000m", b"body")
HEAD = len(WHOLE) - 4
CHUNKED = WHOLE.replace(b"Content-Length: 4", b"Transfer-Encoding: chunked")[:-4] + b"4\r\nbody\r\n0\r\n\r\n"
LARGE = request_message("order", "ab", "3000m", b"x" * 200_000)
AHEAD = request_message("lookup", "one")
# What is sent, and the codes that come: none where nothing was said.
STOPS = {
    "silent": (b"", []),
    "in the first line": (WHOLE[:9], [408]),
    "in a header's name": (WHOLE[:40], [408]),
    "before the empty line": (WHOLE[: HEAD - 2], [408]),
    "before the body": (WHOLE[:HEAD], [408]),
    "in the body": (WHOLE[:-1], [408]),
    "in a chunk's size": (CHUNKED[: HEAD + 13], [408]),
    "in a chunk": (CHUNKED[:-12], [408]),
    "before the last chunk": (CHUNKED[:-5], [408]),
    "in a large body": (LARGE[:100_000], [408]),
    "behind a request": (AHEAD + WHOLE[:40], [200, 408]),
    "behind requests that are read in slices": (
        b"".join(request_message("lookup", f"s{n}") for n in range(40)) + WHOLE[:HEAD],
        [200] * 40 + [408],
    ),
}


@async_test
async def test_clients_that_stop_within_a_request_and_stay_hear_it_within_three_seconds(tmp_path):
    """One table, all at once: error or close, after the answers to what was whole."""
    async with sidecar_with_endpoint(tmp_path, respond_ok) as (sidecar, _fake):

        async def stop(number, data):
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            writer.write(data.replace(b"X-Request-Id: ", b"X-Request-Id: %d" % number))
            await writer.drain()
            began = time.monotonic()
            found, ended = await codes(reader)
            took_s = time.monotonic() - began
            writer.close()
            return found, ended, took_s < 3.0

        played = await asyncio.gather(*(stop(n, data) for n, (data, _) in enumerate(STOPS.values())))
        wanted = {name: (found, True, True) for name, (_, found) in STOPS.items()}
        assert dict(zip(STOPS, played, strict=True)) == wanted
        await wait_until(lambda: not sidecar.server.clients.all)
        assert not sidecar.server.memory.reserved_bytes


# Without a look into the socket


class Blind(System):
    """A machine whose poll(2) fails."""

    def __init__(self, error):
        self.error = error

    def watch_end(self, sock):
        return self

    def poll(self, timeout):
        raise OSError(self.error, os.strerror(self.error))


@pytest.mark.parametrize("error", [errno.ENOMEM, errno.EINTR, errno.EINVAL])
@async_test
async def test_a_look_that_fails_stops_neither_answers_nor_closes(tmp_path, error):
    async with sidecar_with_endpoint(tmp_path, respond_ok) as (sidecar, _fake):
        sidecar_server = sidecar.server
        sidecar_server.system = Blind(error)
        few_places(sidecar, 2)
        opened = [await rested(sidecar.port, f"id{n}") for n in range(3)]  # the third takes a place
        assert await codes(opened[0][0]) == ([], True)
        sidecar_server.draining = True
        sidecar_server.shutdown.stop_requests()
        assert [await codes(reader) for reader, _ in opened[1:]] == [([], True)] * 2
        await wait_until(lambda: not sidecar_server.clients.all)
        for _, writer in opened:
            writer.close()
