"""The application's side: framing, bad input, slow readers; none of it disturbs another connection."""

import asyncio
import contextlib
import re
import socket

import pytest
from net_helpers import (
    HOST,
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

from dykefold.admission import controller, message_timeouts
from dykefold.admission.budget import DescriptorBudget
from dykefold.net import sidecar as sidecar_module
from dykefold.net.downstream import request_parser, response_writer
from dykefold.net.downstream.lifecycle import TRANSITIONS, ConnectionLifecycle, Lifecycle
from dykefold.net.memory_budget import MB, MemoryBudget
from dykefold.net.peers import PeerChannel

ID = b"X-Request-Id: ab\r\n"


def raw(head, headers=ID, body=b""):
    return head + b" HTTP/1.1\r\n" + headers + b"\r\n" + body


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (b"this is no http\r\n\r\n", 400),
        (b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03", 400),
        (raw(b"GET /nothing/here"), 404),
        (raw(b"GET /"), 404),
        (raw(b"GET /lookup", b""), 400),
        (raw(b"PUT /order"), 405),
        (raw(b"GET /lookup", ID + b"X-Deadline: soon\r\n"), 400),
        (raw(b"GET /lookup", ID + b"X-Deadline: -5m\r\n"), 400),
        (raw(b"GET /lookup", ID + b"X-Deadline: 5s\r\n"), 400),
        (raw(b"GET /lookup", ID + b"X-Deadline: nanm\r\n"), 400),
        (raw(b"GET /lookup", ID + b"X-Cost-Hint: much\r\n"), 400),
        (raw(b"POST /hold", ID + b"Content-Length: 0\r\n"), 400),
        (raw(b"POST /order", ID + b"Content-Length: x\r\n"), 400),
        (raw(b"POST /order", ID + b"Content-Length: 42000000\r\n"), 413),
        (raw(b"POST /order", ID + b"Content-Length: 99999999999999999999999\r\n"), 400),
        (raw(b"POST /order", ID + b"Transfer-Encoding: chunked\r\n", b"zz\r\n"), 400),
        (raw(b"GET /lookup", ID + b"Connection: Upgrade\r\nUpgrade: h2c\r\n"), 400),
        (raw(b"CONNECT lookup:80"), 400),
        (raw(b"GET /order"), 405),
        (raw(b"GET /lookup", ID + b"X-Request-Id: cd\r\n"), 400),
        (raw(b"POST /hold", ID + b"Idempotency-Key: a\r\nidempotency-key: b\r\nContent-Length: 0\r\n"), 400),
        (raw(b"POST /order", ID + b"Content-Length: 4\r\nContent-Length: 5\r\n", b"body"), 400),
        (raw(b"POST /order", ID + b"Content-Length: -4\r\n", b"body"), 400),
        (raw(b"POST /order", ID + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", b"0\r\n\r\n"), 400),
        (raw(b"POST /order", ID + b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", b"0\r\n\r\n"), 400),
        (raw(b"POST /order", ID + b"Transfer-Encoding: gzip, chunked\r\n", b"0\r\n\r\n"), 501),
        (b"GET /lookup HTTP/1.1\r\nX-Long: " + b"x" * 40_000, 431),
        (raw(b"GET /lookup", b"X-Many: y\r\n" * 4000), 431),
    ],
)
def test_bad_input_is_answered_and_disturbs_no_other_connection(tmp_path, data, code):
    async def play():
        fake = await FakePeer(respond_ok).start()
        async with Sidecar(
            tmp_path / "c", config(list_update(1, endpoint_entry("s1", fake.address)))
        ) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            writer.write(request_message("order", "before")[:-10])
            assert (await send_request(sidecar.port, data)).code == code
            writer.write(request_message("order", "before")[-10:])
            assert (await read_message(reader)).code == 200
            writer.close()
            assert [got.headers["x-request-id"] for got in fake.received] == ["before"]
            await wait_until(lambda: not sidecar.server.clients.all)
            assert sidecar.server.memory.reserved_bytes == 0
            assert sidecar.server.budget.upstreams.in_use == fake.connections

    run(play())


def test_requests_in_single_bytes_and_several_at_once_are_answered_in_order(tmp_path):
    async def play():
        fake = await FakePeer(respond_ok).start()
        async with Sidecar(
            tmp_path / "c", config(list_update(1, endpoint_entry("s1", fake.address)))
        ) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            for byte in request_message("order", "one", "3000m", b"1"):
                writer.write(bytes([byte]))
                await asyncio.sleep(0)
            assert (await read_message(reader)).body == b"served 1"
            many = [request_message("order", f"id{n}", "3000m", b"%d" % n) for n in range(40)]
            writer.write(b"".join(many) + raw(b"GET /nothing") + raw(b"GET /-/ready"))
            for n in range(40):
                assert (await read_message(reader)).body == b"served %d" % n
            assert (await read_message(reader)).code == 404
            assert (await read_message(reader)).code == 200
            writer.close()
        assert len(fake.received) == 41

    run(play())


def test_chunked_and_full_sized_bodies_go_on_whole(tmp_path):
    async def play():
        async def echo(message, reader, writer):
            writer.write(http_response(200, message.body))

        fake = await FakePeer(echo).start()
        async with Sidecar(
            tmp_path / "c", config(list_update(1, endpoint_entry("s1", fake.address)))
        ) as sidecar:
            chunks = b"3\r\nabc\r\n2\r\nde\r\n0\r\nX-Deadline: bad\r\n\r\n"
            data = raw(b"POST /order", ID + b"Transfer-Encoding: chunked\r\n", chunks)
            assert (await send_request(sidecar.port, data)).body == b"abcde"
            body = b"x" * request_parser.MAX_BUFFERED_BODY_BYTES
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            whole = request_message("order", "big", "3000m", body, "Expect: 100-continue")
            writer.write(whole[: -len(body)])
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100 ")
            writer.write(body)
            assert (await read_message(reader)).body == body
            writer.close()
        assert fake.received[1].body == body
        assert "transfer-encoding" not in fake.received[0].headers

    run(play())


def test_the_absolute_form_and_http_1_0_are_served(tmp_path):
    async def play():
        fake = await FakePeer(respond_ok).start()
        async with Sidecar(
            tmp_path / "c", config(list_update(1, endpoint_entry("s1", fake.address)))
        ) as sidecar:
            assert (await send_request(sidecar.port, raw(b"GET http://origin.svc/lookup/x?y=1"))).code == 200
            got = await send_request(sidecar.port, b"GET /lookup HTTP/1.0\r\nX-Request-Id: cd\r\n\r\n")
            assert got.code == 200
            assert got.headers["connection"] == "close"

    run(play())


def test_a_client_that_stops_reading_is_closed_and_its_memory_bounded(tmp_path, monkeypatch):
    """Answers that a client does not read must not fill the memory."""
    monkeypatch.setattr(response_writer, "MAX_STALL_S", 0.2)

    async def play():
        async def big(message, reader, writer):
            writer.write(http_response(200, b"x" * 60_000))

        fake = await FakePeer(big).start()
        async with Sidecar(
            tmp_path / "c", config(list_update(1, endpoint_entry("s1", fake.address)))
        ) as sidecar:
            _, writer = await asyncio.open_connection(HOST, sidecar.port, limit=1024)
            with contextlib.suppress(OSError):
                for n in range(2000):
                    writer.write(request_message("lookup", f"id{n}"))
                    await writer.drain()
            await wait_until(lambda: not sidecar.server.clients.all)
            assert len(fake.received) < 1000
            writer.transport.abort()
            assert (await send_request(sidecar.port, request_message("lookup", "other"))).code == 200

    run(play())


def test_a_client_waits_no_longer_than_its_class(tmp_path):
    async def play():
        fake = await FakePeer(respond_ok).start()
        async with Sidecar(
            tmp_path / "c", config(list_update(1, endpoint_entry("s1", fake.address)))
        ) as sidecar:
            assert (
                await send_request(sidecar.port, request_message("lookup", "ab", "999999999999m"))
            ).code == 200
        assert int(fake.received[0].headers["x-deadline"].removesuffix("m")) <= 4000

    run(play())


def test_bodies_are_bounded_all_together(tmp_path, monkeypatch):
    monkeypatch.setattr(MemoryBudget, "MIN_BYTES", 3000)
    monkeypatch.setattr(MemoryBudget, "MAX_BYTES", 3000)

    async def play():
        fake = await FakePeer(respond_ok).start()
        async with Sidecar(
            tmp_path / "c", config(list_update(1, endpoint_entry("s1", fake.address)))
        ) as sidecar:
            assert (
                await send_request(sidecar.port, request_message("order", "a", "900m", b"x" * 3001))
            ).code == 503
            assert (
                await send_request(sidecar.port, request_message("order", "b", "900m", b"x" * 1000))
            ).code == 200
            await wait_until(lambda: not sidecar.server.clients.all)
            assert sidecar.server.memory.reserved_bytes == 0

    run(play())


def test_more_open_requests_than_allowed_are_refused(tmp_path):
    async def play():
        fake = await FakePeer(respond_ok).start()
        data = config(list_update(1, endpoint_entry("s1", fake.address)))
        data["settings"]["ceilings"]["max-open"] = 0
        async with Sidecar(tmp_path / "c", data) as sidecar:
            assert (await send_request(sidecar.port, request_message("order", "ab"))).code == 503
        assert not fake.received

    run(play())


def test_at_the_connection_limit_idle_clients_are_closed(tmp_path):
    async def play():
        fake = await FakePeer(respond_ok).start()
        data = config(list_update(1, endpoint_entry("s1", fake.address)), limits={"sockets": 80})
        async with Sidecar(tmp_path / "c", data) as sidecar:
            idle = [await asyncio.open_connection(HOST, sidecar.port) for _ in range(30)]
            assert (await send_request(sidecar.port, request_message("order", "ab"))).code == 200
            assert len(sidecar.server.clients.all) <= sidecar.server.budget.clients + 2
            assert await idle[0][0].read() == b""
            for _, writer in idle:
                writer.close()

    run(play())


def test_a_graceful_shutdown_cuts_no_answer_that_is_being_read(tmp_path, monkeypatch):
    """A client that still reads its answer is not idle when idle clients are closed."""
    monkeypatch.setattr(response_writer, "MAX_STALL_S", 60.0)

    async def play():
        async def big(message, reader, writer):
            writer.write(http_response(200, b"x" * 60_000))

        fake = await FakePeer(big).start()
        async with Sidecar(
            tmp_path / "c", config(list_update(1, endpoint_entry("s1", fake.address)))
        ) as sidecar:
            loop = asyncio.get_running_loop()
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
            sock.setblocking(False)
            await loop.sock_connect(sock, (HOST, sidecar.port))
            await wait_until(lambda: sidecar.server.clients.all)
            (client,) = sidecar.server.clients.all.values()
            sent = 0
            while not client.writer.unread:  # until the kernel holds no more for it
                await loop.sock_sendall(sock, request_message("lookup", f"id{sent}"))
                sent += 1
                await wait_until(lambda: len(fake.received) == sent and client.current is None)  # noqa: B023
            sidecar.server.draining = True
            sidecar.server.shutdown.stop_requests()
            got = bytearray()
            while data := await loop.sock_recv(sock, 65536):
                got += data
            while got:
                head, _, got = got.partition(b"\r\n\r\n")
                size = int(re.search(rb"Content-Length: (\d+)", head)[1])
                assert len(got) >= size  # each answer is whole
                del got[:size]
                sent -= 1
            assert sent == 0
            sock.close()

    run(play())


def test_datagrams_are_accepted_from_known_peers_only():
    async def play():
        loop = asyncio.get_running_loop()
        heard = []

        async def open_peer(index, peers):
            peer = PeerChannel(index, peers, None, lambda number, data: heard.append((number, data)))
            transport, _ = await loop.create_datagram_endpoint(lambda: peer, local_addr=(HOST, 0))
            return peer, transport.get_extra_info("sockname")

        known, known_at = await open_peer(1, [])
        stranger, _ = await open_peer(1, [])
        me, me_at = await open_peer(0, [(HOST, 9), known_at])
        known.peers = stranger.peers = [me_at]
        stranger.send(b"strange", 0)
        known.transport.sendto(b"x" * 257, me_at)
        known.send(b"y" * 257, 0)
        known.send(b"nobody", 5)
        known.send(b"z" * 256, 0)
        await wait_until(lambda: heard)
        assert heard == [(1, b"z" * 256)]
        for peer in (known, stranger, me):
            peer.transport.close()

    run(play())


def test_the_client_quota_and_the_memory_follow_the_configuration():
    for sockets in (256, 384, 1024):
        budget = DescriptorBudget(sockets)
        assert budget.clients > budget.with_requests == sockets // 3  # what clients hold at most for requests
        assert budget.upstreams.limit > sockets / 3
    assert MemoryBudget(32 * MB).capacity_bytes <= 4 * MB
    assert MemoryBudget(192 * MB).capacity_bytes == MemoryBudget.MAX_BYTES


def test_silent_clients_are_closed_first_and_leave_descriptors_for_attempts(tmp_path):
    """Silent clients once used every descriptor, and pooled connections were closed for them."""

    async def play():
        fake = await FakePeer(respond_ok).start()
        data = config(list_update(1, endpoint_entry("s1", fake.address)), limits={"sockets": 80})
        async with Sidecar(tmp_path / "c", data) as sidecar:
            usual = [await asyncio.open_connection(HOST, sidecar.port) for _ in range(8)]
            for number in range(4):
                for place, (reader, writer) in enumerate(usual):
                    writer.write(request_message("lookup", f"id{number}-{place}"))
                    assert (await read_message(reader)).code == 200
                flood = [await asyncio.open_connection(HOST, sidecar.port) for _ in range(60)]
                await wait_until(lambda: len(sidecar.server.clients.all) == sidecar.server.budget.clients)
                for _, writer in flood:
                    writer.close()
                await wait_until(lambda: len(sidecar.server.clients.all) == len(usual))
            assert fake.connections == 1
            assert not sidecar.server.budget.upstreams.full
            for _, writer in usual:
                writer.close()

    run(play())


def test_clients_that_never_end_a_message_are_answered_and_closed(tmp_path, monkeypatch):
    monkeypatch.setattr(message_timeouts, "MAX_HEAD_S", 0.3)
    monkeypatch.setattr(controller, "MAX_IDLE_S", 60.0)

    async def play():
        async def act(message, reader, writer):
            await go.wait()
            writer.write(http_response(200, b"served"))

        go = asyncio.Event()
        fake = await FakePeer(act).start()
        async with Sidecar(
            tmp_path / "c", config(list_update(1, endpoint_entry("s1", fake.address)))
        ) as sidecar:
            held_reader, held_writer = await asyncio.open_connection(HOST, sidecar.port)
            held_writer.write(request_message("order", "held") + b"POST /order HTTP/1.1\r\nX-Half: ")
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            assert await reader.read() == b""  # it said nothing
            writer.close()
            for half in (
                b"G",
                request_message("lookup", "a")[:-2],
                request_message("order", "b", "900m", b"body")[:-1],
            ):
                assert (await send_request(sidecar.port, half)).code == 408
            go.set()  # the accepted request is answered all the same
            assert (await read_message(held_reader)).code == 200
            assert (await read_message(held_reader)).code == 408
            held_writer.close()
            await wait_until(lambda: not sidecar.server.clients.all)
            assert not sidecar.server.memory.reserved_bytes
            assert len(fake.received) == 1

    run(play())


def test_clients_that_stay_idle_after_one_request_are_closed(tmp_path, monkeypatch):
    monkeypatch.setattr(controller, "MAX_IDLE_S", 0.2)

    async def play():
        fake = await FakePeer(respond_ok).start()
        async with Sidecar(
            tmp_path / "c", config(list_update(1, endpoint_entry("s1", fake.address)))
        ) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            writer.write(request_message("lookup", "once"))
            assert (await read_message(reader)).code == 200
            assert await reader.read() == b""
            writer.close()
            await wait_until(lambda: not sidecar.server.clients.all)
            assert not sidecar.server.clients.admission.count
            assert not sidecar.server.clients.admission.message_timeouts.within_head_time

    run(play())


def test_a_body_of_many_megabytes_is_refused_at_its_head_and_read_to_the_end(tmp_path):
    """Closing with input unread would reset the connection before the client sees the answer."""

    async def play():
        fake = await FakePeer(respond_ok).start()
        async with Sidecar(
            tmp_path / "c", config(list_update(1, endpoint_entry("s1", fake.address)))
        ) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            writer.write(raw(b"POST /order", ID + b"Content-Length: 60000000\r\n"))
            for _ in range(60):
                writer.write(bytes(1_000_000))
                await writer.drain()
            assert (await read_message(reader)).code == 413
            assert await reader.read() == b""
            writer.close()
            assert not fake.received
            assert not sidecar.server.memory.reserved_bytes

    run(play())


def test_request_with_an_open_or_recent_id_is_not_forwarded(tmp_path):
    """A duplicate is rejected, and the first request is not affected by it."""

    async def play():
        async def act(message, reader, writer):
            await go.wait()
            writer.write(http_response(200, b"served " + message.body))

        go = asyncio.Event()
        fake = await FakePeer(act).start()
        async with Sidecar(
            tmp_path / "c", config(list_update(1, endpoint_entry("s1", fake.address)))
        ) as sidecar:
            first = asyncio.create_task(
                send_request(sidecar.port, request_message("order", "same", "3000m", b"1"))
            )
            await wait_until(lambda: fake.received)
            assert (
                await send_request(sidecar.port, request_message("order", "same", "3000m", b"2"))
            ).code == 409
            go.set()
            assert (await first).body == b"served 1"
            assert (
                await send_request(sidecar.port, request_message("order", "same", "3000m", b"3"))
            ).code == 409
            assert len(fake.received) == 1
            assert not sidecar.server.memory.reserved_bytes

    run(play())


def test_number_of_remembered_request_ids_is_bounded(tmp_path, monkeypatch):
    monkeypatch.setattr(sidecar_module, "MAX_RECENT_IDS", 100)

    async def play():
        fake = await FakePeer(respond_ok).start()
        async with Sidecar(
            tmp_path / "c", config(list_update(1, endpoint_entry("s1", fake.address)))
        ) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            for number in range(1000):
                writer.write(request_message("lookup", f"id{number}"))
                await read_message(reader)
            writer.close()
            assert len(sidecar.server.ids) <= 102
            assert len(sidecar.server.finished_ids) <= 102
            assert not sidecar.server.pool.pending
            assert not sidecar.server.pool.attempts

    run(play())


WAYS = {
    # what ends the connection: (does the client ask on, the states that it goes through)
    "the client closes": (False, [Lifecycle.OPEN, Lifecycle.CLOSED]),
    "an error that is answered": (True, [Lifecycle.OPEN, Lifecycle.LINGERING, Lifecycle.CLOSED]),
}


@pytest.mark.parametrize("way", WAYS)
def test_a_connection_goes_on_to_no_state_that_the_table_does_not_name(way, tmp_path, monkeypatch):
    seen, enter = [], ConnectionLifecycle.enter

    def noted(lifecycle, state):
        enter(lifecycle, state)
        seen.append(state)

    async def play():
        monkeypatch.setattr(ConnectionLifecycle, "enter", noted)
        async with Sidecar(tmp_path / "c", config(list_update(1))) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            if asks:
                writer.write(b"this is no http\r\n\r\n")
                await reader.read()
            else:
                await wait_until(lambda: sidecar.server.clients.all)
            writer.close()
            await wait_until(lambda: seen[-1:] == [Lifecycle.CLOSED])

    asks, states = WAYS[way]
    run(play())
    assert [state for state in seen if state is not Lifecycle.CLOSING] == states
    assert set(TRANSITIONS) == set(Lifecycle)


@pytest.mark.parametrize("state", Lifecycle)
def test_every_state_of_a_connection_can_be_left_to_closed_and_closed_never(state):
    lifecycle = ConnectionLifecycle()
    lifecycle.state = state
    for following in Lifecycle:
        lifecycle.state = state
        if following is state or following in TRANSITIONS[state]:
            lifecycle.enter(following)
            assert lifecycle.state is following
        else:
            with pytest.raises(AssertionError):
                lifecycle.enter(following)
    assert state is Lifecycle.CLOSED or Lifecycle.CLOSED in TRANSITIONS[state]
