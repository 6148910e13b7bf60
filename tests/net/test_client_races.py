"""Clients, servers and repeats, where two events cross: real connections, the bad order forced each time.

docs/design/crossings.md numbers the pairs. An order is forced by a peer that holds back, by a loop that
stands still while something happens, or by what is written in the turn in which something else ends.
"""

import asyncio
import contextlib
import json
import os
import socket
import time

import pytest
from net_helpers import (
    HOST,
    MS,
    WAIT_TIMEOUT_S,
    FakePeer,
    Sidecar,
    async_test,
    block_event_loop,
    config,
    endpoint_entry,
    http_response,
    list_update,
    read_message,
    request_message,
    reset_connection,
    respond_ok,
    send_request,
    sidecar_with_endpoint,
    wait_until,
)
from test_upstream_connections import full_backlog_listener, make_pool

from dykefold.admission import controller, request_gaps
from dykefold.balancer.events import Status
from dykefold.balancer.timers import OVERDUE
from dykefold.net.discovery.codec import parse_endpoint_update
from dykefold.net.downstream import connection as front_module
from dykefold.net.downstream.request_assembler import MAX_WAITING_REQUESTS
from dykefold.net.upstream import connection_pool as upstream
from dykefold.net.upstream.connection import MAX_STALL_S, UpstreamConnection
from dykefold.net.upstream.exchange import Exchange

STILL = 0.3  # seconds for which a loop stands still: more than a client's leave may go unheeded


def left(sidecar):
    """Whether the sidecar has no client any more, and owes no answer."""
    return not sidecar.server.clients.all and not sidecar.server.pool.pending


async def turn_away(message, reader, writer):
    writer.write(http_response(503, b"", "X-Not-Run: 1"))


def noted_strikes(pool, monkeypatch):
    """What the module strikes servers with from here on, which it then does not."""
    weights = []
    outliers = pool.balancer.outliers
    monkeypatch.setattr(outliers, "record_failure", lambda server, weight, share: weights.append(weight))
    return weights


def settings(data, **limits):
    data["settings"]["ceilings"].update(limits)
    return data


# Clients that leave


@async_test
async def test_a_client_that_left_while_it_was_not_read_is_sent_nothing_more(tmp_path):
    """Reading is paused behind many requests, so the end behind them stands unread."""

    async def act(message, reader, writer):
        await go.wait()
        await respond_ok(message, reader, writer)

    go = asyncio.Event()
    async with sidecar_with_endpoint(tmp_path, act) as (sidecar, fake):
        _, writer = await asyncio.open_connection(HOST, sidecar.port)
        writer.write(b"".join(request_message("lookup", f"id{n}") for n in range(2 * MAX_WAITING_REQUESTS)))
        await wait_until(lambda: fake.received)
        front = next(iter(sidecar.server.clients.all.values()))
        assert front.paused
        writer.close()
        await writer.wait_closed()
        go.set()
        await wait_until(lambda: left(sidecar))
    assert len(fake.received) == 1


@pytest.mark.parametrize("cancel", [True, False], ids=["may-cancel", "may-not"])
@async_test
async def test_an_attempt_whose_connection_comes_up_after_its_client_left_is_never_written(tmp_path, cancel):
    sock, fill = full_backlog_listener()
    address = f"{HOST}:{sock.getsockname()[1]}"
    data = settings(config(list_update(1, endpoint_entry("s1", address))), cancel=cancel)
    data["settings"]["ceilings"]["connect-timeout-ns"] = 20_000 * MS
    async with Sidecar(tmp_path / "c", data) as sidecar:
        pool = sidecar.server.pool
        _, writer = await asyncio.open_connection(HOST, sidecar.port)
        writer.write(request_message("order", "ab"))
        await wait_until(lambda: pool.attempts)
        writer.close()
        await wait_until(lambda: left(sidecar) and not pool.attempts)
        server = pool.balancer.known_endpoints[1]
        assert not server.failure_score
        assert not server.samples
        # Room for the connection, which its system asks for again after a second.
        for filler in fill:
            filler.close()
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        idle = pool.connection_pool.endpoints[1].idle
        got = []
        while not idle:  # kept for others
            taken, _ = await loop.sock_accept(sock)
            got.append(taken)
            await asyncio.sleep(0.01)
        for taken in got:
            taken.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                assert not taken.recv(4096)
            taken.close()
    sock.close()


