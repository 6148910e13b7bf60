"""An attempt whose last byte goes out more than 0.1 s after its client's close is a lost request.

Real connections; a raw server notes what came whole, and takes nothing until it is let. What holds an
attempt back (a slow socket, a connection being made, a backoff, an upload on its way) ends after the close.
"""

import asyncio
import contextlib
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
    request_message,
    respond_ok,
    send_request,
    wait_until,
)
from test_upstream_connections import full_backlog_listener

from dykefold.balancer.events import Status
from dykefold.net.downstream.request_assembler import MAX_WAITING_REQUESTS
from dykefold.net.upstream.connection import UpstreamConnection
from dykefold.system import System

LATE_S = 0.15  # after a close; nothing may go out later than 0.1 s after it
KB = 1024
SMALL = 2 * KB  # bytes of the kernel's buffers on the way to a server


class SmallBufferSystem(System):
    """A machine whose sockets take little ahead of their readers."""

    def tcp_socket(self):
        sock = super().tcp_socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL)
        return sock


class SlowReadingServer:
    """Takes in connections at once, and reads only once it is let; what each one brought."""

    def __init__(self):
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL)
        self.sock.bind((HOST, 0))
        self.sock.listen()
        self.sock.setblocking(False)
        self.go = asyncio.Event()
        self.brought = []
        self.ended = 0
        self.tasks = [asyncio.create_task(self._take())]

    @property
    def port(self):
        return self.sock.getsockname()[1]

    async def _take(self):
        loop = asyncio.get_running_loop()
        while True:
            taken, _ = await loop.sock_accept(self.sock)
            self.tasks.append(asyncio.create_task(self._read(taken)))

    async def _read(self, taken):
        loop = asyncio.get_running_loop()
        self.brought.append(got := bytearray())
        with taken, contextlib.suppress(OSError):
            await self.go.wait()
            while data := await loop.sock_recv(taken, 64 * KB):
                got += data
        self.ended += 1

    def whole(self):
        """Requests that came to their last byte."""
        return [got for got in self.brought if _whole(bytes(got))]

    def close(self):
        for task in self.tasks:
            task.cancel()
        self.sock.close()


def _whole(got):
    head, blank, body = got.partition(b"\r\n\r\n")
    if b"chunked" in head:
        return got.endswith(b"\r\n0\r\n\r\n")
    length = next((line for line in head.split(b"\r\n") if line.startswith(b"Content-Length:")), b":0")
    return bool(blank) and len(body) == int(length.split(b":")[1])


def gone(sidecar):
    return not sidecar.server.clients.all and not sidecar.server.pool.pending


def end(sock, how):
    if how == "reset":
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    if how == "half":
        sock.shutdown(socket.SHUT_WR)
    else:
        sock.close()


def with_chunked_body(data, body):
    head = data.replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
    return head + b"%x\r\n%s\r\n0\r\n\r\n" % (len(body), body)


def with_content_length(data, body):
    return data.replace(b"Content-Length: 0", b"Content-Length: %d" % len(body)) + body


HELD_BACK = {
    # what is sent: its body outgrows the sockets on the way to the server
    "whole": lambda: request_message("order", "ab", "4000m", b"x" * 60 * KB),
    "whole, requests behind it": lambda: (
        request_message("order", "ab", "4000m", b"x" * 60 * KB)
        + b"".join(request_message("order", f"id{n}") for n in range(2 * MAX_WAITING_REQUESTS))
    ),
    "upload": lambda: with_content_length(request_message("order", "ab", "4000m"), b"x" * 200 * KB),
    "upload in chunks": lambda: with_chunked_body(request_message("order", "ab", "4000m"), b"x" * 200 * KB),
    "upload, requests behind it": lambda: (
        with_content_length(request_message("order", "ab", "4000m"), b"x" * 80 * KB)
        + b"".join(request_message("order", f"id{n}") for n in range(2 * MAX_WAITING_REQUESTS))
    ),
}


