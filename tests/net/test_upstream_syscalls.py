"""System calls that fail towards servers: what is this machine's own says nothing of a server."""

import asyncio
import errno
import functools
import gc
import itertools
import os
import resource
import socket
import struct
import time

import pytest
from faulty_system import FaultySystem, run_on_asyncio_loop
from helpers import SECOND, make_balancer, run_timers, submit_request
from net_helpers import (
    HOST,
    WAIT_TIMEOUT_S,
    FakePeer,
    Sidecar,
    config,
    endpoint_entry,
    http_response,
    list_update,
    never_respond,
    request_message,
    respond_ok,
    run,
    send_request,
    wait_until,
)
from test_upstream_connections import listening_socket, start_exchange

from dykefold.admission.budget import DescriptorAllowance
from dykefold.balancer.actions import Fail, Refuse, Send
from dykefold.balancer.events import Outcome, State, Status
from dykefold.balancer.settings import Effect
from dykefold.net.discovery.client import DiscoveryClient, DiscoveryOrigin
from dykefold.net.discovery.codec import NameTable
from dykefold.net.memory_budget import MB, MemoryBudget
from dykefold.net.peers import PeerChannel
from dykefold.net.sidecar import SidecarServer
from dykefold.net.upstream import connection_pool as upstream
from dykefold.net.upstream.connection_pool import ConnectionPool
from dykefold.net.upstream.limits import ConnectionLimits

OWN = [
    errno.EADDRNOTAVAIL, errno.EADDRINUSE, errno.ENOBUFS, errno.ENOMEM, errno.ENETUNREACH, errno.ENETDOWN,
    errno.ENFILE, errno.EMFILE, errno.EAGAIN, errno.EPERM, errno.EACCES,
]  # fmt: skip
THEIRS = [errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ETIMEDOUT, errno.ECONNRESET]
LOOPS = [run, run_on_asyncio_loop]


def make(address, system, connect_timeout=0.25):
    limits = ConnectionLimits(DescriptorAllowance(64), MemoryBudget(192 * MB), connect_timeout, 60.0)
    pool = ConnectionPool(asyncio.get_running_loop(), limits, system=system)
    pool.update(1, address, 0, State.READY)
    return pool


async def nothing_left(pool, system):
    pool.close()
    await wait_until(lambda: not system.open_sockets(), "all descriptors closed")
    assert not pool.allowance.in_use
    assert not pool.connections
    assert not pool.unneeded
    assert not any(target.opening for target in pool.endpoints.values())


@pytest.mark.parametrize("play_on", LOOPS)
@pytest.mark.parametrize("number", OWN + THEIRS)
def test_a_connect_that_fails_by_this_machine_says_nothing_of_the_server(number, play_on):
    async def play():
        fake, system = await FakePeer(respond_ok).start(), FaultySystem()
        pool = make((HOST, fake.port), system)
        system.faults.add("connect", number, fault_count=1)
        assert await start_exchange(pool)[1] == (
            Status.NOT_ATTEMPTED if number in OWN else Status.CONNECT_FAILED,
            None,
        )
        assert (await start_exchange(pool)[1])[0] is Status.OK
        await nothing_left(pool, system)

    play_on(play())


@pytest.mark.parametrize("play_on", LOOPS)
@pytest.mark.parametrize(
    ("call", "number"),
    [
        ("connect", errno.EINTR),
        ("setsockopt", errno.ENOBUFS),
        ("setsockopt", errno.EINVAL),
        ("getsockname", errno.ENOBUFS),
        ("send", errno.EINTR),
        ("send", errno.ENOBUFS),
        ("send", errno.ENOMEM),
        ("recv", errno.EINTR),
    ],
)
def test_a_call_that_fails_once_and_breaks_nothing_costs_no_request(call, number, play_on):
    async def play():
        fake, system = await FakePeer(respond_ok).start(), FaultySystem()
        pool = make((HOST, fake.port), system)
        system.faults.add(call, number, fault_count=1)
        assert (await start_exchange(pool)[1])[0] is Status.OK
        await nothing_left(pool, system)

    play_on(play())


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EACCES])
def test_a_socket_that_is_not_given_says_nothing_of_the_server(number):
    async def play():
        fake, system = await FakePeer(respond_ok).start(), FaultySystem()
        pool = make((HOST, fake.port), system)
        system.faults.add("socket", number, fault_count=1)
        assert await start_exchange(pool)[1] == (Status.NOT_ATTEMPTED, None)
        assert (await start_exchange(pool)[1])[0] is Status.OK
        await nothing_left(pool, system)

    run(play())


