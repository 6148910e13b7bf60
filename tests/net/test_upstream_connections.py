"""Connections to servers: idle ones that die, connects that hang, drains, the cap on descriptors."""

import asyncio
import contextlib
import errno
import gc
import socket
import time
import weakref
from dataclasses import replace

import pytest
from net_helpers import (
    HOST,
    WAIT_TIMEOUT_S,
    FakePeer,
    http_response,
    never_respond,
    reset_connection,
    respond_ok,
    run,
    wait_until,
)

from dykefold.admission.budget import DescriptorAllowance
from dykefold.balancer.events import State, Status
from dykefold.net.memory_budget import MB, MemoryBudget
from dykefold.net.timer_wheel import TimerWheel
from dykefold.net.upstream import connection
from dykefold.net.upstream import connection_pool as upstream
from dykefold.net.upstream.connection_pool import ConnectionPool
from dykefold.net.upstream.exchange import Exchange
from dykefold.net.upstream.limits import ConnectionLimits

PAYLOAD = b"GET /lookup HTTP/1.1\r\nX-Request-Id: ab\r\n\r\n"


def make_pool(address, connect_timeout=5.0, limit=1024, idle=60.0):
    limits = ConnectionLimits(DescriptorAllowance(limit), MemoryBudget(192 * MB), connect_timeout, idle)
    pool = ConnectionPool(asyncio.get_running_loop(), limits)
    pool.update(1, address, 0, State.READY)
    return pool


def set_clock(pool, monotonic):
    """Give a pool, and the connections that it makes from now on, another clock."""
    pool.monotonic = monotonic
    pool.resources = replace(pool.resources, monotonic=monotonic)


def start_exchange(pool, server=1, timeout=WAIT_TIMEOUT_S, payload=PAYLOAD):
    """An exchange and the future of its end."""
    end = asyncio.get_running_loop().create_future()
    exchange = Exchange(payload, lambda _, status, answer: end.set_result((status, answer)), 64 * 1024)
    pool.start(server, exchange, timeout)
    return exchange, end


def listening_socket(backlog=16):
    sock = socket.socket()
    sock.bind((HOST, 0))
    sock.listen(backlog)
    return sock


def full_backlog_listener():
    """A server at which new connections never come up."""
    sock = listening_socket(0)
    fill = []
    for _ in range(4):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(sock.getsockname())
        fill.append(filler)
    return sock, fill


def test_an_idle_connection_that_died_unseen_is_replaced_before_anything_is_written():
    """Guards the race with a server that closes idle connections just as a request comes."""

    async def play():
        server = listening_socket()
        server.setblocking(False)
        loop = asyncio.get_running_loop()
        pool = make_pool(server.getsockname())
        _, end = start_exchange(pool)
        first, _ = await loop.sock_accept(server)
        assert await loop.sock_recv(first, 4096) == PAYLOAD
        await loop.sock_sendall(first, http_response())
        assert (await end)[0] is Status.OK
        first.close()  # the end is in the kernel by now; the loop has had no turn to see it
        _, end = start_exchange(pool)
        second, _ = await loop.sock_accept(server)
        assert await loop.sock_recv(second, 4096) == PAYLOAD
        await loop.sock_sendall(second, http_response())
        assert (await end)[0] is Status.OK
        pool.close()
        second.close()
        server.close()

    run(play())


@pytest.mark.parametrize("stray", [b"", b"HTTP/1.1 408 Too late\r\nContent-Length: 0\r\n\r\n"])
def test_an_idle_connection_ends_at_once_on_its_end_or_on_stray_bytes(stray):
    async def play():
        async def act(message, reader, writer):
            writer.write(http_response())
            await go.wait()
            writer.write(stray)
            if not stray:
                writer.close()
            else:
                await reader.read()

        go = asyncio.Event()
        fake = await FakePeer(act).start()
        pool = make_pool((HOST, fake.port))
        assert (await start_exchange(pool)[1])[0] is Status.OK
        assert len(pool.connections) == 1
        go.set()
        await wait_until(lambda: not pool.connections)
        assert not pool.endpoints[1].idle
        assert not pool.allowance.in_use

    run(play())