@async_test
async def test_a_client_that_leaves_while_the_loop_stands_still_gets_no_repeat(tmp_path, monkeypatch):
    """The repeat's timer fires before the client's end is read."""

    async with sidecar_with_endpoint(tmp_path, turn_away) as (sidecar, fake):
        pool = sidecar.server.pool
        end_attempt, ends = pool.attempt_runner.end, []

        def end_and_stand_still(*ended):
            end_attempt(*ended)  # in the midst of reading the server's answer
            if not ends:
                sock.close()
                time.sleep(STILL)  # past the pause before the repeat
            ends.append(ended)

        monkeypatch.setattr(pool.attempt_runner, "end", end_and_stand_still)
        sock = socket.create_connection((HOST, sidecar.port))
        sock.sendall(request_message("lookup", "ab"))
        await wait_until(lambda: ends and left(sidecar))
        assert len(fake.received) == 1


@async_test
async def test_a_deadline_that_passes_in_the_pause_before_a_repeat_ends_the_request(tmp_path, monkeypatch):
    """A late loop finds the repeat's timer and the deadline due in one turn: nothing more goes out."""

    async with sidecar_with_endpoint(tmp_path, turn_away) as (sidecar, fake):
        pool = sidecar.server.pool
        plan_repeat, planned = pool.balancer.retries.plan, []

        def plan_and_stand_still(req, *unsent):
            plan_repeat(req, *unsent)
            planned.append(req.retry_planned)
            if len(planned) == 1:
                time.sleep(0.5)  # past the pause, and past the deadline

        monkeypatch.setattr(pool.balancer.retries, "plan", plan_and_stand_still)
        assert (await send_request(sidecar.port, request_message("order", "ab", "400m"))).code == 503
        assert planned[0]
        assert not pool.pending
    assert len(fake.received) == 1


@async_test
async def test_a_request_whose_client_left_before_it_was_read_is_not_sent(tmp_path):
    async with sidecar_with_endpoint(tmp_path, respond_ok) as (sidecar, fake):
        # A connection to the server stands ready: the request's bytes would go out as it is read.
        assert (await send_request(sidecar.port, request_message("order", "warm"))).code == 200
        sock = socket.create_connection((HOST, sidecar.port))
        await wait_until(lambda: sidecar.server.clients.all)

        def ask_and_leave():
            sock.sendall(request_message("order", "ab"))
            sock.close()

        block_event_loop(asyncio.get_running_loop(), STILL, ask_and_leave)
        await wait_until(lambda: left(sidecar))
        assert (await send_request(sidecar.port, request_message("order", "cd"))).code == 200
    assert [got.headers["x-request-id"] for got in fake.received] == ["warm", "cd"]


@async_test
async def test_a_client_that_only_ended_its_side_is_served_where_that_is_allowed(tmp_path):
    """Guards usual clients of `serve`: their end behind a request is no leaving."""
    async with sidecar_with_endpoint(tmp_path, respond_ok) as (sidecar, _fake):
        sidecar.server.half_close = True
        reader, writer = await asyncio.open_connection(HOST, sidecar.port)
        writer.write(request_message("order", "ab"))
        writer.write_eof()
        assert (await read_message(reader)).code == 200


# Closes


def slow_socket(port):
    """A client whose system takes little ahead of its reading."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    sock.connect((HOST, port))
    return sock


def read_all(sock):
    """To the end, in a thread's time."""
    sock.settimeout(WAIT_TIMEOUT_S)
    found = b""
    while data := sock.recv(65536):
        found += data
    return found


