"""The sweep of idle connections costs what is idle, not what is listed (3,200 servers and more)."""

from net_helpers import HOST, FakePeer, respond_ok, run
from test_upstream_connections import make_pool, set_clock, start_exchange

from dykefold.balancer.events import State, Status
from dykefold.net.upstream.idle_timeouts import IdleAgeStats

LISTED = 3200


def test_a_sweep_looks_at_servers_with_idle_connections_alone(monkeypatch):
    async def play():
        fake = await FakePeer(respond_ok).start()
        pool = make_pool((HOST, fake.port))
        set_clock(pool, lambda: clock[0])
        for server in range(2, LISTED):
            pool.update(server, (HOST, fake.port), 0, State.READY)
        assert [(await start_exchange(pool, server)[1])[0] for server in (1, 7, 9)] == [Status.OK] * 3
        looked = []
        limit = IdleAgeStats.limit
        monkeypatch.setattr(IdleAgeStats, "limit", lambda ages, now: looked.append(ages) or limit(ages, now))
        pool.sweep()
        assert len(looked) == 3
        assert all(pool.endpoints[server].idle for server in (1, 7, 9))
        clock[0] += 60.0
        pool.sweep()
        assert not any(target.idle for target in pool.endpoints.values())
        pool.close()

    clock = [1000.0]
    run(play())
