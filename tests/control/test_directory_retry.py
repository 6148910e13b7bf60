"""State directory that is unusable at the start: it is retried, and then shared as with any other process."""

import asyncio
import errno
import logging
import os

import pytest
from hot_restart_rig import FakeSidecarServer, ManualClocks, SidecarProcess
from net_helpers import HOST

from dykefold.control import process_lifecycle
from dykefold.control.admin_requests import Action, AdminRequest
from dykefold.control.background_writer import write_at_once
from dykefold.control.file_system import FileSystem
from dykefold.control.process_lifecycle import ProcessLifecycle

ERRORS = [errno.EACCES, errno.ENOSPC, errno.EROFS, errno.EIO]


class ManualLoop:
    """Event loop whose timers run when the test advances the clock of the machine."""

    def __init__(self, machine):
        self.machine = machine
        self.timers = []

    def call_later(self, delay_s, callback, *values):
        handle = asyncio.TimerHandle(self.machine.mono_ns + int(delay_s * 1e9), callback, values, self)
        self.timers.append(handle)
        return handle

    def get_debug(self):
        return False

    def _timer_handle_cancelled(self, handle):
        self.timers = [timer for timer in self.timers if timer is not handle]

    def advance(self, seconds):
        until_ns = self.machine.mono_ns + int(seconds * 1e9)
        while due := [handle for handle in self.timers if handle.when() <= until_ns]:
            handle = min(due, key=asyncio.TimerHandle.when)
            self.timers.remove(handle)
            self.machine.advance(max(handle.when() - self.machine.mono_ns, 0))
            handle._run()
        self.machine.advance(until_ns - self.machine.mono_ns)


class FailingMkdir(FileSystem):
    """File system on which creating the state directory fails while `error` is set."""

    def __init__(self, error):
        self.error = error
        self.attempts = 0

    def mkdir(self, path):
        if self.error:
            self.attempts += 1
            raise OSError(self.error, os.strerror(self.error))
        super().mkdir(path)


class ServingSidecarServer(FakeSidecarServer):
    """Sidecar server that listens without a network."""

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


class ProcessWithFailingDirectory:
    """Process that serves clients although its state directory is unusable."""

    def __init__(self, folder, monkeypatch, machine, error):
        self.loop = ManualLoop(machine)
        self.files = FailingMkdir(error)
        self.server = ServingSidecarServer(machine)
        self.lifecycle = ProcessLifecycle(self.loop, self.server, (HOST, 0), str(folder), self.files)
        self.lifecycle.submit = write_at_once
        self.lifecycle.admin_operations = self.lifecycle.operations()
        sock = type("Sock", (), {"close": lambda self: None})()
        monkeypatch.setattr(process_lifecycle.socket, "create_server", lambda *args, **kwargs: sock)
        self.lifecycle.listen((HOST, 0))

    def order(self, action):
        return self.lifecycle.admin_operations.carry_out(AdminRequest(action, "s0")).code


@pytest.fixture
def machine():
    return ManualClocks()


@pytest.mark.parametrize("error", ERRORS, ids=errno.errorcode.get)
def test_maintenance_orders_are_recorded_once_the_state_directory_is_usable(
    tmp_path, monkeypatch, machine, caplog, error
):
    caplog.set_level(logging.INFO)
    process = ProcessWithFailingDirectory(tmp_path, monkeypatch, machine, error)
    process.loop.advance(20)
    assert process.order(Action.OUT) == 500
    assert [record.message for record in caplog.records if "disables" in record.message] == [
        f"process disables hot restarts: folder {tmp_path}, {os.strerror(error)}"
    ]
    process.files.error = 0
    process.loop.advance(30)
    assert [record.message for record in caplog.records][-1] == (
        f"process enables hot restarts: folder {tmp_path}"
    )
    assert process.order(Action.OUT) == 200
    assert process.server.max_descriptors == process.server.total_descriptors
    process.lifecycle.drain()
    process.lifecycle.close()
    os.close(process.lifecycle.hot_restart.directory.lock_descriptor)
    last = SidecarProcess(tmp_path, machine)
    last.start()
    assert last.out_of_service == ["s0"]


def test_retries_back_off_and_each_new_error_is_logged_once(tmp_path, monkeypatch, machine, caplog):
    process = ProcessWithFailingDirectory(tmp_path, monkeypatch, machine, errno.ENOSPC)
    process.loop.advance(3600)
    assert 100 < process.files.attempts < 130  # the delay grows to 30 s
    process.files.error = errno.EROFS
    process.loop.advance(300)
    assert [
        os.strerror(error) in record.message
        for error, record in zip((errno.ENOSPC, errno.EROFS), caplog.records, strict=True)
    ] == [True, True]
    process.lifecycle.drain()
    assert process.loop.timers == []


@pytest.mark.parametrize("newer", [True, False], ids=["beside a newer process", "beside an older process"])
def test_process_with_a_late_state_directory_gets_a_descriptor_quota(tmp_path, monkeypatch, machine, newer):
    if not newer:
        other = SidecarProcess(tmp_path, machine)
        other.start()
    process = ProcessWithFailingDirectory(tmp_path, monkeypatch, machine, errno.EACCES)
    machine.advance()
    if newer:
        other = SidecarProcess(tmp_path, machine)
        other.start()
    limits = []
    monkeypatch.setattr(
        process.server, "share_capacity", lambda parts, limit: limits.append(limit), raising=False
    )
    process.files.error = 0
    process.files.mkdir = lambda path: FileSystem.mkdir(process.files, path)
    for _ in range(60):
        process.loop.advance(0.1)
        other.tick()
        machine.mono_ns -= 10**8  # undoes the advance of the clock by the other process's tick
        machine.wall_ns -= 10**8
    needed = process.server.needed_descriptors()
    assert min(limits, default=0) >= needed
    assert limits[-1] + other.server.max_descriptors <= process.server.total_descriptors
    retried, other_limit = (limits[-1], other.server.max_descriptors)
    assert (retried < other_limit) is newer  # the newer process gets all that the older process does not use