@async_test
async def test_bytes_that_cross_the_close_behind_an_answer_do_not_destroy_it(tmp_path, monkeypatch):
    """A close over unread bytes is a reset, and what is on its way goes with it (RFC 9112, 9.6)."""
    monkeypatch.setattr(front_module, "ANSWERED_LINGER_S", 2.0, raising=False)  # on a busy machine too
    body = b"x" * 60_000

    async def act(message, reader, writer):
        writer.write(http_response(200, body))

    async with sidecar_with_endpoint(tmp_path, act) as (sidecar, fake):
        sock = slow_socket(sidecar.port)
        sock.sendall(request_message("lookup", "ab", "3000m", b"", "Connection: close"))
        await wait_until(lambda: fake.received)
        fronts = sidecar.server.clients.all
        await wait_until(lambda: all(front.discarding_input for front in list(fronts.values())))
        sock.sendall(b"GET /lookup/more")  # in the moment of the close, or after it
        got = await asyncio.to_thread(read_all, sock)
        assert got.endswith(body)
        await wait_until(lambda: left(sidecar))  # whether or not the client closes
        sock.close()


@async_test
async def test_a_rejected_client_that_reads_slowly_and_never_closes_is_closed(tmp_path, monkeypatch):
    """Its time to read why ended with the last byte that went, and was never begun again."""
    monkeypatch.setattr(front_module, "REJECTED_LINGER_S", 0.1)

    async def act(message, reader, writer):
        writer.write(http_response(200, b"x" * 60_000))

    async with sidecar_with_endpoint(tmp_path, act) as (sidecar, _fake):
        sock = slow_socket(sidecar.port)
        # Many answers wait unread in front of the rejection of what can't be read.
        sock.sendall(b"".join(request_message("lookup", f"id{n}") for n in range(8)) + b"no request\r\n\r\n")
        fronts = sidecar.server.clients.all
        await wait_until(lambda: any(front.writer.unread for front in fronts.values()))
        sock.settimeout(WAIT_TIMEOUT_S)

        assert b"malformed request" in await asyncio.to_thread(read_all, sock)
        await wait_until(lambda: left(sidecar))
        sock.close()


@async_test
async def test_a_request_that_is_there_when_its_connection_is_to_be_closed_as_idle_is_served(tmp_path):
    async with sidecar_with_endpoint(tmp_path, respond_ok) as (sidecar, fake):
        reader, writer = await asyncio.open_connection(HOST, sidecar.port)
        writer.write(request_message("order", "ab"))
        assert (await read_message(reader)).code == 200
        front = next(iter(sidecar.server.clients.all.values()))
        data = request_message("order", "cd")
        # Into the kernel now, not in a later turn.
        assert os.write(writer.get_extra_info("socket").fileno(), data) == len(data)
        front.close_when_idle()  # in the same turn: nothing was read yet
        assert (await read_message(reader)).code == 200
        front.close_when_idle()
        assert await reader.read() == b""
        writer.close()
    assert len(fake.received) == 2


@async_test
async def test_a_request_that_is_there_when_its_connection_is_one_too_many_is_served(tmp_path, monkeypatch):
    """Of idle connections beyond those of use the longest idle goes: its client comes back just then."""
    monkeypatch.setattr(controller, "MAX_IDLE_S", 3 * WAIT_TIMEOUT_S)
    async with sidecar_with_endpoint(tmp_path, respond_ok) as (sidecar, fake):
        admission = sidecar.server.clients.admission
        working_set = admission.working_set
        admission.request_gaps.mean_s = 3 * WAIT_TIMEOUT_S  # nobody is one too many yet
        opened = []
        while working_set.with_requests <= working_set.limit + controller.MAX_CLOSED_PER_EVENT:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            writer.write(request_message("order", f"id{len(opened)}"))
            assert (await read_message(reader)).code == 200
            opened.append((reader, writer))
        monkeypatch.setattr(request_gaps, "MIN_TIMEOUT_S", 0.0)
        admission.request_gaps.mean_s = admission.request_gaps.deviation_s = 0.0
        data = request_message("order", "again")
        reader, writer = opened[0]
        # Into the kernel now, not in a later turn; then in the same turn, before it is read:
        assert os.write(writer.get_extra_info("socket").fileno(), data) == len(data)
        sidecar.server.clients.sweep()
        assert (await read_message(reader)).code == 200
        assert await opened[1][0].read() == b""  # the next one was one too many indeed
        for _, writer in opened:
            writer.close()
    assert len(fake.received) == len(opened) + 1


