"""Bodies over 64 KiB: streamed as they arrive, with backpressure, and never retried once streaming began."""

import asyncio
import gc
import hashlib
import weakref
from contextlib import asynccontextmanager

import httpx
import pytest
from net_helpers import (
    HOST,
    http_response,
    read_message,
    reset_connection,
    run,
    wait_until,
    wait_until_reusable,
)
from services_rig import InProcessSidecar, get_request, pool_toml
from stream_helpers import KB, LARGE_BODY, StreamingEndpoint, respond_with_digest

from dykefold.admission.budget import DescriptorAllowance
from dykefold.balancer.events import State, Status
from dykefold.net.memory_budget import MemoryBudget
from dykefold.net.upstream.classify import HttpProfile
from dykefold.net.upstream.connection_pool import ConnectionPool
from dykefold.net.upstream.exchange import Exchange
from dykefold.net.upstream.limits import ConnectionLimits


def request_head(length, *lines, path="/a/x", method="PUT"):
    return get_request(path, f"Content-Length: {length}", *lines, method=method)


async def send_large_response(headers, reader, writer):
    writer.write(http_response(200, LARGE_BODY, 'ETag: "big"'))
    await writer.drain()


async def send_chunked_response(headers, reader, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
    for at in range(0, len(LARGE_BODY), 10_000):
        chunk = LARGE_BODY[at : at + 10_000]
        writer.write(b"%x\r\n%s\r\n" % (len(chunk), chunk))
        await writer.drain()
    writer.write(b"0\r\n\r\n")


async def reset_in_response(headers, reader, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LARGE_BODY) + LARGE_BODY[: 300 * KB])
    await writer.drain()
    reset_connection(writer)


async def respond_before_body(headers, reader, writer):
    writer.write(http_response(403, b"not yours"))
    await reader.read()


async def reset_in_request_body(headers, reader, writer):
    await reader.readexactly(100 * KB)
    reset_connection(writer)


async def never_respond(headers, reader, writer):
    await asyncio.sleep(60)


@asynccontextmanager
async def sidecar_with(*handlers, **route_options):
    endpoints = [await StreamingEndpoint(handler).start() for handler in handlers]
    text = pool_toml("a", *(endpoint.port for endpoint in endpoints))
    text += "idempotent = true\n" + "".join(f"{key} = {value}\n" for key, value in route_options.items())
    async with InProcessSidecar(text) as node:
        yield node, endpoints
        await wait_until(lambda: not node.pool("a").pending and not node.pool("a").attempts)
    assert node.server.memory.reserved_bytes == 0
    assert node.server.budget.reservations == 0


async def connect(node):
    return await asyncio.open_connection(HOST, node.port)


def test_large_request_body_reaches_endpoint_unchanged_in_both_framings():
    async def chunks():
        for at in range(0, len(LARGE_BODY), 7_000):
            yield LARGE_BODY[at : at + 7_000]

    async def scenario():
        async with sidecar_with(respond_with_digest) as (node, (endpoint,)), httpx.AsyncClient() as client:
            for content in (LARGE_BODY, chunks(), b"small"):
                response = await client.put(f"http://{HOST}:{node.port}/a/x", content=content)
                expected = b"small" if content == b"small" else LARGE_BODY
                assert (response.status_code, response.text) == (200, hashlib.sha256(expected).hexdigest())
            assert [headers.get("content-length") for _, headers in endpoint.heads] == [
                str(len(LARGE_BODY)),
                None,
                "5",
            ]
            assert len(node.server.clients.open_connections) == 1

    run(scenario())


@pytest.mark.parametrize("handler", [send_large_response, send_chunked_response])
def test_large_response_body_reaches_client_unchanged(handler):
    async def scenario():
        async with sidecar_with(handler) as (node, _), httpx.AsyncClient() as client:
            for _ in range(2):
                response = await client.get(f"http://{HOST}:{node.port}/a/x")
                assert response.status_code == 200
                assert response.content == LARGE_BODY
                await wait_until_reusable()
            assert len(node.server.clients.open_connections) == 1
            assert len(node.pool("a").connection_pool.connections) == 1

    run(scenario())


