"""Temporary failures of system calls while accepting: no client is reset, and the loop does not spin."""

import asyncio
import errno
import gc
import socket
import time

import pytest
from faulty_system import FaultySystem, run_on_asyncio_loop
from net_helpers import (
    HOST,
    WAIT_TIMEOUT_S,
    FakePeer,
    Sidecar,
    async_test,
    config,
    endpoint_entry,
    list_update,
    request_message,
    respond_ok,
    send_request,
    sidecar_with_endpoint,
    wait_until,
)

from dykefold.admission import rejected_connection
from dykefold.admission.addresses import AddressLimits
from dykefold.net.upstream.abort import NO_LINGER

# Errors of accept(2): those of the call itself, and network errors that it passes on.
ERROR_NAMES = (
    "ECONNABORTED EINTR EMFILE ENFILE ENOBUFS ENOMEM EPERM EPROTO ENETDOWN ENOPROTOOPT EHOSTDOWN ENONET"
)
ACCEPT_ERRORS = [*ERROR_NAMES.split(), "EHOSTUNREACH", "EOPNOTSUPP", "ENETUNREACH"]
RESET_ERRORS = ["EINVAL", "ENOTCONN", "ENOBUFS", "ENOMEM", "ECONNRESET", "EPIPE", "ETIMEDOUT", "EHOSTUNREACH"]


def listen_with_faults(sidecar):
    """Make the sidecar listen on a faulty socket; return the faults of the socket."""
    system = FaultySystem()
    sidecar.server.listener.close()
    sock = system.wrap(socket.create_server((HOST, 0), backlog=64))
    _, sidecar.port = sidecar.server.listen(sock).address
    return system.faults


def connect_and_send(port, *data):
    """Connect clients and send their data, all before the event loop runs again."""
    socks = [socket.create_connection((HOST, port), timeout=WAIT_TIMEOUT_S) for _ in data]
    for sock, payload in zip(socks, data, strict=True):
        sock.sendall(payload)
    return socks


def read_all(sock):
    received = b""
    with sock:
        while data := sock.recv(65536):
            received += data
    return received


def read_responses(*socks):
    """Read from each client to the end of the stream; close the sockets."""
    return asyncio.gather(*(asyncio.to_thread(read_all, sock) for sock in socks))


@pytest.mark.parametrize("shuts_down", [False, True], ids=["serving", "shutting-down"])
@pytest.mark.parametrize("error", ACCEPT_ERRORS)
@async_test
async def test_waiting_clients_are_served_after_accept_errors(tmp_path, error, shuts_down):
    """A transient error ended the last accept round of a closing listener, and waiting clients were reset."""
    async with sidecar_with_endpoint(tmp_path, respond_ok) as (sidecar, fake):
        sidecar_server = sidecar.server
        faults = listen_with_faults(sidecar).add("accept", getattr(errno, error), duration_s=0.12)
        socks = connect_and_send(
            sidecar.port,
            *(request_message("order", f"id{n}", "3000m", b"", "Connection: close") for n in "ab"),
        )
        if shuts_down:
            sidecar_server.drain()
            sidecar_server.shutdown.stop_accepting()
        responses = await read_responses(*socks)
        assert [response[:13] for response in responses] == [b"HTTP/1.1 200 "] * 2
        # A spinning loop would have called accept thousands of times.
        assert 0 < faults.counts["accept", errno.errorcode[getattr(errno, error)]] <= 6 * 16
        await wait_until(
            lambda: (
                not sidecar_server.clients.open_connections
                and (sidecar_server.listener is None) == shuts_down
            )
        )
    assert len(fake.received) == 2


