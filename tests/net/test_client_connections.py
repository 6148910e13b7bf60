"""Client connections of a sidecar: framing, invalid input, slow readers and limits."""

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
    wait_until_reusable,
)

from dykefold.admission import controller, message_timeouts
from dykefold.admission.budget import DescriptorBudget
from dykefold.net import request_ids
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
def test_invalid_input_gets_error_and_does_not_affect_other_connections(tmp_path, data, code):
    async def scenario():
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
            assert [request.headers["x-request-id"] for request in fake.received] == ["before"]
            await wait_until(lambda: not sidecar.server.clients.open_connections)
            assert sidecar.server.memory.reserved_bytes == 0
            assert sidecar.server.budget.upstreams.in_use == fake.connections

    run(scenario())


def test_requests_sent_byte_by_byte_or_pipelined_are_answered_in_order(tmp_path):
    async def scenario():
        fake = await FakePeer(respond_ok).start()
        async with Sidecar(
            tmp_path / "c", config(list_update(1, endpoint_entry("s1", fake.address)))
        ) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            for byte in request_message("order", "one", "3000m", b"1"):
                writer.write(bytes([byte]))
                await asyncio.sleep(0)
            assert (await read_message(reader)).body == b"served 1"
            pipelined = [request_message("order", f"id{n}", "3000m", b"%d" % n) for n in range(40)]
            writer.write(b"".join(pipelined) + raw(b"GET /nothing") + raw(b"GET /-/ready"))
            for n in range(40):
                assert (await read_message(reader)).body == b"served %d" % n
            assert (await read_message(reader)).code == 404
            assert (await read_message(reader)).code == 200
            writer.close()
        assert len(fake.received) == 41

    run(scenario())


