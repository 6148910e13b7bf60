"""The admin API over loopback sockets: calls, bad calls, slow callers, and what a maintenance order does."""

import asyncio
import json
import socket

import pytest
from net_helpers import (
    HOST,
    WAIT_TIMEOUT_S,
    FakePeer,
    Sidecar,
    config,
    endpoint_entry,
    gated_handler,
    http_response,
    list_update,
    request_message,
    respond_ok,
    run,
    send_request,
    wait_until,
)

from dykefold.control import admin_server as door_module
from dykefold.control.admin_operations import AdminOperations
from dykefold.control.admin_server import MAX_CONNECTIONS, RESERVED_DESCRIPTORS, AdminServer
from dykefold.net.discovery.codec import parse_endpoint_update


class Operated(Sidecar):
    """A sidecar with its admin API."""

    async def __aenter__(self):
        await super().__aenter__()
        sock = socket.create_server((HOST, 0), backlog=RESERVED_DESCRIPTORS)
        self.admin = AdminServer(self.server.loop, sock, AdminOperations(self.server))
        self.admin_port = self.admin.address[1]
        return self

    async def __aexit__(self, *about):
        self.admin.close()
        await super().__aexit__(*about)

    async def call(self, line, *lines, body=b""):
        reader, writer = await asyncio.open_connection(HOST, self.admin_port)
        head = "\r\n".join([f"{line} HTTP/1.1", "Host: admin", *lines])
        writer.write(head.encode() + b"\r\n\r\n" + body)
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            got = await reader.read()  # one call to a connection: it ends behind the answer
        writer.close()
        return int(got.split()[1])

    async def out(self, name):
        return await self.call(f"POST /servers/{name}/maint", "Content-Length: 0")

    async def back(self, name):
        return await self.call(f"POST /servers/{name}/ready")


async def two(*acts):
    return [await FakePeer(act).start() for act in acts]


def listed(*fakes, version=1):
    return list_update(version, *(endpoint_entry(f"s{n}", fake.address) for n, fake in enumerate(fakes)))


def test_health_follows_whether_clients_are_taken(tmp_path):
    async def play():
        fakes = await two(respond_ok)
        async with Operated(tmp_path / "c", config(listed(*fakes))) as sidecar:
            assert await sidecar.call("GET /healthcheck") == 200
            sidecar.server.drain()
            assert await sidecar.call("GET /healthcheck") == 503

    run(play())


def test_a_server_that_is_out_gets_nothing_more_and_one_that_is_back_starts_cold(tmp_path):
    async def play():
        fakes = await two(respond_ok, respond_ok)
        async with Operated(tmp_path / "c", config(listed(*fakes))) as sidecar:
            pool = sidecar.server.pool
            assert (await send_request(sidecar.port, request_message("lookup", "a"))).code == 200
            used, other = fakes if fakes[0].received else reversed(fakes)
            name, rest = ("s0", "s1") if used is fakes[0] else ("s1", "s0")
            assert await sidecar.out(name) == 200
            assert await sidecar.out(name) == 200
            pool.on_update(None)
            pool.on_update(
                parse_endpoint_update(listed(*fakes, version=2), pool.names)
            )  # it serves, says the list
            for number in range(20):
                assert (await send_request(sidecar.port, request_message("lookup", f"b{number}"))).code == 200
            assert len(used.received) == 1
            assert len(other.received) == 20
            assert await sidecar.back(name) == 200
            server = pool.balancer.known_endpoints[pool.names.endpoints[name]]
            assert server.ready
            assert abs(server.started_ns - pool.now()) < 5e9
            assert await sidecar.out(rest) == 200
            assert (await send_request(sidecar.port, request_message("lookup", "c"))).code == 200
            assert len(used.received) == 2
            assert len(other.received) == 20

    run(play())


def test_a_call_before_the_first_watch_does_not_pass_for_its_answer(tmp_path):
    """Guards the rule on drains: a sidecar that took a ban for the list never asked for it again."""

    async def play():
        async def discovery(message, reader, writer):
            if "wait_ms" in message.start_line and "after=1&" not in message.start_line:
                await reader.read()
            writer.write(http_response(200, json.dumps(listed(*fakes, version=2)).encode()))

        fakes = await two(respond_ok, respond_ok)
        registry = await FakePeer(discovery).start()
        data = config(listed(*fakes), registry.address)
        async with Operated(tmp_path / "c", data) as sidecar:
            assert not registry.received  # the first call is spread over half a second
            assert await sidecar.out("s0") == 200
            await wait_until(lambda: len(registry.received) == 2)
            assert sidecar.server.pool.version == 2
            assert sidecar.server.pool.maintenance.is_out_of_service("s0")

    run(play())