@async_test
async def test_listener_closes_after_timeout_when_accept_keeps_failing(tmp_path):
    async with sidecar_with_endpoint(tmp_path, respond_ok) as (sidecar, _fake):
        sidecar_server = sidecar.server
        listen_with_faults(sidecar).add("accept", errno.EMFILE)
        (sock,) = connect_and_send(sidecar.port, b"")
        sidecar_server.drain()
        sidecar_server.shutdown.answer_at_s = sidecar_server.monotonic() + 0.2
        sidecar_server.shutdown.stop_accepting()
        sidecar_server.shutdown.stop_requests()
        assert sidecar_server.listener is not None
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            await sidecar_server.stopped
        assert sidecar_server.listener is None
        sock.close()


# Rejections


async def with_one_connection_allowed(tmp_path, scenario):
    """Run `scenario(sidecar, faults)` while a client uses the only connection allowed for its address."""
    fake = await FakePeer(respond_ok).start()
    async with Sidecar(tmp_path / "c", config(list_update(1, endpoint_entry("s1", fake.address)))) as sidecar:
        faults = listen_with_faults(sidecar)
        sidecar.server.change_limits(1024, AddressLimits(connections=1))
        (first,) = connect_and_send(sidecar.port, b"")
        await wait_until(lambda: sidecar.server.clients.open_connections)
        await scenario(sidecar, faults)
        await wait_until(lambda: not sidecar.server.listener.rejections)
        first.close()
        await wait_until(lambda: not sidecar.server.clients.open_connections)
        assert not sidecar.server.clients.admission.addresses.active


@pytest.mark.parametrize("part_bytes", [1, 7, 100])
def test_rejection_sent_in_parts_arrives_complete(tmp_path, part_bytes):
    """A short send truncated the response, and the client could not tell that more should follow."""

    async def scenario(sidecar, faults):
        faults.add("send", errno.EAGAIN, fault_count=1).add("send", max_bytes=part_bytes, fault_count=3).add(
            "send", errno.EINTR, fault_count=1
        )
        (sock,) = connect_and_send(sidecar.port, request_message("order", "ab"))
        (response,) = await read_responses(sock)
        head, _, body = response.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 429 ")
        assert b"Content-Length: %d" % len(body) in head
        assert body

    run_on_asyncio_loop(with_one_connection_allowed(tmp_path, scenario))


def test_request_bytes_during_rejection_do_not_reset_response(tmp_path, monkeypatch):
    """Input was not read after a rejection, so later bytes caused a reset that discarded the response."""
    monkeypatch.setattr(rejected_connection, "LINGER_S", WAIT_TIMEOUT_S)

    async def scenario(sidecar, _faults):
        (sock,) = connect_and_send(sidecar.port, b"")
        assert (await asyncio.to_thread(sock.recv, 5)) == b"HTTP/"
        # arrives at a socket that is about to be closed
        sock.sendall(request_message("order", "ab", "3000m", b"x" * 30_000))
        await asyncio.sleep(0.05)
        sock.sendall(b"x")  # fails if the first bytes caused a reset
        (rest,) = await read_responses(sock)
        assert b"429 Too Many" in rest

    run_on_asyncio_loop(with_one_connection_allowed(tmp_path, scenario))


@pytest.mark.parametrize("error", RESET_ERRORS)
@pytest.mark.parametrize("call", ["send", "shutdown", "recv"])
def test_rejected_client_reset_during_call_leaves_no_state(tmp_path, call, error):
    async def scenario(sidecar, faults):
        client_count = len(sidecar.server.clients.open_connections)
        faults.add(call, getattr(errno, error))
        (sock,) = connect_and_send(sidecar.port, request_message("order", "ab"))
        await wait_until(lambda: faults.counts[call, error])
        await wait_until(lambda: not sidecar.server.listener.rejections)
        assert len(sidecar.server.clients.open_connections) == client_count
        faults.clear()
        sock.close()

    run_on_asyncio_loop(with_one_connection_allowed(tmp_path, scenario))