@async_test
async def test_half_a_request_that_is_there_at_the_planned_end_is_served(tmp_path):
    async with sidecar_with_endpoint(tmp_path, respond_ok) as (sidecar, fake):
        sidecar_server = sidecar.server
        reader, writer = await asyncio.open_connection(HOST, sidecar.port)
        whole = request_message("order", "ab", "3000m", b"body")
        writer.write(whole[:40])
        fronts = sidecar_server.clients.all
        await wait_until(lambda: any(front.message_unfinished for front in fronts.values()))
        sidecar_server.drain()
        sidecar_server.shutdown.stop_requests()
        writer.write(whole[40:])
        got = await read_message(reader)
        assert got.code == 200
        assert got.headers["connection"] == "close"
        assert await reader.read() == b""
        writer.close()
    assert len(fake.received) == 1


@async_test
async def test_a_request_of_a_client_let_in_in_the_turn_of_the_planned_end_is_served(tmp_path):
    """It was accepted, and its connection is not made up yet, when the others are closed."""
    async with sidecar_with_endpoint(tmp_path, respond_ok) as (sidecar, fake):
        sidecar_server = sidecar.server
        asked, resting = (socket.create_connection((HOST, sidecar.port)) for _ in range(2))
        asked.sendall(request_message("order", "ab"))
        sidecar_server.listener.accept_backlog()
        assert len(sidecar_server.clients.all) == 2
        sidecar_server.drain()
        sidecar_server.shutdown.stop_requests()
        got = await asyncio.to_thread(read_all, asked)
        assert got.startswith(b"HTTP/1.1 200 ")
        assert b"Connection: close" in got
        assert await asyncio.to_thread(read_all, resting) == b""
        await wait_until(lambda: left(sidecar))
        asked.close()
        resting.close()
    assert len(fake.received) == 1


@async_test
async def test_clients_that_wait_while_the_listener_rests_are_served_when_it_closes(tmp_path):
    """It rests after a lack of descriptors; closing the socket just then would reset who waits."""
    async with sidecar_with_endpoint(tmp_path, respond_ok) as (sidecar, fake):
        sidecar_server = sidecar.server
        sidecar_server.listener.pause()
        sock = socket.create_connection((HOST, sidecar.port))
        sock.sendall(request_message("order", "ab"))
        sidecar_server.drain()
        sidecar_server.shutdown.stop_accepting()
        assert (await asyncio.to_thread(read_all, sock)).startswith(b"HTTP/1.1 200 ")
        sock.close()
    assert len(fake.received) == 1


@async_test
async def test_what_comes_on_a_resting_connection_in_the_moment_of_the_planned_end_is_not_sent_on(tmp_path):
    """Read after the end of its connection it could have no answer: none is sent on and lost."""
    async with sidecar_with_endpoint(tmp_path, respond_ok) as (sidecar, fake):
        sidecar_server = sidecar.server
        reader, writer = await asyncio.open_connection(HOST, sidecar.port)
        writer.write(request_message("order", "ab"))
        assert (await read_message(reader)).code == 200
        sidecar_server.drain()
        sidecar_server.shutdown.stop_requests()
        writer.write(request_message("order", "cd"))
        assert await reader.read() == b""
        writer.close()
        await wait_until(lambda: left(sidecar))
    assert len(fake.received) == 1


# Connections to servers


