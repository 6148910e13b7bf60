"""Requests through a sidecar on real sockets: the outcome table, one answer each, no second copy."""

import asyncio
import time

import pytest
from net_helpers import (
    HOST,
    MS,
    FakePeer,
    Sidecar,
    config,
    endpoint_entry,
    http_response,
    list_update,
    never_respond,
    read_message,
    request_message,
    reset_connection,
    respond_ok,
    run,
    send_request,
    wait_until,
)

from dykefold.balancer.actions import CloseIdle, Probe
from dykefold.balancer.events import Outcome, Request, Status, Timer

NOT_RUN = "X-Not-Run: 1"


def say(*data):
    async def act(message, reader, writer):
        writer.write(b"".join(data))

    return act


async def break_at_once(message, reader, writer):
    reset_connection(writer)


async def break_inside(message, reader, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
    await writer.drain()
    writer.close()


async def end_without_length(message, reader, writer):
    writer.write(b"HTTP/1.1 200 OK\r\n\r\nwho knows whether this is all")
    await writer.drain()
    writer.close()


async def end_announced(message, reader, writer):
    writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nserved ")
    await writer.drain()
    writer.close()


def first_then_ok(act):
    """The first message meets a trouble, all later ones are served."""
    seen = []

    async def acting(message, reader, writer):
        seen.append(message)
        await (act if len(seen) == 1 else respond_ok)(message, reader, writer)

    return acting


def two_servers(fake, *more):
    return list_update(
        1, endpoint_entry("s1", fake.address), *(endpoint_entry(f"s{n}", a) for n, a in enumerate(more, 2))
    )


def test_a_request_goes_on_unchanged_and_its_answer_comes_back(tmp_path):
    async def play():
        fake = await FakePeer(
            say(http_response(200, b"held", "X-Load: rps=7,cpu=0.5", "Content-Type: text/x"))
        ).start()
        async with Sidecar(tmp_path / "c", config(two_servers(fake))) as sidecar:
            heard = []
            handle = sidecar.server.pool.balancer.handle
            sidecar.server.pool.balancer.handle = lambda now, event: heard.append(event) or handle(now, event)
            got = await send_request(sidecar.port, request_message("hold", "ab12", "900m", b"\x00body"))
        assert (got.code, got.body) == (200, b"held")
        assert got.headers["content-type"] == "text/x"
        assert "x-load" not in got.headers
        (sent,) = fake.received
        assert sent.start_line == "POST /hold/part?x=1 HTTP/1.1"
        assert sent.body == b"\x00body"
        assert sent.headers["x-request-id"] == "ab12"
        assert sent.headers["idempotency-key"] == "key-of-ab12"
        # The attempt's own time: no more than the client's, less what has passed.
        assert 0 < int(sent.headers["x-deadline"].removesuffix("m")) < 900
        (outcome,) = [event for event in heard if isinstance(event, Outcome)]
        assert outcome.report == (7.0, 0.5)
        assert outcome.final
        assert outcome.status is Status.OK

    run(play())


def test_connections_are_reused(tmp_path):
    """Asked too late whether a connection stays open, the parser always says no."""

    async def play():
        fake = await FakePeer(respond_ok).start()
        async with Sidecar(tmp_path / "c", config(two_servers(fake))) as sidecar:
            for number in range(5):
                assert (await send_request(sidecar.port, request_message("order", f"id{number}"))).code == 200
        assert len(fake.received) == 5
        assert fake.connections == 1

    run(play())


@pytest.mark.parametrize("cls", ["lookup", "hold", "order"])
@pytest.mark.parametrize(
    ("act", "codes", "copies"),
    [
        # Proven not to have run: any class may be sent again.
        (say(http_response(503, b"", NOT_RUN)), {200}, {2}),
        (say(http_response(504, b"", NOT_RUN)), {200}, {2}),
        # A plain error is an answer that may have had its effect: refused only if a retry does no harm.
        (say(http_response(500)), {"lookup": {503}, "hold": {502}, "order": {502}}, {1}),
        (say(http_response(503)), {"lookup": {503}, "hold": {502}, "order": {502}}, {1}),
        (say(http_response(504)), {"lookup": {503}, "hold": {502}, "order": {502}}, {1}),
        (say(http_response(500, b"", NOT_RUN)), {"lookup": {503}, "hold": {502}, "order": {502}}, {1}),
        (say(http_response(204, b"")), {"lookup": {503}, "hold": {502}, "order": {502}}, {1}),
        # Broken after the last byte was written: it may have run.
        (
            break_at_once,
            {"lookup": {200}, "hold": {200}, "order": {502}},
            {"lookup": {2}, "hold": {2}, "order": {1}},
        ),
        (
            break_inside,
            {"lookup": {200}, "hold": {200}, "order": {502}},
            {"lookup": {2}, "hold": {2}, "order": {1}},
        ),
        # Its end is that of the connection only where the server says that it will close.
        (end_announced, {200}, {1}),
        (
            end_without_length,
            {"lookup": {200}, "hold": {200}, "order": {502}},
            {"lookup": {2}, "hold": {2}, "order": {1}},
        ),
        (
            say(b"no http at all\r\n\r\n"),
            {"lookup": {200}, "hold": {200}, "order": {502}},
            {"lookup": {2}, "hold": {2}, "order": {1}},
        ),
    ],
    ids=[
        "503-not-run",
        "504-not-run",
        "500",
        "503",
        "504",
        "500-not-run",
        "204",
        "reset",
        "cut",
        "up-to-the-close",
        "no-length",
        "garbage",
    ],
)
def test_the_table_of_outcomes(tmp_path, cls, act, codes, copies):
    async def play():
        fake = await FakePeer(first_then_ok(act)).start()
        async with Sidecar(tmp_path / "c", config(two_servers(fake))) as sidecar:
            got = await send_request(sidecar.port, request_message(cls, "ab"))
        assert got.code in (codes[cls] if isinstance(codes, dict) else codes)
        assert len(fake.received) in (copies[cls] if isinstance(copies, dict) else copies)
        if got.code == 200:
            assert got.body == b"served "

    run(play())


@pytest.mark.parametrize("cls", ["lookup", "hold", "order"])
def test_a_refused_connection_is_no_attempt_that_ran(tmp_path, cls):
    async def play():
        down = await FakePeer(respond_ok).start()
        down.server.close()
        await down.server.wait_closed()
        async with Sidecar(tmp_path / "c", config(two_servers(down))) as sidecar:
            got = await send_request(sidecar.port, request_message(cls, "ab", "900m"))
        assert got.code == 503  # trying again is harmless

    run(play())


@pytest.mark.parametrize(("cls", "code"), [("lookup", 503), ("hold", 502), ("order", 502)])
def test_silence_ends_in_one_answer_within_the_deadline_and_one_copy(tmp_path, cls, code):
    async def play():
        fake = await FakePeer(never_respond).start()
        data = config(two_servers(fake))
        data["settings"]["ceilings"]["send-cap"] = 1
        async with Sidecar(tmp_path / "c", data) as sidecar:
            loop = asyncio.get_running_loop()
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            start = loop.time()
            writer.write(request_message(cls, "ab", "600m"))
            got = await read_message(reader)
            assert got.code == code
            assert 0.3 < loop.time() - start < 0.65
            await wait_until(lambda: fake.closed_connections == 1, "the given-up connection is closed")
            writer.write(request_message("lookup", "cd", "1m"))  # nothing more had come for the first
            assert (await read_message(reader)).code == 503
            writer.close()
        assert len(fake.received) == 1

    run(play())


def test_the_fallback_answers_when_the_balancer_raises(tmp_path):
    """An exception in one request must not disturb the others or the process."""

    async def play():
        fake = await FakePeer(respond_ok).start()
        async with Sidecar(tmp_path / "c", config(two_servers(fake))) as sidecar:
            handle = sidecar.server.pool.balancer.handle

            def failing(now, event):
                if isinstance(event, Request) and event.class_number == 2:
                    sidecar.server.pool.balancer.actions = []
                    raise ZeroDivisionError("of the module")
                return handle(now, event)

            sidecar.server.pool.balancer.handle = failing
            lost = asyncio.create_task(send_request(sidecar.port, request_message("order", "ab", "500m")))
            for number in range(3):
                assert (
                    await send_request(sidecar.port, request_message("lookup", f"id{number}"))
                ).code == 200
            assert (await lost).code == 503
            assert not sidecar.server.pool.pending

    run(play())


def test_the_fallback_fails_what_may_have_run(tmp_path):
    async def play():
        fake = await FakePeer(never_respond).start()
        async with Sidecar(tmp_path / "c", config(two_servers(fake))) as sidecar:
            handle = sidecar.server.pool.balancer.handle

            def deaf(now, event):
                if isinstance(event, Outcome | Timer):
                    sidecar.server.pool.balancer.actions = []
                    raise ZeroDivisionError("of the module")
                return handle(now, event)

            sidecar.server.pool.balancer.handle = deaf
            assert (await send_request(sidecar.port, request_message("order", "ab", "500m"))).code == 504

    run(play())


def test_an_attempt_that_cannot_be_made_is_refused_and_leaves_nothing(tmp_path):
    async def play():
        fake = await FakePeer(respond_ok).start()
        async with Sidecar(tmp_path / "c", config(two_servers(fake))) as sidecar:

            def broken(*_):
                raise ZeroDivisionError("of the program")

            sidecar_server = sidecar.server
            sidecar_server.pool.encode_request = broken
            assert (await send_request(sidecar.port, request_message("order", "ab", "300m"))).code == 503
            assert not sidecar_server.pool.pending
            assert not sidecar_server.pool.attempts
            del sidecar_server.pool.encode_request
            assert (await send_request(sidecar.port, request_message("order", "cd"))).code == 200

    run(play())


def test_a_client_that_left_frees_its_attempt(tmp_path):
    async def play():
        fake = await FakePeer(never_respond).start()
        async with Sidecar(tmp_path / "c", config(two_servers(fake))) as sidecar:
            _, writer = await asyncio.open_connection(HOST, sidecar.port)
            writer.write(request_message("order", "ab"))
            await wait_until(lambda: fake.received)
            writer.close()
            await wait_until(lambda: fake.closed_connections == 1, "its attempt is called off")
            sidecar_server = sidecar.server
            await wait_until(
                lambda: (
                    not sidecar_server.pool.pending
                    and not sidecar_server.pool.attempts
                    and not sidecar_server.pool.balancer.pending
                )
            )
            assert not sidecar_server.clients.all
            (server,) = sidecar_server.pool.balancer.known_endpoints.values()
            assert not server.in_flight  # the attempt's end was reported as well

    run(play())


def test_a_rejection_comes_at_once_and_states_when_to_retry(tmp_path):
    async def play():
        fake = await FakePeer(say(http_response(500))).start()
        async with Sidecar(tmp_path / "c", config(two_servers(fake))) as sidecar:
            got = await send_request(sidecar.port, request_message("lookup", "ab"))
        assert got.code == 503
        assert 0.0 < float(got.headers["retry-after"]) <= 2.0

    run(play())


def test_a_report_is_read_by_names_and_only_whole(tmp_path):
    async def play():
        async with Sidecar(tmp_path / "c", config(list_update(1))) as sidecar:
            read = sidecar.server.pool.reports.read
            assert read(b"cpu=0.25, rps=3") == (3.0, 0.25)
            assert read(b"qps=3,util=0.25,more=1") == (3.0, 0.25)
            for figure in (
                b"nan",
                b"inf",
                b"-1",
                b"1e9",
                b"x",
                b"",
                b"1_0",
                b"9" * 400,
                b"0x1",
                b"1.",
                b"\xb2",
            ):
                assert read(b"rps=3,cpu=" + figure) == ()
            for broken in (b"", b"rps=3", b"=,=", b"\xff=1", b"rps=1,rps=2,cpu=0.5", b"," * 9000):
                assert read(broken) == ()

    run(play())


def test_probe_requests_the_load_report_and_returns_its_result(tmp_path):
    async def play():
        act = first_then_ok(say(http_response(200, b"rps=7,cpu=0.5")))

        async def acting(message, reader, writer):
            assert message.start_line == "GET /-/load HTTP/1.1"
            assert "x-request-id" not in message.headers
            await act(message, reader, writer)

        fake = await FakePeer(acting).start()
        async with Sidecar(tmp_path / "c", config(two_servers(fake))) as sidecar:
            heard = []
            sidecar_server = sidecar.server
            (server,) = sidecar_server.pool.upstreams.endpoints
            sidecar_server.pool.balancer.handle = lambda now, event: heard.append(event) or []
            sidecar_server.pool.carry_out[Probe](Probe(server))
            await wait_until(lambda: heard)
            assert heard[0].status is Status.OK
            assert heard[0].report == (7.0, 0.5)
            sidecar_server.pool.carry_out[CloseIdle](CloseIdle(server))
            assert not sidecar_server.pool.upstreams.connections
            fake.server.close()
            sidecar_server.pool.carry_out[Probe](Probe(server))
            await wait_until(lambda: len(heard) > 1)
            assert heard[1].status is Status.CONNECT_FAILED
            assert heard[1].report == ()

    run(play())


def test_since_is_on_the_scale_of_the_clock_and_zero_stays_zero(tmp_path):
    async def play():
        since = int(time.time() * 1000) - 2000
        known = list_update(
            1, endpoint_entry("s1", f"{HOST}:9"), endpoint_entry("s2", f"{HOST}:10", since_ms=since)
        )
        async with Sidecar(tmp_path / "c", config(known)) as sidecar:
            started = sorted(
                server.started_ns for server in sidecar.server.pool.balancer.known_endpoints.values()
            )
            assert started[0] == 0
            assert 1000 * MS < sidecar.server.now() - started[1] < 60_000 * MS

    run(play())


def test_what_is_pipelined_into_the_end_of_a_shutdown_is_rejected(tmp_path):
    """No request may be pending when the process stops, though its connection was never idle."""

    async def play():
        go = asyncio.Event()

        async def act(message, reader, writer):
            await go.wait()
            writer.write(http_response(200, b"ok"))

        fake = await FakePeer(act).start()
        data = config(list_update(1, endpoint_entry("s0", fake.address)))
        async with Sidecar(tmp_path / "config.json", data) as sidecar:
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            writer.write(request_message("lookup", "a") + request_message("lookup", "b"))
            await wait_until(lambda: fake.received)
            sidecar.server.draining, sidecar.server.accepting_requests = True, False
            sidecar.server.shutdown.answer_all()
            got = [await read_message(reader), await read_message(reader)]
            assert [one.code for one in got] == [504, 503]
            assert "retry-after" in got[1].headers
            assert got[1].headers["connection"] == "close"
            assert len(fake.received) == 1
            go.set()
            writer.close()

    run(play())
