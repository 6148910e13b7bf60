"""Discovery: whatever goes wrong with a call is news of a failure, and the next watch works again."""

import asyncio
import json

import pytest
from net_helpers import (
    HOST,
    FakePeer,
    Sidecar,
    config,
    endpoint_entry,
    http_response,
    list_update,
    request_message,
    reset_connection,
    respond_ok,
    run,
    send_request,
    wait_until,
)

from dykefold.balancer.events import State
from dykefold.net.discovery import client as discovery
from dykefold.net.discovery.client import DiscoveryClient, DiscoveryOrigin
from dykefold.net.discovery.codec import (
    MAX_NAMES,
    EndpointListError,
    NameTable,
    parse_endpoint_update,
    split_address,
)


def names():
    return NameTable(["a", "b"], ["std"])


def endpoint_list_response(index, *entries, snapshot=True):
    return http_response(200, json.dumps(list_update(index, *entries, snapshot=snapshot)).encode())


async def cut_off(message, reader, writer):
    writer.write(endpoint_list_response(9, endpoint_entry("s1", f"{HOST}:7"))[:-20])
    await writer.drain()
    writer.close()


async def break_it(message, reader, writer):
    reset_connection(writer)


async def hang(message, reader, writer):
    await reader.read()


def say(data):
    async def act(message, reader, writer):
        writer.write(data)

    return act


@pytest.mark.parametrize(
    "trouble",
    [
        say(http_response(503, b"")),
        say(http_response(200, b"{")),
        say(http_response(200, b"[" * 50_000)),
        say(http_response(200, b'{"index":1,"snapshot":true,"endpoints":[{"name":"s1"}]}')),
        say(http_response(200, b'{"index":1,"snapshot":true,"endpoints":7}')),
        cut_off,
        break_it,
        hang,
    ],
    ids=["503", "bad-json", "deep-json", "bad-entry", "bad-list", "cut-off", "reset", "hang"],
)
def test_broken_call_is_reported_as_failed_and_the_next_watch_works(trouble, monkeypatch):
    monkeypatch.setattr(discovery, "WATCH_POLLED_MS", 200)
    monkeypatch.setattr(discovery, "ANSWER_TIMEOUT_S", 0.3)

    async def play():
        async def act(message, reader, writer):
            await (
                trouble
                if len(fake.received) == 1
                else say(endpoint_list_response(41, endpoint_entry("s1", f"{HOST}:7")))
            )(message, reader, writer)

        fake = await FakePeer(act).start()
        heard = []
        watcher = DiscoveryClient(
            asyncio.get_running_loop(),
            DiscoveryOrigin((HOST, fake.port), 40, pushed=False),
            names(),
            heard.append,
        )
        watcher.watch(True)
        await wait_until(lambda: heard)
        assert heard == [None]
        assert not watcher.watching
        assert watcher.version == 40
        watcher.watch(True)
        await wait_until(lambda: len(heard) > 1)
        assert heard[1].version == 41
        assert heard[1].complete
        watcher.close()

    run(play())


def test_an_outage_is_logged_once_and_so_is_its_end(caplog):
    async def play():
        async def act(message, reader, writer):
            writer.write(http_response(503, b"") if len(fake.received) < 4 else endpoint_list_response(41))

        fake = await FakePeer(act).start()
        heard = []
        asker = DiscoveryClient(
            asyncio.get_running_loop(),
            DiscoveryOrigin((HOST, fake.port), 0, pushed=False),
            names(),
            heard.append,
        )
        for count in range(1, 6):
            asker.fetch()
            await wait_until(lambda: len(heard) == count)  # noqa: B023
        asker.close()

    caplog.set_level("INFO", "dykefold.discovery")
    run(play())
    assert caplog.messages == ["discovery failed: answer 503", "discovery recovered"]