@async_test
async def test_a_keyed_repeat_whose_connection_comes_up_after_its_window_is_not_written(tmp_path):
    """zone+brink: sent again outside its window, as connections come up late; the decision was in time."""

    async def lose(message, reader, writer):
        # The repeat has one server to go to, at which connections do not come up.
        changes = endpoint_entry("s1", first.address, "DRAINING"), endpoint_entry("s2", late)
        pool.on_update(parse_endpoint_update(list_update(2, *changes), pool.names))
        reset_connection(writer)

    first = await FakePeer(lose).start()
    sock, fill = full_backlog_listener()
    late = f"{HOST}:{sock.getsockname()[1]}"
    data = config(list_update(1, endpoint_entry("s1", first.address)))
    data["settings"]["ceilings"]["connect-timeout-ns"] = 20_000 * MS
    for spec in data["settings"]["classes"]:
        spec["window-ns"] = 700 * MS
    data["settings"]["ceilings"]["cancel"] = False
    async with Sidecar(tmp_path / "c", data) as sidecar:
        pool = sidecar.server.pool
        asked = asyncio.create_task(send_request(sidecar.port, request_message("hold", "ab", "4000m")))
        loop = asyncio.get_running_loop()
        await wait_until(lambda: first.received)
        began = loop.time()
        await wait_until(lambda: any(a.endpoint_number == 2 for a in pool.attempts.values()))
        await wait_until(lambda: loop.time() - began > 0.8)
        for filler in fill:
            filler.close()
        sock.setblocking(False)
        idle = pool.connection_pool.endpoints[2].idle
        taken = []
        while not idle and not asked.done():
            with contextlib.suppress(asyncio.TimeoutError):
                async with asyncio.timeout(0.02):
                    taken.append((await loop.sock_accept(sock))[0])
        assert (await asked).code == 502
        for end in taken:
            end.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                assert b"POST" not in end.recv(4096)
            end.close()
    sock.close()


@async_test
async def test_a_keyed_request_that_is_lost_as_its_window_ends_is_failed_at_once(tmp_path):
    """No repeat can follow any more: the client is not left to wait for the deadline."""
    window_s = 0.5

    async def lose(message, reader, writer):
        await wait_until(lambda: loop.time() - took[0] >= window_s)
        reset_connection(writer)

    loop = asyncio.get_running_loop()
    took = []
    fake = await FakePeer(lose).start()
    data = config(list_update(1, endpoint_entry("s1", fake.address), endpoint_entry("s2", fake.address)))
    for spec in data["settings"]["classes"]:
        spec["window-ns"] = int(window_s * 1000) * MS
    async with Sidecar(tmp_path / "c", data) as sidecar:
        took.append(loop.time())
        assert (await send_request(sidecar.port, request_message("hold", "ab", "4000m"))).code == 502
        assert loop.time() - took[0] < 2.0  # half of its time; it was 3.93 s before
    assert len(fake.received) == 1


@contextlib.asynccontextmanager
async def asked_of_a_raw_server(tmp_path, request):
    """A request that one server has read: the pool, the task of its answer, and the server's socket."""
    sock = socket.create_server((HOST, 0))
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    data = config(list_update(1, endpoint_entry("s1", f"{HOST}:{sock.getsockname()[1]}")))
    with sock:
        async with Sidecar(tmp_path / "c", data) as sidecar:
            asked = asyncio.create_task(send_request(sidecar.port, request))
            server, _ = await loop.sock_accept(sock)
            with server:
                await loop.sock_recv(server, 4096)
                yield sidecar.server.pool, asked, server


@async_test
async def test_the_rest_of_an_answer_that_waits_unread_in_a_late_loop_is_read(tmp_path):
    """An answer that stalls is broken off; in a late loop the timer for that fires before it is read."""
    whole = http_response(200, b"served")
    async with asked_of_a_raw_server(tmp_path, request_message("order", "ab")) as (pool, asked, server):
        server.send(whole[:-3])
        connection = next(iter(pool.attempts.values())).connection
        await wait_until(lambda: connection.stall_timer is not None)
        loop = asyncio.get_running_loop()
        block_event_loop(loop, MAX_STALL_S + STILL, lambda: server.send(whole[-3:]))
        got = await asked
        assert (got.code, got.body) == (200, b"served")


