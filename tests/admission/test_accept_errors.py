"""The accept edge when system calls fail for a moment: nobody is reset for it, and nothing spins."""

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

# accept(2): those of the call, and those of the network that come through it.
NAMES = "ECONNABORTED EINTR EMFILE ENFILE ENOBUFS ENOMEM EPERM EPROTO ENETDOWN ENOPROTOOPT EHOSTDOWN ENONET"
ACCEPT = [*NAMES.split(), "EHOSTUNREACH", "EOPNOTSUPP", "ENETUNREACH"]
GONE = ["EINVAL", "ENOTCONN", "ENOBUFS", "ENOMEM", "ECONNRESET", "EPIPE", "ETIMEDOUT", "EHOSTUNREACH"]


def faulty(sidecar):
    """The sidecar's listener on a socket that can fail: its faults."""
    system = FaultySystem()
    sidecar.server.listener.close()
    sock = system.wrap(socket.create_server((HOST, 0), backlog=64))
    _, sidecar.port = sidecar.server.listen(sock).address
    return system.faults


def connected(port, *data):
    """Clients that the system has let in, with what they sent, before the loop has its next turn."""
    socks = [socket.create_connection((HOST, port), timeout=WAIT_TIMEOUT_S) for _ in data]
    for sock, one in zip(socks, data, strict=True):
        sock.sendall(one)
    return socks


def read_all(sock):
    found = b""
    with sock:
        while data := sock.recv(65536):
            found += data
    return found


def whole(*socks):
    """What each of the clients reads to the end, as they close at last."""
    return asyncio.gather(*(asyncio.to_thread(read_all, sock) for sock in socks))


@pytest.mark.parametrize("ends", [False, True], ids=["runs", "ends"])
@pytest.mark.parametrize("error", ACCEPT)
@async_test
async def test_clients_that_wait_are_served_whatever_accept_meets(tmp_path, error, ends):
    """A transient error used to end the last turn of a closing listener, and the close reset who waited."""
    async with sidecar_with_endpoint(tmp_path, respond_ok) as (sidecar, fake):
        sidecar_server = sidecar.server
        faults = faulty(sidecar).add("accept", getattr(errno, error), duration_s=0.12)
        socks = connected(
            sidecar.port,
            *(request_message("order", f"id{n}", "3000m", b"", "Connection: close") for n in "ab"),
        )
        if ends:
            sidecar_server.drain()
            sidecar_server.shutdown.stop_accepting()
        answers = await whole(*socks)
        assert [answer[:13] for answer in answers] == [b"HTTP/1.1 200 "] * 2
        # A loop that spins would have been there thousands of times.
        assert 0 < faults.counts["accept", errno.errorcode[getattr(errno, error)]] <= 6 * 16
        await wait_until(lambda: not sidecar_server.clients.all and (sidecar_server.listener is None) == ends)
    assert len(fake.received) == 2


@async_test
async def test_a_listener_that_can_not_accept_until_its_timeout_closes(tmp_path):
    async with sidecar_with_endpoint(tmp_path, respond_ok) as (sidecar, _fake):
        sidecar_server = sidecar.server
        faulty(sidecar).add("accept", errno.EMFILE)
        (sock,) = connected(sidecar.port, b"")
        sidecar_server.drain()
        sidecar_server.shutdown.answer_at = sidecar_server.monotonic() + 0.2
        sidecar_server.shutdown.stop_accepting()
        sidecar_server.shutdown.stop_requests()
        assert sidecar_server.listener is not None
        async with asyncio.timeout(WAIT_TIMEOUT_S):
            await sidecar_server.stopped
        assert sidecar_server.listener is None
        sock.close()


# Refusals


async def with_one_connection_allowed(tmp_path, play):
    """`play(sidecar, faults)` while one client of an address holds the one connection that it may have."""
    fake = await FakePeer(respond_ok).start()
    async with Sidecar(tmp_path / "c", config(list_update(1, endpoint_entry("s1", fake.address)))) as sidecar:
        faults = faulty(sidecar)
        sidecar.server.change_limits(1024, AddressLimits(connections=1))
        (first,) = connected(sidecar.port, b"")
        await wait_until(lambda: sidecar.server.clients.all)
        await play(sidecar, faults)
        await wait_until(lambda: not sidecar.server.listener.rejections)
        first.close()
        await wait_until(lambda: not sidecar.server.clients.all)
        assert not sidecar.server.clients.admission.addresses.active


@pytest.mark.parametrize("part", [1, 7, 100])
def test_a_rejection_that_is_sent_in_parts_arrives_whole(tmp_path, part):
    """A short send cut it, and nothing told the client that more was meant."""

    async def play(sidecar, faults):
        faults.add("send", errno.EAGAIN, fault_count=1).add("send", max_bytes=part, fault_count=3).add(
            "send", errno.EINTR, fault_count=1
        )
        (sock,) = connected(sidecar.port, request_message("order", "ab"))
        (answer,) = await whole(sock)
        head, _, body = answer.partition(b"\r\n\r\n")
        assert head.startswith(b"HTTP/1.1 429 ")
        assert b"Content-Length: %d" % len(body) in head
        assert body

    run_on_asyncio_loop(with_one_connection_allowed(tmp_path, play))


