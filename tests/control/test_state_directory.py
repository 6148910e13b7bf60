"""The state directory under file calls that fail: each one in turn, with a hot restart driven through it."""

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
CALLS_MOST = 400  # file calls of the whole story: far more than it makes


class FailingCalls(FileSystem):
    """Fails call number `at`, and the `span - 1` after it; a short write writes a single byte."""

    def __init__(self, fault, at, span=1):
        self.fault, self.at, self.span = fault, at, span
        self.count = 0

    def _due(self):
        self.count += 1
        return self.at <= self.count < self.at + self.span


def _failing(name):
    def call(self, *values):
        real = getattr(FileSystem, name)
        if not self._due():
            return real(self, *values)
        if self.fault == "short":
            return real(self, values[0], values[1][:1]) if name == "write" else real(self, *values)
        if name == "close":
            real(self, *values)  # as Linux does it: the descriptor is gone, and the error is told
        raise OSError(self.fault, os.strerror(self.fault))

    return call


for _name in CALLS:
    setattr(FailingCalls, _name, _failing(_name))


def story(folder, files):
    """Orders at a process with failing calls, and hot restarts from it; what came of them."""
    machine = ManualClocks()
    try:
        old = SidecarProcess(folder, machine, files=files)
    except OSError:
        return None  # no upgrades, said at the start
    old.start()
    old.carry_out("maint")
    for _ in range(3):
        old.tick()  # what failed is tried again
    new = SidecarProcess(folder, machine)
    new.start(old)
    old.tick()
    later = old.carry_out("maint", "s1").code == 200
    old.stop()
    new.tick()
    found = new.out_of_service
    new.stop(killed=True)
    last = SidecarProcess(folder, machine)
    last.start()
    kept = last.out_of_service
    last.stop(killed=True)
    return later, found, kept


@pytest.mark.parametrize("span", [1, 5])
@pytest.mark.parametrize("fault", [errno.ENOSPC, errno.EIO, "short"])
def test_no_confirmed_order_is_lost_whichever_file_call_fails(tmp_path, fault, span, monkeypatch):
    monkeypatch.setattr("dykefold.control.hot_restart.OBSERVATION_INTERVAL_S", 0.004)
    monkeypatch.setattr("hot_restart_rig.OBSERVATION_INTERVAL_S", 0.004)
    for at in range(1, CALLS_MOST, span):
        (tmp_path / str(at)).mkdir()
        files = FailingCalls(fault, at, span)
        ends = story(tmp_path / str(at), files)
        if ends is not None:
            later, found, kept = ends
            owed = ["s0"] + ["s1"] * later  # the first was tried again until it stood
            assert set(owed) <= set(found), (at, ends)
            assert set(owed) <= set(kept), (at, ends)
        if files.count < at:
            break
    else:
        raise AssertionError("the story makes more calls than were failed")
    assert at > 50  # guards against a seam that nothing goes through


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
        found = getattr(FileSystem, name)(self, *values)
        if Killing.count == at: os.kill(os.getpid(), signal.SIGKILL)
        return found
    return call
for name in ("open", "write", "fsync", "close", "rename", "flock", "listdir", "mkdir"):
    setattr(Killing, name, killing(name))
board = FileStateDirectory(sys.argv[1], Killing())
board.lock("sign-1-a")
for number in range(2):
    if board.write("maintenance-1-a", {"number": number}, durable=True): print(number, flush=True)
"""


@pytest.mark.parametrize("moment", ["before", "after"])
def test_a_kill_at_any_file_call_leaves_a_whole_record_and_nothing_half_written(tmp_path, moment):
    for at in range(1, 60):
        folder = tmp_path / str(at)
        folder.mkdir()
        done = subprocess.run(
            [sys.executable, "-c", WRITER, str(folder), str(at), moment], capture_output=True, timeout=30
        )
        said = [int(line) for line in done.stdout.split()]
        if (folder / "dykefold").exists():
            word = FileStateDirectory(str(folder)).read("maintenance-1-a")
            assert not said or word["number"] >= said[-1]
            assert not [name for name in os.listdir(folder / "dykefold") if name.startswith(".")]
        if done.returncode == 0:
            break
        assert done.returncode == -signal.SIGKILL
    assert said == [0, 1]
    assert at > 15


def test_only_records_of_dead_processes_are_removed(tmp_path):
    one = FileStateDirectory(str(tmp_path))
    assert one.lock("sign-1-a")
    folder = tmp_path / "dykefold"
    lives, by_number = f".sign-1-a.{os.getpid()}", f".sign-2-b.{os.getppid()}"
    gone, foreign = f".state-3-c.{os.getpid()}", ".profile"
    for name in (lives, by_number, gone, foreign, "sign-4-d.lock"):
        (folder / name).touch()
    FileStateDirectory(str(tmp_path))
    assert sorted(os.listdir(folder)) == sorted([lives, by_number, foreign, "sign-1-a.lock"])


def test_what_is_foreign_is_one_log_line_and_blocks_nothing(tmp_path, caplog):
    board = FileStateDirectory(str(tmp_path))
    folder = tmp_path / "dykefold"
    os.mkfifo(folder / "sign-pipe.json")
    (folder / "sign-folder.json").mkdir()
    (folder / "sign-loop.json").symlink_to(folder / "sign-loop.json")
    (folder / "sign-empty.json").touch()
    (folder / "sign-half.json").write_text(json.dumps({"version": 1, "name": "x" * 100})[:50])
    with caplog.at_level(logging.WARNING):
        for _ in range(3):
            assert board.read_all("sign-") == {}
    assert len(caplog.records) == 5


def test_two_changes_with_one_time_of_the_folder_are_two(tmp_path):
    now_ns = [0]
    board = FileStateDirectory(str(tmp_path), monotonic_ns=lambda: now_ns[0])
    other = FileStateDirectory(str(tmp_path))
    assert other.write("sign-a", {"n": 1})
    board.read_all("sign-")
    seen = os.stat(tmp_path / "dykefold")
    assert other.write("sign-a", {"n": 2})
    os.utime(tmp_path / "dykefold", ns=(seen.st_atime_ns, seen.st_mtime_ns))  # as within one tick
    board.folder_state = board._read_folder_state()  # ... the time of the last change of its data too
    assert board.changed()
    assert board.read_all("sign-")["sign-a"]["n"] == 2


def test_order_is_not_confirmed_as_recorded_if_the_state_directory_is_unusable_from_the_start(tmp_path):
    sidecar_server = FakeSidecarServer(ManualClocks())
    (tmp_path / "dykefold").touch()
    lifecycle = ProcessLifecycle(None, sidecar_server, ("127.0.0.1", 0), str(tmp_path))
    assert lifecycle.hot_restart is None
    operator = lifecycle.operations()
    out, back = (operator.carry_out(AdminRequest(action, "s0")) for action in (Action.OUT, Action.BACK))
    assert out.code == 500
    assert "newer process would not know" in out.text
    assert back.code == 200
    assert sidecar_server.pool.maintenance.names_out_of_service() == []
