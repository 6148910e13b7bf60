"""Common HTTP clients with a pool: keep-alive, pipelining, chunked bodies, Expect, HEAD, 204 and 304."""

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


async def handle(message, reader, writer):
    """Return method, target and body of a request as JSON; some paths have special responses."""
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
            for chunk in (b"ab", b"cde"):
                writer.write(b"%x\r\n%s\r\n" % (len(chunk), chunk))
            writer.write(b"0\r\nX-Sum: 5\r\n\r\n")
        case _ if method == "HEAD":
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1234\r\nX-Kept: yes\r\n\r\n")
        case _:
            writer.write(http_response(200, body, *head))


@asynccontextmanager
async def sidecar_with_pool():
    fake = await FakePeer(handle).start()
    text = pool_toml("a", fake.port) + "idempotent = true\n"
    async with InProcessSidecar(text) as node:
        yield fake, node, f"http://{HOST}:{node.port}/a"


def test_httpx_requests_through_pool():
    async def scenario():
        async with sidecar_with_pool() as (fake, node, base), httpx.AsyncClient() as client:
            assert (await client.get(f"{base}/x")).json()["target"] == "/a/x"
            for method in ("POST", "PUT", "PATCH", "DELETE"):
                response = await client.request(method, f"{base}/x", content=b"hull")
                assert response.status_code == 200
                assert response.json() == {
                    "method": method,
                    "target": "/a/x",
                    "body": "hull",
                }
            response = await client.head(f"{base}/x")
            assert response.status_code == 200
            assert response.content == b""
            assert response.headers["content-length"] == "1234"
            response = await client.get(f"{base}/nothing")
            assert response.status_code == 204
            assert response.headers["x-kept"] == "yes"
            assert "content-length" not in response.headers
            assert (await client.get(f"{base}/unchanged")).status_code == 304
            assert (await client.get(f"{base}/moved")).headers["location"] == "/a/here"
            response = await client.get(f"{base}/missing")
            assert response.status_code == 404
            assert response.text == "no such part"
            response = await client.post(f"{base}/broken", content=b"x")
            assert response.status_code == 500
            assert response.text == "out of order"
            assert (await client.get(f"{base}/pieces")).text == "abcde"
            assert (await client.options(f"{base}/x")).status_code == 200
            assert len(node.server.clients.open_connections) == 1  # One connection for all requests.
            ids = [received.headers["x-request-id"] for received in fake.received]
            assert len(set(ids)) == len(ids)

    run(scenario())


def test_aiohttp_sends_chunked_bodies_and_waits_for_100_continue():
    async def scenario():
        async def chunks():
            yield b"hu"
            yield b"ll"

        async with sidecar_with_pool() as (_, _, base), aiohttp.ClientSession() as session:
            async with session.post(f"{base}/x", data=chunks()) as response:
                assert response.status == 200
                assert (await response.json())["body"] == "hull"
                # The generated id is returned and forwarded.
                assert response.headers["X-Request-Id"] == response.headers["ETag"]
            async with session.put(f"{base}/x", data=b"hull", expect100=True) as response:
                assert response.status == 200
                assert (await response.json())["method"] == "PUT"
            async with session.head(f"{base}/x") as response:
                assert response.status == 200
                assert await response.read() == b""

    run(scenario())


@pytest.mark.parametrize("library", ["requests", "urllib3"])
def test_blocking_clients_get_expected_responses(library):
    def with_requests(base):
        with requests.Session() as session:
            responses = [session.get(f"{base}/{number}") for number in range(5)]
            assert [response.json()["target"] for response in responses] == [
                f"/a/{number}" for number in range(5)
            ]
            assert session.head(f"{base}/x").headers["Content-Length"] == "1234"
            assert session.delete(f"{base}/x").json()["method"] == "DELETE"

    def with_urllib3(base):
        with urllib3.PoolManager(maxsize=1) as pool:
            for number in range(5):
                assert json.loads(pool.request("GET", f"{base}/{number}").data)["target"] == f"/a/{number}"
            assert pool.request("HEAD", f"{base}/x").status == 200
            assert pool.request("GET", f"{base}/nothing").status == 204

    async def scenario():
        async with sidecar_with_pool() as (_, node, base):
            await asyncio.to_thread({"requests": with_requests, "urllib3": with_urllib3}[library], base)
            await wait_until(lambda: not node.server.clients.open_connections)

    run(scenario())


def test_curl_requests_through_pool():
    assert shutil.which("curl"), "curl is not installed, so this client cannot be tested"

    async def scenario():
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
            output, _ = await process.communicate()
            assert process.returncode == 0
            return output.decode()

        async with sidecar_with_pool() as (_, _, base):
            assert json.loads(await curl(f"{base}/x?q=1"))["target"] == "/a/x?q=1"
            assert "HTTP/1.1 200" in await curl("-I", f"{base}/x")
            assert json.loads(await curl("-X", "PUT", "-d", "hull", f"{base}/x"))["body"] == "hull"
            large_body = "h" * 4096  # Large enough for curl to wait for 100 Continue.
            response = await curl("-H", "Expect: 100-continue", "-d", large_body, f"{base}/x")
            assert json.loads(response)["body"] == large_body
            assert (await curl("-w", "%{http_code}", f"{base}/nothing")) == "204"

    run(scenario())


def test_pipelined_requests_through_pool_are_answered_in_order():
    async def scenario():
        async with sidecar_with_pool() as (_, node, _):
            reader, writer = await asyncio.open_connection(HOST, node.port)
            writer.write(b"".join(get_request(f"/a/{number}") for number in range(10)))
            for number in range(10):
                assert json.loads((await read_message(reader)).body)["target"] == f"/a/{number}"
            writer.close()

    run(scenario())


def test_head_response_of_sidecar_or_endpoint_has_no_body():
    async def scenario():
        async with sidecar_with_pool() as (_, node, _):
            reader, writer = await asyncio.open_connection(HOST, node.port)
            for target, code in (("/none", b"404"), ("/a//x", b"400"), ("/a/x", b"200")):
                writer.write(get_request(target, method="HEAD"))
                head = await reader.readuntil(b"\r\n\r\n")
                assert head.split()[1] == code
                assert head.lower().count(b"content-length") == 1
            writer.write_eof()
            assert await reader.read() == b""
            writer.close()

    run(scenario())


def test_request_with_two_host_lines_reaches_no_pool():
    async def scenario():
        async with sidecar_with_pool() as (fake, node, _):
            reader, writer = await asyncio.open_connection(HOST, node.port)
            writer.write(get_request("/a/x", "Host: other.example"))
            assert (await read_message(reader)).code == 400
            assert not fake.received
            writer.close()

    run(scenario())