@pytest.mark.parametrize("loop_late_s", [0.385, 0.6], ids=["at the attempt's limit", "past the deadline"])
@async_test
async def test_an_answer_that_waits_unread_when_its_time_is_up_is_given(tmp_path, loop_late_s):
    """An order that was served is not told as failed since the loop was late."""
    request = request_message("order", "ab", "400m")
    async with asked_of_a_raw_server(tmp_path, request) as (pool, asked, server):
        (attempt,) = pool.attempts.values()
        loop = asyncio.get_running_loop()
        still_s = loop_late_s - (pool.now() - attempt.sent_ns) / 1e9
        block_event_loop(loop, still_s, lambda: server.send(http_response(200, b"served")))
        assert (await asked).code == 200
        assert not pool.pending
        assert not pool.attempts


@async_test
async def test_endpoint_with_an_unread_answer_in_a_late_loop_is_not_considered_silent(tmp_path, monkeypatch):
    """The module's timer for an overdue attempt fires before the answer is read."""
    async with asked_of_a_raw_server(tmp_path, request_message("lookup", "ab")) as (pool, asked, server):
        strikes = noted_strikes(pool, monkeypatch)
        (due_ns,) = [due for due, kind, *_ in pool.balancer.timers.heap if kind == OVERDUE]
        still_s = (due_ns - pool.now()) / 1e9 + STILL
        block_event_loop(
            asyncio.get_running_loop(), still_s, lambda: server.send(http_response(200, b"served"))
        )
        assert (await asked).code == 200
        assert not strikes


@async_test
async def test_a_connection_that_came_up_while_the_loop_stood_still_is_used(tmp_path, monkeypatch):
    """Its time is up before it is heard of: a server was held to be out of reach that is not."""
    sock, fill = full_backlog_listener()
    data = config(list_update(1, endpoint_entry("s1", f"{HOST}:{sock.getsockname()[1]}")))
    data["settings"]["ceilings"]["connect-timeout-ns"] = 800 * MS
    taken, loop = [], asyncio.get_running_loop()

    def make_room_and_wait_for_the_connection():
        for filler in fill:
            filler.close()
        sock.settimeout(WAIT_TIMEOUT_S)
        while not any(one.getpeername()[1] == port for one in taken):
            taken.append(sock.accept()[0])

    async with Sidecar(tmp_path / "c", data) as sidecar:
        pool = sidecar.server.pool
        strikes = noted_strikes(pool, monkeypatch)
        asked = asyncio.create_task(send_request(sidecar.port, request_message("order", "ab", "4000m")))
        await wait_until(lambda: any(one.sock.getsockname()[1] for one in pool.connection_pool.connections))
        ((connection, _),) = pool.connection_pool.connections.items()
        port = connection.sock.getsockname()[1]
        # Its system asks for the connection again after a second; the rest is until its time is up for sure.
        block_event_loop(loop, STILL, make_room_and_wait_for_the_connection)
        await wait_until(lambda: port in [one.getpeername()[1] for one in taken])
        server = taken[-1]
        server.setblocking(False)
        assert (await loop.sock_recv(server, 4096)).startswith(b"POST /order")
        server.send(http_response(200, b"served"))
        assert (await asked).code == 200
        # That it is overdue by a second may be noted; that it was out of reach may not.
        assert not [weight for weight in strikes if weight >= 1.0]
        for one in taken:
            one.close()
    sock.close()


