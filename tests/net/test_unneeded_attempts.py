"""Attempts that wait for a connection while another attempt of their request is written or answered."""

import asyncio
from types import SimpleNamespace

import pytest
from net_helpers import (
    HOST,
    MS,
    FakePeer,
    Sidecar,
    config,
    endpoint_entry,
    list_update,
    read_message,
    request_message,
    respond_ok,
    run,
    wait_until,
)

from dykefold.balancer.actions import Send
from dykefold.balancer.settings import Effect, RequestClass
from dykefold.net.discovery.codec import parse_endpoint_update
from dykefold.net.service.attempt import AttemptsInFlight
from dykefold.net.service.attempts import AttemptRunner
from dykefold.net.service.pending_request import PendingRequest
from dykefold.net.upstream.classify import HttpProfile

WINDOW_NS = 600 * MS
TICK_NS = 5 * MS


class StartedAttempts:
    """A runner whose attempts all wait for their connections, on a clock that the test sets."""

    def __init__(self, effect):
        self.now_ns = 10**12
        self.waiting = []
        request_class = RequestClass("class", 1000 * MS, 4000 * MS, 1.0, 0.0, effect, window_ns=WINDOW_NS)
        host = SimpleNamespace(
            now=lambda: self.now_ns,
            settings=SimpleNamespace(classes=[request_class], tick_ns=TICK_NS),
            encode_request=lambda parsed, remaining_ns: b"",
        )
        parsed = SimpleNamespace(
            class_number=0,
            deadline_ns=self.now_ns + 4000 * MS,
            max_response_bytes=0,
            profile=HttpProfile.PLATFORM,
            upload=None,
        )
        sink = SimpleNamespace(client_has_closed=lambda: False)
        self.request = PendingRequest(1, parsed, sink, None, max_attempts=3)
        requests = SimpleNamespace(by_id={1: self.request}, reserve_descriptor=lambda request: True)
        pool = SimpleNamespace(start=lambda number, attempt, timeout_s: self.waiting.append(attempt))
        self.runner = AttemptRunner(host, requests, AttemptsInFlight(), pool)

    def start(self, endpoint_number):
        self.runner.start(Send(1, endpoint_number))
        return self.waiting[-1]


@pytest.mark.parametrize("answer", ["given", "begun"])
def test_waiting_attempt_is_not_written_after_the_final_answer(answer):
    """Guards against a second effect after the answer, where settings do not allow to cancel attempts."""
    started = StartedAttempts(Effect.UNSAFE)
    attempt = started.start(1)
    assert attempt.should_send()
    if answer == "given":
        started.request.awaiting_answer = False
    else:
        started.request.streaming_answer = True
    assert not attempt.should_send()


def test_first_attempt_is_written_only_within_the_window_of_a_later_one():
    """Guards against a second effect of a key that endpoints have forgotten since a hedged attempt ran."""
    started = StartedAttempts(Effect.KEYED)
    first = started.start(1)
    started.now_ns += 300 * MS
    hedged_ns = started.now_ns
    hedged = started.start(2)
    assert (first.should_send(), hedged.should_send()) == (True, True)
    started.now_ns += 300 * MS  # the window of the first attempt ends, within which the hedged one is written
    assert (first.should_send(), hedged.should_send()) == (True, False)
    started.now_ns = hedged_ns + WINDOW_NS - TICK_NS
    assert not first.should_send()


def test_safe_attempt_has_no_window():
    started = StartedAttempts(Effect.SAFE)
    first = started.start(1)
    started.start(2)
    started.now_ns += 2 * WINDOW_NS
    assert first.should_send()


class LateConnects:
    """An event loop whose connects to one port are noticed only once `allowed` is set."""

    def __init__(self, loop, port):
        self.loop, self.port = loop, port
        self.allowed = asyncio.Event()

    def __getattr__(self, name):
        return getattr(self.loop, name)

    async def sock_connect(self, sock, address):
        await self.loop.sock_connect(sock, address)
        if address[1] == self.port:
            await self.allowed.wait()


@pytest.mark.parametrize("request_class", ["lookup", "hold"])
def test_late_connection_does_not_carry_a_request_that_a_hedged_attempt_has_answered(tmp_path, request_class):
    """Guards against attempts after the final answer, with hedging and without cancellation."""

    async def scenario():
        late, fast = await FakePeer(respond_ok).start(), await FakePeer(respond_ok).start()
        late_entry = endpoint_entry("late", late.address)
        data = config(list_update(1, late_entry))
        data["settings"]["ceilings"] |= {
            "second-copies": True,
            "cancel": False,
            "connect-timeout-ns": 3000 * MS,
        }
        async with Sidecar(tmp_path / "c", data) as sidecar:
            pool = sidecar.server.pool
            loop = pool.connection_pool.loop = LateConnects(asyncio.get_running_loop(), late.port)
            # The client stays connected: nothing is sent for one that has left.
            reader, writer = await asyncio.open_connection(HOST, sidecar.port)
            writer.write(request_message(request_class, "hedged", "4000m"))
            await wait_until(lambda: pool.attempts)
            update = list_update(2, late_entry, endpoint_entry("fast", fast.address))
            pool.on_update(parse_endpoint_update(update, pool.names))
            # An overdue attempt at an ejected endpoint is hedged.
            pool.balancer.known_endpoints[pool.endpoint_numbers()["late"]].ejected = True
            assert (await read_message(reader)).code == 200
            assert len(fast.received) == 1
            assert pool.attempts  # the first one still waits for its connection
            loop.allowed.set()
            await wait_until(lambda: not pool.attempts)
            await asyncio.sleep(0.05)  # for a request that was written to arrive
            assert not late.received
            writer.close()

    run(scenario())