def test_lingering_rejected_clients_use_few_descriptors_for_bounded_time(tmp_path):
    async def scenario(sidecar, _faults):
        socks = connect_and_send(sidecar.port, *[b""] * 40)
        max_lingering = 0
        for sock in socks:
            assert await asyncio.to_thread(sock.recv, 65536)
            max_lingering = max(max_lingering, len(sidecar.server.listener.rejections))
        assert 0 < max_lingering <= 8
        started_at_s = time.monotonic()
        await wait_until(lambda: not sidecar.server.listener.rejections)
        assert time.monotonic() - started_at_s < 1.0
        for sock in socks:
            sock.close()

    run_on_asyncio_loop(with_one_connection_allowed(tmp_path, scenario))


def test_clients_rejected_by_reserve_descriptor_receive_complete_response(tmp_path):
    """More clients than may linger, each with its request sent: none is reset."""

    async def scenario(sidecar, faults):
        sidecar.server.change_limits(1024, AddressLimits())
        for connection in sidecar.server.clients.open_connections.values():
            sidecar.server.clients.admission.remove(connection.client)  # so that none may be evicted
        faults.add("accept", errno.EMFILE, fault_count=1)
        socks = connect_and_send(sidecar.port, *(request_message("order", f"id{n}") for n in range(16)))
        responses = await read_responses(*socks)
        assert {response[:13] for response in responses} == {b"HTTP/1.1 503 "}
        assert all(response.endswith(b"refused: too many connections\n") for response in responses)
        assert sidecar.server.listener.reserve.is_open

    run_on_asyncio_loop(with_one_connection_allowed(tmp_path, scenario))


# Sockets reset between two system calls


@pytest.mark.parametrize("error", RESET_ERRORS)
@pytest.mark.parametrize("call", ["setsockopt", "getsockname", "getpeername", "shutdown"])
def test_client_reset_during_setup_is_removed_without_unhandled_exception(tmp_path, caplog, call, error):
    async def scenario():
        loop, unhandled = asyncio.get_running_loop(), []
        loop.set_exception_handler(lambda _, context: unhandled.append(context))
        async with sidecar_with_endpoint(tmp_path, respond_ok) as (sidecar, _fake):
            sidecar_server = sidecar.server
            faults = listen_with_faults(sidecar).add(call, getattr(errno, error))
            socks = connect_and_send(
                sidecar.port,
                *(request_message("order", name, "3000m", b"", "Connection: close") for name in "ab"),
            )
            responses = await read_responses(*socks)
            assert all(response.startswith((b"HTTP/1.1 200 ", b"HTTP/1.1 503 ")) for response in responses)
            await wait_until(lambda: not sidecar_server.clients.open_connections)
            faults.clear()
            gc.collect()  # asyncio leaves a transport that failed to start to the garbage collector
            assert (await send_request(sidecar.port, request_message("order", "cd"))).code == 200
            await wait_until(lambda: not sidecar_server.clients.open_connections)
            assert not sidecar_server.clients.admission.addresses.active
            assert not sidecar_server.pool.pending
            assert not sidecar_server.clients.admission.count
            assert not unhandled
            assert "Traceback" not in caplog.text

    run_on_asyncio_loop(scenario())


@pytest.mark.parametrize(
    "data",
    [b"", request_message("order", "ab"), request_message("order", "ab")[:-9]],
    ids=["nothing", "complete-request", "partial-request"],
)
@async_test
async def test_clients_reset_before_accept_leave_no_state(tmp_path, data):
    """The resets are real: no fault is injected."""
    loop, unhandled = asyncio.get_running_loop(), []
    loop.set_exception_handler(lambda _, context: unhandled.append(context))
    async with sidecar_with_endpoint(tmp_path, respond_ok) as (sidecar, fake):
        sidecar_server = sidecar.server
        for sock in connect_and_send(sidecar.port, *[data] * 8):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            sock.close()
        assert (await send_request(sidecar.port, request_message("order", "cd"))).code == 200
        await wait_until(lambda: not sidecar_server.clients.open_connections)
        assert not sidecar_server.clients.admission.count
        assert not sidecar_server.pool.pending
        assert not unhandled
    assert [request.headers["x-request-id"] for request in fake.received] == ["cd"]