def test_answer_followed_by_surplus_bytes_is_complete_but_its_connection_is_closed():
    async def play():
        async def act(message, reader, writer):
            writer.write(http_response() + http_response(200, b"of whom?"))

        fake = await FakePeer(act).start()
        pool = make_pool((HOST, fake.port))
        status, answer = await start_exchange(pool)[1]
        assert (status, answer.body) == (Status.OK, b"ok")
        assert not pool.connections

    run(play())


def test_the_latest_used_connection_is_used_first_and_old_ones_are_closed():
    async def play():
        fake = await FakePeer(respond_ok).start()
        pool = make_pool((HOST, fake.port), idle=60.0)
        ends = [start_exchange(pool)[1] for _ in range(3)]
        for end in ends:
            assert (await end)[0] is Status.OK
        await wait_until(
            lambda: len(pool.endpoints[1].idle) == 3
        )  # one may have taken another's, its own comes yet
        latest = next(reversed(pool.endpoints[1].idle))
        await wait_until(lambda: time.monotonic() - latest.idle_since_s > 0.01)  # so long that it has rested
        _, end = start_exchange(pool)
        assert latest.exchange is not None
        await end
        next(iter(pool.endpoints[1].idle)).idle_since_s -= 60.0 * upstream.IDLE_FRACTION
        pool.sweep()
        assert len(pool.endpoints[1].idle) == 2
        assert latest in pool.endpoints[1].idle
        pool.close()

    run(play())


def test_a_connect_that_hangs_is_given_up_in_time_and_never_ran():
    async def play():
        server, fill = full_backlog_listener()
        pool = make_pool(server.getsockname(), connect_timeout=0.1)
        assert await start_exchange(pool)[1] == (Status.CONNECT_FAILED, None)
        assert not pool.connections
        assert not pool.endpoints[1].opening
        assert not pool.allowance.in_use
        for sock in (server, *fill):
            sock.close()

    run(play())


@pytest.mark.parametrize("how", ["drain", "gone", "time-out"])
def test_a_request_that_waits_for_a_connection_is_not_sent_to_a_draining_server(how):
    """Guards drains: the first byte of such a request would go out after the server was told off."""

    async def play():
        server, fill = full_backlog_listener()
        pool = make_pool(server.getsockname(), connect_timeout=WAIT_TIMEOUT_S)
        exchange, end = start_exchange(pool)
        await asyncio.sleep(0)
        if how == "time-out":
            exchange.give_up(Status.TIMEOUT)
        else:
            pool.update(1, server.getsockname(), 0, State.DRAINING if how == "drain" else State.GONE)
        assert await end == (Status.CONNECT_FAILED, None)
        await wait_until(lambda: not pool.connections and not pool.endpoints[1].opening)
        for sock in fill:
            sock.close()
        server.setblocking(False)
        with pytest.raises(BlockingIOError):
            while True:  # the fillers alone had come up, and they sent nothing
                got, _ = server.accept()
                got.setblocking(True)
                assert got.recv(4096) == b""
                got.close()
        server.close()

    run(play())


def test_a_restart_or_drain_closes_idle_connections_and_keeps_those_in_use():
    async def play():
        async def act(message, reader, writer):
            await go.wait()
            writer.write(http_response())

        go = asyncio.Event()
        go.set()
        fake = await FakePeer(act).start()
        address = (HOST, fake.port)
        pool = make_pool(address)
        assert (await start_exchange(pool)[1])[0] is Status.OK
        pool.update(1, address, 5, State.READY)  # restarted
        assert not pool.endpoints[1].idle
        go.clear()
        _, end = start_exchange(pool)
        await wait_until(lambda: len(fake.received) == 2)
        pool.update(1, address, 5, State.DRAINING)
        go.set()
        assert (await end)[0] is Status.OK  # what it had it finishes
        assert not pool.connections
        assert (await start_exchange(pool)[1])[0] is Status.CONNECT_FAILED
        assert len(fake.received) == 2

    run(play())