@pytest.mark.parametrize("how", ["close", "reset", "half"])
@pytest.mark.parametrize("cancel", [True, False], ids=["may-cancel", "may-not"])
@pytest.mark.parametrize("kind", HELD_BACK)
@async_test
async def test_what_a_slow_socket_keeps_back_never_gets_whole_once_its_client_left(
    tmp_path, kind, cancel, how
):
    """A server begins a request with its last byte, and that is still here: the server has not failed."""
    server = SlowReadingServer()
    data = config(list_update(1, endpoint_entry("s1", f"{HOST}:{server.port}")))
    data["settings"]["ceilings"]["cancel"] = cancel
    async with Sidecar(tmp_path / "c", data) as sidecar:
        pool, loop = sidecar.server.pool, asyncio.get_running_loop()
        ends = []
        pool.on_attempt_end = lambda endpoint, status, took_ns, objective_ns: ends.append(status)
        pool.upstreams.system = SmallBufferSystem()
        client = socket.socket()
        client.setblocking(False)
        await loop.sock_connect(client, (HOST, sidecar.port))
        await loop.sock_sendall(client, HELD_BACK[kind]())
        await wait_until(lambda: any(a.connection and a.connection.unwritten for a in pool.attempts.values()))
        await asyncio.sleep(LATE_S)  # all that will be read before the close has been
        end(client, how)
        await asyncio.sleep(LATE_S)
        server.go.set()
        await wait_until(lambda: gone(sidecar) and not pool.upstreams.connections)
        await wait_until(lambda: server.ended == len(server.brought))
        client.close()
        assert not server.whole()
        assert set(ends) == {Status.NOT_ATTEMPTED}
        assert pool.balancer.known_endpoints[1].failure_score == 0.0
    server.close()


@async_test
async def test_request_delayed_by_a_slow_socket_is_completed_while_its_client_waits(tmp_path):
    """The other side of the table above: all kinds are served where the client stays."""
    for kind in HELD_BACK.values():
        server = SlowReadingServer()
        async with Sidecar(
            tmp_path / "c", config(list_update(1, endpoint_entry("s1", f"{HOST}:{server.port}")))
        ) as sidecar:
            pool, loop = sidecar.server.pool, asyncio.get_running_loop()
            pool.upstreams.system = SmallBufferSystem()
            client = socket.socket()
            client.setblocking(False)
            await loop.sock_connect(client, (HOST, sidecar.port))
            await loop.sock_sendall(client, kind())
            await wait_until(
                lambda: any(a.connection and a.connection.unwritten for a in pool.attempts.values())  # noqa: B023
            )
            server.go.set()
            await wait_until(lambda: len(server.whole()) == 1)  # noqa: B023
            client.close()
        server.close()


# What has not been written yet


async def turned_away(got, reader, writer):
    writer.write(http_response(503, b"", "X-Not-Run: 1"))


async def hang(got, reader, writer):
    await reader.read()


WAITS = {
    # what the next attempt waits for: how servers act, and what the settings allow
    "a repeat's backoff": (turned_away, {}),
    "a hedged request's turn": (hang, {"second-copies": True}),
    "a hedged request's turn, no cancel": (hang, {"second-copies": True, "cancel": False}),
}


@pytest.mark.parametrize("late", [0.0, LATE_S], ids=["in time", "late loop"])
@pytest.mark.parametrize("paused", [False, True], ids=["read", "not read"])
@pytest.mark.parametrize("how", ["close", "reset", "half"])
@pytest.mark.parametrize("kind", WAITS)
@async_test
async def test_no_further_attempt_begins_once_its_client_left(tmp_path, monkeypatch, kind, how, paused, late):
    act, limits = WAITS[kind]
    written_s, send = [], UpstreamConnection.send

    def noted(connection, exchange, now):
        found = send(connection, exchange, now)
        written_s.append(time.monotonic() if found else 0.0)
        return found

    monkeypatch.setattr(UpstreamConnection, "send", noted)
    fakes = [await FakePeer(act).start() for _ in range(3)]
    data = config(list_update(1, *(endpoint_entry(f"s{n}", fake.address) for n, fake in enumerate(fakes))))
    data["settings"]["ceilings"].update(limits)
    async with Sidecar(tmp_path / "c", data) as sidecar:
        client, loop = socket.socket(), asyncio.get_running_loop()
        client.setblocking(False)
        await loop.sock_connect(client, (HOST, sidecar.port))
        behind = 2 * MAX_WAITING_REQUESTS if paused else 0
        asked = [request_message("lookup", f"id{number}", "2000m") for number in range(1 + behind)]
        await loop.sock_sendall(client, b"".join(asked))
        await wait_until(lambda: any(fake.received for fake in fakes))
        left_s = []

        def leave():
            end(client, how)
            left_s.append(time.monotonic())

        if late:
            block_event_loop(loop, late, leave)
            await wait_until(lambda: left_s)
        else:
            leave()
        await wait_until(lambda: gone(sidecar) and not sidecar.server.pool.attempts)
        client.close()
    assert any(written_s)
    assert not [at for at in written_s if at > left_s[0] + 0.1]


