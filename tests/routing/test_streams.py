"""Bodies over 64 KiB: passed on as they come, paced by the slower side, never sent twice."""

import asyncio
import gc
import hashlib
import weakref
from contextlib import asynccontextmanager

import httpx
import pytest
from net_helpers import HOST, http_response, read_message, reset_connection, run, wait_until
from services_rig import InProcessSidecar, get_request, pool_toml
from stream_helpers import KB, LARGE_BODY, StreamingEndpoint, respond_with_digest

from dykefold.admission.budget import DescriptorAllowance
from dykefold.balancer.events import State, Status
from dykefold.net.memory_budget import MemoryBudget
from dykefold.net.upstream.classify import HttpProfile
from dykefold.net.upstream.connection_pool import ConnectionPool
from dykefold.net.upstream.exchange import Exchange
from dykefold.net.upstream.limits import ConnectionLimits


def head(length, *lines, path="/a/x", method="PUT"):
    return get_request(path, f"Content-Length: {length}", *lines, method=method)


async def big(headers, reader, writer):
    writer.write(http_response(200, LARGE_BODY, 'ETag: "big"'))
    await writer.drain()


async def pieces(headers, reader, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    for at in range(0, len(LARGE_BODY), 10_000):
        piece = LARGE_BODY[at : at + 10_000]
        writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
        await writer.drain()
    writer.write(b"0\r\n\r\n")


async def breaks(headers, reader, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LARGE_BODY) + LARGE_BODY[: 300 * KB])
    await writer.drain()
    reset_connection(writer)


async def no_body_wanted(headers, reader, writer):
    writer.write(http_response(403, b"not yours"))
    await reader.read()


async def breaks_in_body(headers, reader, writer):
    await reader.readexactly(100 * KB)
    reset_connection(writer)


async def waits(headers, reader, writer):
    await asyncio.sleep(60)


@asynccontextmanager
async def served(*acts, **more):
    servers = [await StreamingEndpoint(act).start() for act in acts]
    text = pool_toml("a", *(server.port for server in servers))
    text += "idempotent = true\n" + "".join(f"{key} = {value}\n" for key, value in more.items())
    async with InProcessSidecar(text) as node:
        yield node, servers
        await wait_until(lambda: not node.pool("a").pending and not node.pool("a").attempts)
    assert node.server.memory.reserved_bytes == 0
    assert node.server.budget.reservations == 0


async def opened(node):
    return await asyncio.open_connection(HOST, node.port)


def test_large_bodies_reach_the_server_whole_in_both_framings():
    async def in_pieces():
        for at in range(0, len(LARGE_BODY), 7_000):
            yield LARGE_BODY[at : at + 7_000]

    async def play():
        async with served(respond_with_digest) as (node, (server,)), httpx.AsyncClient() as client:
            for content in (LARGE_BODY, in_pieces(), b"small"):
                got = await client.put(f"http://{HOST}:{node.port}/a/x", content=content)
                whole = b"small" if content == b"small" else LARGE_BODY
                assert (got.status_code, got.text) == (200, hashlib.sha256(whole).hexdigest())
            assert [headers.get("content-length") for _, headers in server.heads] == [
                str(len(LARGE_BODY)),
                None,
                "5",
            ]
            assert len(node.server.clients.all) == 1

    run(play())


@pytest.mark.parametrize("act", [big, pieces])
def test_large_answers_reach_the_client_whole(act):
    async def play():
        async with served(act) as (node, _), httpx.AsyncClient() as client:
            for _ in range(2):
                got = await client.get(f"http://{HOST}:{node.port}/a/x")
                assert got.status_code == 200
                assert got.content == LARGE_BODY
            assert len(node.server.clients.all) == 1
            assert len(node.pool("a").connection_pool.connections) == 1

    run(play())


def test_a_response_is_sent_no_faster_than_its_client_reads():
    async def play():
        async with served(big) as (node, (server,)):
            reader, writer = await asyncio.open_connection(HOST, node.port, limit=4 * KB)
            writer.write(get_request("/a/x"))
            await reader.readuntil(b"\r\n\r\n")
            connections = node.pool("a").connection_pool.connections
            await wait_until(lambda: any(connection.blocked for connection in connections))
            assert node.server.memory.reserved_bytes < 64 * KB
            assert await reader.readexactly(len(LARGE_BODY)) == LARGE_BODY
            writer.close()
            assert len(server.heads) == 1

    # The sockets of the machine would take the whole of a smaller answer.
    global LARGE_BODY
    small, LARGE_BODY = LARGE_BODY, LARGE_BODY * 16
    try:
        run(play())
    finally:
        LARGE_BODY = small


