"""Hot restarts of the real program: two processes at one address, and the state that is handed over."""

import asyncio
import contextlib
import itertools
import json
import signal
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
    read_message,
    request_message,
    respond_ok,
    run,
    send_request,
    wait_until,
)
from process_helpers import SidecarProcess

from dykefold.control.balancer_snapshot import restore, snapshot
from dykefold.control.reuseport_filter import select_listener

pytestmark = pytest.mark.processes

REQUEST_NUMBERS = itertools.count()


async def admin_status(port, request_line):
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(f"{request_line} HTTP/1.1\r\nHost: admin\r\nContent-Length: 0\r\n\r\n".encode())
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        response = await reader.read()
    writer.close()
    return int(response.split()[1])


class Sidecars:
    """Successive processes of one sidecar with one state directory."""

    def __init__(self, tmp_path, *fakes):
        self.tmp_path = tmp_path
        (tmp_path / "tmp").mkdir()
        self.endpoint_list = list_update(
            1, *(endpoint_entry(f"s{n}", fake.address) for n, fake in enumerate(fakes))
        )
        self.port = 0
        self.process_count = 0
        self.extra_config = {}

    def new_process(self):
        self.process_count += 1
        data = config(
            self.endpoint_list, control=f"{HOST}:0", listen=f"{HOST}:{self.port}", **self.extra_config
        )
        path = self.tmp_path / f"c{self.process_count}"
        return SidecarProcess(path, data, TMPDIR=str(self.tmp_path / "tmp"))


async def send_on_new_connections(port, stop, results):
    """Send requests one after another until `stop` is set, each on a new connection."""
    while not stop.is_set():
        try:
            response = await send_request(port, request_message("lookup", f"r{next(REQUEST_NUMBERS)}"))
            results.append(response.code)
        except (OSError, EOFError) as error:
            results.append(repr(error))
        await asyncio.sleep(0)


def test_hot_restarts_under_constant_new_connections_lose_none(tmp_path):
    """Guards against resets of connections in the accept queue of a closing listener or just arriving."""

    async def play():
        fake = await FakePeer(respond_ok).start()
        sidecars = Sidecars(tmp_path, fake)
        async with contextlib.AsyncExitStack() as stack:
            old = await stack.enter_async_context(sidecars.new_process())
            sidecars.port = old.port
            stop, results = asyncio.Event(), []
            load = [asyncio.create_task(send_on_new_connections(old.port, stop, results)) for _ in range(8)]
            kept_reader, kept_writer = await asyncio.open_connection(HOST, old.port)
            for round_ in range(3):
                new = await stack.enter_async_context(sidecars.new_process())
                await wait_until(lambda: len(results) > 20)
                assert await admin_status(new.admin_port, "GET /healthcheck") == 200
                old.process.send_signal(signal.SIGTERM)
                # The older process asks a kept connection to close with a later response.
                number, connection_header = 0, None
                while connection_header != "close":
                    number += 1
                    kept_writer.write(request_message("lookup", f"kept{round_}-{number}"))
                    response = await read_message(kept_reader)
                    connection_header = response.headers.get("connection")
                    assert response.code == 200
                kept_writer.close()
                assert await old.process.wait() == 0
                assert b"Traceback" not in await old.log
                kept_reader, kept_writer = await asyncio.open_connection(HOST, old.port)
                old = new
                results_before = len(results)
                await wait_until(lambda before=results_before: len(results) > before + 20)
            stop.set()
            await asyncio.gather(*load)
            kept_writer.close()
            assert set(results) == {200}

    run(play())