IP_LOCAL_PORT_RANGE = 51  # linux/in.h, since 6.3


def ports_run_out(address):
    """A system with one local port, on which a connection to that address stands already."""
    held = socket.socket()
    held.connect(address)
    only = held.getsockname()[1]

    def narrowed(sock):
        sock.setsockopt(socket.IPPROTO_IP, IP_LOCAL_PORT_RANGE, struct.pack("I", only << 16 | only))
        return sock

    class OnePort(FaultySystem):
        def tcp_socket(self):
            return narrowed(super().tcp_socket())

    with socket.socket() as sock, pytest.raises(OSError) as met:
        narrowed(sock).connect(address)
    assert met.value.errno == errno.EADDRNOTAVAIL  # else nothing would be looked at
    return OnePort(), address, held.close


def no_route(_):
    """A machine has no route to a group of receivers over TCP."""
    return FaultySystem(), ("224.0.0.1", 9), lambda: None


def descriptors_run_out(address):
    """The limit of the process stands at what it has open."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    gc.collect()  # Garbage of other tests may hold lower descriptors, which must not become free later.
    spare = os.open(os.devnull, os.O_RDONLY)
    os.close(spare)
    resource.setrlimit(resource.RLIMIT_NOFILE, (spare, hard))
    return FaultySystem(), address, lambda: resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


@pytest.mark.parametrize("lack", [ports_run_out, no_route, descriptors_run_out])
def test_what_this_machine_really_lacks_says_nothing_of_the_server(lack):
    """The system's own errors: EADDRNOTAVAIL, ENETUNREACH, EMFILE."""

    async def play():
        fake = await FakePeer(respond_ok).start()
        system, address, give_back = lack((HOST, fake.port))
        pool = make(address, system)
        try:
            end = start_exchange(pool)[1]
            assert await end == (Status.NOT_ATTEMPTED, None)
        finally:
            give_back()
        if lack is descriptors_run_out:
            assert (await start_exchange(pool)[1])[0] is Status.OK
        await nothing_left(pool, system)

    run(play())


def test_a_connection_that_the_loop_cannot_take_over_is_closed():
    """The options that asyncio's loop sets itself fail after the connect has come up."""

    async def play():
        fake, system = await FakePeer(respond_ok).start(), FaultySystem()
        pool = make((HOST, fake.port), system)
        system.faults.add("setsockopt", errno.ENOBUFS, skipped_calls=2)
        assert await start_exchange(pool)[1] == (Status.NOT_ATTEMPTED, None)
        assert not system.open_sockets()
        assert not pool.allowance.in_use
        system.faults.clear()
        gc.collect()  # of what asyncio's loop still knows by the descriptor's number
        assert (await start_exchange(pool)[1])[0] is Status.OK
        await nothing_left(pool, system)

    run_on_asyncio_loop(play())


@pytest.mark.parametrize("late", [False, True])
def test_refused_connect_counts_as_refused_however_late_it_is_noticed(late):
    async def play():
        server, system = listening_socket(), FaultySystem()
        address = server.getsockname()
        server.close()
        pool = make(address, system, 0.03)
        told = system.faults.inject

        def meet(call):
            if late and call == "connect":  # the loop stands still before it hears what became of it
                asyncio.get_running_loop().call_soon(time.sleep, 0.1)
            return told(call)

        system.faults.inject = meet
        assert await start_exchange(pool)[1] == (Status.CONNECT_FAILED, None)
        await nothing_left(pool, system)

    run(play())