def test_bytes_that_cross_a_rejection_do_not_reset_it(tmp_path, monkeypatch):
    """Nobody read on behind it: what came after it met a reset, and the answer went with it."""
    monkeypatch.setattr(rejected_connection, "LINGER_S", WAIT_TIMEOUT_S)

    async def play(sidecar, _faults):
        (sock,) = connected(sidecar.port, b"")
        assert (await asyncio.to_thread(sock.recv, 5)) == b"HTTP/"
        # into a socket that is to be closed
        sock.sendall(request_message("order", "ab", "3000m", b"x" * 30_000))
        await asyncio.sleep(0.05)
        sock.sendall(b"x")  # fails if the first bytes were answered with a reset
        (rest,) = await whole(sock)
        assert b"429 Too Many" in rest

    run_on_asyncio_loop(with_one_connection_allowed(tmp_path, play))


@pytest.mark.parametrize("error", GONE)
@pytest.mark.parametrize("call", ["send", "shutdown", "recv"])
def test_a_rejected_client_that_was_reset_meanwhile_leaves_nothing_behind(tmp_path, call, error):
    async def play(sidecar, faults):
        files = len(sidecar.server.clients.all)
        faults.add(call, getattr(errno, error))
        (sock,) = connected(sidecar.port, request_message("order", "ab"))
        await wait_until(lambda: faults.counts[call, error])
        await wait_until(lambda: not sidecar.server.listener.rejections)
        assert len(sidecar.server.clients.all) == files
        faults.clear()
        sock.close()

    run_on_asyncio_loop(with_one_connection_allowed(tmp_path, play))


def test_rejected_clients_that_stay_hold_few_descriptors_for_a_bounded_time(tmp_path):
    async def play(sidecar, _faults):
        socks = connected(sidecar.port, *[b""] * 40)
        max_open = 0
        for sock in socks:
            assert await asyncio.to_thread(sock.recv, 65536)
            max_open = max(max_open, len(sidecar.server.listener.rejections))
        assert 0 < max_open <= 8
        began = time.monotonic()
        await wait_until(lambda: not sidecar.server.listener.rejections)
        assert time.monotonic() - began < 1.0
        for sock in socks:
            sock.close()

    run_on_asyncio_loop(with_one_connection_allowed(tmp_path, play))


def test_each_client_rejected_by_the_reserve_descriptor_receives_the_whole_response(tmp_path):
    """More of them than may linger, each with its request sent: none meets a reset."""

    async def play(sidecar, faults):
        sidecar.server.change_limits(1024, AddressLimits())
        for connection in sidecar.server.clients.all.values():
            sidecar.server.clients.admission.remove(connection.client)  # none may be evicted
        faults.add("accept", errno.EMFILE, fault_count=1)
        socks = connected(sidecar.port, *(request_message("order", f"id{n}") for n in range(16)))
        answers = await whole(*socks)
        assert {answer[:13] for answer in answers} == {b"HTTP/1.1 503 "}
        assert all(answer.endswith(b"refused: too many connections\n") for answer in answers)
        assert sidecar.server.listener.reserve.is_open

    run_on_asyncio_loop(with_one_connection_allowed(tmp_path, play))


# Sockets that were reset between two calls


@pytest.mark.parametrize("error", GONE)
@pytest.mark.parametrize("call", ["setsockopt", "getsockname", "getpeername", "shutdown"])
def test_a_client_that_was_reset_meanwhile_is_forgotten_and_nothing_escapes(tmp_path, caplog, call, error):
    async def play():
        loop, escaped = asyncio.get_running_loop(), []
        loop.set_exception_handler(lambda _, context: escaped.append(context))
        async with sidecar_with_endpoint(tmp_path, respond_ok) as (sidecar, _fake):
            sidecar_server = sidecar.server
            faults = faulty(sidecar).add(call, getattr(errno, error))
            socks = connected(
                sidecar.port,
                *(request_message("order", name, "3000m", b"", "Connection: close") for name in "ab"),
            )
            answers = await whole(*socks)
            assert all(answer.startswith((b"HTTP/1.1 200 ", b"HTTP/1.1 503 ")) for answer in answers)
            await wait_until(lambda: not sidecar_server.clients.all)
            faults.clear()
            gc.collect()  # asyncio leaves a transport that could not be made to the collector
            assert (await send_request(sidecar.port, request_message("order", "cd"))).code == 200
            await wait_until(lambda: not sidecar_server.clients.all)
            assert not sidecar_server.clients.admission.addresses.active
            assert not sidecar_server.pool.pending
            assert not sidecar_server.clients.admission.count
            assert not escaped
            assert "Traceback" not in caplog.text

    run_on_asyncio_loop(play())


@pytest.mark.parametrize(
    "sent",
    [b"", request_message("order", "ab"), request_message("order", "ab")[:-9]],
    ids=["-", "all", "half"],
)
@async_test
async def test_clients_that_are_reset_before_they_are_accepted_leave_nothing_behind(tmp_path, sent):
    """As the system does it: nothing is scripted here."""
    loop, escaped = asyncio.get_running_loop(), []
    loop.set_exception_handler(lambda _, context: escaped.append(context))
    async with sidecar_with_endpoint(tmp_path, respond_ok) as (sidecar, fake):
        sidecar_server = sidecar.server
        for sock in connected(sidecar.port, *[sent] * 8):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            sock.close()
        assert (await send_request(sidecar.port, request_message("order", "cd"))).code == 200
        await wait_until(lambda: not sidecar_server.clients.all)
        assert not sidecar_server.clients.admission.count
        assert not sidecar_server.pool.pending
        assert not escaped
    assert [got.headers["x-request-id"] for got in fake.received] == ["cd"]