def test_a_break_before_the_last_byte_is_written_never_ran():
    async def play():
        server = listening_socket()
        server.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        server.setblocking(False)
        loop = asyncio.get_running_loop()
        pool = make_pool(server.getsockname())
        body = b"x" * (16 * 1024 * 1024)  # more than the kernel takes in
        head = b"POST /order HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body)
        exchange, end = start_exchange(pool, payload=head + body)
        got, _ = await loop.sock_accept(server)
        await wait_until(lambda: exchange.connection is not None)
        assert exchange.connection.unwritten
        await loop.sock_recv(got, 4096)
        got.close()  # with bytes unread: a reset
        assert await end == (Status.CONNECT_FAILED, None)
        server.close()

    run(play())


def test_giving_up_closes_the_connection_and_says_whether_it_may_have_run():
    async def play():
        fake = await FakePeer(never_respond).start()
        pool = make_pool((HOST, fake.port))
        _, end = start_exchange(pool, timeout=0.1)
        assert await end == (Status.TIMEOUT, None)
        await wait_until(lambda: fake.closed_connections == 1)
        assert not pool.connections

    run(play())


def test_an_endless_answer_is_cut_off():
    async def play():
        async def act(message, reader, writer):
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 999999999\r\n\r\n")
            while not writer.is_closing():
                writer.write(b"x" * 65536)
                await writer.drain()

        fake = await FakePeer(act).start()
        pool = make_pool((HOST, fake.port))
        assert await start_exchange(pool)[1] == (Status.RESET, None)

    run(play())


def test_out_of_descriptors_costs_one_request_and_not_the_process(monkeypatch):
    async def play():
        fake = await FakePeer(respond_ok).start()
        pool = make_pool((HOST, fake.port))
        real = socket.socket

        def exhausted(*_):
            raise OSError(errno.EMFILE, "Too many open files")

        monkeypatch.setattr(socket, "socket", exhausted)
        assert await start_exchange(pool)[1] == (Status.NOT_ATTEMPTED, None)  # it says nothing of the server
        monkeypatch.setattr(socket, "socket", real)
        assert (await start_exchange(pool)[1])[0] is Status.OK
        pool.close()

    run(play())


def test_at_the_cap_the_longest_idle_connection_makes_room():
    async def play():
        fake, other = await FakePeer(respond_ok).start(), await FakePeer(never_respond).start()
        pool = make_pool((HOST, fake.port), limit=8)
        pool.update(2, (HOST, other.port), 0, State.READY)
        ends = [start_exchange(pool)[1] for _ in range(8)]
        for end in ends:
            assert (await end)[0] is Status.OK
        await wait_until(lambda: len(pool.endpoints[1].idle) == 8)
        waits = [start_exchange(pool, 2)[1] for _ in range(8)]
        await wait_until(lambda: len(other.received) == 8)
        assert not pool.endpoints[1].idle
        assert pool.allowance.in_use == 8
        assert await start_exchange(pool, 2)[1] == (Status.NOT_ATTEMPTED, None)
        assert not any(end.done() for end in waits)
        pool.close()
        for end in waits:
            end.cancel()

    run(play())


OK = http_response(200, b"second")