@pytest.mark.parametrize("number", [errno.ECONNREFUSED, errno.ETIMEDOUT, errno.EHOSTUNREACH])
def test_failed_connect_noticed_late_is_not_a_timeout_of_this_machine(number):
    async def play():
        system = FaultySystem()
        pool = make((HOST, 9), system, 0.03)
        told = system.faults.inject

        def meet(call):
            if call == "connect":
                time.sleep(0.1)
            return told(call)

        system.faults.inject = meet
        system.faults.add("connect", number)
        assert await start_exchange(pool)[1] == (Status.CONNECT_FAILED, None)
        await nothing_left(pool, system)

    run(play())


def test_one_that_is_given_up_before_its_connect_began_leaves_nothing():
    async def play():
        fake, system = await FakePeer(respond_ok).start(), FaultySystem()
        pool = make((HOST, fake.port), system)
        exchange, end = start_exchange(pool)
        exchange.give_up(Status.CANCELLED)
        assert await end == (Status.CONNECT_FAILED, None)
        await asyncio.sleep(0)
        await nothing_left(pool, system)

    run(play())


@pytest.mark.parametrize("number", [errno.EINVAL, errno.ENOBUFS])
def test_a_connection_ends_at_once_also_where_its_options_can_not_be_set(number):
    """Guards against a repeat that overlaps with an attempt whose end was told and did not happen."""

    async def play():
        seen = []

        async def act(_, reader, writer):
            seen.append(await reader.read())

        fake, system = await FakePeer(act).start(), FaultySystem()
        pool = make((HOST, fake.port), system)
        exchange, end = start_exchange(pool)
        await wait_until(lambda: fake.received)
        system.faults.add("setsockopt", number)
        shut = []
        system.sockets[0].shutdown = shut.append
        exchange.give_up(Status.TIMEOUT)
        assert shut == [socket.SHUT_RDWR]
        assert await end == (Status.TIMEOUT, None)
        await wait_until(lambda: seen == [b""])
        await nothing_left(pool, system)

    run(play())


PATHS = [errno.ECONNRESET, errno.EPIPE, errno.ETIMEDOUT, errno.EHOSTUNREACH]
BROKEN = [*PATHS, errno.ENETUNREACH, errno.ENOBUFS]


@pytest.mark.parametrize("number", BROKEN)
def test_an_answer_that_can_not_be_read_leaves_open_whether_it_ran(number):
    async def play():
        fake, system = await FakePeer(respond_ok).start(), FaultySystem()
        pool = make((HOST, fake.port), system)
        system.faults.add("recv", number)
        assert await start_exchange(pool)[1] == (Status.RESET, None)
        await nothing_left(pool, system)

    run_on_asyncio_loop(play())


@pytest.mark.parametrize("number", BROKEN)
@pytest.mark.parametrize("taken", [0, 10, 39, 40])
def test_what_broke_while_it_was_written_says_whether_its_last_byte_may_have_left(number, taken):
    """Of 41 bytes the kernel takes some, and no more; the last one is let go of by itself."""

    async def play():
        fake, system = await FakePeer(never_respond).start(), FaultySystem()
        pool = make((HOST, fake.port), system)
        if taken:
            system.faults.add("send", max_bytes=taken, fault_count=1)
        else:
            system.faults.add("send", errno.EAGAIN, fault_count=1)
        system.faults.add("send", number)
        status, answer = await start_exchange(
            pool, payload=b"GET /lookup HTTP/1.1\r\nX-Request-Id: a\r\n\r\n"
        )[1]
        # All before its last byte had gone: it may have left with the write that failed.
        never = Status.CONNECT_FAILED if number in PATHS else Status.NOT_ATTEMPTED
        assert (status, answer) == (Status.RESET if taken == 40 else never, None)
        assert not fake.received
        await nothing_left(pool, system)

    run_on_asyncio_loop(play())


