"""Listener: rejections, and behaviour when the process or the system has no descriptor left."""

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


class FailingSocket(socket.socket):
    """A listening socket whose `accept` fails with `error` for the next `failures` calls."""

    error = errno.EMFILE
    failures = 0
    calls = 0

    def accept(self):
        self.calls += 1
        if self.failures:
            self.failures -= 1
            raise OSError(self.error, os.strerror(self.error))
        return super().accept()


class SidecarOnFailingSocket(Sidecar):
    async def __aenter__(self):
        self.sock = FailingSocket(socket.AF_INET, socket.SOCK_STREAM)
        self.sock.bind((HOST, 0))
        self.sock.listen(64)
        _, self.port = self.server.listen(self.sock).address
        return self


def make_sidecar(tmp_path, fake, sidecar_class=Sidecar, **settings):
    return sidecar_class(
        tmp_path / "c", config(list_update(1, endpoint_entry("s1", fake.address)), **settings)
    )


def exhaust_descriptors(descriptors):
    """Open files until the system has no descriptor left."""
    while True:
        descriptors.append(os.open(os.devnull, os.O_RDONLY))


async def connect(port, host="127.0.0.1"):
    return await asyncio.open_connection(HOST, port, local_addr=(host, 0))


@pytest.mark.parametrize("error", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPERM])
def test_listener_without_descriptors_pauses_and_resumes(tmp_path, error):
    async def scenario():
        fake = await FakePeer(respond_ok).start()
        async with make_sidecar(tmp_path, fake, SidecarOnFailingSocket) as sidecar:
            sidecar.sock.error, sidecar.sock.failures = error, 10**9
            reader, writer = await connect(sidecar.port)
            writer.write(request_message("order", "waits"))
            await wait_until(lambda: sidecar.sock.calls >= 4)
            started_at_s, calls = asyncio.get_running_loop().time(), sidecar.sock.calls
            await wait_until(lambda: sidecar.sock.calls >= calls + 6)
            # A spinning loop would make these calls in less than a millisecond.
            assert asyncio.get_running_loop().time() - started_at_s > listener.PAUSE_S
            sidecar.sock.failures = 0
            assert (await read_message(reader)).code == 200
            writer.close()

    run(scenario())


def test_released_descriptor_ends_pause_at_once(tmp_path, monkeypatch):
    monkeypatch.setattr(listener, "PAUSE_S", 3600.0)

    async def scenario():
        fake = await FakePeer(respond_ok).start()
        async with make_sidecar(tmp_path, fake, SidecarOnFailingSocket) as sidecar:
            idle, idle_writer = await connect(sidecar.port)
            idle_writer.write(request_message("lookup", "first"))
            assert (await read_message(idle)).code == 200
            sidecar.sock.failures = 1
            reader, writer = await connect(sidecar.port)
            assert await idle.read() == b""  # evicted for the new client; its close lets the listener resume
            writer.write(request_message("order", "second"))
            assert (await read_message(reader)).code == 200
            writer.close()
            idle_writer.close()

    run(scenario())


def test_client_is_rejected_by_reserve_descriptor_when_none_is_left(tmp_path):
    async def scenario():
        gate, handler = gated_handler()
        fake = await FakePeer(handler).start()
        async with make_sidecar(tmp_path, fake) as sidecar:
            reader, writer = await connect(sidecar.port)
            writer.write(request_message("order", "pending"))
            await wait_until(lambda: fake.received)
            # No connection may be evicted now. Files use up the other descriptors, as a leak would.
            fillers = []
            before = set(os.listdir("/proc/self/fd"))
            limit = max(map(int, before)) + 2
            soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
            client = socket.socket()
            resource.setrlimit(resource.RLIMIT_NOFILE, (limit, hard))
            with pytest.raises(OSError, match=os.strerror(errno.EMFILE)):
                exhaust_descriptors(fillers)
            try:
                client.settimeout(5.0)
                await asyncio.get_running_loop().run_in_executor(None, client.connect, (HOST, sidecar.port))
                response = await asyncio.get_running_loop().run_in_executor(None, client.recv, 4096)
            finally:
                for filler in fillers:
                    os.close(filler)
                resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
                client.close()
            assert response.startswith(b"HTTP/1.1 503 ")
            assert b"Retry-After: 1\r\n" in response
            gate.set()
            assert (await read_message(reader)).code == 200  # an accepted request still gets its response
            await wait_until(lambda: sidecar.server.listener.reserve.is_open)
            assert (await send_request(sidecar.port, request_message("order", "after"))).code == 200
            writer.close()

    run(scenario())


