"""The time that a server is told is at most what its client has left, with 0.15 s of slack.

Real servers note what they were told and when the last byte of it came; a client's time counts from its own
last byte. What comes between the two is forced: a late loop, a connection made late, a slow socket.
"""

import asyncio
import contextlib
import socket
import time

import pytest
from hypothesis import given
from hypothesis import strategies as some
from net_helpers import (
    HOST,
    MS,
    FakePeer,
    Sidecar,
    async_test,
    config,
    endpoint_entry,
    http_response,
    list_update,
    read_message,
    request_message,
    reset_connection,
    respond_ok,
    wait_until,
)
from stream_helpers import read_body
from test_client_disconnects import (
    KB,
    SlowReadingServer,
    SmallBufferSystem,
    with_chunked_body,
    with_content_length,
)
from test_upstream_connections import full_backlog_listener

from dykefold.balancer.events import Status
from dykefold.net.downstream.arrivals import MAX_MARKS, Arrivals
from dykefold.net.downstream.request_assembler import MAX_WAITING_REQUESTS
from dykefold.net.service.attempt import Attempt
from dykefold.net.upstream.connection_pool import ConnectionPool

SLACK_S = 0.15
HELD_UP_S = 0.15  # at most, between reading the clock and writing
OWN_LATE_S = 0.02  # of the machine beside that, in a run that counts
RUNS_MOST = 12


class Told:
    """What servers were told, and when, against the client's own time."""

    def __init__(self):
        self.noted = []  # (id, seconds told, when its last byte had come)
        self.sent_s = {}  # when the client's last byte of each had gone

    def note(self, headers):
        self.noted.append((headers["x-request-id"], int(headers["x-deadline"][:-1]) / 1000, time.monotonic()))

    def over(self, wait_s):
        """By how many seconds each was told more than was left."""
        return [told - (self.sent_s[ident] + wait_s - came) for ident, told, came in self.noted]

    def noting(self, act=respond_ok):
        async def noted(got, reader, writer):
            self.note(got.headers)
            await act(got, reader, writer)

        return noted


async def ask(told, port, ident, data):
    reader, writer = await asyncio.open_connection(HOST, port)
    writer.write(data)
    await writer.drain()
    told.sent_s[ident] = time.monotonic()
    try:
        return await read_message(reader)
    finally:
        writer.close()


def late(call, seconds, before):
    """A function that is held up, before or after its work."""

    def played(*args, **named):
        if before:
            time.sleep(seconds)
        found = call(*args, **named)
        if not before:
            time.sleep(seconds)
        return found

    return played


HELD_UP = {
    "before the connection is chosen": (ConnectionPool, "start", True),
    "before the time is computed": (Attempt, "compose", True),
    "between the time and the write": (Attempt, "compose", False),
    "between wanting and starting": (Attempt, "wanted", False),
}


@pytest.mark.parametrize("effect", ["lookup", "order"])
@pytest.mark.parametrize("warm", [True, False], ids=["reused", "new"])
@pytest.mark.parametrize("where", HELD_UP)
@async_test
async def test_loop_delay_before_the_write_is_allowed_for(tmp_path, monkeypatch, where, warm, effect):
    """A run in which the machine itself was late on top says nothing, and is played again a few times."""
    owner, name, before = HELD_UP[where]
    monkeypatch.setattr(owner, name, late(getattr(owner, name), HELD_UP_S, before))
    for number in range(RUNS_MOST):
        told = Told()
        fake = await FakePeer(told.noting()).start()
        path = tmp_path / str(number)
        async with Sidecar(path, config(list_update(1, endpoint_entry("s1", fake.address)))) as sidecar:
            if warm:
                await ask(told, sidecar.port, "warm", request_message("order", "warm", "1000m"))
                told.noted.clear()
            code = (await ask(told, sidecar.port, "ab", request_message(effect, "ab", "1000m"))).code
        if time.monotonic() - told.sent_s["ab"] <= OWN_LATE_S + HELD_UP_S * (2 if "wanting" in where else 1):
            assert code == 200
            assert max(told.over(1.0)) <= SLACK_S
            return
    pytest.fail(f"this machine was late in each of {RUNS_MOST} runs: nothing was shown")


