"""State directory with failing file system calls: each call of a hot restart fails in turn."""

import errno
import json
import logging
import os
import signal
import subprocess
import sys

import pytest
from hot_restart_rig import FakeSidecarServer, ManualClocks, SidecarProcess

from dykefold.control.admin_requests import Action, AdminRequest
from dykefold.control.file_system import FileSystem
from dykefold.control.process_lifecycle import ProcessLifecycle
from dykefold.control.state_directory import FileStateDirectory

CALLS = (
    "open",
    "read",
    "write",
    "fsync",
    "close",
    "rename",
    "unlink",
    "mkdir",
    "listdir",
    "stat",
    "fstat",
    "flock",
)
MAX_CALLS = 400  # far more file system calls than the scenario makes


class FailingCalls(FileSystem):
    """Fails call number `at` and the `span - 1` calls after it; a short write writes one byte."""

    def __init__(self, fault, at, span=1):
        self.fault, self.at, self.span = fault, at, span
        self.count = 0

    def _due(self):
        self.count += 1
        return self.at <= self.count < self.at + self.span


def _failing(name):
    def call(self, *values):
        real_call = getattr(FileSystem, name)
        if not self._due():
            return real_call(self, *values)
        if self.fault == "short":
            return real_call(self, values[0], values[1][:1]) if name == "write" else real_call(self, *values)
        if name == "close":
            real_call(self, *values)  # as on Linux: the descriptor is closed although an error is returned
        raise OSError(self.fault, os.strerror(self.fault))

    return call


for _name in CALLS:
    setattr(FailingCalls, _name, _failing(_name))


def run_hot_restarts(folder, files):
    """Give orders to a process with failing calls, and hot restart it twice.

    Returns:
        Whether the second order was confirmed, and the endpoints that the second and the third process know
        to be out of service; None if the first process could not use the state directory.
    """
    machine = ManualClocks()
    try:
        old = SidecarProcess(folder, machine, files=files)
    except OSError:
        return None  # hot restarts are disabled, which is logged at the start
    old.start()
    old.carry_out("maint")
    for _ in range(3):
        old.tick()  # retries failed operations
    new = SidecarProcess(folder, machine)
    new.start(old)
    old.tick()
    second_confirmed = old.carry_out("maint", "s1").code == 200
    old.stop()
    new.tick()
    found_by_second = new.out_of_service
    new.stop(killed=True)
    last = SidecarProcess(folder, machine)
    last.start()
    found_by_third = last.out_of_service
    last.stop(killed=True)
    return second_confirmed, found_by_second, found_by_third


@pytest.mark.parametrize("span", [1, 5])
@pytest.mark.parametrize("fault", [errno.ENOSPC, errno.EIO, "short"])
def test_no_confirmed_order_is_lost_whichever_file_call_fails(tmp_path, fault, span, monkeypatch):
    monkeypatch.setattr("dykefold.control.hot_restart.OBSERVATION_INTERVAL_S", 0.004)
    monkeypatch.setattr("hot_restart_rig.OBSERVATION_INTERVAL_S", 0.004)
    for at in range(1, MAX_CALLS, span):
        (tmp_path / str(at)).mkdir()
        files = FailingCalls(fault, at, span)
        outcome = run_hot_restarts(tmp_path / str(at), files)
        if outcome is not None:
            second_confirmed, found_by_second, found_by_third = outcome
            expected = ["s0"] + ["s1"] * second_confirmed  # the first order was retried until it was recorded
            assert set(expected) <= set(found_by_second), (at, outcome)
            assert set(expected) <= set(found_by_third), (at, outcome)
        if files.count < at:
            break
    else:
        raise AssertionError("the scenario makes more calls than were made to fail")
    assert at > 50  # guards against a file system replacement that is not used


WRITER = """
import os, signal, sys
from dykefold.control.state_directory import FileStateDirectory
from dykefold.control.file_system import FileSystem
at, before = int(sys.argv[2]), sys.argv[3] == "before"
class Killing(FileSystem):
    count = 0
def killing(name):
    def call(self, *values):
        Killing.count += 1
        if before and Killing.count == at: os.kill(os.getpid(), signal.SIGKILL)
        result = getattr(FileSystem, name)(self, *values)
        if Killing.count == at: os.kill(os.getpid(), signal.SIGKILL)
        return result
    return call
for name in ("open", "write", "fsync", "close", "rename", "flock", "listdir", "mkdir"):
    setattr(Killing, name, killing(name))
directory = FileStateDirectory(sys.argv[1], Killing())
directory.lock("sign-1-a")
for number in range(2):
    if directory.write("maintenance-1-a", {"number": number}, durable=True): print(number, flush=True)
"""