def test_short_writes_and_reads_cost_nothing():
    async def play():
        fake, system = await FakePeer(respond_ok).start(), FaultySystem()
        pool = make((HOST, fake.port), system)
        system.faults.add("send", max_bytes=3).add("recv", max_bytes=1)
        payload = request_message("order", body=b"x" * 300)
        for _ in range(3):
            status, answer = await start_exchange(pool, payload=payload)[1]
            assert status is Status.OK
            assert answer.body == b"served " + b"x" * 300
        assert fake.connections == 1
        await nothing_left(pool, system)

    run_on_asyncio_loop(play())


@pytest.mark.parametrize("play_on", LOOPS)
@pytest.mark.parametrize("seed", range(6))
def test_any_calls_that_fail_leave_each_exchange_with_one_true_end(seed, play_on):
    """The server closes after two of three answers; a part of all calls fails in all documented ways."""

    async def play():
        async def act(asked, reader, writer):
            closes = int(asked.headers["x-request-id"]) % 3
            writer.write(http_response(200, b"ok", *(["Connection: close"] if closes else [])))
            if closes:
                writer.close()

        fake, system = await FakePeer(act).start(), FaultySystem()
        system.faults.random.seed(seed)
        pool = make((HOST, fake.port), system)
        system.faults.add_random(
            0.1,
            socket=(errno.EMFILE, errno.ENOBUFS),
            connect=(*OWN, *THEIRS, errno.EINTR),
            # asyncio's own loop does not outlive an option that it can't set itself.
            setsockopt=(errno.EINVAL, errno.ENOBUFS) if play_on is run else (),
            getpeername=(errno.ENOTCONN,),
            getsockname=(errno.ENOBUFS,),
            shutdown=(errno.ENOTCONN,),
            send=(errno.EAGAIN, errno.EINTR, errno.ENOBUFS, errno.ECONNRESET, errno.EPIPE, errno.ETIMEDOUT),
            recv=(errno.EAGAIN, errno.EINTR, errno.ECONNRESET, errno.ETIMEDOUT, errno.EHOSTUNREACH),
        )
        system.faults.add("send", max_bytes=7, probability=0.2)
        problems = []

        def note(_, context):
            # asyncio 3.11 ends a transport twice where a write fails from within resume_writing.
            if "_call_connection_lost" not in context["message"]:
                problems.append(context)

        asyncio.get_running_loop().set_exception_handler(note)
        never = 0
        ends = []
        for number in range(200):
            payload = b"GET /lookup/%d HTTP/1.1\r\nX-Request-Id: %d\r\n\r\n" % (number, number)
            ends.append(start_exchange(pool, payload=payload)[1])
            if number % 4 == 3:
                async with asyncio.timeout(WAIT_TIMEOUT_S):
                    await asyncio.gather(*ends[-4:])
        ran = {int(got.headers["x-request-id"]) for got in fake.received}
        for number, end in enumerate(ends):
            status, _ = end.result()
            assert status in (Status.OK, Status.NOT_ATTEMPTED, Status.CONNECT_FAILED, Status.RESET)
            if status in (Status.NOT_ATTEMPTED, Status.CONNECT_FAILED):
                never += 1
                assert number not in ran, status
        assert never
        assert not problems
        assert sum(system.faults.counts.values()) > 50
        assert sum(end.result()[0] is Status.OK for end in ends) > 100
        system.faults.clear()
        await nothing_left(pool, system)
        del end, ends
        gc.collect()

    play_on(play())


@pytest.mark.parametrize("spare", [False, True])
def test_one_that_has_just_answered_rests_where_another_is_idle_and_no_new_one_is_made(spare, monkeypatch):
    """Guards the next request against a late second answer, where no server is known to give two."""

    async def play():
        fake, system = await FakePeer(respond_ok).start(), FaultySystem()
        pool = make((HOST, fake.port), system)
        for end in [start_exchange(pool)[1] for _ in range(1 + spare)]:
            assert (await end)[0] is Status.OK
        await wait_until(lambda: len(pool.endpoints[1].idle) == 1 + spare)
        monkeypatch.setattr(upstream, "QUARANTINE_MIN_S", WAIT_TIMEOUT_S)  # however late this machine is
        for connection in pool.endpoints[1].idle:
            connection.idle_since_s -= WAIT_TIMEOUT_S
        exchange, end = start_exchange(pool)
        first = exchange.connection
        await end
        next_one, end = start_exchange(pool)
        assert (next_one.connection is not first) == spare
        assert (await end)[0] is Status.OK
        assert fake.connections == 1 + spare
        await nothing_left(pool, system)

    run(play())


