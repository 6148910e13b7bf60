"""A state directory that can't be used at the start: tried again, and then shared as by any other process."""

import asyncio
import errno
import logging
import os

import pytest
from hot_restart_rig import FakeSidecarServer, MachineClock, Member
from net_helpers import HOST

from dykefold.control import process_lifecycle
from dykefold.control.admin_requests import Action, AdminRequest
from dykefold.control.background_writer import write_at_once
from dykefold.control.file_system import FileSystem
from dykefold.control.process_lifecycle import ProcessLifecycle

ERRORS = [errno.EACCES, errno.ENOSPC, errno.EROFS, errno.EIO]


class Loop:
    """Timers that run when the test says so, on the machine's clock."""

    def __init__(self, machine):
        self.machine = machine
        self.timers = []

    def call_later(self, delay_s, act, *values):
        handle = asyncio.TimerHandle(self.machine.mono_ns + int(delay_s * 1e9), act, values, self)
        self.timers.append(handle)
        return handle

    def get_debug(self):
        return False

    def _timer_handle_cancelled(self, handle):
        self.timers = [timer for timer in self.timers if timer is not handle]

    def passes(self, seconds):
        until_ns = self.machine.mono_ns + int(seconds * 1e9)
        while due := [handle for handle in self.timers if handle.when() <= until_ns]:
            handle = min(due, key=asyncio.TimerHandle.when)
            self.timers.remove(handle)
            self.machine.advance(max(handle.when() - self.machine.mono_ns, 0))
            handle._run()
        self.machine.advance(until_ns - self.machine.mono_ns)


class Unusable(FileSystem):
    """A folder in which no directory can be made, or none that is there can be looked at."""

    def __init__(self, error):
        self.error = error
        self.tries = 0

    def mkdir(self, path):
        if self.error:
            self.tries += 1
            raise OSError(self.error, os.strerror(self.error))
        super().mkdir(path)


class ServingEngine(FakeSidecarServer):
    """An sidecar_server that listens, with nothing on the network."""

    accepts_clients = True
    max_descriptors = None
    closed = False

    def listen(self, sock):
        sock.close()
        self.listener = sock
        sock.address = (HOST, 1)
        return sock

    def drain(self):
        self.draining = True


class Served:
    """A process that serves clients though its folder can't be used."""

    def __init__(self, folder, monkeypatch, machine, error):
        self.loop = Loop(machine)
        self.files = Unusable(error)
        self.server = ServingEngine(machine)
        self.lifecycle = ProcessLifecycle(self.loop, self.server, (HOST, 0), str(folder), self.files)
        self.lifecycle.submit = write_at_once
        self.lifecycle.admin_operations = self.lifecycle.operations()
        sock = type("Sock", (), {"close": lambda self: None})()
        monkeypatch.setattr(process_lifecycle.socket, "create_server", lambda *args, **more: sock)
        self.lifecycle.listen((HOST, 0))

    def order(self, action):
        return self.lifecycle.admin_operations.carry_out(AdminRequest(action, "s0")).code


@pytest.fixture
def machine():
    return MachineClock()


@pytest.mark.parametrize("error", ERRORS, ids=errno.errorcode.get)
def test_maintenance_orders_are_recorded_once_the_state_directory_is_usable(
    tmp_path, monkeypatch, machine, caplog, error
):
    caplog.set_level(logging.INFO)
    one = Served(tmp_path, monkeypatch, machine, error)
    one.loop.passes(20)
    assert one.order(Action.OUT) == 500
    assert [record.message for record in caplog.records if "disables" in record.message] == [
        f"process disables hot restarts: folder {tmp_path}, {os.strerror(error)}"
    ]
    one.files.error = 0
    one.loop.passes(30)
    assert [record.message for record in caplog.records][-1] == (
        f"process enables hot restarts: folder {tmp_path}"
    )
    assert one.order(Action.OUT) == 200
    assert one.server.max_descriptors == one.server.sockets
    one.lifecycle.drain()
    one.lifecycle.close()
    os.close(one.lifecycle.hot_restart.directory.lock_descriptor)
    last = Member(tmp_path, machine)
    last.start()
    assert last.out_of_service == ["s0"]


def test_tries_become_rarer_and_each_new_reason_is_one_line(tmp_path, monkeypatch, machine, caplog):
    one = Served(tmp_path, monkeypatch, machine, errno.ENOSPC)
    one.loop.passes(3600)
    assert 100 < one.files.tries < 130  # every 30 s in the end
    one.files.error = errno.EROFS
    one.loop.passes(300)
    assert [
        os.strerror(error) in record.message
        for error, record in zip((errno.ENOSPC, errno.EROFS), caplog.records, strict=True)
    ] == [True, True]
    one.lifecycle.drain()
    assert one.loop.timers == []


@pytest.mark.parametrize("newer", [True, False], ids=["beside a newer one", "beside an older one"])
def test_one_that_comes_late_has_its_part_and_never_none(tmp_path, monkeypatch, machine, newer):
    if not newer:
        other = Member(tmp_path, machine)
        other.start()
    one = Served(tmp_path, monkeypatch, machine, errno.EACCES)
    machine.advance()
    if newer:
        other = Member(tmp_path, machine)
        other.start()
    limits = []
    monkeypatch.setattr(one.server, "share_capacity", lambda parts, most: limits.append(most), raising=False)
    one.files.error = 0
    one.files.mkdir = lambda path: FileSystem.mkdir(one.files, path)
    for _ in range(60):
        one.loop.passes(0.1)
        other.tick()
        machine.mono_ns -= 10**8  # a tick of the other passes the time as well
        machine.wall_ns -= 10**8
    needed = one.server.needed_descriptors()
    assert min(limits, default=0) >= needed
    assert limits[-1] + other.server.max_descriptors <= one.server.sockets
    late, beside = (limits[-1], other.server.max_descriptors)
    assert (late < beside) is newer  # the newer one has all that the older one does not use
