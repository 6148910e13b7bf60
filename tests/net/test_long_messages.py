"""Long and slow messages of the platform's dialect: limits are rates, nothing that flows is sent twice."""

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


def listed(*servers):
    return config(
        list_update(1, *(endpoint_entry(f"s{n}", f"{HOST}:{s.port}") for n, s in enumerate(servers)))
    )


def upload(length, ident="ab", deadline="300m"):
    head = request_message("order", ident, deadline).replace(
        b"Content-Length: 0", b"Content-Length: %d" % length
    )
    return head


async def trickle(headers, reader, writer):
    """An answer whose time is far longer than the client's deadline, at an even pace."""
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LARGE_BODY))
    for at in range(0, len(LARGE_BODY), 32 * KB):
        writer.write(LARGE_BODY[at : at + 32 * KB])
        await writer.drain()
        await asyncio.sleep(0.02)


async def up_to_the_close(headers, reader, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + LARGE_BODY)
    writer.close()


async def up_to_a_reset(headers, reader, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + LARGE_BODY[: 300 * KB])
    await writer.drain()
    await asyncio.sleep(0.05)
    reset_connection(writer)


async def blanks_and_trailers(headers, reader, writer):
    """All that a chunked message may have: blanks round values, extensions, trailers, any cut."""
    body = await read_body(reader, headers)
    answer = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: \tchunked \r\nX-Blank: \t \r\nX-Seen: %b\r\n\r\n" % body
    answer += b'5;a=b\r\nhello\r\n0005;c="d"\r\nworld\r\n0\r\nX-Sum: 5f3a\r\nX-Load: rps=9\r\n\r\n'
    for at in range(len(answer)):
        writer.write(answer[at : at + 1])
        await writer.drain()
        await asyncio.sleep(0)


async def stops(headers, reader, writer):
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


async def get(sidecar, ident="ab", deadline="300m", version=b"1.1"):
    reader, writer = await asyncio.open_connection(HOST, sidecar.port)
    data = request_message("lookup", ident, deadline, b"", "Connection: close").replace(
        b"HTTP/1.1", b"HTTP/" + version
    )
    writer.write(data)
    return reader, writer


def test_every_form_of_a_chunked_message_passes_cut_anywhere(tmp_path):
    """Guards honest peers that write blanks behind a value: `chunked ` was answered 501."""

    async def play():
        server = await StreamingEndpoint(blanks_and_trailers).start()
        async with Sidecar(tmp_path / "c", listed(server)) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            head = request_message("hold", "ab", "3000m ").replace(
                b"Content-Length: 0", b"Transfer-Encoding: chunked "
            )
            data = head + b"3;x=y\r\nabc\r\n0\r\nX-Trailer: 1\r\n\r\n"
            for at in range(len(data)):
                writer.write(data[at : at + 1])
                await asyncio.sleep(0)
            got = await read_message(reader)
            assert got.code == 200
            assert got.headers["x-seen"] == "abc"
            assert got.body == b"helloworld"
            assert "x-sum" not in got.headers  # a trailer is no header
            assert server.heads[0][1]["idempotency-key"] == "key-of-ab"
            writer.close()

    run(play())


