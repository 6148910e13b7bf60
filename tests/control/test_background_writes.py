"""A disk that hangs: orders wait for it, and nothing else does."""

import asyncio
import contextlib
import threading
import time

import pytest
from hot_restart_rig import FakeSidecarServer, ManualClocks, SidecarProcess
from net_helpers import HOST, run, wait_until

from dykefold.control import admin_server, process_lifecycle
from dykefold.control.file_system import FileSystem
from dykefold.control.process_lifecycle import ProcessLifecycle
from dykefold.control.state_directory import FileStateDirectory
from dykefold.lab.fleet.process import call
from dykefold.system import SYSTEM

HANG_S = 1.0


class HangingDisk(FileSystem):
    """From `hangs` on, a sync returns when the test lets it, or after `HANG_S`."""

    def __init__(self):
        self.hangs = False
        self.go_on = threading.Event()
        self.syncs = 0
        self.synced = 0

    def fsync(self, descriptor):
        self.syncs += 1
        if self.hangs:
            self.go_on.wait(HANG_S)
        super().fsync(descriptor)
        self.synced += 1


class ServingEngine(FakeSidecarServer):
    accepts_clients = True


@contextlib.asynccontextmanager
async def serving(folder, disk):
    """The admin API of a process over this disk; its lifecycle and address."""
    sidecar_server = ServingEngine(SYSTEM)
    lifecycle = ProcessLifecycle(asyncio.get_running_loop(), sidecar_server, (HOST, 0), str(folder), disk)
    await lifecycle.begin()
    try:
        yield lifecycle, lifecycle.admin_server.address
    finally:
        disk.go_on.set()
        lifecycle.close()


def is_out(folder, machine=None):
    last = SidecarProcess(
        folder, machine or ManualClocks(SYSTEM.monotonic_ns() + 10**9, SYSTEM.time_ns() + 10**9)
    )
    last.start()
    out = last.out_of_service
    last.stop(killed=True)
    return out


def test_while_a_sync_hangs_other_requests_are_served_within_100_ms(tmp_path):
    async def play():
        disk = HangingDisk()
        async with serving(tmp_path, disk) as (_, admin):
            disk.hangs = True
            order = asyncio.ensure_future(call(admin, "POST /servers/s0/maint"))
            await wait_until(lambda: disk.syncs)
            began = time.monotonic()
            served = []
            while len(served) < 5:
                at = time.monotonic()
                assert await call(admin, "GET /healthcheck") == 200
                served.append(time.monotonic() - at)
            assert time.monotonic() - began < HANG_S
            assert min(served) < 0.1
            assert not order.done()
            disk.go_on.set()
            assert await order == 200
            assert disk.synced >= 2  # the record and its folder

    run(play())


@pytest.mark.parametrize("first", ["maint", "ready"])
def test_maintenance_orders_are_applied_and_recorded_in_order(tmp_path, first):
    second = {"maint": "ready", "ready": "maint"}[first]

    async def play():
        disk = HangingDisk()
        async with serving(tmp_path, disk) as (lifecycle, admin):
            out = lifecycle.sidecar.pool.maintenance.names_out_of_service
            if first == "ready":
                assert await call(admin, "POST /servers/s0/maint") == 200
            disk.hangs = True
            before = disk.syncs
            orders = [asyncio.ensure_future(call(admin, f"POST /servers/s0/{first}"))]
            await wait_until(lambda: disk.syncs > before)
            assert out() == ["s0"]  # put back only once that is written
            orders.append(asyncio.ensure_future(call(admin, f"POST /servers/s0/{second}")))
            for _ in range(3):
                assert await call(admin, "GET /healthcheck") == 200
            assert not any(order.done() for order in orders)
            disk.go_on.set()
            assert await asyncio.gather(*orders) == [200, 200]
            assert out() == (["s0"] if second == "maint" else [])
            await lifecycle.finish_writing()
        return ["s0"] if second == "maint" else []

    assert run(play()) == is_out(tmp_path)


def test_an_order_that_the_disk_never_takes_is_answered_in_bounded_time_and_not_with_yes(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(admin_server, "MAX_ORDER_S", 0.1)

    async def play():
        disk = HangingDisk()
        async with serving(tmp_path, disk) as (_, admin):
            disk.hangs = True
            assert await call(admin, "POST /servers/s0/maint") == 500
            disk.go_on.set()
            assert await call(admin, "POST /servers/s0/maint") == 200

    run(play())


def test_the_end_waits_for_what_was_taken_on_and_not_for_ever(tmp_path, monkeypatch):
    async def play():
        disk = HangingDisk()
        async with serving(tmp_path, disk) as (lifecycle, admin):
            disk.hangs = True
            order = asyncio.ensure_future(call(admin, "POST /servers/s0/maint"))
            await wait_until(lambda: disk.syncs)
            monkeypatch.setattr(process_lifecycle, "MAX_LAST_WRITE_S", 0.05)
            await lifecycle.finish_writing()
            assert not order.done()
            monkeypatch.setattr(process_lifecycle, "MAX_LAST_WRITE_S", 10.0)
            asyncio.get_running_loop().call_later(0.01, disk.go_on.set)
            await lifecycle.finish_writing()
            assert FileStateDirectory(str(tmp_path)).read_all("maintenance-")
            assert await order == 200

    run(play())
    assert is_out(tmp_path) == ["s0"]
