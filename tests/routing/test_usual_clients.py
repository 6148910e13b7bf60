"""Usual HTTP clients through pools: keep-alive, pipelining, chunked, Expect, HEAD, 204 and 304."""

import asyncio
import json
import shutil
from contextlib import asynccontextmanager

import aiohttp
import httpx
import pytest
import requests
import urllib3
from net_helpers import HOST, FakePeer, http_response, read_message, run, wait_until
from services_rig import InProcessSidecar, get_request, pool_toml

pytestmark = pytest.mark.processes


async def act(message, reader, writer):
    """A usual server: what it was asked, back as JSON; some paths have answers of their own."""
    method, target, _ = message.start_line.split()
    head = [f"ETag: {message.headers.get('x-request-id', '')}", "Content-Type: application/json"]
    body = json.dumps({"method": method, "target": target, "body": message.body.decode()}).encode()
    match target.rpartition("/")[2]:
        case "nothing":
            writer.write(b"HTTP/1.1 204 No Content\r\nX-Kept: yes\r\n\r\n")
        case "unchanged":
            writer.write(b'HTTP/1.1 304 Not Modified\r\nETag: "1"\r\n\r\n')
        case "moved":
            writer.write(http_response(302, b"", "Location: /a/here"))
        case "missing":
            writer.write(http_response(404, b"no such part", *head))
        case "broken":
            writer.write(http_response(500, b"out of order", *head))
        case "pieces":
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n")
            for piece in (b"ab", b"cde"):
                writer.write(b"%x\r\n%s\r\n" % (len(piece), piece))
            writer.write(b"0\r\nX-Sum: 5\r\n\r\n")
        case _ if method == "HEAD":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1234\r\nX-Kept: yes\r\n\r\n")
        case _:
            writer.write(http_response(200, body, *head))


@asynccontextmanager
async def served():
    fake = await FakePeer(act).start()
    text = pool_toml("a", fake.port) + "idempotent = true\n"
    async with InProcessSidecar(text) as node:
        yield fake, node, f"http://{HOST}:{node.port}/a"


def test_httpx_through_a_pool():
    async def play():
        async with served() as (fake, node, base), httpx.AsyncClient() as client:
            assert (await client.get(f"{base}/x")).json()["target"] == "/a/x"
            for method in ("POST", "PUT", "PATCH", "DELETE"):
                got = await client.request(method, f"{base}/x", content=b"hull")
                assert got.status_code == 200
                assert got.json() == {
                    "method": method,
                    "target": "/a/x",
                    "body": "hull",
                }
            got = await client.head(f"{base}/x")
            assert got.status_code == 200
            assert got.content == b""
            assert got.headers["content-length"] == "1234"
            got = await client.get(f"{base}/nothing")
            assert got.status_code == 204
            assert got.headers["x-kept"] == "yes"
            assert "content-length" not in got.headers
            assert (await client.get(f"{base}/unchanged")).status_code == 304
            assert (await client.get(f"{base}/moved")).headers["location"] == "/a/here"
            got = await client.get(f"{base}/missing")
            assert got.status_code == 404
            assert got.text == "no such part"
            got = await client.post(f"{base}/broken", content=b"x")
            assert got.status_code == 500
            assert got.text == "out of order"
            assert (await client.get(f"{base}/pieces")).text == "abcde"
            assert (await client.options(f"{base}/x")).status_code == 200
            assert len(node.server.clients.all) == 1  # one connection for all of them
            ids = [got.headers["x-request-id"] for got in fake.received]
            assert len(set(ids)) == len(ids)

    run(play())