def test_a_watch_goes_on_by_itself_from_the_latest_version():
    async def play():
        async def act(message, reader, writer):
            times.append(asyncio.get_running_loop().time())
            if len(fake.received) < 4:
                writer.write(endpoint_list_response(40 + len(fake.received), snapshot=False))
            else:
                await reader.read()

        times = []
        fake = await FakePeer(act).start()
        heard = []
        watcher = DiscoveryClient(
            asyncio.get_running_loop(),
            DiscoveryOrigin((HOST, fake.port), 40, pushed=False),
            names(),
            heard.append,
        )
        watcher.watch(True)
        watcher.watch(True)  # no second one beside it
        await wait_until(lambda: len(fake.received) == 4)
        assert [got.start_line.split("after=")[1].split("&")[0] for got in fake.received] == [
            "40",
            "41",
            "42",
            "43",
        ]
        assert not any(news.complete for news in heard)
        watcher.close()

    run(play())


def test_fetch_requests_the_complete_list():
    async def play():
        fake = await FakePeer(say(endpoint_list_response(7))).start()
        heard = []
        asker = DiscoveryClient(
            asyncio.get_running_loop(),
            DiscoveryOrigin((HOST, fake.port), 0, pushed=False),
            names(),
            heard.append,
        )
        asker.fetch()
        await wait_until(lambda: heard)
        assert heard[0].complete
        assert fake.received[0].start_line == "GET /api/targets HTTP/1.1"
        asker.close()

    run(play())


def test_watch_of_pushed_lists_is_reopened_after_a_failure_without_a_request(tmp_path, monkeypatch):
    monkeypatch.setattr(discovery, "RETRY_PUSHED_S", 0.01)

    async def play():
        async def act(message, reader, writer):
            if len(fake.received) == 1:
                reset_connection(writer)
            else:
                writer.write(endpoint_list_response(41))
                await reader.read()

        fake = await FakePeer(act).start()
        data = config(list_update(1), fake.address)
        data["settings"]["discovery"] = "push"
        async with Sidecar(tmp_path / "c", data) as sidecar:
            await wait_until(lambda: sidecar.server.pool.discovery.version == 41)
        assert len(fake.received) >= 2

    run(play())


def test_a_drain_that_discovery_tells_stops_sends_and_ends_no_request(tmp_path):
    async def play():
        async def tell(message, reader, writer):
            if "after=1&" in message.start_line:
                await go.wait()
                change = endpoint_entry("s1", old.address, "DRAINING"), endpoint_entry("s2", new.address)
                writer.write(endpoint_list_response(2, *change, snapshot=False))
            else:
                await reader.read()

        async def slow(message, reader, writer):
            await finish.wait()
            writer.write(http_response(200, b"old"))

        go, finish = asyncio.Event(), asyncio.Event()
        old, new = await FakePeer(slow).start(), await FakePeer(respond_ok).start()
        teller = await FakePeer(tell).start()
        async with Sidecar(
            tmp_path / "c", config(list_update(1, endpoint_entry("s1", old.address)), teller.address)
        ) as sidecar:
            held = asyncio.create_task(send_request(sidecar.port, request_message("order", "ab")))
            await wait_until(lambda: old.received)
            go.set()
            sidecar_server = sidecar.server
            await wait_until(lambda: sidecar_server.pool.discovery.version == 2)
            for number in range(5):
                assert (
                    await send_request(sidecar.port, request_message("order", f"id{number}"))
                ).body == b"served "
            finish.set()
            assert (await held).body == b"old"
        assert len(old.received) == 1
        assert len(new.received) == 5

    run(play())


def test_a_server_that_left_the_list_is_forgotten(tmp_path):
    async def play():
        fake = await FakePeer(respond_ok).start()
        async with Sidecar(
            tmp_path / "c", config(list_update(1, endpoint_entry("s1", fake.address)))
        ) as sidecar:
            sidecar_server = sidecar.server
            assert (await send_request(sidecar.port, request_message("lookup", "ab"))).code == 200
            for index in range(2, 50):
                sidecar_server.pool.on_update(
                    parse_endpoint_update(
                        list_update(index, endpoint_entry(f"s{index}", fake.address)),
                        sidecar_server.pool.names,
                    )
                )
            assert len(sidecar_server.pool.connection_pool.endpoints) == 1
            assert len(sidecar_server.pool.names.endpoints) <= 2
            assert (await send_request(sidecar.port, request_message("lookup", "cd"))).code == 200

    run(play())


