"""The listener: rejections, and a process or a system that has no descriptor left."""

import asyncio
import errno
import json
import math
import os
import resource
import socket

import pytest
from net_helpers import (
    HOST,
    FakePeer,
    Sidecar,
    config,
    endpoint_entry,
    gated_handler,
    list_update,
    read_message,
    request_message,
    respond_ok,
    run,
    send_request,
    wait_until,
)

from dykefold import sidecar_config as configuration
from dykefold.admission import listener
from dykefold.admission.addresses import AddressLimits
from dykefold.admission.client_state import ClientState


class Starving(socket.socket):
    """A listening socket whose accept fails so many times with `error`."""

    error = errno.EMFILE
    times = 0
    calls = 0

    def accept(self):
        self.calls += 1
        if self.times:
            self.times -= 1
            raise OSError(self.error, os.strerror(self.error))
        return super().accept()


class Starved(Sidecar):
    async def __aenter__(self):
        self.sock = Starving(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.bind((HOST, 0))
        self.sock.listen(64)
        _, self.port = self.server.listen(self.sock).address
        return self


def start(tmp_path, fake, kind=Sidecar, **more):
    return kind(tmp_path / "c", config(list_update(1, endpoint_entry("s1", fake.address)), **more))


def open_files(descriptors):
    """Open files until the system has no descriptor left."""
    while True:
        descriptors.append(os.open(os.devnull, os.O_RDONLY))


async def connect(port, host="127.0.0.1"):
    return await asyncio.open_connection(HOST, port, local_addr=(host, 0))


@pytest.mark.parametrize("error", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPERM])
def test_a_listener_without_descriptors_pauses_and_resumes(tmp_path, error):
    async def play():
        fake = await FakePeer(respond_ok).start()
        async with start(tmp_path, fake, Starved) as sidecar:
            sidecar.sock.error, sidecar.sock.times = error, 10**9
            reader, writer = await connect(sidecar.port)
            writer.write(request_message("order", "waits"))
            await wait_until(lambda: sidecar.sock.calls >= 4)
            began, calls = asyncio.get_running_loop().time(), sidecar.sock.calls
            await wait_until(lambda: sidecar.sock.calls >= calls + 6)
            # A loop that spins would be there in less than a millisecond.
            assert asyncio.get_running_loop().time() - began > listener.PAUSE_S
            sidecar.sock.times = 0
            assert (await read_message(reader)).code == 200
            writer.close()

    run(play())


def test_a_released_descriptor_ends_the_pause_at_once(tmp_path, monkeypatch):
    monkeypatch.setattr(listener, "PAUSE_S", 3600.0)

    async def play():
        fake = await FakePeer(respond_ok).start()
        async with start(tmp_path, fake, Starved) as sidecar:
            idle, idle_writer = await connect(sidecar.port)
            idle_writer.write(request_message("lookup", "first"))
            assert (await read_message(idle)).code == 200
            sidecar.sock.times = 1
            reader, writer = await connect(sidecar.port)
            assert await idle.read() == b""  # evicted for the new client; its end lets the listener resume
            writer.write(request_message("order", "second"))
            assert (await read_message(reader)).code == 200
            writer.close()
            idle_writer.close()

    run(play())


def test_a_client_without_a_descriptor_is_rejected_by_the_reserve_descriptor(tmp_path):
    async def play():
        go, act = gated_handler()
        fake = await FakePeer(act).start()
        async with start(tmp_path, fake) as sidecar:
            reader, writer = await connect(sidecar.port)
            writer.write(request_message("order", "taken"))
            await wait_until(lambda: fake.received)
            # No connection may be evicted now. Files take the other descriptors, as a leak elsewhere would.
            fillers = []
            before = set(os.listdir("/proc/self/fd"))
            limit = max(map(int, before)) + 2
            soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
            client = socket.socket()
            resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))
            with pytest.raises(OSError, match=os.strerror(errno.EMFILE)):
                open_files(fillers)
            try:
                client.settimeout(5.0)
                await asyncio.get_running_loop().run_in_executor(None, client.connect, (HOST, sidecar.port))
                answer = await asyncio.get_running_loop().run_in_executor(None, client.recv, 4096)
            finally:
                for filler in fillers:
                    os.close(filler)
                resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
                client.close()
            assert answer.startswith(b"HTTP/1.1 503 ")
            assert b"Retry-After: 1\r\n" in answer
            go.set()
            assert (
                await read_message(reader)
            ).code == 200  # a request that was accepted is answered all the same
            await wait_until(lambda: sidecar.server.listener.reserve.is_open)
            assert (await send_request(sidecar.port, request_message("order", "after"))).code == 200
            writer.close()

    run(play())


