"""What an end promises: when an attempt is reported as over, nothing of it stands at the other side."""

import asyncio
import contextlib
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import threading
import time

import pytest
from net_helpers import WAIT_TIMEOUT_S, run
from test_upstream_connections import PAYLOAD, make_pool

from dykefold.balancer.events import State, Status
from dykefold.net.upstream.exchange import Exchange
from standins.load import run_clients
from standins.sidecar import ROOT, sidecar
from standins.truth import CLOSE, GOOD, NEVER, SILENCE, SPOILT, Truth

HELD = 0.05  # seconds for which the loop is kept from its next turn, so that the server looks first


@contextlib.contextmanager
def truth(ports, act):
    server = Truth(ports, act)
    thread = threading.Thread(target=server.run)
    thread.start()
    try:
        yield server
    finally:
        server.stop()
        thread.join()


ENDS = {
    "cancel": (SILENCE, lambda exchange: exchange.give_up(Status.CANCELLED), Status.CANCELLED),
    "time-out": (SILENCE, lambda exchange: exchange.give_up(Status.TIMEOUT), Status.TIMEOUT),
    "spoilt": (SPOILT, None, Status.RESET),
    "stalled": (GOOD[:-1], None, Status.RESET),
    "closed": (CLOSE, None, Status.RESET),
    "full": (NEVER, None, Status.FULL),
}


@pytest.mark.parametrize("how", ENDS)
def test_a_repeat_in_the_same_turn_as_the_end_meets_no_earlier_attempt(how):
    answer, end, expected = ENDS[how]
    came, seen = threading.Event(), threading.Event()

    def act(arrival, earlier):
        if arrival.ident == "warm":
            return GOOD
        again = came.is_set()
        (seen if again else came).set()
        return GOOD if again else answer

    with truth(2, act) as server:

        async def play():
            first, second = (("127.0.0.1", port) for port in server.numbers)
            pool = make_pool(first)
            pool.update(2, second, 0, State.READY)
            done = asyncio.get_running_loop().create_future()
            # A connection to the second server stands ready: the repeat's bytes go out within the call.
            warm = asyncio.get_running_loop().create_future()
            pool.start(
                2,
                Exchange(PAYLOAD.replace(b"ab", b"warm"), lambda _, s, a: warm.set_result(s), 99),
                WAIT_TIMEOUT_S,
            )
            assert await warm is Status.OK

            def again(_, status, answer):
                assert status is expected
                pool.start(2, Exchange(PAYLOAD, lambda _, s, a: done.set_result(s), 99), WAIT_TIMEOUT_S)
                assert seen.wait(WAIT_TIMEOUT_S)
                time.sleep(HELD)

            exchange = Exchange(PAYLOAD, again, 99)
            pool.start(1, exchange, WAIT_TIMEOUT_S)
            await asyncio.to_thread(came.wait, WAIT_TIMEOUT_S)
            if end is not None:
                end(exchange)
            assert await done is Status.OK
            pool.close()

        run(play())
        assert (server.tally.requests, server.tally.overlaps) == (3, 0)


def begin(payload):
    """An exchange on its way to a server that is driven by hand, and the list of its ends."""
    server = socket.create_server(("127.0.0.1", 0))
    pool = make_pool(server.getsockname())
    ends = []
    exchange = Exchange(payload, lambda _, status, answer: ends.append(status), 99)
    pool.start(1, exchange, WAIT_TIMEOUT_S)
    return server, pool, exchange, ends


def test_a_half_written_order_is_never_completed_after_it_was_given_up():
    """The transport would go on writing what it has buffered: the server reads in that very moment."""
    payload = b"POST /order HTTP/1.1\r\nX-Request-Id: ab\r\nContent-Length: 4000000\r\n\r\n"
    payload += b"x" * 4_000_000

    async def play():
        server, pool, exchange, ends = begin(payload)
        while exchange.connection is None:
            await asyncio.sleep(0.005)
        peer, _ = server.accept()
        assert exchange.connection.unwritten
        exchange.give_up(Status.CANCELLED)
        # Room comes up before the loop's next turn, in which the transport is closed.
        got = b""
        peer.settimeout(HELD)
        with contextlib.suppress(OSError):
            while data := peer.recv(1 << 20):
                got += data
        assert ends == [Status.CONNECT_FAILED]
        await asyncio.sleep(HELD)
        peer.settimeout(WAIT_TIMEOUT_S)
        with contextlib.suppress(ConnectionResetError):
            while data := peer.recv(1 << 20):
                got += data
        assert len(got) < len(payload)
        peer.close()
        server.close()
        pool.close()

    run(play())


def test_an_answer_in_the_very_turn_in_which_it_is_given_up_ends_it_once():
    async def play():
        server, pool, exchange, ends = begin(PAYLOAD)
        while exchange.connection is None:
            await asyncio.sleep(0.005)
        peer, _ = server.accept()
        peer.sendall(GOOD)
        time.sleep(HELD)  # it has come; the loop has had no turn to read it
        exchange.give_up(Status.TIMEOUT)
        await asyncio.sleep(HELD)
        assert ends == [Status.TIMEOUT]
        assert not pool.connections
        peer.close()
        server.close()

    run(play())