@pytest.mark.parametrize("kill_time", ["before", "after"])
def test_kill_at_any_file_call_leaves_a_complete_record_and_no_temporary_file(tmp_path, kill_time):
    for at in range(1, 60):
        folder = tmp_path / str(at)
        folder.mkdir()
        finished = subprocess.run(
            [sys.executable, "-c", WRITER, str(folder), str(at), kill_time], capture_output=True, timeout=30
        )
        confirmed = [int(line) for line in finished.stdout.split()]
        if (folder / "dykefold").exists():
            record = FileStateDirectory(str(folder)).read("maintenance-1-a")
            assert not confirmed or record["number"] >= confirmed[-1]
            assert not [name for name in os.listdir(folder / "dykefold") if name.startswith(".")]
        if finished.returncode == 0:
            break
        assert finished.returncode == -signal.SIGKILL
    assert confirmed == [0, 1]
    assert at > 15


def test_only_records_of_dead_processes_are_removed(tmp_path):
    directory = FileStateDirectory(str(tmp_path))
    assert directory.lock("sign-1-a")
    folder = tmp_path / "dykefold"
    live, live_by_process_id = f".sign-1-a.{os.getpid()}", f".sign-2-b.{os.getppid()}"
    dead, foreign = f".state-3-c.{os.getpid()}", ".profile"
    for name in (live, live_by_process_id, dead, foreign, "sign-4-d.lock"):
        (folder / name).touch()
    FileStateDirectory(str(tmp_path))
    assert sorted(os.listdir(folder)) == sorted([live, live_by_process_id, foreign, "sign-1-a.lock"])


def test_unreadable_record_is_logged_once_and_blocks_nothing(tmp_path, caplog):
    directory = FileStateDirectory(str(tmp_path))
    folder = tmp_path / "dykefold"
    os.mkfifo(folder / "sign-pipe.json")
    (folder / "sign-folder.json").mkdir()
    (folder / "sign-loop.json").symlink_to(folder / "sign-loop.json")
    (folder / "sign-empty.json").touch()
    (folder / "sign-half.json").write_text(json.dumps({"version": 1, "name": "x" * 100})[:50])
    with caplog.at_level(logging.WARNING):
        for _ in range(3):
            assert directory.read_all("sign-") == {}
    assert len(caplog.records) == 5


def test_change_with_an_unchanged_folder_timestamp_is_detected(tmp_path):
    now_ns = [0]
    directory = FileStateDirectory(str(tmp_path), monotonic_ns=lambda: now_ns[0])
    other = FileStateDirectory(str(tmp_path))
    assert other.write("sign-a", {"n": 1})
    directory.read_all("sign-")
    status = os.stat(tmp_path / "dykefold")
    assert other.write("sign-a", {"n": 2})
    os.utime(tmp_path / "dykefold", ns=(status.st_atime_ns, status.st_mtime_ns))  # as within one clock tick
    directory.folder_state = directory._read_folder_state()  # so that the status change time is the same too
    assert directory.changed()
    assert directory.read_all("sign-")["sign-a"]["n"] == 2


def test_order_is_not_confirmed_as_recorded_if_the_state_directory_is_unusable_from_the_start(tmp_path):
    sidecar_server = FakeSidecarServer(ManualClocks())
    (tmp_path / "dykefold").touch()
    lifecycle = ProcessLifecycle(None, sidecar_server, ("127.0.0.1", 0), str(tmp_path))
    assert lifecycle.hot_restart is None
    operations = lifecycle.operations()
    out, back = (operations.carry_out(AdminRequest(action, "s0")) for action in (Action.OUT, Action.BACK))
    assert out.code == 500
    assert "newer process would not know" in out.text
    assert back.code == 200
    assert sidecar_server.pool.maintenance.names_out_of_service() == []
