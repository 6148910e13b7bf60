"""Admin API over loopback sockets: valid and invalid requests, slow clients, maintenance orders."""

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

from dykefold.control import admin_server as admin_server_module
from dykefold.control.admin_operations import AdminOperations
from dykefold.control.admin_server import MAX_CONNECTIONS, RESERVED_DESCRIPTORS, AdminServer
from dykefold.net.discovery.codec import parse_endpoint_update


class SidecarWithAdminServer(Sidecar):
    """A sidecar with its admin API."""

    async def __aenter__(self):
        await super().__aenter__()
        sock = socket.create_server((HOST, 0), backlog=RESERVED_DESCRIPTORS)
        self.admin = AdminServer(self.server.loop, sock, AdminOperations(self.server))
        self.admin_port = self.admin.address[1]
        return self

    async def __aexit__(self, *exc_info):
        self.admin.close()
        await super().__aexit__(*exc_info)

    async def call(self, line, *lines, body=b""):
        reader, writer = await asyncio.open_connection(HOST, self.admin_port)
        head = "\r\n".join([f"{line} HTTP/1.1", "Host: admin", *lines])
        writer.write(head.encode() + b"\r\n\r\n" + body)
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            response = await reader.read()  # the server closes the connection after the response
        writer.close()
        return int(response.split()[1])

    async def take_out(self, name):
        return await self.call(f"POST /servers/{name}/maint", "Content-Length: 0")

    async def put_back(self, name):
        return await self.call(f"POST /servers/{name}/ready")


async def start_peers(*handlers):
    return [await FakePeer(handler).start() for handler in handlers]


def list_of(*fakes, version=1):
    return list_update(version, *(endpoint_entry(f"s{n}", fake.address) for n, fake in enumerate(fakes)))


def test_health_check_reports_whether_clients_are_accepted(tmp_path):
    async def scenario():
        fakes = await start_peers(respond_ok)
        async with SidecarWithAdminServer(tmp_path / "c", config(list_of(*fakes))) as sidecar:
            assert await sidecar.call("GET /healthcheck") == 200
            sidecar.server.drain()
            assert await sidecar.call("GET /healthcheck") == 503

    run(scenario())


def test_endpoint_out_of_service_gets_no_requests_and_warms_up_after_return(tmp_path):
    async def scenario():
        fakes = await start_peers(respond_ok, respond_ok)
        async with SidecarWithAdminServer(tmp_path / "c", config(list_of(*fakes))) as sidecar:
            pool = sidecar.server.pool
            assert (await send_request(sidecar.port, request_message("lookup", "a"))).code == 200
            used, other = fakes if fakes[0].received else reversed(fakes)
            name, other_name = ("s0", "s1") if used is fakes[0] else ("s1", "s0")
            assert await sidecar.take_out(name) == 200
            assert await sidecar.take_out(name) == 200
            pool.on_update(None)
            pool.on_update(
                parse_endpoint_update(list_of(*fakes, version=2), pool.names)
            )  # the list still says SERVING
            for number in range(20):
                assert (await send_request(sidecar.port, request_message("lookup", f"b{number}"))).code == 200
            assert len(used.received) == 1
            assert len(other.received) == 20
            assert await sidecar.put_back(name) == 200
            endpoint = pool.balancer.known_endpoints[pool.names.endpoints[name]]
            assert endpoint.ready
            assert abs(endpoint.started_ns - pool.now()) < 5e9
            assert await sidecar.take_out(other_name) == 200
            assert (await send_request(sidecar.port, request_message("lookup", "c"))).code == 200
            assert len(used.received) == 2
            assert len(other.received) == 20

    run(scenario())


def test_maintenance_order_before_the_first_watch_does_not_replace_the_endpoint_list(tmp_path):
    """Guards against a sidecar that mistakes a maintenance order for the first endpoint list, and so never
    requests the list from discovery.
    """

    async def scenario():
        async def discovery(message, reader, writer):
            if "wait_ms" in message.start_line and "after=1&" not in message.start_line:
                await reader.read()
            writer.write(http_response(200, json.dumps(list_of(*fakes, version=2)).encode()))

        fakes = await start_peers(respond_ok, respond_ok)
        discovery_peer = await FakePeer(discovery).start()
        data = config(list_of(*fakes), discovery_peer.address)
        async with SidecarWithAdminServer(tmp_path / "c", data) as sidecar:
            assert not discovery_peer.received  # the first call is delayed by up to half a second
            assert await sidecar.take_out("s0") == 200
            await wait_until(lambda: len(discovery_peer.received) == 2)
            assert sidecar.server.pool.version == 2
            assert sidecar.server.pool.maintenance.is_out_of_service("s0")

    run(scenario())


