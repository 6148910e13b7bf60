"""Lists of servers, where an end, an answer and a silence cross: what was told is known in time.

docs/design/crossings.md numbers the pairs. Each order is forced: a peer answers when it is let, or the loop
stands still while something comes.
"""

import asyncio
import json
import socket
import threading
import time

import pytest
from hypothesis import given
from hypothesis import strategies as st
from net_helpers import (
    HOST,
    WAIT_TIMEOUT_S,
    FakePeer,
    Sidecar,
    async_test,
    block_event_loop,
    config,
    endpoint_entry,
    http_response,
    list_update,
    wait_until,
)

from dykefold.balancer.actions import SetTimer, Watch
from dykefold.balancer.balancer import Balancer
from dykefold.balancer.events import Endpoint, EndpointListUpdate, ListKind, State, Timer
from dykefold.balancer.settings import Effect, RequestClass, Settings
from dykefold.net.discovery import client as discovery
from dykefold.net.discovery.client import DiscoveryClient, DiscoveryOrigin
from dykefold.net.discovery.codec import NameTable

SECOND = 1_000_000_000
TOLD_WITHIN = 6.0  # seconds after which a change counts as told that a silent or failed call has missed
TOLD_AFTER_WAIT = 2.0  # ... or after the end of the wait that a call may have


def listing(index, *entries, snapshot=False, indent=None):
    return http_response(
        200, json.dumps(list_update(index, *entries, snapshot=snapshot), indent=indent).encode()
    )


DRAINED = endpoint_entry("s1", f"{HOST}:7", "DRAINING")


def watcher(fake, heard, pushed=False):
    names = NameTable(["a", "b"], ["std"])
    made = DiscoveryClient(
        asyncio.get_running_loop(), DiscoveryOrigin((HOST, fake.port), 40, pushed), names, heard.append
    )
    made.watch(True)
    return made


@pytest.mark.parametrize("pushed", [False, True], ids=["asked", "pushed"])
def test_the_chain_from_silence_to_the_next_answer_is_within_its_bound(pushed):
    wait_s = (discovery.WATCH_PUSHED_MS if pushed else discovery.WATCH_POLLED_MS) / 1000
    bound_s = max(TOLD_WITHIN, wait_s + TOLD_AFTER_WAIT)
    if pushed:
        assert wait_s + discovery.OVERDUE_PUSHED_S + 4 * discovery.RETRY_PUSHED_S < bound_s
    else:
        assert wait_s + discovery.OVERDUE_POLLED_S + 1.0 < bound_s  # what a call that is not silent may take
    assert wait_s <= 60.0
    assert discovery.MAX_OPEN_CALLS >= 2


@pytest.mark.parametrize("pushed", [False, True], ids=["asked", "pushed"])
@async_test
async def test_a_silent_watch_is_replaced_before_it_is_given_up(pushed, monkeypatch):
    """calm+brink: all open watches fall silent, servers begin to drain; it was heard of after 24 s."""
    monkeypatch.setattr(discovery, "WATCH_POLLED_MS", 200)
    monkeypatch.setattr(discovery, "WATCH_PUSHED_MS", 200)

    async def act(message, reader, writer):
        if len(fake.received) > 1:
            open_then.append(fake.closed_connections)
            writer.write(listing(41, DRAINED))
        await reader.read()

    open_then = []
    fake = await FakePeer(act).start()
    heard = []
    both = watcher(fake, heard, pushed)
    began = time.monotonic()
    await wait_until(lambda: heard)
    assert time.monotonic() - began < 0.2 + TOLD_AFTER_WAIT
    assert heard[0].version == 41
    assert heard[0].entries[0].endpoint.state is State.DRAINING
    assert open_then[0] == 0  # the silent one stood while it was asked beside
    await wait_until(lambda: fake.closed_connections)  # ... and goes when there is an answer
    assert heard == [heard[0]]
    assert both.watching
    both.close()


@async_test
async def test_a_pushed_watch_that_falls_silent_misses_nothing_for_long():
    """By the real figures."""

    async def act(message, reader, writer):
        if len(fake.received) > 1:
            writer.write(listing(41, DRAINED, indent=2))
        await reader.read()

    fake = await FakePeer(act).start()
    heard = []
    agent = watcher(fake, heard, pushed=True)
    began = time.monotonic()
    await wait_until(lambda: heard)
    assert time.monotonic() - began < TOLD_WITHIN - 1.0
    agent.close()


@async_test
async def test_silent_agent_is_called_repeatedly_with_a_bound(monkeypatch):
    """An agent cut off from discovery holds its answers; what it gets at the return counts at once."""
    monkeypatch.setattr(discovery, "WATCH_PUSHED_MS", 100)
    monkeypatch.setattr(discovery, "OVERDUE_PUSHED_S", 0.05)
    monkeypatch.setattr(discovery, "RETRY_PUSHED_S", 0.05)

    async def act(message, reader, writer):
        standing.append(fake.connections - fake.closed_connections)
        if back.is_set():
            writer.write(listing(41, DRAINED))
        await reader.read()

    standing = []
    back = asyncio.Event()
    fake = await FakePeer(act).start()
    heard = []
    agent = watcher(fake, heard, pushed=True)
    await wait_until(lambda: len(fake.received) > 8)
    assert not heard
    assert max(standing) <= discovery.MAX_OPEN_CALLS + 1
    back.set()
    returned = time.monotonic()
    await wait_until(lambda: heard)
    assert time.monotonic() - returned < 0.5  # the grace of a drain
    agent.close()