def test_response_is_streamed_no_faster_than_client_reads():
    async def scenario():
        async with sidecar_with(send_large_response) as (node, (endpoint,)):
            reader, writer = await asyncio.open_connection(HOST, node.port, limit=4 * KB)
            writer.write(get_request("/a/x"))
            await reader.readuntil(b"\r\n\r\n")
            connections = node.pool("a").connection_pool.connections
            await wait_until(lambda: any(connection.blocked for connection in connections))
            assert node.server.memory.reserved_bytes < 64 * KB
            assert await reader.readexactly(len(LARGE_BODY)) == LARGE_BODY
            writer.close()
            assert len(endpoint.heads) == 1

    # Socket buffers would hold a smaller response completely.
    global LARGE_BODY
    small, LARGE_BODY = LARGE_BODY, LARGE_BODY * 16
    try:
        run(scenario())
    finally:
        LARGE_BODY = small


def test_body_that_has_begun_to_stream_is_never_retried():
    """Guards against leaving such a failed attempt to the balancer, which would retry the idempotent PUT."""

    async def scenario():
        async with sidecar_with(reset_in_request_body, reset_in_request_body) as (node, endpoints):
            reader, writer = await connect(node)
            writer.write(request_head(len(LARGE_BODY)) + LARGE_BODY)
            assert (await read_message(reader)).code == 502
            assert sum(len(endpoint.heads) for endpoint in endpoints) == 1
            writer.close()

    run(scenario())


def test_large_body_not_yet_sent_is_retried_at_another_endpoint():
    async def scenario():
        async with sidecar_with(respond_with_digest) as (node, (endpoint,)):
            closed_endpoint = await StreamingEndpoint(respond_with_digest).start()
            closed_endpoint.server.close()
            await closed_endpoint.server.wait_closed()
            node.apply_config(pool_toml("a", closed_endpoint.port, endpoint.port) + "idempotent = true\n")
            for _ in range(8):
                reader, writer = await connect(node)
                writer.write(request_head(len(LARGE_BODY)) + LARGE_BODY)
                assert (await read_message(reader)).code == 200
                writer.close()

    run(scenario())


def test_truncated_response_closes_the_connection_and_is_not_restarted():
    async def scenario():
        async with sidecar_with(reset_in_response, reset_in_response) as (node, endpoints):
            reader, writer = await connect(node)
            writer.write(get_request("/a/x"))
            await reader.readuntil(b"\r\n\r\n")
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await reader.readexactly(len(LARGE_BODY))
            assert sum(len(endpoint.heads) for endpoint in endpoints) == 1
            writer.close()

    run(scenario())


def test_response_before_end_of_request_body_closes_connection():
    async def scenario():
        async with sidecar_with(respond_before_body) as (node, _):
            reader, writer = await connect(node)
            writer.write(request_head(len(LARGE_BODY)) + LARGE_BODY[: 200 * KB])
            response = await read_message(reader)
            assert (response.code, response.body, response.headers["connection"]) == (
                403,
                b"not yours",
                "close",
            )
            assert await reader.read() == b""
            writer.close()

    run(scenario())


@pytest.mark.parametrize("framing", ["content length", "chunked", "chunked after streaming began"])
def test_bodies_over_the_routes_limit_are_rejected_with_one_response(framing):
    async def scenario():
        async with sidecar_with(respond_with_digest, body_most_bytes=128 * KB) as (node, (endpoint,)):
            reader, writer = await connect(node)
            if framing == "content length":
                writer.write(request_head(len(LARGE_BODY)))
            else:
                writer.write(get_request("/a/x", "Transfer-Encoding: chunked", method="PUT"))
                for _ in range(40 if framing == "chunked" else 20):
                    writer.write(b"%x\r\n%s\r\n" % (4 * KB, LARGE_BODY[: 4 * KB]))
                if framing == "chunked after streaming began":
                    await wait_until(lambda: endpoint.heads)
                    writer.write(b"%x\r\n%s\r\n" % (64 * KB, LARGE_BODY[: 64 * KB]))
            assert (await read_message(reader)).code == 413
            assert await reader.read() == b""
            writer.close()

    run(scenario())


def test_client_disconnect_during_body_releases_connections_and_memory():
    async def scenario():
        async with sidecar_with(never_respond) as (node, (endpoint,)):
            statuses = []
            node.pool("a").on_attempt_end = lambda endpoint, status, duration_ns, objective_ns: (
                statuses.append(status)
            )
            _, writer = await connect(node)
            writer.write(request_head(len(LARGE_BODY)) + LARGE_BODY[: 300 * KB])
            await wait_until(lambda: endpoint.heads)
            writer.transport.abort()
            await wait_until(lambda: not node.pool("a").attempts)
            assert not node.pool("a").connection_pool.connections
            assert statuses == [Status.CANCELLED]  # The part that was sent may have had an effect.

    run(scenario())