@pytest.mark.parametrize("original_at", ["older", "newer"])
def test_id_that_is_open_or_just_finished_in_one_process_is_rejected_by_the_other(tmp_path, original_at):
    """Guards against an order that runs twice since its id comes again to another process of the sidecar."""

    async def play():
        release, handler = gated_handler()
        fake = await FakePeer(handler).start()
        sidecars = Sidecars(tmp_path, fake)
        async with contextlib.AsyncExitStack() as stack:
            old = await stack.enter_async_context(sidecars.new_process())
            sidecars.port = old.port
            # A connection that stays with its process, for a request of the time when both serve.
            kept_reader, kept_writer = await asyncio.open_connection(HOST, old.port)
            early = asyncio.create_task(send_request(old.port, request_message("order", "early")))
            await wait_until(lambda: len(fake.received) == 1)
            new = await stack.enter_async_context(sidecars.new_process())
            assert await admin_status(new.admin_port, "GET /healthcheck") == 200
            assert (await send_request(new.port, request_message("order", "early"))).code == 409
            new_reader, new_writer = await asyncio.open_connection(HOST, new.port)
            first, second = (kept_writer, new_writer), (new_writer, kept_writer)
            original, repeated = first if original_at == "older" else second
            original.write(request_message("order", "late"))
            await wait_until(lambda: len(fake.received) == 2)
            repeated.write(request_message("order", "late"))
            answers = [kept_reader, new_reader] if repeated is kept_writer else [new_reader, kept_reader]
            assert (await read_message(answers[0])).code == 409
            release.set()
            assert (await read_message(answers[1])).code == 200
            assert (await early).code == 200
            old.process.send_signal(signal.SIGTERM)
            for writer in (kept_writer, new_writer):
                writer.close()
            assert await old.process.wait() == 0
            assert (await send_request(new.port, request_message("order", "early"))).code == 409
            assert (await send_request(new.port, request_message("order", "other"))).code == 200
        assert [message.headers["x-request-id"] for message in fake.received] == ["early", "late", "other"]

    run(play())


def test_maintenance_orders_apply_in_both_processes_and_outlive_hot_restart(tmp_path):
    async def play():
        fakes = [await FakePeer(respond_ok).start() for _ in range(3)]
        sidecars = Sidecars(tmp_path, *fakes)
        async with contextlib.AsyncExitStack() as stack:
            old = await stack.enter_async_context(sidecars.new_process())
            sidecars.port = old.port
            assert await admin_status(old.admin_port, "POST /servers/s0/maint") == 200
            new = await stack.enter_async_context(sidecars.new_process())
            assert await admin_status(new.admin_port, "POST /servers/s1/maint") == 200
            await asyncio.sleep(0.3)  # grace time of a drain, longer than the processes need
            _, writer = await asyncio.open_connection(HOST, old.port)
            old.process.send_signal(signal.SIGTERM)
            assert await old.process.wait() == 0
            writer.close()
            for number in range(20):
                assert (await send_request(new.port, request_message("lookup", f"a{number}"))).code == 200
            assert not fakes[0].received
            assert not fakes[1].received
            assert len(fakes[2].received) == 20
            assert await admin_status(new.admin_port, "POST /servers/s0/ready") == 200
            assert await admin_status(new.admin_port, "POST /servers/s2/maint") == 200
            assert (await send_request(new.port, request_message("lookup", "b"))).code == 200
            assert len(fakes[0].received) == 1

    run(play())


def test_clients_return_to_older_process_when_ready_newer_one_dies(tmp_path):
    async def play():
        fake = await FakePeer(respond_ok).start()
        sidecars = Sidecars(tmp_path, fake)
        async with sidecars.new_process() as old:
            sidecars.port = old.port
            async with sidecars.new_process() as new:
                assert await admin_status(new.admin_port, "GET /healthcheck") == 200
                new.process.kill()
                await new.process.wait()
            for number in range(10):
                assert (await send_request(old.port, request_message("lookup", f"a{number}"))).code == 200
            assert await admin_status(old.admin_port, "GET /healthcheck") == 200
            async with sidecars.new_process() as last:
                assert await admin_status(last.admin_port, "GET /healthcheck") == 200

    run(play())