@pytest.mark.parametrize("paused", [False, True], ids=["read", "not read"])
@pytest.mark.parametrize("how", ["close", "reset", "half"])
@async_test
async def test_what_waits_for_a_connection_is_not_written_once_its_client_left(tmp_path, how, paused):
    """One of its own that is being made, and one that another request's answer sets free."""
    sock, fill = full_backlog_listener()
    data = config(list_update(1, endpoint_entry("s1", f"{HOST}:{sock.getsockname()[1]}")))
    data["settings"]["ceilings"]["connect-timeout-ns"] = 20_000 * MS
    async with Sidecar(tmp_path / "c", data) as sidecar:
        pool, loop = sidecar.server.pool, asyncio.get_running_loop()
        client = socket.socket()
        client.setblocking(False)
        await loop.sock_connect(client, (HOST, sidecar.port))
        asked = [
            request_message("order", f"id{n}", "4000m") for n in range(1 + 2 * MAX_WAITING_REQUESTS * paused)
        ]
        await loop.sock_sendall(client, b"".join(asked))
        opening = pool.upstreams.endpoints[1].opening
        await wait_until(lambda: opening and all(made.sock.getsockname()[1] for made in opening.values()))
        end(client, how)
        for filler in fill:
            filler.close()
        sock.setblocking(False)
        taken = []

        async def take():
            while True:
                taken.append((await loop.sock_accept(sock))[0])

        task = asyncio.create_task(take())
        # Its system asks for the connection again after a second.
        await wait_until(lambda: gone(sidecar) and not pool.attempts and pool.upstreams.idle)
        task.cancel()
        for one in taken:
            one.setblocking(False)
            with contextlib.suppress(OSError):
                assert not one.recv(4096)
            one.close()
        client.close()
    sock.close()


@pytest.mark.parametrize("how", ["close", "reset", "half"])
@async_test
async def test_what_meets_only_resting_connections_is_not_written_once_its_client_left(tmp_path, how):
    """Where servers answer twice connections rest, and a request has a new one made."""
    fake = await FakePeer(respond_ok).start()
    async with Sidecar(tmp_path / "c", config(list_update(1, endpoint_entry("s1", fake.address)))) as sidecar:
        pool, loop = sidecar.server.pool, asyncio.get_running_loop()
        assert (await send_request(sidecar.port, request_message("order", "warm"))).code == 200
        resting = pool.upstreams.quarantine
        resting.limit_s, resting.seen_at_s = WAIT_TIMEOUT_S, time.monotonic()
        client = socket.create_connection((HOST, sidecar.port))
        connect = loop.sock_connect

        class Loop:
            """The loop, but that a connect takes a moment in which the client leaves."""

            def __getattr__(self, name):
                return connect_and_leave if name == "sock_connect" else getattr(loop, name)

        async def connect_and_leave(*args):
            end(client, how)
            await connect(*args)

        pool.upstreams.loop = Loop()
        client.sendall(request_message("order", "ab"))
        await wait_until(lambda: len(pool.upstreams.idle) == 2)  # the one that was made is kept beside
        await wait_until(lambda: gone(sidecar) and not pool.attempts)
        client.close()
        assert [got.headers["x-request-id"] for got in fake.received] == ["warm"]
