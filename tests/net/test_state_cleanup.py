"""A long day in short: whatever is ever new must leave nothing behind, and inherit nothing."""

from net_helpers import (
    HOST,
    FakePeer,
    Sidecar,
    config,
    endpoint_entry,
    list_update,
    request_message,
    respond_ok,
    run,
    send_request,
    wait_until,
)

from dykefold.net.discovery.codec import parse_endpoint_update

DAYS_WORTH = 3000


def test_ever_new_servers_keys_and_clients_leave_no_tables_behind(tmp_path):
    async def play():
        fake = await FakePeer(respond_ok).start()
        async with Sidecar(
            tmp_path / "c", config(list_update(1, endpoint_entry("s0", fake.address)))
        ) as sidecar:
            sidecar_server, module = sidecar.server, sidecar.server.pool.balancer
            for number in range(1, DAYS_WORTH):
                change = list_update(
                    number + 1,
                    endpoint_entry(f"s{number}", fake.address, since_ms=number, zone=f"z{number}"),
                    endpoint_entry(f"s{number - 1}", fake.address, "DELETED"),
                    snapshot=False,
                )
                sidecar_server.pool.on_update(parse_endpoint_update(change, sidecar_server.pool.names))
                if number % 20 == 0:
                    data = request_message("lookup", f"id{number}", "900m", b"", f"X-Key: key{number}")
                    assert (await send_request(sidecar.port, data)).code == 200
                assert len(sidecar_server.pool.names.endpoints) <= 2
            await wait_until(lambda: not sidecar_server.clients.all)
            assert len(module.known_endpoints) <= 2
            assert len(sidecar_server.pool.connection_pool.endpoints) == 1
            assert len(sidecar_server.pool.connection_pool.connections) <= 2
            assert len(module.endpoints.groups) <= 4
            assert len(sidecar_server.pool.names.zones) <= 256
            assert not (module.pending)
            assert not (module.load_reports.waiting)
            assert not (sidecar_server.pool.pending)
            assert not (sidecar_server.pool.attempts)
            assert (
                len(module.timers.heap) <= DAYS_WORTH / 20
            )  # each goes with its deadline, whatever came of it
            assert module.in_flight == 0
            assert sidecar_server.memory.reserved_bytes == 0

    run(play())


def test_a_new_server_at_an_old_address_inherits_nothing(tmp_path):
    async def play():
        fake = await FakePeer(respond_ok).start()
        async with Sidecar(
            tmp_path / "c", config(list_update(1, endpoint_entry("s1", fake.address)))
        ) as sidecar:
            sidecar_server, module = sidecar.server, sidecar.server.pool.balancer
            for number in range(3):
                assert (await send_request(sidecar.port, request_message("lookup", f"a{number}"))).code == 200
            (old,) = module.known_endpoints.values()
            assert old.samples == 3
            old.failure_score = 5.0
            module.outliers.eject(old)
            change = list_update(
                2,
                endpoint_entry("s1", fake.address, "DELETED"),
                endpoint_entry("s2", fake.address),
                snapshot=False,
            )
            sidecar_server.pool.on_update(parse_endpoint_update(change, sidecar_server.pool.names))
            (new,) = [server for server in module.known_endpoints.values() if server.listed]
            assert new is not old
            assert not new.ejected
            assert not new.samples
            assert not module.endpoints.ejected
            assert (await send_request(sidecar.port, request_message("lookup", "b"))).code == 200
            assert fake.connections == 2
            assert fake.received[-1].connection == 2

    run(play())


def test_a_server_that_comes_back_after_it_was_deleted_is_a_new_one(tmp_path):
    async def play():
        fake = await FakePeer(respond_ok).start()
        async with Sidecar(
            tmp_path / "c", config(list_update(1, endpoint_entry("s1", f"{HOST}:9")))
        ) as sidecar:
            sidecar_server = sidecar.server
            for index, status in ((2, "DELETED"), (3, "SERVING")):
                change = list_update(index, endpoint_entry("s1", fake.address, status), snapshot=False)
                sidecar_server.pool.on_update(parse_endpoint_update(change, sidecar_server.pool.names))
            assert (await send_request(sidecar.port, request_message("order", "a"))).code == 200
            assert list(sidecar_server.pool.connection_pool.endpoints) == list(
                sidecar_server.pool.balancer.known_endpoints
            )

    run(play())