@pytest.mark.parametrize(
    "spoilt",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\nContent-Length: 5\r\n\r\nhello",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nhello",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\nhello",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nhello",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nzz\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nwho knows whether this is all",
        b"HTTP/1.1 OK 200\r\nContent-Length: 5\r\n\r\nhello",
        b"\x16\x03\x01 noise",
        b"HTTP/1.1 200 OK\r\n" + b"X-Pad: y\r\n" * 4000,
        b"HTTP/1.1 103 Early Hints\r\n\r\n" * 8000,
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n" + OK,
        b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nhello",  # less than it says, and nothing more
        b"HTTP/1.1 200 OK\r\nContent-Le",
    ],
    ids=lambda data: repr(data[:50]),
)
def test_a_spoilt_answer_is_a_reset_at_once_and_its_connection_is_closed(spoilt, monkeypatch):
    """Guards requests against waiting to their deadline at a connection that stays open and is of no use."""
    monkeypatch.setattr(connection, "MAX_STALL_S", 0.2)

    async def play():
        async def act(message, reader, writer):
            if fake.connections > 1:
                writer.write(OK)
                return
            writer.write(spoilt)
            with contextlib.suppress(OSError):
                await reader.read()
            closed.set()

        closed = asyncio.Event()
        fake = await FakePeer(act).start()
        pool = make_pool((HOST, fake.port))
        assert await start_exchange(pool)[1] == (Status.RESET, None)
        await closed.wait()
        status, answer = await start_exchange(pool)[1]
        assert status is Status.OK
        assert answer.body == b"second"
        assert not pool.resources.memory.reserved_bytes
        assert len(pool.connections) == 1
        pool.close()

    run(play())


def test_interim_answers_ahead_are_passed_over():
    async def play():
        async def act(message, reader, writer):
            writer.write(
                b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n" + OK
            )

        fake = await FakePeer(act).start()
        pool = make_pool((HOST, fake.port))
        for _ in range(3):
            status, answer = await start_exchange(pool)[1]
            assert status is Status.OK
            assert answer.body == b"second"
            assert [name for name, _ in answer.headers] == []
        assert fake.connections == 1
        pool.close()

    run(play())


def test_answers_over_the_memory_of_all_are_cut_off():
    async def play():
        async def act(message, reader, writer):
            writer.write(http_response(200, b"x" * 5000))

        fake = await FakePeer(act).start()
        pool = make_pool((HOST, fake.port))
        pool.resources.memory.capacity_bytes = 4000
        assert await start_exchange(pool)[1] == (Status.RESET, None)
        pool.resources.memory.capacity_bytes = 6000
        assert (await start_exchange(pool)[1])[0] is Status.OK
        assert pool.resources.memory.reserved_bytes == 0
        pool.close()

    run(play())


def test_one_that_waits_for_a_connection_takes_one_that_comes_free():
    async def play():
        async def act(message, reader, writer):
            if len(fake.received) == 1:
                await go.wait()
            writer.write(http_response())

        go = asyncio.Event()
        fake = await FakePeer(act).start()
        pool = make_pool((HOST, fake.port))
        _, first = start_exchange(pool)
        await wait_until(lambda: fake.received)
        real, pool.loop = pool.loop, SlowConnects(pool.loop)
        _, second = start_exchange(pool)
        go.set()
        assert (await first)[0] is Status.OK
        assert (await second)[0] is Status.OK
        assert {got.connection for got in fake.received} == {1}
        pool.loop.go.set()
        await wait_until(lambda: len(pool.endpoints[1].idle) == 2)  # the other one is kept
        assert not pool.endpoints[1].opening
        pool.loop = real
        pool.close()

    run(play())


class SlowConnects:
    """A loop on which connections come up only when they are let."""

    def __init__(self, loop):
        self.real = loop
        self.go = asyncio.Event()

    def __getattr__(self, name):
        return getattr(self.real, name)

    async def sock_connect(self, sock, address):
        await self.go.wait()
        await self.real.sock_connect(sock, address)


def test_ended_exchanges_and_connections_leave_nothing_to_the_collector():
    """Guards the memory of a long day: what refers to itself is freed only when the collector comes."""

    async def play():
        fake = await FakePeer(respond_ok).start()
        pool = make_pool((HOST, fake.port))
        exchange, end = start_exchange(pool)
        await end
        (connection,) = pool.connections
        seen = weakref.ref(connection)
        exchange_gone = exchange.done is None and not exchange.tick
        pool.close()
        del connection, exchange
        gc.disable()
        try:
            await wait_until(lambda: seen() is None)
        finally:
            gc.enable()
        assert exchange_gone

    run(play())