def test_aiohttp_sends_chunked_bodies_and_waits_for_100_continue():
    async def play():
        async def pieces():
            yield b"hu"
            yield b"ll"

        async with served() as (_, _, base), aiohttp.ClientSession() as session:
            async with session.post(f"{base}/x", data=pieces()) as got:
                assert got.status == 200
                assert (await got.json())["body"] == "hull"
                assert got.headers["X-Request-Id"] == got.headers["ETag"]  # made here, told, and passed on
            async with session.put(f"{base}/x", data=b"hull", expect100=True) as got:
                assert got.status == 200
                assert (await got.json())["method"] == "PUT"
            async with session.head(f"{base}/x") as got:
                assert got.status == 200
                assert await got.read() == b""

    run(play())


@pytest.mark.parametrize("library", ["requests", "urllib3"])
def test_blocking_clients_keep_their_connection(library):
    def with_requests(base):
        with requests.Session() as session:
            answers = [session.get(f"{base}/{number}") for number in range(5)]
            assert [got.json()["target"] for got in answers] == [f"/a/{number}" for number in range(5)]
            assert session.head(f"{base}/x").headers["Content-Length"] == "1234"
            assert session.delete(f"{base}/x").json()["method"] == "DELETE"

    def with_urllib3(base):
        with urllib3.PoolManager(maxsize=1) as pool:
            for number in range(5):
                assert json.loads(pool.request("GET", f"{base}/{number}").data)["target"] == f"/a/{number}"
            assert pool.request("HEAD", f"{base}/x").status == 200
            assert pool.request("GET", f"{base}/nothing").status == 204

    async def play():
        async with served() as (_, node, base):
            await asyncio.to_thread({"requests": with_requests, "urllib3": with_urllib3}[library], base)
            await wait_until(lambda: not node.server.clients.all)

    run(play())


def test_curl_through_a_pool():
    assert shutil.which("curl"), "curl is not installed: this client was not looked at"

    async def play():
        async def curl(*arguments):
            process = await asyncio.create_subprocess_exec(
                "curl",
                "-sS",
                "--noproxy",
                "*",
                "--max-time",
                "20",
                *arguments,
                stdout=asyncio.subprocess.PIPE,
            )
            out, _ = await process.communicate()
            assert process.returncode == 0
            return out.decode()

        async with served() as (_, _, base):
            assert json.loads(await curl(f"{base}/x?q=1"))["target"] == "/a/x?q=1"
            assert "HTTP/1.1 200" in await curl("-I", f"{base}/x")
            assert json.loads(await curl("-X", "PUT", "-d", "hull", f"{base}/x"))["body"] == "hull"
            big = "h" * 4096  # curl asks before it sends so much
            got = await curl("-H", "Expect: 100-continue", "-d", big, f"{base}/x")
            assert json.loads(got)["body"] == big
            assert (await curl("-w", "%{http_code}", f"{base}/nothing")) == "204"

    run(play())


def test_requests_sent_ahead_are_answered_in_their_order():
    async def play():
        async with served() as (_, node, _):
            reader, writer = await asyncio.open_connection(HOST, node.port)
            writer.write(b"".join(get_request(f"/a/{number}") for number in range(10)))
            for number in range(10):
                assert json.loads((await read_message(reader)).body)["target"] == f"/a/{number}"
            writer.close()

    run(play())


def test_a_response_to_head_has_no_body_whoever_sends_it():
    async def play():
        async with served() as (_, node, _):
            reader, writer = await asyncio.open_connection(HOST, node.port)
            for target, code in (("/none", b"404"), ("/a//x", b"400"), ("/a/x", b"200")):
                writer.write(get_request(target, method="HEAD"))
                head = await reader.readuntil(b"\r\n\r\n")
                assert head.split()[1] == code
                assert head.lower().count(b"content-length") == 1
            writer.write_eof()
            assert await reader.read() == b""
            writer.close()

    run(play())


def test_a_doubled_host_reaches_no_pool():
    async def play():
        async with served() as (fake, node, _):
            reader, writer = await asyncio.open_connection(HOST, node.port)
            writer.write(get_request("/a/x", "Host: other.example"))
            assert (await read_message(reader)).code == 400
            assert not fake.received
            writer.close()

    run(play())