def test_a_rejected_connection_receives_the_reason_even_if_it_sent_a_request(tmp_path):
    async def play():
        fake = await FakePeer(respond_ok).start()
        async with start(tmp_path, fake) as sidecar:
            sidecar.server.change_limits(1024, AddressLimits(connections=1))
            _, first = await connect(sidecar.port, "127.9.0.1")
            await wait_until(lambda: sidecar.server.clients.all)
            reader, writer = await connect(sidecar.port, "127.9.0.1")
            writer.write(request_message("order", "no"))
            answer = await read_message(reader)
            assert answer.code == 429
            assert answer.headers["retry-after"] == "1"
            other, other_writer = await connect(sidecar.port, "127.9.0.2")
            other_writer.write(request_message("order", "yes"))
            assert (await read_message(other)).code == 200
            assert [got.headers["x-request-id"] for got in fake.received] == ["yes"]
            for each in (first, writer, other_writer):
                each.close()

    run(play())


def test_request_beyond_its_address_limit_is_rejected_at_once_and_can_be_retried(tmp_path):
    async def play():
        go, act = gated_handler()
        fake = await FakePeer(act).start()
        async with start(tmp_path, fake) as sidecar:
            sidecar.server.change_limits(1024, AddressLimits(open_requests=2))
            pairs = [await connect(sidecar.port) for _ in range(3)]
            for number in range(2):
                pairs[number][1].write(request_message("order", f"o{number}"))
            await wait_until(lambda: len(fake.received) == 2)
            pairs[2][1].write(request_message("order", "over"))
            answer = await read_message(pairs[2][0])
            assert answer.code == 429
            assert float(answer.headers["retry-after"]) > 0
            go.set()
            assert [(await read_message(reader)).code for reader, _ in pairs[:2]] == [200, 200]
            pairs[2][1].write(request_message("order", "again"))
            assert (await read_message(pairs[2][0])).code == 200
            for _, writer in pairs:
                writer.close()
            await wait_until(lambda: not sidecar.server.clients.all)
            assert not sidecar.server.clients.admission.addresses.active

    run(play())


def test_unfinished_messages_of_one_address_are_limited_together(tmp_path):
    async def play():
        fake = await FakePeer(respond_ok).start()
        async with start(tmp_path, fake) as sidecar:
            sidecar.server.change_limits(1024, AddressLimits(unfinished_bytes=40_000))
            whole = request_message("order", "a", "3000m", b"x" * 30_000)
            half = await connect(sidecar.port)
            half[1].write(whole[:-1])
            address = await asyncio.wait_for(_address(sidecar), 5.0)
            await wait_until(lambda: address.unfinished_bytes > 29_000)
            assert (
                await send_request(sidecar.port, request_message("order", "b", "3000m", b"x" * 30_000))
            ).code == 429
            half[1].write(whole[-1:])
            assert (await read_message(half[0])).code == 200
            assert address.unfinished_bytes == 0
            assert (
                await send_request(sidecar.port, request_message("order", "c", "3000m", b"x" * 30_000))
            ).code == 200
            half[1].close()
            await wait_until(lambda: not sidecar.server.clients.all)
            assert not sidecar.server.memory.reserved_bytes

    async def _address(sidecar):
        await wait_until(lambda: sidecar.server.clients.all)
        (client,) = sidecar.server.clients.all
        return client.address

    run(play())


