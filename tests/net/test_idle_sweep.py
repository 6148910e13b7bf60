"""The cost of a sweep depends on the idle connections, not on the listed endpoints (3,200 and more)."""

from net_helpers import HOST, FakePeer, respond_ok, run
from test_upstream_connections import make_pool, set_clock, start_exchange

from dykefold.balancer.events import State, Status
from dykefold.net.upstream.idle_timeouts import IdleAgeStats

ENDPOINT_COUNT = 3200


def test_sweep_examines_only_endpoints_with_idle_connections(monkeypatch):
    async def scenario():
        endpoint = await FakePeer(respond_ok).start()
        pool = make_pool((HOST, endpoint.port))
        set_clock(pool, lambda: clock_s[0])
        for number in range(2, ENDPOINT_COUNT):
            pool.update(number, (HOST, endpoint.port), 0, State.READY)
        assert [(await start_exchange(pool, number)[1])[0] for number in (1, 7, 9)] == [Status.OK] * 3
        examined = []
        limit = IdleAgeStats.limit
        monkeypatch.setattr(
            IdleAgeStats, "limit", lambda stats, now_s: examined.append(stats) or limit(stats, now_s)
        )
        pool.sweep()
        assert len(examined) == 3
        assert all(pool.endpoints[number].idle for number in (1, 7, 9))
        clock_s[0] += 60.0
        pool.sweep()
        assert not any(upstream.idle for upstream in pool.endpoints.values())
        pool.close()

    clock_s = [1000.0]
    run(scenario())