def test_entries_of_tomorrow_are_read_with_care():
    got = parse_endpoint_update(
        list_update(1, endpoint_entry("s1", f"{HOST}:7", "STARTING", zone="c")), names()
    )
    assert got.entries[0].endpoint.state is State.DRAINING
    assert got.entries[0].endpoint.zone == 2


@pytest.mark.parametrize(
    "text", ["", "host:1", "127.0.0.1", "127.0.0.1:", "127.0.0.1:x", "127.0.0.1:70000", None]
)
def test_what_is_no_address_is_refused(text):
    with pytest.raises(ValueError):
        split_address(text)
    with pytest.raises(EndpointListError):
        parse_endpoint_update(list_update(1, endpoint_entry("s1", text)), names())


def test_an_older_answer_sets_nothing_back():
    """Guards the list: a watch and a fetch are out together, and the earlier call is answered last."""

    async def play():
        async def act(message, reader, writer):
            if "after" in message.start_line and len(fake.received) == 1:
                await go.wait()
                writer.write(endpoint_list_response(41, endpoint_entry("s1", f"{HOST}:7")))
            elif "after" in message.start_line:
                await reader.read()
            else:
                writer.write(endpoint_list_response(43, endpoint_entry("s2", f"{HOST}:8")))

        go = asyncio.Event()
        fake = await FakePeer(act).start()
        heard = []
        both = DiscoveryClient(
            asyncio.get_running_loop(),
            DiscoveryOrigin((HOST, fake.port), 40, pushed=False),
            names(),
            heard.append,
        )
        both.watch(True)
        await wait_until(lambda: fake.received)
        both.fetch()
        await wait_until(lambda: heard)
        go.set()
        await wait_until(lambda: len(heard) == 2)
        assert heard[1].version == both.version == 43
        assert not heard[1].entries
        assert not heard[1].complete
        await wait_until(lambda: len(fake.received) == 3)
        assert "after=43&" in fake.received[2].start_line
        both.close()

    run(play())


def test_decreasing_index_requests_the_complete_list():
    async def play():
        async def act(message, reader, writer):
            writer.write(
                endpoint_list_response(
                    3, endpoint_entry("s1", f"{HOST}:7"), snapshot="after" not in message.start_line
                )
            )

        fake = await FakePeer(act).start()
        heard = []
        watcher = DiscoveryClient(
            asyncio.get_running_loop(),
            DiscoveryOrigin((HOST, fake.port), 40, pushed=False),
            names(),
            heard.append,
        )
        watcher.watch(True)
        await wait_until(lambda: heard)
        watcher.watch(True)
        await wait_until(lambda: len(heard) > 1)
        assert heard[0] is None
        assert heard[1].complete
        assert watcher.version == 3
        watcher.close()

    run(play())


def test_an_unreadable_list_leaves_no_names_and_new_zones_are_bounded():
    known = names()
    with pytest.raises(EndpointListError):
        parse_endpoint_update(
            list_update(1, endpoint_entry("s1", f"{HOST}:7", zone="new"), endpoint_entry("s2", "nowhere")),
            known,
        )
    assert not known.endpoints
    assert len(known.zones) == 2
    for number in range(3000):
        parse_endpoint_update(
            list_update(1, {**endpoint_entry("s1", f"{HOST}:7", zone=f"z{number}"), "type": f"k{number}"}),
            known,
        )
    assert len(known.zones) == len(known.machine_types) == MAX_NAMES
    assert known.zone("a") == 0
    assert known.kind("std") == 0