def test_a_descriptor_is_reserved_when_a_request_is_accepted(tmp_path):
    """The limit is met between requests, never in the middle of one."""

    async def play():
        go, act = gated_handler()
        fake = await FakePeer(act).start()
        async with start(tmp_path, fake, limits={"sockets": 1}) as sidecar:
            budget = sidecar.server.budget
            assert (budget.clients, budget.upstreams.limit) == (4, 4)
            budget.upstreams.limit = 2
            pairs = [await connect(sidecar.port) for _ in range(4)]
            for number, (_, writer) in enumerate(pairs):
                writer.write(request_message("order", f"o{number}"))
            tasks = [asyncio.create_task(read_message(reader)) for reader, _ in pairs]
            await wait_until(lambda: sum(task.done() for task in tasks) == 2)
            answers = [task.result() for task in tasks if task.done()]
            assert [answer.code for answer in answers] == [503, 503]
            assert all(float(answer.headers["retry-after"]) > 0 for answer in answers)
            await wait_until(lambda: len(fake.received) == 2)
            assert budget.reservations == budget.upstreams.in_use == 2
            go.set()
            codes = sorted([(await task).code for task in tasks])
            assert codes == [200, 200, 503, 503]
            await wait_until(lambda: budget.reservations == 0)
            for _, writer in pairs:
                writer.close()

    run(play())


@pytest.mark.parametrize(("failures", "code"), [(1, 200), (5, 200), (math.inf, 503)])
def test_an_attempt_without_a_descriptor_waits_and_is_rejected_where_that_lasts(
    tmp_path, monkeypatch, failures, code
):
    """EMFILE between a request and its attempt: the request waits, or is rejected without having run."""

    async def play():
        fake = await FakePeer(respond_ok).start()
        async with start(tmp_path, fake) as sidecar:
            left = [failures]
            real = socket.socket

            def scarce(*arguments):
                if left[0]:
                    left[0] -= 1
                    raise OSError(errno.EMFILE, "Too many open files")
                return real(*arguments)

            reader, writer = await connect(sidecar.port)
            monkeypatch.setattr(socket, "socket", scarce)
            writer.write(request_message("order", "one", "3000m", b"x"))
            answer = await read_message(reader)
            monkeypatch.setattr(socket, "socket", real)
            assert answer.code == code
            assert len(fake.received) == (code == 200)
            assert code == 200 or float(answer.headers["retry-after"]) > 0
            assert not sidecar.server.budget.reservations
            writer.close()

    run(play())


def test_no_descriptor_for_the_configuration_changes_nothing(tmp_path, monkeypatch):
    async def play():
        fake = await FakePeer(respond_ok).start()
        async with start(tmp_path, fake) as sidecar:
            before = sidecar.server.pool.discovery.address

            def scarce(*_, **__):
                raise OSError(errno.EMFILE, "Too many open files")

            monkeypatch.setattr(configuration, "open", scarce, raising=False)
            sidecar.reload()
            assert sidecar.server.pool.discovery.address == before
            assert (await send_request(sidecar.port, request_message("order", "a"))).code == 200

    run(play())


def test_a_lower_limit_while_running_keeps_every_open_request(tmp_path):
    async def play():
        go, act = gated_handler()
        fake = await FakePeer(act).start()
        data = config(list_update(1, *(endpoint_entry(f"s{n}", fake.address) for n in range(4))))
        async with Sidecar(tmp_path / "c", data) as sidecar:
            idle = [await connect(sidecar.port) for _ in range(30)]
            busy = [await connect(sidecar.port) for _ in range(10)]
            for number, (_, writer) in enumerate(busy):
                writer.write(request_message("order", f"o{number}"))
            await wait_until(lambda: len(fake.received) == 10)
            data["limits"]["sockets"] = 52
            (tmp_path / "c").write_text(json.dumps(data))
            sidecar.reload()
            assert len(sidecar.server.clients.admission.eviction.groups[False].queues[ClientState.NEW]) == 0
            for reader, _ in idle:
                assert await reader.read() == b""
            go.set()
            assert [(await read_message(reader)).code for reader, _ in busy] == [200] * 10
            for _, writer in idle + busy:
                writer.close()

    run(play())


def test_the_system_s_limit_is_read_with_the_configuration(tmp_path, monkeypatch):
    path = tmp_path / "c"
    path.write_text(json.dumps(config(list_update(1), limits={"sockets": 900})))
    monkeypatch.setattr(configuration.resource, "getrlimit", lambda _: (300, 4096))
    assert configuration.read_config(str(path)).max_descriptors == 300
    monkeypatch.setattr(configuration.resource, "getrlimit", lambda _: (resource.RLIM_INFINITY,) * 2)
    assert configuration.read_config(str(path)).max_descriptors == 900
