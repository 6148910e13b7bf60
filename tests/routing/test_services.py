"""Several pools in one process: isolation, reload with requests in flight, added and removed pools."""

import asyncio
import gc
import logging
import os
import sys
import weakref

import pytest
from net_helpers import (
    HOST,
    FakePeer,
    gated_handler,
    http_response,
    never_respond,
    read_message,
    reset_connection,
    respond_ok,
    run,
    send_request,
    wait_until,
    wait_until_reusable,
)
from process_helpers import first_valid_run
from services_rig import InProcessSidecar, get_request, pool_toml, post_request

from dykefold.balancer.settings import Effect
from dykefold.net.loop_lag import MIN_LOGGED_LAG_S


class Load:
    """Clients that request one path repeatedly, and the status codes and latencies they observe."""

    def __init__(self, port, path, clients=8, pause_s=0.002):
        self.codes = {}
        self.latencies_s = []
        self.lost_responses = 0
        self.running = True
        self.tasks = [asyncio.create_task(self._request(port, path, pause_s)) for _ in range(clients)]

    async def _request(self, port, path, pause_s):
        reader, writer = await asyncio.open_connection(HOST, port)
        loop = asyncio.get_running_loop()
        while self.running:
            started_s = loop.time()
            writer.write(get_request(path))
            try:
                code = (await read_message(reader)).code
            except asyncio.IncompleteReadError:
                self.lost_responses += 1
                return
            self.codes[code] = self.codes.get(code, 0) + 1
            self.latencies_s.append(loop.time() - started_s)
            await asyncio.sleep(pause_s)
        writer.close()

    async def stop(self):
        self.running = False
        await asyncio.gather(*self.tasks)

    @property
    def response_count(self):
        return sum(self.codes.values())


def paths_of(fake):
    return {
        request.start_line.split()[1].split("/")[1]
        for request in fake.received
        if not request.start_line.startswith("GET /-/")
    }


async def reject(message, reader, writer):
    writer.write(http_response(503, b"full", "X-Not-Run: 1"))


async def send_garbage(message, reader, writer):
    writer.write(b"\x00\x01 garbage\r\n\r\n")


async def reset(message, reader, writer):
    reset_connection(writer)


@pytest.mark.parametrize(
    "failure", [reject, never_respond, send_garbage, reset], ids=lambda handler: handler.__name__
)
def test_failing_pool_does_not_affect_others(failure):
    async def scenario():
        handlers = {"catalogue": respond_ok, "stock": respond_ok, "orders": respond_ok}

        def handler_of(name):
            async def handle(message, reader, writer):
                await handlers[name](message, reader, writer)

            return handle

        fakes = {name: await FakePeer(handler_of(name)).start() for name in handlers}
        text = "".join(pool_toml(name, fake.port, deadline_ms=2000) for name, fake in fakes.items())
        async with InProcessSidecar(text) as node:
            loads = {name: Load(node.port, f"/{name}/x") for name in handlers}
            await wait_until(lambda: all(load.response_count > 100 for load in loads.values()))
            handlers["orders"] = failure
            before = {name: load.response_count for name, load in loads.items()}
            await wait_until(
                lambda: all(
                    loads[name].response_count > before[name] + 300 for name in ("catalogue", "stock")
                )
            )
            for name in ("catalogue", "stock"):
                assert set(loads[name].codes) == {200}
                assert not loads[name].lost_responses
            for load in loads.values():
                await load.stop()
            for name, fake in fakes.items():
                assert paths_of(fake) == {name}

    run(scenario())


def test_pending_request_keeps_its_pool_when_route_table_changes():
    async def scenario():
        gate, handler = gated_handler()
        old, new = await FakePeer(handler).start(), await FakePeer(respond_ok).start()
        async with InProcessSidecar(pool_toml("a", old.port)) as node:
            pool = node.pool("a")
            pending = asyncio.create_task(send_request(node.port, post_request("/a/1")))
            await wait_until(lambda: old.received)
            # Changed settings create a new pool.
            node.apply_config(pool_toml("a", new.port, attempts_most=2))
            assert node.pool("a") is not pool
            assert pool in node.server.pools
            assert (await send_request(node.port, post_request("/a/2"))).code == 200
            assert len(new.received) == 1
            gate.set()
            assert (await pending).code == 200
            assert len(old.received) == 1
            await wait_until(lambda: pool not in node.server.pools)
            assert pool.closed
            assert not pool.connection_pool.connections

    run(scenario())


def test_unchanged_pool_keeps_balancer_and_connections_after_reload():
    async def scenario():
        fake, other = await FakePeer(respond_ok).start(), await FakePeer(respond_ok).start()
        async with InProcessSidecar(pool_toml("a", fake.port)) as node:
            pool = node.pool("a")
            assert (await send_request(node.port, get_request("/a"))).code == 200
            node.apply_config(
                pool_toml("a", fake.port).replace('prefix = "/a"', 'prefix = "/b"')
                + pool_toml("c", other.port)
            )
            assert node.pool("a") is pool
            assert (await send_request(node.port, get_request("/a"))).code == 404
            await wait_until_reusable()
            assert (await send_request(node.port, get_request("/b"))).code == 200
            assert fake.connections == 1
            node.apply_config(pool_toml("a", other.port))  # A changed endpoint list keeps the pool.
            assert node.pool("a") is pool
            assert (await send_request(node.port, get_request("/a"))).code == 200
            assert len(other.received) == 1

    run(scenario())