def test_body_that_has_begun_to_stream_is_never_retried():
    """Red when the pool leaves the end of such an attempt to the module, which repeats a PUT."""

    async def play():
        async with served(breaks_in_body, breaks_in_body) as (node, servers):
            reader, writer = await opened(node)
            writer.write(head(len(LARGE_BODY)) + LARGE_BODY)
            assert (await read_message(reader)).code == 502
            assert sum(len(server.heads) for server in servers) == 1
            writer.close()

    run(play())


def test_a_body_of_which_nothing_was_sent_is_retried_at_another_endpoint():
    async def play():
        async with served(respond_with_digest) as (node, (server,)):
            dead = await StreamingEndpoint(respond_with_digest).start()
            dead.server.close()
            await dead.server.wait_closed()
            node.apply_config(pool_toml("a", dead.port, server.port) + "idempotent = true\n")
            for _ in range(8):
                reader, writer = await opened(node)
                writer.write(head(len(LARGE_BODY)) + LARGE_BODY)
                assert (await read_message(reader)).code == 200
                writer.close()

    run(play())


def test_truncated_response_closes_the_connection_and_is_not_restarted():
    async def play():
        async with served(breaks, breaks) as (node, servers):
            reader, writer = await opened(node)
            writer.write(get_request("/a/x"))
            await reader.readuntil(b"\r\n\r\n")
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await reader.readexactly(len(LARGE_BODY))
            assert sum(len(server.heads) for server in servers) == 1
            writer.close()

    run(play())


def test_an_answer_before_the_body_has_come_ends_the_connection():
    async def play():
        async with served(no_body_wanted) as (node, _):
            reader, writer = await opened(node)
            writer.write(head(len(LARGE_BODY)) + LARGE_BODY[: 200 * KB])
            got = await read_message(reader)
            assert (got.code, got.body, got.headers["connection"]) == (403, b"not yours", "close")
            assert await reader.read() == b""
            writer.close()

    run(play())


@pytest.mark.parametrize("framing", ["announced", "chunks", "chunks after it has begun"])
def test_bodies_over_the_routes_limit_are_rejected_with_one_response(framing):
    async def play():
        async with served(respond_with_digest, body_most_bytes=128 * KB) as (node, (server,)):
            reader, writer = await opened(node)
            if framing == "announced":
                writer.write(head(len(LARGE_BODY)))
            else:
                writer.write(get_request("/a/x", "Transfer-Encoding: chunked", method="PUT"))
                for _ in range(40 if framing == "chunks" else 20):
                    writer.write(b"%x\r\n%s\r\n" % (4 * KB, LARGE_BODY[: 4 * KB]))
                if framing == "chunks after it has begun":
                    await wait_until(lambda: server.heads)
                    writer.write(b"%x\r\n%s\r\n" % (64 * KB, LARGE_BODY[: 64 * KB]))
            assert (await read_message(reader)).code == 413
            assert await reader.read() == b""
            writer.close()

    run(play())


def test_a_client_that_leaves_in_its_body_leaves_nothing_behind():
    async def play():
        async with served(waits) as (node, (server,)):
            ends = []
            node.pool("a").on_attempt_end = lambda endpoint, status, duration_ns, goal_ns: ends.append(status)
            _, writer = await opened(node)
            writer.write(head(len(LARGE_BODY)) + LARGE_BODY[: 300 * KB])
            await wait_until(lambda: server.heads)
            writer.transport.abort()
            await wait_until(lambda: not node.pool("a").attempts)
            assert not node.pool("a").connection_pool.connections
            assert ends == [Status.CANCELLED]  # a part of a body may have had an effect here

    run(play())