@async_test
async def test_an_answer_to_the_earlier_of_two_calls_counts():
    """It was written to this process, and so told."""

    async def act(message, reader, writer):
        if len(fake.received) == 1:
            await go.wait()
            writer.write(listing(41, DRAINED))
        else:
            await reader.read()

    go = asyncio.Event()
    fake = await FakePeer(act).start()
    heard = []
    both = watcher(fake, heard)
    await wait_until(lambda: fake.received)
    both.poll_now()
    await wait_until(lambda: len(fake.received) >= 2)
    go.set()
    await wait_until(lambda: heard)
    assert heard[0].version == both.version == 41
    assert both.watching
    await wait_until(lambda: len(fake.received) >= 3)  # it goes on from there
    assert "after=41&" in fake.received[2].start_line
    both.close()


@async_test
async def test_an_older_answer_to_the_earlier_of_two_calls_sets_nothing_back(monkeypatch):
    monkeypatch.setattr(discovery, "WATCH_POLLED_MS", 100)
    monkeypatch.setattr(discovery, "OVERDUE_POLLED_S", 0.05)

    async def act(message, reader, writer):
        writers.append(writer)
        if len(writers) == 2:  # both in the order that must not count
            writer.write(listing(43, endpoint_entry("s2", f"{HOST}:8")))
            writers[0].write(listing(42, endpoint_entry("s1", f"{HOST}:7")))
        await reader.read()

    writers = []
    fake = await FakePeer(act).start()
    heard = []
    both = watcher(fake, heard)
    await wait_until(lambda: len(writers) >= 3)
    assert both.version == 43
    assert "after=43&" in fake.received[2].start_line
    assert [told.version for told in heard if told.entries] in ([43], [42, 43])
    both.close()


@pytest.mark.parametrize("answers", ["the silent one", "the third"])
@async_test
async def test_a_call_beside_a_silent_one_that_fails_ends_neither_of_them(answers, monkeypatch):
    """The silent one may speak yet; and the call after the failure is made as after any failure."""
    monkeypatch.setattr(discovery, "WATCH_POLLED_MS", 100)
    monkeypatch.setattr(discovery, "OVERDUE_POLLED_S", 0.05)

    async def act(message, reader, writer):
        calls.append(writer)
        if len(calls) == 2:
            writer.write(http_response(503, b""))
        elif len(calls) == 3 and answers == "the third":
            writer.write(listing(41, DRAINED))

    calls, heard = [], []
    fake = await FakePeer(act).start()
    asker = watcher(fake, heard)
    await wait_until(lambda: heard)
    monkeypatch.undo()  # no further call is overdue
    assert heard == [None]
    assert not asker.watching
    assert len(calls) == 2
    assert fake.connections - fake.closed_connections >= 1
    assert not calls[0].is_closing()
    if answers == "the third":
        asker.watch(True)  # as the module says after its pause
    else:
        calls[0].write(listing(41, DRAINED))
    await wait_until(lambda: len(heard) > 1)
    assert heard[1].version == asker.version == 41
    assert asker.watching
    await wait_until(lambda: len(calls) > (3 if answers == "the third" else 2))
    assert "after=41&" in fake.received[-1].start_line  # one watch goes on, whichever told
    asker.watch(True)  # the module's own timer, which is late, opens no second one
    assert len(asker.open_calls) == 1
    asker.close()


@async_test
async def test_updates_of_the_previous_discovery_count_until_the_new_one_has_sent_its_list():
    """SIGHUP crosses a change: the old one has written it, the new one is slow."""

    async def old_act(message, reader, writer):
        writers.append(writer)
        await reader.read()

    async def new_act(message, reader, writer):
        if len(new.received) == 1:
            await go.wait()
        writer.write(listing(7, endpoint_entry("s2", f"{HOST}:8"), snapshot=True))
        await reader.read()

    writers, go = [], asyncio.Event()
    old, new = await FakePeer(old_act).start(), await FakePeer(new_act).start()
    heard = []
    moved = watcher(old, heard)
    await wait_until(lambda: writers)
    moved.change_address((HOST, new.port))
    await wait_until(lambda: new.received)
    writers[0].write(listing(41, DRAINED))
    await wait_until(lambda: heard)
    assert heard[0].version == 41
    assert moved.version is None
    assert moved.listed_by == old.address
    assert len(old.received) == 1  # it is asked no more
    go.set()
    await wait_until(lambda: len(heard) > 1)
    assert heard[1].complete
    assert moved.version == 7
    assert moved.listed_by == new.address
    await wait_until(lambda: old.closed_connections)
    moved.close()