@async_test
async def test_retries_and_hedged_requests(tmp_path):
    """Each further attempt is told what is left then."""

    async def fail_and_hang(got, reader, writer):
        if len(told.noted) < 3:
            reset_connection(writer)
        else:
            await reader.read()

    told = Told()
    fakes = [await FakePeer(told.noting(fail_and_hang)).start() for _ in range(3)]
    data = config(list_update(1, *(endpoint_entry(f"s{n}", fake.address) for n, fake in enumerate(fakes))))
    data["settings"]["ceilings"]["second-copies"] = True
    async with Sidecar(tmp_path / "c", data) as sidecar:
        assert (await ask(told, sidecar.port, "ab", request_message("lookup", "ab", "700m"))).code in (
            502,
            503,
            504,
        )
    assert len(told.noted) > 1
    assert max(told.over(0.7)) <= 0.01


@pytest.mark.parametrize("deadline", ["15.4m", "16m", "15999u", "17m"])
@async_test
async def test_announced_deadline_never_exceeds_less_than_a_millisecond_left(tmp_path, deadline):
    """The client's last 15 ms are no server's: what is told is at least 1 ms, and never beyond these."""
    told = Told()
    fake = await FakePeer(told.noting()).start()
    async with Sidecar(tmp_path / "c", config(list_update(1, endpoint_entry("s1", fake.address)))) as sidecar:
        await ask(told, sidecar.port, "warm", request_message("order", "warm"))
        told.noted.clear()
        wait_s = float(deadline[:-1]) / (1000 if deadline[-1] == "m" else 1_000_000)
        got = await ask(told, sidecar.port, "ab", request_message("order", "ab", deadline))
        assert got.code in (200, 502, 503, 504)
    assert all(0 < told_s <= wait_s for _, told_s, _ in told.noted)
    assert all(over <= 0.0 for over in told.over(wait_s))


def late_listener(data):
    """A server at which connections come up some time after they were begun, by its system."""
    sock, fill = full_backlog_listener()
    data["known"]["endpoints"] = [endpoint_entry("s1", f"{HOST}:{sock.getsockname()[1]}")]
    data["settings"]["ceilings"]["connect-timeout-ns"] = 20_000 * MS
    return sock, fill


def begun(pool):
    """Whether a connect is on its way: its socket has a port then."""
    return any(
        made.sock.getsockname()[1]
        for target in pool.upstreams.endpoints.values()
        for made in target.opening.values()
    )


@pytest.mark.parametrize("framing", [with_content_length, with_chunked_body])
@async_test
async def test_an_upload_that_is_whole_when_its_connection_comes_up(tmp_path, framing):
    """Its time began with its last byte, while the connection was made."""
    data = config(list_update(1))
    sock, fill = late_listener(data)
    told, body = Told(), b"x" * (64 * KB + 8)  # so much is read though it can't go on
    async with Sidecar(tmp_path / "c", data) as sidecar:
        pool, loop = sidecar.server.pool, asyncio.get_running_loop()
        sent = framing(request_message("order", "ab", "3000m"), body)
        asked = asyncio.create_task(ask(told, sidecar.port, "ab", sent))
        await wait_until(
            lambda: begun(pool) and all(held.parsed.upload.ended for held in pool.pending.values())
        )
        for filler in fill:
            filler.close()
        sock.setblocking(False)
        tasks = []

        async def serve(taken):
            reader, writer = await asyncio.open_connection(sock=taken)
            with contextlib.suppress(asyncio.IncompleteReadError, OSError):
                lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                headers = {k.lower(): v for k, v in (x.split(": ", 1) for x in lines[1:] if x)}
                await read_body(reader, headers)
                told.note(headers)
                writer.write(http_response(200))

        async def take():
            while True:
                tasks.append(asyncio.create_task(serve((await loop.sock_accept(sock))[0])))

        tasks.append(asyncio.create_task(take()))
        assert (await asked).code == 200
        for one in tasks:
            one.cancel()
    sock.close()
    assert told.noted[-1][2] - told.sent_s["ab"] > 0.2  # its system asked again after a second
    assert max(told.over(3.0)) <= SLACK_S