def test_a_cancel_while_the_connect_completes_writes_nothing():
    async def play():
        server, pool, exchange, ends = begin(PAYLOAD)
        server.settimeout(0)
        peer = None
        while peer is None:
            await asyncio.sleep(0)  # until the connect is on its way
            with contextlib.suppress(BlockingIOError):
                peer, _ = server.accept()  # the kernel has completed it; the loop may not know yet
        exchange.give_up(Status.CANCELLED)
        assert ends == [Status.CONNECT_FAILED]
        await asyncio.sleep(HELD)
        peer.setblocking(False)
        with contextlib.suppress(BlockingIOError, ConnectionResetError):
            assert not peer.recv(1)
        assert not pool.endpoints[1].opening
        pool.close()
        peer.close()
        server.close()
        assert not pool.connections
        assert not pool.allowance.in_use

    run(play())


def test_what_was_given_up_while_its_connect_completed_is_not_written_on_a_freed_connection():
    """The cause of a second copy on the bench: reported as never run, then written, then repeated."""
    with truth(1, lambda arrival, earlier: GOOD) as server:

        async def play():
            pool = make_pool(("127.0.0.1", server.numbers[0]))
            target = pool.endpoints[1]
            warm = asyncio.get_running_loop().create_future()
            pool.start(1, Exchange(PAYLOAD, lambda _, s, a: warm.set_result(s), 99), WAIT_TIMEOUT_S)
            assert await warm is Status.OK
            free = pool._take_idle(target, time.monotonic())
            ends = []
            exchange = Exchange(PAYLOAD.replace(b"ab", b"late"), lambda _, s, a: ends.append(s), 99)
            pool.start(1, exchange, WAIT_TIMEOUT_S)
            while exchange.opening is not None:
                await asyncio.sleep(0)
            assert exchange in target.opening
            assert exchange.connection is None
            exchange.give_up(Status.CANCELLED)
            pool.keep_idle(free, time.monotonic())
            assert ends == [Status.CONNECT_FAILED]
            assert free.exchange is None
            await asyncio.sleep(HELD)
            pool.close()

        run(play())
        assert "late" not in server.arrivals


def test_reused_descriptor_number_is_a_separate_connection():
    """Guards the next connection under the same number from the end of the one before it."""
    with truth(1, lambda arrival, earlier: GOOD if arrival.ident == "b" else SILENCE) as server:

        async def play():
            pool = make_pool(("127.0.0.1", server.numbers[0]))
            for _ in range(20):
                exchange = Exchange(PAYLOAD, lambda *_: None, 99)
                pool.start(1, exchange, WAIT_TIMEOUT_S)
                while exchange.connection is None:
                    await asyncio.sleep(0)
                number = exchange.connection.sock.fileno()
                exchange.give_up(Status.TIMEOUT)
                done = asyncio.get_running_loop().create_future()
                other = Exchange(PAYLOAD.replace(b"ab", b"b"), lambda _, s, a: done.set_result(s), 99)  # noqa: B023
                pool.start(1, other, WAIT_TIMEOUT_S)
                assert await done is Status.OK
                pool.close_idle(1)
                assert number > 0
            pool.close()

        run(play())


def test_the_servers_of_these_tests_go_on_when_a_client_has_reset_before_its_answer():
    """Their thread ended with the error, and a run of some seconds was judged by what came before."""
    came, gone = threading.Event(), threading.Event()

    def act(arrival, earlier):
        if arrival.ident == "ab":
            came.set()
            assert gone.wait(WAIT_TIMEOUT_S)
        return GOOD

    def send(number, payload):
        sock = socket.create_connection(("127.0.0.1", number), WAIT_TIMEOUT_S)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))  # closed by a reset
        sock.sendall(payload)
        return sock

    with truth(1, act) as server:
        sock = send(server.numbers[0], PAYLOAD)
        assert came.wait(WAIT_TIMEOUT_S)
        sock.close()
        gone.set()
        with send(server.numbers[0], PAYLOAD.replace(b"ab", b"other")) as other:
            assert other.recv(len(GOOD)) == GOOD


@pytest.mark.processes
def test_a_paused_process_sends_no_repeat_that_overlaps():
    """The real process, stopped for 60 ms again and again while one node after the other is in trouble."""
    outcome = paused_run(seconds=6.0)
    assert outcome["repeats"] > 20, outcome
    assert (outcome["overlaps"], outcome["orders_twice"]) == (0, 0)


def paused_run(seconds, nodes=6, phase_s=0.25, tree=ROOT):
    command = [sys.executable, "-m", "standins.truth", str(nodes), str(phase_s)]
    with (
        subprocess.Popen(command, cwd=ROOT, stdin=subprocess.PIPE, stdout=subprocess.PIPE) as process,
        sidecar([int(port) for port in process.stdout.readline().split()], tree=tree) as running,
    ):

        async def play():
            load = asyncio.create_task(run_clients(running.port, 32, seconds, orders=0.2))
            while not load.done():
                os.kill(running.process.pid, signal.SIGSTOP)
                await asyncio.sleep(0.06)
                os.kill(running.process.pid, signal.SIGCONT)
                await asyncio.wait([load], timeout=0.1)
            return load.result()

        tally = asyncio.run(play())
        assert tally.served
        process.stdin.close()
        return json.loads(process.stdout.readline())
