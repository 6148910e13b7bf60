"""Long and slow messages on the platform: limits on rates, and no second attempt for a streamed request."""

import asyncio
import hashlib

from net_helpers import (
    HOST,
    Sidecar,
    config,
    endpoint_entry,
    http_response,
    list_update,
    read_message,
    request_message,
    reset_connection,
    run,
    send_request,
    wait_until,
)
from stream_helpers import KB, LARGE_BODY, StreamingEndpoint, read_body, respond_with_digest

from dykefold.net.service import attempt as attempt_module


def config_with_endpoints(*endpoints):
    return config(
        list_update(
            1, *(endpoint_entry(f"s{n}", f"{HOST}:{endpoint.port}") for n, endpoint in enumerate(endpoints))
        )
    )


def upload_head(length, request_id="ab", deadline="300m"):
    head = request_message("order", request_id, deadline).replace(
        b"Content-Length: 0", b"Content-Length: %d" % length
    )
    return head


async def respond_slowly(headers, reader, writer):
    """Send a response at a constant rate, for far longer than the client's deadline."""
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LARGE_BODY))
    for offset in range(0, len(LARGE_BODY), 32 * KB):
        writer.write(LARGE_BODY[offset : offset + 32 * KB])
        await writer.drain()
        await asyncio.sleep(0.02)


async def respond_until_close(headers, reader, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + LARGE_BODY)
    writer.close()


async def respond_until_reset(headers, reader, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + LARGE_BODY[: 300 * KB])
    await writer.drain()
    await asyncio.sleep(0.05)
    reset_connection(writer)


async def respond_chunked_with_trailers(headers, reader, writer):
    """Send a chunked response with whitespace round values, extensions and trailers, byte by byte."""
    body = await read_body(reader, headers)
    data = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: \tchunked \r\nX-Blank: \t \r\nX-Seen: %b\r\n\r\n" % body
    data += b'5;a=b\r\nhello\r\n0005;c="d"\r\nworld\r\n0\r\nX-Sum: 5f3a\r\nX-Load: rps=9\r\n\r\n'
    for offset in range(len(data)):
        writer.write(data[offset : offset + 1])
        await writer.drain()
        await asyncio.sleep(0)


async def respond_partly(headers, reader, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LARGE_BODY) + LARGE_BODY[: 300 * KB])
    await reader.read()