def test_chunked_and_maximum_size_bodies_are_forwarded_completely(tmp_path):
    async def scenario():
        async def echo(message, reader, writer):
            writer.write(http_response(200, message.body))

        fake = await FakePeer(echo).start()
        async with Sidecar(
            tmp_path / "c", config(list_update(1, endpoint_entry("s1", fake.address)))
        ) as sidecar:
            chunked_body = b"3\r\nabc\r\n2\r\nde\r\n0\r\nX-Deadline: bad\r\n\r\n"
            data = raw(b"POST /order", ID + b"Transfer-Encoding: chunked\r\n", chunked_body)
            assert (await send_request(sidecar.port, data)).body == b"abcde"
            body = b"x" * request_parser.MAX_BUFFERED_BODY_BYTES
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            message = request_message("order", "big", "3000m", body, "Expect: 100-continue")
            writer.write(message[: -len(body)])
            assert (await reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100 ")
            writer.write(body)
            assert (await read_message(reader)).body == body
            writer.close()
        assert fake.received[1].body == body
        assert "transfer-encoding" not in fake.received[0].headers

    run(scenario())


def test_absolute_form_targets_and_http_1_0_requests_are_served(tmp_path):
    async def scenario():
        fake = await FakePeer(respond_ok).start()
        async with Sidecar(
            tmp_path / "c", config(list_update(1, endpoint_entry("s1", fake.address)))
        ) as sidecar:
            assert (await send_request(sidecar.port, raw(b"GET http://origin.svc/lookup/x?y=1"))).code == 200
            response = await send_request(sidecar.port, b"GET /lookup HTTP/1.0\r\nX-Request-Id: cd\r\n\r\n")
            assert response.code == 200
            assert response.headers["connection"] == "close"

    run(scenario())


def test_client_that_stops_reading_is_disconnected_before_responses_exhaust_memory(tmp_path, monkeypatch):
    """Responses that a client does not read must not exhaust the memory."""
    monkeypatch.setattr(response_writer, "MAX_STALL_S", 0.2)

    async def scenario():
        async def respond_with_large_body(message, reader, writer):
            writer.write(http_response(200, b"x" * 60_000))

        fake = await FakePeer(respond_with_large_body).start()
        async with Sidecar(
            tmp_path / "c", config(list_update(1, endpoint_entry("s1", fake.address)))
        ) as sidecar:
            _, writer = await asyncio.open_connection(HOST, sidecar.port, limit=1024)
            with contextlib.suppress(OSError):
                for n in range(2000):
                    writer.write(request_message("lookup", f"id{n}"))
                    await writer.drain()
            await wait_until(lambda: not sidecar.server.clients.open_connections)
            assert len(fake.received) < 1000
            writer.transport.abort()
            assert (await send_request(sidecar.port, request_message("lookup", "other"))).code == 200

    run(scenario())


def test_client_deadline_is_limited_to_deadline_of_its_class(tmp_path):
    async def scenario():
        fake = await FakePeer(respond_ok).start()
        async with Sidecar(
            tmp_path / "c", config(list_update(1, endpoint_entry("s1", fake.address)))
        ) as sidecar:
            assert (
                await send_request(sidecar.port, request_message("lookup", "ab", "999999999999m"))
            ).code == 200
        assert int(fake.received[0].headers["x-deadline"].removesuffix("m")) <= 4000

    run(scenario())


def test_request_bodies_share_one_memory_limit(tmp_path, monkeypatch):
    monkeypatch.setattr(MemoryBudget, "MIN_BYTES", 3000)
    monkeypatch.setattr(MemoryBudget, "MAX_BYTES", 3000)

    async def scenario():
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
            await wait_until(lambda: not sidecar.server.clients.open_connections)
            assert sidecar.server.memory.reserved_bytes == 0

    run(scenario())


def test_requests_beyond_open_request_limit_are_rejected(tmp_path):
    async def scenario():
        fake = await FakePeer(respond_ok).start()
        data = config(list_update(1, endpoint_entry("s1", fake.address)))
        data["settings"]["ceilings"]["max-open"] = 0
        async with Sidecar(tmp_path / "c", data) as sidecar:
            assert (await send_request(sidecar.port, request_message("order", "ab"))).code == 503
        assert not fake.received

    run(scenario())


def test_idle_clients_are_closed_at_connection_limit(tmp_path):
    async def scenario():
        fake = await FakePeer(respond_ok).start()
        data = config(list_update(1, endpoint_entry("s1", fake.address)), limits={"sockets": 80})
        async with Sidecar(tmp_path / "c", data) as sidecar:
            idle = [await asyncio.open_connection(HOST, sidecar.port) for _ in range(30)]
            assert (await send_request(sidecar.port, request_message("order", "ab"))).code == 200
            assert len(sidecar.server.clients.open_connections) <= sidecar.server.budget.clients + 2
            assert await idle[0][0].read() == b""
            for _, writer in idle:
                writer.close()

    run(scenario())


def test_graceful_shutdown_completes_responses_that_are_being_read(tmp_path, monkeypatch):
    """A client that is still reading its responses is not idle when a shutdown closes idle clients."""
    monkeypatch.setattr(response_writer, "MAX_STALL_S", 60.0)

    async def scenario():
        async def respond_with_large_body(message, reader, writer):
            writer.write(http_response(200, b"x" * 60_000))

        fake = await FakePeer(respond_with_large_body).start()
        async with Sidecar(
            tmp_path / "c", config(list_update(1, endpoint_entry("s1", fake.address)))
        ) as sidecar:
            loop = asyncio.get_running_loop()
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
            sock.setblocking(False)
            await loop.sock_connect(sock, (HOST, sidecar.port))
            await wait_until(lambda: sidecar.server.clients.open_connections)
            (client,) = sidecar.server.clients.open_connections.values()
            sent = 0
            while not client.writer.unread:  # until the kernel buffers are full
                await loop.sock_sendall(sock, request_message("lookup", f"id{sent}"))
                sent += 1
                await wait_until(lambda: len(fake.received) == sent and client.current is None)  # noqa: B023
            sidecar.server.draining = True
            sidecar.server.shutdown.stop_requests()
            received = bytearray()
            while data := await loop.sock_recv(sock, 65536):
                received += data
            while received:
                head, _, received = received.partition(b"\r\n\r\n")
                size = int(re.search(rb"Content-Length: (\d+)", head)[1])
                assert len(received) >= size  # each response is complete
                del received[:size]
                sent -= 1
            assert sent == 0
            sock.close()

    run(scenario())


def test_datagrams_are_accepted_from_known_peers_only():
    async def scenario():
        loop = asyncio.get_running_loop()
        datagrams = []

        async def open_peer(index, peers):
            peer = PeerChannel(index, peers, None, lambda number, data: datagrams.append((number, data)))
            transport, _ = await loop.create_datagram_endpoint(lambda: peer, local_addr=(HOST, 0))
            return peer, transport.get_extra_info("sockname")

        known_peer, known_address = await open_peer(1, [])
        unknown_peer, _ = await open_peer(1, [])
        receiver, receiver_address = await open_peer(0, [(HOST, 9), known_address])
        known_peer.peers = unknown_peer.peers = [receiver_address]
        unknown_peer.send(b"strange", 0)
        known_peer.transport.sendto(b"x" * 257, receiver_address)
        known_peer.send(b"y" * 257, 0)
        known_peer.send(b"nobody", 5)
        known_peer.send(b"z" * 256, 0)
        await wait_until(lambda: datagrams)
        assert datagrams == [(1, b"z" * 256)]
        for peer in (known_peer, unknown_peer, receiver):
            peer.transport.close()

    run(scenario())


def test_client_quota_and_memory_follow_configured_limits():
    for sockets in (256, 384, 1024):
        budget = DescriptorBudget(sockets)
        # `with_requests` is the maximum number of client connections on which a request has been sent.
        assert budget.clients > budget.with_requests == sockets // 3
        assert budget.upstreams.limit > sockets / 3
    assert MemoryBudget(32 * MB).capacity_bytes <= 4 * MB
    assert MemoryBudget(192 * MB).capacity_bytes == MemoryBudget.MAX_BYTES


def test_silent_clients_are_closed_first_and_leave_descriptors_to_attempts(tmp_path):
    """Silent clients used every descriptor, so that pooled connections to endpoints were closed for them."""

    async def scenario():
        fake = await FakePeer(respond_ok).start()
        data = config(list_update(1, endpoint_entry("s1", fake.address)), limits={"sockets": 80})
        async with Sidecar(tmp_path / "c", data) as sidecar:
            active = [await asyncio.open_connection(HOST, sidecar.port) for _ in range(8)]
            for number in range(4):
                for client_number, (reader, writer) in enumerate(active):
                    await wait_until_reusable()
                    writer.write(request_message("lookup", f"id{number}-{client_number}"))
                    assert (await read_message(reader)).code == 200
                silent = [await asyncio.open_connection(HOST, sidecar.port) for _ in range(60)]
                await wait_until(
                    lambda: len(sidecar.server.clients.open_connections) == sidecar.server.budget.clients
                )
                for _, writer in silent:
                    writer.close()
                await wait_until(lambda: len(sidecar.server.clients.open_connections) == len(active))
            assert fake.connections == 1
            assert not sidecar.server.budget.upstreams.full
            for _, writer in active:
                writer.close()

    run(scenario())


def test_clients_with_incomplete_messages_get_timeout_response_and_are_closed(tmp_path, monkeypatch):
    monkeypatch.setattr(message_timeouts, "MAX_HEAD_S", 0.3)
    monkeypatch.setattr(controller, "MAX_IDLE_S", 60.0)

    async def scenario():
        async def respond_when_allowed(message, reader, writer):
            await response_allowed.wait()
            writer.write(http_response(200, b"served"))

        response_allowed = asyncio.Event()
        fake = await FakePeer(respond_when_allowed).start()
        async with Sidecar(
            tmp_path / "c", config(list_update(1, endpoint_entry("s1", fake.address)))
        ) as sidecar:
            pending_reader, pending_writer = await asyncio.open_connection(HOST, sidecar.port)
            pending_writer.write(request_message("order", "pending") + b"POST /order HTTP/1.1\r\nX-Half: ")
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            assert await reader.read() == b""  # it sent nothing
            writer.close()
            for incomplete in (
                b"G",
                request_message("lookup", "a")[:-2],
                request_message("order", "b", "900m", b"body")[:-1],
            ):
                assert (await send_request(sidecar.port, incomplete)).code == 408
            response_allowed.set()  # the accepted request is still answered
            assert (await read_message(pending_reader)).code == 200
            assert (await read_message(pending_reader)).code == 408
            pending_writer.close()
            await wait_until(lambda: not sidecar.server.clients.open_connections)
            assert not sidecar.server.memory.reserved_bytes
            assert len(fake.received) == 1

    run(scenario())


def test_clients_idle_after_one_request_are_closed(tmp_path, monkeypatch):
    monkeypatch.setattr(controller, "MAX_IDLE_S", 0.2)

    async def scenario():
        fake = await FakePeer(respond_ok).start()
        async with Sidecar(
            tmp_path / "c", config(list_update(1, endpoint_entry("s1", fake.address)))
        ) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            writer.write(request_message("lookup", "once"))
            assert (await read_message(reader)).code == 200
            assert await reader.read() == b""
            writer.close()
            await wait_until(lambda: not sidecar.server.clients.open_connections)
            assert not sidecar.server.clients.admission.count
            assert not sidecar.server.clients.admission.message_timeouts.head_timeouts

    run(scenario())


def test_oversized_body_is_rejected_after_headers_and_discarded_to_its_end(tmp_path):
    """A close with unread input would reset the connection before the client reads the response."""

    async def scenario():
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

    run(scenario())


def test_request_with_pending_or_recent_id_is_not_forwarded(tmp_path):
    """A duplicate is rejected, and the first request is not affected by it."""

    async def scenario():
        async def respond_when_allowed(message, reader, writer):
            await response_allowed.wait()
            writer.write(http_response(200, b"served " + message.body))

        response_allowed = asyncio.Event()
        fake = await FakePeer(respond_when_allowed).start()
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
            response_allowed.set()
            assert (await first).body == b"served 1"
            assert (
                await send_request(sidecar.port, request_message("order", "same", "3000m", b"3"))
            ).code == 409
            assert len(fake.received) == 1
            assert not sidecar.server.memory.reserved_bytes

    run(scenario())


def test_number_of_remembered_request_ids_is_bounded(tmp_path, monkeypatch):
    monkeypatch.setattr(request_ids, "MAX_RECENT_IDS", 100)

    async def scenario():
        fake = await FakePeer(respond_ok).start()
        async with Sidecar(
            tmp_path / "c", config(list_update(1, endpoint_entry("s1", fake.address)))
        ) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            for number in range(1000):
                writer.write(request_message("lookup", f"id{number}"))
                await read_message(reader)
            writer.close()
            assert len(sidecar.server.request_ids.known) <= 102
            assert len(sidecar.server.request_ids.finished) <= 102
            assert not sidecar.server.pool.pending
            assert not sidecar.server.pool.attempts

    run(scenario())


CLOSE_CAUSES = {
    # cause: (whether the client sends a request, expected states without CLOSING)
    "client closes": (False, [Lifecycle.OPEN, Lifecycle.CLOSED]),
    "malformed request": (True, [Lifecycle.OPEN, Lifecycle.LINGERING, Lifecycle.CLOSED]),
}


@pytest.mark.parametrize("cause", CLOSE_CAUSES)
def test_closed_connection_has_passed_only_permitted_states(cause, tmp_path, monkeypatch):
    entered, enter = [], ConnectionLifecycle.enter

    def recording_enter(lifecycle, state):
        enter(lifecycle, state)
        entered.append(state)

    async def scenario():
        monkeypatch.setattr(ConnectionLifecycle, "enter", recording_enter)
        async with Sidecar(tmp_path / "c", config(list_update(1))) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            if sends_request:
                writer.write(b"this is no http\r\n\r\n")
                await reader.read()
            else:
                await wait_until(lambda: sidecar.server.clients.open_connections)
            writer.close()
            await wait_until(lambda: entered[-1:] == [Lifecycle.CLOSED])

    sends_request, expected_states = CLOSE_CAUSES[cause]
    run(scenario())
    assert [state for state in entered if state is not Lifecycle.CLOSING] == expected_states
    assert set(TRANSITIONS) == set(Lifecycle)


@pytest.mark.parametrize("state", Lifecycle)
def test_every_state_leads_to_closed_and_only_to_permitted_states(state):
    lifecycle = ConnectionLifecycle()
    lifecycle.state = state
    for next_state in Lifecycle:
        lifecycle.state = state
        if next_state is state or next_state in TRANSITIONS[state]:
            lifecycle.enter(next_state)
            assert lifecycle.state is next_state
        else:
            with pytest.raises(AssertionError):
                lifecycle.enter(next_state)
    assert state is Lifecycle.CLOSED or Lifecycle.CLOSED in TRANSITIONS[state]
