"""Discovery client: each failed call is reported as a failure, and the next watch works."""

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


async def send_truncated_list(message, reader, writer):
    writer.write(endpoint_list_response(9, endpoint_entry("s1", f"{HOST}:7"))[:-20])
    await writer.drain()
    writer.close()


async def reset(message, reader, writer):
    reset_connection(writer)


async def never_answer(message, reader, writer):
    await reader.read()


def respond_with(data):
    async def handler(message, reader, writer):
        writer.write(data)

    return handler


@pytest.mark.parametrize(
    "faulty_handler",
    [
        respond_with(http_response(503, b"")),
        respond_with(http_response(200, b"{")),
        respond_with(http_response(200, b"[" * 50_000)),
        respond_with(http_response(200, b'{"index":1,"snapshot":true,"endpoints":[{"name":"s1"}]}')),
        respond_with(http_response(200, b'{"index":1,"snapshot":true,"endpoints":7}')),
        send_truncated_list,
        reset,
        never_answer,
    ],
    ids=["503", "bad-json", "deep-json", "bad-entry", "bad-list", "truncated", "reset", "no-answer"],
)
def test_broken_call_is_reported_as_failed_and_the_next_watch_works(faulty_handler, monkeypatch):
    monkeypatch.setattr(discovery, "WATCH_POLLED_MS", 200)
    monkeypatch.setattr(discovery, "ANSWER_TIMEOUT_S", 0.3)

    async def scenario():
        async def handler(message, reader, writer):
            await (
                faulty_handler
                if len(fake.received) == 1
                else respond_with(endpoint_list_response(41, endpoint_entry("s1", f"{HOST}:7")))
            )(message, reader, writer)

        fake = await FakePeer(handler).start()
        updates = []
        client = DiscoveryClient(
            asyncio.get_running_loop(),
            DiscoveryOrigin((HOST, fake.port), 40, pushed=False),
            names(),
            updates.append,
        )
        client.watch(True)
        await wait_until(lambda: updates)
        assert updates == [None]
        assert not client.watching
        assert client.version == 40
        client.watch(True)
        await wait_until(lambda: len(updates) > 1)
        assert updates[1].version == 41
        assert updates[1].complete
        client.close()

    run(scenario())


def test_outage_and_its_recovery_are_logged_once_each(caplog):
    async def scenario():
        async def handler(message, reader, writer):
            writer.write(http_response(503, b"") if len(fake.received) < 4 else endpoint_list_response(41))

        fake = await FakePeer(handler).start()
        updates = []
        client = DiscoveryClient(
            asyncio.get_running_loop(),
            DiscoveryOrigin((HOST, fake.port), 0, pushed=False),
            names(),
            updates.append,
        )
        for count in range(1, 6):
            client.fetch()
            await wait_until(lambda: len(updates) == count)  # noqa: B023
        client.close()

    caplog.set_level("INFO", "dykefold.discovery")
    run(scenario())
    assert caplog.messages == ["discovery failed: answer 503", "discovery recovered"]


def test_watch_continues_from_the_latest_version_without_a_request():
    async def scenario():
        async def handler(message, reader, writer):
            times.append(asyncio.get_running_loop().time())
            if len(fake.received) < 4:
                writer.write(endpoint_list_response(40 + len(fake.received), snapshot=False))
            else:
                await reader.read()

        times = []
        fake = await FakePeer(handler).start()
        updates = []
        client = DiscoveryClient(
            asyncio.get_running_loop(),
            DiscoveryOrigin((HOST, fake.port), 40, pushed=False),
            names(),
            updates.append,
        )
        client.watch(True)
        client.watch(True)  # opens no second watch
        await wait_until(lambda: len(fake.received) == 4)
        assert [request.start_line.split("after=")[1].split("&")[0] for request in fake.received] == [
            "40",
            "41",
            "42",
            "43",
        ]
        assert not any(update.complete for update in updates)
        client.close()

    run(scenario())


def test_fetch_requests_the_complete_list():
    async def scenario():
        fake = await FakePeer(respond_with(endpoint_list_response(7))).start()
        updates = []
        client = DiscoveryClient(
            asyncio.get_running_loop(),
            DiscoveryOrigin((HOST, fake.port), 0, pushed=False),
            names(),
            updates.append,
        )
        client.fetch()
        await wait_until(lambda: updates)
        assert updates[0].complete
        assert fake.received[0].start_line == "GET /api/targets HTTP/1.1"
        client.close()

    run(scenario())


def test_watch_of_pushed_lists_is_reopened_after_a_failure_without_a_request(tmp_path, monkeypatch):
    monkeypatch.setattr(discovery, "RETRY_PUSHED_S", 0.01)

    async def scenario():
        async def handler(message, reader, writer):
            if len(fake.received) == 1:
                reset_connection(writer)
            else:
                writer.write(endpoint_list_response(41))
                await reader.read()

        fake = await FakePeer(handler).start()
        data = config(list_update(1), fake.address)
        data["settings"]["discovery"] = "push"
        async with Sidecar(tmp_path / "c", data) as sidecar:
            await wait_until(lambda: sidecar.server.pool.discovery.version == 41)
        assert len(fake.received) >= 2

    run(scenario())