# The whole sidecar

PATIENT_MS = 1500
NUMBERS = itertools.count(1)


async def ask_through(sidecar, count, apart_s):
    """So many requests of a safe class, one after the other has begun: the codes and seconds of each."""

    async def one():
        began = time.monotonic()
        got = await send_request(
            sidecar.port, request_message("lookup", f"{next(NUMBERS):016x}", f"{PATIENT_MS}m")
        )
        return got.code, time.monotonic() - began

    asked = []
    for _ in range(count):
        asked.append(asyncio.ensure_future(one()))
        await asyncio.sleep(apart_s)
    return await asyncio.gather(*asked)


@pytest.mark.parametrize(
    ("number", "for_s"),
    [
        (errno.EADDRNOTAVAIL, 0.3),
        (errno.ENETUNREACH, 0.3),
        (errno.EADDRNOTAVAIL, 1.0),
        (errno.ECONNREFUSED, 0.3),
    ],
)
def test_a_moment_without_local_ports_costs_no_server_and_hardly_a_request(
    tmp_path, monkeypatch, number, for_s
):
    async def play():
        async def act(_, reader, writer):
            await asyncio.sleep(0.01)  # a usual time beside which a pause of this machine is none
            writer.write(http_response(200, b"ok", "Connection: close"))
            writer.close()

        fakes = [await FakePeer(act).start() for _ in range(6)]
        system = FaultySystem()
        monkeypatch.setattr(
            "dykefold.__main__.SidecarServer", functools.partial(SidecarServer, system=system)
        )
        entries = [endpoint_entry(f"s{at}", fake.address) for at, fake in enumerate(fakes)]
        async with Sidecar(tmp_path / "c", config(list_update(1, *entries))) as sidecar:
            warm = await ask_through(sidecar, 40, 0.01)
            assert all(code == 200 for code, _ in warm)
            balancer = sidecar.server.pool.balancer
            struck = []

            def strike(server, weight, share):
                if weight >= 1.0:  # for an end; a lesser one is a hint that an answer is late
                    struck.append(server.id)

            monkeypatch.setattr(balancer.outliers, "record_failure", strike)
            system.faults.add("connect", number, duration_s=for_s)
            got = await ask_through(sidecar, int(for_s / 0.01), 0.01)
            served = sum(code == 200 for code, _ in got) / len(got)
            print(f"{errno.errorcode[number]} for {for_s} s: served {served:.3f}, strikes {len(struck)}")
            late = max(seconds for _, seconds in got)
            if number in THEIRS:
                assert struck
                return
            assert not struck
            assert not balancer.endpoints.ejected
            assert late < PATIENT_MS / 1000
            assert served == 1.0 if for_s < PATIENT_MS / 2000 else served >= 0.6

    run(play())


# Datagrams

UNSENDABLE = [("255.255.255.255", 9), ("240.0.0.1", 9), (HOST, 0), ("224.0.0.1", 9)]