KEPT_BACK = {
    "whole": lambda: request_message("order", "ab", "1000m", b"x" * 60 * KB),
    "upload": lambda: with_content_length(request_message("order", "ab", "1000m"), b"x" * 100 * KB),
    "upload in chunks": lambda: with_chunked_body(request_message("order", "ab", "1000m"), b"x" * 100 * KB),
}


@pytest.mark.parametrize("kind", KEPT_BACK)
@pytest.mark.parametrize("after_s", [0.05, 0.6])
@async_test
async def test_request_delayed_by_a_slow_socket_is_not_completed_after_its_announced_deadline(
    tmp_path, kind, after_s
):
    """The head has gone: a server that would begin so late that it was told too much never gets it whole."""
    server = SlowReadingServer()
    async with Sidecar(
        tmp_path / "c", config(list_update(1, endpoint_entry("s1", f"{HOST}:{server.port}")))
    ) as sidecar:
        pool, loop = sidecar.server.pool, asyncio.get_running_loop()
        pool.upstreams.system = SmallBufferSystem()
        client = socket.socket()
        client.setblocking(False)
        await loop.sock_connect(client, (HOST, sidecar.port))
        await loop.sock_sendall(client, KEPT_BACK[kind]())
        sent_s = time.monotonic()
        await wait_until(lambda: any(a.connection and a.connection.unwritten for a in pool.attempts.values()))
        await asyncio.sleep(sent_s + after_s - time.monotonic())
        server.go.set()
        found = await loop.sock_recv(client, 4 * KB) if after_s > 0.5 else b""
        if not found:
            await wait_until(lambda: server.whole())
        client.close()
    for whole in server.whole():
        head = bytes(whole).split(b"X-Deadline: ")[1]
        assert int(head.split(b"m\r\n")[0]) / 1000 <= 1.0 - after_s + SLACK_S
    if found:
        assert found.startswith(b"HTTP/1.1 503 ")  # it never ran
    server.close()


@async_test
async def test_an_attempt_whose_time_passed_while_its_connection_was_made_is_not_written(
    tmp_path, monkeypatch
):
    """The loop stands still as the connection has come up: nothing is left to tell."""
    told = Told()
    fake = await FakePeer(told.noting()).start()
    async with Sidecar(tmp_path / "c", config(list_update(1, endpoint_entry("s1", fake.address)))) as sidecar:
        loop = asyncio.get_running_loop()
        create = loop.create_connection

        async def stand_and_create(*args, **named):
            found = await create(*args, **named)
            time.sleep(0.6)
            return found

        class Loop:
            """The loop, but that it stands still when a connection has come up."""

            def __getattr__(self, name):
                return stand_and_create if name == "create_connection" else getattr(loop, name)

        sidecar.server.pool.upstreams.loop = Loop()
        got = await ask(told, sidecar.port, "ab", request_message("order", "ab", "300m"))
        assert got.code in (503, 504)
    assert not told.noted