async def read_all(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    body = b""
    if b"chunked" not in head:
        return head, await reader.read()
    while size := int(await reader.readline(), 16):
        body += await reader.readexactly(size)
        await reader.readline()
    return head, body


async def send_lookup(sidecar, request_id="ab", deadline="300m", version=b"1.1"):
    reader, writer = await asyncio.open_connection(HOST, sidecar.port)
    data = request_message("lookup", request_id, deadline, b"", "Connection: close").replace(
        b"HTTP/1.1", b"HTTP/" + version
    )
    writer.write(data)
    return reader, writer


def test_chunked_message_in_any_form_is_forwarded_byte_by_byte(tmp_path):
    """Guards against the rejection of valid messages: a trailing blank in `chunked ` was answered with
    501."""

    async def scenario():
        endpoint = await StreamingEndpoint(respond_chunked_with_trailers).start()
        async with Sidecar(tmp_path / "c", config_with_endpoints(endpoint)) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            head = request_message("hold", "ab", "3000m ").replace(
                b"Content-Length: 0", b"Transfer-Encoding: chunked "
            )
            data = head + b"3;x=y\r\nabc\r\n0\r\nX-Trailer: 1\r\n\r\n"
            for offset in range(len(data)):
                writer.write(data[offset : offset + 1])
                await asyncio.sleep(0)
            response = await read_message(reader)
            assert response.code == 200
            assert response.headers["x-seen"] == "abc"
            assert response.body == b"helloworld"
            assert "x-sum" not in response.headers  # Trailers are not forwarded as headers.
            assert endpoint.heads[0][1]["idempotency-key"] == "key-of-ab"
            writer.close()

    run(scenario())


async def respond_with_invalid_framing(headers, reader, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked \t\r\n\r\n")
    writer.write(b"%x\r\n%b\r\n0\r\n\r\n" % (len(LARGE_BODY), LARGE_BODY))
    writer.close()


def test_unknown_framing_is_rejected(tmp_path):
    async def scenario():
        endpoint = await StreamingEndpoint(respond_with_invalid_framing).start()
        async with Sidecar(tmp_path / "c", config_with_endpoints(endpoint)) as sidecar:
            assert (await send_request(sidecar.port, request_message("order", "ab", "900m"))).code == 502
            request = request_message("order", "ac").replace(
                b"Content-Length: 0", b"Transfer-Encoding: chunked \t"
            )
            assert (await send_request(sidecar.port, request + b"0\r\n\r\n")).code in (400, 501)

    run(scenario())


def test_response_in_progress_may_outlast_deadline(tmp_path):
    """Guards against a lost request: the response was aborted at the deadline while the endpoint still
    sent it."""

    async def scenario():
        endpoint = await StreamingEndpoint(respond_slowly).start()
        async with Sidecar(tmp_path / "c", config_with_endpoints(endpoint)) as sidecar:
            reader, writer = await send_lookup(sidecar)
            head, body = await read_all(reader)
            assert head.startswith(b"HTTP/1.1 200")
            assert body == LARGE_BODY
            writer.close()
            assert len(endpoint.heads) == 1

    run(scenario())


def test_stalled_response_is_aborted_so_that_client_detects_it(tmp_path, monkeypatch):
    monkeypatch.setattr(attempt_module, "STREAM_STALL_TIMEOUT_S", 0.2)

    async def scenario():
        endpoint = await StreamingEndpoint(respond_partly).start()
        async with Sidecar(tmp_path / "c", config_with_endpoints(endpoint)) as sidecar:
            reader, writer = await send_lookup(sidecar)
            await reader.readuntil(b"\r\n\r\n")
            try:
                received = await reader.read()
            except ConnectionError:
                received = b""
            assert len(received) < len(LARGE_BODY)
            writer.close()
            await wait_until(lambda: not sidecar.server.pool.attempts)

    run(scenario())


def test_response_until_close_is_complete_and_until_reset_is_not(tmp_path):
    async def scenario():
        for handler, version, complete in (
            (respond_until_close, b"1.1", True),
            (respond_until_close, b"1.0", True),
            (respond_until_reset, b"1.1", False),
        ):
            endpoint = await StreamingEndpoint(handler).start()
            async with Sidecar(tmp_path / "c", config_with_endpoints(endpoint)) as sidecar:
                reader, writer = await send_lookup(sidecar, version=version)
                try:
                    _, body = await read_all(reader)
                except (OSError, EOFError, ValueError):
                    body = None
                assert (body == LARGE_BODY) is complete, (handler, version)
                writer.close()

    run(scenario())


def test_deadline_counts_from_last_byte_of_request(tmp_path):
    """Guards slow uploads: if the deadline of 300 ms counted from the head, a body that takes 1 s would
    always fail."""

    async def scenario():
        endpoint = await StreamingEndpoint(respond_with_digest).start()
        async with Sidecar(tmp_path / "c", config_with_endpoints(endpoint)) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            writer.write(upload_head(len(LARGE_BODY)))
            for offset in range(0, len(LARGE_BODY), 128 * KB):
                writer.write(LARGE_BODY[offset : offset + 128 * KB])
                await asyncio.sleep(0.1)
            response = await read_message(reader)
            assert response.code == 200
            assert response.body == hashlib.sha256(LARGE_BODY).hexdigest().encode()
            writer.close()
            assert len(endpoint.heads) == 1

    run(scenario())


async def read_body_without_response(headers, reader, writer):
    await reader.readexactly(int(headers["content-length"]))
    await reader.read()


def test_request_with_complete_body_fails_at_deadline(tmp_path):
    async def scenario():
        endpoint = await StreamingEndpoint(read_body_without_response).start()
        async with Sidecar(tmp_path / "c", config_with_endpoints(endpoint)) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            writer.write(upload_head(len(LARGE_BODY)) + LARGE_BODY)
            assert (await read_message(reader)).code in (502, 504)
            writer.close()
            assert len(endpoint.heads) == 1

    run(scenario())


async def reset_during_body(headers, reader, writer):
    await reader.readexactly(200 * KB)
    reset_connection(writer)


def test_order_with_incomplete_body_is_answered_as_not_processed(tmp_path):
    async def scenario():
        endpoint = await StreamingEndpoint(reset_during_body).start()
        async with Sidecar(tmp_path / "c", config_with_endpoints(endpoint)) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            writer.write(upload_head(len(LARGE_BODY)) + LARGE_BODY[: 300 * KB])
            assert (await read_message(reader)).code == 503
            writer.close()
            assert len(endpoint.heads) == 1  # A part of the body was forwarded, so it can't be sent again.

    run(scenario())


async def announce_oversized_response(headers, reader, writer):
    writer.write(http_response(200, b"x" * 10).replace(b"Content-Length: 10", b"Content-Length: 50000000"))
    await reader.read()


def test_response_above_size_limit_is_failed_attempt(tmp_path):
    async def scenario():
        endpoint = await StreamingEndpoint(announce_oversized_response).start()
        async with Sidecar(tmp_path / "c", config_with_endpoints(endpoint)) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            writer.write(request_message("order", "ab", "2000m", b"x"))
            assert (await read_message(reader)).code == 502
            writer.close()

    run(scenario())