def test_unsafe_request_in_flight_is_not_retried_after_reload_makes_class_safe():
    """Guards against a retry of an attempt that is reset after a reload.

    The class is unsafe in the old pool, which sent the attempt, and safe in the new pool.
    """

    async def scenario():
        gate = asyncio.Event()

        async def break_later(message, reader, writer):
            await gate.wait()
            reset_connection(writer)

        first, second = await FakePeer(break_later).start(), await FakePeer(break_later).start()
        classes = '[pools.a.classes.sale]\neffect = "{}"\naim_ms = 500\ndeadline_ms = 3000\n'

        def text(effect):
            routes = pool_toml("a", first.port, second.port).partition("[[routes]]")
            return (
                routes[0] + classes.format(effect) + routes[1] + routes[2] + 'classes = { POST = "sale" }\n'
            )

        async with InProcessSidecar(text("unsafe")) as node:
            pending = asyncio.create_task(send_request(node.port, post_request("/a/1")))
            await wait_until(lambda: first.received or second.received)
            node.apply_config(text("safe"))
            assert node.pool("a").settings.classes[0].effect is Effect.SAFE
            gate.set()
            assert (await pending).code == 502
            assert len(first.received) + len(second.received) == 1

    run(scenario())


def test_pool_removed_and_re_added_under_its_name_inherits_nothing():
    async def scenario():
        gate, handler = gated_handler()
        old, new, other = (
            await FakePeer(handler).start(),
            await FakePeer(respond_ok).start(),
            await FakePeer(respond_ok).start(),
        )
        async with InProcessSidecar(pool_toml("a", old.port) + pool_toml("b", other.port)) as node:
            pending = asyncio.create_task(send_request(node.port, post_request("/a/1")))
            await wait_until(lambda: old.received)
            node.apply_config(pool_toml("b", other.port))
            assert (await send_request(node.port, get_request("/a"))).code == 404
            node.apply_config(pool_toml("a", new.port) + pool_toml("b", other.port))
            assert (await send_request(node.port, get_request("/a"))).code == 200
            assert len(old.received) == 1
            gate.set()
            assert (await pending).code == 200

    run(scenario())


def test_two_pools_can_share_an_endpoint():
    async def scenario():
        fake = await FakePeer(respond_ok).start()
        async with InProcessSidecar(pool_toml("a", fake.port) + pool_toml("b", fake.port)) as node:
            request_id = "X-Request-Id: 1"  # Equal ids in different pools are no duplicates.
            responses = await asyncio.gather(
                send_request(node.port, get_request("/a", request_id)),
                send_request(node.port, get_request("/b", request_id)),
            )
            assert [response.code for response in responses] == [200, 200]
            node.apply_config(pool_toml("b", fake.port))
            assert (await send_request(node.port, get_request("/b"))).code == 200

    run(scenario())


def test_invalid_plan_changes_nothing():
    async def scenario():
        fake = await FakePeer(respond_ok).start()
        async with InProcessSidecar(pool_toml("a", fake.port)) as node:
            parser, pools = node.server.parser, dict(node.services.by_name)
            with pytest.raises(ValueError, match="minima"):
                node.apply_config(pool_toml("a", fake.port, open_least=9000) + pool_toml("b", fake.port))
            assert node.server.parser is parser
            assert node.services.by_name == pools
            assert (await send_request(node.port, get_request("/a"))).code == 200
            text = pool_toml("a", fake.port, open_least=100)
            node.apply_config(text)
            with pytest.raises(ValueError, match="minima"):
                node.apply_config(text, max_descriptors=128)  # Checked against the new limit.
            assert node.server.budget.upstreams.limit == node.services.reservations.total > 100
            node.apply_config(pool_toml("a", fake.port), max_descriptors=128)
            assert node.server.budget.upstreams.limit == node.services.reservations.total < 100

    run(scenario())