async def tab_behind(headers, reader, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked \t\r\n\r\n")
    writer.write(b"%x\r\n%b\r\n0\r\n\r\n" % (len(LARGE_BODY), LARGE_BODY))
    writer.close()


def test_framing_that_the_parser_does_not_know_is_never_taken_for_a_body(tmp_path):
    async def play():
        server = await StreamingEndpoint(tab_behind).start()
        async with Sidecar(tmp_path / "c", listed(server)) as sidecar:
            assert (await send_request(sidecar.port, request_message("order", "ab", "900m"))).code == 502
            asked = request_message("order", "ac").replace(
                b"Content-Length: 0", b"Transfer-Encoding: chunked \t"
            )
            assert (await send_request(sidecar.port, asked + b"0\r\n\r\n")).code in (400, 501)

    run(play())


def test_an_answer_that_flows_outlasts_the_deadline(tmp_path):
    """Guards the rule on lost requests: it was cut off while its server still gave it."""

    async def play():
        server = await StreamingEndpoint(trickle).start()
        async with Sidecar(tmp_path / "c", listed(server)) as sidecar:
            reader, writer = await get(sidecar)
            head, body = await read_all(reader)
            assert head.startswith(b"HTTP/1.1 200")
            assert body == LARGE_BODY
            writer.close()
            assert len(server.heads) == 1

    run(play())


def test_an_answer_that_stops_is_given_up_so_that_its_client_can_tell(tmp_path, monkeypatch):
    monkeypatch.setattr(attempt_module, "STREAM_STALL_TIMEOUT_S", 0.2)

    async def play():
        server = await StreamingEndpoint(stops).start()
        async with Sidecar(tmp_path / "c", listed(server)) as sidecar:
            reader, writer = await get(sidecar)
            await reader.readuntil(b"\r\n\r\n")
            try:
                got = await reader.read()
            except ConnectionError:
                got = b""
            assert len(got) < len(LARGE_BODY)
            writer.close()
            await wait_until(lambda: not sidecar.server.pool.attempts)

    run(play())


def test_an_answer_up_to_the_close_passes_whole_and_up_to_a_reset_does_not(tmp_path):
    async def play():
        for act, version, whole in (
            (up_to_the_close, b"1.1", True),
            (up_to_the_close, b"1.0", True),
            (up_to_a_reset, b"1.1", False),
        ):
            server = await StreamingEndpoint(act).start()
            async with Sidecar(tmp_path / "c", listed(server)) as sidecar:
                reader, writer = await get(sidecar, version=version)
                try:
                    _, body = await read_all(reader)
                except (OSError, EOFError, ValueError):
                    body = None
                assert (body == LARGE_BODY) is whole, (act, version)
                writer.close()

    run(play())


def test_the_time_of_a_request_counts_from_its_last_byte(tmp_path):
    """Guards slow bodies: with 300 ms from its head on, one that takes a second would never be answered."""

    async def play():
        server = await StreamingEndpoint(respond_with_digest).start()
        async with Sidecar(tmp_path / "c", listed(server)) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            writer.write(upload(len(LARGE_BODY)))
            for at in range(0, len(LARGE_BODY), 128 * KB):
                writer.write(LARGE_BODY[at : at + 128 * KB])
                await asyncio.sleep(0.1)
            got = await read_message(reader)
            assert got.code == 200
            assert got.body == hashlib.sha256(LARGE_BODY).hexdigest().encode()
            writer.close()
            assert len(server.heads) == 1

    run(play())


async def silent_after_the_body(headers, reader, writer):
    await reader.readexactly(int(headers["content-length"]))
    await reader.read()


def test_a_body_that_is_whole_has_the_stated_time_and_no_more(tmp_path):
    async def play():
        server = await StreamingEndpoint(silent_after_the_body).start()
        async with Sidecar(tmp_path / "c", listed(server)) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            writer.write(upload(len(LARGE_BODY)) + LARGE_BODY)
            assert (await read_message(reader)).code in (502, 504)
            writer.close()
            assert len(server.heads) == 1

    run(play())


async def dies_in_the_body(headers, reader, writer):
    await reader.readexactly(200 * KB)
    reset_connection(writer)


def test_an_order_whose_body_never_came_whole_is_refused_for_it_has_not_run(tmp_path):
    async def play():
        server = await StreamingEndpoint(dies_in_the_body).start()
        async with Sidecar(tmp_path / "c", listed(server)) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            writer.write(upload(len(LARGE_BODY)) + LARGE_BODY[: 300 * KB])
            assert (await read_message(reader)).code == 503
            writer.close()
            assert len(server.heads) == 1  # a part of it has flowed: it can't be sent again

    run(play())


async def says_too_much(headers, reader, writer):
    writer.write(http_response(200, b"x" * 10).replace(b"Content-Length: 10", b"Content-Length: 50000000"))
    await reader.read()


def test_an_answer_beyond_what_passes_is_a_failed_attempt(tmp_path):
    async def play():
        server = await StreamingEndpoint(says_too_much).start()
        async with Sidecar(tmp_path / "c", listed(server)) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            writer.write(request_message("order", "ab", "2000m", b"x"))
            assert (await read_message(reader)).code == 502
            writer.close()

    run(play())