def test_a_body_that_stops_is_answered_in_seconds_and_its_endpoint_is_not_blamed():
    async def play():
        async with served(respond_with_digest, deadline_ms=60_000) as (node, _):
            balancer, pressed = node.pool("a").balancer, []
            balancer.congestion.add_latency = lambda *about: pressed.append(about)
            reader, writer = await opened(node)
            writer.write(head(len(LARGE_BODY)) + LARGE_BODY[: 100 * KB])
            assert (await read_message(reader)).code == 408
            assert not any(server.failure_score for server in balancer.endpoints.all.values())
            assert not pressed  # nor does it cut what others may have in flight
            writer.close()

    run(play())


def test_pipelined_requests_are_answered_in_order_round_a_stream():
    async def play():
        async with served(respond_with_digest) as (node, _):
            reader, writer = await opened(node)
            parts = [head(2) + b"ab", head(len(LARGE_BODY)) + LARGE_BODY, head(2) + b"cd"]
            writer.write(b"".join(parts))
            wanted = [hashlib.sha256(body).hexdigest().encode() for body in (b"ab", LARGE_BODY, b"cd")]
            assert [(await read_message(reader)).body for _ in wanted] == wanted
            writer.close()

    run(play())


class HeldUp(Exchange):
    """Its client takes no more as the last piece comes."""

    def begin_response(self, code, headers, length, load):
        self.got = 0
        return True

    def send_response_chunk(self, data):
        self.got += len(data)
        if self.got == len(LARGE_BODY):
            self.connection.set_paused(True)


def test_connection_with_a_delayed_last_piece_serves_the_next_request():
    """Red when it is kept with its reading stopped: the next answer on it would never be read."""

    async def play():
        server = await StreamingEndpoint(big).start()
        loop = asyncio.get_running_loop()
        pool = ConnectionPool(
            loop, ConnectionLimits(DescriptorAllowance(8), MemoryBudget(192 * KB * KB), 5.0, 60.0)
        )
        pool.update(1, (HOST, server.port), 0, State.READY)
        for _ in range(2):
            end = loop.create_future()
            exchange = HeldUp(
                get_request("/a/x"), lambda _, status, answer, end=end: end.set_result(status), 64 * KB
            )
            exchange.profile, exchange.max_streamed_bytes = HttpProfile.GENERIC, 2 * len(LARGE_BODY)
            pool.start(1, exchange, 5.0)
            assert await end is Status.OK
        assert len(pool.connections) == 1
        pool.close()

    run(play())


@pytest.mark.parametrize("length", [10, 1_000_000])
def test_a_length_beside_chunks_is_rejected_whatever_it_says(length):
    """Guards against a request that is hidden in the body of another (RFC 9112, 6.1)."""

    async def play():
        async with served(respond_with_digest) as (node, (server,)):
            reader, writer = await opened(node)
            writer.write(head(length, "Transfer-Encoding: chunked") + b"0\r\n\r\n" + get_request("/a/hidden"))
            assert (await read_message(reader)).code == 400
            assert await reader.read() == b""
            assert not server.heads
            writer.close()

    run(play())


def test_no_reference_cycle_keeps_a_client_that_left():
    """Guards the memory of a long day: the collector comes seldom."""

    async def play():
        async with served(big) as (node, _):
            reader, writer = await asyncio.open_connection(HOST, node.port, limit=4 * KB)
            writer.write(get_request("/a/x"))
            await reader.readuntil(b"\r\n\r\n")
            front = weakref.ref(next(iter(node.server.clients.all.values())))
            gc.disable()
            try:
                writer.transport.abort()
                await wait_until(lambda: front() is None)
            finally:
                gc.enable()

    run(play())


def test_a_body_that_waited_for_its_server_has_come_when_reading_was_stopped():
    """Guards the answer in time: the rest of a body is in the socket's buffer while nothing is read."""
    from dykefold.net.streaming import SOCKET_READ_NS, Upload

    def finished(stopped, resumed, now):
        upload = Upload(None, b"", lambda: None)
        upload.stopped_ns, upload.resumed_ns = stopped, resumed
        upload.finish(now)
        return upload.completed_ns

    assert finished(0, 0, 900) == 900
    assert finished(100, 800, 800 + SOCKET_READ_NS - 1) == 100  # right behind: it was there
    assert finished(100, 800, 800 + SOCKET_READ_NS) == 800 + SOCKET_READ_NS  # the client had more to send
    assert finished(100, 50, 10 * SOCKET_READ_NS) == 100  # still stopped: out of what had been read already
