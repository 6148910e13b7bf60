"""Upgrades of the real program: both processes on one address, and what the newer one knows."""

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

IDENTS = itertools.count()


async def call(port, line):
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(f"{line} HTTP/1.1\r\nHost: admin\r\nContent-Length: 0\r\n\r\n".encode())
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        got = await reader.read()
    writer.close()
    return int(got.split()[1])


class Sidecars:
    """Processes of one sidecar, one after the other, in one folder."""

    def __init__(self, tmp_path, *fakes):
        self.tmp_path = tmp_path
        (tmp_path / "tmp").mkdir()
        self.known = list_update(1, *(endpoint_entry(f"s{n}", fake.address) for n, fake in enumerate(fakes)))
        self.port = 0
        self.number = 0
        self.more = {}

    def next(self):
        self.number += 1
        data = config(self.known, control=f"{HOST}:0", listen=f"{HOST}:{self.port}", **self.more)
        path = self.tmp_path / f"c{self.number}"
        return SidecarProcess(path, data, TMPDIR=str(self.tmp_path / "tmp"))


async def clients(port, stop, results):
    """New connections one after another, each with one request."""
    while not stop.is_set():
        try:
            got = await send_request(port, request_message("lookup", f"r{next(IDENTS)}"))
            results.append(got.code)
        except (OSError, EOFError) as error:
            results.append(repr(error))
        await asyncio.sleep(0)


def test_no_connection_is_lost_in_upgrades_under_constant_new_ones(tmp_path):
    """Guards what stands in the queue of the socket that closes, and what comes to it meanwhile."""

    async def play():
        fake = await FakePeer(respond_ok).start()
        sidecars = Sidecars(tmp_path, fake)
        async with contextlib.AsyncExitStack() as stack:
            old = await stack.enter_async_context(sidecars.next())
            sidecars.port = old.port
            stop, results = asyncio.Event(), []
            load = [asyncio.create_task(clients(old.port, stop, results)) for _ in range(8)]
            kept_reader, kept_writer = await asyncio.open_connection(HOST, old.port)
            for round_ in range(3):
                new = await stack.enter_async_context(sidecars.next())
                await wait_until(lambda: len(results) > 20)
                assert await call(new.admin_port, "GET /healthcheck") == 200
                old.process.send_signal(signal.SIGTERM)
                # One that stays with the older process is told to go with its next answer.
                number, told = 0, None
                while told != "close":
                    number += 1
                    kept_writer.write(request_message("lookup", f"kept{round_}-{number}"))
                    got = await read_message(kept_reader)
                    told = got.headers.get("connection")
                    assert got.code == 200
                kept_writer.close()
                assert await old.process.wait() == 0
                assert b"Traceback" not in await old.log
                kept_reader, kept_writer = await asyncio.open_connection(HOST, old.port)
                old = new
                results_now = len(results)
                await wait_until(lambda before=results_now: len(results) > before + 20)
            stop.set()
            await asyncio.gather(*load)
            kept_writer.close()
            assert set(results) == {200}

    run(play())


def test_bans_outlive_an_upgrade_and_hold_in_both_processes_meanwhile(tmp_path):
    async def play():
        fakes = [await FakePeer(respond_ok).start() for _ in range(3)]
        sidecars = Sidecars(tmp_path, *fakes)
        async with contextlib.AsyncExitStack() as stack:
            old = await stack.enter_async_context(sidecars.next())
            sidecars.port = old.port
            assert await call(old.admin_port, "POST /servers/s0/maint") == 200
            new = await stack.enter_async_context(sidecars.next())
            assert await call(new.admin_port, "POST /servers/s1/maint") == 200
            await asyncio.sleep(0.3)  # the grace that a drain has, and less than that is needed
            _, writer = await asyncio.open_connection(HOST, old.port)
            old.process.send_signal(signal.SIGTERM)
            assert await old.process.wait() == 0
            writer.close()
            for number in range(20):
                assert (await send_request(new.port, request_message("lookup", f"a{number}"))).code == 200
            assert not fakes[0].received
            assert not fakes[1].received
            assert len(fakes[2].received) == 20
            assert await call(new.admin_port, "POST /servers/s0/ready") == 200
            assert await call(new.admin_port, "POST /servers/s2/maint") == 200
            assert (await send_request(new.port, request_message("lookup", "b"))).code == 200
            assert len(fakes[0].received) == 1

    run(play())