def test_stalled_request_body_times_out_without_endpoint_failure():
    async def scenario():
        async with sidecar_with(respond_with_digest, deadline_ms=60_000) as (node, _):
            balancer, congestion_calls = node.pool("a").balancer, []
            balancer.congestion.add_latency = lambda *arguments: congestion_calls.append(arguments)
            reader, writer = await connect(node)
            writer.write(request_head(len(LARGE_BODY)) + LARGE_BODY[: 100 * KB])
            assert (await read_message(reader)).code == 408
            assert not any(endpoint.failure_score for endpoint in balancer.endpoints.all.values())
            assert not congestion_calls  # The concurrency limit is not lowered either.
            writer.close()

    run(scenario())


def test_pipelined_requests_around_streamed_body_are_answered_in_order():
    async def scenario():
        async with sidecar_with(respond_with_digest) as (node, _):
            reader, writer = await connect(node)
            requests = [
                request_head(2) + b"ab",
                request_head(len(LARGE_BODY)) + LARGE_BODY,
                request_head(2) + b"cd",
            ]
            writer.write(b"".join(requests))
            expected_bodies = [
                hashlib.sha256(body).hexdigest().encode() for body in (b"ab", LARGE_BODY, b"cd")
            ]
            assert [(await read_message(reader)).body for _ in expected_bodies] == expected_bodies
            writer.close()

    run(scenario())


class PausingExchange(Exchange):
    """An exchange whose client stops reading when the last chunk arrives."""

    def begin_response(self, code, headers, length, load):
        self.received_bytes = 0
        return True

    def send_response_chunk(self, data):
        self.received_bytes += len(data)
        if self.received_bytes == len(LARGE_BODY):
            self.connection.set_paused(True)


def test_connection_with_delayed_last_chunk_serves_next_request():
    """Guards against reuse of a connection whose reading is paused: the next response would never be read."""

    async def scenario():
        endpoint = await StreamingEndpoint(send_large_response).start()
        loop = asyncio.get_running_loop()
        pool = ConnectionPool(
            loop, ConnectionLimits(DescriptorAllowance(8), MemoryBudget(192 * KB * KB), 5.0, 60.0)
        )
        pool.update(1, (HOST, endpoint.port), 0, State.READY)
        for _ in range(2):
            attempt_end = loop.create_future()
            exchange = PausingExchange(
                get_request("/a/x"),
                lambda _, status, answer, end=attempt_end: end.set_result(status),
                64 * KB,
            )
            exchange.profile, exchange.max_streamed_bytes = HttpProfile.GENERIC, 2 * len(LARGE_BODY)
            pool.start(1, exchange, 5.0)
            assert await attempt_end is Status.OK
            await wait_until_reusable()
        assert len(pool.connections) == 1
        pool.close()

    run(scenario())


@pytest.mark.parametrize("length", [10, 1_000_000])
def test_content_length_with_chunked_encoding_is_rejected(length):
    """Guards against request smuggling: a request hidden in the body of another (RFC 9112, 6.1)."""

    async def scenario():
        async with sidecar_with(respond_with_digest) as (node, (endpoint,)):
            reader, writer = await connect(node)
            writer.write(
                request_head(length, "Transfer-Encoding: chunked") + b"0\r\n\r\n" + get_request("/a/hidden")
            )
            assert (await read_message(reader)).code == 400
            assert await reader.read() == b""
            assert not endpoint.heads
            writer.close()

    run(scenario())


def test_disconnected_client_is_freed_without_garbage_collector():
    """Guards against memory growth: the garbage collector runs rarely, so cycles would pile up."""

    async def scenario():
        async with sidecar_with(send_large_response) as (node, _):
            reader, writer = await asyncio.open_connection(HOST, node.port, limit=4 * KB)
            writer.write(get_request("/a/x"))
            await reader.readuntil(b"\r\n\r\n")
            client = weakref.ref(next(iter(node.server.clients.open_connections.values())))
            gc.disable()
            try:
                writer.transport.abort()
                await wait_until(lambda: client() is None)
            finally:
                gc.enable()

    run(scenario())