def test_drain_notified_by_discovery_stops_new_requests_and_aborts_none(tmp_path):
    async def scenario():
        async def notify_drain(message, reader, writer):
            if "after=1&" in message.start_line:
                await drain.wait()
                change = endpoint_entry("s1", old.address, "DRAINING"), endpoint_entry("s2", new.address)
                writer.write(endpoint_list_response(2, *change, snapshot=False))
            else:
                await reader.read()

        async def respond_late(message, reader, writer):
            await finish.wait()
            writer.write(http_response(200, b"old"))

        drain, finish = asyncio.Event(), asyncio.Event()
        old, new = await FakePeer(respond_late).start(), await FakePeer(respond_ok).start()
        discovery_peer = await FakePeer(notify_drain).start()
        async with Sidecar(
            tmp_path / "c", config(list_update(1, endpoint_entry("s1", old.address)), discovery_peer.address)
        ) as sidecar:
            pending_request = asyncio.create_task(send_request(sidecar.port, request_message("order", "ab")))
            await wait_until(lambda: old.received)
            drain.set()
            sidecar_server = sidecar.server
            await wait_until(lambda: sidecar_server.pool.discovery.version == 2)
            for number in range(5):
                assert (
                    await send_request(sidecar.port, request_message("order", f"id{number}"))
                ).body == b"served "
            finish.set()
            assert (await pending_request).body == b"old"
        assert len(old.received) == 1
        assert len(new.received) == 5

    run(scenario())


def test_endpoint_removed_from_the_list_is_released(tmp_path):
    async def scenario():
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

    run(scenario())


def test_endpoint_with_an_unknown_status_is_draining():
    update = parse_endpoint_update(
        list_update(1, endpoint_entry("s1", f"{HOST}:7", "STARTING", zone="c")), names()
    )
    assert update.entries[0].endpoint.state is State.DRAINING
    assert update.entries[0].endpoint.zone == 2


@pytest.mark.parametrize(
    "text", ["", "host:1", "127.0.0.1", "127.0.0.1:", "127.0.0.1:x", "127.0.0.1:70000", None]
)
def test_invalid_address_is_rejected(text):
    with pytest.raises(ValueError):
        split_address(text)
    with pytest.raises(EndpointListError):
        parse_endpoint_update(list_update(1, endpoint_entry("s1", text)), names())


def test_older_answer_does_not_replace_a_newer_list():
    """Guards against an older list that replaces a newer one: a watch and a fetch are open at the same time,
    and the call that was made first is answered last.
    """

    async def scenario():
        async def handler(message, reader, writer):
            if "after" in message.start_line and len(fake.received) == 1:
                await answer_watch.wait()
                writer.write(endpoint_list_response(41, endpoint_entry("s1", f"{HOST}:7")))
            elif "after" in message.start_line:
                await reader.read()
            else:
                writer.write(endpoint_list_response(43, endpoint_entry("s2", f"{HOST}:8")))

        answer_watch = asyncio.Event()
        fake = await FakePeer(handler).start()
        updates = []
        client = DiscoveryClient(
            asyncio.get_running_loop(),
            DiscoveryOrigin((HOST, fake.port), 40, pushed=False),
            names(),
            updates.append,
        )
        client.watch(True)
        await wait_until(lambda: fake.received)
        client.fetch()
        await wait_until(lambda: updates)
        answer_watch.set()
        await wait_until(lambda: len(updates) == 2)
        assert updates[1].version == client.version == 43
        assert not updates[1].entries
        assert not updates[1].complete
        await wait_until(lambda: len(fake.received) == 3)
        assert "after=43&" in fake.received[2].start_line
        client.close()

    run(scenario())


def test_decreasing_index_requests_the_complete_list():
    async def scenario():
        async def handler(message, reader, writer):
            writer.write(
                endpoint_list_response(
                    3, endpoint_entry("s1", f"{HOST}:7"), snapshot="after" not in message.start_line
                )
            )

        fake = await FakePeer(handler).start()
        updates = []
        client = DiscoveryClient(
            asyncio.get_running_loop(),
            DiscoveryOrigin((HOST, fake.port), 40, pushed=False),
            names(),
            updates.append,
        )
        client.watch(True)
        await wait_until(lambda: updates)
        client.watch(True)
        await wait_until(lambda: len(updates) > 1)
        assert updates[0] is None
        assert updates[1].complete
        assert client.version == 3
        client.close()

    run(scenario())


def test_invalid_list_adds_no_names_and_new_zones_are_limited():
    table = names()
    with pytest.raises(EndpointListError):
        parse_endpoint_update(
            list_update(1, endpoint_entry("s1", f"{HOST}:7", zone="new"), endpoint_entry("s2", "nowhere")),
            table,
        )
    assert not table.endpoints
    assert len(table.zones) == 2
    for number in range(3000):
        parse_endpoint_update(
            list_update(1, {**endpoint_entry("s1", f"{HOST}:7", zone=f"z{number}"), "type": f"k{number}"}),
            table,
        )
    assert len(table.zones) == len(table.machine_types) == MAX_NAMES
    assert table.zone("a") == 0
    assert table.kind("std") == 0
