"""Operators' orders on endpoints of several pools, and reloads of the configuration after them."""

import pytest
from net_helpers import HOST, FakePeer, respond_ok, run, send_request
from services_rig import InProcessSidecar, get_request, pool_toml

from dykefold.control.admin_operations import AdminOperations
from dykefold.control.admin_requests import Action, AdminRequest

REQUESTS = 20


def order(sidecar, action, fake):
    return AdminOperations(sidecar.server).carry_out(AdminRequest(action, f"{HOST}:{fake.port}"))


async def count_requests(sidecar, name, fake):
    """Send requests to a pool, and return how many of them an endpoint gets."""
    before = len(fake.received)
    for _ in range(REQUESTS):
        assert (await send_request(sidecar.port, get_request(f"/{name}"))).code == 200
    return len(fake.received) - before


@pytest.mark.parametrize("reload", ["replaced", "moved-to-other-pool", "listed-by-new-pool", "re-added"])
def test_endpoint_out_of_service_stays_out_after_reload(reload):
    """Guards against an accepted order that is forgotten with the pool that it was given to."""

    async def scenario():
        out, kept = await FakePeer(respond_ok).start(), await FakePeer(respond_ok).start()
        both = pool_toml("parts", out.port, kept.port)
        only_kept = pool_toml("parts", kept.port)
        other = pool_toml("other", kept.port)
        first, *later = {
            "replaced": [both, pool_toml("parts", out.port, kept.port, deadline_ms=2500)],
            "moved-to-other-pool": [both + other, only_kept + pool_toml("other", out.port, kept.port)],
            "listed-by-new-pool": [both, both + pool_toml("other", out.port, kept.port)],
            "re-added": [both + other, other, both],
        }[reload]
        async with InProcessSidecar(first) as sidecar:
            assert await count_requests(sidecar, "parts", out)
            assert order(sidecar, Action.OUT, out).code == 200
            assert not await count_requests(sidecar, "parts", out)
            for text in later:
                sidecar.apply_config(text)
            for name in sidecar.services.by_name:
                assert not await count_requests(sidecar, name, out)
            # A pool may prefer the other endpoint, so requests alone do not show that this one is out.
            assert all(service.pool.ready_by_zone() == {0: 1} for service in listing(sidecar, out))
            assert order(sidecar, Action.BACK, out).code == 200
            assert all(service.pool.ready_by_zone() == {0: 2} for service in listing(sidecar, out))

    run(scenario())


def listing(sidecar, fake):
    """Return the services that list an endpoint."""
    name = f"{HOST}:{fake.port}"
    return [
        service for service in sidecar.services.by_name.values() if name in service.pool.maintenance.listed
    ]


def test_endpoint_put_back_is_in_slow_start_in_pool_that_replaces_its_pool():
    """Guards against full load on a server that operators have just restarted."""

    async def scenario():
        fake, other = await FakePeer(respond_ok).start(), await FakePeer(respond_ok).start()
        async with InProcessSidecar(pool_toml("parts", fake.port, other.port)) as sidecar:
            order(sidecar, Action.OUT, fake)
            order(sidecar, Action.BACK, fake)

            def slow_start_ns():
                pool = sidecar.pool("parts")
                number = pool.endpoint_numbers()[f"{HOST}:{fake.port}"]
                return pool.balancer.known_endpoints[number].slow_start_began_ns

            before_ns = slow_start_ns()
            assert before_ns
            sidecar.apply_config(pool_toml("parts", fake.port, other.port, deadline_ms=2500))
            assert slow_start_ns() == before_ns

    run(scenario())


def test_unknown_endpoint_is_not_taken_out():
    async def scenario():
        fake, unknown = await FakePeer(respond_ok).start(), await FakePeer(respond_ok).start()
        async with InProcessSidecar(pool_toml("parts", fake.port)) as sidecar:
            assert order(sidecar, Action.OUT, unknown).code == 404
            assert not sidecar.pool("parts").maintenance.orders

    run(scenario())