def test_request_waiting_for_an_endpoint_is_not_sent_after_it_is_taken_out(tmp_path):
    """Guards against a queued first attempt that sends its first byte to an endpoint after the order to take
    it out was confirmed.
    """

    async def scenario():
        gate, handler = gated_handler()
        fakes = await start_peers(handler)
        async with SidecarWithAdminServer(tmp_path / "c", config(list_of(*fakes))) as sidecar:
            connection_pool = sidecar.server.pool.connection_pool
            first = asyncio.create_task(send_request(sidecar.port, request_message("lookup", "a1")))
            await wait_until(lambda: fakes[0].received)
            (endpoint_connections,) = connection_pool.endpoints.values()
            second = asyncio.create_task(send_request(sidecar.port, request_message("lookup", "a2", "700m")))
            await wait_until(lambda: len(fakes[0].received) == 2)
            assert await sidecar.take_out("s0") == 200
            third = asyncio.create_task(send_request(sidecar.port, request_message("order", "a3", "400m")))
            assert (await third).code == 503
            assert len(fakes[0].received) == 2
            gate.set()
            assert (await first).code == 200
            assert (await second).code == 200
            assert not endpoint_connections.waiting_exchanges

    run(scenario())


def test_maintenance_orders_are_accepted_only_for_known_endpoints(tmp_path):
    async def scenario():
        fakes = await start_peers(respond_ok)
        async with SidecarWithAdminServer(tmp_path / "c", config(list_of(*fakes))) as sidecar:
            assert await sidecar.take_out("nobody") == 404
            assert await sidecar.put_back("nobody") == 404
            assert await sidecar.put_back("s0") == 200  # known and in service: the order changes nothing
            assert await sidecar.take_out("s0") == 200

    run(scenario())


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
def test_invalid_admin_request_gets_an_error_and_changes_nothing(tmp_path, data, code):
    async def scenario():
        fakes = await start_peers(respond_ok)
        async with SidecarWithAdminServer(tmp_path / "c", config(list_of(*fakes))) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.admin_port)
            writer.write(data)
            assert int((await reader.readuntil(b"\r\n")).split()[1]) == code
            writer.close()
            assert not sidecar.server.pool.maintenance.orders
            assert await sidecar.call("GET /healthcheck") == 200

    run(scenario())


def test_idle_admin_connections_do_not_block_other_clients(tmp_path):
    """Guards the response time of one second: if idle connections used up the limit, no other client would
    get a response.
    """

    async def scenario():
        fakes = await start_peers(respond_ok)
        async with SidecarWithAdminServer(tmp_path / "c", config(list_of(*fakes))) as sidecar:
            idle_writers = []
            for number in range(3 * MAX_CONNECTIONS):
                _, writer = await asyncio.open_connection(HOST, sidecar.admin_port)
                writer.write(b"GET /health" if number % 2 else b"")
                idle_writers.append(writer)
                if number % 8 == 0:
                    assert await sidecar.call("GET /healthcheck") == 200
            assert len(sidecar.admin.connections) <= MAX_CONNECTIONS
            assert await sidecar.take_out("s0") == 200
            for writer in idle_writers:
                writer.close()
            await wait_until(lambda: not sidecar.admin.connections)

    run(scenario())


def test_silent_admin_client_gets_a_timeout_response(tmp_path, monkeypatch):
    monkeypatch.setattr(admin_server_module, "MAX_REQUEST_S", 0.1)

    async def scenario():
        fakes = await start_peers(respond_ok)
        async with SidecarWithAdminServer(tmp_path / "c", config(list_of(*fakes))) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.admin_port)
            assert (await reader.readline()).split()[1] == b"408"
            writer.close()

    run(scenario())


def test_exception_in_an_admin_request_gets_an_error_response(tmp_path):
    async def scenario():
        fakes = await start_peers(respond_ok)
        async with SidecarWithAdminServer(tmp_path / "c", config(list_of(*fakes))) as sidecar:
            sidecar.server.pool.apply_order = None
            assert await sidecar.take_out("s0") == 500
            assert await sidecar.call("GET /healthcheck") == 200

    run(scenario())