def test_a_new_process_that_dies_after_its_yes_gives_its_clients_back(tmp_path):
    async def play():
        fake = await FakePeer(respond_ok).start()
        sidecars = Sidecars(tmp_path, fake)
        async with sidecars.next() as old:
            sidecars.port = old.port
            async with sidecars.next() as new:
                assert await call(new.admin_port, "GET /healthcheck") == 200
                new.process.kill()
                await new.process.wait()
            for number in range(10):
                assert (await send_request(old.port, request_message("lookup", f"a{number}"))).code == 200
            assert await call(old.admin_port, "GET /healthcheck") == 200
            async with sidecars.next() as again:
                assert await call(again.admin_port, "GET /healthcheck") == 200

    run(play())


def test_without_a_state_directory_the_admin_api_works_and_hot_restart_is_off(tmp_path):
    async def play():
        fake = await FakePeer(respond_ok).start()
        sidecars = Sidecars(tmp_path, fake)
        async with sidecars.next() as process:
            assert (await send_request(process.port, request_message("lookup", "a"))).code == 200
        (tmp_path / "tmp" / "dykefold").rename(tmp_path / "gone")
        (tmp_path / "tmp").rmdir()
        async with sidecars.next() as process:
            assert await call(process.admin_port, "GET /healthcheck") == 200
            assert (
                await call(process.admin_port, "POST /servers/s0/maint") == 500
            )  # no next process would know
            assert (
                await send_request(process.port, request_message("lookup", "b"))
            ).code == 503  # the one endpoint is out here
            assert await call(process.admin_port, "POST /servers/s0/ready") == 200
            assert await call(process.admin_port, "GET /healthcheck") == 200

    run(play())


def count_pending_connections(sock):
    """How many connections wait to be accepted."""
    sock.setblocking(False)
    count = 0
    with contextlib.suppress(BlockingIOError):
        while True:
            sock.accept()[0].close()
            count += 1
    return count


def test_a_newer_listener_gets_all_new_connections_and_an_older_one_all_when_it_is_left():
    with contextlib.ExitStack() as stack:
        old = stack.enter_context(socket.create_server((HOST, 0), backlog=128, reuse_port=True))
        address = old.getsockname()
        new = stack.enter_context(socket.create_server(address, backlog=128, reuse_port=True))
        select_listener(new, 1)
        for _ in range(64):
            stack.enter_context(socket.create_connection(address))
        assert (count_pending_connections(old), count_pending_connections(new)) == (0, 64)
        new.close()  # as when its process dies: the place that the filter names is empty
        for _ in range(64):
            stack.enter_context(socket.create_connection(address))
        assert count_pending_connections(old) == 64


def test_what_waits_in_the_queue_of_a_listener_that_closes_is_taken(tmp_path):
    """Guards those who connected in time: closing the socket would reset them."""

    async def play():
        fake = await FakePeer(respond_ok).start()
        async with Sidecar(
            tmp_path / "c", config(list_update(1, endpoint_entry("s1", fake.address)))
        ) as sidecar:
            # All in one turn of the loop: none of them can be accepted on the way.
            early = [socket.create_connection((HOST, sidecar.port)) for _ in range(40)]
            sidecar.server.shutdown.close_listener()
            for number, sock in enumerate(early):
                reader, writer = await asyncio.open_connection(sock=sock)
                writer.write(request_message("lookup", f"a{number}"))
                assert (await read_message(reader)).code == 200
                writer.close()

    run(play())


def test_reuseport_filter_is_rejected_for_a_socket_that_does_not_listen():
    import socket

    with socket.socket(socket.AF_UNIX) as sock, pytest.raises(OSError):
        select_listener(sock, 0)