@async_test
async def test_a_connect_that_a_late_loop_never_began_says_nothing_of_its_server(tmp_path, monkeypatch):
    async with sidecar_with_endpoint(tmp_path, respond_ok) as (sidecar, fake):
        pool, loop = sidecar.server.pool, asyncio.get_running_loop()
        begin, stood = pool.connection_pool._open, []
        strikes = noted_strikes(pool, monkeypatch)

        def begin_and_stand_still(*args):
            begin(*args)
            if not stood:  # once, behind the first step of the connect
                stood.append(loop.call_soon(time.sleep, pool.connection_pool.connect_timeout_s + STILL))

        monkeypatch.setattr(pool.connection_pool, "_open", begin_and_stand_still)
        assert (await send_request(sidecar.port, request_message("order", "ab"))).code == 200
        assert stood
        assert not strikes
    assert len(fake.received) == 1


@async_test
async def test_an_answer_that_began_and_stops_is_not_waited_for_beyond_its_time(tmp_path):
    """The time that is given for reading is given once."""
    whole = http_response(200, b"served")
    async with asked_of_a_raw_server(tmp_path, request_message("order", "ab", "400m")) as (
        pool,
        asked,
        server,
    ):
        block_event_loop(asyncio.get_running_loop(), 0.6, lambda: server.send(whole[:-3]))
        assert (await asked).code == 502
        assert not pool.pending
        assert not pool.attempts


@async_test
async def test_announced_deadline_is_the_time_left_when_the_connection_is_established(tmp_path):
    """Connections come up late; the time that passed meanwhile is not the server's any more."""
    sock, fill = full_backlog_listener()
    data = config(list_update(1, endpoint_entry("s1", f"{HOST}:{sock.getsockname()[1]}")))
    data["settings"]["ceilings"]["connect-timeout-ns"] = 20_000 * MS
    async with Sidecar(tmp_path / "c", data) as sidecar:
        pool, loop = sidecar.server.pool, asyncio.get_running_loop()
        asked = asyncio.create_task(
            send_request(sidecar.port, request_message("order", "ab", "4000m", b"body"))
        )
        await wait_until(lambda: pool.attempts)
        (attempt,) = pool.attempts.values()
        opening = pool.connection_pool.endpoints[1].waiting_exchanges
        # Its connect has found the listener full: its socket has a port from then on.
        await wait_until(lambda: all(made.sock.getsockname()[1] for made in opening.values()))
        for filler in fill:
            filler.close()
        sock.setblocking(False)
        opened = []

        async def take():
            while True:
                reader, writer = await asyncio.open_connection(sock=(await loop.sock_accept(sock))[0])
                opened.append(writer)
                tasks.append(asyncio.create_task(serve(reader, writer)))

        async def serve(reader, writer):
            with contextlib.suppress(asyncio.IncompleteReadError, OSError):
                got = await read_message(reader)
                told.append((pool.now(), got))
                writer.write(http_response(200, got.body))

        told, tasks = [], []
        tasks.append(asyncio.create_task(take()))
        assert (await asked).body == b"body"
        (came, got), sent = told[0], attempt.sent_ns
        assert came - sent > 200 * MS  # its system asks for the connection again after a second
        left_ms = 4000 - (came - sent) // MS
        assert int(got.headers["x-deadline"][:-1]) < left_ms + 100
        for task in tasks:
            task.cancel()
        for writer in opened:
            writer.close()
    sock.close()


@async_test
async def test_a_connection_that_comes_up_where_its_server_no_longer_is_carries_nothing(tmp_path):
    """The list names another address while the connect to the old one is still on its way."""
    sock, fill = full_backlog_listener()
    new = await FakePeer(respond_ok).start()
    data = config(list_update(1, endpoint_entry("s1", f"{HOST}:{sock.getsockname()[1]}")))
    data["settings"]["ceilings"]["connect-timeout-ns"] = 20_000 * MS
    async with Sidecar(tmp_path / "c", data) as sidecar:
        pool, loop = sidecar.server.pool, asyncio.get_running_loop()
        asked = asyncio.create_task(send_request(sidecar.port, request_message("order", "ab", "4000m")))
        await wait_until(lambda: pool.attempts)
        pool.on_update(
            parse_endpoint_update(
                list_update(2, endpoint_entry("s1", new.address), snapshot=False), pool.names
            )
        )
        for filler in fill:
            filler.close()
        sock.setblocking(False)
        taken = []

        async def take():
            while True:
                taken.append((await loop.sock_accept(sock))[0])

        task = asyncio.create_task(take())
        assert (await asked).code == 200
        task.cancel()
        for one in taken:
            one.setblocking(False)
            with contextlib.suppress(OSError):
                assert not one.recv(4096)
            one.close()
    sock.close()
    assert len(new.received) == 1