@pytest.mark.parametrize("modes", [("ask", "push"), ("push", "ask")], ids=["to pushed", "to asked"])
@async_test
async def test_calls_go_on_by_the_settings_that_hold_when_one_fails(tmp_path, modes):
    """SIGHUP changes whether lists are pushed, in the midst of failures."""

    async def fail(message, reader, writer):
        writer.write(http_response(503, b""))

    fake = await FakePeer(fail).start()
    data = config(list_update(1, endpoint_entry("s1", f"{HOST}:9")), fake.address)
    data["settings"]["discovery"] = modes[0]
    async with Sidecar(tmp_path / "c", data) as sidecar:
        found = sidecar.server.pool.discovery
        # a call has failed, the next one is awaited
        await wait_until(lambda: fake.received and not found.watching)
        data["settings"]["discovery"] = modes[1]
        (tmp_path / "c").write_text(json.dumps(data))
        sidecar.reload()
        before = len(fake.received)
        await wait_until(lambda: len(fake.received) >= before + 3)
        began, before = time.monotonic(), len(fake.received)
        await wait_until(lambda: len(fake.received) >= before + 4)
        gap_s = (time.monotonic() - began) / 4
        assert found.pushed is (modes[1] == "push")
        assert gap_s < 1.0 if found.pushed else gap_s > discovery.RETRY_PUSHED_S


@async_test
async def test_a_move_back_and_forth_leaves_one_discovery_and_one_to_leave():
    async def act(message, reader, writer):
        await reader.read()

    fakes = [await FakePeer(act).start() for _ in range(3)]
    heard = []
    moved = watcher(fakes[0], heard)
    await wait_until(lambda: fakes[0].received)
    for fake in (*fakes[1:], *fakes):
        moved.change_address((HOST, fake.port))
    await wait_until(lambda: fakes[2].connections - fakes[2].closed_connections == 1)
    await wait_until(lambda: fakes[0].connections == fakes[0].closed_connections)
    assert moved.previous is not None
    assert moved.address == (HOST, fakes[2].port)
    moved.close()
    await wait_until(lambda: all(fake.connections == fake.closed_connections for fake in fakes))


class Teller(threading.Thread):
    """A list service in a thread: it answers the first call when it is let, whatever the test's loop does."""

    def __init__(self):
        super().__init__(daemon=True)
        self.listener = socket.create_server((HOST, 0))
        self.port = self.listener.getsockname()[1]
        self.asked, self.go, self.told = threading.Event(), threading.Event(), threading.Event()

    def run(self):
        sock, _ = self.listener.accept()
        with sock:
            sock.recv(4096)
            self.asked.set()
            self.go.wait(WAIT_TIMEOUT_S)
            sock.sendall(listing(41, DRAINED, snapshot=True))
            self.told.set()
            sock.recv(4096)


@async_test
async def test_a_list_that_waits_unread_when_its_call_s_time_is_up_is_read(monkeypatch):
    """Timers fire before sockets are read: a loop that was late gave up what had been told."""
    monkeypatch.setattr(discovery, "ANSWER_TIMEOUT_S", 0.3)
    teller = Teller()
    teller.start()
    heard = []
    names = NameTable(["a", "b"], ["std"])
    asker = DiscoveryClient(
        asyncio.get_running_loop(),
        DiscoveryOrigin((HOST, teller.port), 40, pushed=False),
        names,
        heard.append,
    )
    asker.fetch()
    await wait_until(teller.asked.is_set)

    def tell():
        teller.go.set()
        assert teller.told.wait(WAIT_TIMEOUT_S)

    # The call's time is up before its answer is read, which is there.
    block_event_loop(asyncio.get_running_loop(), 0.5, tell)
    await wait_until(lambda: heard)
    assert heard[0] is not None
    assert heard[0].version == 41
    asker.close()
    teller.join(WAIT_TIMEOUT_S)


@given(must_ask_s=st.floats(0.5, 3600.0), fails=st.integers(1, 12), seed=st.integers(0, 99))
def test_after_a_failed_call_the_next_one_comes_soon_enough_whatever_the_settings(must_ask_s, fails, seed):
    """A change counts as told 6 s after discovery had it and could be reached; a call takes 3.5 s at most."""
    lookup = RequestClass("lookup", SECOND, 3 * SECOND, 1.0, 0.25, Effect.SAFE)
    settings = Settings(
        classes=[lookup], zones=["a"], poll_required=True, max_poll_interval_ns=int(must_ask_s * SECOND)
    )
    balancer = Balancer(settings, seed)
    now = 1_000 * SECOND
    server = Endpoint(1, zone=0, kind=0, cell=0, state=State.READY)
    balancer.handle(now, EndpointListUpdate(ListKind.FULL, 1, [server]))
    for _ in range(fails):
        actions = balancer.handle(now, EndpointListUpdate(ListKind.FAILED, 0, []))
        due = now + TOLD_WITHIN * SECOND
        while not any(isinstance(action, Watch) and action.on for action in actions):
            timer = next(action for action in actions if isinstance(action, SetTimer))
            now += timer.after_ns
            assert now <= due - (discovery.ANSWER_TIMEOUT_S + 0.9) * SECOND
            actions = balancer.handle(now, Timer(timer.token))