def test_a_process_that_makes_room_closes_no_connection_of_a_client(tmp_path):
    """Guards requests on their way: 34 idle connections were closed at once, some under the next request."""

    async def play():
        fake = await FakePeer(respond_ok).start()
        data = config(
            list_update(1, endpoint_entry("s1", fake.address)), limits={"memory_mb": 80, "sockets": 200}
        )
        async with Sidecar(tmp_path / "c", data) as sidecar:
            sidecar_server, held = sidecar.server, []
            for number in range(70):
                reader, writer = await asyncio.open_connection(HOST, sidecar.port)
                writer.write(request_message("lookup", f"a{number}"))
                assert (await read_message(reader)).code == 200
                held.append((reader, writer))
            alive = sidecar_server.clients.admission.count
            most = max(sidecar_server.needed_descriptors(), 100)
            assert sidecar_server.budget.clients < 2 * alive
            sidecar_server.share_capacity(2, most)
            assert sidecar_server.clients.admission.count == alive
            assert sidecar_server.budget.clients + sidecar_server.budget.upstreams.limit <= most
            assert (await send_request(sidecar.port, request_message("lookup", "b"))).code in (200, 503)
            sidecar_server.share_capacity(1, 200)
            assert (await send_request(sidecar.port, request_message("lookup", "c"))).code == 200
            for _, writer in held:
                writer.close()

    run(play())


def test_the_newer_process_begins_with_the_list_and_estimates_of_the_older(tmp_path):
    """Guards the rule on drains: its configuration is as old as the first start of its sidecar."""

    async def play():
        fakes = [await FakePeer(respond_ok).start() for _ in range(3)]
        waits = asyncio.Event()

        async def discovery(got, reader, writer):
            if "after=2" in got.start_line or len(registry.received) > 1:
                await waits.wait()  # the newer process is not told in time
            states = ["SERVING", "DRAINING", "DRAINING"]
            listed = [endpoint_entry(f"s{n}", fakes[n].address, state) for n, state in enumerate(states)]
            writer.write(http_response(200, json.dumps(list_update(2, *listed)).encode()))

        registry = await FakePeer(discovery).start()
        sidecars = Sidecars(tmp_path, *fakes)
        sidecars.more = {"discovery": registry.address}
        async with contextlib.AsyncExitStack() as stack:
            old = await stack.enter_async_context(sidecars.next())
            sidecars.port = old.port
            await wait_until(lambda: len(registry.received) > 1)
            for number in range(20):
                assert (await send_request(old.port, request_message("lookup", f"a{number}"))).code == 200
            before = [len(fake.received) for fake in fakes]
            new = await stack.enter_async_context(sidecars.next())
            for number in range(20):
                assert (await send_request(new.port, request_message("lookup", f"b{number}"))).code == 200
            assert [len(fake.received) for fake in fakes] == [before[0] + 20, *before[1:]]
            waits.set()

    run(play())


def test_estimates_go_on_by_name_and_what_is_of_no_use_is_left(tmp_path):
    async def play():
        fakes = [await FakePeer(respond_ok).start() for _ in range(2)]
        listed = [endpoint_entry(f"s{n}", fake.address, since_ms=5) for n, fake in enumerate(fakes)]
        async with (
            Sidecar(tmp_path / "a", config(list_update(1, *listed))) as one,
            Sidecar(tmp_path / "b", config(list_update(1, *reversed(listed)))) as two,
        ):
            for number in range(30):
                assert (await send_request(one.port, request_message("lookup", f"a{number}"))).code == 200
            old, new = one.server.pool, two.server.pool
            old.balancer.known_endpoints[old.names.endpoints["s1"]].relative_latency = 2.5
            values = json.loads(json.dumps(snapshot(old.balancer, old.names)))
            assert restore(new.balancer, new.names, values)
            assert new.balancer.known_endpoints[new.names.endpoints["s1"]].relative_latency == 2.5
            assert new.balancer.limit.limit == old.balancer.limit.limit
            assert new.balancer.throughput.answers_per_s == old.balancer.throughput.answers_per_s
            assert (
                new.balancer.live_classes[0].mean_latency_ns == old.balancer.live_classes[0].mean_latency_ns
            )
            assert (await send_request(two.port, request_message("lookup", "b"))).code == 200
            # One that has started again since is not what was believed of it.
            values["servers"]["s0"]["started"] += 1
            values["servers"]["s0"]["rel"] = 9.0
            assert restore(new.balancer, new.names, values)
            assert new.balancer.known_endpoints[new.names.endpoints["s0"]].relative_latency != 9.0
            limit = new.balancer.limit.limit
            for spoilt in (None, [], {"whole": {"limit": 1.0}}, {**values, "whole": {"limit": "x"}}):
                assert not restore(new.balancer, new.names, spoilt)
            values["whole"]["limit"] = float("nan")
            assert not restore(new.balancer, new.names, values)
            assert new.balancer.limit.limit == limit

    run(play())