def test_rejected_connection_receives_reason_after_sending_request(tmp_path):
    async def scenario():
        fake = await FakePeer(respond_ok).start()
        async with make_sidecar(tmp_path, fake) as sidecar:
            sidecar.server.change_limits(1024, AddressLimits(connections=1))
            _, first = await connect(sidecar.port, "127.9.0.1")
            await wait_until(lambda: sidecar.server.clients.open_connections)
            reader, writer = await connect(sidecar.port, "127.9.0.1")
            writer.write(request_message("order", "no"))
            response = await read_message(reader)
            assert response.code == 429
            assert response.headers["retry-after"] == "1"
            other, other_writer = await connect(sidecar.port, "127.9.0.2")
            other_writer.write(request_message("order", "yes"))
            assert (await read_message(other)).code == 200
            assert [request.headers["x-request-id"] for request in fake.received] == ["yes"]
            for open_writer in (first, writer, other_writer):
                open_writer.close()

    run(scenario())


def test_request_beyond_its_address_limit_is_rejected_at_once_and_can_be_retried(tmp_path):
    async def scenario():
        gate, handler = gated_handler()
        fake = await FakePeer(handler).start()
        async with make_sidecar(tmp_path, fake) as sidecar:
            sidecar.server.change_limits(1024, AddressLimits(open_requests=2))
            streams = [await connect(sidecar.port) for _ in range(3)]
            for number in range(2):
                streams[number][1].write(request_message("order", f"o{number}"))
            await wait_until(lambda: len(fake.received) == 2)
            streams[2][1].write(request_message("order", "over"))
            response = await read_message(streams[2][0])
            assert response.code == 429
            assert float(response.headers["retry-after"]) > 0
            gate.set()
            assert [(await read_message(reader)).code for reader, _ in streams[:2]] == [200, 200]
            streams[2][1].write(request_message("order", "retry"))
            assert (await read_message(streams[2][0])).code == 200
            for _, writer in streams:
                writer.close()
            await wait_until(lambda: not sidecar.server.clients.open_connections)
            assert not sidecar.server.clients.admission.addresses.active

    run(scenario())


def test_unfinished_messages_of_one_address_are_limited_together(tmp_path):
    async def scenario():
        fake = await FakePeer(respond_ok).start()
        async with make_sidecar(tmp_path, fake) as sidecar:
            sidecar.server.change_limits(1024, AddressLimits(unfinished_bytes=40_000))
            message = request_message("order", "a", "3000m", b"x" * 30_000)
            partial = await connect(sidecar.port)
            partial[1].write(message[:-1])
            address = await asyncio.wait_for(_client_address(sidecar), 5.0)
            await wait_until(lambda: address.unfinished_bytes > 29_000)
            assert (
                await send_request(sidecar.port, request_message("order", "b", "3000m", b"x" * 30_000))
            ).code == 429
            partial[1].write(message[-1:])
            assert (await read_message(partial[0])).code == 200
            assert address.unfinished_bytes == 0
            assert (
                await send_request(sidecar.port, request_message("order", "c", "3000m", b"x" * 30_000))
            ).code == 200
            partial[1].close()
            await wait_until(lambda: not sidecar.server.clients.open_connections)
            assert not sidecar.server.memory.reserved_bytes

    async def _client_address(sidecar):
        await wait_until(lambda: sidecar.server.clients.open_connections)
        (client,) = sidecar.server.clients.open_connections
        return client.address

    run(scenario())


