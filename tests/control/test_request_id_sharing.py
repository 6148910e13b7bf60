"""Request ids that the processes of a sidecar share by logs in the state directory."""

import errno
import os

import pytest
from hot_restart_rig import ManualClocks, SidecarProcess
from net_helpers import MS

from dykefold.control import request_id_sharing
from dykefold.control.append_log import FileLogs
from dykefold.control.file_system import FileSystem
from dykefold.control.request_id_log import RequestIdFollower, id_record
from dykefold.control.request_id_sharing import RECENT_ID_NS, log_name
from dykefold.net.request_ids import id_digest

FIRST, SECOND, THIRD = b"first", b"second", b"third"


def ids(process):
    return process.server.request_ids


def started(tmp_path, machine, *older, **options):
    process = SidecarProcess(tmp_path, machine, **options)
    process.start(*older)
    return process


def test_ids_of_both_processes_are_rejected_by_the_other_until_they_may_be_reused(tmp_path):
    """Guards against an order that runs twice since its id comes again to another process of the sidecar."""
    machine = ManualClocks()
    old = started(tmp_path, machine)
    assert ids(old).open(FIRST)  # before there is another process
    assert ids(old).open(SECOND)
    ids(old).finish(SECOND)
    new = started(tmp_path, machine, old)
    assert not ids(new).open(FIRST)
    assert not ids(new).open(SECOND)
    assert ids(new).open(THIRD)
    assert not ids(old).open(THIRD)
    ids(old).finish(FIRST)
    machine.advance(RECENT_ID_NS - MS)
    assert not ids(new).open(FIRST)
    machine.advance(2 * MS)
    assert ids(new).open(FIRST)
    assert not ids(old).open(THIRD)  # still open in the newer process


@pytest.mark.parametrize("killed", [False, True])
def test_ids_of_process_that_has_ended_count_until_they_may_be_reused(tmp_path, killed):
    """Guards against an order that runs again at the newer process, just after the older one has ended."""
    machine = ManualClocks()
    old = started(tmp_path, machine)
    new = started(tmp_path, machine, old)
    assert ids(old).open(FIRST)
    if not killed:
        ids(old).finish(FIRST)
    old.stop(killed=killed)
    new.tick()
    assert not ids(new).open(FIRST)
    machine.advance(RECENT_ID_NS + MS)
    new.tick()
    assert ids(new).open(FIRST)
    assert ids(new).shared is None  # a lone process publishes nothing


def test_id_that_was_open_during_an_earlier_hot_restart_does_not_stay_open(tmp_path):
    """Guards against ids that no process has any more, and that a newer process rejects for ever."""
    machine = ManualClocks()
    old = started(tmp_path, machine)
    middle = started(tmp_path, machine, old)
    assert ids(old).open(FIRST)
    middle.stop(killed=True)
    old.tick()
    machine.advance(RECENT_ID_NS + MS)
    old.tick()
    ids(old).finish(FIRST)
    machine.advance(RECENT_ID_NS + MS)
    assert not ids(old).is_known(FIRST)
    new = started(tmp_path, machine, old)
    assert ids(new).open(FIRST)


def test_long_log_is_replaced_and_followed_without_a_gap(tmp_path, monkeypatch):
    """Guards against ids that are missed while a log is replaced, and against logs that grow for ever."""
    monkeypatch.setattr(request_id_sharing, "MAX_LOG_BYTES", 1000)
    machine = ManualClocks()
    old = started(tmp_path, machine)
    new = started(tmp_path, machine, old)
    assert ids(old).open(FIRST)
    for number in range(200):
        request_id = b"id-%d" % number
        assert ids(old).open(request_id)
        ids(old).finish(request_id)
        assert not ids(new).open(request_id)
        assert not ids(new).open(FIRST)
        if number % 20 == 0:
            machine.advance(RECENT_ID_NS)
            ids(old).is_known(FIRST)  # drops the finished ids
            old.tick()
    path = tmp_path / "dykefold" / f"{log_name(old.hot_restart.machine.name)}.log"
    assert path.stat().st_size < 4000


def test_processes_serve_if_a_log_is_missing_or_can_not_be_written(tmp_path):
    """An older version of the program writes no log, and a full disk takes none."""

    class FullDisk(FileSystem):
        full = False

        def write(self, descriptor, data):
            if self.full:
                raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
            return super().write(descriptor, data)

    machine, files = ManualClocks(), FullDisk()
    old = started(tmp_path, machine, files=files)
    new = started(tmp_path, machine, old)
    (tmp_path / "dykefold" / f"{log_name(new.hot_restart.machine.name)}.log").unlink()
    assert ids(new).open(FIRST)
    files.full = True
    assert ids(old).open(SECOND)
    files.full = False
    assert ids(old).open(THIRD)  # writes what could not be written before
    assert not ids(new).open(SECOND)


def test_removed_process_leaves_no_log(tmp_path):
    machine = ManualClocks()
    old = started(tmp_path, machine)
    new = started(tmp_path, machine, old)
    old.stop(killed=True)
    newest = started(tmp_path, machine, new)
    for _ in range(80):
        newest.tick()
    names = {f"{log_name(process.hot_restart.machine.name)}.log" for process in (new, newest)}
    assert {path.name for path in (tmp_path / "dykefold").glob("*.log")} == names


def test_follower_waits_for_the_rest_of_a_record(tmp_path):
    logs = FileLogs(tmp_path, FileSystem())
    writer, follower = logs.create("ids-a"), RequestIdFollower(logs, "ids-a")
    record = id_record(id_digest(FIRST), 100)
    writer.append(record[:5])
    assert not follower.has(id_digest(FIRST), 99)
    writer.append(record[5:])
    assert follower.has(id_digest(FIRST), 99)
    assert not follower.has(id_digest(FIRST), 100)