@pytest.mark.parametrize("play_on", LOOPS)
def test_datagrams_that_can_not_be_sent_are_lost_and_nothing_else(play_on):
    """EACCES (broadcast), ENETUNREACH, EINVAL, and ECONNREFUSED from an ICMP of a port that is closed."""

    async def play():
        loop, heard, problems = asyncio.get_running_loop(), [], []
        loop.set_exception_handler(lambda _, context: problems.append(context))
        socks = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(3)]
        for sock in socks:
            sock.setblocking(False)
            sock.bind((HOST, 0))
        closed = socks.pop()
        addresses = [sock.getsockname() for sock in socks]
        peers = [*addresses, closed.getsockname(), *UNSENDABLE]
        closed.close()
        ends = [
            PeerChannel(at, peers, ("255.255.255.255", 9), lambda *what: heard.append(what)) for at in (0, 1)
        ]
        for end, sock in zip(ends, socks, strict=True):
            await loop.create_datagram_endpoint(lambda end=end: end, sock=sock)
        for _ in range(20):
            for number in [*range(len(peers)), None]:
                ends[0].send(b"x", number)
            await asyncio.sleep(0)
        before = len([what for what in heard if what == (0, b"x")])
        ends[1].send(b"back", 0)
        ends[0].send(b"last", 1)
        await wait_until(lambda: (1, b"back") in heard and (0, b"last") in heard)
        assert before <= 20
        assert not problems
        assert not any(end.transport.is_closing() for end in ends)
        for end in ends:
            end.transport.close()

    play_on(play())


@pytest.mark.parametrize(
    "number", [errno.ENOBUFS, errno.EPERM, errno.ECONNREFUSED, errno.EMSGSIZE, errno.EINTR]
)
def test_a_datagram_whose_send_fails_is_lost_and_the_next_one_goes(number):
    class Refusing:
        """A transport whose sends raise, as a virtual one's or another loop's may."""

        sent = 0

        def is_closing(self):
            return False

        def sendto(self, data, address):
            self.sent += 1
            if self.sent < 3:
                raise OSError(number, "no")

    peers = PeerChannel(0, [(HOST, 1), (HOST, 2)], None, lambda *_: None)
    peers.transport = Refusing()
    for _ in range(3):
        peers.send(b"x", 1)
    assert peers.transport.sent == 3


# Discovery


@pytest.mark.parametrize("pushed", [False, True])
@pytest.mark.parametrize("call", ["socket", "connect", "setsockopt", "send"])
def test_discovery_continues_to_poll_when_its_calls_fail_on_this_machine(call, pushed):
    async def play():
        async def act(asked, reader, writer):
            writer.write(
                http_response(200, b'{"index": 7, "snapshot": true, "endpoints": []}', "Connection: close")
            )
            writer.close()

        fake, system, heard = await FakePeer(act).start(), FaultySystem(), []
        discovery = DiscoveryClient(
            asyncio.get_running_loop(),
            DiscoveryOrigin((HOST, fake.port), 1, pushed),
            NameTable([], []),
            heard.append,
            system,
        )

        def hear(told):
            heard.append(told)
            if told is None and not pushed:
                discovery.watch(True)  # as the module does after a failure

        discovery.on_update = hear
        system.faults.add(call, errno.ENOBUFS, fault_count=3)
        discovery.watch(True)
        await wait_until(lambda: any(told is not None and told.version == 7 for told in heard))
        discovery.close()
        await wait_until(lambda: not system.open_sockets())

    run(play())


# What the module makes of it


@pytest.mark.parametrize("effect", list(Effect))
def test_what_this_machine_could_not_send_spends_no_attempt_and_no_retry_token(effect):
    balancer, now = make_balancer(effect=effect)
    action = submit_request(balancer, now, 1)
    tokens, sends, deadline = balancer.retries.budget, [], now + 4 * SECOND
    for number in range(100):
        actions = balancer.handle(
            now, Outcome(1, number, action.endpoint_number, Status.NOT_ATTEMPTED, 0, False)
        )
        later = [(now, one) for one in actions] + run_timers(balancer, now, actions, deadline)
        ends = [(at, one) for at, one in later if isinstance(one, Send | Refuse | Fail)]
        assert len(ends) == 1
        assert ends[0][0] >= now
        now, action = ends[0]
        if not isinstance(action, Send):
            break
        sends.append(now)
    assert isinstance(action, Refuse)
    assert 4 <= len(sends) <= 20
    assert all(later > earlier for earlier, later in itertools.pairwise(sends))
    assert balancer.retries.budget >= tokens
    assert not balancer.endpoints.ejected
    assert not balancer.in_flight