def test_an_age_at_which_idle_connections_turn_out_dead_is_used_no_more():
    """Guards stale days: the server had closed them, its news came later than the next request."""

    async def play():
        last = {}

        async def act(message, reader, writer):
            idle = clock[0] - last.get(message.connection, clock[0])
            last[message.connection] = clock[0]
            if idle > 0.3:
                reset_connection(writer)  # as the system does where nobody reads any more
            else:
                writer.write(http_response(200, b"ok"))

        fake = await FakePeer(act).start()
        pool = make_pool((HOST, fake.port))
        set_clock(pool, lambda: clock[0])
        outcomes = []
        for gap in [0.01] * 20 + [0.5] * 8:
            clock[0] += gap
            outcomes.append((await start_exchange(pool)[1])[0])
        assert outcomes[:20] == [Status.OK] * 20
        assert outcomes.count(Status.RESET) == 2, outcomes  # enough to tell it from chance
        assert outcomes[-3:] == [Status.OK] * 3
        assert pool.endpoints[1].idle_stats.limit_s == 0.4
        clock[0] += 0.5
        pool.sweep()  # closes what would not be used any more
        assert not pool.endpoints[1].idle
        pool.close()

    clock = [1000.0]
    run(play())


def test_new_connections_turned_away_give_idle_ones_back():
    """Guards servers with few places: 40 sidecars held 30 of them idle for each one that was in use."""

    async def play():
        async def act(message, reader, writer):
            if message.connection <= 3:
                held.append(writer)
                if len(held) == 3:
                    for one in held:
                        one.write(http_response(200, b"ok"))
            else:
                writer.write(http_response(503, b"", "X-Not-Run: 1", "Connection: close"))

        held = []
        fake = await FakePeer(act).start()
        pool = make_pool((HOST, fake.port))
        set_clock(pool, lambda: clock[0])
        ends = [start_exchange(pool)[1] for _ in range(3)]
        assert [(await end)[0] for end in ends] == [Status.OK] * 3
        kept = list(pool.endpoints[1].idle)
        assert len(kept) == 3
        pool.update(2, (HOST, fake.port), 0, State.READY)
        clock[0] += 20.0
        pool.sweep()
        assert len(pool.endpoints[1].idle) == 3  # nobody lacks them
        assert (await start_exchange(pool, server=2)[1])[0] is Status.FULL
        pool.sweep()
        assert not pool.endpoints[1].idle
        pool.close()

    clock = [1000.0]
    run(play())


def test_tick_of_expired_timers_is_stored_once():
    """Guards the memory: each request makes and empties the bucket of its tick."""

    async def play():
        deadlines = TimerWheel(asyncio.get_running_loop())
        rung = []
        items = [Exchange(b"", lambda _, status, answer: rung.append(status), 1) for _ in range(1000)]
        for item in items:
            deadlines.start(item, 0.05, 100.0)
            deadlines.stop(item)
        assert len(deadlines.ticks) == len(deadlines.buckets) == 1
        now = time.monotonic()
        deadlines.start(items[0], 0.02, now)
        deadlines.start(items[1], 0.01, now)
        deadlines.start(items[2], 30.0, now)
        await wait_until(lambda: len(rung) == 2)
        assert not items[0].tick
        assert items[2].tick
        assert len(deadlines.buckets) <= 2
        # The last of its tick starts the next one, as an attempt that is late leads to another.
        last = Exchange(b"", lambda *_: deadlines.start(items[3], 0.01, time.monotonic()), 1)
        deadlines.start(last, 0.01, time.monotonic())
        await wait_until(lambda: len(rung) == 3)

    run(play())


def test_a_close_of_an_idle_connection_is_learned_as_it_comes():
    """Guards requests against servers that close idle connections far sooner than the settings say."""

    async def play():
        async def act(message, reader, writer):
            writer.write(http_response())
            await asyncio.sleep(0.15)
            writer.close()

        fake = await FakePeer(act).start()
        pool = make_pool((HOST, fake.port))
        for _ in range(2):
            assert (await start_exchange(pool)[1])[0] is Status.OK
            await wait_until(lambda: not pool.connections)
        assert pool.endpoints[1].idle_stats.limit_s <= 0.2
        pool.close()

    run(play())