def test_what_waits_for_a_server_as_it_goes_out_never_reaches_it(tmp_path):
    """Guards the rule on drains: a queued first try would send its first byte after the yes."""

    async def play():
        go, act = gated_handler()
        fakes = await two(act)
        async with Operated(tmp_path / "c", config(listed(*fakes))) as sidecar:
            upstreams = sidecar.server.pool.connection_pool
            first = asyncio.create_task(send_request(sidecar.port, request_message("lookup", "a1")))
            await wait_until(lambda: fakes[0].received)
            (target,) = upstreams.endpoints.values()
            late = asyncio.create_task(send_request(sidecar.port, request_message("lookup", "a2", "700m")))
            await wait_until(lambda: len(fakes[0].received) == 2)
            assert await sidecar.out("s0") == 200
            third = asyncio.create_task(send_request(sidecar.port, request_message("order", "a3", "400m")))
            assert (await third).code == 503
            assert len(fakes[0].received) == 2
            go.set()
            assert (await first).code == 200
            assert (await late).code == 200
            assert not target.waiting_exchanges

    run(play())


def test_only_known_servers_can_be_called_and_those_of_the_first_list_are(tmp_path):
    async def play():
        fakes = await two(respond_ok)
        async with Operated(tmp_path / "c", config(listed(*fakes))) as sidecar:
            assert await sidecar.out("nobody") == 404
            assert await sidecar.back("nobody") == 404
            assert await sidecar.back("s0") == 200  # known, and not out: nothing to do
            assert await sidecar.out("s0") == 200

    run(play())


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (b"\x16\x03\x01garbage\r\n\r\n", 400),
        (b"GET /healthcheck HTTP/9.9\r\n\r\n", 400),
        (b"POST /servers/s0/maint HTTP/1.1\r\nContent-Length: -5\r\n\r\n", 400),
        (b"POST /servers/s0/maint HTTP/1.1\r\nContent-Length: 900000\r\n\r\n" + b"x" * 20_000, 413),
        (b"POST /servers/s0/maint HTTP/1.1\r\nX: " + b"x" * 20_000, 431),
        (b"POST /servers/" + b"s" * 9_000, 431),
        (b"POST /servers/" + b"s" * 2_000 + b"/maint HTTP/1.1\r\n\r\n", 414),
        (b"DELETE /servers/s0 HTTP/1.1\r\n\r\n", 404),
        (b"GET /servers/s0/maint HTTP/1.1\r\n\r\n", 405),
    ],
)
def test_bad_calls_get_a_no_and_change_nothing(tmp_path, data, code):
    async def play():
        fakes = await two(respond_ok)
        async with Operated(tmp_path / "c", config(listed(*fakes))) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.admin_port)
            writer.write(data)
            assert int((await reader.readuntil(b"\r\n")).split()[1]) == code
            writer.close()
            assert not sidecar.server.pool.maintenance.orders
            assert await sidecar.call("GET /healthcheck") == 200

    run(play())


def test_callers_that_hold_on_stop_nobody(tmp_path):
    """Guards the one second that an answer is owed in: with a queue of them nobody would come through."""

    async def play():
        fakes = await two(respond_ok)
        async with Operated(tmp_path / "c", config(listed(*fakes))) as sidecar:
            held = []
            for number in range(3 * MAX_CONNECTIONS):
                _, writer = await asyncio.open_connection(HOST, sidecar.admin_port)
                writer.write(b"GET /health" if number % 2 else b"")
                held.append(writer)
                if number % 8 == 0:
                    assert await sidecar.call("GET /healthcheck") == 200
            assert len(sidecar.admin.connections) <= MAX_CONNECTIONS
            assert await sidecar.out("s0") == 200
            for writer in held:
                writer.close()
            await wait_until(lambda: not sidecar.admin.connections)

    run(play())


def test_a_caller_that_says_nothing_is_answered_in_the_end(tmp_path, monkeypatch):
    monkeypatch.setattr(door_module, "MAX_REQUEST_S", 0.1)

    async def play():
        fakes = await two(respond_ok)
        async with Operated(tmp_path / "c", config(listed(*fakes))) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.admin_port)
            assert (await reader.readline()).split()[1] == b"408"
            writer.close()

    run(play())


def test_exception_in_an_admin_request_is_answered_with_an_error(tmp_path):
    async def play():
        fakes = await two(respond_ok)
        async with Operated(tmp_path / "c", config(listed(*fakes))) as sidecar:
            sidecar.server.pool.apply_order = None
            assert await sidecar.out("s0") == 500
            assert await sidecar.call("GET /healthcheck") == 200

    run(play())