def test_descriptor_is_reserved_when_request_is_accepted(tmp_path):
    """The descriptor limit is reached between requests, never in the middle of one."""

    async def scenario():
        gate, handler = gated_handler()
        fake = await FakePeer(handler).start()
        async with make_sidecar(tmp_path, fake, limits={"sockets": 1}) as sidecar:
            budget = sidecar.server.budget
            assert (budget.clients, budget.upstreams.limit) == (4, 4)
            budget.upstreams.limit = 2
            streams = [await connect(sidecar.port) for _ in range(4)]
            for number, (_, writer) in enumerate(streams):
                writer.write(request_message("order", f"o{number}"))
            tasks = [asyncio.create_task(read_message(reader)) for reader, _ in streams]
            await wait_until(lambda: sum(task.done() for task in tasks) == 2)
            responses = [task.result() for task in tasks if task.done()]
            assert [response.code for response in responses] == [503, 503]
            assert all(float(response.headers["retry-after"]) > 0 for response in responses)
            await wait_until(lambda: len(fake.received) == 2)
            assert budget.reservations == budget.upstreams.in_use == 2
            gate.set()
            codes = sorted([(await task).code for task in tasks])
            assert codes == [200, 200, 503, 503]
            await wait_until(lambda: budget.reservations == 0)
            for _, writer in streams:
                writer.close()

    run(scenario())


@pytest.mark.parametrize(("failures", "code"), [(1, 200), (5, 200), (math.inf, 503)])
def test_attempt_without_descriptor_waits_and_is_rejected_if_none_is_released(
    tmp_path, monkeypatch, failures, code
):
    """EMFILE between a request and its attempt: the request waits, or is rejected without being executed."""

    async def scenario():
        fake = await FakePeer(respond_ok).start()
        async with make_sidecar(tmp_path, fake) as sidecar:
            failures_left = [failures]
            real_socket = socket.socket

            def failing_socket(*arguments):
                if failures_left[0]:
                    failures_left[0] -= 1
                    raise OSError(errno.EMFILE, "Too many open files")
                return real_socket(*arguments)

            reader, writer = await connect(sidecar.port)
            monkeypatch.setattr(socket, "socket", failing_socket)
            writer.write(request_message("order", "one", "3000m", b"x"))
            response = await read_message(reader)
            monkeypatch.setattr(socket, "socket", real_socket)
            assert response.code == code
            assert len(fake.received) == (code == 200)
            assert code == 200 or float(response.headers["retry-after"]) > 0
            assert not sidecar.server.budget.reservations
            writer.close()

    run(scenario())


def test_reload_without_descriptor_keeps_configuration(tmp_path, monkeypatch):
    async def scenario():
        fake = await FakePeer(respond_ok).start()
        async with make_sidecar(tmp_path, fake) as sidecar:
            before = sidecar.server.pool.discovery.address

            def failing_open(*_, **__):
                raise OSError(errno.EMFILE, "Too many open files")

            monkeypatch.setattr(configuration, "open", failing_open, raising=False)
            sidecar.reload()
            assert sidecar.server.pool.discovery.address == before
            assert (await send_request(sidecar.port, request_message("order", "a"))).code == 200

    run(scenario())


def test_lowered_limit_while_running_keeps_open_requests(tmp_path):
    async def scenario():
        gate, handler = gated_handler()
        fake = await FakePeer(handler).start()
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
            gate.set()
            assert [(await read_message(reader)).code for reader, _ in busy] == [200] * 10
            for _, writer in idle + busy:
                writer.close()

    run(scenario())


def test_system_descriptor_limit_is_read_with_configuration(tmp_path, monkeypatch):
    path = tmp_path / "c"
    path.write_text(json.dumps(config(list_update(1), limits={"sockets": 900})))
    monkeypatch.setattr(configuration.resource, "getrlimit", lambda _: (300, 4096))
    assert configuration.read_config(str(path)).max_descriptors == 300
    monkeypatch.setattr(configuration.resource, "getrlimit", lambda _: (resource.RLIM_INFINITY,) * 2)
    assert configuration.read_config(str(path)).max_descriptors == 900