def test_process_without_state_directory_serves_admin_api_without_hot_restart(tmp_path):
    async def play():
        fake = await FakePeer(respond_ok).start()
        sidecars = Sidecars(tmp_path, fake)
        async with sidecars.new_process() as process:
            assert (await send_request(process.port, request_message("lookup", "a"))).code == 200
        (tmp_path / "tmp" / "dykefold").rename(tmp_path / "gone")
        (tmp_path / "tmp").rmdir()
        async with sidecars.new_process() as process:
            assert await admin_status(process.admin_port, "GET /healthcheck") == 200
            assert (
                await admin_status(process.admin_port, "POST /servers/s0/maint") == 500
            )  # a newer process would not know the order
            assert (
                await send_request(process.port, request_message("lookup", "b"))
            ).code == 503  # the only endpoint is out of service in this process
            assert await admin_status(process.admin_port, "POST /servers/s0/ready") == 200
            assert await admin_status(process.admin_port, "GET /healthcheck") == 200

    run(play())


def count_pending_connections(sock):
    """Count the connections that wait to be accepted, and close them."""
    sock.setblocking(False)
    count = 0
    with contextlib.suppress(BlockingIOError):
        while True:
            sock.accept()[0].close()
            count += 1
    return count


def test_newer_listener_gets_all_new_connections_until_it_closes():
    with contextlib.ExitStack() as stack:
        old = stack.enter_context(socket.create_server((HOST, 0), backlog=128, reuse_port=True))
        address = old.getsockname()
        new = stack.enter_context(socket.create_server(address, backlog=128, reuse_port=True))
        select_listener(new, 1)
        for _ in range(64):
            stack.enter_context(socket.create_connection(address))
        assert (count_pending_connections(old), count_pending_connections(new)) == (0, 64)
        new.close()  # as when its process dies: the index of the filter is beyond the group
        for _ in range(64):
            stack.enter_context(socket.create_connection(address))
        assert count_pending_connections(old) == 64


def test_closing_listener_accepts_connections_in_its_queue(tmp_path):
    """Guards against resets of connections that were queued before the listener closed."""

    async def play():
        fake = await FakePeer(respond_ok).start()
        async with Sidecar(
            tmp_path / "c", config(list_update(1, endpoint_entry("s1", fake.address)))
        ) as sidecar:
            # In one iteration of the event loop, so none of them is accepted before the listener closes.
            queued = [socket.create_connection((HOST, sidecar.port)) for _ in range(40)]
            sidecar.server.shutdown.close_listener()
            for number, sock in enumerate(queued):
                reader, writer = await asyncio.open_connection(sock=sock)
                writer.write(request_message("lookup", f"a{number}"))
                assert (await read_message(reader)).code == 200
                writer.close()

    run(play())


def test_reuseport_filter_is_rejected_for_a_socket_that_does_not_listen():
    import socket

    with socket.socket(socket.AF_UNIX) as sock, pytest.raises(OSError):
        select_listener(sock, 0)


def test_process_that_releases_capacity_closes_no_client_connection(tmp_path):
    """Guards requests in flight: 34 idle connections were closed at once, some with a new request."""

    async def play():
        fake = await FakePeer(respond_ok).start()
        data = config(
            list_update(1, endpoint_entry("s1", fake.address)), limits={"memory_mb": 80, "sockets": 200}
        )
        async with Sidecar(tmp_path / "c", data) as sidecar:
            sidecar_server, connections = sidecar.server, []
            for number in range(70):
                reader, writer = await asyncio.open_connection(HOST, sidecar.port)
                writer.write(request_message("lookup", f"a{number}"))
                assert (await read_message(reader)).code == 200
                connections.append((reader, writer))
            connection_count = sidecar_server.clients.admission.count
            max_descriptors = max(sidecar_server.needed_descriptors(), 100)
            assert sidecar_server.budget.clients < 2 * connection_count
            sidecar_server.share_capacity(2, max_descriptors)
            assert sidecar_server.clients.admission.count == connection_count
            assert sidecar_server.budget.clients + sidecar_server.budget.upstreams.limit <= max_descriptors
            assert (await send_request(sidecar.port, request_message("lookup", "b"))).code in (200, 503)
            sidecar_server.share_capacity(1, 200)
            assert (await send_request(sidecar.port, request_message("lookup", "c"))).code == 200
            for _, writer in connections:
                writer.close()

    run(play())


