"""A long day in short: whatever is ever new must leave nothing behind, and inherit nothing."""

from net_helpers import HOST, Fake, Sidecar, answer_ok, ask, config, entry, message, news, run, until

from dykefold.net.discovery.codec import parse_endpoint_update

DAYS_WORTH = 3000


def test_ever_new_servers_keys_and_clients_leave_no_tables_behind(tmp_path):
    async def play():
        fake = await Fake(answer_ok).start()
        async with Sidecar(tmp_path / "c", config(news(1, entry("s0", fake.address)))) as sidecar:
            sidecar_server, module = sidecar.server, sidecar.server.pool.balancer
            for number in range(1, DAYS_WORTH):
                change = news(
                    number + 1,
                    entry(f"s{number}", fake.address, since_ms=number, zone=f"z{number}"),
                    entry(f"s{number - 1}", fake.address, "DELETED"),
                    snapshot=False,
                )
                sidecar_server.pool.on_update(parse_endpoint_update(change, sidecar_server.pool.names))
                if number % 20 == 0:
                    data = message("lookup", f"id{number}", "900m", b"", f"X-Key: key{number}")
                    assert (await ask(sidecar.port, data)).code == 200
                assert len(sidecar_server.pool.names.servers) <= 2
            await until(lambda: not sidecar_server.clients.all)
            assert len(module.servers) <= 2
            assert len(sidecar_server.pool.upstreams.endpoints) == 1
            assert len(sidecar_server.pool.upstreams.connections) <= 2
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
        fake = await Fake(answer_ok).start()
        async with Sidecar(tmp_path / "c", config(news(1, entry("s1", fake.address)))) as sidecar:
            sidecar_server, module = sidecar.server, sidecar.server.pool.balancer
            for number in range(3):
                assert (await ask(sidecar.port, message("lookup", f"a{number}"))).code == 200
            (old,) = module.servers.values()
            assert old.samples == 3
            old.failure_score = 5.0
            module.outliers.eject(old)
            change = news(2, entry("s1", fake.address, "DELETED"), entry("s2", fake.address), snapshot=False)
            sidecar_server.pool.on_update(parse_endpoint_update(change, sidecar_server.pool.names))
            (new,) = [server for server in module.servers.values() if server.listed]
            assert new is not old
            assert not new.ejected
            assert not new.samples
            assert not module.endpoints.ejected
            assert (await ask(sidecar.port, message("lookup", "b"))).code == 200
            assert fake.connections == 2
            assert fake.got[-1].connection == 2

    run(play())


def test_a_server_that_comes_back_after_it_was_deleted_is_a_new_one(tmp_path):
    async def play():
        fake = await Fake(answer_ok).start()
        async with Sidecar(tmp_path / "c", config(news(1, entry("s1", f"{HOST}:9")))) as sidecar:
            sidecar_server = sidecar.server
            for index, status in ((2, "DELETED"), (3, "SERVING")):
                change = news(index, entry("s1", fake.address, status), snapshot=False)
                sidecar_server.pool.on_update(parse_endpoint_update(change, sidecar_server.pool.names))
            assert (await ask(sidecar.port, message("order", "a"))).code == 200
            assert list(sidecar_server.pool.upstreams.endpoints) == list(sidecar_server.pool.balancer.servers)

    run(play())