class Late(UpstreamConnection):
    """A connection that hears late that what it had buffered has gone, as on uvloop by a turn."""

    __slots__ = ()

    def resume_writing(self):
        pass


@async_test
async def test_an_exchange_that_counts_as_never_run_is_never_whole_at_its_server(monkeypatch):
    monkeypatch.setattr(upstream, "UpstreamConnection", Late)
    sock = socket.create_server((HOST, 0))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    pool = make_pool(sock.getsockname())
    payload = b"POST /order HTTP/1.1\r\nContent-Length: 8000000\r\n\r\n" + b"x" * 8_000_000
    ends = []
    exchange = Exchange(payload, lambda _, status, __: ends.append(status), 64 * 1024)
    pool.start(1, exchange, WAIT_TIMEOUT_S)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    server, _ = await loop.sock_accept(sock)
    await wait_until(lambda: exchange.connection is not None)
    got = 0
    while got < len(payload) - 1:
        got += len(await loop.sock_recv(server, 1 << 20))
    exchange.give_up(Status.TIMEOUT)
    assert ends == [Status.CONNECT_FAILED]
    with contextlib.suppress(OSError):
        while data := await loop.sock_recv(server, 1 << 20):
            got += len(data)
    assert got < len(payload)
    server.close()
    sock.close()
    pool.close()


@async_test
async def test_a_second_answer_that_comes_late_is_not_taken_for_the_next_request_s(tmp_path):
    """Servers were seen to send one some milliseconds late: from then on connections rest behind answers."""

    async def act(message, reader, writer):
        ident = message.headers["x-request-id"]
        if ident == "three":  # the copy of the answer before comes first
            doubled["two"].write(http_response(200, b"two"))
        writer.write(http_response(200, ident.encode()))
        if ident in ("one", "two"):
            doubled[ident] = writer

    doubled = {}
    async with sidecar_with_endpoint(tmp_path, act) as (sidecar, fake):
        upstreams = sidecar.server.pool.connection_pool
        assert (await send_request(sidecar.port, request_message("lookup", "one"))).body == b"one"
        doubled["one"].write(http_response(200, b"one"))
        await wait_until(lambda: not upstreams.connections)
        reader, writer = await asyncio.open_connection(HOST, sidecar.port)
        for ident in ("two", "three"):
            # Both at once, so that the second is sent in the turn in which the first is answered.
            writer.write(request_message("lookup", ident))
        for ident in ("two", "three"):
            assert (await read_message(reader)).body == ident.encode()
        writer.close()
    numbers = [got.connection for got in fake.received]
    assert len(set(numbers)) == 3


@async_test
async def test_names_of_classes_that_a_path_has_to_escape_are_known(tmp_path):
    fake = await FakePeer(respond_ok).start()
    data = json.loads(json.dumps(config(list_update(1, endpoint_entry("s1", fake.address)))))
    data["settings"]["classes"][0]["name"] = "größe & preis"
    async with Sidecar(tmp_path / "c", data) as sidecar:
        for number, name in enumerate(("gr%C3%B6%C3%9Fe%20%26%20preis", "gr%c3%b6%c3%9fe%20&%20preis")):
            request = request_message("lookup", f"id{number}").replace(b"/lookup/", f"/{name}/".encode())
            assert (await send_request(sidecar.port, request)).code == 200
        request = request_message("lookup", "no").replace(b"/lookup/", b"/gr%C3/")
        assert (await send_request(sidecar.port, request)).code == 404
    assert [got.start_line.split()[1].split("/")[1][:7] for got in fake.received] == ["gr%C3%B", "gr%c3%b"]