def test_newer_process_starts_with_endpoint_list_and_estimates_of_older(tmp_path):
    """Guards against requests to draining endpoints, since the configured list is older than their drain."""

    async def play():
        fakes = [await FakePeer(respond_ok).start() for _ in range(3)]
        released = asyncio.Event()

        async def discovery(request, reader, writer):
            if "after=2" in request.start_line or len(registry.received) > 1:
                await released.wait()  # the newer process gets no update in time
            states = ["SERVING", "DRAINING", "DRAINING"]
            listed = [endpoint_entry(f"s{n}", fakes[n].address, state) for n, state in enumerate(states)]
            writer.write(http_response(200, json.dumps(list_update(2, *listed)).encode()))

        registry = await FakePeer(discovery).start()
        sidecars = Sidecars(tmp_path, *fakes)
        sidecars.extra_config = {"discovery": registry.address}
        async with contextlib.AsyncExitStack() as stack:
            old = await stack.enter_async_context(sidecars.new_process())
            sidecars.port = old.port
            await wait_until(lambda: len(registry.received) > 1)
            for number in range(20):
                assert (await send_request(old.port, request_message("lookup", f"a{number}"))).code == 200
            requests_before = [len(fake.received) for fake in fakes]
            new = await stack.enter_async_context(sidecars.new_process())
            for number in range(20):
                assert (await send_request(new.port, request_message("lookup", f"b{number}"))).code == 200
            assert [len(fake.received) for fake in fakes] == [requests_before[0] + 20, *requests_before[1:]]
            released.set()

    run(play())


def test_snapshot_is_restored_by_endpoint_name_and_unusable_one_is_ignored(tmp_path):
    async def play():
        fakes = [await FakePeer(respond_ok).start() for _ in range(2)]
        listed = [endpoint_entry(f"s{n}", fake.address, since_ms=5) for n, fake in enumerate(fakes)]
        async with (
            Sidecar(tmp_path / "a", config(list_update(1, *listed))) as old_sidecar,
            Sidecar(tmp_path / "b", config(list_update(1, *reversed(listed)))) as new_sidecar,
        ):
            for number in range(30):
                assert (
                    await send_request(old_sidecar.port, request_message("lookup", f"a{number}"))
                ).code == 200
            old, new = old_sidecar.server.pool, new_sidecar.server.pool
            old.balancer.known_endpoints[old.names.endpoints["s1"]].relative_latency = 2.5
            values = json.loads(json.dumps(snapshot(old.balancer, old.names)))
            assert restore(new.balancer, new.names, values)
            assert new.balancer.known_endpoints[new.names.endpoints["s1"]].relative_latency == 2.5
            assert new.balancer.limit.limit == old.balancer.limit.limit
            assert new.balancer.throughput.answers_per_s == old.balancer.throughput.answers_per_s
            assert (
                new.balancer.live_classes[0].mean_latency_ns == old.balancer.live_classes[0].mean_latency_ns
            )
            assert (await send_request(new_sidecar.port, request_message("lookup", "b"))).code == 200
            # Estimates of an endpoint that has restarted since are not restored.
            values["servers"]["s0"]["started"] += 1
            values["servers"]["s0"]["rel"] = 9.0
            assert restore(new.balancer, new.names, values)
            assert new.balancer.known_endpoints[new.names.endpoints["s0"]].relative_latency != 9.0
            limit = new.balancer.limit.limit
            for unusable in (None, [], {"whole": {"limit": 1.0}}, {**values, "whole": {"limit": "x"}}):
                assert not restore(new.balancer, new.names, unusable)
            values["whole"]["limit"] = float("nan")
            assert not restore(new.balancer, new.names, values)
            assert new.balancer.limit.limit == limit

    run(play())