@pytest.mark.parametrize(("left_ns", "written"), [(MS * 4 // 10, False), (10 * MS, True)])
@async_test
async def test_an_attempt_for_which_hardly_any_time_is_left_when_its_connection_is_up_is_not_written(
    tmp_path, monkeypatch, left_ns, written
):
    """It can't be answered in time, nor be told how little is left: it would only risk an effect."""
    fake = await FakePeer(respond_ok).start()
    async with Sidecar(tmp_path / "c", config(list_update(1, endpoint_entry("s1", fake.address)))) as sidecar:
        pool, wanted = sidecar.server.pool, Attempt.wanted

        def wanted_shortly_before_the_end(attempt):
            if not attempt.expires_ns:
                return wanted(attempt)
            with monkeypatch.context() as patch:
                patch.setattr(pool, "now", lambda: attempt.expires_ns - left_ns)
                return wanted(attempt)

        monkeypatch.setattr(Attempt, "wanted", wanted_shortly_before_the_end)
        ends = []
        pool.on_attempt_end = lambda endpoint, status, took_ns, objective_ns: ends.append(status)
        await ask(Told(), sidecar.port, "ab", request_message("order", "ab", "300m"))
    # Where it was not written, a further attempt may find the connection that was kept.
    assert ends[0] is (Status.OK if written else Status.NOT_ATTEMPTED)


@pytest.mark.parametrize("count", [12, 24, 40])
@async_test
async def test_requests_sent_ahead_of_their_answers(tmp_path, count):
    """Their time counts from their own last byte, however late it is read behind those before them."""

    async def slowly(got, reader, writer):
        await asyncio.sleep(0.05)
        await respond_ok(got, reader, writer)

    told = Told()
    fake = await FakePeer(told.noting(slowly)).start()
    async with Sidecar(tmp_path / "c", config(list_update(1, endpoint_entry("s1", fake.address)))) as sidecar:
        reader, writer = await asyncio.open_connection(HOST, sidecar.port)
        filler = f"X-Filler: {'x' * 1900}"  # one slice each
        for number in range(count):
            writer.write(request_message("lookup", f"id{number}", "800m", b"", filler))
        await writer.drain()
        told.sent_s = dict.fromkeys((f"id{number}" for number in range(count)), time.monotonic())
        codes = [(await read_message(reader)).code for _ in range(count)]
        took_s = time.monotonic() - told.sent_s["id0"]
        writer.close()
    assert codes[0] == 200
    assert set(codes) <= {200, 503, 504}
    assert max(told.over(0.8)) <= SLACK_S
    assert took_s < 0.8 + 0.5  # an answer that comes later is none


@async_test
async def test_a_request_that_comes_while_its_connection_is_not_read_has_its_own_time(tmp_path):
    """Guards a client that always sends ahead: its time begins with its request, not with the pause."""

    async def slowly(got, reader, writer):
        await asyncio.sleep(0.1)
        await respond_ok(got, reader, writer)

    told = Told()
    fake = await FakePeer(told.noting(slowly)).start()
    async with Sidecar(tmp_path / "c", config(list_update(1, endpoint_entry("s1", fake.address)))) as sidecar:
        reader, writer = await asyncio.open_connection(HOST, sidecar.port)
        ahead = MAX_WAITING_REQUESTS + 4
        writer.write(b"".join(request_message("lookup", f"id{number}", "3000m") for number in range(ahead)))
        await wait_until(lambda: len(told.noted) > ahead // 2)
        writer.write(request_message("lookup", "late", "3000m"))
        await writer.drain()
        told.sent_s["late"] = time.monotonic()
        codes = [(await read_message(reader)).code for _ in range(ahead + 1)]
        writer.close()
    assert set(codes) == {200}
    told.noted = told.noted[-1:]
    assert -0.6 < max(told.over(3.0)) <= SLACK_S  # counted from the pause it were a second less


@given(
    some.lists(some.tuples(some.sampled_from(("come", "count", "read")), some.integers(1, 9)), max_size=300)
)
def test_arrival_time_of_a_byte_is_never_estimated_too_late(steps):
    """While nothing is read as it comes; each step takes a nanosecond."""
    arrivals, came_ns = Arrivals(), []
    for now_ns, (step, size) in enumerate([("count", 1), *steps], 1):
        if step == "come":
            came_ns += [now_ns] * size
        elif step == "count":
            arrivals.mark(now_ns, len(came_ns) - arrivals.read)
        elif arrivals.read < len(came_ns):
            first_ns = came_ns[arrivals.read]
            assert arrivals.arrival_ns(live=False) <= first_ns
            arrivals.read += min(size, len(came_ns) - arrivals.read)
    assert len(arrivals.marks) <= MAX_MARKS