def test_hundred_reloads_under_load_lose_no_request():
    async def scenario():
        fakes = [await FakePeer(respond_ok).start() for _ in range(3)]
        texts = [
            pool_toml("a", fakes[0].port) + pool_toml("b", fakes[1].port),
            pool_toml("a", fakes[0].port, fakes[2].port) + pool_toml("b", fakes[1].port, attempts_most=2),
            pool_toml("b", fakes[2].port, attempts_most=4) + pool_toml("a", fakes[1].port, idle_ms=900),
        ]
        async with InProcessSidecar(texts[0]) as node:
            loads = [Load(node.port, f"/{name}/x") for name in "ab"]
            for number in range(100):
                before = [load.response_count for load in loads]
                node.apply_config(texts[number % 3])
                await wait_until(
                    lambda: all(load.response_count > n for load, n in zip(loads, before, strict=True))  # noqa: B023
                )
            for load in loads:
                await load.stop()
            # If the event loop was not scheduled in time, the sidecar sheds load: the run is void, neither
            # passed nor failed.
            codes = set().union(*(load.codes for load in loads))
            late_s = node.server.lag_monitor.max_lag_s
            void = 503 in codes and late_s >= MIN_LOGGED_LAG_S
            assert codes <= ({200, 503} if void else {200})
            assert not any(load.lost_responses for load in loads)
            ids = [received.headers["x-request-id"] for fake in fakes for received in fake.received]
            ok_count = sum(load.codes[200] for load in loads)
            assert len(ids) == len(set(ids)) == ok_count
            await wait_until(lambda: len(node.server.pools) == 2)
        return (
            None,
            f"the event loop was late by {late_s:.2f} s, and requests were rejected" if void else None,
        )

    first_valid_run(lambda: run(scenario()))


def test_a_thousand_pools_added_and_removed_leave_nothing_behind(caplog):
    caplog.set_level(logging.WARNING, "dykefold")  # Log records that caplog keeps would count as allocations.

    async def scenario():
        fake = await FakePeer(respond_ok).start()
        base = pool_toml("a", fake.port)
        async with InProcessSidecar(base) as node:
            assert (await send_request(node.port, get_request("/a"))).code == 200
            removed_pools = []

            async def rounds(count):
                for number in range(count):
                    node.apply_config(base + pool_toml(f"p{number}", fake.port))
                    if number % 50 == 0:
                        assert (await send_request(node.port, get_request(f"/p{number}"))).code == 200
                        removed_pools.append(weakref.ref(node.pool(f"p{number}")))
                    node.apply_config(base)
                await wait_until(lambda: len(node.server.pools) == 1)

            await rounds(100)
            gc.collect()
            blocks, files = sys.getallocatedblocks(), len(os.listdir("/proc/self/fd"))
            await rounds(1000)
            await wait_until(lambda: len(os.listdir("/proc/self/fd")) <= files + 2)
            await wait_until(lambda: gc.collect() is not None and all(ref() is None for ref in removed_pools))
            assert sys.getallocatedblocks() < blocks + 5_000  # Fewer than five per pool.
            assert node.server.budget.reservations == 0
            assert not node.server.budget.upstreams.in_use > 1
            assert len(node.services.reservations.by_pool) <= 1

    run(scenario())


def test_pool_that_uses_all_descriptors_leaves_others_their_minimum():
    async def scenario():
        unresponsive, fake = await FakePeer(never_respond).start(), await FakePeer(respond_ok).start()
        text = pool_toml("a", unresponsive.port, deadline_ms=20_000) + pool_toml(
            "b", fake.port, open_least=10
        )
        async with InProcessSidecar(text, max_descriptors=160) as node:
            max_upstreams = node.server.budget.upstreams.limit
            writers = []
            for number in range(max_upstreams + 20):
                _, writer = await asyncio.open_connection(HOST, node.port)
                writer.write(get_request(f"/a/{number}"))
                writers.append(writer)
                if len(node.pool("a").pending) >= max_upstreams - 10:
                    break
                await asyncio.sleep(0)
            await wait_until(lambda: node.services.reservations.shared > 0)
            for _ in range(30):
                assert (await send_request(node.port, get_request("/b"))).code == 200
            for writer in writers:
                writer.close()

    run(scenario())


def test_client_receives_complete_response_after_half_close():
    async def scenario():
        gate, handler = gated_handler()
        fake = await FakePeer(handler).start()
        async with InProcessSidecar(pool_toml("a", fake.port)) as node:
            reader, writer = await asyncio.open_connection(HOST, node.port)
            writer.write(get_request("/a/1"))
            await wait_until(lambda: fake.received)
            writer.write_eof()
            await asyncio.sleep(0.02)
            gate.set()
            assert (await read_message(reader)).code == 200
            assert await reader.read() == b""
            writer.close()
            await wait_until(lambda: not node.server.clients.open_connections)

    run(scenario())


def test_retiring_pool_with_longest_deadline_does_not_delay_shutdown():
    """Guards against requests that are unanswered at the kill, whose time the replaced pool postponed."""

    async def scenario():
        silent = await FakePeer(never_respond).start()
        async with InProcessSidecar(pool_toml("parts", silent.port, deadline_ms=3000)) as sidecar:
            kept = asyncio.create_task(send_request(sidecar.port, get_request("/parts/kept")))
            await wait_until(lambda: silent.received)
            sidecar.apply_config(pool_toml("parts", silent.port, deadline_ms=1000))
            loop = asyncio.get_running_loop()
            started_s = loop.time()
            sidecar.server.drain()
            assert (await kept).code >= 500
            assert loop.time() - started_s < 1.7  # the deadline in the configuration, and 0.7 s

    run(scenario())
